//! Small-scope exploration of the lease protocol, on the code that runs: all orders of ticks, requests,
//! settlements, rounds with any view of the ledgers, and deliveries (lost, doubled, late, reordered), with
//! routers that die, come back or lose their last records, and two settlement jobs.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::*;

const START: u64 = 1_796_083_200_000_000;
/// So small that all of it is leased out at once, and every shift needs something taken back.
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
    asks: u32,
    crashes: u32,
    /// A crash loses so many of the last records.
    loses: usize,
    /// How far behind the second router's clock is, and what the settlement job allows for.
    lag: u64,
    clock_error: u64,
    /// Both settlement jobs append to one journal; otherwise each has its own, from this many rounds on.
    fork_at: Option<usize>,
}

#[derive(Clone)]
struct World {
    now: u64,
    enforcers: Vec<BudgetEnforcer>,
    /// All records of each router, as its ledger has them.
    ledgers: Vec<Vec<(u64, Record)>>,
    /// Units really used, whatever ledgers say.
    truth: Vec<u64>,
    allocators: Vec<LeaseAllocator>,
    journals: Vec<Vec<Round>>,
    asks: u32,
    crashes: u32,
    forks_seen: u32,
    /// Sum of what power losses could make forgotten.
    excused: u64,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Tick,
    Ask(usize),
    Settle(usize, bool),
    Deliver(usize, usize, usize),
    Crash(usize),
    Round(usize, usize),
}

