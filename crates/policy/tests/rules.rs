//! The five rules and the health judgements, each by a scripted run.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;

fn pair() -> Vec<Worker> {
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
fn no_answer_at_the_deadline_is_answered_at_once() {
    let mut rig = Rig::new(settings(), pair());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.advance(5.0);
    let actions = rig.end_attempt("a", 0, Outcome::TimedOut, 0);
    assert!(failed(&actions) || rejected(&actions));
    assert!(sent_to(&actions).is_none());
}

#[test]
fn nothing_is_sent_after_the_client_has_gone() {
    let mut rig = Rig::new(settings(), pair());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 0, Outcome::ServerError, 0);
    assert!(sent_to(&actions).is_none() && !failed(&actions) && !rejected(&actions));
}

#[test]
fn attempts_stay_within_the_allowed_number() {
    let mut rig = Rig::new(settings(), pair());
    let mut actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut sends = 0;
    while sent_to(&actions).is_some() {
        sends += 1;
        actions = rig.end_attempt("a", sends - 1, Outcome::NoConnection, 0);
    }
    assert!(sends <= 4, "{sends}");
}

#[test]
fn a_time_out_is_never_zero() {
    let mut set = settings();
    set.may_cancel = false;
    for class in &mut set.classes {
        class.latency_objective = Micros(0);
        class.latency_objective_per_1000_tokens = Micros(0);
    }
    let mut rig = Rig::new(set, pair());
    let (_, give_up) = sent_to(&rig.submit("a", "s", IDEMPOTENT, 0)).unwrap();
    assert!(give_up.is_none_or(|g| g.0 > 0));
}

// ---- Rule 2: no effect twice.

fn at_writer(rig: &mut Rig, class: ClassId) {
    rig.submit("a", "s", class, LONG);
    assert!(sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).is_some());
}

#[test]
fn a_single_shot_that_may_have_run_is_failed_not_resent_or_refused() {
    for outcome in [Outcome::ServerError, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), pair());
        at_writer(&mut rig, NON_IDEMPOTENT);
        let actions = rig.end_attempt("a", 1, outcome, 0);
        assert!(sent_to(&actions).is_none(), "{outcome:?}");
        assert!(failed(&actions) && !rejected(&actions), "{outcome:?}");
        assert!(released(&actions), "the state is still held: {outcome:?}");
    }
}

#[test]
fn a_single_shot_that_was_turned_away_tries_the_other_writer() {
    let mut rig = Rig::new(settings(), pair());
    at_writer(&mut rig, NON_IDEMPOTENT);
    let again = sent_to(&rig.end_attempt("a", 1, Outcome::Rejected { no_state: false }, 0)).unwrap().0;
    assert!(again.starts_with('w'));
}

#[test]
fn a_read_has_no_effect_and_may_be_repeated() {
    let mut rig = Rig::new(settings(), pair());
    let first = sent_to(&rig.submit("a", "s", NON_IDEMPOTENT, LONG)).unwrap().0;
    let second = sent_to(&rig.end_attempt("a", 0, Outcome::ServerError, 0)).unwrap().0;
    assert!(second.starts_with('r') && second != first);
}

#[test]
fn a_guarded_request_stays_in_its_group_and_window() {
    let mut workers = pair();
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
    assert!(sent_to(&actions).is_none(), "the window has passed");
}

#[test]
fn never_two_attempts_at_once() {
    let mut rig = Rig::new(settings(), pair());
    let actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    for a in rig.fire_timers(&actions) {
        assert!(!matches!(a, Action::Send { .. }), "the first is still out");
    }
}

// ---- Rule 3: drains.

#[test]
fn a_draining_or_removed_worker_gets_nothing_not_even_a_held_request() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut rig = Rig::new(settings(), pair());
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
fn a_home_that_drains_draws_no_local_read() {
    let mut rig = Rig::new(settings(), pair());
    let (_, home) = rig.serve_request("a", "s", LONG);
    let mut w = worker(&home, Role::Decode, 0);
    w.lifecycle = Lifecycle::Draining;
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w] });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 50)).unwrap().0.starts_with('r'));
}

// ---- Rule 4: cold workers.

