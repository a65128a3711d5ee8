//! Load reports in the heads of engines' replies.

use chalkyard_api::engine;
use chalkyard_policy as p;

/// Reads a load report. Returns `None` if the header is missing or malformed.
pub(super) fn load_report(header: Option<&str>) -> Option<p::LoadReport> {
    let load = engine::parse_load_report(header?)?;
    let named = load.named_metrics;
    Some(p::LoadReport {
        queued_requests: named.queue_depth,
        slot_utilization: load.cpu_utilization,
        kv_utilization: load.mem_utilization,
        waiting_tokens: named.waiting_tokens,
    })
}
