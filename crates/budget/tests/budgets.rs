//! Tests of budget decisions and bills, without clock, files or sockets.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, clippy::panic, missing_docs)]

use std::collections::BTreeMap;

use chalkyard_budget::bill::{BillLine, Biller, Cause, EngineRecord, LineKey, Work};
use chalkyard_budget::*;

const S: u64 = 1_000_000;

fn at(text: &str) -> Time {
    let zoned: jiff::ZonedDateTime = text.parse().unwrap();
    Time(zoned.timestamp().as_microsecond().try_into().unwrap())
}

fn noon() -> Time {
    at("2026-12-01T12:00[Europe/Zurich]")
}

fn key(kind: PeriodKind) -> AccountKey {
    AccountKey { tenant: "nord".into(), class: None, kind }
}

fn limit(tokens: u64) -> Limit {
    Limit {
        hard: Units::tokens(tokens),
        soft: 1_000,
        at_soft: SoftLimitAction::Warn,
        at_hard: HardLimitAction::Refuse,
        marks: vec![],
    }
}

fn plan(limits: Vec<(AccountKey, Limit)>, mode: Mode) -> Plan {
    Plan {
        calendar: Calendar::new("Europe/Zurich").unwrap(),
        weights: Weights { prompt: 1_000, cached: 100, output: 4_000 },
        limits: limits.into_iter().collect(),
        rates: BTreeMap::new(),
        margin: 0,
        mode,
        prices: vec![
            Price {
                from: "2026-01-01".into(),
                currency: "Rp".into(),
                prompt: 300,
                cached: 30,
                output: 1_500,
            },
            Price {
                from: "2026-12-01".into(),
                currency: "Rp".into(),
                prompt: 400,
                cached: 30,
                output: 1_500,
            },
        ],
    }
}

fn enforcer_with(limits: Vec<(AccountKey, Limit)>) -> BudgetEnforcer {
    BudgetEnforcer::new("r1", plan(limits, Mode::Shares(1)), State::default(), noon())
}

fn ask(id: &str, prompt: u64, output: u64) -> ReservationRequest<'_> {
    ReservationRequest { id, tenant: "nord", class: "help", identity: None, prompt, output }
}

fn serve(enforcer: &mut BudgetEnforcer, now: Time, id: &str, prompt: u64, cached: u64, output: u64) -> bool {
    let attempts = BilledAttempts { prefill: None, answering: Some(0) };
    enforcer.settle(now, id, Ending::Served, Usage { prompt, cached, output }, attempts, true)
}

fn records(enforcer: &mut BudgetEnforcer) -> Vec<(u64, Record)> {
    enforcer.take_records().collect()
}

#[test]
fn request_reserves_its_worst_case_and_settles_once_by_its_usage() {
    let mut enforcer = enforcer_with(vec![(key(PeriodKind::Day), limit(1_000))]);
    enforcer.admit(noon(), ask("a", 200, 100)).unwrap();
    let account_period = || (key(PeriodKind::Day), at("2026-12-01T00:00[Europe/Zurich]"));
    assert_eq!(
        enforcer.state().usage.get(&account_period().0, account_period().1).reserved,
        Units::tokens(600)
    );
    let denial = enforcer.admit(noon(), ask("b", 300, 50)).unwrap_err();
    assert_eq!((denial.reason, denial.account), (DenialReason::BudgetExhausted, Some(key(PeriodKind::Day))));
    assert_eq!(denial.retry_after, 12 * 3_600 * S, "retry at midnight");
    assert!(serve(&mut enforcer, noon(), "a", 210, 110, 10));
    assert_eq!(
        enforcer.state().usage.get(&account_period().0, account_period().1).spent,
        Units(100 * 1_000 + 110 * 100 + 10 * 4_000)
    );
    assert!(!serve(&mut enforcer, noon(), "a", 210, 110, 10), "a second settlement changes nothing");
    assert!(!serve(&mut enforcer, noon(), "never", 1, 0, 1));
    assert!(enforcer.admit(noon(), ask("b", 300, 50)).is_ok());
    enforcer.settle(
        noon(),
        "b",
        Ending::Failed,
        Usage { prompt: 300, cached: 0, output: 9 },
        BilledAttempts::default(),
        false,
    );
    assert_eq!(
        enforcer.state().usage.get(&account_period().0, account_period().1).used(),
        Units(151_000),
        "a failed request costs nothing"
    );
    assert_eq!(records(&mut enforcer).len(), 1 + 4);
}

