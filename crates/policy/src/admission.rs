//! Admission: which requests are rejected on arrival, by load, and when a rejected client may come again.

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

/// A request is rejected when its forecast first token takes more than this multiple of the tightest objective.
const WAIT_LIMIT: f64 = 1.0;
/// ... of a tenant beyond its quota, more than this.
const WAIT_LIMIT_OVER_QUOTA: f64 = 0.4;
/// ... and only once more than so many wait, or more than one for each worker and router.
const MAX_UNCONGESTED_WAITING: usize = 4;
/// A rise alone is no congestion: first tokens have to be late by this part of the limit, and those that wait, too.
const LATE_SHARE: f64 = 0.5;
/// One of many routers goes by observed waits alone, and rejects the more, the further they exceed this multiple.
const SHEDDING_THRESHOLD: f64 = 0.8;
/// The rate of first tokens is not taken to be lower than so many in its span.
const MIN_FIRST_TOKENS: f64 = 5.0;
/// Until the forecast has fallen to this part of what is admitted, rejected clients stay away.
const DRAINED_SHARE: f64 = 0.5;
/// A tenant may save up this many seconds of its quota.
const QUOTA_BURST_S: f64 = 2.0;

/// The token buckets of the tenants.
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
    /// Full buckets for all tenants of the settings.
    pub fn new(settings: &Settings) -> Self {
        let full = TokenBucket { tokens: f64::MAX, refilled: Micros(0) };
        Self { buckets: vec![full; settings.tenants.len()] }
    }

    /// Takes a request from its tenant's bucket; tells whether it is beyond the quota.
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

/// Why a new request is rejected; none if it is admitted.
///
/// What has begun for its client and broke off is not given up for load: most of its work is done.
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

/// Whether a request is shed, by a draw. One of many routers counts no queue: all reject by how long first tokens take,
/// and workers report their queues.
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

/// Whether the next request's first token is forecast to come too late, and first tokens are late already.
fn is_congested(view: &View<'_>, wait_limit: f64) -> bool {
    let limit = wait_limit * LATE_SHARE;
    let tightest = view.tightest_objective();
    let waiting_requests_are_late =
        view.requests.waiting().mean_arrival_is_before(view.now - tightest.mul_f64(limit));
    let first_tokens_are_late = view.observed.first_token_wait.mean().is_some_and(|wait| wait > limit);
    waiting_requests_are_late && first_tokens_are_late && forecast_wait(view) > tightest.mul_f64(wait_limit)
}

/// Whether a request's client will not wait for as long as first tokens take. Asked only while they are slow.
fn cannot_meet_deadline(view: &View<'_>, request: &RequestState) -> bool {
    let wait = view.observed.first_token_wait.mean();
    let is_slow = wait.is_some_and(|wait| wait > WAIT_LIMIT_OVER_QUOTA);
    let typical = Micros::from_secs_f64(view.observed.disaggregated_seconds().unwrap_or(0.0));
    is_slow && view.now + typical > request.request.deadline
}

/// How long the next request is likely to wait for its first token, by Little's law, wherever the congestion is. A few that
/// wait are never too many: a rate lags, and they would keep congestion that has passed in sight.
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

/// How long first tokens take over the tightest objective, those included that are waited for; decaying while none comes.
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

/// Of the workers of a role that responded lately the share that reports a queue, the largest of the roles: by its last few
/// first tokens alone a router would reject though only some workers are slow.
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

/// When a rejected client may come again: once the queue that we see has fallen to what is admitted. One of many routers
/// goes by first tokens.
pub fn retry_after(view: &View<'_>) -> Option<Micros> {
    let excess = if view.has_sparse_samples() { observed_wait(view) - SHEDDING_THRESHOLD } else { 0.0 };
    let tightest = view.tightest_objective();
    let until_drained = forecast_wait(view) - tightest.mul_f64(WAIT_LIMIT * DRAINED_SHARE);
    let wait = until_drained.max(tightest.mul_f64(excess)).min(view.settings.max_retry_after);
    Some(wait).filter(|wait| wait.0 > 0)
}
