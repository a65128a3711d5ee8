//! Exhaustive exploration: every order of a few events on a fleet of four workers, to the depths stated here, with the
//! five rules of `common/audit.rs` checked after each event. No randomness, no wall clock.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use std::collections::HashSet;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};

use chalkyard_policy::*;
use common::audit::Audit;
use common::*;

const LONG: u64 = 6_000;
const SHORT: u64 = 20;

/// One step of an exploration.
#[derive(Debug, Clone)]
enum Step {
    Submit(ClassId, u64),
    End(RequestId, usize, Outcome),
    Stream(RequestId, usize),
    Disconnect(RequestId),
    SetLifecycle(WorkerId, Lifecycle),
    /// Advances the clock to the next time at which something is due.
    AdvanceToNextDue,
}

/// The bounds of an exploration.
#[derive(Debug, Clone)]
struct Scope {
    depth: usize,
    requests: u32,
    /// Classes and prompt lengths of the requests.
    submissions: Vec<(ClassId, u64)>,
    /// Outcomes that attempts may end with besides success.
    outcomes: Vec<Outcome>,
    /// Workers whose lifecycle changes, `list_updates` times in all at most.
    listed_workers: Vec<&'static str>,
    list_updates: usize,
}

/// Two prefill and two decode workers, one of each in each of two cells.
fn two_cell_fleet() -> Vec<Worker> {
    let pair =
        |i: u64| [worker(&format!("r{i}"), Role::Prefill, i), worker(&format!("w{i}"), Role::Decode, i)];
    (0..2).flat_map(pair).collect()
}

/// Hashes the text that is written to it.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, s: &str) -> std::fmt::Result {
        self.0.write(s.as_bytes());
        Ok(())
    }
}

/// The hash of a state: the router, what the audit has recorded, and how much may still happen.
fn state_hash(audit: &Audit, list_updates: usize, steps_left: usize) -> u64 {
    let mut text = HashWriter(DefaultHasher::new());
    let seen = (
        &audit.rig,
        &audit.workers,
        &audit.unavailable,
        &audit.requests,
        &audit.timers,
        &audit.sends,
        &audit.completions,
    );
    write!(text, "{seen:?} {list_updates} {steps_left}").unwrap();
    text.0.finish()
}

fn steps(audit: &Audit, scope: &Scope, list_updates: usize) -> Vec<Step> {
    let mut out = Vec::new();
    if audit.last_id < scope.requests {
        out.extend(scope.submissions.iter().map(|(class, tokens)| Step::Submit(*class, *tokens)));
    }
    for (id, request) in &audit.requests {
        for (n, attempt) in
            request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.may_have_run.is_none())
        {
            let is_prefill = audit.workers[&attempt.worker].role == Role::Prefill;
            let mut end = |outcome| out.push(Step::End(id.clone(), n, outcome));
            if attempt.streaming {
                end(Outcome::Served);
                end(Outcome::ConnectionLost);
                continue;
            }
            if is_prefill {
                end(Outcome::Prefilled);
            }
            scope.outcomes.iter().for_each(|o| end(*o));
            if audit.cancelled.contains(&(id.clone(), n)) {
                end(Outcome::Cancelled);
            }
            if !is_prefill {
                out.push(Step::Stream(id.clone(), n));
            }
        }
        if !request.ended {
            out.push(Step::Disconnect(id.clone()));
        }
    }
    if list_updates < scope.list_updates {
        for id in &scope.listed_workers {
            let id: WorkerId = (*id).into();
            let to: &[Lifecycle] = match audit.workers[&id].lifecycle {
                Lifecycle::Active => &[Lifecycle::Draining, Lifecycle::Removed],
                Lifecycle::Draining => &[Lifecycle::Active, Lifecycle::Removed],
                Lifecycle::Removed => &[Lifecycle::Active],
            };
            out.extend(to.iter().map(|to| Step::SetLifecycle(id.clone(), *to)));
        }
    }
    if audit.next_due().is_some() {
        out.push(Step::AdvanceToNextDue);
    }
    out
}