#[test]
fn soft_limits_warn_clamp_and_lower_and_hard_ones_can_clamp() {
    let soft = |at_soft| Limit { soft: 500, at_soft, marks: vec![500, 900], ..limit(1_000) };
    let mut enforcer = enforcer_with(vec![(key(PeriodKind::Day), soft(SoftLimitAction::Clamp(20)))]);
    let first = enforcer.admit(noon(), ask("a", 100, 100)).unwrap();
    assert_eq!(
        (first.output, &first.marks[..]),
        (100, &[BudgetMark { account: key(PeriodKind::Day), thousandths: 500 }][..])
    );
    assert_eq!(enforcer.admit(noon(), ask("b", 100, 100)).unwrap().output, 20);

    let mut enforcer =
        enforcer_with(vec![(key(PeriodKind::Day), soft(SoftLimitAction::Lower("later".into())))]);
    assert_eq!(enforcer.admit(noon(), ask("a", 100, 100)).unwrap().lower_to, None);
    assert_eq!(enforcer.admit(noon(), ask("b", 100, 10)).unwrap().lower_to.as_deref(), Some("later"));

    let mut enforcer = enforcer_with(vec![(
        key(PeriodKind::Day),
        Limit { at_hard: HardLimitAction::Clamp(16), ..limit(1_000) },
    )]);
    assert_eq!(enforcer.admit(noon(), ask("a", 200, 100)).unwrap().output, 100);
    assert_eq!(enforcer.admit(noon(), ask("b", 200, 100)).unwrap().output, 50, "the remaining budget");
    assert_eq!(enforcer.admit(noon(), ask("c", 1, 16)).unwrap_err().reason, DenialReason::BudgetExhausted);
}

#[test]
fn a_class_has_its_own_budget_beside_the_tenants() {
    let of_class = AccountKey { class: Some("report".into()), ..key(PeriodKind::Hour) };
    let mut enforcer =
        enforcer_with(vec![(key(PeriodKind::Day), limit(1_000)), (of_class.clone(), limit(100))]);
    let report = |id| ReservationRequest { class: "report", ..ask(id, 50, 10) };
    assert!(enforcer.admit(noon(), report("a")).is_ok());
    let denial = enforcer.admit(noon(), report("b")).unwrap_err();
    assert_eq!((denial.account, denial.retry_after), (Some(of_class), 3_600 * S));
    assert!(enforcer.admit(noon(), ask("b", 50, 10)).is_ok(), "another class");
    let stranger = ReservationRequest { tenant: "ost", ..ask("c", 1_000_000, 1_000_000) };
    assert!(enforcer.admit(noon(), stranger).is_ok(), "without a budget: admitted and recorded for the bill");
}

#[test]
fn rates_hold_beside_budgets_and_give_back_what_was_not_used() {
    let mut p = plan(vec![], Mode::Shares(2));
    let rate = RateLimit { per_second: Units::tokens(200), burst: Units::tokens(2_000) };
    p.rates.insert("nord".into(), rate);
    let mut enforcer = BudgetEnforcer::new("r1", p, State::default(), noon());
    assert!(enforcer.admit(noon(), ask("a", 200, 200)).is_ok());
    let denial = enforcer.admit(noon(), ask("b", 0, 100)).unwrap_err();
    assert_eq!((denial.reason, denial.retry_after), (DenialReason::RateLimited, 4 * S));
    assert_eq!(enforcer.state().open.len(), 1, "a denial reserves nothing");
    serve(&mut enforcer, noon(), "a", 200, 0, 50);
    assert!(enforcer.admit(noon(), ask("b", 0, 100)).is_ok());
}

#[test]
fn stream_across_periods_is_charged_to_the_period_of_admission() {
    let mut enforcer = enforcer_with(vec![(key(PeriodKind::Day), limit(500))]);
    let before = at("2026-12-01T23:59:59[Europe/Zurich]");
    enforcer.admit(before, ask("a", 100, 100)).unwrap();
    let after = before.after(5 * S);
    enforcer.admit(after, ask("b", 100, 100)).unwrap();
    serve(&mut enforcer, after, "a", 100, 0, 100);
    let used = |day: &str| enforcer.state().usage.get(&key(PeriodKind::Day), at(day));
    let (first, second) = (used("2026-12-01T00:00[Europe/Zurich]"), used("2026-12-02T00:00[Europe/Zurich]"));
    assert_eq!((first.spent, first.reserved), (Units::tokens(500), Units(0)));
    assert_eq!((second.spent, second.reserved), (Units(0), Units::tokens(500)));
}

