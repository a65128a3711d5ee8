//! Local prefill: a short remainder of a prompt is prefilled by the decode worker itself.

use super::capacity;
use crate::candidates::eligible;
use crate::endpoints::Role;
use crate::request_state::{Placement, RequestState};
use crate::settings::LoadReporting;
use crate::time::Micros;
use crate::view::View;

/// A remainder is short when the decode worker prefills it in no more time than prefills take now, within these shares of
/// the tightest objective: every stream of that worker waits for as long.
const MIN_LOCAL_SHARE: f64 = 0.13;
const MAX_LOCAL_SHARE: f64 = 0.2;
/// ... up to this share while prefill workers are congested and decode workers are not.
const MAX_LOCAL_SHARE_CONGESTED: f64 = 1.0;
/// Prefill workers are congested while prefills take over this share of the tightest objective,
const CONGESTED_PREFILL_SHARE: f64 = 0.5;
/// and decode workers are idle while pulls take less than this part of prefills.
const IDLE_PULL_SHARE: f64 = 0.2;
/// The threshold is at least this, in tokens: the default of the design.
const MIN_THRESHOLD: u64 = 64;

/// A local prefill, if the remainder is short: at the worker that keeps the session, or, for a short prompt of a session
/// that no worker keeps, at the one with most capacity.
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

/// A remainder below so many tokens is short.
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

/// Whether prefill workers are congested and decode workers are not, as with half of the prefill workers gone: then decode
/// workers prefill more. Where they report no load their streams would fall behind unseen.
fn decode_workers_idle(view: &View<'_>, prefill_s: f64, pull_s: f64) -> bool {
    let tightest_s = view.tightest_objective().as_secs_f64();
    let prefill_is_congested = prefill_s > tightest_s * CONGESTED_PREFILL_SHARE;
    let pulls_are_quick = pull_s < prefill_s * IDLE_PULL_SHARE;
    let reports_load = view.settings.load_reporting != LoadReporting::Off;
    prefill_is_congested && pulls_are_quick && reports_load && view.has_sparse_samples()
}
