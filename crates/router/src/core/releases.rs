//! Release go of what is held for a request.

use chalkyard_api::engine;
use chalkyard_policy::{obligations, Event, Micros, RequestId, WorkerId};
use chalkyard_proto::{encode, Part, Start};
use serde_json::value::RawValue;

use super::counters::{increment, Violation};
use super::job::{HeldState, Job};
use super::transitions::{About, Change};
use super::worker_connection::{Payload, ReleaseNo, Task};
use super::{ConnId, Core, Due};
use crate::timers::Key;

/// A call to let go is made again after at least this pause, and half the time since the first, while the told release
/// time lasts; then the engine's own time-out is left to it.
const RELEASE_PAUSE: Micros = Micros(30_000);
/// In a dialect, whose engines free nothing by themselves, calls go on for at least so long: what was not let go of in
/// time is held all the longer, and in a cut some calls meet nobody.
const RELEASE_LEAST: Micros = Micros(1_000_000);

/// Past the told release time a worker's answer may take so long more, and then counts as missing.
const PROOF_SLACK: Micros = Micros(300_000);

/// State that an engine is to let go of. Each goes within the told release time of its first call, so that there are no
/// more than requests end in that time.
#[derive(Debug)]
pub(super) struct Release {
    request: RequestId,
    /// When the first call was made.
    since: Micros,
    /// Since when the state is held, where that is known, and when a worker's answer is owed.
    proof: Option<(Micros, Key)>,
    /// Where calls were made, the last one last.
    asked: Vec<WorkerId>,
    /// What the module hears once it is let go of, or by then.
    verdict: Option<(Event, Micros)>,
}

impl Core {
    /// A reader holds state for a request from now on.
    pub(super) fn hold(&mut self, id: &RequestId, worker: WorkerId, params: Option<Box<RawValue>>) {
        self.take_held(id);
        let (since, due) = (self.now, self.held_backstop(self.now));
        let timer = self.timers.set(due, Due::Held(id.clone()));
        if let Some(job) = self.jobs.get_mut(id) {
            job.held = Some(HeldState { worker, params, since, timer });
        }
    }

    /// When state that is held since then is released if the module has not had it released: just past its own time.
    fn held_backstop(&self, since: Micros) -> Micros {
        let tick = self.config.policy.tick;
        obligations::release_due(since, self.config.policy.reservation_timeout) + tick + tick
    }

    /// Nobody holds state for the request any more, as far as a call can say; gives what was held.
    pub(super) fn take_held(&mut self, id: &RequestId) -> Option<HeldState> {
        let held = self.jobs.get_mut(id)?.held.take()?;
        self.timers.cancel(held.timer);
        Some(held)
    }

    /// A writer has answered a pull, and has not taken the state: it waits anew.
    pub(super) fn restart_held(&mut self, id: &RequestId) {
        if let Some(held) = self.take_held(id) {
            self.hold(id, held.worker, held.params);
        }
    }

    /// The time of held state is up, and the module has not said so.
    pub(super) fn held_due(&mut self, id: &RequestId) {
        self.let_go(id);
    }

