//! Limits the rate of log lines about single requests, and counts the lines that are left out.

use std::time::{Duration, Instant};

/// Largest number of lines per interval.
const MAX_LINES: u32 = 20;
/// Length of the interval for which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// The number of lines written and left out in the current interval.
#[derive(Debug)]
pub struct LineBudget {
    interval_start: Instant,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { interval_start: now, written: 0, left_out: 0 }
    }

    /// Takes a line from the budget. Returns the number of lines left out since the last one, or none if the budget is
    /// used up.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.interval_start) >= INTERVAL {
            (self.interval_start, self.written) = (now, 0);
        }
        if self.written >= MAX_LINES {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
#[path = "line_budget_test.rs"]
mod tests;
