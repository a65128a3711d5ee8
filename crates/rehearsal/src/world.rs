//! Plays a day: one loop for all stand-ins, routers beside it.

use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::Clients;
use crate::day::{Day, Fault, Kind, Sharing};
use crate::fleet::{Fleet, Tape};
use crate::net::{Happened, Net};
use crate::record::{Line, Seen};
use crate::routers::Routers;
use crate::{Error, Plan};

/// Routers must take connections within this time of their start.
const READY: Duration = Duration::from_secs(10);
/// After the last arrival, answers are waited for this long, µs.
const TAIL: u64 = 30_000_000;
/// And held state that long, so that what is not let go shows, µs.
const SETTLE: u64 = 1_500_000;

struct World<'a> {
    day: &'a Day,
    net: Net,
    tape: Tape,
    fleet: Fleet,
    clients: Clients,
    routers: Routers,
    /// Faults' beginnings and ends, in order of time, the next one last.
    moments: Vec<(u64, bool, usize)>,
    /// Routers to be started again at a time.
    returns: Vec<(u64, usize)>,
}

/// Plays the day and gives all that crossed the sockets.
pub fn play(day: &Day, plan: &Plan) -> Result<Vec<Line>, Error> {
    play_and(day, plan, |_, _| Ok(())).map(|(lines, ())| lines)
}

/// Plays the day, and looks at what the routers left behind before it goes.
pub fn play_and<T>(
    day: &Day,
    plan: &Plan,
    look: impl FnOnce(&Path, &[Line]) -> Result<T, Error>,
) -> Result<(Vec<Line>, T), Error> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let mut net = Net::new()?;
    let mut tape = Tape { lines: Vec::new(), now: 0 };
    let names = (1..=day.routers).map(|i| format!("r{i}")).collect();
    tape.add(Seen::Day {
        name: day.name.clone(),
        seed: day.seed,
        routers: names,
        classes: day.classes.clone(),
        figures: day.figures.clone(),
    });
    let rng = |n: u64| ChaCha8Rng::seed_from_u64(day.seed.wrapping_mul(0x9e37_79b9).wrapping_add(n));
    let fleet = Fleet::new(day, &mut net, &mut tape, unix, rng(1))?;
    let routers = Routers::new(day, plan.exe.clone(), fleet.register)?;
    let clients = Clients::new(day, routers.names.clone(), rng(2));
    let mut moments: Vec<(u64, bool, usize)> = Vec::new();
    for (i, f) in day.faults.iter().enumerate() {
        moments.push((f.at, true, i));
        moments.push((f.at + f.len, false, i));
    }
    moments.sort_by(|a, b| b.cmp(a));
    let mut world = World { day, net, tape, fleet, clients, routers, moments, returns: Vec::new() };
    let result = world.run();
    world.routers.stop();
    let looked = result.and_then(|()| look(world.routers.folder(), &world.tape.lines));
    world.routers.finish(looked.is_err());
    Ok((world.tape.lines, looked?))
}

