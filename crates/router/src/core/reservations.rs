//! Reservations: KV state that a prefill worker holds for a request until a decode worker has pulled it, or it is released.
//!
//! `ActiveRequest::reservation` is the source of truth for whether this router holds one, where, and since when. It is
//! written here alone: [`Core::reserve`], [`Core::take_reservation`], [`Core::renew_reservation`]. The policy keeps its own
//! estimate to decide when to release; `obligations` only judges what it is shown. There is at most one reservation per
//! request. After a crash they are lost here, and the workers' own timeouts end them.
//!
//! A [`Release`] outlives its request: calls are repeated until a worker has answered one, or the time is up.

use chalkyard_api::engine;
use chalkyard_policy::{obligations, Event, Micros, RequestId, WorkerId};
use chalkyard_proto::{encode, Part, Start};
use serde_json::value::RawValue;

use super::active_request::{ActiveRequest, Reservation};
use super::counters::{increment, Violation};
use super::transitions::{Subject, TransitionKind};
use super::worker_connection::{Payload, ReleaseId, Task};
use super::{ConnId, Core, TimerEvent};
use crate::timers::TimerKey;

/// A release is called again after at least this pause, and half the time since its first call, while the reservation's
/// time lasts; then the worker's own timeout ends it.
const MIN_RETRY_PAUSE: Micros = Micros(30_000);
/// In a dialect workers release nothing by themselves: calls go on for at least this long. A reservation that was not
/// released in time stays all the longer, and during a network partition some calls reach nobody.
const MIN_RETRY_PERIOD: Micros = Micros(1_000_000);
/// A worker's answer may come this long after the reservation's time; then it counts as missing.
const PROOF_SLACK: Micros = Micros(300_000);
/// Connections beyond the bounds for a release, so that it does not wait for what keeps the worker busy.
const SPARE_CONNECTIONS: usize = 8;

/// The release of a reservation. Each ends within the reservation's time after its first call, so that there are no more
/// than requests end in that time.
#[derive(Debug)]
pub(super) struct Release {
    request: RequestId,
    /// When the first call was made.
    started_at: Micros,
    /// What a worker's answer has to prove, where it is known since when the state is reserved.
    proof: Option<ReleaseProof>,
    /// Where calls were made, the last one last.
    called: Vec<WorkerId>,
    /// What the policy is notified of once the release is answered, or by then.
    deferred: Option<DeferredEvent>,
}

/// A worker has to answer a release by a time.
#[derive(Debug)]
struct ReleaseProof {
    reserved_at: Micros,
    timer: TimerKey,
}

/// An event that waits for a release.
#[derive(Debug)]
pub(super) struct DeferredEvent {
    pub(super) event: Event,
    /// It waits no longer than until then.
    pub(super) until: Micros,
}

impl Core {
    /// A prefill worker holds state for the request from now on.
    pub(super) fn reserve(
        &mut self,
        id: &RequestId,
        worker: WorkerId,
        transfer_params: Option<Box<RawValue>>,
    ) {
        self.take_reservation(id);
        let timer = self.timers.set(self.release_deadline(), TimerEvent::Reservation(id.clone()));
        let reserved_at = self.now;
        if let Some(request) = self.requests.get_mut(id) {
            request.reservation = Some(Reservation { worker, transfer_params, reserved_at, timer });
        }
    }

    /// When state that is reserved now is released if the policy has not had it released: just past its own time.
    fn release_deadline(&self) -> Micros {
        let tick = self.config.policy.tick;
        obligations::release_due(self.now, self.config.policy.reservation_timeout) + tick + tick
    }

    /// Ends the reservation, as far as this router knows of it.
    pub(super) fn take_reservation(&mut self, id: &RequestId) -> Option<Reservation> {
        let reservation = self.requests.get_mut(id)?.reservation.take()?;
        self.timers.cancel(reservation.timer);
        Some(reservation)
    }

    /// A decode worker has answered and has not pulled the state: the reservation's time starts again.
    pub(super) fn renew_reservation(&mut self, id: &RequestId) {
        if let Some(reservation) = self.take_reservation(id) {
            self.reserve(id, reservation.worker, reservation.transfer_params);
        }
    }

