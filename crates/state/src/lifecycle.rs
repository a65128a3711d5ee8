//! The phases of the process and the transitions between them.
//!
//! Every accepted request gets exactly one final answer before a regular exit: from its worker while the router
//! drains, or by [`LifecycleAction::AnswerOpenRequests`]. Times are in µs; the caller uses one clock for all of them.

use serde::Serialize;

use crate::event::{LifecycleAction, LifecycleEvent};
use crate::stop::StopReason;

/// The time limits of the phases, in µs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifecycleTimeouts {
    /// How long the router waits for an endpoint list at startup; after that it listens without one.
    pub endpoint_wait: u64,
    /// How long the router still accepts requests after a termination request, since clients need this time to notice that
    /// it is not ready. 0 skips [`Phase::LameDuck`].
    pub lame_duck: u64,
    /// How long a drain waits for open requests to end.
    pub drain: u64,
    /// How long the process waits for the last answers to be written.
    pub flush: u64,
}

/// A phase of the process. The serialized names are part of the `status` output and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Recovering and waiting for an endpoint list.
    Starting,
    /// Opening the listening socket.
    #[serde(rename = "opening")]
    Binding,
    /// Accepting requests.
    Ready,
    /// Accepting no connections while a successor takes over; [`LifecycleEvent::HandoverWithdrawn`] reverts it.
    HandingOver,
    /// Accepting no requests after [`LifecycleEvent::Drain`]; [`LifecycleEvent::Undrain`] reverts it.
    #[serde(rename = "drained")]
    Paused,
    /// Termination was requested and the router reports itself as not ready, but it still accepts requests.
    #[serde(rename = "leaving")]
    LameDuck,
    /// Accepting no requests and waiting for open requests to end before the process exits.
    #[serde(rename = "ending")]
    Draining,
    /// Writing the final answers of requests that were still open.
    #[serde(rename = "farewell")]
    Flushing,
    /// The process exits, or has exited.
    #[serde(rename = "over")]
    Stopped,
}

