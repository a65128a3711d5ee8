//! Faults of the links between routers and their peers: a layer around any network that drops, silences one way, delays
//! and resets connections, for chosen pairs and spans of time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use crate::network::{ConnectionId, Link, LinkPeer, ListenerId, Network, NetworkEvent};
use crate::scenario::{Kind, LinkScope, LinkSelector, Scenario};

struct LinkFault {
    kind: Kind,
    from: u64,
    until: u64,
    size: u64,
    links: LinkSelector,
    engines: Vec<usize>,
}

impl LinkFault {
    fn matches(&self, link: Link) -> bool {
        let router =
            self.links.routers.is_empty() || link.router.is_some_and(|r| self.links.routers.contains(&r));
        let engine = |i| self.engines.is_empty() || self.engines.contains(&i);
        let peer = match (self.links.of, link.to) {
            (LinkScope::All, _)
            | (LinkScope::Clients, LinkPeer::Clients)
            | (LinkScope::Register, LinkPeer::Register) => true,
            (LinkScope::Engines, LinkPeer::Engine(i)) => engine(i),
            _ => false,
        };
        router && peer
    }

    fn is_active(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }
}

enum Delayed {
    /// Bytes to a router.
    Bytes(Vec<u8>),
    Close,
    /// An event that a router caused.
    Event(NetworkEvent),
}

/// A network whose links can fail.
pub struct FaultyNetwork<N> {
    /// The network beneath.
    pub inner: N,
    now: u64,
    faults: Vec<LinkFault>,
    /// Resets still to come, as time and index of the fault, the next one last.
    resets: Vec<(u64, usize)>,
    listeners: BTreeMap<ListenerId, Link>,
    links: BTreeMap<ConnectionId, Link>,
    /// Delayed data and events by the time at which they go on; none overtakes another of its connection and direction.
    delayed: BTreeMap<(u64, u64), (ConnectionId, Delayed)>,
    last: BTreeMap<(ConnectionId, bool), u64>,
    order: u64,
    events: Vec<NetworkEvent>,
}

impl<N: Network> FaultyNetwork<N> {
    /// A network with the link faults of a scenario.
    pub fn new(inner: N, scenario: &Scenario) -> Self {
        let mut faults = Vec::new();
        for f in &scenario.faults {
            if let Some(links) = &f.links {
                faults.push(LinkFault {
                    kind: f.kind,
                    from: f.at,
                    until: f.at + f.len,
                    size: f.size as u64,
                    links: links.clone(),
                    engines: f.on.clone(),
                });
            }
        }
        let resets = faults.iter().enumerate().filter(|(_, t)| t.kind == Kind::LinkReset);
        let mut resets: Vec<(u64, usize)> = resets.map(|(i, t)| (t.from, i)).collect();
        // A cut begins with a reset of the open connections.
        let cuts = faults.iter().enumerate().filter(|(_, t)| t.kind == Kind::LinkCut);
        resets.extend(cuts.map(|(i, t)| (t.from, i)));
        resets.sort_by(|a, b| b.cmp(a));
        Self {
            inner,
            now: 0,
            faults,
            resets,
            listeners: BTreeMap::new(),
            links: BTreeMap::new(),
            delayed: BTreeMap::new(),
            last: BTreeMap::new(),
            order: 0,
            events: Vec::new(),
        }
    }

    fn active_fault(&self, conn: ConnectionId, kind: Kind) -> Option<&LinkFault> {
        let link = self.links.get(&conn)?;
        self.faults.iter().find(|t| t.kind == kind && t.is_active(self.now) && t.matches(*link))
    }

    /// Until when data in this direction is delayed; none: it goes on at once.
    fn delayed_until(&self, conn: ConnectionId, to_router: bool) -> Option<u64> {
        let silent = if to_router { Kind::LinkMute } else { Kind::LinkDeaf };
        let silent = self.active_fault(conn, silent).map(|t| t.until);
        let slow = self.active_fault(conn, Kind::LinkSlow).map(|t| self.now + t.size);
        let before = self.last.get(&(conn, to_router)).copied().filter(|at| *at > self.now);
        [silent, slow, before].into_iter().flatten().max()
    }

    fn delay(&mut self, conn: ConnectionId, to_router: bool, until: u64, what: Delayed) {
        self.order += 1;
        self.last.insert((conn, to_router), until);
        self.delayed.insert((until, self.order), (conn, what));
    }

