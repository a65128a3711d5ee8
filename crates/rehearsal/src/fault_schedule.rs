//! When the faults of a scenario begin and end, and what each does to the fake workers and clients.

use crate::network::Network;
use crate::record::Event;
use crate::scenario::{Fault, Kind};
use crate::topology::Topology;

/// The beginning or the end of a fault. Ordered by time, ends before beginnings, then by the fault's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Moment {
    at: u64,
    begins: bool,
    fault: usize,
}

/// The beginnings and ends of all faults, in the order of time.
pub struct FaultSchedule<'a> {
    faults: &'a [Fault],
    /// What is still to come, the next one last.
    moments: Vec<Moment>,
}

impl<'a> FaultSchedule<'a> {
    /// A schedule of these faults, none of which has begun.
    pub fn new(faults: &'a [Fault]) -> Self {
        let mut moments = Vec::with_capacity(2 * faults.len());
        for (i, fault) in faults.iter().enumerate() {
            moments.push(Moment { at: fault.at, begins: true, fault: i });
            moments.push(Moment { at: fault.at + fault.len, begins: false, fault: i });
        }
        moments.sort_by(|a, b| b.cmp(a));
        Self { faults, moments }
    }

    /// When the next fault begins or ends, µs; `u64::MAX` once all are over.
    pub fn next_due(&self) -> u64 {
        self.moments.last().map_or(u64::MAX, |moment| moment.at)
    }

    /// Whether all faults have ended.
    pub fn is_over(&self) -> bool {
        self.moments.is_empty()
    }

    /// The next fault that begins (`true`) or ends by now.
    pub fn pop_due(&mut self, now: u64) -> Option<(&'a Fault, bool)> {
        let moment = self.moments.pop_if(|moment| moment.at <= now)?;
        let fault = self.faults.get(moment.fault)?;
        Some((fault, moment.begins))
    }
}

impl<N: Network> Topology<'_, N> {
    /// Applies the beginning or the end of a fault to the fakes. What it does to routers is left to the caller.
    pub fn apply_fault(&mut self, fault: &Fault, begins: bool) {
        self.record_fault(fault, begins);
        match fault.kind {
            // These strike routers or the settlement job, which belong to the caller.
            Kind::BalancerRoll | Kind::HandOver | Kind::Reload | Kind::SettlementKilled => {}
            // The network applies these by itself.
            Kind::LinkCut | Kind::LinkMute | Kind::LinkDeaf | Kind::LinkSlow | Kind::LinkReset => {}
            Kind::Burst | Kind::HotKey | Kind::HeavyTail | Kind::GiveUp | Kind::SlowClients => {
                self.apply_client_fault(fault, begins);
            }
            Kind::Volley => {
                if begins {
                    self.clients.volley(fault.size as usize, &mut self.net, &mut self.recorder);
                }
            }
            Kind::OriginSlow => self.fleet.links_slow = if begins { fault.size } else { 1.0 },
            Kind::StaleList => self.fleet.stale = begins,
            _ => {
                for engine in fault.on.iter().copied() {
                    self.apply_engine_fault(engine, fault, begins);
                }
            }
        }
    }

    fn record_fault(&mut self, fault: &Fault, begins: bool) {
        let on: Vec<String> = match fault.kind {
            Kind::BalancerRoll | Kind::HandOver | Kind::Reload => {
                fault.on.iter().map(|i| format!("r{}", i + 1)).collect()
            }
            _ => fault.on.iter().map(|i| self.fleet.id(*i)).collect(),
        };
        let links = fault.links.as_ref().map(|links| links.of);
        self.recorder.add(Event::Fault { name: fault.kind.name().into(), on: on.join(" "), links, begins });
    }

    fn apply_client_fault(&mut self, fault: &Fault, begins: bool) {
        let clients = &mut self.clients;
        let share = if begins { fault.size } else { 0.0 };
        match fault.kind {
            Kind::Burst => clients.burst = if begins { fault.size } else { 1.0 },
            Kind::HotKey => clients.hot = share,
            Kind::HeavyTail => clients.long = share,
            Kind::GiveUp => clients.leaving = share,
            Kind::SlowClients => clients.slow = share,
            _ => {}
        }
    }

    fn apply_engine_fault(&mut self, engine: usize, fault: &Fault, begins: bool) {
        match fault.kind {
            Kind::Crash | Kind::MassRestart => {
                if begins {
                    self.fleet.crash(engine, false, &mut self.net, &mut self.recorder);
                } else {
                    self.fleet.restart(engine, &mut self.net, &mut self.recorder);
                }
            }
            Kind::Drain => self.fleet.drain(engine, begins, &mut self.recorder),
            Kind::Flush => {
                if let Some(engine) = self.fleet.engine(engine).filter(|_| begins) {
                    engine.forget_text();
                }
            }
            Kind::Slow | Kind::Hang => {
                if let Some(engine) = self.fleet.engine(engine) {
                    engine.hangs = begins && fault.kind == Kind::Hang;
                    engine.slow = if begins && fault.kind == Kind::Slow { fault.size } else { 1.0 };
                }
            }
            _ => self.apply_call_fault(engine, fault, begins),
        }
    }

    /// Faults that act while an engine handles a call.
    fn apply_call_fault(&mut self, engine: usize, fault: &Fault, begins: bool) {
        let size = if begins { fault.size } else { 0.0 };
        if let Some(faults) = self.fleet.troubles(engine) {
            match fault.kind {
                Kind::FastErrors => faults.errors = size,
                Kind::AnswerLost => faults.lost = size,
                Kind::Pauses => faults.pauses = size,
                Kind::Ageing => faults.ageing = size,
                Kind::ReportLate => faults.report_late = begins,
                _ => {}
            }
        }
        if fault.kind == Kind::Ageing && !begins {
            if let Some(engine) = self.fleet.engine(engine) {
                engine.slow = 1.0;
            }
        }
    }
}
