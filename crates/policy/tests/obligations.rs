//! The obligations of a router for one request: which attempts, rejections and answers are allowed, and when reserved
//! state is released.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::obligations::*;
use chalkyard_policy::*;
use common::*;

const NOW: Micros = Micros(10_000_000);

fn target(role: Role) -> Target {
    Target { role, zone: Some(ZoneId(0)), cell: CellId(1), lifecycle: Lifecycle::Active }
}

fn obligations(retry_safety: RetrySafety, attempts: Vec<AttemptFacts>) -> Obligations {
    Obligations {
        retry_safety,
        dedup_window: secs(2.0),
        deadline: NOW + secs(5.0),
        max_attempts: 4,
        attempts,
        answer: AnswerState::Owed,
        reserved_at: None,
    }
}

fn ended(stage: Stage, outcome: Outcome) -> AttemptFacts {
    let mut facts = AttemptFacts::new(stage, NOW - secs(1.0), target(Role::Decode));
    facts.end(outcome);
    facts
}

fn denied(obligations: &Obligations, to: &Target) -> Option<Denied> {
    obligations.may_send(NOW, to).err()
}

#[test]
fn a_repeat_needs_proof_that_no_earlier_attempt_has_run_or_will_run() {
    let unproven = [
        Outcome::ServerError,
        Outcome::TimedOut,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
        Outcome::Served,
    ];
    let proven = [Outcome::Rejected { no_state: true }, Outcome::NoConnection, Outcome::NotSent];
    let decode_target = target(Role::Decode);
    for outcome in unproven {
        let earlier = vec![ended(Stage::Decode, outcome)];
        let non_idempotent = obligations(RetrySafety::NonIdempotent, earlier.clone());
        assert_eq!(denied(&non_idempotent, &decode_target), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(non_idempotent.may_reject().err(), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(non_idempotent.permanent_denial(NOW), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(denied(&obligations(RetrySafety::Idempotent, earlier.clone()), &decode_target), None);
        // A deduplicated request may be repeated only within its scope and window.
        let deduplicated = obligations(RetrySafety::Deduplicated(DeduplicationScope::Cell), earlier);
        assert_eq!(denied(&deduplicated, &decode_target), None);
        let other_cell = Target { cell: CellId(2), ..decode_target };
        assert_eq!(denied(&deduplicated, &other_cell), Some(Denied::MayHaveRun));
        assert_eq!(
            deduplicated.may_send(NOW + secs(1.0), &decode_target).err(),
            Some(Denied::MayHaveRun),
            "{outcome:?}"
        );
        assert_eq!(deduplicated.permanent_denial(NOW + secs(1.0)), Some(Denied::MayHaveRun));
    }
    for outcome in proven {
        let non_idempotent = obligations(RetrySafety::NonIdempotent, vec![ended(Stage::Decode, outcome)]);
        assert_eq!(denied(&non_idempotent, &decode_target), None, "{outcome:?}");
        assert!(
            non_idempotent.may_reject().is_ok() && non_idempotent.permanent_denial(NOW).is_none(),
            "{outcome:?}"
        );
    }
    for outcome in unproven {
        let prefill = obligations(RetrySafety::NonIdempotent, vec![ended(Stage::Prefill, outcome)]);
        assert_eq!(
            denied(&prefill, &target(Role::Prefill)),
            None,
            "a prefill has no effect and may be repeated"
        );
    }
}

#[test]
fn each_denial_names_its_reason() {
    let decode_target = target(Role::Decode);
    let fresh = obligations(RetrySafety::Idempotent, Vec::new());
    assert_eq!(denied(&fresh, &decode_target), None);
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        assert_eq!(denied(&fresh, &Target { lifecycle, ..decode_target }), Some(Denied::NotInService));
    }
    let open = AttemptFacts::new(Stage::Prefill, NOW, target(Role::Prefill));
    assert_eq!(
        denied(&obligations(RetrySafety::Idempotent, vec![open]), &decode_target),
        Some(Denied::AttemptOpen)
    );
    let used = vec![ended(Stage::Decode, Outcome::NoConnection); 4];
    assert_eq!(
        denied(&obligations(RetrySafety::Idempotent, used.clone()), &decode_target),
        Some(Denied::AttemptsUsed)
    );
    assert_eq!(obligations(RetrySafety::Idempotent, used).permanent_denial(NOW), Some(Denied::AttemptsUsed));
    assert_eq!(fresh.may_send(NOW + secs(5.0), &decode_target).err(), Some(Denied::PastDeadline));
    for (answer, reason) in [(AnswerState::Given, Denied::Answered), (AnswerState::Begun, Denied::Begun)] {
        let obligations = Obligations { answer, ..fresh.clone() };
        assert_eq!(denied(&obligations, &decode_target), Some(reason));
        assert_eq!(obligations.may_answer().is_ok(), answer == AnswerState::Begun);
    }
    // An open attempt may still run, so a rejection must not promise that trying again is harmless.
    let open = AttemptFacts::new(Stage::Decode, NOW, decode_target);
    assert_eq!(
        obligations(RetrySafety::NonIdempotent, vec![open]).may_reject().err(),
        Some(Denied::MayHaveRun)
    );
}

/// An open pull does not stop the reservation timeout of any class, because its request may never arrive.
#[test]
fn reserved_state_is_released_in_time_while_a_pull_stays_open() {
    for class in [IDEMPOTENT, NON_IDEMPOTENT, DEDUPLICATED] {
        for timeout_s in [0.1, 0.3, 1.0, 2.0] {
            let set = Settings { reservation_timeout: secs(timeout_s), may_cancel: false, ..settings() };
            let mut rig = Rig::new(set, fleet());
            rig.submit("a", "s", class, 40_000);
            rig.advance(0.1);
            let pull = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
            assert!(sent_to(&pull).is_some_and(|(to, _)| to.starts_with('w')));
            let (prefilled_at, mut actions) = (rig.now, pull);
            while !released(&actions) {
                assert!(
                    rig.now <= prefilled_at + secs(timeout_s),
                    "class {}, reservation timeout {timeout_s} s",
                    class.0
                );
                actions = rig.fire_timers(&actions);
                assert!(sent_to(&actions).is_none(), "sent while the pull is open");
            }
            assert!(rig.now >= prefilled_at + secs(timeout_s * 0.7), "released before the pull had its time");
        }
    }
}

/// A pull that ended without a response of its worker may never have arrived: the reservation timeout then runs from
/// the end of the prefill. A pull that arrived restarts it.
#[test]
fn a_pull_without_proof_of_arrival_does_not_restart_the_reservation_timeout() {
    for (outcome, proven) in [
        (Outcome::TimedOut, false),
        (Outcome::Cancelled, false),
        (Outcome::ConnectionLost, false),
        (Outcome::ServerError, true),
        (Outcome::Rejected { no_state: false }, true),
    ] {
        let mut rig = Rig::new(Settings { reservation_timeout: secs(1.0), ..settings() }, fleet());
        rig.submit("a", "s", IDEMPOTENT, 40_000);
        rig.advance(0.1);
        rig.end_attempt("a", 0, Outcome::Prefilled, 0);
        let prefilled_at = rig.now;
        rig.advance(0.5);
        let mut actions = rig.end_attempt("a", 1, outcome, 0);
        while !released(&actions) && rig.now < prefilled_at + secs(3.0) {
            actions = rig.fire_timers(&actions);
        }
        let reserved_s = (rig.now - prefilled_at).as_secs_f64();
        let shortest = if proven { 1.25 } else { 0.75 };
        assert!(reserved_s >= shortest && reserved_s <= shortest + 0.2, "{outcome:?}: {reserved_s} s");
    }
}

/// A repeat that waits at an unresponsive worker runs when that worker resumes. It must therefore time out before the
/// deduplication window ends, with a margin of 0.15 s for a router that stalls before it writes.
#[test]
fn a_deduplicated_repeat_ends_before_its_window() {
    let window = 2.0;
    let mut set = settings();
    set.classes[DEDUPLICATED.0].dedup_window = secs(window);
    let mut rig = Rig::new(set.clone(), fleet());
    rig.submit("a", "s", DEDUPLICATED, 10);
    let first_sent_at = rig.now;
    rig.advance(0.5);
    let actions = rig.end_attempt("a", 0, Outcome::ServerError, 0);
    let timeout = actions.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    let timeout = timeout.expect("no repeat within the window").expect("the repeat has no timeout");
    let latest_end = (rig.now + timeout - first_sent_at).as_secs_f64();
    assert!(latest_end <= window - 0.15, "ends {latest_end} s after the first attempt was sent");
    // Close to the window's end nothing is repeated.
    let mut rig = Rig::new(set, fleet());
    rig.submit("a", "s", DEDUPLICATED, 10);
    rig.advance(window - 0.1);
    assert!(sent_to(&rig.end_attempt("a", 0, Outcome::ServerError, 0)).is_none());
}

/// A release does not free state that an arrived pull is waiting for, so the state is released again when that pull
/// ends.
#[test]
fn state_released_during_a_pull_is_released_again_when_the_pull_ends() {
    for (outcome, expect_second_release) in [
        (Outcome::TimedOut, true),
        (Outcome::Cancelled, true),
        (Outcome::ConnectionLost, true),
        (Outcome::ServerError, true),
        (Outcome::Rejected { no_state: false }, true),
        (Outcome::Rejected { no_state: true }, false),
    ] {
        let set = Settings { reservation_timeout: secs(0.3), may_cancel: false, ..settings() };
        let mut rig = Rig::new(set, fleet());
        rig.submit("a", "s", NON_IDEMPOTENT, 40_000);
        rig.advance(0.1);
        let mut actions = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
        while !released(&actions) {
            actions = rig.fire_timers(&actions);
        }
        rig.advance(0.2);
        assert_eq!(released(&rig.end_attempt("a", 1, outcome, 0)), expect_second_release, "{outcome:?}");
    }
}
