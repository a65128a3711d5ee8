//! Scripted runs for each of the five rules (see `common/audit.rs`), outlier detection, admission and the endpoint
//! list.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;

fn two_cell_fleet() -> Vec<Worker> {
    vec![
        worker("r0", Role::Prefill, 0),
        worker("r1", Role::Prefill, 1),
        worker("w0", Role::Decode, 0),
        worker("w1", Role::Decode, 1),
    ]
}

// ---- Rule 1: one final answer, in time.

#[test]
fn with_no_worker_the_final_answer_still_comes_in_time() {
    let mut rig = Rig::new(settings(), vec![]);
    let deadline = rig.now + secs(5.0);
    let actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.fire_timers_until(actions, 1_000, |a| rejected(a) || failed(a));
    assert!(rig.now <= deadline);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.advance(5.0);
    let actions = rig.end_attempt("a", 0, Outcome::TimedOut, 0);
    assert!(failed(&actions) || rejected(&actions));
    assert!(sent_to(&actions).is_none());
}

#[test]
fn nothing_is_sent_after_the_client_has_disconnected() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 0, Outcome::ServerError, 0);
    assert!(sent_to(&actions).is_none() && !failed(&actions) && !rejected(&actions));
}

#[test]
fn attempts_stay_within_the_allowed_number() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let mut actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut sends = 0;
    while sent_to(&actions).is_some() {
        sends += 1;
        actions = rig.end_attempt("a", sends - 1, Outcome::NoConnection, 0);
    }
    assert!(sends <= 4, "{sends}");
}

#[test]
fn a_timeout_is_never_zero() {
    let mut set = settings();
    set.may_cancel = false;
    for class in &mut set.classes {
        class.latency_objective = Micros(0);
        class.latency_objective_per_1000_tokens = Micros(0);
    }
    let mut rig = Rig::new(set, two_cell_fleet());
    let (_, timeout) = sent_to(&rig.submit("a", "s", IDEMPOTENT, 0)).unwrap();
    assert!(timeout.is_none_or(|g| g.0 > 0));
}

// ---- Rule 2: no effect twice.

fn submit_and_prefill(rig: &mut Rig, class: ClassId) {
    rig.submit("a", "s", class, LONG);
    assert!(sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).is_some());
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_failed_not_repeated_or_rejected() {
    for outcome in [Outcome::ServerError, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), two_cell_fleet());
        submit_and_prefill(&mut rig, NON_IDEMPOTENT);
        let actions = rig.end_attempt("a", 1, outcome, 0);
        assert!(sent_to(&actions).is_none(), "{outcome:?}");
        assert!(failed(&actions) && !rejected(&actions), "{outcome:?}");
        assert!(released(&actions), "the reserved state was not released: {outcome:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_was_rejected_goes_to_the_other_decode_worker() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    submit_and_prefill(&mut rig, NON_IDEMPOTENT);
    let again = sent_to(&rig.end_attempt("a", 1, Outcome::Rejected { no_state: false }, 0)).unwrap().0;
    assert!(again.starts_with('w'));
}

#[test]
fn a_prefill_has_no_effect_and_may_be_repeated() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let first = sent_to(&rig.submit("a", "s", NON_IDEMPOTENT, LONG)).unwrap().0;
    let second = sent_to(&rig.end_attempt("a", 0, Outcome::ServerError, 0)).unwrap().0;
    assert!(second.starts_with('r') && second != first);
}

#[test]
fn a_deduplicated_request_stays_in_its_scope_and_window() {
    let mut workers = two_cell_fleet();
    workers.push(worker("w2", Role::Decode, 0));
    workers.push(worker("w3", Role::Decode, 1));
    let mut rig = Rig::new(settings(), workers.clone());
    rig.submit("a", "s", DEDUPLICATED, LONG);
    let first = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
    let cell = |id: &str| workers.iter().find(|w| *w.id.0 == *id).map(|w| w.cell);
    let second = sent_to(&rig.end_attempt("a", 1, Outcome::ConnectionLost, 0)).unwrap().0;
    assert_eq!(cell(&first), cell(&second));
    rig.advance(3.1);
    let actions = rig.end_attempt("a", 2, Outcome::ConnectionLost, 0);
    assert!(sent_to(&actions).is_none(), "repeated after the deduplication window");
}