    /// Releases the reservation, since the policy says so or its time is up. An open attempt may still pull the state.
    pub(super) fn release_reservation(&mut self, id: &RequestId) {
        if let Some(reservation) = self.take_reservation(id) {
            if self.requests.get(id).is_some_and(ActiveRequest::has_open_attempt) {
                self.record_release_during_attempt(id, &reservation.worker);
            }
            self.start_release(id.clone(), reservation.worker, Some(reservation.reserved_at), None);
        }
        self.remove_if_completed(id);
    }

    fn record_release_during_attempt(&mut self, id: &RequestId, worker: &WorkerId) {
        increment(&mut self.counters.releases, "beside_attempt");
        let subject = Subject { worker: Some(worker), ..Subject::default() };
        self.record_transition(id, TransitionKind::ReleasedDuringAttempt, "held_time_up", subject);
        if let Some(request) = self.requests.get_mut(id) {
            request.released_during_decode = Some(worker.clone());
        }
    }

    /// Has state released that was reserved at the given time, where that is known. An event may wait for it.
    pub(super) fn start_release(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        reserved_at: Option<Micros>,
        deferred: Option<DeferredEvent>,
    ) {
        let release = self.next_release;
        self.next_release.0 += 1;
        increment(&mut self.counters.releases, "begun");
        let proof = reserved_at.map(|reserved_at| {
            let due = (reserved_at + self.config.policy.reservation_timeout + PROOF_SLACK).max(self.now);
            ReleaseProof { reserved_at, timer: self.timers.set(due, TimerEvent::ReleaseProof(release)) }
        });
        let started_at = self.now;
        self.releases.insert(release, Release { request, started_at, proof, called: Vec::new(), deferred });
        self.call_release(release, worker);
    }

    /// A decode attempt during which the state was released has ended and has not pulled it. A release frees nothing that an
    /// open attempt waits for, so there is another one.
    pub(super) fn repeat_release(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(worker) = request.released_during_decode.take() else { return };
        self.start_release(id.clone(), worker, Some(self.now), None);
    }

    /// No worker has answered a release by the time at which its state has to be free.
    pub(super) fn release_proof_due(&mut self, release: ReleaseId) {
        let Some(release) = self.releases.get_mut(&release) else { return };
        let Some(proof) = release.proof.take() else { return };
        let id = release.request.clone();
        self.record_violation(&id, Violation::ReservationOverdue, Some(proof.reserved_at));
    }

    fn remove_release(&mut self, release: ReleaseId) -> Option<Release> {
        let release = self.releases.remove(&release)?;
        if let Some(proof) = &release.proof {
            self.timers.cancel(proof.timer);
        }
        Some(release)
    }

    /// The request has a new reservation, or its answer has begun: in a dialect a call to release would end that too, so
    /// earlier releases are given up. What an earlier prefill may have left is released at the request's end, or has timed out.
    pub(super) fn withdraw_releases(&mut self, id: &RequestId) {
        if self.config.dialect.is_none() {
            return;
        }
        let earlier: Vec<ReleaseId> =
            self.releases.iter().filter(|(_, r)| r.request == *id).map(|(release, _)| *release).collect();
        for release in earlier {
            let release = self.remove_release(release);
            self.events.extend(release.and_then(|r| r.deferred).map(|deferred| deferred.event));
        }
    }

    /// Calls a worker to release.
    fn call_release(&mut self, release_id: ReleaseId, worker: WorkerId) {
        let Some(release) = self.releases.get_mut(&release_id) else { return };
        release.called.push(worker.clone());
        let (id, started_at, calls) = (release.request.clone(), release.started_at, release.called.len());
        increment(&mut self.counters.releases, "calls");
        if calls > 1 {
            let subject = Subject { worker: Some(&worker), since: Some(started_at), ..Subject::default() };
            self.record_transition(&id, TransitionKind::ReleaseRepeated, "unanswered", subject);
        }
        self.update_tally(|t| t.releases += 1);
        let bytes = self.encode_release(&id, &worker);
        let task = Task::Release(release_id);
        let conn = self.start_call(&worker, task, Payload::Bytes(bytes), SPARE_CONNECTIONS);
        let is_written =
            |c: &ConnId| self.connections.get(c).is_some_and(|connection| connection.pending_call.is_none());
        if let Some(conn) = conn.filter(is_written) {
            self.limit_reply(conn);
        }
        // In a dialect any worker takes the call, so the next one does not wait for what becomes of this one: during a network
        // partition there is no answer, and two timeouts are longer than the state may be reserved.
        if self.config.dialect.is_some() || conn.is_none() {
            self.schedule_release_retry(release_id, started_at);
        }
    }

