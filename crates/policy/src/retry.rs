//! What may be attempted again, and why not.

use crate::actions::RejectionReason;
use crate::endpoints::{Lifecycle, Role};
use crate::obligations::{AnswerState, Denied, Obligations};
use crate::outlier_detection::is_healthy;
use crate::request_state::RequestState;
use crate::settings::{RetrySafety, Settings};
use crate::time::Micros;
use crate::view::View;
use crate::worker_state::WorkerState;

/// While first tokens take longer than this share of the tightest objective, one of many routers does not repeat what may
/// have run: repeats would make the congestion.
const CONGESTED_WAIT: f64 = 0.5;
/// The clock may move on by one tick while an answer is on its way, and by one until it is looked at.
const TICKS_BEFORE_DEADLINE: u32 = 2;

/// Whether a request may be repeated, and for how long repeats are discarded. A class without settings is repeated least.
pub fn retry_safety(settings: &Settings, request: &RequestState) -> (RetrySafety, Micros) {
    let class = settings.classes.get(request.request.class.0);
    class.map_or((RetrySafety::NonIdempotent, Micros(0)), |class| (class.retry_safety, class.dedup_window))
}

/// What is owed for a request, as it stands.
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

/// The last moment at which a request without an answer is looked at before its deadline.
pub fn last_check(settings: &Settings, request: &RequestState) -> Micros {
    (0..TICKS_BEFORE_DEADLINE).fold(request.request.deadline, |time, _| time - settings.tick)
}

/// Why a request without an open attempt is given up now rather than attempted again.
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

/// What kept a request whose time is up from its next attempt: of the workers that it needed, the one that was closest.
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

/// Why no worker can ever take a request again, if so.
pub fn permanent_rejection_reason(view: &View<'_>, request: &RequestState) -> Option<RejectionReason> {
    let denied = obligations(view.settings, request).permanent_denial(view.now)?;
    Some(match denied {
        Denied::MayHaveRun => RejectionReason::MayHaveRun,
        _ => RejectionReason::AttemptsExhausted,
    })
}