/// Guards against unbounded growth of the state: only recent periods and those with open reservations are kept.
#[test]
fn old_periods_are_forgotten() {
    let mut enforcer =
        enforcer_with(vec![(key(PeriodKind::Hour), limit(1_000)), (key(PeriodKind::Day), limit(100_000))]);
    enforcer.admit(noon(), ask("stays open", 10, 1)).unwrap();
    for hour in 0..200 {
        let (now, id) = (noon().after(hour * 3_600 * S), format!("q{hour}"));
        enforcer.admit(now, ask(&id, 10, 1)).unwrap();
        serve(&mut enforcer, now, &id, 10, 0, 1);
    }
    // Four periods of each kind, and the two with an open reservation.
    assert_eq!(enforcer.state().usage.iter().count(), 4 + 4 + 2);
    let first = enforcer.reservation("stays open").unwrap().account_periods[0].start;
    assert_eq!(enforcer.state().usage.get(&key(PeriodKind::Hour), first).reserved, Units::tokens(14));
}

#[test]
fn repeated_local_hour_has_two_budgets_and_its_day_one() {
    let mut enforcer =
        enforcer_with(vec![(key(PeriodKind::Hour), limit(500)), (key(PeriodKind::Day), limit(1_000))]);
    let first_hour = at("2026-10-25T02:30+02:00[Europe/Zurich]");
    // The enforcer's ledger is newer than this day, so a second enforcer starts on it.
    let fresh = plan(
        vec![(key(PeriodKind::Hour), limit(500)), (key(PeriodKind::Day), limit(1_000))],
        Mode::Shares(1),
    );
    let mut enforcer_in_october = BudgetEnforcer::new("r1", fresh, State::default(), first_hour);
    assert!(enforcer_in_october.admit(first_hour, ask("a", 100, 100)).is_ok());
    assert_eq!(
        enforcer_in_october.admit(first_hour, ask("b", 100, 100)).unwrap_err().account,
        Some(key(PeriodKind::Hour))
    );
    let second_hour = first_hour.after(3_600 * S);
    assert!(enforcer_in_october.admit(second_hour, ask("b", 100, 100)).is_ok());
    let denial = enforcer_in_october.admit(second_hour.after(3_600 * S), ask("c", 100, 100)).unwrap_err();
    assert_eq!(denial.account, Some(key(PeriodKind::Day)));
    assert!(enforcer.admit(first_hour, ask("a", 100, 100)).is_ok());
    let now = at("2026-12-01T12:00[Europe/Zurich]");
    assert_eq!(
        enforcer.reservation("a").unwrap().account_periods[0].start,
        now,
        "a clock that stepped back opens no old period"
    );
}

fn leased(now: Time) -> BudgetEnforcer {
    let mode = Mode::Leases { epoch: S, routers: 2 };
    BudgetEnforcer::new("r1", plan(vec![(key(PeriodKind::Day), limit(1_000))], mode), State::default(), now)
}

fn grant(number: u64, until: Time, tokens: u64) -> Grant {
    let period = Calendar::new("Europe/Zurich").unwrap().period(PeriodKind::Day, noon());
    let allowance = Allowance {
        key: key(PeriodKind::Day),
        period,
        ceiling: Units::tokens(tokens),
        limit: Units::tokens(1_000),
        elsewhere: Units(0),
    };
    Grant { router: "r1".into(), number, until, allowances: vec![allowance] }
}

