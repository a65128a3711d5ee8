//! Drives the lifecycle state machine: signals and commands become its events, and its actions are performed on the sockets
//! and the core.

use std::time::Instant;

use chalkyard_state::{LifecycleAction, LifecycleEvent, Phase};
use mio::Interest;

use super::accept::MAX_CONSECUTIVE_ACCEPTS;
use super::listen::BACKLOG;
use super::retry::{with_retries, RUNTIME_ATTEMPTS, STARTUP_ATTEMPTS};
use super::{AdminQuery, HandoverProgress, Shell, Sink, LISTENER};

impl<S: Sink> Shell<S> {
    /// Passes events that the event loop itself detects to the lifecycle.
    pub(super) fn check_lifecycle(&mut self) {
        match self.lifecycle.phase() {
            Phase::Starting if self.core.has_list() => self.lifecycle_event(LifecycleEvent::EndpointsKnown),
            Phase::Draining | Phase::Flushing => {
                // Until a successor has said that it serves, this router may have to keep the ledger.
                let undecided = matches!(self.handover, Some(HandoverProgress::Granted { .. }));
                let open = self.core.open_requests() + self.core.open_clients() + self.core.open_releases();
                if open == 0 && self.lingering == 0 && !undecided {
                    self.lifecycle_event(LifecycleEvent::Idle);
                }
            }
            _ => {}
        }
        self.lifecycle_event(LifecycleEvent::Tick);
    }

    /// Passes an event to the lifecycle and performs the resulting actions.
    pub(super) fn lifecycle_event(&mut self, event: LifecycleEvent) {
        let mut actions = Vec::new();
        self.lifecycle.handle(self.clock.now().0, event, &mut actions);
        for action in actions {
            self.perform_action(action);
        }
        self.abandon_handover();
    }

    pub(super) fn perform_action(&mut self, action: LifecycleAction) {
        match action {
            LifecycleAction::Listen => {
                let event = match self.listen() {
                    true if self.take_over() => LifecycleEvent::Listening,
                    true => LifecycleEvent::TakeOverFailed,
                    false => LifecycleEvent::ListenFailed,
                };
                self.lifecycle_event(event);
            }
            LifecycleAction::EnterLameDuck => {
                self.core.begin_shutdown(self.clock.now());
                self.sink.counters(self.core.counters());
            }
            LifecycleAction::StopAccepting { .. } => {
                self.stop_listening();
                self.core.drain(self.clock.now(), &mut self.outputs);
            }
            LifecycleAction::SuspendAccepting => self.suspend_listening(),
            LifecycleAction::ResumeAccepting => {
                if self.resume_listening() {
                    self.sink.note("succession", "the successor has failed: this router goes on");
                } else if self.listen() {
                    self.core.undrain();
                } else {
                    // The router keeps draining. The failure is logged; the operator may try again.
                    self.lifecycle_event(LifecycleEvent::Drain);
                }
            }
            LifecycleAction::ReloadSettings => self.sink.reload(),
            LifecycleAction::AnswerOpenRequests => {
                self.stop_listening();
                self.core.fail_open_requests(self.clock.now(), &mut self.outputs)
            }
            LifecycleAction::Exit(stop) => self.stop = Some(stop),
            LifecycleAction::NotifyReady
            | LifecycleAction::NotifyReloading
            | LifecycleAction::NotifyStopping => {}
        }
        self.sink.lifecycle_action(action, Some(self.listen_address.address()));
    }

    /// Stops listening, if this has not happened yet. Pending connections are accepted first: closing the listening socket
    /// would reset them.
    ///
    /// Those that wait for a successor which may serve are left to it.
    fn stop_listening(&mut self) {
        if matches!(self.handover, Some(HandoverProgress::Granted { .. })) {
            self.suspended_listener = None;
        } else if let Some(listener) = self.suspended_listener.take() {
            self.listener = Some(listener);
        }
        for _ in 0..=BACKLOG / MAX_CONSECUTIVE_ACCEPTS {
            if !self.accept() {
                break;
            }
        }
        self.listener = None;
        self.accept_at = None;
    }

    /// Leaves connections in the listening socket.
    fn suspend_listening(&mut self) {
        self.accept_at = None;
        self.suspended_listener = self.listener.take();
        if let Some(listener) = &mut self.suspended_listener {
            // An error means that it is not registered.
            let _ = self.poll.registry().deregister(listener);
        }
    }

    /// Accepts again from a suspended listening socket. Returns whether there is one.
    fn resume_listening(&mut self) -> bool {
        let Some(mut listener) = self.suspended_listener.take() else { return false };
        let registered = with_retries(RUNTIME_ATTEMPTS, || {
            self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)
        });
        if let Err(e) = registered {
            self.sink.note("listen", &format!("cannot listen again: {e}"));
            return false;
        }
        self.listener = Some(listener);
        self.accept_at = Some(Instant::now());
        true
    }

    /// Takes the place of a predecessor, if there is one.
    fn take_over(&mut self) -> bool {
        match self.sink.take_over(self.clock.now()) {
            Ok(budgets) => {
                if let Some(budgets) = budgets {
                    self.core.enforce_budgets(budgets);
                }
                // Connections may have come before this router polls its socket.
                self.accept_at = Some(Instant::now());
                true
            }
            Err(e) => {
                self.sink
                    .note("succession", &format!("the place of the running router is not taken over: {e}"));
                self.listener = None;
                false
            }
        }
    }

    /// Starts to listen, with retries. At startup there are more attempts, since a router that cannot listen exits and no
    /// other work is delayed.
    pub(super) fn listen(&mut self) -> bool {
        let attempts =
            if self.lifecycle.phase() == Phase::Binding { STARTUP_ATTEMPTS } else { RUNTIME_ATTEMPTS };
        let listening = with_retries(attempts, || {
            let mut listener = self.listen_address.listen()?;
            self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
            Ok(listener)
        });
        match listening {
            Ok(listener) => self.listener = Some(listener),
            Err(e) => {
                self.sink.note("listen", &format!("cannot listen on {}: {e}", self.listen_address.address()))
            }
        }
        self.listener.is_some()
    }

    /// Answers a query with one JSON object.
    pub(super) fn answer(&self, query: &AdminQuery) -> String {
        let json = match query {
            AdminQuery::Status => serde_json::to_value(self.core.status()).map(|mut counts| {
                if let Some(object) = counts.as_object_mut() {
                    object.insert("phase".into(), serde_json::json!(self.lifecycle.phase()));
                    object.insert("at".into(), serde_json::json!(self.listen_address.address().to_string()));
                    object.insert("sockets".into(), serde_json::json!(self.connections.len()));
                    object.insert("since_start".into(), serde_json::json!(self.core.counters()));
                }
                counts
            }),
            AdminQuery::Workers => serde_json::to_value(self.core.worker_view()),
            AdminQuery::Requests => serde_json::to_value(self.core.request_view()),
            AdminQuery::Trace(id) => match self.core.find_request(id) {
                Some(open) => serde_json::to_value(open),
                None => match self.sink.recent_request(id) {
                    Some(ended) => return ended,
                    None => {
                        Ok(serde_json::json!({"error": format!("no request {id} is open or ended lately")}))
                    }
                },
            },
        };
        json.map_or_else(|e| serde_json::json!({"error": e.to_string()}).to_string(), |j| j.to_string())
    }
}