#[test]
fn never_two_attempts_at_once() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    for a in rig.fire_timers(&actions) {
        assert!(!matches!(a, Action::Send { .. }), "sent while the first attempt is open");
    }
}

// ---- Rule 3: nothing for draining workers.

#[test]
fn a_draining_or_removed_worker_gets_nothing_not_even_a_prefilled_request() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut rig = Rig::new(settings(), two_cell_fleet());
        rig.submit("a", "s", IDEMPOTENT, LONG);
        let mut w0 = worker("w0", Role::Decode, 0);
        w0.lifecycle = lifecycle;
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w0] });
        let next = sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0;
        assert_eq!(next, "w1");
        let actions = rig.end_attempt("a", 1, Outcome::Rejected { no_state: false }, 0);
        assert!(sent_to(&actions).is_none_or(|s| s.0 != "w0"));
    }
}

#[test]
fn a_draining_affinity_worker_gets_no_local_prefill() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let (_, affinity_worker) = rig.serve_request("a", "s", LONG);
    let mut w = worker(&affinity_worker, Role::Decode, 0);
    w.lifecycle = Lifecycle::Draining;
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w] });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 50)).unwrap().0.starts_with('r'));
}

// ---- Rule 4: cold workers.

/// A warm prefill worker r0, and r1, which has just started.
fn rig_with_cold_prefill_worker() -> Rig {
    let mut rig = Rig::new(settings(), fleet_with_prefill(2));
    let mut cold = worker("r1", Role::Prefill, 0);
    cold.started = Some(rig.now);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold] });
    rig
}

fn count_sent_to(rig: &mut Rig, target: &str, requests: usize) -> usize {
    (0..requests)
        .filter(|i| {
            sent_to(&rig.submit(&format!("c{i}"), &format!("c{i}"), IDEMPOTENT, LONG))
                .is_some_and(|s| s.0 == target)
        })
        .count()
}

#[test]
fn a_cold_worker_gets_at_most_one_request_when_its_peers_finish_nothing() {
    // The warm prefill worker is sent many requests and finishes none.
    let mut rig = rig_with_cold_prefill_worker();
    assert!(count_sent_to(&mut rig, "r1", 60) <= 1);
}

#[test]
fn a_cold_worker_that_leaves_the_list_for_a_moment_keeps_its_count() {
    for by_snapshot in [false, true] {
        let mut rig = rig_with_cold_prefill_worker();
        let cold = Worker { started: Some(rig.now), ..worker("r9", Role::Prefill, 0) };
        let all: Vec<Worker> = ["r0", "r1"].map(|r| worker(r, Role::Prefill, 0)).to_vec();
        let mut sends = 0;
        for _ in 0..10 {
            // The worker is removed and listed again with the same start time, so it is the same process. All rounds
            // fall into one overload window.
            let removed = Worker { lifecycle: Lifecycle::Removed, ..cold.clone() };
            if by_snapshot {
                rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: all.clone() });
            } else {
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![removed] });
            }
            rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold.clone()] });
            sends += count_sent_to(&mut rig, "r9", 20);
        }
        assert!(sends <= 1, "sent {sends} requests within one window");
    }
}

#[test]
fn a_cold_workers_budget_follows_what_warm_peers_finish() {
    let mut rig = rig_with_cold_prefill_worker();
    let (mut warm_done, mut to_cold) = (0, 0);
    for i in 0..20 {
        let id = format!("{i}");
        if sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0 == "r1" {
            to_cold += 1;
        } else {
            warm_done += 1;
        }
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
    }
    // The budget is what the warm peer finished times the overload multiple (3) and the initial share (0.25).
    assert!(to_cold >= 2, "{to_cold}");
    assert!(f64::from(to_cold) <= 1.0 + f64::from(warm_done) * 3.0 * 0.25, "{to_cold} against {warm_done}");
}

// ---- Rule 5: reserved state is released.

#[test]
fn reserved_state_that_no_decode_worker_pulls_is_released_in_time() {
    let mut rig = Rig::new(Settings { self_prefill: false, ..settings() }, two_cell_fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut removed = two_cell_fleet();
    removed.retain(|w| w.role == Role::Prefill);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: removed });
    let since = rig.now;
    let actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
    rig.fire_timers_until(actions, 100, released);
    assert!(rig.now <= since + secs(0.5));
}

