//! One attempt of a client: sent to a router, and its answer read.

use chalkyard_proto::{sse, Decoder, Limits, Part, Side, StartLine};
use rand::Rng;
use serde_json::Value;

use super::request::ClientRequest;
use super::{Clients, IDLE_CONNECTIONS, PATIENCE, STREAM_SILENCE};
use crate::network::{ConnectionId, Network};
use crate::record::{Answer, Event, Recorder, RetrySafety};

/// The largest answer that is read.
const ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// The largest event of a stream that is read.
const EVENT_BYTES: usize = 1024 * 1024;

pub(super) struct ClientAttempt {
    pub number: u64,
    pub request: ClientRequest,
    /// Index of its router.
    pub router: usize,
    /// What is still to be sent.
    pub bytes: Vec<u8>,
    decoder: Decoder,
    events: sse::Parser,
    status: u16,
    body: Vec<u8>,
    pub sent: bool,
    streams: bool,
    first_token: bool,
    tokens: u64,
    text: String,
    pub answered: bool,
    /// Of a stream: the answer by its last event, and whether the request may have been executed. It counts once the
    /// message is complete.
    stream_end: Option<(Answer, bool)>,
    pub deadline: u64,
    /// When its client closes the connection early.
    pub leaves: Option<u64>,
    last_received: u64,
}

/// The answer, whether the request may have been executed, and after how many seconds the client may try again.
struct FinalAnswer {
    how: Answer,
    may_have_run: bool,
    retry_after_s: f64,
}

impl ClientAttempt {
    pub fn new(
        number: u64,
        request: ClientRequest,
        router: usize,
        bytes: Vec<u8>,
        now: u64,
        deadline: u64,
    ) -> Self {
        let limits = Limits { body_bytes: ANSWER_BYTES, ..Limits::default() };
        Self {
            number,
            request,
            router,
            bytes,
            decoder: Decoder::new(Side::Response, limits),
            events: sse::Parser::new(EVENT_BYTES),
            status: 0,
            body: Vec::new(),
            sent: false,
            streams: false,
            first_token: false,
            tokens: 0,
            text: String::new(),
            answered: false,
            stream_end: None,
            deadline,
            leaves: None,
            last_received: now,
        }
    }

    /// When its client gives up at the latest: past the deadline, or after a silence of a begun stream.
    pub fn gives_up_at(&self) -> u64 {
        let last =
            if self.first_token { self.last_received + STREAM_SILENCE } else { self.deadline + PATIENCE };
        self.leaves.unwrap_or(u64::MAX).min(last)
    }

    /// The answer of a complete message; none if no event of its stream said how it ended.
    fn final_answer(&mut self) -> Option<FinalAnswer> {
        let json: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let may_have_run = json.pointer("/error/may_have_run").and_then(Value::as_bool).unwrap_or(true);
        let (how, may_have_run) = match (self.status, self.streams) {
            (200, true) => self.stream_end?,
            (200, false) => {
                self.text = json.get("content").and_then(Value::as_str).unwrap_or("").to_owned();
                self.tokens = json.pointer("/usage/output_tokens").and_then(Value::as_u64).unwrap_or(0);
                (Answer::Served, true)
            }
            (409, _) => (Answer::Duplicate, true),
            _ => match json.pointer("/error/type").and_then(Value::as_str) {
                Some("refused") => (Answer::Rejected, may_have_run),
                Some("failed") => (Answer::Failed, may_have_run),
                _ => (Answer::Invalid, may_have_run),
            },
        };
        let retry_after_s = json.pointer("/error/retry_after").and_then(Value::as_f64).unwrap_or(0.0);
        Some(FinalAnswer { how, may_have_run, retry_after_s })
    }

    fn receive_events(&mut self, data: &[u8], recorder: &mut Recorder) {
        let mut events = Vec::new();
        let _ = self.events.push(data, &mut events);
        for event in events {
            let json: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.name.as_str() {
                "message.opened" => {}
                "message.delta" => {
                    if !std::mem::replace(&mut self.first_token, true) {
                        recorder.add(Event::FirstToken { number: self.number });
                    }
                    self.tokens += 1;
                    self.text.push_str(json.get("text").and_then(Value::as_str).unwrap_or(""));
                }
                "message.closed" => self.stream_end = Some((Answer::Served, true)),
                "message.broken" => {
                    let ran = json.pointer("/error/may_have_run").and_then(Value::as_bool).unwrap_or(true);
                    self.stream_end = Some((Answer::Broken, ran));
                }
                // An event that is not documented breaks a rule: it is recorded as a second answer.
                _ => recorder.add(Event::Answer {
                    number: self.number,
                    how: Answer::Invalid,
                    may_have_run: true,
                    tokens: 0,
                }),
            }
        }
    }
}

