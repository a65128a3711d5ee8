//! Connections to engines: kept alive, reused, bounded.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Side};

use super::job::Reply;
use super::worker_connection::{Link, Payload, Task};
use super::{ConnId, Core, Due, Output};

/// So long after an attempt's call was made its last byte has to be with the system. A worker may be told 0.15 s more than
/// what is left; the rest of that is for the way there.
const WRITE_MOST: Micros = Micros(100_000);
impl Core {
    /// A connection that carries `task`, on which its call is written; none at the bound.
    pub(super) fn call(
        &mut self,
        worker: &p::WorkerId,
        task: Task,
        payload: Payload,
        spare: usize,
    ) -> Option<ConnId> {
        let most = self.config.bounds.engine_connections + spare;
        let rest = self.idle_timeout.most(self.now, self.config.waits.engine_idle);
        let engine = self.engines.get_mut(worker)?;
        while let Some(conn) = engine.idle.pop() {
            let Some(link) = self.links.get_mut(&conn) else { continue };
            let rested = self.now - link.parked;
            if rested > rest {
                // Those below it have rested for longer.
                self.abort_link(conn);
                self.close_idle(worker);
                break;
            }
            link.rested = Some((rested, self.now));
            if let Some(key) = link.timer.take() {
                self.timers.cancel(key);
            }
            link.task = task;
            self.write_call(conn, payload);
            return Some(conn);
        }
        let engine = self.engines.get(worker)?;
        if engine.open >= most {
            return None;
        }
        let address = engine.address;
        if self.links.len() >= self.config.bounds.links.saturating_add(spare) && !self.close_oldest_idle() {
            return None;
        }
        self.engines.get_mut(worker)?.open += 1;
        Some(self.connect(Some(worker.clone()), address, task, payload))
    }

    /// Learns from a call that was lost with nothing heard of it.
    pub(super) fn learn_idle_timeout(&mut self, link: &Link) {
        let unheard = matches!(link.task, Task::Attempt(_, _, Reply::None) | Task::Release(..));
        if let Some((rested, used)) = link.rested.filter(|_| unheard && link.decoder.is_idle()) {
            let told = self.config.waits.engine_idle;
            self.idle_timeout.lost(self.now, told, rested, self.now - used);
        }
    }

    /// Makes room for a connection to an engine; false: all are in use.
    fn close_oldest_idle(&mut self) -> bool {
        let oldest = self.engines.values().filter_map(|e| e.idle.first());
        let oldest = oldest.min_by_key(|conn| self.links.get(conn).and_then(|l| l.timer)).copied();
        oldest.map(|conn| self.abort_link(conn)).is_some()
    }

    pub(super) fn connect(
        &mut self,
        worker: Option<p::WorkerId>,
        address: SocketAddr,
        task: Task,
        payload: Payload,
    ) -> ConnId {
        let conn = ConnId(self.next_link);
        self.next_link += 2;
        self.count(|t| t.connects += u64::from(worker.is_some()));
        let timer = self.timers.set(self.now + self.config.waits.connect, Due::Connect(conn));
        let decoder = Decoder::new(Side::Response, self.config.bounds.engine);
        let link = Link {
            worker,
            decoder,
            task,
            waiting: Some(payload),
            wrote: 0,
            size: 0,
            last: false,
            parked: Micros(0),
            rested: None,
            timer: Some(timer),
        };
        self.links.insert(conn, link);
        self.out.push(Output::Connect(conn, address));
        conn
    }

    pub(super) fn connected(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        if let Some(key) = link.timer.take() {
            self.timers.cancel(key);
        }
        let waiting = link.waiting.take();
        match link.task {
            Task::Idle => self.park(conn),
            Task::Watch(_) | Task::Poll(_) => self.alive(conn),
            // A call that is no attempt has no time-out of the module's.
            Task::Release(..) => self.limit(conn),
            Task::Attempt(..) | Task::Rest => {}
        }
        if let Some(payload) = waiting {
            self.write_call(conn, payload);
        }
    }

    /// Writes a call on a connection that stands.
    fn write_call(&mut self, conn: ConnId, payload: Payload) {
        let task = self.links.get(&conn).map(|l| &l.task);
        let (bytes, is_attempt) = match (payload, task) {
            (Payload::Bytes(bytes), _) => (bytes, false),
            (Payload::AttemptCall, Some(Task::Attempt(id, no, _))) => {
                let (id, no) = (id.clone(), *no);
                // The attempt is open, or its connection would be gone.
                (self.attempt_bytes(&id, no).unwrap_or_default(), true)
            }
            (Payload::AttemptCall, _) => return,
        };
        if let Some(link) = self.links.get_mut(&conn) {
            (link.wrote, link.size) = (0, bytes.len() as u64);
        }
        self.out.push(Output::Write(conn, bytes));
        if is_attempt {
            self.write_within(conn);
        }
    }