#[test]
fn expired_and_older_leases_are_not_adopted() {
    let mut enforcer = leased(noon());
    assert_eq!(enforcer.admit(noon(), ask("a", 1, 1)).unwrap_err().reason, DenialReason::NoLease);
    let until = noon().after(10 * S);
    enforcer.adopt(noon(), &grant(5, until, 300)).unwrap();
    assert!(enforcer.admit(noon(), ask("a", 100, 10)).is_ok());
    let denial = enforcer.admit(noon(), ask("b", 200, 10)).unwrap_err();
    assert_eq!(
        (denial.reason, denial.retry_after),
        (DenialReason::RouterShareExhausted, S),
        "more may be granted next epoch"
    );
    assert_eq!(enforcer.adopt(noon(), &grant(5, until, 900)), Err(AdoptLeaseError::Old));
    assert_eq!(enforcer.adopt(noon(), &grant(4, until, 900)), Err(AdoptLeaseError::Old));
    assert_eq!(enforcer.adopt(until, &grant(6, until, 900)), Err(AdoptLeaseError::Expired));
    let other = Grant { router: "r2".into(), ..grant(7, until, 900) };
    assert_eq!(enforcer.adopt(noon(), &other), Err(AdoptLeaseError::NotOurs));
    // If the ceiling is below the usage, the record names the usage.
    enforcer.adopt(noon(), &grant(6, until, 10)).unwrap();
    let Some((_, Record::Adopted(adopted))) = records(&mut enforcer).pop() else { panic!() };
    assert_eq!(adopted.ceilings[0].ceiling, Units::tokens(140));
    assert_eq!(adopted.demand[0].total, Units::tokens(240));
    enforcer.adopt(noon(), &grant(7, until, 1_000)).unwrap();
    assert!(enforcer.admit(noon().after(9 * S), ask("c", 10, 1)).is_ok());
    assert_eq!(enforcer.admit(until, ask("d", 10, 1)).unwrap_err().reason, DenialReason::NoLease);
    // A clock that steps back does not prolong the lease.
    assert!(serve(&mut enforcer, until.after(S), "a", 100, 0, 1));
    assert_eq!(enforcer.admit(noon(), ask("d", 10, 1)).unwrap_err().reason, DenialReason::NoLease);
    // A restart does not prolong the lease either.
    let mut restarted = BudgetEnforcer::new(
        "r1",
        plan(vec![], Mode::Leases { epoch: S, routers: 2 }),
        enforcer.state().clone(),
        noon(),
    );
    assert_eq!(restarted.adopt(noon(), &grant(7, until.after(60 * S), 900)), Err(AdoptLeaseError::Old));
}

#[test]
fn grants_with_another_key_or_changed_bytes_are_rejected() {
    let key = SigningKey::new(&"ab".repeat(32)).unwrap();
    let g = grant(3, noon(), 10);
    let bytes = key.sign_grant(&g);
    assert_eq!(key.open_grant(&bytes), Ok(g));
    assert_eq!(SigningKey::new(&"ac".repeat(32)).unwrap().open_grant(&bytes), Err(SignatureError::WrongMac));
    assert!(key.open_round(&bytes).is_err(), "a grant is no round");
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(key.open_grant(&changed).is_err(), "byte {at}");
        assert!(key.open_grant(&bytes[..at]).is_err(), "cut at {at}");
    }
    assert!(SigningKey::new("short").is_err());
}

#[test]
fn a_tenant_removed_while_it_streams_is_settled_and_billed() {
    let mut enforcer = enforcer_with(vec![(key(PeriodKind::Day), limit(1_000))]);
    enforcer.admit(noon(), ask("a", 100, 100)).unwrap();
    enforcer.set_plan(plan(vec![], Mode::Shares(1)));
    assert!(serve(&mut enforcer, noon(), "a", 100, 0, 40));
    let account_period = || (key(PeriodKind::Day), at("2026-12-01T00:00[Europe/Zurich]"));
    assert_eq!(enforcer.state().usage.get(&account_period().0, account_period().1).spent, Units::tokens(260));
    // A tenant that is added again keeps its spent units.
    enforcer.set_plan(plan(vec![(key(PeriodKind::Day), limit(300))], Mode::Shares(1)));
    assert_eq!(enforcer.admit(noon(), ask("b", 50, 0)).unwrap_err().reason, DenialReason::BudgetExhausted);
    assert!(enforcer.admit(noon(), ask("b", 40, 0)).is_ok());
}

#[test]
fn nothing_is_admitted_while_the_ledger_is_not_writable() {
    let mut enforcer = enforcer_with(vec![]);
    enforcer.admit(noon(), ask("a", 10, 10)).unwrap();
    enforcer.set_writable(false);
    assert_eq!(enforcer.admit(noon(), ask("b", 10, 10)).unwrap_err().reason, DenialReason::LedgerUnavailable);
    assert_eq!(enforcer.adopt(noon(), &grant(1, noon().after(S), 10)), Err(AdoptLeaseError::NoLedger));
    assert!(serve(&mut enforcer, noon(), "a", 10, 0, 10), "open requests are still settled");
    enforcer.set_writable(true);
    assert!(enforcer.admit(noon(), ask("b", 10, 10)).is_ok());
}

