//! Every order of a few events on a tiny fleet, with the five rules checked after each of them by the onlooker of
//! `common/audit.rs`: exhaustive to the depths stated here. No randomness, no wall clock.
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

/// What can happen next.
#[derive(Debug, Clone)]
enum Step {
    Submit(ClassId, u64),
    End(RequestId, usize, Outcome),
    Stream(RequestId, usize),
    Leave(RequestId),
    List(WorkerId, Lifecycle),
    /// Time passes until something falls due.
    Next,
}

/// What is explored.
#[derive(Debug, Clone)]
struct Scope {
    depth: usize,
    requests: u32,
    /// Classes and prompt lengths that are asked.
    asks: Vec<(ClassId, u64)>,
    /// How attempts may end, beside well.
    ends: Vec<Outcome>,
    /// Workers that the list has news of, at most so many times.
    listed: Vec<&'static str>,
    news: usize,
}

/// Two readers and two writers, a pair in each of two cells.
fn tiny() -> Vec<Worker> {
    let pair =
        |i: u64| [worker(&format!("r{i}"), Role::Prefill, i), worker(&format!("w{i}"), Role::Decode, i)];
    (0..2).flat_map(pair).collect()
}

struct Text(DefaultHasher);

impl Write for Text {
    fn write_str(&mut self, s: &str) -> std::fmt::Result {
        self.0.write(s.as_bytes());
        Ok(())
    }
}

/// All of a state: the router, what its onlooker has seen, and how much may still happen.
fn key(a: &Audit, news: usize, left: usize) -> u64 {
    let mut text = Text(DefaultHasher::new());
    let seen = (&a.rig, &a.workers, &a.unavailable, &a.requests, &a.timers, &a.sends, &a.completions);
    write!(text, "{seen:?} {news} {left}").unwrap();
    text.0.finish()
}

fn steps(a: &Audit, scope: &Scope, news: usize) -> Vec<Step> {
    let mut out = Vec::new();
    if a.last_id < scope.requests {
        out.extend(scope.asks.iter().map(|(class, tokens)| Step::Submit(*class, *tokens)));
    }
    for (id, job) in &a.requests {
        for (n, t) in job.attempts.iter().enumerate().filter(|(_, t)| t.may_have_run.is_none()) {
            let reader = a.workers[&t.worker].role == Role::Prefill;
            let mut end = |outcome| out.push(Step::End(id.clone(), n, outcome));
            if t.streaming {
                end(Outcome::Served);
                end(Outcome::ConnectionLost);
                continue;
            }
            if reader {
                end(Outcome::Prefilled);
            }
            scope.ends.iter().for_each(|o| end(*o));
            if a.cancelled.contains(&(id.clone(), n)) {
                end(Outcome::Cancelled);
            }
            if !reader {
                out.push(Step::Stream(id.clone(), n));
            }
        }
        if !job.ended {
            out.push(Step::Leave(id.clone()));
        }
    }
    if news < scope.news {
        for id in &scope.listed {
            let id: WorkerId = (*id).into();
            let to: &[Lifecycle] = match a.workers[&id].lifecycle {
                Lifecycle::Active => &[Lifecycle::Draining, Lifecycle::Removed],
                Lifecycle::Draining => &[Lifecycle::Active, Lifecycle::Removed],
                Lifecycle::Removed => &[Lifecycle::Active],
            };
            out.extend(to.iter().map(|to| Step::List(id.clone(), *to)));
        }
    }
    if a.next_due().is_some() {
        out.push(Step::Next);
    }
    out
}

fn take(a: &mut Audit, step: &Step) {
    match step {
        Step::Submit(class, tokens) => a.submit("s", *class, *tokens),
        Step::End(id, n, outcome) => {
            let over = a.requests[id].attempts[*n].streaming;
            a.end_attempt(id, *n, *outcome, over);
        }
        Step::Stream(id, n) => a.start_stream(id, *n),
        Step::Leave(id) => a.client_gone(id),
        Step::List(id, to) => a.set_lifecycle(id, *to),
        Step::Next => {
            let at = a.next_due().expect("something is due");
            a.advance(at - a.rig.now);
        }
    }
}

