//! Attempts at engines: begun as the module says, ended once, with its verdict.

use chalkyard_api::engine::{self, Stage};
use chalkyard_policy as p;
use chalkyard_policy::obligations::{proves_arrival, AttemptFacts, Denied, SendPermit, Target};
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId, WorkerId};
use chalkyard_proto::encode;

use super::counters::{increment, Violation};
use super::job::{outcome_name, At, Attempt, Call, HeldState, Job, Reply};
use super::record::Ended;
use super::transitions::{About, Change};
use super::worker_connection::{Engine, Payload, Task};
use super::{ConnId, Core, Due};

/// A worker that is not known any more.
const GONE: Target =
    Target { role: p::Role::Combined, zone: None, cell: p::CellId(0), lifecycle: p::Lifecycle::Removed };

/// How long an attempt may take, as the module says; none: as long as its request, or as connections usually may.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptLimits {
    /// Until it is given up.
    pub(super) give_up: Option<Micros>,
    /// Until its connection stands.
    pub(super) connect: Option<Micros>,
}

/// What is known of an attempt as it ends.
struct EndedAttempt {
    worker: WorkerId,
    at: At,
    conn: Option<ConnId>,
    elapsed: Micros,
    report: Option<p::LoadReport>,
    kept: u64,
    /// Its answer was the one that went to the client.
    won: bool,
}

impl Core {
    /// Begins an attempt, if the request's obligations permit it; it is given up in any case at the request's deadline.
    pub(super) fn send(
        &mut self,
        id: &RequestId,
        worker: WorkerId,
        limits: AttemptLimits,
        care: p::AttemptKind,
    ) {
        let target = self.engines.get(&worker).map_or(GONE, Engine::target);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let permit = job.obligations(&self.config.policy).may_send(self.now, &target);
        let at = job.next_stage(&target);
        let call = job.next_call(at);
        let no = AttemptNo(job.attempts.len() as u32);
        let deadline = job.request.deadline;
        let due = limits.give_up.map_or(deadline, |give_up| (self.now + give_up).min(deadline));
        job.attempts.push(Attempt {
            worker,
            at,
            sent: self.now,
            facts: AttemptFacts::new(at.stage(), self.now, target),
            due,
            connect: limits.connect,
            care,
            conn: None,
            timer: None,
            report: None,
            kept: 0,
            stream_timer: None,
            ended: None,
        });
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
        self.arm_attempt(id, no, due);
    }

    /// Ends the attempt at its time, unless it has ended already for want of a connection.
    fn arm_attempt(&mut self, id: &RequestId, no: AttemptNo, due: Micros) {
        if self.attempt_mut(id, no).is_none_or(|a| a.conn.is_none()) {
            return;
        }
        let timer = self.timers.set(due, Due::Attempt(id.clone(), no));
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.timer = Some(timer);
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
        let Some(mut ended) = self.mark_ended(id, no, outcome, kept) else { return };
        self.record_end(id, no, outcome, &ended);
        if outcome == (Outcome::Rejected { no_state: true }) {
            self.take_held(id);
        } else if ended.at == At::Pull && proves_arrival(outcome) {
            self.restart_held(id);
        }
        if let Some(conn) = ended.conn.take() {
            self.abort_link(conn);
        }
        let took = ended.won || matches!(outcome, Outcome::Served | Outcome::Rejected { no_state: true });
        if ended.at == At::Pull && !took {
            self.release_again(id);
        }
        self.answer_ended(id, outcome, ended.won);
        self.report_end(id, no, outcome, ended);
        self.forget_done(id);
    }

    /// Marks an open attempt as ended and cancels its timers; none if it has ended before.
    fn mark_ended(
        &mut self,
        id: &RequestId,
        no: AttemptNo,
        outcome: Outcome,
        kept: u64,
    ) -> Option<EndedAttempt> {
        let index = no.0 as usize;
        let job = self.jobs.get_mut(id)?;
        let won = job.winner == Some(index);
        let attempt = job.attempts.get_mut(index).filter(|a| a.ended.is_none())?;
        attempt.ended = Some((outcome, self.now));
        attempt.facts.end(outcome);
        for key in attempt.timer.take().into_iter().chain(attempt.stream_timer.take()) {
            self.timers.cancel(key);
        }
        attempt.kept = if outcome == Outcome::Served { job.usage.kept_tokens } else { kept };
        if let (Outcome::Served, At::Pull, Some(kept)) = (outcome, attempt.at, job.kept_at_reader) {
            job.usage.kept_tokens = kept;
        }
        Some(EndedAttempt {
            worker: attempt.worker.clone(),
            at: attempt.at,
            conn: attempt.conn.take(),
            elapsed: self.now - attempt.sent,
            report: attempt.report,
            kept: attempt.kept,
            won,
        })
    }

    /// Counts an attempt's end, and tells one that is out of the ordinary.
    fn record_end(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, ended: &EndedAttempt) {
        let name = outcome_name(outcome);
        increment(self.counters.attempts(ended.at), name);
        if matches!(outcome, Outcome::Served | Outcome::Prefilled) {
            return;
        }
        let about =
            About { attempt: Some(no.0), worker: Some(&ended.worker), connection: ended.conn, since: None };
        self.tell(id, Change::AttemptEnded, name, about);
    }

    /// What the client is answered at an attempt's end, if that is for the core to say.
    fn answer_ended(&mut self, id: &RequestId, outcome: Outcome, won: bool) {
        if outcome == Outcome::Served {
            return self.serve(id);
        }
        let Some(job) = self.jobs.get_mut(id).filter(|_| won) else { return };
        if job.call.stream() {
            // Of a stream that was begun nothing can be taken back.
            let reason = format!("the answer broke off: {}", outcome_name(outcome));
            return self.give_failure(id, Ended::Broken, 502, reason);
        }
        // Nothing of a whole answer has reached the client: the module may try again.
        job.winner = None;
        job.pieces = 0;
        job.text.clear();
    }

    /// Tells the module of an attempt's end; what a read that ended badly may have left behind is released.
    fn report_end(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, ended: EndedAttempt) {
        let EndedAttempt { worker, at, elapsed, report, kept, .. } = ended;
        let over = self.jobs.get(id).is_none_or(Job::over);
        let verdict = Event::AttemptOutcome {
            id: id.clone(),
            attempt: no,
            outcome,
            elapsed,
            request_ended: over,
            cached_tokens: kept,
            report,
        };
        // A read that ended otherwise may have left state behind; a client's leaving is no reason to hold it.
        let state_left = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionLost | Outcome::ServerError
        );
        if at != At::Read || !state_left {
            self.events.push_back(verdict);
            return;
        }
        match self.release_awaited_until(id) {
            Some(by) => self.release(id.clone(), worker, None, Some((verdict, by))),
            None => {
                self.events.push_back(verdict);
                self.release(id.clone(), worker, None, None);
            }
        }
    }

    /// A read can end well just as it is given up, and the state stays. Where nothing may run twice the next attempt comes
    /// after it is released, or at this time, once a connection would have been waited for in vain; none: it does not wait.
    fn release_awaited_until(&self, id: &RequestId) -> Option<Micros> {
        let job = self.jobs.get(id).filter(|j| !j.over() && self.config.dialect.is_some())?;
        let class = self.config.policy.classes.get(job.request.class.0);
        let once = class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent);
        let tick = self.config.policy.tick;
        let by = (self.now + self.config.waits.connect).min(job.request.deadline - tick - tick - tick);
        (once && by > self.now).then_some(by)
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
