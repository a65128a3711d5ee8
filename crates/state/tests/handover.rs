//! Checks the hand-over's guarantees in every order in which messages arrive, time-outs pass, processes are killed and paused,
//! actions fail and an operator stops the predecessor.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::{BTreeSet, VecDeque};

use chalkyard_state::handover::*;

/// Two processes, the connection between them and what they share.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct World {
    predecessor: Predecessor,
    successor: Successor,
    prepared: bool,
    /// Messages on their way.
    to_successor: VecDeque<PredecessorMessage>,
    to_predecessor: VecDeque<SuccessorMessage>,
    token_in_channel: bool,
    predecessor_alive: bool,
    successor_alive: bool,
    /// The predecessor accepts connections and may write to the ledger.
    predecessor_serves: bool,
    /// The predecessor was suspended when the successor read the ledger, and has been since.
    ledger_as_read: bool,
    /// An operator has stopped the predecessor: it need not serve.
    stopped: bool,
    /// Someone has killed a process. At most one is killed.
    killed: bool,
    /// The place is lost by a kill that no protocol can mend: of the process that has it alone.
    killed_in_place: bool,
    /// An action has failed, or a process has not answered in time.
    failed: bool,
}

/// One thing that can happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    DeliverToSuccessor,
    DeliverToPredecessor,
    PredecessorTimesOut,
    SuccessorTimesOut,
    KillPredecessor,
    KillSuccessor,
    StopPredecessor,
    /// The predecessor's next action with a result fails.
    PredecessorFails,
    /// The successor's next action with a result fails.
    SuccessorFails,
    PrepareWithLedger,
}

const STEPS: [Step; 10] = [
    Step::PrepareWithLedger,
    Step::DeliverToSuccessor,
    Step::DeliverToPredecessor,
    Step::PredecessorTimesOut,
    Step::SuccessorTimesOut,
    Step::KillPredecessor,
    Step::KillSuccessor,
    Step::StopPredecessor,
    Step::PredecessorFails,
    Step::SuccessorFails,
];

impl World {
    fn new() -> Self {
        Self {
            predecessor: Predecessor::default(),
            successor: Successor::default(),
            prepared: false,
            to_successor: VecDeque::new(),
            to_predecessor: VecDeque::new(),
            token_in_channel: false,
            predecessor_alive: true,
            successor_alive: true,
            predecessor_serves: true,
            ledger_as_read: false,
            stopped: false,
            killed: false,
            killed_in_place: false,
            failed: false,
        }
    }

    fn successor_serves(&self) -> bool {
        self.successor_alive && self.successor.outcome() == Some(Ok(()))
    }

    /// Drives the predecessor by an event and the results of its actions.
    fn predecessor_handles(&mut self, event: PredecessorEvent, fails: bool) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            self.predecessor.handle(event, &mut actions);
            for action in actions {
                let done = match action {
                    PredecessorAction::Suspend { .. } => Some(!fails && self.suspend()),
                    PredecessorAction::Grant => Some(!fails && !self.stopped),
                    PredecessorAction::ReclaimToken => Some(std::mem::take(&mut self.token_in_channel)),
                    PredecessorAction::PassToken => {
                        self.token_in_channel = true;
                        None
                    }
                    PredecessorAction::Resume => {
                        assert!(!self.successor_serves(), "both serve");
                        self.predecessor_serves = !self.stopped;
                        self.ledger_as_read = false;
                        None
                    }
                    PredecessorAction::Release => {
                        assert!(self.successor.outcome() == Some(Ok(())), "released to nobody");
                        None
                    }
                    PredecessorAction::Send(message) => {
                        self.to_successor.push_back(message);
                        None
                    }
                };
                next = done.map(PredecessorEvent::Done).or(next);
            }
        }
    }

    fn suspend(&mut self) -> bool {
        if self.stopped {
            return false;
        }
        self.predecessor_serves = false;
        true
    }

    /// Drives the successor by an event and the results of its actions.
    fn successor_handles(&mut self, event: SuccessorEvent, fails: bool) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            self.successor.handle(event, &mut actions);
            for action in actions {
                let done = match action {
                    SuccessorAction::Recover => {
                        assert!(!self.predecessor_serves || !self.predecessor_alive || self.failed);
                        self.ledger_as_read = !self.predecessor_serves || !self.predecessor_alive;
                        Some(!fails)
                    }
                    SuccessorAction::TakeToken => Some(std::mem::take(&mut self.token_in_channel)),
                    SuccessorAction::Activate => {
                        assert!(!(self.predecessor_alive && self.predecessor_serves), "two owners");
                        assert!(self.ledger_as_read, "opened for writing after others wrote");
                        Some(!fails)
                    }
                    SuccessorAction::Send(message) => {
                        self.to_predecessor.push_back(message);
                        None
                    }
                };
                next = done.map(SuccessorEvent::Done).or(next);
            }
        }
        // A process that does not take the place ends.
        self.successor_alive &= !matches!(self.successor.outcome(), Some(Err(_)));
    }

    /// Takes a step; false if it can't happen now.
    fn take(&mut self, step: Step) -> bool {
        let decided = self.predecessor.is_decided();
        match step {
            Step::PrepareWithLedger if self.successor_alive && !self.prepared => {
                self.prepared = true;
                self.successor_handles(SuccessorEvent::Prepared { ledger: true }, false);
            }
            Step::DeliverToSuccessor | Step::SuccessorFails if self.successor_alive => {
                let event = match self.to_successor.pop_front() {
                    Some(message) => SuccessorEvent::Message(message),
                    None if !self.predecessor_alive => SuccessorEvent::Disconnected,
                    None => return false,
                };
                self.failed |= step == Step::SuccessorFails;
                self.successor_handles(event, step == Step::SuccessorFails);
            }
            Step::DeliverToPredecessor | Step::PredecessorFails if self.predecessor_alive && !decided => {
                let event = match self.to_predecessor.pop_front() {
                    Some(message) => PredecessorEvent::Message(message),
                    None if !self.successor_alive => PredecessorEvent::Disconnected,
                    None => return false,
                };
                self.failed |= step == Step::PredecessorFails;
                self.predecessor_handles(event, step == Step::PredecessorFails);
            }
            Step::PredecessorTimesOut if self.predecessor_alive && !decided => {
                self.failed = true;
                self.predecessor_handles(PredecessorEvent::TimedOut, false);
            }
            Step::SuccessorTimesOut if self.successor_alive => {
                self.failed = true;
                self.successor_handles(SuccessorEvent::TimedOut, false);
            }
            Step::KillPredecessor if self.predecessor_alive && !self.killed => {
                (self.predecessor_alive, self.killed) = (false, true);
            }
            Step::KillSuccessor if self.successor_alive && !self.killed => {
                self.killed_in_place = self.successor_serves();
                (self.successor_alive, self.killed) = (false, true);
            }
            Step::StopPredecessor if self.predecessor_alive && !self.stopped => {
                (self.stopped, self.predecessor_serves) = (true, false);
                // With nothing open the process ends at once.
                self.predecessor_handles(PredecessorEvent::Ending, false);
                self.predecessor_alive = false;
            }
            _ => return false,
        }
        true
    }
}

