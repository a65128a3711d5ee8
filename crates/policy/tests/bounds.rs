//! Tables at their capacity, in-flight counters after failures and restarts, clock skew, and days of simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;
/// More sessions than the affinity table holds (32,768), and more prefixes than the table of prefix rates holds
/// (4,096).
const SESSIONS: usize = 40_000;
const PREFIXES: usize = 6_000;

/// The worker that a session's next turn is sent to: the decode worker that caches the session, or a prefill worker.
fn next_turn(rig: &mut Rig, session: &str) -> String {
    sent_to(&rig.submit(&format!("{session}/next"), session, IDEMPOTENT, LONG + 50)).unwrap().0
}

// ---- Session affinity.

#[test]
fn a_full_session_table_still_records_new_sessions_and_evicts_the_oldest() {
    let mut rig = Rig::new(settings(), fleet());
    // All sessions are recorded within a few seconds, so that their age does not distinguish them.
    for i in 0..SESSIONS {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        rig.start_stream(&id, 1);
        rig.end_attempt(&id, 1, Outcome::Served, 0);
        rig.now = rig.now + Micros(100);
    }
    let cached_sessions = format!("{:?}", rig.router).matches("CachedSession {").count();
    assert!((1..=32_768).contains(&cached_sessions), "{cached_sessions}");
    // Enough other traffic would expire the entry, so the new session's next turn follows at once.
    let (_, affinity_worker) = rig.serve_request("new", "new", LONG);
    assert_eq!(next_turn(&mut rig, "new"), affinity_worker);
}

#[test]
fn a_session_that_moves_while_the_table_is_full_is_found_at_its_new_worker() {
    let mut rig = Rig::new(Settings { routers: 1, ..settings() }, fleet());
    let (_, first) = rig.serve_request("a", "moving", LONG);
    for i in 0..SESSIONS {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, 10);
        rig.start_stream(&id, 0);
        rig.end_attempt(&id, 0, Outcome::Served, 0);
    }
    let gone = Worker { lifecycle: Lifecycle::Draining, ..worker(&first, Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![gone] });
    let (_, second) = rig.serve_request("b", "moving", LONG);
    assert_ne!(first, second);
    assert_eq!(next_turn(&mut rig, "moving"), second);
}

// ---- Prefixes.

#[test]
fn a_flood_of_prefixes_does_not_narrow_a_hot_prefix() {
    let mut rig = Rig::new(Settings { routers: 20, ..settings() }, fleet_with_prefill(12));
    let submit = |rig: &mut Rig, id: &str, prefix: &str| {
        let mut request = rig.request(id, id, IDEMPOTENT, LONG);
        request.prefix = Some(prefix.into());
        let to = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
        rig.end_attempt(id, 0, Outcome::Prefilled, 0);
        rig.start_stream(id, 1);
        rig.end_attempt(id, 1, Outcome::Served, 0);
        to
    };
    let mut used = std::collections::BTreeSet::new();
    for i in 0..PREFIXES {
        rig.advance(0.3);
        submit(&mut rig, &format!("h{i}"), "hot");
        submit(&mut rig, &format!("o{i}"), &format!("{i}"));
        // Just after the flood has filled the table, the hot prefix is still spread over as many workers as before.
        if i + 1 >= PREFIXES - 40 {
            used.insert(submit(&mut rig, &format!("l{i}"), "hot"));
        }
    }
    assert!(used.len() >= 6, "two thirds of the traffic on {} of 12 prefill workers", used.len());
}

#[test]
fn a_full_prefix_table_keeps_a_prefix_that_is_in_use() {
    let mut rig = Rig::new(Settings { routers: 20, ..settings() }, fleet_with_prefill(12));
    let mut workers_used = Vec::new();
    for i in 0..9_000 {
        // The hot prefix has half of the traffic throughout.
        for prefix in ["hot".to_owned(), format!("{i}")] {
            rig.now = rig.now + Micros(200_000);
            let id = format!("{i}/{prefix}");
            let mut request = rig.request(&id, &id, IDEMPOTENT, LONG);
            request.prefix = Some(prefix.as_str().into());
            let to = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            if prefix == "hot" {
                workers_used.push(to);
            }
        }
    }
    // The fewest workers in any 25 consecutive requests, once the prefix has been seen to be hot.
    let fewest_workers =
        workers_used[100..].windows(25).map(|w| w.iter().collect::<std::collections::BTreeSet<_>>().len());
    let fewest_workers = fewest_workers.min().unwrap();
    assert!(fewest_workers >= 5, "25 requests in a row used only {fewest_workers} prefill workers");
}

