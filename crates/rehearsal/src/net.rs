//! What stand-ins need of a network, and sockets that give it: one mio loop, connections by number.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// A connection's number, never given twice.
pub type Conn = usize;
/// A listener's number.
pub type Listener = usize;

/// What happened.
#[derive(Debug)]
pub enum Happened {
    /// A peer connected.
    Accepted(Listener, Conn),
    /// A connection of ours stands.
    Connected(Conn),
    /// Bytes came.
    Bytes(Conn, Vec<u8>),
    /// It is gone: closed by the peer or lost. A connection closed here is not told of.
    Gone(Conn),
}

/// What a link leads from a router to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    /// Its clients.
    Clients,
    /// The engine of this place in the day's list.
    Engine(usize),
    /// The register.
    Register,
}

/// A link: all connections between one router and one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The router, by its place; none where one listener serves all.
    pub router: Option<usize>,
    /// Its peer.
    pub to: To,
}

/// A network between stand-ins and routers.
pub trait Net {
    /// Time goes on, µs since the day began.
    fn at(&mut self, _now: u64) {}
    /// Listens for that link; port 0 takes any.
    fn listen(&mut self, port: u16, link: Link) -> io::Result<(Listener, SocketAddr)>;
    /// No connection comes there any more.
    fn stop_listening(&mut self, number: Listener);
    /// Begins a client's connection to that router: [`Happened::Connected`] or [`Happened::Gone`] follows.
    fn connect(&mut self, address: SocketAddr, router: usize) -> io::Result<Conn>;
    /// Writes, now or once the connection stands.
    fn send(&mut self, conn: Conn, bytes: &[u8]);
    /// Nothing more is read from it.
    fn make_deaf(&mut self, conn: Conn);
    /// Closes at once.
    fn cut(&mut self, conn: Conn);
}

struct Sock {
    stream: TcpStream,
    out: Vec<u8>,
    connecting: bool,
    /// Nothing is read from it: a client that takes nothing.
    deaf: bool,
}

/// Bytes of an answer that may wait for a peer; more cut it off.
const OUT_BYTES: usize = 16 * 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// Real sockets.
pub struct Sockets {
    poll: Poll,
    events: Events,
    listeners: BTreeMap<Listener, TcpListener>,
    socks: BTreeMap<Conn, Sock>,
    next: usize,
    happened: Vec<Happened>,
}

impl Sockets {
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            events: Events::with_capacity(1_024),
            listeners: BTreeMap::new(),
            socks: BTreeMap::new(),
            next: 0,
            happened: Vec::new(),
        })
    }

    fn number(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn add(&mut self, mut stream: TcpStream, connecting: bool) -> io::Result<Conn> {
        let _ = stream.set_nodelay(true);
        let number = self.number();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(number), both)?;
        let sock = Sock { stream, out: Vec::new(), connecting, deaf: false };
        self.socks.insert(number, sock);
        Ok(number)
    }

    fn gone(&mut self, conn: Conn) {
        if self.socks.contains_key(&conn) {
            self.cut(conn);
            self.happened.push(Happened::Gone(conn));
        }
    }

    fn flush(&mut self, conn: Conn) {
        let Some(sock) = self.socks.get_mut(&conn) else { return };
        while !sock.out.is_empty() {
            match sock.stream.write(&sock.out) {
                Ok(n) => {
                    sock.out.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.gone(conn),
            }
        }
    }

    fn read(&mut self, conn: Conn) {
        let mut buffer = [0_u8; READ_BYTES];
        loop {
            let Some(sock) = self.socks.get_mut(&conn).filter(|s| !s.deaf) else { return };
            match sock.stream.read(&mut buffer) {
                Ok(0) => return self.gone(conn),
                Ok(n) => {
                    let bytes = buffer.get(..n).unwrap_or_default().to_vec();
                    self.happened.push(Happened::Bytes(conn, bytes));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.gone(conn),
            }
        }
    }

    /// Waits, and gives what happened.
    pub fn wait(&mut self, longest: Duration) -> io::Result<Vec<Happened>> {
        let longest = if self.happened.is_empty() { longest } else { Duration::ZERO };
        match self.poll.poll(&mut self.events, Some(longest)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let ready: Vec<(usize, bool, bool)> = self
            .events
            .iter()
            .map(|e| (e.token().0, e.is_readable() || e.is_error(), e.is_writable()))
            .collect();
        for (number, readable, writable) in ready {
            if self.listeners.contains_key(&number) {
                self.accept(number);
                continue;
            }
            let Some(sock) = self.socks.get_mut(&number) else { continue };
            if sock.connecting {
                if !matches!(sock.stream.take_error(), Ok(None)) {
                    self.gone(number);
                    continue;
                }
                if sock.stream.peer_addr().is_err() {
                    continue;
                }
                sock.connecting = false;
                self.happened.push(Happened::Connected(number));
            }
            if writable {
                self.flush(number);
            }
            if readable {
                self.read(number);
            }
        }
        Ok(std::mem::take(&mut self.happened))
    }

    fn accept(&mut self, number: Listener) {
        while let Some(Ok((stream, _))) = self.listeners.get(&number).map(TcpListener::accept) {
            if let Ok(conn) = self.add(stream, false) {
                self.happened.push(Happened::Accepted(number, conn));
            }
        }
    }
}

impl Net for Sockets {
    fn listen(&mut self, port: u16, _link: Link) -> io::Result<(Listener, SocketAddr)> {
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port)))?;
        let number = self.number();
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        let address = listener.local_addr()?;
        self.listeners.insert(number, listener);
        Ok((number, address))
    }

    fn stop_listening(&mut self, number: Listener) {
        if let Some(mut listener) = self.listeners.remove(&number) {
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    fn connect(&mut self, address: SocketAddr, _router: usize) -> io::Result<Conn> {
        let stream = TcpStream::connect(address)?;
        self.add(stream, true)
    }

    fn send(&mut self, conn: Conn, bytes: &[u8]) {
        let Some(sock) = self.socks.get_mut(&conn) else { return };
        sock.out.extend_from_slice(bytes);
        if sock.out.len() > OUT_BYTES {
            return self.gone(conn);
        }
        if !sock.connecting {
            self.flush(conn);
        }
    }

    fn make_deaf(&mut self, conn: Conn) {
        if let Some(sock) = self.socks.get_mut(&conn) {
            sock.deaf = true;
        }
    }

    fn cut(&mut self, conn: Conn) {
        if let Some(mut sock) = self.socks.remove(&conn) {
            let _ = self.poll.registry().deregister(&mut sock.stream);
        }
    }
}
