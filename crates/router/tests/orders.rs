//! Exhaustive exploration of event orders around one core with three workers. Every sequence of events up to the depths
//! stated here is replayed from the start and checked by the rules of `common/day.rs`. No wall clock, no randomness.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy as p;
use chalkyard_router::Config;
use common::day::*;
use common::*;

/// The space of event sequences to explore.
struct Scope {
    /// Length of the sequences.
    depth: usize,
    /// Maximum number of requests.
    requests: usize,
    /// Kinds of requests: whether they are non-idempotent, and whether their prompt is long.
    request_kinds: &'static [(bool, bool)],
    /// Kinds of replies by workers.
    replies: &'static [u8],
    /// Ports of workers whose state changes in the endpoint list.
    list_changes: &'static [u16],
    /// Steps of time, in ms.
    time_steps: &'static [u64],
}

/// The setup of the core. The checker assumes the correct setup, so an incorrect one must break a rule.
struct Setup {
    config: Config,
    lose_list_changes: bool,
}

fn correct_setup() -> Setup {
    Setup { config: config(), lose_list_changes: false }
}

fn new_simulation(setup: &Setup) -> Simulation {
    let mut simulation = Simulation::new(setup.config.clone(), TIME_LIMITS, &default_workers(), true);
    simulation.lose_list_changes = setup.lose_list_changes;
    // Long enough to be prefilled at the prefill worker.
    simulation.long = 1_200;
    simulation
}

/// All events that can happen next.
fn steps(simulation: &Simulation, scope: &Scope) -> Vec<Step> {
    let (sent, calls) = simulation.open();
    let mut out = Vec::new();
    if sent < scope.requests {
        out.extend(scope.request_kinds.iter().map(|(non_idempotent, long)| Step::SendRequest {
            non_idempotent: *non_idempotent,
            stream: true,
            long: *long,
        }));
    }
    for index in 0..calls.len() {
        out.extend(scope.replies.iter().map(|kind| Step::Reply { index, kind: *kind }));
        out.extend([true, false].map(|reset| Step::LoseWorker { index, reset }));
    }
    if simulation.clients() > 0 {
        out.extend([true, false].map(|eof| Step::LoseClient { index: sent - 1, eof }));
    }
    for port in scope.list_changes {
        let state = if simulation.stopped(*port) { "in" } else { "draining" };
        out.push(Step::ListChange { port: *port, state });
    }
    out.extend(scope.time_steps.iter().map(|millis| Step::Advance { millis: *millis }));
    out
}

/// Prints the sequence of events if the test panics.
struct PrintOnPanic<'a>(&'a [Step]);

impl Drop for PrintOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("after {:?}", self.0);
        }
    }
}

fn replay(setup: &Setup, path: &[Step]) -> Simulation {
    let _print_on_panic = PrintOnPanic(path);
    let mut simulation = new_simulation(setup);
    for step in path {
        simulation.step(step);
    }
    simulation
}

fn explore(setup: &Setup, scope: &Scope, path: &mut Vec<Step>, count: &mut (u64, u64)) {
    let simulation = replay(setup, path);
    count.0 += 1;
    if path.len() == scope.depth {
        count.1 += 1;
        let _print_on_panic = PrintOnPanic(path);
        return simulation.finish();
    }
    for step in steps(&simulation, scope) {
        path.push(step);
        explore(setup, scope, path, count);
        path.pop();
    }
}

fn run(name: &str, setup: &Setup, scope: &Scope) {
    let mut count = (0, 0);
    explore(setup, scope, &mut Vec::new(), &mut count);
    println!("{name}: depth {}, {} states, {} complete sequences", scope.depth, count.0, count.1);
    assert!(count.1 > 0, "no sequence reached the depth");
}

/// One request, idempotent or not: all outcomes of its attempts, a disconnecting client, and time.
const ONE_REQUEST: Scope = Scope {
    depth: 5,
    requests: 1,
    request_kinds: &[(false, true), (true, true)],
    replies: &[0, 1, 2, 3, 4, 5, 6],
    list_changes: &[],
    time_steps: &[400, 2_100],
};

/// One request while the prefill worker and a decode worker drain and come back with a slow start.
const LIST_CHANGES: Scope = Scope {
    depth: 5,
    requests: 1,
    request_kinds: &[(false, true), (true, true)],
    replies: &[0, 6],
    list_changes: &[1, 2],
    time_steps: &[1_100],
};

/// Two concurrent requests, on reused connections.
const TWO_REQUESTS: Scope = Scope {
    depth: 5,
    requests: 2,
    request_kinds: &[(false, false), (true, true)],
    replies: &[2, 6],
    list_changes: &[],
    time_steps: &[700],
};

#[test]
fn every_order_of_events_of_one_request_satisfies_the_rules() {
    run("one request", &correct_setup(), &ONE_REQUEST);
}

#[test]
fn every_order_of_events_and_list_changes_satisfies_the_rules() {
    run("with list changes", &correct_setup(), &LIST_CHANGES);
}

#[test]
fn every_order_of_events_of_two_requests_satisfies_the_rules() {
    run("two requests", &correct_setup(), &TWO_REQUESTS);
}

// ---- The checker detects a violation of each rule. The core is misconfigured; the checker is not.

fn run_misconfigured(change: impl Fn(&mut p::Settings), lose_list_changes: bool, scope: &Scope) {
    let mut config = config();
    change(&mut config.policy);
    run("misconfigured", &Setup { config, lose_list_changes }, scope);
}

#[test]
#[should_panic(expected = "rule 1")]
fn a_late_answer_is_detected() {
    let later_deadline = |s: &mut p::Settings| s.classes.iter_mut().for_each(|c| c.deadline = ms(8_000));
    run_misconfigured(later_deadline, false, &Scope { depth: 3, time_steps: &[4_200], ..ONE_REQUEST });
}

#[test]
#[should_panic(expected = "rule 2")]
fn a_repeated_non_idempotent_request_is_detected() {
    run_misconfigured(
        |s| s.classes[1].retry_safety = p::RetrySafety::Idempotent,
        false,
        &Scope { request_kinds: &[(true, true)], ..ONE_REQUEST },
    );
}

#[test]
#[should_panic(expected = "rule 3")]
fn an_attempt_at_a_draining_worker_is_detected() {
    run_misconfigured(|_| {}, true, &Scope { depth: 3, ..LIST_CHANGES });
}

#[test]
#[should_panic(expected = "rule 4")]
fn an_overloaded_worker_in_slow_start_is_detected() {
    let scope = Scope {
        depth: 6,
        requests: 4,
        request_kinds: &[(false, false)],
        replies: &[],
        list_changes: &[2],
        time_steps: &[],
    };
    run_misconfigured(|s| s.slow_start_duration = p::Micros(0), false, &scope);
}

#[test]
#[should_panic(expected = "rule 5")]
fn an_overdue_release_is_detected() {
    let scope = Scope { depth: 5, replies: &[6], list_changes: &[2, 3], time_steps: &[1_300], ..ONE_REQUEST };
    run_misconfigured(|s| s.reservation_timeout = ms(3_000), false, &scope);
}
