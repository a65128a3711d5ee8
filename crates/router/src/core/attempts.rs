//! Attempts at workers: started when the policy requests them, ended exactly once, and reported to the policy with
//! their outcome.

use chalkyard_api::engine;
use chalkyard_policy as p;
use chalkyard_policy::obligations::{proves_arrival, AttemptFacts, Denied, SendPermit, Target};
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId, WorkerId};
use chalkyard_proto::encode;

use super::active_request::{ActiveRequest, ClientCall, Reservation};
use super::attempt::{outcome_name, Attempt, AttemptEnd, AttemptStage, ReplyState};
use super::counters::{increment, Violation};
use super::record::RequestOutcome;
use super::reservations::DeferredEvent;
use super::transitions::{Subject, TransitionKind};
use super::worker_connection::{Payload, Task, WorkerEndpoint};
use super::{ConnId, Core, TimerEvent};

/// Target that represents a worker that is no longer known.
const REMOVED: Target =
    Target { role: p::Role::Combined, zone: None, cell: p::CellId(0), lifecycle: p::Lifecycle::Removed };

/// Time limits that the policy sets for an attempt. `None` means the request's deadline or the usual connect timeout.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptLimits {
    /// Time until the attempt is given up.
    pub(super) timeout: Option<Micros>,
    /// Time in which the connection must be established.
    pub(super) connect_timeout: Option<Micros>,
}

/// Facts of an attempt at its end.
struct EndedAttempt {
    worker: WorkerId,
    stage: AttemptStage,
    conn: Option<ConnId>,
    elapsed: Micros,
    report: Option<p::LoadReport>,
    cached_tokens: u64,
    /// Whether the answer of this attempt went to the client.
    was_answering: bool,
}

impl Core {
    /// Starts an attempt if the request's obligations permit it. The attempt is given up at the request's deadline at
    /// the latest.
    pub(super) fn start_attempt(
        &mut self,
        id: &RequestId,
        worker: WorkerId,
        limits: AttemptLimits,
        kind: p::AttemptKind,
    ) {
        let target = self.workers.get(&worker).map_or(REMOVED, WorkerEndpoint::target);
        let Some(request) = self.requests.get_mut(id) else { return };
        let permit = request.obligations(&self.config.policy).may_send(self.now, &target);
        let stage = request.next_stage(&target);
        let reason = request.next_attempt_reason(stage);
        let no = AttemptNo(request.attempts.len() as u32);
        let latest = request.spec.deadline;
        let deadline = limits.timeout.map_or(latest, |timeout| (self.now + timeout).min(latest));
        request.attempts.push(Attempt {
            worker,
            stage,
            sent_at: self.now,
            facts: AttemptFacts::new(stage.obligation(), self.now, target),
            deadline,
            connect_timeout: limits.connect_timeout,
            kind,
            conn: None,
            timer: None,
            report: None,
            cached_tokens: 0,
            stream_timer: None,
            ended: None,
        });
        if let Some(tally) = &mut self.tally {
            tally.count_attempt(reason, kind);
        }
        match permit {
            Ok(permit) => self.place_first_call(permit, id, no),
            Err(denied) => {
                self.record_denial(id, denied);
                return self.end_attempt(id, no, Outcome::NotSent, 0);
            }
        }
        self.set_attempt_timer(id, no, deadline);
    }

