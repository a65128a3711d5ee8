//! The serialized form of this crate's types in logs, in `status` and on the control socket: the names, order and format of
//! every field and variant. `losses` and operators' tools read them, so they must not change with the Rust names.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use chalkyard_policy::{AttemptKind, LoadReport, RejectionReason};
use chalkyard_router::*;
use serde::Serialize;

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// The serialized names of a list of variants.
fn names<T: Serialize>(variants: &[T]) -> Vec<String> {
    variants.iter().map(|v| serde_json::to_value(v).unwrap().as_str().unwrap().to_owned()).collect()
}

const ENDED: [RequestOutcome; 10] = [
    RequestOutcome::Served,
    RequestOutcome::Rejected,
    RequestOutcome::Failed,
    RequestOutcome::Broken,
    RequestOutcome::ClientGone,
    RequestOutcome::ClientSlow,
    RequestOutcome::Stopped,
    RequestOutcome::Migrated,
    RequestOutcome::RejectedAtIntake,
    RequestOutcome::Overdue,
];

#[test]
fn every_end_of_a_request_is_serialized_and_counted_by_its_name() {
    let written = names(&ENDED);
    assert_eq!(
        written,
        [
            "served",
            "refused",
            "failed",
            "broken",
            "client_gone",
            "client_slow",
            "stopped",
            "moved",
            "turned",
            "overdue"
        ]
    );
    assert_eq!(ENDED.map(RequestOutcome::name).to_vec(), written);
    for (index, ended) in ENDED.iter().enumerate() {
        // An exhaustive match: a new variant must be added to the list.
        let expected = match ended {
            RequestOutcome::Served => 0,
            RequestOutcome::Rejected => 1,
            RequestOutcome::Failed => 2,
            RequestOutcome::Broken => 3,
            RequestOutcome::ClientGone => 4,
            RequestOutcome::ClientSlow => 5,
            RequestOutcome::Stopped => 6,
            RequestOutcome::Migrated => 7,
            RequestOutcome::RejectedAtIntake => 8,
            RequestOutcome::Overdue => 9,
        };
        assert_eq!((index, *ended as usize), (expected, expected));
    }
}

const CHANGES: [TransitionKind; 7] = [
    TransitionKind::AttemptEnded,
    TransitionKind::ReleasedDuringAttempt,
    TransitionKind::ReleaseRepeated,
    TransitionKind::ReleaseProven,
    TransitionKind::ReleaseUnproven,
    TransitionKind::Denied,
    TransitionKind::Violation,
];

#[test]
fn every_change_of_a_request_is_serialized_by_its_name() {
    assert_eq!(
        names(&CHANGES),
        [
            "attempt_ended",
            "released_beside_attempt",
            "release_repeated",
            "release_proven",
            "release_unproven",
            "denied",
            "violation"
        ]
    );
    for (index, change) in CHANGES.iter().enumerate() {
        let expected = match change {
            TransitionKind::AttemptEnded => 0,
            TransitionKind::ReleasedDuringAttempt => 1,
            TransitionKind::ReleaseRepeated => 2,
            TransitionKind::ReleaseProven => 3,
            TransitionKind::ReleaseUnproven => 4,
            TransitionKind::Denied => 5,
            TransitionKind::Violation => 6,
        };
        assert_eq!((index, *change as usize), (expected, expected));
    }
}

const VIOLATIONS: [Violation; 3] =
    [Violation::AnswerOverdue, Violation::EffectUnproven, Violation::ReservationOverdue];

#[test]
fn every_violation_is_serialized_and_counted_by_its_name() {
    let written = names(&VIOLATIONS);
    assert_eq!(written, ["answer_overdue", "effect_unproven", "held_overdue"]);
    assert_eq!(VIOLATIONS.map(Violation::name).to_vec(), written);
    assert!(VIOLATIONS.is_sorted());
    for (index, violation) in VIOLATIONS.iter().enumerate() {
        let expected = match violation {
            Violation::AnswerOverdue => 0,
            Violation::EffectUnproven => 1,
            Violation::ReservationOverdue => 2,
        };
        assert_eq!((index, *violation as usize), (expected, expected));
    }
}

