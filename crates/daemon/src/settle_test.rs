//! Tests of `settle`: stored adjustments keep their values and bytes, and change a plan as expected.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use super::*;
use chalkyard_budget::{Calendar, HardLimitAction, Limit, Mode, PeriodKind, SoftLimitAction, Units, Weights};
use chalkyard_ledger::{encode, read, segment_name};

const STORED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/budgets/adjustments");
/// 1 November 2026 in Zurich.
const NOVEMBER: Time = Time(1_793_487_600_000_000);

fn tenant_month() -> AccountKey {
    AccountKey { tenant: "nord".into(), class: None, kind: PeriodKind::Month }
}

fn class_hour() -> AccountKey {
    AccountKey { tenant: "nord".into(), class: Some("help".into()), kind: PeriodKind::Hour }
}

fn adjustment(n: u64, what: Change) -> Adjustment {
    Adjustment { at: Time(NOVEMBER.0 + n), by: "ann".into(), why: "exam week".into(), what }
}

fn bill(day: &str, amount: i64) -> Change {
    Change::Bill { tenant: "nord".into(), class: "help".into(), day: day.into(), amount }
}

/// Every kind of change.
fn stored() -> Vec<(u64, Adjustment)> {
    let changes = [
        Change::Set(tenant_month(), NOVEMBER, Some(3_000)),
        Change::Set(class_hour(), NOVEMBER, Some(700)),
        Change::Set(class_hour(), NOVEMBER, None),
        Change::Grant(tenant_month(), NOVEMBER, 500),
        Change::Grant(tenant_month(), NOVEMBER, -120),
        bill("2026-12-01", -250),
        bill("2026-11-30", 40),
    ];
    (1..).zip(changes).map(|(n, what)| (n, adjustment(n, what))).collect()
}

#[test]
fn stored_adjustments_are_read_with_their_values() {
    let mut records = Vec::new();
    let names = [segment_name(1)];
    let volume = DirectoryVolume::reader(Path::new(STORED));
    let report = read(&volume, &names, |n, a: Adjustment| records.push((n, a))).unwrap();
    assert_eq!(report.describe_damage(), None);
    assert_eq!(records, stored());
}

#[test]
fn adjustments_are_written_as_the_same_bytes() {
    let mut frames = Vec::new();
    for (number, adjustment) in stored() {
        encode(number, &adjustment, &mut frames).unwrap();
    }
    assert_eq!(frames, std::fs::read(Path::new(STORED).join(segment_name(1))).unwrap()[20..]);
}

#[test]
fn adjustments_are_printed_as_before() {
    let printed: Vec<String> =
        stored().iter().map(|(_, a)| serde_json::to_string(&a.what).unwrap()).collect();
    assert_eq!(
        printed[0],
        r#"{"Set":[{"tenant":"nord","class":null,"kind":"month"},1793487600000000,3000]}"#
    );
    assert_eq!(
        printed[2],
        r#"{"Set":[{"tenant":"nord","class":"help","kind":"hour"},1793487600000000,null]}"#
    );
    assert_eq!(
        printed[4],
        r#"{"Grant":[{"tenant":"nord","class":null,"kind":"month"},1793487600000000,-120]}"#
    );
    assert_eq!(printed[5], r#"{"Bill":{"tenant":"nord","class":"help","day":"2026-12-01","amount":-250}}"#);
    assert_eq!(
        serde_json::to_string(&stored()[5].1).unwrap(),
        r#"{"at":1793487600000006,"by":"ann","why":"exam week","what":{"Bill":{"tenant":"nord","class":"help","day":"2026-12-01","amount":-250}}}"#
    );
}

#[test]
fn adjusted_plan_has_the_last_set_budgets_and_the_sum_of_grants() {
    let limit = |tokens| Limit {
        hard: Units::tokens(tokens),
        soft: 1_000,
        at_soft: SoftLimitAction::Warn,
        at_hard: HardLimitAction::Refuse,
        marks: vec![],
    };
    let plan = Plan {
        calendar: Calendar::new("Europe/Zurich").unwrap(),
        weights: Weights::default(),
        limits: [(tenant_month(), limit(1_000)), (class_hour(), limit(200))].into(),
        rates: BTreeMap::new(),
        margin: 0,
        mode: Mode::Shares(1),
        prices: vec![],
    };
    let (adjusted, extra) = adjusted(&plan, &stored());
    assert_eq!(adjusted.limits[&tenant_month()].hard, Units::tokens(3_000));
    assert_eq!(adjusted.limits[&class_hour()].hard, Units::tokens(200));
    assert_eq!(extra, [(AccountStart { key: tenant_month(), start: NOVEMBER }, 380_000)].into());
}
