//! Budget enforcement at one router, based only on the plan, the state of the router's ledger and its lease.
//!
//! [`admission`] decides on new requests, [`account`] computes the capacity of accounts, and [`lease`] adopts
//! leases. Each state change is a [`Record`] that the caller must write to the ledger before the router sends
//! any output that depends on it.

mod account;
mod admission;
mod lease;

use std::collections::{BTreeMap, BTreeSet};

use crate::calendar::{Period, PeriodKind};
use crate::plan::{Mode, Plan};
use crate::record::{BilledAttempts, Ending, Record, Settled};
use crate::state::{OpenReservation, State};
use crate::units::{Time, Units, Usage};

use account::{AccountBalance, TenantAccount};
pub use admission::{Admission, BudgetMark, Denial, DenialReason, ReservationRequest};
pub use lease::AdoptLeaseError;

/// Metrics of a tenant at this router, in units except for `refused`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Figures {
    /// Units settled in the current period.
    pub spent: u64,
    /// Units reserved and not settled.
    pub reserved: u64,
    /// Units granted to this router and not used.
    pub stranded: u64,
    /// Requests denied since the process started.
    pub refused: u64,
}

/// Makes the budget decisions of one router. Decisions are deterministic.
#[derive(Debug, Clone)]
pub struct BudgetEnforcer {
    router: Box<str>,
    plan: Plan,
    state: State,
    /// Cached current period of each kind.
    current_periods: BTreeMap<PeriodKind, Period>,
    tenants: BTreeMap<Box<str>, TenantAccount>,
    writable: bool,
    /// Ids of requests that the previous process admitted and still settles.
    inherited: BTreeSet<Box<str>>,
    unwritten_records: Vec<(u64, Record)>,
}

impl BudgetEnforcer {
    /// Starts from the recovered state. Open reservations belong to a crashed process whose clients were
    /// disconnected, so they are settled at no cost.
    pub fn new(router: &str, plan: Plan, state: State, now: Time) -> Self {
        let mut enforcer = Self::with_state(router, plan, state);
        let now = enforcer.monotonic(now);
        enforcer.record(Record::Started(now));
        let orphans: Vec<Box<str>> = enforcer.state.open.keys().cloned().collect();
        enforcer.settle_orphans(now, &orphans);
        enforcer
    }

    /// Takes over from a process that handed over its ledger. That process admits no new requests but finishes its
    /// open ones. Their settlements arrive through [`BudgetEnforcer::settle_inherited`], until
    /// [`BudgetEnforcer::finish_inheritance`].
    pub fn take_over(router: &str, plan: Plan, state: State, now: Time) -> Self {
        let mut enforcer = Self::with_state(router, plan, state);
        enforcer.inherited = enforcer.state.open.keys().cloned().collect();
        let now = enforcer.monotonic(now);
        enforcer.record(Record::Succeeded(now));
        enforcer
    }

    fn with_state(router: &str, plan: Plan, state: State) -> Self {
        Self {
            router: router.into(),
            tenants: account::tenants_of(&plan),
            plan,
            state,
            current_periods: BTreeMap::new(),
            writable: true,
            inherited: BTreeSet::new(),
            unwritten_records: Vec::new(),
        }
    }

    /// Applies a settlement of the previous process. Returns false if the request is not an unsettled one of that
    /// process.
    pub fn settle_inherited(&mut self, now: Time, settled: &Settled) -> bool {
        if !self.inherited.remove(&settled.id) {
            return false;
        }
        let attempts = settled.attempts();
        self.settle(now, &settled.id, settled.ending, settled.usage, attempts, settled.may_have_run)
    }

    /// Settles the remaining requests of the previous process, which has ended, as orphaned.
    pub fn finish_inheritance(&mut self, now: Time) {
        let unsettled: Vec<Box<str>> = std::mem::take(&mut self.inherited).into_iter().collect();
        self.settle_orphans(now, &unsettled);
    }

    fn settle_orphans(&mut self, now: Time, ids: &[Box<str>]) {
        for id in ids {
            self.settle(now, id, Ending::Orphaned, Usage::default(), BilledAttempts::default(), true);
        }
    }

