//! Tables at their bounds, counters after failures and restarts, clocks that disagree; days in fed time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;
/// More sessions than the table of homes holds, and more beginnings than that of rates.
const SESSIONS: usize = 40_000;
const BEGINNINGS: usize = 6_000;

/// Where a session's next turn goes: straight to its home, or to a reader.
fn next_turn(rig: &mut Rig, session: &str) -> String {
    sent_to(&rig.submit(&format!("{session}/next"), session, IDEMPOTENT, LONG + 50)).unwrap().0
}

// ---- Homes.

#[test]
fn a_full_table_of_fresh_homes_still_learns_new_ones_and_forgets_the_oldest() {
    let mut rig = Rig::new(settings(), fleet());
    // All within a few seconds, so that age tells nothing.
    for i in 0..SESSIONS {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        rig.start_stream(&id, 1);
        rig.end_attempt(&id, 1, Outcome::Served, 0);
        rig.now = rig.now + Micros(100);
    }
    let homes = format!("{:?}", rig.router).matches("CachedSession {").count();
    assert!((1..=32_768).contains(&homes), "{homes}");
    // What others pour would void the notes; a new session asks on at once.
    let (_, home) = rig.serve_request("new", "new", LONG);
    assert_eq!(next_turn(&mut rig, "new"), home);
}

#[test]
fn a_session_that_moves_while_the_table_is_full_is_found_at_its_new_home() {
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

// ---- Beginnings.

#[test]
fn a_flood_of_beginnings_does_not_narrow_a_hot_one() {
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
    for i in 0..BEGINNINGS {
        rig.advance(0.3);
        submit(&mut rig, &format!("h{i}"), "hot");
        submit(&mut rig, &format!("o{i}"), &format!("{i}"));
        // Just after the flood has filled the table, the hot one is as hot as before.
        if i + 1 >= BEGINNINGS - 40 {
            used.insert(submit(&mut rig, &format!("l{i}"), "hot"));
        }
    }
    assert!(used.len() >= 6, "two thirds of the traffic at {} of 12 readers", used.len());
}

#[test]
fn a_table_of_beginnings_that_is_full_forgets_none_that_is_asked_for() {
    let mut rig = Rig::new(Settings { routers: 20, ..settings() }, fleet_with_prefill(12));
    let mut width = Vec::new();
    for i in 0..9_000 {
        // The hot one keeps half of the traffic throughout.
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
                width.push(to);
            }
        }
    }
    // In any twenty-five in a row, once it has been seen to be hot.
    let narrowest =
        width[100..].windows(25).map(|w| w.iter().collect::<std::collections::BTreeSet<_>>().len());
    let narrowest = narrowest.min().unwrap();
    assert!(narrowest >= 5, "at one time it was held to {narrowest} readers");
}

// ---- Counters.

