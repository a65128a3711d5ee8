//! Use of accounts at one router, by tenant, account and period.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::PeriodKind;
use crate::plan::AccountKey;
use crate::units::{Time, Units};

/// Periods of one account that are kept after their end, newest first: enough for requests that run over a
/// period's change, and bounded.
const PERIODS_KEPT: usize = 4;

/// Use of one account in one period at one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Settled.
    pub spent: Units,
    /// Reserved and not settled.
    pub reserved: Units,
    /// The most that may be used here; none: no lease has named it.
    pub ceiling: Option<Units>,
}

impl AccountUsage {
    /// Spent or reserved.
    pub fn used(&self) -> Units {
        self.spent.plus(self.reserved)
    }
}

/// One account in one period, of a tenant that the context names.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountPeriod {
    /// The account's class; none: the tenant's account for all classes.
    pub class: Option<Box<str>>,
    /// Its kind of periods.
    pub kind: PeriodKind,
    /// The period's start.
    pub start: Time,
}

impl AccountPeriod {
    /// The account's period that begins then.
    pub fn new(key: &AccountKey, start: Time) -> Self {
        Self { class: key.class.clone(), kind: key.kind, start }
    }
}

/// The periods of one tenant's accounts.
pub(crate) type TenantUsage = BTreeMap<AccountPeriod, AccountUsage>;

/// Use by tenant, then account and period: a request looks its tenant up once.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageTable(BTreeMap<Box<str>, TenantUsage>);

impl UsageTable {
    /// Use of an account in the period that begins then; empty, if there was none.
    pub fn get(&self, key: &AccountKey, start: Time) -> AccountUsage {
        let of_tenant = self.0.get(&key.tenant);
        of_tenant
            .and_then(|periods| periods.get(&AccountPeriod::new(key, start)))
            .copied()
            .unwrap_or_default()
    }

    /// Use of all accounts of a tenant.
    pub fn of_tenant(&self, tenant: &str) -> Option<&BTreeMap<AccountPeriod, AccountUsage>> {
        self.0.get(tenant)
    }

    /// All use, by tenant, account and period.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &AccountPeriod, &AccountUsage)> {
        self.0.iter().flat_map(|(tenant, periods)| {
            periods.iter().map(move |(account_period, usage)| (&**tenant, account_period, usage))
        })
    }

    /// All use, without whose it is.
    pub fn values(&self) -> impl Iterator<Item = &AccountUsage> {
        self.0.values().flat_map(BTreeMap::values)
    }

    /// Use of all accounts of a tenant, which need not be known yet.
    pub(crate) fn of_tenant_mut(&mut self, tenant: &str) -> &mut TenantUsage {
        if !self.0.contains_key(tenant) {
            self.0.insert(tenant.into(), BTreeMap::new());
        }
        self.0.entry(tenant.into()).or_default()
    }

    /// No lease holds any more.
    pub(crate) fn clear_ceilings(&mut self) {
        for usage in self.0.values_mut().flat_map(BTreeMap::values_mut) {
            usage.ceiling = None;
        }
    }
}

/// Drops a tenant's periods beyond those kept, unless something is reserved in them.
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