    fn forget(&mut self, conn: ConnectionId) {
        self.links.remove(&conn);
        self.last.remove(&(conn, true));
        self.last.remove(&(conn, false));
    }

    /// When [`FaultyNetwork::tick`] is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let delayed = self.delayed.keys().next().map_or(u64::MAX, |(at, _)| *at);
        delayed.min(self.resets.last().map_or(u64::MAX, |(at, _)| *at))
    }

    /// Passes on what is due; returns the events of it that the fakes see.
    pub fn tick(&mut self) -> Vec<NetworkEvent> {
        while let Some((_, i)) = self.resets.pop_if(|(at, _)| *at <= self.now) {
            let Some(fault) = self.faults.get(i) else { continue };
            let affected: Vec<ConnectionId> =
                self.links.iter().filter(|(_, l)| fault.matches(**l)).map(|(c, _)| *c).collect();
            for conn in affected {
                self.inner.close(conn);
                self.forget(conn);
                self.events.push(NetworkEvent::Closed(conn));
            }
        }
        while self.delayed.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
            let Some((_, (conn, what))) = self.delayed.pop_first() else { break };
            match what {
                Delayed::Bytes(bytes) => self.inner.send(conn, &bytes),
                Delayed::Close => self.inner.close(conn),
                Delayed::Event(event) => self.events.push(event),
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Takes events of the network beneath; returns those that the fakes see now.
    pub fn receive(&mut self, events: Vec<NetworkEvent>) -> Vec<NetworkEvent> {
        for event in events {
            let conn = match &event {
                NetworkEvent::Accepted(listener, conn) => {
                    if let Some(link) = self.listeners.get(listener) {
                        self.links.insert(*conn, *link);
                    }
                    if self.active_fault(*conn, Kind::LinkCut).is_some() {
                        self.inner.close(*conn);
                        self.forget(*conn);
                        continue;
                    }
                    *conn
                }
                NetworkEvent::Connected(conn)
                | NetworkEvent::Received(conn, _)
                | NetworkEvent::Closed(conn) => *conn,
            };
            if matches!(event, NetworkEvent::Connected(_)) && self.active_fault(conn, Kind::LinkCut).is_some()
            {
                self.inner.close(conn);
                self.forget(conn);
                self.events.push(NetworkEvent::Closed(conn));
                continue;
            }
            let gone = matches!(event, NetworkEvent::Closed(_));
            match self.delayed_until(conn, false).filter(|_| !matches!(event, NetworkEvent::Accepted(..))) {
                Some(until) => self.delay(conn, false, until, Delayed::Event(event)),
                None => self.events.push(event),
            }
            if gone {
                self.forget(conn);
            }
        }
        std::mem::take(&mut self.events)
    }
}

impl<N: Network> Network for FaultyNetwork<N> {
    fn set_time(&mut self, now: u64) {
        self.now = now;
        self.inner.set_time(now);
    }

    fn listen(&mut self, port: u16, link: Link) -> io::Result<(ListenerId, SocketAddr)> {
        let (listener, address) = self.inner.listen(port, link)?;
        self.listeners.insert(listener, link);
        Ok((listener, address))
    }

    fn stop_listening(&mut self, number: ListenerId) {
        self.listeners.remove(&number);
        self.inner.stop_listening(number);
    }

    fn connect(&mut self, address: SocketAddr, router: usize) -> io::Result<ConnectionId> {
        let conn = self.inner.connect(address, router)?;
        self.links.insert(conn, Link { router: Some(router), to: LinkPeer::Clients });
        Ok(conn)
    }

    fn send(&mut self, conn: ConnectionId, bytes: &[u8]) {
        match self.delayed_until(conn, true) {
            Some(until) => self.delay(conn, true, until, Delayed::Bytes(bytes.to_vec())),
            None => self.inner.send(conn, bytes),
        }
    }

    fn stop_reading(&mut self, conn: ConnectionId) {
        self.inner.stop_reading(conn);
    }

    fn close(&mut self, conn: ConnectionId) {
        match self.delayed_until(conn, true) {
            Some(until) => self.delay(conn, true, until, Delayed::Close),
            None => self.inner.close(conn),
        }
        self.forget(conn);
    }
}