/// Without reports, two writers alike.
fn unreported() -> Rig {
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
fn an_answer_that_broke_and_was_tried_again_leaves_no_count_behind() {
    let mut rig = unreported();
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for i in 0..40 {
        // A whole answer: it began, broke, and its next attempts did not begin.
        let id = format!("{i}");
        let mut actions = rig.submit(&id, &id, IDEMPOTENT, 10);
        rig.start_stream(&id, 0);
        for attempt in 0..4 {
            let Some((to, _)) = sent_to(&actions) else { break };
            // Only one of the two fails so.
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
    assert!(of("w0").abs_diff(of("w1")) <= 2, "none is out at either, yet {counts:?}");
}

#[test]
fn what_an_earlier_life_of_a_worker_had_is_not_counted_for_the_next() {
    let mut rig = unreported();
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
    // The old life's streams break only now: its new life has all of its own still.
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
    assert!(out.0.abs_diff(out.1) <= 1, "as many out at each, by what it has itself: {out:?}");
}

#[test]
fn what_was_sent_between_a_start_and_its_news_is_counted() {
    let mut rig = unreported();
    let started = rig.now;
    rig.advance(0.1);
    let one = |rig: &mut Rig, id: &str| {
        let to = sent_to(&rig.submit(id, id, NON_IDEMPOTENT, 10)).unwrap().0;
        rig.start_stream(id, 0);
        to
    };
    let early = (0..20).filter(|i| one(&mut rig, &format!("e{i}")) == "w0").count();
    // The list tells of the start only now, and all of these are out at the new life.
    let restarted = Worker { started: Some(started), ..worker("w0", Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![restarted] });
    // It is cold from the news on, for 10 ms here.
    rig.advance(0.02);
    let late = (0..20).filter(|i| one(&mut rig, &format!("l{i}")) == "w0").count();
    assert!((early + late).abs_diff(20) <= 1, "{early} and {late} of 20 each");
}

#[test]
fn what_an_earlier_life_served_is_no_home_in_the_next() {
    let mut rig = Rig::new(settings(), fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    let home = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
    rig.start_stream("a", 1);
    rig.advance(0.5);
    let restarted = Worker { started: Some(rig.now), ..worker(&home, Role::Decode, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![restarted] });
    rig.advance(0.5);
    rig.end_attempt("a", 1, Outcome::Served, 0);
    assert!(next_turn(&mut rig, "s").starts_with('r'), "its text went with the old life");
}

#[test]
fn what_is_out_at_a_worker_off_the_list_is_called_back_when_silent() {
    // Its first timer is that of its silence: held state is due later.
    let mut rig = Rig::new(Settings { reservation_timeout: secs(60.0), ..settings() }, fleet());
    let asked = rig.submit("a", "s", IDEMPOTENT, LONG);
    let reader = sent_to(&asked).unwrap().0;
    let gone = Worker { lifecycle: Lifecycle::Removed, ..worker(&reader, Role::Prefill, 0) };
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![gone] });
    let late = rig.fire_timers(&asked);
    assert!(late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
}

#[test]
fn a_whole_list_costs_about_what_as_many_changes_cost() {
    // Of ten rounds the fastest, so that a busy machine changes nothing; when each known worker was looked for in the
    // list, it cost over eighty times as much.
    let named = |i: u64| worker(&format!("w{i:05}"), Role::Decode, i % 50);
    let all: Vec<Worker> = (0..10_000).map(named).collect();
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
    assert!(whole < changes * 20, "{changes:?} for 10,000 changes, {whole:?} for a list of as many");
}

#[test]
fn in_a_jam_a_request_costs_no_more_with_many_streams_open() {
    // Of five rounds the fastest, so that a busy machine changes nothing; the walk cost several hundred times as much.
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
        // These have waited: a rise alone is no jam.
        rig.advance(0.6);
        let round = |n: usize| {
            let start = std::time::Instant::now();
            for i in 0..200 {
                assert!(rejected(&rig.submit(&format!("x{n}/{i}"), "x", IDEMPOTENT, 10)), "a jam");
            }
            start.elapsed()
        };
        (0..5).map(round).min().unwrap()
    };
    let (few, many) = (cost(0), cost(20_000));
    assert!(many < few * 20, "{few:?} with none, {many:?} with 20,000");
}

// ---- Clocks and days.

#[test]
fn a_start_that_the_list_puts_into_the_future_keeps_nobody_cold_for_longer() {
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
    assert!(at >= 5, "warm ten seconds after it was told of, but it got {at} of 40");
}

#[test]
fn days_of_churn_leave_nothing_behind_and_the_mechanism_as_it_was() {
    let mut rig = Rig::new(settings(), fleet());
    let mut sizes = Vec::new();
    for day in 0..6_u64 {
        // A day of 1,440 minutes, in each a worker that was never seen before comes and another goes.
        for minute in 0..1_440_u64 {
            let n = day * 1_440 + minute;
            let fresh = worker(&format!("w{}", n + 10), Role::Decode, n % 2);
            let fresh = Worker { started: Some(rig.now), ..fresh };
            let gone = worker(&format!("w{}", n + 5), Role::Decode, 0);
            let gone = Worker { lifecycle: Lifecycle::Removed, ..gone };
            rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![fresh, gone] });
            let id = format!("{n}");
            let mut actions = rig.submit(&id, &format!("s{}", n % 7), IDEMPOTENT, LONG);
            let reads = sent_to(&actions).unwrap().0.starts_with('r');
            if reads {
                actions.extend(rig.end_attempt(&id, 0, Outcome::Prefilled, 0));
            }
            rig.start_stream(&id, u32::from(reads));
            actions.extend(rig.end_attempt(&id, u32::from(reads), Outcome::Served, 0));
            let next = rig.now + secs(60.0);
            rig.fire_timers(&actions);
            rig.now = next;
        }
        sizes.push(format!("{:?}", rig.router).len());
    }
    assert!(sizes[5] <= sizes[1] + sizes[1] / 10, "{sizes:?}");
    let (_, home) = rig.serve_request("z", "z", LONG);
    assert_eq!(next_turn(&mut rig, "z"), home);
}

#[test]
fn the_end_of_the_clock_is_no_panic() {
    let mut rig = Rig::new(settings(), fleet());
    rig.now = Micros(u64::MAX - 3_000_000);
    for i in 0..40 {
        let id = format!("{i}");
        let asked = rig.submit(&id, &id, IDEMPOTENT, if i % 2 == 0 { LONG } else { u64::MAX });
        rig.end_attempt(&id, 0, if i % 3 == 0 { Outcome::TimedOut } else { Outcome::Prefilled }, u64::MAX);
        rig.fire_timers(&asked);
    }
}

/// Counts that no worker can mean: more kept than the prompt has, and more than can be doubled.
#[test]
fn kept_counts_beyond_the_prompt_are_taken_for_the_whole_prompt() {
    for kept in [LONG + 1, u64::MAX / 2 + 1, u64::MAX] {
        let mut rig = Rig::new(settings(), fleet());
        rig.advance(0.1);
        rig.submit("a", "s", IDEMPOTENT, LONG);
        let writer = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, kept)).unwrap().0;
        rig.start_stream("a", 1);
        rig.end_attempt("a", 1, Outcome::Served, kept);
        // The next turn adds little, and is read at home, whose count is again beyond the prompt.
        let next = LONG + 100;
        assert_eq!(sent_to(&rig.submit("b", "s", IDEMPOTENT, next)).unwrap().0, writer);
        rig.start_stream("b", 0);
        rig.end_attempt("b", 0, Outcome::Served, kept);
        assert_eq!(sent_to(&rig.submit("c", "s", IDEMPOTENT, next + 100)).unwrap().0, writer, "{kept}");
    }
}
