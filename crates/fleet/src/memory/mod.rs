//! A network in memory between fakes and cores, in fed time: connections with a latency of their own, bytes in order.
//!
//! It behaves as loopback does to the shell: bytes given to it are taken at once, up to a bound where the peer reads
//! nothing; a closed side is heard one latency later, after what was written before; writing to a side that has closed
//! loses the connection.

mod net;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use chalkyard_rehearsal::network::{ConnectionId, ListenerId, NetworkEvent};
use chalkyard_router::{ConnId, Output};

/// The least latency, µs, and how much more a connection may have by its number: not all in step.
const LATENCY: u64 = 150;
const LATENCY_MORE: u64 = 150;
/// Bytes that are taken for a peer that reads nothing.
const DEAF_BYTES: usize = 256 * 1024;
/// The first port given out.
const PORTS: u16 = 10_000;

/// What a core hears of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoreEvent {
    /// A client has connected.
    Accepted,
    /// A connection that it asked for stands.
    Connected,
    /// It does not, or is lost.
    Lost,
    /// Bytes came.
    Bytes(Vec<u8>),
    /// The peer has closed its side.
    Eof,
    /// So many bytes were taken.
    Wrote(usize),
}

/// What is due on the network.
#[derive(Debug)]
pub enum Due {
    /// A fake hears of it.
    Fake(NetworkEvent),
    /// The router's core hears of it.
    Core(usize, ConnId, CoreEvent),
}

#[derive(Debug)]
enum Pending {
    Fake(NetworkEvent),
    Core(ConnectionId, CoreEvent),
    /// A core's connection reaches this address.
    Arrives(ConnectionId, SocketAddr),
    /// A fake's connection reaches this router.
    Reaches(ConnectionId, usize),
}

#[derive(Debug)]
struct Pipe {
    router: usize,
    incarnation: u32,
    id: ConnId,
    /// It stands: bytes may go.
    up: bool,
    /// The sides that are open.
    fake_open: bool,
    core: bool,
    /// The core does not read now; what came meanwhile.
    paused: bool,
    deferred: VecDeque<CoreEvent>,
    /// What the core has written before it stood.
    waiting: Vec<u8>,
    /// The fake reads nothing; bytes that were taken all the same.
    ignores_input: bool,
    unread: usize,
    latency: u64,
    /// Nothing may overtake what was sent before.
    last_to_fake: u64,
    last_to_core: u64,
}

#[derive(Debug, Default)]
struct Place {
    incarnation: u32,
    alive: bool,
    next_client: u64,
}

