//! Small statistics of what a router observes: means and rates that forget, and a cache of bounded size.

use std::collections::BTreeMap;

use crate::time::Micros;

/// Weight of a new observation in every mean.
const EWMA_GAIN: f64 = 0.1;
/// Spans are at least this many seconds long where they divide.
const MIN_SPAN_S: f64 = 1e-6;
/// The part of its span that a young rate counts as having seen, at the least.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// What is left of an observation of this age: 1 at first, 1/e after `span`.
pub fn decay(age: Micros, span: Micros) -> f64 {
    (-(age.as_secs_f64() / span.as_secs_f64().max(MIN_SPAN_S))).exp()
}

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ewma {
    mean: Option<f64>,
    updated: Micros,
}

impl Ewma {
    /// The mean; none before the first observation.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// When [`Ewma::add_with_decay`] was last called.
    pub fn updated(&self) -> Micros {
        self.updated
    }

    /// Adds an observation.
    pub fn add(&mut self, value: f64) {
        self.mean = Some(self.mean.map_or(value, |mean| mean + EWMA_GAIN * (value - mean)));
    }

    /// Adds an observation that weighs the more, the longer ago the last one came: where little is observed, what is
    /// old does not outlive its cause.
    pub fn add_with_decay(&mut self, now: Micros, span: Micros, value: f64) {
        let gain = 1.0 - decay(now - self.updated, span);
        self.mean = Some(self.mean.map_or(value, |mean| mean + gain.max(EWMA_GAIN) * (value - mean)));
        self.updated = now;
    }
}

/// A rate of events, older ones decaying exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRate {
    count: f64,
    updated: Micros,
    first: Option<Micros>,
}

impl DecayingRate {
    /// The events, each by what is left of it.
    pub fn decayed_count(&self, now: Micros, span: Micros) -> f64 {
        self.count * decay(now - self.updated, span)
    }

    /// Adds events that happened now.
    pub fn add(&mut self, now: Micros, span: Micros, events: f64) {
        self.count = self.decayed_count(now, span) + events;
        self.updated = now;
        self.first = self.first.or(Some(now));
    }

    /// Events a second. A router that has just started has seen only part of the span.
    pub fn per_second(&self, now: Micros, span: Micros) -> f64 {
        let span_s = span.as_secs_f64().max(MIN_SPAN_S);
        let age = self.first.map_or(0.0, |first| (now - first).as_secs_f64()) / span_s;
        let observed_fraction = (1.0 - (-age).exp()).max(MIN_OBSERVED_FRACTION);
        self.decayed_count(now, span) / (span_s * observed_fraction)
    }
}

/// A map of at most `CAPACITY` entries in two generations: once the newer is full the older is dropped, with all that
/// was not inserted again since.
#[derive(Debug, Clone)]
pub struct GenerationalCache<K, V, const CAPACITY: usize> {
    newer: BTreeMap<K, V>,
    older: BTreeMap<K, V>,
}

impl<K, V, const CAPACITY: usize> Default for GenerationalCache<K, V, CAPACITY> {
    fn default() -> Self {
        Self { newer: BTreeMap::new(), older: BTreeMap::new() }
    }
}

impl<K: Ord, V, const CAPACITY: usize> GenerationalCache<K, V, CAPACITY> {
    /// The entry of this key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) {
        if self.newer.len() >= CAPACITY / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, value);
    }
}
