//! Selection of the workers that may receive the next attempt of a request.

use crate::endpoints::{Lifecycle, Role};
use crate::ids::ZoneId;
use crate::outlier_detection::{is_failing, is_healthy};
use crate::request_state::{Attempt, RequestState};
use crate::retry;
use crate::slow_start::{self, HashShare};
use crate::view::View;
use crate::worker_state::WorkerState;

/// Returns the workers with a matching role that may receive the next attempt.
pub fn eligible<'a>(
    view: &View<'a>,
    request: &RequestState,
    has_role: impl Fn(Role) -> bool,
) -> Vec<&'a WorkerState> {
    eligible_with(view, request, has_role, |worker| slow_start::has_budget(view, request, worker))
}

/// Returns the workers of a role that hash-based placement may choose. With sparse samples, draws decide
/// which warming workers are included beside the warm workers.
pub fn eligible_for_hash<'a>(view: &View<'a>, request: &RequestState, role: Role) -> Vec<&'a WorkerState> {
    if view.has_sparse_samples() {
        let share = HashShare::of_role(view, role);
        let drawn = eligible_with(view, request, |r| r == role, |worker| share.admits(view, request, worker));
        if drawn.iter().any(|worker| !view.is_warming_up(worker)) {
            return drawn;
        }
    }
    eligible(view, request, |r| r == role)
}

/// Returns the workers that satisfy health, class, obligation and budget rules. Unhealthy workers are
/// excluded unless they outnumber the healthy workers: in that case the fault is elsewhere. An unreachable
/// failing worker stays excluded because it would use up every attempt. A worker that rejects requests
/// reports little load although it is healthy, so it is skipped for the backoff time.
fn eligible_with<'a>(
    view: &View<'a>,
    request: &RequestState,
    has_role: impl Fn(Role) -> bool,
    has_budget: impl Fn(&WorkerState) -> bool,
) -> Vec<&'a WorkerState> {
    let listed: Vec<&WorkerState> = view
        .workers
        .values()
        .filter(|worker| worker.info.lifecycle == Lifecycle::Active && has_role(worker.info.role))
        .filter(|worker| !worker.unreachable || is_healthy(worker, view.now) || !is_failing(worker))
        .collect();
    let healthy: Vec<&WorkerState> =
        listed.iter().copied().filter(|worker| is_healthy(worker, view.now)).collect();
    let considered = if healthy.len() * 2 >= listed.len() { healthy } else { listed };
    let obligations = retry::obligations(view.settings, request);
    let allowed: Vec<&WorkerState> = considered
        .into_iter()
        .filter(|worker| !worker.is_rejecting(request.request.class, view.now))
        .filter(|worker| obligations.may_send(view.now, &worker.target()).is_ok())
        .filter(|worker| has_budget(worker))
        .collect();
    prefer_untried(view, request, allowed)
}

/// Prefers workers that the request has not tried and, among these, workers outside zones in which an attempt
/// failed to reach a worker: the next worker of that zone may be behind the same partition.
fn prefer_untried<'a>(
    view: &View<'a>,
    request: &RequestState,
    allowed: Vec<&'a WorkerState>,
) -> Vec<&'a WorkerState> {
    let untried: Vec<&WorkerState> =
        allowed.iter().copied().filter(|worker| !request.has_attempted(&worker.info.id)).collect();
    let unreachable_zones: Vec<Option<ZoneId>> =
        request.attempts.iter().filter_map(|attempt| unreached_zone(view, attempt)).collect();
    let reachable: Vec<&WorkerState> =
        untried.iter().copied().filter(|worker| !unreachable_zones.contains(&worker.info.zone)).collect();
    [reachable, untried].into_iter().find(|workers| !workers.is_empty()).unwrap_or(allowed)
}

/// Returns the zone of the worker that an attempt failed to reach.
fn unreached_zone(view: &View<'_>, attempt: &Attempt) -> Option<Option<ZoneId>> {
    let worker = view.workers.get(&attempt.worker).filter(|_| attempt.worker_unreached)?;
    Some(worker.info.zone)
}
