//! The scenarios of the kit: what stands there, and which faults strike when.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{BudgetSpec, EngineSpec, Fault, Kind, Scenario, Sharing, TenantSpec};
use crate::engine::{EngineModel, Role};
use crate::record::{Class, RetrySafety, RuleLimits};

pub(super) const S: u64 = 1_000_000;

/// What an engine of a role is like in the kit's scenarios.
pub fn model(role: Role) -> EngineModel {
    let (slots, queue, memory, capacity_per_s) = match role {
        Role::Prefill => (6, 30, 200_000, 14.0),
        Role::Decode => (40, 20, 120_000, 25.0),
        Role::Combined => (30, 20, 160_000, 10.0),
    };
    let (prefill_per_s, step_us, per_answer_us) = match role {
        Role::Prefill => (16_000.0, 8_000.0, 0.0),
        Role::Decode => (7_000.0, 14_000.0, 150.0),
        Role::Combined => (9_000.0, 14_000.0, 150.0),
    };
    EngineModel { role, slots, queue, memory, prefill_per_s, step_us, per_answer_us, capacity_per_s }
}

/// A small fleet without faults; `length` in µs.
pub fn base(name: &str, seed: u64, length: u64) -> Scenario {
    let roles = [
        ("read-a1", Role::Prefill, 1),
        ("read-a2", Role::Prefill, 1),
        ("read-b1", Role::Prefill, 2),
        ("write-a1", Role::Decode, 1),
        ("write-a2", Role::Decode, 1),
        ("write-b1", Role::Decode, 2),
        ("write-b2", Role::Decode, 2),
        ("mixed-b1", Role::Combined, 2),
    ];
    let engines = roles.iter().map(|(id, role, cell)| EngineSpec {
        id: (*id).into(),
        cell: *cell,
        model: model(*role),
    });
    let class = |name: &str, effect, window, aim, deadline, worth| Class {
        name: name.into(),
        retry_safety: effect,
        deduplication_window_us: window,
        latency_objective_us: aim,
        latency_objective_per_1000_us: 60_000,
        token_objective_us: 60_000,
        priority_weight: worth,
        deadline_us: deadline,
    };
    Scenario {
        name: name.into(),
        seed,
        length,
        routers: 3,
        engines: engines.collect(),
        classes: vec![
            class("help", RetrySafety::Idempotent, 0, S, 5 * S, 1.0),
            class("report", RetrySafety::NonIdempotent, 0, 2 * S, 8 * S, 2.0),
            class("lookup", RetrySafety::Deduplicated, 4 * S, S, 5 * S, 1.0),
        ],
        shares: vec![0.6, 0.25, 0.15],
        rate: 18.0,
        discovery_delay: 1_500_000,
        limits: RuleLimits {
            slack_us: 100_000,
            release_us: S,
            grace_us: S,
            fall_multiple: 3.0,
            fall_us: 2 * S,
            cold_from: 0.3,
            cold_us: 8 * S,
            noise_us: 300_000,
        },
        faults: Vec::new(),
        extra_token_permille: 0,
        budgets: None,
        impatient: 0.0,
        max_attempts: 3,
        favourite: None,
        separate_addresses: false,
        configured_routers: None,
        clock_skew: 0,
    }
}

/// What becomes of the routers in the restart scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restarts {
    /// They run on.
    None,
    /// Successors take over, one after the other, all of them several times.
    HandOvers,
    /// They are killed instead, and start again.
    Kills,
}

/// The restart scenario: four routers, each replaced every few seconds, while one engine drains, one restarts cold and
/// clients leave.
pub fn restart_scenario(seed: u64, seconds: u64, restarts: Restarts) -> Scenario {
    let mut scenario = base("restart-afternoon", seed, seconds * S);
    scenario.routers = 4;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engine = rng.random_range(3..7);
    let mut fault = |kind, at: u64, len: u64, on: Vec<usize>, size: f64| {
        scenario.faults.push(Fault { kind, at, len, on, size, links: None });
    };
    let length = seconds * S;
    fault(Kind::Drain, length / 5, length / 8, vec![engine], 0.0);
    fault(Kind::Crash, length / 2, length / 10, vec![(engine + 1) % 8], 0.0);
    fault(Kind::GiveUp, length / 3, length / 4, Vec::new(), 0.1);
    let mut at = 2 * S;
    let mut turn = rng.random_range(0..4);
    while at + 2 * S < length {
        let router = turn % 4;
        match restarts {
            Restarts::None => {}
            Restarts::HandOvers => {
                fault(Kind::HandOver, at, 0, vec![router], 0.0);
                fault(Kind::Reload, at + S / 2, 0, vec![(router + 1) % 4, (router + 2) % 4], 0.0);
            }
            Restarts::Kills => fault(Kind::BalancerRoll, at, S / 5, vec![router], 1.0),
        }
        (at, turn) = (at + S + rng.random_range(0..S / 2), turn + 1);
    }
    scenario.faults.sort_by_key(|f| f.at);
    scenario
}

