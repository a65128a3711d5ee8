//! Letting go of what is held for a request.

use chalkyard_api::engine;
use chalkyard_policy::{Micros, RequestId, WorkerId};
use chalkyard_proto::{encode, Part, Start};

use super::pool::Task;
use super::{ConnId, Core, Due};

/// A call to let go is tried again after at least this pause, and half the time since the first, while the told release
/// time lasts; then the engine's own time-out is left to it.
const RELEASE_PAUSE: Micros = Micros(30_000);

impl Core {
    pub(super) fn let_go(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some((worker, _)) = job.held.take() {
            self.release(id.clone(), worker, self.now);
        }
        self.forget_done(id);
    }

    pub(super) fn release(&mut self, id: RequestId, worker: WorkerId, since: Micros) {
        self.count(|t| t.releases += 1);
        let bytes = if let Some(dialect) = &self.config.dialect {
            dialect.release(&id, &self.host(&worker))
        } else {
            let fields =
                [("content-type", "application/json"), ("via", &*self.via), (engine::REQUEST_ID, &*id.0)];
            let body = engine::naming(&id.0);
            encode::request("POST", engine::RELEASE, &self.host(&worker), &fields, &body)
        };
        // Beyond the bound by a few, so that letting go is not held up by what fills the engine.
        match self.call(&worker, Task::Release(id.clone(), since), bytes, 8) {
            Some(conn) if self.links.get(&conn).is_some_and(|l| l.waiting.is_none()) => self.limit(conn),
            Some(_) => {}
            None => self.release_again(id, worker, since),
        }
    }

    pub(super) fn release_again(&mut self, id: RequestId, worker: WorkerId, since: Micros) {
        let next = self.now + (self.now - since).mul_f64(0.5).max(RELEASE_PAUSE);
        let worker = self.other_release(worker);
        if next < since + self.config.policy.release && self.engines.contains_key(&worker) {
            self.timers.set(next, Due::Release(id, worker, since));
        } else {
            self.note("release", format!("{} could not be told to let go of {}", worker.0, id.0));
        }
    }

    /// Where a call to let go that failed is made next. In a dialect any worker takes it: one that we have talked
    /// with lately is likely to be reached.
    pub(super) fn other_release(&self, worker: WorkerId) -> WorkerId {
        if self.config.dialect.is_none() {
            return worker;
        }
        let others = self.engines.iter().filter(|(id, e)| e.listed && **id != worker);
        let other = others.max_by_key(|(_, e)| e.idle.len()).map(|(id, _)| id.clone());
        other.unwrap_or(worker)
    }

    pub(super) fn release_at(&mut self, id: RequestId, worker: WorkerId, since: Micros) {
        self.release(id, worker, since);
    }

    /// A part of the answer to a call to let go; true: more is to come.
    pub(super) fn release_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let Part::Head(head) = part else {
            return part != Part::End;
        };
        let ok = matches!(head.start, Start::Response { status: 200..=299 });
        let worker = link.worker.clone().unwrap_or_default();
        // Nothing is held under this id there: that is what was wanted.
        if let (Task::Release(id, since), false) = (std::mem::replace(&mut link.task, Task::Rest), ok) {
            self.release_again(id, worker, since);
        }
        true
    }
}