fn apply_step(audit: &mut Audit, step: &Step) {
    match step {
        Step::Submit(class, tokens) => audit.submit("s", *class, *tokens),
        Step::End(id, n, outcome) => {
            let ended = audit.requests[id].attempts[*n].streaming;
            audit.end_attempt(id, *n, *outcome, ended);
        }
        Step::Stream(id, n) => audit.start_stream(id, *n),
        Step::Disconnect(id) => audit.client_gone(id),
        Step::SetLifecycle(id, to) => audit.set_lifecycle(id, *to),
        Step::AdvanceToNextDue => {
            let at = audit.next_due().expect("something is due");
            audit.advance(at - audit.rig.now);
        }
    }
}

#[derive(Debug, Default)]
struct Explored {
    states: HashSet<u64>,
    steps: u64,
    complete_runs: u64,
}

/// Prints the steps that led to a violation when an assertion unwinds.
struct FailingPath<'a>(&'a [Step]);

impl Drop for FailingPath<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("after {:?}", self.0);
        }
    }
}

fn explore(audit: &Audit, scope: &Scope, list_updates: usize, path: &mut Vec<Step>, seen: &mut Explored) {
    let steps_left = scope.depth - path.len();
    if !seen.states.insert(state_hash(audit, list_updates, steps_left)) {
        return;
    }
    if steps_left == 0 {
        // No further event comes: the request must still be answered and its reserved state released.
        seen.complete_runs += 1;
        let mut finished = audit.clone();
        let _report_path = FailingPath(path);
        let streaming: Vec<(RequestId, usize)> = (finished.requests.iter())
            .flat_map(|(id, request)| {
                request.attempts.iter().enumerate().map(move |(n, attempt)| (id, n, attempt))
            })
            .filter(|(_, _, attempt)| attempt.streaming && attempt.may_have_run.is_none())
            .map(|(id, n, _)| (id.clone(), n))
            .collect();
        for (id, n) in streaming {
            finished.end_attempt(&id, n, Outcome::Served, true);
        }
        finished.advance(secs(8.0));
        for (id, request) in &finished.requests {
            assert!(request.ended, "rule 1: {id:?} never got a final answer");
            assert!(!request.reserved, "rule 5: {id:?} still holds reserved state at the end");
        }
        assert!(
            format!("{:?}", finished.rig.router)
                .contains(" waiting: WaitingRequests { count: 0, arrival_sum: 0 }"),
            "requests are still counted as waiting"
        );
        return;
    }
    for step in steps(audit, scope, list_updates) {
        let mut next = audit.clone();
        path.push(step.clone());
        {
            let _report_path = FailingPath(path);
            apply_step(&mut next, &step);
        }
        seen.steps += 1;
        explore(&next, scope, list_updates + usize::from(matches!(step, Step::SetLifecycle(..))), path, seen);
        path.pop();
    }
}

fn run(name: &str, start: &Audit, scope: &Scope) -> Explored {
    let mut seen = Explored::default();
    explore(start, scope, 0, &mut Vec::new(), &mut seen);
    let (states, steps, runs) = (seen.states.len(), seen.steps, seen.complete_runs);
    println!("{name}: depth {}, {states} states, {steps} steps, {runs} complete runs", scope.depth);
    assert!(runs > 0, "no run reached the depth");
    seen
}

fn all_failures() -> Vec<Outcome> {
    vec![
        Outcome::ServerError,
        Outcome::Rejected { no_state: false },
        Outcome::Rejected { no_state: true },
        Outcome::NoConnection,
        Outcome::ConnectionLost,
        Outcome::NotSent,
    ]
}

/// One request of any class, every way for an attempt to end, no list updates.
fn one_request() -> Scope {
    Scope {
        depth: 9,
        requests: 1,
        submissions: vec![
            (IDEMPOTENT, LONG),
            (NON_IDEMPOTENT, LONG),
            (DEDUPLICATED, LONG),
            (IDEMPOTENT, SHORT),
            (NON_IDEMPOTENT, SHORT),
        ],
        outcomes: all_failures(),
        listed_workers: vec![],
        list_updates: 0,
    }
}

/// One request while workers drain, are removed and return in slow start.
fn with_list_updates() -> Scope {
    Scope {
        depth: 7,
        submissions: vec![(IDEMPOTENT, LONG), (NON_IDEMPOTENT, LONG), (DEDUPLICATED, LONG)],
        outcomes: vec![Outcome::ConnectionLost, Outcome::Rejected { no_state: false }],
        listed_workers: vec!["r0", "r1", "w0", "w1"],
        list_updates: 3,
        ..one_request()
    }
}

