//! Fake workers and fake discovery, on a network.

mod calls;
mod discovery;
mod steps;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chalkyard_proto::{encode, Decoder, Head};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::engine::Engine;
use crate::network::{ConnectionId, Link, LinkPeer, ListenerId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, Stage};
use crate::scenario::{EngineSpec, Scenario};

/// A reservation that nobody fetches expires after this, µs.
const RESERVATION_TIMEOUT: u64 = 6_000_000;
/// Interval of load reports, µs.
const REPORT_INTERVAL: u64 = 250_000;
/// Interval at which utilisation is sampled, µs.
const UTILISATION_INTERVAL: u64 = 20_000;
/// Tokens a second over a link within a cell, and between cells.
const TOKENS_PER_S_WITHIN_CELL: f64 = 300_000.0;
const TOKENS_PER_S_BETWEEN_CELLS: f64 = 60_000.0;

#[derive(Debug, Deserialize)]
struct KvTransferParams {
    #[serde(default)]
    do_remote_decode: bool,
    #[serde(default)]
    remote_engine_id: Option<String>,
    #[serde(default)]
    remote_request_id: Option<String>,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    kv_transfer_params: Option<KvTransferParams>,
}

#[derive(Debug)]
struct Attempt {
    conn: ConnectionId,
    request: String,
    identity: String,
    class: usize,
    stage: Stage,
    prompt: u64,
    generated: u64,
    cached: u64,
    /// Index of the worker that has its KV state.
    source: Option<usize>,
    head_sent: bool,
    /// Its answer is never sent.
    answer_lost: bool,
    /// The router's number of it.
    number: u32,
    /// The prompt was prefilled, or its KV state fetched.
    prefilled: bool,
}

impl Attempt {
    /// Records what it did, by the engine's own count.
    fn record_work(&self, attempt_id: u64, engine: &str, recorder: &mut Recorder) {
        if self.prefilled {
            recorder.add(Event::AttemptWork {
                attempt: attempt_id,
                engine: engine.into(),
                request: self.request.clone(),
                number: self.number,
                stage: self.stage,
                prompt: self.prompt,
                cached: self.cached,
                output: self.generated,
            });
        }
    }
}

/// Faults that act while a worker handles calls: shares of errors and lost answers, the length of pauses in seconds, and
/// how many times slower an ageing engine gets.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallFaults {
    pub errors: f64,
    pub answer_lost: f64,
    pub report_late: bool,
    pub pauses: f64,
    pub ageing: f64,
}

struct FakeWorker {
    id: String,
    cell: u64,
    engine: Engine,
    /// One for all routers, or one for each.
    listeners: Vec<ListenerId>,
    addresses: Vec<SocketAddr>,
    up: bool,
    faults: CallFaults,
    attempts: BTreeMap<u64, Attempt>,
    conns: BTreeMap<ConnectionId, Connection>,
    report: String,
    reported: u64,
    /// Arrivals while it warms up.
    arrivals: Vec<u64>,
}

struct Connection {
    decoder: Decoder,
    head: Option<Box<Head>>,
    body: Vec<u8>,
    attempt: Option<u64>,
}

struct EndpointChange {
    due: u64,
    engine: usize,
    state: &'static str,
    started: u64,
}

