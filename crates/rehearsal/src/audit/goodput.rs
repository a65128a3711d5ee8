//! Goodput: the share of the priority weight of all requests that was answered within the latency objectives.

use std::collections::BTreeMap;

use super::trace::Trace;
use crate::record::{Answer, Line};

/// A request, merged from all attempts of its client.
#[derive(Debug, Clone, Copy)]
struct WeightedRequest {
    /// Time of the first attempt, µs.
    sent: u64,
    weight: f64,
    /// Equal to `weight` if the request met its latency objectives, otherwise 0.
    in_time: f64,
}

impl<'a> Trace<'a> {
    /// Merges clients' attempts into requests by idempotency key.
    fn weighted_requests(&self) -> impl Iterator<Item = WeightedRequest> + use<'a> {
        let mut requests: BTreeMap<&str, WeightedRequest> = BTreeMap::new();
        for attempt in self.client_attempts.values() {
            let Some(class) = self.class(attempt.class) else { continue };
            let weight = class.priority_weight;
            let request = requests.entry(attempt.identity).or_insert(WeightedRequest {
                sent: attempt.sent,
                weight,
                in_time: 0.0,
            });
            let Some((end, _, tokens)) = attempt.answers.iter().find(|(_, how, _)| *how == Answer::Served)
            else {
                continue;
            };
            let first = attempt.first.unwrap_or(*end);
            let time_per_token = (end - first.min(*end)) / tokens.saturating_sub(1).max(1);
            let per_prompt = class.latency_objective_per_1000_us * attempt.prompt / 1_000;
            let mut objective = class.latency_objective_us + per_prompt;
            // The first token of an answer that is not streamed is not observable: the objective then covers the whole
            // answer, with the objective time per token added for each token.
            let streamed = attempt.first.is_some();
            if !streamed {
                objective += class.token_objective_us * tokens;
            }
            let latency = first - request.sent.min(first);
            if latency <= objective && (!streamed || time_per_token <= class.token_objective_us) {
                request.in_time = weight;
            }
        }
        requests.into_values()
    }

    /// The number of requests, and the weight answered in time divided by the total weight.
    pub(super) fn goodput(&self) -> (u64, f64) {
        let (mut count, mut weight, mut in_time) = (0, 0.0, 0.0);
        for request in self.weighted_requests() {
            count += 1;
            weight += request.weight;
            in_time += request.in_time;
        }
        (count, if weight > 0.0 { in_time / weight } else { 0.0 })
    }
}

/// For each second of the scenario: the weight of the requests first sent in it, and the weight of those that were
/// answered in time.
pub fn goodput_by_second(lines: &[Line]) -> Vec<(f64, f64)> {
    let mut seconds: Vec<(f64, f64)> = Vec::new();
    let Some((trace, ..)) = Trace::read(lines) else { return seconds };
    for request in trace.weighted_requests() {
        let second = (request.sent / 1_000_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, (0.0, 0.0));
        }
        if let Some((weight, in_time)) = seconds.get_mut(second) {
            *weight += request.weight;
            *in_time += request.in_time;
        }
    }
    seconds
}
