//! Plays a scenario in fed time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_rehearsal::engine::Role;
use chalkyard_rehearsal::record::{Line, RetrySafety};
use chalkyard_rehearsal::scenario::{Fault, Kind, Scenario};
use chalkyard_rehearsal::topology::Topology;
use chalkyard_rehearsal::Error;
use chalkyard_router::{
    Bounds, ClassConfig, Config, Core, Input, Output, RequestRecord, Tally, Timeouts, WorkerKind,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::memory::{CoreEvent, Due, Memory};

/// The scenario's beginning, µs since 1970: any time will do, as long as it is always the same.
const UNIX: u64 = 1_700_000_000_000_000;
/// A router that was killed is back after this, and the next one this much later.
const BACK: u64 = 300_000;
/// Things done at one moment; more, and something goes round in a circle.
const AT_ONCE: u32 = 1_000_000;

/// What came of a scenario.
#[derive(Debug)]
pub struct Emulated {
    /// What engines, register and clients saw.
    pub lines: Vec<Line>,
    /// What the routers counted, a second of all together.
    pub tallies: Vec<Tally>,
    /// Each request that ended, with its router.
    pub finished: Vec<(usize, RequestRecord)>,
}

struct Router {
    core: Option<Box<Core>>,
    incarnation: u64,
    /// How far its clock is ahead.
    ahead: u64,
    due: Option<u64>,
}

struct Play<'a> {
    topology: Topology<'a, Memory>,
    routers: Vec<Router>,
    names: Vec<(String, SocketAddr)>,
    discovery: Vec<SocketAddr>,
    /// When cores want to be woken.
    due: BTreeSet<(u64, usize)>,
    returns: Vec<(u64, usize)>,
    outputs: Vec<Output>,
    tallies: BTreeMap<u64, Tally>,
    finished: Vec<(usize, RequestRecord)>,
}

/// As the kit's settings for processes say it.
fn config(scenario: &Scenario, name: &str, register: SocketAddr) -> Config {
    let f = &scenario.limits;
    let classes = scenario.classes.iter().map(|c| p::Class {
        latency_objective: Micros(c.latency_objective_us),
        latency_objective_per_1000_tokens: Micros(c.latency_objective_per_1000_us),
        deadline: Micros(c.deadline_us),
        retry_safety: match c.retry_safety {
            RetrySafety::Idempotent => p::RetrySafety::Idempotent,
            RetrySafety::NonIdempotent => p::RetrySafety::NonIdempotent,
            RetrySafety::Deduplicated => p::RetrySafety::Deduplicated(p::DeduplicationScope::Cell),
        },
        dedup_window: Micros(c.deduplication_window_us),
    });
    let kind = |role, tokens| WorkerKind { role, kv_tokens: Some(tokens) };
    let second = Micros(1_000_000);
    Config {
        name: name.into(),
        policy: p::Settings {
            routers: scenario.configured_routers.unwrap_or(scenario.routers as u32),
            classes: classes.collect(),
            tenants: Vec::new(),
            discovery: p::Discovery::Push,
            max_poll_interval: Micros(10 * second.0),
            self_prefill: true,
            resume: false,
            reservation_timeout: Micros(f.release_us),
            max_attempts: 4,
            may_cancel: true,
            max_retry_after: second,
            overload_multiple: f.fall_multiple,
            overload_window: Micros(f.fall_us),
            slow_start_initial_share: f.cold_from,
            slow_start_duration: Micros(f.cold_us),
            answer_slack: Micros(f.slack_us),
            tick: Micros(1_000),
            weighted: false,
            load_reporting: p::LoadReporting::InResponses,
        },
        classes: scenario.classes.iter().map(|c| ClassConfig { name: c.name.clone() }).collect(),
        default_class: 0,
        tenants: Vec::new(),
        keys: KeyRing::new([0; 32]),
        zones: [("yard".to_owned(), p::ZoneId(0))].into(),
        kinds: [
            (Role::Prefill.name().to_owned(), kind(p::Role::Prefill, 200_000)),
            (Role::Decode.name().to_owned(), kind(p::Role::Decode, 120_000)),
            (Role::Combined.name().to_owned(), kind(p::Role::Combined, 160_000)),
        ]
        .into(),
        discovery: Some(register),
        bounds: Bounds::default(),
        timeouts: Timeouts {
            stream: Micros(5 * second.0),
            slow_client: Micros(2 * second.0),
            discovery: Micros(5 * second.0),
            ..Timeouts::default()
        },
        dialect: None,
    }
}

/// Plays a scenario. The same scenario gives the same record.
pub fn emulate(scenario: &Scenario) -> Result<Emulated, Error> {
    let (topology, (names, discovery)) = Topology::new(scenario, Memory::new(), UNIX, |net, discovery| {
        let names: Vec<(String, SocketAddr)> =
            (1..=scenario.routers).map(|i| (format!("r{i}"), net.add_router())).collect();
        Ok((names.clone(), (names, discovery.to_vec())))
    })?;
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xc10c);
    let routers = names.iter().map(|_| {
        let ahead = if scenario.clock_skew == 0 { 0 } else { rng.random_range(0..=scenario.clock_skew) };
        Router { core: None, incarnation: 0, ahead, due: None }
    });
    let mut play = Play {
        routers: routers.collect(),
        topology,
        names,
        discovery,
        due: BTreeSet::new(),
        returns: Vec::new(),
        outputs: Vec::new(),
        tallies: BTreeMap::new(),
        finished: Vec::new(),
    };
    play.run()?;
    Ok(Emulated {
        lines: play.topology.recorder.lines,
        tallies: play.tallies.into_values().collect(),
        finished: play.finished,
    })
}

