//! Relay of answers from a worker to the client: translated, collected or forwarded, no faster than the client reads.

use chalkyard_api::client::{Event as ClientEvent, Usage};
use chalkyard_api::engine::Chunk;
use chalkyard_policy::{AttemptNo, Event, Outcome, RequestId};

use super::active_request::FinalAnswer;
use super::attempt::ReplyState;
use super::record::RequestOutcome;
use super::worker_connection::Task;
use super::{ConnId, Core, Output, TimerEvent};
use crate::dialect::StreamProgress;

impl Core {
    /// Forwards bytes of a stream unchanged, once its first event is complete. Returns true to go on reading.
    pub(super) fn forward_bytes(
        &mut self,
        conn: ConnId,
        id: &RequestId,
        no: AttemptNo,
        data: Vec<u8>,
    ) -> bool {
        let max_buffered = self.config.bounds.event_bytes;
        let task = self.connections.get_mut(&conn).map(|c| &mut c.task);
        let Some(Task::Attempt(_, _, ReplyState::Forwarding { observer, buffered })) = task else {
            return false;
        };
        observer.push(&data);
        let progress = observer.progress();
        let data = if buffered.is_empty() {
            data
        } else {
            buffered.extend_from_slice(&data);
            std::mem::take(buffered)
        };
        if !progress.begun {
            *buffered = data;
            if buffered.len() > max_buffered {
                self.fail_reply(conn, id, no, Outcome::ServerError);
                return false;
            }
            return true;
        }
        let Some(is_first) = self.advance_answer(id, no) else { return self.connections.contains_key(&conn) };
        let Some(client) = self.record_progress(id, no, &progress) else { return false };
        if is_first {
            // No further attempt can follow.
            self.drop_request_body(id);
        }
        self.write_forwarded(client, is_first, &data);
        if is_first {
            self.cancel_others(id, no);
        }
        self.pause_if_full(id, no, client);
        self.connections.contains_key(&conn)
    }

    /// Records the progress that a forwarded stream has reported, and returns its client.
    fn record_progress(
        &mut self,
        id: &RequestId,
        no: AttemptNo,
        progress: &StreamProgress,
    ) -> Option<ConnId> {
        let request = self.requests.get_mut(id)?;
        request.answer = FinalAnswer::Streaming;
        request.pieces = progress.events;
        if let Some(usage) = progress.usage {
            request.usage = Usage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.cached_tokens,
                output_tokens: usage.output_tokens,
            };
        }
        if let Some(attempt) = request.attempts.get_mut(no.0 as usize) {
            attempt.report = progress.report.or(attempt.report);
        }
        Some(request.client)
    }

    /// Advances an answer. Returns whether the answer has just begun, or `None` if it was already given or if another
    /// attempt answers and this one was cancelled.
    fn advance_answer(&mut self, id: &RequestId, no: AttemptNo) -> Option<bool> {
        let (now, timeout) = (self.now, self.config.timeouts.stream);
        let request = self.requests.get_mut(id).filter(|r| !r.is_answered())?;
        let index = no.0 as usize;
        let is_first = request.answering_attempt.is_none();
        if *request.answering_attempt.get_or_insert(index) != index {
            self.end_attempt(id, no, Outcome::Cancelled, 0);
            return None;
        }
        let is_streamed = request.call.is_streamed();
        if let Some(attempt) = request.attempts.get_mut(index) {
            let timer = self.timers.set(now + timeout, TimerEvent::Stream(id.clone(), no));
            if let Some(old) = attempt.stream_timer.replace(timer) {
                self.timers.cancel(old);
            }
            // From now on a stream has no deadline and lasts as long as its client reads it; an answer in one body
            // keeps its deadline.
            if let Some(key) = attempt.timer.take_if(|_| is_streamed) {
                self.timers.cancel(key);
            }
            if is_first {
                let elapsed = now - attempt.sent_at;
                self.events.push_back(Event::Streaming { id: id.clone(), attempt: no, elapsed });
            }
        }
        if is_first {
            request.first_token_at = Some(now);
            request.released_during_decode = None;
            // The first token shows that the state was pulled, and the workers release whatever else is reserved.
            self.take_reservation(id);
            self.withdraw_releases(id);
        }
        Some(is_first)
    }

    /// Relays a chunk of an answer as an event, or collects it for an answer in one body.
    pub(super) fn relay_chunk(&mut self, id: &RequestId, no: AttemptNo, chunk: Chunk) {
        let max_text = self.config.bounds.answer_bytes;
        let Some(is_first) = self.advance_answer(id, no) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_streamed = request.call.is_streamed();
        if let Some(usage) = chunk.usage {
            request.usage = usage;
        }
        request.stop_reason = chunk.stop_reason.or(request.stop_reason.take());
        request.pieces += u64::from(!chunk.text.is_empty());
        let client = request.client;
        let model = if is_first { request.call.model() } else { String::new() };
        if !is_streamed {
            request.text.push_str(&chunk.text);
            if request.text.len() > max_text {
                let reason = "the answer is longer than its bound".into();
                self.answer_failure(id, RequestOutcome::Broken, 502, reason);
                self.end_attempt(id, no, Outcome::Cancelled, 0);
            }
            return;
        }
        if is_first {
            request.answer = FinalAnswer::Streaming;
            self.open_stream(client, id, &model);
        }
        if !chunk.text.is_empty() {
            self.stream_event(client, &ClientEvent::Delta { text: &chunk.text });
        }
        if is_first {
            self.cancel_others(id, no);
        }
        self.pause_if_full(id, no, client);
    }

    /// Pauses reading from the worker if the client reads its answer more slowly than it arrives.
    fn pause_if_full(&mut self, id: &RequestId, no: AttemptNo, client: ConnId) {
        if !self.is_send_buffer_full(client) {
            return;
        }
        let Some(request) = self.requests.get_mut(id).filter(|r| !r.worker_paused) else { return };
        if let Some(conn) = request.attempts.get(no.0 as usize).and_then(|a| a.conn) {
            request.worker_paused = true;
            self.outputs.push(Output::Pause(conn));
            self.set_slow_client_timer(client);
        }
    }

    /// Resumes reading from the worker after the client has read enough of its answer.
    pub(super) fn resume_worker(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.worker_paused) else { return };
        request.worker_paused = false;
        let attempt = request.answering_attempt.and_then(|index| request.attempts.get(index));
        if let Some(conn) = attempt.and_then(|a| a.conn) {
            self.outputs.push(Output::Resume(conn));
        }
    }
}
