//! A network in memory between stand-ins and cores, in fed time: connections with a latency of their own, bytes in order.
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
pub enum Heard {
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
    /// A stand-in hears of it.
    World(NetworkEvent),
    /// The router's core hears of it.
    Core(usize, ConnId, Heard),
}

#[derive(Debug)]
enum Coming {
    World(NetworkEvent),
    Core(ConnectionId, Heard),
    /// A core's connection reaches this address.
    Arrives(ConnectionId, SocketAddr),
    /// A stand-in's connection reaches this router.
    Reaches(ConnectionId, usize),
}

#[derive(Debug)]
struct Pipe {
    router: usize,
    life: u32,
    id: ConnId,
    /// It stands: bytes may go.
    up: bool,
    /// The sides that are open.
    world: bool,
    core: bool,
    /// The core does not read now; what came meanwhile.
    paused: bool,
    held: VecDeque<Heard>,
    /// What the core has written before it stood.
    waiting: Vec<u8>,
    /// The stand-in reads nothing; bytes that were taken all the same.
    deaf: bool,
    unread: usize,
    latency: u64,
    /// Nothing may overtake what was sent before.
    to_world: u64,
    to_core: u64,
}

#[derive(Debug, Default)]
struct Place {
    life: u32,
    alive: bool,
    next_client: u64,
}

/// The network.
#[derive(Debug, Default)]
pub struct Memory {
    now: u64,
    order: u64,
    due: BTreeMap<(u64, u64), Coming>,
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
        self.places.push(Place { life: 0, alive: false, next_client: 2 });
        address
    }

    /// A router's process starts.
    pub fn start(&mut self, router: usize) {
        if let Some(place) = self.places.get_mut(router) {
            place.life += 1;
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
                Coming::World(h) => self.at_world(h),
                Coming::Core(conn, heard) => self.at_core(conn, heard),
                Coming::Arrives(conn, address) => self.arrives(conn, address),
                Coming::Reaches(conn, router) => self.reaches(conn, router),
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

    fn later(&mut self, at: u64, what: Coming) {
        self.order += 1;
        self.due.insert((at, self.order), what);
    }

    fn latency(conn: ConnectionId) -> u64 {
        LATENCY + (conn as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) % (LATENCY_MORE + 1)
    }

    fn pipe(&mut self, router: usize, id: ConnId) -> ConnectionId {
        let conn = self.number();
        let life = self.places.get(router).map_or(0, |p| p.life);
        let pipe = Pipe {
            router,
            life,
            id,
            up: false,
            world: true,
            core: true,
            paused: false,
            held: VecDeque::new(),
            waiting: Vec::new(),
            deaf: false,
            unread: 0,
            latency: Self::latency(conn),
            to_world: 0,
            to_core: 0,
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
    fn send_core(&mut self, conn: ConnectionId, heard: Heard) {
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.to_core = pipe.to_core.max(now + pipe.latency);
        let at = pipe.to_core;
        self.later(at, Coming::Core(conn, heard));
    }

    fn send_world(&mut self, conn: ConnectionId, happened: NetworkEvent) {
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.to_world = pipe.to_world.max(now + pipe.latency);
        let at = pipe.to_world;
        self.later(at, Coming::World(happened));
    }

    fn at_world(&mut self, happened: NetworkEvent) -> Option<Due> {
        let conn = match &happened {
            NetworkEvent::Accepted(_, conn)
            | NetworkEvent::Connected(conn)
            | NetworkEvent::Received(conn, _)
            | NetworkEvent::Closed(conn) => *conn,
        };
        let pipe = self.pipes.get_mut(&conn)?;
        if !pipe.world {
            // Nobody reads any more: the writer's side is reset.
            if matches!(happened, NetworkEvent::Received(..)) && pipe.core {
                self.send_core(conn, Heard::Lost);
            } else if !pipe.core {
                self.forget(conn);
            }
            return None;
        }
        if matches!(happened, NetworkEvent::Closed(_)) {
            pipe.world = false;
            if !pipe.core {
                self.forget(conn);
            }
        } else if pipe.deaf && matches!(happened, NetworkEvent::Received(..)) {
            return None;
        }
        Some(Due::World(happened))
    }

    fn at_core(&mut self, conn: ConnectionId, heard: Heard) -> Option<Due> {
        let pipe = self.pipes.get_mut(&conn).filter(|p| p.core)?;
        if pipe.paused && matches!(heard, Heard::Bytes(_) | Heard::Eof) {
            pipe.held.push_back(heard);
            return None;
        }
        let (router, id) = (pipe.router, pipe.id);
        match heard {
            Heard::Connected => {
                pipe.up = true;
                let waiting = std::mem::take(&mut pipe.waiting);
                if !waiting.is_empty() {
                    self.write(conn, waiting);
                }
            }
            Heard::Lost => {
                pipe.core = false;
                let world = pipe.world;
                if world {
                    self.send_world(conn, NetworkEvent::Closed(conn));
                } else {
                    self.forget(conn);
                }
            }
            _ => {}
        }
        Some(Due::Core(router, id, heard))
    }

    fn arrives(&mut self, conn: ConnectionId, address: SocketAddr) -> Option<Due> {
        let listener = self.listeners.get(&address).copied();
        let core = self.pipes.get(&conn).is_some_and(|p| p.core);
        match listener {
            // Where nobody listens any more, or nobody waits for it.
            None => self.send_core(conn, Heard::Lost),
            Some(listener) => {
                self.send_core(conn, Heard::Connected);
                if !core {
                    self.send_world(conn, NetworkEvent::Closed(conn));
                }
                return Some(Due::World(NetworkEvent::Accepted(listener, conn)));
            }
        }
        None
    }

    fn reaches(&mut self, conn: ConnectionId, router: usize) -> Option<Due> {
        let place = self.places.get(router)?;
        let pipe = self.pipes.get(&conn)?;
        if !place.alive || place.life != pipe.life {
            self.send_world(conn, NetworkEvent::Closed(conn));
            let pipe = self.pipes.get_mut(&conn)?;
            pipe.core = false;
            return None;
        }
        let id = pipe.id;
        self.send_world(conn, NetworkEvent::Connected(conn));
        self.pipes.get_mut(&conn)?.up = true;
        Some(Due::Core(router, id, Heard::Accepted))
    }

    fn core_closes(&mut self, conn: ConnectionId) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.core = false;
        pipe.held.clear();
        if pipe.world {
            self.send_world(conn, NetworkEvent::Closed(conn));
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
        if pipe.deaf {
            taken = taken.min(DEAF_BYTES.saturating_sub(pipe.unread));
            pipe.unread += taken;
        }
        if taken > 0 {
            let now = self.now;
            self.later(now, Coming::Core(conn, Heard::Wrote(taken)));
        }
        self.send_world(conn, NetworkEvent::Received(conn, bytes));
    }

    /// Carries out what a core wants done on the network. What is no matter of the network comes back.
    pub fn carry_out(&mut self, router: usize, output: Output) -> Option<Output> {
        let find = |net: &Self, id: ConnId| net.by_core.get(&(router, id)).copied();
        match output {
            Output::Connect(id, address) => {
                let conn = self.pipe(router, id);
                let at = self.now + Self::latency(conn);
                self.later(at, Coming::Arrives(conn, address));
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
                    for heard in std::mem::take(&mut pipe.held) {
                        self.order += 1;
                        self.due.insert((self.now, self.order), Coming::Core(conn, heard));
                    }
                }
            }
            other => return Some(other),
        }
        None
    }
}
