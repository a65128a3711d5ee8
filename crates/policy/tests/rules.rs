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
    let actions = rig.ask("a", "s", FREE, LONG);
    rig.fire_until(actions, 1_000, |a| refused(a) || failed(a));
    assert!(rig.now <= deadline);
}

#[test]
fn no_answer_at_the_deadline_is_answered_at_once() {
    let mut rig = Rig::new(settings(), pair());
    rig.ask("a", "s", FREE, LONG);
    rig.wait(5.0);
    let actions = rig.end("a", 0, Outcome::TimedOut, 0);
    assert!(failed(&actions) || refused(&actions));
    assert!(sent(&actions).is_none());
}

#[test]
fn nothing_is_sent_after_the_client_has_gone() {
    let mut rig = Rig::new(settings(), pair());
    rig.ask("a", "s", FREE, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end("a", 0, Outcome::ServerError, 0);
    assert!(sent(&actions).is_none() && !failed(&actions) && !refused(&actions));
}

#[test]
fn attempts_stay_within_the_allowed_number() {
    let mut rig = Rig::new(settings(), pair());
    let mut actions = rig.ask("a", "s", FREE, LONG);
    let mut sends = 0;
    while sent(&actions).is_some() {
        sends += 1;
        actions = rig.end("a", sends - 1, Outcome::NoConnection, 0);
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
    let (_, give_up) = sent(&rig.ask("a", "s", FREE, 0)).unwrap();
    assert!(give_up.is_none_or(|g| g.0 > 0));
}

// ---- Rule 2: no effect twice.

fn at_writer(rig: &mut Rig, class: ClassId) {
    rig.ask("a", "s", class, LONG);
    assert!(sent(&rig.end("a", 0, Outcome::Prefilled, 0)).is_some());
}

#[test]
fn a_single_shot_that_may_have_run_is_failed_not_resent_or_refused() {
    for outcome in [Outcome::ServerError, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), pair());
        at_writer(&mut rig, SINGLE);
        let actions = rig.end("a", 1, outcome, 0);
        assert!(sent(&actions).is_none(), "{outcome:?}");
        assert!(failed(&actions) && !refused(&actions), "{outcome:?}");
        assert!(let_go(&actions), "the state is still held: {outcome:?}");
    }
}

#[test]
fn a_single_shot_that_was_turned_away_tries_the_other_writer() {
    let mut rig = Rig::new(settings(), pair());
    at_writer(&mut rig, SINGLE);
    let again = sent(&rig.end("a", 1, Outcome::Rejected { no_state: false }, 0)).unwrap().0;
    assert!(again.starts_with('w'));
}

#[test]
fn a_read_has_no_effect_and_may_be_repeated() {
    let mut rig = Rig::new(settings(), pair());
    let first = sent(&rig.ask("a", "s", SINGLE, LONG)).unwrap().0;
    let second = sent(&rig.end("a", 0, Outcome::ServerError, 0)).unwrap().0;
    assert!(second.starts_with('r') && second != first);
}

#[test]
fn a_guarded_request_stays_in_its_group_and_window() {
    let mut workers = pair();
    workers.push(worker("w2", Role::Decode, 0));
    workers.push(worker("w3", Role::Decode, 1));
    let mut rig = Rig::new(settings(), workers.clone());
    rig.ask("a", "s", GUARDED, LONG);
    let first = sent(&rig.end("a", 0, Outcome::Prefilled, 0)).unwrap().0;
    let cell = |id: &str| workers.iter().find(|w| *w.id.0 == *id).map(|w| w.cell);
    let second = sent(&rig.end("a", 1, Outcome::ConnectionLost, 0)).unwrap().0;
    assert_eq!(cell(&first), cell(&second));
    rig.wait(3.1);
    let actions = rig.end("a", 2, Outcome::ConnectionLost, 0);
    assert!(sent(&actions).is_none(), "the window has passed");
}

