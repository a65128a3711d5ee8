//! Answers on their way from an engine to the client: relayed, collected or passed on, and slowed down to its pace.

use chalkyard_api::client::{Event as ClientEvent, Usage};
use chalkyard_api::engine::Chunk;
use chalkyard_policy::{AttemptNo, Event, Outcome, RequestId};

use super::job::{Answer, Reply};
use super::record::Ended;
use super::worker_connection::Task;
use super::{ConnId, Core, Due, Output};

impl Core {
    /// Bytes of a stream, passed on as they are from its first whole event on; true: go on reading.
    pub(super) fn pass(&mut self, conn: ConnId, id: &RequestId, no: AttemptNo, data: Vec<u8>) -> bool {
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

    /// An answer goes on, or begins (true); none if this attempt is not, or no longer, the one that answers.
    pub(super) fn advance(&mut self, id: &RequestId, no: AttemptNo) -> Option<bool> {
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
            job.released_beside = None;
            // With the first token the state has moved, and whatever else was held goes by itself.
            self.take_held(id);
            self.keep_held(id);
        }
        Some(first)
    }

    /// A chunk of an answer, relayed as an event or kept for a whole answer.
    pub(super) fn chunk(&mut self, id: &RequestId, no: AttemptNo, chunk: Chunk) {
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
    pub(super) fn pause_if_full(&mut self, id: &RequestId, no: AttemptNo, client: ConnId) {
        if self.is_full(client) {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.paused) else { return };
            if let Some(conn) = job.attempts.get(no.0 as usize).and_then(|a| a.conn) {
                job.paused = true;
                self.out.push(Output::Pause(conn));
                self.watch_slow(client);
            }
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
}
