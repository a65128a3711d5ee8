//! Lease allocation by the settlement job: leases for the next epoch, computed from the ledgers of all routers.
//!
//! All units that a router may still spend are accounted for. A ceiling counts from the round that grants it until
//! the router's ledger shows a newer lease, or until that ledger was read after the lease's expiry plus the clock
//! error. The sum of all counted ceilings never exceeds the budget.
//!
//! [`division`] divides the remaining budget among routers; [`outstanding`] tracks ceilings that may still be
//! adopted.

mod division;
mod outstanding;

use std::collections::BTreeMap;

use crate::calendar::{Period, PeriodKind};
use crate::grant::{Allowance, Grant, Round};
use crate::plan::{AccountKey, Plan};
use crate::state::{AccountUsage, State};
use crate::units::{Time, Units};

use division::{divide, RouterDemand};
use outstanding::OutstandingCeilings;

/// Number of rounds without a newly adopted lease after which a router is granted nothing more.
const SILENT_ROUNDS: u64 = 4;
/// Number of rounds of expected growth that a router is granted in advance.
const ROUNDS_AHEAD: u64 = 4;
/// Number of epochs before the next period in which grants for it begin.
const EPOCHS_BEFORE_PERIOD: u64 = 3;

/// Parameters of leases and rounds. Times are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseTerms {
    /// Time between two rounds.
    pub epoch: u64,
    /// Duration of a lease.
    pub lease: u64,
    /// Maximum difference between two clocks.
    pub clock_error: u64,
    /// Divisor of the remaining budget: one part is divided evenly among the live routers, for bursts.
    pub even_share_divisor: u64,
}

/// An account and the start of one of its periods.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountStart {
    /// The account.
    pub key: AccountKey,
    /// The period's start.
    pub start: Time,
}

/// A router's lease is newer than the journal, so another settlement job uses a different journal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "router {router} holds lease {number}, this journal ends at {head}: another settlement job keeps another \
     journal; stop one and join the journals"
)]
pub struct JournalForkError {
    /// The router whose ledger shows the lease.
    pub router: Box<str>,
    /// Number of the lease.
    pub number: u64,
    /// Number of the newest round in this journal.
    pub head: u64,
}

/// One account over all routers in its current period, for operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct AccountSummary {
    /// The account.
    pub account: String,
    /// Start of the period, in microseconds since 1970.
    pub start: Time,
    /// Budget of the period, including manual adjustments.
    pub limit: Units,
    /// Settled units.
    pub spent: Units,
    /// Units reserved by open requests.
    pub reserved: Units,
    /// Units leased to routers and not used there.
    pub stranded: Units,
}

/// A router's usage of an account at the last round, and its growth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Growth {
    period_start: Time,
    used: Units,
    /// Smoothed growth of the usage per round.
    per_round: Units,
}

/// State of a router's ledger when it was last read.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RouterView {
    state: State,
    /// Time when the ledger was read, by the settlement job's clock; 0 if never.
    read_at: Time,
    growth: BTreeMap<AccountKey, Growth>,
}

impl RouterView {
    fn usage(&self, account: &AccountStart) -> AccountUsage {
        self.state.usage.get(&account.key, account.start)
    }
}

/// Allocates leases. Rounds are a deterministic function of the observations.
#[derive(Debug, Clone)]
pub struct LeaseAllocator {
    plan: Plan,
    terms: LeaseTerms,
    /// Manual adjustments of the plan's limits; may be negative.
    extra: BTreeMap<AccountStart, i64>,
    routers: BTreeMap<Box<str>, RouterView>,
    head: u64,
    outstanding: OutstandingCeilings,
}

impl LeaseAllocator {
    /// Creates an allocator for these routers. No other router is granted anything.
    pub fn new(plan: Plan, terms: LeaseTerms, routers: &[&str]) -> Self {
        let routers = routers.iter().map(|router| ((*router).into(), RouterView::default())).collect();
        let outstanding = OutstandingCeilings::default();
        Self { plan, terms, extra: BTreeMap::new(), routers, head: 0, outstanding }
    }

    /// Number of the newest known round.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Replaces the budgets and manual adjustments from the next round on.
    pub fn set_plan(&mut self, plan: Plan, extra: BTreeMap<AccountStart, i64>) {
        self.plan = plan;
        self.extra = extra;
    }

