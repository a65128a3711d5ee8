//! Replies of engines, read part by part.

use chalkyard_api::engine::{self, StreamItem};
use chalkyard_policy::{AttemptNo, Outcome, RequestId};
use chalkyard_proto::{sse, Head, Part, Start};

use super::discovery::report;
use super::job::{At, Reply};
use super::worker_connection::Task;
use super::{ConnId, Core};
use crate::dialect::{self, Told};

/// Bytes of an engine's error answer that are read.
const ERROR_BYTES: usize = 64 * 1024;

impl Core {
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
                if let Some(engine) = link.worker.as_ref().and_then(|w| self.engines.get_mut(w)) {
                    engine.heard = self.now;
                }
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

    /// A part of the reply to an attempt; true: go on reading.
    fn attempt_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let Task::Attempt(id, no, reply) = &mut link.task else { return false };
        let (id, no) = (id.clone(), *no);
        if self.jobs.get(&id).is_none_or(|j| j.attempts.len() <= no.0 as usize) {
            self.abort_link(conn);
            return false;
        }
        match (part, reply) {
            (Part::Head(head), _) if self.config.dialect.is_some() => self.dialect_head(conn, &id, no, &head),
            (Part::Head(head), _) => self.engine_head(conn, &id, no, &head),
            (Part::Data(data), Reply::Passing(..)) => self.pass(conn, &id, no, data),
            (Part::Data(data), Reply::Stream(reader)) => {
                let mut events = Vec::new();
                let whole = reader.push(&data, &mut events).is_ok();
                self.relay_events(conn, &id, no, &events, whole)
            }
            (Part::Data(data), Reply::Whole { body, .. }) => {
                if body.len() + data.len() <= ERROR_BYTES + engine::PARAMS_BYTES {
                    body.extend(data);
                    return true;
                }
                self.finish_reply(conn, &id, no, Outcome::ServerError, 0, true);
                false
            }
            (Part::End, Reply::Passing(beside, _)) => {
                let outcome = if beside.seen().begun { Outcome::Served } else { Outcome::ServerError };
                self.park_attempt(conn, &id, no);
                self.end_attempt(&id, no, outcome, 0);
                false
            }
            // The reply ended and its end marker never came: what was written may not be all.
            (Part::End, Reply::Stream(_)) => {
                self.finish_reply(conn, &id, no, Outcome::ConnectionLost, 0, true);
                false
            }
            (Part::End, Reply::Whole { status, body }) => {
                let (status, body) = (*status, std::mem::take(body));
                self.end_whole_reply(conn, &id, no, status, &body);
                false
            }
            (Part::Data(_) | Part::End, Reply::None) => false,
        }
    }

    /// The head of a reply, read by a dialect; true: go on reading.
    fn dialect_head(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, head: &Head) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let Some(attempt) = self.attempt_mut(id, no) else { return false };
        attempt.report = dialect.report(head);
        let stage = if attempt.at == At::Read { dialect::Stage::Read } else { dialect::Stage::Write };
        let reply = match dialect.told(stage, head) {
            Told::Stream => Reply::Passing(dialect.beside(), Vec::new()),
            Told::Read => Reply::Whole { status: 202, body: Vec::new() },
            Told::Over(outcome) => {
                self.finish_reply(conn, id, no, outcome, 0, false);
                return self.links.contains_key(&conn);
            }
        };
        self.expect(conn, reply);
        true
    }

    /// The head of an engine's reply; true: go on reading.
    fn engine_head(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, head: &Head) -> bool {
        let event_bytes = self.config.bounds.event_bytes;
        let Some(attempt) = self.attempt_mut(id, no) else { return false };
        attempt.report = report(head.header(engine::LOAD));
        let Start::Response { status } = head.start else { return false };
        let events = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        let reply = match (status, attempt.at, events) {
            (200, At::Pull | At::Whole, true) => Reply::Stream(Box::new(sse::Reader::new(event_bytes))),
            (200, At::Pull | At::Whole, false) => Reply::Whole { status: 500, body: Vec::new() },
            _ => Reply::Whole { status, body: Vec::new() },
        };
        self.expect(conn, reply);
        true
    }

    /// What follows on a connection after the head of its reply.
    fn expect(&mut self, conn: ConnId, reply: Reply) {
        if let Some(Task::Attempt(_, _, expected)) = self.links.get_mut(&conn).map(|l| &mut l.task) {
            *expected = reply;
        }
    }

    /// Relays events of a stream, the last of which may be followed by what is no event; true: go on reading.
    fn relay_events(
        &mut self,
        conn: ConnId,
        id: &RequestId,
        no: AttemptNo,
        events: &[sse::Event],
        whole: bool,
    ) -> bool {
        for event in events {
            match engine::stream_item(&event.data) {
                Ok(StreamItem::Chunk(chunk)) => self.chunk(id, no, chunk),
                Ok(StreamItem::Done) => {
                    self.finish_reply(conn, id, no, Outcome::Served, 0, false);
                    return self.links.contains_key(&conn);
                }
                Err(_) => {
                    self.finish_reply(conn, id, no, Outcome::ServerError, 0, true);
                    return false;
                }
            }
            // The chunk can have ended the request and with it this connection.
            if !self.links.contains_key(&conn) {
                return false;
            }
        }
        if !whole {
            self.finish_reply(conn, id, no, Outcome::ServerError, 0, true);
        }
        whole
    }

    /// A reply with a body that is read whole has ended.
    fn end_whole_reply(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, status: u16, body: &[u8]) {
        let Some(at) = self.attempt_mut(id, no).map(|a| a.at) else { return };
        let (outcome, kept) = match (status, at) {
            (202, At::Read) if self.config.dialect.is_some() => self.dialect_read(id, no, body),
            (200, At::Read) => self.engine_read(id, no, body),
            (429, _) => (Outcome::Rejected { no_state: false }, 0),
            (409, At::Pull) if engine::says_no_state(body) => (Outcome::Rejected { no_state: true }, 0),
            _ => (Outcome::ServerError, 0),
        };
        self.park_attempt(conn, id, no);
        if outcome == Outcome::Prefilled {
            self.keep_held(id);
        }
        self.end_attempt(id, no, outcome, kept);
    }

    /// A reader has read the prompt, as a dialect says: its outcome, and the prompt tokens that it found kept.
    fn dialect_read(&mut self, id: &RequestId, no: AttemptNo, body: &[u8]) -> (Outcome, u64) {
        let kept = self.config.dialect.as_ref().map_or(0, |d| d.kept(body));
        let worker = self.attempt_mut(id, no).map(|a| a.worker.clone());
        if let Some(job) = self.jobs.get_mut(id) {
            job.kept_at_reader = Some(kept);
        }
        if let Some(worker) = worker {
            self.hold(id, worker, None);
        }
        (Outcome::Prefilled, kept)
    }

    /// A reader has read the prompt, if its answer can be read: its outcome, and the prompt tokens that it found kept.
    fn engine_read(&mut self, id: &RequestId, no: AttemptNo, body: &[u8]) -> (Outcome, u64) {
        let Ok((usage, params)) = engine::read_answer(body) else { return (Outcome::ServerError, 0) };
        let worker = self.attempt_mut(id, no).map(|a| a.worker.clone());
        if let Some(job) = self.jobs.get_mut(id) {
            job.usage = usage;
            job.kept_at_reader = Some(usage.kept_tokens);
        }
        if let Some(worker) = worker {
            self.hold(id, worker, Some(params));
        }
        (Outcome::Prefilled, usage.kept_tokens)
    }

    /// The reply to an attempt has ended well: its connection may be used again.
    fn park_attempt(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo) {
        self.park(conn);
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = None;
        }
    }

    /// The attempt's end is known; the connection is closed, or read to the reply's end and used again.
    pub(super) fn finish_reply(
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
}
