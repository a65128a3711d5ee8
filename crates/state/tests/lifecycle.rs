//! Checks the lifecycle's guarantees in every order of events, to a depth at which every phase transition has occurred.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::BTreeSet;

use chalkyard_state::{Lifecycle, LifecycleAction, LifecycleEvent, LifecycleTimeouts, Phase, StopReason};

const EVENTS: [LifecycleEvent; 16] = [
    LifecycleEvent::Tick,
    LifecycleEvent::EndpointsKnown,
    LifecycleEvent::Listening,
    LifecycleEvent::ListenFailed,
    LifecycleEvent::Terminate,
    LifecycleEvent::Drain,
    LifecycleEvent::Undrain,
    LifecycleEvent::Reload,
    LifecycleEvent::TakeOverFailed,
    LifecycleEvent::HandoverSuspended,
    LifecycleEvent::HandoverGranted,
    LifecycleEvent::HandoverWithdrawn,
    LifecycleEvent::ListenerHandedOver,
    LifecycleEvent::Idle,
    LifecycleEvent::EventLoopFailed,
    LifecycleEvent::Tick,
];

/// The actions of one path so far, as far as the guarantees depend on them.
#[derive(Clone, Default)]
struct ObservedActions {
    listen_count: u32,
    ready_count: u32,
    is_accepting: bool,
    stopped_permanently: bool,
    answered_open: bool,
    /// The lifecycle under test has a lame-duck phase.
    has_lame_duck: bool,
    exit_count: u32,
}

impl ObservedActions {
    fn record(&mut self, action: LifecycleAction, path: &[LifecycleEvent]) {
        assert_eq!(self.exit_count, 0, "action after exit: {path:?}");
        match action {
            LifecycleAction::Listen => {
                assert!(self.listen_count == 0 && self.ready_count == 0, "{path:?}");
                self.listen_count += 1;
            }
            LifecycleAction::NotifyReady => {
                assert!(
                    self.listen_count == 1 && path.contains(&LifecycleEvent::Listening),
                    "ready before the listening socket is open: {path:?}"
                );
                self.is_accepting |= self.ready_count == 0;
                self.ready_count += 1;
            }
            // With a lame-duck phase, settings are reloaded until open requests are answered_open; without one, only until accepting stops.
            LifecycleAction::ReloadSettings => {
                assert!(
                    self.ready_count > 0
                        && !self.answered_open
                        && (self.has_lame_duck || !self.stopped_permanently),
                    "{path:?}"
                );
            }
            LifecycleAction::StopAccepting { permanent } => {
                assert!(!self.stopped_permanently, "accepting stopped permanently twice: {path:?}");
                (self.is_accepting, self.stopped_permanently) = (false, permanent);
            }
            LifecycleAction::SuspendAccepting => {
                assert!(self.is_accepting && !self.stopped_permanently, "{path:?}");
                self.is_accepting = false;
            }
            LifecycleAction::ResumeAccepting => {
                assert!(!self.is_accepting && !self.stopped_permanently, "{path:?}");
                self.is_accepting = true;
            }
            LifecycleAction::AnswerOpenRequests => self.answered_open = true,
            LifecycleAction::Exit(stop) => {
                self.exit_count += 1;
                // Every accepted request has its answer: all had ended (Idle), open ones were answered_open, or none was accepted.
                let none_accepted = self.ready_count == 0;
                let all_ended = path.last() == Some(&LifecycleEvent::Idle);
                assert!(
                    none_accepted || all_ended || self.answered_open,
                    "exit without answering open requests: {path:?}"
                );
                assert_eq!(stop.exit_code() == 0, stop == StopReason::Drained);
            }
            LifecycleAction::EnterLameDuck => {
                assert!(self.is_accepting && !self.stopped_permanently, "{path:?}")
            }
            LifecycleAction::NotifyReloading | LifecycleAction::NotifyStopping => {}
        }
    }
}

