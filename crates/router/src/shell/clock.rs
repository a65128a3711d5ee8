//! The shell's clock, and a measurement of its timer granularity.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chalkyard_policy::Micros;
use mio::{Events, Poll};

/// A monotonic clock in µs since the Unix epoch. It reads the time of day once, at its start, and advances monotonically
/// from there.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// Starts a clock at the current time of day.
    pub fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_start: Micros(unix_start.as_micros() as u64) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix_start + Micros(self.start.elapsed().as_micros() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Measures the timer granularity of the event loop: the longest of five 1 ms polls, clamped to 1..=10 ms. 2 ms if no poll
/// instance can be created.
pub fn timer_granularity() -> Micros {
    let Ok(mut poll) = Poll::new() else { return Micros(2_000) };
    let mut events = Events::with_capacity(1);
    let longest = (0..5).map(|_| {
        let start = Instant::now();
        let _ = poll.poll(&mut events, Some(Duration::from_millis(1)));
        start.elapsed()
    });
    let longest = longest.max().unwrap_or_default().as_micros() as u64;
    Micros(longest.clamp(1_000, 10_000))
}