/// The network.
#[derive(Debug, Default)]
pub struct Memory {
    now: u64,
    order: u64,
    due: BTreeMap<(u64, u64), Pending>,
    listeners: BTreeMap<SocketAddr, ListenerId>,
    addresses: BTreeMap<ListenerId, SocketAddr>,
    routers: BTreeMap<SocketAddr, usize>,
    places: Vec<Place>,
    pipes: BTreeMap<ConnectionId, Pipe>,
    by_core: BTreeMap<(usize, ConnId), ConnectionId>,
    next: usize,
    next_port: u16,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Memory {
    /// A network without anybody.
    pub fn new() -> Self {
        Self { next_port: PORTS, ..Self::default() }
    }

    /// Takes a router in, not yet running; gives its address.
    pub fn add_router(&mut self) -> SocketAddr {
        let address = loopback(self.port());
        self.routers.insert(address, self.places.len());
        self.places.push(Place { incarnation: 0, alive: false, next_client: 2 });
        address
    }

    /// A router's process starts.
    pub fn start(&mut self, router: usize) {
        if let Some(place) = self.places.get_mut(router) {
            place.incarnation += 1;
            place.alive = true;
        }
    }

    /// A router's process is gone: its connections are reset.
    pub fn kill(&mut self, router: usize) {
        if let Some(place) = self.places.get_mut(router) {
            place.alive = false;
        }
        let gone: BTreeSet<ConnectionId> =
            self.pipes.iter().filter(|(_, p)| p.router == router && p.core).map(|(c, _)| *c).collect();
        for conn in gone {
            self.core_closes(conn);
        }
        self.by_core.retain(|(r, _), _| *r != router);
    }

    /// When anything is due, µs.
    pub fn next_due(&self) -> u64 {
        self.due.keys().next().map_or(u64::MAX, |(at, _)| *at)
    }

    /// The next thing that is due by now.
    pub fn pop(&mut self) -> Option<Due> {
        while self.next_due() <= self.now {
            let (_, coming) = self.due.pop_first()?;
            let due = match coming {
                Pending::Fake(h) => self.deliver_to_fake(h),
                Pending::Core(conn, event) => self.deliver_to_core(conn, event),
                Pending::Arrives(conn, address) => self.arrives(conn, address),
                Pending::Reaches(conn, router) => self.reaches(conn, router),
            };
            if due.is_some() {
                return due;
            }
        }
        None
    }

    fn port(&mut self) -> u16 {
        self.next_port += 1;
        self.next_port
    }

    fn number(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn later(&mut self, at: u64, what: Pending) {
        self.order += 1;
        self.due.insert((at, self.order), what);
    }

    fn latency(conn: ConnectionId) -> u64 {
        LATENCY + (conn as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) % (LATENCY_MORE + 1)
    }

    fn pipe(&mut self, router: usize, id: ConnId) -> ConnectionId {
        let conn = self.number();
        let incarnation = self.places.get(router).map_or(0, |p| p.incarnation);
        let pipe = Pipe {
            router,
            incarnation,
            id,
            up: false,
            fake_open: true,
            core: true,
            paused: false,
            deferred: VecDeque::new(),
            waiting: Vec::new(),
            ignores_input: false,
            unread: 0,
            latency: Self::latency(conn),
            last_to_fake: 0,
            last_to_core: 0,
        };
        self.pipes.insert(conn, pipe);
        self.by_core.insert((router, id), conn);
        conn
    }

    fn forget(&mut self, conn: ConnectionId) {
        let Some(pipe) = self.pipes.remove(&conn) else { return };
        let key = (pipe.router, pipe.id);
        // A later life may use the number for another.
        if self.by_core.get(&key) == Some(&conn) {
            self.by_core.remove(&key);
        }
    }

    /// Sent to the core's side, after all that was sent before.
    fn send_to_core(&mut self, conn: ConnectionId, event: CoreEvent) {
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.last_to_core = pipe.last_to_core.max(now + pipe.latency);
        let at = pipe.last_to_core;
        self.later(at, Pending::Core(conn, event));
    }

    fn send_to_fake(&mut self, conn: ConnectionId, happened: NetworkEvent) {
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.last_to_fake = pipe.last_to_fake.max(now + pipe.latency);
        let at = pipe.last_to_fake;
        self.later(at, Pending::Fake(happened));
    }

    fn deliver_to_fake(&mut self, happened: NetworkEvent) -> Option<Due> {
        let conn = match &happened {
            NetworkEvent::Accepted(_, conn)
            | NetworkEvent::Connected(conn)
            | NetworkEvent::Received(conn, _)
            | NetworkEvent::Closed(conn) => *conn,
        };
        let pipe = self.pipes.get_mut(&conn)?;
        if !pipe.fake_open {
            // Nobody reads any more: the writer's side is reset.
            if matches!(happened, NetworkEvent::Received(..)) && pipe.core {
                self.send_to_core(conn, CoreEvent::Lost);
            } else if !pipe.core {
                self.forget(conn);
            }
            return None;
        }
        if matches!(happened, NetworkEvent::Closed(_)) {
            pipe.fake_open = false;
            if !pipe.core {
                self.forget(conn);
            }
        } else if pipe.ignores_input && matches!(happened, NetworkEvent::Received(..)) {
            return None;
        }
        Some(Due::Fake(happened))
    }

    fn deliver_to_core(&mut self, conn: ConnectionId, event: CoreEvent) -> Option<Due> {
        let pipe = self.pipes.get_mut(&conn).filter(|p| p.core)?;
        if pipe.paused && matches!(event, CoreEvent::Bytes(_) | CoreEvent::Eof) {
            pipe.deferred.push_back(event);
            return None;
        }
        let (router, id) = (pipe.router, pipe.id);
        match event {
            CoreEvent::Connected => {
                pipe.up = true;
                let waiting = std::mem::take(&mut pipe.waiting);
                if !waiting.is_empty() {
                    self.write(conn, waiting);
                }
            }
            CoreEvent::Lost => {
                pipe.core = false;
                let fake_open = pipe.fake_open;
                if fake_open {
                    self.send_to_fake(conn, NetworkEvent::Closed(conn));
                } else {
                    self.forget(conn);
                }
            }
            _ => {}
        }
        Some(Due::Core(router, id, event))
    }

    fn arrives(&mut self, conn: ConnectionId, address: SocketAddr) -> Option<Due> {
        let listener = self.listeners.get(&address).copied();
        let core = self.pipes.get(&conn).is_some_and(|p| p.core);
        match listener {
            // Where nobody listens any more, or nobody waits for it.
            None => self.send_to_core(conn, CoreEvent::Lost),
            Some(listener) => {
                self.send_to_core(conn, CoreEvent::Connected);
                if !core {
                    self.send_to_fake(conn, NetworkEvent::Closed(conn));
                }
                return Some(Due::Fake(NetworkEvent::Accepted(listener, conn)));
            }
        }
        None
    }

    fn reaches(&mut self, conn: ConnectionId, router: usize) -> Option<Due> {
        let place = self.places.get(router)?;
        let pipe = self.pipes.get(&conn)?;
        if !place.alive || place.incarnation != pipe.incarnation {
            self.send_to_fake(conn, NetworkEvent::Closed(conn));
            let pipe = self.pipes.get_mut(&conn)?;
            pipe.core = false;
            return None;
        }
        let id = pipe.id;
        self.send_to_fake(conn, NetworkEvent::Connected(conn));
        self.pipes.get_mut(&conn)?.up = true;
        Some(Due::Core(router, id, CoreEvent::Accepted))
    }

    fn core_closes(&mut self, conn: ConnectionId) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.core = false;
        pipe.deferred.clear();
        if pipe.fake_open {
            self.send_to_fake(conn, NetworkEvent::Closed(conn));
        } else {
            self.forget(conn);
        }
    }

    fn write(&mut self, conn: ConnectionId, bytes: Vec<u8>) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        if !pipe.up {
            return pipe.waiting.extend(bytes);
        }
        let mut taken = bytes.len();
        if pipe.ignores_input {
            taken = taken.min(DEAF_BYTES.saturating_sub(pipe.unread));
            pipe.unread += taken;
        }
        if taken > 0 {
            let now = self.now;
            self.later(now, Pending::Core(conn, CoreEvent::Wrote(taken)));
        }
        self.send_to_fake(conn, NetworkEvent::Received(conn, bytes));
    }

