//! Retry rules, and the reasons for giving up a request.

use crate::actions::RejectionReason;
use crate::endpoints::{Lifecycle, Role};
use crate::obligations::{AnswerState, Denied, Obligations};
use crate::outlier_detection::is_healthy;
use crate::request_state::RequestState;
use crate::settings::{RetrySafety, Settings};
use crate::time::Micros;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Share of the tightest latency objective above which waits for first tokens suppress retries of attempts
/// that may have run, on routers with sparse samples. Such retries would cause more congestion.
const CONGESTED_WAIT: f64 = 0.5;
/// Number of clock ticks before the deadline at which an unanswered request is checked for the last time. The
/// clock may advance by one tick while the answer is in transit and by one tick before it is read.
const TICKS_BEFORE_DEADLINE: u32 = 2;

/// Returns the retry rule and the deduplication window of a request. A class without settings has the
/// strictest rule.
pub fn retry_safety(settings: &Settings, request: &RequestState) -> (RetrySafety, Micros) {
    let class = settings.classes.get(request.request.class.0);
    class.map_or((RetrySafety::NonIdempotent, Micros(0)), |class| (class.retry_safety, class.dedup_window))
}

/// Returns the current state of a request as the obligation rules need it.
pub fn obligations(settings: &Settings, request: &RequestState) -> Obligations {
    let (retry_safety, dedup_window) = retry_safety(settings, request);
    Obligations {
        retry_safety,
        dedup_window,
        deadline: request.request.deadline,
        max_attempts: settings.max_attempts,
        attempts: request.attempts.iter().map(|attempt| attempt.facts).collect(),
        answer: if request.finished { AnswerState::Given } else { AnswerState::Owed },
        reserved_at: request.reserved_on.as_ref().map(|_| request.reserved_at),
    }
}

/// Returns the last time before the deadline at which an unanswered request is checked.
pub fn last_check(settings: &Settings, request: &RequestState) -> Micros {
    (0..TICKS_BEFORE_DEADLINE).fold(request.request.deadline, |time, _| time - settings.tick)
}

/// Returns the reason for giving up a request without an open attempt instead of attempting it again.
pub fn reason_to_give_up(view: &View<'_>, request: &RequestState) -> Option<RejectionReason> {
    if is_repeat_into_congestion(view, request) {
        return Some(RejectionReason::Congested);
    }
    let next_check = (0..TICKS_BEFORE_DEADLINE).fold(view.now, |time, _| time + view.settings.tick);
    (next_check >= request.request.deadline).then(|| reason_at_deadline(view, request))
}

fn is_repeat_into_congestion(view: &View<'_>, request: &RequestState) -> bool {
    view.has_sparse_samples()
        && request.attempts.iter().any(|attempt| attempt.facts.may_have_run)
        && crate::admission::observed_wait(view) > CONGESTED_WAIT
}

/// Returns the reason why a request received no further attempt before its deadline. Of the workers that were
/// needed, the worker closest to being available determines the reason.
fn reason_at_deadline(view: &View<'_>, request: &RequestState) -> RejectionReason {
    let ended_now = !request.attempts.is_empty() && request.reserved_at == view.now;
    if ended_now {
        return RejectionReason::DeadlineExceeded;
    }
    let other_role = if request.reserved_on.is_some() { Role::Prefill } else { Role::Decode };
    let needed =
        |worker: &&WorkerState| worker.info.lifecycle == Lifecycle::Active && worker.info.role != other_role;
    let exclusion_reason = |worker: &WorkerState| {
        if !is_healthy(worker, view.now) {
            RejectionReason::NoneHealthy
        } else if worker.is_rejecting(request.request.class, view.now) {
            RejectionReason::AtCapacity
        } else {
            RejectionReason::WarmingUp
        }
    };
    view.workers.values().filter(needed).map(exclusion_reason).max().unwrap_or(RejectionReason::NoWorker)
}

/// Returns the reason if no worker can ever take the request again.
pub fn permanent_rejection_reason(view: &View<'_>, request: &RequestState) -> Option<RejectionReason> {
    let denied = obligations(view.settings, request).permanent_denial(view.now)?;
    Some(match denied {
        Denied::MayHaveRun => RejectionReason::MayHaveRun,
        _ => RejectionReason::AttemptsExhausted,
    })
}