/// The lifecycle state machine of one router process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lifecycle {
    phase: Phase,
    /// When the current phase times out, if it does.
    phase_deadline: Option<u64>,
    /// A reload was requested before the router was ready, and runs once it is.
    reload_when_ready: bool,
    /// A successor may take this router's place, so that an operator's drain would come too late.
    handover_granted: bool,
    /// The reason that the process reports when it exits from [`Phase::Flushing`].
    stop_reason: StopReason,
    timeouts: LifecycleTimeouts,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that starts at `now`.
    pub fn new(timeouts: LifecycleTimeouts, now: u64) -> Self {
        Self {
            phase: Phase::Starting,
            phase_deadline: Some(now.saturating_add(timeouts.endpoint_wait)),
            reload_when_ready: false,
            handover_granted: false,
            stop_reason: StopReason::Drained,
            timeouts,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when [`LifecycleEvent::Tick`] has to be reported next, if at all.
    pub fn next_due(&self) -> Option<u64> {
        self.phase_deadline
    }

    /// Handles an event and appends the resulting actions. Events without a meaning in the current phase are ignored.
    pub fn handle(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        if self.phase != Phase::Stopped && event == LifecycleEvent::EventLoopFailed {
            actions.push(LifecycleAction::AnswerOpenRequests);
            return self.exit(StopReason::EventLoopFailed, actions);
        }
        match self.phase {
            Phase::Starting => self.handle_starting(now, event, actions),
            Phase::Binding => self.handle_binding(event, actions),
            Phase::Ready => self.handle_ready(now, event, actions),
            Phase::HandingOver => self.handle_handing_over(now, event, actions),
            Phase::Paused => self.handle_paused(now, event, actions),
            Phase::LameDuck => self.handle_lame_duck(now, event, actions),
            Phase::Draining => self.handle_draining(now, event, actions),
            Phase::Flushing => self.handle_flushing(now, event, actions),
            Phase::Stopped => {}
        }
    }

    fn handle_starting(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::EndpointsKnown => self.bind(actions),
            LifecycleEvent::Tick if self.has_timed_out(now) => self.bind(actions),
            LifecycleEvent::Reload => self.reload_when_ready = true,
            LifecycleEvent::Terminate => self.exit(StopReason::Drained, actions),
            _ => {}
        }
    }

    fn handle_binding(&mut self, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Listening => {
                self.enter(Phase::Ready, None);
                actions.push(LifecycleAction::NotifyReady);
                if std::mem::take(&mut self.reload_when_ready) {
                    reload(actions);
                }
            }
            LifecycleEvent::ListenFailed => self.exit(StopReason::ListenFailed, actions),
            LifecycleEvent::TakeOverFailed => self.exit(StopReason::TakeOverFailed, actions),
            LifecycleEvent::Reload => self.reload_when_ready = true,
            LifecycleEvent::Terminate => self.exit(StopReason::Drained, actions),
            _ => {}
        }
    }

    fn handle_ready(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Reload => reload(actions),
            LifecycleEvent::Drain => {
                self.enter(Phase::Paused, None);
                actions.push(LifecycleAction::StopAccepting { permanent: false });
            }
            LifecycleEvent::Terminate if self.has_lame_duck() => {
                self.enter(Phase::LameDuck, Some(now.saturating_add(self.timeouts.lame_duck)));
                actions.push(LifecycleAction::NotifyStopping);
                actions.push(LifecycleAction::EnterLameDuck);
            }
            LifecycleEvent::Terminate => self.stop_accepting(now, actions),
            LifecycleEvent::HandoverSuspended => {
                self.enter(Phase::HandingOver, None);
                actions.push(LifecycleAction::SuspendAccepting);
            }
            _ => {}
        }
    }

    /// The caller bounds the time of this phase by its timeouts for the successor.
    fn handle_handing_over(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Reload => reload(actions),
            LifecycleEvent::HandoverGranted => self.handover_granted = true,
            LifecycleEvent::HandoverWithdrawn => {
                self.handover_granted = false;
                self.enter(Phase::Ready, None);
                actions.push(LifecycleAction::ResumeAccepting);
            }
            LifecycleEvent::Drain if !self.handover_granted => {
                self.enter(Phase::Paused, None);
                actions.push(LifecycleAction::StopAccepting { permanent: false });
            }
            LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver => {
                self.stop_accepting(now, actions);
            }
            _ => {}
        }
    }

    fn handle_paused(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Reload => reload(actions),
            LifecycleEvent::Undrain => {
                self.enter(Phase::Ready, None);
                actions.push(LifecycleAction::ResumeAccepting);
            }
            LifecycleEvent::Terminate => self.stop_accepting(now, actions),
            _ => {}
        }
    }

    fn handle_lame_duck(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Tick if self.has_timed_out(now) => self.drain(now, actions),
            // Services that the router depends on may change their address while it still accepts requests.
            LifecycleEvent::Reload if self.has_lame_duck() => {
                actions.push(LifecycleAction::ReloadSettings);
            }
            LifecycleEvent::Terminate => self.flush(StopReason::TerminatedTwice, now, actions),
            _ => {}
        }
    }

    fn handle_draining(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Idle => self.exit(StopReason::Drained, actions),
            // Reloads are accepted for the same reason as in `LameDuck`: routers with a lame-duck phase have long drains.
            LifecycleEvent::Reload if self.has_lame_duck() => {
                actions.push(LifecycleAction::ReloadSettings);
            }
            LifecycleEvent::Terminate => self.flush(StopReason::TerminatedTwice, now, actions),
            LifecycleEvent::Tick if self.has_timed_out(now) => {
                self.flush(StopReason::DrainTimedOut, now, actions);
            }
            _ => {}
        }
    }

    fn handle_flushing(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Idle => self.exit(self.stop_reason, actions),
            LifecycleEvent::Tick if self.has_timed_out(now) => self.exit(self.stop_reason, actions),
            _ => {}
        }
    }

    fn has_timed_out(&self, now: u64) -> bool {
        self.phase_deadline.is_some_and(|deadline| deadline <= now)
    }

    fn has_lame_duck(&self) -> bool {
        self.timeouts.lame_duck > 0
    }

    fn enter(&mut self, phase: Phase, phase_deadline: Option<u64>) {
        self.phase = phase;
        self.phase_deadline = phase_deadline;
    }

    fn bind(&mut self, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Binding, None);
        actions.push(LifecycleAction::Listen);
    }

    fn stop_accepting(&mut self, now: u64, actions: &mut Vec<LifecycleAction>) {
        actions.push(LifecycleAction::NotifyStopping);
        self.drain(now, actions);
    }

    fn drain(&mut self, now: u64, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Draining, Some(now.saturating_add(self.timeouts.drain)));
        actions.push(LifecycleAction::StopAccepting { permanent: true });
    }

    fn flush(&mut self, stop_reason: StopReason, now: u64, actions: &mut Vec<LifecycleAction>) {
        self.stop_reason = stop_reason;
        self.enter(Phase::Flushing, Some(now.saturating_add(self.timeouts.flush)));
        actions.push(LifecycleAction::AnswerOpenRequests);
    }

    fn exit(&mut self, stop_reason: StopReason, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Stopped, None);
        actions.push(LifecycleAction::Exit(stop_reason));
    }
}

fn reload(actions: &mut Vec<LifecycleAction>) {
    actions.push(LifecycleAction::NotifyReloading);
    actions.push(LifecycleAction::ReloadSettings);
    actions.push(LifecycleAction::NotifyReady);
}
