//! The register: what is said and heard of the list of workers.

use chalkyard_api::engine;
use chalkyard_policy as p;
use chalkyard_policy::Event;
use chalkyard_proto::{encode, sse, Part, Start};

use super::worker_connection::{Engine, Link, Payload, Task};
use super::{ConnId, Core, Due, Output};
use crate::dialect::List;
use crate::register::{Named, Wrong};

/// Bytes of a list.
const LIST_BYTES: usize = 16 * 1024 * 1024;
/// The list's source is asked again so long after a call to it failed.
const ASK_PAUSE: p::Micros = p::Micros(100_000);

pub(super) fn report(header: Option<&str>) -> Option<p::LoadReport> {
    let load = engine::load(header?)?;
    let named = load.named_metrics;
    Some(p::LoadReport {
        queued: named.queue_depth,
        slots_used: load.cpu_utilization,
        kv_used: load.mem_utilization,
        waiting_tokens: named.waiting_tokens,
    })
}

impl Core {
    /// Notes where workers are; gives what the module is told.
    pub(super) fn learn(&mut self, named: Vec<Named>, whole: bool) -> Vec<p::Worker> {
        if !named.is_empty() {
            self.count(|t| t.list_news += 1);
            self.list_changed = Some(self.now);
        }
        if whole {
            for engine in self.engines.values_mut() {
                (engine.listed, engine.leaving) = (false, true);
            }
        }
        let mut moved = Vec::new();
        for (worker, address) in &named {
            let listed = worker.lifecycle != p::Lifecycle::Removed;
            let leaving = worker.lifecycle != p::Lifecycle::Active;
            let host = address.to_string().into();
            let fresh = Engine {
                address: *address,
                host,
                role: worker.role,
                zone: worker.zone,
                cell: worker.cell,
                listed,
                leaving,
                idle: Vec::new(),
                open: 0,
                heard: p::Micros(0),
            };
            let engine = self.engines.entry(worker.id.clone()).or_insert(fresh);
            (engine.role, engine.zone, engine.cell) = (worker.role, worker.zone, worker.cell);
            (engine.listed, engine.leaving) = (listed, leaving);
            if engine.address != *address {
                engine.address = *address;
                engine.host = address.to_string().into();
                moved.push(worker.id.clone());
            }
        }
        let unlisted = self.engines.iter().filter(|(_, e)| !e.listed).map(|(id, _)| id.clone());
        for id in unlisted.chain(moved).collect::<Vec<_>>() {
            self.close_idle(&id);
            self.forget_engine(&id);
        }
        named.into_iter().map(|(worker, _)| worker).collect()
    }

    /// What the module is told of workers; then attempts that still wait for a connection to one that leaves are over:
    /// nothing of them was sent, and by the time it stands it may be too late.
    fn tell_workers(&mut self, update: p::EndpointUpdate, workers: Vec<p::Worker>) {
        self.events.push_back(Event::Endpoints { update, workers });
        let leaves = |w: &p::WorkerId| self.engines.get(w).is_some_and(|e| e.leaving);
        let waits = |l: &&Link| l.waiting.is_some() && l.worker.as_ref().is_some_and(leaves);
        let attempt = |l: &Link| match &l.task {
            Task::Attempt(id, no, _) => Some((id.clone(), *no)),
            _ => None,
        };
        let waiting: Vec<_> = self.links.values().filter(waits).filter_map(attempt).collect();
        for (id, no) in waiting {
            self.end_attempt(&id, no, p::Outcome::NotSent, 0);
        }
    }

    fn register_call(&mut self, target: &str, task: Task) -> Option<ConnId> {
        let address = self.config.register?;
        self.count(|t| t.list_calls += 1);
        let bytes = encode::request("GET", target, &address.to_string(), &[("via", &self.via)], &[]);
        Some(self.connect(None, address, task, Payload::Bytes(bytes)))
    }

