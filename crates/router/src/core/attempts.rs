//! Attempts at engines: begun as the module says, ended once, with its verdict.

use chalkyard_api::engine::{self, Stage};
use chalkyard_policy as p;
use chalkyard_policy::obligations::{proves_arrival, AttemptFacts, Denied, SendPermit, Target};
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId, WorkerId};
use chalkyard_proto::encode;

use super::counters::{increment, Violation};
use super::job::{outcome_name, At, Attempt, Call, HeldState, Job, Reply};
use super::pool::{Payload, Task};
use super::record::Ended;
use super::tally;
use super::transitions::{About, Change};
use super::{Core, Due};

impl Core {
    /// Gives up after the first of the spans; the connection has to stand within the second.
    pub(super) fn send(
        &mut self,
        id: &RequestId,
        worker: WorkerId,
        (give_up, connect): (Option<Micros>, Option<Micros>),
        care: p::AttemptKind,
    ) {
        let now = self.now;
        let target = self.engines.get(&worker).map(super::pool::Engine::target);
        let gone = Target {
            role: p::Role::Combined,
            zone: None,
            cell: p::CellId(0),
            lifecycle: p::Lifecycle::Removed,
        };
        let target = target.unwrap_or(gone);
        let role = (target.lifecycle != p::Lifecycle::Removed).then_some(target.role);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let permit = job.obligations(&self.config.policy).may_send(now, &target);
        let at = match (role, &job.held) {
            (Some(p::Role::Prefill), _) => At::Read,
            (_, Some(_)) => At::Pull,
            _ => At::Whole,
        };
        let no = AttemptNo(job.attempts.len() as u32);
        let call = match job.attempts.last() {
            None => tally::Call::First,
            Some(a) if at == At::Pull && a.at == At::Read => tally::Call::Pull,
            Some(_) => tally::Call::Again { ran: job.may_have_run() },
        };
        let due = give_up.map_or(job.request.deadline, |g| (now + g).min(job.request.deadline));
        let attempt = Attempt {
            worker,
            at,
            sent: now,
            facts: AttemptFacts::new(at.stage(), now, target),
            due,
            connect,
            care,
            conn: None,
            timer: None,
            report: None,
            kept: 0,
            stream_timer: None,
            ended: None,
        };
        job.attempts.push(attempt);
        if let Some(tally) = &mut self.tally {
            tally.sent(call, care);
        }
        match permit {
            Ok(permit) => self.dial_first(permit, id, no),
            Err(denied) => {
                self.deny(id, denied);
                return self.end_attempt(id, no, Outcome::NotSent, 0);
            }
        }
        if let Some(conn) = self.attempt_mut(id, no).and_then(|a| a.conn) {
            let timer = self.timers.set(due, Due::Attempt(id.clone(), no));
            if let Some(attempt) = self.attempt_mut(id, no).filter(|a| a.conn == Some(conn)) {
                attempt.timer = Some(timer);
            }
        }
    }

    /// What was asked for is not done.
    pub(super) fn deny(&mut self, id: &RequestId, denied: Denied) {
        increment(&mut self.counters.denied, denied.name());
        self.tell(id, Change::Denied, denied.name(), About::default());
        if denied == Denied::MayHaveRun {
            self.violated(id, Violation::EffectUnproven, None);
        }
    }

    /// The first call of an attempt, with leave to send it.
    fn dial_first(&mut self, _permit: SendPermit, id: &RequestId, no: AttemptNo) {
        self.dial(id, no);
    }

