//! Calls of routers: connections taken and lost, bytes read, completions begun.

use chalkyard_proto::{Decoder, Head, Limits, Part, Side, Start};
use rand::Rng;

use super::{header, router_of, Attempt, Call, Fleet, Peer, FAR, NEAR};
use crate::engine::{blocks, Role, Work, TOKEN_BYTES};
use crate::network::{ConnectionId, ListenerId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, Stage};

impl Fleet {
    /// Whether the listener was one of the fleet's; then the connection is too.
    pub fn accepted(&mut self, listener: ListenerId, conn: ConnectionId, recorder: &mut Recorder) -> bool {
        let decoder =
            Decoder::new(Side::Request, Limits { body_bytes: 8 * 1024 * 1024, ..Limits::default() });
        if self.register_listeners.contains(&listener) {
            self.watchers.insert(conn, (decoder, None));
            return true;
        }
        let Some(i) = self.listeners.get(&listener).copied() else { return false };
        self.conns.insert(conn, i);
        if let Some(host) = self.hosts.get_mut(i) {
            recorder.add(Event::Connect { engine: host.id.clone() });
            host.conns.insert(conn, Peer { decoder, head: None, body: Vec::new(), attempt: None });
        }
        true
    }

    pub fn gone(&mut self, conn: ConnectionId, recorder: &mut Recorder) {
        self.watchers.remove(&conn);
        let Some(host) = self.conns.remove(&conn).and_then(|i| self.hosts.get_mut(i)) else { return };
        let no = host.conns.remove(&conn).and_then(|p| p.attempt);
        if let Some(no) = no {
            if let Some(attempt) = host.attempts.remove(&no) {
                attempt.work(no, &host.id, recorder);
                host.engine.drop_work(no);
                recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Closed });
            }
        }
    }

    pub fn bytes(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        if let Some((decoder, _)) = self.watchers.get_mut(&conn) {
            decoder.push(bytes);
            if let Ok(Some(Part::Head(head))) = decoder.next_part() {
                self.watch(conn, &head, net, recorder);
            }
            return;
        }
        let Some(i) = self.conns.get(&conn).copied() else { return };
        if let Some(peer) = self.hosts.get_mut(i).and_then(|h| h.conns.get_mut(&conn)) {
            peer.decoder.push(bytes);
        }
        loop {
            let Some(peer) = self.hosts.get_mut(i).and_then(|h| h.conns.get_mut(&conn)) else { return };
            match peer.decoder.next_part() {
                Ok(Some(Part::Head(head))) => peer.head = Some(head),
                Ok(Some(Part::Data(data))) => peer.body.extend(data),
                Ok(Some(Part::End)) => {
                    let (head, body) = (peer.head.take(), std::mem::take(&mut peer.body));
                    if let Some(head) = head {
                        self.call(i, conn, &head, &body, net, recorder);
                    }
                }
                Ok(None) => return,
                Err(_) => return self.break_off(i, conn, net),
            }
        }
    }

    fn call(
        &mut self,
        i: usize,
        conn: ConnectionId,
        head: &Head,
        body: &[u8],
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let Start::Request { target, .. } = &head.start else { return };
        match target.as_str() {
            "/v1/completions" => self.complete(i, conn, head, body, net, recorder),
            "/v1/kv/release" => {
                let request = header(head, "x-request-id");
                let Some(host) = self.hosts.get_mut(i) else { return };
                if host.engine.free(&request, recorder.now) {
                    recorder.add(Event::Released {
                        engine: host.id.clone(),
                        request,
                        how: ReleaseCause::Released,
                    });
                }
                self.reply(i, conn, 200, b"{}", net);
            }
            _ => self.reply(i, conn, 404, b"{}", net),
        }
    }

    fn complete(
        &mut self,
        i: usize,
        conn: ConnectionId,
        head: &Head,
        body: &[u8],
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let call: Call = match serde_json::from_slice(body) {
            Ok(call) => call,
            Err(_) => return self.reply(i, conn, 400, b"{}", net),
        };
        let read = call.kv_transfer_params.as_ref().is_some_and(|p| p.do_remote_decode);
        let source = call
            .kv_transfer_params
            .as_ref()
            .and_then(|p| p.remote_engine_id.clone().zip(p.remote_request_id.clone()));
        let stage = match (&source, read) {
            (Some(_), _) => Stage::Decode,
            (None, true) => Stage::Prefill,
            (None, false) => Stage::Combined,
        };
        let no = self.next_attempt;
        self.next_attempt += 1;
        let (request, identity, class) =
            (header(head, "x-request-id"), header(head, "idempotency-key"), header(head, "x-class"));
        let Some(host) = self.hosts.get_mut(i) else { return };
        recorder.add(Event::AttemptArrived {
            attempt: no,
            engine: host.id.clone(),
            router: router_of(head),
            request: request.clone(),
            identity: identity.clone(),
            class: class.clone(),
            stage,
            timeout_us: header(head, "x-timeout").strip_suffix('u').and_then(|told| told.parse().ok()),
        });
        let cold = host.engine.warmth(recorder.now, self.limits.cold_from, self.limits.cold_us);
        if cold < 1.0 && host.engine.cold {
            let window = self.limits.fall_us;
            host.arrivals.retain(|at| at + window > recorder.now);
            host.arrivals.push(recorder.now);
            let budget =
                self.limits.fall_multiple * host.engine.make.capacity_per_s * cold * window as f64 / 1e6;
            if host.arrivals.len() as f64 > budget + 2.0 {
                return self.crash(i, true, net, recorder);
            }
        }
        let (errors, hangs) = (host.troubles.errors, host.engine.hangs);
        // This engine's own count: more than four bytes make for, by up to the day's share.
        let prompt = (call.prompt.len() / TOKEN_BYTES) as u64;
        let prompt = prompt + prompt * (call.prompt.len() as u64 % (self.counts_more + 1)) / 1_000;
        let class = self.classes.iter().position(|c| c.name == class).unwrap_or(0);
        if let Some(peer) = host.conns.get_mut(&conn) {
            peer.attempt = Some(no);
        }
        if errors > 0.0 && !hangs && self.rng.random_bool(errors.clamp(0.0, 1.0)) {
            return self.turn_away(i, conn, no, AttemptEnd::Error, net, recorder);
        }
        let Some(host) = self.hosts.get(i) else { return };
        if !hangs && (host.engine.is_full()) {
            return self.turn_away(i, conn, no, AttemptEnd::Rejected, net, recorder);
        }
        let wrong = (stage == Stage::Prefill && host.engine.make.role == Role::Writer)
            || (stage != Stage::Prefill && host.engine.make.role == Role::Reader);
        if wrong {
            return self.turn_away(i, conn, no, AttemptEnd::Error, net, recorder);
        }
        let (mut from, mut arrives) = (None, None);
        if let Some((holder, name)) = &source {
            let place =
                self.hosts.iter().position(|h| h.id == *holder && h.up && h.engine.holds(name).is_some());
            let Some((place, held)) = place.and_then(|p| self.hosts.get(p).map(|h| (p, h))) else {
                return self.turn_away(i, conn, no, AttemptEnd::NoState, net, recorder);
            };
            let speed = if held.cell == host.cell { NEAR } else { FAR / self.links_slow.max(1.0) };
            from = Some(place);
            arrives = Some(recorder.now + 1_000 + (prompt as f64 / speed * 1e6) as u64);
        }
        // Answers' lengths vary as widely as they do: many short ones, few long ones.
        let draw: f64 = self.rng.random_range(0.05..1.0);
        let answer = ((call.max_tokens as f64 * draw * draw).ceil() as u64).clamp(2, call.max_tokens.max(2));
        let Some(host) = self.hosts.get_mut(i) else { return };
        let attempt = Attempt {
            conn,
            request,
            identity,
            class,
            stage,
            prompt,
            written: 0,
            cached: 0,
            from,
            head_sent: false,
            lost: false,
            number: header(head, "x-attempt").parse().unwrap_or(0),
            read: false,
        };
        let answer = (attempt.stage != Stage::Prefill).then_some(answer);
        host.attempts.insert(no, attempt);
        host.engine.take(recorder.now, Work { no, prompt, blocks: blocks(&call.prompt), answer, arrives });
    }

    // ---- The register.
}
