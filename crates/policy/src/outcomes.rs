//! Handling of first tokens and attempt outcomes, and the conclusions about workers and load.

use crate::affinity::CachedSession;
use crate::endpoints::Role;
use crate::events::Outcome;
use crate::ids::{AttemptNo, ClassId, RequestId};
use crate::obligations::{proves_arrival, Stage};
use crate::outlier_detection::{self, waited_on_unresponsive_worker};
use crate::request_state::{Attempt, AttemptEnd, RequestState};
use crate::router::Router;
use crate::time::Micros;
use crate::view::has_many_routers;
use crate::worker_state::{same_incarnation, LastPrefill, WorkerState};

/// Initial time for which a worker that rejected a class receives no requests of that class. The time doubles
/// with each consecutive rejection.
const INITIAL_REJECTION_BACKOFF: Micros = Micros(50_000);
/// Maximum number of doublings.
const MAX_REJECTION_DOUBLINGS: u32 = 6;
/// Number of doublings at once if the worker reports free capacity, because its load is then not the reason
/// for the rejection.
const IDLE_REJECTION_DOUBLINGS: u32 = 3;
/// Free capacity above which a worker without a queue counts as idle, as a share of the whole.
const IDLE_CAPACITY: f64 = 0.5;
/// Divisor of the predicted cached tokens. A worker that finds fewer cached tokens than the quotient has lost
/// its cache.
const CACHE_LOSS_DIVISOR: u64 = 2;

impl Router {
    /// Handles the first token of an answer.
    pub(crate) fn handle_first_token(&mut self, id: &RequestId, number: AttemptNo, elapsed: Micros) {
        let Some(mut request) = self.requests.take(id) else { return };
        request.streaming = true;
        let wait = self.view().wait_ratio(&request);
        self.observe_first_token(&request, number, elapsed);
        self.observed.record_first_token(self.now, wait);
        request.clear_reservation();
        let class = request.request.class;
        if let Some(attempt) = request.attempts.get_mut(number.0 as usize) {
            attempt.overdue_at = None;
            if let Some(worker) = same_incarnation(&mut self.workers, &attempt.worker, &attempt.facts) {
                worker.awaiting_first_token = worker.awaiting_first_token.saturating_sub(1);
                worker.rejections.remove(&class);
                worker.clear_overdue(std::mem::take(&mut attempt.overdue));
                worker.record_response(self.now, attempt.facts.sent);
            }
        }
        self.requests.put(request);
    }

