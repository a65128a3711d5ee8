//! Dispatch of attempts. Only this module creates [`Action::Send`].

use crate::actions::{Action, AttemptKind};
use crate::endpoints::Role;
use crate::obligations::{release_due, AttemptFacts, Stage};
use crate::outlier_detection::{is_failing, is_healthy};
use crate::request_state::{Attempt, Placement, RequestState};
use crate::reservations;
use crate::retry;
use crate::router::Router;
use crate::settings::RetrySafety;
use crate::statistics::Ewma;
use crate::time::Micros;
use crate::view::{has_many_routers, View};
use crate::worker_state::WorkerState;

/// Multiple of the typical duration after which a silent attempt is overdue.
const OVERDUE_MULTIPLE: f64 = 4.0;
/// Minimum time before a silent attempt is overdue, as a share of the request's latency objective.
const MIN_OVERDUE_SHARE: f64 = 0.4;

impl Router {
    /// Sends the next attempt of a request.
    pub(crate) fn send(&mut self, request: &mut RequestState, placement: Placement, out: &mut Vec<Action>) {
        let view = self.view();
        let Some(worker) = view.workers.get(&placement.worker) else { return };
        let kind = attempt_kind(&view, worker);
        let is_warming_up = view.is_warming_up(worker);
        let role = worker.info.role;
        let repeat_time_left = repeat_time_left(&view, request, placement.stage);
        let local_prefill_rate = view.observed.local_prefill_rate();
        self.count_sent(role, is_warming_up);
        let now = self.now;
        let prompt_tokens = request.request.prompt_tokens;
        let Some(worker) = self.workers.get_mut(&placement.worker) else { return };
        if is_warming_up {
            worker.recent_sends.retain(|sent| *sent + self.settings.overload_window > now);
            worker.recent_sends.push(now);
        }
        worker.prompt_tokens_sent = worker.prompt_tokens_sent.saturating_add(prompt_tokens);
        worker.count_attempt(placement.stage, prompt_tokens);
        if placement.stage == Stage::Decode {
            worker.tokens_since_report += prompt_tokens as f64;
        }
        let target = worker.target();
        // The worker prefills the prompt tokens already in flight and then those of this prompt.
        let prefill_s = (worker.prefill_tokens_in_flight as f64 + prompt_tokens as f64) / local_prefill_rate;
        let unanswered_wait = worker.unanswered_wait;
        let silence_timeout = self.silence_timeout(request, placement.stage, unanswered_wait, prefill_s);
        let timeout =
            self.timeout(request, placement.stage, silence_timeout).into_iter().chain(repeat_time_left).min();
        let connect_timeout = reservations::connect_timeout(&self.settings, request, now);
        request.attempts.push(Attempt {
            worker: placement.worker.clone(),
            facts: AttemptFacts::new(placement.stage, now, target),
            pulls_state: request.reserved_on.is_some(),
            overdue_at: Some(now + silence_timeout),
            overtaken_check_at: self.overtaken_check_at(request, placement.stage),
            overdue: false,
            worker_unreached: false,
            predicted_cached_tokens: placement.predicted_cached_tokens,
        });
        let id = request.request.id.clone();
        out.push(Action::Send { id, worker: placement.worker, timeout, connect_timeout, kind });
    }

    /// Counts a request sent to workers of a role, as described at [`crate::observations::Observations`].
    fn count_sent(&mut self, role: Role, is_warming_up: bool) {
        let counts = !is_warming_up || has_many_routers(&self.settings);
        let per_worker = if counts { 1.0 / self.view().listed_worker_count(role) } else { 0.0 };
        let sent = self.observed.sent_by_role.entry(role).or_default();
        sent.add(self.now, self.settings.slow_start_duration, per_worker);
    }

    /// Returns the time for which an attempt may stay silent. The time that earlier attempts have waited on
    /// the worker without a response is subtracted.
    fn silence_timeout(
        &self,
        request: &RequestState,
        stage: Stage,
        unanswered_wait: Micros,
        prefill_s: f64,
    ) -> Micros {
        let typical: &Ewma = match stage {
            Stage::Prefill => &self.observed.prefill_seconds,
            Stage::Decode if request.reserved_on.is_some() => &self.observed.pull_seconds,
            Stage::Decode => &self.observed.combined_seconds,
        };
        let typical = Micros::from_secs_f64(typical.mean().unwrap_or(0.0) * OVERDUE_MULTIPLE);
        let minimum = request.latency_objective.mul_f64(MIN_OVERDUE_SHARE);
        minimum.max(typical - unanswered_wait) + Micros::from_secs_f64(prefill_s)
    }

    /// Returns a timeout for an attempt that may be repeated, if attempts cannot be cancelled later.
    fn timeout(&self, request: &RequestState, stage: Stage, silence_timeout: Micros) -> Option<Micros> {
        let (retry_safety, _) = retry::retry_safety(&self.settings, request);
        let may_repeat = stage == Stage::Prefill || retry_safety == RetrySafety::Idempotent;
        let timeout = silence_timeout + silence_timeout;
        (!self.settings.may_cancel && may_repeat && timeout.0 > 0).then_some(timeout)
    }

    /// Returns the time at which the state of a prefill would be due for release if the prefill took the
    /// typical time. The typical time is capped because the mean includes prefills that waited on a silent
    /// worker.
    fn overtaken_check_at(&self, request: &RequestState, stage: Stage) -> Option<Micros> {
        let typical = Micros::from_secs_f64(self.observed.prefill_seconds.mean().unwrap_or(0.0));
        let typical = typical.min(request.latency_objective.mul_f64(MIN_OVERDUE_SHARE));
        let due = release_due(self.now + typical, self.settings.reservation_timeout);
        (stage == Stage::Prefill).then_some(due)
    }
}

/// Returns the condition of the attempt's worker, for the log.
fn attempt_kind(view: &View<'_>, worker: &WorkerState) -> AttemptKind {
    if is_failing(worker) || !is_healthy(worker, view.now) {
        AttemptKind::Probe
    } else if view.is_warming_up(worker) {
        AttemptKind::SlowStart
    } else {
        AttemptKind::Normal
    }
}

/// Returns the time within which a decode must end because an earlier attempt may have run.
fn repeat_time_left(view: &View<'_>, request: &RequestState, stage: Stage) -> Option<Micros> {
    let repeat_deadline = retry::obligations(view.settings, request).next_attempt_deadline();
    let at = repeat_deadline.filter(|_| stage == Stage::Decode)?;
    Some((at - view.now).max(view.settings.tick))
}
