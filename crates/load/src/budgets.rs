//! What budgets cost: decisions, the ledger, recovery, and a router with and without them.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use chalkyard_api::keys::KeyRing;
use chalkyard_budget::{
    AccountKey, AccountPeriod, Allowance, BilledAttempts, BudgetEnforcer, Calendar, Ending, Grant,
    HardLimitAction, Limit, Mode, PeriodKind, Plan, RateLimit, Record, Reservation, ReservationRequest,
    Settled, SoftLimitAction, State, Time, Units, Usage, Weights,
};
use chalkyard_ledger::{read, DirectoryVolume, Limits, Volume, Writer};
use hdrhistogram::Histogram;

use crate::clients::{self, Style};
use crate::{free, settings, Error, Pinned};

const NOW: Time = Time(1_796_100_000_000_000);

fn plan(tenants: usize) -> Plan {
    plan_for(tenants, 16, 1_000_000)
}

/// Two budgets and a rate for each of so many tenants, shared by leases.
pub fn plan_for(tenants: usize, routers: u32, epoch: u64) -> Plan {
    let (mut limits, mut rates) = (BTreeMap::new(), BTreeMap::new());
    for i in 0..tenants {
        let tenant: Box<str> = format!("tenant-{i:05}").into();
        for kind in [PeriodKind::Day, PeriodKind::Month] {
            let key = AccountKey { tenant: tenant.clone(), class: None, kind };
            let limit = Limit {
                hard: Units::tokens(1_000_000_000),
                soft: 800,
                at_soft: SoftLimitAction::Warn,
                at_hard: HardLimitAction::Refuse,
                marks: vec![800, 950],
            };
            limits.insert(key, limit);
        }
        let rate =
            RateLimit { per_second: Units::tokens(1_000_000_000), burst: Units::tokens(1_000_000_000) };
        rates.insert(tenant, rate);
    }
    Plan {
        calendar: Calendar::new("Europe/Zurich").unwrap_or_default(),
        weights: Weights::default(),
        limits,
        rates,
        margin: 100,
        mode: Mode::Leases { epoch, routers },
        prices: Vec::new(),
    }
}

fn micros(h: &Histogram<u64>, q: f64) -> f64 {
    h.value_at_quantile(q) as f64 / 1e3
}

/// Decisions of one router with many tenants, each with two budgets and a rate, under leases.
fn decisions(tenants: usize, requests: u64) -> Result<(), Error> {
    let plan = plan(tenants);
    let allowance = |key: &AccountKey| Allowance {
        key: key.clone(),
        period: plan.calendar.period(key.kind, NOW),
        ceiling: Units::tokens(900_000_000),
        limit: Units::tokens(1_000_000_000),
        elsewhere: Units::tokens(1),
    };
    let allowances = plan.limits.keys().map(allowance).collect();
    let mut enforcer = BudgetEnforcer::new("r1", plan.clone(), State::default(), NOW);
    let grant = Grant { router: "r1".into(), number: 1, until: Time(u64::MAX), allowances };
    let start = Instant::now();
    enforcer.adopt(NOW, &grant).map_err(|e| format!("{e:?}"))?;
    println!(
        "lease of {} budgets taken in {:.1} ms",
        grant.allowances.len(),
        start.elapsed().as_secs_f64() * 1e3
    );
    let (mut admit, mut settle) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let mut draw = 88_172_645_463_325_252_u64;
    let mut refused = 0_u64;
    for n in 0..requests {
        // xorshift: which tenant asks next.
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        let tenant = format!("tenant-{:05}", draw % tenants as u64);
        let id = format!("r1-64a-{n:x}");
        let request = ReservationRequest {
            id: &id,
            tenant: &tenant,
            class: "help",
            identity: None,
            prompt: 900,
            output: 400,
        };
        let start = Instant::now();
        let taken = enforcer.admit(NOW.after(n), request);
        admit.record(start.elapsed().as_nanos() as u64)?;
        refused += u64::from(taken.is_err());
        let usage = Usage { prompt: 910, cached: 64, output: 120 };
        let attempts = BilledAttempts { prefill: Some(0), answering: Some(1) };
        let start = Instant::now();
        enforcer.settle(NOW.after(n), &id, Ending::Served, usage, attempts, true);
        settle.record(start.elapsed().as_nanos() as u64)?;
        enforcer.take_records().for_each(drop);
    }
    println!(
        "{requests} requests of {tenants} tenants, {refused} refused; decision µs: p50 {:.2}, p99 {:.2}, p99.9 {:.2}; settlement µs: p50 {:.2}, p99 {:.2}",
        micros(&admit, 0.5),
        micros(&admit, 0.99),
        micros(&admit, 0.999),
        micros(&settle, 0.5),
        micros(&settle, 0.99)
    );
    Ok(())
}

