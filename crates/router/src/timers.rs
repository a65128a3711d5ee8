//! Due times, in order.

use std::collections::BTreeMap;

use chalkyard_policy::Micros;

/// What is to happen at a time; of like times, the one set first comes first.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    due: BTreeMap<(Micros, u64), T>,
    next: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { due: BTreeMap::new(), next: 0 }
    }
}

/// Names a set timer.
pub(crate) type Key = (Micros, u64);

impl<T> Timers<T> {
    pub fn set(&mut self, at: Micros, what: T) -> Key {
        let key = (at, self.next);
        self.next += 1;
        self.due.insert(key, what);
        key
    }

    pub fn cancel(&mut self, key: Key) {
        self.due.remove(&key);
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.next_due().filter(|at| *at <= now)?;
        self.due.pop_first().map(|(_, what)| what)
    }
}