    /// Sets the deadline timer of an attempt, unless the attempt has already ended for lack of a connection.
    fn set_attempt_timer(&mut self, id: &RequestId, no: AttemptNo, deadline: Micros) {
        if self.attempt_mut(id, no).is_none_or(|a| a.conn.is_none()) {
            return;
        }
        let timer = self.timers.set(deadline, TimerEvent::Attempt(id.clone(), no));
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.timer = Some(timer);
        }
    }

    /// Counts and records that an action requested by the policy was denied.
    pub(super) fn record_denial(&mut self, id: &RequestId, denied: Denied) {
        increment(&mut self.counters.denied, denied.name());
        self.record_transition(id, TransitionKind::Denied, denied.name(), Subject::default());
        if denied == Denied::MayHaveRun {
            self.record_violation(id, Violation::EffectUnproven, None);
        }
    }

    /// Places the first call of an attempt, which requires a permit. A call that is placed again belongs to the same
    /// attempt.
    fn place_first_call(&mut self, _permit: SendPermit, id: &RequestId, no: AttemptNo) {
        self.place_call(id, no);
    }

    /// Writes an attempt's call on an idle connection or on a new one.
    pub(super) fn place_call(&mut self, id: &RequestId, no: AttemptNo) {
        let Some(attempt) = self.attempt_mut(id, no).filter(|a| a.ended.is_none()) else { return };
        let (worker, connect_timeout) = (attempt.worker.clone(), attempt.connect_timeout);
        let is_listed = self.workers.get(&worker).is_some_and(|e| e.listed);
        let task = Task::Attempt(id.clone(), no, ReplyState::AwaitingHead);
        let conn = is_listed.then(|| self.start_call(&worker, task, Payload::AttemptCall, 0)).flatten();
        // The connections are at their bound or the worker is no longer listed, which is no fault of the worker.
        let Some(conn) = conn else { return self.end_attempt(id, no, Outcome::NotSent, 0) };
        if let Some(timeout) = connect_timeout {
            self.limit_connect(conn, timeout);
        }
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = Some(conn);
        }
    }

    /// Encodes an attempt's call; the timeout in a dialect's call is the time left now.
    pub(super) fn encode_attempt(&self, id: &RequestId, no: AttemptNo) -> Option<Vec<u8>> {
        let request = self.requests.get(id)?;
        let attempt = request.attempts.get(no.0 as usize)?;
        let host = self.host_header(&attempt.worker);
        let call = match (&request.call, &self.config.dialect) {
            (ClientCall::Messages(call), _) => call,
            (ClientCall::Forwarded(forwarded), dialect) => {
                let timeout = attempt.deadline - self.now;
                return dialect.as_ref().map(|d| d.attempt_call(&request.spec, forwarded, &host, timeout));
            }
        };
        let stage = match (attempt.stage, &request.reservation) {
            (AttemptStage::Prefill, _) => engine::Stage::Prefill,
            (AttemptStage::Decode, Some(Reservation { transfer_params: Some(params), .. })) => {
                engine::Stage::Decode(params)
            }
            _ => engine::Stage::Combined,
        };
        let body = engine::completion_body(call, stage);
        let class = self.config.classes.get(request.spec.class.0).map_or("", |c| c.name.as_str());
        let number = no.0.to_string();
        let mut fields = vec![
            ("content-type", "application/json"),
            ("via", &*self.via),
            (engine::REQUEST_ID_HEADER, &*id.0),
            ("x-class", class),
            (engine::ATTEMPT_HEADER, &number),
        ];
        // Workers keep the keys of all tenants in one namespace, so the key includes the tenant.
        let key = request.identity.as_ref().map(|identity| {
            let tenant = identity.tenant.map_or("-".into(), |t| t.to_string());
            format!("\"{tenant}/{}\"", identity.key)
        });
        if let Some(key) = &key {
            fields.push(("idempotency-key", key));
        }
        Some(encode::request("POST", engine::COMPLETIONS_PATH, &host, &fields, &body))
    }

    pub(super) fn attempt_mut(&mut self, id: &RequestId, no: AttemptNo) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(no.0 as usize)
    }

    /// Cancels an attempt, unless its answer already goes to the client.
    pub(super) fn cancel_attempt(&mut self, id: &RequestId, no: AttemptNo) {
        let is_answering = self.requests.get(id).is_some_and(|r| r.answering_attempt == Some(no.0 as usize));
        if !is_answering {
            self.close_idle_to_attempt_worker(id, no);
            self.end_attempt(id, no, Outcome::Cancelled, 0);
        }
    }

    /// Cancels all attempts except one.
    pub(super) fn cancel_others(&mut self, id: &RequestId, no: AttemptNo) {
        let Some(request) = self.requests.get(id) else { return };
        let others: Vec<u32> = (0..request.attempts.len() as u32).filter(|n| *n != no.0).collect();
        for other in others {
            self.end_attempt(id, AttemptNo(other), Outcome::Cancelled, 0);
        }
    }

    /// Closes idle connections to the worker of an open attempt that ends without any answer: the cause that lost the
    /// attempt's call would also lose the next call on an idle connection.
    fn close_idle_to_attempt_worker(&mut self, id: &RequestId, no: AttemptNo) {
        let attempt = self.attempt_mut(id, no).filter(|a| a.ended.is_none());
        if let Some(worker) = attempt.map(|a| a.worker.clone()) {
            self.close_idle_connections(&worker);
        }
    }

    /// Ends an attempt exactly once: closes its connection, cancels its timers, updates the reservation, and reports
    /// the outcome to the client and the policy.
    pub(super) fn end_attempt(
        &mut self,
        id: &RequestId,
        no: AttemptNo,
        outcome: Outcome,
        cached_tokens: u64,
    ) {
        let Some(mut ended) = self.mark_ended(id, no, outcome, cached_tokens) else { return };
        self.record_end(id, no, outcome, &ended);
        let is_decode = ended.stage == AttemptStage::Decode;
        if outcome == (Outcome::Rejected { no_state: true }) {
            self.take_reservation(id);
        } else if is_decode && proves_arrival(outcome) {
            self.renew_reservation(id);
        }
        if let Some(conn) = ended.conn.take() {
            self.abort_connection(conn);
        }
        let has_pulled =
            ended.was_answering || matches!(outcome, Outcome::Served | Outcome::Rejected { no_state: true });
        if is_decode && !has_pulled {
            self.repeat_release(id);
        }
        self.answer_ended_attempt(id, outcome, ended.was_answering);
        self.notify_outcome(id, no, outcome, ended);
        self.remove_if_completed(id);
    }

    /// Marks an open attempt as ended and cancels its timers. Returns `None` if the attempt has already ended.
    fn mark_ended(
        &mut self,
        id: &RequestId,
        no: AttemptNo,
        outcome: Outcome,
        cached_tokens: u64,
    ) -> Option<EndedAttempt> {
        let index = no.0 as usize;
        let request = self.requests.get_mut(id)?;
        let was_answering = request.answering_attempt == Some(index);
        let attempt = request.attempts.get_mut(index).filter(|a| a.ended.is_none())?;
        attempt.ended = Some(AttemptEnd { outcome, at: self.now });
        attempt.facts.end(outcome);
        for key in attempt.timer.take().into_iter().chain(attempt.stream_timer.take()) {
            self.timers.cancel(key);
        }
        attempt.cached_tokens =
            if outcome == Outcome::Served { request.usage.cached_tokens } else { cached_tokens };
        if outcome == Outcome::Served && attempt.stage == AttemptStage::Decode {
            if let Some(cached_tokens) = request.cached_at_prefill {
                request.usage.cached_tokens = cached_tokens;
            }
        }
        Some(EndedAttempt {
            worker: attempt.worker.clone(),
            stage: attempt.stage,
            conn: attempt.conn.take(),
            elapsed: self.now - attempt.sent_at,
            report: attempt.report,
            cached_tokens: attempt.cached_tokens,
            was_answering,
        })
    }

    /// Counts an attempt's end, and records a transition for an unusual end.
    fn record_end(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, ended: &EndedAttempt) {
        let name = outcome_name(outcome);
        increment(self.counters.attempts(ended.stage), name);
        if matches!(outcome, Outcome::Served | Outcome::Prefilled) {
            return;
        }
        let subject =
            Subject { attempt: Some(no.0), worker: Some(&ended.worker), connection: ended.conn, since: None };
        self.record_transition(id, TransitionKind::AttemptEnded, name, subject);
    }

    /// Answers the client at an attempt's end, if the core decides on that answer.
    fn answer_ended_attempt(&mut self, id: &RequestId, outcome: Outcome, was_answering: bool) {
        if outcome == Outcome::Served {
            return self.answer_served(id);
        }
        let Some(request) = self.requests.get_mut(id).filter(|_| was_answering) else { return };
        if request.call.is_streamed() {
            // Streamed events cannot be retracted, so the policy cannot retry.
            let reason = format!("the answer broke off: {}", outcome_name(outcome));
            return self.answer_failure(id, RequestOutcome::Broken, 502, reason);
        }
        // Nothing has reached the client, so the policy may retry.
        request.answering_attempt = None;
        request.pieces = 0;
        request.text.clear();
    }

    /// Notifies the policy of an attempt's end, and releases state that a failed prefill may have left behind.
    fn notify_outcome(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, ended: EndedAttempt) {
        let EndedAttempt { worker, stage, elapsed, report, cached_tokens, .. } = ended;
        let request_ended = self.requests.get(id).is_none_or(ActiveRequest::is_answered);
        let event = Event::AttemptOutcome {
            id: id.clone(),
            attempt: no,
            outcome,
            elapsed,
            request_ended,
            cached_tokens,
            report,
        };
        let may_leave_state = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionLost | Outcome::ServerError
        );
        if stage != AttemptStage::Prefill || !may_leave_state {
            self.events.push_back(event);
            return;
        }
        match self.release_awaited_until(id) {
            Some(until) => {
                self.start_release(id.clone(), worker, None, Some(DeferredEvent { event, until }));
            }
            None => {
                self.events.push_back(event);
                self.start_release(id.clone(), worker, None, None);
            }
        }
    }

    /// Time until which the notification of the policy waits for a release after a failed prefill; `None` if it does
    /// not wait. A prefill can complete just as it is given up, and then its state stays reserved. For a request that
    /// must not run twice, the next attempt comes after the release, or at this time, when a connection would have
    /// timed out.
    fn release_awaited_until(&self, id: &RequestId) -> Option<Micros> {
        let request = self.requests.get(id).filter(|r| !r.is_answered() && self.config.dialect.is_some())?;
        let must_run_once = self.must_run_once(request.spec.class);
        let tick = self.config.policy.tick;
        let latest = request.spec.deadline - tick - tick - tick;
        let until = (self.now + self.config.timeouts.connect).min(latest);
        (must_run_once && until > self.now).then_some(until)
    }

    pub(super) fn attempt_timed_out(&mut self, id: &RequestId, no: AttemptNo) {
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.timer = None;
        }
        self.close_idle_to_attempt_worker(id, no);
        self.end_attempt(id, no, Outcome::TimedOut, 0);
    }

    pub(super) fn stream_timed_out(&mut self, id: &RequestId, no: AttemptNo) {
        // While a slow client keeps its worker from being read, the client's own timeout applies.
        if self.requests.get(id).is_some_and(|r| r.worker_paused) {
            let timeout = self.now + self.config.timeouts.stream;
            let timer = self.timers.set(timeout, TimerEvent::Stream(id.clone(), no));
            if let Some(attempt) = self.attempt_mut(id, no) {
                attempt.stream_timer = Some(timer);
            }
            return;
        }
        self.end_attempt(id, no, Outcome::TimedOut, 0);
    }
}
