//! Small-scope exploration of the lease protocol with the production code: all orders of ticks, requests,
//! settlements, rounds with any view of the ledgers, and deliveries (lost, duplicated, late, reordered). Routers
//! crash, restart or lose their last records, and two settlement jobs run at once.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::*;

const START: u64 = 1_796_083_200_000_000;
/// A budget so small that it is leased out at once. Each shift between routers must take back a ceiling.
const BUDGET: u64 = 2;
const ROUTERS: [&str; 2] = ["r1", "r2"];

fn plan(mode: Mode) -> Plan {
    let key = AccountKey { tenant: "t".into(), class: None, kind: PeriodKind::Day };
    let limit = Limit {
        hard: Units(BUDGET),
        soft: 1_000,
        at_soft: SoftLimitAction::Warn,
        at_hard: HardLimitAction::Refuse,
        marks: vec![],
    };
    Plan {
        calendar: Calendar::new("UTC").unwrap(),
        weights: Weights { prompt: 1, cached: 1, output: 0 },
        limits: BTreeMap::from([(key, limit)]),
        rates: BTreeMap::new(),
        margin: 0,
        mode,
        prices: Vec::new(),
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Scope {
    depth: usize,
    ticks: u64,
    rounds: usize,
    requests: u32,
    crashes: u32,
    /// Number of last records that a crash loses.
    lost_records: usize,
    /// How far the second router's clock is behind. `clock_error` is what the settlement job allows for.
    clock_lag: u64,
    clock_error: u64,
    /// If set, each settlement job has its own journal after this many rounds; otherwise both share one.
    fork_at: Option<usize>,
}

#[derive(Clone)]
struct World {
    now: u64,
    enforcers: Vec<BudgetEnforcer>,
    /// All records in the ledger of each router.
    ledgers: Vec<Vec<(u64, Record)>>,
    /// Units actually used at each router, independent of the ledgers.
    actual_use: Vec<u64>,
    allocators: Vec<LeaseAllocator>,
    journals: Vec<Vec<Round>>,
    requests: u32,
    crashes: u32,
    forks_seen: u32,
    /// Units in records that power failures lost.
    forgettable: u64,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Tick,
    Request(usize),
    Settle(usize, bool),
    Deliver(usize, usize, usize),
    Crash(usize),
    Round(usize, usize),
}

impl Step {
    fn kind(self) -> usize {
        match self {
            Self::Tick => 0,
            Self::Request(_) => 1,
            Self::Settle(..) => 2,
            Self::Deliver(..) => 3,
            Self::Crash(_) => 4,
            Self::Round(..) => 5,
        }
    }
}

impl World {
    fn new(scope: &Scope) -> Self {
        let mode = Mode::Leases { epoch: 1, routers: 2 };
        let enforcer = |name: &&str| BudgetEnforcer::new(name, plan(mode), State::default(), Time(START));
        let terms = LeaseTerms { epoch: 1, lease: 2, clock_error: scope.clock_error, even_share_divisor: 1 };
        let allocator = LeaseAllocator::new(plan(mode), terms, &ROUTERS);
        let mut world = Self {
            now: START,
            enforcers: ROUTERS.iter().map(enforcer).collect(),
            ledgers: vec![Vec::new(); 2],
            actual_use: vec![0; 2],
            allocators: vec![allocator.clone(), allocator],
            journals: vec![Vec::new(); if scope.fork_at.is_some() { 2 } else { 1 }],
            requests: 0,
            crashes: 0,
            forks_seen: 0,
            forgettable: 0,
        };
        world.drain();
        world
    }

    fn drain(&mut self) {
        for (enforcer, ledger) in self.enforcers.iter_mut().zip(&mut self.ledgers) {
            ledger.extend(enforcer.take_records());
        }
    }

    fn clock(&self, router: usize, scope: &Scope) -> Time {
        Time(self.now - if router == 1 { scope.clock_lag } else { 0 })
    }

    fn journal(&self, allocator: usize, scope: &Scope) -> usize {
        // Up to the fork both journals are equal. Without a fork both jobs share the first one.
        match scope.fork_at {
            Some(_) => allocator,
            None => 0,
        }
    }

    fn steps(&self, scope: &Scope) -> Vec<Step> {
        let mut out = Vec::new();
        if self.now < START + scope.ticks {
            out.push(Step::Tick);
        }
        for r in 0..2 {
            if self.requests < scope.requests {
                out.push(Step::Request(r));
            }
            if !self.enforcers[r].state().open.is_empty() {
                out.extend([Step::Settle(r, true), Step::Settle(r, false)]);
            }
            if self.crashes < scope.crashes {
                out.push(Step::Crash(r));
            }
            for (j, journal) in self.journals.iter().enumerate() {
                out.extend((0..journal.len()).map(|n| Step::Deliver(r, j, n)));
            }
        }
        for s in 0..2 {
            let own = self.journal(s, scope);
            if self.journals[own].len() < scope.rounds {
                out.extend((0..4).map(|view| Step::Round(s, view)));
            }
        }
        out
    }

    /// Returns false if the step changed no relevant state.
    fn step(&mut self, step: Step, scope: &Scope) -> bool {
        match step {
            Step::Tick => self.now += 1,
            Step::Request(r) => {
                let id = format!("{r}-{}-{}", self.requests, self.crashes);
                let request = ReservationRequest {
                    id: &id,
                    tenant: "t",
                    class: "c",
                    identity: None,
                    prompt: 1,
                    output: 1,
                };
                let now = self.clock(r, scope);
                self.requests += 1;
                if self.enforcers[r].admit(now, request).is_err() {
                    return false;
                }
                self.actual_use[r] += 1;
            }
            Step::Settle(r, used) => {
                let now = self.clock(r, scope);
                let id = self.enforcers[r].state().open.keys().next().unwrap().clone();
                let (ending, prompt) = if used { (Ending::Served, 1) } else { (Ending::Failed, 0) };
                self.enforcers[r].settle(
                    now,
                    &id,
                    ending,
                    Usage { prompt, ..Usage::default() },
                    BilledAttempts::default(),
                    false,
                );
                self.actual_use[r] -= u64::from(!used);
            }
            Step::Deliver(r, j, n) => {
                let now = self.clock(r, scope);
                let grants = &self.journals[j][n].grants;
                let grant = grants.iter().find(|g| &*g.router == ROUTERS[r]).unwrap().clone();
                if self.enforcers[r].adopt(now, &grant).is_err() {
                    return false;
                }
            }
            Step::Crash(r) => {
                self.crashes += 1;
                let kept = self.ledgers[r].len().saturating_sub(scope.lost_records);
                for (_, record) in &self.ledgers[r][kept..] {
                    // A lost record can hide a lowered ceiling or recorded usage.
                    self.forgettable += match record {
                        Record::Reserved(c) => c.amount.0,
                        Record::Settled(s) => s.cost.0,
                        Record::Adopted(_) => BUDGET,
                        _ => 0,
                    };
                }
                // Nobody pays for the tokens of an orphaned request; its client gets an error.
                self.actual_use[r] -= self.enforcers[r].state().open.len() as u64;
                self.ledgers[r].truncate(kept);
                let mut state = State::default();
                for (number, record) in &self.ledgers[r] {
                    state.apply(*number, record);
                }
                let now = self.clock(r, scope);
                let mode = Mode::Leases { epoch: 1, routers: 2 };
                self.enforcers[r] = BudgetEnforcer::new(ROUTERS[r], plan(mode), state, now);
            }
            Step::Round(s, view) => {
                let j = self.journal(s, scope);
                for (r, name) in ROUTERS.iter().enumerate() {
                    if view & (1 << r) != 0 {
                        let state = self.enforcers[r].state().clone();
                        self.allocators[s].observe(name, Time(self.now), &state);
                    }
                }
                match self.allocators[s].next_round(Time(self.now)) {
                    // The other job was first with this number: its round is applied and nothing is granted.
                    Ok(round) if round.number as usize <= self.journals[j].len() => {
                        let newest = self.journals[j].last().unwrap().clone();
                        self.allocators[s].apply_round(&newest);
                    }
                    Ok(round) => {
                        assert_eq!(round.number as usize, self.journals[j].len() + 1);
                        self.allocators[s].apply_round(&round);
                        if scope.fork_at.is_some_and(|at| round.number as usize <= at) {
                            // Before the fork both journals contain the round.
                            self.journals.iter_mut().for_each(|j| j.push(round.clone()));
                            self.allocators.iter_mut().for_each(|s| s.apply_round(&round));
                        } else {
                            self.journals[j].push(round);
                        }
                    }
                    Err(_) if scope.fork_at.is_some() => self.forks_seen += 1,
                    Err(_) if scope.fork_at.is_none() => {
                        // The job's copy of the journal is behind and is updated.
                        let Some(newest) = self.journals[j].last().cloned() else {
                            panic!("fork without journal")
                        };
                        assert!(newest.number > self.allocators[s].head());
                        self.allocators[s].apply_round(&newest);
                    }
                    Err(_) => unreachable!(),
                }
            }
        }
        self.drain();
        true
    }

    fn fingerprint(&self) -> u64 {
        let mut h = DefaultHasher::new();
        (self.now, &self.actual_use, self.requests, self.crashes, self.forgettable).hash(&mut h);
        for k in &self.enforcers {
            k.hash_state(&mut h);
        }
        for s in &self.allocators {
            s.hash_state(&mut h);
        }
        self.journals.hash(&mut h);
        h.finish()
    }
}

struct Findings {
    states: usize,
    max_overrun: u64,
    most_used: u64,
    forks_seen: u32,
}

/// All orders of up to `depth` steps; the bound on overrun is checked in every state reached.
fn explore(scope: &Scope, bound: impl Fn(&World) -> u64) -> Findings {
    let mut found = Findings { states: 0, max_overrun: 0, most_used: 0, forks_seen: 0 };
    // Maximum number of remaining steps with which each state was explored.
    let mut seen: HashMap<u64, usize> = HashMap::new();
    let mut stack = vec![(World::new(scope), scope.depth, Vec::<Step>::new())];
    while let Some((world, left, path)) = stack.pop() {
        for step in world.steps(scope) {
            let mut next = world.clone();
            if !next.step(step, scope) {
                continue;
            }
            let entry = seen.entry(next.fingerprint()).or_insert(0);
            if *entry >= left {
                continue;
            }
            found.states += usize::from(*entry == 0);
            *entry = left;
            let mut path = path.clone();
            path.push(step);
            check(&next, &bound, &mut found, &path);
            if left > 1 {
                stack.push((next, left - 1, path));
            }
        }
    }
    found
}

fn check(world: &World, bound: &impl Fn(&World) -> u64, found: &mut Findings, path: &[Step]) {
    let used: u64 = world.actual_use.iter().sum();
    let over = used.saturating_sub(BUDGET);
    assert!(over <= bound(world), "overrun {over} after {path:?}");
    found.max_overrun = found.max_overrun.max(over);
    found.most_used = found.most_used.max(used);
    found.forks_seen += world.forks_seen;
}

/// Random walks to depths that the exhaustive exploration can't reach.
fn random_walks(scope: &Scope, bound: impl Fn(&World) -> u64) -> Findings {
    use proptest::prelude::Rng;
    use proptest::test_runner::{RngAlgorithm, TestRng};
    let mut rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let scope = Scope { ticks: 40, rounds: 40, requests: 60, crashes: 4 * scope.crashes, ..*scope };
    let mut found = Findings { states: 0, max_overrun: 0, most_used: 0, forks_seen: 0 };
    for _ in 0..400 {
        let mut world = World::new(&scope);
        for _ in 0..150 {
            // All kinds of steps are equally likely, whatever their number. Any old grant can be delivered, but in
            // three of four cases the newest one is.
            let mut kinds: BTreeMap<usize, Vec<Step>> = BTreeMap::new();
            for step in world.steps(&scope) {
                kinds.entry(step.kind()).or_default().push(step);
            }
            let steps = kinds.values().nth(rng.next_u32() as usize % kinds.len()).unwrap();
            let mut step = steps[rng.next_u32() as usize % steps.len()];
            if let Step::Deliver(r, j, _) = step {
                if !rng.next_u32().is_multiple_of(4) {
                    step = Step::Deliver(r, j, world.journals[j].len() - 1);
                }
            }
            world.step(step, &scope);
            check(&world, &bound, &mut found, &[step]);
            found.states += 1;
        }
    }
    found
}

const SMALL_SCOPE: Scope = Scope {
    depth: 4,
    ticks: 4,
    rounds: 3,
    requests: 3,
    crashes: 1,
    lost_records: 0,
    clock_lag: 0,
    clock_error: 0,
    fork_at: None,
};

/// Increases the depth of the exploration by `n` if the environment has `EXPLORE=n`.
fn with_extra_depth(scope: Scope) -> Scope {
    let more = std::env::var("EXPLORE").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    Scope { depth: scope.depth + more, ..scope }
}

fn explore_and_walk(name: &str, scope: Scope, bound: impl Fn(&World) -> u64) -> (Findings, Findings) {
    let (all, long) = (explore(&with_extra_depth(scope), &bound), random_walks(&scope, &bound));
    println!(
        "{name}: all orders of {} steps, {} states, used up to {}, overrun up to {}; walks of 150 steps, {} states, {}, {}",
        with_extra_depth(scope).depth, all.states, all.most_used, all.max_overrun, long.states, long.most_used, long.max_overrun
    );
    (all, long)
}

#[test]
fn no_overrun_with_two_jobs_on_one_journal_and_router_crashes() {
    let (_, long) = explore_and_walk("shared journal", SMALL_SCOPE, |_| 0);
    assert_eq!(long.most_used, BUDGET, "the budget can be used up");
}

#[test]
fn no_overrun_while_clocks_differ_by_no_more_than_allowed() {
    let scope = Scope { clock_lag: 1, clock_error: 1, crashes: 0, ..SMALL_SCOPE };
    explore_and_walk("clock error", scope, |_| 0);
}

#[test]
fn clock_error_beyond_the_allowance_costs_at_most_the_routers_ceiling() {
    let scope = Scope { clock_lag: 3, clock_error: 0, crashes: 0, ..SMALL_SCOPE };
    let (_, long) = explore_and_walk("worse clock", scope, |_| BUDGET);
    assert!(long.max_overrun > 0, "the exploration detects overrun where it is possible");
}

#[test]
fn power_loss_costs_at_most_the_lost_records() {
    let scope = Scope { lost_records: 1, ..SMALL_SCOPE };
    let (_, long) = explore_and_walk("power loss", scope, |w| w.forgettable);
    assert!(long.max_overrun > 0, "the exploration detects overrun where it is possible");
}

#[test]
fn forked_journal_costs_at_most_the_free_budget_and_is_detected() {
    let scope = Scope { fork_at: Some(1), crashes: 0, ..SMALL_SCOPE };
    let (_, long) = explore_and_walk("forked journal", scope, |_| BUDGET);
    assert!(long.max_overrun > 0 && long.forks_seen > 0, "a fork causes overrun and is detected");
}
