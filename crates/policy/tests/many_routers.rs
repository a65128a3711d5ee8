//! One of many routers: it is asked seldom, sees little, and shares each budget with all others.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;
const ROUTERS: u32 = 150;

fn many() -> Settings {
    Settings { routers: ROUTERS, ..settings() }
}

/// A router of many, with its own seed.
fn one(seed: u64, set: Settings, workers: Vec<Worker>) -> Rig {
    let mut rig = Rig::new(set.clone(), vec![]);
    rig.router = Router::new(set, seed);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
    rig
}

/// The usual fleet and a mixed server in each of its cells.
fn with_mixed() -> Vec<Worker> {
    let mut all = fleet();
    all.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    all
}

/// Two cells: the first with most readers and one writer, the second with most writers.
fn skewed() -> Vec<Worker> {
    let mut all = vec![worker("w0", Role::Decode, 0), worker("r3", Role::Prefill, 1)];
    all.extend((0..3).map(|i| worker(&format!("r{i}"), Role::Prefill, 0)));
    all.extend((1..4).map(|i| worker(&format!("w{i}"), Role::Decode, 1)));
    all
}

/// A request a second through reader and writer to its end.
fn quiet_run(rig: &mut Rig, name: &str, requests: usize) {
    for i in 0..requests {
        rig.serve_request(&format!("{name}{i}"), &format!("{name}{i}"), LONG);
    }
}

/// Sends that all routers together give a just started reader within one window.
fn sent_to_cold(workers: &[Worker], gone: &[&str]) -> u32 {
    let mut total = 0;
    for seed in 0..u64::from(ROUTERS) {
        let mut rig = one(seed, many(), workers.to_vec());
        quiet_run(&mut rig, "a", 20);
        let news =
            gone.iter().map(|id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: news.collect() });
        let mut cold = worker("r0", Role::Prefill, 0);
        cold.started = Some(rig.now);
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold] });
        for i in 0..4 {
            let id = format!("c{i}");
            total += u32::from(sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some_and(|s| s.0 == "r0"));
            rig.end_attempt(&id, 0, Outcome::NotSent, 0);
            rig.advance(0.4);
        }
    }
    total
}

// ---- Rule 4 among many.

#[test]
fn all_routers_together_stay_within_a_cold_workers_budget() {
    let total = sent_to_cold(&fleet_with_prefill(3), &[]);
    // Each router has 1 read in 1.2 s: a warm reader does 150 / 1.2 / 3 of them a second.
    let full = f64::from(ROUTERS) / 1.2 / 3.0;
    assert!(total > 0, "a returned worker gets some work");
    assert!(f64::from(total) < full * 2.0 * 3.0 * 0.4, "{total} against {full} a second");
}

#[test]
fn the_first_of_a_lost_role_to_come_back_does_not_get_the_work_of_all() {
    let total = sent_to_cold(&fleet_with_prefill(3), &["r0", "r1", "r2"]);
    let full = f64::from(ROUTERS) / 1.2 / 3.0;
    assert!(f64::from(total) < full * 2.0 * 3.0 * 0.4, "{total} against {full} a second");
}

/// When 24 routers of uneven traffic send to a reader that comes back cold as the other two go, in seconds after its start,
/// and how many each was sent in each second before. Half of the routers are started anew a second after it: they
/// have counted nothing. One read in four is turned away, and repeated as the module says.
fn sends_of_a_restarted_fleet(start: u64) -> (Vec<f64>, f64) {
    let set = Settings { routers: 24, ..settings() };
    let (mut sends, mut before) = (Vec::new(), 0.0);
    for n in 0..24 {
        let per_s = if n % 4 == 0 { 8.0 } else { 1.0 };
        let mut rig = one(start * 1_000 + n, set.clone(), fleet_with_prefill(3));
        let begun = rig.now;
        let back = begun + secs(20.0);
        let mut cold = worker("r0", Role::Prefill, 0);
        cold.started = Some(back);
        let (mut known, mut anew, mut i) = (false, n % 2 == 1, 0);
        // Out of step with each other.
        rig.advance((n as f64 * 0.618).fract() / per_s);
        while rig.now < back + secs(6.0) {
            if !known && rig.now >= back {
                known = true;
                let gone = |id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, Role::Prefill, 0) };
                let workers = vec![cold.clone(), gone("r1"), gone("r2")];
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers });
            }
            if anew && rig.now >= back + secs(1.0) {
                anew = false;
                let at = rig.now;
                rig.router = Router::new(set.clone(), start * 1_000 + 500 + n);
                let workers = vec![cold.clone(), worker("w0", Role::Decode, 0)];
                rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
                rig.now = at;
            }
            let (id, asked) = (format!("{n}-{i}"), rig.now);
            rig.run_request(&id, LONG, i % 4 == 3, |now, to| {
                let age = if now >= back { (now - back).as_secs_f64() } else { -1.0 };
                if age >= 0.0 && to == "r0" {
                    sends.push(age);
                }
                before += f64::from(u8::from(age < 0.0 && to.starts_with('r') && now >= begun + secs(10.0)));
            });
            i += 1;
            rig.now = rig.now.max(asked + secs(1.0 / per_s));
        }
    }
    // Ten seconds, over three readers.
    (sends, before / 10.0 / 3.0)
}

