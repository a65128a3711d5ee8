//! What a router's ledger keeps.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::calendar::{Kind, Span};
use crate::plan::AccountKey;
use crate::units::{Time, Units, Usage};

/// A reservation: a request was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The router's id of the request.
    pub id: Box<str>,
    /// Tenant; empty: none.
    pub tenant: Box<str>,
    /// The class that it was asked for.
    pub class: Box<str>,
    /// The client's identity for it.
    pub identity: Option<Box<str>>,
    /// When; decides the period and the bill's day.
    pub at: Time,
    /// The worst case.
    pub amount: Units,
    /// What it was charged to.
    pub slots: Vec<Place>,
}

/// How a request ended, for its bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Answered whole: costs what the engine counted.
    Served,
    /// Refused: costs nothing.
    Refused,
    /// Failed before a token of the answer: costs nothing.
    Failed,
    /// Broke midway, by no fault of the client: costs nothing.
    Broken,
    /// The client left (or stopped reading) after the answer had begun: costs what was written for it.
    Left,
    /// The client left before: costs nothing.
    LeftEarly,
    /// Open when its router's life ended; its client was cut off: costs nothing.
    Orphaned,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Of the reservation.
    pub id: Box<str>,
    /// When.
    pub at: Time,
    /// How.
    pub ending: Ending,
    /// What is billed; for [`Ending::Left`] by the router's count, which the engine's record corrects.
    pub usage: Usage,
    /// What it cost the budget.
    pub cost: Units,
    /// The attempt that read the prompt, where another wrote.
    pub read: Option<u32>,
    /// The attempt whose answer it was.
    pub write: Option<u32>,
    /// Whether it may have had its effect.
    pub may_have_run: bool,
}

/// A lease that was taken, as it holds from then on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Adopted {
    /// The round's number.
    pub number: u64,
    /// When.
    pub at: Time,
    /// Nothing is taken by it from then on.
    pub until: Time,
    /// By account and period: the most that this router ever spends in it. What is not named stays.
    pub ceilings: Vec<(AccountKey, Span, Units)>,
    /// Refused for want of room since the lease before, and the largest single one.
    pub wanted: Vec<(AccountKey, Units, Units)>,
}

/// One line of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A life of the router began.
    Started(Time),
    /// A life of the router took over from the one before, which still ends what it had taken.
    Succeeded(Time),
    /// A request was taken.
    Reserved(Charge),
    /// It ended.
    Settled(Settled),
    /// A lease was taken.
    Adopted(Adopted),
    /// All state so far: reading can begin here.
    State(Box<State>),
}

/// Use of one account in one period at one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Settled.
    pub spent: Units,
    /// Reserved and not settled.
    pub reserved: Units,
    /// The most that may be used here; none: no lease has told it.
    pub ceiling: Option<Units>,
}

impl AccountUsage {
    /// Spent or reserved.
    pub fn used(&self) -> Units {
        self.spent.plus(self.reserved)
    }
}

/// One account in one period, of a tenant that is named beside.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The account's class; none: the tenant's account for all.
    pub class: Option<Box<str>>,
    /// Its periods.
    pub kind: Kind,
    /// The period's start.
    pub start: Time,
}

impl Place {
    /// Of an account.
    pub fn new(key: &AccountKey, start: Time) -> Self {
        Self { class: key.class.clone(), kind: key.kind, start }
    }
}

/// Use by tenant, account and period: a request looks its tenant up once.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageTable(BTreeMap<Box<str>, BTreeMap<Place, AccountUsage>>);

impl UsageTable {
    /// Of an account in a period; nothing, if there was none.
    pub fn get(&self, key: &AccountKey, start: Time) -> AccountUsage {
        let of_tenant = self.0.get(&key.tenant);
        of_tenant.and_then(|t| t.get(&Place::new(key, start))).copied().unwrap_or_default()
    }

    /// All of a tenant.
    pub fn of_tenant(&self, tenant: &str) -> Option<&BTreeMap<Place, AccountUsage>> {
        self.0.get(tenant)
    }

    fn of_tenant_mut(&mut self, tenant: &str) -> &mut BTreeMap<Place, AccountUsage> {
        if !self.0.contains_key(tenant) {
            self.0.insert(tenant.into(), BTreeMap::new());
        }
        self.0.entry(tenant.into()).or_default()
    }

    /// All: tenant, account and period, use.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Place, &AccountUsage)> {
        self.0.iter().flat_map(|(tenant, places)| places.iter().map(move |(p, h)| (&**tenant, p, h)))
    }

    /// All uses.
    pub fn values(&self) -> impl Iterator<Item = &AccountUsage> {
        self.0.values().flat_map(BTreeMap::values)
    }
}

/// A reservation without its settlement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Open {
    /// Whose.
    pub tenant: Box<str>,
    /// How much.
    pub amount: Units,
    /// From what.
    pub slots: Vec<Place>,
    /// The client's identity for it, and its class.
    pub identity: Option<(Box<str>, Box<str>)>,
}

/// A request under an identity that may have run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ran {
    /// Whose.
    pub tenant: Box<str>,
    /// The client's identity for it.
    pub identity: Box<str>,
    /// The class it was asked for.
    pub class: Box<str>,
    /// When it ended.
    pub at: Time,
}

