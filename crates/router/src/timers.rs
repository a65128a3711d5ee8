//! Timers in the order in which they are due.

use std::collections::BTreeMap;

use chalkyard_policy::Micros;

/// A set of timers; of those that are due at the same time, the one set first comes first.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    due: BTreeMap<TimerKey, T>,
    next_sequence: u64,
}

/// Names a timer that was set. Keys are ordered as their timers are due.
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

    /// The next event that is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.next_due().filter(|due| *due <= now)?;
        self.due.pop_first().map(|(_, event)| event)
    }
}