    /// Applies the journal's newest round. Rounds that are not newer than the known one are ignored.
    pub fn apply_round(&mut self, round: &Round) {
        if round.number > self.head {
            self.head = round.number;
            self.outstanding = OutstandingCeilings::new(&round.outstanding);
        }
    }

    /// Updates the state of a router's ledger. Reading the ledger must not have begun before `read_at`.
    pub fn observe(&mut self, router: &str, read_at: Time, state: &State) {
        if let Some(view) = self.routers.get_mut(router) {
            view.state = state.sums();
            view.read_at = view.read_at.max(read_at);
        }
    }

    /// Computes the next round. The round is in force once the journal contains it as the only round of its number;
    /// then it must be passed to [`Self::apply_round`], and its grants may be delivered.
    ///
    /// # Errors
    /// If a router holds a lease of another journal.
    pub fn next_round(&mut self, now: Time) -> Result<Round, JournalForkError> {
        self.check_fork()?;
        let number = self.head + 1;
        let until = now.after(self.terms.lease);
        let mut grants: BTreeMap<Box<str>, Vec<Allowance>> =
            self.routers.keys().map(|router| (router.clone(), Vec::new())).collect();
        let keys: Vec<AccountKey> = self.plan.limits.keys().cloned().collect();
        for key in keys {
            self.update_growth(&key, now);
            for period in self.periods_to_grant(key.kind, now) {
                for (router, allowance) in self.allocate(&key, period) {
                    grants.entry(router).or_default().push(allowance);
                }
            }
        }
        let outstanding = self.outstanding_after(&grants, number, until, now);
        let grants = grants
            .into_iter()
            .map(|(router, allowances)| Grant { router, number, until, allowances })
            .collect();
        Ok(Round { number, at: now, grants, outstanding })
    }

    fn check_fork(&self) -> Result<(), JournalForkError> {
        for (router, view) in &self.routers {
            let number = view.state.lease.number;
            if number > self.head {
                return Err(JournalForkError { router: router.clone(), number, head: self.head });
            }
        }
        Ok(())
    }

    /// The current period, and the next one shortly before it begins.
    fn periods_to_grant(&self, kind: PeriodKind, now: Time) -> Vec<Period> {
        let present = self.plan.calendar.period(kind, now);
        let ahead = self.terms.epoch.saturating_mul(EPOCHS_BEFORE_PERIOD).max(self.terms.lease / 2);
        if now.after(ahead) >= present.end {
            vec![present, self.plan.calendar.period(kind, present.end)]
        } else {
            vec![present]
        }
    }

    /// Updates the smoothed usage growth of each router. Denied demand counts half.
    fn update_growth(&mut self, key: &AccountKey, now: Time) {
        let period_start = self.plan.calendar.period(key.kind, now).start;
        for view in self.routers.values_mut() {
            let used = view.state.usage.get(key, period_start).used();
            let before = view.growth.get(key).copied().unwrap_or_default();
            let grown = if before.period_start == period_start { used.minus(before.used) } else { used };
            let denied = view.state.demand.get(key).map_or(Units(0), |demand| demand.total);
            let per_round = Units(before.per_round.0 / 2).plus(grown).plus(Units(denied.0 / 2));
            view.growth.insert(key.clone(), Growth { period_start, used, per_round });
        }
    }

    fn limit(&self, account: &AccountStart) -> Units {
        let hard = self.plan.limits.get(&account.key).map_or(0, |limit| limit.hard.0);
        let extra = self.extra.get(account).copied().unwrap_or(0);
        Units(hard.saturating_add_signed(extra))
    }

    /// Whether a lease had certainly expired when the router's ledger was read.
    fn has_expired(&self, view: &RouterView, until: Time) -> bool {
        view.read_at > until.after(self.terms.clock_error)
    }

    /// Units that this router has used or may still use.
    fn committed(&self, router: &str, view: &RouterView, account: &AccountStart) -> Units {
        let usage = view.usage(account);
        let has_expired = self.has_expired(view, view.state.lease.until);
        let leased = usage.ceiling.filter(|_| !has_expired).unwrap_or_default();
        let unconfirmed_ceiling = self.unconfirmed_ceiling(router, view, account).unwrap_or_default();
        unconfirmed_ceiling.max(leased).max(usage.used())
    }

