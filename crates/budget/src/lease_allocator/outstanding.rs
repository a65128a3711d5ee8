//! Granted ceilings that routers may still adopt.

use std::collections::BTreeMap;

use crate::calendar::Period;
use crate::grant::{Allowance, Outstanding};
use crate::plan::AccountKey;
use crate::units::{Time, Units};

use super::{AccountStart, LeaseAllocator, RouterView};

/// Outstanding ceilings of the newest round, by account, then by router.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct OutstandingCeilings(BTreeMap<AccountStart, BTreeMap<Box<str>, Vec<Outstanding>>>);

impl OutstandingCeilings {
    pub fn new(outstanding: &[Outstanding]) -> Self {
        let mut by_account: BTreeMap<AccountStart, BTreeMap<Box<str>, Vec<Outstanding>>> = BTreeMap::new();
        for out in outstanding {
            let account = AccountStart { key: out.key.clone(), start: out.period.start };
            let by_router = by_account.entry(account).or_default();
            by_router.entry(out.router.clone()).or_default().push(out.clone());
        }
        Self(by_account)
    }

    fn of_router(&self, router: &str, account: &AccountStart) -> Option<&[Outstanding]> {
        self.0.get(account)?.get(router).map(Vec::as_slice)
    }

    fn iter(&self) -> impl Iterator<Item = &Outstanding> {
        self.0.values().flat_map(BTreeMap::values).flatten()
    }
}

/// Key of a ceiling. Rounds list ceilings in the order of these keys.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CeilingKey<'a> {
    account: AccountStart,
    router: &'a str,
}

impl<'a> CeilingKey<'a> {
    fn new(key: &AccountKey, period: Period, router: &'a str) -> Self {
        Self { account: AccountStart { key: key.clone(), start: period.start }, router }
    }
}

impl LeaseAllocator {
    /// The highest granted ceiling of a router for an account that the router may still adopt.
    pub(super) fn unconfirmed_ceiling(
        &self,
        router: &str,
        view: &RouterView,
        account: &AccountStart,
    ) -> Option<Units> {
        let granted = self.outstanding.of_router(router, account)?;
        granted.iter().filter(|out| self.may_be_adopted(view, out)).map(|out| out.ceiling).max()
    }

    fn may_be_adopted(&self, view: &RouterView, out: &Outstanding) -> bool {
        out.number > view.state.lease.number && !self.has_expired(view, out.until)
    }

    /// The outstanding ceilings after these grants are delivered.
    pub(super) fn outstanding_after(
        &self,
        grants: &BTreeMap<Box<str>, Vec<Allowance>>,
        number: u64,
        until: Time,
        now: Time,
    ) -> Vec<Outstanding> {
        let mut granted_now: BTreeMap<CeilingKey<'_>, Outstanding> = BTreeMap::new();
        for (router, allowances) in grants {
            for allowance in allowances {
                let out = Outstanding {
                    router: router.clone(),
                    key: allowance.key.clone(),
                    period: allowance.period,
                    ceiling: allowance.ceiling,
                    number,
                    until,
                };
                granted_now.insert(CeilingKey::new(&out.key, out.period, router), out);
            }
            // A lease without changes still extends the ceilings that the router holds.
            for out in self.extended(router, number, until, now) {
                granted_now.entry(CeilingKey::new(&out.key, out.period, router)).or_insert(out);
            }
        }
        let mut all: Vec<Outstanding> = self
            .outstanding
            .iter()
            .filter(|old| self.is_still_outstanding(old, &granted_now, now))
            .cloned()
            .collect();
        all.extend(granted_now.into_values());
        all
    }

    /// The ceilings that a router holds, unless its lease has certainly expired.
    fn extended(&self, router: &str, number: u64, until: Time, now: Time) -> Vec<Outstanding> {
        let Some(view) = self.routers.get(router) else { return Vec::new() };
        if self.has_expired(view, view.state.lease.until) {
            return Vec::new();
        }
        let mut held = Vec::new();
        for (tenant, account, usage) in view.state.usage.iter() {
            let Some(ceiling) = usage.ceiling else { continue };
            let end = self.plan.calendar.period(account.kind, account.start).end;
            let period = Period { start: account.start, end };
            if !self.has_ended(period, now) {
                let key =
                    AccountKey { tenant: tenant.into(), class: account.class.clone(), kind: account.kind };
                held.push(Outstanding { router: router.into(), key, period, ceiling, number, until });
            }
        }
        held
    }

    fn is_still_outstanding(
        &self,
        old: &Outstanding,
        granted_now: &BTreeMap<CeilingKey<'_>, Outstanding>,
        now: Time,
    ) -> bool {
        let may_be_adopted = self.routers.get(&old.router).is_none_or(|view| self.may_be_adopted(view, old));
        // A newer ceiling that is at least as high expires later and replaces the old one.
        let newer = granted_now.get(&CeilingKey::new(&old.key, old.period, &old.router));
        let is_covered = newer.is_some_and(|newer| newer.ceiling >= old.ceiling);
        may_be_adopted && !self.has_ended(old.period, now) && !is_covered
    }

    fn has_ended(&self, period: Period, now: Time) -> bool {
        now > period.end.after(self.terms.clock_error)
    }
}