#[test]
fn never_two_attempts_at_once() {
    let mut rig = Rig::new(settings(), pair());
    let actions = rig.ask("a", "s", FREE, LONG);
    for a in rig.fire(&actions) {
        assert!(!matches!(a, Action::Send { .. }), "the first is still out");
    }
}

// ---- Rule 3: drains.

#[test]
fn a_draining_or_removed_worker_gets_nothing_not_even_a_held_request() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut rig = Rig::new(settings(), pair());
        rig.ask("a", "s", FREE, LONG);
        let mut w0 = worker("w0", Role::Decode, 0);
        w0.lifecycle = lifecycle;
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w0] });
        let next = sent(&rig.end("a", 0, Outcome::Prefilled, 0)).unwrap().0;
        assert_eq!(next, "w1");
        let actions = rig.end("a", 1, Outcome::Rejected { no_state: false }, 0);
        assert!(sent(&actions).is_none_or(|s| s.0 != "w0"));
    }
}

#[test]
fn a_home_that_drains_draws_no_local_read() {
    let mut rig = Rig::new(settings(), pair());
    let (_, home) = rig.whole("a", "s", LONG);
    let mut w = worker(&home, Role::Decode, 0);
    w.lifecycle = Lifecycle::Draining;
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w] });
    assert!(sent(&rig.ask("b", "s", FREE, LONG + 50)).unwrap().0.starts_with('r'));
}

// ---- Rule 4: cold workers.

/// A warm reader r0, and r1, which has just started.
fn beside_a_cold_reader() -> Rig {
    let mut rig = Rig::new(settings(), readers(2));
    let mut cold = worker("r1", Role::Prefill, 0);
    cold.started = Some(rig.now);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![cold] });
    rig
}

fn sends_to(rig: &mut Rig, target: &str, requests: usize) -> usize {
    (0..requests)
        .filter(|i| {
            sent(&rig.ask(&format!("c{i}"), &format!("c{i}"), FREE, LONG)).is_some_and(|s| s.0 == target)
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
        if sent(&rig.ask(&id, &id, FREE, LONG)).unwrap().0 == "r1" {
            to_cold += 1;
        } else {
            warm_done += 1;
        }
        rig.end(&id, 0, Outcome::Prefilled, 0);
    }
    // A third of the multiple times the cold share at the start, of what the warm peer did.
    assert!(to_cold >= 2, "{to_cold}");
    assert!(f64::from(to_cold) <= 1.0 + f64::from(warm_done) * 3.0 * 0.25, "{to_cold} against {warm_done}");
}

// ---- Rule 5: nothing pinned.

#[test]
fn a_state_that_no_writer_takes_is_let_go_in_time() {
    let mut rig = Rig::new(Settings { self_prefill: false, ..settings() }, pair());
    rig.ask("a", "s", FREE, LONG);
    let mut gone = pair();
    gone.retain(|w| w.role == Role::Prefill);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: gone });
    let since = rig.now;
    let actions = rig.end("a", 0, Outcome::Prefilled, 0);
    rig.fire_until(actions, 100, let_go);
    assert!(rig.now <= since + secs(0.5));
}

#[test]
fn a_state_read_for_a_client_that_has_gone_is_let_go_at_once() {
    let mut rig = Rig::new(settings(), pair());
    rig.ask("a", "s", FREE, LONG);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end("a", 0, Outcome::Prefilled, 0);
    assert!(let_go(&actions) && sent(&actions).is_none());
}

#[test]
fn a_client_that_leaves_while_its_state_is_fetched_leaves_nothing_behind() {
    let mut rig = Rig::new(settings(), pair());
    at_writer(&mut rig, FREE);
    rig.feed(Event::ClientGone("a".into()));
    let actions = rig.end("a", 1, Outcome::Cancelled, 0);
    assert!(let_go(&actions));
}

// ---- Health.