#[test]
fn state_prefilled_for_a_disconnected_client_is_released_at_once() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
    assert!(released(&actions) && sent_to(&actions).is_none());
}

#[test]
fn a_client_that_disconnects_during_a_pull_leaves_no_reserved_state() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    submit_and_prefill(&mut rig, IDEMPOTENT);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 1, Outcome::Cancelled, 0);
    assert!(released(&actions));
}

// ---- Outlier detection.

#[test]
fn a_worker_that_fails_twice_is_ejected_and_probed_later() {
    let mut rig = Rig::new(settings(), fleet());
    let mut failing = None;
    for i in 0..40 {
        let id = format!("{i}");
        let first = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
        let failing = failing.get_or_insert(first.clone());
        if first == *failing {
            rig.end_attempt(&id, 0, Outcome::ServerError, 0);
        } else {
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    let failing = failing.unwrap();
    let late = (40..60)
        .filter(|i| {
            let id = format!("{i}");
            let to = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.feed(Event::ClientGone(id.as_str().into()));
            to == failing
        })
        .count();
    assert_eq!(late, 0, "the ejected worker got requests");
    rig.advance(60.0);
    let again = (60..80).any(|i| {
        let id = format!("{i}");
        let to = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        to == failing
    });
    assert!(again, "the ejected worker was never probed");
}

#[test]
fn one_of_two_that_fails_is_left_out() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let mut failed = 0;
    for i in 0..40 {
        let id = format!("{i}");
        rig.submit(&id, &id, NON_IDEMPOTENT, LONG);
        let decode_worker = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        if decode_worker == "w0" {
            rig.end_attempt(&id, 1, Outcome::ServerError, 0);
            failed += 1;
        } else {
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        rig.advance(0.05);
    }
    assert!(
        failed <= 4,
        "{failed} of 40 non-idempotent requests were spent on a decode worker that fails each time"
    );
}

#[test]
fn a_pool_whose_workers_all_fail_is_still_used() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
    for i in 0..6 {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        rig.end_attempt(&id, 0, Outcome::ServerError, 0);
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    rig.advance(0.1);
    assert!(sent_to(&rig.submit("z", "z", IDEMPOTENT, LONG)).is_some());
}

#[test]
fn attempts_at_a_hanging_worker_are_cancelled_and_it_gets_no_more() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, affinity_worker) = rig.serve_request("a", "s", LONG);
    // A local prefill at the affinity worker, which stops responding.
    let actions = rig.submit("b", "s", IDEMPOTENT, LONG + 50);
    assert_eq!(sent_to(&actions).unwrap().0, affinity_worker);
    let late = rig.fire_timers(&actions);
    assert!(late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
    let next = sent_to(&rig.end_attempt("b", 0, Outcome::Cancelled, 0)).unwrap().0;
    assert_ne!(next, affinity_worker);
    assert_ne!(
        sent_to(&rig.submit("c", "s", IDEMPOTENT, LONG + 100)).unwrap().0,
        affinity_worker,
        "the hanging worker got a local prefill"
    );
}

#[test]
fn a_slow_worker_that_still_responds_keeps_its_attempts() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
    rig.submit("b", "t", IDEMPOTENT, LONG);
    rig.advance(0.5);
    let first = rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.advance(0.5);
    rig.end_attempt("b", 0, Outcome::Prefilled, 0);
    let mut late = rig.fire_timers(&first);
    for _ in 0..4 {
        assert!(!late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
        late = rig.fire_timers(&late);
    }
}

/// A later prefill at the worker has been answered, so the connection of the earlier one hangs, and the state that it
/// may have reserved is due for release. The earlier prefill is cancelled at that time and not before. A decode would
/// not be cancelled, since it may still run.
#[test]
fn a_prefill_overtaken_by_a_later_one_is_cancelled_when_its_state_is_due() {
    for timeout_s in [0.3, 1.0, 2.0] {
        let set = Settings { reservation_timeout: secs(timeout_s), ..settings() };
        let mut rig = Rig::new(set, vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
        let mut actions = rig.submit("a", "s", NON_IDEMPOTENT, LONG);
        let submitted_at = rig.now;
        rig.advance(0.01);
        rig.submit("b", "t", NON_IDEMPOTENT, LONG);
        rig.advance(0.01);
        rig.end_attempt("b", 0, Outcome::Prefilled, 0);
        while !actions.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            actions = rig.fire_timers(&actions);
            assert!(rig.now < submitted_at + secs(3.0), "{timeout_s} s");
        }
        let after = (rig.now - submitted_at).as_secs_f64();
        assert!(
            after >= timeout_s * 0.8 && after <= timeout_s + 0.3,
            "cancelled after {after} s, reservation timeout {timeout_s} s"
        );
    }
}

#[test]
fn a_worker_that_rejects_at_once_does_not_look_idle() {
    let mut rig = Rig::new(Settings { load_reporting: LoadReporting::Off, ..settings() }, fleet());
    let mut sends = 0;
    for i in 0..100 {
        rig.advance(0.05);
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let mut to = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0));
        let mut attempt = 1;
        while to.as_ref().is_some_and(|t| t.0 == "w0") {
            sends += 1;
            to = sent_to(&rig.end_attempt(&id, attempt, Outcome::Rejected { no_state: false }, 0));
            attempt += 1;
        }
        assert!(to.is_some(), "no other decode worker was tried");
        rig.start_stream(&id, attempt);
    }
    // Over five seconds of rejections the worker is tried at growing intervals, not once for each request.
    assert!((1..=10).contains(&sends), "{sends}");
}

