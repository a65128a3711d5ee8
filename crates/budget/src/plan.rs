//! What is agreed with tenants: budgets, rates and prices.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::{Calendar, PeriodKind};
use crate::units::{Units, Usage, Weights};

/// An account: one budget of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountKey {
    /// Whose.
    pub tenant: Box<str>,
    /// For one class of requests, or for all.
    pub class: Option<Box<str>>,
    /// Its periods.
    pub kind: PeriodKind,
}

impl std::fmt::Display for AccountKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.tenant, self.class.as_deref().unwrap_or("*"), self.kind.name())
    }
}

/// What happens to a request that the budget does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HardLimitAction {
    /// It is refused, with a time to come back.
    Refuse,
    /// Its longest answer is cut to what is left, down to so many tokens; below, it is refused.
    Clamp(u64),
}

/// What happens past the soft limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoftLimitAction {
    /// It is told of.
    Warn,
    /// Answers are no longer than so many tokens.
    Clamp(u64),
    /// Requests are taken as of this class.
    Lower(Box<str>),
}

/// A budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// For each period; never passed but by the stated bound.
    pub hard: Units,
    /// Thousandths of `hard` from which `at_soft` holds; 1,000: never.
    pub soft: u32,
    /// Past the soft limit.
    pub at_soft: SoftLimitAction,
    /// At the hard one.
    pub at_hard: HardLimitAction,
    /// Thousandths of `hard` whose passing is told of, in order.
    pub marks: Vec<u32>,
}

/// A limit on tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// Units a second, over all routers.
    pub per_second: Units,
    /// What may come at once after a rest, over all routers.
    pub burst: Units,
}

/// Prices from a day on, in millionths of the currency's smallest unit for a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Price {
    /// First day, as `2026-12-01`; days compare as texts.
    pub from: String,
    /// The smallest unit's name, such as `Rp`.
    pub currency: String,
    /// A prompt token that was read.
    pub prompt: u64,
    /// One that was kept.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// A token of an answer.
    pub output: u64,
}

impl Price {
    /// Millionths of the smallest unit; rounded only in sums of a bill.
    pub fn of(&self, usage: Usage) -> u128 {
        let cached = usage.cached.min(usage.prompt);
        u128::from(usage.prompt - cached) * u128::from(self.prompt)
            + u128::from(cached) * u128::from(self.cached)
            + u128::from(usage.output) * u128::from(self.output)
    }
}

/// Who says how much this router may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The same part of each budget at each of so many routers.
    Shares(u32),
    /// Leases. Until a first one is taken nothing is; refused requests are told to come back after so
    /// many µs (the settlement job's epoch).
    Leases {
        /// The settlement job's epoch, µs.
        epoch: u64,
        /// Routers, for the rate limits' parts.
        routers: u32,
    },
    /// Nothing is held back: for the baseline of a rehearsal only.
    Unreserved(u32),
}

/// All that is agreed. Tenants without a budget are taken without limit and billed all the same.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The zone by whose calendar periods and days are.
    pub calendar: Calendar,
    /// What tokens count.
    pub weights: Weights,
    /// Budgets.
    pub limits: BTreeMap<AccountKey, Limit>,
    /// Rates by tenant.
    pub rates: BTreeMap<Box<str>, RateLimit>,
    /// Thousandths by which the estimate of a prompt is raised for its reservation.
    pub margin: u32,
    /// Who says what this router may spend.
    pub mode: Mode,
    /// Prices, in order of their first days.
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
    /// The price of a day: the last that began by then.
    pub fn price(&self, day: &str) -> Option<&Price> {
        self.prices.iter().rfind(|p| p.from.as_str() <= day)
    }

    /// The estimate of a prompt, raised by the margin.
    pub fn with_margin(&self, prompt: u64) -> u64 {
        prompt.saturating_add(prompt.saturating_mul(self.margin.into()).div_ceil(1_000))
    }
}
