//! Steps of the stand-in engines: what they bring, and how replies are written and broken off.

use chalkyard_proto::{encode, sse};
use rand::Rng;

use super::{Fleet, REPORT_EVERY};
use crate::engine::Progress;
use crate::network::{ConnectionId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, RetrySafety};

impl Fleet {
    pub(super) fn step(&mut self, i: usize, net: &mut dyn Network, recorder: &mut Recorder) {
        let now = recorder.now;
        let (from, cold_us) = (self.limits.cold_from, self.limits.cold_us);
        let progress = {
            let Some(host) = self.hosts.get_mut(i).filter(|h| h.up) else { return };
            if host.troubles.pauses > 0.0 && now >= host.engine.paused_until + 700_000 {
                host.engine.paused_until = now + (host.troubles.pauses * 1e6) as u64;
            }
            if host.troubles.ageing > 0.0 {
                host.engine.slow = (host.engine.slow * 1.004).min(host.troubles.ageing);
            }
            let warmth = host.engine.warmth(now, from, cold_us);
            let progress = host.engine.step(now, warmth);
            if now >= host.reported + REPORT_EVERY && !host.troubles.report_late {
                host.reported = now;
                let (slots, memory, in_flight, queued, waiting) = host.engine.load();
                host.report = format!(
                    "JSON {{\"cpu_utilization\":{slots:.3},\"mem_utilization\":{memory:.3},\"named_metrics\":{{\"in_flight\":{in_flight},\"queue_depth\":{queued},\"latency_ms\":{:.1},\"waiting_tokens\":{waiting}}}}}",
                    host.engine.latency / 1e3
                );
            }
            progress
        };
        for p in progress {
            match p {
                Progress::Read { no, kept: cached } => self.read_done(i, no, cached, net, recorder),
                Progress::Began { no, kept: cached } => self.began(i, no, cached, net, recorder),
                Progress::Token { no, last } => self.token(i, no, last, net, recorder),
            }
        }
    }

    fn read_done(&mut self, i: usize, no: u64, cached: u64, net: &mut dyn Network, recorder: &mut Recorder) {
        let lost = self.is_lost(i);
        let Some(host) = self.hosts.get_mut(i) else { return };
        let Some(mut attempt) = host.attempts.remove(&no) else { return };
        (attempt.read, attempt.cached, attempt.written) = (true, cached, 1);
        attempt.work(no, &host.id, recorder);
        host.engine.hold(&attempt.request, attempt.prompt, recorder.now);
        recorder.add(Event::Reserved { engine: host.id.clone(), request: attempt.request.clone() });
        if lost {
            recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Down });
            return self.break_off(i, attempt.conn, net);
        }
        recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Answered });
        let body = serde_json::json!({
            "id": attempt.request, "object": "text_completion",
            "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
            "usage": {"prompt_tokens": attempt.prompt, "completion_tokens": 1,
                      "prompt_tokens_details": {"cached_tokens": cached}},
            "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false,
                "remote_engine_id": host.id, "remote_request_id": attempt.request},
        });
        self.reply(i, attempt.conn, 200, body.to_string().as_bytes(), net);
    }

    pub(super) fn is_lost(&mut self, i: usize) -> bool {
        let share = self.hosts.get(i).map_or(0.0, |h| h.troubles.lost);
        share > 0.0 && self.rng.random_bool(share.clamp(0.0, 1.0))
    }

    fn began(&mut self, i: usize, no: u64, cached: u64, net: &mut dyn Network, recorder: &mut Recorder) {
        let lost = self.is_lost(i);
        let Some(host) = self.hosts.get_mut(i) else { return };
        let cell = host.cell;
        let Some(attempt) = host.attempts.get_mut(&no) else { return };
        let (request, from, conn) = (attempt.request.clone(), attempt.from, attempt.conn);
        if let Some(from) = from {
            // The state must still be there when it has been fetched.
            let holder = self.hosts.get_mut(from).filter(|h| h.up && h.engine.holds(&request).is_some());
            let Some(holder) = holder else {
                if let Some(host) = self.hosts.get_mut(i) {
                    host.attempts.remove(&no);
                    host.engine.drop_work(no);
                }
                return self.turn_away(i, conn, no, AttemptEnd::NoState, net, recorder);
            };
            holder.engine.free(&request, recorder.now);
            recorder.add(Event::Released { engine: holder.id.clone(), request, how: ReleaseCause::Pulled });
        }
        let Some(attempt) = self.hosts.get_mut(i).and_then(|h| h.attempts.get_mut(&no)) else { return };
        attempt.cached = cached;
        attempt.lost = lost;
        let class = self.classes.get(attempt.class);
        if class.is_some_and(|c| c.retry_safety == RetrySafety::Deduplicated) {
            // The group discards a repeat within the window: it is answered and has no effect.
            let window = class.map_or(0, |c| c.deduplication_window_us);
            let key = (cell, attempt.identity.clone());
            if self.ran.get(&key).is_some_and(|at| at + window > recorder.now) {
                return;
            }
            self.ran.insert(key, recorder.now);
        }
        recorder.add(Event::AttemptRan { attempt: no });
    }

    fn token(&mut self, i: usize, no: u64, last: bool, net: &mut dyn Network, recorder: &mut Recorder) {
        let Some(host) = self.hosts.get_mut(i) else { return };
        let report = host.report.clone();
        let Some(attempt) = host.attempts.get_mut(&no) else { return };
        attempt.written += 1;
        attempt.read = true;
        if last {
            attempt.work(no, &host.id, recorder);
        }
        let conn = attempt.conn;
        if attempt.lost {
            if last {
                host.attempts.remove(&no);
                recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Down });
                self.break_off(i, conn, net);
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
            attempt.written
        );
        sse::write(&mut event, "", None, &text);
        if last {
            let usage = format!(
                "{{\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":{}}}}}}}",
                attempt.prompt, attempt.written, attempt.cached
            );
            sse::write(&mut event, "", None, &usage);
            sse::write(&mut event, "", None, "[DONE]");
        }
        encode::chunk(&mut bytes, &event);
        if last {
            bytes.extend_from_slice(encode::LAST_CHUNK);
            host.attempts.remove(&no);
            if let Some(peer) = host.conns.get_mut(&conn) {
                peer.attempt = None;
            }
            recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Answered });
        }
        net.send(conn, &bytes);
    }

    pub(super) fn break_off(&mut self, i: usize, conn: ConnectionId, net: &mut dyn Network) {
        net.close(conn);
        self.conns.remove(&conn);
        if let Some(host) = self.hosts.get_mut(i) {
            host.conns.remove(&conn);
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
        let Some(host) = self.hosts.get_mut(i) else { return };
        let fields = [("content-type", "application/json"), ("endpoint-load-metrics", host.report.as_str())];
        net.send(conn, &encode::response(status, &fields, body, true));
        if let Some(peer) = host.conns.get_mut(&conn) {
            peer.attempt = None;
        }
    }

    pub(super) fn turn_away(
        &mut self,
        i: usize,
        conn: ConnectionId,
        no: u64,
        how: AttemptEnd,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        recorder.add(Event::AttemptEnded { attempt: no, how });
        let (status, kind) = match how {
            AttemptEnd::Rejected => (429, "full"),
            AttemptEnd::NoState => (409, "no_state"),
            _ => (500, "internal"),
        };
        let body = format!("{{\"error\":{{\"type\":\"{kind}\",\"message\":\"{kind}\"}}}}");
        self.reply(i, conn, status, body.as_bytes(), net);
    }

    // ---- Sockets.
}