impl World<'_> {
    fn run(&mut self) -> Result<(), Error> {
        for i in 0..self.day.routers {
            self.routers.start(i, self.day.seed)?;
        }
        if self.day.budgets.as_ref().is_some_and(|b| b.sharing == Sharing::Leases) {
            self.routers.start_settlement()?;
        }
        self.wait_ready()?;
        let start = Instant::now();
        let mut settled = None;
        loop {
            self.tape.now = start.elapsed().as_micros() as u64;
            let now = self.tape.now;
            self.faults()?;
            self.fleet.tick(&mut self.net, &mut self.tape);
            self.clients.tick(&mut self.net, &mut self.tape);
            if now > self.day.length && self.clients.is_done() && self.moments.is_empty() {
                let until = *settled.get_or_insert(now + SETTLE);
                if now >= until {
                    return Ok(());
                }
            }
            if now > self.day.length + TAIL {
                return Ok(());
            }
            let due = self.fleet.next_due().min(self.clients.next_due()).min(self.next_moment());
            let wait = due.saturating_sub(now).clamp(0, 50_000);
            let happened = self.net.wait(Duration::from_micros(wait))?;
            self.tape.now = start.elapsed().as_micros() as u64;
            self.spread(happened);
        }
    }

    fn spread(&mut self, happened: Vec<Happened>) {
        for h in happened {
            match h {
                Happened::Accepted(listener, conn) => {
                    if !self.fleet.accepted(listener, conn) {
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

    /// The stand-ins answer while the routers start, since these ask the register first.
    fn wait_ready(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        let addresses: Vec<_> = self.routers.names.iter().map(|(_, a)| *a).collect();
        for address in addresses {
            while TcpStream::connect_timeout(&address, Duration::from_millis(50)).is_err() {
                if let Some(why) = self.routers.ended() {
                    return Err(Error::CouldNotRun(why));
                }
                if start.elapsed() > READY {
                    return Err(Error::CouldNotRun(format!("no router came up at {address}")));
                }
                let happened = self.net.wait(Duration::from_millis(10))?;
                self.spread(happened);
            }
        }
        // Their first lists, and leases.
        for _ in 0..if self.day.budgets.is_some() { 200 } else { 20 } {
            let happened = self.net.wait(Duration::from_millis(5))?;
            self.spread(happened);
        }
        for (name, _) in self.routers.names.clone() {
            self.tape.add(Seen::Router { router: name, up: true });
        }
        Ok(())
    }

    fn next_moment(&self) -> u64 {
        let returns = self.returns.iter().map(|(at, _)| *at).min().unwrap_or(u64::MAX);
        self.moments.last().map_or(u64::MAX, |m| m.0).min(returns)
    }

    fn faults(&mut self) -> Result<(), Error> {
        while let Some((_, begins, i)) = self.moments.pop_if(|(at, ..)| *at <= self.tape.now) {
            if let Some(fault) = self.day.faults.get(i) {
                self.fault(fault, begins)?;
            }
        }
        let (due, rest) =
            std::mem::take(&mut self.returns).into_iter().partition(|(at, _)| *at <= self.tape.now);
        self.returns = rest;
        let due: Vec<(u64, usize)> = due;
        for (_, i) in due {
            self.routers.start(i, self.day.seed)?;
            self.clients.router_is(i, true, self.tape.now);
            let router = self.routers.names.get(i).map(|n| n.0.clone()).unwrap_or_default();
            self.tape.add(Seen::Router { router, up: true });
        }
        if let Some(why) = self.routers.ended() {
            return Err(Error::CouldNotRun(why));
        }
        Ok(())
    }

    fn fault(&mut self, fault: &Fault, begins: bool) -> Result<(), Error> {
        let World { fleet, clients, net, tape, .. } = self;
        let on: Vec<String> = match fault.kind {
            Kind::BalancerRoll | Kind::HandOver | Kind::Reload => {
                fault.on.iter().map(|i| format!("r{}", i + 1)).collect()
            }
            _ => fault.on.iter().map(|i| fleet.id(*i)).collect(),
        };
        tape.add(Seen::Fault { name: fault.kind.name().into(), on: on.join(" "), begins });
        match fault.kind {
            Kind::Burst => clients.burst = if begins { fault.size } else { 1.0 },
            Kind::HotKey => clients.hot = if begins { fault.size } else { 0.0 },
            Kind::HeavyTail => clients.long = if begins { fault.size } else { 0.0 },
            Kind::GiveUp => clients.leaving = if begins { fault.size } else { 0.0 },
            Kind::SlowClients => clients.slow = if begins { fault.size } else { 0.0 },
            Kind::OriginSlow => fleet.links_slow = if begins { fault.size } else { 1.0 },
            Kind::StaleList => fleet.stale = begins,
            Kind::BalancerRoll if begins => {
                for (n, i) in fault.on.iter().copied().enumerate() {
                    self.routers.kill(i);
                    let router = self.routers.names.get(i).map(|r| r.0.clone()).unwrap_or_default();
                    self.tape.add(Seen::Router { router, up: false });
                    self.clients.router_is(i, false, self.tape.now);
                    self.returns.push((self.tape.now + fault.len + n as u64 * 300_000, i));
                }
            }
            Kind::BalancerRoll => {}
            Kind::HandOver | Kind::Reload => {
                for i in fault.on.iter().copied().filter(|_| begins) {
                    match fault.kind {
                        Kind::HandOver => self.routers.hand_over(i, self.day.seed)?,
                        _ => self.routers.signal(i, "-HUP")?,
                    }
                }
            }
            Kind::Volley if begins => clients.volley(fault.size as usize, net, tape),
            Kind::Volley => {}
            Kind::SettlementKilled if self.routers.settles() => match begins {
                true => self.routers.kill_settlement(),
                false => self.routers.start_settlement()?,
            },
            Kind::SettlementKilled => {}
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
        Ok(())
    }
}
