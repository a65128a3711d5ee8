//! Indexes a record by subject: clients' attempts, attempts at engines, reservations, notifications and faults.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Answer, AttemptEnd, Class, Event, Line, ReleaseCause, RuleLimits, Stage};
use crate::scenario::LinkScope;

/// A link fault can still break a client's connection this long after the fault ends, µs.
const RESET_NOISE_US: u64 = 20_000;

/// A router's attempt at an engine.
pub(super) struct Attempt<'a> {
    pub(super) engine: &'a str,
    pub(super) router: &'a str,
    pub(super) request: &'a str,
    pub(super) identity: &'a str,
    pub(super) class: &'a str,
    pub(super) stage: Stage,
    /// The timeout that the router passed to the engine, µs.
    pub(super) timeout: Option<u64>,
    pub(super) arrived: u64,
    pub(super) ended: Option<(u64, AttemptEnd)>,
    pub(super) ran: Option<u64>,
}

/// A client's attempt of a request.
pub(super) struct ClientAttempt<'a> {
    pub(super) identity: &'a str,
    pub(super) router: &'a str,
    pub(super) class: &'a str,
    pub(super) prompt: u64,
    pub(super) sent: u64,
    pub(super) deadline: u64,
    pub(super) first: Option<u64>,
    /// Final answers: time, kind and number of tokens.
    pub(super) answers: Vec<(u64, Answer, u64)>,
    pub(super) left: Option<u64>,
    pub(super) lost: Option<u64>,
}

/// KV state that an engine reserved for a request.
pub(super) struct Reservation<'a> {
    pub(super) engine: &'a str,
    pub(super) request: &'a str,
    pub(super) from: u64,
    pub(super) released: Option<(u64, ReleaseCause)>,
}

/// A fault of network links.
pub(super) struct LinkFault<'a> {
    pub(super) name: &'a str,
    /// Engines whose links are affected; empty for all.
    pub(super) engines: BTreeSet<&'a str>,
    /// Whether the links of clients are affected.
    pub(super) to_clients: bool,
    pub(super) from: u64,
    pub(super) until: u64,
}

/// A state of an engine that discovery notified a router of.
pub(super) struct Notification<'a> {
    pub(super) at: u64,
    /// `in`, `draining` or `out`.
    pub(super) state: &'a str,
    /// Start time of the engine's process, µs.
    pub(super) started: u64,
}

impl Notification<'_> {
    /// Whether the engine takes new work.
    pub(super) fn is_active(&self) -> bool {
        self.state == "in"
    }
}

/// A cold start of an engine.
pub(super) struct ColdStart<'a> {
    pub(super) engine: &'a str,
    pub(super) at: u64,
    /// End time of the process, µs; `u64::MAX` if it is still running.
    pub(super) ended: u64,
    /// Whether the process ended because of overload.
    pub(super) overloaded: bool,
}

/// A time span in which the process of an engine was not running.
pub(super) struct Downtime<'a> {
    pub(super) engine: &'a str,
    pub(super) from: u64,
    pub(super) until: u64,
}

/// The events of a record, indexed by subject.
pub(super) struct Trace<'a> {
    pub(super) limits: &'a RuleLimits,
    pub(super) classes: &'a [Class],
    pub(super) attempts: BTreeMap<u64, Attempt<'a>>,
    pub(super) client_attempts: BTreeMap<u64, ClientAttempt<'a>>,
    pub(super) reservations: Vec<Reservation<'a>>,
    /// Kills of routers: name and time.
    pub(super) kills: Vec<(&'a str, u64)>,
    /// Notifications by router and engine.
    pub(super) notifications: BTreeMap<(&'a str, &'a str), Vec<Notification<'a>>>,
    pub(super) cold_starts: Vec<ColdStart<'a>>,
    /// Cell and capacity by engine.
    pub(super) engines: BTreeMap<&'a str, (u64, f64)>,
    /// Downtimes of engines that decode.
    pub(super) downtimes: Vec<Downtime<'a>>,
    prefill_engines: BTreeSet<&'a str>,
    links: Vec<LinkFault<'a>>,
    pub(super) end: u64,
}

impl<'a> Trace<'a> {
    /// Indexes a record; returns the trace with the name and the seed of its scenario.
    pub(super) fn read(lines: &'a [Line]) -> Option<(Self, &'a str, u64)> {
        let Event::Scenario { name, seed, classes, limits, .. } = &lines.first()?.event else { return None };
        let mut trace = Self {
            limits,
            classes,
            attempts: BTreeMap::new(),
            client_attempts: BTreeMap::new(),
            reservations: Vec::new(),
            kills: Vec::new(),
            notifications: BTreeMap::new(),
            cold_starts: Vec::new(),
            engines: BTreeMap::new(),
            downtimes: Vec::new(),
            prefill_engines: BTreeSet::new(),
            links: Vec::new(),
            end: lines.last().map_or(0, |l| l.t),
        };
        for line in lines {
            trace.add_fault(line);
            trace.add_engine_event(line);
            trace.add_attempt_event(line);
            trace.add_reservation_event(line);
            trace.add_client_event(line);
        }
        Some((trace, name, *seed))
    }

    fn add_fault(&mut self, line: &'a Line) {
        match &line.event {
            Event::Fault { name, on, links, begins: true } if name.starts_with("link_") => {
                // A fault without a link scope can affect all links.
                let to_clients = !matches!(links, Some(LinkScope::Engines | LinkScope::Discovery));
                let engines = on.split_whitespace().collect();
                self.links.push(LinkFault { name, engines, to_clients, from: line.t, until: u64::MAX });
            }
            Event::Fault { name, begins: false, .. } => {
                if let Some(open) = self.links.iter_mut().find(|l| l.name == name && l.until == u64::MAX) {
                    open.until = line.t;
                }
            }
            Event::Router { router, up: false } => self.kills.push((router, line.t)),
            _ => {}
        }
    }