    /// Has an attempt's call written on a kept connection, or on a new one.
    pub(super) fn dial(&mut self, id: &RequestId, no: AttemptNo) {
        let attempt = self.attempt_mut(id, no).filter(|a| a.ended.is_none());
        let Some((worker, connect)) = attempt.map(|a| (a.worker.clone(), a.connect)) else { return };
        let listed = self.engines.get(&worker).is_some_and(|e| e.listed);
        let task = Task::Attempt(id.clone(), no, Reply::None);
        let conn = listed.then(|| self.call(&worker, task, Payload::AttemptCall, 0)).flatten();
        // Our own bound: it says nothing of the engine.
        let Some(conn) = conn else { return self.end_attempt(id, no, Outcome::NotSent, 0) };
        if let Some(span) = connect {
            self.connect_within(conn, span);
        }
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = Some(conn);
        }
    }

    /// An attempt's call as it is written.
    pub(super) fn attempt_bytes(&self, id: &RequestId, no: AttemptNo) -> Option<Vec<u8>> {
        let job = self.jobs.get(id)?;
        let attempt = job.attempts.get(no.0 as usize)?;
        let (at, host) = (attempt.at, self.host(&attempt.worker));
        let call = match (&job.call, &self.config.dialect) {
            (Call::Messages(call), _) => call,
            (Call::Passed(passed), dialect) => {
                let left = attempt.due - self.now;
                return dialect.as_ref().map(|d| d.attempt(&job.request, passed, &host, left));
            }
        };
        let stage = match (at, &job.held) {
            (At::Read, _) => Stage::Read,
            (At::Pull, Some(HeldState { params: Some(params), .. })) => Stage::Pull(params),
            _ => Stage::Whole,
        };
        let body = engine::completion(call, stage);
        let class = self.config.classes.get(job.request.class.0).map_or("", |c| c.name.as_str());
        let number = no.0.to_string();
        let mut fields = vec![
            ("content-type", "application/json"),
            ("via", &*self.via),
            (engine::REQUEST_ID, &*id.0),
            ("x-class", class),
            (engine::ATTEMPT, &number),
        ];
        let tenant = job.identity.as_ref().map(|(t, key)| (t.map_or("-".into(), |t| t.to_string()), key));
        // One tenant's key is no other's: engines know them together.
        let key = tenant.map(|(t, key)| format!("\"{t}/{key}\""));
        if let Some(key) = &key {
            fields.push(("idempotency-key", key));
        }
        Some(encode::request("POST", engine::COMPLETIONS, &host, &fields, &body))
    }

    pub(super) fn attempt_mut(&mut self, id: &RequestId, no: AttemptNo) -> Option<&mut Attempt> {
        self.jobs.get_mut(id)?.attempts.get_mut(no.0 as usize)
    }

    pub(super) fn cancel(&mut self, id: &RequestId, no: AttemptNo) {
        let streaming = self.jobs.get(id).is_some_and(|j| j.winner == Some(no.0 as usize));
        if !streaming {
            self.doubt_pool(id, no);
            self.end_attempt(id, no, Outcome::Cancelled, 0);
        }
    }

    pub(super) fn cancel_others(&mut self, id: &RequestId, no: AttemptNo) {
        let Some(job) = self.jobs.get(id) else { return };
        let others: Vec<u32> = (0..job.attempts.len() as u32).filter(|n| *n != no.0).collect();
        for other in others {
            self.end_attempt(id, AttemptNo(other), Outcome::Cancelled, 0);
        }
    }

    /// An attempt ends for want of any answer: what swallowed its call may swallow the next.
    pub(super) fn doubt_pool(&mut self, id: &RequestId, no: AttemptNo) {
        let out = self.attempt_mut(id, no).filter(|a| a.ended.is_none());
        if let Some(worker) = out.map(|a| a.worker.clone()) {
            self.close_idle(&worker);
        }
    }

    /// Ends an attempt, once: its connection, its time-outs, and the module's verdict.
    pub(super) fn end_attempt(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, kept: u64) {
        let now = self.now;
        let index = no.0 as usize;
        let tick = self.config.policy.tick;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let class = self.config.policy.classes.get(job.request.class.0);
        let (deadline, once) =
            (job.request.deadline, class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent));
        let winner = job.winner == Some(index);
        let Some(attempt) = job.attempts.get_mut(index).filter(|a| a.ended.is_none()) else { return };
        attempt.ended = Some((outcome, now));
        attempt.facts.end(outcome);
        let (conn, at, worker, elapsed) =
            (attempt.conn.take(), attempt.at, attempt.worker.clone(), now - attempt.sent);
        for key in attempt.timer.take().into_iter().chain(attempt.stream_timer.take()) {
            self.timers.cancel(key);
        }
        let report = attempt.report;
        let kept = if outcome == Outcome::Served { job.usage.kept_tokens } else { kept };
        attempt.kept = kept;
        if let (Outcome::Served, At::Pull, Some(kept)) = (outcome, at, job.kept_at_reader) {
            job.usage.kept_tokens = kept;
        }
        let stream = job.call.stream();
        let name = outcome_name(outcome);
        increment(self.counters.attempts(at), name);
        if !matches!(outcome, Outcome::Served | Outcome::Parsed) {
            let about = About { attempt: Some(no.0), worker: Some(&worker), connection: conn, since: None };
            self.tell(id, Change::AttemptEnded, name, about);
        }
        if outcome == (Outcome::Refused { no_state: true }) {
            self.take_held(id);
        } else if at == At::Pull && proves_arrival(outcome) {
            self.restart_held(id);
        }
        if let Some(conn) = conn {
            self.abort_link(conn);
        }
        let took = winner || matches!(outcome, Outcome::Served | Outcome::Refused { no_state: true });
        if at == At::Pull && !took {
            self.release_again(id);
        }
        // A read that ended otherwise may have left state behind; a client's leaving is no reason to hold it.
        let state_left = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionLost | Outcome::ServerError
        );
        match outcome {
            Outcome::Served => self.serve(id),
            // Of a stream that was begun nothing can be taken back.
            _ if winner && stream => {
                let reason = format!("the answer broke off: {}", outcome_name(outcome));
                self.give_failure(id, Ended::Broken, 502, reason);
            }
            // Nothing of a whole answer has reached the client: the module may try again.
            _ if winner => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.winner = None;
                    job.pieces = 0;
                    job.text.clear();
                }
            }
            _ => {}
        }
        let over = self.jobs.get(id).is_none_or(Job::over);
        let verdict = Event::Verdict { id: id.clone(), attempt: no, outcome, elapsed, over, kept, report };
        if at == At::Read && state_left {
            // A read can end well just as it is given up, and the state stays. Where nothing may run twice the next
            // attempt comes after it is let go of, or once a connection would have been waited for in vain.
            let by = (now + self.config.waits.connect).min(deadline - tick - tick - tick);
            let waits = once && self.config.dialect.is_some() && !over && by > now;
            let (told, later) = if waits { (None, Some((verdict, by))) } else { (Some(verdict), None) };
            self.events.extend(told);
            self.release(id.clone(), worker, None, later);
        } else {
            self.events.push_back(verdict);
        }
        self.forget_done(id);
    }

    pub(super) fn attempt_due(&mut self, id: &RequestId, no: AttemptNo) {
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.timer = None;
        }
        self.doubt_pool(id, no);
        self.end_attempt(id, no, Outcome::TimedOut, 0);
    }

    pub(super) fn stream_due(&mut self, id: &RequestId, no: AttemptNo) {
        // A stream that is not read since its client is slow is the client's to end.
        if self.jobs.get(id).is_some_and(|j| j.paused) {
            let wait = self.config.waits.stream;
            let timer = self.timers.set(self.now + wait, Due::Stream(id.clone(), no));
            if let Some(attempt) = self.attempt_mut(id, no) {
                attempt.stream_timer = Some(timer);
            }
            return;
        }
        self.end_attempt(id, no, Outcome::TimedOut, 0);
    }
}
