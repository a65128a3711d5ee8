//! Tenant budgets shared by routers that don't communicate with each other, and bills from the routers' ledgers.
//!
//! The crate uses no clock, files or sockets. A [`BudgetEnforcer`] decides which requests one router admits and
//! returns the [`Record`]s that the router's ledger must store. A [`LeaseAllocator`] reads all ledgers and grants
//! leases for the next epoch. [`bill`] joins the ledgers with the engines' own token records. `docs/budgets.md`
//! states and proves the bound on overrun.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// Tests that run a long sequence of events stay single functions.
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
