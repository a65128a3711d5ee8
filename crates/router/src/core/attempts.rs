//! Requests from arrival to their last verdict: attempts at engines, what came of them, final answers.

use chalkyard_api::client::{
    ErrorBody, ErrorKind, Event as ClientEvent, MessagesRequest, Usage, WholeAnswer,
};
use chalkyard_api::engine::{self, Chunk, Stage, StreamItem};
use chalkyard_budget::Usage as Tokens;
use chalkyard_policy as p;
use chalkyard_policy::{AttemptNo, Event, Micros, Outcome, RequestId, WorkerId};
use chalkyard_proto::{encode, sse, Part, Start};
use serde_json::value::RawValue;

use super::pool::Task;
use super::record::{since, AttemptRecord, Ended, Finished};
use super::sources::report;
use super::tally;
use super::view::OpenRequest;
use super::{ConnId, Core, Due, FinishedLine, Output};
use crate::dialect::{self, Beside, Passed, Told};
use crate::identity::Identity;
use crate::timers::Key;

/// Bytes of an engine's error answer that are read.
const ERROR_BYTES: usize = 64 * 1024;
/// A call to let go is tried again after at least this pause, and half the time since the first, while the told release
/// time lasts; then the engine's own time-out is left to it.
const RELEASE_PAUSE: Micros = Micros(30_000);

/// Streams of a leaving router are moved on so often.
const LEAVING_STEP: Micros = Micros(50_000);

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Read,
    Pull,
    Whole,
}

impl At {
    fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Pull => "pull",
            Self::Whole => "whole",
        }
    }
}

/// A reply as far as it has come.
#[derive(Debug)]
pub(super) enum Reply {
    /// Nothing yet.
    None,
    /// A body that is read whole: a reader's answer, or an error's.
    Whole { status: u16, body: Vec<u8> },
    /// A stream of events.
    Stream(Box<sse::Reader>),
    /// A stream that is passed on as it is, and what came of it ahead of its first whole event.
    Passing(Box<dyn Beside>, Vec<u8>),
}

/// What a client asked.
#[derive(Debug)]
pub(super) enum Call {
    Messages(Box<MessagesRequest>),
    Passed(Passed),
}

impl Call {
    /// Whether its answer is passed on as it comes.
    fn stream(&self) -> bool {
        match self {
            Self::Messages(call) => call.stream,
            Self::Passed(_) => true,
        }
    }

    fn model(&self) -> String {
        match self {
            Self::Messages(call) => call.model.clone(),
            Self::Passed(_) => String::new(),
        }
    }
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    at: At,
    sent: Micros,
    care: p::Care,
    conn: Option<ConnId>,
    timer: Option<Key>,
    report: Option<p::Report>,
    /// The wait between events.
    stream_timer: Option<Key>,
    ended: Option<(Outcome, Micros)>,
}

#[derive(Debug)]
enum Answer {
    /// None was given yet.
    Owed,
    /// The stream to the client has begun.
    Begun,
    /// Given, or owed no more.
    Given { ended: Ended, phase: &'static str, reason: String, at: Micros },
}

/// A request.
#[derive(Debug)]
pub(super) struct Job {
    client: ConnId,
    pub request: p::Request,
    call: Call,
    identity: Option<Identity>,
    arrived: Micros,
    attempts: Vec<Attempt>,
    /// The reader that holds its state, and the parameters for the writer where the call needs them.
    held: Option<(WorkerId, Option<Box<RawValue>>)>,
    /// When an answer is overdue.
    pub backstop: Option<Key>,
    answer: Answer,
    /// The module's condition, where it gave the request up.
    why: Option<p::Why>,
    first_token: Option<Micros>,
    /// The attempt whose answer goes to the client.
    winner: Option<usize>,
    paused: bool,
    /// Pieces of the answer that came; a piece is a token, where the engine's own count does not come.
    pieces: u64,
    text: String,
    stop_reason: Option<String>,
    usage: Usage,
    /// What the reader found kept: to the writer that pulls, the whole prompt is.
    kept_at_reader: Option<u64>,
}

impl Job {
    pub fn new(
        client: ConnId,
        request: p::Request,
        call: Call,
        identity: Option<Identity>,
        arrived: Micros,
    ) -> Self {
        Self {
            client,
            request,
            call,
            identity,
            arrived,
            attempts: Vec::new(),
            held: None,
            backstop: None,
            answer: Answer::Owed,
            why: None,
            first_token: None,
            winner: None,
            paused: false,
            pieces: 0,
            text: String::new(),
            stop_reason: None,
            usage: Usage::default(),
            kept_at_reader: None,
        }
    }

