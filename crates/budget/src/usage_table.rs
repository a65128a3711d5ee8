//! Usage of accounts at one router, by tenant, account and period.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::PeriodKind;
use crate::plan::AccountKey;
use crate::units::{Time, Units};

/// Number of newest periods kept for each account. Requests that run across the end of a period need the previous
/// ones; the limit bounds the size of the table.
const PERIODS_KEPT: usize = 4;

/// Usage of one account in one period at one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Settled units.
    pub spent: Units,
    /// Units that are reserved and not settled.
    pub reserved: Units,
    /// Maximum usage at this router; `None` if no lease has set it.
    pub ceiling: Option<Units>,
}

impl AccountUsage {
    /// Sum of spent and reserved units.
    pub fn used(&self) -> Units {
        self.spent.plus(self.reserved)
    }
}

/// One account in one period. The tenant is known from the context.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountPeriod {
    /// The account's class; `None` for the tenant's account for all classes.
    pub class: Option<Box<str>>,
    /// Kind of the account's periods.
    pub kind: PeriodKind,
    /// The period's start.
    pub start: Time,
}

impl AccountPeriod {
    /// The period of an account that begins at `start`.
    pub fn new(key: &AccountKey, start: Time) -> Self {
        Self { class: key.class.clone(), kind: key.kind, start }
    }
}

/// The periods of one tenant's accounts.
pub(crate) type TenantUsage = BTreeMap<AccountPeriod, AccountUsage>;

/// Usage by tenant, then by account and period, so that a request needs one lookup of its tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageTable(BTreeMap<Box<str>, TenantUsage>);

impl UsageTable {
    /// Usage of an account in the period that begins at `start`; zero if there is none.
    pub fn get(&self, key: &AccountKey, start: Time) -> AccountUsage {
        let of_tenant = self.0.get(&key.tenant);
        of_tenant
            .and_then(|periods| periods.get(&AccountPeriod::new(key, start)))
            .copied()
            .unwrap_or_default()
    }

    /// Usage of all accounts of a tenant.
    pub fn of_tenant(&self, tenant: &str) -> Option<&BTreeMap<AccountPeriod, AccountUsage>> {
        self.0.get(tenant)
    }

    /// Iterates over all usage with its tenant, account and period.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &AccountPeriod, &AccountUsage)> {
        self.0.iter().flat_map(|(tenant, periods)| {
            periods.iter().map(move |(account_period, usage)| (&**tenant, account_period, usage))
        })
    }

    /// Iterates over all usage without its keys.
    pub fn values(&self) -> impl Iterator<Item = &AccountUsage> {
        self.0.values().flat_map(BTreeMap::values)
    }

    /// Usage of all accounts of a tenant, which is added if it is unknown.
    pub(crate) fn of_tenant_mut(&mut self, tenant: &str) -> &mut TenantUsage {
        if !self.0.contains_key(tenant) {
            self.0.insert(tenant.into(), BTreeMap::new());
        }
        self.0.entry(tenant.into()).or_default()
    }

    /// Removes all ceilings, so that no lease is in force.
    pub(crate) fn clear_ceilings(&mut self) {
        for usage in self.0.values_mut().flat_map(BTreeMap::values_mut) {
            usage.ceiling = None;
        }
    }
}

/// Removes a tenant's periods beyond [`PERIODS_KEPT`], except those with open reservations.
pub(crate) fn forget_old_periods(periods: &mut TenantUsage) {
    let mut newer: BTreeMap<(Option<Box<str>>, PeriodKind), usize> = BTreeMap::new();
    let newest_first: Vec<AccountPeriod> = periods.keys().rev().cloned().collect();
    for account_period in newest_first {
        let count = newer.entry((account_period.class.clone(), account_period.kind)).or_default();
        *count += 1;
        let is_settled = periods.get(&account_period).is_some_and(|usage| usage.reserved == Units(0));
        if *count > PERIODS_KEPT && is_settled {
            periods.remove(&account_period);
        }
    }
}
