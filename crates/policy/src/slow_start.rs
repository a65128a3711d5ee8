//! Slow start: limits the requests that this router sends to a warming worker.
//!
//! All routers together must not overload a warming worker. Each router keeps to its part of a shared budget,
//! which derives from the requests that warm workers of the role finish for this router. On sites with many
//! routers the part is less than one request, and draws decide.

use crate::endpoints::{Lifecycle, Role};
use crate::request_state::RequestState;
use crate::statistics::DecayingRate;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Maximum share of the budget that is used.
const MAX_BUDGET_SHARE: f64 = 0.8;
/// Reduction of the used share of the budget, divided by the square root of the number of routers. It covers
/// the scatter of the routers' combined sends.
const BUDGET_SCATTER: f64 = 0.7;
/// Lower bound in seconds of durations used as divisors.
const MIN_SPAN_S: f64 = 1e-6;

/// Slow-start budget of a worker in the current overload window.
#[derive(Debug, Clone, Copy)]
struct Budget {
    /// Requests that this router has sent to the worker.
    sent: f64,
    /// Requests that this router may send to the worker.
    allowed: f64,
}

/// Returns true if slow start permits one more request of this router on the worker now.
///
/// On sites with many routers the part of each router is less than one request: a draw per window grants a
/// request to as many routers as the budget covers.
pub fn has_budget(view: &View<'_>, request: &RequestState, worker: &WorkerState) -> bool {
    if !view.is_warming_up(worker) {
        return true;
    }
    let window = view.settings.overload_window;
    let budget = budget(view, request, worker);
    let phase = window.mul_f64(view.draw("phase", &worker.info.id.0));
    let window_number = (view.now + phase).0 / window.0.max(1);
    let draw = view.draw(window_number.to_le_bytes(), &worker.info.id.0);
    let extra = f64::from(u8::from(draw < budget.allowed.fract()));
    budget.sent < budget.allowed.floor() + extra
}

/// Returns the requests sent in this window and this router's part of the worker's budget.
fn budget(view: &View<'_>, request: &RequestState, worker: &WorkerState) -> Budget {
    let settings = view.settings;
    let window = settings.overload_window;
    let sent = worker.recent_sends.iter().filter(|sent| **sent + window > view.now).count();
    let finished = view.observed.finished_by_role.get(&worker.info.role);
    let rate = finished.map_or(0.0, |rate| rate.per_second(view.now, settings.slow_start_duration));
    let routers = f64::from(settings.routers.max(1));
    let share = (1.0 - BUDGET_SCATTER / routers.sqrt()).min(MAX_BUDGET_SHARE);
    // Before any observation all routers together try one request per window.
    let minimum = 1.0 / routers;
    let per_finished = settings.overload_multiple * current_capacity(view, worker) * share;
    let allowed = (rate * window.as_secs_f64() * per_finished).max(minimum);
    Budget { sent: sent as f64, allowed: allowed / prompt_weight(view, request) }
}

/// Returns the minimum share of full capacity that the worker has now, according to the ramp of the settings.
fn current_capacity(view: &View<'_>, worker: &WorkerState) -> f64 {
    let settings = view.settings;
    let span = settings.slow_start_duration.as_secs_f64().max(MIN_SPAN_S);
    let age = worker.warming_age(view.now, settings.slow_start_duration);
    let age = age.map_or(span, |age| age.as_secs_f64());
    settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age / span
}

/// Returns the number of typical prompts that a long prompt counts as, at least one.
fn prompt_weight(view: &View<'_>, request: &RequestState) -> f64 {
    (request.request.prompt_tokens as f64 / view.observed.mean_prompt_tokens()).max(1.0)
}

/// Probability with which hash-based placement may choose a warming worker of a role, for routers with sparse
/// samples.
///
/// Such a router rarely has budget for a warming worker at the moment when the hash selects the worker, so
/// that all routers would leave the worker idle. Instead, a draw per request includes a warming worker beside
/// the warm workers, with a probability that follows its current capacity. The probability is reduced by the
/// requests that such workers received and did not finish, and is limited by half of the budget while most
/// workers are warming up.
pub struct HashShare {
    share: f64,
}

impl HashShare {
    /// Computes the current probability factor for the workers of a role.
    pub fn of_role(view: &View<'_>, role: Role) -> Self {
        let is_active =
            |worker: &&WorkerState| worker.info.role == role && worker.info.lifecycle == Lifecycle::Active;
        let mut workers = 0.0;
        let mut capacity = 0.0;
        for worker in view.workers.values().filter(is_active) {
            workers += 1.0;
            capacity += current_capacity(view, worker);
        }
        let max_share = (view.settings.overload_multiple * MAX_BUDGET_SHARE / 2.0 * capacity
            / f64::max(workers, 1.0))
        .min(1.0);
        // Adds one pseudo-request, because a router that has just started has observed no finished request.
        let count = |rate: Option<&DecayingRate>| {
            let observed =
                rate.map_or(0.0, |rate| rate.decayed_count(view.now, view.settings.slow_start_duration));
            observed + 1.0 / view.listed_worker_count(role)
        };
        let finished = count(view.observed.finished_by_role.get(&role));
        let sent = count(view.observed.sent_by_role.get(&role));
        Self { share: max_share * (finished / sent).min(1.0) }
    }

    /// Returns true if the request may be hashed to this worker: the worker is warm, or it is drawn and has
    /// budget left.
    pub fn admits(&self, view: &View<'_>, request: &RequestState, worker: &WorkerState) -> bool {
        if !view.is_warming_up(worker) {
            return true;
        }
        let budget = budget(view, request, worker);
        let draw = view.draw(&*request.request.id.0, &worker.info.id.0);
        let chance = current_capacity(view, worker) * self.share / prompt_weight(view, request);
        budget.sent < budget.allowed.floor().max(1.0) && draw < chance
    }
}
