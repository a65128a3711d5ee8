//! Tenant budgets across routers that don't talk to each other, and the bills that follow from them.
//!
//! Sans-IO: no clock, no files, no sockets. A [`BudgetEnforcer`] decides at one router what may be spent there and
//! gives the [`Record`]s that its ledger must keep; a [`LeaseAllocator`] reads all ledgers and grants leases for
//! the next epoch; [`bill`] joins ledgers with the engines' own records of tokens. The bound on overrun and
//! its proof stand in `docs/budgets.md`.

pub mod bill;
mod budget_enforcer;
mod calendar;
mod grant;
mod lease_allocator;
#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]
mod lease_test;
mod plan;
mod rate;
mod record;
mod units;

pub use budget_enforcer::{
    Admission, AdoptLeaseError, BudgetEnforcer, Denial, DenialReason, Figures, ReservationRequest,
};
pub use calendar::{Calendar, Kind, Span};
pub use grant::{Allowance, Grant, Outstanding, Round, SignatureError, SigningKey};
pub use lease_allocator::{AccountSummary, JournalForkError, LeaseAllocator, LeaseTerms};
pub use plan::{AccountKey, AtHard, AtSoft, Limit, Mode, Plan, Price, RateLimit};
pub use record::{
    AccountUsage, Adopted, Charge, Ending, Open, Place, Ran, Record, Settled, State, UsageTable,
};
pub use units::{Time, Units, Usage, Weights};
