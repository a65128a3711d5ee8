//! Release go of what is held for a request.

use chalkyard_api::engine;
use chalkyard_policy::{Event, Micros, RequestId, WorkerId};
use chalkyard_proto::{encode, Part, Start};

use super::pool::{Payload, Task};
use super::{ConnId, Core, Due};

/// A call to let go is made again after at least this pause, and half the time since the first, while the told release
/// time lasts; then the engine's own time-out is left to it.
const RELEASE_PAUSE: Micros = Micros(30_000);
/// In a dialect, whose engines free nothing by themselves, calls go on for at least so long: what was not let go of in
/// time is held all the longer, and in a cut some calls meet nobody.
const RELEASE_LEAST: Micros = Micros(1_000_000);

/// One release: never given twice in a core's life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReleaseNo(u64);

/// State that an engine is to let go of. Each goes within the told release time of its first call, so that there are no
/// more than requests end in that time.
#[derive(Debug)]
pub(super) struct Release {
    request: RequestId,
    /// When the first call was made.
    since: Micros,
    /// Where calls were made, the last one last.
    asked: Vec<WorkerId>,
    /// What the module hears once it is let go of, or by then.
    verdict: Option<(Event, Micros)>,
}

impl Core {
    pub(super) fn let_go(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some((worker, _)) = job.held.take() {
            self.release(id.clone(), worker, None);
        }
        self.forget_done(id);
    }

    /// Has state let go of; then, or by the given time, the module hears of what was read.
    pub(super) fn release(&mut self, request: RequestId, worker: WorkerId, verdict: Option<(Event, Micros)>) {
        let no = self.next_release;
        self.next_release.0 += 1;
        self.releases.insert(no, Release { request, since: self.now, asked: Vec::new(), verdict });
        self.release_call(no, worker);
    }

    /// The request holds state anew, or its answer has begun: in a dialect a call to let go would take that too. What an
    /// earlier read may have left goes with the one at the request's end, or has gone by itself.
    pub(super) fn keep_held(&mut self, id: &RequestId) {
        if self.config.dialect.is_none() {
            return;
        }
        let earlier = self.releases.extract_if(.., |_, l| l.request == *id);
        let told = earlier.filter_map(|(_, l)| l.verdict).map(|(verdict, _)| verdict);
        self.events.extend(told);
    }

    fn release_call(&mut self, no: ReleaseNo, worker: WorkerId) {
        let Some(release) = self.releases.get_mut(&no) else { return };
        release.asked.push(worker.clone());
        let (id, since) = (release.request.clone(), release.since);
        self.count(|t| t.releases += 1);
        let beside = self.config.dialect.is_some();
        let bytes = if let Some(dialect) = &self.config.dialect {
            dialect.release(&id, &self.host(&worker))
        } else {
            let fields =
                [("content-type", "application/json"), ("via", &*self.via), (engine::REQUEST_ID, &*id.0)];
            let body = engine::naming(&id.0);
            encode::request("POST", engine::RELEASE, &self.host(&worker), &fields, &body)
        };
        // Beyond the bound by a few, so that a release is not held up by what fills the engine.
        let conn = self.call(&worker, Task::Release(no), Payload::Bytes(bytes), 8);
        if let Some(conn) = conn.filter(|c| self.links.get(c).is_some_and(|l| l.waiting.is_none())) {
            self.limit(conn);
        }
        // Where any worker takes it the next call does not wait for what becomes of this one: in a cut nothing is said,
        // and two waits for nothing are longer than state may be held.
        if beside || conn.is_none() {
            self.release_next(no, since);
        }
    }

    fn release_next(&mut self, no: ReleaseNo, since: Micros) {
        let next = self.now + (self.now - since).mul_f64(0.5).max(RELEASE_PAUSE);
        self.timers.set(next, Due::Release(no));
    }

    /// A call to let go has failed. In a dialect the next one is due as it is.
    pub(super) fn release_failed(&mut self, no: ReleaseNo) {
        if let Some(since) = self.releases.get(&no).map(|l| l.since).filter(|_| self.config.dialect.is_none())
        {
            self.release_next(no, since);
        }
    }

    pub(super) fn release_due(&mut self, no: ReleaseNo) {
        let Some(release) = self.releases.get(&no) else { return };
        let least = if self.config.dialect.is_some() { RELEASE_LEAST } else { Micros(0) };
        let late = self.now >= release.since + self.config.policy.release.max(least);
        let worker = self.next_asked(release).filter(|w| !late && self.engines.contains_key(w));
        if let Some(release) = self.releases.get_mut(&no) {
            let told = release.verdict.take_if(|(_, by)| worker.is_none() || self.now >= *by);
            self.events.extend(told.map(|(verdict, _)| verdict));
        }
        if let Some(worker) = worker {
            return self.release_call(no, worker);
        }
        if let Some(Release { request, asked, .. }) = self.releases.remove(&no) {
            let last = asked.last().map_or("", |w| &*w.0);
            self.note("release", format!("{last} could not be told to let go of {}", request.0));
        }
    }

    /// Where the next call to let go is made: where the state is, or in a dialect, where any worker takes it, at the one
    /// heard from last of those that were not asked, first in zones where none was: a cut leaves out whole zones.
    fn next_asked(&self, release: &Release) -> Option<WorkerId> {
        let last = release.asked.last();
        if self.config.dialect.is_none() {
            return last.cloned();
        }
        let others = self.engines.iter().filter(|(id, e)| e.listed && !release.asked.contains(id));
        let zone = |w: &WorkerId| self.engines.get(w).map(|e| e.zone);
        let zones: Vec<_> = release.asked.iter().filter_map(zone).collect();
        let other = others.max_by_key(|(_, e)| (!zones.contains(&e.zone), e.heard, e.idle.len()));
        let other = other.map(|(id, _)| id);
        other.or(last).cloned()
    }

    /// A part of the answer to a call to let go; true: more is to come.
    pub(super) fn release_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let Part::Head(head) = part else {
            return part != Part::End;
        };
        let ok = matches!(head.start, Start::Response { status: 200..=299 });
        if let Task::Release(no) = std::mem::replace(&mut link.task, Task::Rest) {
            if ok {
                let told = self.releases.remove(&no).and_then(|l| l.verdict);
                self.events.extend(told.map(|(verdict, _)| verdict));
            } else {
                self.release_failed(no);
            }
        }
        true
    }
}