impl Play<'_> {
    fn run(&mut self) -> Result<(), Error> {
        for i in 0..self.routers.len() {
            self.start(i);
            self.topology.router_is(i, true);
        }
        let (mut at, mut steps) = (0, 0_u32);
        loop {
            let cores = self.due.first().map_or(u64::MAX, |(at, _)| *at);
            let returns = self.returns.iter().map(|(at, _)| *at).min().unwrap_or(u64::MAX);
            let net = self.topology.net.inner.next_due();
            let next = self.topology.next_due().min(cores).min(returns).min(net);
            if next == u64::MAX {
                return Err(Error::CouldNotRun("nothing is due any more, and the day is not over".into()));
            }
            steps = if next > at { 0 } else { steps + 1 };
            if steps > AT_ONCE {
                return Err(Error::CouldNotRun(format!("time stands still at {at} µs")));
            }
            at = at.max(next);
            self.topology.advance_to(at);
            self.network();
            self.apply_due_faults();
            if self.topology.tick() {
                return Ok(());
            }
            while let Some((_, i)) = self.due.first().copied().filter(|(due, _)| *due <= at) {
                self.feed(i, Input::Tick);
            }
        }
    }

    /// Brings what is due on the network to its side.
    fn network(&mut self) {
        while let Some(due) = self.topology.net.inner.pop() {
            match due {
                Due::Fake(happened) => self.topology.receive(vec![happened]),
                Due::Core(i, conn, event) => match event {
                    CoreEvent::Accepted => self.feed(i, Input::Accepted(conn)),
                    CoreEvent::Connected => self.feed(i, Input::Connected(conn)),
                    CoreEvent::Lost => self.feed(i, Input::Lost(conn)),
                    CoreEvent::Bytes(bytes) => self.feed(i, Input::Bytes(conn, &bytes)),
                    CoreEvent::Eof => self.feed(i, Input::Eof(conn)),
                    CoreEvent::Wrote(bytes) => self.feed(i, Input::Wrote(conn, bytes)),
                },
            }
        }
    }

    fn clock(&self, i: usize) -> Micros {
        let ahead = self.routers.get(i).map_or(0, |r| r.ahead);
        Micros(UNIX + self.topology.recorder.now + ahead)
    }

    fn start(&mut self, i: usize) {
        let now = self.clock(i);
        let Some((name, _)) = self.names.get(i) else { return };
        let register = self.discovery.get(i).or(self.discovery.first());
        let (Some(register), Some(router)) = (register, self.routers.get_mut(i)) else { return };
        router.incarnation += 1;
        let scenario = self.topology.scenario;
        let seed = scenario.seed.wrapping_mul(1_000).wrapping_add(i as u64 * 64 + router.incarnation);
        let mut core = Box::new(Core::new(config(scenario, name, *register), seed, now));
        core.enable_tally();
        core.start(now, None, &mut self.outputs);
        router.core = Some(core);
        self.topology.net.inner.start(i);
        self.carry_out(i);
    }

    fn kill(&mut self, i: usize) {
        let Some(router) = self.routers.get_mut(i) else { return };
        router.core = None;
        if let Some(due) = router.due.take() {
            self.due.remove(&(due, i));
        }
        self.topology.net.inner.kill(i);
        self.topology.router_is(i, false);
    }

    fn feed(&mut self, i: usize, input: Input<'_>) {
        let now = self.clock(i);
        if let Some(core) = self.routers.get_mut(i).and_then(|r| r.core.as_mut()) {
            core.handle(now, input, &mut self.outputs);
            self.carry_out(i);
        }
    }

    fn carry_out(&mut self, i: usize) {
        let mut closed = Vec::new();
        for output in std::mem::take(&mut self.outputs) {
            if let Output::CloseIfQuiet(id) = output {
                closed.push(id);
            }
            match self.topology.net.inner.carry_out(i, output) {
                Some(Output::Finished(line)) => self.finished.push((i, line.0)),
                Some(Output::Tally(tally)) => {
                    let ahead = self.routers.get(i).map_or(0, |r| r.ahead);
                    let second = tally.second.saturating_sub((UNIX + ahead) / 1_000_000);
                    let all = self.tallies.entry(second).or_default();
                    all.add(Tally { second, ..*tally });
                }
                _ => {}
            }
        }
        for id in closed {
            self.feed(i, Input::Lost(id));
        }
        let Some(router) = self.routers.get_mut(i) else { return };
        let due = router.core.as_ref().and_then(|c| c.next_due());
        let due = due.map(|at| at.0.saturating_sub(UNIX + router.ahead));
        if due != router.due {
            if let Some(old) = std::mem::replace(&mut router.due, due) {
                self.due.remove(&(old, i));
            }
            self.due.extend(due.map(|at| (at, i)));
        }
    }

    fn apply_due_faults(&mut self) {
        while let Some((fault, begins)) = self.topology.next_fault() {
            self.topology.apply_fault(fault, begins);
            if let Fault { kind: Kind::BalancerRoll, on, len, .. } = fault {
                for (n, i) in on.iter().copied().enumerate().filter(|_| begins) {
                    self.kill(i);
                    self.returns.push((self.topology.recorder.now + len + n as u64 * BACK, i));
                }
            }
        }
        let now = self.topology.recorder.now;
        let due: Vec<usize> = self.returns.iter().filter(|(at, _)| *at <= now).map(|(_, i)| *i).collect();
        self.returns.retain(|(at, _)| *at > now);
        for i in due {
            self.start(i);
            self.topology.router_is(i, true);
        }
    }
}
