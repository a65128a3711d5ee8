//! Outlier detection: which workers fail or fall silent, for how long they are ejected, and which attempts are overdue.

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

/// A failure closes this share of the gap between a worker's failure rate and 1.
const FAILURE_GAIN: f64 = 0.3;
/// A success takes this share off the failure rate.
const SUCCESS_GAIN: f64 = 0.15;
/// From this failure rate on a worker is ejected: two failures in a row suffice.
const EJECTION_THRESHOLD: f64 = 0.45;
/// A single failure after which a worker is ejected.
const EJECTING_FAILURE_WEIGHT: f64 = EJECTION_THRESHOLD;
/// Silence for so long that its worker is ejected at once.
const LONG_SILENCE_WEIGHT: f64 = 1.0;
/// The shortest ejection.
const MIN_EJECTION: Micros = Micros(1_000_000);
/// It doubles with each in a row, so often at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// The longest ejection.
const MAX_EJECTION: Micros = Micros(MIN_EJECTION.0 << MAX_EJECTION_DOUBLINGS);
/// A first ejection lasts for about so many of our requests.
const EJECTION_REQUESTS: f64 = 8.0;

/// Whether a worker may get normal work: it is not ejected, has no overdue attempt, and gets one probe at a time while its
/// failure rate is high.
pub fn is_healthy(worker: &WorkerState, now: Micros) -> bool {
    let may_probe = !is_failing(worker) || worker.attempts_in_flight() == 0;
    now >= worker.ejected_until && may_probe && worker.overdue_attempts == 0
}

/// Whether its failure rate is high enough for an ejection.
pub fn is_failing(worker: &WorkerState) -> bool {
    worker.failure_rate >= EJECTION_THRESHOLD
}

/// How long a first ejection lasts: by our request rate, since one that receives little would otherwise probe each time.
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

/// Records an error or a broken connection. Where no response came lately one failure says enough: two may take minutes.
pub fn record_error(worker: &mut WorkerState, now: Micros, first_ejection: Micros) {
    let responded_recently = worker.last_response + MIN_EJECTION > now && !worker.unreachable;
    let weight = if responded_recently { FAILURE_GAIN } else { EJECTING_FAILURE_WEIGHT };
    record_failure(worker, now, weight, first_ejection);
}

/// Records an attempt that ended after a long silence. A worker that has responded to later ones did not hang: the
/// connection did.
pub fn record_silence(worker: &mut WorkerState, now: Micros, sent: Micros, first_ejection: Micros) {
    let weight = if worker.newest_answered_sent_at > sent { FAILURE_GAIN } else { LONG_SILENCE_WEIGHT };
    record_failure(worker, now, weight, first_ejection);
}

/// A failure; enough of them eject the worker, each time for longer.
fn record_failure(worker: &mut WorkerState, now: Micros, weight: f64, first_ejection: Micros) {
    worker.failure_rate += (1.0 - worker.failure_rate) * weight;
    if is_failing(worker) && now >= worker.ejected_until {
        let ejection = Micros((first_ejection.0 << worker.consecutive_ejections).min(MAX_EJECTION.0));
        worker.ejected_until = now + ejection;
        worker.consecutive_ejections = (worker.consecutive_ejections + 1).min(MAX_EJECTION_DOUBLINGS);
    }
}

/// Whether a silence of this length says something of the worker: a client that gives up early says nothing.
pub fn is_long_silence(end: &AttemptEnd, was_overdue: bool, request: &RequestState) -> bool {
    let was_silent = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
    let was_long = was_overdue || end.elapsed >= request.latency_objective;
    was_silent && was_long && !request.streaming && !request.finished
}

/// Whether an attempt was overdue while its worker responded to nobody: how long it took is no sign of load.
pub fn waited_on_unresponsive_worker(workers: &WorkerTable, attempt: &Attempt) -> bool {
    let worker = workers.get(&attempt.worker);
    attempt.overdue && worker.is_some_and(|worker| worker.last_response < attempt.facts.sent)
}

/// What of a router's state [`cancel_overdue`] needs beside the request and the workers.
pub struct OverdueCheck<'a> {
    /// The site's settings.
    pub settings: &'a Settings,
    /// The time.
    pub now: Micros,
    /// Silence is not judged by sparse samples.
    pub has_sparse_samples: bool,
}

/// Counts attempts whose silence has lasted too long against their worker. One that has responded to nobody since is
/// taken to hang: what can be repeated is cancelled there. So is, after twice the time, what later attempts have
/// overtaken: its connection hangs.
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

/// Counts an overdue attempt against its worker; tells whether that still responds as far as the attempt is concerned.
fn count_overdue(workers: &mut WorkerTable, attempt: &mut Attempt) -> bool {
    let Some(worker) = same_incarnation(workers, &attempt.worker, &attempt.facts) else { return false };
    let was_counted = std::mem::replace(&mut attempt.overdue, true);
    if !was_counted {
        worker.overdue_attempts += 1;
    }
    let was_overtaken = was_counted && worker.newest_answered_sent_at > attempt.facts.sent;
    worker.last_response > attempt.facts.sent && !was_overtaken
}
