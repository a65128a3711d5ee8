//! The shell's clock, and the granularity of its waits.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chalkyard_policy::Micros;
use mio::{Events, Poll};

/// µs since 1970 by a clock that never goes back: the time of day at its start, monotonic from then on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// Starts at the present time of day.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix: Micros(unix.as_micros() as u64) }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.unix + Micros(self.start.elapsed().as_micros() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The loop's granularity: the longest of a few waits of 1 ms, between 1 and 10 ms.
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