/// A warm reader r0, and r1, which has just started.
fn beside_a_cold_reader() -> Rig {
    let mut rig = Rig::new(settings(), fleet_with_prefill(2));
    let mut cold = worker("r1", Role::Prefill, 0);
    cold.started = Some(rig.now);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold] });
    rig
}

fn sends_to(rig: &mut Rig, target: &str, requests: usize) -> usize {
    (0..requests)
        .filter(|i| {
            sent_to(&rig.submit(&format!("c{i}"), &format!("c{i}"), IDEMPOTENT, LONG))
                .is_some_and(|s| s.0 == target)
        })
        .count()
}

#[test]
fn a_cold_worker_gets_a_trickle_even_when_its_peers_jam() {
    // The warm reader is sent much and finishes nothing.
    let mut rig = beside_a_cold_reader();
    assert!(sends_to(&mut rig, "r1", 60) <= 1);
}

#[test]
fn a_cold_worker_that_leaves_the_list_for_a_moment_keeps_its_count() {
    for full in [false, true] {
        let mut rig = beside_a_cold_reader();
        let cold = Worker { started: Some(rig.now), ..worker("r9", Role::Prefill, 0) };
        let all: Vec<Worker> = ["r0", "r1"].map(|r| worker(r, Role::Prefill, 0)).to_vec();
        let mut got = 0;
        for _ in 0..10 {
            // Off and on again, with the same start: the same process, and all within one window.
            let gone = Worker { lifecycle: Lifecycle::Removed, ..cold.clone() };
            if full {
                rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: all.clone() });
            } else {
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![gone] });
            }
            rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold.clone()] });
            got += sends_to(&mut rig, "r9", 20);
        }
        assert!(got <= 1, "sent {got} times within its window");
    }
}

#[test]
fn a_cold_workers_budget_follows_what_warm_peers_finish() {
    let mut rig = beside_a_cold_reader();
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
    // A third of the multiple times the cold share at the start, of what the warm peer did.
    assert!(to_cold >= 2, "{to_cold}");
    assert!(f64::from(to_cold) <= 1.0 + f64::from(warm_done) * 3.0 * 0.25, "{to_cold} against {warm_done}");
}

// ---- Rule 5: nothing pinned.

#[test]
fn a_state_that_no_writer_takes_is_let_go_in_time() {
    let mut rig = Rig::new(Settings { self_prefill: false, ..settings() }, pair());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut gone = pair();
    gone.retain(|w| w.role == Role::Prefill);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: gone });
    let since = rig.now;
    let actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
    rig.fire_timers_until(actions, 100, released);
    assert!(rig.now <= since + secs(0.5));
}