impl Clients {
    /// Takes bytes of a connection.
    pub fn bytes(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let Some(mut attempt) = self.attempts.remove(&conn) else {
            // A further answer on a connection that has had its own.
            self.forget_idle(conn);
            return net.close(conn);
        };
        attempt.decoder.push(bytes);
        attempt.last_received = recorder.now;
        loop {
            match attempt.decoder.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Response { status } = head.start {
                        attempt.status = status;
                    }
                    let content_type = head.header("content-type");
                    attempt.streams = content_type.is_some_and(|c| c.starts_with("text/event-stream"));
                }
                Ok(Some(Part::Data(data))) if attempt.streams => attempt.receive_events(&data, recorder),
                Ok(Some(Part::Data(data))) => attempt.body.extend(data),
                Ok(Some(Part::End)) => {
                    self.complete(&mut attempt, recorder);
                    return self.reuse(conn, &attempt, net);
                }
                Ok(None) => break,
                Err(_) => {
                    net.close(conn);
                    recorder.add(Event::ConnectionLost { number: attempt.number });
                    return self.follow_up(&attempt, Answer::Failed, recorder.now);
                }
            }
        }
        self.attempts.insert(conn, attempt);
    }

    /// Keeps a connection for later requests if nothing is left on it.
    fn reuse(&mut self, conn: ConnectionId, attempt: &ClientAttempt, net: &mut dyn Network) {
        let clean = attempt.decoder.is_idle();
        let idle = self.idle.get_mut(attempt.router);
        match idle.filter(|idle| clean && idle.len() < IDLE_CONNECTIONS) {
            Some(idle) => idle.push(conn),
            None => net.close(conn),
        }
    }

    /// Records the final answer of a complete message, and does what its client does then.
    fn complete(&mut self, attempt: &mut ClientAttempt, recorder: &mut Recorder) {
        attempt.answered = true;
        let Some(FinalAnswer { how, may_have_run, retry_after_s }) = attempt.final_answer() else {
            return recorder.add(Event::ConnectionLost { number: attempt.number });
        };
        recorder.add(Event::Answer { number: attempt.number, how, may_have_run, tokens: attempt.tokens });
        let now = recorder.now;
        if how == Answer::Rejected {
            let retry_at = now as f64 + retry_after_s * 1e6;
            // A budget that is used up for the day is nothing to wait for.
            if retry_at > self.until as f64 + 5e6 {
                return;
            }
            if self.rng.random_bool(self.impatient.clamp(0.0, 1.0)) {
                return self.retry_at_once(attempt, now);
            }
            if retry_after_s > 0.0 && attempt.request.attempts < self.max_attempts {
                return self.retry(attempt.request.clone(), (retry_after_s * 1e6) as u64, now);
            }
        }
        self.follow_up(attempt, how, now);
    }

    /// What a client does after an answer: its next turn, another attempt, or nothing.
    pub(super) fn follow_up(&mut self, attempt: &ClientAttempt, how: Answer, now: u64) {
        let class = self.classes.get(attempt.request.class);
        let safety = class.map_or(RetrySafety::NonIdempotent, |c| c.retry_safety);
        match how {
            Answer::Served if attempt.request.turns_left > 0 => self.take_next_turn(attempt, now),
            Answer::Rejected => self.retry(attempt.request.clone(), 0, now),
            Answer::Failed | Answer::Broken if safety == RetrySafety::Idempotent => {
                self.retry(attempt.request.clone(), 0, now);
            }
            _ => {}
        }
    }

    fn take_next_turn(&mut self, attempt: &ClientAttempt, now: u64) {
        let text = self.draw_turn();
        let request = attempt.request.next_turn(self.next_number, attempt.text.clone(), text);
        self.schedule_turn(request, now);
    }
}
