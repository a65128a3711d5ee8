//! Policy of one router, which turns events into actions.
//!
//! [`Router`] owns all state and advances each request. The decisions are made in the other modules.

use std::collections::BTreeMap;

use crate::actions::{Action, RejectionReason};
use crate::admission::{self, TenantQuotas};
use crate::affinity::AffinityTable;
use crate::events::{Event, Request};
use crate::ids::{RequestId, TimerId};
use crate::observations::Observations;
use crate::outlier_detection::{self, OverdueCheck};
use crate::placement;
use crate::request_state::{AttemptEnd, RequestState, RequestTable};
use crate::reservations;
use crate::retry;
use crate::settings::Settings;
use crate::time::Micros;
use crate::view::View;
use crate::worker_state::WorkerTable;

/// Interval between attempts to place a request for which no worker is available.
const RETRY_INTERVAL: Micros = Micros(40_000);
/// Shortest delay of a timer.
const MIN_TIMER_DELAY: Micros = Micros(1);

/// Purpose of a timer.
#[derive(Debug, Clone)]
pub(crate) enum TimerPurpose {
    /// Poll the endpoint list again.
    PollEndpoints,
    /// Check a request again.
    Advance(RequestId),
}

/// Policy and state of one router.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) now: Micros,
    pub(crate) workers: WorkerTable,
    /// Set once discovery has sent a list since startup. Workers added after that point started recently.
    pub(crate) has_current_list: bool,
    pub(crate) requests: RequestTable,
    pub(crate) affinity: AffinityTable,
    pub(crate) observed: Observations,
    pub(crate) next_timer: u64,
    timers: BTreeMap<TimerId, TimerPurpose>,
    quotas: TenantQuotas,
}

