//! Observations of one worker: load, capacity, incarnation and health.

use std::collections::BTreeMap;

use crate::endpoints::{LoadReport, Worker};
use crate::ids::{ClassId, WorkerId};
use crate::obligations::{AttemptFacts, Stage, Target};
use crate::time::Micros;

/// Capacity used by one queued request, as a share of the whole.
const CAPACITY_PER_QUEUED_REQUEST: f64 = 0.02;

/// Workers known to this router.
pub type WorkerTable = BTreeMap<WorkerId, WorkerState>;

/// Most recent prefill that ended on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastPrefill {
    /// Duration divided by the request's latency objective.
    pub objective_ratio: f64,
    /// Time at which the prefill ended.
    pub ended: Micros,
}

/// Backoff of a worker for a class of requests that the worker rejected.
#[derive(Debug, Clone, Copy, Default)]
pub struct RejectionBackoff {
    /// Number of doublings so far.
    pub doublings: u32,
    /// Time until which the worker receives no requests of the class.
    pub until: Micros,
}

/// State of a worker as observed by this router.
#[derive(Debug, Clone, Default)]
pub struct WorkerState {
    /// Entry of the endpoint list.
    pub info: Worker,
    /// Start of this incarnation, as notified but not after the notification. Earlier attempts belong to an
    /// earlier incarnation.
    pub incarnation_start: Micros,
    /// Start of the warm-up. The start time in the endpoint list comes from another machine's wall clock,
    /// which may be wrong by an hour.
    pub warming_since: Micros,
    /// Prefills of this router in flight on the worker.
    pub prefills_in_flight: u32,
    /// Prompt tokens of the prefills in flight.
    pub prefill_tokens_in_flight: u64,
    /// Decodes of this router in flight on the worker.
    pub decodes_in_flight: u32,
    /// Decodes in flight that have no first token yet.
    pub awaiting_first_token: u32,
    /// Last prefill of this router on the worker.
    pub last_prefill: LastPrefill,
    /// Last load report.
    pub load_report: Option<LoadReport>,
    /// Prompt tokens of decodes that this router sent since the last load report.
    pub tokens_since_report: f64,
    /// Send times of this router's attempts within the overload window, recorded while the worker is warming
    /// up.
    pub recent_sends: Vec<Micros>,
    /// Total prompt tokens that this router has sent to the worker. Cache records age by this count.
    pub prompt_tokens_sent: u64,
    /// Time up to which cache records are void, because a restart empties the cache.
    pub cache_lost_at: Micros,
    /// Decaying share of failures among outcomes.
    pub failure_rate: f64,
    /// Set if the last outcome proved that nothing listens at the worker's address.
    pub unreachable: bool,
    /// Number of consecutive ejections.
    pub consecutive_ejections: u32,
    /// End of the last ejection.
    pub ejected_until: Micros,
    /// Number of silent attempts that are overdue.
    pub overdue_attempts: u32,
    /// Backoffs by class. Some workers reject only one class.
    pub rejections: BTreeMap<ClassId, RejectionBackoff>,
    /// Time at which the worker last started an answer, or ended a prefill or an answer.
    pub last_response: Micros,
    /// Send time of the newest attempt that the worker has responded to.
    pub newest_answered_sent_at: Micros,
    /// Total time that attempts without a response waited on the worker and ended since its last response.
    pub unanswered_wait: Micros,
}

impl WorkerState {
    /// Returns the KV-cache capacity in tokens, or infinity if unknown.
    pub fn kv_capacity_tokens(&self) -> f64 {
        self.info.kv_tokens.map_or(f64::INFINITY, |tokens| tokens.max(1) as f64)
    }

    /// Returns the free capacity of the last report, as a share of the whole.
    pub fn reported_capacity(&self) -> Option<f64> {
        let report = self.load_report?;
        if report.kv_utilization.is_none() && report.slot_utilization.is_none() {
            return None;
        }
        let used = report.kv_utilization.unwrap_or(0.0).max(report.slot_utilization.unwrap_or(0.0));
        Some(1.0 - used)
    }