#[derive(Debug, Default)]
struct Explored {
    states: HashSet<u64>,
    steps: u64,
    ends: u64,
}

/// The steps that led to a broken rule, said when the assertion unwinds.
struct Path<'a>(&'a [Step]);

impl Drop for Path<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("after {:?}", self.0);
        }
    }
}

fn explore(a: &Audit, scope: &Scope, news: usize, path: &mut Vec<Step>, seen: &mut Explored) {
    let left = scope.depth - path.len();
    if !seen.states.insert(key(a, news, left)) {
        return;
    }
    if left == 0 {
        // Nobody says anything more: what is owed and held must still come to its end.
        seen.ends += 1;
        let mut last = a.clone();
        let _path = Path(path);
        let streaming: Vec<(RequestId, usize)> = (last.requests.iter())
            .flat_map(|(id, j)| j.attempts.iter().enumerate().map(move |(n, t)| (id, n, t)))
            .filter(|(_, _, t)| t.streaming && t.may_have_run.is_none())
            .map(|(id, n, _)| (id.clone(), n))
            .collect();
        for (id, n) in streaming {
            last.end_attempt(&id, n, Outcome::Served, true);
        }
        last.advance(secs(8.0));
        for (id, j) in &last.requests {
            assert!(j.ended, "rule 1: {id:?} never answered");
            assert!(!j.reserved, "rule 5: {id:?} pinned at the end");
        }
        assert!(
            format!("{:?}", last.rig.router)
                .contains(" waiting: WaitingRequests { count: 0, arrival_sum: 0 }"),
            "nobody waits any more"
        );
        return;
    }
    for step in steps(a, scope, news) {
        let mut next = a.clone();
        path.push(step.clone());
        {
            let _path = Path(path);
            take(&mut next, &step);
        }
        seen.steps += 1;
        explore(&next, scope, news + usize::from(matches!(step, Step::List(..))), path, seen);
        path.pop();
    }
}

fn run(name: &str, start: &Audit, scope: &Scope) -> Explored {
    let mut seen = Explored::default();
    explore(start, scope, 0, &mut Vec::new(), &mut seen);
    let (states, steps, ends) = (seen.states.len(), seen.steps, seen.ends);
    println!("{name}: depth {}, {states} states, {steps} steps, {ends} ends", scope.depth);
    assert!(ends > 0, "the depth was reached");
    seen
}

fn all_ends() -> Vec<Outcome> {
    vec![
        Outcome::ServerError,
        Outcome::Rejected { no_state: false },
        Outcome::Rejected { no_state: true },
        Outcome::NoConnection,
        Outcome::ConnectionLost,
        Outcome::NotSent,
    ]
}

/// One request of any effect, every way for an attempt to end, and no news.
fn one_request() -> Scope {
    Scope {
        depth: 9,
        requests: 1,
        asks: vec![
            (IDEMPOTENT, LONG),
            (NON_IDEMPOTENT, LONG),
            (DEDUPLICATED, LONG),
            (IDEMPOTENT, SHORT),
            (NON_IDEMPOTENT, SHORT),
        ],
        ends: all_ends(),
        listed: vec![],
        news: 0,
    }
}

/// One request while readers and writers drain, go and come back cold.
fn with_news() -> Scope {
    Scope {
        depth: 7,
        asks: vec![(IDEMPOTENT, LONG), (NON_IDEMPOTENT, LONG), (DEDUPLICATED, LONG)],
        ends: vec![Outcome::ConnectionLost, Outcome::Rejected { no_state: false }],
        listed: vec!["r0", "r1", "w0", "w1"],
        news: 3,
        ..one_request()
    }
}

