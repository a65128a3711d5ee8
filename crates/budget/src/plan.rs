//! Budgets, rates and prices of tenants.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::{Calendar, PeriodKind};
use crate::units::{Units, Usage, Weights};

/// Key of an account, which is one budget of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountKey {
    /// The tenant's name.
    pub tenant: Box<str>,
    /// The class of requests; `None` for all classes.
    pub class: Option<Box<str>>,
    /// Kind of the account's periods.
    pub kind: PeriodKind,
}

impl std::fmt::Display for AccountKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.tenant, self.class.as_deref().unwrap_or("*"), self.kind.name())
    }
}

/// Action for a request that exceeds the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HardLimitAction {
    /// Rejects the request with a retry time.
    Refuse,
    /// Limits the answer to the remaining budget. Below this many tokens the request is rejected.
    Clamp(u64),
}

/// Action for requests above the soft limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoftLimitAction {
    /// Warns only.
    Warn,
    /// Limits answers to this many tokens.
    Clamp(u64),
    /// Handles requests as this class.
    Lower(Box<str>),
}

/// Budget of an account for each period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// Hard limit of a period, exceeded by no more than the documented bound on overrun.
    pub hard: Units,
    /// Soft limit in thousandths of `hard`; 1,000 disables it.
    pub soft: u32,
    /// Action above the soft limit.
    pub at_soft: SoftLimitAction,
    /// Action at the hard limit.
    pub at_hard: HardLimitAction,
    /// Warning marks in thousandths of `hard`, in ascending order.
    pub marks: Vec<u32>,
}

/// Limit on tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// Units per second over all routers.
    pub per_second: Units,
    /// Maximum burst in units over all routers.
    pub burst: Units,
}

/// Token prices that apply from a day on, in millionths of the currency's smallest unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Price {
    /// First day, such as `2026-12-01`. Days are compared as strings.
    pub from: String,
    /// Name of the currency's smallest unit, such as `Rp`.
    pub currency: String,
    /// Price of a prompt token that was computed.
    pub prompt: u64,
    /// Price of a cached prompt token.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// Price of an output token.
    pub output: u64,
}

impl Price {
    /// Price of a usage in millionths of the smallest unit. Only sums of a bill are rounded.
    pub fn of(&self, usage: Usage) -> u128 {
        let cached = usage.cached.min(usage.prompt);
        u128::from(usage.prompt - cached) * u128::from(self.prompt)
            + u128::from(cached) * u128::from(self.cached)
            + u128::from(usage.output) * u128::from(self.output)
    }
}

/// How the part of the budget that a router may spend is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each of this many routers may spend an equal share of each budget.
    Shares(u32),
    /// The settlement job leases parts of the budget to routers. A router without a lease admits nothing. Rejected
    /// requests are to be retried after one epoch.
    Leases {
        /// The settlement job's epoch in microseconds.
        epoch: u64,
        /// Number of routers among which rate limits are divided.
        routers: u32,
    },
    /// Reservations are not counted. Only the baseline of a rehearsal uses this mode; the value is the number of
    /// routers.
    Unreserved(u32),
}

/// Budgets, rates and prices. Requests of tenants without a budget are admitted without limit and billed.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Calendar of the time zone in which periods and days are computed.
    pub calendar: Calendar,
    /// Weights of tokens.
    pub weights: Weights,
    /// Budgets by account.
    pub limits: BTreeMap<AccountKey, Limit>,
    /// Rates by tenant.
    pub rates: BTreeMap<Box<str>, RateLimit>,
    /// Thousandths added to the estimated tokens of a prompt for its reservation.
    pub margin: u32,
    /// How the part of the budget that this router may spend is determined.
    pub mode: Mode,
    /// Prices in order of their first days.
    pub prices: Vec<Price>,
}

impl Mode {
    /// The number of routers among which rates are divided; at least 1.
    pub fn routers(self) -> u64 {
        match self {
            Self::Shares(routers) | Self::Leases { routers, .. } | Self::Unreserved(routers) => {
                u64::from(routers.max(1))
            }
        }
    }
}

impl Plan {
    /// The price of a day: the newest one whose first day is not later.
    pub fn price(&self, day: &str) -> Option<&Price> {
        self.prices.iter().rfind(|p| p.from.as_str() <= day)
    }

    /// The estimated tokens of a prompt plus the margin.
    pub fn with_margin(&self, prompt: u64) -> u64 {
        prompt.saturating_add(prompt.saturating_mul(self.margin.into()).div_ceil(1_000))
    }
}
