//! What this router has seen of one worker: its load, its capacity, its incarnation and its health.

use std::collections::BTreeMap;

use crate::endpoints::{LoadReport, Worker};
use crate::ids::{ClassId, WorkerId};
use crate::obligations::{AttemptFacts, Stage, Target};
use crate::time::Micros;

/// The capacity that one queued request takes, as a share of the whole.
const CAPACITY_PER_QUEUED_REQUEST: f64 = 0.02;

/// The workers that this router knows of.
pub type WorkerTable = BTreeMap<WorkerId, WorkerState>;

/// A prefill that has ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastPrefill {
    /// How long it took, over its request's latency objective.
    pub objective_ratio: f64,
    /// When it ended.
    pub ended: Micros,
}

/// A worker that rejected a class of requests is left alone for it for some time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RejectionBackoff {
    /// How often the wait has doubled.
    pub doublings: u32,
    /// Until when it is left alone.
    pub until: Micros,
}

/// A worker, and what this router has seen of it.
#[derive(Debug, Clone, Default)]
pub struct WorkerState {
    /// Its entry of the endpoint list.
    pub info: Worker,
    /// When this incarnation began: as notified, but no later than the notification. What was sent before is not its.
    pub incarnation_start: Micros,
    /// From when it counts as warming up: a start is stamped by another machine's wall clock, which may be wrong by an hour.
    pub warming_since: Micros,
    /// Our prefills in flight there.
    pub prefills_in_flight: u32,
    /// Their prompt tokens.
    pub prefill_tokens_in_flight: u64,
    /// Our decodes in flight there.
    pub decodes_in_flight: u32,
    /// Those of them without a first token.
    pub awaiting_first_token: u32,
    /// Our last prefill there.
    pub last_prefill: LastPrefill,
    /// Its last load report.
    pub load_report: Option<LoadReport>,
    /// Prompt tokens of decodes that we sent since that report.
    pub tokens_since_report: f64,
    /// Our sends within the overload window, while it is warming up.
    pub recent_sends: Vec<Micros>,
    /// Prompt tokens that we have sent it in all: by these, what is known of its cache ages.
    pub prompt_tokens_sent: u64,
    /// What was known of its cache up to then is void: a restart loses it.
    pub cache_lost_at: Micros,
    /// Share of failures among its last outcomes.
    pub failure_rate: f64,
    /// The last outcome proved that nobody listens there.
    pub unreachable: bool,
    /// Ejections in a row.
    pub consecutive_ejections: u32,
    /// The end of the last ejection.
    pub ejected_until: Micros,
    /// Silent attempts past their time.
    pub overdue_attempts: u32,
    /// Some workers reject one class alone.
    pub rejections: BTreeMap<ClassId, RejectionBackoff>,
    /// When it last began an answer, or ended a prefill or an answer.
    pub last_response: Micros,
    /// When the newest attempt was sent that it has responded to.
    pub newest_answered_sent_at: Micros,
    /// For how long attempts that ended since its last response have waited there in vain.
    pub unanswered_wait: Micros,
}

impl WorkerState {
    /// Its memory in tokens; without bound where it is not known.
    pub fn kv_capacity_tokens(&self) -> f64 {
        self.info.kv_tokens.map_or(f64::INFINITY, |tokens| tokens.max(1) as f64)
    }

    /// Free capacity as last reported, as a share of the whole.
    pub fn reported_capacity(&self) -> Option<f64> {
        let report = self.load_report?;
        if report.kv_utilization.is_none() && report.slot_utilization.is_none() {
            return None;
        }
        let used = report.kv_utilization.unwrap_or(0.0).max(report.slot_utilization.unwrap_or(0.0));
        Some(1.0 - used)
    }

    /// Free capacity by the last report less what we sent since, as a share of its memory. The other routers are taken to
    /// send as we do, or all would choose the same worker. One without a report has the average capacity.
    pub fn available_capacity(&self, routers: u32, average: f64) -> f64 {
        let report = self.load_report.unwrap_or_default();
        let waiting_tokens =
            report.waiting_tokens.unwrap_or(0.0) + self.tokens_since_report * f64::from(routers);
        let capacity = self.reported_capacity().unwrap_or(average);
        capacity
            - waiting_tokens / self.kv_capacity_tokens()
            - report.queued_requests.unwrap_or(0.0) * CAPACITY_PER_QUEUED_REQUEST
    }

    /// For how long it has been warming up; none once it is warm.
    pub fn warming_age(&self, now: Micros, slow_start_duration: Micros) -> Option<Micros> {
        self.info.started?;
        Some(now - self.warming_since).filter(|age| *age < slow_start_duration)
    }

    /// Whether it is left alone for a class that it rejected.
    pub fn is_rejecting(&self, class: ClassId, now: Micros) -> bool {
        self.rejections.get(&class).is_some_and(|backoff| now < backoff.until)
    }

    /// Our attempts in flight there.
    pub fn attempts_in_flight(&self) -> u32 {
        self.prefills_in_flight + self.decodes_in_flight
    }

    /// Counts an attempt that is in flight here.
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

    /// Takes an attempt that has ended off the count.
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

    /// Takes an attempt off the overdue ones, if it was one.
    pub fn clear_overdue(&mut self, was_overdue: bool) {
        self.overdue_attempts -= u32::from(was_overdue).min(self.overdue_attempts);
    }

    /// It has responded to an attempt of that time.
    pub fn record_response(&mut self, now: Micros, sent: Micros) {
        self.last_response = now;
        self.unanswered_wait = Micros(0);
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent);
    }

    /// The worker as the rules see it.
    pub fn target(&self) -> Target {
        let Worker { role, zone, cell, lifecycle, .. } = self.info;
        Target { role, zone, cell, lifecycle }
    }
}

/// The worker to which an attempt was sent, if it is the same incarnation: a later one has nothing of the attempt.
pub fn same_incarnation<'a>(
    workers: &'a mut WorkerTable,
    id: &WorkerId,
    attempt: &AttemptFacts,
) -> Option<&'a mut WorkerState> {
    workers.get_mut(id).filter(|worker| worker.incarnation_start <= attempt.sent)
}