    pub(super) fn watch_register(&mut self) {
        if let Some(dialect) = self.config.dialect.clone() {
            let Some(address) = self.config.register.filter(|_| self.register.is_none()) else { return };
            (self.asked, self.waits) = (self.now, !self.list_doubted);
            let bytes = dialect.watch(self.version, self.waits, &address.to_string());
            self.count(|t| t.list_calls += 1);
            self.register = Some(self.connect(None, address, Task::Poll(Vec::new()), Payload::Bytes(bytes)));
            return;
        }
        if let Some(old) = self.register.take() {
            self.abort_link(old);
        }
        let reader = Box::new(sse::Reader::new(LIST_BYTES));
        self.register = self.register_call("/v1/workers?watch=1", Task::Watch(reader));
    }

    /// The list's source has moved.
    pub(super) fn move_register(&mut self, address: std::net::SocketAddr) {
        self.config.register = Some(address);
        if let Some(old) = self.register.take() {
            self.abort_link(old);
        }
        self.list_doubted = true;
        self.watch_register();
    }

    /// Notes what a dialect has read; gives what the module is told.
    pub(super) fn read_list(&mut self, list: List) -> (Vec<p::Worker>, p::EndpointUpdate) {
        for wrong in &list.wrong {
            self.note("list", format!("an entry is left out: {wrong}"));
        }
        self.has_list = true;
        // What could not be read is asked for once more, with the whole list; what is wrong again is left out.
        let again = !list.wrong.is_empty() && self.version.is_some();
        self.version = (!again).then_some(list.version);
        let kind = if list.whole { p::EndpointUpdate::Snapshot } else { p::EndpointUpdate::Delta };
        // Past the bound new workers are left out; what is told of those that are held, above all drains, is taken.
        let held = if list.whole { 0 } else { self.engines.len() };
        let mut room = self.config.bounds.workers.saturating_sub(held);
        let (mut workers, named) = (Vec::new(), list.workers.len());
        for (worker, address) in list.workers {
            let known = worker.lifecycle == p::Lifecycle::Removed || self.engines.contains_key(&worker.id);
            if known || room > 0 {
                room -= usize::from(!known);
                workers.push((worker, address));
            }
        }
        if workers.len() < named {
            self.note("list", format!("{} workers past the bound are left out", named - workers.len()));
        }
        (self.learn(workers, list.whole), kind)
    }

