//! Final answers to clients, each given once, and the end of a request.

use chalkyard_api::client::{ErrorBody, ErrorKind, Event as ClientEvent, WholeAnswer};
use chalkyard_policy as p;
use chalkyard_policy::obligations::AnswerPermit;
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId};

use super::counters::{increment, Violation};
use super::job::{outcome_name, Answer, Call, Job};
use super::record::{since, Ended, Finished};
use super::view::OpenRequest;
use super::{Core, FinishedLine, Output};

impl Core {
    pub(super) fn refuse(&mut self, id: &RequestId, retry_after: Option<Micros>, why: p::RejectionReason) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.why = Some(why);
        increment(&mut self.counters.given_up, why.name());
        let permit = job.obligations(&self.config.policy).may_reject();
        if let Err(denied) = permit {
            self.deny(id, denied);
            return self.give_up(id);
        }
        let error = ErrorBody {
            kind: ErrorKind::Refused,
            reason: "not taken now; nothing has run, trying again does no harm".into(),
            field: None,
            may_have_run: false,
            retry_after: retry_after.map(Micros::as_secs_f64),
        };
        self.give_error(id, Ended::Refused, 503, error);
    }

    pub(super) fn fail(&mut self, id: &RequestId, why: p::RejectionReason) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.why = Some(why);
        increment(&mut self.counters.given_up, why.name());
        self.give_up(id);
    }

    fn give_up(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else { return };
        let last = job.attempts.iter().rev().find_map(|a| a.ended).map(|(o, _)| outcome_name(o));
        let reason = format!("failed; last attempt: {}", last.unwrap_or("none"));
        self.give_failure(id, Ended::Failed, 504, reason);
    }

    pub(super) fn give_failure(&mut self, id: &RequestId, ended: Ended, status: u16, reason: String) {
        let Some(job) = self.jobs.get(id) else { return };
        let may_have_run = job.may_have_run();
        let error =
            ErrorBody { kind: ErrorKind::Failed, reason, field: None, may_have_run, retry_after: None };
        self.give_error(id, ended, status, error);
    }

    /// The answer is whole.
    pub(super) fn serve(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Ok(permit) = job.obligations(&self.config.policy).may_answer() else { return };
        let (client, usage, model) = (job.client, job.usage, job.call.model());
        let stop = job.stop_reason.clone().unwrap_or_else(|| "stop".into());
        let (stream, begun, text) =
            (job.call.stream(), matches!(job.answer, Answer::Begun), std::mem::take(&mut job.text));
        self.give(permit, id, Ended::Served, String::new());
        if self.config.dialect.is_some() {
            return self.end_passing(client);
        }
        if stream {
            if !begun {
                self.open_stream(client, id, &model);
            }
            self.end_stream(client, &ClientEvent::Closed { stop_reason: &stop, usage });
        } else {
            let answer = WholeAnswer { id: &id.0, model: &model, content: &text, stop_reason: &stop, usage };
            self.whole_answer(client, id, &answer);
        }
    }

    pub(super) fn give_error(&mut self, id: &RequestId, ended: Ended, status: u16, error: ErrorBody) {
        let Some(job) = self.jobs.get(id) else { return };
        let (client, begun) = (job.client, matches!(job.answer, Answer::Begun));
        let Ok(permit) = job.obligations(&self.config.policy).may_answer() else { return };
        self.give(permit, id, ended, error.reason.clone());
        if begun && self.config.dialect.is_some() {
            // What has begun and can't be ended well ends without its last chunk.
            self.close_answered(client);
        } else if begun {
            self.end_stream(client, &ClientEvent::Broken { error });
        } else {
            self.answer_error(client, status, &error);
        }
        self.forget_done(id);
    }

    /// Notes that the final answer is given; the one place that does.
    fn give(&mut self, _permit: AnswerPermit, id: &RequestId, ended: Ended, reason: String) {
        let (now, remember) = (self.now, self.config.waits.identity);
        self.settle_budget(id, ended);
        increment(&mut self.counters.answers, ended.name());
        let Some(job) = self.jobs.get_mut(id) else { return };
        let phase = job.phase();
        let class = self.config.policy.classes.get(job.request.class.0);
        let once = class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent);
        let until = (once && job.may_have_run()).then(|| now + remember);
        job.answer = Answer::Given { ended, phase, reason, at: now };
        if let Some(identity) = &job.identity {
            self.identities.end(identity, until);
        }
    }

    /// The client is gone: nothing more is owed, and no work goes on for it.
    pub(super) fn client_left(&mut self, id: &RequestId, ended: Ended) {
        let Some(job) = self.jobs.get(id) else { return };
        let Ok(permit) = job.obligations(&self.config.policy).may_answer() else { return };
        self.give(permit, id, ended, String::new());
        self.events.push_back(Event::ClientGone(id.clone()));
        let attempts = self.jobs.get(id).map_or(0, |j| j.attempts.len() as u32);
        for no in 0..attempts {
            self.end_attempt(id, AttemptNo(no), Outcome::Cancelled, 0);
        }
        self.forget_done(id);
    }

    /// The client closed its side; it may still hear why it gets nothing.
    pub(super) fn half_closed(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.over()) else { return };
        let (client, begun, may_have_run) =
            (job.client, matches!(job.answer, Answer::Begun), job.may_have_run());
        let reason = "the client closed its side of the connection, which is taken as leaving".into();
        let error =
            ErrorBody { kind: ErrorKind::Failed, reason, field: None, may_have_run, retry_after: None };
        self.client_left(id, Ended::ClientGone);
        if begun && self.config.dialect.is_some() {
            self.close_answered(client);
        } else if begun {
            self.end_stream(client, &ClientEvent::Broken { error });
        } else {
            self.answer_error(client, 400, &error);
        }
    }

    /// Rule 1's backstop: the module owes an answer and the time is up.
    pub(super) fn overdue(&mut self, id: &RequestId) {
        let owed = self
            .jobs
            .get(id)
            .is_some_and(|j| matches!(j.answer, Answer::Owed) && (j.winner.is_none() || !j.call.stream()));
        if !owed {
            return;
        }
        self.violated(id, Violation::AnswerOverdue, None);
        self.note("overdue", format!("{} had no final answer from the module in time", id.0));
        self.give_failure(id, Ended::Overdue, 504, "no answer in time".into());
        self.events.push_back(Event::ClientGone(id.clone()));
        let attempts = self.jobs.get(id).map_or(0, |j| j.attempts.len() as u32);
        for no in 0..attempts {
            self.end_attempt(id, AttemptNo(no), Outcome::TimedOut, 0);
        }
    }

    /// The router ends now: each open request is told so, with what is known of it. Not a refusal, unless
    /// nothing can have run, and even then only a failure that says so.
    pub fn answer_all(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.stopping = true;
        let open: Vec<RequestId> =
            self.jobs.iter().filter(|(_, j)| !j.over()).map(|(id, _)| id.clone()).collect();
        for id in open {
            let reason = "this router is stopping".to_owned();
            self.give_failure(&id, Ended::Stopped, 503, reason);
            self.events.push_back(Event::ClientGone(id.clone()));
            let attempts = self.jobs.get(&id).map_or(0, |j| j.attempts.len() as u32);
            for no in 0..attempts {
                self.end_attempt(&id, AttemptNo(no), Outcome::Cancelled, 0);
            }
            self.forget_done(&id);
        }
        self.pump();
        out.append(&mut self.out);
    }

    /// Once nothing is owed, out or held, the request is told of and forgotten.
    pub(super) fn forget_done(&mut self, id: &RequestId) {
        let done = self.jobs.get(id).is_some_and(|j| j.over() && !j.out() && j.held.is_none());
        if !done {
            return;
        }
        self.drop_body(id);
        let Some(job) = self.jobs.remove(id) else { return };
        if let Some(key) = job.backstop {
            self.timers.cancel(key);
        }
        let attempts = job.told_attempts(self.now);
        let Answer::Given { ended, phase, reason, at } = job.answer else { return };
        let name = |i: usize| self.config.tenants.get(i).map(|t| t.name.clone());
        let finished = Finished {
            id: id.0.to_string(),
            class: self.config.classes.get(job.request.class.0).map(|c| c.name.clone()).unwrap_or_default(),
            came_back: job.request.resumed,
            tenant: job.request.tenant.and_then(|t| name(t.0)),
            identity: job.identity.map(|(_, key)| key),
            session: job.request.session.as_ref().map(|s| s.0.to_string()),
            prefix: job.request.prefix.as_ref().map(|p| p.0.to_string()),
            ended,
            why: job.why,
            list_age_us: self.list_changed.map(|t| since(at, t)),
            open: self.jobs.len() + 1,
            phase,
            reason,
            attempts,
            arrived_us: job.arrived.0,
            first_token_us: job.first_token.map(|t| since(t, job.arrived)),
            total_us: since(at, job.arrived),
            estimated_tokens: job.request.prompt_tokens,
            prompt_tokens: job.usage.prompt_tokens,
            kept_tokens: job.usage.kept_tokens,
            output_tokens: job.usage.output_tokens,
        };
        self.out.push(Output::Finished(Box::new(FinishedLine(finished))));
    }

    pub(super) fn drop_body(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.bodies = self.bodies.saturating_sub(job.body_bytes());
        if let Call::Passed(passed) = &mut job.call {
            passed.body = Vec::new();
        }
    }

    /// An open request as operators see it.
    pub(super) fn seen(&self, id: &RequestId, job: &Job) -> OpenRequest {
        OpenRequest {
            id: id.0.to_string(),
            class: self.config.classes.get(job.request.class.0).map(|c| c.name.clone()).unwrap_or_default(),
            tenant: job.request.tenant.and_then(|t| self.config.tenants.get(t.0)).map(|t| t.name.clone()),
            phase: if job.over() { "answered" } else { job.phase() },
            age_us: since(self.now, job.arrived),
            left_us: since(job.request.deadline, self.now),
            prompt_tokens: job.request.prompt_tokens,
            pieces: job.pieces,
            may_have_run: job.may_have_run(),
            attempts: job.told_attempts(self.now),
        }
    }
}
