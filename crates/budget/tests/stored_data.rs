//! Compatibility of stored formats: ledgers, checkpoints, grants and rounds of an earlier build are read with the
//! same values, and the same values are written as the same bytes.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, clippy::panic, missing_docs)]

use std::path::{Path, PathBuf};

use chalkyard_budget::bill::{EngineRecord, Work};
use chalkyard_budget::*;
use chalkyard_ledger::{encode, read, segment_name, DirectoryVolume, Tail};

const START: Time = Time(1_796_100_000_000_000);
const S: u64 = 1_000_000;
/// December 2026 in Zurich.
const MONTH: Period = Period { start: Time(1_796_079_600_000_000), end: Time(1_798_758_000_000_000) };
const HOUR: Period = Period { start: Time(1_796_097_600_000_000), end: Time(1_796_101_200_000_000) };
const DAY: Period = Period { start: Time(1_796_079_600_000_000), end: Time(1_796_166_000_000_000) };

const ENDINGS: [Ending; 7] = [
    Ending::Served,
    Ending::Refused,
    Ending::Failed,
    Ending::Broken,
    Ending::Left,
    Ending::LeftEarly,
    Ending::Orphaned,
];

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

fn tenant_month() -> AccountKey {
    AccountKey { tenant: "nord".into(), class: None, kind: PeriodKind::Month }
}

fn class_hour() -> AccountKey {
    AccountKey { tenant: "nord".into(), class: Some("help".into()), kind: PeriodKind::Hour }
}

fn tenant_day() -> AccountKey {
    AccountKey { tenant: "ost".into(), class: None, kind: PeriodKind::Day }
}

fn month_period() -> AccountPeriod {
    AccountPeriod { class: None, kind: PeriodKind::Month, start: MONTH.start }
}

fn hour_period() -> AccountPeriod {
    AccountPeriod { class: Some("help".into()), kind: PeriodKind::Hour, start: HOUR.start }
}

fn day_period() -> AccountPeriod {
    AccountPeriod { class: None, kind: PeriodKind::Day, start: DAY.start }
}

fn ceiling(key: AccountKey, period: Period, ceiling: u64) -> AccountCeiling {
    AccountCeiling { key, period, ceiling: Units(ceiling) }
}

fn denied(key: AccountKey, total: u64, largest: u64) -> DeniedDemand {
    DeniedDemand { key, total: Units(total), largest: Units(largest) }
}

fn adopted() -> AdoptedLease {
    AdoptedLease {
        number: 7,
        at: START.after(2 * S),
        until: START.after(12 * S),
        ceilings: vec![
            ceiling(tenant_month(), MONTH, 5_000_000),
            ceiling(class_hour(), HOUR, 700_000),
            ceiling(tenant_day(), DAY, 40_000),
        ],
        demand: vec![denied(tenant_month(), 300_500, 200_250), denied(class_hour(), 9, 9)],
    }
}

fn reserved(id: &str, n: u64) -> Reservation {
    Reservation {
        id: id.into(),
        tenant: "nord".into(),
        class: "help".into(),
        identity: Some(format!("order-{n}").into()),
        at: START.after(3 * S + n),
        amount: Units(28_800),
        account_periods: vec![month_period(), hour_period()],
    }
}

fn settled(n: u64, ending: Ending) -> Settled {
    Settled {
        id: format!("r1-{n}").into(),
        at: START.after(4 * S + n),
        ending,
        usage: Usage { prompt: 200 + n, cached: 20, output: n },
        cost: Units(1_000 * n + 250),
        prefill_attempt: n.is_multiple_of(2).then_some(0),
        answering_attempt: (n != 1).then_some(300),
        may_have_run: n.is_multiple_of(3),
    }
}

/// Every kind of record, every ending and every kind of period; the state comes last.
fn records() -> Vec<(u64, Record)> {
    let mut records =
        vec![Record::Started(START), Record::Succeeded(START.after(S)), Record::Adopted(adopted())];
    for (n, ending) in (0..).zip(ENDINGS) {
        records.push(Record::Reserved(reserved(&format!("r1-{n}"), n)));
        records.push(Record::Settled(settled(n, ending)));
    }
    records.push(Record::Reserved(Reservation {
        id: "r1-open".into(),
        tenant: "ost".into(),
        class: "later".into(),
        identity: Some("order-99".into()),
        at: START.after(5 * S),
        amount: Units(12_345),
        account_periods: vec![day_period()],
    }));
    records.push(Record::Reserved(Reservation {
        id: "r1-free".into(),
        tenant: "".into(),
        class: "help".into(),
        identity: None,
        at: START.after(6 * S),
        amount: Units(0),
        account_periods: vec![],
    }));
    let state = recovered(&records);
    records.push(Record::State(Box::new(state)));
    (1..).zip(records).collect()
}

