//! Every order of events, to a depth at which each phase has been left in every possible way.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::BTreeSet;

use chalkyard_state::{Lifecycle, LifecycleAction, LifecycleEvent, LifecycleTimeouts, Phase, StopReason};

const EVENTS: [LifecycleEvent; 12] = [
    LifecycleEvent::Tick,
    LifecycleEvent::EndpointsKnown,
    LifecycleEvent::Listening,
    LifecycleEvent::ListenFailed,
    LifecycleEvent::Terminate,
    LifecycleEvent::Drain,
    LifecycleEvent::Undrain,
    LifecycleEvent::Reload,
    LifecycleEvent::ListenerHandedOver,
    LifecycleEvent::Idle,
    LifecycleEvent::EventLoopFailed,
    LifecycleEvent::Tick,
];

/// The guarantees that can be checked from the actions alone.
#[derive(Clone, Default)]
struct Seen {
    listens: u32,
    ready: u32,
    taking: bool,
    permanent: bool,
    answered: bool,
    /// Its timeouts include a lame-duck phase.
    leaves: bool,
    exits: u32,
}

impl Seen {
    fn act(&mut self, act: LifecycleAction, path: &[LifecycleEvent]) {
        assert_eq!(self.exits, 0, "nothing after the end: {path:?}");
        match act {
            LifecycleAction::Listen => {
                assert!(self.listens == 0 && self.ready == 0, "{path:?}");
                self.listens += 1;
            }
            LifecycleAction::NotifyReady => {
                assert!(
                    self.listens == 1 && path.contains(&LifecycleEvent::Listening),
                    "ready before it listens: {path:?}"
                );
                self.taking |= self.ready == 0;
                self.ready += 1;
            }
            // With a lame-duck phase settings are read until all requests are answered; otherwise only before the stop.
            LifecycleAction::ReloadSettings => {
                assert!(self.ready > 0 && !self.answered && (self.leaves || !self.permanent), "{path:?}");
            }
            LifecycleAction::StopAccepting { permanent } => {
                assert!(!self.permanent, "twice for good: {path:?}");
                (self.taking, self.permanent) = (false, permanent);
            }
            LifecycleAction::ResumeAccepting => {
                assert!(!self.taking && !self.permanent, "{path:?}");
                self.taking = true;
            }
            LifecycleAction::AnswerOpenRequests => self.answered = true,
            LifecycleAction::Exit(stop) => {
                self.exits += 1;
                // Every accepted request has its answer: it ended (Idle), or all were answered, or none was accepted.
                let none_taken = self.ready == 0;
                let by_itself = path.last() == Some(&LifecycleEvent::Idle);
                assert!(none_taken || by_itself || self.answered, "left without an answer: {path:?}");
                assert_eq!(stop.exit_code() == 0, stop == StopReason::Drained);
            }
            LifecycleAction::EnterLameDuck => assert!(self.taking && !self.permanent, "{path:?}"),
            LifecycleAction::NotifyReloading | LifecycleAction::NotifyStopping => {}
        }
    }
}

fn walk(
    life: &Lifecycle,
    seen: &Seen,
    now: u64,
    path: &mut Vec<LifecycleEvent>,
    depth: usize,
    phases: &mut BTreeSet<(Phase, Phase)>,
) {
    if depth == 0 {
        return;
    }
    for (i, event) in EVENTS.into_iter().enumerate() {
        // One tick comes when it is due, the other at once.
        let later = if i == 0 { life.next_due().unwrap_or(now).max(now) } else { now };
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
        assert_eq!(seen.exits == 1, next.phase() == Phase::Stopped, "{path:?}");
        walk(&next, &seen, later, path, depth - 1, phases);
        path.pop();
    }
}

#[test]
fn every_order_of_events_keeps_the_guarantees() {
    use Phase::*;
    let moves = |leave| {
        let life =
            Lifecycle::new(LifecycleTimeouts { endpoint_wait: 5, lame_duck: leave, drain: 10, flush: 2 }, 0);
        let mut phases = BTreeSet::new();
        let seen = Seen { leaves: leave > 0, ..Seen::default() };
        walk(&life, &seen, 0, &mut Vec::new(), 9, &mut phases);
        phases.into_iter().filter(|(a, b)| a != b).collect::<Vec<(Phase, Phase)>>()
    };
    let expected = [
        (Starting, Binding),
        (Starting, Stopped),
        (Binding, Ready),
        (Binding, Stopped),
        (Ready, Paused),
        (Ready, Draining),
        (Ready, Stopped),
        (Paused, Ready),
        (Paused, Draining),
        (Paused, Stopped),
        (Draining, Flushing),
        (Draining, Stopped),
        (Flushing, Stopped),
    ];
    assert_eq!(moves(0), expected);
    // With a lame-duck phase there are these in addition.
    let slowly = moves(3);
    let more: Vec<_> = slowly.iter().filter(|m| !expected.contains(m)).copied().collect();
    assert_eq!(more, [(Ready, LameDuck), (LameDuck, Draining), (LameDuck, Flushing), (LameDuck, Stopped)]);
}

#[test]
fn second_termination_and_drain_timeout_have_their_own_exit_codes() {
    let end = |events: &[(u64, LifecycleEvent)]| {
        let mut life =
            Lifecycle::new(LifecycleTimeouts { endpoint_wait: 5, lame_duck: 0, drain: 10, flush: 2 }, 0);
        let mut acts = Vec::new();
        for (now, event) in events {
            life.handle(*now, *event, &mut acts);
        }
        acts
    };
    let up =
        [(1, LifecycleEvent::EndpointsKnown), (1, LifecycleEvent::Listening), (2, LifecycleEvent::Terminate)];
    let twice = [&up[..], &[(3, LifecycleEvent::Terminate), (4, LifecycleEvent::Idle)]].concat();
    assert_eq!(
        end(&twice)[4..],
        [LifecycleAction::AnswerOpenRequests, LifecycleAction::Exit(StopReason::TerminatedTwice)]
    );
    let late = [
        &up[..],
        &[
            (11, LifecycleEvent::Tick),
            (12, LifecycleEvent::Tick),
            (13, LifecycleEvent::Tick),
            (14, LifecycleEvent::Tick),
        ],
    ]
    .concat();
    assert_eq!(
        end(&late)[4..],
        [LifecycleAction::AnswerOpenRequests, LifecycleAction::Exit(StopReason::DrainTimedOut)]
    );
    assert_eq!(
        end(&[(1, LifecycleEvent::Reload), (5, LifecycleEvent::Tick), (5, LifecycleEvent::Listening)])[1..]
            .len(),
        4
    );
}
