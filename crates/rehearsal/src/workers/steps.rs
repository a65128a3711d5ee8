//! Steps of the fake workers' engines: what they bring forth, and how answers are written.

use chalkyard_proto::{encode, sse};
use rand::Rng;

use super::{FakeWorker, FakeWorkers, REPORT_INTERVAL};
use crate::engine::{Load, Progress};
use crate::network::{ConnectionId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, RetrySafety};

/// A pause begins again this long after the end of the one before, µs.
const PAUSE_GAP: u64 = 700_000;
/// An engine that ages gets slower by this factor a step.
const AGEING_FACTOR: f64 = 1.004;

impl FakeWorker {
    /// Faults that act from step to step.
    fn apply_faults(&mut self, now: u64) {
        if self.faults.pauses > 0.0 && now >= self.engine.paused_until + PAUSE_GAP {
            self.engine.paused_until = now + (self.faults.pauses * 1e6) as u64;
        }
        if self.faults.ageing > 0.0 {
            self.engine.slow = (self.engine.slow * AGEING_FACTOR).min(self.faults.ageing);
        }
    }

    /// Makes the load report anew, if it is time.
    fn report_load(&mut self, now: u64) {
        if now < self.reported + REPORT_INTERVAL || self.faults.report_late {
            return;
        }
        self.reported = now;
        let Load { slots, memory, in_flight, queued, waiting_tokens } = self.engine.load();
        let latency_ms = self.engine.latency / 1e3;
        self.report = format!(
            "JSON {{\"cpu_utilization\":{slots:.3},\"mem_utilization\":{memory:.3},\"named_metrics\":{{\"in_flight\":{in_flight},\"queue_depth\":{queued},\"latency_ms\":{latency_ms:.1},\"waiting_tokens\":{waiting_tokens}}}}}"
        );
    }
}

impl FakeWorkers {
    /// Runs the step of a worker's engine that is due, and its load report.
    pub(super) fn step(&mut self, i: usize, net: &mut dyn Network, recorder: &mut Recorder) {
        let now = recorder.now;
        let Some(worker) = self.workers.get_mut(i).filter(|w| w.up) else { return };
        worker.apply_faults(now);
        let warmth = worker.engine.warmth(now, self.limits.cold_from, self.limits.cold_us);
        let progress = worker.engine.step(now, warmth);
        worker.report_load(now);
        for part in progress {
            match part {
                Progress::PrefillDone { id, cached } => self.prefill_done(i, id, cached, net, recorder),
                Progress::Began { id, cached } => self.began(i, id, cached, net, recorder),
                Progress::Token { id, last } => self.token(i, id, last, net, recorder),
            }
        }
    }

