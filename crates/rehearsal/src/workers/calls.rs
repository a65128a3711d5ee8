//! Calls of routers: connections taken and lost, bytes read, completions begun.

use chalkyard_proto::{Decoder, Head, Limits, Part, Side, StartLine};
use rand::Rng;

use super::{
    header, router_of, Attempt, CompletionRequest, Connection, FakeWorker, FakeWorkers,
    TOKENS_PER_S_BETWEEN_CELLS, TOKENS_PER_S_WITHIN_CELL,
};
use crate::engine::{blocks, Role, Work, TOKEN_BYTES};
use crate::network::{ConnectionId, ListenerId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, Stage};

/// Setup of a transfer of KV state, µs.
const TRANSFER_SETUP: u64 = 1_000;
/// Attempts that a cold worker bears in a window beyond its budget.
const COLD_BUDGET_EXTRA: f64 = 2.0;

/// KV state at another worker.
#[derive(Debug, Clone, Copy)]
struct StateSource {
    /// Index of the worker.
    worker: usize,
    /// When it will have been fetched, µs.
    arrives: u64,
}

impl CompletionRequest {
    fn stage(&self) -> Stage {
        let prefill_only = self.kv_transfer_params.as_ref().is_some_and(|p| p.do_remote_decode);
        match (self.source(), prefill_only) {
            (Some(_), _) => Stage::Decode,
            (None, true) => Stage::Prefill,
            (None, false) => Stage::Combined,
        }
    }

    /// The worker that has the KV state, and its id of the request.
    fn source(&self) -> Option<(String, String)> {
        let params = self.kv_transfer_params.as_ref()?;
        params.remote_engine_id.clone().zip(params.remote_request_id.clone())
    }
}

impl FakeWorkers {
    /// Whether the listener was one of the fleet's; then the connection is too.
    pub fn accepted(&mut self, listener: ListenerId, conn: ConnectionId, recorder: &mut Recorder) -> bool {
        let decoder =
            Decoder::new(Side::Request, Limits { body_bytes: 8 * 1024 * 1024, ..Limits::default() });
        if self.discovery_listeners.contains(&listener) {
            self.watchers.insert(conn, (decoder, None));
            return true;
        }
        let Some(i) = self.listeners.get(&listener).copied() else { return false };
        self.conns.insert(conn, i);
        if let Some(worker) = self.workers.get_mut(i) {
            recorder.add(Event::Connect { engine: worker.id.clone() });
            worker.conns.insert(conn, Connection { decoder, head: None, body: Vec::new(), attempt: None });
        }
        true
    }