    /// Updates the duration statistics from a time to the first token, unless the worker was unresponsive in
    /// the meantime.
    fn observe_first_token(&mut self, request: &RequestState, number: AttemptNo, elapsed: Micros) {
        let attempt = request.attempt(number);
        if attempt.is_some_and(|attempt| waited_on_unresponsive_worker(&self.workers, attempt)) {
            return;
        }
        let seconds = elapsed.as_secs_f64();
        if attempt.is_some_and(|attempt| attempt.pulls_state) {
            self.observed.pull_seconds.add(seconds);
        } else if let Some(cached) = attempt.and_then(|attempt| attempt.predicted_cached_tokens) {
            let prefilled = request.request.prompt_tokens.saturating_sub(cached);
            self.observed.record_local_prefill(prefilled, seconds);
        } else {
            self.observed.combined_seconds.add(seconds);
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn attempt_ended(&mut self, request: &mut RequestState, number: AttemptNo, end: &AttemptEnd) {
        let first_ejection = outlier_detection::first_ejection(&self.view());
        let has_sparse_samples = self.view().has_sparse_samples();
        let Some(attempt) = request.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.facts.open)
        else {
            return;
        };
        attempt.facts.end(end.outcome);
        attempt.overdue_at = None;
        attempt.worker_unreached = matches!(end.outcome, Outcome::NoConnection | Outcome::NotSent);
        let unresponsive = waited_on_unresponsive_worker(&self.workers, attempt);
        // An attempt that is not proven to have reached a worker does not restart the reservation time.
        if proves_arrival(end.outcome) || request.reserved_on.is_none() {
            request.reserved_at = self.now;
        }
        let health_update = HealthUpdate { now: self.now, first_ejection, has_sparse_samples };
        self.update_worker(request, number, end, &health_update);
        if let Some(attempt) = request.attempts.get_mut(number.0 as usize) {
            attempt.overdue = false;
        }
        self.record_session(request, number, end);
        self.record_prefill(request, number, end, unresponsive);
        // A broken answer may be attempted again, and the new attempt has not started streaming.
        request.streaming = false;
        request.waits_on_silent_worker = false;
    }

    /// Updates the worker's state from the end of an attempt, if the worker is still the same incarnation.
    fn update_worker(
        &mut self,
        request: &RequestState,
        number: AttemptNo,
        end: &AttemptEnd,
        health_update: &HealthUpdate,
    ) {
        let Some(attempt) = request.attempt(number) else { return };
        let Some(worker) = same_incarnation(&mut self.workers, &attempt.worker, &attempt.facts) else {
            return;
        };
        worker.uncount_attempt(attempt.facts.stage, request.request.prompt_tokens, request.streaming);
        worker.clear_overdue(attempt.overdue);
        record_load(worker, request, attempt.facts.stage, end);
        worker.unreachable = end.outcome == Outcome::NoConnection;
        if attempt.facts.stage == Stage::Prefill {
            let objective_s = request.latency_objective.as_secs_f64().max(1e-6);
            let objective_ratio = end.elapsed.as_secs_f64() / objective_s;
            worker.last_prefill = LastPrefill { objective_ratio, ended: health_update.now };
        }
        health_update.apply(worker, request, attempt, end);
        record_cache_loss(worker, attempt, end);
        let role = worker.info.role;
        let is_success = matches!(end.outcome, Outcome::Served | Outcome::Prefilled);
        let is_warm = worker.warming_age(self.now, self.settings.slow_start_duration).is_none();
        if is_success && (has_many_routers(&self.settings) || is_warm) {
            self.count_finished(role);
        }
    }

    /// Counts a request finished by a worker of a role, as described at
    /// [`crate::observations::Observations`].
    fn count_finished(&mut self, role: Role) {
        let per_worker = 1.0 / self.view().listed_worker_count(role);
        let finished = self.observed.finished_by_role.entry(role).or_default();
        finished.add(self.now, self.settings.slow_start_duration, per_worker);
    }

    /// Records the worker that answered a session.
    fn record_session(&mut self, request: &RequestState, number: AttemptNo, end: &AttemptEnd) {
        let Some(session) = request.request.session.as_ref().filter(|_| end.outcome == Outcome::Served)
        else {
            return;
        };
        let Some(attempt) = request.attempt(number) else { return };
        let Some(worker) = same_incarnation(&mut self.workers, &attempt.worker, &attempt.facts) else {
            return;
        };
        let cached = CachedSession {
            worker: attempt.worker.clone(),
            cached_tokens: request.request.prompt_tokens,
            recorded_at: self.now,
            prompt_tokens_sent: worker.prompt_tokens_sent,
        };
        self.affinity.record(session.clone(), cached);
    }

    /// Records the reserved state of a successful prefill, and clears the reservation of state that no longer
    /// exists.
    fn record_prefill(
        &mut self,
        request: &mut RequestState,
        number: AttemptNo,
        end: &AttemptEnd,
        unresponsive: bool,
    ) {
        match end.outcome {
            Outcome::Prefilled => {
                // The duration of a prefill that waited on an unresponsive worker does not represent typical
                // prefill times.
                let seconds = self.observed.prefill_seconds.mean().filter(|_| unresponsive);
                let seconds = seconds.unwrap_or(end.elapsed.as_secs_f64());
                self.observed.prefill_seconds.add(seconds);
                request.reserved_on = request.attempt(number).map(|attempt| attempt.worker.clone());
            }
            Outcome::Rejected { no_state: true } => request.clear_reservation(),
            _ => {}
        }
    }
}

/// Router state, apart from the attempt, that determines how an outcome affects a worker's health.
struct HealthUpdate {
    now: Micros,
    first_ejection: Micros,
    has_sparse_samples: bool,
}

impl HealthUpdate {
    /// Updates the worker's health from an outcome.
    fn apply(&self, worker: &mut WorkerState, request: &RequestState, attempt: &Attempt, end: &AttemptEnd) {
        let sent = attempt.facts.sent;
        let was_silent = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        if was_silent && worker.last_response < sent && !self.has_sparse_samples {
            worker.unanswered_wait = worker.unanswered_wait + end.elapsed;
        }
        match end.outcome {
            Outcome::Rejected { no_state: false } => {
                back_off(worker, request.request.class, self.now);
            }
            Outcome::Served | Outcome::Prefilled => {
                worker.rejections.remove(&request.request.class);
                outlier_detection::record_success(worker);
                worker.record_response(self.now, sent);
            }
            Outcome::ServerError | Outcome::NoConnection | Outcome::ConnectionLost => {
                outlier_detection::record_error(worker, self.now, self.first_ejection);
            }
            _ if outlier_detection::is_long_silence(end, attempt.overdue, request) => {
                outlier_detection::record_silence(worker, self.now, sent, self.first_ejection);
            }
            _ => {}
        }
    }
}

/// Replaces the load estimated since the last report with a new report.
fn record_load(worker: &mut WorkerState, request: &RequestState, stage: Stage, end: &AttemptEnd) {
    if let Some(report) = end.load_report {
        worker.load_report = Some(report);
        worker.tokens_since_report = 0.0;
    } else if stage == Stage::Decode {
        let left = worker.tokens_since_report - request.request.prompt_tokens as f64;
        worker.tokens_since_report = left.max(0.0);
    }
}

/// Stops sending a rejected class to a worker for a time that grows with each rejection.
fn back_off(worker: &mut WorkerState, class: ClassId, now: Micros) {
    let queued = worker.load_report.and_then(|report| report.queued_requests).unwrap_or(0.0);
    let capacity = worker.reported_capacity();
    let is_idle = queued < 1.0 && capacity.is_some_and(|capacity| capacity > IDLE_CAPACITY);
    let doublings = if is_idle { IDLE_REJECTION_DOUBLINGS } else { 1 };
    let backoff = worker.rejections.entry(class).or_default();
    backoff.until = now + Micros(INITIAL_REJECTION_BACKOFF.0 << backoff.doublings);
    backoff.doublings = (backoff.doublings + doublings).min(MAX_REJECTION_DOUBLINGS);
}

/// Discards cache records of a worker if it found far fewer cached tokens than predicted.
fn record_cache_loss(worker: &mut WorkerState, attempt: &Attempt, end: &AttemptEnd) {
    let predicted = attempt.predicted_cached_tokens.unwrap_or(0);
    let is_lost = end.cached_tokens.saturating_mul(CACHE_LOSS_DIVISOR) < predicted;
    if end.outcome == Outcome::Served && is_lost {
        worker.cache_lost_at = worker.cache_lost_at.max(attempt.facts.sent);
    }
}
