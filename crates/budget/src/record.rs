//! The records of a router's ledger.
//!
//! Records are stored with postcard, which identifies variants and fields by their order, so neither may be
//! reordered. Renaming is safe except in [`Settled`], which processes also exchange as JSON.

use serde::{Deserialize, Serialize};

use crate::calendar::Period;
use crate::plan::AccountKey;
use crate::state::{AccountPeriod, State};
use crate::units::{Time, Units, Usage};

/// The reservation of an admitted request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request's id at the router.
    pub id: Box<str>,
    /// The tenant; empty if the request has none.
    pub tenant: Box<str>,
    /// The class that the request asked for.
    pub class: Box<str>,
    /// The client's idempotency key.
    pub identity: Option<Box<str>>,
    /// Time of admission, which determines the period and the day on the bill.
    pub at: Time,
    /// Reserved units: the most that the request can cost.
    pub amount: Units,
    /// The account periods that the request is charged to.
    pub account_periods: Vec<AccountPeriod>,
}

/// How a request ended, which determines what is billed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The answer was complete. The engine's token count is billed.
    Served,
    /// The request was rejected. Nothing is billed.
    Refused,
    /// The request failed before the first token of the answer. Nothing is billed.
    Failed,
    /// The answer was interrupted, not by the client. Nothing is billed.
    Broken,
    /// The client disconnected or stopped reading after the answer had begun. The tokens written for it are billed.
    Left,
    /// The client disconnected before the answer began. Nothing is billed.
    LeftEarly,
    /// The router's process ended while the request was open, which disconnected the client. Nothing is billed.
    Orphaned,
}

/// The attempts whose work a request is billed for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BilledAttempts {
    /// The prefill attempt, if another attempt decoded the answer.
    pub prefill: Option<u32>,
    /// The attempt whose answer the client got.
    pub answering: Option<u32>,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The request's id in the reservation.
    pub id: Box<str>,
    /// Time of the settlement.
    pub at: Time,
    /// How the request ended.
    pub ending: Ending,
    /// Billed tokens. For [`Ending::Left`] the router's count, which the bill replaces by the engine's.
    pub usage: Usage,
    /// Units charged to the budget.
    pub cost: Units,
    /// The prefill attempt, if another attempt decoded the answer.
    #[serde(rename = "read")]
    pub prefill_attempt: Option<u32>,
    /// The attempt whose answer the client got.
    #[serde(rename = "write")]
    pub answering_attempt: Option<u32>,
    /// Whether the request may have been executed.
    pub may_have_run: bool,
}

impl Settled {
    /// Returns the billed attempts.
    pub fn attempts(&self) -> BilledAttempts {
        BilledAttempts { prefill: self.prefill_attempt, answering: self.answering_attempt }
    }
}

/// The maximum that a router may spend of an account in a period.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountCeiling {
    /// The account.
    pub key: AccountKey,
    /// The period.
    pub period: Period,
    /// Maximum of spent and reserved units.
    pub ceiling: Units,
}

/// Demand for an account that was denied because the router's share was too small.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeniedDemand {
    /// The account.
    pub key: AccountKey,
    /// Sum of the worst-case costs of all denied requests.
    pub total: Units,
    /// The largest worst-case cost of one denied request.
    pub largest: Units,
}

/// A lease as adopted by a router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdoptedLease {
    /// The round's number.
    pub number: u64,
    /// Time of adoption.
    pub at: Time,
    /// Expiry time: from then on nothing is reserved under the lease.
    pub until: Time,
    /// Changed ceilings; all others stay in force.
    pub ceilings: Vec<AccountCeiling>,
    /// Demand denied since the previous lease.
    pub demand: Vec<DeniedDemand>,
}

/// One record of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The router's process started.
    Started(Time),
    /// The router's process took over from a previous process, which still settles the requests it had admitted.
    Succeeded(Time),
    /// A request was admitted.
    Reserved(Reservation),
    /// A request ended.
    Settled(Settled),
    /// A lease was adopted.
    Adopted(AdoptedLease),
    /// A checkpoint, at which recovery can begin.
    State(Box<State>),
}

impl Record {
    /// Time of the record; `None` for a checkpoint.
    pub fn at(&self) -> Option<Time> {
        match self {
            Self::Started(at) | Self::Succeeded(at) => Some(*at),
            Self::Reserved(reservation) => Some(reservation.at),
            Self::Settled(settled) => Some(settled.at),
            Self::Adopted(lease) => Some(lease.at),
            Self::State(_) => None,
        }
    }

    /// Whether recovery can begin at this record.
    pub fn is_checkpoint(&self) -> bool {
        matches!(self, Self::State(_))
    }
}
