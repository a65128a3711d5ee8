//! Adopting leases: from a grant to the ceilings that hold at this router.

use crate::grant::Grant;
use crate::record::{AccountCeiling, AdoptedLease, Record};
use crate::state::AccountPeriod;
use crate::units::Time;

use super::account::GrantedLimit;
use super::BudgetEnforcer;

/// Granted limits kept for a tenant; beyond, those of periods that the state has forgotten are dropped.
const GRANTED_LIMITS_KEPT: usize = 16;

/// Why a grant is not adopted. The lease in force stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdoptLeaseError {
    /// It is for another router.
    #[error("the grant is for another router")]
    NotOurs,
    /// It is not newer than the newest seen.
    #[error("the grant is not newer than the lease in force")]
    Old,
    /// Its time is over.
    #[error("the grant has expired")]
    Expired,
    /// The ledger can't be written, so that the adoption could not be recorded.
    #[error("the ledger can't be written")]
    NoLedger,
}

impl BudgetEnforcer {
    /// Adopts a grant whose signature was checked.
    ///
    /// # Errors
    /// If it is not this router's, not newer than the newest, or expired; or if it can't be recorded.
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
        // Bounds the records that wait for the disk: while it is full nothing but settlements is added.
        if !self.writable {
            return Err(AdoptLeaseError::NoLedger);
        }
        Ok(())
    }

    fn apply_allowances(&mut self, grant: &Grant) -> Vec<AccountCeiling> {
        let mut ceilings = Vec::with_capacity(grant.allowances.len());
        for allowance in &grant.allowances {
            let (key, period) = (&allowance.key, allowance.period);
            // What is used can't be given back; the allocator learns it from the record.
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