fn explore(
    lifecycle: &Lifecycle,
    seen: &ObservedActions,
    now: u64,
    path: &mut Vec<LifecycleEvent>,
    depth: usize,
    phase_changes: &mut BTreeSet<(Phase, Phase)>,
) {
    if depth == 0 {
        return;
    }
    for (i, event) in EVENTS.into_iter().enumerate() {
        // The first tick is reported when it is due, the last one immediately.
        let at = if i == 0 { lifecycle.next_due().unwrap_or(now).max(now) } else { now };
        let (mut next, mut actions, mut seen) = (lifecycle.clone(), Vec::new(), seen.clone());
        next.handle(at, event, &mut actions);
        if next == *lifecycle && actions.is_empty() {
            continue;
        }
        phase_changes.insert((lifecycle.phase(), next.phase()));
        path.push(event);
        for action in actions {
            seen.record(action, path);
        }
        assert_eq!(seen.exit_count == 1, next.phase() == Phase::Stopped, "{path:?}");
        explore(&next, &seen, at, path, depth - 1, phase_changes);
        path.pop();
    }
}

#[test]
fn guarantees_hold_in_every_order_of_events() {
    use Phase::*;
    let transitions = |lame_duck_time| {
        let lifecycle = Lifecycle::new(
            LifecycleTimeouts { endpoint_wait: 5, lame_duck: lame_duck_time, drain: 10, flush: 2 },
            0,
        );
        let mut phase_changes = BTreeSet::new();
        let seen = ObservedActions { has_lame_duck: lame_duck_time > 0, ..ObservedActions::default() };
        explore(&lifecycle, &seen, 0, &mut Vec::new(), 9, &mut phase_changes);
        phase_changes.into_iter().filter(|(a, b)| a != b).collect::<Vec<(Phase, Phase)>>()
    };
    let expected = [
        (Starting, Binding),
        (Starting, Stopped),
        (Binding, Ready),
        (Binding, Stopped),
        (Ready, HandingOver),
        (Ready, Paused),
        (Ready, Draining),
        (Ready, Stopped),
        (HandingOver, Ready),
        (HandingOver, Paused),
        (HandingOver, Draining),
        (HandingOver, Stopped),
        (Paused, Ready),
        (Paused, Draining),
        (Paused, Stopped),
        (Draining, Flushing),
        (Draining, Stopped),
        (Flushing, Stopped),
    ];
    assert_eq!(transitions(0), expected);
    // Transitions that exist only with a lame-duck phase.
    let with_lame_duck = transitions(3);
    let additional: Vec<_> = with_lame_duck.iter().filter(|m| !expected.contains(m)).copied().collect();
    assert_eq!(
        additional,
        [(Ready, LameDuck), (LameDuck, Draining), (LameDuck, Flushing), (LameDuck, Stopped)]
    );
}

#[test]
fn second_termination_and_drain_timeout_have_their_own_exit_codes() {
    let actions_after = |events: &[(u64, LifecycleEvent)]| {
        let mut lifecycle =
            Lifecycle::new(LifecycleTimeouts { endpoint_wait: 5, lame_duck: 0, drain: 10, flush: 2 }, 0);
        let mut actions = Vec::new();
        for (now, event) in events {
            lifecycle.handle(*now, *event, &mut actions);
        }
        actions
    };
    let terminated =
        [(1, LifecycleEvent::EndpointsKnown), (1, LifecycleEvent::Listening), (2, LifecycleEvent::Terminate)];
    let twice = [&terminated[..], &[(3, LifecycleEvent::Terminate), (4, LifecycleEvent::Idle)]].concat();
    assert_eq!(
        actions_after(&twice)[4..],
        [LifecycleAction::AnswerOpenRequests, LifecycleAction::Exit(StopReason::TerminatedTwice)]
    );
    let drain_timed_out = [
        &terminated[..],
        &[
            (11, LifecycleEvent::Tick),
            (12, LifecycleEvent::Tick),
            (13, LifecycleEvent::Tick),
            (14, LifecycleEvent::Tick),
        ],
    ]
    .concat();
    assert_eq!(
        actions_after(&drain_timed_out)[4..],
        [LifecycleAction::AnswerOpenRequests, LifecycleAction::Exit(StopReason::DrainTimedOut)]
    );
    assert_eq!(
        actions_after(&[
            (1, LifecycleEvent::Reload),
            (5, LifecycleEvent::Tick),
            (5, LifecycleEvent::Listening)
        ])[1..]
            .len(),
        4
    );
}