    fn add_engine_event(&mut self, line: &'a Line) {
        let t = line.t;
        match &line.event {
            Event::Engine { engine, role, cell, capacity_per_s } => {
                if role == "reader" {
                    self.prefill_engines.insert(engine);
                }
                self.engines.insert(engine, (*cell, *capacity_per_s));
            }
            Event::Start { engine, cold } => {
                if *cold {
                    let start = ColdStart { engine, at: t, ended: u64::MAX, overloaded: false };
                    self.cold_starts.push(start);
                }
                let open = |d: &&mut Downtime<'_>| d.engine == engine && d.until == u64::MAX;
                if let Some(downtime) = self.downtimes.iter_mut().rev().find(open) {
                    downtime.until = t;
                }
            }
            Event::Down { engine, overloaded } => {
                if !self.prefill_engines.contains(engine.as_str()) {
                    self.downtimes.push(Downtime { engine, from: t, until: u64::MAX });
                }
                let open = |s: &&mut ColdStart<'_>| s.engine == engine && s.ended == u64::MAX;
                if let Some(start) = self.cold_starts.iter_mut().rev().find(open) {
                    start.ended = t;
                    start.overloaded = *overloaded;
                }
            }
            Event::Notified { router, engine, state, started } => {
                let notification = Notification { at: t, state, started: *started };
                self.notifications.entry((router, engine)).or_default().push(notification);
            }
            _ => {}
        }
    }

    fn add_attempt_event(&mut self, line: &'a Line) {
        let t = line.t;
        match &line.event {
            Event::AttemptArrived {
                attempt,
                engine,
                router,
                request,
                identity,
                class,
                stage,
                timeout_us,
            } => {
                let arrived = Attempt {
                    engine,
                    router,
                    request,
                    identity,
                    class,
                    stage: *stage,
                    timeout: *timeout_us,
                    arrived: t,
                    ended: None,
                    ran: None,
                };
                self.attempts.insert(*attempt, arrived);
            }
            Event::AttemptRan { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.ran = Some(t);
                }
            }
            Event::AttemptEnded { attempt, how } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.ended = Some((t, *how));
                }
            }
            _ => {}
        }
    }

    fn add_reservation_event(&mut self, line: &'a Line) {
        match &line.event {
            Event::Reserved { engine, request } => {
                self.reservations.push(Reservation { engine, request, from: line.t, released: None });
            }
            Event::Released { engine, request, how } => {
                let open = |r: &&mut Reservation<'_>| {
                    r.engine == engine && r.request == request && r.released.is_none()
                };
                if let Some(reservation) = self.reservations.iter_mut().rev().find(open) {
                    reservation.released = Some((line.t, *how));
                }
            }
            _ => {}
        }
    }

    fn add_client_event(&mut self, line: &'a Line) {
        let t = line.t;
        match &line.event {
            Event::Request { number, identity, router, class, prompt, deadline, .. } => {
                let attempt = ClientAttempt {
                    identity,
                    router,
                    class,
                    prompt: *prompt,
                    sent: t,
                    deadline: *deadline,
                    first: None,
                    answers: Vec::new(),
                    left: None,
                    lost: None,
                };
                self.client_attempts.insert(*number, attempt);
            }
            Event::FirstToken { number } => {
                if let Some(attempt) = self.client_attempts.get_mut(number) {
                    attempt.first.get_or_insert(t);
                }
            }
            Event::Answer { number, how, tokens, .. } => {
                if let Some(attempt) = self.client_attempts.get_mut(number) {
                    attempt.answers.push((t, *how, *tokens));
                }
            }
            Event::ClientLeft { number } => {
                if let Some(attempt) = self.client_attempts.get_mut(number) {
                    attempt.left = Some(t);
                }
            }
            Event::ConnectionLost { number } => {
                if let Some(attempt) = self.client_attempts.get_mut(number) {
                    attempt.lost = Some(t);
                }
            }
            _ => {}
        }
    }

    /// Whether a fault of clients' links broke their connections at this time. A fault of engines' links does not excuse
    /// a missing answer.
    pub(super) fn clients_disconnected(&self, at: u64) -> bool {
        let breaks = |name: &str| matches!(name, "link_reset" | "link_cut");
        let is_active = |l: &LinkFault<'_>| (l.from..=l.until.saturating_add(RESET_NOISE_US)).contains(&at);
        self.links.iter().any(|l| l.to_clients && breaks(l.name) && is_active(l))
    }

    /// Until when an answer sent by an engine at this time cannot reach its router. The attempt counts as in flight until
    /// then.
    pub(super) fn unreachable_until(&self, engine: &str, at: u64) -> Option<u64> {
        let blocks_answers = |name: &str| matches!(name, "link_mute" | "link_deaf" | "link_cut");
        let is_blocking = |l: &&LinkFault<'_>| {
            let affects_engine = l.engines.is_empty() || l.engines.contains(engine);
            blocks_answers(l.name) && affects_engine && (l.from..l.until).contains(&at)
        };
        self.links.iter().filter(is_blocking).map(|l| l.until).max()
    }

    pub(super) fn class(&self, name: &str) -> Option<&'a Class> {
        self.classes.iter().find(|c| c.name == name)
    }

    /// Whether the router was killed in this span.
    pub(super) fn killed(&self, router: &str, from: u64, to: u64) -> bool {
        self.kills.iter().any(|(r, t)| *r == router && (from..=to).contains(t))
    }
}