#[test]
fn a_worker_that_rejects_one_class_is_avoided_for_that_class() {
    let idle = Some(LoadReport {
        queued_requests: Some(0.0),
        slot_utilization: Some(0.1),
        kv_utilization: Some(0.1),
        waiting_tokens: None,
    });
    let busy = idle.map(|r| LoadReport { queued_requests: Some(9.0), slot_utilization: Some(1.0), ..r });
    for (report, limit) in [(idle, 5), (busy, 9)] {
        let mut rig = Rig::new(settings(), fleet_with_prefill(1));
        let (mut idempotent_sends, mut non_idempotent_sends) = (0, 0);
        for i in 0..100 {
            rig.advance(0.05);
            let (id, other) = (format!("f{i}"), format!("s{i}"));
            if sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some() {
                idempotent_sends += 1;
                rig.end_attempt_with_report(&id, 0, Outcome::Rejected { no_state: false }, 0, report);
            }
            rig.feed(Event::ClientGone(id.as_str().into()));
            // The other class is served throughout, which must not reset the back-off of the first.
            if i % 7 == 0 && sent_to(&rig.submit(&other, &other, NON_IDEMPOTENT, LONG)).is_some() {
                non_idempotent_sends += 1;
                rig.end_attempt_with_report(&other, 0, Outcome::Prefilled, 0, report);
                rig.feed(Event::ClientGone(other.as_str().into()));
            }
        }
        assert_eq!(non_idempotent_sends, 15, "the other class was avoided too");
        assert!((2..=limit).contains(&idempotent_sends), "{idempotent_sends} of {limit}");
    }
}

#[test]
fn an_attempt_overtaken_by_later_ones_is_cancelled_without_ejecting_its_worker() {
    let mut rig = Rig::new(settings(), fleet_with_prefill(1));
    let stalled = rig.submit("hung", "s", IDEMPOTENT, LONG);
    let at = sent_to(&stalled).unwrap().0;
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let mut actions = stalled;
    let mut answered = 0;
    // Other requests are answered after 0.1 s throughout, by the same prefill worker too.
    for i in 0..80 {
        let id = format!("{i}");
        let to = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0;
        answered += u32::from(to == at);
        rig.advance(0.1);
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        rig.feed(Event::ClientGone(id.as_str().into()));
        let due = actions.iter().any(|a| matches!(a, Action::SetTimer { .. }));
        if due && i % 10 == 9 {
            actions = rig.fire_timers(&actions);
            if cancelled(&actions) {
                break;
            }
        }
    }
    assert!(cancelled(&actions), "the stalled attempt was not cancelled");
    assert!(answered > 0);
    rig.end_attempt("hung", 0, Outcome::Cancelled, 0);
    let later_sends = (0..20).filter(|i| {
        let id = format!("after {i}");
        sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some_and(|t| t.0 == at)
    });
    assert!(later_sends.count() > 0, "a hung connection ejected its worker");
}

#[test]
fn clients_that_give_up_early_do_not_eject_the_worker() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0)]);
    let mut request = rig.request("a", "s", IDEMPOTENT, LONG);
    request.deadline = rig.now + secs(0.3);
    let first = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
    rig.advance(0.3);
    rig.end_attempt("a", 0, Outcome::TimedOut, 0);
    assert_eq!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG)).unwrap().0, first, "the worker was ejected");
}