impl Router {
    /// Creates a router without any knowledge of workers or requests. All pseudo-random choices derive from
    /// `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            quotas: TenantQuotas::new(&settings),
            settings,
            seed,
            now: Micros(0),
            workers: WorkerTable::new(),
            has_current_list: false,
            requests: RequestTable::default(),
            affinity: AffinityTable::default(),
            observed: Observations::default(),
            next_timer: 0,
            timers: BTreeMap::new(),
        }
    }

    /// Handles one event and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Endpoints { update, workers } => self.apply_endpoints(update, workers, out),
            Event::Request(request) => self.handle_request(request, out),
            Event::Streaming { id, attempt, elapsed } => self.handle_first_token(&id, attempt, elapsed),
            Event::AttemptOutcome { id, attempt, outcome, elapsed, request_ended, cached_tokens, report } => {
                let Some(mut request) = self.requests.take(&id) else { return };
                let end = AttemptEnd { outcome, elapsed, cached_tokens, load_report: report };
                self.attempt_ended(&mut request, attempt, &end);
                request.finished |= request_ended;
                self.advance(request, out);
            }
            Event::ClientGone(id) => {
                let Some(mut request) = self.requests.take(&id) else { return };
                self.record_if_missed(&request);
                request.finished = true;
                self.advance(request, out);
            }
            Event::Timer(timer) => self.handle_timer(timer, out),
        }
    }

    /// Returns read access to the state for decision functions.
    pub(crate) fn view(&self) -> View<'_> {
        View {
            settings: &self.settings,
            seed: self.seed,
            now: self.now,
            workers: &self.workers,
            requests: &self.requests,
            affinity: &self.affinity,
            observed: &self.observed,
        }
    }

    /// Requests a timer that fires at `at`.
    pub(crate) fn set_timer(&mut self, at: Micros, purpose: TimerPurpose, out: &mut Vec<Action>) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, purpose);
        let after = (at - self.now).max(self.settings.tick).max(MIN_TIMER_DELAY);
        out.push(Action::SetTimer { timer, after });
    }

    fn handle_timer(&mut self, timer: TimerId, out: &mut Vec<Action>) {
        match self.timers.remove(&timer) {
            Some(TimerPurpose::PollEndpoints) => out.push(Action::Subscribe),
            Some(TimerPurpose::Advance(id)) => {
                if let Some(request) = self.requests.take(&id) {
                    self.advance(request, out);
                }
            }
            None => {}
        }
    }

    fn handle_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            let reason = RejectionReason::UnknownClass;
            return out.push(Action::Fail { id: request.id, reason });
        };
        let thousands = request.prompt_tokens as f64 / 1e3;
        let prompt_extension = class.latency_objective_per_1000_tokens.mul_f64(thousands);
        let latency_objective = class.latency_objective + prompt_extension;
        let over_quota = self.quotas.take(&self.settings, self.now, request.tenant);
        self.observed.record_request(self.now, &request);
        let request = RequestState::new(request, self.now, latency_objective);
        match admission::reason_to_reject(&self.view(), &request, over_quota) {
            Some(reason) => self.give_up(request, reason, out),
            None => self.advance(request, out),
        }
    }

    /// Advances a request by one step after any event, and keeps the request while an attempt or an answer is
    /// outstanding.
    fn advance(&mut self, mut request: RequestState, out: &mut Vec<Action>) {
        let check = OverdueCheck {
            settings: &self.settings,
            now: self.now,
            has_sparse_samples: self.view().has_sparse_samples(),
        };
        outlier_detection::cancel_overdue(&check, &mut self.workers, &mut request, out);
        reservations::release_if_due(&self.settings, self.now, &mut request, out);
        reservations::cancel_overtaken_prefills(&self.settings, self.now, &self.workers, &mut request, out);
        if !request.has_open_attempt() && !request.finished {
            if let Some(reason) = retry::reason_to_give_up(&self.view(), &request) {
                return self.give_up(request, reason, out);
            }
            if let Some(placement) = placement::choose(&self.view(), &request) {
                self.send(&mut request, placement, out);
            } else if let Some(reason) = retry::permanent_rejection_reason(&self.view(), &request) {
                return self.give_up(request, reason, out);
            }
        }
        if request.finished && !request.has_open_attempt() {
            return;
        }
        self.schedule_next_check(&request, out);
        self.requests.put(request);
    }

    /// Sets a timer for the next time at which a request must be checked.
    fn schedule_next_check(&mut self, request: &RequestState, out: &mut Vec<Action>) {
        let next = if request.has_open_attempt() {
            let open = request.attempts.iter().filter(|attempt| attempt.facts.open);
            open.flat_map(|attempt| attempt.overdue_at.into_iter().chain(attempt.overtaken_check_at)).min()
        } else {
            Some((self.now + RETRY_INTERVAL).min(retry::last_check(&self.settings, request)))
        };
        let release = request.reserved_on.as_ref().map(|_| reservations::release_at(&self.settings, request));
        if let Some(at) = next.into_iter().chain(release).min() {
            self.set_timer(at, TimerPurpose::Advance(request.request.id.clone()), out);
        }
    }

    /// Sends the final answer: a rejection where the obligations allow it, otherwise a failure.
    fn give_up(&mut self, mut request: RequestState, reason: RejectionReason, out: &mut Vec<Action>) {
        let id = request.request.id.clone();
        self.record_if_missed(&request);
        if request.reserved_on.take().is_some() {
            out.push(Action::ReleaseReservation(id.clone()));
        }
        request.finished = true;
        let is_in_time = self.now + self.settings.tick < request.request.deadline;
        if is_in_time && retry::obligations(&self.settings, &request).may_reject().is_ok() {
            let retry_after = admission::retry_after(&self.view());
            out.push(Action::Reject { id, retry_after, reason });
        } else {
            out.push(Action::Fail { id, reason });
        }
        if request.has_open_attempt() {
            self.requests.put(request);
        }
    }

    /// Records a request that ends without a first token as a long wait.
    fn record_if_missed(&mut self, request: &RequestState) {
        if request.awaits_first_token() && !request.attempts.is_empty() {
            let wait = self.view().wait_ratio(request);
            self.observed.record_missed_first_token(self.now, wait);
        }
    }
}
