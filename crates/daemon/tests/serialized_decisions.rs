//! Decisions files that `run --decisions` wrote stay readable: the names, order and forms of all that the decision
//! module's types are written as.
//!
//! `data/policy_types.txt` holds a value of each type, with every variant and field, and `data/decisions.jsonl` a small
//! decisions file. Both were written before the types were renamed and are never written anew: a change here is a change
//! of stored data.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use chalkyard_policy::*;
use common::{chalkyard, folder, text};
use serde::de::DeserializeOwned;
use serde::Serialize;

const STORED: &str = include_str!("data/policy_types.txt");

/// Stored lines: a label, a blank, and a value or, of an enum, its variants in their order.
#[derive(Default)]
struct Stored {
    lines: Vec<String>,
}

impl Stored {
    /// A value; it is read back from what was stored.
    fn value<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, label: &str, value: &T) {
        let line = format!("{label} {}", serde_json::to_string(value).unwrap());
        if let Some(stored) = STORED.lines().nth(self.lines.len()) {
            let json = stored.strip_prefix(label).unwrap_or_else(|| panic!("{label} is stored as {stored}"));
            assert_eq!(&serde_json::from_str::<T>(json).unwrap(), value, "{stored}");
        }
        self.lines.push(line);
    }

    /// All variants of an enum, each with a value; the deserializer itself tells their names in order.
    fn variants<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, label: &str, values: &[T]) {
        let names = variant_names::<T>();
        self.lines.push(format!("{label}: {}", names.join(" ")));
        for value in values {
            self.value(label, value);
        }
        let valued: BTreeSet<String> =
            values.iter().map(|value| variant_name(&serde_json::to_value(value).unwrap())).collect();
        assert_eq!(valued, names.into_iter().collect(), "{label}: each variant has a value here");
    }
}

fn variant_names<T: DeserializeOwned + Debug>() -> Vec<String> {
    let told = serde_json::from_str::<T>("\"no such variant\"").unwrap_err().to_string();
    // "unknown variant `no such variant`, expected one of `A`, `B` at line 1 column 2"
    told.split('`').skip(3).step_by(2).map(str::to_owned).collect()
}

fn variant_name(value: &serde_json::Value) -> String {
    match value.as_object() {
        Some(object) => object.keys().next().unwrap().clone(),
        None => value.as_str().unwrap().to_owned(),
    }
}

fn request() -> Request {
    Request {
        id: "q1".into(),
        class: ClassId(2),
        tenant: Some(TenantId(1)),
        session: Some("s1".into()),
        prefix: Some("p1".into()),
        prompt_tokens: 1_200,
        max_output_tokens: 300,
        deadline: Micros(5_000_000),
        resumed: true,
    }
}

fn settings() -> Settings {
    Settings {
        routers: 3,
        classes: vec![Class {
            latency_objective: Micros(1),
            latency_objective_per_1000_tokens: Micros(2),
            deadline: Micros(3),
            retry_safety: RetrySafety::Deduplicated(DeduplicationScope::Zone),
            dedup_window: Micros(4),
        }],
        tenants: vec![Tenant { allowance_per_s: Some(2.5) }, Tenant { allowance_per_s: None }],
        discovery: Discovery::Poll,
        max_poll_interval: Micros(5),
        self_prefill: true,
        resume: false,
        reservation_timeout: Micros(6),
        max_attempts: 7,
        may_cancel: true,
        max_retry_after: Micros(8),
        overload_multiple: 2.5,
        overload_window: Micros(9),
        slow_start_initial_share: 0.25,
        slow_start_duration: Micros(10),
        answer_slack: Micros(11),
        tick: Micros(12),
        weighted: true,
        load_reporting: LoadReporting::InResponses,
    }
}

fn worker() -> Worker {
    Worker {
        id: "w1".into(),
        zone: Some(ZoneId(1)),
        cell: CellId(4),
        role: Role::Decode,
        kv_tokens: Some(90_000),
        lifecycle: Lifecycle::Draining,
        weight: 1.5,
        started: Some(Micros(7)),
    }
}

fn report() -> LoadReport {
    LoadReport {
        queued_requests: Some(2.0),
        slot_utilization: Some(0.5),
        kv_utilization: Some(0.25),
        waiting_tokens: Some(4_000.0),
    }
}

