//! The listening address of a router. The socket is bound first and starts to listen once the router is ready.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use mio::net::TcpListener;

/// Maximum number of connections pending in the listening socket.
pub(super) const BACKLOG: usize = 1_024;

/// An address that the router listens on; before that, with its bound socket.
#[derive(Debug)]
pub struct ListenAddress {
    address: SocketAddr,
    shared: bool,
    bound: Option<socket2::Socket>,
}

impl ListenAddress {
    /// Binds a socket to an address. With `shared`, several processes may listen on it (`SO_REUSEPORT`).
    pub fn bind(address: SocketAddr, shared: bool) -> io::Result<Self> {
        let socket = bind(address, shared)?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self { address, shared, bound: Some(socket) })
    }

    /// Takes over the listening socket of the previous process.
    pub fn adopt(listener: OwnedFd, shared: bool) -> io::Result<Self> {
        let socket = socket2::Socket::from(listener);
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::InvalidInput)?;
        socket.set_nonblocking(true)?;
        Ok(Self { address, shared, bound: Some(socket) })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen, on the bound socket or, if that was used before, on a new one.
    pub(super) fn listen(&mut self) -> io::Result<TcpListener> {
        let socket = match self.bound.take() {
            Some(socket) => socket,
            None => bind(self.address, self.shared)?,
        };
        socket.listen(BACKLOG as i32)?;
        Ok(TcpListener::from_std(socket.into()))
    }
}

fn bind(address: SocketAddr, shared: bool) -> io::Result<socket2::Socket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