fn attempt(kind: AttemptKind, report: Option<LoadReport>) -> AttemptRecord {
    AttemptRecord {
        worker: "w1".into(),
        stage: "read",
        outcome: "parsed",
        kind,
        sent_us: 1,
        took_us: 2,
        kept_tokens: 3,
        report,
    }
}

fn report() -> LoadReport {
    LoadReport {
        queued_requests: Some(1.0),
        slot_utilization: Some(0.5),
        kv_utilization: None,
        waiting_tokens: Some(9.0),
    }
}

const FULL_ATTEMPT: &str = concat!(
    r#"{"worker":"w1","stage":"read","outcome":"parsed","care":"trial","sent_us":1,"took_us":2,"kept_tokens":3,"#,
    r#""report":{"queued":1.0,"slots_used":0.5,"kv_used":null,"waiting_tokens":9.0}}"#
);

#[test]
fn an_attempt_is_serialized_with_the_load_report_of_its_worker() {
    assert_eq!(json(&attempt(AttemptKind::Probe, Some(report()))), FULL_ATTEMPT);
    for (kind, written) in
        [(AttemptKind::Normal, "usual"), (AttemptKind::SlowStart, "cold"), (AttemptKind::Probe, "trial")]
    {
        let expected = FULL_ATTEMPT.replace("trial", written);
        let (without_report, _) = expected.split_once(r#""report""#).unwrap();
        assert_eq!(json(&attempt(kind, None)), format!(r#"{without_report}"report":null}}"#));
    }
}

#[test]
fn a_finished_request_is_serialized_with_every_field() {
    let finished = RequestRecord {
        id: "r1-1".into(),
        class: "help".into(),
        came_back: true,
        tenant: Some("nord".into()),
        identity: Some("k1".into()),
        session: Some("s1".into()),
        prefix: Some("p1".into()),
        ended: RequestOutcome::Rejected,
        rejection_reason: Some(RejectionReason::MayHaveRun),
        phase: "waiting",
        list_age_us: Some(4),
        open: 5,
        reason: "not taken now".into(),
        attempts: vec![attempt(AttemptKind::Probe, Some(report()))],
        arrived_us: 6,
        first_token_us: Some(7),
        total_us: 8,
        estimated_tokens: 9,
        prompt_tokens: 10,
        kept_tokens: 11,
        output_tokens: 12,
    };
    let head = r#"{"id":"r1-1","class":"help","came_back":true,"tenant":"nord","identity":"k1","session":"s1","prefix":"p1","ended":"refused","why":"may_have_run","phase":"waiting","list_age_us":4,"open":5,"reason":"not taken now","attempts":["#;
    let tail = r#"],"arrived_us":6,"first_token_us":7,"total_us":8,"estimated_tokens":9,"prompt_tokens":10,"kept_tokens":11,"output_tokens":12}"#;
    assert_eq!(json(&finished), format!("{head}{FULL_ATTEMPT}{tail}"));
    let without_options = RequestRecord {
        tenant: None,
        identity: None,
        session: None,
        prefix: None,
        rejection_reason: None,
        list_age_us: None,
        first_token_us: None,
        attempts: Vec::new(),
        ..finished
    };
    let none = r#"{"id":"r1-1","class":"help","came_back":true,"tenant":null,"identity":null,"session":null,"prefix":null,"ended":"refused","why":null,"phase":"waiting","list_age_us":null,"open":5,"reason":"not taken now","attempts":[],"arrived_us":6,"first_token_us":null,"total_us":8,"estimated_tokens":9,"prompt_tokens":10,"kept_tokens":11,"output_tokens":12}"#;
    assert_eq!(json(&without_options), none);
}

#[test]
fn a_transition_is_serialized_with_every_field() {
    let transition = Transition {
        id: "r1-1".into(),
        change: TransitionKind::Denied,
        cause: "past_deadline",
        attempt: Some(1),
        worker: Some("w1".into()),
        connection: Some(2),
        rested_us: Some(3),
        last_reply_us: Some(4),
        age_us: 5,
    };
    assert_eq!(
        json(&transition),
        r#"{"id":"r1-1","change":"denied","cause":"past_deadline","attempt":1,"worker":"w1","connection":2,"rested_us":3,"unheard_us":4,"age_us":5}"#
    );
}

const TALLY: &str = r#"{"second":1,"first":2,"pulls":3,"again_safe":4,"again_ran":5,"trials":6,"cold":7,"connects":8,"list_calls":9,"list_news":10,"releases":11,"unheard":12,"moved":13,"open":14}"#;

#[test]
fn the_counts_of_a_second_round_trip_by_their_names() {
    let tally = Tally {
        second: 1,
        first: 2,
        decodes: 3,
        retries_not_run: 4,
        retries_maybe_run: 5,
        probes: 6,
        slow_starts: 7,
        connects: 8,
        list_calls: 9,
        list_changes: 10,
        releases: 11,
        dropped_clients: 12,
        migrated: 13,
        open: 14,
    };
    assert_eq!(json(&tally), TALLY);
    assert_eq!(serde_json::from_str::<Tally>(TALLY).unwrap(), tally);
}

#[test]
fn counters_are_serialized_by_cause() {
    let counts = |name: &'static str, n: u64| CountsByCause::from([(name, n)]);
    let counters = Counters {
        requests: 1,
        answers: CountsByCause::from([("served", 3), ("refused", 2)]),
        given_up: counts("late", 4),
        prefills: counts("parsed", 5),
        decodes: counts("no_state", 6),
        combined: counts("served", 7),
        releases: counts("begun", 8),
        denied: counts("answered", 9),
        violations: counts("held_overdue", 10),
    };
    assert_eq!(
        json(&counters),
        r#"{"requests":1,"answers":{"refused":2,"served":3},"given_up":{"late":4},"reads":{"parsed":5},"pulls":{"no_state":6},"wholes":{"served":7},"releases":{"begun":8},"denied":{"answered":9},"violations":{"held_overdue":10}}"#
    );
    assert_eq!(counters.violation_count(), 10);
}

#[test]
fn operator_views_are_serialized_with_every_field() {
    let counts = CoreStatus {
        open_requests: 1,
        clients: 2,
        engines: 3,
        connections: 4,
        draining: true,
        has_list: false,
        register: true,
        identities: 5,
        lease: Some((6, 7)),
    };
    assert_eq!(
        json(&counts),
        r#"{"open_requests":1,"clients":2,"engines":3,"connections":4,"draining":true,"has_list":false,"register":true,"identities":5,"lease":[6,7]}"#
    );
    let workers = BoundedList {
        items: vec![WorkerView {
            id: "m1".into(),
            address: "127.0.0.1:1".into(),
            role: "mixed",
            listed: true,
            connections: 1,
            idle: 2,
            attempts: 3,
        }],
        more: 4,
    };
    assert_eq!(
        json(&workers),
        r#"{"items":[{"id":"m1","address":"127.0.0.1:1","role":"mixed","listed":true,"connections":1,"idle":2,"attempts":3}],"more":4}"#
    );
    let open = OpenRequest {
        id: "r1-1".into(),
        class: "help".into(),
        tenant: None,
        phase: "held",
        age_us: 1,
        left_us: 2,
        prompt_tokens: 3,
        pieces: 4,
        may_have_run: true,
        attempts: vec![attempt(AttemptKind::Probe, Some(report()))],
    };
    assert_eq!(
        json(&open),
        format!(
            r#"{{"id":"r1-1","class":"help","tenant":null,"phase":"held","age_us":1,"left_us":2,"prompt_tokens":3,"pieces":4,"may_have_run":true,"attempts":[{FULL_ATTEMPT}]}}"#
        )
    );
}
