//! All that surrounds the routers of a scenario, on any network: fake engines, discovery and clients, played by one clock.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::Clients;
use crate::fault_schedule::FaultSchedule;
use crate::fleet::Fleet;
use crate::link_faults::FaultyNetwork;
use crate::network::{Network, NetworkEvent};
use crate::record::{Event, Recorder};
use crate::scenario::{Fault, Scenario};
use crate::Error;

/// How long answers are awaited after the last arrival, µs.
const TAIL: u64 = 30_000_000;
/// How long the topology goes on after that, so that reservations that are never released show, µs.
const SETTLE: u64 = 1_500_000;

/// The fakes of a scenario and the network between them and the routers.
pub struct Topology<'a, N> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The network between the fakes and the routers.
    pub net: FaultyNetwork<N>,
    /// The recorded traffic.
    pub recorder: Recorder,
    /// Fake workers and discovery.
    pub fleet: Fleet,
    /// Clients.
    pub clients: Clients,
    /// When faults begin and end.
    faults: FaultSchedule<'a>,
    settled: Option<u64>,
}

impl<'a, N: Network> Topology<'a, N> {
    /// A topology whose scenario begins at `unix` µs since 1970. `routers` makes the routers, given the addresses of
    /// discovery.
    pub fn new<R>(
        scenario: &'a Scenario,
        net: N,
        unix: u64,
        routers: impl FnOnce(&mut N, &[SocketAddr]) -> Result<(Vec<(String, SocketAddr)>, R), Error>,
    ) -> Result<(Self, R), Error> {
        let mut recorder = Recorder::default();
        let names = (1..=scenario.routers).map(|i| format!("r{i}")).collect();
        recorder.add(Event::Scenario {
            name: scenario.name.clone(),
            seed: scenario.seed,
            routers: names,
            classes: scenario.classes.clone(),
            limits: scenario.limits.clone(),
        });
        let rng = |n: u64| ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(n));
        let mut net = FaultyNetwork::new(net, scenario);
        let fleet = Fleet::new(scenario, &mut net, &mut recorder, unix, rng(1))?;
        let (names, routers) = routers(&mut net.inner, &fleet.register)?;
        let clients = Clients::new(scenario, names, rng(2));
        let faults = FaultSchedule::new(&scenario.faults);
        Ok((Self { scenario, net, recorder, fleet, clients, faults, settled: None }, routers))
    }

    /// Sets the time, µs since the scenario began.
    pub fn advance_to(&mut self, now: u64) {
        self.recorder.now = now;
        self.net.set_time(now);
    }

    /// Runs what is due. Returns true once the scenario is over.
    pub fn tick(&mut self) -> bool {
        let events = self.net.tick();
        self.dispatch(events);
        self.fleet.tick(&mut self.net, &mut self.recorder);
        self.clients.tick(&mut self.net, &mut self.recorder);
        let now = self.recorder.now;
        if now > self.scenario.length && self.clients.is_done() && self.faults.is_over() {
            let until = *self.settled.get_or_insert(now + SETTLE);
            return now >= until;
        }
        now > self.scenario.length + TAIL
    }

    /// When [`Topology::tick`] is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let end = self.settled.unwrap_or(u64::MAX);
        let stand_ins = self.fleet.next_due().min(self.clients.next_due()).min(self.net.next_due());
        stand_ins.min(self.faults.next_due()).min(end)
    }

    /// The next fault that begins (`true`) or ends by now.
    pub fn next_fault(&mut self) -> Option<(&'a Fault, bool)> {
        self.faults.pop_due(self.recorder.now)
    }

    /// Takes events of the network and passes them to the fakes.
    pub fn receive(&mut self, events: Vec<NetworkEvent>) {
        let events = self.net.receive(events);
        self.dispatch(events);
    }

    fn dispatch(&mut self, events: Vec<NetworkEvent>) {
        for event in events {
            match event {
                NetworkEvent::Accepted(listener, conn) => {
                    if !self.fleet.accepted(listener, conn, &mut self.recorder) {
                        self.net.close(conn);
                    }
                }
                NetworkEvent::Connected(conn) => {
                    self.clients.connected(conn, &mut self.net, &mut self.recorder)
                }
                NetworkEvent::Received(conn, bytes) if self.clients.owns(conn) => {
                    self.clients.bytes(conn, &bytes, &mut self.net, &mut self.recorder);
                }
                NetworkEvent::Received(conn, bytes) => {
                    self.fleet.bytes(conn, &bytes, &mut self.net, &mut self.recorder)
                }
                NetworkEvent::Closed(conn) => {
                    self.clients.closed(conn, &mut self.recorder);
                    self.fleet.gone(conn, &mut self.recorder);
                }
            }
        }
    }

    /// Records that a router has stopped or started; the clients' load balancer learns of it with a delay.
    pub fn router_is(&mut self, i: usize, up: bool) {
        self.clients.router_is(i, up, self.recorder.now);
        self.recorder.add(Event::Router { router: format!("r{}", i + 1), up });
    }
}