fn events() -> Vec<Event> {
    vec![
        Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![worker(), Worker::default()] },
        Event::Request(request()),
        Event::Streaming { id: "q1".into(), attempt: AttemptNo(1), elapsed: Micros(20) },
        Event::AttemptOutcome {
            id: "q1".into(),
            attempt: AttemptNo(0),
            outcome: Outcome::Rejected { no_state: true },
            elapsed: Micros(30),
            request_ended: true,
            cached_tokens: 64,
            report: Some(report()),
        },
        Event::AttemptOutcome {
            id: "q1".into(),
            attempt: AttemptNo(0),
            outcome: Outcome::Served,
            elapsed: Micros(30),
            request_ended: false,
            cached_tokens: 0,
            report: None,
        },
        Event::ClientGone("q1".into()),
        Event::Timer(TimerId(9)),
    ]
}

fn actions() -> Vec<Action> {
    vec![
        Action::Send {
            id: "q1".into(),
            worker: "w1".into(),
            timeout: Some(Micros(1)),
            connect_timeout: Some(Micros(2)),
            kind: AttemptKind::Probe,
        },
        Action::Cancel { id: "q1".into(), attempt: AttemptNo(3) },
        Action::Reject {
            id: "q1".into(),
            retry_after: Some(Micros(4)),
            reason: RejectionReason::ObservedLatency,
        },
        Action::Fail { id: "q1".into(), reason: RejectionReason::MayHaveRun },
        Action::Migrate("q1".into()),
        Action::ReleaseReservation("q1".into()),
        Action::SetTimer { timer: TimerId(5), after: Micros(6) },
        Action::Subscribe,
    ]
}

const OUTCOMES: [Outcome; 10] = [
    Outcome::Served,
    Outcome::Prefilled,
    Outcome::ServerError,
    Outcome::Rejected { no_state: false },
    Outcome::Rejected { no_state: true },
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

const REASONS: [RejectionReason; 12] = [
    RejectionReason::UnknownClass,
    RejectionReason::ObservedLatency,
    RejectionReason::ForecastLatency,
    RejectionReason::CannotMeetDeadline,
    RejectionReason::Congested,
    RejectionReason::AttemptsExhausted,
    RejectionReason::MayHaveRun,
    RejectionReason::DeadlineExceeded,
    RejectionReason::NoWorker,
    RejectionReason::NoneHealthy,
    RejectionReason::AtCapacity,
    RejectionReason::WarmingUp,
];

/// All of them, as they were stored.
fn stored() -> Vec<String> {
    let mut all = Stored::default();
    all.value("time", &Micros(1_500));
    all.value("request id", &RequestId::from("q1"));
    all.value("worker id", &WorkerId::from("w1"));
    all.value("session id", &SessionId::from("s1"));
    all.value("prefix id", &PrefixId::from("p1"));
    all.value("class id", &ClassId(1));
    all.value("tenant id", &TenantId(2));
    all.value("zone id", &ZoneId(3));
    all.value("cell id", &CellId(4));
    all.value("timer id", &TimerId(5));
    all.value("attempt number", &AttemptNo(6));
    all.variants("role", &[Role::Prefill, Role::Decode, Role::Combined]);
    all.variants("group", &[DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell]);
    let groups = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell]
        .map(RetrySafety::Deduplicated);
    all.variants(
        "effect",
        &[&[RetrySafety::Idempotent], &groups[..], &[RetrySafety::NonIdempotent]].concat(),
    );
    all.variants("discovery", &[Discovery::Push, Discovery::Poll]);
    all.variants("reports", &[LoadReporting::Off, LoadReporting::InResponses]);
    all.variants("lifecycle", &[Lifecycle::Active, Lifecycle::Draining, Lifecycle::Removed]);
    all.variants(
        "kind of list",
        &[EndpointUpdate::Snapshot, EndpointUpdate::LastKnown, EndpointUpdate::Delta, EndpointUpdate::Failed],
    );
    all.variants("outcome", &OUTCOMES);
    all.variants("reason", &REASONS);
    all.variants("care", &[AttemptKind::Normal, AttemptKind::SlowStart, AttemptKind::Probe]);
    all.value("settings", &settings());
    all.value("worker", &worker());
    all.value("default worker", &Worker::default());
    all.value("report", &report());
    all.value("empty report", &LoadReport::default());
    all.value("request", &request());
    all.value(
        "bare request",
        &Request { tenant: None, session: None, prefix: None, resumed: false, ..request() },
    );
    all.variants("event", &events());
    all.variants("action", &actions());
    all.value("bare send", &bare_send());
    all.lines
}

fn bare_send() -> Action {
    Action::Send {
        id: "q1".into(),
        worker: "w1".into(),
        timeout: None,
        connect_timeout: None,
        kind: AttemptKind::Normal,
    }
}

