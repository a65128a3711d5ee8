//! One router of many: it gets few requests, observes little, and shares each budget with all others.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;
const ROUTERS: u32 = 150;

fn many_router_settings() -> Settings {
    Settings { routers: ROUTERS, ..settings() }
}

/// One router with its own seed.
fn seeded_rig(seed: u64, set: Settings, workers: Vec<Worker>) -> Rig {
    let mut rig = Rig::new(set.clone(), vec![]);
    rig.router = Router::new(set, seed);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
    rig
}

/// The fleet of `fleet()` and a combined worker in each of its cells.
fn fleet_with_combined() -> Vec<Worker> {
    let mut all = fleet();
    all.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    all
}

/// Two cells: three prefill workers and one decode worker in the first, one and three in the second.
fn skewed_fleet() -> Vec<Worker> {
    let mut all = vec![worker("w0", Role::Decode, 0), worker("r3", Role::Prefill, 1)];
    all.extend((0..3).map(|i| worker(&format!("r{i}"), Role::Prefill, 0)));
    all.extend((1..4).map(|i| worker(&format!("w{i}"), Role::Decode, 1)));
    all
}

/// Serves requests one after the other, each through a prefill and a decode worker to its end.
fn serve_one_by_one(rig: &mut Rig, name: &str, requests: usize) {
    for i in 0..requests {
        rig.serve_request(&format!("{name}{i}"), &format!("{name}{i}"), LONG);
    }
}

/// Attempts that all routers together send to a prefill worker that has just started, within one window.
fn total_sent_to_cold(workers: &[Worker], removed: &[&str]) -> u32 {
    let mut total = 0;
    for seed in 0..u64::from(ROUTERS) {
        let mut rig = seeded_rig(seed, many_router_settings(), workers.to_vec());
        serve_one_by_one(&mut rig, "a", 20);
        let update =
            removed.iter().map(|id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: update.collect() });
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

// ---- Rule 4 over many routers.

#[test]
fn all_routers_together_stay_within_a_cold_workers_budget() {
    let total = total_sent_to_cold(&fleet_with_prefill(3), &[]);
    // Each router sends one prefill in 1.2 s, so a warm worker of the three does 150 / 1.2 / 3 a second.
    let warm_rate = f64::from(ROUTERS) / 1.2 / 3.0;
    assert!(total > 0, "the restarted worker got no work");
    assert!(f64::from(total) < warm_rate * 2.0 * 3.0 * 0.4, "{total} against {warm_rate} a second");
}

#[test]
fn the_first_worker_of_a_lost_role_to_return_does_not_get_all_work() {
    let total = total_sent_to_cold(&fleet_with_prefill(3), &["r0", "r1", "r2"]);
    let warm_rate = f64::from(ROUTERS) / 1.2 / 3.0;
    assert!(f64::from(total) < warm_rate * 2.0 * 3.0 * 0.4, "{total} against {warm_rate} a second");
}

/// Simulates 24 routers of uneven traffic and a prefill worker that restarts while the other two are removed. Returns
/// the times of the attempts sent to it, in seconds after its restart, and the prefills a second that each worker was
/// sent before. Half of the routers restart a second after the worker and lose their counts. The first attempt of one
/// request in four is rejected, and repeated as the router decides.
fn simulate_restarted_fleet(fleet_seed: u64) -> (Vec<f64>, f64) {
    let set = Settings { routers: 24, ..settings() };
    let (mut sends, mut before) = (Vec::new(), 0.0);
    for n in 0..24 {
        let per_s = if n % 4 == 0 { 8.0 } else { 1.0 };
        let mut rig = seeded_rig(fleet_seed * 1_000 + n, set.clone(), fleet_with_prefill(3));
        let begun = rig.now;
        let restarted_at = begun + secs(20.0);
        let mut cold = worker("r0", Role::Prefill, 0);
        cold.started = Some(restarted_at);
        let (mut announced, mut restarts, mut i) = (false, n % 2 == 1, 0);
        // Routers start at different phases.
        rig.advance((n as f64 * 0.618).fract() / per_s);
        while rig.now < restarted_at + secs(6.0) {
            if !announced && rig.now >= restarted_at {
                announced = true;
                let removed = |id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, Role::Prefill, 0) };
                let workers = vec![cold.clone(), removed("r1"), removed("r2")];
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers });
            }
            if restarts && rig.now >= restarted_at + secs(1.0) {
                restarts = false;
                let at = rig.now;
                rig.router = Router::new(set.clone(), fleet_seed * 1_000 + 500 + n);
                let workers = vec![cold.clone(), worker("w0", Role::Decode, 0)];
                rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
                rig.now = at;
            }
            let (id, submitted_at) = (format!("{n}-{i}"), rig.now);
            rig.run_request(&id, LONG, i % 4 == 3, |now, to| {
                let age = if now >= restarted_at { (now - restarted_at).as_secs_f64() } else { -1.0 };
                if age >= 0.0 && to == "r0" {
                    sends.push(age);
                }
                before += f64::from(u8::from(age < 0.0 && to.starts_with('r') && now >= begun + secs(10.0)));
            });
            i += 1;
            rig.now = rig.now.max(submitted_at + secs(1.0 / per_s));
        }
    }
    // Ten seconds, over three prefill workers.
    (sends, before / 10.0 / 3.0)
}