#[test]
fn a_worker_that_fails_twice_is_benched_and_tried_again_later() {
    let mut rig = Rig::new(settings(), fleet());
    let mut bad = None;
    for i in 0..40 {
        let id = format!("{i}");
        let first = sent(&rig.ask(&id, "one", FREE, LONG)).unwrap().0;
        let bad = bad.get_or_insert(first.clone());
        if first == *bad {
            rig.end(&id, 0, Outcome::ServerError, 0);
        } else {
            rig.end(&id, 0, Outcome::Prefilled, 0);
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    let bad = bad.unwrap();
    let late = (40..60)
        .filter(|i| {
            let id = format!("{i}");
            let to = sent(&rig.ask(&id, "one", FREE, LONG)).unwrap().0;
            rig.end(&id, 0, Outcome::Prefilled, 0);
            rig.feed(Event::ClientGone(id.as_str().into()));
            to == bad
        })
        .count();
    assert_eq!(late, 0, "benched");
    rig.wait(60.0);
    let again = (60..80).any(|i| {
        let id = format!("{i}");
        let to = sent(&rig.ask(&id, "one", FREE, LONG)).unwrap().0;
        rig.end(&id, 0, Outcome::Prefilled, 0);
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
        rig.ask(&id, &id, SINGLE, LONG);
        let writer = sent(&rig.end(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        if writer == "w0" {
            rig.end(&id, 1, Outcome::ServerError, 0);
            failed += 1;
        } else {
            rig.stream(&id, 1);
            rig.end(&id, 1, Outcome::Served, 0);
        }
        rig.wait(0.05);
    }
    assert!(failed <= 4, "{failed} of 40 single shots were spent on a writer that fails each time");
}

#[test]
fn a_pool_that_fails_as_a_whole_is_still_used() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
    for i in 0..6 {
        let id = format!("{i}");
        rig.ask(&id, &id, FREE, LONG);
        rig.end(&id, 0, Outcome::ServerError, 0);
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    rig.wait(0.1);
    assert!(sent(&rig.ask("z", "z", FREE, LONG)).is_some());
}

#[test]
fn a_hanging_worker_loses_its_attempts_and_draws_no_more() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, home) = rig.whole("a", "s", LONG);
    // A local read at the home, which says nothing more.
    let asked = rig.ask("b", "s", FREE, LONG + 50);
    assert_eq!(sent(&asked).unwrap().0, home);
    let late = rig.fire(&asked);
    assert!(late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
    let next = sent(&rig.end("b", 0, Outcome::Cancelled, 0)).unwrap().0;
    assert_ne!(next, home);
    assert_ne!(sent(&rig.ask("c", "s", FREE, LONG + 100)).unwrap().0, home, "nor local reads");
}

#[test]
fn a_busy_worker_that_still_answers_keeps_its_attempts() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
    rig.ask("b", "t", FREE, LONG);
    rig.wait(0.5);
    let first = rig.ask("a", "s", FREE, LONG);
    rig.wait(0.5);
    rig.end("b", 0, Outcome::Prefilled, 0);
    let mut late = rig.fire(&first);
    for _ in 0..4 {
        assert!(!late.iter().any(|a| matches!(a, Action::Cancel { .. })), "{late:?}");
        late = rig.fire(&late);
    }
}

/// What was sent later has been answered: the connection of the earlier read has fallen silent, and its state, if it ended
/// as reads do, is due. It is called back by then, and not before; a write is not, since it may have its effect yet.
#[test]
fn a_read_that_a_later_one_has_overtaken_is_called_back_as_its_state_is_due() {
    for release in [0.3, 1.0, 2.0] {
        let set = Settings { reservation_timeout: secs(release), ..settings() };
        let mut rig = Rig::new(set, vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
        let mut actions = rig.ask("a", "s", SINGLE, LONG);
        let begun = rig.now;
        rig.wait(0.01);
        rig.ask("b", "t", SINGLE, LONG);
        rig.wait(0.01);
        rig.end("b", 0, Outcome::Prefilled, 0);
        while !actions.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            actions = rig.fire(&actions);
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
        rig.wait(0.05);
        let id = format!("{i}");
        rig.ask(&id, &id, FREE, LONG);
        let mut to = sent(&rig.end(&id, 0, Outcome::Prefilled, 0));
        let mut attempt = 1;
        while to.as_ref().is_some_and(|t| t.0 == "w0") {
            sends += 1;
            to = sent(&rig.end(&id, attempt, Outcome::Rejected { no_state: false }, 0));
            attempt += 1;
        }
        assert!(to.is_some(), "another writer is there");
        rig.stream(&id, attempt);
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
        let mut rig = Rig::new(settings(), readers(1));
        let (mut free, mut single) = (0, 0);
        for i in 0..100 {
            rig.wait(0.05);
            let (id, other) = (format!("f{i}"), format!("s{i}"));
            if sent(&rig.ask(&id, &id, FREE, LONG)).is_some() {
                free += 1;
                rig.end_with(&id, 0, Outcome::Rejected { no_state: false }, 0, report);
            }
            rig.feed(Event::ClientGone(id.as_str().into()));
            // The other class is served all the while, and says nothing of the first.
            if i % 7 == 0 && sent(&rig.ask(&other, &other, SINGLE, LONG)).is_some() {
                single += 1;
                rig.end_with(&other, 0, Outcome::Prefilled, 0, report);
                rig.feed(Event::ClientGone(other.as_str().into()));
            }
        }
        assert_eq!(single, 15, "never left alone");
        assert!((2..=most).contains(&free), "{free} of {most}");
    }
}

#[test]
fn what_later_ones_have_overtaken_is_called_back_and_its_worker_is_not_benched() {
    let mut rig = Rig::new(settings(), readers(1));
    let hung = rig.ask("hung", "s", FREE, LONG);
    let at = sent(&hung).unwrap().0;
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let mut actions = hung;
    let mut answered = 0;
    // Others are answered in 0.1 s all the while, by the same reader too.
    for i in 0..80 {
        let id = format!("{i}");
        let to = sent(&rig.ask(&id, &id, FREE, LONG)).unwrap().0;
        answered += u32::from(to == at);
        rig.wait(0.1);
        rig.end(&id, 0, Outcome::Prefilled, 0);
        rig.feed(Event::ClientGone(id.as_str().into()));
        let due = actions.iter().any(|a| matches!(a, Action::SetTimer { .. }));
        if due && i % 10 == 9 {
            actions = rig.fire(&actions);
            if cancelled(&actions) {
                break;
            }
        }
    }
    assert!(cancelled(&actions), "its client would wait to the end");
    assert!(answered > 0);
    rig.end("hung", 0, Outcome::Cancelled, 0);
    let still = (0..20).filter(|i| {
        let id = format!("after {i}");
        sent(&rig.ask(&id, &id, FREE, LONG)).is_some_and(|t| t.0 == at)
    });
    assert!(still.count() > 0, "a hung connection is no sick worker");
}

#[test]
fn clients_that_give_up_early_do_not_bench_the_worker() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0)]);
    let mut request = rig.request("a", "s", FREE, LONG);
    request.deadline = rig.now + secs(0.3);
    let first = sent(&rig.feed(Event::Request(request))).unwrap().0;
    rig.wait(0.3);
    rig.end("a", 0, Outcome::TimedOut, 0);
    assert_eq!(sent(&rig.ask("b", "s", FREE, LONG)).unwrap().0, first, "still the first of its pair");
}