/// Beyond the budget N only two roots of it and two are put down to chance, also with twenty or thirty routers.
#[test]
fn a_restarted_fleet_stays_within_a_cold_workers_budget_and_chance() {
    for start in 0..10 {
        let (mut sends, rate) = sends_of_a_restarted_fleet(start);
        sends.sort_by(f64::total_cmp);
        assert!(sends.len() > 10, "a returned worker gets some work: {}", sends.len());
        for (i, from) in sends.iter().enumerate() {
            let within = sends[i..].iter().take_while(|at| **at < from + 2.0).count() as f64;
            // The multiple of 3, for 2 s, of its capacity at the window's end: 0.25 at its start, all of it after 10 s.
            let most = 3.0 * 2.0 * rate * (0.25 + 0.75 * (from + 2.0) / 10.0);
            assert!(
                within <= most + 2.0 * most.sqrt() + 2.0,
                "start {start}: {within} of {most} from {from} s on"
            );
        }
    }
}

/// Part of the reads of all routers that goes to cold readers, five of ten, in the two seconds after their start, and
/// how many each of them gets of what each warm one finished in that time before. `took`: seconds of a read before.
fn part_of_cold(took: f64, ends: Outcome) -> (f64, f64) {
    let (mut to_cold, mut reads, mut finished) = (0.0, 0.0, 0.0);
    for seed in 0..u64::from(ROUTERS) {
        let mut rig = one(seed, many(), fleet_with_prefill(10));
        for i in 0..12 {
            let id = format!("{seed}a{i}");
            rig.submit(&id, &id, IDEMPOTENT, LONG);
            rig.advance(took);
            // Every third comes back in any case.
            let ends = if i % 3 == 0 { Outcome::Prefilled } else { ends };
            finished += f64::from(u8::from(ends == Outcome::Prefilled));
            rig.feed(Event::AttemptOutcome {
                id: id.as_str().into(),
                attempt: AttemptNo(0),
                outcome: ends,
                elapsed: secs(took),
                request_ended: false,
                cached_tokens: 0,
                report: None,
            });
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            rig.advance(1.2 - took);
        }
        let cold =
            (0..5).map(|i| Worker { started: Some(rig.now), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: cold.collect() });
        for i in 0..2 {
            let id = format!("{seed}c{i}");
            if let Some((to, _)) = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)) {
                reads += 1.0;
                to_cold += f64::from(u8::from(to.as_str() < "r5"));
            }
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            rig.advance(1.0);
        }
    }
    // Twelve requests took 14.4 s, over ten readers.
    (to_cold / reads, (to_cold / 5.0) / (finished / 10.0 / 14.4 * 2.0))
}

#[test]
fn cold_readers_are_used_as_far_as_they_are_warm() {
    let (part, _) = part_of_cold(0.1, Outcome::Prefilled);
    // Five with a quarter to nearly a half of their capacity, beside five warm ones.
    assert!(0.12 < part && part < 0.35, "{part} of the reads");
}