#[test]
fn full_prefill_workers_are_waited_for_not_replaced_by_decode_workers() {
    let mut rig = Rig::new(settings(), two_cell_fleet());
    let mut actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut attempt = 0;
    while let Some((to, _)) = sent_to(&actions) {
        assert!(to.starts_with('r'), "{to}");
        actions = rig.end_attempt("a", attempt, Outcome::Rejected { no_state: false }, 0);
        attempt += 1;
    }
    assert!(attempt <= 2, "{attempt} attempts at workers that reject");
    let later = rig.fire_timers(&actions);
    let again = if sent_to(&later).is_some() { later } else { rig.fire_timers(&later) };
    assert!(sent_to(&again).unwrap().0.starts_with('r'));
}

// ---- Overload.

#[test]
fn congestion_rejects_early_and_tenants_over_their_allowance_first() {
    let run = |tenant: usize, resumed: bool| {
        let mut rig = Rig::new(settings(), fleet());
        let mut refusals = Vec::new();
        // First tokens are slow, and far more requests arrive than are answered.
        for i in 0..400 {
            rig.advance(0.02);
            let id = format!("{i}");
            let mut request = rig.request(&id, &id, IDEMPOTENT, LONG);
            request.tenant = Some(TenantId(tenant));
            request.deadline = rig.now + secs(60.0);
            request.resumed = resumed;
            let actions = rig.feed(Event::Request(request));
            if rejected(&actions) {
                assert!(!released(&actions) && sent_to(&actions).is_none());
                refusals.push(i);
            } else if i % 4 == 0 {
                rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
                rig.advance(1.0);
                rig.start_stream(&id, 1);
            }
        }
        refusals
    };
    let (within, over) = (run(1, false), run(0, false));
    assert!(!over.is_empty(), "congestion was not detected");
    assert!(over.len() >= within.len(), "{} {}", over.len(), within.len());
    assert!(run(0, true).is_empty(), "a resumed stream was rejected");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected_on_arrival() {
    let submit_with_short_deadline = |wait: f64| {
        let mut rig = Rig::new(settings(), fleet());
        for i in 0..30 {
            let id = format!("l{i}");
            rig.submit(&id, &id, IDEMPOTENT, LONG);
            rig.advance(wait);
            rig.end_prefill_after(&id, wait);
            rig.start_stream(&id, 1);
            rig.advance(1.0);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        let mut request = rig.request("z", "z", IDEMPOTENT, LONG);
        request.deadline = rig.now + secs(0.3);
        rejected(&rig.feed(Event::Request(request)))
    };
    assert!(submit_with_short_deadline(0.6), "prefills of 0.6 s, deadline in 0.3 s");
    assert!(!submit_with_short_deadline(0.1), "prefills of 0.1 s, deadline in 0.3 s");
}

// ---- The endpoint list.

#[test]
fn a_polled_endpoint_list_is_subscribed_to_again_after_a_failure() {
    let mut rig = Rig::new(Settings { discovery: Discovery::Poll, ..settings() }, vec![]);
    let start = rig.feed(Event::Endpoints { update: EndpointUpdate::LastKnown, workers: fleet() });
    assert_eq!(start, [Action::Subscribe]);
    let failed = rig.feed(Event::Endpoints { update: EndpointUpdate::Failed, workers: vec![] });
    assert!(
        !failed.contains(&Action::Subscribe),
        "polled again at once, which would load the discovery service"
    );
    let before = rig.now;
    assert_eq!(rig.fire_timers(&failed), [Action::Subscribe]);
    assert!(rig.now < before + secs(10.0));
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).is_some(), "the previous list was dropped");
}

#[test]
fn decode_workers_prefill_when_all_prefill_workers_are_down() {
    let mut rig = Rig::new(settings(), fleet());
    for i in 0..12 {
        let id = format!("{i}");
        let mut to = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG));
        let mut attempt = 0;
        while to.as_ref().is_some_and(|t| t.0.starts_with('r')) {
            to = sent_to(&rig.end_attempt(&id, attempt, Outcome::NoConnection, 0));
            attempt += 1;
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    assert!(sent_to(&rig.submit("z", "z", IDEMPOTENT, LONG)).unwrap().0.starts_with('w'));
}