// ---- In-flight counters.

/// One router and two equal decode workers that report no load, so that only the in-flight counts decide.
fn rig_without_reports() -> Rig {
    let workers = ["w0", "w1"].map(|w| worker(w, Role::Decode, 0));
    let set = Settings {
        load_reporting: LoadReporting::Off,
        routers: 1,
        slow_start_duration: secs(0.01),
        ..settings()
    };
    Rig::new(set, workers.to_vec())
}

#[test]
fn retries_after_a_broken_stream_leave_no_in_flight_count() {
    let mut rig = rig_without_reports();
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for i in 0..40 {
        // The stream of the first attempt begins and breaks; the attempts after it do not begin a stream.
        let id = format!("{i}");
        let mut actions = rig.submit(&id, &id, IDEMPOTENT, 10);
        rig.start_stream(&id, 0);
        for attempt in 0..4 {
            let Some((to, _)) = sent_to(&actions) else { break };
            // Only w0 fails the later attempts.
            let how = if to == "w0" { Outcome::NotSent } else { Outcome::Served };
            actions = rig.end_attempt(&id, attempt, if attempt == 0 { Outcome::ServerError } else { how }, 0);
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
        rig.advance(3.0);
    }
    rig.advance(60.0);
    for i in 0..60 {
        let id = format!("z{i}");
        let to = sent_to(&rig.submit(&id, &id, IDEMPOTENT, 10)).unwrap().0;
        rig.start_stream(&id, 0);
        *counts.entry(to).or_default() += 1;
    }
    let of = |w: &str| counts.get(w).copied().unwrap_or(0);
    assert!(of("w0").abs_diff(of("w1")) <= 2, "no attempt is in flight at either worker, yet {counts:?}");
}

#[test]
fn attempts_from_before_a_restart_are_not_counted_after_it() {
    let mut rig = rig_without_reports();
    let submit = |rig: &mut Rig, name: &str, n: usize| -> Vec<(String, String)> {
        let ids = (0..n).map(|i| format!("{name}{i}"));
        let one = |id: String| {
            let to = sent_to(&rig.submit(&id, &id, NON_IDEMPOTENT, 10)).unwrap().0;
            rig.start_stream(&id, 0);
            (to, id)
        };
        ids.map(one).collect()
    };
    let old = submit(&mut rig, "old", 20);
    rig.advance(0.1);
    let restarted = Worker { started: Some(rig.now), ..worker("w0", Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![restarted] });
    rig.advance(0.1);
    let new = submit(&mut rig, "new", 12);
    // The streams from before the restart break only now; the attempts of the restarted process are all still open.
    for (_, id) in old.iter().filter(|(w, _)| w == "w0") {
        rig.feed(Event::AttemptOutcome {
            id: id.as_str().into(),
            attempt: AttemptNo(0),
            outcome: Outcome::ConnectionLost,
            elapsed: secs(0.3),
            request_ended: true,
            cached_tokens: 0,
            report: None,
        });
    }
    let last = submit(&mut rig, "last", 8);
    let at = |all: &[(String, String)]| all.iter().filter(|(w, _)| w == "w0").count();
    let out = (at(&new) + at(&last), new.len() + last.len() - at(&new) - at(&last) + old.len() - at(&old));
    assert!(out.0.abs_diff(out.1) <= 1, "in-flight attempts should be equal: {out:?}");
}

#[test]
fn attempts_sent_between_a_restart_and_its_notification_are_counted() {
    let mut rig = rig_without_reports();
    let started = rig.now;
    rig.advance(0.1);
    let one = |rig: &mut Rig, id: &str| {
        let to = sent_to(&rig.submit(id, id, NON_IDEMPOTENT, 10)).unwrap().0;
        rig.start_stream(id, 0);
        to
    };
    let early = (0..20).filter(|i| one(&mut rig, &format!("e{i}")) == "w0").count();
    // The list announces the restart only now; all of these attempts are in flight at the restarted process.
    let restarted = Worker { started: Some(started), ..worker("w0", Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![restarted] });
    // Slow start runs from the announcement, here for 10 ms.
    rig.advance(0.02);
    let late = (0..20).filter(|i| one(&mut rig, &format!("l{i}")) == "w0").count();
    assert!((early + late).abs_diff(20) <= 1, "{early} and {late} of 20 each");
}

#[test]
fn a_session_served_before_a_restart_is_not_cached_after_it() {
    let mut rig = Rig::new(settings(), fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    let affinity_worker = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
    rig.start_stream("a", 1);
    rig.advance(0.5);
    let restarted = Worker { started: Some(rig.now), ..worker(&affinity_worker, Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![restarted] });
    rig.advance(0.5);
    rig.end_attempt("a", 1, Outcome::Served, 0);
    assert!(next_turn(&mut rig, "s").starts_with('r'), "sent to the restarted worker, whose cache is empty");
}

#[test]
fn an_overdue_attempt_at_a_removed_worker_is_cancelled() {
    // The reservation timeout is long, so that the first timer is the one for the overdue attempt.
    let mut rig = Rig::new(Settings { reservation_timeout: secs(60.0), ..settings() }, fleet());
    let actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let prefill_worker = sent_to(&actions).unwrap().0;
    let gone = Worker { lifecycle: Lifecycle::Removed, ..worker(&prefill_worker, Role::Prefill, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![gone] });
    let late = rig.fire_timers(&actions);
    assert!(late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
}

#[test]
fn a_snapshot_costs_about_as_much_as_a_delta_of_equal_size() {
    // The fastest of ten rounds, so that a busy machine changes nothing. Searching the list for each known worker cost
    // over eighty times as much.
    let nth_worker = |i: u64| worker(&format!("w{i:05}"), Role::Decode, i % 50);
    let all: Vec<Worker> = (0..10_000).map(nth_worker).collect();
    let mut rig = Rig::new(settings(), all.clone());
    let mut cost = |kind| {
        let (workers, start) = (all.clone(), std::time::Instant::now());
        rig.feed(Event::Endpoints { update: kind, workers });
        start.elapsed()
    };
    let rounds: Vec<_> =
        (0..10).map(|_| (cost(EndpointUpdate::Delta), cost(EndpointUpdate::Snapshot))).collect();
    let changes = rounds.iter().map(|r| r.0).min().unwrap();
    let whole = rounds.iter().map(|r| r.1).min().unwrap();
    assert!(
        whole < changes * 20,
        "{changes:?} for a delta of 10,000 workers, {whole:?} for a snapshot of as many"
    );
}

#[test]
fn under_congestion_a_request_costs_no_more_with_many_streams_open() {
    // The fastest of five rounds, so that a busy machine changes nothing. Iterating over all open requests cost several
    // hundred times as much.
    let cost = |open: usize| {
        let mut rig = Rig::new(Settings { routers: 1, ..settings() }, fleet());
        for i in 0..open {
            let id = format!("o{i}");
            rig.submit(&id, &id, IDEMPOTENT, 10);
            rig.start_stream(&id, 0);
            rig.now = rig.now + Micros(200);
        }
        for i in 0..60 {
            let id = format!("s{i}");
            rig.submit(&id, &id, IDEMPOTENT, 10);
            rig.advance(2.5);
            rig.start_stream(&id, 0);
            rig.end_attempt(&id, 0, Outcome::Served, 0);
        }
        for i in 0..20 {
            rig.submit(&format!("w{i}"), &format!("w{i}"), IDEMPOTENT, 10);
        }
        // These requests have waited for 0.6 s: rising latency alone does not count as congestion.
        rig.advance(0.6);
        let round = |n: usize| {
            let start = std::time::Instant::now();
            for i in 0..200 {
                assert!(rejected(&rig.submit(&format!("x{n}/{i}"), "x", IDEMPOTENT, 10)), "not congested");
            }
            start.elapsed()
        };
        (0..5).map(round).min().unwrap()
    };
    let (few, many) = (cost(0), cost(20_000));
    assert!(many < few * 20, "{few:?} with no stream open, {many:?} with 20,000");
}

// ---- Clock skew and long runs.

#[test]
fn a_start_time_in_the_future_does_not_prolong_slow_start() {
    let mut rig = Rig::new(settings(), fleet());
    let ahead = Worker { started: Some(rig.now + secs(3_600.0)), ..worker("w9", Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![ahead] });
    rig.advance(11.0);
    let to = |rig: &mut Rig, i: usize| {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        rig.advance(0.01);
        let to = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        to
    };
    let at = (0..40).filter(|i| to(&mut rig, *i) == "w9").count();
    assert!(at >= 5, "warm ten seconds after it was listed, but it got {at} of 40");
}

#[test]
fn days_of_churn_neither_grow_the_state_nor_break_affinity() {
    let mut rig = Rig::new(settings(), fleet());
    let mut sizes = Vec::new();
    for day in 0..6_u64 {
        // A day of 1,440 minutes; in each, a new worker joins and another is removed.
        for minute in 0..1_440_u64 {
            let n = day * 1_440 + minute;
            let fresh = worker(&format!("w{}", n + 10), Role::Decode, n % 2);
            let fresh = Worker { started: Some(rig.now), ..fresh };
            let gone = worker(&format!("w{}", n + 5), Role::Decode, 0);
            let gone = Worker { lifecycle: Lifecycle::Removed, ..gone };
            rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![fresh, gone] });
            let id = format!("{n}");
            let mut actions = rig.submit(&id, &format!("s{}", n % 7), IDEMPOTENT, LONG);
            let prefilled = sent_to(&actions).unwrap().0.starts_with('r');
            if prefilled {
                actions.extend(rig.end_attempt(&id, 0, Outcome::Prefilled, 0));
            }
            rig.start_stream(&id, u32::from(prefilled));
            actions.extend(rig.end_attempt(&id, u32::from(prefilled), Outcome::Served, 0));
            let next = rig.now + secs(60.0);
            rig.fire_timers(&actions);
            rig.now = next;
        }
        sizes.push(format!("{:?}", rig.router).len());
    }
    assert!(sizes[5] <= sizes[1] + sizes[1] / 10, "{sizes:?}");
    let (_, affinity_worker) = rig.serve_request("z", "z", LONG);
    assert_eq!(next_turn(&mut rig, "z"), affinity_worker);
}

#[test]
fn the_end_of_the_clock_does_not_panic() {
    let mut rig = Rig::new(settings(), fleet());
    rig.now = Micros(u64::MAX - 3_000_000);
    for i in 0..40 {
        let id = format!("{i}");
        let actions = rig.submit(&id, &id, IDEMPOTENT, if i % 2 == 0 { LONG } else { u64::MAX });
        rig.end_attempt(&id, 0, if i % 3 == 0 { Outcome::TimedOut } else { Outcome::Prefilled }, u64::MAX);
        rig.fire_timers(&actions);
    }
}

/// Impossible reports: more cached tokens than the prompt has, and counts that overflow when doubled.
#[test]
fn cached_counts_beyond_the_prompt_are_capped_at_the_prompt() {
    for cached_tokens in [LONG + 1, u64::MAX / 2 + 1, u64::MAX] {
        let mut rig = Rig::new(settings(), fleet());
        rig.advance(0.1);
        rig.submit("a", "s", IDEMPOTENT, LONG);
        let decode_worker = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, cached_tokens)).unwrap().0;
        rig.start_stream("a", 1);
        rig.end_attempt("a", 1, Outcome::Served, cached_tokens);
        // The next turn adds little and is prefilled where the session is cached; its count is again beyond the prompt.
        let next = LONG + 100;
        assert_eq!(sent_to(&rig.submit("b", "s", IDEMPOTENT, next)).unwrap().0, decode_worker);
        rig.start_stream("b", 0);
        rig.end_attempt("b", 0, Outcome::Served, cached_tokens);
        assert_eq!(
            sent_to(&rig.submit("c", "s", IDEMPOTENT, next + 100)).unwrap().0,
            decode_worker,
            "{cached_tokens}"
        );
    }
}