/// Two concurrent requests of any class.
fn two_requests() -> Scope {
    Scope {
        depth: 6,
        requests: 2,
        submissions: vec![(IDEMPOTENT, LONG), (NON_IDEMPOTENT, LONG), (DEDUPLICATED, SHORT)],
        outcomes: vec![Outcome::ConnectionLost, Outcome::Rejected { no_state: true }, Outcome::NoConnection],
        listed_workers: vec!["w0"],
        list_updates: 1,
    }
}

/// Up to four short requests while decode workers restart.
fn with_slow_start() -> Scope {
    Scope {
        depth: 7,
        requests: 4,
        submissions: vec![(IDEMPOTENT, SHORT)],
        outcomes: vec![Outcome::NoConnection],
        listed_workers: vec!["w0", "w1"],
        list_updates: 3,
    }
}

fn start(set: &Settings) -> Audit {
    Audit::with_fleet(set.clone(), set.clone(), two_cell_fleet())
}

#[test]
fn every_order_of_one_requests_events_keeps_the_rules() {
    run("one request", &start(&settings()), &one_request());
}

#[test]
fn every_order_of_events_and_list_updates_keeps_the_rules() {
    run("with list updates", &start(&settings()), &with_list_updates());
}

#[test]
fn every_order_of_two_requests_events_keeps_the_rules() {
    run("two requests", &start(&settings()), &two_requests());
}

#[test]
fn every_order_beside_cold_workers_keeps_the_rules() {
    run("slow start", &start(&settings()), &with_slow_start());
}

#[test]
fn every_order_without_cancellation_and_without_local_prefill_keeps_the_rules() {
    let set = Settings { may_cancel: false, self_prefill: false, ..settings() };
    run("no cancellation, no local prefill", &start(&set), &Scope { depth: 7, ..one_request() });
}

// ---- The audit detects a violation of each rule: the router gets other settings or events than the audit checks
// against.

fn run_diverging(change: impl Fn(&mut Settings), filter_event: fn(Event) -> Option<Event>, scope: Scope) {
    let set = settings();
    let mut router_settings = set.clone();
    change(&mut router_settings);
    let mut audit = Audit::with_fleet(set, router_settings, two_cell_fleet());
    audit.filter_event = filter_event;
    run("diverging router", &audit, &scope);
}

#[test]
#[should_panic(expected = "rule 1")]
fn the_audit_detects_a_late_answer() {
    let extend_deadline = |event| match event {
        Event::Request(r) => Some(Event::Request(Request { deadline: r.deadline + secs(1.0), ..r })),
        other => Some(other),
    };
    run_diverging(|_| {}, extend_deadline, Scope { depth: 3, ..one_request() });
}

#[test]
#[should_panic(expected = "rule 2")]
fn the_audit_detects_a_repeated_non_idempotent_request() {
    run_diverging(
        |s| s.classes[NON_IDEMPOTENT.0].retry_safety = RetrySafety::Idempotent,
        Some,
        Scope { depth: 4, ..one_request() },
    );
}

#[test]
#[should_panic(expected = "rule 2")]
fn the_audit_detects_a_repeat_outside_the_deduplication_scope() {
    let widen_scope = |s: &mut Settings| {
        s.classes[DEDUPLICATED.0].retry_safety = RetrySafety::Deduplicated(DeduplicationScope::All)
    };
    run_diverging(widen_scope, Some, Scope { depth: 4, ..one_request() });
}

#[test]
#[should_panic(expected = "rule 3")]
fn the_audit_detects_a_send_to_a_draining_worker() {
    let drop_list_updates = |event| Some(event).filter(|e| !matches!(e, Event::Endpoints { .. }));
    run_diverging(|_| {}, drop_list_updates, Scope { depth: 4, ..with_list_updates() });
}

#[test]
#[should_panic(expected = "rule 4")]
fn the_audit_detects_an_overloaded_cold_worker() {
    run_diverging(|s| s.slow_start_duration = Micros(0), Some, with_slow_start());
}

#[test]
#[should_panic(expected = "rule 5")]
fn the_audit_detects_state_that_is_not_released() {
    run_diverging(|s| s.reservation_timeout = secs(3.0), Some, Scope { depth: 5, ..with_list_updates() });
}
