//! Tenant budgets across routers that don't talk to each other, and the bills that follow from them.
//!
//! Sans-IO: no clock, no files, no sockets. A [`BudgetEnforcer`] decides at one router what may be spent there and
//! gives the [`Record`]s that its ledger must keep; a [`LeaseAllocator`] reads all ledgers and grants leases for
//! the next epoch; [`bill`] joins ledgers with the engines' own records of tokens. The bound on overrun and
//! its proof stand in `docs/budgets.md`.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test that plays a long sequence stays one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub mod bill;
mod budget_enforcer;
mod calendar;
mod grant;
mod lease_allocator;
#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]
mod lease_test;
mod plan;
mod record;
mod state;
mod token_bucket;
mod units;
mod usage_table;

pub use budget_enforcer::{
    Admission, AdoptLeaseError, BudgetEnforcer, BudgetMark, Denial, DenialReason, Figures, ReservationRequest,
};
pub use calendar::{Calendar, Period, PeriodKind};
pub use grant::{Allowance, Grant, Outstanding, Round, SignatureError, SigningKey};
pub use lease_allocator::{AccountStart, AccountSummary, JournalForkError, LeaseAllocator, LeaseTerms};
pub use plan::{AccountKey, HardLimitAction, Limit, Mode, Plan, Price, RateLimit, SoftLimitAction};
pub use record::{
    AccountCeiling, AdoptedLease, BilledAttempts, DeniedDemand, Ending, Record, Reservation, Settled,
};
pub use state::{Demand, ExecutedRequest, Lease, OpenReservation, RequestIdentity, State};
pub use units::{Time, Units, Usage, Weights};
pub use usage_table::{AccountPeriod, AccountUsage, UsageTable};