    /// Returns the last reported free capacity less the capacity of later sends, as a share of memory. The
    /// estimate assumes that other routers send as many requests as this router, because otherwise all would
    /// choose the same worker. A worker without a report is assumed to have the average capacity.
    pub fn available_capacity(&self, routers: u32, average: f64) -> f64 {
        let report = self.load_report.unwrap_or_default();
        let waiting_tokens =
            report.waiting_tokens.unwrap_or(0.0) + self.tokens_since_report * f64::from(routers);
        let capacity = self.reported_capacity().unwrap_or(average);
        capacity
            - waiting_tokens / self.kv_capacity_tokens()
            - report.queued_requests.unwrap_or(0.0) * CAPACITY_PER_QUEUED_REQUEST
    }

    /// Returns the time since the start of the warm-up, or `None` once the worker is warm.
    pub fn warming_age(&self, now: Micros, slow_start_duration: Micros) -> Option<Micros> {
        self.info.started?;
        Some(now - self.warming_since).filter(|age| *age < slow_start_duration)
    }

    /// Returns true if the worker is in backoff for this class.
    pub fn is_rejecting(&self, class: ClassId, now: Micros) -> bool {
        self.rejections.get(&class).is_some_and(|backoff| now < backoff.until)
    }

    /// Returns the number of this router's attempts in flight on the worker.
    pub fn attempts_in_flight(&self) -> u32 {
        self.prefills_in_flight + self.decodes_in_flight
    }

    /// Counts an attempt that is in flight on the worker.
    pub fn count_attempt(&mut self, stage: Stage, prompt_tokens: u64) {
        match stage {
            Stage::Prefill => {
                self.prefills_in_flight += 1;
                self.prefill_tokens_in_flight = self.prefill_tokens_in_flight.saturating_add(prompt_tokens);
            }
            Stage::Decode => {
                self.decodes_in_flight += 1;
                self.awaiting_first_token += 1;
            }
        }
    }

    /// Removes an ended attempt from the counts.
    pub fn uncount_attempt(&mut self, stage: Stage, prompt_tokens: u64, has_first_token: bool) {
        match stage {
            Stage::Prefill => {
                self.prefills_in_flight = self.prefills_in_flight.saturating_sub(1);
                self.prefill_tokens_in_flight = self.prefill_tokens_in_flight.saturating_sub(prompt_tokens);
            }
            Stage::Decode => {
                self.decodes_in_flight = self.decodes_in_flight.saturating_sub(1);
                if !has_first_token {
                    self.awaiting_first_token = self.awaiting_first_token.saturating_sub(1);
                }
            }
        }
    }

    /// Removes an attempt from the overdue count if it was counted.
    pub fn clear_overdue(&mut self, was_overdue: bool) {
        self.overdue_attempts -= u32::from(was_overdue).min(self.overdue_attempts);
    }

    /// Records a response to an attempt sent at `sent`.
    pub fn record_response(&mut self, now: Micros, sent: Micros) {
        self.last_response = now;
        self.unanswered_wait = Micros(0);
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent);
    }

    /// Returns the worker's properties that the obligations depend on.
    pub fn target(&self) -> Target {
        let Worker { role, zone, cell, lifecycle, .. } = self.info;
        Target { role, zone, cell, lifecycle }
    }
}

/// Returns the worker that an attempt was sent to, if the worker is the same incarnation. A later incarnation
/// has no part of the attempt.
pub fn same_incarnation<'a>(
    workers: &'a mut WorkerTable,
    id: &WorkerId,
    attempt: &AttemptFacts,
) -> Option<&'a mut WorkerState> {
    workers.get_mut(id).filter(|worker| worker.incarnation_start <= attempt.sent)
}
