//! Start, ready, reload, drain, stop: in which order things are done, and what is said at the end.
//!
//! Times are µs of any one clock. Each request that was taken gets its one final answer before the process
//! ends by its own will: from its engine while the drain lasts, or by [`LifecycleAction::AnswerAll`].

use serde::Serialize;

/// How long things last, µs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifecycleTimeouts {
    /// The router listens without a list of engines after this.
    pub start: u64,
    /// Told to end, it takes requests for so long yet: others hear of it only by then. 0: not at all.
    pub leave: u64,
    /// A drain waits for open requests so long.
    pub drain: u64,
    /// Last answers have so long to leave.
    pub farewell: u64,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Time has passed.
    Tick,
    /// A list of engines is known, be it an old one.
    Listed,
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
    Succeeded,
    /// Nothing is open, and all is written.
    Idle,
    /// The loop can't go on.
    Broken,
}

/// What is to be done, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Begin to listen.
    Listen,
    /// Tell the supervisor that the router is ready.
    SayReady,
    /// Tell it that settings are read, and again that it is ready.
    SayReloading,
    /// Tell it that the router stops.
    SayStopping,
    /// Be ready no more, but go on taking what still comes.
    Leave,
    /// Take no new connections and requests; what is open goes on. `for_good`: the listening socket may go.
    StopTaking {
        /// It will not be undone.
        for_good: bool,
    },
    /// Take them again.
    TakeAgain,
    /// Read the settings and apply them.
    Reload,
    /// Give every open request its final answer, by what is known of it.
    AnswerAll,
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
    DrainTimeUp,
    /// Told twice: likewise, at once.
    Told,
    /// It could not listen.
    NoListening,
    /// The loop could not go on.
    Broken,
}

impl StopReason {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Drained => 0,
            Self::NoListening | Self::Broken => 1,
            Self::DrainTimeUp => 4,
            Self::Told => 5,
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
    Opening,
    /// Taking requests.
    Ready,
    /// Not taking any by an operator's wish; may be undone.
    Drained,
    /// Told to end, and taking what still comes.
    Leaving,
    /// Ending: open requests go on.
    Ending,
    /// Last answers leave.
    Farewell,
    /// Over.
    Over,
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
    terms: LifecycleTimeouts,
}

impl Lifecycle {
    /// Begins.
    pub fn new(terms: LifecycleTimeouts, now: u64) -> Self {
        Self {
            phase: Phase::Starting,
            until: Some(now.saturating_add(terms.start)),
            reload: false,
            stop: StopReason::Drained,
            terms,
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
    pub fn handle(&mut self, now: u64, event: LifecycleEvent, acts: &mut Vec<LifecycleAction>) {
        let LifecycleTimeouts { leave, drain, farewell, .. } = self.terms;
        let late = self.until.is_some_and(|at| at <= now);
        match (self.phase, event) {
            (Phase::Over, _) => {}
            (_, LifecycleEvent::Broken) => {
                acts.push(LifecycleAction::AnswerAll);
                self.exit(StopReason::Broken, acts);
            }
            (Phase::Starting | Phase::Opening, LifecycleEvent::Terminate | LifecycleEvent::Succeeded) => {
                self.exit(StopReason::Drained, acts);
            }
            (Phase::Starting, LifecycleEvent::Listed) => self.open(acts),
            (Phase::Starting, LifecycleEvent::Tick) if late => self.open(acts),
            (Phase::Opening, LifecycleEvent::Listening) => {
                self.enter(Phase::Ready, None);
                acts.push(LifecycleAction::SayReady);
                if std::mem::take(&mut self.reload) {
                    acts.extend([
                        LifecycleAction::SayReloading,
                        LifecycleAction::Reload,
                        LifecycleAction::SayReady,
                    ]);
                }
            }
            (Phase::Opening, LifecycleEvent::ListenFailed) => self.exit(StopReason::NoListening, acts),
            (Phase::Starting | Phase::Opening, LifecycleEvent::Reload) => self.reload = true,
            (Phase::Ready | Phase::Drained, LifecycleEvent::Reload) => {
                acts.extend([
                    LifecycleAction::SayReloading,
                    LifecycleAction::Reload,
                    LifecycleAction::SayReady,
                ]);
            }
            (Phase::Ready, LifecycleEvent::Drain) => {
                self.enter(Phase::Drained, None);
                acts.push(LifecycleAction::StopTaking { for_good: false });
            }
            (Phase::Drained, LifecycleEvent::Undrain) => {
                self.enter(Phase::Ready, None);
                acts.push(LifecycleAction::TakeAgain);
            }
            (Phase::Ready, LifecycleEvent::Terminate) if leave > 0 => {
                self.enter(Phase::Leaving, Some(now.saturating_add(leave)));
                acts.extend([LifecycleAction::SayStopping, LifecycleAction::Leave]);
            }
            (Phase::Leaving, LifecycleEvent::Tick) if late => {
                self.enter(Phase::Ending, Some(now.saturating_add(drain)));
                acts.push(LifecycleAction::StopTaking { for_good: true });
            }
            // Where a router takes its time to leave, what it needs may move meanwhile.
            (Phase::Leaving | Phase::Ending, LifecycleEvent::Reload) if leave > 0 => {
                acts.push(LifecycleAction::Reload)
            }
            (Phase::Leaving, LifecycleEvent::Terminate) => self.part(StopReason::Told, now, farewell, acts),
            (Phase::Ready | Phase::Drained, LifecycleEvent::Terminate | LifecycleEvent::Succeeded) => {
                self.enter(Phase::Ending, Some(now.saturating_add(drain)));
                acts.extend([LifecycleAction::SayStopping, LifecycleAction::StopTaking { for_good: true }]);
            }
            (Phase::Ending, LifecycleEvent::Idle) => self.exit(StopReason::Drained, acts),
            (Phase::Ending, LifecycleEvent::Terminate) => self.part(StopReason::Told, now, farewell, acts),
            (Phase::Ending, LifecycleEvent::Tick) if late => {
                self.part(StopReason::DrainTimeUp, now, farewell, acts)
            }
            (Phase::Farewell, LifecycleEvent::Idle) => self.exit(self.stop, acts),
            (Phase::Farewell, LifecycleEvent::Tick) if late => self.exit(self.stop, acts),
            _ => {}
        }
    }

    fn enter(&mut self, phase: Phase, until: Option<u64>) {
        (self.phase, self.until) = (phase, until);
    }

    fn open(&mut self, acts: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Opening, None);
        acts.push(LifecycleAction::Listen);
    }

    fn part(&mut self, stop: StopReason, now: u64, farewell: u64, acts: &mut Vec<LifecycleAction>) {
        self.stop = stop;
        self.enter(Phase::Farewell, Some(now.saturating_add(farewell)));
        acts.push(LifecycleAction::AnswerAll);
    }

    fn exit(&mut self, stop: StopReason, acts: &mut Vec<LifecycleAction>) {
        self.enter(Phase::Over, None);
        acts.push(LifecycleAction::Exit(stop));
    }
}
