//! Stand-in engines and the register, behind sockets.

mod calls;
mod register;
mod steps;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chalkyard_proto::{encode, Decoder, Head};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::engine::Engine;
use crate::network::{ConnectionId, Link, LinkPeer, ListenerId, Network};
use crate::record::{AttemptEnd, Event, Recorder, ReleaseCause, Stage};
use crate::scenario::Scenario;

/// State that nobody fetches is dropped after this, µs: an engine's own last resort.
const HOLD_MOST: u64 = 6_000_000;
/// Load reports are made anew so often, µs.
const REPORT_EVERY: u64 = 250_000;
/// How far engines are used is looked at so often, µs.
const LOOK_EVERY: u64 = 20_000;
/// Tokens a second over a link within a cell, and between cells.
const NEAR: f64 = 300_000.0;
const FAR: f64 = 60_000.0;

#[derive(Debug, Deserialize)]
struct Params {
    #[serde(default)]
    do_remote_decode: bool,
    #[serde(default)]
    remote_engine_id: Option<String>,
    #[serde(default)]
    remote_request_id: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Call {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    kv_transfer_params: Option<Params>,
}

#[derive(Debug)]
struct Attempt {
    conn: ConnectionId,
    request: String,
    identity: String,
    class: usize,
    stage: Stage,
    prompt: u64,
    written: u64,
    cached: u64,
    /// Engine that holds its state.
    from: Option<usize>,
    head_sent: bool,
    lost: bool,
    /// The router's number of it.
    number: u32,
    /// The prompt was read, or its state pulled.
    read: bool,
}

impl Attempt {
    /// The engine's own count, for its record.
    fn work(&self, no: u64, engine: &str, recorder: &mut Recorder) {
        if self.read {
            recorder.add(Event::AttemptWork {
                attempt: no,
                engine: engine.into(),
                request: self.request.clone(),
                number: self.number,
                stage: self.stage,
                prompt: self.prompt,
                cached: self.cached,
                output: self.written,
            });
        }
    }
}

/// Faults that act at an engine while a call is handled.
#[derive(Debug, Clone, Copy, Default)]
pub struct Troubles {
    pub errors: f64,
    pub lost: f64,
    pub report_late: bool,
    pub pauses: f64,
    pub ageing: f64,
}

struct Host {
    id: String,
    cell: u64,
    engine: Engine,
    /// One for all routers, or one for each.
    listeners: Vec<ListenerId>,
    addresses: Vec<SocketAddr>,
    up: bool,
    troubles: Troubles,
    attempts: BTreeMap<u64, Attempt>,
    conns: BTreeMap<ConnectionId, Peer>,
    report: String,
    reported: u64,
    /// Arrivals while cold, for the fall.
    arrivals: Vec<u64>,
}

struct Peer {
    decoder: Decoder,
    head: Option<Box<Head>>,
    body: Vec<u8>,
    attempt: Option<u64>,
}

struct Change {
    due: u64,
    engine: usize,
    state: &'static str,
    started: u64,
}

pub struct Fleet {
    hosts: Vec<Host>,
    listeners: BTreeMap<ListenerId, usize>,
    conns: BTreeMap<ConnectionId, usize>,
    /// One for all routers, or one for each.
    pub register: Vec<SocketAddr>,
    register_listeners: Vec<ListenerId>,
    watchers: BTreeMap<ConnectionId, (Decoder, Option<String>)>,
    entries: BTreeMap<usize, (&'static str, u64)>,
    changes: Vec<Change>,
    version: u64,
    next_ping: u64,
    /// When use is looked at next; per role what was in use and what there was, since the second began.
    next_look: u64,
    uses: BTreeMap<&'static str, (f64, f64)>,
    pub stale: bool,
    pub links_slow: f64,
    unix: u64,
    next_attempt: u64,
    /// Identities that ran, by cell: repeats within the window are discarded there.
    ran: BTreeMap<(u64, String), u64>,
    classes: Vec<crate::record::Class>,
    limits: crate::record::RuleLimits,
    notice: u64,
    counts_more: u64,
    rng: ChaCha8Rng,
}

fn header(head: &Head, name: &str) -> String {
    head.header(name).unwrap_or("").trim_matches('"').to_owned()
}

fn router_of(head: &Head) -> String {
    head.header("via").and_then(|v| v.split_once(' ')).map_or(String::new(), |(_, name)| name.to_owned())
}

impl Fleet {
    /// `unix`: µs since 1970 at the day's beginning.
    pub fn new(
        scenario: &Scenario,
        net: &mut dyn Network,
        recorder: &mut Recorder,
        unix: u64,
        rng: ChaCha8Rng,
    ) -> std::io::Result<Self> {
        let sides: Vec<Option<usize>> =
            if scenario.apart { (0..scenario.routers).map(Some).collect() } else { vec![None] };
        let at =
            |net: &mut dyn Network, to: LinkPeer| -> std::io::Result<(Vec<ListenerId>, Vec<SocketAddr>)> {
                let sides = sides.iter().map(|router| net.listen(0, Link { router: *router, to }));
                Ok(sides.collect::<std::io::Result<Vec<_>>>()?.into_iter().unzip())
            };
        let (register_listeners, register) = at(net, LinkPeer::Register)?;
        let (mut hosts, mut listeners, mut entries) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        for (i, spec) in scenario.engines.iter().enumerate() {
            let (own, addresses) = at(net, LinkPeer::Engine(i))?;
            listeners.extend(own.iter().map(|l| (*l, i)));
            entries.insert(i, ("in", 0));
            recorder.add(Event::Engine {
                engine: spec.id.clone(),
                role: spec.make.role.name().into(),
                cell: spec.cell,
                capacity_per_s: spec.make.capacity_per_s,
            });
            recorder.add(Event::Start { engine: spec.id.clone(), cold: false });
            hosts.push(Host {
                id: spec.id.clone(),
                cell: spec.cell,
                engine: Engine::new(spec.make, 0, false),
                listeners: own,
                addresses,
                up: true,
                troubles: Troubles::default(),
                attempts: BTreeMap::new(),
                conns: BTreeMap::new(),
                report: String::new(),
                reported: 0,
                arrivals: Vec::new(),
            });
        }
        Ok(Self {
            hosts,
            listeners,
            conns: BTreeMap::new(),
            register,
            register_listeners,
            watchers: BTreeMap::new(),
            entries,
            changes: Vec::new(),
            version: 1,
            next_ping: 0,
            next_look: 0,
            uses: BTreeMap::new(),
            stale: false,
            links_slow: 1.0,
            unix,
            next_attempt: 0,
            ran: BTreeMap::new(),
            classes: scenario.classes.clone(),
            limits: scenario.limits.clone(),
            notice: scenario.notice,
            counts_more: scenario.counts_more,
            rng,
        })
    }

