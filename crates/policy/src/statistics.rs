//! Statistics of a router's observations: decaying means and rates, and a bounded cache.

use std::collections::BTreeMap;

use crate::time::Micros;

/// Weight of a new observation in a mean.
const EWMA_GAIN: f64 = 0.1;
/// Lower bound in seconds of durations used as divisors.
const MIN_SPAN_S: f64 = 1e-6;
/// Minimum share of its span for which a new rate is assumed to have been observed.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// Returns the weight of an observation of this age: 1 at age zero, 1/e after `span`.
pub fn decay(age: Micros, span: Micros) -> f64 {
    (-(age.as_secs_f64() / span.as_secs_f64().max(MIN_SPAN_S))).exp()
}

/// Exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ewma {
    mean: Option<f64>,
    updated: Micros,
}

impl Ewma {
    /// Returns the mean, or `None` before the first observation.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns the time of the last call of [`Ewma::add_with_decay`].
    pub fn updated(&self) -> Micros {
        self.updated
    }

    /// Adds an observation.
    pub fn add(&mut self, value: f64) {
        self.mean = Some(self.mean.map_or(value, |mean| mean + EWMA_GAIN * (value - mean)));
    }

    /// Adds an observation with a weight that grows with the time since the last one, so that old
    /// observations do not outlive their cause when observations are rare.
    pub fn add_with_decay(&mut self, now: Micros, span: Micros, value: f64) {
        let gain = 1.0 - decay(now - self.updated, span);
        self.mean = Some(self.mean.map_or(value, |mean| mean + gain.max(EWMA_GAIN) * (value - mean)));
        self.updated = now;
    }
}

/// Event rate with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRate {
    count: f64,
    updated: Micros,
    first: Option<Micros>,
}

impl DecayingRate {
    /// Returns the number of events, each weighted by its decay.
    pub fn decayed_count(&self, now: Micros, span: Micros) -> f64 {
        self.count * decay(now - self.updated, span)
    }

    /// Adds events that occur at time `now`.
    pub fn add(&mut self, now: Micros, span: Micros, events: f64) {
        self.count = self.decayed_count(now, span) + events;
        self.updated = now;
        self.first = self.first.or(Some(now));
    }

    /// Returns events per second, corrected for a router that has observed only part of the span.
    pub fn per_second(&self, now: Micros, span: Micros) -> f64 {
        let span_s = span.as_secs_f64().max(MIN_SPAN_S);
        let age = self.first.map_or(0.0, |first| (now - first).as_secs_f64()) / span_s;
        let observed_fraction = (1.0 - (-age).exp()).max(MIN_OBSERVED_FRACTION);
        self.decayed_count(now, span) / (span_s * observed_fraction)
    }
}

/// Map of at most `CAPACITY` entries in two generations. When the newer generation is full, the older one is
/// dropped together with all entries that were not inserted again.
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
    /// Returns the entry of a key.
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
