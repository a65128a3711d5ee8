//! The settlement job over all routers and tenants, and what its leases cost a router.

use std::collections::BTreeMap;
use std::time::Instant;

use chalkyard_budget::{
    BilledAttempts, BudgetEnforcer, Ending, Grant, LeaseAllocator, LeaseTerms, ReservationRequest,
    SigningKey, State, Time, Usage,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::figure::{Figure, Value};
use super::size::{Size, REQUESTS_PER_S};
use crate::budgets::plan_for;
use crate::{Error, ALLOCATOR};

const START: Time = Time(1_796_100_000_000_000);
/// As the settings' defaults.
const EPOCH_US: u64 = 1_000_000;
const TERMS: LeaseTerms =
    LeaseTerms { epoch: EPOCH_US, lease: 10_000_000, clock_error: 250_000, even_share_divisor: 4 };
/// Rounds after the first, which names everything.
const ROUNDS: usize = 2;

/// One router's budgets: a real enforcer.
struct Member {
    name: String,
    enforcer: BudgetEnforcer,
}

/// Measures a few rounds with the requests of an epoch between them.
pub fn measure(size: &Size, seed: u64) -> Result<Vec<Value>, Error> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let key = SigningKey::new(&"7".repeat(64))?;
    let plan = plan_for(size.tenants, size.routers as u32, EPOCH_US);
    let names: Vec<String> = (0..size.routers).map(|n| format!("r{n}")).collect();
    let before = ALLOCATOR.allocated();
    let mut allocator =
        LeaseAllocator::new(plan.clone(), TERMS, &names.iter().map(String::as_str).collect::<Vec<_>>());
    let mut members: Vec<Member> = names
        .iter()
        .map(|name| Member {
            name: name.clone(),
            enforcer: BudgetEnforcer::new(name, plan.clone(), State::default(), START),
        })
        .collect();
    let (mut first, mut later) = (Vec::new(), Vec::new());
    let (mut decided, mut taken) = (Vec::new(), Vec::new());
    for round in 0..=ROUNDS {
        let now = START.after(EPOCH_US * (round as u64 + 1));
        for member in &members {
            allocator.observe(&member.name, now, member.enforcer.state());
        }
        let start = Instant::now();
        let stands = allocator.next_round(now).map_err(|fork| fork.to_string())?;
        decided.push(start.elapsed().as_secs_f64());
        allocator.apply_round(&stands);
        let grants: BTreeMap<&str, &Grant> = stands.grants.iter().map(|g| (&*g.router, g)).collect();
        for member in &mut members {
            let grant = grants.get(member.name.as_str()).ok_or("a router without a grant")?;
            let signed = key.sign_grant(grant);
            let of_round = if round == 0 { &mut first } else { &mut later };
            of_round.push(signed.len() as f64);
            taken.push(take(member, &key, &signed, now)?);
            ask_for_an_epoch(member, size, now, &mut random);
        }
    }
    let memory = ALLOCATOR.allocated() - before;
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    Ok(vec![
        Value::new(Figure::LeaseBytes, most(&later) / (EPOCH_US as f64 / 1e6)),
        Value::new(Figure::LeaseFirstBytes, most(&first) / 1e6),
        Value::new(Figure::LeaseRoundTime, most(&decided)),
        Value::new(Figure::LeaseTakeTime, most(&taken) * 1e3),
        Value::new(Figure::LeaseMemory, memory as f64 / 1e6),
    ])
}

fn take(member: &mut Member, key: &SigningKey, signed: &[u8], now: Time) -> Result<f64, Error> {
    let start = Instant::now();
    let grant: Grant = key.open_grant(signed).map_err(|e| e.to_string())?;
    member.enforcer.adopt(now, &grant).map_err(|e| format!("{e:?}"))?;
    Ok(start.elapsed().as_secs_f64())
}

fn ask_for_an_epoch(member: &mut Member, size: &Size, now: Time, random: &mut ChaCha8Rng) {
    for n in 0..REQUESTS_PER_S as u64 {
        let tenant = format!("tenant-{:05}", random.random_range(0..size.tenants));
        let id = format!("{}-{}-{n}", member.name, now.0);
        let at = now.after(n);
        let request = ReservationRequest {
            id: &id,
            tenant: &tenant,
            class: "help",
            identity: None,
            prompt: 900,
            output: 400,
        };
        if member.enforcer.admit(at, request).is_ok() {
            let usage = Usage { prompt: 910, cached: 64, output: 120 };
            let attempts = BilledAttempts { prefill: Some(0), answering: Some(1) };
            member.enforcer.settle(at, &id, Ending::Served, usage, attempts, true);
        }
    }
    // The ledger's part, which nobody reads here.
    member.enforcer.take_records().for_each(drop);
}