#[test]
fn in_a_jam_cold_readers_get_no_more_than_their_budget() {
    // What each warm reader finishes, times the multiple of 3, times a quarter.
    let (_, often) = part_of_cold(0.1, Outcome::Rejected { no_state: false });
    assert!(often < 3.0 * 0.25, "two of three reads end in vain: {often} of what a warm one finishes");
    let (_, often) = part_of_cold(1.1, Outcome::Prefilled);
    assert!(often < 3.0 * 0.25, "the warm ones are slow: {often} of what a warm one finishes");
}

#[test]
fn routers_that_have_just_begun_leave_cold_readers_their_part() {
    // Two of four readers have just begun, as on a day on which routers and workers are replaced together.
    let first = |seed| {
        let mut rig = one(seed, many(), vec![]);
        let cold = |i: usize| (i < 2).then_some(rig.now);
        let readers =
            (0..4).map(|i| Worker { started: cold(i), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        let workers = readers.chain([worker("w0", Role::Decode, 0)]).collect();
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
        let id = format!("first{seed}");
        sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0
    };
    let cold = (0..400).map(first).filter(|to| to == "r0" || to == "r1").count();
    // At a quarter of their capacity they are due a fifth of all; the coin of the budget alone gives them one in a hundred.
    assert!((20..=100).contains(&cold), "{cold} of 400 first reads went to cold readers");
}

#[test]
fn where_all_readers_are_cold_what_they_finish_brings_them_more() {
    // Of all routers, the reads begun in the second half of the time in which all readers are cold.
    let mut begun = 0;
    for seed in 0..u64::from(ROUTERS) {
        let set = Settings { self_prefill: false, ..many() };
        let cold_for = set.slow_start_duration.as_secs_f64();
        let mut rig = one(seed, set, fleet_with_prefill(4));
        quiet_run(&mut rig, "a", 20);
        let at = rig.now;
        let cold = (0..4).map(|i| Worker { started: Some(at), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: cold.collect() });
        let mut n = 0;
        while rig.now < at + secs(cold_for) {
            let id = format!("c{n}");
            if sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some() {
                begun += u32::from(rig.now > at + secs(cold_for / 2.0));
                rig.end_prefill_after(&id, 0.05);
                rig.end_attempt(&id, 1, Outcome::Served, 0);
            } else {
                rig.feed(Event::ClientGone(id.as_str().into()));
            }
            (n, _) = (n + 1, rig.advance(0.5));
        }
    }
    // Of ten for each router. By what warm ones finish alone a third: none is warm, and what they had finished fades.
    assert!(begun > 900, "{begun} of 1500 reads were begun while all readers were half warm or more");
}

#[test]
fn routers_that_lose_the_list_at_one_moment_ask_again_at_times_of_their_own() {
    let pause = |seed| {
        let mut rig = one(seed, Settings { discovery: Discovery::Poll, ..many() }, fleet());
        let failed = rig.feed(Event::Endpoints { update: EndpointUpdate::Failed, workers: vec![] });
        let before = rig.now;
        assert_eq!(rig.fire_timers(&failed), [Action::Subscribe]);
        (rig.now - before).0
    };
    let mut pauses: Vec<u64> = (0..u64::from(ROUTERS)).map(pause).collect();
    pauses.sort_unstable();
    // Over a second, of which any tenth is due a tenth of the routers and what such a count scatters.
    let busiest =
        pauses.iter().map(|at| pauses.iter().filter(|p| (*at..at + 100_000).contains(*p)).count()).max();
    assert!(busiest.unwrap() <= 15 + 3 * 4 + 3, "{busiest:?} of {ROUTERS} routers ask within 100 ms");
    assert!(pauses[0] >= 500_000, "not at once: the service is loaded");
}

// ---- Choice.

#[test]
fn with_nothing_out_mixed_servers_get_their_share_not_all() {
    let workers = with_mixed();
    let whole = (0..400)
        .filter(|seed| {
            let mut rig = one(*seed, many(), workers.clone());
            sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0.starts_with('m')
        })
        .count();
    assert!((20..80).contains(&whole), "two of eight servers, and nothing known: {whole} of 400");
}

#[test]
fn mixed_servers_that_begin_late_get_less() {
    let workers = with_mixed();
    let whole = (0..400)
        .filter(|seed| {
            let mut rig = one(*seed, many(), workers.clone());
            for i in 0..12 {
                rig.advance(0.9);
                let id = format!("{i}");
                let to = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0;
                rig.advance(0.05);
                let whole = to.starts_with('m');
                if !whole {
                    rig.end_prefill_after(&id, 0.05);
                }
                let attempt = AttemptNo(u32::from(!whole));
                let elapsed = secs(if whole { 1.0 } else { 0.05 });
                rig.feed(Event::Streaming { id: id.as_str().into(), attempt, elapsed });
                rig.end_attempt(&id, attempt.0, Outcome::Served, 0);
            }
            sent_to(&rig.submit("z", "z", IDEMPOTENT, LONG)).unwrap().0.starts_with('m')
        })
        .count();
    assert!(whole < 60, "a quarter of the servers, far slower: {whole} of 400");
}

/// Each router sees the prefix for the first time. Were one request of its own a sign of heat, all would spread it.
#[test]
fn a_prefix_that_each_router_sees_once_is_read_at_two_readers() {
    for earlier in [0, 1, 10] {
        let mut used = std::collections::BTreeSet::new();
        for seed in 0..u64::from(ROUTERS) {
            let mut rig = one(seed, many(), fleet_with_prefill(20));
            for i in 0..=earlier {
                let id = format!("{seed}-{i}");
                let mut request = rig.request(&id, &id, IDEMPOTENT, LONG);
                let rare = i == earlier;
                request.prefix = Some(if rare { "rare".into() } else { id.as_str().into() });
                let reader = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
                if rare {
                    used.insert(reader);
                }
                rig.advance(0.1);
                rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
                rig.start_stream(&id, 1);
                rig.end_attempt(&id, 1, Outcome::Served, 0);
                rig.advance(1.0);
            }
        }
        assert_eq!(used.len(), 2, "after {earlier} other requests: {used:?}");
    }
}

#[test]
fn a_hot_beginning_is_as_wide_as_its_part_of_what_is_asked() {
    let workers = fleet_with_prefill(12);
    let used = |part: usize| {
        let mut rig = one(1, many(), workers.clone());
        let mut seen = std::collections::BTreeSet::new();
        for i in 0..200 {
            rig.advance(0.2);
            let id = format!("{i}");
            let hot = i % 10 < part;
            let mut request = rig.request(&id, &id, IDEMPOTENT, LONG);
            request.prefix = Some(if hot { "hot".into() } else { id.as_str().into() });
            let to = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
            if hot {
                seen.insert(to);
            }
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        seen.len()
    };
    assert!((2..=3).contains(&used(1)), "a tenth of the traffic keeps to its pair, or nearly");
    assert!(used(5) >= 6, "half of the traffic takes half of the readers");
}

#[test]
fn a_session_comes_back_to_its_reader_on_another_router() {
    let workers = fleet_with_prefill(12);
    for session in 0..40 {
        let to = |seed: u64| {
            let mut rig = one(seed, many(), workers.clone());
            let mut request = rig.request("a", &format!("s{session}"), IDEMPOTENT, LONG);
            request.prefix = Some("shared".into());
            sent_to(&rig.feed(Event::Request(request))).unwrap().0
        };
        assert_eq!(to(1), to(2));
    }
}

#[test]
fn writers_of_a_cell_with_many_readers_get_only_their_part() {
    for reports in [LoadReporting::Off, LoadReporting::InResponses] {
        let mut near = 0;
        let mut reads = 0;
        for seed in 0..400 {
            let mut rig = one(seed, Settings { load_reporting: reports, ..many() }, skewed());
            let id = format!("s{seed}");
            let reader = sent_to(&rig.submit("a", &id, IDEMPOTENT, LONG)).unwrap().0;
            let writer = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
            if reader != "r3" {
                reads += 1;
                near += u32::from(writer == "w0");
            }
        }
        // A quarter of the writers, three quarters of the readers: a third of their states stay.
        assert!(reads / 5 < near && near < reads / 2, "{near} of {reads}");
    }
}

// ---- Health and overload.

#[test]
fn one_failure_is_enough_where_nothing_good_was_heard_lately() {
    let mut rig = one(1, many(), fleet());
    let bad = sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0;
    rig.end_attempt("a", 0, Outcome::NoConnection, 0);
    rig.end_attempt("a", 1, Outcome::Prefilled, 0);
    rig.start_stream("a", 2);
    rig.end_attempt("a", 2, Outcome::Served, 0);
    for i in 0..8 {
        rig.advance(0.9);
        let id = format!("{i}");
        assert_ne!(
            sent_to(&rig.submit(&id, "s", IDEMPOTENT, LONG)).unwrap().0,
            bad,
            "{} s later",
            0.9 * f64::from(i + 1)
        );
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        rig.start_stream(&id, 1);
        rig.end_attempt(&id, 1, Outcome::Served, 0);
    }
}

#[test]
fn silence_says_nothing_to_a_router_that_is_asked_seldom() {
    let mut rig = one(1, many(), fleet());
    let asked = rig.submit("a", "s", IDEMPOTENT, LONG);
    let late = rig.fire_timers(&asked);
    assert!(!late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
}

/// How many of 300 routers refuse a request after ten others took `wait` seconds.
fn refusals(wait: f64, end: impl Fn(&mut Rig, &str)) -> usize {
    (0..300)
        .filter(|seed| {
            let mut rig = one(*seed, many(), fleet());
            for i in 0..10 {
                let id = format!("{i}");
                rig.submit(&id, &id, IDEMPOTENT, LONG);
                rig.advance(wait);
                end(&mut rig, &id);
            }
            let actions = rig.submit("z", "z", IDEMPOTENT, LONG);
            for a in &actions {
                if let Action::Reject { retry_after, reason, .. } = a {
                    assert!(retry_after.is_some_and(|t| t.0 > 0), "a time to come back is named");
                    assert_eq!(*reason, RejectionReason::ObservedLatency);
                }
            }
            rejected(&actions)
        })
        .count()
}

/// The reader tells that so many wait there, the answer begins.
fn begins(queued: Option<f64>) -> impl Fn(&mut Rig, &str) {
    move |rig, id| {
        let report = queued.map(|q| LoadReport { queued_requests: Some(q), ..LoadReport::default() });
        rig.end_attempt_with_report(id, 0, Outcome::Prefilled, 0, report);
        rig.start_stream(id, 1);
    }
}

#[test]
fn many_routers_refuse_the_more_the_longer_first_tokens_take() {
    for told in [None, Some(4.0)] {
        assert_eq!(refusals(0.5, begins(told)), 0);
        let (some, most) = (refusals(1.1, begins(told)), refusals(1.6, begins(told)));
        assert!(0 < some && some < most && most < 300, "{some} {most}");
    }
}

#[test]
fn where_no_worker_tells_of_a_queue_late_first_tokens_are_no_reason_to_refuse() {
    assert_eq!(refusals(1.6, begins(Some(0.0))), 0);
}

#[test]
fn the_fewer_workers_queue_the_less_is_refused() {
    // Of three readers one, as the hash falls.
    let one_queues = |rig: &mut Rig, id: &str| {
        let queued = if id.len() == 1 && id < "3" { 4.0 } else { 0.0 };
        begins(Some(queued))(rig, id);
    };
    assert!(refusals(1.6, one_queues) < refusals(1.6, begins(Some(4.0))));
}

#[test]
fn clients_that_leave_with_no_first_token_tell_of_a_jam() {
    let left = |rig: &mut Rig, id: &str| {
        rig.feed(Event::ClientGone(id.into()));
    };
    assert!(refusals(0.4, left) > 100, "they waited only 0.4 s, and in vain");
}

#[test]
fn what_may_have_run_is_not_repeated_while_first_tokens_are_late() {
    let repeated = |wait: f64| {
        let mut rig = one(1, many(), fleet());
        for i in 0..10 {
            let id = format!("{i}");
            rig.submit(&id, &id, IDEMPOTENT, LONG);
            rig.advance(wait);
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            rig.advance(0.4);
        }
        rig.submit("z", "z", IDEMPOTENT, LONG);
        rig.end_attempt("z", 0, Outcome::Prefilled, 0);
        let actions = rig.end_attempt("z", 1, Outcome::ConnectionLost, 0);
        assert!(sent_to(&actions).is_some() || rejected(&actions), "one or the other, at once");
        sent_to(&actions).is_some()
    };
    assert!(repeated(0.1), "a lost connection alone is no jam");
    assert!(!repeated(0.75), "first tokens take three quarters of the aim");
}