fn recovered(records: &[Record]) -> State {
    let mut state = State::default();
    for (number, record) in (1..).zip(records) {
        assert!(state.apply(number, record), "record {number}");
    }
    state
}

fn read_segment(folder: &str) -> (chalkyard_ledger::Report, Vec<(u64, Record)>) {
    let mut records = Vec::new();
    let names = [segment_name(1)];
    let report = read(&DirectoryVolume::reader(&data(folder)), &names, |n, r| records.push((n, r))).unwrap();
    (report, records)
}

#[test]
fn ledger_with_every_record_gives_their_values() {
    let (report, read) = read_segment("ledger");
    assert_eq!((report.records, report.tail, report.describe_damage()), (20, Tail::Complete, None));
    assert_eq!(read, records());
}

#[test]
fn records_are_written_as_the_same_bytes() {
    let mut frames = Vec::new();
    for (number, record) in records() {
        encode(number, &record, &mut frames).unwrap();
    }
    let stored = std::fs::read(data("ledger").join(segment_name(1))).unwrap();
    assert_eq!(frames, stored[20..]);
}

#[test]
fn checkpoint_gives_every_value_of_the_state() {
    let (_, read) = read_segment("ledger");
    let Some((20, Record::State(state))) = read.last() else { panic!("no checkpoint") };
    assert_eq!(state.sequence, 19);
    assert_eq!(state.last, START.after(6 * S));
    assert_eq!(state.settled, 7);
    assert_eq!(state.lease, Lease { number: 7, until: START.after(12 * S) });
    let usage =
        |spent, reserved, ceiling| AccountUsage { spent: Units(spent), reserved: Units(reserved), ceiling };
    let usages: Vec<(&str, AccountPeriod, AccountUsage)> = state
        .usage
        .iter()
        .map(|(tenant, account_period, usage)| (tenant, account_period.clone(), *usage))
        .collect();
    assert_eq!(
        usages,
        [
            ("nord", month_period(), usage(22_750, 0, Some(Units(5_000_000)))),
            ("nord", hour_period(), usage(22_750, 0, Some(Units(700_000)))),
            ("ost", day_period(), usage(0, 12_345, Some(Units(40_000)))),
        ]
    );
    let open: Vec<(&str, OpenReservation)> =
        state.open.iter().map(|(id, open)| (&**id, open.clone())).collect();
    let ost = OpenReservation {
        tenant: "ost".into(),
        amount: Units(12_345),
        account_periods: vec![day_period()],
        identity: Some(RequestIdentity { identity: "order-99".into(), class: "later".into() }),
    };
    let free =
        OpenReservation { tenant: "".into(), amount: Units(0), account_periods: vec![], identity: None };
    assert_eq!(open, [("r1-free", free), ("r1-open", ost)]);
    let executed = |n: u64| ExecutedRequest {
        tenant: "nord".into(),
        identity: format!("order-{n}").into(),
        class: "help".into(),
        at: START.after(4 * S + n),
    };
    assert_eq!(state.executed, [executed(0), executed(3), executed(6)]);
    let demand: Vec<(AccountKey, Demand)> = state.demand.clone().into_iter().collect();
    let denied = |total, largest| Demand { total: Units(total), largest: Units(largest) };
    assert_eq!(demand, [(tenant_month(), denied(300_500, 200_250)), (class_hour(), denied(9, 9))]);
}

#[test]
fn recovery_from_the_checkpoint_alone_equals_recovery_from_all_records() {
    let (_, read) = read_segment("ledger");
    let mut from_all = State::default();
    for (number, record) in &read[..19] {
        assert!(from_all.apply(*number, record));
    }
    let mut from_checkpoint = State::default();
    assert!(from_checkpoint.apply(20, &read[19].1));
    assert_eq!(from_checkpoint.sequence, 20);
    from_checkpoint.sequence = 19;
    assert_eq!(from_checkpoint, from_all);
}