/// The sums of a ledger: what recovery gives, and what a lease's grantor sees.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    /// Use by account and period's start.
    pub usage: UsageTable,
    /// Reservations without settlement, by the request's id.
    pub open: BTreeMap<Box<str>, Open>,
    /// The newest lease taken, and how long it holds.
    pub lease: (u64, Time),
    /// Last time told by any record: no clock goes behind it.
    pub last: Time,
    /// Settled, in all.
    pub settled: u64,
    /// Requests under an identity that may have run, oldest first; bounded in number and age.
    pub ran: VecDeque<Ran>,
    /// Records taken: the number of the last. A ledger's records are numbered without gaps.
    pub sequence: u64,
    /// Refused for want of room, as the newest lease's record told: sum and largest.
    pub wanted: BTreeMap<AccountKey, (Units, Units)>,
}

/// Periods of one account that are remembered after their end, newest first: enough for streams over a
/// period's change, and bounded.
const PERIODS: usize = 4;
/// Identities that may have run are remembered so long, µs, and so many: a day is the longest that settings can
/// ask for.
const REMEMBERED: u64 = 86_400_000_000;
const MOST_REMEMBERED: usize = 100_000;

impl State {
    /// Takes a record by its number. False: it says nothing new, being one that was taken, so that the same
    /// ledger fed twice changes nothing; or it settles what is not open.
    pub fn take(&mut self, number: u64, record: &Record) -> bool {
        if number <= self.sequence {
            return false;
        }
        self.sequence = number;
        match record {
            Record::Started(at) => self.start(*at),
            // Nothing was lost: leases and reservations go on.
            Record::Succeeded(at) => self.last = self.last.max(*at),
            Record::Reserved(charge) => return self.reserve(charge),
            Record::Settled(settled) => return self.settle(settled),
            Record::Adopted(adopted) => return self.adopt(adopted),
            Record::State(state) => {
                *self = (**state).clone();
                self.sequence = number;
            }
        }
        true
    }

    /// What a lease's grantor needs: without single requests.
    pub fn sums(&self) -> Self {
        Self {
            usage: self.usage.clone(),
            wanted: self.wanted.clone(),
            open: BTreeMap::new(),
            ran: VecDeque::new(),
            ..*self
        }
    }

    /// A new life spends nothing by the leases of the one before: what was written of them last may have
    /// been lost with the machine's power.
    fn start(&mut self, at: Time) {
        self.last = self.last.max(at);
        self.lease.1 = Time(0);
        self.wanted.clear();
        for usage in self.usage.0.values_mut().flat_map(BTreeMap::values_mut) {
            usage.ceiling = None;
        }
    }

    fn reserve(&mut self, charge: &Charge) -> bool {
        self.last = self.last.max(charge.at);
        if self.open.contains_key(&charge.id) {
            return false;
        }
        if !charge.slots.is_empty() {
            let of_tenant = self.usage.of_tenant_mut(&charge.tenant);
            let known = of_tenant.len();
            for place in &charge.slots {
                let usage = of_tenant.entry(place.clone()).or_default();
                usage.reserved = usage.reserved.plus(charge.amount);
            }
            // A period that is new puts an old one out.
            if of_tenant.len() > known {
                forget_old(of_tenant);
            }
        }
        let open = Open {
            tenant: charge.tenant.clone(),
            amount: charge.amount,
            slots: charge.slots.clone(),
            identity: charge.identity.clone().map(|i| (i, charge.class.clone())),
        };
        self.open.insert(charge.id.clone(), open);
        true
    }

    fn settle(&mut self, settled: &Settled) -> bool {
        self.last = self.last.max(settled.at);
        let Some(mut open) = self.open.remove(&settled.id) else { return false };
        if let Some((identity, class)) = open.identity.take().filter(|_| settled.may_have_run) {
            self.remember(Ran { tenant: open.tenant.clone(), identity, class, at: settled.at });
        }
        if !open.slots.is_empty() {
            let of_tenant = self.usage.of_tenant_mut(&open.tenant);
            for place in open.slots {
                let usage = of_tenant.entry(place).or_default();
                usage.reserved = usage.reserved.minus(open.amount);
                usage.spent = usage.spent.plus(settled.cost);
            }
        }
        self.settled += 1;
        true
    }

    fn remember(&mut self, ran: Ran) {
        let old = |r: &Ran| ran.at.since(r.at) > REMEMBERED;
        while self.ran.len() >= MOST_REMEMBERED || self.ran.front().is_some_and(old) {
            self.ran.pop_front();
        }
        self.ran.push_back(ran);
    }

    fn adopt(&mut self, adopted: &Adopted) -> bool {
        if adopted.number <= self.lease.0 {
            return false;
        }
        self.last = self.last.max(adopted.at);
        self.lease = (adopted.number, adopted.until);
        for (key, span, ceiling) in &adopted.ceilings {
            let of_tenant = self.usage.of_tenant_mut(&key.tenant);
            let known = of_tenant.len();
            of_tenant.entry(Place::new(key, span.start)).or_default().ceiling = Some(*ceiling);
            if of_tenant.len() > known {
                forget_old(of_tenant);
            }
        }
        self.wanted = adopted.wanted.iter().map(|(k, sum, most)| (k.clone(), (*sum, *most))).collect();
        true
    }
}

/// Drops a tenant's periods beyond those remembered, unless something is open in them.
fn forget_old(places: &mut BTreeMap<Place, AccountUsage>) {
    let mut periods: BTreeMap<(Option<Box<str>>, Kind), usize> = BTreeMap::new();
    let newest_first: Vec<Place> = places.keys().rev().cloned().collect();
    for place in newest_first {
        let n = periods.entry((place.class.clone(), place.kind)).or_default();
        *n += 1;
        if *n > PERIODS && places.get(&place).is_some_and(|h| h.reserved == Units(0)) {
            places.remove(&place);
        }
    }
}
