//! What a router owes for a request: which calls, refusals and answers are allowed, and when held state is released,
//! whatever is open.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::obligations::*;
use chalkyard_policy::*;
use common::*;

const NOW: Micros = Micros(10_000_000);

fn target(role: Role) -> Target {
    Target { role, zone: Some(ZoneId(0)), cell: CellId(1), lifecycle: Lifecycle::Active }
}

fn owed(retry_safety: RetrySafety, attempts: Vec<AttemptFacts>) -> Obligations {
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

fn denied(owed: &Obligations, to: &Target) -> Option<Denied> {
    owed.may_send(NOW, to).err()
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
    let writer = target(Role::Decode);
    for outcome in unproven {
        let earlier = vec![ended(Stage::Decode, outcome)];
        let single = owed(RetrySafety::NonIdempotent, earlier.clone());
        assert_eq!(denied(&single, &writer), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(single.may_reject().err(), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(single.permanent_denial(NOW), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(denied(&owed(RetrySafety::Idempotent, earlier.clone()), &writer), None);
        // A guarded one goes again within its group and window alone.
        let guarded = owed(RetrySafety::Deduplicated(DeduplicationScope::Cell), earlier);
        assert_eq!(denied(&guarded, &writer), None);
        let elsewhere = Target { cell: CellId(2), ..writer };
        assert_eq!(denied(&guarded, &elsewhere), Some(Denied::MayHaveRun));
        assert_eq!(guarded.may_send(NOW + secs(1.0), &writer).err(), Some(Denied::MayHaveRun), "{outcome:?}");
        assert_eq!(guarded.permanent_denial(NOW + secs(1.0)), Some(Denied::MayHaveRun));
    }
    for outcome in proven {
        let single = owed(RetrySafety::NonIdempotent, vec![ended(Stage::Decode, outcome)]);
        assert_eq!(denied(&single, &writer), None, "{outcome:?}");
        assert!(single.may_reject().is_ok() && single.permanent_denial(NOW).is_none(), "{outcome:?}");
    }
    for outcome in unproven {
        let read = owed(RetrySafety::NonIdempotent, vec![ended(Stage::Prefill, outcome)]);
        assert_eq!(denied(&read, &target(Role::Prefill)), None, "a read has no effect");
    }
}

#[test]
fn each_denial_names_its_reason() {
    let writer = target(Role::Decode);
    let fresh = owed(RetrySafety::Idempotent, Vec::new());
    assert_eq!(denied(&fresh, &writer), None);
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        assert_eq!(denied(&fresh, &Target { lifecycle, ..writer }), Some(Denied::NotInService));
    }
    let open = AttemptFacts::new(Stage::Prefill, NOW, target(Role::Prefill));
    assert_eq!(denied(&owed(RetrySafety::Idempotent, vec![open]), &writer), Some(Denied::AttemptOpen));
    let used = vec![ended(Stage::Decode, Outcome::NoConnection); 4];
    assert_eq!(denied(&owed(RetrySafety::Idempotent, used.clone()), &writer), Some(Denied::AttemptsUsed));
    assert_eq!(owed(RetrySafety::Idempotent, used).permanent_denial(NOW), Some(Denied::AttemptsUsed));
    assert_eq!(fresh.may_send(NOW + secs(5.0), &writer).err(), Some(Denied::PastDeadline));
    for (answer, why) in [(AnswerState::Given, Denied::Answered), (AnswerState::Begun, Denied::Begun)] {
        let owed = Obligations { answer, ..fresh.clone() };
        assert_eq!(denied(&owed, &writer), Some(why));
        assert_eq!(owed.may_answer().is_ok(), answer == AnswerState::Begun);
    }
    // While an attempt is open nothing is known of its effect: no promise that trying again is harmless.
    let open = AttemptFacts::new(Stage::Decode, NOW, writer);
    assert_eq!(owed(RetrySafety::NonIdempotent, vec![open]).may_reject().err(), Some(Denied::MayHaveRun));
}

/// Whatever the effect, an open pull stops no clock: its bytes may never arrive.
#[test]
fn state_is_released_in_time_beside_a_pull_that_stays_open() {
    for class in [IDEMPOTENT, NON_IDEMPOTENT, DEDUPLICATED] {
        for release in [0.1, 0.3, 1.0, 2.0] {
            let set = Settings { reservation_timeout: secs(release), may_cancel: false, ..settings() };
            let mut rig = Rig::new(set, fleet());
            rig.submit("a", "s", class, 40_000);
            rig.advance(0.1);
            let pull = rig.end_attempt("a", 0, Outcome::Prefilled, 0);
            assert!(sent_to(&pull).is_some_and(|(to, _)| to.starts_with('w')));
            let (parsed, mut actions) = (rig.now, pull);
            while !released(&actions) {
                assert!(rig.now <= parsed + secs(release), "class {}, {release} s", class.0);
                actions = rig.fire_timers(&actions);
                assert!(sent_to(&actions).is_none(), "the pull is open");
            }
            assert!(rig.now >= parsed + secs(release * 0.7), "it has its time to be pulled");
        }
    }
}

/// A pull that ended without any word of its worker never was out: the time runs from the read's end.
#[test]
fn the_clock_of_held_state_is_not_set_back_by_a_pull_that_nobody_is_proven_to_have_got() {
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
        let parsed = rig.now;
        rig.advance(0.5);
        let mut actions = rig.end_attempt("a", 1, outcome, 0);
        while !released(&actions) && rig.now < parsed + secs(3.0) {
            actions = rig.fire_timers(&actions);
        }
        let held = (rig.now - parsed).as_secs_f64();
        let least = if proven { 1.25 } else { 0.75 };
        assert!(held >= least && held <= least + 0.2, "{outcome:?}: {held} s");
    }
}

/// A repeat that lies at a silent worker arrives when that wakes: it has to be over before repeats are discarded no more,
/// and is not sent so late that a router that stands still for 0.15 s would write it past that.
#[test]
fn a_guarded_repeat_is_over_before_its_window_ends() {
    let window = 2.0;
    let mut set = settings();
    set.classes[DEDUPLICATED.0].dedup_window = secs(window);
    let mut rig = Rig::new(set.clone(), fleet());
    rig.submit("a", "s", DEDUPLICATED, 10);
    let sent_first = rig.now;
    rig.advance(0.5);
    let actions = rig.end_attempt("a", 0, Outcome::ServerError, 0);
    let give_up = actions.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    let give_up = give_up.expect("a repeat within the window").expect("a time at which it is over");
    let over = (rig.now + give_up - sent_first).as_secs_f64();
    assert!(over <= window - 0.15, "{over} s after the first was sent");
    // Close to the window's end nothing is repeated.
    let mut rig = Rig::new(set, fleet());
    rig.submit("a", "s", DEDUPLICATED, 10);
    rig.advance(window - 0.1);
    assert!(sent_to(&rig.end_attempt("a", 0, Outcome::ServerError, 0)).is_none());
}

/// A release frees nothing that an attempt waits for: what a pull that had arrived was waiting for is released as it ends.
#[test]
fn state_that_was_released_beside_a_pull_is_released_again_as_the_pull_ends() {
    for (outcome, again) in [
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
        assert_eq!(released(&rig.end_attempt("a", 1, outcome, 0)), again, "{outcome:?}");
    }
}
