//! The side of the fakes: they listen, connect, send and cut as on sockets.

use std::io;
use std::net::SocketAddr;

use chalkyard_rehearsal::network::{ConnectionId, Link, ListenerId, Network};
use chalkyard_router::ConnId;

use super::{loopback, CoreEvent, Memory, Pending};

impl Network for Memory {
    fn set_time(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    fn listen(&mut self, port: u16, _link: Link) -> io::Result<(ListenerId, SocketAddr)> {
        let address = loopback(if port == 0 { self.port() } else { port });
        if self.listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let number = self.number();
        self.listeners.insert(address, number);
        self.addresses.insert(number, address);
        Ok((number, address))
    }

    fn stop_listening(&mut self, number: ListenerId) {
        if let Some(address) = self.addresses.remove(&number) {
            self.listeners.remove(&address);
        }
    }

    fn connect(&mut self, address: SocketAddr, _router: usize) -> io::Result<ConnectionId> {
        let router = self.routers.get(&address).copied().ok_or(io::ErrorKind::ConnectionRefused)?;
        let place = self.places.get_mut(router).ok_or(io::ErrorKind::ConnectionRefused)?;
        let id = ConnId(place.next_client);
        place.next_client += 2;
        let conn = self.pipe(router, id);
        let at = self.now + Self::latency(conn);
        self.later(at, Pending::Reaches(conn, router));
        if let Some(pipe) = self.pipes.get_mut(&conn) {
            pipe.last_to_core = at;
        }
        Ok(conn)
    }

    fn send(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if self.pipes.get(&conn).is_some_and(|p| p.fake_open) {
            self.send_to_core(conn, CoreEvent::Bytes(bytes.to_vec()));
        }
    }

    fn stop_reading(&mut self, conn: ConnectionId) {
        if let Some(pipe) = self.pipes.get_mut(&conn) {
            pipe.ignores_input = true;
        }
    }

    fn close(&mut self, conn: ConnectionId) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.fake_open = false;
        if pipe.core {
            self.send_to_core(conn, CoreEvent::Eof);
        } else {
            self.forget(conn);
        }
    }
}