    /// Whether its read state waits at this reader.
    pub fn holds_at(&self, worker: &WorkerId) -> bool {
        self.held.as_ref().is_some_and(|(at, _)| at == worker)
    }

    fn over(&self) -> bool {
        matches!(self.answer, Answer::Given { .. })
    }

    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }

    /// Whether any attempt may have had the request's effect: not the module's word, but ours.
    pub fn may_have_run(&self) -> bool {
        let ran = |a: &Attempt| a.at != At::Read && a.ended.is_none_or(|(o, _)| !o.proves_not_run());
        self.attempts.iter().any(ran)
    }

    /// The client's own part of its identity.
    pub fn identity_key(&self) -> Option<&str> {
        self.identity.as_ref().map(|(_, key)| key.as_str())
    }

    /// No answer is longer than so many tokens.
    pub fn cut_answer(&mut self, tokens: u64) {
        if let Call::Messages(call) = &mut self.call {
            call.max_tokens = call.max_tokens.min(tokens);
        }
        self.request.max_output = self.request.max_output.min(tokens);
    }

    /// Bytes of its body that are kept.
    pub fn body_bytes(&self) -> u64 {
        match &self.call {
            Call::Messages(_) => 0,
            Call::Passed(passed) => passed.body.len() as u64,
        }
    }

    /// Whether the client has got some of its answer.
    pub fn has_begun(&self) -> bool {
        matches!(self.answer, Answer::Begun)
    }

    /// Tokens by the engine's count; by ours, where it did not say or the answer was cut off.
    pub fn counted(&self, cut: bool) -> Tokens {
        let u = self.usage;
        let prompt = if u.prompt_tokens == 0 { self.request.prompt_tokens } else { u.prompt_tokens };
        let output = if cut || u.output_tokens == 0 { self.pieces } else { u.output_tokens };
        Tokens { prompt, kept: u.kept_tokens.min(prompt), output }
    }

    /// The attempt that read the prompt for the one whose answer was given, and that one.
    pub fn billed_attempts(&self) -> (Option<u32>, Option<u32>) {
        let write = self.winner.and_then(|w| u32::try_from(w).ok());
        let pulled = self.winner.and_then(|w| self.attempts.get(w)).is_some_and(|a| a.at == At::Pull);
        let parsed = |a: &Attempt| a.at == At::Read && a.ended.is_some_and(|(o, _)| o == Outcome::Parsed);
        let read = self.attempts.iter().rposition(parsed).filter(|_| pulled);
        (read.and_then(|r| u32::try_from(r).ok()), write)
    }

    fn phase(&self) -> &'static str {
        if matches!(self.answer, Answer::Begun) || self.winner.is_some() {
            return "streaming";
        }
        match self.attempts.iter().rfind(|a| a.ended.is_none()).map(|a| a.at) {
            Some(At::Read) => "reading",
            Some(At::Pull) => "pulling",
            Some(At::Whole) => "writing",
            None if self.held.is_some() => "held",
            None => "waiting",
        }
    }
}

