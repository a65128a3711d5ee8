//! Reservations: KV state that a prefill worker holds for a request until a decode worker has pulled it or it is
//! released.
//!
//! `ActiveRequest::reservation` is the source of truth for whether this router holds a reservation, where, and since
//! when. Only [`Core::reserve`], [`Core::take_reservation`] and [`Core::renew_reservation`] write it. The policy
//! keeps its own estimate to decide when to release; `obligations` only checks the state that it is given. A request
//! has at most one reservation. After a crash the router has lost its reservations, and the workers' own timeouts end
//! them.
//!
//! A [`Release`] outlives its request: calls are repeated until a worker has answered one, or the time is up.

use chalkyard_api::engine;
use chalkyard_policy::{obligations, Event, Micros, RequestId, WorkerId};
use chalkyard_proto::{encode, Part, StartLine};
use serde_json::value::RawValue;

use super::active_request::{ActiveRequest, Reservation};
use super::counters::{increment, Violation};
use super::transitions::{Subject, TransitionKind};
use super::worker_connection::{Payload, ReleaseId, Task};
use super::{ConnId, Core, TimerEvent};
use crate::timers::TimerKey;

/// Minimum pause before a release is called again; the pause is half the time since the first call if that is longer.
/// Calls are repeated while the reservation's time lasts; then the worker's own timeout ends it.
const MIN_RETRY_PAUSE: Micros = Micros(30_000);
/// Minimum time for which a release is called again in a dialect, whose workers release nothing by themselves. A
/// reservation that was not released in time stays all the longer, and during a network partition some calls reach no
/// worker.
const MIN_RETRY_PERIOD: Micros = Micros(1_000_000);
/// Time after the reservation's maximum duration at which a worker's missing answer becomes a violation.
const PROOF_SLACK: Micros = Micros(300_000);
/// Connections beyond the bounds that a release may use, so that it does not wait for the calls that keep the worker
/// busy.
const SPARE_CONNECTIONS: usize = 8;

/// Release of a reservation. Each release ends within the reservation's maximum duration after its first call, so
/// that there are no more releases than requests that end in that time.
#[derive(Debug)]
pub(super) struct Release {
    request: RequestId,
    /// Time of the first call.
    started_at: Micros,
    /// Deadline for a worker's answer, if the time is known since which the state is reserved.
    proof: Option<ReleaseProof>,
    /// Workers that were called, in order.
    called: Vec<WorkerId>,
    /// Event that is sent to the policy once the release is answered, or at the event's own time limit.
    deferred: Option<DeferredEvent>,
}

/// Deadline by which a worker has to answer a release.
#[derive(Debug)]
struct ReleaseProof {
    reserved_at: Micros,
    timer: TimerKey,
}

/// Event that waits for the answer to a release.
#[derive(Debug)]
pub(super) struct DeferredEvent {
    pub(super) event: Event,
    /// Time limit of the wait.
    pub(super) until: Micros,
}

impl Core {
    /// Records that a prefill worker holds state for the request from now on.
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

    /// Time at which state that is reserved now is released if the policy has not requested it: shortly after the
    /// reservation's maximum duration.
    fn release_deadline(&self) -> Micros {
        let tick = self.config.policy.tick;
        obligations::release_due(self.now, self.config.policy.reservation_timeout) + tick + tick
    }

    /// Removes the reservation from the router's records and returns it.
    pub(super) fn take_reservation(&mut self, id: &RequestId) -> Option<Reservation> {
        let reservation = self.requests.get_mut(id)?.reservation.take()?;
        self.timers.cancel(reservation.timer);
        Some(reservation)
    }

    /// Restarts the reservation's time, because a decode worker has answered and has not pulled the state.
    pub(super) fn renew_reservation(&mut self, id: &RequestId) {
        if let Some(reservation) = self.take_reservation(id) {
            self.reserve(id, reservation.worker, reservation.transfer_params);
        }
    }

    /// Releases the reservation, because the policy requests it or its time is up. An open attempt may still pull the
    /// state.
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

    /// Starts to release state that was reserved at `reserved_at`, if that time is known. A deferred event waits for
    /// the release.
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

    /// Repeats the release after the end of a decode attempt that did not pull the state and during which the state
    /// was released. A release frees nothing that an open attempt waits for.
    pub(super) fn repeat_release(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(worker) = request.released_during_decode.take() else { return };
        self.start_release(id.clone(), worker, Some(self.now), None);
    }

    /// Records a violation if no worker has answered a release by the time at which its state has to be free.
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

    /// Gives up earlier releases of a request that has a new reservation or whose answer has begun: in a dialect a
    /// release call would end those too. State that an earlier prefill may have left is released at the request's
    /// end, or has timed out.
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

    /// Calls a worker to release the state.
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
        // In a dialect any worker accepts the call, so the next call does not wait for the result of this one: during
        // a network partition there is no answer, and two timeouts are longer than the state may be reserved.
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
            [("content-type", "application/json"), ("via", &*self.via), (engine::REQUEST_ID_HEADER, &*id.0)];
        encode::request("POST", engine::RELEASE_PATH, &host, &fields, &engine::release_body(&id.0))
    }

    /// Completes a release that a worker has answered: the state is free.
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

    /// Handles the failure of a release call. In a dialect the next call is scheduled already.
    pub(super) fn release_failed(&mut self, release: ReleaseId) {
        if self.config.dialect.is_some() {
            return;
        }
        if let Some(started_at) = self.releases.get(&release).map(|r| r.started_at) {
            self.schedule_release_retry(release, started_at);
        }
    }

    /// Repeats the call, or gives the release up once the reservation's time is over.
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
        self.note(
            "release",
            format!("release of request {} unconfirmed; last worker called: {last}", release.request.0),
        );
    }

    /// Worker for the next call: the worker that holds the state or, in a dialect, the one that replied last among
    /// the workers that were not called. Workers in zones where none was called come first, because a network
    /// partition separates whole zones.
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

    /// Processes a part of the answer to a release. Returns true to go on reading.
    pub(super) fn release_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Part::Head(head) = part else {
            return part != Part::End;
        };
        let is_success = matches!(head.start, StartLine::Response { status: 200..=299 });
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
    /// Subject of the release's transitions.
    fn subject(&self) -> Subject<'_> {
        Subject { worker: self.called.last(), since: Some(self.started_at), ..Subject::default() }
    }
}
