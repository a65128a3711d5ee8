//! Adoption of leases: turns a grant into the ceilings in force at this router.

use crate::grant::Grant;
use crate::record::{AccountCeiling, AdoptedLease, Record};
use crate::state::AccountPeriod;
use crate::units::Time;

use super::account::GrantedLimit;
use super::BudgetEnforcer;

/// Number of granted limits of a tenant from which limits of periods that are no longer in the state are dropped.
const GRANTED_LIMITS_KEPT: usize = 16;

/// Why a grant is not adopted. The current lease stays in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdoptLeaseError {
    /// The grant is for another router.
    #[error("the grant is for another router")]
    NotOurs,
    /// The grant is not newer than the current lease.
    #[error("the grant is not newer than the lease in force")]
    Old,
    /// The grant has expired.
    #[error("the grant has expired")]
    Expired,
    /// The ledger can't be written, so the adoption can't be recorded.
    #[error("the ledger can't be written")]
    NoLedger,
}

impl BudgetEnforcer {
    /// Adopts a grant whose signature was verified.
    ///
    /// # Errors
    /// If the grant is for another router, is not newer than the current lease or has expired, or if the ledger
    /// can't be written.
    pub fn adopt(&mut self, now: Time, grant: &Grant) -> Result<(), AdoptLeaseError> {
        let now = self.monotonic(now);
        self.check(now, grant)?;
        let ceilings = self.apply_allowances(grant);
        let demand = self.tenants.values_mut().flat_map(|tenant| tenant.take_demand()).collect();
        self.record(Record::Adopted(AdoptedLease {
            number: grant.number,
            at: now,
            until: grant.until,
            ceilings,
            demand,
        }));
        self.forget_granted_limits();
        Ok(())
    }

    fn check(&self, now: Time, grant: &Grant) -> Result<(), AdoptLeaseError> {
        if grant.router != self.router {
            return Err(AdoptLeaseError::NotOurs);
        }
        if grant.number <= self.state.lease.number {
            return Err(AdoptLeaseError::Old);
        }
        if grant.until <= now {
            return Err(AdoptLeaseError::Expired);
        }
        // Bounds the records that wait for the disk: while the disk is full, only settlements are added.
        if !self.writable {
            return Err(AdoptLeaseError::NoLedger);
        }
        Ok(())
    }

    fn apply_allowances(&mut self, grant: &Grant) -> Vec<AccountCeiling> {
        let mut ceilings = Vec::with_capacity(grant.allowances.len());
        for allowance in &grant.allowances {
            let (key, period) = (&allowance.key, allowance.period);
            // Used units can't be returned, so the ceiling is at least the usage. The record tells the allocator.
            let used = self.state.usage.get(key, period.start).used();
            ceilings.push(AccountCeiling { key: key.clone(), period, ceiling: allowance.ceiling.max(used) });
            if let Some(tenant) = self.tenants.get_mut(&key.tenant) {
                let granted = GrantedLimit { limit: allowance.limit, used_elsewhere: allowance.elsewhere };
                tenant.granted.insert(AccountPeriod::new(key, period.start), granted);
            }
        }
        ceilings
    }

    fn forget_granted_limits(&mut self) {
        for (name, tenant) in &mut self.tenants {
            if tenant.granted.len() > GRANTED_LIMITS_KEPT {
                let usage = self.state.usage.of_tenant(name);
                tenant.granted.retain(|account, _| usage.is_some_and(|known| known.contains_key(account)));
            }
        }
    }
}
