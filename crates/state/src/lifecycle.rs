//! Start, ready, reload, drain, stop: in which order things are done, and what is said at the end.
//!
//! Times are µs of any one clock. Each request that was taken gets its one final answer before the process
//! ends by its own will: from its engine while the drain lasts, or by [`LifecycleAction::AnswerOpenRequests`].

use serde::Serialize;

/// How long things last, µs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifecycleTimeouts {
    /// The router listens without a list of engines after this.
    pub endpoint_wait: u64,
    /// Told to end, it takes requests for so long yet: others hear of it only by then. 0: not at all.
    pub lame_duck: u64,
    /// A drain waits for open requests so long.
    pub drain: u64,
    /// Last answers have so long to leave.
    pub flush: u64,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Time has passed.
    Tick,
    /// A list of engines is known, be it an old one.
    EndpointsKnown,
    /// The router listens.
    Listening,
    /// It can't.
    ListenFailed,
    /// A signal, or an operator, wants the process to end. A second one ends it at once.
    Terminate,
    /// An operator wants no new requests to be taken.
    Drain,
    /// An operator wants them taken again.
    Undrain,
    /// Settings are to be read again.
    Reload,
    /// Another process has the listening socket.
    ListenerHandedOver,
    /// Nothing is open, and all is written.
    Idle,
    /// The loop can't go on.
    EventLoopFailed,
}

/// What is to be done, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Begin to listen.
    Listen,
    /// Tell the supervisor that the router is ready.
    NotifyReady,
    /// Tell it that settings are read, and again that it is ready.
    NotifyReloading,
    /// Tell it that the router stops.
    NotifyStopping,
    /// Be ready no more, but go on taking what still comes.
    EnterLameDuck,
    /// Take no new connections and requests; what is open goes on. `permanent`: the listening socket may go.
    StopAccepting {
        /// It will not be undone.
        permanent: bool,
    },
    /// Take them again.
    ResumeAccepting,
    /// Read the settings and apply them.
    ReloadSettings,
    /// Give every open request its final answer, by what is known of it.
    AnswerOpenRequests,
    /// End the process.
    Exit(StopReason),
}

/// Why the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// All that was open has ended.
    Drained,
    /// The drain's time was up: what was open was told that the router stops.
    #[serde(rename = "drain_time_up")]
    DrainTimedOut,
    /// Told twice: likewise, at once.
    #[serde(rename = "told")]
    TerminatedTwice,
    /// It could not listen.
    #[serde(rename = "no_listening")]
    ListenFailed,
    /// The loop could not go on.
    #[serde(rename = "broken")]
    EventLoopFailed,
}

impl StopReason {
    /// The reason as the log line at the end of the process prints it.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Drained => "Drained",
            Self::DrainTimedOut => "DrainTimeUp",
            Self::TerminatedTwice => "Told",
            Self::ListenFailed => "NoListening",
            Self::EventLoopFailed => "Broken",
        }
    }

    /// The process's exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Drained => 0,
            Self::ListenFailed | Self::EventLoopFailed => 1,
            Self::DrainTimedOut => 4,
            Self::TerminatedTwice => 5,
        }
    }
}

/// Where a router's life is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Recovering, and waiting for a list of engines.
    Starting,
    /// About to listen.
    #[serde(rename = "opening")]
    Binding,
    /// Taking requests.
    Ready,
    /// Not taking any by an operator's wish; may be undone.
    #[serde(rename = "drained")]
    Paused,
    /// Told to end, and taking what still comes.
    #[serde(rename = "leaving")]
    LameDuck,
    /// Ending: open requests go on.
    #[serde(rename = "ending")]
    Draining,
    /// Last answers leave.
    #[serde(rename = "farewell")]
    Flushing,
    /// Over.
    #[serde(rename = "over")]
    Stopped,
}

/// One life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lifecycle {
    phase: Phase,
    /// When the present phase is over by itself.
    until: Option<u64>,
    /// Settings are to be read once ready.
    reload: bool,
    /// Why it ends, once it does.
    stop: StopReason,
    timeouts: LifecycleTimeouts,
}

impl Lifecycle {
    /// Begins.
    pub fn new(timeouts: LifecycleTimeouts, now: u64) -> Self {
        Self {
            phase: Phase::Starting,
            until: Some(now.saturating_add(timeouts.endpoint_wait)),
            reload: false,
            stop: StopReason::Drained,
            timeouts,
        }
    }

    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When [`LifecycleEvent::Tick`] is next needed.
    pub fn due(&self) -> Option<u64> {
        self.until
    }

