//! Admission control: load-based rejection of arriving requests, and the time after which rejected clients
//! may try again.

use std::collections::BTreeMap;

use crate::actions::RejectionReason;
use crate::endpoints::{Lifecycle, Role};
use crate::ids::TenantId;
use crate::observations::{FIRST_TOKEN_SPAN, MAX_RECORDED_WAIT, REQUEST_RATE_SPAN};
use crate::placement;
use crate::request_state::RequestState;
use crate::settings::Settings;
use crate::time::Micros;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Multiple of the tightest latency objective above which a forecast wait for the first token leads to
/// rejection.
const WAIT_LIMIT: f64 = 1.0;
/// Same limit for a tenant that exceeds its quota.
const WAIT_LIMIT_OVER_QUOTA: f64 = 0.4;
/// Number of waiting requests up to which the forecast is zero. The number of workers divided by the number
/// of routers applies if it is larger.
const MAX_UNCONGESTED_WAITING: usize = 4;
/// Share of the wait limit that both observed first tokens and waiting requests must exceed before the router
/// counts as congested. A rising forecast alone is not congestion.
const LATE_SHARE: f64 = 0.5;
/// Share of the wait limit above which a router with sparse samples rejects requests by observed waits. The
/// rejection probability grows with the excess.
const SHEDDING_THRESHOLD: f64 = 0.8;
/// Lower bound of the number of first tokens per [`FIRST_TOKEN_SPAN`] in the forecast.
const MIN_FIRST_TOKENS: f64 = 5.0;
/// Share of the wait limit to which the forecast must fall before rejected clients should try again.
const DRAINED_SHARE: f64 = 0.5;
/// Number of seconds of quota that a tenant can accumulate.
const QUOTA_BURST_S: f64 = 2.0;

/// Token buckets of the tenants.
#[derive(Debug, Clone)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled: Micros,
}

impl TenantQuotas {
    /// Creates full buckets for all tenants of the settings.
    pub fn new(settings: &Settings) -> Self {
        let full = TokenBucket { tokens: f64::MAX, refilled: Micros(0) };
        Self { buckets: vec![full; settings.tenants.len()] }
    }

    /// Takes a token for a request from the tenant's bucket. Returns true if the request exceeds the quota.
    pub fn take(&mut self, settings: &Settings, now: Micros, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else { return false };
        let allowance = settings.tenants.get(index).and_then(|tenant| tenant.allowance_per_s);
        let (Some(allowance), Some(bucket)) = (allowance, self.buckets.get_mut(index)) else { return false };
        let rate = allowance / f64::from(settings.routers.max(1));
        let refill = rate * (now - bucket.refilled).as_secs_f64();
        bucket.tokens = (bucket.tokens + refill).min(rate * QUOTA_BURST_S + 1.0);
        bucket.refilled = now;
        let is_over_quota = bucket.tokens < 1.0;
        if !is_over_quota {
            bucket.tokens -= 1.0;
        }
        is_over_quota
    }
}

/// Returns the reason for rejecting a new request, or `None` if the request is admitted.
///
/// A resumed request is never rejected for load, because most of its work is already done.
pub fn reason_to_reject(
    view: &View<'_>,
    request: &RequestState,
    over_quota: bool,
) -> Option<RejectionReason> {
    if request.request.resumed {
        return None;
    }
    let wait_limit = if over_quota { WAIT_LIMIT_OVER_QUOTA } else { WAIT_LIMIT };
    if is_shed(view, request, wait_limit) {
        let by_observation = view.has_sparse_samples();
        return Some(if by_observation {
            RejectionReason::ObservedLatency
        } else {
            RejectionReason::ForecastLatency
        });
    }
    let misses_deadline =
        cannot_meet_deadline(view, request) && placement::local_prefill(view, request).is_none();
    misses_deadline.then_some(RejectionReason::CannotMeetDeadline)
}

/// Decides by a draw whether a request is shed. A router with sparse samples cannot estimate load from its
/// own queue: all routers then reject by observed first-token times and by the queues that workers report.
fn is_shed(view: &View<'_>, request: &RequestState, wait_limit: f64) -> bool {
    let chance = if view.has_sparse_samples() {
        observed_wait(view) / wait_limit - SHEDDING_THRESHOLD
    } else if is_congested(view, wait_limit) {
        1.0
    } else {
        return false;
    };
    view.draw(&*request.request.id.0, "") < chance * queueing_share(view)
}