impl Step {
    fn kind(self) -> usize {
        match self {
            Self::Tick => 0,
            Self::Ask(_) => 1,
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
            truth: vec![0; 2],
            allocators: vec![allocator.clone(), allocator],
            journals: vec![Vec::new(); if scope.fork_at.is_some() { 2 } else { 1 }],
            asks: 0,
            crashes: 0,
            forks_seen: 0,
            excused: 0,
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
        Time(self.now - if router == 1 { scope.lag } else { 0 })
    }

    fn journal(&self, allocator: usize, scope: &Scope) -> usize {
        // Up to the fork both copies are the same: the first journal stands for both.
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
            if self.asks < scope.asks {
                out.push(Step::Ask(r));
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

    /// False: nothing changed that could matter.
    fn step(&mut self, step: Step, scope: &Scope) -> bool {
        match step {
            Step::Tick => self.now += 1,
            Step::Ask(r) => {
                let id = format!("{r}-{}-{}", self.asks, self.crashes);
                let request = ReservationRequest {
                    id: &id,
                    tenant: "t",
                    class: "c",
                    identity: None,
                    prompt: 1,
                    output: 1,
                };
                let now = self.clock(r, scope);
                self.asks += 1;
                if self.enforcers[r].admit(now, request).is_err() {
                    return false;
                }
                self.truth[r] += 1;
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
                self.truth[r] -= u64::from(!used);
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
                let kept = self.ledgers[r].len().saturating_sub(scope.loses);
                for (_, record) in &self.ledgers[r][kept..] {
                    // What could be forgotten: a ceiling that was lowered, or use that was written.
                    self.excused += match record {
                        Record::Reserved(c) => c.amount.0,
                        Record::Settled(s) => s.cost.0,
                        Record::Adopted(_) => BUDGET,
                        _ => 0,
                    };
                }
                // An orphan's tokens are nobody's to pay; its client is told that it failed.
                self.truth[r] -= self.enforcers[r].state().open.len() as u64;
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
                    // Somebody was first under this number: it is read, and nothing granted.
                    Ok(round) if round.number as usize <= self.journals[j].len() => {
                        let newest = self.journals[j].last().unwrap().clone();
                        self.allocators[s].apply_round(&newest);
                    }
                    Ok(round) => {
                        assert_eq!(round.number as usize, self.journals[j].len() + 1);
                        self.allocators[s].apply_round(&round);
                        if scope.fork_at.is_some_and(|at| round.number as usize <= at) {
                            // Not yet forked: both have it.
                            self.journals.iter_mut().for_each(|j| j.push(round.clone()));
                            self.allocators.iter_mut().for_each(|s| s.apply_round(&round));
                        } else {
                            self.journals[j].push(round);
                        }
                    }
                    Err(_) if scope.fork_at.is_some() => self.forks_seen += 1,
                    Err(_) if scope.fork_at.is_none() => {
                        // Its own copy of the journal is behind: it reads on.
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

    fn print(&self) -> u64 {
        let mut h = DefaultHasher::new();
        (self.now, &self.truth, self.asks, self.crashes, self.excused).hash(&mut h);
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

struct Found {
    states: usize,
    worst: u64,
    most_used: u64,
    forks_seen: u32,
}

/// All orders of up to `depth` steps; the bound on overrun is checked in every state reached.
fn explore(scope: &Scope, bound: impl Fn(&World) -> u64) -> Found {
    let mut found = Found { states: 0, worst: 0, most_used: 0, forks_seen: 0 };
    // With how many steps left a state was gone on from.
    let mut seen: HashMap<u64, usize> = HashMap::new();
    let mut stack = vec![(World::new(scope), scope.depth, Vec::<Step>::new())];
    while let Some((world, left, path)) = stack.pop() {
        for step in world.steps(scope) {
            let mut next = world.clone();
            if !next.step(step, scope) {
                continue;
            }
            let entry = seen.entry(next.print()).or_insert(0);
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

fn check(world: &World, bound: &impl Fn(&World) -> u64, found: &mut Found, path: &[Step]) {
    let used: u64 = world.truth.iter().sum();
    let over = used.saturating_sub(BUDGET);
    assert!(over <= bound(world), "overrun {over} after {path:?}");
    found.worst = found.worst.max(over);
    found.most_used = found.most_used.max(used);
    found.forks_seen += world.forks_seen;
}

/// Walks that are long and not exhaustive: random steps, to depths that all orders can't reach.
fn walk(scope: &Scope, bound: impl Fn(&World) -> u64) -> Found {
    use proptest::prelude::Rng;
    use proptest::test_runner::{RngAlgorithm, TestRng};
    let mut rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let scope = Scope { ticks: 40, rounds: 40, asks: 60, crashes: 4 * scope.crashes, ..*scope };
    let mut found = Found { states: 0, worst: 0, most_used: 0, forks_seen: 0 };
    for _ in 0..400 {
        let mut world = World::new(&scope);
        for _ in 0..150 {
            // Each kind of step is as likely, however many there are of it; and though any old grant can come,
            // mostly a new one does.
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

const SMALL: Scope = Scope {
    depth: 4,
    ticks: 4,
    rounds: 3,
    asks: 3,
    crashes: 1,
    loses: 0,
    lag: 0,
    clock_error: 0,
    fork_at: None,
};

/// `EXPLORE=n` lets all orders be n steps longer.
fn longer(scope: Scope) -> Scope {
    let more = std::env::var("EXPLORE").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    Scope { depth: scope.depth + more, ..scope }
}

fn both(name: &str, scope: Scope, bound: impl Fn(&World) -> u64) -> (Found, Found) {
    let (all, long) = (explore(&longer(scope), &bound), walk(&scope, &bound));
    println!(
        "{name}: all orders of {} steps, {} states, used up to {}, overrun up to {}; walks of 150 steps, {} states, {}, {}",
        longer(scope).depth, all.states, all.most_used, all.worst, long.states, long.most_used, long.worst
    );
    (all, long)
}

#[test]
fn no_overrun_with_two_jobs_on_one_journal_and_routers_that_die() {
    let (_, long) = both("shared journal", SMALL, |_| 0);
    assert_eq!(long.most_used, BUDGET, "the budget can be used up");
}

#[test]
fn no_overrun_while_clocks_differ_by_no_more_than_allowed() {
    let scope = Scope { lag: 1, clock_error: 1, crashes: 0, ..SMALL };
    both("clock error", scope, |_| 0);
}

#[test]
fn a_clock_worse_than_allowed_costs_at_most_that_routers_ceiling() {
    let scope = Scope { lag: 3, clock_error: 0, crashes: 0, ..SMALL };
    let (_, long) = both("worse clock", scope, |_| BUDGET);
    assert!(long.worst > 0, "the exploration sees overrun where there is some");
}

#[test]
fn power_loss_costs_no_more_than_what_was_lost() {
    let scope = Scope { loses: 1, ..SMALL };
    let (_, long) = both("power loss", scope, |w| w.excused);
    assert!(long.worst > 0, "the exploration sees overrun where there is some");
}

#[test]
fn a_forked_journal_costs_at_most_what_was_free_and_is_noticed() {
    let scope = Scope { fork_at: Some(1), crashes: 0, ..SMALL };
    let (_, long) = both("forked journal", scope, |_| BUDGET);
    assert!(long.worst > 0 && long.forks_seen > 0, "a fork does harm, and is noticed");
}