    fn prefill_done(
        &mut self,
        i: usize,
        attempt_id: u64,
        cached: u64,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let lost = self.is_lost(i);
        let Some(worker) = self.workers.get_mut(i) else { return };
        let Some(mut attempt) = worker.attempts.remove(&attempt_id) else { return };
        (attempt.prefilled, attempt.cached, attempt.generated) = (true, cached, 1);
        attempt.record_work(attempt_id, &worker.id, recorder);
        worker.engine.reserve(&attempt.request, attempt.prompt, recorder.now);
        recorder.add(Event::Reserved { engine: worker.id.clone(), request: attempt.request.clone() });
        if lost {
            recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Down });
            return self.drop_connection(i, attempt.conn, net);
        }
        recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Answered });
        let body = serde_json::json!({
            "id": attempt.request, "object": "text_completion",
            "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
            "usage": {"prompt_tokens": attempt.prompt, "completion_tokens": 1,
                      "prompt_tokens_details": {"cached_tokens": cached}},
            "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false,
                "remote_engine_id": worker.id, "remote_request_id": attempt.request},
        });
        self.reply(i, attempt.conn, 200, body.to_string().as_bytes(), net);
    }

    pub(super) fn is_lost(&mut self, i: usize) -> bool {
        let share = self.workers.get(i).map_or(0.0, |h| h.faults.answer_lost);
        share > 0.0 && self.rng.random_bool(share.clamp(0.0, 1.0))
    }

    fn began(
        &mut self,
        i: usize,
        attempt_id: u64,
        cached: u64,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let lost = self.is_lost(i);
        let Some(worker) = self.workers.get_mut(i) else { return };
        let cell = worker.cell;
        let Some(attempt) = worker.attempts.get_mut(&attempt_id) else { return };
        let (request, from, conn) = (attempt.request.clone(), attempt.source, attempt.conn);
        if let Some(from) = from {
            // The state must still be there when it has been fetched.
            let holder = self.workers.get_mut(from).filter(|h| h.up && h.engine.has_reserved(&request));
            let Some(holder) = holder else {
                if let Some(worker) = self.workers.get_mut(i) {
                    worker.attempts.remove(&attempt_id);
                    worker.engine.drop_work(attempt_id);
                }
                return self.reject(i, conn, attempt_id, AttemptEnd::NoState, net, recorder);
            };
            holder.engine.release(&request, recorder.now);
            recorder.add(Event::Released { engine: holder.id.clone(), request, how: ReleaseCause::Pulled });
        }
        let Some(attempt) = self.workers.get_mut(i).and_then(|h| h.attempts.get_mut(&attempt_id)) else {
            return;
        };
        attempt.cached = cached;
        attempt.answer_lost = lost;
        let class = self.classes.get(attempt.class);
        if class.is_some_and(|c| c.retry_safety == RetrySafety::Deduplicated) {
            // The group discards a repeat within the window: it is answered and has no effect.
            let window = class.map_or(0, |c| c.deduplication_window_us);
            let key = (cell, attempt.identity.clone());
            if self.executions.get(&key).is_some_and(|at| at + window > recorder.now) {
                return;
            }
            self.executions.insert(key, recorder.now);
        }
        recorder.add(Event::AttemptRan { attempt: attempt_id });
    }

    fn token(
        &mut self,
        i: usize,
        attempt_id: u64,
        last: bool,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let Some(worker) = self.workers.get_mut(i) else { return };
        let report = worker.report.clone();
        let Some(attempt) = worker.attempts.get_mut(&attempt_id) else { return };
        attempt.generated += 1;
        attempt.prefilled = true;
        if last {
            attempt.record_work(attempt_id, &worker.id, recorder);
        }
        let conn = attempt.conn;
        if attempt.answer_lost {
            if last {
                worker.attempts.remove(&attempt_id);
                recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Down });
                self.drop_connection(i, conn, net);
            }
            return;
        }
        let mut bytes = Vec::new();
        if !std::mem::replace(&mut attempt.head_sent, true) {
            let fields = [("content-type", "text/event-stream"), ("endpoint-load-metrics", report.as_str())];
            bytes = encode::chunked_head(200, &fields, true);
        }
        let mut event = Vec::new();
        let finish = if last { "\"stop\"" } else { "null" };
        let text = format!(
            "{{\"choices\":[{{\"index\":0,\"text\":\" w{}\",\"finish_reason\":{finish}}}]}}",
            attempt.generated
        );
        sse::write(&mut event, "", None, &text);
        if last {
            let usage = format!(
                "{{\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":{}}}}}}}",
                attempt.prompt, attempt.generated, attempt.cached
            );
            sse::write(&mut event, "", None, &usage);
            sse::write(&mut event, "", None, "[DONE]");
        }
        encode::chunk(&mut bytes, &event);
        if last {
            bytes.extend_from_slice(encode::LAST_CHUNK);
            worker.attempts.remove(&attempt_id);
            if let Some(connection) = worker.conns.get_mut(&conn) {
                connection.attempt = None;
            }
            recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Answered });
        }
        net.send(conn, &bytes);
    }

    pub(super) fn drop_connection(&mut self, i: usize, conn: ConnectionId, net: &mut dyn Network) {
        net.close(conn);
        self.conns.remove(&conn);
        if let Some(worker) = self.workers.get_mut(i) {
            worker.conns.remove(&conn);
        }
    }

    pub(super) fn reply(
        &mut self,
        i: usize,
        conn: ConnectionId,
        status: u16,
        body: &[u8],
        net: &mut dyn Network,
    ) {
        let Some(worker) = self.workers.get_mut(i) else { return };
        let fields =
            [("content-type", "application/json"), ("endpoint-load-metrics", worker.report.as_str())];
        net.send(conn, &encode::response(status, &fields, body, true));
        if let Some(connection) = worker.conns.get_mut(&conn) {
            connection.attempt = None;
        }
    }

    pub(super) fn reject(
        &mut self,
        i: usize,
        conn: ConnectionId,
        attempt_id: u64,
        how: AttemptEnd,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        recorder.add(Event::AttemptEnded { attempt: attempt_id, how });
        let (status, kind) = match how {
            AttemptEnd::Rejected => (429, "full"),
            AttemptEnd::NoState => (409, "no_state"),
            _ => (500, "internal"),
        };
        let body = format!("{{\"error\":{{\"type\":\"{kind}\",\"message\":\"{kind}\"}}}}");
        self.reply(i, conn, status, body.as_bytes(), net);
    }
}