pub struct FakeWorkers {
    workers: Vec<FakeWorker>,
    listeners: BTreeMap<ListenerId, usize>,
    conns: BTreeMap<ConnectionId, usize>,
    /// One for all routers, or one for each.
    pub discovery: Vec<SocketAddr>,
    discovery_listeners: Vec<ListenerId>,
    watchers: BTreeMap<ConnectionId, (Decoder, Option<String>)>,
    endpoints: BTreeMap<usize, (&'static str, u64)>,
    changes: Vec<EndpointChange>,
    version: u64,
    next_ping: u64,
    /// When utilisation is sampled next; by role, what was in use and what there was since the second began.
    next_utilisation: u64,
    utilisation: BTreeMap<&'static str, (f64, f64)>,
    pub stale: bool,
    pub links_slow: f64,
    epoch_us: u64,
    next_attempt: u64,
    /// When idempotency keys were executed, by cell: repeats within the window are discarded there.
    executions: BTreeMap<(u64, String), u64>,
    classes: Vec<crate::record::Class>,
    limits: crate::record::RuleLimits,
    discovery_delay: u64,
    extra_token_permille: u64,
    rng: ChaCha8Rng,
}

fn header(head: &Head, name: &str) -> String {
    head.header(name).unwrap_or("").trim_matches('"').to_owned()
}

fn router_of(head: &Head) -> String {
    head.header("via").and_then(|v| v.split_once(' ')).map_or(String::new(), |(_, name)| name.to_owned())
}

/// Listens for a peer of routers: at one address for all routers, or at one for each.
fn listen(
    scenario: &Scenario,
    net: &mut dyn Network,
    to: LinkPeer,
) -> std::io::Result<(Vec<ListenerId>, Vec<SocketAddr>)> {
    let routers =
        if scenario.separate_addresses { (0..scenario.routers).map(Some).collect() } else { vec![None] };
    let listening = routers.into_iter().map(|router| net.listen(0, Link { router, to }));
    Ok(listening.collect::<std::io::Result<Vec<_>>>()?.into_iter().unzip())
}

impl FakeWorkers {
    /// The workers of a scenario that begins at `epoch_us` µs since 1970.
    pub fn new(
        scenario: &Scenario,
        net: &mut dyn Network,
        recorder: &mut Recorder,
        epoch_us: u64,
        rng: ChaCha8Rng,
    ) -> std::io::Result<Self> {
        let (discovery_listeners, discovery) = listen(scenario, net, LinkPeer::Discovery)?;
        let mut fakes = Self {
            workers: Vec::new(),
            listeners: BTreeMap::new(),
            conns: BTreeMap::new(),
            discovery,
            discovery_listeners,
            watchers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            changes: Vec::new(),
            version: 1,
            next_ping: 0,
            next_utilisation: 0,
            utilisation: BTreeMap::new(),
            stale: false,
            links_slow: 1.0,
            epoch_us,
            next_attempt: 0,
            executions: BTreeMap::new(),
            classes: scenario.classes.clone(),
            limits: scenario.limits.clone(),
            discovery_delay: scenario.discovery_delay,
            extra_token_permille: scenario.extra_token_permille,
            rng,
        };
        for (i, spec) in scenario.engines.iter().enumerate() {
            let (listeners, addresses) = listen(scenario, net, LinkPeer::Engine(i))?;
            fakes.add_worker(spec, listeners, addresses, recorder);
        }
        Ok(fakes)
    }

    fn add_worker(
        &mut self,
        spec: &EngineSpec,
        listeners: Vec<ListenerId>,
        addresses: Vec<SocketAddr>,
        recorder: &mut Recorder,
    ) {
        let i = self.workers.len();
        self.listeners.extend(listeners.iter().map(|listener| (*listener, i)));
        self.endpoints.insert(i, ("in", 0));
        recorder.add(Event::Engine {
            engine: spec.id.clone(),
            role: spec.model.role.name().into(),
            cell: spec.cell,
            capacity_per_s: spec.model.capacity_per_s,
        });
        recorder.add(Event::Start { engine: spec.id.clone(), cold: false });
        self.workers.push(FakeWorker {
            id: spec.id.clone(),
            cell: spec.cell,
            engine: Engine::new(spec.model, 0, false),
            listeners,
            addresses,
            up: true,
            faults: CallFaults::default(),
            attempts: BTreeMap::new(),
            conns: BTreeMap::new(),
            report: String::new(),
            reported: 0,
            arrivals: Vec::new(),
        });
    }

    pub fn faults(&mut self, i: usize) -> Option<&mut CallFaults> {
        self.workers.get_mut(i).map(|h| &mut h.faults)
    }

    pub fn engine(&mut self, i: usize) -> Option<&mut Engine> {
        self.workers.get_mut(i).map(|h| &mut h.engine)
    }

    pub fn id(&self, i: usize) -> String {
        self.workers.get(i).map(|h| h.id.clone()).unwrap_or_default()
    }

    pub fn crash(&mut self, i: usize, overloaded: bool, net: &mut dyn Network, recorder: &mut Recorder) {
        let Some(worker) = self.workers.get_mut(i).filter(|h| h.up) else { return };
        worker.up = false;
        for listener in std::mem::take(&mut worker.listeners) {
            net.stop_listening(listener);
            self.listeners.remove(&listener);
        }
        for (attempt_id, attempt) in std::mem::take(&mut worker.attempts) {
            attempt.record_work(attempt_id, &worker.id, recorder);
            recorder.add(Event::AttemptEnded { attempt: attempt_id, how: AttemptEnd::Down });
        }
        for request in worker.engine.reserved_before(u64::MAX) {
            recorder.add(Event::Released { engine: worker.id.clone(), request, how: ReleaseCause::Down });
        }
        for conn in std::mem::take(&mut worker.conns).into_keys() {
            net.close(conn);
            self.conns.remove(&conn);
        }
        worker.engine = Engine::new(worker.engine.model, recorder.now, true);
        recorder.add(Event::Down { engine: worker.id.clone(), overloaded });
        let (due, started) = (recorder.now + self.discovery_delay, self.endpoints.get(&i).map_or(0, |e| e.1));
        self.changes.push(EndpointChange { due, engine: i, state: "out", started });
    }