/// After a crash at any record, the state equals the sums of the records and nothing is reserved.
#[test]
fn recovered_usage_equals_the_sums_of_the_records() {
    let mut enforcer = enforcer_with(vec![(key(PeriodKind::Day), limit(100_000))]);
    for i in 0..20_u64 {
        enforcer.admit(noon().after(i), ask(&format!("q{i}"), 10 + i, 5)).unwrap();
        if i % 3 > 0 {
            serve(&mut enforcer, noon().after(i), &format!("q{i}"), 10 + i, i, 2);
        }
        if i == 10 {
            enforcer.checkpoint();
        }
    }
    let all = records(&mut enforcer);
    for cut in 0..=all.len() {
        let mut state = State::default();
        for (n, r) in &all[..cut] {
            state.apply(*n, r);
            assert!(
                !state.apply(*n, r) || matches!(r, Record::Started(_)),
                "a repeated record changes nothing"
            );
        }
        let spent = |s: &State| s.usage.values().map(|h| h.spent).sum::<Units>();
        let before = spent(&state);
        let later = BudgetEnforcer::new("r1", plan(vec![], Mode::Shares(1)), state, noon());
        assert_eq!(spent(later.state()), before, "orphans cost nothing");
        assert!(later.state().open.is_empty());
        assert!(later.state().usage.values().all(|h| h.reserved == Units(0)));
    }
    let mut from_checkpoint = State::default();
    let start = all.iter().position(|(_, r)| matches!(r, Record::State(_))).unwrap();
    for (n, r) in &all[start..] {
        from_checkpoint.apply(*n, r);
    }
    assert_eq!(&from_checkpoint, enforcer.state());
}

/// A successor keeps leases and reservations. Each request of the previous process is settled once: by that
/// process or, after its end, as orphaned.
#[test]
fn a_successor_settles_what_it_took_over_once() {
    let mut old = leased(noon());
    old.adopt(noon(), &grant(3, noon().after(60 * S), 1_000)).unwrap();
    for id in ["a", "b", "c"] {
        old.admit(noon(), ask(id, 10, 10)).unwrap();
    }
    let mode = Mode::Leases { epoch: S, routers: 2 };
    let plan = plan(vec![(key(PeriodKind::Day), limit(1_000))], mode);
    let mut new = BudgetEnforcer::take_over("r1", plan, old.state().clone(), noon());
    assert!(new.admit(noon(), ask("d", 10, 10)).is_ok(), "the lease stays in force");
    let settlement_of = |enforcer: &mut BudgetEnforcer, id: &str| {
        serve(enforcer, noon(), id, 10, 0, 5);
        let Some((_, Record::Settled(s))) = records(enforcer).pop() else { panic!() };
        s
    };
    let a = settlement_of(&mut old, "a");
    assert!(new.settle_inherited(noon(), &a));
    assert!(!new.settle_inherited(noon(), &a), "settled twice");
    let own = Settled { id: "d".into(), ..a.clone() };
    assert!(!new.settle_inherited(noon(), &own), "the old process can't settle requests of the new one");
    new.finish_inheritance(noon());
    assert!(
        !new.settle_inherited(noon(), &settlement_of(&mut old, "b")),
        "no settlements after the end of the old process"
    );
    let ids: Vec<&str> = new.state().open.keys().map(|id| &**id).collect();
    assert_eq!(ids, ["d"]);
    assert_eq!(new.state().usage.values().map(|h| h.spent).sum::<Units>(), Units::tokens(10 + 4 * 5));
}

// ---- Several routers.

struct Cluster {
    enforcers: Vec<BudgetEnforcer>,
    allocator: LeaseAllocator,
    now: Time,
    n: u64,
}

impl Cluster {
    fn new(routers: usize, tokens: u64, leases: bool) -> Self {
        let names: Vec<String> = (0..routers).map(|r| format!("r{r}")).collect();
        let mode = if leases {
            Mode::Leases { epoch: S, routers: routers as u32 }
        } else {
            Mode::Shares(routers as u32)
        };
        let plan = plan(vec![(key(PeriodKind::Day), limit(tokens))], mode);
        let enforcer = |n: &String| BudgetEnforcer::new(n, plan.clone(), State::default(), noon());
        let terms = LeaseTerms { epoch: S, lease: 5 * S, clock_error: 100_000, even_share_divisor: 4 };
        let refs: Vec<&str> = names.iter().map(String::as_str).collect();
        let enforcers = names.iter().map(enforcer).collect();
        Self { enforcers, allocator: LeaseAllocator::new(plan, terms, &refs), now: noon(), n: 0 }
    }