fn outcome_name(o: Outcome) -> &'static str {
    match o {
        Outcome::Served => "served",
        Outcome::Parsed => "parsed",
        Outcome::ServerError => "server_error",
        Outcome::Refused { no_state: false } => "refused",
        Outcome::Refused { no_state: true } => "no_state",
        Outcome::TimedOut => "timed_out",
        Outcome::NoConnection => "no_connection",
        Outcome::ConnectionLost => "connection_lost",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

impl Core {
    // ---- The module's actions.

    pub(super) fn send(&mut self, id: &RequestId, worker: WorkerId, give_up: Option<Micros>, care: p::Care) {
        let (now, most) = (self.now, self.config.policy.max_attempts as usize);
        let via = self.via.clone();
        let host = self.host(&worker);
        let role = self.engines.get(&worker).filter(|e| e.listed).map(|e| e.role);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let at = match (role, &job.held) {
            (Some(p::Role::Reader), _) => At::Read,
            (_, Some(_)) => At::Pull,
            _ => At::Whole,
        };
        let no = AttemptNo(job.attempts.len() as u32);
        let call = match job.attempts.last() {
            None => tally::Call::First,
            Some(a) if at == At::Pull && a.at == At::Read => tally::Call::Pull,
            Some(_) => tally::Call::Again { ran: job.may_have_run() },
        };
        let attempt = Attempt {
            worker: worker.clone(),
            at,
            sent: now,
            care,
            conn: None,
            timer: None,
            report: None,
            stream_timer: None,
            ended: None,
        };
        job.attempts.push(attempt);
        if let Some(tally) = &mut self.tally {
            tally.sent(call, care);
        }
        if job.over()
            || job.winner.is_some()
            || now >= job.request.deadline
            || role.is_none()
            || job.attempts.len() > most
        {
            return self.end_attempt(id, no, Outcome::NotSent, 0);
        }
        let due = give_up.map_or(job.request.deadline, |g| (now + g).min(job.request.deadline));
        let call = match (&job.call, &self.config.dialect) {
            (Call::Messages(call), _) => call,
            (Call::Passed(passed), Some(dialect)) => {
                let bytes = dialect.attempt(&job.request, passed, &host, due - now);
                return self.send_bytes(id, no, &worker, bytes, due);
            }
            (Call::Passed(_), None) => return self.end_attempt(id, no, Outcome::NotSent, 0),
        };
        let stage = match (at, &job.held) {
            (At::Read, _) => Stage::Read,
            (At::Pull, Some((_, Some(params)))) => Stage::Pull(params),
            _ => Stage::Whole,
        };
        let body = engine::completion(call, stage);
        let class = self.config.classes.get(job.request.class.0).map_or("", |c| c.name.as_str());
        let number = no.0.to_string();
        let mut fields = vec![
            ("content-type", "application/json"),
            ("via", &*via),
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
        let bytes = encode::request("POST", engine::COMPLETIONS, &host, &fields, &body);
        self.send_bytes(id, no, &worker, bytes, due);
    }

    fn send_bytes(&mut self, id: &RequestId, no: AttemptNo, worker: &WorkerId, bytes: Vec<u8>, due: Micros) {
        let conn = self.call(worker, Task::Attempt(id.clone(), no, Reply::None), bytes, 0);
        // Our own bound: it says nothing of the engine.
        let Some(conn) = conn else { return self.end_attempt(id, no, Outcome::NotSent, 0) };
        let timer = self.timers.set(due, Due::Attempt(id.clone(), no));
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = Some(conn);
            attempt.timer = Some(timer);
        }
    }

    fn attempt_mut(&mut self, id: &RequestId, no: AttemptNo) -> Option<&mut Attempt> {
        self.jobs.get_mut(id)?.attempts.get_mut(no.0 as usize)
    }

    pub(super) fn cancel(&mut self, id: &RequestId, no: AttemptNo) {
        let streaming = self.jobs.get(id).is_some_and(|j| j.winner == Some(no.0 as usize));
        if !streaming {
            self.doubt_pool(id, no);
            self.end_attempt(id, no, Outcome::Cancelled, 0);
        }
    }

    /// An attempt ends for want of any answer: what swallowed its call may swallow the next.
    fn doubt_pool(&mut self, id: &RequestId, no: AttemptNo) {
        let out = self.attempt_mut(id, no).filter(|a| a.ended.is_none());
        if let Some(worker) = out.map(|a| a.worker.clone()) {
            self.close_idle(&worker);
        }
    }

    pub(super) fn refuse(&mut self, id: &RequestId, retry_after: Option<Micros>, why: p::Why) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.why = Some(why);
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

    pub(super) fn fail(&mut self, id: &RequestId, why: p::Why) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.why = Some(why);
        let last = job.attempts.iter().rev().find_map(|a| a.ended).map(|(o, _)| outcome_name(o));
        let reason = format!("failed; last attempt: {}", last.unwrap_or("none"));
        self.give_failure(id, Ended::Failed, 504, reason);
    }

    fn give_failure(&mut self, id: &RequestId, ended: Ended, status: u16, reason: String) {
        let Some(job) = self.jobs.get(id) else { return };
        let may_have_run = job.may_have_run();
        let error =
            ErrorBody { kind: ErrorKind::Failed, reason, field: None, may_have_run, retry_after: None };
        self.give_error(id, ended, status, error);
    }

    pub(super) fn move_on(&mut self, id: &RequestId) {
        let Some(no) = self.jobs.get(id).filter(|j| !j.over()).and_then(|j| j.winner) else { return };
        self.give_failure(id, Ended::Moved, 503, "moved: come back and it goes on".into());
        self.end_attempt(id, AttemptNo(no as u32), Outcome::Cancelled, 0);
    }

    /// A part of the streams moves on, those that began last first: the others are more likely to end by themselves.
    pub(super) fn leaving_due(&mut self) {
        let Some((left, (_, until))) = self.left.zip(self.config.waits.leaving) else { return };
        let begun = self.jobs.iter().filter(|(_, j)| matches!(j.answer, Answer::Begun));
        let mut begun: Vec<(Micros, RequestId)> = begun.map(|(id, j)| (j.arrived, id.clone())).collect();
        begun.sort_unstable_by(|a, b| b.cmp(a));
        let steps = ((left + until - self.now).0 / LEAVING_STEP.0).max(1) as usize;
        for (_, id) in begun.iter().take(begun.len().div_ceil(steps)) {
            self.count(|t| t.moved += 1);
            self.move_on(id);
        }
        self.timers.set(self.now + LEAVING_STEP, Due::Leaving);
    }

    pub(super) fn let_go(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some((worker, _)) = job.held.take() {
            self.release(id.clone(), worker, self.now);
        }
        self.forget_done(id);
    }

    // ---- Letting go.

    fn release(&mut self, id: RequestId, worker: WorkerId, since: Micros) {
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

    fn release_again(&mut self, id: RequestId, worker: WorkerId, since: Micros) {
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
    fn other_release(&self, worker: WorkerId) -> WorkerId {
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

    // ---- Replies.

    pub(super) fn drive_link(&mut self, conn: ConnId) {
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            let part = match link.decoder.next_part() {
                Ok(Some(part)) => part,
                Ok(None) => return,
                Err(e) => return self.reply_wrong(conn, e.reason == chalkyard_proto::Reason::Truncated),
            };
            if let Part::Head(head) = &part {
                link.last = !head.keep_alive;
            }
            let more = match &link.task {
                Task::Attempt(..) => self.attempt_part(conn, part),
                Task::Watch(_) => self.watch_part(conn, part),
                Task::Poll(_) => self.poll_part(conn, part),
                Task::Release(..) => self.release_part(conn, part),
                Task::Rest => {
                    if part == Part::End {
                        self.park(conn);
                        false
                    } else {
                        true
                    }
                }
                Task::Idle => false,
            };
            if !more {
                return;
            }
        }
    }

    /// A reply that can't be read further: cut short, or malformed.
    fn reply_wrong(&mut self, conn: ConnId, cut: bool) {
        if cut {
            self.out.push(Output::Abort(conn));
            return self.link_lost(conn);
        }
        let Some(link) = self.forget_link(conn) else { return };
        self.out.push(Output::Abort(conn));
        match link.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::ServerError, 0),
            other => self.task_lost(other, link.worker),
        }
    }

    /// A connection is gone. What it carried may have run if a byte of it was taken to be sent; in a dialect, whose
    /// engines begin with the last byte, if that was. Its idle siblings are as old: a dead engine's pool would eat
    /// an attempt each.
    pub(super) fn link_lost(&mut self, conn: ConnId) {
        let Some(link) = self.forget_link(conn) else { return };
        self.learn_rest(&link);
        if let Some(worker) = &link.worker {
            self.close_idle(worker);
        }
        let needed = if self.config.dialect.is_some() { link.size } else { 1 };
        let sent = link.waiting.is_none() && link.wrote >= needed;
        match link.task {
            Task::Attempt(id, no, _) => {
                let outcome = if sent { Outcome::ConnectionLost } else { Outcome::NoConnection };
                self.end_attempt(&id, no, outcome, 0);
            }
            other => self.task_lost(other, link.worker),
        }
    }

    /// No connection could be begun for want of descriptors or ports of our own.
    pub(super) fn unconnected(&mut self, conn: ConnId) {
        let Some(link) = self.forget_link(conn) else { return };
        match link.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::NotSent, 0),
            other => self.task_lost(other, link.worker),
        }
    }

    fn task_lost(&mut self, task: Task, worker: Option<WorkerId>) {
        match (task, worker) {
            (Task::Release(id, since), Some(worker)) => self.release_again(id, worker, since),
            (Task::Watch(_) | Task::Poll(_), _) => self.register_lost(),
            _ => {}
        }
    }

    /// A part of the answer to a call to let go; true: more is to come.
    fn release_part(&mut self, conn: ConnId, part: Part) -> bool {
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

    /// A part of the reply to an attempt; true: go on reading.
    fn attempt_part(&mut self, conn: ConnId, part: Part) -> bool {
        let event_bytes = self.config.bounds.event_bytes;
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let Task::Attempt(id, no, reply) = &mut link.task else { return false };
        let (id, no) = (id.clone(), *no);
        let Some(attempt) = self.jobs.get_mut(&id).and_then(|j| j.attempts.get_mut(no.0 as usize)) else {
            self.abort_link(conn);
            return false;
        };
        match (part, reply) {
            (Part::Head(head), reply) if self.config.dialect.is_some() => {
                let Some(dialect) = self.config.dialect.clone() else { return false };
                attempt.report = dialect.report(&head);
                let stage = if attempt.at == At::Read { dialect::Stage::Read } else { dialect::Stage::Write };
                match dialect.told(stage, &head) {
                    Told::Stream => *reply = Reply::Passing(dialect.beside(), Vec::new()),
                    Told::Read => *reply = Reply::Whole { status: 202, body: Vec::new() },
                    Told::Over(outcome) => {
                        self.finish_reply(conn, &id, no, outcome, 0, false);
                        return self.links.contains_key(&conn);
                    }
                }
                true
            }
            (Part::Data(data), Reply::Passing(..)) => self.pass(conn, &id, no, data),
            (Part::End, Reply::Passing(beside, _)) => {
                let outcome = if beside.seen().begun { Outcome::Served } else { Outcome::ServerError };
                self.park(conn);
                if let Some(attempt) = self.attempt_mut(&id, no) {
                    attempt.conn = None;
                }
                self.end_attempt(&id, no, outcome, 0);
                false
            }
            (Part::Head(head), reply) => {
                attempt.report = report(head.header(engine::LOAD));
                let Start::Response { status } = head.start else { return false };
                let events = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
                *reply = match (status, attempt.at, events) {
                    (200, At::Pull | At::Whole, true) => {
                        Reply::Stream(Box::new(sse::Reader::new(event_bytes)))
                    }
                    (200, At::Pull | At::Whole, false) => Reply::Whole { status: 500, body: Vec::new() },
                    _ => Reply::Whole { status, body: Vec::new() },
                };
                true
            }
            (Part::Data(data), Reply::Whole { body, .. }) => {
                if body.len() + data.len() > ERROR_BYTES + engine::PARAMS_BYTES {
                    self.finish_reply(conn, &id, no, Outcome::ServerError, 0, true);
                    return false;
                }
                body.extend(data);
                true
            }
            (Part::Data(data), Reply::Stream(reader)) => {
                let mut events = Vec::new();
                let read = reader.push(&data, &mut events);
                for event in events {
                    match engine::stream_item(&event.data) {
                        Ok(StreamItem::Chunk(chunk)) => self.chunk(&id, no, chunk),
                        Ok(StreamItem::Done) => {
                            self.finish_reply(conn, &id, no, Outcome::Served, 0, false);
                            return self.links.contains_key(&conn);
                        }
                        Err(_) => {
                            self.finish_reply(conn, &id, no, Outcome::ServerError, 0, true);
                            return false;
                        }
                    }
                    // The chunk can have ended the request and with it this connection.
                    if !self.links.contains_key(&conn) {
                        return false;
                    }
                }
                if read.is_err() {
                    self.finish_reply(conn, &id, no, Outcome::ServerError, 0, true);
                    return false;
                }
                true
            }
            // The reply ended and its end marker never came: what was written may not be all.
            (Part::End, Reply::Stream(_)) => {
                self.finish_reply(conn, &id, no, Outcome::ConnectionLost, 0, true);
                false
            }
            (Part::End, Reply::Whole { status, body }) => {
                let (status, body) = (*status, std::mem::take(body));
                let (outcome, kept) = match (status, attempt.at) {
                    (202, At::Read) if self.config.dialect.is_some() => {
                        let kept = self.config.dialect.as_ref().map_or(0, |d| d.kept(&body));
                        let worker = attempt.worker.clone();
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.held = Some((worker, None));
                            job.kept_at_reader = Some(kept);
                        }
                        (Outcome::Parsed, kept)
                    }
                    (200, At::Read) => match engine::read_answer(&body) {
                        Ok((usage, params)) => {
                            let worker = attempt.worker.clone();
                            if let Some(job) = self.jobs.get_mut(&id) {
                                job.held = Some((worker, Some(params)));
                                job.usage = usage;
                                job.kept_at_reader = Some(usage.kept_tokens);
                            }
                            (Outcome::Parsed, usage.kept_tokens)
                        }
                        Err(_) => (Outcome::ServerError, 0),
                    },
                    (429, _) => (Outcome::Refused { no_state: false }, 0),
                    (409, At::Pull) if engine::says_no_state(&body) => {
                        (Outcome::Refused { no_state: true }, 0)
                    }
                    _ => (Outcome::ServerError, 0),
                };
                self.park(conn);
                if let Some(attempt) = self.attempt_mut(&id, no) {
                    attempt.conn = None;
                }
                self.end_attempt(&id, no, outcome, kept);
                false
            }
            (_, Reply::None) => false,
        }
    }

    /// The attempt's end is known; the connection is closed, or read to the reply's end and used again.
    fn finish_reply(
        &mut self,
        conn: ConnId,
        id: &RequestId,
        no: AttemptNo,
        outcome: Outcome,
        kept: u64,
        close: bool,
    ) {
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = None;
        }
        if close {
            self.abort_link(conn);
        } else if let Some(link) = self.links.get_mut(&conn) {
            link.task = Task::Rest;
            self.limit(conn);
        }
        self.end_attempt(id, no, outcome, kept);
    }

    /// Bytes of a stream, passed on as they are from its first whole event on; true: go on reading.
    fn pass(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, data: Vec<u8>) -> bool {
        let most = self.config.bounds.event_bytes;
        let Some(Task::Attempt(_, _, Reply::Passing(beside, held))) =
            self.links.get_mut(&conn).map(|l| &mut l.task)
        else {
            return false;
        };
        beside.push(&data);
        let seen = beside.seen();
        let data = if held.is_empty() {
            data
        } else {
            held.extend_from_slice(&data);
            std::mem::take(held)
        };
        if !seen.begun {
            *held = data;
            if held.len() > most {
                self.finish_reply(conn, id, no, Outcome::ServerError, 0, true);
                return false;
            }
            return true;
        }
        let Some(first) = self.advance(id, no) else { return self.links.contains_key(&conn) };
        let Some(job) = self.jobs.get_mut(id) else { return false };
        job.pieces = seen.events;
        if let Some([prompt_tokens, kept_tokens, output_tokens]) = seen.usage {
            job.usage = Usage { prompt_tokens, kept_tokens, output_tokens };
        }
        if let Some(attempt) = job.attempts.get_mut(no.0 as usize) {
            attempt.report = seen.report.or(attempt.report);
        }
        let client = job.client;
        if first {
            job.answer = Answer::Begun;
            // Nothing is sent for it any more.
            self.drop_body(id);
        }
        self.pass_on(client, first, &data);
        if first {
            self.cancel_others(id, no);
        }
        self.pause_if_full(id, no, client);
        self.links.contains_key(&conn)
    }

    fn drop_body(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.bodies = self.bodies.saturating_sub(job.body_bytes());
        if let Call::Passed(passed) = &mut job.call {
            passed.body = Vec::new();
        }
    }

    /// An answer goes on, or begins (true); none if this attempt is not, or no longer, the one that answers.
    fn advance(&mut self, id: &RequestId, no: AttemptNo) -> Option<bool> {
        let (now, wait) = (self.now, self.config.waits.stream);
        let job = self.jobs.get_mut(id).filter(|j| !j.over())?;
        let index = no.0 as usize;
        let first = job.winner.is_none();
        if *job.winner.get_or_insert(index) != index {
            self.end_attempt(id, no, Outcome::Cancelled, 0);
            return None;
        }
        let stream = job.call.stream();
        if let Some(attempt) = job.attempts.get_mut(index) {
            let timer = self.timers.set(now + wait, Due::Stream(id.clone(), no));
            if let Some(old) = attempt.stream_timer.replace(timer) {
                self.timers.cancel(old);
            }
            // A stream belongs to its client from now on; a whole answer still has its deadline.
            if let Some(key) = attempt.timer.take_if(|_| stream) {
                self.timers.cancel(key);
            }
            if first {
                let elapsed = now - attempt.sent;
                self.events.push_back(Event::Streaming { id: id.clone(), attempt: no, elapsed });
            }
        }
        if first {
            job.first_token = Some(now);
            // With the first token the state has moved, and whatever else was held goes by itself.
            job.held = None;
        }
        Some(first)
    }

    /// A chunk of an answer, relayed as an event or kept for a whole answer.
    fn chunk(&mut self, id: &RequestId, no: AttemptNo, chunk: Chunk) {
        let most = self.config.bounds.answer_bytes;
        let Some(first) = self.advance(id, no) else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let stream = job.call.stream();
        if let Some(usage) = chunk.usage {
            job.usage = usage;
        }
        job.stop_reason = chunk.stop_reason.or(job.stop_reason.take());
        job.pieces += u64::from(!chunk.text.is_empty());
        let client = job.client;
        let model = if first { job.call.model() } else { String::new() };
        if !stream {
            job.text.push_str(&chunk.text);
            if job.text.len() > most {
                self.give_failure(id, Ended::Broken, 502, "the answer is longer than its bound".into());
                self.end_attempt(id, no, Outcome::Cancelled, 0);
            }
            return;
        }
        if first {
            job.answer = Answer::Begun;
            self.open_stream(client, id, &model);
        }
        if !chunk.text.is_empty() {
            self.stream_event(client, &ClientEvent::Delta { text: &chunk.text });
        }
        if first {
            self.cancel_others(id, no);
        }
        self.pause_if_full(id, no, client);
    }

    /// A client takes its answer more slowly than it comes: its engine is not read for a while.
    fn pause_if_full(&mut self, id: &RequestId, no: AttemptNo, client: ConnId) {
        if self.is_full(client) {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.paused) else { return };
            if let Some(conn) = job.attempts.get(no.0 as usize).and_then(|a| a.conn) {
                job.paused = true;
                self.out.push(Output::Pause(conn));
                self.watch_slow(client);
            }
        }
    }

    fn cancel_others(&mut self, id: &RequestId, no: AttemptNo) {
        let Some(job) = self.jobs.get(id) else { return };
        let others: Vec<u32> = (0..job.attempts.len() as u32).filter(|n| *n != no.0).collect();
        for other in others {
            self.end_attempt(id, AttemptNo(other), Outcome::Cancelled, 0);
        }
    }

    pub(super) fn resume_engine(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.paused) else { return };
        job.paused = false;
        let conn = job.winner.and_then(|i| job.attempts.get(i)).and_then(|a| a.conn);
        if let Some(conn) = conn {
            self.out.push(Output::Resume(conn));
        }
    }

    // ---- Ends.

    /// Ends an attempt, once: its connection, its time-outs, and the module's verdict.
    fn end_attempt(&mut self, id: &RequestId, no: AttemptNo, outcome: Outcome, kept: u64) {
        let now = self.now;
        let index = no.0 as usize;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let winner = job.winner == Some(index);
        let Some(attempt) = job.attempts.get_mut(index).filter(|a| a.ended.is_none()) else { return };
        attempt.ended = Some((outcome, now));
        let (conn, at, worker, elapsed) =
            (attempt.conn.take(), attempt.at, attempt.worker.clone(), now - attempt.sent);
        for key in attempt.timer.take().into_iter().chain(attempt.stream_timer.take()) {
            self.timers.cancel(key);
        }
        let report = attempt.report.take();
        if outcome == (Outcome::Refused { no_state: true }) {
            job.held = None;
        }
        let kept = if outcome == Outcome::Served { job.usage.kept_tokens } else { kept };
        if let (Outcome::Served, At::Pull, Some(kept)) = (outcome, at, job.kept_at_reader) {
            job.usage.kept_tokens = kept;
        }
        let stream = job.call.stream();
        if let Some(conn) = conn {
            self.abort_link(conn);
        }
        // A read that ended otherwise may have left state behind; a client's leaving is no reason to hold it.
        let state_left = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionLost | Outcome::ServerError
        );
        if at == At::Read && state_left {
            self.release(id.clone(), worker, self.now);
        }
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
        let id = id.clone();
        self.events.push_back(Event::Verdict {
            id: id.clone(),
            attempt: no,
            outcome,
            elapsed,
            over,
            kept,
            report,
        });
        self.forget_done(&id);
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

    /// The answer is whole.
    fn serve(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.over()) else { return };
        let (client, usage, model) = (job.client, job.usage, job.call.model());
        let stop = job.stop_reason.clone().unwrap_or_else(|| "stop".into());
        let (stream, begun, text) =
            (job.call.stream(), matches!(job.answer, Answer::Begun), std::mem::take(&mut job.text));
        self.give(id, Ended::Served, String::new());
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

    fn give_error(&mut self, id: &RequestId, ended: Ended, status: u16, error: ErrorBody) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.over()) else { return };
        let (client, begun) = (job.client, matches!(job.answer, Answer::Begun));
        self.give(id, ended, error.reason.clone());
        if begun && self.config.dialect.is_some() {
            // What has begun and can't be ended well ends without its last chunk.
            self.close_client(client);
        } else if begun {
            self.end_stream(client, &ClientEvent::Broken { error });
        } else {
            self.answer_error(client, status, &error);
        }
        self.forget_done(id);
    }

    /// Notes that the final answer is given; the one place that does.
    fn give(&mut self, id: &RequestId, ended: Ended, reason: String) {
        let (now, remember) = (self.now, self.config.waits.identity);
        self.settle_budget(id, ended);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let phase = job.phase();
        let class = self.config.policy.classes.get(job.request.class.0);
        let once = class.is_none_or(|c| c.effect != p::Effect::Free);
        let until = (once && job.may_have_run()).then(|| now + remember);
        job.answer = Answer::Given { ended, phase, reason, at: now };
        if let Some(identity) = &job.identity {
            self.identities.end(identity, until);
        }
    }

    /// The client is gone: nothing more is owed, and no work goes on for it.
    pub(super) fn client_left(&mut self, id: &RequestId, ended: Ended) {
        if self.jobs.get(id).is_none_or(Job::over) {
            return;
        }
        self.give(id, ended, String::new());
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
            self.close_client(client);
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

    /// An open request as operators see it.
    pub(super) fn seen(&self, id: &RequestId, job: &Job) -> OpenRequest {
        let attempts = job.attempts.iter().map(|a| AttemptRecord {
            worker: a.worker.0.to_string(),
            stage: a.at.name(),
            outcome: a.ended.map_or("open", |(o, _)| outcome_name(o)),
            care: a.care,
            sent_us: since(a.sent, job.arrived),
            took_us: since(a.ended.map_or(self.now, |(_, end)| end), a.sent),
        });
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
            attempts: attempts.collect(),
        }
    }

    /// Once nothing is owed, out or held, the request is told of and forgotten.
    fn forget_done(&mut self, id: &RequestId) {
        let done = self.jobs.get(id).is_some_and(|j| j.over() && !j.out() && j.held.is_none());
        if !done {
            return;
        }
        self.drop_body(id);
        let Some(job) = self.jobs.remove(id) else { return };
        if let Some(key) = job.backstop {
            self.timers.cancel(key);
        }
        let Answer::Given { ended, phase, reason, at } = job.answer else { return };
        let name = |i: usize| self.config.tenants.get(i).map(|t| t.name.clone());
        let attempts = job.attempts.iter().map(|a| AttemptRecord {
            worker: a.worker.0.to_string(),
            stage: a.at.name(),
            outcome: a.ended.map_or("open", |(o, _)| outcome_name(o)),
            care: a.care,
            sent_us: since(a.sent, job.arrived),
            took_us: a.ended.map_or(0, |(_, end)| since(end, a.sent)),
        });
        let finished = Finished {
            id: id.0.to_string(),
            class: self.config.classes.get(job.request.class.0).map(|c| c.name.clone()).unwrap_or_default(),
            came_back: job.request.came_back,
            tenant: job.request.tenant.and_then(|t| name(t.0)),
            identity: job.identity.map(|(_, key)| key),
            ended,
            why: job.why,
            list_age_us: self.list_changed.map(|t| since(at, t)),
            open: self.jobs.len() + 1,
            phase,
            reason,
            attempts: attempts.collect(),
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
}