    pub fn troubles(&mut self, i: usize) -> Option<&mut Troubles> {
        self.hosts.get_mut(i).map(|h| &mut h.troubles)
    }

    pub fn engine(&mut self, i: usize) -> Option<&mut Engine> {
        self.hosts.get_mut(i).map(|h| &mut h.engine)
    }

    pub fn id(&self, i: usize) -> String {
        self.hosts.get(i).map(|h| h.id.clone()).unwrap_or_default()
    }

    // ---- Processes.

    pub fn crash(&mut self, i: usize, overloaded: bool, net: &mut dyn Network, recorder: &mut Recorder) {
        let Some(host) = self.hosts.get_mut(i).filter(|h| h.up) else { return };
        host.up = false;
        for listener in std::mem::take(&mut host.listeners) {
            net.stop_listening(listener);
            self.listeners.remove(&listener);
        }
        for (no, attempt) in std::mem::take(&mut host.attempts) {
            attempt.work(no, &host.id, recorder);
            recorder.add(Event::AttemptEnded { attempt: no, how: AttemptEnd::Down });
        }
        for request in host.engine.held_since(u64::MAX) {
            recorder.add(Event::Released { engine: host.id.clone(), request, how: ReleaseCause::Down });
        }
        for conn in std::mem::take(&mut host.conns).into_keys() {
            net.close(conn);
            self.conns.remove(&conn);
        }
        host.engine = Engine::new(host.engine.make, recorder.now, true);
        recorder.add(Event::Down { engine: host.id.clone(), overloaded });
        let (due, started) = (recorder.now + self.notice, self.entries.get(&i).map_or(0, |e| e.1));
        self.changes.push(Change { due, engine: i, state: "out", started });
    }

