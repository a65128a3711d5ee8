//! Outlier detection: finds failing and silent workers, sets the duration of their ejection and finds overdue
//! attempts.

use crate::actions::Action;
use crate::events::Outcome;
use crate::ids::AttemptNo;
use crate::obligations::Stage;
use crate::observations::REQUEST_RATE_SPAN;
use crate::request_state::{Attempt, AttemptEnd, RequestState};
use crate::retry;
use crate::settings::{RetrySafety, Settings};
use crate::time::Micros;
use crate::view::View;
use crate::worker_state::{same_incarnation, WorkerState, WorkerTable};

/// Share of the gap between a worker's failure rate and 1 that a failure closes.
const FAILURE_GAIN: f64 = 0.3;
/// Share by which a success reduces the failure rate.
const SUCCESS_GAIN: f64 = 0.15;
/// Failure rate at which a worker is ejected. Two consecutive failures reach it.
const EJECTION_THRESHOLD: f64 = 0.45;
/// Weight of a failure that ejects the worker by itself.
const EJECTING_FAILURE_WEIGHT: f64 = EJECTION_THRESHOLD;
/// Weight of a long silence, which ejects the worker at once.
const LONG_SILENCE_WEIGHT: f64 = 1.0;
/// Shortest ejection.
const MIN_EJECTION: Micros = Micros(1_000_000);
/// Maximum number of doublings of consecutive ejections.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Longest ejection.
const MAX_EJECTION: Micros = Micros(MIN_EJECTION.0 << MAX_EJECTION_DOUBLINGS);
/// Duration of a first ejection, in requests of this router.
const EJECTION_REQUESTS: f64 = 8.0;

/// Returns true if the worker may receive regular work: it is not ejected, has no overdue attempt and, while
/// its failure rate is high, has no other attempt in flight (one probe at a time).
pub fn is_healthy(worker: &WorkerState, now: Micros) -> bool {
    let may_probe = !is_failing(worker) || worker.attempts_in_flight() == 0;
    now >= worker.ejected_until && may_probe && worker.overdue_attempts == 0
}

/// Returns true if the failure rate is high enough for an ejection.
pub fn is_failing(worker: &WorkerState) -> bool {
    worker.failure_rate >= EJECTION_THRESHOLD
}

/// Returns the duration of a first ejection. It depends on the request rate, because a router with few
/// requests would otherwise use each of them as a probe.
pub fn first_ejection(view: &View<'_>) -> Micros {
    let rate = view.observed.requests.per_second(view.now, REQUEST_RATE_SPAN).max(1e-3);
    Micros::from_secs_f64(EJECTION_REQUESTS / rate).clamp(MIN_EJECTION, MAX_EJECTION)
}

/// Records a success.
pub fn record_success(worker: &mut WorkerState) {
    worker.failure_rate *= 1.0 - SUCCESS_GAIN;
    if worker.failure_rate < FAILURE_GAIN / 2.0 {
        worker.consecutive_ejections = 0;
    }
}

/// Records an error or a broken connection. If the worker has not responded recently, a single failure ejects
/// it, because a second one may be minutes away.
pub fn record_error(worker: &mut WorkerState, now: Micros, first_ejection: Micros) {
    let responded_recently = worker.last_response + MIN_EJECTION > now && !worker.unreachable;
    let weight = if responded_recently { FAILURE_GAIN } else { EJECTING_FAILURE_WEIGHT };
    record_failure(worker, now, weight, first_ejection);
}

/// Records an attempt that ended after a long silence. If the worker has responded to later attempts, the
/// connection was stuck and not the worker.
pub fn record_silence(worker: &mut WorkerState, now: Micros, sent: Micros, first_ejection: Micros) {
    let weight = if worker.newest_answered_sent_at > sent { FAILURE_GAIN } else { LONG_SILENCE_WEIGHT };
    record_failure(worker, now, weight, first_ejection);
}

/// Records a failure. A sufficient failure rate ejects the worker, longer for each consecutive ejection.
fn record_failure(worker: &mut WorkerState, now: Micros, weight: f64, first_ejection: Micros) {
    worker.failure_rate += (1.0 - worker.failure_rate) * weight;
    if is_failing(worker) && now >= worker.ejected_until {
        let ejection = Micros((first_ejection.0 << worker.consecutive_ejections).min(MAX_EJECTION.0));
        worker.ejected_until = now + ejection;
        worker.consecutive_ejections = (worker.consecutive_ejections + 1).min(MAX_EJECTION_DOUBLINGS);
    }
}

/// Returns true if a silence was long enough to count against the worker. Cancellation by an impatient client
/// does not count.
pub fn is_long_silence(end: &AttemptEnd, was_overdue: bool, request: &RequestState) -> bool {
    let was_silent = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
    let was_long = was_overdue || end.elapsed >= request.latency_objective;
    was_silent && was_long && !request.streaming && !request.finished
}

/// Returns true if the attempt was overdue while the worker responded to no attempt. The duration of such an
/// attempt does not indicate load.
pub fn waited_on_unresponsive_worker(workers: &WorkerTable, attempt: &Attempt) -> bool {
    let worker = workers.get(&attempt.worker);
    attempt.overdue && worker.is_some_and(|worker| worker.last_response < attempt.facts.sent)
}

/// Router state that [`cancel_overdue`] needs in addition to the request and the workers.
pub struct OverdueCheck<'a> {
    /// Settings of the site.
    pub settings: &'a Settings,
    /// Current time.
    pub now: Micros,
    /// Set if samples are too sparse to judge a worker by its silence.
    pub has_sparse_samples: bool,
}

/// Counts overdue attempts against their workers. A worker that has responded to no attempt since the send is
/// assumed to hang, and repeatable attempts on it are cancelled. An attempt that a later attempt has
/// overtaken is cancelled after twice the time, because its connection hangs.
pub fn cancel_overdue(
    check: &OverdueCheck<'_>,
    workers: &mut WorkerTable,
    request: &mut RequestState,
    out: &mut Vec<Action>,
) {
    let OverdueCheck { settings, now, has_sparse_samples } = *check;
    let (retry_safety, _) = retry::retry_safety(settings, request);
    let may_cancel = settings.may_cancel && !has_sparse_samples && !request.finished;
    for (number, attempt) in request.attempts.iter_mut().enumerate() {
        let is_overdue = attempt.facts.open && attempt.overdue_at.is_some_and(|at| at <= now);
        if !is_overdue {
            continue;
        }
        attempt.overdue_at = Some(now + (now - attempt.facts.sent).max(settings.tick));
        let responds = count_overdue(workers, attempt);
        request.waits_on_silent_worker = !responds;
        let may_repeat = attempt.facts.stage == Stage::Prefill || retry_safety == RetrySafety::Idempotent;
        if !responds && may_repeat && may_cancel {
            out.push(Action::Cancel { id: request.request.id.clone(), attempt: AttemptNo(number as u32) });
            attempt.overdue_at = None;
        }
    }
}

/// Counts an overdue attempt against its worker. Returns false if the worker or the attempt's connection no
/// longer responds.
fn count_overdue(workers: &mut WorkerTable, attempt: &mut Attempt) -> bool {
    let Some(worker) = same_incarnation(workers, &attempt.worker, &attempt.facts) else { return false };
    let was_counted = std::mem::replace(&mut attempt.overdue, true);
    if !was_counted {
        worker.overdue_attempts += 1;
    }
    let was_overtaken = was_counted && worker.newest_answered_sent_at > attempt.facts.sent;
    worker.last_response > attempt.facts.sent && !was_overtaken
}