#[test]
fn a_state_read_for_a_client_that_has_gone_is_let_go_at_once() {
    let mut rig = Rig::new(settings(), pair());
    rig.submit("a", "s", IDEMPOTENT, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
    assert!(released(&actions) && sent_to(&actions).is_none());
}

#[test]
fn a_client_that_leaves_while_its_state_is_fetched_leaves_nothing_behind() {
    let mut rig = Rig::new(settings(), pair());
    at_writer(&mut rig, IDEMPOTENT);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end_attempt("a", 1, Outcome::Cancelled, 0);
    assert!(released(&actions));
}

// ---- Health.

#[test]
fn a_worker_that_fails_twice_is_benched_and_tried_again_later() {
    let mut rig = Rig::new(settings(), fleet());
    let mut bad = None;
    for i in 0..40 {
        let id = format!("{i}");
        let first = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
        let bad = bad.get_or_insert(first.clone());
        if first == *bad {
            rig.end_attempt(&id, 0, Outcome::ServerError, 0);
        } else {
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    let bad = bad.unwrap();
    let late = (40..60)
        .filter(|i| {
            let id = format!("{i}");
            let to = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
            rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
            rig.feed(Event::ClientGone(id.as_str().into()));
            to == bad
        })
        .count();
    assert_eq!(late, 0, "benched");
    rig.advance(60.0);
    let again = (60..80).any(|i| {
        let id = format!("{i}");
        let to = sent_to(&rig.submit(&id, "one", IDEMPOTENT, LONG)).unwrap().0;
        rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        to == bad
    });
    assert!(again, "a way to recover");
}

#[test]
fn one_of_two_that_fails_is_left_out() {
    let mut rig = Rig::new(settings(), pair());
    let mut failed = 0;
    for i in 0..40 {
        let id = format!("{i}");
        rig.submit(&id, &id, NON_IDEMPOTENT, LONG);
        let writer = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        if writer == "w0" {
            rig.end_attempt(&id, 1, Outcome::ServerError, 0);
            failed += 1;
        } else {
            rig.start_stream(&id, 1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        rig.advance(0.05);
    }
    assert!(failed <= 4, "{failed} of 40 single shots were spent on a writer that fails each time");
}

#[test]
fn a_pool_that_fails_as_a_whole_is_still_used() {
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
fn a_hanging_worker_loses_its_attempts_and_draws_no_more() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, home) = rig.serve_request("a", "s", LONG);
    // A local read at the home, which says nothing more.
    let asked = rig.submit("b", "s", IDEMPOTENT, LONG + 50);
    assert_eq!(sent_to(&asked).unwrap().0, home);
    let late = rig.fire_timers(&asked);
    assert!(late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
    let next = sent_to(&rig.end_attempt("b", 0, Outcome::Cancelled, 0)).unwrap().0;
    assert_ne!(next, home);
    assert_ne!(sent_to(&rig.submit("c", "s", IDEMPOTENT, LONG + 100)).unwrap().0, home, "nor local reads");
}

#[test]
fn a_busy_worker_that_still_answers_keeps_its_attempts() {
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

/// What was sent later has been answered: the connection of the earlier read has fallen silent, and its state, if it ended
/// as reads do, is due. It is called back by then, and not before; a write is not, since it may have its effect yet.
#[test]
fn a_read_that_a_later_one_has_overtaken_is_called_back_as_its_state_is_due() {
    for release in [0.3, 1.0, 2.0] {
        let set = Settings { reservation_timeout: secs(release), ..settings() };
        let mut rig = Rig::new(set, vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
        let mut actions = rig.submit("a", "s", NON_IDEMPOTENT, LONG);
        let begun = rig.now;
        rig.advance(0.01);
        rig.submit("b", "t", NON_IDEMPOTENT, LONG);
        rig.advance(0.01);
        rig.end_attempt("b", 0, Outcome::Prefilled, 0);
        while !actions.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            actions = rig.fire_timers(&actions);
            assert!(rig.now < begun + secs(3.0), "{release} s");
        }
        let after = (rig.now - begun).as_secs_f64();
        assert!(after >= release * 0.8 && after <= release + 0.3, "{after} s of {release} s");
    }
}

#[test]
fn a_worker_that_turns_away_at_once_does_not_look_empty() {
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
        assert!(to.is_some(), "another writer is there");
        rig.start_stream(&id, attempt);
    }
    // Five seconds of refusals: at growing distances, not once for every request.
    assert!((1..=10).contains(&sends), "{sends}");
}

#[test]
fn a_worker_that_turns_one_class_away_is_left_alone_for_that_class() {
    let idle = Some(LoadReport {
        queued_requests: Some(0.0),
        slot_utilization: Some(0.1),
        kv_utilization: Some(0.1),
        waiting_tokens: None,
    });
    let busy = idle.map(|r| LoadReport { queued_requests: Some(9.0), slot_utilization: Some(1.0), ..r });
    for (report, most) in [(idle, 5), (busy, 9)] {
        let mut rig = Rig::new(settings(), fleet_with_prefill(1));
        let (mut free, mut single) = (0, 0);
        for i in 0..100 {
            rig.advance(0.05);
            let (id, other) = (format!("f{i}"), format!("s{i}"));
            if sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some() {
                free += 1;
                rig.end_attempt_with_report(&id, 0, Outcome::Rejected { no_state: false }, 0, report);
            }
            rig.feed(Event::ClientGone(id.as_str().into()));
            // The other class is served all the while, and says nothing of the first.
            if i % 7 == 0 && sent_to(&rig.submit(&other, &other, NON_IDEMPOTENT, LONG)).is_some() {
                single += 1;
                rig.end_attempt_with_report(&other, 0, Outcome::Prefilled, 0, report);
                rig.feed(Event::ClientGone(other.as_str().into()));
            }
        }
        assert_eq!(single, 15, "never left alone");
        assert!((2..=most).contains(&free), "{free} of {most}");
    }
}

#[test]
fn what_later_ones_have_overtaken_is_called_back_and_its_worker_is_not_benched() {
    let mut rig = Rig::new(settings(), fleet_with_prefill(1));
    let hung = rig.submit("hung", "s", IDEMPOTENT, LONG);
    let at = sent_to(&hung).unwrap().0;
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let mut actions = hung;
    let mut answered = 0;
    // Others are answered in 0.1 s all the while, by the same reader too.
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
    assert!(cancelled(&actions), "its client would wait to the end");
    assert!(answered > 0);
    rig.end_attempt("hung", 0, Outcome::Cancelled, 0);
    let still = (0..20).filter(|i| {
        let id = format!("after {i}");
        sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).is_some_and(|t| t.0 == at)
    });
    assert!(still.count() > 0, "a hung connection is no sick worker");
}

#[test]
fn clients_that_give_up_early_do_not_bench_the_worker() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0)]);
    let mut request = rig.request("a", "s", IDEMPOTENT, LONG);
    request.deadline = rig.now + secs(0.3);
    let first = sent_to(&rig.feed(Event::Request(request))).unwrap().0;
    rig.advance(0.3);
    rig.end_attempt("a", 0, Outcome::TimedOut, 0);
    assert_eq!(
        sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG)).unwrap().0,
        first,
        "still the first of its pair"
    );
}

