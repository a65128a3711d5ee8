//! Hash-based selection of a prefill worker. Rendezvous hashing makes all routers send a prefix to the same
//! few workers.

use std::cmp::Reverse;

use crate::endpoints::Role;
use crate::hashing::RendezvousKey;
use crate::ids::WorkerId;
use crate::observations::REQUEST_RATE_SPAN;
use crate::request_state::RequestState;
use crate::statistics::decay;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Minimum number of workers that a request may choose from.
const MIN_CHOICES: usize = 2;
/// Excess over the least load, in requests, at which a worker is no longer chosen. The first worker in the
/// ranking below this limit takes its place.
const EXCESS_LOAD_LIMIT: u32 = 2;
/// Factor between a prefix's share of the other requests and the share of the workers that the prefix may
/// use.
const PREFIX_CHOICE_FACTOR: f64 = 1.5;
/// Pseudo-count added to the number of requests when a prefix's share is computed.
const PSEUDO_REQUESTS: f64 = 5.0;
/// Share of the latency objective that counts as one request in flight when the duration of a worker's last
/// prefill is converted to load.
const SLOW_PREFILL_SHARE: f64 = 0.25;

/// Returns the less loaded of the first two workers in the ranking by the hash of the prefix, or of the
/// session if there is no prefix. Ties are resolved by the hash of the session, so that a worker has the
/// session's earlier prompts in its cache.
pub fn choose(view: &View<'_>, request: &RequestState, candidates: &[&WorkerState]) -> Option<WorkerId> {
    let session = request.request.session.as_ref().map_or(&request.request.id.0, |session| &session.0);
    let key = request.request.prefix.as_ref().map_or(session, |prefix| &prefix.0);
    let by_key = RendezvousKey::new(key);
    let by_session = RendezvousKey::new(session);
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|worker| Reverse(by_key.rank(&worker.info.id.0)));
    let loads = Loads::new(view, candidates);
    let least_load = candidates.iter().map(|worker| loads.of(worker)).min().unwrap_or(0);
    let is_below_load_limit = |worker: &&&WorkerState| loads.of(worker) < least_load + EXCESS_LOAD_LIMIT;
    let chosen = ranked
        .iter()
        .take(choice_count(view, request, candidates.len()))
        .min_by_key(|worker| (loads.of(worker), by_session.rank(&worker.info.id.0)));
    let worker = chosen.filter(is_below_load_limit).or_else(|| ranked.iter().find(is_below_load_limit))?;
    Some(worker.info.id.clone())
}

/// Returns the number of workers that a request may choose from. A frequent prefix can overload two workers,
/// so its number grows with its share of the other requests.
fn choice_count(view: &View<'_>, request: &RequestState, candidates: usize) -> usize {
    let observed = view.observed;
    let with_prefix = observed.other_requests_with_prefix(view.now, request.request.prefix.as_ref());
    let all = observed.requests.decayed_count(view.now, REQUEST_RATE_SPAN) + PSEUDO_REQUESTS;
    let prefix_share = with_prefix / all;
    ((prefix_share * PREFIX_CHOICE_FACTOR * candidates as f64).ceil() as usize).max(MIN_CHOICES)
}

/// Load of workers as seen by this router, in requests.
struct Loads<'a> {
    view: &'a View<'a>,
    has_sparse_samples: bool,
    /// Mean load of the warm workers. A warming worker has no known load and is assumed to be no less loaded
    /// than this mean: otherwise all routers would switch to it once the warm workers are slow.
    mean_of_warm: u32,
}

impl<'a> Loads<'a> {
    fn new(view: &'a View<'a>, candidates: &[&WorkerState]) -> Self {
        let mut loads = Self { view, has_sparse_samples: view.has_sparse_samples(), mean_of_warm: 0 };
        if loads.has_sparse_samples {
            let mut count = 0;
            let mut sum = 0;
            for worker in candidates.iter().filter(|worker| !view.is_warming_up(worker)) {
                count += 1;
                sum += loads.own(worker);
            }
            loads.mean_of_warm = sum / count.max(1);
        }
        loads
    }

    /// Returns the load of a worker.
    fn of(&self, worker: &WorkerState) -> u32 {
        let floor = if self.view.is_warming_up(worker) { self.mean_of_warm } else { 0 };
        self.own(worker).max(floor)
    }

    /// Returns the number of this router's requests in flight on the worker. A very long prompt counts as
    /// several typical prompts.
    fn own(&self, worker: &WorkerState) -> u32 {
        if worker.info.role == Role::Combined {
            return worker.decodes_in_flight;
        }
        let mean_prompt_tokens = self.view.observed.mean_prompt_tokens();
        let by_tokens = (worker.prefill_tokens_in_flight as f64 / mean_prompt_tokens) as u32;
        worker.prefills_in_flight.max(by_tokens) + self.slow_prefill_load(worker)
    }

    /// Returns the load derived from the duration of the last prefill. A router with sparse samples has no
    /// prefills in flight that would identify a busy worker, but knows the duration of the last one.
    fn slow_prefill_load(&self, worker: &WorkerState) -> u32 {
        if !self.has_sparse_samples {
            return 0;
        }
        let last = worker.last_prefill;
        let ratio = last.objective_ratio * decay(self.view.now - last.ended, REQUEST_RATE_SPAN);
        (ratio / SLOW_PREFILL_SHARE) as u32
    }
}