/// A budget of N attempts may be exceeded by chance by `2 * sqrt(N) + 2`, and no more with twenty or thirty routers.
#[test]
fn a_restarted_fleet_stays_within_a_cold_workers_budget_and_chance() {
    for fleet_seed in 0..10 {
        let (mut sends, rate) = simulate_restarted_fleet(fleet_seed);
        sends.sort_by(f64::total_cmp);
        assert!(sends.len() > 10, "the restarted worker got little work: {}", sends.len());
        for (i, from) in sends.iter().enumerate() {
            let sent_in_window = sends[i..].iter().take_while(|at| **at < from + 2.0).count() as f64;
            // The overload multiple of 3, for 2 s, of its capacity at the end of the window: 0.25 at its restart, all
            // of it after 10 s.
            let limit = 3.0 * 2.0 * rate * (0.25 + 0.75 * (from + 2.0) / 10.0);
            assert!(
                sent_in_window <= limit + 2.0 * limit.sqrt() + 2.0,
                "start {fleet_seed}: {sent_in_window} of {limit} from {from} s on"
            );
        }
    }
}

/// The share of the prefills of all routers that goes to cold workers, five of ten, in the two seconds after their
/// start; and the prefills that a cold worker is sent, over those that a warm worker finished in as much time before.
/// `prefill_s` is the duration of a prefill before the start, and `outcome` how two of three end.
fn cold_worker_usage(prefill_s: f64, outcome: Outcome) -> (f64, f64) {
    let (mut to_cold, mut prefills, mut finished) = (0.0, 0.0, 0.0);
    for seed in 0..u64::from(ROUTERS) {
        let mut rig = seeded_rig(seed, many_router_settings(), fleet_with_prefill(10));
        for i in 0..12 {
            let id = format!("{seed}a{i}");
            rig.submit(&id, &id, IDEMPOTENT, LONG);
            rig.advance(prefill_s);
            // One in three succeeds in any case.
            let outcome = if i % 3 == 0 { Outcome::Prefilled } else { outcome };
            finished += f64::from(u8::from(outcome == Outcome::Prefilled));
            rig.feed(Event::AttemptOutcome {
                id: id.as_str().into(),
                attempt: AttemptNo(0),
                outcome,
                elapsed: secs(prefill_s),
                request_ended: false,
                cached_tokens: 0,
                report: None,
            });
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            rig.advance(1.2 - prefill_s);
        }
        let cold =
            (0..5).map(|i| Worker { started: Some(rig.now), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: cold.collect() });
        for i in 0..2 {
            let id = format!("{seed}c{i}");
            if let Some((to, _)) = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)) {
                prefills += 1.0;
                to_cold += f64::from(u8::from(to.as_str() < "r5"));
            }
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
            rig.advance(1.0);
        }
    }
    // Twelve requests took 14.4 s, over ten prefill workers.
    (to_cold / prefills, (to_cold / 5.0) / (finished / 10.0 / 14.4 * 2.0))
}

#[test]
fn cold_prefill_workers_are_used_in_proportion_to_their_capacity() {
    let (share, _) = cold_worker_usage(0.1, Outcome::Prefilled);
    // Five workers with a quarter to nearly a half of their capacity, beside five warm ones.
    assert!(0.12 < share && share < 0.35, "{share} of the prefills");
}

