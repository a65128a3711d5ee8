//! A record sorted out: attempts, tries, held state, what routers were told, and the faults of the day.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Answer, Class, End, Figures, Freed, Line, Seen, Stage};
use crate::scenario::LinkOf;

/// A connection that a fault of links breaks is found to be so long after, µs.
const RESET_NOISE: u64 = 20_000;

pub(super) struct Attempt<'a> {
    pub(super) engine: &'a str,
    pub(super) router: &'a str,
    pub(super) request: &'a str,
    pub(super) identity: &'a str,
    pub(super) class: &'a str,
    pub(super) stage: Stage,
    pub(super) told: Option<u64>,
    pub(super) arrived: u64,
    pub(super) ended: Option<(u64, End)>,
    pub(super) ran: Option<u64>,
}

pub(super) struct Try<'a> {
    pub(super) identity: &'a str,
    pub(super) router: &'a str,
    pub(super) class: &'a str,
    pub(super) prompt: u64,
    pub(super) asked: u64,
    pub(super) deadline: u64,
    pub(super) first: Option<u64>,
    pub(super) answers: Vec<(u64, Answer, u64)>,
    pub(super) left: Option<u64>,
    pub(super) lost: Option<u64>,
}

pub(super) struct Hold<'a> {
    pub(super) engine: &'a str,
    pub(super) request: &'a str,
    pub(super) from: u64,
    pub(super) freed: Option<(u64, Freed)>,
}

/// A fault of links.
pub(super) struct LinkFault<'a> {
    pub(super) name: &'a str,
    /// Engines whose links it strikes; none named: all.
    pub(super) engines: BTreeSet<&'a str>,
    /// It strikes clients' links.
    pub(super) to_clients: bool,
    pub(super) from: u64,
    pub(super) until: u64,
}

/// When a router was told, which state, and the process's start.
pub(super) type News<'a> = (u64, &'a str, u64);

