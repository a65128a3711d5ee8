//! All that stands in for the world around routers, on any network: engines, register, clients, and the faults that strike
//! them. What a fault does to routers is its caller's.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::Clients;
use crate::fleet::{Fleet, Tape};
use crate::links::Shaped;
use crate::net::{Happened, Net};
use crate::record::Seen;
use crate::scenario::{Fault, Kind, Scenario};
use crate::Error;

/// After the last arrival, answers are waited for this long, µs.
const TAIL: u64 = 30_000_000;
/// And held state that long, so that what is not let go shows, µs.
const SETTLE: u64 = 1_500_000;

/// The stand-ins of a day.
pub struct Scene<'a, N> {
    /// The day.
    pub scenario: &'a Scenario,
    /// What lies between them and the routers.
    pub net: Shaped<N>,
    /// What was seen.
    pub tape: Tape,
    /// Engines and register.
    pub fleet: Fleet,
    /// Clients.
    pub clients: Clients,
    /// Faults' beginnings and ends, in order of time, the next one last.
    moments: Vec<(u64, bool, usize)>,
    settled: Option<u64>,
}

impl<'a, N: Net> Scene<'a, N> {
    /// The day's beginning, at `unix` µs since 1970. `routers` makes these, given where the register is.
    pub fn new<R>(
        scenario: &'a Scenario,
        net: N,
        unix: u64,
        routers: impl FnOnce(&mut N, &[SocketAddr]) -> Result<(Vec<(String, SocketAddr)>, R), Error>,
    ) -> Result<(Self, R), Error> {
        let mut tape = Tape { lines: Vec::new(), now: 0 };
        let names = (1..=scenario.routers).map(|i| format!("r{i}")).collect();
        tape.add(Seen::Scenario {
            name: scenario.name.clone(),
            seed: scenario.seed,
            routers: names,
            classes: scenario.classes.clone(),
            figures: scenario.figures.clone(),
        });
        let rng = |n: u64| ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(n));
        let mut net = Shaped::new(net, scenario);
        let fleet = Fleet::new(scenario, &mut net, &mut tape, unix, rng(1))?;
        let (names, routers) = routers(&mut net.inner, &fleet.register)?;
        let clients = Clients::new(scenario, names, rng(2));
        let mut moments: Vec<(u64, bool, usize)> = Vec::new();
        for (i, f) in scenario.faults.iter().enumerate() {
            moments.push((f.at, true, i));
            moments.push((f.at + f.len, false, i));
        }
        moments.sort_by(|a, b| b.cmp(a));
        Ok((Self { scenario, net, tape, fleet, clients, moments, settled: None }, routers))
    }

    /// Time goes on, µs since the day began.
    pub fn at(&mut self, now: u64) {
        self.tape.now = now;
        self.net.at(now);
    }

    /// What the stand-ins do by themselves at this time. True: the day is over.
    pub fn tick(&mut self) -> bool {
        let happened = self.net.tick();
        self.hear(happened);
        self.fleet.tick(&mut self.net, &mut self.tape);
        self.clients.tick(&mut self.net, &mut self.tape);
        let now = self.tape.now;
        if now > self.scenario.length && self.clients.is_done() && self.moments.is_empty() {
            let until = *self.settled.get_or_insert(now + SETTLE);
            return now >= until;
        }
        now > self.scenario.length + TAIL
    }

    /// When that is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let moment = self.moments.last().map_or(u64::MAX, |m| m.0);
        let end = self.settled.unwrap_or(u64::MAX);
        let stand_ins = self.fleet.next_due().min(self.clients.next_due()).min(self.net.next_due());
        stand_ins.min(moment).min(end)
    }

    /// The next fault that begins, or ends, by now.
    pub fn next_fault(&mut self) -> Option<(&'a Fault, bool)> {
        let (_, begins, i) = self.moments.pop_if(|(at, ..)| *at <= self.tape.now)?;
        self.scenario.faults.get(i).map(|f| (f, begins))
    }

    /// Tells the stand-ins what happened on the network.
    pub fn spread(&mut self, happened: Vec<Happened>) {
        let heard = self.net.pass(happened);
        self.hear(heard);
    }

    fn hear(&mut self, happened: Vec<Happened>) {
        for h in happened {
            match h {
                Happened::Accepted(listener, conn) => {
                    if !self.fleet.accepted(listener, conn, &mut self.tape) {
                        self.net.cut(conn);
                    }
                }
                Happened::Connected(conn) => self.clients.connected(conn, &mut self.net, &mut self.tape),
                Happened::Bytes(conn, bytes) if self.clients.owns(conn) => {
                    self.clients.bytes(conn, &bytes, &mut self.net, &mut self.tape);
                }
                Happened::Bytes(conn, bytes) => self.fleet.bytes(conn, &bytes, &mut self.net, &mut self.tape),
                Happened::Gone(conn) => {
                    self.clients.gone(conn, &mut self.tape);
                    self.fleet.gone(conn, &mut self.tape);
                }
            }
        }
    }

    /// A router is gone, or there again: the front layer learns of it by and by.
    pub fn router_is(&mut self, i: usize, up: bool) {
        self.clients.router_is(i, up, self.tape.now);
        self.tape.add(Seen::Router { router: format!("r{}", i + 1), up });
    }

    /// What a fault's beginning or end does to the stand-ins.
    pub fn fault(&mut self, fault: &Fault, begins: bool) {
        let Self { fleet, clients, net, tape, .. } = self;
        let on: Vec<String> = match fault.kind {
            Kind::BalancerRoll | Kind::HandOver | Kind::Reload => {
                fault.on.iter().map(|i| format!("r{}", i + 1)).collect()
            }
            _ => fault.on.iter().map(|i| fleet.id(*i)).collect(),
        };
        let links = fault.links.as_ref().map(|links| links.of);
        tape.add(Seen::Fault { name: fault.kind.name().into(), on: on.join(" "), links, begins });
        match fault.kind {
            Kind::Burst => clients.burst = if begins { fault.size } else { 1.0 },
            Kind::HotKey => clients.hot = if begins { fault.size } else { 0.0 },
            Kind::HeavyTail => clients.long = if begins { fault.size } else { 0.0 },
            Kind::GiveUp => clients.leaving = if begins { fault.size } else { 0.0 },
            Kind::SlowClients => clients.slow = if begins { fault.size } else { 0.0 },
            Kind::OriginSlow => fleet.links_slow = if begins { fault.size } else { 1.0 },
            Kind::StaleList => fleet.stale = begins,
            // The caller's: they strike routers, or the job beside them.
            Kind::BalancerRoll | Kind::HandOver | Kind::Reload | Kind::SettlementKilled => {}
            // The network's.
            Kind::LinkCut | Kind::LinkMute | Kind::LinkDeaf | Kind::LinkSlow | Kind::LinkReset => {}
            Kind::Volley if begins => clients.volley(fault.size as usize, net, tape),
            Kind::Volley => {}
            Kind::Crash | Kind::MassRestart => {
                for i in fault.on.iter().copied() {
                    if begins {
                        fleet.crash(i, false, net, tape);
                    } else {
                        fleet.restart(i, net, tape);
                    }
                }
            }
            Kind::Drain => {
                for i in fault.on.iter().copied() {
                    fleet.drain(i, begins, tape);
                }
            }
            Kind::Flush => {
                for i in fault.on.iter().copied().filter(|_| begins) {
                    if let Some(engine) = fleet.engine(i) {
                        engine.forget_text();
                    }
                }
            }
            Kind::Slow | Kind::Hang => {
                for i in fault.on.iter().copied() {
                    if let Some(engine) = fleet.engine(i) {
                        engine.hangs = begins && fault.kind == Kind::Hang;
                        engine.slow = if begins && fault.kind == Kind::Slow { fault.size } else { 1.0 };
                    }
                }
            }
            Kind::FastErrors | Kind::AnswerLost | Kind::Pauses | Kind::Ageing | Kind::ReportLate => {
                for i in fault.on.iter().copied() {
                    if let Some(t) = fleet.troubles(i) {
                        let size = if begins { fault.size } else { 0.0 };
                        match fault.kind {
                            Kind::FastErrors => t.errors = size,
                            Kind::AnswerLost => t.lost = size,
                            Kind::Pauses => t.pauses = size,
                            Kind::Ageing => t.ageing = size,
                            _ => t.report_late = begins,
                        }
                    }
                    if let Some(engine) = fleet.engine(i).filter(|_| !begins && fault.kind == Kind::Ageing) {
                        engine.slow = 1.0;
                    }
                }
            }
        }
    }
}