/// A scenario of budgets: sixteen routers, bursting tenants, kills of routers and of the settlement job.
pub fn budgets(seed: u64, seconds: u64, sharing: Sharing) -> Scenario {
    let mut scenario = base("budgets", seed, seconds * S);
    scenario.routers = 16;
    scenario.rate = 60.0;
    scenario.extra_token_permille = 180;
    for e in &mut scenario.engines {
        (e.model.slots, e.model.queue) = (e.model.slots * 2, e.model.queue * 4);
    }
    // Somewhat less than each tenant will ask for, so that what strands shows: conversations grow with the scenario.
    let each = (160 + 5 * seconds).min(330);
    let tokens = |share: f64| (seconds as f64 * scenario.rate * share) as u64 * each;
    let tenant = |name, key, share, limited: bool| TenantSpec {
        name,
        key,
        share,
        tokens: limited.then(|| tokens(share)),
    };
    let tenants = vec![
        tenant("nord", "key-of-nord", 0.5, true),
        tenant("sued", "key-of-sued", 0.3, true),
        tenant("ost", "key-of-ost", 0.2, false),
    ];
    scenario.budgets = Some(BudgetSpec { sharing, tenants, skew: 10.0, margin: 100 });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = [
        (Kind::Volley, 0.04, 0.0, 96.0),
        (Kind::BalancerRoll, 0.15, 0.06, 3.0),
        (Kind::SettlementKilled, 0.25, 0.08, 0.0),
        (Kind::AnswerLost, 0.30, 0.20, 0.3),
        (Kind::GiveUp, 0.35, 0.20, 0.2),
        (Kind::Volley, 0.45, 0.0, 96.0),
        (Kind::BalancerRoll, 0.50, 0.06, 4.0),
        (Kind::SettlementKilled, 0.52, 0.08, 0.0),
        (Kind::Crash, 0.60, 0.08, 0.0),
    ];
    play(&mut scenario, &mut rng, &plan);
    scenario
}

/// Most of the faults, overlapping; times as shares of the scenario, so that it can be shortened.
pub(super) fn bad_day(seed: u64, seconds: u64) -> Scenario {
    let mut scenario = base("bad-day", seed, seconds * S);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = [
        (Kind::Crash, 0.06, 0.08, 0.0),
        (Kind::HotKey, 0.08, 0.15, 0.25),
        (Kind::Slow, 0.12, 0.18, 4.0),
        (Kind::BalancerRoll, 0.16, 0.02, 1.0),
        (Kind::FastErrors, 0.22, 0.10, 0.8),
        (Kind::GiveUp, 0.25, 0.15, 0.15),
        (Kind::AnswerLost, 0.28, 0.15, 0.5),
        (Kind::HeavyTail, 0.32, 0.20, 8.0),
        (Kind::StaleList, 0.36, 0.15, 0.0),
        (Kind::Crash, 0.38, 0.06, 0.0),
        (Kind::Pauses, 0.42, 0.15, 0.3),
        (Kind::Drain, 0.45, 0.12, 0.0),
        (Kind::OriginSlow, 0.48, 0.15, 6.0),
        (Kind::Hang, 0.52, 0.08, 0.0),
        (Kind::ReportLate, 0.55, 0.15, 0.0),
        (Kind::Burst, 0.58, 0.08, 2.0),
        (Kind::MassRestart, 0.62, 0.04, 0.0),
        (Kind::BalancerRoll, 0.66, 0.03, 2.0),
        (Kind::Flush, 0.72, 0.01, 0.0),
        (Kind::SlowClients, 0.74, 0.12, 0.1),
        (Kind::Ageing, 0.76, 0.16, 5.0),
    ];
    play(&mut scenario, &mut rng, &plan);
    scenario
}

/// Adds faults: kind, beginning and length as shares of the scenario, size. Each begins a little earlier or later.
fn play(scenario: &mut Scenario, rng: &mut ChaCha8Rng, plan: &[(Kind, f64, f64, f64)]) {
    let length = scenario.length as f64;
    for (kind, at, len, size) in plan.iter().copied() {
        let at = (at + rng.random_range(-0.02..0.02)).max(0.03);
        let on = choose_targets(kind, size, scenario, rng);
        scenario.faults.push(Fault {
            kind,
            at: (at * length) as u64,
            len: (len * length) as u64,
            on,
            size,
            links: None,
        });
    }
    scenario.faults.sort_by_key(|f| f.at);
}

/// Whom a fault strikes: one engine, all of a role in a restart of a whole kind, or some routers.
pub(super) fn choose_targets(kind: Kind, size: f64, scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<usize> {
    match kind {
        Kind::MassRestart => {
            let role = if rng.random_bool(0.5) { Role::Prefill } else { Role::Decode };
            (0..scenario.engines.len())
                .filter(|i| scenario.engines.get(*i).is_some_and(|e| e.model.role == role))
                .collect()
        }
        Kind::Flush => (0..scenario.engines.len()).collect(),
        Kind::BalancerRoll => {
            let first = rng.random_range(0..scenario.routers);
            (0..(size as usize).clamp(1, scenario.routers)).map(|i| (first + i) % scenario.routers).collect()
        }
        k if k.on_engines() => vec![rng.random_range(0..scenario.engines.len())],
        _ => Vec::new(),
    }
}