    pub fn restart(&mut self, i: usize, net: &mut dyn Network, recorder: &mut Recorder) {
        let Some(host) = self.hosts.get_mut(i).filter(|h| !h.up) else { return };
        // Somebody may have taken the port meanwhile: then the register tells of another.
        let many = host.addresses.len() > 1;
        for (router, address) in host.addresses.iter_mut().enumerate() {
            let link = Link { router: many.then_some(router), to: LinkPeer::Engine(i) };
            let listening = net.listen(address.port(), link).or_else(|_| net.listen(0, link));
            let Ok((listener, at)) = listening else { return };
            *address = at;
            host.listeners.push(listener);
            self.listeners.insert(listener, i);
        }
        host.up = true;
        host.engine = Engine::new(host.engine.make, recorder.now, true);
        host.arrivals.clear();
        recorder.add(Event::Start { engine: host.id.clone(), cold: true });
        // Known sooner than a loss, but never ahead of it.
        let due = recorder.now + self.notice / 2;
        let due =
            self.changes.iter().filter(|c| c.engine == i).map(|c| c.due + 1).max().unwrap_or(0).max(due);
        self.changes.push(Change { due, engine: i, state: "in", started: recorder.now });
    }

    pub fn drain(&mut self, i: usize, draining: bool, recorder: &mut Recorder) {
        let (due, started) = (recorder.now + self.notice / 3, self.entries.get(&i).map_or(0, |e| e.1));
        self.changes.push(Change {
            due,
            engine: i,
            state: if draining { "draining" } else { "in" },
            started,
        });
    }

    // ---- Time.

    pub fn next_due(&self) -> u64 {
        let steps = self.hosts.iter().filter(|h| h.up).filter_map(|h| h.engine.next_due());
        let changes = self.changes.iter().map(|c| c.due);
        steps.chain(changes).chain([self.next_ping, self.next_look]).min().unwrap_or(u64::MAX)
    }

    pub fn tick(&mut self, net: &mut dyn Network, recorder: &mut Recorder) {
        let now = recorder.now;
        for i in 0..self.hosts.len() {
            self.step(i, net, recorder);
        }
        if now >= self.next_look {
            self.look(recorder);
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
        let (due, rest) = std::mem::take(&mut self.changes).into_iter().partition(|c: &Change| c.due <= now);
        self.changes = rest;
        for change in due {
            self.publish(change, net, recorder);
        }
    }

    fn look(&mut self, recorder: &mut Recorder) {
        let (from, cold_us) = (self.limits.cold_from, self.limits.cold_us);
        for host in self.hosts.iter().filter(|h| h.up) {
            let warmth = host.engine.warmth(recorder.now, from, cold_us);
            let (used, all) = self.uses.entry(host.engine.make.role.name()).or_default();
            *used += host.engine.used() * warmth;
            *all += warmth;
        }
        let before = self.next_look / 1_000_000;
        self.next_look = recorder.now + LOOK_EVERY;
        if self.next_look / 1_000_000 > before {
            for (role, (used, all)) in std::mem::take(&mut self.uses) {
                recorder.add(Event::Utilisation { role: role.into(), used: used / all.max(1e-9) });
            }
        }
    }

    fn expire(&mut self, recorder: &mut Recorder) {
        for host in &mut self.hosts {
            for request in host.engine.held_since(recorder.now.saturating_sub(HOLD_MOST)) {
                host.engine.free(&request, recorder.now);
                recorder.add(Event::Released {
                    engine: host.id.clone(),
                    request,
                    how: ReleaseCause::Expired,
                });
            }
        }
    }
}
