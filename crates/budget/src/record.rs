//! What a router's ledger keeps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::{Kind, Span};
use crate::plan::AccountKey;
use crate::units::{Time, Units, Usage};

/// The period of an account that a reservation was charged to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// Of the tenant's account for one class, or for all.
    pub class: Option<Box<str>>,
    /// Its periods.
    pub kind: Kind,
    /// The period's start.
    pub start: Time,
}

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
    pub slots: Vec<Slot>,
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
pub struct Held {
    /// Settled.
    pub spent: Units,
    /// Reserved and not settled.
    pub reserved: Units,
    /// The most that may be used here; none: no lease has told it.
    pub ceiling: Option<Units>,
}

impl Held {
    /// Spent or reserved.
    pub fn used(&self) -> Units {
        self.spent.plus(self.reserved)
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
    pub slots: Vec<(Option<Box<str>>, Kind, Time)>,
}

/// The sums of a ledger: what recovery gives, and what a lease's grantor sees.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    /// Use by account and period's start.
    pub held: BTreeMap<(AccountKey, Time), Held>,
    /// Reservations without settlement, by the request's id.
    pub open: BTreeMap<Box<str>, Open>,
    /// The newest lease taken, and how long it holds.
    pub lease: (u64, Time),
    /// Last time told by any record: no clock goes behind it.
    pub last: Time,
    /// Settled, in all.
    pub settled: u64,
    /// Records taken: the number of the last. A ledger's records are numbered without gaps.
    pub sequence: u64,
    /// Refused for want of room, as the newest lease's record told: sum and largest.
    pub wanted: BTreeMap<AccountKey, (Units, Units)>,
}

/// Periods of one account that are remembered after their end, newest first: enough for streams over a
/// period's change, and bounded.
const PERIODS: usize = 4;

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

    /// A new life spends nothing by the leases of the one before: what was written of them last may have
    /// been lost with the machine's power.
    fn start(&mut self, at: Time) {
        self.last = self.last.max(at);
        self.lease.1 = Time(0);
        self.wanted.clear();
        for held in self.held.values_mut() {
            held.ceiling = None;
        }
    }

    fn reserve(&mut self, charge: &Charge) -> bool {
        self.last = self.last.max(charge.at);
        if self.open.contains_key(&charge.id) {
            return false;
        }
        let slots = charge.slots.iter().map(|s| (s.class.clone(), s.kind, s.start)).collect();
        let open = Open { tenant: charge.tenant.clone(), amount: charge.amount, slots };
        for (key, start) in accounts(&open) {
            let held = self.held.entry((key, start)).or_default();
            held.reserved = held.reserved.plus(charge.amount);
        }
        self.open.insert(charge.id.clone(), open);
        true
    }

    fn settle(&mut self, settled: &Settled) -> bool {
        self.last = self.last.max(settled.at);
        let Some(open) = self.open.remove(&settled.id) else { return false };
        for (key, start) in accounts(&open) {
            let held = self.held.entry((key, start)).or_default();
            held.reserved = held.reserved.minus(open.amount);
            held.spent = held.spent.plus(settled.cost);
        }
        self.settled += 1;
        true
    }

    fn adopt(&mut self, adopted: &Adopted) -> bool {
        if adopted.number <= self.lease.0 {
            return false;
        }
        self.last = self.last.max(adopted.at);
        self.lease = (adopted.number, adopted.until);
        for (key, span, ceiling) in &adopted.ceilings {
            self.held.entry((key.clone(), span.start)).or_default().ceiling = Some(*ceiling);
        }
        self.wanted = adopted.wanted.iter().map(|(k, sum, most)| (k.clone(), (*sum, *most))).collect();
        self.forget_old();
        true
    }

    /// Drops periods that are over, beyond those remembered.
    pub fn forget_old(&mut self) {
        let mut periods: BTreeMap<&AccountKey, usize> = BTreeMap::new();
        let mut old = Vec::new();
        for ((key, start), held) in self.held.iter().rev() {
            let n = periods.entry(key).or_default();
            *n += 1;
            if *n > PERIODS && held.reserved == Units(0) {
                old.push((key.clone(), *start));
            }
        }
        for key in old {
            self.held.remove(&key);
        }
    }
}

/// The accounts and periods that a reservation was charged to.
pub(crate) fn accounts(open: &Open) -> impl Iterator<Item = (AccountKey, Time)> + '_ {
    open.slots.iter().map(|(class, kind, start)| {
        (AccountKey { tenant: open.tenant.clone(), class: class.clone(), kind: *kind }, *start)
    })
}
