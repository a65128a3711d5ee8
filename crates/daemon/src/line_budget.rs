//! Limits the log lines about single requests to a number a second, and counts those that were left out.

use std::time::{Duration, Instant};

/// Lines about single requests in each second.
const LINES: u32 = 20;
const SPAN: Duration = Duration::from_secs(1);

/// The lines that may still be written in this second.
#[derive(Debug)]
pub struct LineBudget {
    since: Instant,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    /// A full budget.
    pub fn new(now: Instant) -> Self {
        Self { since: now, written: 0, left_out: 0 }
    }

    /// Takes a line from the budget: the number of lines that were left out since the last one, or none when no line may
    /// be written.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.since) >= SPAN {
            (self.since, self.written) = (now, 0);
        }
        if self.written >= LINES {
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
