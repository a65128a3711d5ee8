//! Replies of workers, processed part by part.

use chalkyard_api::engine::{self, StreamItem};
use chalkyard_policy::{AttemptNo, Outcome, RequestId};
use chalkyard_proto::{sse, Head, Part, StartLine};

use super::attempt::{AttemptStage, ReplyState};
use super::load_report::load_report;
use super::worker_connection::Task;
use super::{ConnId, Core};
use crate::dialect::ReplyHead;

/// Maximum size of a worker's error body, bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

impl Core {
    /// Reads until the reply is complete or more bytes are needed.
    pub(super) fn read_replies(&mut self, conn: ConnId) {
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            let part = match connection.decoder.next_part() {
                Ok(Some(part)) => part,
                Ok(None) => return,
                Err(error) => return self.reply_unreadable(conn, error.reason),
            };
            if let Part::Head(head) = &part {
                connection.close_after_reply = !head.keep_alive;
                if let Some(endpoint) = connection.worker.as_ref().and_then(|w| self.workers.get_mut(w)) {
                    endpoint.last_reply_at = self.now;
                }
            }
            let read_on = match &connection.task {
                Task::Attempt(..) => self.attempt_reply_part(conn, part),
                Task::WatchEndpoints(_) => self.watch_reply_part(conn, part),
                Task::PollEndpoints(_) => self.poll_reply_part(conn, part),
                Task::Release(..) => self.release_reply_part(conn, part),
                Task::DrainReply if part == Part::End => {
                    self.return_to_pool(conn);
                    false
                }
                Task::DrainReply => true,
                Task::Idle => false,
            };
            if !read_on {
                return;
            }
        }
    }

    /// Processes a part of the reply to an attempt. Returns true to go on reading.
    fn attempt_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Task::Attempt(id, no, reply) = &mut connection.task else { return false };
        let (id, no) = (id.clone(), *no);
        if self.requests.get(&id).is_none_or(|r| r.attempts.len() <= no.0 as usize) {
            self.abort_connection(conn);
            return false;
        }
        match (part, reply) {
            (Part::Head(head), _) if self.config.dialect.is_some() => self.dialect_head(conn, &id, no, &head),
            (Part::Head(head), _) => self.engine_head(conn, &id, no, &head),
            (Part::Data(data), ReplyState::Forwarding { .. }) => self.forward_bytes(conn, &id, no, data),
            (Part::Data(data), ReplyState::Events(reader)) => {
                let mut events = Vec::new();
                let is_well_formed = reader.push(&data, &mut events).is_ok();
                self.relay_events(conn, &id, no, &events, is_well_formed)
            }
            (Part::Data(data), ReplyState::Body { body, .. }) => {
                if body.len() + data.len() <= MAX_ERROR_BYTES + engine::MAX_PARAMS_BYTES {
                    body.extend(data);
                    return true;
                }
                self.fail_reply(conn, &id, no, Outcome::ServerError);
                false
            }
            (Part::End, ReplyState::Forwarding { observer, .. }) => {
                let has_begun = observer.progress().begun;
                let outcome = if has_begun { Outcome::Served } else { Outcome::ServerError };
                self.finish_connection(conn, &id, no);
                self.end_attempt(&id, no, outcome, 0);
                false
            }
            // The reply has ended without its end marker, so the answer may be incomplete.
            (Part::End, ReplyState::Events(_)) => {
                self.fail_reply(conn, &id, no, Outcome::ConnectionLost);
                false
            }
            (Part::End, ReplyState::Body { status, body }) => {
                let (status, body) = (*status, std::mem::take(body));
                self.body_complete(conn, &id, no, status, &body);
                false
            }
            (Part::Data(_) | Part::End, ReplyState::AwaitingHead) => false,
        }
    }

    /// Processes the head of a reply in a dialect. Returns true to go on reading.
    fn dialect_head(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, head: &Head) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let Some(attempt) = self.attempt_mut(id, no) else { return false };
        attempt.report = dialect.load_report(head);
        let reply = match dialect.parse_reply(attempt.stage.obligation(), head) {
            ReplyHead::Stream => {
                ReplyState::Forwarding { observer: dialect.response_observer(), buffered: Vec::new() }
            }
            ReplyHead::Prefilled => ReplyState::Body { status: 202, body: Vec::new() },
            ReplyHead::Ended(outcome) => return self.end_before_reply(conn, id, no, outcome),
        };
        self.expect_reply(conn, reply);
        true
    }

    /// Processes the head of an engine's reply. Returns true to go on reading.
    fn engine_head(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, head: &Head) -> bool {
        let event_bytes = self.config.bounds.event_bytes;
        let Some(attempt) = self.attempt_mut(id, no) else { return false };
        attempt.report = load_report(head.header(engine::LOAD_HEADER));
        let StartLine::Response { status } = head.start else { return false };
        let is_event_stream = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        let reply = match (status, attempt.stage) {
            (200, AttemptStage::Decode | AttemptStage::Combined) if is_event_stream => {
                ReplyState::Events(Box::new(sse::Parser::new(event_bytes)))
            }
            (200, AttemptStage::Decode | AttemptStage::Combined) => {
                ReplyState::Body { status: 500, body: Vec::new() }
            }
            _ => ReplyState::Body { status, body: Vec::new() },
        };
        self.expect_reply(conn, reply);
        true
    }

    /// Sets what is read from a connection after the head of its reply.
    fn expect_reply(&mut self, conn: ConnId, reply: ReplyState) {
        let task = self.connections.get_mut(&conn).map(|c| &mut c.task);
        if let Some(Task::Attempt(_, _, expected)) = task {
            *expected = reply;
        }
    }

    /// Relays events of a stream. If `is_well_formed` is false, bytes that are no event follow the events. Returns
    /// true to go on reading.
    fn relay_events(
        &mut self,
        conn: ConnId,
        id: &RequestId,
        no: AttemptNo,
        events: &[sse::Event],
        is_well_formed: bool,
    ) -> bool {
        for event in events {
            match engine::parse_stream_item(&event.data) {
                Ok(StreamItem::Chunk(chunk)) => self.relay_chunk(id, no, chunk),
                Ok(StreamItem::Done) => return self.end_before_reply(conn, id, no, Outcome::Served),
                Err(_) => {
                    self.fail_reply(conn, id, no, Outcome::ServerError);
                    return false;
                }
            }
            // The chunk may have ended the request, and with it this connection.
            if !self.connections.contains_key(&conn) {
                return false;
            }
        }
        if !is_well_formed {
            self.fail_reply(conn, id, no, Outcome::ServerError);
        }
        is_well_formed
    }

    /// Processes the complete body of a reply.
    fn body_complete(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, status: u16, body: &[u8]) {
        let Some(stage) = self.attempt_mut(id, no).map(|a| a.stage) else { return };
        let (outcome, cached_tokens) = match (status, stage) {
            (202, AttemptStage::Prefill) if self.config.dialect.is_some() => {
                self.dialect_prefilled(id, no, body)
            }
            (200, AttemptStage::Prefill) => self.engine_prefilled(id, no, body),
            (429, _) => (Outcome::Rejected { no_state: false }, 0),
            (409, AttemptStage::Decode) if engine::is_no_state_error(body) => {
                (Outcome::Rejected { no_state: true }, 0)
            }
            _ => (Outcome::ServerError, 0),
        };
        self.finish_connection(conn, id, no);
        if outcome == Outcome::Prefilled {
            self.withdraw_releases(id);
        }
        self.end_attempt(id, no, outcome, cached_tokens);
    }

    /// Records a completed prefill in a dialect. Returns its outcome and the number of cached tokens.
    fn dialect_prefilled(&mut self, id: &RequestId, no: AttemptNo, body: &[u8]) -> (Outcome, u64) {
        let cached_tokens = self.config.dialect.as_ref().map_or(0, |d| d.cached_tokens(body));
        let worker = self.attempt_mut(id, no).map(|a| a.worker.clone());
        if let Some(request) = self.requests.get_mut(id) {
            request.cached_at_prefill = Some(cached_tokens);
        }
        if let Some(worker) = worker {
            self.reserve(id, worker, None);
        }
        (Outcome::Prefilled, cached_tokens)
    }

    /// Records a completed prefill if its answer can be parsed. Returns its outcome and the number of cached tokens.
    fn engine_prefilled(&mut self, id: &RequestId, no: AttemptNo, body: &[u8]) -> (Outcome, u64) {
        let Ok((usage, transfer_params)) = engine::parse_prefill_answer(body) else {
            return (Outcome::ServerError, 0);
        };
        let worker = self.attempt_mut(id, no).map(|a| a.worker.clone());
        if let Some(request) = self.requests.get_mut(id) {
            request.usage = usage;
            request.cached_at_prefill = Some(usage.cached_tokens);
        }
        if let Some(worker) = worker {
            self.reserve(id, worker, Some(transfer_params));
        }
        (Outcome::Prefilled, usage.cached_tokens)
    }

    /// Returns the connection to the pool after the complete reply to an attempt.
    fn finish_connection(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo) {
        self.return_to_pool(conn);
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = None;
        }
    }

    /// Ends an attempt whose outcome is known before its reply is complete. The rest of the reply is read so that the
    /// connection can be reused. Returns true to go on reading.
    fn end_before_reply(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, outcome: Outcome) -> bool {
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = None;
        }
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.task = Task::DrainReply;
            self.limit_reply(conn);
        }
        self.end_attempt(id, no, outcome, 0);
        self.connections.contains_key(&conn)
    }

    /// Ends an attempt whose reply is unusable, and closes its connection.
    pub(super) fn fail_reply(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, outcome: Outcome) {
        if let Some(attempt) = self.attempt_mut(id, no) {
            attempt.conn = None;
        }
        self.abort_connection(conn);
        self.end_attempt(id, no, outcome, 0);
    }
}