#[test]
fn sends_since_the_last_report_count_against_a_worker() {
    let mut rig = Rig::new(settings(), fleet());
    let report = |used| Some(LoadReport { kv_utilization: Some(used), ..LoadReport::default() });
    // Each decode worker has reported the same load once.
    let mut n = 0;
    let mut reported = std::collections::BTreeSet::new();
    while reported.len() < 3 {
        n += 1;
        let id = format!("l{n}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let decode_worker = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        rig.advance(0.4);
        rig.end_attempt_with_report(&id, 1, Outcome::Served, 0, report(0.2));
        reported.insert(decode_worker);
    }
    let mut count = std::collections::BTreeMap::new();
    for i in 0..12 {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        *count.entry(sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0).or_insert(0) += 1;
    }
    assert!(
        count.values().all(|c| *c <= 6),
        "one decode worker got most requests before its next report: {count:?}"
    );
}

#[test]
fn long_prompts_alone_cause_no_rejection() {
    let mut rig = Rig::new(settings(), fleet());
    for i in 0..60 {
        rig.advance(0.1);
        rig.serve_request(&format!("l{i}"), &format!("l{i}"), 1_000);
    }
    for i in 0..8 {
        rig.submit(&format!("x{i}"), &format!("x{i}"), IDEMPOTENT, 60_000);
        rig.advance(0.2);
    }
    assert!(sent_to(&rig.submit("a", "a", IDEMPOTENT, 1_000)).is_some());
}

// ---- Bounds and determinism.

/// Guards the next test: the text that it counts does occur while a request is open.
#[test]
fn an_open_request_is_part_of_the_state() {
    let mut rig = Rig::new(settings(), fleet());
    rig.submit("a", "a", IDEMPOTENT, LONG);
    assert_eq!(format!("{:?}", rig.router).matches("RequestState {").count(), 1);
}

#[test]
fn finished_requests_leave_no_state() {
    let mut rig = Rig::new(settings(), fleet());
    let mut sizes = Vec::new();
    for round in 0..3 {
        for i in 0..20_000 {
            let id = format!("{round}/{i}");
            rig.serve_request(&id, &id, LONG);
        }
        // Fires every timer that was ever set.
        for timer in 0..200_000 {
            rig.feed(Event::Timer(TimerId(timer)));
        }
        let seen = format!("{:?}", rig.router);
        assert_eq!(seen.matches("RequestState {").count(), 0);
        // There are 60,000 sessions in all; the affinity table keeps at most 32,768.
        assert!((1..=32_768).contains(&seen.matches("CachedSession {").count()));
        sizes.push(seen.len());
    }
    assert!(sizes[1].max(sizes[2]) < sizes[0] * 2, "{sizes:?}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), fleet());
        let mut all = Vec::new();
        for i in 0..200 {
            let id = format!("{i}");
            all.extend(rig.submit(&id, &format!("s{}", i % 17), IDEMPOTENT, 100 + 37 * i));
            rig.advance(0.01);
            all.extend(rig.end_attempt(&id, 0, Outcome::Prefilled, 0));
        }
        all
    };
    assert_eq!(run(), run());
}

/// The worker that an attempt was sent to, and its connect timeout.
fn sent_with_connect_timeout(actions: &[Action]) -> Option<(String, Option<Micros>)> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, connect_timeout, .. } => Some((worker.0.to_string(), *connect_timeout)),
        _ => None,
    })
}

/// Three prefill workers in zone 0 and eight decode workers, half of them in zone 1.
fn two_zones() -> Vec<Worker> {
    let mut all = fleet_with_prefill(3);
    all.extend((1..8).map(|i| worker(&format!("w{i}"), Role::Decode, i % 2)));
    for w in all.iter_mut().filter(|w| w.role == Role::Decode) {
        w.zone = Some(ZoneId(w.id.0[1..].parse::<usize>().unwrap() % 2));
    }
    all
}

