//! All orders of events, to a depth at which every phase has been left by every way.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::BTreeSet;

use chalkyard_state::{Act, Event, Life, Phase, Stop, Terms};

const EVENTS: [Event; 12] = [
    Event::Tick,
    Event::Listed,
    Event::Listening,
    Event::ListenFailed,
    Event::Terminate,
    Event::Drain,
    Event::Undrain,
    Event::Reload,
    Event::Succeeded,
    Event::Idle,
    Event::Broken,
    Event::Tick,
];

/// What an onlooker may hold against it, from the acts alone.
#[derive(Clone, Default)]
struct Seen {
    listens: u32,
    ready: u32,
    taking: bool,
    for_good: bool,
    answered: bool,
    /// Its terms let it leave slowly.
    leaves: bool,
    exits: u32,
}

impl Seen {
    fn act(&mut self, act: Act, path: &[Event]) {
        assert_eq!(self.exits, 0, "nothing after the end: {path:?}");
        match act {
            Act::Listen => {
                assert!(self.listens == 0 && self.ready == 0, "{path:?}");
                self.listens += 1;
            }
            Act::SayReady => {
                assert!(
                    self.listens == 1 && path.contains(&Event::Listening),
                    "ready before it listens: {path:?}"
                );
                self.taking |= self.ready == 0;
                self.ready += 1;
            }
            // One that leaves slowly follows what moves meanwhile; nobody does once all have their answers.
            Act::Reload => {
                assert!(self.ready > 0 && !self.answered && (self.leaves || !self.for_good), "{path:?}");
            }
            Act::StopTaking { for_good } => {
                assert!(!self.for_good, "twice for good: {path:?}");
                (self.taking, self.for_good) = (false, for_good);
            }
            Act::TakeAgain => {
                assert!(!self.taking && !self.for_good, "{path:?}");
                self.taking = true;
            }
            Act::AnswerAll => self.answered = true,
            Act::Exit(stop) => {
                self.exits += 1;
                // Who was taken has an answer: it ended by itself (Idle), or all were answered, or none were taken.
                let none_taken = self.ready == 0;
                let by_itself = path.last() == Some(&Event::Idle);
                assert!(none_taken || by_itself || self.answered, "left without an answer: {path:?}");
                assert_eq!(stop.code() == 0, stop == Stop::Drained);
            }
            Act::Leave => assert!(self.taking && !self.for_good, "{path:?}"),
            Act::SayReloading | Act::SayStopping => {}
        }
    }
}

fn walk(
    life: &Life,
    seen: &Seen,
    now: u64,
    path: &mut Vec<Event>,
    depth: usize,
    phases: &mut BTreeSet<(Phase, Phase)>,
) {
    if depth == 0 {
        return;
    }
    for (i, event) in EVENTS.into_iter().enumerate() {
        // One tick comes at once, the other when it is due.
        let later = if i == 0 { life.due().unwrap_or(now).max(now) } else { now };
        let (mut next, mut acts, mut seen) = (life.clone(), Vec::new(), seen.clone());
        next.handle(later, event, &mut acts);
        if next == *life && acts.is_empty() {
            continue;
        }
        phases.insert((life.phase(), next.phase()));
        path.push(event);
        for act in acts {
            seen.act(act, path);
        }
        assert_eq!(seen.exits == 1, next.phase() == Phase::Over, "{path:?}");
        walk(&next, &seen, later, path, depth - 1, phases);
        path.pop();
    }
}

#[test]
fn all_orders_of_events() {
    use Phase::*;
    let moves = |leave| {
        let life = Life::new(Terms { start: 5, leave, drain: 10, farewell: 2 }, 0);
        let mut phases = BTreeSet::new();
        let seen = Seen { leaves: leave > 0, ..Seen::default() };
        walk(&life, &seen, 0, &mut Vec::new(), 9, &mut phases);
        phases.into_iter().filter(|(a, b)| a != b).collect::<Vec<(Phase, Phase)>>()
    };
    let expected = [
        (Starting, Opening),
        (Starting, Over),
        (Opening, Ready),
        (Opening, Over),
        (Ready, Drained),
        (Ready, Ending),
        (Ready, Over),
        (Drained, Ready),
        (Drained, Ending),
        (Drained, Over),
        (Ending, Farewell),
        (Ending, Over),
        (Farewell, Over),
    ];
    assert_eq!(moves(0), expected);
    // One that leaves slowly takes what still comes before it ends.
    let slowly = moves(3);
    let more: Vec<_> = slowly.iter().filter(|m| !expected.contains(m)).copied().collect();
    assert_eq!(more, [(Ready, Leaving), (Leaving, Ending), (Leaving, Farewell), (Leaving, Over)]);
}

#[test]
fn a_second_signal_and_the_drains_time_end_it_with_their_own_codes() {
    let end = |events: &[(u64, Event)]| {
        let mut life = Life::new(Terms { start: 5, leave: 0, drain: 10, farewell: 2 }, 0);
        let mut acts = Vec::new();
        for (now, event) in events {
            life.handle(*now, *event, &mut acts);
        }
        acts
    };
    let up = [(1, Event::Listed), (1, Event::Listening), (2, Event::Terminate)];
    let twice = [&up[..], &[(3, Event::Terminate), (4, Event::Idle)]].concat();
    assert_eq!(end(&twice)[4..], [Act::AnswerAll, Act::Exit(Stop::Told)]);
    let late =
        [&up[..], &[(11, Event::Tick), (12, Event::Tick), (13, Event::Tick), (14, Event::Tick)]].concat();
    assert_eq!(end(&late)[4..], [Act::AnswerAll, Act::Exit(Stop::DrainTimeUp)]);
    assert_eq!(end(&[(1, Event::Reload), (5, Event::Tick), (5, Event::Listening)])[1..].len(), 4);
}