#[test]
fn full_readers_are_waited_for_not_replaced_by_writers() {
    let mut rig = Rig::new(settings(), pair());
    let mut actions = rig.submit("a", "s", IDEMPOTENT, LONG);
    let mut attempt = 0;
    while let Some((to, _)) = sent_to(&actions) {
        assert!(to.starts_with('r'), "{to}");
        actions = rig.end_attempt("a", attempt, Outcome::Rejected { no_state: false }, 0);
        attempt += 1;
    }
    assert!(attempt <= 2, "both are left alone now");
    let later = rig.fire_timers(&actions);
    let again = if sent_to(&later).is_some() { later } else { rig.fire_timers(&later) };
    assert!(sent_to(&again).unwrap().0.starts_with('r'));
}

// ---- Overload.

#[test]
fn a_jam_refuses_early_and_the_over_share_first() {
    let run = |tenant: usize, resumed: bool| {
        let mut rig = Rig::new(settings(), fleet());
        let mut refusals = Vec::new();
        // Slow first tokens, far more requests than are answered.
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
    assert!(!over.is_empty(), "a jam must be seen");
    assert!(over.len() >= within.len(), "{} {}", over.len(), within.len());
    assert!(run(0, true).is_empty(), "what came back for the rest of its stream goes on");
}

#[test]
fn what_a_client_will_not_wait_for_is_not_begun_while_first_tokens_are_slow() {
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
    assert!(submit_with_short_deadline(0.6), "0.6 s a read, 0.3 s of patience");
    assert!(!submit_with_short_deadline(0.1), "0.1 s a read");
}

// ---- The list of workers.

#[test]
fn a_list_that_must_be_asked_for_is_subscribed_to_and_asked_for_again_after_a_failure() {
    let mut rig = Rig::new(Settings { discovery: Discovery::Poll, ..settings() }, vec![]);
    let start = rig.feed(Event::Endpoints { update: EndpointUpdate::LastKnown, workers: fleet() });
    assert_eq!(start, [Action::Subscribe]);
    let failed = rig.feed(Event::Endpoints { update: EndpointUpdate::Failed, workers: vec![] });
    assert!(!failed.contains(&Action::Subscribe), "not at once: the service is loaded");
    let before = rig.now;
    assert_eq!(rig.fire_timers(&failed), [Action::Subscribe]);
    assert!(rig.now < before + secs(10.0));
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).is_some(), "the previous list stays");
}