    /// An attempt's call is written within [`WRITE_MOST`], or not at all: the time that it tells its worker, which counts
    /// from its last byte, would be longer than what is left.
    fn write_within(&mut self, conn: ConnId) {
        if self.config.dialect.is_none() {
            // Nothing is told of time.
            return;
        }
        let timer = self.timers.set(self.now + WRITE_MOST, Due::Connect(conn));
        if let Some(old) = self.links.get_mut(&conn).and_then(|l| l.timer.replace(timer)) {
            self.timers.cancel(old);
        }
    }

    /// Bytes of a call were taken by the system.
    pub(super) fn link_wrote(&mut self, conn: ConnId, bytes: u64) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.wrote += bytes;
        let whole = link.wrote >= link.size && matches!(link.task, Task::Attempt(..));
        if let Some(timer) = link.timer.take_if(|_| whole) {
            self.timers.cancel(timer);
        }
    }

    /// A connection that does not stand by then does not come up; one that does is left as it is.
    pub(super) fn connect_within(&mut self, conn: ConnId, span: Micros) {
        if span >= self.config.waits.connect || self.links.get(&conn).is_none_or(|l| l.waiting.is_none()) {
            return;
        }
        let timer = self.timers.set(self.now + span, Due::Connect(conn));
        if let Some(old) = self.links.get_mut(&conn).and_then(|l| l.timer.replace(timer)) {
            self.timers.cancel(old);
        }
    }

    /// Bounds what follows on a connection by the time in which small calls are answered.
    pub(super) fn limit(&mut self, conn: ConnId) {
        let timer = self.timers.set(self.now + self.config.waits.release, Due::Connect(conn));
        if let Some(link) = self.links.get_mut(&conn) {
            if let Some(key) = link.timer.replace(timer) {
                self.timers.cancel(key);
            }
        }
    }

    pub(super) fn connect_due(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        // One that is answered ahead of its last byte has run: the time that it told is of no matter any more.
        if matches!(&link.task, Task::Attempt(_, _, reply) if !matches!(reply, Reply::None)) {
            link.timer = None;
            return;
        }
        self.out.push(Output::Abort(conn));
        self.link_lost(conn);
    }

    pub(super) fn idle_due(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|l| matches!(l.task, Task::Idle)) {
            self.abort_link(conn);
        }
    }

    /// A reply has ended well: the connection waits for the next call, if it may.
    pub(super) fn park(&mut self, conn: ConnId) {
        let (most, wait) = (self.config.bounds.engine_idle, self.config.waits.engine_idle);
        let Some(link) = self.links.get_mut(&conn) else { return };
        if let Some(key) = link.timer.take() {
            self.timers.cancel(key);
        }
        let engine = link.worker.as_ref().and_then(|w| self.engines.get_mut(w));
        let engine = engine.filter(|e| e.listed && e.idle.len() < most && link.is_reusable());
        let Some(engine) = engine else { return self.abort_link(conn) };
        engine.idle.push(conn);
        link.task = Task::Idle;
        link.parked = self.now;
        link.timer = Some(self.timers.set(self.now + wait, Due::EngineIdle(conn)));
    }

    /// Closes a connection whose task is over or never mattered.
    pub(super) fn abort_link(&mut self, conn: ConnId) {
        if self.forget_link(conn).is_some() {
            self.out.push(Output::Abort(conn));
        }
    }

    pub(super) fn forget_link(&mut self, conn: ConnId) -> Option<Link> {
        let link = self.links.remove(&conn)?;
        if let Some(key) = link.timer {
            self.timers.cancel(key);
        }
        if let Some(worker) = &link.worker {
            if let Some(engine) = self.engines.get_mut(worker) {
                engine.open = engine.open.saturating_sub(1);
                engine.idle.retain(|c| *c != conn);
            }
            self.forget_engine(worker);
        }
        Some(link)
    }

    /// An engine off the list is forgotten once nothing of ours is there: neither a connection nor state, which may
    /// still have to be let go.
    pub(super) fn forget_engine(&mut self, worker: &p::WorkerId) {
        let unused = self.engines.get(worker).is_some_and(|e| !e.listed && e.open == 0);
        if unused && !self.jobs.values().any(|j| j.holds_at(worker)) {
            self.engines.remove(worker);
        }
    }

    pub(super) fn close_idle(&mut self, worker: &p::WorkerId) {
        let idle = self.engines.get_mut(worker).map(|e| std::mem::take(&mut e.idle));
        for conn in idle.unwrap_or_default() {
            self.abort_link(conn);
        }
    }

    pub(super) fn host(&self, worker: &p::WorkerId) -> Arc<str> {
        self.engines.get(worker).map(|e| e.host.clone()).unwrap_or_default()
    }
}