    fn encode_release(&self, id: &RequestId, worker: &WorkerId) -> Vec<u8> {
        let host = self.host_header(worker);
        if let Some(dialect) = &self.config.dialect {
            return dialect.release_call(id, &host);
        }
        let fields =
            [("content-type", "application/json"), ("via", &*self.via), (engine::REQUEST_ID, &*id.0)];
        encode::request("POST", engine::RELEASE, &host, &fields, &engine::naming(&id.0))
    }

    /// A worker has answered: the state is free.
    fn release_proven(&mut self, release: ReleaseId) {
        let Some(release) = self.remove_release(release) else { return };
        increment(&mut self.counters.releases, "proven");
        if release.called.len() > 1 {
            let subject = release.subject();
            self.record_transition(&release.request, TransitionKind::ReleaseProven, "answered", subject);
        }
        self.events.extend(release.deferred.map(|deferred| deferred.event));
    }

    fn schedule_release_retry(&mut self, release: ReleaseId, started_at: Micros) {
        let pause = (self.now - started_at).mul_f64(0.5).max(MIN_RETRY_PAUSE);
        self.timers.set(self.now + pause, TimerEvent::ReleaseRetry(release));
    }

    /// A call to release has failed. In a dialect the next one is scheduled already.
    pub(super) fn release_failed(&mut self, release: ReleaseId) {
        if self.config.dialect.is_some() {
            return;
        }
        if let Some(started_at) = self.releases.get(&release).map(|r| r.started_at) {
            self.schedule_release_retry(release, started_at);
        }
    }

    /// Calls again, or gives up once the reservation's time is over.
    pub(super) fn retry_release(&mut self, release_id: ReleaseId) {
        let Some(release) = self.releases.get(&release_id) else { return };
        let least = if self.config.dialect.is_some() { MIN_RETRY_PERIOD } else { Micros(0) };
        let is_expired = self.now >= release.started_at + self.config.policy.reservation_timeout.max(least);
        let worker =
            self.next_release_worker(release).filter(|w| !is_expired && self.workers.contains_key(w));
        if let Some(release) = self.releases.get_mut(&release_id) {
            let deferred = release.deferred.take_if(|d| worker.is_none() || self.now >= d.until);
            self.events.extend(deferred.map(|deferred| deferred.event));
        }
        match worker {
            Some(worker) => self.call_release(release_id, worker),
            None => self.give_up_release(release_id),
        }
    }

    fn give_up_release(&mut self, release: ReleaseId) {
        let Some(release) = self.remove_release(release) else { return };
        increment(&mut self.counters.releases, "unproven");
        self.record_transition(
            &release.request,
            TransitionKind::ReleaseUnproven,
            "time_up",
            release.subject(),
        );
        let last = release.called.last().map_or("", |w| &*w.0);
        self.note("release", format!("{last} could not be told to let go of {}", release.request.0));
    }

    /// Where the next call is made: where the state is or, in a dialect, at the worker whose reply came last among those that
    /// were not called, first in zones where none was called: a network partition separates whole zones.
    fn next_release_worker(&self, release: &Release) -> Option<WorkerId> {
        let last = release.called.last();
        if self.config.dialect.is_none() {
            return last.cloned();
        }
        let zone = |w: &WorkerId| self.workers.get(w).map(|e| e.zone);
        let called_zones: Vec<_> = release.called.iter().filter_map(zone).collect();
        let others = self.workers.iter().filter(|(id, e)| e.listed && !release.called.contains(id));
        let other =
            others.max_by_key(|(_, e)| (!called_zones.contains(&e.zone), e.last_reply_at, e.idle.len()));
        other.map(|(id, _)| id).or(last).cloned()
    }

    /// A part of the answer to a release; true: go on reading.
    pub(super) fn release_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Part::Head(head) = part else {
            return part != Part::End;
        };
        let is_success = matches!(head.start, Start::Response { status: 200..=299 });
        if let Task::Release(release) = std::mem::replace(&mut connection.task, Task::DrainReply) {
            if is_success {
                self.release_proven(release);
            } else {
                self.release_failed(release);
            }
        }
        true
    }
}

impl Release {
    /// What a transition of it is about.
    fn subject(&self) -> Subject<'_> {
        Subject { worker: self.called.last(), since: Some(self.started_at), ..Subject::default() }
    }
}