#[test]
fn readers_that_are_all_down_leave_reading_to_the_writers() {
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
fn herds_are_foreseen_between_two_reports() {
    let mut rig = Rig::new(settings(), fleet());
    let report = |used| Some(LoadReport { kv_utilization: Some(used), ..LoadReport::default() });
    // All writers have told their room; the nearest has a little more.
    let mut n = 0;
    let mut told = std::collections::BTreeSet::new();
    while told.len() < 3 {
        n += 1;
        let id = format!("l{n}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let writer = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        rig.advance(0.4);
        rig.end_attempt_with_report(&id, 1, Outcome::Served, 0, report(0.2));
        told.insert(writer);
    }
    let mut count = std::collections::BTreeMap::new();
    for i in 0..12 {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        *count.entry(sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0).or_insert(0) += 1;
    }
    assert!(count.values().all(|c| *c <= 6), "no writer gets all until its next report: {count:?}");
}

#[test]
fn long_prompts_alone_refuse_nobody() {
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

/// What the next test counts is there while a request is open.
#[test]
fn an_open_request_is_remembered() {
    let mut rig = Rig::new(settings(), fleet());
    rig.submit("a", "a", IDEMPOTENT, LONG);
    assert_eq!(format!("{:?}", rig.router).matches("RequestState {").count(), 1);
}

#[test]
fn nothing_is_remembered_of_requests_that_are_over() {
    let mut rig = Rig::new(settings(), fleet());
    let mut size = Vec::new();
    for round in 0..3 {
        for i in 0..20_000 {
            let id = format!("{round}/{i}");
            rig.serve_request(&id, &id, LONG);
        }
        // Every timer that was ever set comes due.
        for timer in 0..200_000 {
            rig.feed(Event::Timer(TimerId(timer)));
        }
        let seen = format!("{:?}", rig.router);
        assert_eq!(seen.matches("RequestState {").count(), 0);
        // 60,000 sessions in all: the table keeps a bounded number.
        assert!((1..=32_768).contains(&seen.matches("CachedSession {").count()));
        size.push(seen.len());
    }
    assert!(size[1].max(size[2]) < size[0] * 2, "{size:?}");
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

/// Where it was sent, and within what span its connection has to stand.
fn sent_within(actions: &[Action]) -> Option<(String, Option<Micros>)> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, connect_timeout, .. } => Some((worker.0.to_string(), *connect_timeout)),
        _ => None,
    })
}

/// Three readers and eight writers, half of them in another zone.
fn two_zones() -> Vec<Worker> {
    let mut all = fleet_with_prefill(3);
    all.extend((1..8).map(|i| worker(&format!("w{i}"), Role::Decode, i % 2)));
    for w in all.iter_mut().filter(|w| w.role == Role::Decode) {
        w.zone = Some(ZoneId(w.id.0[1..].parse::<usize>().unwrap() % 2));
    }
    all
}

#[test]
fn the_time_of_held_state_runs_on_while_no_connection_comes_up() {
    for (release, wait) in [(0.1_f64, 0.25_f64), (0.3, 0.25), (0.3, 0.75), (0.3, 0.08), (1.0, 0.25)] {
        let mut rig = Rig::new(Settings { reservation_timeout: secs(release), ..settings() }, two_zones());
        rig.submit("a", "s", NON_IDEMPOTENT, 4_000);
        rig.advance(0.1);
        let mut actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
        let parsed = rig.now;
        let mut tries = 0;
        while !released(&actions) {
            actions = match sent_within(&actions) {
                Some((_, connect)) => {
                    tries += 1;
                    rig.advance(wait.min(connect.unwrap().as_secs_f64()));
                    rig.end_attempt("a", tries, Outcome::NoConnection, 0)
                }
                None => rig.fire_timers(&actions),
            };
            let held = (rig.now - parsed).as_secs_f64();
            assert!(held <= release * 0.8 + 0.01, "{held} s of {release} s, connections wait for {wait} s");
        }
        assert!(tries >= 2, "time for another writer is left: {tries} tries of {release} s");
    }
}