    pub fn restart(&mut self, i: usize, net: &mut dyn Network, recorder: &mut Recorder) {
        let Some(worker) = self.workers.get_mut(i).filter(|h| !h.up) else { return };
        // Another process may have taken the port meanwhile: then discovery notifies of another one.
        let many = worker.addresses.len() > 1;
        for (router, address) in worker.addresses.iter_mut().enumerate() {
            let link = Link { router: many.then_some(router), to: LinkPeer::Engine(i) };
            let listening = net.listen(address.port(), link).or_else(|_| net.listen(0, link));
            let Ok((listener, at)) = listening else { return };
            *address = at;
            worker.listeners.push(listener);
            self.listeners.insert(listener, i);
        }
        worker.up = true;
        worker.engine = Engine::new(worker.engine.model, recorder.now, true);
        worker.arrivals.clear();
        recorder.add(Event::Start { engine: worker.id.clone(), cold: true });
        // Known sooner than a loss, but never ahead of it.
        let due = recorder.now + self.discovery_delay / 2;
        let due =
            self.changes.iter().filter(|c| c.engine == i).map(|c| c.due + 1).max().unwrap_or(0).max(due);
        self.changes.push(EndpointChange { due, engine: i, state: "in", started: recorder.now });
    }

    pub fn drain(&mut self, i: usize, draining: bool, recorder: &mut Recorder) {
        let (due, started) =
            (recorder.now + self.discovery_delay / 3, self.endpoints.get(&i).map_or(0, |e| e.1));
        self.changes.push(EndpointChange {
            due,
            engine: i,
            state: if draining { "draining" } else { "in" },
            started,
        });
    }

    pub fn next_due(&self) -> u64 {
        let steps = self.workers.iter().filter(|h| h.up).filter_map(|h| h.engine.next_due());
        let changes = self.changes.iter().map(|c| c.due);
        steps.chain(changes).chain([self.next_ping, self.next_utilisation]).min().unwrap_or(u64::MAX)
    }

    pub fn tick(&mut self, net: &mut dyn Network, recorder: &mut Recorder) {
        let now = recorder.now;
        for i in 0..self.workers.len() {
            self.step(i, net, recorder);
        }
        if now >= self.next_utilisation {
            self.sample_utilisation(recorder);
        }
        if now >= self.next_ping {
            self.next_ping = now + 500_000;
            let mut ping = Vec::new();
            encode::chunk(&mut ping, b": ping\n\n");
            for (conn, (_, router)) in &self.watchers {
                if router.is_some() {
                    net.send(*conn, &ping);
                }
            }
            self.expire(recorder);
        }
        if self.stale {
            return;
        }
        let (due, rest) =
            std::mem::take(&mut self.changes).into_iter().partition(|c: &EndpointChange| c.due <= now);
        self.changes = rest;
        for change in due {
            self.publish(change, net, recorder);
        }
    }

    fn sample_utilisation(&mut self, recorder: &mut Recorder) {
        let (from, cold_us) = (self.limits.cold_from, self.limits.cold_us);
        for worker in self.workers.iter().filter(|h| h.up) {
            let warmth = worker.engine.warmth(recorder.now, from, cold_us);
            let (used, all) = self.utilisation.entry(worker.engine.model.role.name()).or_default();
            *used += worker.engine.used() * warmth;
            *all += warmth;
        }
        let before = self.next_utilisation / 1_000_000;
        self.next_utilisation = recorder.now + UTILISATION_INTERVAL;
        if self.next_utilisation / 1_000_000 > before {
            for (role, (used, all)) in std::mem::take(&mut self.utilisation) {
                recorder.add(Event::Utilisation { role: role.into(), used: used / all.max(1e-9) });
            }
        }
    }

    fn expire(&mut self, recorder: &mut Recorder) {
        for worker in &mut self.workers {
            for request in worker.engine.reserved_before(recorder.now.saturating_sub(RESERVATION_TIMEOUT)) {
                worker.engine.release(&request, recorder.now);
                recorder.add(Event::Released {
                    engine: worker.id.clone(),
                    request,
                    how: ReleaseCause::Expired,
                });
            }
        }
    }
}
