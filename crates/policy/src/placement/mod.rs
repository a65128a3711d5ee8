//! Placement: selection of the worker for the next step of a request.
//!
//! The remainder of a prompt is the part that its likely worker does not have in its cache. A short remainder
//! is prefilled on the worker that decodes it ([`local_prefill`]). Any other prompt goes to one of two hashed
//! prefill workers ([`hashed`]) and then to the decode worker with the most free capacity ([`capacity`]).
//! Combined workers, which perform both stages, receive a share of the requests.

mod capacity;
mod hashed;
mod local;

pub use local::local_prefill;

use crate::candidates::{eligible, eligible_for_hash};
use crate::endpoints::{Lifecycle, Role};
use crate::request_state::{Placement, RequestState};
use crate::retry;
use crate::slow_start;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Maximum factor by which the share of combined workers is raised, or lowered for a router with sparse
/// samples.
const MAX_COMBINED_FACTOR: f64 = 3.0;

/// Returns the next step of a request without an open attempt, or `None` while no worker may take it.
pub fn choose(view: &View<'_>, request: &RequestState) -> Option<Placement> {
    if let Some(prefill_worker) = &request.reserved_on {
        let worker = capacity::most_available(view, request, Some(prefill_worker))?;
        return Some(Placement::decode(worker));
    }
    if let Some(placement) = local_prefill(view, request) {
        return Some(placement);
    }
    let combined = eligible_for_hash(view, request, Role::Combined);
    let prefill = eligible_for_hash(view, request, Role::Prefill);
    let decode = eligible(view, request, |role| role == Role::Decode);
    let can_decode = !decode.is_empty() || !combined.is_empty();
    let is_disaggregated = !prefill.is_empty() && can_decode;
    if !is_disaggregated || should_use_combined(view, request, &combined) {
        if let Some(worker) = hashed::choose(view, request, &combined) {
            return Some(Placement::decode(worker));
        }
    }
    if let Some(worker) = hashed::choose(view, request, &prefill) {
        return Some(Placement::prefill(worker));
    }
    if !view.settings.self_prefill || has_usable_prefill_worker(view, request) {
        return None;
    }
    capacity::most_available(view, request, None).map(Placement::decode)
}

/// Returns true if a prefill worker is usable although it may be busy. Decode workers do not prefill in place
/// of such a worker.
fn has_usable_prefill_worker(view: &View<'_>, request: &RequestState) -> bool {
    let obligations = retry::obligations(view.settings, request);
    view.workers
        .values()
        .filter(|worker| worker.info.role == Role::Prefill && worker.info.lifecycle == Lifecycle::Active)
        .filter(|worker| !worker.unreachable)
        .filter(|worker| obligations.may_send(view.now, &worker.target()).is_ok())
        .any(|worker| slow_start::has_budget(view, request, worker))
}

/// Decides whether combined workers take the request. Each combined worker receives as many requests of this
/// router as each other worker, or more if prefill and pull take longer to the first token.
///
/// The correction helps when prefill workers are few or slow and when decode workers are congested. It hurts
/// when combined workers send the first token early and then stream slowly, so the factor is bounded. A draw
/// decides on the fractional part. A router with sparse samples starts with fewer requests, and with fewest
/// for slow combined workers.
fn should_use_combined(view: &View<'_>, request: &RequestState, combined: &[&WorkerState]) -> bool {
    let mut other_workers = 0_u32;
    let mut in_flight_on_others = 0_u32;
    for worker in view.workers.values() {
        if worker.info.lifecycle == Lifecycle::Active && worker.info.role != Role::Combined {
            other_workers += 1;
            in_flight_on_others += worker.attempts_in_flight();
        }
    }
    let in_flight: u32 = combined.iter().map(|worker| worker.attempts_in_flight()).sum();
    let min_ratio = if view.has_sparse_samples() { 1.0 / MAX_COMBINED_FACTOR } else { 1.0 };
    let disaggregated = view.observed.disaggregated_seconds();
    let ratio = disaggregated
        .zip(view.observed.combined_seconds.mean())
        .map_or(min_ratio, |(disaggregated, combined)| disaggregated / combined.max(1e-6));
    let combined_weight = combined.len() as f64 * ratio.clamp(min_ratio, MAX_COMBINED_FACTOR);
    let all_in_flight = f64::from(in_flight + in_flight_on_others + 1);
    let target_in_flight =
        all_in_flight * combined_weight / (combined_weight + f64::from(other_workers)).max(1e-6);
    let extra = f64::from(u8::from(view.draw(&*request.request.id.0, "") < target_in_flight.fract()));
    f64::from(in_flight) < target_in_flight.floor() + extra
}