fn pair(n: u64) -> [Record; 2] {
    let id: Box<str> = format!("r1-64a3c2b1f-{n:x}").into();
    let at = NOW.after(n * 50);
    let slot = |kind| AccountPeriod { class: None, kind, start: NOW };
    let usage = Usage { prompt: 910, cached: 64, output: 120 };
    [
        Record::Reserved(Reservation {
            id: id.clone(),
            tenant: format!("tenant-{:05}", n % 10_000).into(),
            class: "help".into(),
            identity: Some(format!("k{n}").into()),
            at,
            amount: Units::tokens(1_300),
            account_periods: vec![slot(PeriodKind::Day), slot(PeriodKind::Month)],
        }),
        Record::Settled(Settled {
            id,
            at,
            ending: Ending::Served,
            usage,
            cost: Units::tokens(1_030),
            prefill_attempt: Some(0),
            answering_attempt: Some(1),
            may_have_run: true,
        }),
    ]
}

fn is_checkpoint(record: &Record) -> bool {
    matches!(record, Record::State(_))
}

fn open(folder: &Path) -> Result<Writer<DirectoryVolume>, Error> {
    let limits = Limits { segment_bytes: 64 * 1024 * 1024, ..Limits::default() };
    Ok(Writer::open(DirectoryVolume::writer(folder)?, limits, is_checkpoint, |_, _: Record| {})?.writer)
}

