//! The network that fake workers and clients use, and its implementation on loopback sockets: one mio loop, connections by
//! number.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// A connection's number, never used twice.
pub type ConnectionId = usize;
/// A listener's number.
pub type ListenerId = usize;

/// Something that happened on the network.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A peer connected.
    Accepted(ListenerId, ConnectionId),
    /// An outgoing connection is established.
    Connected(ConnectionId),
    /// Bytes were received.
    Received(ConnectionId, Vec<u8>),
    /// Closed by the peer or lost. A connection that was closed on this side is not reported.
    Closed(ConnectionId),
}

/// The peer at the other end of a router's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkPeer {
    /// Its clients.
    Clients,
    /// The engine at this index of the scenario.
    Engine(usize),
    /// Discovery.
    Discovery,
}

/// A link: all connections between one router and one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The router's index; none where one listener serves all routers.
    pub router: Option<usize>,
    /// Its peer.
    pub to: LinkPeer,
}

/// A network between the fakes and the routers.
pub trait Network {
    /// Sets the time, µs since the scenario began.
    fn set_time(&mut self, _now: u64) {}
    /// Listens for connections of a link; port 0 takes any free port.
    fn listen(&mut self, port: u16, link: Link) -> io::Result<(ListenerId, SocketAddr)>;
    /// Closes a listener.
    fn stop_listening(&mut self, number: ListenerId);
    /// Begins a client's connection to a router: [`NetworkEvent::Connected`] or [`NetworkEvent::Closed`] follows.
    fn connect(&mut self, address: SocketAddr, router: usize) -> io::Result<ConnectionId>;
    /// Writes now, or once the connection is established.
    fn send(&mut self, conn: ConnectionId, bytes: &[u8]);
    /// Stops reading from a connection.
    fn stop_reading(&mut self, conn: ConnectionId);
    /// Closes a connection at once.
    fn close(&mut self, conn: ConnectionId);
}

struct Connection {
    stream: TcpStream,
    out: Vec<u8>,
    connecting: bool,
    /// Nothing is read from it any more: a client that does not consume its answer.
    ignores_input: bool,
}

/// Bytes that may be queued for a peer; with more its connection is closed.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Loopback sockets.
pub struct Sockets {
    poll: Poll,
    poll_events: Events,
    listeners: BTreeMap<ListenerId, TcpListener>,
    connections: BTreeMap<ConnectionId, Connection>,
    next: usize,
    pending_events: Vec<NetworkEvent>,
}

impl Sockets {
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            poll_events: Events::with_capacity(1_024),
            listeners: BTreeMap::new(),
            connections: BTreeMap::new(),
            next: 0,
            pending_events: Vec::new(),
        })
    }

    fn number(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn add(&mut self, mut stream: TcpStream, connecting: bool) -> io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true);
        let number = self.number();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(number), both)?;
        let connection = Connection { stream, out: Vec::new(), connecting, ignores_input: false };
        self.connections.insert(number, connection);
        Ok(number)
    }

    fn gone(&mut self, conn: ConnectionId) {
        if self.connections.contains_key(&conn) {
            self.close(conn);
            self.pending_events.push(NetworkEvent::Closed(conn));
        }
    }

    fn flush(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        while !connection.out.is_empty() {
            match connection.stream.write(&connection.out) {
                Ok(n) => {
                    connection.out.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.gone(conn),
            }
        }
    }

    fn read(&mut self, conn: ConnectionId) {
        let mut buffer = [0_u8; READ_BUFFER_BYTES];
        loop {
            let Some(connection) = self.connections.get_mut(&conn).filter(|s| !s.ignores_input) else {
                return;
            };
            match connection.stream.read(&mut buffer) {
                Ok(0) => return self.gone(conn),
                Ok(n) => {
                    let bytes = buffer.get(..n).unwrap_or_default().to_vec();
                    self.pending_events.push(NetworkEvent::Received(conn, bytes));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.gone(conn),
            }
        }
    }

    /// Waits for events, `longest` at most, and returns them.
    pub fn wait(&mut self, longest: Duration) -> io::Result<Vec<NetworkEvent>> {
        let longest = if self.pending_events.is_empty() { longest } else { Duration::ZERO };
        match self.poll.poll(&mut self.poll_events, Some(longest)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let ready: Vec<(usize, bool, bool)> = self
            .poll_events
            .iter()
            .map(|e| (e.token().0, e.is_readable() || e.is_error(), e.is_writable()))
            .collect();
        for (number, readable, writable) in ready {
            if self.listeners.contains_key(&number) {
                self.accept(number);
                continue;
            }
            let Some(connection) = self.connections.get_mut(&number) else { continue };
            if connection.connecting {
                if !matches!(connection.stream.take_error(), Ok(None)) {
                    self.gone(number);
                    continue;
                }
                if connection.stream.peer_addr().is_err() {
                    continue;
                }
                connection.connecting = false;
                self.pending_events.push(NetworkEvent::Connected(number));
            }
            if writable {
                self.flush(number);
            }
            if readable {
                self.read(number);
            }
        }
        Ok(std::mem::take(&mut self.pending_events))
    }

    fn accept(&mut self, number: ListenerId) {
        while let Some(Ok((stream, _))) = self.listeners.get(&number).map(TcpListener::accept) {
            if let Ok(conn) = self.add(stream, false) {
                self.pending_events.push(NetworkEvent::Accepted(number, conn));
            }
        }
    }
}

impl Network for Sockets {
    fn listen(&mut self, port: u16, _link: Link) -> io::Result<(ListenerId, SocketAddr)> {
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port)))?;
        let number = self.number();
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        let address = listener.local_addr()?;
        self.listeners.insert(number, listener);
        Ok((number, address))
    }

    fn stop_listening(&mut self, number: ListenerId) {
        if let Some(mut listener) = self.listeners.remove(&number) {
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    fn connect(&mut self, address: SocketAddr, _router: usize) -> io::Result<ConnectionId> {
        let stream = TcpStream::connect(address)?;
        self.add(stream, true)
    }

    fn send(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.out.extend_from_slice(bytes);
        if connection.out.len() > MAX_QUEUED_BYTES {
            return self.gone(conn);
        }
        if !connection.connecting {
            self.flush(conn);
        }
    }

    fn stop_reading(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.ignores_input = true;
        }
    }

    fn close(&mut self, conn: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(&conn) {
            let _ = self.poll.registry().deregister(&mut connection.stream);
        }
    }
}