#[test]
fn the_reservation_timeout_runs_on_while_connections_fail() {
    for (timeout_s, wait) in [(0.1_f64, 0.25_f64), (0.3, 0.25), (0.3, 0.75), (0.3, 0.08), (1.0, 0.25)] {
        let mut rig = Rig::new(Settings { reservation_timeout: secs(timeout_s), ..settings() }, two_zones());
        rig.submit("a", "s", NON_IDEMPOTENT, 4_000);
        rig.advance(0.1);
        let mut actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
        let prefilled_at = rig.now;
        let mut pulls = 0;
        while !released(&actions) {
            actions = match sent_with_connect_timeout(&actions) {
                Some((_, connect)) => {
                    pulls += 1;
                    rig.advance(wait.min(connect.unwrap().as_secs_f64()));
                    rig.end_attempt("a", pulls, Outcome::NoConnection, 0)
                }
                None => rig.fire_timers(&actions),
            };
            let reserved_s = (rig.now - prefilled_at).as_secs_f64();
            assert!(
                reserved_s <= timeout_s * 0.8 + 0.01,
                "reserved for {reserved_s} s of {timeout_s} s, connections fail after {wait} s"
            );
        }
        assert!(pulls >= 2, "only {pulls} pulls tried, reservation timeout {timeout_s} s");
    }
}

#[test]
fn after_a_failed_connection_a_worker_of_another_zone_is_chosen() {
    let mut rig = Rig::new(settings(), two_zones());
    let zone = |w: &str| w[1..].parse::<usize>().unwrap() % 2;
    for n in 0..20 {
        let id = format!("a{n}");
        rig.submit(&id, &id, IDEMPOTENT, 4_000);
        let first = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        let second = sent_to(&rig.end_attempt(&id, 1, Outcome::NoConnection, 0)).unwrap().0;
        assert_ne!(zone(&first), zone(&second), "{first}, then {second}");
        rig.feed(Event::ClientGone(id.as_str().into()));
        rig.end_attempt(&id, 2, Outcome::Cancelled, 0);
        rig.advance(20.0);
    }
}

// ---- Hanging workers.

/// A router that has served twenty requests with prefills of 0.1 s, whose workers reported this queue length.
fn rig_after_twenty_requests(workers: Vec<Worker>, queued: Option<f64>) -> Rig {
    let mut rig = Rig::new(settings(), workers);
    for i in 0..20 {
        let id = format!("l{i}");
        rig.submit(&id, &id, IDEMPOTENT, 4_000);
        rig.advance(0.1);
        let report = Some(LoadReport { queued_requests: queued, ..LoadReport::default() });
        rig.end_attempt_with_report(&id, 0, Outcome::Prefilled, 0, report);
        rig.start_stream(&id, 1);
        rig.advance(0.05);
        rig.end_attempt(&id, 1, Outcome::Served, 0);
    }
    rig
}

/// Sends requests of a class whose decodes are not cancelled, while the decode worker w0 (or each of the two, unless
/// `other_responds`) is silent. Returns how many are stuck there, and how many of 20 new requests are rejected then.
fn rejections_with_silent_decode_worker(queued: Option<f64>, other_responds: bool) -> (usize, usize) {
    let mut all = fleet_with_prefill(3);
    all.push(worker("w1", Role::Decode, 0));
    let mut rig = rig_after_twenty_requests(all, queued);
    let mut stuck = Vec::new();
    for i in 0..30 {
        let id = format!("h{i}");
        let mut request = rig.request(&id, &id, NON_IDEMPOTENT, 4_000);
        request.deadline = rig.now + secs(60.0);
        rig.feed(Event::Request(request));
        rig.advance(0.6);
        let actions = rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        let Some((at, _)) = sent_to(&actions) else { continue };
        if at == "w0" || !other_responds {
            stuck.push((id, actions));
        } else {
            rig.start_stream(&id, 1);
        }
    }
    rig.advance(3.0);
    for (_, actions) in &stuck {
        for action in actions {
            if let Action::SetTimer { timer, .. } = action {
                rig.feed(Event::Timer(*timer));
            }
        }
    }
    let rejections: Vec<bool> = (0..20)
        .map(|i| rejected(&rig.submit(&format!("n{i}"), &format!("n{i}"), IDEMPOTENT, 4_000)))
        .collect();
    (stuck.len(), rejections.iter().filter(|r| **r).count())
}

#[test]
fn requests_stuck_at_a_silent_worker_do_not_count_as_a_queue() {
    let (stuck, rejected) = rejections_with_silent_decode_worker(Some(2.0), true);
    assert!(stuck >= 5, "{stuck}");
    assert_eq!(rejected, 0, "{stuck} are stuck at one decode worker, the other responds");
}

