//! Streams of a router that leaves move on.

use chalkyard_policy::{AttemptNo, Micros, Outcome, RequestId};

use super::job::Answer;
use super::record::Ended;
use super::{Core, Due};

/// Streams of a leaving router are moved on so often.
const LEAVING_STEP: Micros = Micros(50_000);

impl Core {
    pub(super) fn move_on(&mut self, id: &RequestId) {
        let Some(no) = self.jobs.get(id).filter(|j| !j.over()).and_then(|j| j.winner) else { return };
        self.give_failure(id, Ended::Moved, 503, "moved: come back and it goes on".into());
        self.end_attempt(id, AttemptNo(no as u32), Outcome::Cancelled, 0);
    }

    /// A part of the streams moves on, those that began last first: the others are more likely to end by themselves.
    pub(super) fn leaving_due(&mut self) {
        let Some((left, (_, until))) = self.left.zip(self.config.waits.leaving) else { return };
        let begun = self.jobs.iter().filter(|(_, j)| matches!(j.answer, Answer::Begun));
        let mut begun: Vec<(Micros, RequestId)> = begun.map(|(id, j)| (j.arrived, id.clone())).collect();
        begun.sort_unstable_by(|a, b| b.cmp(a));
        let steps = ((left + until - self.now).0 / LEAVING_STEP.0).max(1) as usize;
        for (_, id) in begun.iter().take(begun.len().div_ceil(steps)) {
            self.count(|t| t.moved += 1);
            self.move_on(id);
        }
        self.timers.set(self.now + LEAVING_STEP, Due::Leaving);
    }
}