/// Returns true if the next first token is forecast to be late and recent first tokens and waiting requests
/// are already late.
fn is_congested(view: &View<'_>, wait_limit: f64) -> bool {
    let limit = wait_limit * LATE_SHARE;
    let tightest = view.tightest_objective();
    let waiting_requests_are_late =
        view.requests.waiting().mean_arrival_is_before(view.now - tightest.mul_f64(limit));
    let first_tokens_are_late = view.observed.first_token_wait.mean().is_some_and(|wait| wait > limit);
    waiting_requests_are_late && first_tokens_are_late && forecast_wait(view) > tightest.mul_f64(wait_limit)
}

/// Returns true if first tokens are slow and the typical time to a first token exceeds the client's remaining
/// time.
fn cannot_meet_deadline(view: &View<'_>, request: &RequestState) -> bool {
    let wait = view.observed.first_token_wait.mean();
    let is_slow = wait.is_some_and(|wait| wait > WAIT_LIMIT_OVER_QUOTA);
    let typical = Micros::from_secs_f64(view.observed.disaggregated_seconds().unwrap_or(0.0));
    is_slow && view.now + typical > request.request.deadline
}

/// Forecasts the wait of the next request for its first token by Little's law, independent of the stage that
/// is congested. A few waiting requests never count as congestion: the measured rate lags and would prolong
/// congestion that has ended.
fn forecast_wait(view: &View<'_>) -> Micros {
    let waiting = view.requests.waiting().count;
    let per_worker_and_router = view.workers.len() / view.settings.routers.max(1) as usize;
    if waiting <= per_worker_and_router.max(MAX_UNCONGESTED_WAITING) {
        return Micros(0);
    }
    let rate = view.observed.first_tokens.per_second(view.now, FIRST_TOKEN_SPAN);
    let rate = rate.max(MIN_FIRST_TOKENS / FIRST_TOKEN_SPAN.as_secs_f64());
    Micros::from_secs_f64(waiting as f64 / rate)
}

/// Returns the mean wait for first tokens, including requests that still wait, divided by the tightest
/// latency objective. The observed part decays while no first token arrives.
pub fn observed_wait(view: &View<'_>) -> f64 {
    let observed = view.observed.decayed_first_token_wait(view.now);
    let mut sum = observed;
    let mut count = 1.0;
    for request in view.requests.iter().filter(|request| request.awaits_first_token()) {
        let wait = view.wait_ratio(request);
        if wait > observed {
            sum += wait.min(MAX_RECORDED_WAIT);
            count += 1.0;
        }
    }
    sum / count
}

/// Returns the share of recently responding workers that report a queue, as the maximum over the roles.
/// Without this factor a router would reject requests by its last few first tokens even if only some workers
/// are slow.
fn queueing_share(view: &View<'_>) -> f64 {
    #[derive(Default)]
    struct Reports {
        count: f64,
        queueing: f64,
    }
    let mut by_role: BTreeMap<Role, Reports> = BTreeMap::new();
    let responded_recently = |worker: &&WorkerState| {
        worker.info.lifecycle == Lifecycle::Active && view.now - worker.last_response < REQUEST_RATE_SPAN
    };
    for worker in view.workers.values().filter(responded_recently) {
        let Some(queued) = worker.load_report.and_then(|report| report.queued_requests) else { continue };
        let reports = by_role.entry(worker.info.role).or_default();
        reports.count += 1.0;
        reports.queueing += f64::from(u8::from(queued >= 1.0));
    }
    by_role.values().map(|reports| reports.queueing / reports.count).reduce(f64::max).unwrap_or(1.0)
}

/// Returns the time after which a rejected client may try again: the time in which the forecast wait falls to
/// [`DRAINED_SHARE`] of the wait limit. A router with sparse samples uses observed first-token waits.
pub fn retry_after(view: &View<'_>) -> Option<Micros> {
    let excess = if view.has_sparse_samples() { observed_wait(view) - SHEDDING_THRESHOLD } else { 0.0 };
    let tightest = view.tightest_objective();
    let until_drained = forecast_wait(view) - tightest.mul_f64(WAIT_LIMIT * DRAINED_SHARE);
    let wait = until_drained.max(tightest.mul_f64(excess)).min(view.settings.max_retry_after);
    Some(wait).filter(|wait| wait.0 > 0)
}
