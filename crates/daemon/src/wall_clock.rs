//! Wall-clock time for budgets.

use std::time::{SystemTime, UNIX_EPOCH};

use chalkyard_budget::Time;

/// Returns the current time.
pub fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(since_epoch.as_micros() as u64)
}