    /// Takes new records with their numbers. The caller must write them to the ledger before the router sends any
    /// output that depends on them.
    pub fn take_records(&mut self) -> impl Iterator<Item = (u64, Record)> + '_ {
        self.unwritten_records.drain(..)
    }

    /// Sets whether the ledger can be written. Otherwise no request is admitted.
    pub fn set_writable(&mut self, writable: bool) {
        self.writable = writable;
    }

    /// The state after all records so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Replaces budgets, rates and prices. Spent and reserved units are kept. Open requests of tenants that are not
    /// in the new plan are still settled.
    pub fn set_plan(&mut self, plan: Plan) {
        let mut tenants = account::tenants_of(&plan);
        self.current_periods.clear();
        for (tenant, old) in std::mem::take(&mut self.tenants) {
            let limits = tenants.get_mut(&tenant).map(|new| std::mem::take(&mut new.limits));
            let updated = old.with_plan(limits.unwrap_or_default(), plan.rates.get(&tenant), plan.mode);
            tenants.insert(tenant, updated);
        }
        self.tenants = tenants;
        self.plan = plan;
    }

    /// Returns `now`, but no time before the ledger's last record: a clock that was set back must not reopen old
    /// periods or prolong a lease.
    fn monotonic(&self, now: Time) -> Time {
        now.max(self.state.last)
    }

    /// Applies a record and queues it for the ledger. Returns false if the record changed nothing.
    fn record(&mut self, record: Record) -> bool {
        let number = self.state.sequence + 1;
        let changed = self.state.apply(number, &record);
        self.unwritten_records.push((number, record));
        changed
    }

    /// Settles a reservation with the request's usage. `may_have_run` states whether the request may have been
    /// executed. Returns false without any change if the request is not open.
    pub fn settle(
        &mut self,
        now: Time,
        id: &str,
        ending: Ending,
        usage: Usage,
        attempts: BilledAttempts,
        may_have_run: bool,
    ) -> bool {
        let now = self.monotonic(now);
        let Some(open) = self.state.open.get(id) else { return false };
        let usage = match ending {
            Ending::Served | Ending::Left => usage,
            _ => Usage::default(),
        };
        let cost = self.plan.weights.cost(usage);
        let bucket = self.tenants.get_mut(&open.tenant).and_then(|tenant| tenant.bucket.as_mut());
        if let Some(bucket) = bucket {
            if cost <= open.amount {
                bucket.give_back(open.amount.minus(cost));
            } else {
                bucket.take(cost.minus(open.amount));
            }
        }
        self.record(Record::Settled(Settled {
            id: id.into(),
            at: now,
            ending,
            usage,
            cost,
            prefill_attempt: attempts.prefill,
            answering_attempt: attempts.answering,
            may_have_run,
        }))
    }

    /// Queues a checkpoint for the beginning of a new ledger segment. Usage does not change.
    pub fn checkpoint(&mut self) {
        let state = self.state.clone();
        self.record(Record::State(Box::new(state)));
    }

    /// Metrics of each tenant at this router, from its account without a class that has the longest period.
    pub fn figures(&self, now: Time) -> BTreeMap<Box<str>, Figures> {
        let now = self.monotonic(now);
        let starts = PeriodKind::ALL.map(|kind| (kind, self.plan.calendar.period(kind, now).start));
        let starts = BTreeMap::from(starts);
        let tenants = self.tenants.iter();
        tenants.map(|(name, tenant)| (name.clone(), self.tenant_figures(tenant, &starts, now))).collect()
    }

    fn tenant_figures(
        &self,
        tenant: &TenantAccount,
        starts: &BTreeMap<PeriodKind, Time>,
        now: Time,
    ) -> Figures {
        let mut figures = Figures { refused: tenant.denied, ..Figures::default() };
        let without_class = tenant.limits.iter().filter(|(key, _)| key.class.is_none());
        let longest = without_class.max_by_key(|(key, _)| key.kind);
        let Some((key, limit)) = longest.or(tenant.limits.last()) else { return figures };
        let Some(start) = starts.get(&key.kind) else { return figures };
        let usage = self.state.usage.get(key, *start);
        figures.spent = usage.spent.0;
        figures.reserved = usage.reserved.0;
        figures.stranded = match self.plan.mode {
            Mode::Leases { .. } => usage.ceiling.map_or(0, |ceiling| ceiling.minus(usage.used()).0),
            mode => {
                let balance = AccountBalance { key, limit, usage, granted: None };
                balance.capacity(mode, Time(0), now).available.0
            }
        };
        figures
    }

    /// The open reservation of a request, for tests and the operator's view.
    pub fn reservation(&self, id: &str) -> Option<&OpenReservation> {
        self.state.open.get(id)
    }

    #[cfg(test)]
    pub(crate) fn hash_state(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        self.state.hash(into);
        for tenant in self.tenants.values() {
            (&tenant.demand, &tenant.granted).hash(into);
        }
    }
}

/// One router's part of a rate for all routers.
fn router_part(rate: Units, mode: Mode) -> Units {
    rate.share(1, mode.routers())
}