/// Settlements a second, with so many requests a turn of the loop, and syncing beside every 50 ms.
fn settlements(folder: &Path, a_turn: u64, seconds: u64) -> Result<f64, Error> {
    let mut writer = open(folder)?;
    let (start, mut synced, mut n) = (Instant::now(), Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(seconds) {
        for _ in 0..a_turn {
            for record in pair(n) {
                writer.append(&record)?;
            }
            n += 1;
        }
        writer.flush()?;
        if synced.elapsed() > Duration::from_millis(50) {
            synced = Instant::now();
            writer.sync()?;
        }
    }
    Ok(n as f64 / start.elapsed().as_secs_f64())
}

/// Writes so many records as a router would, and recovers from all of them, and from the last checkpoint.
fn recovery(folder: &Path, records: u64) -> Result<(), Error> {
    let mut writer = open(folder)?;
    let mut state = State::default();
    for n in 0..records / 2 {
        for record in pair(n) {
            let number = writer.append(&record)?;
            state.apply(number, &record);
        }
        if n % 64 == 0 {
            writer.flush()?;
            if writer.wants_rotation() {
                writer.rotate(&Record::State(Box::new(state.clone())))?;
            }
        }
    }
    writer.flush()?;
    drop(writer);
    let volume = DirectoryVolume::reader(folder);
    let mut names = volume.list()?;
    names.retain(|n| chalkyard_ledger::segment_number(n).is_some());
    let bytes: u64 =
        names.iter().filter_map(|n| std::fs::metadata(folder.join(n)).ok()).map(|m| m.len()).sum();
    let (mut whole, start) = (State::default(), Instant::now());
    let report = read(&volume, &names, |n, r| {
        whole.apply(n, &r);
    })?;
    println!(
        "recovery from all {} records ({} MiB, {} segments): {:.2} s",
        report.records,
        bytes / 1024 / 1024,
        names.len(),
        start.elapsed().as_secs_f64()
    );
    let (mut last, start) = (State::default(), Instant::now());
    let opened = Writer::open(DirectoryVolume::writer(folder)?, Limits::default(), is_checkpoint, |n, r| {
        last.apply(n, &r);
    })?;
    println!(
        "recovery from the last checkpoint ({} records): {:.2} s; sums alike: {}",
        opened.report.records,
        start.elapsed().as_secs_f64(),
        last.usage == whole.usage
    );
    Ok(())
}

fn tenants() -> String {
    let salt = "00".repeat(32);
    let hash = KeyRing::new([0; 32]).hash(clients::KEY);
    format!(r#"<tenants salt="{salt}"><tenant name="nord"><key hash="{hash}"/></tenant></tenants>"#)
}

/// Two-stage requests a second of a router with budgets over one without, by turns.
fn routers(
    program: &PathBuf,
    folder: &Path,
    seconds: u64,
    connections: usize,
    rounds: u64,
) -> Result<(), Error> {
    let own = std::env::current_exe()?;
    let engine = free()?;
    let _engines = Pinned::start(&own, &["engines", &engine.to_string()], engine, "1")?;
    let (mut ratios, mut costs) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        let mut rates = Vec::new();
        let mut cpu = Vec::new();
        for with in [false, true] {
            let at = free()?;
            let ledger = folder.join(format!("ledger-{round}"));
            let budgets = format!(
                r#"<budgets ledger="{}" zone="Europe/Zurich"><budget tenant="nord" period="day" tokens="9000000000000" marks="0.8"/><budget tenant="nord" class="help" period="month" tokens="9000000000000"/></budgets>"#,
                ledger.display()
            );
            let file = folder.join("r1.xml");
            let parts = tenants() + if with { &budgets } else { "" };
            std::fs::write(&file, settings(at, engine, &parts))?;
            let router = Pinned::start(program, &["run", file.to_str().ok_or("path")?], at, "0")?;
            let plan = clients::Plan { style: Style::Messages, events: 2, rate: None, seconds, connections };
            let before = router.used()?;
            let outcome = clients::run(at, &plan)?;
            let after = router.used()?;
            let per = |ticks: u64| ticks as f64 * 10_000.0 / outcome.requests.max(1) as f64;
            println!(
                "{}: {:.0} requests a second, CPU µs a request: user {:.1}, system {:.1}; not answered {}",
                if with { "with budgets" } else { "without" },
                outcome.rate(),
                per(after.0 - before.0),
                per(after.1 - before.1),
                outcome.failed
            );
            rates.push(outcome.rate());
            cpu.push(per(after.0 + after.1 - before.0 - before.1));
        }
        if let [without, with] = rates[..] {
            ratios.push(with / without.max(1e-9));
        }
        if let [without, with] = cpu[..] {
            costs.push(without / with.max(1e-9));
        }
    }
    let median = |list: &mut Vec<f64>| {
        list.sort_by(f64::total_cmp);
        list.get(list.len() / 2).copied().unwrap_or(0.0)
    };
    println!(
        "router with budgets over without, requests a second: median {:.3} of {ratios:.3?}",
        median(&mut ratios)
    );
    println!("and requests a CPU second: median {:.3} of {costs:.3?}", median(&mut costs));
    Ok(())
}

/// All of it.
pub fn run(program: &PathBuf, seconds: u64, connections: usize, records: u64) -> Result<(), Error> {
    let folder = std::env::temp_dir().join(format!("chalkyard-load-budgets-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let done = (|| {
        decisions(10_000, 1_000_000)?;
        for a_turn in [1, 8, 64] {
            let rate = settlements(&folder.join(format!("turn-{a_turn}")), a_turn, seconds)?;
            println!("ledger, {a_turn} requests a turn: {rate:.0} settlements a second");
        }
        routers(program, &folder, seconds, connections, 9)?;
        recovery(&folder.join("recovery"), records)
    })();
    std::fs::remove_dir_all(&folder)?;
    done
}
