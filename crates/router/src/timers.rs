//! A queue of timers, ordered by due time.

use std::collections::BTreeMap;

use chalkyard_policy::Micros;

/// A queue of timers. Timers that are due at the same time fire in the order in which they were set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    due: BTreeMap<TimerKey, T>,
    next_sequence: u64,
}

/// Identifies a timer. Keys sort in the order in which their timers fire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    /// When the timer is due.
    pub due: Micros,
    /// Orders timers that are due at the same time.
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { due: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, due: Micros, event: T) -> TimerKey {
        let key = TimerKey { due, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.due.insert(key, event);
        key
    }

    pub fn cancel(&mut self, key: TimerKey) {
        self.due.remove(&key);
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.keys().next().map(|key| key.due)
    }

    /// Removes and returns the next event that is due at `now`.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.next_due().filter(|due| *due <= now)?;
        self.due.pop_first().map(|(_, event)| event)
    }
}
