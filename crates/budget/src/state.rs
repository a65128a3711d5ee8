//! The state of a ledger: the sums of its records.
//!
//! The same code recovers it at a start, decides on it, and is read by the lease allocator. It is stored as a
//! checkpoint with postcard: the order of fields stays.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::plan::AccountKey;
use crate::record::{AdoptedLease, Record, Reservation, Settled};
use crate::units::{Time, Units};
use crate::usage_table::forget_old_periods;
pub use crate::usage_table::{AccountPeriod, AccountUsage, UsageTable};

/// Executed requests are remembered so long, µs: a day is the longest that settings can ask for.
const EXECUTED_KEPT_FOR: u64 = 86_400_000_000;
/// The most executed requests that are remembered.
const EXECUTED_KEPT: usize = 100_000;

/// The idempotency key of a reservation, with the class for which it was used.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The client's idempotency key.
    pub identity: Box<str>,
    /// The class that the request was asked for.
    pub class: Box<str>,
}

/// A reservation without its settlement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpenReservation {
    /// Whose.
    pub tenant: Box<str>,
    /// How much.
    pub amount: Units,
    /// The accounts' periods that it is charged to.
    pub account_periods: Vec<AccountPeriod>,
    /// The client's idempotency key for it, if it has one.
    pub identity: Option<RequestIdentity>,
}

/// A request with an idempotency key that may have had its effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// Whose.
    pub tenant: Box<str>,
    /// The client's idempotency key.
    pub identity: Box<str>,
    /// The class it was asked for.
    pub class: Box<str>,
    /// When it ended.
    pub at: Time,
}

/// The newest lease that was adopted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The round's number; 0: none was adopted.
    pub number: u64,
    /// Nothing is reserved under it from then on.
    pub until: Time,
}

/// Demand for an account that was denied because the router's share was too small.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The worst cases of all denied requests.
    pub total: Units,
    /// The largest of them.
    pub largest: Units,
}

impl Demand {
    /// Adds a denied request.
    pub(crate) fn add(&mut self, worst: Units) {
        self.total = self.total.plus(worst);
        self.largest = self.largest.max(worst);
    }
}

/// The sums of a ledger's records.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    /// Use by account and period.
    pub usage: UsageTable,
    /// Reservations without settlement, by the request's id.
    pub open: BTreeMap<Box<str>, OpenReservation>,
    /// The newest lease adopted.
    pub lease: Lease,
    /// The latest time of any record: no later decision is made at an earlier one.
    pub last: Time,
    /// Reservations settled, in all.
    pub settled: u64,
    /// Requests that may have had their effect, oldest first; bounded in number and age.
    pub executed: VecDeque<ExecutedRequest>,
    /// The number of the last record applied. A ledger's records are numbered without gaps.
    pub sequence: u64,
    /// Demand that was denied, as the newest lease's record names it.
    pub demand: BTreeMap<AccountKey, Demand>,
}

impl State {
    /// Applies a record by its number. False: it changes nothing, since it was applied before (the same
    /// ledger read twice does no harm), or settles what is not open.
    pub fn apply(&mut self, number: u64, record: &Record) -> bool {
        if number <= self.sequence {
            return false;
        }
        self.sequence = number;
        match record {
            Record::Started(at) => self.start(*at),
            // Nothing was lost: leases and reservations stay in force.
            Record::Succeeded(at) => self.last = self.last.max(*at),
            Record::Reserved(reservation) => return self.reserve(reservation),
            Record::Settled(settled) => return self.settle(settled),
            Record::Adopted(lease) => return self.adopt(lease),
            Record::State(state) => {
                *self = (**state).clone();
                self.sequence = number;
            }
        }
        true
    }

    /// What the lease allocator needs: the state without single requests.
    pub fn sums(&self) -> Self {
        Self {
            usage: self.usage.clone(),
            demand: self.demand.clone(),
            open: BTreeMap::new(),
            executed: VecDeque::new(),
            ..*self
        }
    }

    /// A restarted process reserves nothing under earlier leases: their last records may have been lost with
    /// the machine's power.
    fn start(&mut self, at: Time) {
        self.last = self.last.max(at);
        self.lease.until = Time(0);
        self.demand.clear();
        self.usage.clear_ceilings();
    }

    fn reserve(&mut self, reservation: &Reservation) -> bool {
        self.last = self.last.max(reservation.at);
        if self.open.contains_key(&reservation.id) {
            return false;
        }
        if !reservation.account_periods.is_empty() {
            let of_tenant = self.usage.of_tenant_mut(&reservation.tenant);
            let known = of_tenant.len();
            for account_period in &reservation.account_periods {
                let usage = of_tenant.entry(account_period.clone()).or_default();
                usage.reserved = usage.reserved.plus(reservation.amount);
            }
            if of_tenant.len() > known {
                forget_old_periods(of_tenant);
            }
        }
        let class = &reservation.class;
        let identity = reservation.identity.clone();
        let open = OpenReservation {
            tenant: reservation.tenant.clone(),
            amount: reservation.amount,
            account_periods: reservation.account_periods.clone(),
            identity: identity.map(|identity| RequestIdentity { identity, class: class.clone() }),
        };
        self.open.insert(reservation.id.clone(), open);
        true
    }

    fn settle(&mut self, settled: &Settled) -> bool {
        self.last = self.last.max(settled.at);
        let Some(mut open) = self.open.remove(&settled.id) else { return false };
        if let Some(identity) = open.identity.take().filter(|_| settled.may_have_run) {
            self.remember(ExecutedRequest {
                tenant: open.tenant.clone(),
                identity: identity.identity,
                class: identity.class,
                at: settled.at,
            });
        }
        if !open.account_periods.is_empty() {
            let of_tenant = self.usage.of_tenant_mut(&open.tenant);
            for account_period in open.account_periods {
                let usage = of_tenant.entry(account_period).or_default();
                usage.reserved = usage.reserved.minus(open.amount);
                usage.spent = usage.spent.plus(settled.cost);
            }
        }
        self.settled += 1;
        true
    }

    fn remember(&mut self, executed: ExecutedRequest) {
        let is_old = |known: &ExecutedRequest| executed.at.since(known.at) > EXECUTED_KEPT_FOR;
        while self.executed.len() >= EXECUTED_KEPT || self.executed.front().is_some_and(is_old) {
            self.executed.pop_front();
        }
        self.executed.push_back(executed);
    }

    fn adopt(&mut self, lease: &AdoptedLease) -> bool {
        if lease.number <= self.lease.number {
            return false;
        }
        self.last = self.last.max(lease.at);
        self.lease = Lease { number: lease.number, until: lease.until };
        for ceiling in &lease.ceilings {
            let of_tenant = self.usage.of_tenant_mut(&ceiling.key.tenant);
            let known = of_tenant.len();
            let account_period = AccountPeriod::new(&ceiling.key, ceiling.period.start);
            of_tenant.entry(account_period).or_default().ceiling = Some(ceiling.ceiling);
            if of_tenant.len() > known {
                forget_old_periods(of_tenant);
            }
        }
        let demand = lease.demand.iter();
        self.demand = demand
            .map(|denied| (denied.key.clone(), Demand { total: denied.total, largest: denied.largest }))
            .collect();
        true
    }
}
