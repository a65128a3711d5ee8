//! Tokens a second: a bucket that may go into debt, filled by whole units.

use crate::units::{Time, Units};

/// A token bucket at one router. A request is taken if the bucket holds its worst case, or is full; what
/// was not used comes back at its settlement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Bucket {
    per_second: u64,
    burst: i64,
    level: i64,
    /// Filled up to there; the rest of a unit stays in time.
    at: Time,
}

const SECOND: u128 = 1_000_000;

impl Bucket {
    pub fn new(per_second: Units, burst: Units, now: Time) -> Self {
        let burst = i64::try_from(burst.0).unwrap_or(i64::MAX).max(1);
        Self { per_second: per_second.0.max(1), burst, level: burst, at: now }
    }

    /// Keeps its level within new limits.
    pub fn change(&mut self, per_second: Units, burst: Units) {
        self.per_second = per_second.0.max(1);
        self.burst = i64::try_from(burst.0).unwrap_or(i64::MAX).max(1);
        self.level = self.level.min(self.burst);
    }

    fn fill(&mut self, now: Time) {
        let passed = u128::from(now.since(self.at));
        let units = passed * u128::from(self.per_second) / SECOND;
        if units == 0 {
            return;
        }
        let micros = (units * SECOND).div_ceil(u128::from(self.per_second));
        self.at = self.at.after(u64::try_from(micros).unwrap_or(u64::MAX)).min(now);
        self.level = self.level.saturating_add(i64::try_from(units).unwrap_or(i64::MAX)).min(self.burst);
    }

    /// Whether so much may be taken now; if not, in how many µs.
    pub fn room(&mut self, now: Time, units: Units) -> Result<(), u64> {
        self.fill(now);
        let wanted = i64::try_from(units.0).unwrap_or(i64::MAX).min(self.burst);
        let short = wanted.saturating_sub(self.level);
        if short <= 0 {
            return Ok(());
        }
        let wait = (u128::from(short.unsigned_abs()) * SECOND).div_ceil(u128::from(self.per_second));
        Err(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    pub fn take(&mut self, units: Units) {
        self.level = self.level.saturating_sub(i64::try_from(units.0).unwrap_or(i64::MAX));
    }

    pub fn give_back(&mut self, units: Units) {
        let level = self.level.saturating_add(i64::try_from(units.0).unwrap_or(i64::MAX));
        self.level = level.min(self.burst);
    }
}

#[cfg(test)]
#[path = "rate_test.rs"]
mod tests;