/// Two requests of all effects that meet.
fn two_requests() -> Scope {
    Scope {
        depth: 6,
        requests: 2,
        asks: vec![(IDEMPOTENT, LONG), (NON_IDEMPOTENT, LONG), (DEDUPLICATED, SHORT)],
        ends: vec![Outcome::ConnectionLost, Outcome::Rejected { no_state: true }, Outcome::NoConnection],
        listed: vec!["w0"],
        news: 1,
    }
}

/// Three short requests at a writer that has just come back.
fn beside_a_cold_one() -> Scope {
    Scope {
        depth: 7,
        requests: 4,
        asks: vec![(IDEMPOTENT, SHORT)],
        ends: vec![Outcome::NoConnection],
        listed: vec!["w0", "w1"],
        news: 3,
    }
}

fn start(set: &Settings) -> Audit {
    Audit::with_fleet(set.clone(), set.clone(), tiny())
}

#[test]
fn every_order_of_one_requests_events_keeps_the_rules() {
    run("one request", &start(&settings()), &one_request());
}

#[test]
fn every_order_of_events_and_news_keeps_the_rules() {
    run("with news", &start(&settings()), &with_news());
}

#[test]
fn every_order_of_two_requests_events_keeps_the_rules() {
    run("two requests", &start(&settings()), &two_requests());
}

#[test]
fn every_order_beside_cold_workers_keeps_the_rules() {
    run("cold", &start(&settings()), &beside_a_cold_one());
}

#[test]
fn every_order_where_nothing_is_cancelled_and_writers_cannot_read_keeps_the_rules() {
    let set = Settings { may_cancel: false, self_prefill: false, ..settings() };
    run("no cancels, no local reads", &start(&set), &Scope { depth: 7, ..one_request() });
}

// ---- The onlooker sees a broken guard of each rule. The router is lied to; the onlooker is not.

fn lied(told: impl Fn(&mut Settings), hears: fn(Event) -> Option<Event>, scope: Scope) {
    let set = settings();
    let mut other = set.clone();
    told(&mut other);
    let mut a = Audit::with_fleet(set, other, tiny());
    a.filter_event = hears;
    run("lied to", &a, &scope);
}

#[test]
#[should_panic(expected = "rule 1")]
fn a_late_answer_is_seen() {
    let later = |event| match event {
        Event::Request(r) => Some(Event::Request(Request { deadline: r.deadline + secs(1.0), ..r })),
        other => Some(other),
    };
    lied(|_| {}, later, Scope { depth: 3, ..one_request() });
}

#[test]
#[should_panic(expected = "rule 2")]
fn a_single_shot_that_is_sent_again_is_seen() {
    lied(
        |s| s.classes[NON_IDEMPOTENT.0].retry_safety = RetrySafety::Idempotent,
        Some,
        Scope { depth: 4, ..one_request() },
    );
}

#[test]
#[should_panic(expected = "rule 2")]
fn a_guarded_request_outside_its_group_is_seen() {
    let wide = |s: &mut Settings| {
        s.classes[DEDUPLICATED.0].retry_safety = RetrySafety::Deduplicated(DeduplicationScope::All)
    };
    lied(wide, Some, Scope { depth: 4, ..one_request() });
}

#[test]
#[should_panic(expected = "rule 3")]
fn a_send_to_a_draining_worker_is_seen() {
    let deaf = |event| Some(event).filter(|e| !matches!(e, Event::Endpoints { .. }));
    lied(|_| {}, deaf, Scope { depth: 4, ..with_news() });
}

#[test]
#[should_panic(expected = "rule 4")]
fn a_cold_worker_that_is_pushed_over_is_seen() {
    lied(|s| s.slow_start_duration = Micros(0), Some, beside_a_cold_one());
}

#[test]
#[should_panic(expected = "rule 5")]
fn a_pinned_state_is_seen() {
    lied(|s| s.reservation_timeout = secs(3.0), Some, Scope { depth: 5, ..with_news() });
}
