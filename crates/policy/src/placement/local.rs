//! Local prefill: a decode worker prefills a short remainder of a prompt itself.

use super::capacity;
use crate::candidates::eligible;
use crate::endpoints::Role;
use crate::request_state::{Placement, RequestState};
use crate::settings::LoadReporting;
use crate::time::Micros;
use crate::view::View;

/// Bounds of the local prefill time, as shares of the tightest latency objective. A remainder is short if the
/// decode worker prefills it within the current prefill time, limited by these bounds, because every stream
/// of that worker stalls for the duration of the prefill.
const MIN_LOCAL_SHARE: f64 = 0.13;
const MAX_LOCAL_SHARE: f64 = 0.2;
/// Upper bound while prefill workers are congested and decode workers are not.
const MAX_LOCAL_SHARE_CONGESTED: f64 = 1.0;
/// Share of the tightest latency objective above which the mean prefill time indicates congested prefill
/// workers.
const CONGESTED_PREFILL_SHARE: f64 = 0.5;
/// Share of the mean prefill time below which the mean pull time indicates idle decode workers.
const IDLE_PULL_SHARE: f64 = 0.2;
/// Minimum threshold in tokens, the default of the design.
const MIN_THRESHOLD: u64 = 64;

/// Returns a local prefill if the remainder is short: on the worker that has the session in its cache, or,
/// for a short prompt whose session is in no cache, on the worker with the most free capacity.
pub fn local_prefill(view: &View<'_>, request: &RequestState) -> Option<Placement> {
    let threshold = threshold(view);
    let prompt_tokens = request.request.prompt_tokens;
    let cached = view.affinity.find(request.request.session.as_ref(), view.workers, view.settings);
    let Some((worker, cached)) = cached else {
        let is_short = prompt_tokens < threshold && view.settings.self_prefill;
        let worker = is_short.then(|| capacity::most_available(view, request, None)).flatten()?;
        return Some(Placement::local_prefill(worker, 0));
    };
    let remainder = prompt_tokens.saturating_sub(cached.cached_tokens);
    let is_short = remainder < threshold && !request.has_attempted(&worker.info.id);
    let can_prefill = worker.info.role == Role::Combined || view.settings.self_prefill;
    if !is_short || !can_prefill {
        return None;
    }
    let candidates = eligible(view, request, |role| role != Role::Prefill);
    let is_eligible = candidates.iter().any(|candidate| candidate.info.id == worker.info.id);
    let cached_tokens = cached.cached_tokens.min(prompt_tokens);
    is_eligible.then(|| Placement::local_prefill(worker.info.id.clone(), cached_tokens))
}

/// Returns the number of tokens below which a remainder is short.
fn threshold(view: &View<'_>) -> u64 {
    let tightest = view.tightest_objective();
    let prefill_s = view.observed.prefill_seconds.mean().unwrap_or(0.0);
    let pull_s = view.observed.pull_seconds.mean().unwrap_or(0.0);
    let max_share = if decode_workers_idle(view, prefill_s, pull_s) {
        MAX_LOCAL_SHARE_CONGESTED
    } else {
        MAX_LOCAL_SHARE
    };
    let min_time = tightest.mul_f64(MIN_LOCAL_SHARE);
    let max_time = tightest.mul_f64(max_share);
    let break_even = Micros::from_secs_f64(prefill_s - 2.0 * pull_s).clamp(min_time, max_time);
    let tokens = break_even.as_secs_f64() * view.observed.local_prefill_rate();
    (tokens as u64).max(MIN_THRESHOLD)
}

/// Returns true if prefill workers are congested and decode workers are not, for example after half of the
/// prefill workers have failed. Decode workers then prefill more. Load reports are required because without
/// them streams on decode workers could fall behind unnoticed.
fn decode_workers_idle(view: &View<'_>, prefill_s: f64, pull_s: f64) -> bool {
    let tightest_s = view.tightest_objective().as_secs_f64();
    let prefill_is_congested = prefill_s > tightest_s * CONGESTED_PREFILL_SHARE;
    let pulls_are_quick = pull_s < prefill_s * IDLE_PULL_SHARE;
    let reports_load = view.settings.load_reporting != LoadReporting::Off;
    prefill_is_congested && pulls_are_quick && reports_load && view.has_sparse_samples()
}