#[test]
fn in_a_jam_cold_readers_get_no_more_than_their_budget() {
    // The budget is what a warm worker finishes, times the overload multiple of 3, times the initial share of a
    // quarter.
    let (_, sent_ratio) = cold_worker_usage(0.1, Outcome::Rejected { no_state: false });
    assert!(
        sent_ratio < 3.0 * 0.25,
        "two of three prefills are rejected: {sent_ratio} of what a warm worker finishes"
    );
    let (_, sent_ratio) = cold_worker_usage(1.1, Outcome::Prefilled);
    assert!(sent_ratio < 3.0 * 0.25, "prefills are slow: {sent_ratio} of what a warm worker finishes");
}

#[test]
fn routers_that_have_just_started_leave_cold_prefill_workers_their_share() {
    // Two of four prefill workers have just started, as when routers and workers are replaced together.
    let first_worker = |seed| {
        let mut rig = seeded_rig(seed, many_router_settings(), vec![]);
        let cold = |i: usize| (i < 2).then_some(rig.now);
        let prefill_workers =
            (0..4).map(|i| Worker { started: cold(i), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        let workers = prefill_workers.chain([worker("w0", Role::Decode, 0)]).collect();
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
        let id = format!("first{seed}");
        sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0
    };
    let cold = (0..400).map(first_worker).filter(|to| to == "r0" || to == "r1").count();
    // At a quarter of their capacity their share is a fifth. The random draw for the slow-start budget alone would
    // give them one in a hundred.
    assert!((20..=100).contains(&cold), "{cold} of 400 first prefills went to cold workers");
}

#[test]
fn when_all_prefill_workers_are_cold_their_completions_raise_their_budget() {
    // The prefills of all routers that begin in the second half of slow start.
    let mut begun = 0;
    for seed in 0..u64::from(ROUTERS) {
        let set = Settings { self_prefill: false, ..many_router_settings() };
        let slow_start_s = set.slow_start_duration.as_secs_f64();
        let mut rig = seeded_rig(seed, set, fleet_with_prefill(4));
        serve_one_by_one(&mut rig, "a", 20);
        let at = rig.now;
        let cold = (0..4).map(|i| Worker { started: Some(at), ..worker(&format!("r{i}"), Role::Prefill, 0) });
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: cold.collect() });
        let mut n = 0;
        while rig.now < at + secs(slow_start_s) {
            let id = format!("c{n}");
            if sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some() {
                begun += u32::from(rig.now > at + secs(slow_start_s / 2.0));
                rig.end_prefill_after(&id, 0.05);
                rig.end_attempt(&id, 1, Outcome::Served, 0);
            } else {
                rig.feed(Event::ClientGone(id.as_str().into()));
            }
            (n, _) = (n + 1, rig.advance(0.5));
        }
    }
    // Each router has ten requests in that half. If only completions of warm workers counted, a third would begin: no
    // worker is warm, and the earlier completions decay.
    assert!(
        begun > 900,
        "{begun} of 1500 prefills began while all workers were in the second half of slow start"
    );
}

#[test]
fn routers_that_lose_the_endpoint_list_together_poll_again_with_jitter() {
    let poll_delay = |seed| {
        let mut rig =
            seeded_rig(seed, Settings { discovery: Discovery::Poll, ..many_router_settings() }, fleet());
        let failed = rig.feed(Event::Endpoints { update: EndpointUpdate::Failed, workers: vec![] });
        let before = rig.now;
        assert_eq!(rig.fire_timers(&failed), [Action::Subscribe]);
        (rig.now - before).0
    };
    let mut poll_delays: Vec<u64> = (0..u64::from(ROUTERS)).map(poll_delay).collect();
    poll_delays.sort_unstable();
    // The delays spread over a second, so 15 routers are expected in 100 ms; the limit adds three standard deviations
    // and 3.
    let busiest = poll_delays
        .iter()
        .map(|at| poll_delays.iter().filter(|p| (*at..at + 100_000).contains(*p)).count())
        .max();
    assert!(busiest.unwrap() <= 15 + 3 * 4 + 3, "{busiest:?} of {ROUTERS} routers poll within 100 ms");
    assert!(poll_delays[0] >= 500_000, "polled again at once, which would load the discovery service");
}

// ---- Placement.

#[test]
fn with_nothing_in_flight_combined_workers_get_their_share_not_all() {
    let workers = fleet_with_combined();
    let to_combined = (0..400)
        .filter(|seed| {
            let mut rig = seeded_rig(*seed, many_router_settings(), workers.clone());
            sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0.starts_with('m')
        })
        .count();
    assert!((20..80).contains(&to_combined), "two of eight workers, nothing observed: {to_combined} of 400");
}