#[test]
fn after_a_failed_connection_a_worker_of_another_zone_is_next() {
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

/// Twenty requests are read within 0.1 s each; then `n` more are sent to readers and nothing more is heard of one.
fn after_twenty_reads(workers: Vec<Worker>, queued: Option<f64>) -> Rig {
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

/// Requests of a class that is not called back from where it is written wait at a writer that has fallen silent.
fn stuck_at_a_silent_writer(queued: Option<f64>, other_is_heard: bool) -> (usize, usize) {
    let mut all = fleet_with_prefill(3);
    all.push(worker("w1", Role::Decode, 0));
    let mut rig = after_twenty_reads(all, queued);
    let mut stuck = Vec::new();
    for i in 0..30 {
        let id = format!("h{i}");
        let mut request = rig.request(&id, &id, NON_IDEMPOTENT, 4_000);
        request.deadline = rig.now + secs(60.0);
        rig.feed(Event::Request(request));
        rig.advance(0.6);
        let actions = rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
        let Some((at, _)) = sent_to(&actions) else { continue };
        if at == "w0" || !other_is_heard {
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
    let asked: Vec<bool> = (0..20)
        .map(|i| rejected(&rig.submit(&format!("n{i}"), &format!("n{i}"), IDEMPOTENT, 4_000)))
        .collect();
    (stuck.len(), asked.iter().filter(|r| **r).count())
}

#[test]
fn what_is_stuck_at_a_silent_worker_is_no_queue() {
    let (stuck, rejected) = stuck_at_a_silent_writer(Some(2.0), true);
    assert!(stuck >= 5, "{stuck}");
    assert_eq!(rejected, 0, "{stuck} are stuck at one writer, the other answers");
}

#[test]
fn where_workers_tell_of_no_queue_a_long_forecast_is_no_reason_to_refuse() {
    let run = |queued: f64| {
        let mut rig = after_twenty_reads(fleet_with_prefill(3), Some(queued));
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
fn how_long_a_read_took_at_a_reader_that_hung_is_no_sign_of_load() {
    for reads in [0, 1] {
        let mut rig = Rig::new(settings(), fleet_with_prefill(3));
        // First tokens after half of the aim: what a client will not wait for is not begun.
        for i in 0..20 {
            let id = format!("l{i}");
            rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.advance(0.5);
            rig.end_prefill_after(&id, 0.5);
            rig.start_stream(&id, 1);
            rig.advance(0.1);
            rig.end_attempt(&id, 1, Outcome::Served, 0);
        }
        for i in 0..reads {
            let id = format!("h{i}");
            let actions = rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.now = rig.now + secs(20.0);
            for action in &actions {
                if let Action::SetTimer { timer, .. } = action {
                    rig.feed(Event::Timer(*timer));
                }
            }
            let (id, attempt, elapsed) = (id.as_str().into(), AttemptNo(0), secs(20.0));
            let (outcome, over, kept, report) = (Outcome::Prefilled, false, 0, None);
            rig.feed(Event::AttemptOutcome {
                id,
                attempt,
                outcome,
                elapsed,
                request_ended: over,
                cached_tokens: kept,
                report,
            });
        }
        let mut request = rig.request("z", "z", IDEMPOTENT, 4_000);
        request.deadline = rig.now + secs(0.8);
        assert!(!rejected(&rig.feed(Event::Request(request))), "{reads} reads at a reader that hung");
    }
}

#[test]
fn silence_adds_up_over_attempts_whose_clients_left() {
    let patience = |left: usize, routers: u32| {
        // Held state is due later than what is measured here.
        let set = Settings { routers, reservation_timeout: secs(60.0), ..settings() };
        let mut rig = Rig::new(set, fleet_with_prefill(1));
        // Reads of 0.6 s: four times as long is silence.
        for i in 0..60 {
            let id = format!("s{i}");
            rig.submit(&id, &id, IDEMPOTENT, 100);
            rig.end_prefill_after(&id, 0.6);
            rig.feed(Event::ClientGone(id.as_str().into()));
        }
        // Asked once in a while from now on.
        rig.advance(200.0);
        for i in 0..left {
            let id = format!("c{i}");
            rig.submit(&id, &id, IDEMPOTENT, 4_000);
            rig.advance(0.7);
            let (id, attempt, elapsed) = (id.as_str().into(), AttemptNo(0), secs(0.7));
            let (outcome, over, kept, report) = (Outcome::TimedOut, true, 0, None);
            rig.feed(Event::AttemptOutcome {
                id,
                attempt,
                outcome,
                elapsed,
                request_ended: over,
                cached_tokens: kept,
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
    let (none, two) = (patience(0, 2), patience(2, 2));
    assert!(two < none - 0.5, "{none} s, {two} s after two that waited in vain");
    // One of many hears of a worker once in a minute: that it was silent meanwhile says nothing.
    let (none, two) = (patience(0, 300), patience(2, 300));
    assert!((two - none).abs() < 1e-6, "{none} s, {two} s");
}