    pub(super) fn let_go(&mut self, id: &RequestId) {
        if let Some(held) = self.take_held(id) {
            if self.jobs.get(id).is_some_and(Job::out) {
                increment(&mut self.counters.releases, "beside_attempt");
                let about = About { worker: Some(&held.worker), ..About::default() };
                self.tell(id, Change::ReleasedBesideAttempt, "held_time_up", about);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.released_beside = Some(held.worker.clone());
                }
            }
            self.release(id.clone(), held.worker, Some(held.since), None);
        }
        self.forget_done(id);
    }

    /// Has state let go of, held since then where that is known; once it is, or by the given time, the module hears of
    /// what was read.
    pub(super) fn release(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        held_since: Option<Micros>,
        verdict: Option<(Event, Micros)>,
    ) {
        let no = self.next_release;
        self.next_release.0 += 1;
        increment(&mut self.counters.releases, "begun");
        let proof = held_since.map(|since| {
            let owed = (since + self.config.policy.reservation_timeout + PROOF_SLACK).max(self.now);
            (since, self.timers.set(owed, Due::HeldProof(no)))
        });
        self.releases.insert(no, Release { request, since: self.now, proof, asked: Vec::new(), verdict });
        self.release_call(no, worker);
    }

    /// A pull beside which state was released has ended and did not take it: a release frees nothing that an attempt waits
    /// for, so it is made once more.
    pub(super) fn release_again(&mut self, id: &RequestId) {
        let Some(worker) = self.jobs.get_mut(id).and_then(|j| j.released_beside.take()) else { return };
        self.release(id.clone(), worker, Some(self.now), None);
    }

    /// No worker has answered a release by the time at which its state has to be free.
    pub(super) fn held_proof_due(&mut self, no: ReleaseNo) {
        let Some(release) = self.releases.get_mut(&no) else { return };
        let Some((since, _)) = release.proof.take() else { return };
        let id = release.request.clone();
        self.violated(&id, Violation::HeldOverdue, Some(since));
    }

    fn forget_release(&mut self, no: ReleaseNo) -> Option<Release> {
        let release = self.releases.remove(&no)?;
        if let Some((_, timer)) = release.proof {
            self.timers.cancel(timer);
        }
        Some(release)
    }

    /// The request holds state anew, or its answer has begun: in a dialect a call to let go would take that too. What an
    /// earlier read may have left goes with the one at the request's end, or has gone by itself.
    pub(super) fn keep_held(&mut self, id: &RequestId) {
        if self.config.dialect.is_none() {
            return;
        }
        let earlier: Vec<ReleaseNo> =
            self.releases.iter().filter(|(_, l)| l.request == *id).map(|(no, _)| *no).collect();
        for no in earlier {
            let release = self.forget_release(no);
            self.events.extend(release.and_then(|l| l.verdict).map(|(verdict, _)| verdict));
        }
    }

    fn release_call(&mut self, no: ReleaseNo, worker: WorkerId) {
        let Some(release) = self.releases.get_mut(&no) else { return };
        release.asked.push(worker.clone());
        let (id, since, calls) = (release.request.clone(), release.since, release.asked.len());
        increment(&mut self.counters.releases, "calls");
        if calls > 1 {
            let about = About { worker: Some(&worker), since: Some(since), ..About::default() };
            self.tell(&id, Change::ReleaseRepeated, "unanswered", about);
        }
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

    /// A worker has answered: what was held is free.
    fn release_proven(&mut self, no: ReleaseNo) {
        let Some(Release { request, since, asked, verdict, .. }) = self.forget_release(no) else { return };
        increment(&mut self.counters.releases, "proven");
        if asked.len() > 1 {
            let about = About { worker: asked.last(), since: Some(since), ..About::default() };
            self.tell(&request, Change::ReleaseProven, "answered", about);
        }
        self.events.extend(verdict.map(|(verdict, _)| verdict));
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
        let late = self.now >= release.since + self.config.policy.reservation_timeout.max(least);
        let worker = self.next_asked(release).filter(|w| !late && self.engines.contains_key(w));
        if let Some(release) = self.releases.get_mut(&no) {
            let told = release.verdict.take_if(|(_, by)| worker.is_none() || self.now >= *by);
            self.events.extend(told.map(|(verdict, _)| verdict));
        }
        if let Some(worker) = worker {
            return self.release_call(no, worker);
        }
        if let Some(Release { request, asked, since, .. }) = self.forget_release(no) {
            increment(&mut self.counters.releases, "unproven");
            let about = About { worker: asked.last(), since: Some(since), ..About::default() };
            self.tell(&request, Change::ReleaseUnproven, "time_up", about);
            let last = asked.last().map_or("", |w| &*w.0);
            self.note("release", format!("{last} could not be told to let go of {}", request.0));
        }
    }

    /// Where the next call to let go is made: where the state is, or in a dialect, where any worker takes it, at the one
    /// heard from last of those that were not asked, first in zones where none was: a cut leaves out whole zones.
    fn next_asked(&self, release: &Release) -> Option<WorkerId> {
        let asked = &release.asked;
        let last = asked.last();
        if self.config.dialect.is_none() {
            return last.cloned();
        }
        let others = self.engines.iter().filter(|(id, e)| e.listed && !asked.contains(id));
        let zone = |w: &WorkerId| self.engines.get(w).map(|e| e.zone);
        let zones: Vec<_> = asked.iter().filter_map(zone).collect();
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
                self.release_proven(no);
            } else {
                self.release_failed(no);
            }
        }
        true
    }
}
