//! Token rate limits: a token bucket whose level may become negative, refilled in integral units.

use crate::units::{Time, Units};

/// The token bucket of a tenant at one router. A request is admitted if the bucket holds the request's worst-case
/// cost or is full. The unused part is returned at the settlement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TokenBucket {
    per_second: u64,
    burst: i64,
    level: i64,
    /// Time up to which the bucket was refilled. The time for a fraction of a unit carries over.
    filled_at: Time,
}

/// Microseconds in a second.
const MICROS_PER_SECOND: u128 = 1_000_000;

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: Units, burst: Units, now: Time) -> Self {
        let burst = i64::try_from(burst.0).unwrap_or(i64::MAX).max(1);
        Self { per_second: per_second.0.max(1), burst, level: burst, filled_at: now }
    }

    /// Changes the rate and the burst. The level is limited to the new burst.
    pub fn change(&mut self, per_second: Units, burst: Units) {
        self.per_second = per_second.0.max(1);
        self.burst = i64::try_from(burst.0).unwrap_or(i64::MAX).max(1);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: Time) {
        let passed = u128::from(now.since(self.filled_at));
        let units = passed * u128::from(self.per_second) / MICROS_PER_SECOND;
        if units == 0 {
            return;
        }
        let micros = (units * MICROS_PER_SECOND).div_ceil(u128::from(self.per_second));
        self.filled_at = self.filled_at.after(u64::try_from(micros).unwrap_or(u64::MAX)).min(now);
        self.level = self.level.saturating_add(i64::try_from(units).unwrap_or(i64::MAX)).min(self.burst);
    }

    /// Checks whether the units may be taken now.
    ///
    /// # Errors
    /// The waiting time in microseconds.
    pub fn check_available(&mut self, now: Time, units: Units) -> Result<(), u64> {
        self.refill(now);
        let wanted = i64::try_from(units.0).unwrap_or(i64::MAX).min(self.burst);
        let short = wanted.saturating_sub(self.level);
        if short <= 0 {
            return Ok(());
        }
        let wait =
            (u128::from(short.unsigned_abs()) * MICROS_PER_SECOND).div_ceil(u128::from(self.per_second));
        Err(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// Takes units; the level may become negative.
    pub fn take(&mut self, units: Units) {
        self.level = self.level.saturating_sub(i64::try_from(units.0).unwrap_or(i64::MAX));
    }

    /// Returns unused units.
    pub fn give_back(&mut self, units: Units) {
        let level = self.level.saturating_add(i64::try_from(units.0).unwrap_or(i64::MAX));
        self.level = level.min(self.burst);
    }
}

#[cfg(test)]
#[path = "token_bucket_test.rs"]
mod tests;
