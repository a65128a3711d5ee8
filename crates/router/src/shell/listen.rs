//! The address where a router listens: bound first, listened at once it is ready.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use mio::net::TcpListener;

/// Connections that may wait to be accepted.
pub(super) const BACKLOG: usize = 1_024;

/// An address that is bound, and not listened at yet.
#[derive(Debug)]
pub struct ListenAddress {
    at: SocketAddr,
    shared: bool,
    bound: Option<socket2::Socket>,
}

impl ListenAddress {
    /// Binds an address; with `shared`, several processes may listen on it (`SO_REUSEPORT`).
    pub fn bind(address: SocketAddr, shared: bool) -> io::Result<Self> {
        let socket = bind(address, shared)?;
        let at = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self { at, shared, bound: Some(socket) })
    }

    /// Adopts a socket that the previous process listened at.
    pub fn adopt(listener: OwnedFd, shared: bool) -> io::Result<Self> {
        let socket = socket2::Socket::from(listener);
        let at = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::InvalidInput)?;
        socket.set_nonblocking(true)?;
        Ok(Self { at, shared, bound: Some(socket) })
    }

    /// The address.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub(super) fn listen(&mut self) -> io::Result<TcpListener> {
        let socket = match self.bound.take() {
            Some(socket) => socket,
            None => bind(self.at, self.shared)?,
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
