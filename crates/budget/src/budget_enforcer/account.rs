//! Tenants and accounts at one router, and the capacity of an account.

use std::collections::BTreeMap;

use crate::plan::{AccountKey, HardLimitAction, Limit, Mode, Plan, RateLimit, SoftLimitAction};
use crate::record::DeniedDemand;
use crate::state::{AccountPeriod, AccountUsage, Demand};
use crate::token_bucket::TokenBucket;
use crate::units::{Time, Units};

use super::admission::{Admission, DenialReason};
use super::router_part;

/// Value of the soft limit, in thousandths of the budget, that disables it.
const NO_SOFT_LIMIT: u32 = 1_000;

/// Budget and usage of an account period over all routers, from the newest grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct GrantedLimit {
    /// The budget, including manual adjustments.
    pub limit: Units,
    /// Units used at all other routers.
    pub used_elsewhere: Units,
}

/// A tenant at this router.
#[derive(Debug, Clone, Default)]
pub(super) struct TenantAccount {
    pub limits: Vec<(AccountKey, Limit)>,
    pub granted: BTreeMap<AccountPeriod, GrantedLimit>,
    pub bucket: Option<TokenBucket>,
    /// Demand denied since the last lease because this router's share was too small.
    pub demand: BTreeMap<AccountKey, Demand>,
    /// Requests denied since the process started.
    pub denied: u64,
}

/// Returns the tenants of a plan.
pub(super) fn tenants_of(plan: &Plan) -> BTreeMap<Box<str>, TenantAccount> {
    let mut tenants: BTreeMap<Box<str>, TenantAccount> = BTreeMap::new();
    for (key, limit) in &plan.limits {
        let tenant = tenants.entry(key.tenant.clone()).or_default();
        tenant.limits.push((key.clone(), limit.clone()));
    }
    for name in plan.rates.keys() {
        tenants.entry(name.clone()).or_default();
    }
    tenants
}

impl TenantAccount {
    /// Applies a new plan. The token bucket is kept if the plan has a rate for the tenant.
    pub fn with_plan(self, limits: Vec<(AccountKey, Limit)>, rate: Option<&RateLimit>, mode: Mode) -> Self {
        let mut bucket = self.bucket.filter(|_| rate.is_some());
        if let (Some(bucket), Some(rate)) = (&mut bucket, rate) {
            bucket.change(router_part(rate.per_second, mode), router_part(rate.burst, mode));
        }
        Self { limits, bucket, ..self }
    }

    /// Takes the denied demand, which the record of the next lease reports to the allocator.
    pub fn take_demand(&mut self) -> impl Iterator<Item = DeniedDemand> {
        let demand = std::mem::take(&mut self.demand);
        demand.into_iter().map(|(key, demand)| DeniedDemand {
            key,
            total: demand.total,
            largest: demand.largest,
        })
    }
}

/// Units that may still be reserved, and the reason for a denial if they do not suffice.
pub(super) struct Capacity {
    pub available: Units,
    pub limited_by: DenialReason,
}

/// An account in its current period, for one decision.
pub(super) struct AccountBalance<'a> {
    pub key: &'a AccountKey,
    pub limit: &'a Limit,
    pub usage: AccountUsage,
    /// `None` if no grant has included the period.
    pub granted: Option<GrantedLimit>,
}

impl AccountBalance<'_> {
    /// Capacity that may still be reserved at this router.
    pub fn capacity(&self, mode: Mode, lease_until: Time, now: Time) -> Capacity {
        match mode {
            Mode::Shares(routers) => {
                let share = self.limit.hard.share(1, routers.into());
                let limited_by = match routers {
                    0 | 1 => DenialReason::BudgetExhausted,
                    _ => DenialReason::RouterShareExhausted,
                };
                Capacity { available: share.minus(self.usage.used()), limited_by }
            }
            Mode::Unreserved(_) => {
                // Reservations don't count: every request fits until this router has spent the budget.
                let unspent = self.limit.hard.minus(self.usage.spent);
                let available = if unspent > Units(0) { Units(u64::MAX) } else { unspent };
                Capacity { available, limited_by: DenialReason::BudgetExhausted }
            }
            Mode::Leases { .. } if lease_until <= now => {
                Capacity { available: Units(0), limited_by: DenialReason::NoLease }
            }
            Mode::Leases { .. } => self.leased_capacity(),
        }
    }

    fn leased_capacity(&self) -> Capacity {
        let used = self.usage.used();
        let Some(ceiling) = self.usage.ceiling else {
            return Capacity { available: Units(0), limited_by: DenialReason::RouterShareExhausted };
        };
        let is_exhausted =
            self.granted.is_some_and(|granted| granted.used_elsewhere.plus(used) >= granted.limit);
        let limited_by = match is_exhausted {
            true => DenialReason::BudgetExhausted,
            false => DenialReason::RouterShareExhausted,
        };
        Capacity { available: ceiling.minus(used), limited_by }
    }

    /// Thousandths of the budget that are used after `more` additional units. Includes other routers as far as
    /// grants report their usage.
    pub fn used_thousandths(&self, mode: Mode, more: Units) -> u32 {
        let (usage, hard) = (self.usage, self.limit.hard);
        let (total, used) = match (mode, self.granted) {
            (Mode::Shares(routers), _) => (hard.share(1, routers.into()), usage.used()),
            (Mode::Unreserved(_), _) => (hard, usage.spent),
            (Mode::Leases { .. }, Some(granted)) => {
                (granted.limit, usage.used().plus(granted.used_elsewhere))
            }
            (Mode::Leases { .. }, None) => (hard, usage.used()),
        };
        let part = u128::from(used.plus(more).0) * 1_000 / u128::from(total.0.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Limits the answer or lowers the class of a request above the soft limit, as the plan demands.
    pub fn apply_soft_limit(&self, mode: Mode, admission: &mut Admission) {
        let soft = self.limit.soft;
        if soft >= NO_SOFT_LIMIT || self.used_thousandths(mode, Units(0)) < soft {
            return;
        }
        match &self.limit.at_soft {
            SoftLimitAction::Warn => {}
            SoftLimitAction::Clamp(longest) => admission.output = admission.output.min(*longest),
            SoftLimitAction::Lower(class) => admission.lower_to = Some(class.clone()),
        }
    }

    /// The longest answer, up to the requested length, whose worst-case cost is available. `None` if the request
    /// does not fit and the plan does not allow an answer that short.
    pub fn longest_answer(&self, plan: &Plan, prompt: u64, output: u64, available: Units) -> Option<u64> {
        let weights = plan.weights;
        if weights.worst(prompt, output) <= available {
            return Some(output);
        }
        let HardLimitAction::Clamp(shortest) = self.limit.at_hard else { return None };
        let for_output = available.minus(weights.worst(prompt, 0));
        let longest = for_output.0 / u64::from(weights.output.max(1));
        if longest < shortest.max(1) || weights.worst(prompt, longest) > available {
            return None;
        }
        Some(output.min(longest))
    }
}