/// All that is in a record, sorted out.
pub(super) struct Book<'a> {
    pub(super) figures: &'a Figures,
    pub(super) classes: &'a [Class],
    pub(super) attempts: BTreeMap<u64, Attempt<'a>>,
    pub(super) tries: BTreeMap<u64, Try<'a>>,
    pub(super) holds: Vec<Hold<'a>>,
    /// Kills of routers.
    pub(super) kills: Vec<(&'a str, u64)>,
    /// What routers were told of engines.
    pub(super) told: BTreeMap<(&'a str, &'a str), Vec<News<'a>>>,
    /// Cold starts, and when the process was gone again, with whether it fell.
    pub(super) starts: Vec<(&'a str, u64, u64, bool)>,
    pub(super) engines: BTreeMap<&'a str, (u64, f64)>,
    /// Spans without a process, of engines that write.
    pub(super) downs: Vec<(&'a str, u64, u64)>,
    pub(super) readers: BTreeSet<&'a str>,
    pub(super) links: Vec<LinkFault<'a>>,
    pub(super) end: u64,
}

impl<'a> Book<'a> {
    pub(super) fn read(lines: &'a [Line]) -> Option<(Self, &'a str, u64)> {
        let Seen::Scenario { name, seed, classes, figures, .. } = &lines.first()?.seen else { return None };
        let mut book = Self {
            figures,
            classes,
            attempts: BTreeMap::new(),
            tries: BTreeMap::new(),
            holds: Vec::new(),
            kills: Vec::new(),
            told: BTreeMap::new(),
            starts: Vec::new(),
            engines: BTreeMap::new(),
            downs: Vec::new(),
            readers: BTreeSet::new(),
            links: Vec::new(),
            end: lines.last().map_or(0, |l| l.t),
        };
        for line in lines {
            book.line(line);
        }
        Some((book, name, *seed))
    }

    fn line(&mut self, line: &'a Line) {
        let t = line.t;
        match &line.seen {
            Seen::Fault { name, on, links, begins } if name.starts_with("link_") => {
                if *begins {
                    // Of one that does not say whose links they are, all may be meant.
                    let to_clients = !matches!(links, Some(LinkOf::Engines | LinkOf::Register));
                    let engines = on.split_whitespace().collect();
                    self.links.push(LinkFault { name, engines, to_clients, from: t, until: u64::MAX });
                } else if let Some(open) =
                    self.links.iter_mut().find(|l| l.name == name && l.until == u64::MAX)
                {
                    open.until = t;
                }
            }
            Seen::Scenario { .. }
            | Seen::Fault { .. }
            | Seen::Work { .. }
            | Seen::Connect { .. }
            | Seen::Listed { .. }
            | Seen::Use { .. }
            | Seen::Unreached { .. } => {}
            Seen::Engine { engine, role, cell, capacity_per_s } => {
                if role == "reader" {
                    self.readers.insert(engine);
                }
                self.engines.insert(engine, (*cell, *capacity_per_s));
            }
            Seen::Start { engine, cold } => {
                if *cold {
                    self.starts.push((engine, t, u64::MAX, false));
                }
                if let Some(down) = self.downs.iter_mut().rfind(|d| d.0 == engine && d.2 == u64::MAX) {
                    down.2 = t;
                }
            }
            Seen::Down { engine, fell } => {
                if !self.readers.contains(engine.as_str()) {
                    self.downs.push((engine, t, u64::MAX));
                }
                if let Some(start) = self.starts.iter_mut().rfind(|s| s.0 == engine && s.2 == u64::MAX) {
                    (start.2, start.3) = (t, *fell);
                }
            }
            Seen::Told { router, engine, state, started } => {
                self.told.entry((router, engine)).or_default().push((t, state, *started));
            }
            Seen::Arrive { attempt, engine, router, request, identity, class, stage, told_us } => {
                let a = Attempt {
                    engine,
                    router,
                    request,
                    identity,
                    class,
                    stage: *stage,
                    told: *told_us,
                    arrived: t,
                    ended: None,
                    ran: None,
                };
                self.attempts.insert(*attempt, a);
            }
            Seen::Run { attempt } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    a.ran = Some(t);
                }
            }
            Seen::End { attempt, how } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    a.ended = Some((t, *how));
                }
            }
            Seen::Hold { engine, request } => self.holds.push(Hold { engine, request, from: t, freed: None }),
            Seen::Free { engine, request, how } => {
                let open =
                    |h: &&mut Hold<'_>| h.engine == engine && h.request == request && h.freed.is_none();
                if let Some(h) = self.holds.iter_mut().rev().find(open) {
                    h.freed = Some((t, *how));
                }
            }
            Seen::Ask { no, identity, router, class, prompt, deadline, .. } => {
                let one = Try {
                    identity,
                    router,
                    class,
                    prompt: *prompt,
                    asked: t,
                    deadline: *deadline,
                    first: None,
                    answers: Vec::new(),
                    left: None,
                    lost: None,
                };
                self.tries.insert(*no, one);
            }
            Seen::First { no } => {
                if let Some(one) = self.tries.get_mut(no) {
                    one.first.get_or_insert(t);
                }
            }
            Seen::Answer { no, how, tokens, .. } => {
                if let Some(one) = self.tries.get_mut(no) {
                    one.answers.push((t, *how, *tokens));
                }
            }
            Seen::Leave { no } => {
                if let Some(one) = self.tries.get_mut(no) {
                    one.left = Some(t);
                }
            }
            Seen::Lost { no, .. } => {
                if let Some(one) = self.tries.get_mut(no) {
                    one.lost = Some(t);
                }
            }
            Seen::Router { router, up } => {
                if !up {
                    self.kills.push((router, t));
                }
            }
        }
    }

    /// Whether a fault of their own links broke clients' connections at this moment. One of engines' links is no reason
    /// for a client to have no answer.
    pub(super) fn broke(&self, at: u64) -> bool {
        let breaks = |name: &str| matches!(name, "link_reset" | "link_cut");
        let acts = |l: &LinkFault<'_>| (l.from..=l.until.saturating_add(RESET_NOISE)).contains(&at);
        self.links.iter().any(|l| l.to_clients && breaks(l.name) && acts(l))
    }

    /// Until when an answer that an engine gave then can't be heard, or a call be made there: the attempt is out as long.
    pub(super) fn unheard(&self, engine: &str, at: u64) -> Option<u64> {
        let silent = |name: &str| matches!(name, "link_mute" | "link_deaf" | "link_cut");
        let here = |l: &&LinkFault<'_>| {
            let strikes = l.engines.is_empty() || l.engines.contains(engine);
            silent(l.name) && strikes && (l.from..l.until).contains(&at)
        };
        self.links.iter().filter(here).map(|l| l.until).max()
    }

    pub(super) fn class(&self, name: &str) -> Option<&'a Class> {
        self.classes.iter().find(|c| c.name == name)
    }

    pub(super) fn killed(&self, router: &str, from: u64, to: u64) -> bool {
        self.kills.iter().any(|(r, t)| *r == router && (from..=to).contains(t))
    }
}
