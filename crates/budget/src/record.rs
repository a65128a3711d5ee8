//! The records of a router's ledger.
//!
//! They are stored with postcard, which writes variants and fields by their order: none may be reordered.
//! Renaming is free, but for [`Settled`], which processes also hand over as JSON.

use serde::{Deserialize, Serialize};

use crate::calendar::Period;
use crate::plan::AccountKey;
use crate::state::{AccountPeriod, State};
use crate::units::{Time, Units, Usage};

/// A reservation: a request was admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The router's id of the request.
    pub id: Box<str>,
    /// Tenant; empty: none.
    pub tenant: Box<str>,
    /// The class that it was asked for.
    pub class: Box<str>,
    /// The client's idempotency key.
    pub identity: Option<Box<str>>,
    /// When; decides the period and the bill's day.
    pub at: Time,
    /// The worst case.
    pub amount: Units,
    /// The accounts' periods that it is charged to.
    pub account_periods: Vec<AccountPeriod>,
}

/// How a request ended, for its bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Answered completely: costs what the engine counted.
    Served,
    /// Rejected: costs nothing.
    Refused,
    /// Failed before a token of the answer: costs nothing.
    Failed,
    /// Broke midway, by no fault of the client: costs nothing.
    Broken,
    /// The client left (or stopped reading) after the answer had begun: costs what was written for it.
    Left,
    /// The client left before: costs nothing.
    LeftEarly,
    /// Open when its router's process ended, and its client was cut off: costs nothing.
    Orphaned,
}

/// The attempts whose work a request is billed for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BilledAttempts {
    /// The attempt that read the prompt, where another wrote the answer.
    pub prefill: Option<u32>,
    /// The attempt whose answer it was.
    pub answering: Option<u32>,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The request's id, as reserved.
    pub id: Box<str>,
    /// When.
    pub at: Time,
    /// How the request ended.
    pub ending: Ending,
    /// What is billed; for [`Ending::Left`] by the router's count, which the engine's record corrects.
    pub usage: Usage,
    /// What it cost the budget.
    pub cost: Units,
    /// The attempt that read the prompt, where another wrote the answer.
    #[serde(rename = "read")]
    pub prefill_attempt: Option<u32>,
    /// The attempt whose answer it was.
    #[serde(rename = "write")]
    pub answering_attempt: Option<u32>,
    /// Whether it may have had its effect.
    pub may_have_run: bool,
}

impl Settled {
    /// The attempts that it is billed for.
    pub fn attempts(&self) -> BilledAttempts {
        BilledAttempts { prefill: self.prefill_attempt, answering: self.answering_attempt }
    }
}

/// The most that a router ever spends of an account in a period.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountCeiling {
    /// The account.
    pub key: AccountKey,
    /// The period.
    pub period: Period,
    /// Spent and reserved together never pass it.
    pub ceiling: Units,
}

/// Demand for an account that was denied because the router's share was too small.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeniedDemand {
    /// The account.
    pub key: AccountKey,
    /// The worst cases of all denied requests.
    pub total: Units,
    /// The largest of them.
    pub largest: Units,
}

/// A lease as it holds from its adoption on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdoptedLease {
    /// The round's number.
    pub number: u64,
    /// When it was adopted.
    pub at: Time,
    /// Nothing is reserved under it from then on.
    pub until: Time,
    /// Ceilings that changed; those that are not named stay.
    pub ceilings: Vec<AccountCeiling>,
    /// Denied since the lease before.
    pub demand: Vec<DeniedDemand>,
}

/// One record of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The router's process started.
    Started(Time),
    /// The router's process took over from a predecessor, which still settles what it had admitted.
    Succeeded(Time),
    /// A request was admitted.
    Reserved(Reservation),
    /// It ended.
    Settled(Settled),
    /// A lease was adopted.
    Adopted(AdoptedLease),
    /// A checkpoint: recovery can begin here.
    State(Box<State>),
}

impl Record {
    /// When it was made; a checkpoint has no time of its own.
    pub fn at(&self) -> Option<Time> {
        match self {
            Self::Started(at) | Self::Succeeded(at) => Some(*at),
            Self::Reserved(reservation) => Some(reservation.at),
            Self::Settled(settled) => Some(settled.at),
            Self::Adopted(lease) => Some(lease.at),
            Self::State(_) => None,
        }
    }

    /// Whether recovery can begin with it.
    pub fn is_checkpoint(&self) -> bool {
        matches!(self, Self::State(_))
    }
}
