//! The phases of the process, and which events lead from one to the next.
//!
//! Every request that was accepted gets exactly one final answer before the process ends of its own accord: from its worker
//! while the router drains, or by [`LifecycleAction::AnswerOpenRequests`]. Times are in µs of any one clock.

use serde::Serialize;

use crate::event::{LifecycleAction, LifecycleEvent};
use crate::stop::StopReason;

/// How long the phases last, in µs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifecycleTimeouts {
    /// The router waits for an endpoint list for so long, then listens without one.
    pub endpoint_wait: u64,
    /// After a termination request the router still accepts requests for so long: others notice only by then that it is not
    /// ready. 0: not at all.
    pub lame_duck: u64,
    /// A drain waits so long for open requests.
    pub drain: u64,
    /// The last answers have so long to be written.
    pub flush: u64,
}

/// Where the process is in its lifecycle. The serialized names are part of `status` and stay as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Recovering, and waiting for an endpoint list.
    Starting,
    /// About to listen.
    #[serde(rename = "opening")]
    Binding,
    /// Accepting requests.
    Ready,
    /// Accepting no requests because an operator asked so; may be undone.
    #[serde(rename = "drained")]
    Paused,
    /// Asked to end and reported as not ready, but still accepting requests.
    #[serde(rename = "leaving")]
    LameDuck,
    /// Accepting no requests and waiting for the open ones before the end.
    #[serde(rename = "ending")]
    Draining,
    /// Writing the last answers.
    #[serde(rename = "farewell")]
    Flushing,
    /// Ended.
    #[serde(rename = "over")]
    Stopped,
}

/// The lifecycle of one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lifecycle {
    phase: Phase,
    /// When the present phase times out.
    until: Option<u64>,
    /// The settings are to be read again as soon as the router is ready.
    reload_when_ready: bool,
    /// Why the process ends, once it does.
    stop: StopReason,
    timeouts: LifecycleTimeouts,
}

impl Lifecycle {
    /// A process that starts now.
    pub fn new(timeouts: LifecycleTimeouts, now: u64) -> Self {
        Self {
            phase: Phase::Starting,
            until: Some(now.saturating_add(timeouts.endpoint_wait)),
            reload_when_ready: false,
            stop: StopReason::Drained,
            timeouts,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When [`LifecycleEvent::Tick`] has to be reported next.
    pub fn next_due(&self) -> Option<u64> {
        self.until
    }

    /// Handles an event. One that means nothing in the present phase is ignored.
    pub fn handle(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        if self.phase != Phase::Stopped && event == LifecycleEvent::EventLoopFailed {
            actions.push(LifecycleAction::AnswerOpenRequests);
            return self.exit(StopReason::EventLoopFailed, actions);
        }
        match self.phase {
            Phase::Starting => self.handle_starting(now, event, actions),
            Phase::Binding => self.handle_binding(event, actions),
            Phase::Ready => self.handle_ready(now, event, actions),
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
            LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver => {
                self.exit(StopReason::Drained, actions);
            }
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
            LifecycleEvent::Reload => self.reload_when_ready = true,
            LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver => {
                self.exit(StopReason::Drained, actions);
            }
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
            LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver => {
                actions.push(LifecycleAction::NotifyStopping);
                self.drain(now, actions);
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
            LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver => {
                actions.push(LifecycleAction::NotifyStopping);
                self.drain(now, actions);
            }
            _ => {}
        }
    }

    fn handle_lame_duck(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        match event {
            LifecycleEvent::Tick if self.has_timed_out(now) => self.drain(now, actions),
            // The services that the router needs may move to other addresses while it still accepts requests.
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
            // As in the phase before: a router with that phase drains for long.
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
            LifecycleEvent::Idle => self.exit(self.stop, actions),
            LifecycleEvent::Tick if self.has_timed_out(now) => self.exit(self.stop, actions),
            _ => {}
        }
    }

    fn has_timed_out(&self, now: u64) -> bool {
        self.until.is_some_and(|until| until <= now)
    }

    fn has_lame_duck(&self) -> bool {
        self.timeouts.lame_duck > 0
    }

    fn enter(&mut self, phase: Phase, until: Option<u64>) {
        self.phase = phase;
        self.until = until;
    }

    fn bind(&mut self, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Binding, None);
        actions.push(LifecycleAction::Listen);
    }

    fn drain(&mut self, now: u64, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Draining, Some(now.saturating_add(self.timeouts.drain)));
        actions.push(LifecycleAction::StopAccepting { permanent: true });
    }

    fn flush(&mut self, stop: StopReason, now: u64, actions: &mut Vec<LifecycleAction>) {
        self.stop = stop;
        self.enter(Phase::Flushing, Some(now.saturating_add(self.timeouts.flush)));
        actions.push(LifecycleAction::AnswerOpenRequests);
    }

    fn exit(&mut self, stop: StopReason, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Stopped, None);
        actions.push(LifecycleAction::Exit(stop));
    }
}

fn reload(actions: &mut Vec<LifecycleAction>) {
    actions.push(LifecycleAction::NotifyReloading);
    actions.push(LifecycleAction::ReloadSettings);
    actions.push(LifecycleAction::NotifyReady);
}
