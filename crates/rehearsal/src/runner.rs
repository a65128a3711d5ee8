//! Plays a scenario on sockets: one loop for all fakes, routers beside it as processes.

use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::network::Sockets;
use crate::record::{Event, Line};
use crate::routers::Routers;
use crate::scenario::{Fault, Kind, Scenario, Sharing};
use crate::topology::Topology;
use crate::{Error, Plan};

/// Routers must take connections within this time of their start.
const READY: Duration = Duration::from_secs(10);

struct Runner<'a> {
    topology: Topology<'a, Sockets>,
    routers: Routers,
    /// Routers to be started again at a time.
    returns: Vec<(u64, usize)>,
}

/// Plays the scenario and gives all that crossed the sockets.
pub fn play(scenario: &Scenario, plan: &Plan) -> Result<Vec<Line>, Error> {
    play_and(scenario, plan, |_, _| Ok(())).map(|(lines, ())| lines)
}

/// Plays the scenario, and looks at what the routers left behind before it goes.
pub fn play_and<T>(
    scenario: &Scenario,
    plan: &Plan,
    look: impl FnOnce(&Path, &[Line]) -> Result<T, Error>,
) -> Result<(Vec<Line>, T), Error> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let (topology, routers) = Topology::new(scenario, Sockets::new()?, unix, |_, discovery| {
        let routers = Routers::new(scenario, plan.exe.clone(), discovery)?;
        Ok((routers.names.clone(), routers))
    })?;
    let mut runner = Runner { topology, routers, returns: Vec::new() };
    let result = runner.run();
    runner.routers.stop();
    let looked = result.and_then(|()| look(runner.routers.folder(), &runner.topology.recorder.lines));
    runner.routers.finish(looked.is_err());
    Ok((runner.topology.recorder.lines, looked?))
}

impl Runner<'_> {
    fn run(&mut self) -> Result<(), Error> {
        let scenario = self.topology.scenario;
        for i in 0..scenario.routers {
            self.routers.start(i, scenario.seed)?;
        }
        if scenario.budgets.as_ref().is_some_and(|b| b.sharing == Sharing::Leases) {
            self.routers.start_settlement()?;
        }
        self.await_ready()?;
        let start = Instant::now();
        loop {
            let now = start.elapsed().as_micros() as u64;
            self.topology.advance_to(now);
            self.apply_due_faults()?;
            if self.topology.tick() {
                return Ok(());
            }
            let returns = self.returns.iter().map(|(at, _)| *at).min().unwrap_or(u64::MAX);
            let wait = self.topology.next_due().min(returns).saturating_sub(now).clamp(0, 50_000);
            let events = self.topology.net.inner.wait(Duration::from_micros(wait))?;
            self.topology.advance_to(start.elapsed().as_micros() as u64);
            self.topology.receive(events);
        }
    }

    /// The fakes answer while the routers start, since these ask discovery first.
    fn await_ready(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        let names = self.routers.names.clone();
        for (_, address) in &names {
            while TcpStream::connect_timeout(address, Duration::from_millis(50)).is_err() {
                if let Some(error) = self.routers.ended() {
                    return Err(Error::CouldNotRun(error));
                }
                if start.elapsed() > READY {
                    return Err(Error::CouldNotRun(format!("no router came up at {address}")));
                }
                let events = self.topology.net.inner.wait(Duration::from_millis(10))?;
                self.topology.receive(events);
            }
        }
        // Their first lists, and leases.
        for _ in 0..if self.topology.scenario.budgets.is_some() { 200 } else { 20 } {
            let events = self.topology.net.inner.wait(Duration::from_millis(5))?;
            self.topology.receive(events);
        }
        for (name, _) in names {
            self.topology.recorder.add(Event::Router { router: name, up: true });
        }
        Ok(())
    }

    fn apply_due_faults(&mut self) -> Result<(), Error> {
        while let Some((fault, begins)) = self.topology.next_fault() {
            self.topology.apply_fault(fault, begins);
            self.apply_fault(fault, begins)?;
        }
        let now = self.topology.recorder.now;
        let (due, rest) = std::mem::take(&mut self.returns).into_iter().partition(|(at, _)| *at <= now);
        self.returns = rest;
        let due: Vec<(u64, usize)> = due;
        for (_, i) in due {
            self.routers.start(i, self.topology.scenario.seed)?;
            self.topology.router_is(i, true);
        }
        if let Some(error) = self.routers.ended() {
            return Err(Error::CouldNotRun(error));
        }
        Ok(())
    }

    /// What a fault does to the processes.
    fn apply_fault(&mut self, fault: &Fault, begins: bool) -> Result<(), Error> {
        let (now, seed) = (self.topology.recorder.now, self.topology.scenario.seed);
        match fault.kind {
            Kind::BalancerRoll if begins => {
                for (n, i) in fault.on.iter().copied().enumerate() {
                    self.routers.kill(i);
                    self.topology.router_is(i, false);
                    self.returns.push((now + fault.len + n as u64 * 300_000, i));
                }
            }
            Kind::HandOver | Kind::Reload if begins => {
                for i in fault.on.iter().copied() {
                    match fault.kind {
                        Kind::HandOver => self.routers.hand_over(i, seed)?,
                        _ => self.routers.signal(i, "-HUP")?,
                    }
                }
            }
            Kind::SettlementKilled if self.routers.settles() => match begins {
                true => self.routers.kill_settlement(),
                false => self.routers.start_settlement()?,
            },
            _ => {}
        }
        Ok(())
    }
}
