//! Per-second counts of a router's activity, which add up over a fleet. No decision depends on them.

use chalkyard_policy::{AttemptKind, Micros};
use serde::{Deserialize, Serialize};

use super::{Core, Output};

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of the second since 1970.
    pub second: u64,
    /// First attempts of requests.
    pub first: u64,
    /// Decode attempts that directly follow a prefill.
    #[serde(rename = "pulls")]
    pub decodes: u64,
    /// Retries after an attempt that is proven not to have run, prefills included.
    #[serde(rename = "again_safe")]
    pub retries_not_run: u64,
    /// Retries after an attempt that may have run.
    #[serde(rename = "again_ran")]
    pub retries_maybe_run: u64,
    /// Attempts at workers that have recently failed or been silent.
    #[serde(rename = "trials")]
    pub probes: u64,
    /// Attempts at workers that may be warming up.
    #[serde(rename = "cold")]
    pub slow_starts: u64,
    /// Connections to workers that were requested, for calls of any kind.
    pub connects: u64,
    /// Calls for the endpoint list.
    pub list_calls: u64,
    /// Changes of the endpoint list.
    #[serde(rename = "list_news")]
    pub list_changes: u64,
    /// Calls to release reservations.
    pub releases: u64,
    /// Client connections that were closed or rejected unread, for lack of capacity.
    #[serde(rename = "unheard")]
    pub dropped_clients: u64,
    /// Streams that were migrated because this router is stopping.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Requests that were open at the end of the second, streaming ones included.
    pub open: u64,
}

/// Reason for an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptReason {
    First,
    Decode,
    Retry { may_have_run: bool },
}

impl Tally {
    pub(super) fn count_attempt(&mut self, reason: AttemptReason, kind: AttemptKind) {
        match reason {
            AttemptReason::First => self.first += 1,
            AttemptReason::Decode => self.decodes += 1,
            AttemptReason::Retry { may_have_run: false } => self.retries_not_run += 1,
            AttemptReason::Retry { may_have_run: true } => self.retries_maybe_run += 1,
        }
        self.probes += u64::from(kind == AttemptKind::Probe);
        self.slow_starts += u64::from(kind == AttemptKind::SlowStart);
    }

    /// Adds another router's counts of a second.
    pub fn add(&mut self, other: Self) {
        self.second = other.second;
        self.first += other.first;
        self.decodes += other.decodes;
        self.retries_not_run += other.retries_not_run;
        self.retries_maybe_run += other.retries_maybe_run;
        self.probes += other.probes;
        self.slow_starts += other.slow_starts;
        self.connects += other.connects;
        self.list_calls += other.list_calls;
        self.list_changes += other.list_changes;
        self.releases += other.releases;
        self.dropped_clients += other.dropped_clients;
        self.migrated += other.migrated;
        self.open += other.open;
    }

    fn is_empty(&self) -> bool {
        *self == Self { second: self.second, ..Self::default() }
    }
}

impl Core {
    /// Updates the tally, if it is enabled.
    pub(super) fn update_tally(&mut self, update: impl FnOnce(&mut Tally)) {
        if let Some(tally) = &mut self.tally {
            update(tally);
        }
    }

    /// Outputs the tally of a second that is over.
    pub(super) fn report_tally(&mut self) {
        let second = self.now.0 / Micros::from_secs_f64(1.0).0;
        let open = self.requests.len() as u64;
        let Some(tally) = self.tally.as_mut().filter(|t| t.second != second) else { return };
        let counted = std::mem::replace(tally, Tally { second, ..Tally::default() });
        let finished = Tally { open, ..counted };
        if !finished.is_empty() {
            self.outputs.push(Output::Tally(Box::new(finished)));
        }
    }
}