    /// Allowances of one account in one period that a grant must name, by router.
    fn allocate(&self, key: &AccountKey, period: Period) -> Vec<(Box<str>, Allowance)> {
        let account = AccountStart { key: key.clone(), start: period.start };
        let limit = self.limit(&account);
        let total: Units = self.routers.values().map(|view| view.usage(&account).used()).sum();
        let ceilings = self.ceilings(&account, limit, total);
        let mut allowances = Vec::new();
        for ((router, view), ceiling) in self.routers.iter().zip(ceilings) {
            if self.must_include(router, view, &account, ceiling) {
                let elsewhere = total.minus(view.usage(&account).used());
                let allowance = Allowance { key: key.clone(), period, ceiling, limit, elsewhere };
                allowances.push((router.clone(), allowance));
            }
        }
        allowances
    }

    /// The ceilings of all routers, in order of the routers. The sum of committed units never exceeds the limit.
    fn ceilings(&self, account: &AccountStart, limit: Units, total: Units) -> Vec<Units> {
        let demands: Vec<RouterDemand> =
            self.routers.values().map(|view| self.demand(&account.key, view)).collect();
        let shares = divide(limit.minus(total), &demands, self.terms.even_share_divisor);
        let committed: Vec<Units> =
            self.routers.iter().map(|(router, view)| self.committed(router, view, account)).collect();
        let used: Vec<Units> = self.routers.values().map(|view| view.usage(account).used()).collect();
        let mut free = limit.minus(committed.iter().copied().sum());
        // The largest share is raised first, because the free units may not suffice for all.
        let mut order: Vec<usize> = (0..demands.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(at(&shares, *i)));
        let mut ceilings = vec![Units(0); demands.len()];
        for i in order {
            let desired = at(&used, i).plus(at(&shares, i));
            let raise = desired.minus(at(&committed, i)).min(free);
            free = free.minus(raise);
            if let Some(ceiling) = ceilings.get_mut(i) {
                *ceiling = desired.min(at(&committed, i).plus(raise));
            }
        }
        ceilings
    }

    /// Whether a router's grant must include the given ceiling.
    fn must_include(&self, router: &str, view: &RouterView, account: &AccountStart, ceiling: Units) -> bool {
        let held = view.usage(account).ceiling;
        let is_unchanged = held == Some(ceiling) || (held.is_none() && ceiling == Units(0));
        // A ceiling in a round that the router has not confirmed must be replaced explicitly.
        let is_unconfirmed = self.unconfirmed_ceiling(router, view, account).is_some();
        // After a lease has expired, the next lease would restore each ceiling that it does not name.
        let would_be_restored = held.is_some() && self.has_expired(view, view.state.lease.until);
        is_unconfirmed || !is_unchanged || would_be_restored
    }

    fn demand(&self, key: &AccountKey, view: &RouterView) -> RouterDemand {
        let growth = view.growth.get(key).map_or(Units(0), |growth| growth.per_round);
        let largest = view.state.demand.get(key).map_or(Units(0), |demand| demand.largest);
        // A router that adopts leases again is included from the next round on.
        let silent_rounds = self.head.saturating_sub(view.state.lease.number);
        let expected = Units(growth.0.saturating_mul(ROUNDS_AHEAD));
        RouterDemand {
            is_alive: view.read_at > Time(0) && silent_rounds < SILENT_ROUNDS,
            units: expected.plus(Units(largest.0.saturating_mul(2))),
            largest,
        }
    }

    /// Summaries of all accounts in their current periods.
    pub fn account_summaries(&self, now: Time) -> Vec<AccountSummary> {
        self.plan.limits.keys().map(|key| self.account_summary(key, now)).collect()
    }

    fn account_summary(&self, key: &AccountKey, now: Time) -> AccountSummary {
        let start = self.plan.calendar.period(key.kind, now).start;
        let account = AccountStart { key: key.clone(), start };
        let mut summary = AccountSummary {
            account: key.to_string(),
            start,
            limit: self.limit(&account),
            spent: Units(0),
            reserved: Units(0),
            stranded: Units(0),
        };
        for (router, view) in &self.routers {
            let usage = view.usage(&account);
            let unused = self.committed(router, view, &account).minus(usage.used());
            summary.spent = summary.spent.plus(usage.spent);
            summary.reserved = summary.reserved.plus(usage.reserved);
            summary.stranded = summary.stranded.plus(unused);
        }
        summary
    }

    #[cfg(test)]
    pub(crate) fn hash_state(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        (self.head, &self.routers, &self.outstanding).hash(into);
    }
}

fn at(units: &[Units], i: usize) -> Units {
    units.get(i).copied().unwrap_or_default()
}
