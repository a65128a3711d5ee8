//! Recent observations of one router's traffic: times to the first token, prefill speed and request rates.

use std::collections::BTreeMap;

use crate::endpoints::Role;
use crate::events::Request;
use crate::ids::PrefixId;
use crate::statistics::{decay, DecayingRate, Ewma, GenerationalCache};
use crate::time::Micros;

/// Time constant of request rates.
pub const REQUEST_RATE_SPAN: Micros = Micros(20_000_000);
/// Time constant of the rate of first tokens and of the wait for first tokens.
pub const FIRST_TOKEN_SPAN: Micros = Micros(3_000_000);
/// Upper bound of a recorded wait for a first token, as a multiple of the tightest latency objective.
pub const MAX_RECORDED_WAIT: f64 = 2.0;
/// Lower bound of the recorded wait of a request that ended without a first token, as a multiple of the
/// tightest latency objective.
pub const MIN_MISSED_WAIT: f64 = 1.5;
/// Assumed prefill speed of a decode worker before the first observation, in tokens per second.
const INITIAL_LOCAL_PREFILL_RATE: f64 = 5_000.0;
/// Maximum number of prefixes whose request rate is tracked.
const PREFIX_CAPACITY: usize = 4_096;

/// Recent durations and rates over the requests of all classes.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Time from arrival to the first token, divided by the tightest latency objective.
    pub first_token_wait: Ewma,
    /// Prompt tokens per request.
    pub prompt_tokens: Ewma,
    /// Duration of a prefill in seconds.
    pub prefill_seconds: Ewma,
    /// Seconds to the first token after a pull of prefilled state.
    pub pull_seconds: Ewma,
    /// Seconds to the first token on a worker that performed both stages.
    pub combined_seconds: Ewma,
    /// Rate of first tokens.
    pub first_tokens: DecayingRate,
    /// Rate of received requests.
    pub requests: DecayingRate,
    /// Requests of this router finished per warm worker of a role. Each request counts as one divided by the
    /// number of workers at that time, because the first worker to return after an outage has no peers. On
    /// sites with many routers warming workers also count: if all workers were warming up, no finished
    /// request would count and every router would leave the workers idle.
    pub finished_by_role: BTreeMap<Role, DecayingRate>,
    /// Requests sent by this router per worker of a role, counted in the same way.
    pub sent_by_role: BTreeMap<Role, DecayingRate>,
    /// Prefill speed of decode workers in tokens per second.
    local_prefill_rate: Ewma,
    /// Request rate by shared prefix.
    prefix_requests: GenerationalCache<PrefixId, DecayingRate, PREFIX_CAPACITY>,
}

impl Observations {
    /// Records a received request.
    pub fn record_request(&mut self, now: Micros, request: &Request) {
        self.prompt_tokens.add(request.prompt_tokens as f64);
        self.requests.add(now, REQUEST_RATE_SPAN, 1.0);
        if let Some(prefix) = &request.prefix {
            let mut rate = self.prefix_requests.get(prefix).copied().unwrap_or_default();
            rate.add(now, REQUEST_RATE_SPAN, 1.0);
            self.prefix_requests.insert(prefix.clone(), rate);
        }
    }

    /// Records a first token with its wait, as a multiple of the tightest latency objective.
    pub fn record_first_token(&mut self, now: Micros, wait: f64) {
        self.first_tokens.add(now, FIRST_TOKEN_SPAN, 1.0);
        self.first_token_wait.add_with_decay(now, FIRST_TOKEN_SPAN, wait.min(MAX_RECORDED_WAIT));
    }

    /// Records the wait of a request that ended without a first token, as a long wait. Otherwise congestion
    /// would look short when clients disconnect.
    pub fn record_missed_first_token(&mut self, now: Micros, wait: f64) {
        let wait = wait.clamp(MIN_MISSED_WAIT, MAX_RECORDED_WAIT);
        self.first_token_wait.add_with_decay(now, FIRST_TOKEN_SPAN, wait);
    }

    /// Records the number of tokens and the duration of a prefill on a decode worker.
    pub fn record_local_prefill(&mut self, tokens: u64, seconds: f64) {
        self.local_prefill_rate.add(tokens as f64 / seconds.max(1e-3));
    }

    /// Returns the prefill speed of decode workers in tokens per second.
    pub fn local_prefill_rate(&self) -> f64 {
        self.local_prefill_rate.mean().unwrap_or(INITIAL_LOCAL_PREFILL_RATE).max(1.0)
    }

    /// Returns the seconds that a prefill and the following pull take in total, or `None` until both are
    /// known.
    pub fn disaggregated_seconds(&self) -> Option<f64> {
        let prefill = self.prefill_seconds.mean()?;
        let pull = self.pull_seconds.mean()?;
        Some(prefill + pull)
    }

    /// Returns the mean number of prompt tokens, at least one.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.prompt_tokens.mean().unwrap_or(1.0).max(1.0)
    }

    /// Returns the mean wait for first tokens divided by the tightest latency objective. The value decays
    /// while no first token arrives.
    pub fn decayed_first_token_wait(&self, now: Micros) -> f64 {
        let age = now - self.first_token_wait.updated();
        self.first_token_wait.mean().unwrap_or(0.0) * decay(age, FIRST_TOKEN_SPAN)
    }

    /// Returns the number of recent requests with this prefix, excluding the current request.
    pub fn other_requests_with_prefix(&self, now: Micros, prefix: Option<&PrefixId>) -> f64 {
        let rate = prefix.and_then(|prefix| self.prefix_requests.get(prefix));
        rate.map_or(0.0, |rate| rate.decayed_count(now, REQUEST_RATE_SPAN) - 1.0).max(0.0)
    }
}