#[test]
fn full_readers_are_waited_for_not_replaced_by_writers() {
    let mut rig = Rig::new(settings(), pair());
    let mut actions = rig.ask("a", "s", FREE, LONG);
    let mut attempt = 0;
    while let Some((to, _)) = sent(&actions) {
        assert!(to.starts_with('r'), "{to}");
        actions = rig.end("a", attempt, Outcome::Rejected { no_state: false }, 0);
        attempt += 1;
    }
    assert!(attempt <= 2, "both are left alone now");
    let later = rig.fire(&actions);
    let again = if sent(&later).is_some() { later } else { rig.fire(&later) };
    assert!(sent(&again).unwrap().0.starts_with('r'));
}

// ---- Overload.

#[test]
fn a_jam_refuses_early_and_the_over_share_first() {
    let run = |tenant: usize, resumed: bool| {
        let mut rig = Rig::new(settings(), fleet());
        let mut refusals = Vec::new();
        // Slow first tokens, far more requests than are answered.
        for i in 0..400 {
            rig.wait(0.02);
            let id = format!("{i}");
            let mut request = rig.request(&id, &id, FREE, LONG);
            request.tenant = Some(TenantId(tenant));
            request.deadline = rig.now + secs(60.0);
            request.resumed = resumed;
            let actions = rig.feed(Event::Request(request));
            if refused(&actions) {
                assert!(!let_go(&actions) && sent(&actions).is_none());
                refusals.push(i);
            } else if i % 4 == 0 {
                rig.end(&id, 0, Outcome::Prefilled, 0);
                rig.wait(1.0);
                rig.stream(&id, 1);
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
    let ask_briefly = |wait: f64| {
        let mut rig = Rig::new(settings(), fleet());
        for i in 0..30 {
            let id = format!("l{i}");
            rig.ask(&id, &id, FREE, LONG);
            rig.wait(wait);
            rig.parsed_after(&id, wait);
            rig.stream(&id, 1);
            rig.wait(1.0);
            rig.end(&id, 1, Outcome::Served, 0);
        }
        let mut request = rig.request("z", "z", FREE, LONG);
        request.deadline = rig.now + secs(0.3);
        refused(&rig.feed(Event::Request(request)))
    };
    assert!(ask_briefly(0.6), "0.6 s a read, 0.3 s of patience");
    assert!(!ask_briefly(0.1), "0.1 s a read");
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
    assert_eq!(rig.fire(&failed), [Action::Subscribe]);
    assert!(rig.now < before + secs(10.0));
    assert!(sent(&rig.ask("a", "s", FREE, LONG)).is_some(), "the previous list stays");
}

#[test]
fn readers_that_are_all_down_leave_reading_to_the_writers() {
    let mut rig = Rig::new(settings(), fleet());
    for i in 0..12 {
        let id = format!("{i}");
        let mut to = sent(&rig.ask(&id, &id, FREE, LONG));
        let mut attempt = 0;
        while to.as_ref().is_some_and(|t| t.0.starts_with('r')) {
            to = sent(&rig.end(&id, attempt, Outcome::NoConnection, 0));
            attempt += 1;
        }
        rig.feed(Event::ClientGone(id.as_str().into()));
    }
    assert!(sent(&rig.ask("z", "z", FREE, LONG)).unwrap().0.starts_with('w'));
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
        rig.ask(&id, &id, FREE, LONG);
        let writer = sent(&rig.end(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.stream(&id, 1);
        rig.wait(0.4);
        rig.end_with(&id, 1, Outcome::Served, 0, report(0.2));
        told.insert(writer);
    }
    let mut count = std::collections::BTreeMap::new();
    for i in 0..12 {
        let id = format!("{i}");
        rig.ask(&id, &id, FREE, LONG);
        *count.entry(sent(&rig.end(&id, 0, Outcome::Prefilled, 0)).unwrap().0).or_insert(0) += 1;
    }
    assert!(count.values().all(|c| *c <= 6), "no writer gets all until its next report: {count:?}");
}

#[test]
fn long_prompts_alone_refuse_nobody() {
    let mut rig = Rig::new(settings(), fleet());
    for i in 0..60 {
        rig.wait(0.1);
        rig.whole(&format!("l{i}"), &format!("l{i}"), 1_000);
    }
    for i in 0..8 {
        rig.ask(&format!("x{i}"), &format!("x{i}"), FREE, 60_000);
        rig.wait(0.2);
    }
    assert!(sent(&rig.ask("a", "a", FREE, 1_000)).is_some());
}

// ---- Bounds and determinism.

/// What the next test counts is there while a request is open.
#[test]
fn an_open_request_is_remembered() {
    let mut rig = Rig::new(settings(), fleet());
    rig.ask("a", "a", FREE, LONG);
    assert_eq!(format!("{:?}", rig.router).matches("RequestState {").count(), 1);
}

#[test]
fn nothing_is_remembered_of_requests_that_are_over() {
    let mut rig = Rig::new(settings(), fleet());
    let mut size = Vec::new();
    for round in 0..3 {
        for i in 0..20_000 {
            let id = format!("{round}/{i}");
            rig.whole(&id, &id, LONG);
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
            all.extend(rig.ask(&id, &format!("s{}", i % 17), FREE, 100 + 37 * i));
            rig.wait(0.01);
            all.extend(rig.end(&id, 0, Outcome::Prefilled, 0));
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
    let mut all = readers(3);
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
        rig.ask("a", "s", SINGLE, 4_000);
        rig.wait(0.1);
        let mut actions = rig.end("a", 0, Outcome::Prefilled, 0);
        let parsed = rig.now;
        let mut tries = 0;
        while !let_go(&actions) {
            actions = match sent_within(&actions) {
                Some((_, connect)) => {
                    tries += 1;
                    rig.wait(wait.min(connect.unwrap().as_secs_f64()));
                    rig.end("a", tries, Outcome::NoConnection, 0)
                }
                None => rig.fire(&actions),
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
        rig.ask(&id, &id, FREE, 4_000);
        let first = sent(&rig.end(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        let second = sent(&rig.end(&id, 1, Outcome::NoConnection, 0)).unwrap().0;
        assert_ne!(zone(&first), zone(&second), "{first}, then {second}");
        rig.feed(Event::ClientGone(id.as_str().into()));
        rig.end(&id, 2, Outcome::Cancelled, 0);
        rig.wait(20.0);
    }
}

// ---- Hanging workers.

/// Twenty requests are read within 0.1 s each; then `n` more are sent to readers and nothing more is heard of one.
fn after_twenty_reads(workers: Vec<Worker>, queued: Option<f64>) -> Rig {
    let mut rig = Rig::new(settings(), workers);
    for i in 0..20 {
        let id = format!("l{i}");
        rig.ask(&id, &id, FREE, 4_000);
        rig.wait(0.1);
        let report = Some(LoadReport { queued_requests: queued, ..LoadReport::default() });
        rig.end_with(&id, 0, Outcome::Prefilled, 0, report);
        rig.stream(&id, 1);
        rig.wait(0.05);
        rig.end(&id, 1, Outcome::Served, 0);
    }
    rig
}

/// Requests of a class that is not called back from where it is written wait at a writer that has fallen silent.
fn stuck_at_a_silent_writer(queued: Option<f64>, other_is_heard: bool) -> (usize, usize) {
    let mut all = readers(3);
    all.push(worker("w1", Role::Decode, 0));
    let mut rig = after_twenty_reads(all, queued);
    let mut stuck = Vec::new();
    for i in 0..30 {
        let id = format!("h{i}");
        let mut request = rig.request(&id, &id, SINGLE, 4_000);
        request.deadline = rig.now + secs(60.0);
        rig.feed(Event::Request(request));
        rig.wait(0.6);
        let actions = rig.end(&id, 0, Outcome::Prefilled, 0);
        let Some((at, _)) = sent(&actions) else { continue };
        if at == "w0" || !other_is_heard {
            stuck.push((id, actions));
        } else {
            rig.stream(&id, 1);
        }
    }
    rig.wait(3.0);
    for (_, actions) in &stuck {
        for action in actions {
            if let Action::SetTimer { timer, .. } = action {
                rig.feed(Event::Timer(*timer));
            }
        }
    }
    let asked: Vec<bool> =
        (0..20).map(|i| refused(&rig.ask(&format!("n{i}"), &format!("n{i}"), FREE, 4_000))).collect();
    (stuck.len(), asked.iter().filter(|r| **r).count())
}

#[test]
fn what_is_stuck_at_a_silent_worker_is_no_queue() {
    let (stuck, refused) = stuck_at_a_silent_writer(Some(2.0), true);
    assert!(stuck >= 5, "{stuck}");
    assert_eq!(refused, 0, "{stuck} are stuck at one writer, the other answers");
}

#[test]
fn where_workers_tell_of_no_queue_a_long_forecast_is_no_reason_to_refuse() {
    let run = |queued: f64| {
        let mut rig = after_twenty_reads(readers(3), Some(queued));
        for i in 0..20 {
            let id = format!("s{i}");
            rig.ask(&id, &id, FREE, 4_000);
            rig.wait(0.9);
            let report = Some(LoadReport { queued_requests: Some(queued), ..LoadReport::default() });
            rig.end_with(&id, 0, Outcome::Prefilled, 0, report);
            rig.stream(&id, 1);
            rig.end(&id, 1, Outcome::Served, 0);
        }
        for i in 0..20 {
            rig.ask(&format!("w{i}"), &format!("w{i}"), FREE, 4_000);
        }
        rig.wait(0.7);
        (0..20).filter(|i| refused(&rig.ask(&format!("n{i}"), &format!("n{i}"), FREE, 4_000))).count()
    };
    assert_eq!(run(0.0), 0);
    assert_eq!(run(3.0), 20);
}

#[test]
fn how_long_a_read_took_at_a_reader_that_hung_is_no_sign_of_load() {
    for reads in [0, 1] {
        let mut rig = Rig::new(settings(), readers(3));
        // First tokens after half of the aim: what a client will not wait for is not begun.
        for i in 0..20 {
            let id = format!("l{i}");
            rig.ask(&id, &id, FREE, 4_000);
            rig.wait(0.5);
            rig.parsed_after(&id, 0.5);
            rig.stream(&id, 1);
            rig.wait(0.1);
            rig.end(&id, 1, Outcome::Served, 0);
        }
        for i in 0..reads {
            let id = format!("h{i}");
            let actions = rig.ask(&id, &id, FREE, 4_000);
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
        let mut request = rig.request("z", "z", FREE, 4_000);
        request.deadline = rig.now + secs(0.8);
        assert!(!refused(&rig.feed(Event::Request(request))), "{reads} reads at a reader that hung");
    }
}

#[test]
fn silence_adds_up_over_attempts_whose_clients_left() {
    let patience = |left: usize, routers: u32| {
        // Held state is due later than what is measured here.
        let set = Settings { routers, reservation_timeout: secs(60.0), ..settings() };
        let mut rig = Rig::new(set, readers(1));
        // Reads of 0.6 s: four times as long is silence.
        for i in 0..60 {
            let id = format!("s{i}");
            rig.ask(&id, &id, FREE, 100);
            rig.parsed_after(&id, 0.6);
            rig.feed(Event::ClientGone(id.as_str().into()));
        }
        // Asked once in a while from now on.
        rig.wait(200.0);
        for i in 0..left {
            let id = format!("c{i}");
            rig.ask(&id, &id, FREE, 4_000);
            rig.wait(0.7);
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
        let actions = rig.ask("z", "z", FREE, 4_000);
        assert_eq!(sent(&actions).unwrap().0, "r0");
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