    /// A part of the answer to a call for news; true: it goes on.
    pub(super) fn poll_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let Task::Poll(body) = &mut link.task else { return false };
        match part {
            Part::Head(head) if head.start == (Start::Response { status: 200 }) => {
                // It answers again; a long list may take longer.
                if std::mem::take(&mut self.list_doubted) {
                    self.alive(conn);
                }
                true
            }
            Part::Data(data) if body.len() + data.len() <= LIST_BYTES => {
                body.extend(data);
                true
            }
            Part::Head(_) | Part::Data(_) => self.source_failed(conn),
            Part::End => {
                let (body, last) = (std::mem::take(body), link.last);
                self.poll_answered(conn, &body, last)
            }
        }
    }

    /// A source's answer is whole; true: the next call was made on the same connection.
    fn poll_answered(&mut self, conn: ConnId, body: &[u8], last: bool) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let before = self.version;
        let list = match dialect.list(body) {
            Ok(list) => list,
            Err(why) => {
                self.note("list", format!("not taken: {why}"));
                return self.source_failed(conn);
            }
        };
        let (workers, kind) = self.read_list(list);
        if kind == p::EndpointUpdate::Snapshot || !workers.is_empty() {
            self.tell_workers(kind, workers);
        }
        // A source that has nothing new and does not wait is not asked in a hot loop; it is there, though.
        if self.version == before && self.waits && self.now < self.asked + ASK_PAUSE {
            self.abort_link(conn);
            self.register = None;
            self.timers.set(self.now + ASK_PAUSE, Due::Watch);
            return false;
        }
        // The next call follows at once: a gap would begin another watch.
        if last {
            self.abort_link(conn);
            self.register = None;
            self.watch_register();
            return false;
        }
        let host = self.config.register.map(|a| a.to_string()).unwrap_or_default();
        let bytes = dialect.watch(self.version, true, &host);
        (self.asked, self.waits) = (self.now, true);
        self.count(|t| t.list_calls += 1);
        self.out.push(Output::Write(conn, bytes));
        self.alive(conn);
        true
    }

    /// What a source says can't be used: its connection is closed. Always false: nothing more is read from it.
    fn source_failed(&mut self, conn: ConnId) -> bool {
        self.abort_link(conn);
        self.register_lost();
        false
    }

    /// The register is lost: the module says when it is asked again, or, of a dialect's source, the core.
    pub(super) fn register_lost(&mut self) {
        self.register = None;
        if self.config.dialect.is_some() {
            self.list_doubted = true;
            self.timers.set(self.now + ASK_PAUSE, Due::Watch);
            return;
        }
        self.events.push_back(Event::Endpoints { update: p::EndpointUpdate::Failed, workers: Vec::new() });
        self.note("register", "lost or not reached; the list held stays".into());
    }

    pub(super) fn register_due(&mut self, conn: ConnId) {
        if self.links.contains_key(&conn) {
            self.abort_link(conn);
            self.register_lost();
        }
    }

    /// The source has so long for its answer: where the last call failed none waits for news, and one that is silent
    /// may be a source that is down, whose return counts at once.
    pub(super) fn alive(&mut self, conn: ConnId) {
        let waits = &self.config.waits;
        let wait = if self.list_doubted { waits.register_doubted } else { waits.register };
        let timer = self.timers.set(self.now + wait, Due::Register(conn));
        if let Some(link) = self.links.get_mut(&conn) {
            if let Some(old) = link.timer.replace(timer) {
                self.timers.cancel(old);
            }
        }
    }

    /// A part of the watch's answer; true: it goes on.
    pub(super) fn watch_part(&mut self, conn: ConnId, part: Part) -> bool {
        let data = match part {
            Part::Head(head) if head.start == (Start::Response { status: 200 }) => return true,
            Part::Data(data) => data,
            Part::Head(_) | Part::End => return self.source_failed(conn),
        };
        self.alive(conn);
        let mut events = Vec::new();
        let Some(Task::Watch(reader)) = self.links.get_mut(&conn).map(|l| &mut l.task) else { return false };
        let read = reader.push(&data, &mut events);
        for event in events {
            if !self.watch_event(conn, &event) {
                return false;
            }
        }
        if let Err(error) = read {
            self.note("register", error.to_string());
            return self.source_failed(conn);
        }
        true
    }

    /// An event of the watch; true: it goes on.
    fn watch_event(&mut self, conn: ConnId, event: &sse::Event) -> bool {
        let news = match event.name.as_str() {
            "snapshot" => {
                self.held.snapshot(&event.data, &self.config).map(|n| (n, p::EndpointUpdate::Snapshot))
            }
            "change" => self.held.change(&event.data, &self.config).map(|(named, left_out)| {
                if left_out > 0 {
                    let most = self.config.bounds.workers;
                    self.note("register", format!("more than {most} workers: {left_out} left out"));
                }
                (named, p::EndpointUpdate::Delta)
            }),
            _ => return true,
        };
        match news {
            Ok((named, kind)) => self.news(named, kind),
            Err(Wrong::Gap) => {
                self.change_lost(conn);
                return false;
            }
            Err(Wrong::Malformed(why)) => self.note("register", format!("list not taken: {why}")),
        }
        true
    }

    /// What was lost comes again with a snapshot, which each new watch begins with: at once, but if gaps come again and
    /// again, as the module says.
    fn change_lost(&mut self, conn: ConnId) {
        self.note("register", "a change was lost; asking for a snapshot".into());
        let last = self.gap.replace(self.now);
        if last.is_some_and(|at| self.now < at + self.config.waits.register) {
            self.source_failed(conn);
        } else {
            self.watch_register();
        }
    }

    fn news(&mut self, named: Vec<Named>, kind: p::EndpointUpdate) {
        self.has_list = true;
        let workers = self.learn(named, kind == p::EndpointUpdate::Snapshot);
        self.out.push(Output::KeepList(self.held.text()));
        self.tell_workers(kind, workers);
    }
}
