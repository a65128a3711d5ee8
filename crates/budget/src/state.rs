//! The state of a ledger, aggregated from its records.
//!
//! The router recovers the state at its start and decides on it; the lease allocator reads it too. Checkpoints
//! store the state with postcard, so fields must not be reordered.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::plan::AccountKey;
use crate::record::{AdoptedLease, Record, Reservation, Settled};
use crate::units::{Time, Units};
use crate::usage_table::forget_old_periods;
pub use crate::usage_table::{AccountPeriod, AccountUsage, UsageTable};

/// Microseconds for which executed requests are remembered. One day is the longest time that settings allow.
const EXECUTED_KEPT_FOR: u64 = 86_400_000_000;
/// Maximum number of executed requests that are remembered.
const EXECUTED_KEPT: usize = 100_000;

/// The idempotency key of a reservation and the class of its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The client's idempotency key.
    pub identity: Box<str>,
    /// The class that the request asked for.
    pub class: Box<str>,
}

/// A reservation that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpenReservation {
    /// The tenant's name.
    pub tenant: Box<str>,
    /// Reserved units.
    pub amount: Units,
    /// The account periods that the request is charged to.
    pub account_periods: Vec<AccountPeriod>,
    /// The request's idempotency key and class, if the client gave a key.
    pub identity: Option<RequestIdentity>,
}

/// A request with an idempotency key that may have been executed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// The tenant's name.
    pub tenant: Box<str>,
    /// The client's idempotency key.
    pub identity: Box<str>,
    /// The class that the request asked for.
    pub class: Box<str>,
    /// Time when the request ended.
    pub at: Time,
}

/// The newest adopted lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the lease's round; 0 if no lease was adopted.
    pub number: u64,
    /// Expiry time: from then on nothing is reserved under the lease.
    pub until: Time,
}

/// Demand for an account that was denied because the router's share was too small.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Sum of the worst-case costs of all denied requests.
    pub total: Units,
    /// The largest worst-case cost of one denied request.
    pub largest: Units,
}

impl Demand {
    /// Adds a denied request.
    pub(crate) fn add(&mut self, worst: Units) {
        self.total = self.total.plus(worst);
        self.largest = self.largest.max(worst);
    }
}

/// The state that results from a ledger's records.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    /// Usage by account and period.
    pub usage: UsageTable,
    /// Reservations that are not settled, by request id.
    pub open: BTreeMap<Box<str>, OpenReservation>,
    /// The newest adopted lease.
    pub lease: Lease,
    /// The latest time of any record. Later decisions use at least this time.
    pub last: Time,
    /// Total number of settled reservations.
    pub settled: u64,
    /// Requests that may have been executed, oldest first; bounded in number and age.
    pub executed: VecDeque<ExecutedRequest>,
    /// The number of the last record applied. A ledger's records are numbered without gaps.
    pub sequence: u64,
    /// Denied demand from the newest lease's record.
    pub demand: BTreeMap<AccountKey, Demand>,
}

impl State {
    /// Applies the record with the given number. Returns false if the record changes nothing: it was applied
    /// before, its reservation or lease is not new, or its settlement is of a request that is not open. Reading
    /// the same ledger twice is therefore harmless.
    pub fn apply(&mut self, number: u64, record: &Record) -> bool {
        if number <= self.sequence {
            return false;
        }
        self.sequence = number;
        match record {
            Record::Started(at) => self.start(*at),
            // The previous process lost no records, so leases and reservations stay in force.
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

    /// The state without individual requests, as the lease allocator needs it.
    pub fn sums(&self) -> Self {
        Self {
            usage: self.usage.clone(),
            demand: self.demand.clone(),
            open: BTreeMap::new(),
            executed: VecDeque::new(),
            ..*self
        }
    }

    /// Ends earlier leases: after a restart, their last records may have been lost in a power failure.
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