    fn round(&mut self) {
        self.now = self.now.after(S);
        for (i, enforcer) in self.enforcers.iter().enumerate() {
            self.allocator.observe(&format!("r{i}"), self.now, enforcer.state());
        }
        let round = self.allocator.next_round(self.now).unwrap();
        self.allocator.apply_round(&round);
        for grant in &round.grants {
            let i: usize = grant.router[1..].parse().unwrap();
            self.enforcers[i].adopt(self.now, grant).unwrap();
        }
    }

    /// A request that needs 250 to 290 tokens.
    fn ask(&mut self, router: usize) -> bool {
        self.n += 1;
        let id = format!("q{}", self.n);
        let prompt = 50 + self.n % 41;
        let taken = self.enforcers[router].admit(self.now, ask(&id, prompt, 50)).is_ok();
        if taken {
            serve(&mut self.enforcers[router], self.now, &id, prompt, 0, 20 + self.n % 31);
        }
        taken
    }

    fn used(&self) -> u64 {
        self.enforcers
            .iter()
            .flat_map(|enforcer| enforcer.state().usage.values())
            .map(|h| h.used())
            .sum::<Units>()
            .in_tokens()
    }
}

#[test]
fn a_burst_over_sixteen_routers_at_once_stays_within_the_budget() {
    let mut cluster = Cluster::new(16, 20_000, true);
    cluster.round();
    // At one instant each router gets requests for far more than the whole budget.
    for n in 0..16 * 200 {
        cluster.n += 1;
        let id = format!("q{n}");
        let _ = cluster.enforcers[n % 16].admit(cluster.now, ask(&id, 50, 50));
        assert!(cluster.used() <= 20_000);
    }
    for _ in 0..10 {
        cluster.round();
        for n in 0..16 * 20 {
            cluster.ask(n % 16);
        }
        assert!(cluster.used() <= 20_000);
    }
    assert!(cluster.used() >= 18_000, "{}", cluster.used());
}

fn use_after_skewed_traffic(leases: bool) -> u64 {
    let mut cluster = Cluster::new(16, 400_000, leases);
    for _ in 0..120 {
        cluster.round();
        for router in 0..16 {
            // One router gets ten times what the others get.
            for _ in 0..if router == 0 { 40 } else { 4 } {
                cluster.ask(router);
            }
        }
    }
    assert!(cluster.used() <= 400_000);
    cluster.used()
}

#[test]
fn skewed_traffic_still_reaches_the_budget() {
    let used = use_after_skewed_traffic(true);
    assert!(used >= 380_000, "{used}");
}

#[test]
fn traffic_at_one_router_reaches_the_budget_with_leases_but_not_with_equal_shares() {
    let mut used = [0, 0];
    for (leases, used) in [true, false].into_iter().zip(&mut used) {
        let mut cluster = Cluster::new(16, 100_000, leases);
        for _ in 0..60 {
            cluster.round_or_wait(leases);
            for _ in 0..40 {
                cluster.ask(3);
            }
        }
        *used = cluster.used();
    }
    assert!(used[0] >= 90_000 && used[1] <= 100_000 / 16, "{used:?}");
}

impl Cluster {
    fn round_or_wait(&mut self, leases: bool) {
        if leases {
            self.round();
        } else {
            self.now = self.now.after(S);
        }
    }
}

/// Other routers can use the unused units of a crashed router after its lease has expired.
#[test]
fn unused_units_of_a_crashed_router_are_redistributed() {
    let mut cluster = Cluster::new(4, 50_000, true);
    for _ in 0..3 {
        cluster.round();
        for r in 0..4 {
            cluster.ask(r);
        }
    }
    let dead = cluster.enforcers[2].clone();
    for _ in 0..80 {
        cluster.now = cluster.now.after(S);
        for (i, enforcer) in cluster.enforcers.iter().enumerate() {
            cluster.allocator.observe(&format!("r{i}"), cluster.now, enforcer.state());
        }
        let round = cluster.allocator.next_round(cluster.now).unwrap();
        cluster.allocator.apply_round(&round);
        for grant in round.grants.iter().filter(|g| &*g.router != "r2") {
            let i: usize = grant.router[1..].parse().unwrap();
            cluster.enforcers[i].adopt(cluster.now, grant).unwrap();
        }
        for n in 0..30 {
            cluster.ask([0, 1, 3][n % 3]);
        }
    }
    assert!(cluster.used() >= 47_500 && cluster.used() <= 50_000, "{}", cluster.used());
    // With its old lease, the returning router admits nothing.
    cluster.enforcers[2] = dead;
    assert!(!cluster.ask(2));
}

// ---- Bills.