    /// Takes an event.
    pub fn handle(&mut self, now: u64, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        let LifecycleTimeouts { lame_duck, drain, flush, .. } = self.timeouts;
        let late = self.until.is_some_and(|at| at <= now);
        match (self.phase, event) {
            (Phase::Stopped, _) => {}
            (_, LifecycleEvent::EventLoopFailed) => {
                actions.push(LifecycleAction::AnswerOpenRequests);
                self.exit(StopReason::EventLoopFailed, actions);
            }
            (
                Phase::Starting | Phase::Binding,
                LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver,
            ) => {
                self.exit(StopReason::Drained, actions);
            }
            (Phase::Starting, LifecycleEvent::EndpointsKnown) => self.open(actions),
            (Phase::Starting, LifecycleEvent::Tick) if late => self.open(actions),
            (Phase::Binding, LifecycleEvent::Listening) => {
                self.enter(Phase::Ready, None);
                actions.push(LifecycleAction::NotifyReady);
                if std::mem::take(&mut self.reload) {
                    actions.extend([
                        LifecycleAction::NotifyReloading,
                        LifecycleAction::ReloadSettings,
                        LifecycleAction::NotifyReady,
                    ]);
                }
            }
            (Phase::Binding, LifecycleEvent::ListenFailed) => self.exit(StopReason::ListenFailed, actions),
            (Phase::Starting | Phase::Binding, LifecycleEvent::Reload) => self.reload = true,
            (Phase::Ready | Phase::Paused, LifecycleEvent::Reload) => {
                actions.extend([
                    LifecycleAction::NotifyReloading,
                    LifecycleAction::ReloadSettings,
                    LifecycleAction::NotifyReady,
                ]);
            }
            (Phase::Ready, LifecycleEvent::Drain) => {
                self.enter(Phase::Paused, None);
                actions.push(LifecycleAction::StopAccepting { permanent: false });
            }
            (Phase::Paused, LifecycleEvent::Undrain) => {
                self.enter(Phase::Ready, None);
                actions.push(LifecycleAction::ResumeAccepting);
            }
            (Phase::Ready, LifecycleEvent::Terminate) if lame_duck > 0 => {
                self.enter(Phase::LameDuck, Some(now.saturating_add(lame_duck)));
                actions.extend([LifecycleAction::NotifyStopping, LifecycleAction::EnterLameDuck]);
            }
            (Phase::LameDuck, LifecycleEvent::Tick) if late => {
                self.enter(Phase::Draining, Some(now.saturating_add(drain)));
                actions.push(LifecycleAction::StopAccepting { permanent: true });
            }
            // Where a router takes its time to leave, what it needs may move meanwhile.
            (Phase::LameDuck | Phase::Draining, LifecycleEvent::Reload) if lame_duck > 0 => {
                actions.push(LifecycleAction::ReloadSettings)
            }
            (Phase::LameDuck, LifecycleEvent::Terminate) => {
                self.part(StopReason::TerminatedTwice, now, flush, actions)
            }
            (
                Phase::Ready | Phase::Paused,
                LifecycleEvent::Terminate | LifecycleEvent::ListenerHandedOver,
            ) => {
                self.enter(Phase::Draining, Some(now.saturating_add(drain)));
                actions.extend([
                    LifecycleAction::NotifyStopping,
                    LifecycleAction::StopAccepting { permanent: true },
                ]);
            }
            (Phase::Draining, LifecycleEvent::Idle) => self.exit(StopReason::Drained, actions),
            (Phase::Draining, LifecycleEvent::Terminate) => {
                self.part(StopReason::TerminatedTwice, now, flush, actions)
            }
            (Phase::Draining, LifecycleEvent::Tick) if late => {
                self.part(StopReason::DrainTimedOut, now, flush, actions)
            }
            (Phase::Flushing, LifecycleEvent::Idle) => self.exit(self.stop, actions),
            (Phase::Flushing, LifecycleEvent::Tick) if late => self.exit(self.stop, actions),
            _ => {}
        }
    }

    fn enter(&mut self, phase: Phase, until: Option<u64>) {
        (self.phase, self.until) = (phase, until);
    }

    fn open(&mut self, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Binding, None);
        actions.push(LifecycleAction::Listen);
    }

    fn part(&mut self, stop: StopReason, now: u64, flush: u64, actions: &mut Vec<LifecycleAction>) {
        self.stop = stop;
        self.enter(Phase::Flushing, Some(now.saturating_add(flush)));
        actions.push(LifecycleAction::AnswerOpenRequests);
    }

    fn exit(&mut self, stop: StopReason, actions: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Stopped, None);
        actions.push(LifecycleAction::Exit(stop));
    }
}