#[test]
fn one_process_serves_after_every_order_of_events() {
    let mut seen = BTreeSet::new();
    let mut waiting = vec![(World::new(), Vec::new())];
    let (mut taken_over, mut taken_back, mut reclaimed) = (0, 0, 0);
    while let Some((world, path)) = waiting.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        assert!(
            !(world.predecessor_alive && world.predecessor_serves && world.successor_serves()),
            "both serve: {path:?}"
        );
        let before = waiting.len();
        for step in STEPS {
            let mut next = world.clone();
            if next.take(step) && next != world {
                waiting.push((next, [&path[..], &[step]].concat()));
            }
        }
        reclaimed += u32::from(world.successor.outcome() == Some(Err(TakeOverFailure::Reclaimed)));
        // Nothing is left that would happen by itself.
        let by_itself = waiting[before..].iter().any(|(_, path)| {
            !matches!(path.last(), Some(Step::KillPredecessor | Step::KillSuccessor | Step::StopPredecessor))
        });
        if by_itself {
            continue;
        }
        let predecessor_serves = world.predecessor_alive && world.predecessor_serves;
        // A successor that fails by itself, or is withdrawn from for that, and a predecessor that is killed as well: two faults.
        let two_faults = world.failed && world.killed && !world.predecessor_alive;
        let excused = world.stopped || world.killed_in_place || two_faults;
        assert!(predecessor_serves || world.successor_serves() || excused, "nobody serves: {path:?}");
        taken_over += u32::from(world.successor_serves());
        taken_back += u32::from(predecessor_serves && !world.successor_alive);
    }
    let counts = (seen.len(), taken_over, taken_back, reclaimed);
    assert!(counts.0 > 200 && taken_over > 0 && taken_back > 0 && reclaimed > 0, "{counts:?}");
}

/// A killed process leaves the other one in its place: the successor's kill is no excuse before it serves, nor the
/// predecessor's before it has withdrawn.
#[test]
fn one_kill_at_any_step_leaves_a_process_that_serves() {
    for (kill, steps) in [Step::KillPredecessor, Step::KillSuccessor]
        .into_iter()
        .flat_map(|kill| (0..=6).map(move |n| (kill, n)))
    {
        let mut world = World::new();
        let course = [
            Step::PrepareWithLedger,
            Step::DeliverToPredecessor,
            Step::DeliverToSuccessor,
            Step::DeliverToPredecessor,
            Step::DeliverToSuccessor,
            Step::DeliverToPredecessor,
        ];
        for step in &course[..steps] {
            assert!(world.take(*step), "{step:?}");
        }
        let served = world.successor_serves();
        assert_eq!(served, steps >= 5);
        world.take(kill);
        let course = [Step::PrepareWithLedger, Step::DeliverToPredecessor, Step::DeliverToSuccessor];
        for step in course.iter().cycle().take(12) {
            world.take(*step);
        }
        let serves = (world.predecessor_alive && world.predecessor_serves) || world.successor_serves();
        assert!(serves || (served && kill == Step::KillSuccessor), "{kill:?} after {steps} steps");
    }
}

/// The lines that two builds exchange.
#[test]
fn messages_keep_their_form() {
    fn printed(message: &impl serde::Serialize) -> String {
        serde_json::to_string(message).unwrap()
    }
    let lines = [
        printed(&PredecessorMessage::Offer { ledger: true }),
        printed(&PredecessorMessage::Suspended),
        printed(&PredecessorMessage::Committed),
        printed(&PredecessorMessage::Withdrawn { reason: WithdrawReason::NotReady }),
        printed(&SuccessorMessage::Prepared { ledger: false }),
        printed(&SuccessorMessage::Recovered),
        printed(&SuccessorMessage::Serving),
    ];
    assert_eq!(
        lines,
        [
            r#"{"step":"offer","ledger":true}"#,
            r#"{"step":"suspended"}"#,
            r#"{"step":"committed"}"#,
            r#"{"step":"withdrawn","reason":"not-ready"}"#,
            r#"{"step":"prepared","ledger":false}"#,
            r#"{"step":"recovered"}"#,
            r#"{"step":"serving"}"#,
        ]
    );
}
