//! All that surrounds the routers of a scenario, on any network: fake engines, discovery and clients, played by one clock.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::Clients;
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, Tape};
use crate::links::Shaped;
use crate::net::{Happened, Net};
use crate::record::Seen;
use crate::scenario::{Fault, Scenario};
use crate::Error;

/// After the last arrival, answers are waited for this long, µs.
const TAIL: u64 = 30_000_000;
/// And held state that long, so that what is not let go shows, µs.
const SETTLE: u64 = 1_500_000;

/// The stand-ins of a day.
pub struct Topology<'a, N> {
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
    /// When faults begin and end.
    faults: FaultSchedule<'a>,
    settled: Option<u64>,
}

impl<'a, N: Net> Topology<'a, N> {
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
        let faults = FaultSchedule::new(&scenario.faults);
        Ok((Self { scenario, net, tape, fleet, clients, faults, settled: None }, routers))
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
        if now > self.scenario.length && self.clients.is_done() && self.faults.is_over() {
            let until = *self.settled.get_or_insert(now + SETTLE);
            return now >= until;
        }
        now > self.scenario.length + TAIL
    }

    /// When that is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let end = self.settled.unwrap_or(u64::MAX);
        let stand_ins = self.fleet.next_due().min(self.clients.next_due()).min(self.net.next_due());
        stand_ins.min(self.faults.next_due()).min(end)
    }

    /// The next fault that begins (`true`) or ends by now.
    pub fn next_fault(&mut self) -> Option<(&'a Fault, bool)> {
        self.faults.pop_due(self.tape.now)
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
}