    pub fn gone(&mut self, conn: ConnectionId, recorder: &mut Recorder) {
        self.watchers.remove(&conn);
        let Some(worker) = self.conns.remove(&conn).and_then(|i| self.workers.get_mut(i)) else { return };
        let attempt_id = worker.conns.remove(&conn).and_then(|p| p.attempt);
        if let Some(attempt_id) = attempt_id {
            if let Some(attempt) = worker.attempts.remove(&attempt_id) {
                attempt.record_work(attempt_id, &worker.id, recorder);
                worker.engine.drop_work(attempt_id);
                recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Closed });
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
        if let Some(connection) = self.workers.get_mut(i).and_then(|h| h.conns.get_mut(&conn)) {
            connection.decoder.push(bytes);
        }
        loop {
            let Some(connection) = self.workers.get_mut(i).and_then(|h| h.conns.get_mut(&conn)) else {
                return;
            };
            match connection.decoder.next_part() {
                Ok(Some(Part::Head(head))) => connection.head = Some(head),
                Ok(Some(Part::Data(data))) => connection.body.extend(data),
                Ok(Some(Part::End)) => {
                    let (head, body) = (connection.head.take(), std::mem::take(&mut connection.body));
                    if let Some(head) = head {
                        self.call(i, conn, &head, &body, net, recorder);
                    }
                }
                Ok(None) => return,
                Err(_) => return self.drop_connection(i, conn, net),
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
        let StartLine::Request { target, .. } = &head.start else { return };
        match target.as_str() {
            "/v1/completions" => self.complete(i, conn, head, body, net, recorder),
            "/v1/kv/release" => {
                let request = header(head, "x-request-id");
                let Some(worker) = self.workers.get_mut(i) else { return };
                if worker.engine.release(&request, recorder.now) {
                    recorder.add(Event::Released {
                        engine: worker.id.clone(),
                        request,
                        how: ReleaseCause::Released,
                    });
                }
                self.reply(i, conn, 200, b"{}", net);
            }
            _ => self.reply(i, conn, 404, b"{}", net),
        }
    }

    /// A completion request of a router: an attempt that is rejected at once or enqueued.
    fn complete(
        &mut self,
        i: usize,
        conn: ConnectionId,
        head: &Head,
        body: &[u8],
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let Ok(call) = serde_json::from_slice::<CompletionRequest>(body) else {
            return self.reply(i, conn, 400, b"{}", net);
        };
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        self.record_arrival(i, attempt_id, head, call.stage(), recorder);
        if self.is_overloaded(i, recorder.now) {
            return self.crash(i, true, net, recorder);
        }
        if let Some(connection) = self.workers.get_mut(i).and_then(|w| w.conns.get_mut(&conn)) {
            connection.attempt = Some(attempt_id);
        }
        if let Some(how) = self.refusal(i, call.stage()) {
            return self.reject(i, conn, attempt_id, how, net, recorder);
        }
        let prompt = self.count_tokens(&call.prompt);
        let source = match call.source() {
            None => None,
            Some((holder, request)) => match self.find_state(i, &holder, &request, prompt, recorder.now) {
                Some(source) => Some(source),
                None => return self.reject(i, conn, attempt_id, AttemptEnd::NoState, net, recorder),
            },
        };
        let answer = self.draw_answer_length(call.max_tokens);
        let class = header(head, "x-class");
        let Some(worker) = self.workers.get_mut(i) else { return };
        let attempt = Attempt {
            conn,
            request: header(head, "x-request-id"),
            identity: header(head, "idempotency-key"),
            class: self.classes.iter().position(|c| c.name == class).unwrap_or(0),
            stage: call.stage(),
            prompt,
            generated: 0,
            cached: 0,
            source: source.map(|s| s.worker),
            head_sent: false,
            answer_lost: false,
            number: header(head, "x-attempt").parse().unwrap_or(0),
            prefilled: false,
        };
        worker.attempts.insert(attempt_id, attempt);
        let work = Work {
            id: attempt_id,
            prompt,
            blocks: blocks(&call.prompt),
            answer: (call.stage() != Stage::Prefill).then_some(answer),
            state_arrives: source.map(|s| s.arrives),
        };
        worker.engine.enqueue(recorder.now, work);
    }

    fn record_arrival(&self, i: usize, attempt: u64, head: &Head, stage: Stage, recorder: &mut Recorder) {
        recorder.add(Event::AttemptArrived {
            attempt,
            engine: self.id(i),
            router: router_of(head),
            request: header(head, "x-request-id"),
            identity: header(head, "idempotency-key"),
            class: header(head, "x-class"),
            stage,
            timeout_us: header(head, "x-timeout").strip_suffix('u').and_then(|timeout| timeout.parse().ok()),
        });
    }

    /// Whether a worker that warms up has more arrivals than it bears; counts this one.
    fn is_overloaded(&mut self, i: usize, now: u64) -> bool {
        let limits = &self.limits;
        let Some(worker) = self.workers.get_mut(i) else { return false };
        let warmth = worker.engine.warmth(now, limits.cold_from, limits.cold_us);
        if warmth >= 1.0 || !worker.engine.cold {
            return false;
        }
        worker.arrivals.retain(|at| at + limits.fall_us > now);
        worker.arrivals.push(now);
        let capacity = worker.engine.model.capacity_per_s;
        let budget = limits.fall_multiple * capacity * warmth * limits.fall_us as f64 / 1e6;
        worker.arrivals.len() as f64 > budget + COLD_BUDGET_EXTRA
    }

    /// How an attempt ends at once, unless the worker takes it.
    fn refusal(&mut self, i: usize, stage: Stage) -> Option<AttemptEnd> {
        let worker = self.workers.get(i)?;
        let (errors, hangs) = (worker.faults.errors, worker.engine.hangs);
        if errors > 0.0 && !hangs && self.rng.random_bool(errors.clamp(0.0, 1.0)) {
            return Some(AttemptEnd::Error);
        }
        if !hangs && worker.engine.is_full() {
            return Some(AttemptEnd::Rejected);
        }
        let wrong_role = match worker.engine.model.role {
            Role::Prefill => stage != Stage::Prefill,
            Role::Decode => stage == Stage::Prefill,
            Role::Combined => false,
        };
        wrong_role.then_some(AttemptEnd::Error)
    }

    /// The worker's own count of a prompt: more than four bytes a token make, by up to the scenario's share.
    fn count_tokens(&self, prompt: &str) -> u64 {
        let tokens = (prompt.len() / TOKEN_BYTES) as u64;
        tokens + tokens * (prompt.len() as u64 % (self.extra_token_permille + 1)) / 1_000
    }

    /// Where the state of a prefill is, and when it will have been fetched; none if it is there no more.
    fn find_state(
        &self,
        i: usize,
        holder: &str,
        request: &str,
        prompt: u64,
        now: u64,
    ) -> Option<StateSource> {
        let has_state = |w: &FakeWorker| w.id == holder && w.up && w.engine.has_reserved(request);
        let worker = self.workers.iter().position(has_state)?;
        let same_cell = self.workers.get(worker)?.cell == self.workers.get(i)?.cell;
        let tokens_per_s = if same_cell {
            TOKENS_PER_S_WITHIN_CELL
        } else {
            TOKENS_PER_S_BETWEEN_CELLS / self.links_slow.max(1.0)
        };
        let transfer = (prompt as f64 / tokens_per_s * 1e6) as u64;
        Some(StateSource { worker, arrives: now + TRANSFER_SETUP + transfer })
    }

    /// Lengths of answers vary widely: many are short, few are long.
    fn draw_answer_length(&mut self, max_tokens: u64) -> u64 {
        let draw: f64 = self.rng.random_range(0.05..1.0);
        let tokens = (max_tokens as f64 * draw * draw).ceil() as u64;
        tokens.clamp(2, max_tokens.max(2))
    }
}
