//! Final answers to clients, each given exactly once, and the end of a request.

use chalkyard_api::client::{CompleteAnswer, ErrorBody, ErrorKind, Event as ClientEvent};
use chalkyard_policy as p;
use chalkyard_policy::obligations::AnswerPermit;
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId};

use super::active_request::{ActiveRequest, ClientCall, FinalAnswer};
use super::attempt::outcome_name;
use super::counters::{increment, Violation};
use super::record::{elapsed_us, RequestOutcome, RequestRecord};
use super::view::OpenRequest;
use super::{Core, FinishedOutput, Output};

impl Core {
    /// Rejects the request, as the policy requests. If an attempt may have run, the client is told of a failure
    /// instead.
    pub(super) fn reject(&mut self, id: &RequestId, retry_after: Option<Micros>, reason: p::RejectionReason) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.rejection_reason = Some(reason);
        increment(&mut self.counters.given_up, reason.name());
        if let Err(denied) = request.obligations(&self.config.policy).may_reject() {
            self.record_denial(id, denied);
            return self.answer_given_up(id);
        }
        let error = ErrorBody {
            kind: ErrorKind::Refused,
            reason: "not taken now; nothing has run, trying again does no harm".into(),
            field: None,
            may_have_run: false,
            retry_after: retry_after.map(Micros::as_secs_f64),
        };
        self.answer_with_error(id, RequestOutcome::Rejected, 503, error);
    }

    /// Answers that the request has failed, because the policy gives it up.
    pub(super) fn fail_request(&mut self, id: &RequestId, reason: p::RejectionReason) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.rejection_reason = Some(reason);
        increment(&mut self.counters.given_up, reason.name());
        self.answer_given_up(id);
    }

    fn answer_given_up(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let last = request.attempts.iter().rev().find_map(|a| a.ended);
        let last = last.map_or("none", |end| outcome_name(end.outcome));
        self.answer_failure(id, RequestOutcome::Failed, 504, format!("failed; last attempt: {last}"));
    }

    /// Answers that the request has failed, and whether it may have run.
    pub(super) fn answer_failure(
        &mut self,
        id: &RequestId,
        ended: RequestOutcome,
        status: u16,
        reason: String,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let error = request.failure(reason);
        self.answer_with_error(id, ended, status, error);
    }

    /// Completes the answer of a request that a worker has served.
    pub(super) fn answer_served(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Ok(permit) = request.obligations(&self.config.policy).may_answer() else { return };
        let (client, usage, model) = (request.client, request.usage, request.call.model());
        let stop_reason = request.stop_reason.clone().unwrap_or_else(|| "stop".into());
        let (is_streamed, has_begun) = (request.call.is_streamed(), request.is_streaming());
        let text = std::mem::take(&mut request.text);
        self.record_answer(permit, id, RequestOutcome::Served, String::new());
        if self.config.dialect.is_some() {
            return self.end_forwarded(client);
        }
        if is_streamed {
            if !has_begun {
                self.open_stream(client, id, &model);
            }
            self.end_stream(client, &ClientEvent::Closed { stop_reason: &stop_reason, usage });
        } else {
            let answer =
                CompleteAnswer { id: &id.0, model: &model, content: &text, stop_reason: &stop_reason, usage };
            self.write_body_answer(client, id, &answer);
        }
    }

    fn answer_with_error(&mut self, id: &RequestId, ended: RequestOutcome, status: u16, error: ErrorBody) {
        let Some(request) = self.requests.get(id) else { return };
        let Ok(permit) = request.obligations(&self.config.policy).may_answer() else { return };
        let (client, has_begun) = (request.client, request.is_streaming());
        self.record_answer(permit, id, ended, error.reason.clone());
        if has_begun && self.config.dialect.is_some() {
            // A forwarded stream that fails ends without its last chunk.
            self.close_answered(client);
        } else if has_begun {
            self.end_stream(client, &ClientEvent::Broken { error });
        } else {
            self.answer_error(client, status, &error);
        }
        self.remove_if_completed(id);
    }

    /// Records that the final answer is given. No other function does so.
    fn record_answer(
        &mut self,
        _permit: AnswerPermit,
        id: &RequestId,
        ended: RequestOutcome,
        reason: String,
    ) {
        let remembered_until = self.now + self.config.timeouts.identity;
        self.settle_budget(id, ended);
        increment(&mut self.counters.answers, ended.name());
        let Some(class) = self.requests.get(id).map(|r| r.spec.class) else { return };
        let must_run_once = self.must_run_once(class);
        let Some(request) = self.requests.get_mut(id) else { return };
        let phase = request.phase();
        let until = (must_run_once && request.may_have_run()).then_some(remembered_until);
        request.answer = FinalAnswer::Given { ended, phase, reason, at: self.now };
        if let Some(identity) = &request.identity {
            self.identities.end(identity, until);
        }
    }

    /// Ends a request whose client is gone: no answer is owed any more, and all attempts are cancelled.
    pub(super) fn client_left(&mut self, id: &RequestId, ended: RequestOutcome) {
        let Some(request) = self.requests.get(id) else { return };
        let Ok(permit) = request.obligations(&self.config.policy).may_answer() else { return };
        self.record_answer(permit, id, ended, String::new());
        self.abandon(id, Outcome::Cancelled);
        self.remove_if_completed(id);
    }

    /// Notifies the policy that no client waits for the answer, and ends all attempts.
    fn abandon(&mut self, id: &RequestId, outcome: Outcome) {
        self.events.push_back(Event::ClientGone(id.clone()));
        let attempts = self.requests.get(id).map_or(0, |r| r.attempts.len() as u32);
        for no in 0..attempts {
            self.end_attempt(id, AttemptNo(no), outcome, 0);
        }
    }

    /// Handles a client that has closed its sending side, which is treated as leaving. The client may still read why
    /// it gets no answer.
    pub(super) fn client_half_closed(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id).filter(|r| !r.is_answered()) else { return };
        let (client, has_begun) = (request.client, request.is_streaming());
        let reason = "the client closed its side of the connection, which is taken as leaving".into();
        let error = request.failure(reason);
        self.client_left(id, RequestOutcome::ClientGone);
        if has_begun && self.config.dialect.is_some() {
            self.close_answered(client);
        } else if has_begun {
            self.end_stream(client, &ClientEvent::Broken { error });
        } else {
            self.answer_error(client, 400, &error);
        }
    }

    /// Fails a request that the policy has not ended in time. This limit is the core's own.
    pub(super) fn answer_overdue(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let is_streamed_answer = request.answering_attempt.is_some() && request.call.is_streamed();
        if !matches!(request.answer, FinalAnswer::Pending) || is_streamed_answer {
            return;
        }
        self.record_violation(id, Violation::AnswerOverdue, None);
        self.note("overdue", format!("the policy did not end request {} in time", id.0));
        self.answer_failure(id, RequestOutcome::Overdue, 504, "no answer in time".into());
        self.abandon(id, Outcome::TimedOut);
    }

    /// Answers each open request with a failure that says whether the request may have run, because the process ends.
    /// Requests of which only a part has arrived are rejected.
    pub fn fail_open_requests(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.stopping = true;
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.is_answered()).map(|(id, _)| id.clone()).collect();
        for id in open {
            self.answer_failure(&id, RequestOutcome::Stopped, 503, "this router is stopping".into());
            self.abandon(&id, Outcome::Cancelled);
            self.remove_if_completed(&id);
        }
        self.process_events();
        self.end_waiting_clients();
        self.process_events();
        out.append(&mut self.outputs);
    }

    /// Removes a request that needs no further work, and outputs its record.
    pub(super) fn remove_if_completed(&mut self, id: &RequestId) {
        if !self.requests.get(id).is_some_and(ActiveRequest::is_completed) {
            return;
        }
        self.drop_request_body(id);
        let Some(request) = self.requests.remove(id) else { return };
        if let Some(key) = request.answer_timer {
            self.timers.cancel(key);
        }
        if let Some(record) = self.finished_record(id, request) {
            self.outputs.push(Output::Finished(Box::new(FinishedOutput(record))));
        }
    }

    /// Record of a request that was just removed.
    fn finished_record(&self, id: &RequestId, request: ActiveRequest) -> Option<RequestRecord> {
        let attempts = request.attempt_records(self.now);
        let FinalAnswer::Given { ended, phase, reason, at } = request.answer else { return None };
        Some(RequestRecord {
            id: id.0.to_string(),
            class: self.class_name(request.spec.class),
            came_back: request.spec.resumed,
            tenant: self.tenant_name(request.spec.tenant),
            identity: request.identity.map(|identity| identity.key),
            session: request.spec.session.as_ref().map(|s| s.0.to_string()),
            prefix: request.spec.prefix.as_ref().map(|p| p.0.to_string()),
            ended,
            rejection_reason: request.rejection_reason,
            list_age_us: self.discovery.changed_at.map(|changed_at| elapsed_us(at, changed_at)),
            open: self.requests.len() + 1,
            phase,
            reason,
            attempts,
            arrived_us: request.arrived_at.0,
            first_token_us: request.first_token_at.map(|first| elapsed_us(first, request.arrived_at)),
            total_us: elapsed_us(at, request.arrived_at),
            estimated_tokens: request.spec.prompt_tokens,
            prompt_tokens: request.usage.prompt_tokens,
            kept_tokens: request.usage.cached_tokens,
            output_tokens: request.usage.output_tokens,
        })
    }

    /// Drops the body of a request for which no further attempt can follow.
    pub(super) fn drop_request_body(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        self.body_bytes = self.body_bytes.saturating_sub(request.body_bytes());
        if let ClientCall::Forwarded(forwarded) = &mut request.call {
            forwarded.body = Vec::new();
        }
    }

    /// Description of an open request for operators.
    pub(super) fn describe_open(&self, id: &RequestId, request: &ActiveRequest) -> OpenRequest {
        OpenRequest {
            id: id.0.to_string(),
            class: self.class_name(request.spec.class),
            tenant: self.tenant_name(request.spec.tenant),
            phase: if request.is_answered() { "answered" } else { request.phase() },
            age_us: elapsed_us(self.now, request.arrived_at),
            left_us: elapsed_us(request.spec.deadline, self.now),
            prompt_tokens: request.spec.prompt_tokens,
            pieces: request.pieces,
            may_have_run: request.may_have_run(),
            attempts: request.attempt_records(self.now),
        }
    }

    /// Whether a request of this class must not run twice. One of an unknown class must not.
    pub(super) fn must_run_once(&self, class: p::ClassId) -> bool {
        let class = self.config.policy.classes.get(class.0);
        class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent)
    }

    fn class_name(&self, class: p::ClassId) -> String {
        self.config.classes.get(class.0).map(|c| c.name.clone()).unwrap_or_default()
    }

    fn tenant_name(&self, tenant: Option<p::TenantId>) -> Option<String> {
        tenant.and_then(|t| self.config.tenants.get(t.0)).map(|t| t.name.clone())
    }
}

impl ActiveRequest {
    /// Error that says that the request has failed, and whether it may have run.
    fn failure(&self, reason: String) -> ErrorBody {
        let may_have_run = self.may_have_run();
        ErrorBody { kind: ErrorKind::Failed, reason, field: None, may_have_run, retry_after: None }
    }
}