    /// Carries out what a core wants done on the network. What is no matter of the network comes back.
    pub fn carry_out(&mut self, router: usize, output: Output) -> Option<Output> {
        let find = |net: &Self, id: ConnId| net.by_core.get(&(router, id)).copied();
        match output {
            Output::Connect(id, address) => {
                let conn = self.pipe(router, id);
                let at = self.now + Self::latency(conn);
                self.later(at, Pending::Arrives(conn, address));
            }
            Output::Write(id, bytes) => {
                if let Some(conn) = find(self, id) {
                    self.write(conn, bytes);
                }
            }
            // In fed time nothing that has come is unread.
            Output::Close(id) | Output::CloseAnswered(id) | Output::CloseIfQuiet(id) | Output::Abort(id) => {
                if let Some(conn) = find(self, id) {
                    self.core_closes(conn);
                }
            }
            Output::Pause(id) => {
                if let Some(pipe) = find(self, id).and_then(|c| self.pipes.get_mut(&c)) {
                    pipe.paused = true;
                }
            }
            Output::Resume(id) => {
                if let Some(conn) = find(self, id) {
                    let pipe = self.pipes.get_mut(&conn)?;
                    pipe.paused = false;
                    for event in std::mem::take(&mut pipe.deferred) {
                        self.order += 1;
                        self.due.insert((self.now, self.order), Pending::Core(conn, event));
                    }
                }
            }
            other => return Some(other),
        }
        None
    }
}
