//! What one router has observed of its own traffic lately: times to the first token, pace, and rates.

use std::collections::BTreeMap;

use crate::endpoints::Role;
use crate::events::Request;
use crate::ids::PrefixId;
use crate::statistics::{decay, DecayingRate, Ewma, GenerationalCache};
use crate::time::Micros;

/// Rates of requests are taken over about this span.
pub const REQUEST_RATE_SPAN: Micros = Micros(20_000_000);
/// The rate of first tokens, and the wait for them, is taken over about this span.
pub const FIRST_TOKEN_SPAN: Micros = Micros(3_000_000);
/// A wait for a first token counts up to this multiple of the tightest latency objective.
pub const MAX_RECORDED_WAIT: f64 = 2.0;
/// A request that ended without a first token counts as a wait of this multiple at the least.
pub const MIN_MISSED_WAIT: f64 = 1.5;
/// Prefill pace of a decode worker before any was observed, in tokens a second.
const INITIAL_LOCAL_PREFILL_RATE: f64 = 5_000.0;
/// Prefixes with a rate of their own, at most.
const PREFIX_CAPACITY: usize = 4_096;

/// What requests of all kinds took lately.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Time from a request's arrival to its first token, over the tightest latency objective.
    pub first_token_wait: Ewma,
    /// Prompt tokens of a request.
    pub prompt_tokens: Ewma,
    /// Seconds that a prefill took.
    pub prefill_seconds: Ewma,
    /// Seconds to the first token where prefilled state was pulled.
    pub pull_seconds: Ewma,
    /// Seconds to the first token where one worker did both stages.
    pub combined_seconds: Ewma,
    /// First tokens.
    pub first_tokens: DecayingRate,
    /// Requests received.
    pub requests: DecayingRate,
    /// What a warm worker of a role finishes for this router, over the workers there were at the time: the first to come
    /// back finds none beside it. Among many routers warming workers count too: were all warming up, none would finish
    /// anything that counts, and all routers would leave them idle.
    pub finished_by_role: BTreeMap<Role, DecayingRate>,
    /// What such a worker is sent by this router, counted alike.
    pub sent_by_role: BTreeMap<Role, DecayingRate>,
    /// Tokens a second of prefills at decode workers.
    local_prefill_rate: Ewma,
    /// Requests with a shared prefix, by prefix.
    prefix_requests: GenerationalCache<PrefixId, DecayingRate, PREFIX_CAPACITY>,
}

impl Observations {
    /// Counts a request that was received.
    pub fn record_request(&mut self, now: Micros, request: &Request) {
        self.prompt_tokens.add(request.prompt_tokens as f64);
        self.requests.add(now, REQUEST_RATE_SPAN, 1.0);
        if let Some(prefix) = &request.prefix {
            let mut rate = self.prefix_requests.get(prefix).copied().unwrap_or_default();
            rate.add(now, REQUEST_RATE_SPAN, 1.0);
            self.prefix_requests.insert(prefix.clone(), rate);
        }
    }

    /// Counts a first token that came after this multiple of the tightest latency objective.
    pub fn record_first_token(&mut self, now: Micros, wait: f64) {
        self.first_tokens.add(now, FIRST_TOKEN_SPAN, 1.0);
        self.first_token_wait.add_with_decay(now, FIRST_TOKEN_SPAN, wait.min(MAX_RECORDED_WAIT));
    }

    /// Counts a request that ended after this wait without a first token as a long wait: congestion that clients leave
    /// would look short.
    pub fn record_missed_first_token(&mut self, now: Micros, wait: f64) {
        let wait = wait.clamp(MIN_MISSED_WAIT, MAX_RECORDED_WAIT);
        self.first_token_wait.add_with_decay(now, FIRST_TOKEN_SPAN, wait);
    }

    /// Counts the prefill of so many tokens at a decode worker.
    pub fn record_local_prefill(&mut self, tokens: u64, seconds: f64) {
        self.local_prefill_rate.add(tokens as f64 / seconds.max(1e-3));
    }

    /// Tokens a second that a decode worker prefills by itself.
    pub fn local_prefill_rate(&self) -> f64 {
        self.local_prefill_rate.mean().unwrap_or(INITIAL_LOCAL_PREFILL_RATE).max(1.0)
    }

    /// Seconds that a prefill and the pull of its state take together, once both are known.
    pub fn disaggregated_seconds(&self) -> Option<f64> {
        let prefill = self.prefill_seconds.mean()?;
        let pull = self.pull_seconds.mean()?;
        Some(prefill + pull)
    }

    /// Tokens of a usual prompt.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.prompt_tokens.mean().unwrap_or(1.0).max(1.0)
    }

    /// The wait for first tokens over the tightest objective, decaying while none comes.
    pub fn decayed_first_token_wait(&self, now: Micros) -> f64 {
        let age = now - self.first_token_wait.updated();
        self.first_token_wait.mean().unwrap_or(0.0) * decay(age, FIRST_TOKEN_SPAN)
    }

    /// Recent requests with this prefix besides the present one.
    pub fn other_requests_with_prefix(&self, now: Micros, prefix: Option<&PrefixId>) -> f64 {
        let rate = prefix.and_then(|prefix| self.prefix_requests.get(prefix));
        rate.map_or(0.0, |rate| rate.decayed_count(now, REQUEST_RATE_SPAN) - 1.0).max(0.0)
    }
}