fn reservation_record(id: &str, identity: Option<&str>, class: &str, when: Time) -> Record {
    Record::Reserved(Reservation {
        id: id.into(),
        tenant: "nord".into(),
        class: class.into(),
        identity: identity.map(Into::into),
        at: when,
        amount: Units::tokens(1),
        account_periods: vec![],
    })
}

fn settlement(
    id: &str,
    ending: Ending,
    usage: (u64, u64, u64),
    attempts: (Option<u32>, Option<u32>),
) -> Record {
    let usage = Usage { prompt: usage.0, cached: usage.1, output: usage.2 };
    let (prefill_attempt, answering_attempt) = attempts;
    Record::Settled(Settled {
        id: id.into(),
        at: noon(),
        ending,
        usage,
        cost: Units(0),
        prefill_attempt,
        answering_attempt,
        may_have_run: true,
    })
}

fn engine_record(id: &str, attempt: u32, work: Work, usage: (u64, u64, u64)) -> EngineRecord {
    EngineRecord {
        engine: "e".into(),
        request: id.into(),
        attempt,
        work,
        prompt: usage.0,
        cached: usage.1,
        output: usage.2,
        at: noon(),
    }
}

struct Ledgers {
    biller: Biller,
    n: u64,
}

impl Ledgers {
    fn new() -> Self {
        Self { biller: Biller::default(), n: 0 }
    }
    fn add_records(&mut self, router: &str, records: impl IntoIterator<Item = Record>) {
        for r in records {
            self.n += 1;
            self.biller.record(router, self.n, &r);
        }
    }
    fn bill(self) -> bill::Bill {
        let plan = plan(vec![], Mode::Shares(1));
        let (_, december) = plan.calendar.parse_period("2026-12").unwrap();
        self.biller.bill(&plan, december)
    }
}

fn causes(bill: &bill::Bill) -> Vec<(&str, Cause, u64)> {
    bill.differences.iter().map(|d| (&*d.request, d.cause, d.tokens)).collect()
}

#[test]
fn a_bill_agrees_with_the_engines_to_the_token() {
    let mut b = Ledgers::new();
    let two = (Some(0), Some(1));
    b.add_records(
        "r1",
        [reservation_record("a", None, "help", noon()), settlement("a", Ending::Served, (100, 20, 30), two)],
    );
    b.biller.work(engine_record("a", 0, Work::Prefill, (100, 20, 1)));
    b.biller.work(engine_record("a", 1, Work::Decode, (100, 100, 30)));
    b.add_records(
        "r2",
        [
            reservation_record("b", None, "help", noon()),
            settlement("b", Ending::Served, (50, 0, 5), (None, Some(0))),
        ],
    );
    b.biller.work(engine_record("b", 0, Work::Combined, (50, 0, 5)));
    let bill = b.bill();
    assert_eq!((bill.engine_tokens, bill.billed_tokens), (185, 185));
    assert_eq!((bill.explained_tokens, bill.unexplained_tokens, bill.differences.len()), (0, 0, 0));
    let line =
        &bill.lines[&LineKey { tenant: "nord".into(), class: "help".into(), day: "2026-12-01".into() }];
    let price = 130 * 400 + 20 * 30 + 35 * 1_500;
    let usage = Usage { prompt: 150, cached: 20, output: 35 };
    let expected =
        BillLine { requests: 2, usage, price_millionths: Some(price), currency: Some("Rp".into()) };
    assert_eq!(line, &expected);
    assert_eq!(bill::round_to_smallest_unit(499_999) + bill::round_to_smallest_unit(500_000), 1);
}