#[test]
fn combined_workers_with_late_first_tokens_get_less() {
    let workers = fleet_with_combined();
    let to_combined = (0..400)
        .filter(|seed| {
            let mut rig = seeded_rig(*seed, many_router_settings(), workers.clone());
            for i in 0..12 {
                rig.advance(0.9);
                let id = format!("{i}");
                let to = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0;
                rig.advance(0.05);
                let to_combined = to.starts_with('m');
                if !to_combined {
                    rig.end_prefill_after(&id, 0.05);
                }
                let attempt = AttemptNo(u32::from(!to_combined));
                let elapsed = secs(if to_combined { 1.0 } else { 0.05 });
                rig.feed(Event::Streaming { id: id.as_str().into(), attempt, elapsed });
                rig.end_attempt(&id, attempt.0, Outcome::Served, 0);
            }
            sent_to(&rig.submit("z", "z", IDEMPOTENT, LONG)).unwrap().0.starts_with('m')
        })
        .count();
    assert!(to_combined < 60, "a quarter of the workers, far slower: {to_combined} of 400");
}

/// Each router sees the prefix for the first time. If one request made a prefix hot, all routers would spread it.
#[test]
fn a_prefix_that_each_router_sees_once_uses_two_prefill_workers() {
    for earlier in [0, 1, 10] {
        let mut workers_used = std::collections::BTreeSet::new();
        for seed in 0..u64::from(ROUTERS) {
            let mut rig = seeded_rig(seed, many_router_settings(), fleet_with_prefill(20));
            for i in 0..=earlier {
                let id = format!("{seed}-{i}");
                let mut request = rig.request(&id, &id, IDEMPOTENT, LONG);
                let is_rare = i == earlier;
                request.prefix = Some(if is_rare { "rare".into() } else { id.as_str().into() });
                let prefill_worker = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
                if is_rare {
                    workers_used.insert(prefill_worker);
                }
                rig.advance(0.1);
                rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
                rig.start_stream(&id, 1);
                rig.end_attempt(&id, 1, Outcome::Served, 0);
                rig.advance(1.0);
            }
        }
        assert_eq!(workers_used.len(), 2, "after {earlier} other requests: {workers_used:?}");
    }
}