#[test]
fn each_serialized_form_of_the_decision_module_is_as_it_was_stored() {
    let now = stored();
    std::fs::write(folder("policy-types").join("now.txt"), now.join("\n") + "\n").unwrap();
    for (now, stored) in now.iter().zip(STORED.lines()) {
        assert_eq!(now, stored);
    }
    assert_eq!(now.len(), STORED.lines().count());
}

#[test]
fn reasons_and_care_sort_and_are_counted_as_they_are_written() {
    assert!(REASONS.is_sorted(), "the first condition that holds is the first in this order");
    assert!([AttemptKind::Normal, AttemptKind::SlowStart, AttemptKind::Probe].is_sorted());
    assert!([Role::Prefill, Role::Decode, Role::Combined].is_sorted());
    for reason in REASONS {
        assert_eq!(serde_json::to_value(reason).unwrap(), reason.name());
    }
}

/// The file's path as the command prints it.
fn decisions() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/decisions.jsonl")
}

#[test]
fn a_decisions_file_of_an_earlier_version_is_replayed_with_the_same_actions() {
    let file = decisions();
    let file = file.to_str().unwrap();
    let out = chalkyard(&["replay", file]);
    assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""), "{}", text(&out.stdout));
    assert_eq!(text(&out.stdout), format!("{file}: 400 events, 369 actions, all the same\n"));
}

#[test]
fn the_decisions_file_holds_each_event_outcome_and_action_that_there_is() {
    let written = std::fs::read_to_string(decisions()).unwrap();
    let lines: Vec<serde_json::Value> = written.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    let of = |key: &str| -> BTreeSet<String> {
        let values = lines.iter().filter_map(|l| l.get(key));
        let each = values.flat_map(|v| v.as_array().cloned().unwrap_or_else(|| vec![v.clone()]));
        each.map(|v| variant_name(&v)).collect()
    };
    assert_eq!(of("event"), variant_names::<Event>().into_iter().collect());
    let mut actions: BTreeSet<String> = variant_names::<Action>().into_iter().collect();
    // The module has no use for it so far.
    assert!(actions.remove("Move"));
    assert_eq!(of("actions"), actions);
    let outcomes = lines.iter().filter_map(|l| l.pointer("/event/Verdict/outcome")).map(variant_name);
    assert_eq!(
        outcomes.collect::<BTreeSet<String>>(),
        variant_names::<Outcome>().into_iter().collect::<BTreeSet<String>>()
    );
}

#[test]
fn a_replay_that_differs_names_the_line_and_both_lists_of_actions() {
    let written = std::fs::read_to_string(decisions()).unwrap();
    let at = written.lines().position(|l| l.contains("\"give_up\":")).unwrap();
    let mut lines: Vec<String> = written.lines().map(str::to_owned).collect();
    let from = lines[at].find("\"worker\":\"").unwrap() + "\"worker\":\"".len();
    lines[at].insert_str(from, "other-");
    let file = folder("replay-differs").join("decisions.jsonl");
    std::fs::write(&file, lines.join("\n")).unwrap();
    let file = file.to_str().unwrap();
    let out = chalkyard(&["replay", file]);
    assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(3), ""));
    let told = text(&out.stdout);
    assert!(told.starts_with(&format!("{file}:{}: did [", at + 1)), "{told}");
    assert!(told.contains("], now does [") && told.contains("other-"), "{told}");
}

#[test]
fn a_decisions_file_that_cannot_be_read_is_told_with_its_line() {
    let written = std::fs::read_to_string(decisions()).unwrap();
    let (first, rest) = written.split_once('\n').unwrap();
    let second = rest.lines().next().unwrap();
    let cases = [
        ("empty", String::new(), "1: no events"),
        ("first", format!("{{}}\n{second}\n"), "1: missing field `settings` at line 1 column 2"),
        ("second", format!("{first}\n{{}}\n{second}\n"), "2: missing field `now` at line 1 column 2"),
        ("cut", format!("{first}\n{{\"now\":1"), "1: no events"),
    ];
    for (name, content, told) in cases {
        let file = folder(&format!("replay-{name}")).join("decisions.jsonl");
        std::fs::write(&file, content).unwrap();
        let file = file.to_str().unwrap();
        let out = chalkyard(&["replay", file]);
        assert_eq!((out.status.code(), text(&out.stdout).as_str()), (Some(2), ""), "{name}");
        assert_eq!(text(&out.stderr), format!("{file}:{told}\n"), "{name}");
    }
}
