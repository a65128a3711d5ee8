//! Every step of the lifecycle from every state equals a recorded one, and `status` and logs print phases and stop reasons by
//! the same names as ever.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::collections::BTreeSet;

use chalkyard_state::*;

const TRANSITIONS: &str = include_str!("data/transitions.txt");

const EVENTS: [(LifecycleEvent, &str); 11] = [
    (LifecycleEvent::Tick, "tick"),
    (LifecycleEvent::EndpointsKnown, "listed"),
    (LifecycleEvent::Listening, "listening"),
    (LifecycleEvent::ListenFailed, "listen-failed"),
    (LifecycleEvent::Terminate, "terminate"),
    (LifecycleEvent::Drain, "drain"),
    (LifecycleEvent::Undrain, "undrain"),
    (LifecycleEvent::Reload, "reload"),
    (LifecycleEvent::ListenerHandedOver, "succeeded"),
    (LifecycleEvent::Idle, "idle"),
    (LifecycleEvent::EventLoopFailed, "broken"),
];

fn act(act: &LifecycleAction) -> String {
    match act {
        LifecycleAction::Listen => "listen".into(),
        LifecycleAction::NotifyReady => "say-ready".into(),
        LifecycleAction::NotifyReloading => "say-reloading".into(),
        LifecycleAction::NotifyStopping => "say-stopping".into(),
        LifecycleAction::EnterLameDuck => "leave".into(),
        LifecycleAction::StopAccepting { permanent } => format!("stop-taking-{permanent}"),
        LifecycleAction::ResumeAccepting => "take-again".into(),
        LifecycleAction::ReloadSettings => "reload".into(),
        LifecycleAction::AnswerOpenRequests => "answer-all".into(),
        LifecycleAction::Exit(stop) => {
            format!("exit-{}-{}", serde_json::to_value(stop).unwrap(), stop.exit_code())
        }
    }
}

fn phase(life: &Lifecycle) -> String {
    let due = life.next_due().map_or("never".into(), |at| at.to_string());
    format!("{} until {due}", serde_json::to_value(life.phase()).unwrap())
}

/// All reachable states, each with the shortest sequence of events to it, and all steps from it: at once, and when it is due.
fn transitions(leave: u64) -> Vec<String> {
    let mut lines = Vec::new();
    let begun =
        Lifecycle::new(LifecycleTimeouts { endpoint_wait: 5, lame_duck: leave, drain: 10, flush: 2 }, 0);
    let mut waiting = vec![(begun.clone(), 0, String::from("begun"))];
    let mut seen = BTreeSet::from([begun]);
    while !waiting.is_empty() {
        let (life, now, way) = waiting.remove(0);
        lines.push(format!("leave {leave} at {now}, {way}: {}", phase(&life)));
        for (event, name) in EVENTS {
            let times = [Some(now), life.next_due().filter(|due| *due > now)];
            for at in times.into_iter().flatten() {
                let (mut next, mut acts) = (life.clone(), Vec::new());
                next.handle(at, event, &mut acts);
                if next == life && acts.is_empty() {
                    continue;
                }
                let acts: Vec<String> = acts.iter().map(act).collect();
                lines.push(format!("  {name} at {at} -> {}; {}", phase(&next), acts.join(" ")));
                if seen.insert(next.clone()) {
                    waiting.push((next, at, format!("{way} {name}")));
                }
            }
        }
    }
    lines
}

#[test]
fn every_step_from_every_state_equals_the_recorded_one() {
    let lines = [transitions(0), transitions(3)].concat();
    let recorded: Vec<&str> = TRANSITIONS.lines().collect();
    assert!(lines.len() > 100, "{}", lines.len());
    assert_eq!(lines, recorded);
}

/// `drain_time_up` as the last log line prints it: `DrainTimeUp`.
fn logged(name: &str) -> String {
    let word = |word: &str| word[..1].to_uppercase() + &word[1..];
    name.split('_').map(word).collect()
}

#[test]
fn phases_and_stop_reasons_are_printed_by_their_names() {
    let printed = |value: serde_json::Value| value.as_str().unwrap().to_owned();
    let phases = [
        (Phase::Starting, "starting"),
        (Phase::Binding, "opening"),
        (Phase::Ready, "ready"),
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
        (StopReason::EventLoopFailed, "broken", 1),
    ];
    for (stop, name, code) in stops {
        assert_eq!(stop.log_name(), logged(name), "the log's `reason`");
        assert_eq!(printed(serde_json::to_value(stop).unwrap()), name);
        assert_eq!(stop.exit_code(), code, "{name}");
    }
}
