//! Migration of streams during a graceful shutdown: clients request the rest of a stream from another router.

use chalkyard_policy::{AttemptNo, Micros, Outcome, RequestId};

use super::record::RequestOutcome;
use super::{Core, TimerEvent};

/// Interval between two groups of streams that are migrated.
const MIGRATION_INTERVAL: Micros = Micros(50_000);

impl Core {
    /// Ends a stream in a way that makes its client request the rest from another router.
    pub(super) fn migrate(&mut self, id: &RequestId) {
        let request = self.requests.get(id).filter(|r| !r.is_answered());
        let Some(no) = request.and_then(|r| r.answering_attempt) else { return };
        self.answer_failure(id, RequestOutcome::Migrated, 503, "moved: come back and it goes on".into());
        self.end_attempt(id, AttemptNo(no as u32), Outcome::Cancelled, 0);
    }

    /// Migrates the next group of streams, so that all are migrated evenly over the migration window. Streams that
    /// arrived last are migrated first, because the others are more likely to end by themselves.
    pub(super) fn migrate_next_streams(&mut self) {
        let Some((since, window)) = self.shutdown_since.zip(self.config.timeouts.migration) else { return };
        let streaming = self.requests.iter().filter(|(_, r)| r.is_streaming());
        let mut streaming: Vec<(Micros, RequestId)> =
            streaming.map(|(id, r)| (r.arrived_at, id.clone())).collect();
        streaming.sort_unstable_by(|a, b| b.cmp(a));
        let steps = ((since + window.until - self.now).0 / MIGRATION_INTERVAL.0).max(1) as usize;
        for (_, id) in streaming.iter().take(streaming.len().div_ceil(steps)) {
            self.update_tally(|t| t.migrated += 1);
            self.migrate(id);
        }
        self.timers.set(self.now + MIGRATION_INTERVAL, TimerEvent::Migration);
    }
}