#[test]
fn each_ending_is_billed_or_listed_with_its_cause() {
    let mut b = Ledgers::new();
    let whole = (None, Some(0));
    let none = (None, None);
    let both = |id: &str, identity, ending, usage, attempts| {
        [reservation_record(id, identity, "help", noon()), settlement(id, ending, usage, attempts)]
    };
    b.add_records("r1", both("broken", None, Ending::Broken, (0, 0, 0), none));
    b.biller.work(engine_record("broken", 0, Work::Combined, (10, 0, 7)));
    // The client left after the router had counted 3 tokens; the engine had generated 5.
    b.add_records("r1", both("left", None, Ending::Left, (11, 0, 3), whole));
    b.biller.work(engine_record("left", 0, Work::Combined, (12, 2, 5)));
    b.add_records("r1", both("early", None, Ending::LeftEarly, (0, 0, 0), none));
    b.biller.work(engine_record("early", 0, Work::Prefill, (13, 0, 1)));
    b.add_records("r1", both("failed", None, Ending::Failed, (0, 0, 0), none));
    b.biller.work(engine_record("failed", 0, Work::Combined, (14, 0, 0)));
    // The prefill result was lost, so a second attempt computed the prompt again.
    b.add_records("r1", both("again", None, Ending::Served, (15, 0, 2), (Some(2), Some(3))));
    b.biller.work(engine_record("again", 0, Work::Prefill, (15, 8, 1)));
    b.biller.work(engine_record("again", 2, Work::Prefill, (15, 0, 1)));
    b.biller.work(engine_record("again", 3, Work::Decode, (15, 15, 2)));
    // The router crashed between the end of the answer and its settlement.
    b.add_records("r1", both("orphan", None, Ending::Orphaned, (0, 0, 0), none));
    b.biller.work(engine_record("orphan", 0, Work::Combined, (16, 0, 9)));
    // The same idempotency key at two routers.
    b.add_records("r1", both("first", Some("k"), Ending::Served, (17, 0, 1), whole));
    b.add_records("r2", both("second", Some("k"), Ending::Served, (17, 0, 1), whole));
    b.biller.work(engine_record("first", 0, Work::Combined, (17, 0, 1)));
    b.biller.work(engine_record("second", 0, Work::Combined, (17, 0, 1)));
    b.add_records("r2", both("refused", None, Ending::Refused, (0, 0, 0), none));
    let bill = b.bill();
    let mut got = causes(&bill);
    got.sort();
    let expected = [
        ("again", Cause::AttemptLost, 15),
        ("broken", Cause::Broken, 17),
        ("early", Cause::LeftEarly, 13),
        ("failed", Cause::Failed, 14),
        ("orphan", Cause::Orphaned, 25),
        ("second", Cause::Repeated, 18),
    ];
    assert_eq!(got, expected);
    assert_eq!(bill.billed_tokens, 17 + 17 + 18);
    assert_eq!((bill.unexplained_tokens, bill.explained_tokens), (0, 102));
    assert_eq!(bill.engine_tokens, bill.billed_tokens + bill.explained_tokens);
    assert_eq!(bill.lines.values().map(|l| l.requests).sum::<u64>(), 3);
}

#[test]
fn missing_or_wrong_records_are_unexplained() {
    let mut b = Ledgers::new();
    let whole = (None, Some(0));
    b.add_records(
        "r1",
        [
            reservation_record("gone", None, "help", noon()),
            settlement("gone", Ending::Served, (10, 0, 1), whole),
        ],
    );
    b.add_records(
        "r1",
        [
            reservation_record("off", None, "help", noon()),
            settlement("off", Ending::Served, (10, 0, 4), whole),
        ],
    );
    b.biller.work(engine_record("off", 0, Work::Combined, (10, 0, 1)));
    b.biller.work(engine_record("unknown", 0, Work::Combined, (7, 0, 1)));
    let bill = b.bill();
    let expected = [
        ("gone", Cause::NoEngineRecord, 11),
        ("off", Cause::Mismatch, 3),
        ("unknown", Cause::NoReservation, 8),
    ];
    assert_eq!(causes(&bill), expected);
    assert_eq!(bill.unexplained_tokens, 22);
}

#[test]
fn ledgers_and_engine_records_fed_twice_or_in_any_order_bill_once() {
    let mut b = Ledgers::new();
    let records = [
        reservation_record("a", None, "help", noon()),
        settlement("a", Ending::Served, (10, 0, 1), (None, Some(0))),
    ];
    for _ in 0..2 {
        b.biller.record("r1", 2, &records[1]);
        b.biller.record("r1", 1, &records[0]);
        b.biller.work(engine_record("a", 0, Work::Combined, (10, 0, 1)));
    }
    // A request admitted in November is on November's bill. An open request is on no bill.
    let november = at("2026-11-30T23:59:59[Europe/Zurich]");
    b.add_records(
        "r3",
        [
            reservation_record("old", None, "help", november),
            settlement("old", Ending::Served, (5, 0, 1), (None, Some(0))),
        ],
    );
    b.biller.work(engine_record("old", 0, Work::Combined, (5, 0, 1)));
    b.add_records("r3", [reservation_record("open", None, "help", noon())]);
    let bill = b.bill();
    assert_eq!((bill.billed_tokens, bill.unexplained_tokens, bill.open), (11, 0, 1));
    assert_eq!(causes(&bill), [("old", Cause::OtherPeriod, 6)]);
}