/// One ledger ends within its checkpoint, as after a crash; the other has a changed byte in the lease's record.
#[test]
fn torn_and_damaged_ledgers_give_the_other_records_and_a_report() {
    let (report, read) = read_segment("ledger-torn");
    assert_eq!(read, records()[..19]);
    assert_eq!((report.next, report.tail), (20, Tail::Torn(100)));
    let (report, read) = read_segment("ledger-damaged");
    let mut expected = records();
    expected.remove(2);
    assert_eq!(read, expected);
    assert_eq!(report.damage.len(), 1);
    assert_eq!((report.next, report.damage[0].1.lost), (21, (3, 4)));
}

fn signing_key() -> SigningKey {
    SigningKey::new(&"5a".repeat(32)).unwrap()
}

fn stored_grant() -> Grant {
    let allowance = |key, period, ceiling| Allowance {
        key,
        period,
        ceiling: Units(ceiling),
        limit: Units(9_000_000),
        elsewhere: Units(1_234),
    };
    Grant {
        router: "r1".into(),
        number: 7,
        until: START.after(10 * S),
        allowances: vec![
            allowance(tenant_month(), MONTH, 5_000_000),
            allowance(class_hour(), HOUR, 700_000),
            allowance(tenant_day(), DAY, 40_000),
        ],
    }
}

fn stored_round() -> Round {
    let empty = Grant { router: "r2".into(), allowances: vec![], ..stored_grant() };
    let outstanding = Outstanding {
        router: "r1".into(),
        key: class_hour(),
        period: HOUR,
        ceiling: Units(700_000),
        number: 6,
        until: START.after(9 * S),
    };
    Round { number: 7, at: START, grants: vec![stored_grant(), empty], outstanding: vec![outstanding] }
}

#[test]
fn grant_is_read_and_signed_as_the_same_bytes() {
    let stored = std::fs::read(data("r1.grant")).unwrap();
    assert_eq!(signing_key().open_grant(&stored), Ok(stored_grant()));
    assert_eq!(signing_key().sign_grant(&stored_grant()), stored);
}

#[test]
fn round_is_read_and_signed_as_the_same_bytes() {
    let stored = std::fs::read(data("round-000000000007")).unwrap();
    assert_eq!(signing_key().open_round(&stored), Ok(stored_round()));
    assert_eq!(signing_key().sign_round(&stored_round()), stored);
}

#[test]
fn grants_that_are_cut_changed_or_of_another_version_give_typed_errors() {
    let stored = std::fs::read(data("r1.grant")).unwrap();
    let cut = signing_key().open_grant(&stored[..40]).unwrap_err();
    assert_eq!(cut, SignatureError::Truncated);
    assert_eq!(cut.to_string(), "cut short: no line with a MAC");
    let mut changed = stored;
    changed[20] ^= 1;
    let changed = signing_key().open_grant(&changed).unwrap_err();
    assert_eq!(changed, SignatureError::WrongMac);
    assert_eq!(changed.to_string(), "the MAC does not fit: changed, or signed under another key");
    let other = std::fs::read(data("other-version.grant")).unwrap();
    let other = signing_key().open_grant(&other).unwrap_err();
    assert_eq!(other, SignatureError::Unreadable);
    assert_eq!(other.to_string(), "signed, and not understood: of another version?");
    assert_eq!(SigningKey::new("5a5a").unwrap_err(), "must be 64 hexadecimal digits");
}

/// A predecessor sends settlements to its successor as lines of JSON.
#[test]
fn settlements_have_the_same_json() {
    let stored = std::fs::read_to_string(data("settled.jsonl")).unwrap();
    let lines: Vec<&str> = stored.lines().collect();
    assert_eq!(lines.len(), ENDINGS.len());
    for (n, (ending, line)) in (0..).zip(ENDINGS.into_iter().zip(lines)) {
        assert_eq!(serde_json::from_str::<Settled>(line).unwrap(), settled(n, ending));
        assert_eq!(serde_json::to_string(&settled(n, ending)).unwrap(), line);
    }
}

#[test]
fn engine_records_have_the_same_json() {
    let stored = std::fs::read_to_string(data("engines.jsonl")).unwrap();
    let line = |attempt, work| EngineRecord {
        engine: "m1".into(),
        request: "r1-0".into(),
        attempt,
        work,
        prompt: 200,
        cached: 20,
        output: 3,
        at: START,
    };
    let expected = [line(0, Work::Prefill), line(1, Work::Decode), line(2, Work::Combined)];
    assert_eq!(stored.lines().count(), expected.len());
    for (expected, stored) in expected.iter().zip(stored.lines()) {
        assert_eq!(&serde_json::from_str::<EngineRecord>(stored).unwrap(), expected);
        assert_eq!(serde_json::to_string(expected).unwrap(), stored);
    }
}