#[test]
fn where_workers_tell_of_no_queue_a_long_forecast_is_no_reason_to_refuse() {
    let run = |queued: f64| {
        let mut rig = rig_after_twenty_requests(fleet_with_prefill(3), Some(queued));
        for i in 0..20 {
            let id = format!("s{i}");
            rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.advance(0.9);
            let report = Some(LoadReport { queued_requests: Some(queued), ..LoadReport::default() });
            rig.end_attempt_with_report(&id, 0, Outcome::Prefilled, 0, report);
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        for i in 0..20 {
            rig.submit(&format!("w{i}"), &format!("w{i}"), IDEMPOTENT, 4_000);
        }
        rig.advance(0.7);
        (0..20)
            .filter(|i| rejected(&rig.submit(&format!("n{i}"), &format!("n{i}"), IDEMPOTENT, 4_000)))
            .count()
    };
    assert_eq!(run(0.0), 0);
    assert_eq!(run(3.0), 20);
}

#[test]
fn the_duration_of_a_prefill_at_a_hung_worker_is_no_sign_of_load() {
    for hung_prefills in [0, 1] {
        let mut rig = Rig::new(settings(), fleet_with_prefill(3));
        // First tokens take half of the latency objective, and requests that cannot meet their deadline are rejected.
        for i in 0..20 {
            let id = format!("l{i}");
            rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.advance(0.5);
            rig.end_prefill_after(&id, 0.5);
            rig.start_stream(&id, 1);
            rig.advance(0.1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        for i in 0..hung_prefills {
            let id = format!("h{i}");
            let actions = rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.now = rig.now + secs(20.0);
            for action in &actions {
                if let Action::SetTimer { timer, .. } = action {
                    rig.feed(Event::Timer(*timer));
                }
            }
            let (id, attempt, elapsed) = (id.as_str().into(), AttemptNo(0), secs(20.0));
            let (outcome, request_ended, cached_tokens, report) = (Outcome::Prefilled, false, 0, None);
            rig.feed(Event::AttemptOutcome {
                id,
                attempt,
                outcome,
                elapsed,
                request_ended,
                cached_tokens,
                report,
            });
        }
        let mut request = rig.request("z", "z", IDEMPOTENT, 4_000);
        request.deadline = rig.now + secs(0.8);
        assert!(!rejected(&rig.feed(Event::Request(request))), "{hung_prefills} prefills at a hung worker");
    }
}

#[test]
fn silence_accumulates_over_attempts_whose_clients_gave_up() {
    let overdue_after = |abandoned: usize, routers: u32| {
        // The reservation timeout is longer than the times measured here.
        let set = Settings { routers, reservation_timeout: secs(60.0), ..settings() };
        let mut rig = Rig::new(set, fleet_with_prefill(1));
        // Prefills take 0.6 s; four times as long counts as silence.
        for i in 0..60 {
            let id = format!("s{i}");
            rig.submit(&id, &id, IDEMPOTENT, 100);
            rig.end_prefill_after(&id, 0.6);
            rig.feed(Event::ClientGone(id.as_str().into()));
        }
        // After this pause the router's request rate is low.
        rig.advance(200.0);
        for i in 0..abandoned {
            let id = format!("c{i}");
            rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.advance(0.7);
            let (id, attempt, elapsed) = (id.as_str().into(), AttemptNo(0), secs(0.7));
            let (outcome, request_ended, cached_tokens, report) = (Outcome::TimedOut, true, 0, None);
            rig.feed(Event::AttemptOutcome {
                id,
                attempt,
                outcome,
                elapsed,
                request_ended,
                cached_tokens,
                report,
            });
        }
        let actions = rig.submit("z", "z", IDEMPOTENT, 4_000);
        assert_eq!(sent_to(&actions).unwrap().0, "r0");
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        });
        timer.unwrap().as_secs_f64()
    };
    let (none, two) = (overdue_after(0, 2), overdue_after(2, 2));
    assert!(two < none - 0.5, "overdue after {none} s, and after {two} s with two abandoned attempts");
    // One of 300 routers gets a response from a worker about once a minute, so silence in between proves nothing.
    let (none, two) = (overdue_after(0, 300), overdue_after(2, 300));
    assert!(
        (two - none).abs() < 1e-6,
        "overdue after {none} s, and after {two} s with two abandoned attempts"
    );
}