#[test]
fn a_hot_prefix_spreads_in_proportion_to_its_share_of_requests() {
    let workers = fleet_with_prefill(12);
    let workers_used = |share: usize| {
        let mut rig = seeded_rig(1, many_router_settings(), workers.clone());
        let mut seen = std::collections::BTreeSet::new();
        for i in 0..200 {
            rig.advance(0.2);
            let id = format!("{i}");
            let hot = i % 10 < share;
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
    assert!((2..=3).contains(&workers_used(1)), "a tenth of the traffic should use two or three workers");
    assert!(workers_used(5) >= 6, "half of the traffic should use half of the workers");
}

#[test]
fn a_session_uses_the_same_prefill_worker_on_every_router() {
    let workers = fleet_with_prefill(12);
    for session in 0..40 {
        let to = |seed: u64| {
            let mut rig = seeded_rig(seed, many_router_settings(), workers.clone());
            let mut request = rig.request("a", &format!("s{session}"), IDEMPOTENT, LONG);
            request.prefix = Some("shared".into());
            sent_to(&rig.feed(Event::Request(request))).unwrap().0
        };
        assert_eq!(to(1), to(2));
    }
}

#[test]
fn decode_workers_of_a_cell_with_many_prefill_workers_get_only_their_share() {
    for reports in [LoadReporting::Off, LoadReporting::InResponses] {
        let mut same_cell = 0;
        let mut prefills = 0;
        for seed in 0..400 {
            let mut rig = seeded_rig(
                seed,
                Settings { load_reporting: reports, ..many_router_settings() },
                skewed_fleet(),
            );
            let id = format!("s{seed}");
            let prefill_worker = sent_to(&rig.submit("a", &id, IDEMPOTENT, LONG)).unwrap().0;
            let decode_worker = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
            if prefill_worker != "r3" {
                prefills += 1;
                same_cell += u32::from(decode_worker == "w0");
            }
        }
        // The cell has a quarter of the decode workers and three quarters of the prefill workers: about a third of its
        // prefilled requests stay in the cell.
        assert!(prefills / 5 < same_cell && same_cell < prefills / 2, "{same_cell} of {prefills}");
    }
}

// ---- Outlier detection and admission.

#[test]
fn one_failure_ejects_a_worker_without_a_recent_success() {
    let mut rig = seeded_rig(1, many_router_settings(), fleet());
    let failing_worker = sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0;
    rig.end_attempt("a", 0, Outcome::NoConnection, 0);
    rig.end_attempt("a", 1, Outcome::Prefilled, 0);
    rig.start_stream("a", 2);
    rig.end_attempt("a", 2, Outcome::Served, 0);
    for i in 0..8 {
        rig.advance(0.9);
        let id = format!("{i}");
        assert_ne!(
            sent_to(&rig.submit(&id, "s", IDEMPOTENT, LONG)).unwrap().0,
            failing_worker,
            "{} s later",
            0.9 * f64::from(i + 1)
        );
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        rig.start_stream(&id, 1);
        rig.end_attempt(&id, 1, Outcome::Served, 0);
    }
}

#[test]
fn silence_is_not_judged_by_a_router_with_few_requests() {
    let mut rig = seeded_rig(1, many_router_settings(), fleet());
    let actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let late = rig.fire_timers(&actions);
    assert!(!late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
}

/// How many of 300 routers reject a request after ten others took `wait` seconds.
fn count_rejections(wait: f64, end_request: impl Fn(&mut Rig, &str)) -> usize {
    (0..300)
        .filter(|seed| {
            let mut rig = seeded_rig(*seed, many_router_settings(), fleet());
            for i in 0..10 {
                let id = format!("{i}");
                rig.submit(&id, &id, IDEMPOTENT, LONG);
                rig.advance(wait);
                end_request(&mut rig, &id);
            }
            let actions = rig.submit("z", "z", IDEMPOTENT, LONG);
            for a in &actions {
                if let Action::Reject { retry_after, reason, .. } = a {
                    assert!(
                        retry_after.is_some_and(|t| t.0 > 0),
                        "the rejection names no time to retry after"
                    );
                    assert_eq!(*reason, RejectionReason::ObservedLatency);
                }
            }
            rejected(&actions)
        })
        .count()
}

/// Ends a prefill whose worker reports this queue length, and starts the stream.
fn streams_with_queue(queued: Option<f64>) -> impl Fn(&mut Rig, &str) {
    move |rig, id| {
        let report = queued.map(|q| LoadReport { queued_requests: Some(q), ..LoadReport::default() });
        rig.end_attempt_with_report(id, 0, Outcome::Prefilled, 0, report);
        rig.start_stream(id, 1);
    }
}

#[test]
fn the_share_of_rejections_rises_with_the_time_to_the_first_token() {
    for queue_length in [None, Some(4.0)] {
        assert_eq!(count_rejections(0.5, streams_with_queue(queue_length)), 0);
        let (some, more) = (
            count_rejections(1.1, streams_with_queue(queue_length)),
            count_rejections(1.6, streams_with_queue(queue_length)),
        );
        assert!(0 < some && some < more && more < 300, "{some} {more}");
    }
}

#[test]
fn where_no_worker_tells_of_a_queue_late_first_tokens_are_no_reason_to_refuse() {
    assert_eq!(count_rejections(1.6, streams_with_queue(Some(0.0))), 0);
}

#[test]
fn the_fewer_workers_queue_the_fewer_requests_are_rejected() {
    // Only requests 0 to 2 report a queue; by the hash they reach one of the three prefill workers.
    let one_worker_queues = |rig: &mut Rig, id: &str| {
        let queued = if id.len() == 1 && id < "3" { 4.0 } else { 0.0 };
        streams_with_queue(Some(queued))(rig, id);
    };
    assert!(count_rejections(1.6, one_worker_queues) < count_rejections(1.6, streams_with_queue(Some(4.0))));
}

#[test]
fn clients_that_disconnect_before_a_first_token_indicate_congestion() {
    let disconnect = |rig: &mut Rig, id: &str| {
        rig.feed(Event::ClientGone(id.into()));
    };
    assert!(count_rejections(0.4, disconnect) > 100, "clients that waited 0.4 s in vain are not counted");
}

#[test]
fn a_request_that_may_have_run_is_not_repeated_under_congestion() {
    let is_repeated = |wait: f64| {
        let mut rig = seeded_rig(1, many_router_settings(), fleet());
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
        assert!(sent_to(&actions).is_some() || rejected(&actions), "neither repeated nor rejected");
        sent_to(&actions).is_some()
    };
    assert!(is_repeated(0.1), "a lost connection alone counted as congestion");
    assert!(
        !is_repeated(0.75),
        "repeated although first tokens take three quarters of the latency objective"
    );
}
