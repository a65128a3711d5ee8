//! Slow start: how much of the work a worker that warms up may get from this router.
//!
//! All routers together must not overload it. Each keeps to its part of a shared budget, which follows from what the warm
//! workers of the role finish for it; among many routers, whose parts are under one request, draws decide.

use crate::endpoints::{Lifecycle, Role};
use crate::request_state::RequestState;
use crate::statistics::DecayingRate;
use crate::view::View;
use crate::worker_state::WorkerState;

/// The largest share of the budget that is used.
const MAX_BUDGET_SHARE: f64 = 0.8;
/// Less of it is used by this over the root of the number of routers: their sums scatter.
const BUDGET_SCATTER: f64 = 0.7;
/// Spans are at least this many seconds long where they divide.
const MIN_SPAN_S: f64 = 1e-6;

/// A worker's budget in the present overload window.
#[derive(Debug, Clone, Copy)]
struct Budget {
    /// What this router has sent it.
    sent: f64,
    /// This router's part of what it may get.
    allowed: f64,
}

/// Whether a worker may get one more request of this router now, as far as its slow start is concerned.
///
/// Among many routers the part is under one request: a draw for each window gives it to as many as it bears.
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

/// What we sent it in this window, and our part of its budget.
fn budget(view: &View<'_>, request: &RequestState, worker: &WorkerState) -> Budget {
    let settings = view.settings;
    let window = settings.overload_window;
    let sent = worker.recent_sends.iter().filter(|sent| **sent + window > view.now).count();
    let finished = view.observed.finished_by_role.get(&worker.info.role);
    let rate = finished.map_or(0.0, |rate| rate.per_second(view.now, settings.slow_start_duration));
    let routers = f64::from(settings.routers.max(1));
    let share = (1.0 - BUDGET_SCATTER / routers.sqrt()).min(MAX_BUDGET_SHARE);
    // Where nothing is known yet, all routers together try one request a window.
    let minimum = 1.0 / routers;
    let per_finished = settings.overload_multiple * current_capacity(view, worker) * share;
    let allowed = (rate * window.as_secs_f64() * per_finished).max(minimum);
    Budget { sent: sent as f64, allowed: allowed / prompt_weight(view, request) }
}

/// The share of its capacity that a worker has at least, by the settings' ramp.
fn current_capacity(view: &View<'_>, worker: &WorkerState) -> f64 {
    let settings = view.settings;
    let span = settings.slow_start_duration.as_secs_f64().max(MIN_SPAN_S);
    let age = worker.warming_age(view.now, settings.slow_start_duration);
    let age = age.map_or(span, |age| age.as_secs_f64());
    settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age / span
}

/// As how many usual prompts a long one counts.
fn prompt_weight(view: &View<'_>, request: &RequestState) -> f64 {
    (request.request.prompt_tokens as f64 / view.observed.mean_prompt_tokens()).max(1.0)
}

/// For one of many routers: the chance with which a hash may fall on a worker of this role that warms up.
///
/// One of many routers seldom has budget for it just when its hash falls on it: all would leave it idle. So it takes a
/// warming worker beside warm ones by a draw a request, as often as it is warm, less by what such workers are sent in
/// vain, and by half of the budget where most workers are warming up.
pub struct HashShare {
    share: f64,
}

impl HashShare {
    /// The share of a role's workers now.
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
        // With one imagined request that was finished: a router that has just started knows of none.
        let count = |rate: Option<&DecayingRate>| {
            let observed =
                rate.map_or(0.0, |rate| rate.decayed_count(view.now, view.settings.slow_start_duration));
            observed + 1.0 / view.listed_worker_count(role)
        };
        let finished = count(view.observed.finished_by_role.get(&role));
        let sent = count(view.observed.sent_by_role.get(&role));
        Self { share: max_share * (finished / sent).min(1.0) }
    }

    /// Whether a hash of this request may fall on this worker: it is warm, or drawn and within its budget.
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
