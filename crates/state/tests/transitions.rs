//! Compares every transition from every reachable state with a recorded one, and checks the names that `status` and the logs
//! print for phases and stop reasons, which operators' tools match.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::BTreeSet;

use chalkyard_state::*;

const TRANSITIONS: &str = include_str!("data/transitions.txt");

const EVENTS: [(LifecycleEvent, &str); 15] = [
    (LifecycleEvent::Tick, "tick"),
    (LifecycleEvent::EndpointsKnown, "listed"),
    (LifecycleEvent::Listening, "listening"),
    (LifecycleEvent::ListenFailed, "listen-failed"),
    (LifecycleEvent::Terminate, "terminate"),
    (LifecycleEvent::Drain, "drain"),
    (LifecycleEvent::Undrain, "undrain"),
    (LifecycleEvent::Reload, "reload"),
    (LifecycleEvent::TakeOverFailed, "take-over-failed"),
    (LifecycleEvent::HandoverSuspended, "suspended"),
    (LifecycleEvent::HandoverGranted, "granted"),
    (LifecycleEvent::HandoverWithdrawn, "withdrawn"),
    (LifecycleEvent::ListenerHandedOver, "succeeded"),
    (LifecycleEvent::Idle, "idle"),
    (LifecycleEvent::EventLoopFailed, "broken"),
];

fn action_label(action: &LifecycleAction) -> String {
    match action {
        LifecycleAction::Listen => "listen".into(),
        LifecycleAction::NotifyReady => "say-ready".into(),
        LifecycleAction::NotifyReloading => "say-reloading".into(),
        LifecycleAction::NotifyStopping => "say-stopping".into(),
        LifecycleAction::EnterLameDuck => "leave".into(),
        LifecycleAction::StopAccepting { permanent } => format!("stop-taking-{permanent}"),
        LifecycleAction::SuspendAccepting => "suspend-taking".into(),
        LifecycleAction::ResumeAccepting => "take-again".into(),
        LifecycleAction::ReloadSettings => "reload".into(),
        LifecycleAction::AnswerOpenRequests => "answer-all".into(),
        LifecycleAction::Exit(stop) => {
            format!("exit-{}-{}", serde_json::to_value(stop).unwrap(), stop.exit_code())
        }
    }
}

fn phase_label(lifecycle: &Lifecycle) -> String {
    let due = lifecycle.next_due().map_or("never".into(), |at| at.to_string());
    format!("{} until {due}", serde_json::to_value(lifecycle.phase()).unwrap())
}

/// Lists all reachable states, each with the shortest sequence of events to it, and all transitions from it: at the time of the
/// state, and when its timeout is due.
fn transitions(lame_duck_time: u64) -> Vec<String> {
    let mut lines = Vec::new();
    let initial = Lifecycle::new(
        LifecycleTimeouts { endpoint_wait: 5, lame_duck: lame_duck_time, drain: 10, flush: 2 },
        0,
    );
    let mut waiting = vec![(initial.clone(), 0, String::from("begun"))];
    let mut seen = BTreeSet::from([initial]);
    while !waiting.is_empty() {
        let (lifecycle, now, path) = waiting.remove(0);
        lines.push(format!("leave {lame_duck_time} at {now}, {path}: {}", phase_label(&lifecycle)));
        for (event, name) in EVENTS {
            let times = [Some(now), lifecycle.next_due().filter(|due| *due > now)];
            for at in times.into_iter().flatten() {
                let (mut next, mut actions) = (lifecycle.clone(), Vec::new());
                next.handle(at, event, &mut actions);
                if next == lifecycle && actions.is_empty() {
                    continue;
                }
                let actions: Vec<String> = actions.iter().map(action_label).collect();
                lines.push(format!("  {name} at {at} -> {}; {}", phase_label(&next), actions.join(" ")));
                if seen.insert(next.clone()) {
                    waiting.push((next, at, format!("{path} {name}")));
                }
            }
        }
    }
    lines
}

#[test]
fn transitions_from_every_state_match_the_recorded_ones() {
    let lines = [transitions(0), transitions(3)].concat();
    let recorded: Vec<&str> = TRANSITIONS.lines().collect();
    assert!(lines.len() > 100, "{}", lines.len());
    assert_eq!(lines, recorded);
}

/// Converts a serialized name to the form of the last log line: `drain_time_up` to `DrainTimeUp`.
fn log_name(name: &str) -> String {
    let word = |word: &str| word[..1].to_uppercase() + &word[1..];
    name.split('_').map(word).collect()
}

#[test]
fn phases_and_stop_reasons_keep_their_printed_names() {
    let printed = |value: serde_json::Value| value.as_str().unwrap().to_owned();
    let phases = [
        (Phase::Starting, "starting"),
        (Phase::Binding, "opening"),
        (Phase::Ready, "ready"),
        (Phase::HandingOver, "handing_over"),
        (Phase::Paused, "drained"),
        (Phase::LameDuck, "leaving"),
        (Phase::Draining, "ending"),
        (Phase::Flushing, "farewell"),
        (Phase::Stopped, "over"),
    ];
    for (phase, name) in phases {
        assert_eq!(printed(serde_json::to_value(phase).unwrap()), name);
    }
    let stops = [
        (StopReason::Drained, "drained", 0),
        (StopReason::DrainTimedOut, "drain_time_up", 4),
        (StopReason::TerminatedTwice, "told", 5),
        (StopReason::ListenFailed, "no_listening", 1),
        (StopReason::TakeOverFailed, "take_over_failed", 1),
        (StopReason::EventLoopFailed, "broken", 1),
    ];
    for (stop, name, code) in stops {
        assert_eq!(stop.log_name(), log_name(name), "the log's `reason`");
        assert_eq!(printed(serde_json::to_value(stop).unwrap()), name);
        assert_eq!(stop.exit_code(), code, "{name}");
    }
}