#[test]
fn figures_and_account_summaries_have_the_same_json() {
    let figures = Figures { spent: 1, reserved: 2, stranded: 3, refused: 4 };
    assert_eq!(
        serde_json::to_string(&figures).unwrap(),
        r#"{"spent":1,"reserved":2,"stranded":3,"refused":4}"#
    );
    let summary = AccountSummary {
        account: tenant_month().to_string(),
        start: START,
        limit: Units(5),
        spent: Units(1),
        reserved: Units(2),
        stranded: Units(3),
    };
    assert_eq!(
        serde_json::to_string(&summary).unwrap(),
        r#"{"account":"nord/*/month","start":1796100000000000,"limit":5,"spent":1,"reserved":2,"stranded":3}"#
    );
}

#[test]
fn denials_and_forks_have_the_same_texts() {
    let printed = |reason, account| Denial { reason, account, retry_after: 0 }.to_string();
    let harmless = "; nothing has run, trying again does no harm";
    assert_eq!(
        printed(DenialReason::BudgetExhausted, Some(class_hour())),
        format!("the token budget of this period is used up (nord/help/hour){harmless}")
    );
    assert_eq!(
        printed(DenialReason::RouterShareExhausted, Some(tenant_month())),
        format!("this router's part of the token budget is used up for now (nord/*/month){harmless}")
    );
    assert_eq!(
        printed(DenialReason::NoLease, Some(tenant_day())),
        format!("this router holds no current lease of the token budget (ost/*/day){harmless}")
    );
    assert_eq!(printed(DenialReason::RateLimited, None), format!("too many tokens a second{harmless}"));
    assert_eq!(
        printed(DenialReason::LedgerUnavailable, None),
        format!("usage can't be recorded here now{harmless}")
    );
    let fork = JournalForkError { router: "r1".into(), number: 9, head: 7 };
    assert_eq!(
        fork.to_string(),
        "router r1 holds lease 9, this journal ends at 7: another settlement job keeps another journal; \
         stop one and join the journals"
    );
    // The router's log gives the cause of a rejected grant as the name of its variant.
    let causes =
        [AdoptLeaseError::NotOurs, AdoptLeaseError::Old, AdoptLeaseError::Expired, AdoptLeaseError::NoLedger];
    let names: Vec<String> = causes.iter().map(|cause| format!("{cause:?}")).collect();
    assert_eq!(names, ["NotOurs", "Old", "Expired", "NoLedger"]);
}

/// Texts contain causes as variant names; JSON contains them as the serialized names below.
#[test]
fn causes_and_endings_have_the_same_names() {
    use chalkyard_budget::bill::Cause;
    let causes = [
        (Cause::Failed, "Failed", "\"failed\""),
        (Cause::Broken, "Broken", "\"broken\""),
        (Cause::LeftEarly, "LeftEarly", "\"left_early\""),
        (Cause::Orphaned, "Orphaned", "\"orphaned\""),
        (Cause::AttemptLost, "AttemptLost", "\"attempt_lost\""),
        (Cause::Repeated, "Repeated", "\"repeated\""),
        (Cause::OtherPeriod, "OtherPeriod", "\"other_period\""),
        (Cause::NoReservation, "NoReservation", "\"no_reservation\""),
        (Cause::NoEngineRecord, "NoEngineRecord", "\"no_engine_record\""),
        (Cause::Mismatch, "Mismatch", "\"mismatch\""),
    ];
    assert!(causes.is_sorted_by_key(|(cause, ..)| *cause), "the order in which bills list them");
    for (cause, text, json) in causes {
        assert_eq!(
            (format!("{cause:?}").as_str(), serde_json::to_string(&cause).unwrap().as_str()),
            (text, json)
        );
    }
    let words: Vec<String> = ENDINGS.iter().map(|e| serde_json::to_string(e).unwrap()).collect();
    let expected = ["served", "refused", "failed", "broken", "left", "left_early", "orphaned"];
    assert_eq!(words, expected.map(|word| format!("\"{word}\"")));
}
