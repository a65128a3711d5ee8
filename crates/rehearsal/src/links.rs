//! Links between routers and their peers that can fail: a layer around any network that cuts, silences one way, delays and
//! resets, for chosen pairs and spans.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use crate::net::{Conn, Happened, Link, Listener, Net, To};
use crate::scenario::{Kind, LinkOf, Links, Scenario};

struct Trouble {
    kind: Kind,
    from: u64,
    until: u64,
    size: u64,
    links: Links,
    engines: Vec<usize>,
}

impl Trouble {
    fn strikes(&self, link: Link) -> bool {
        let router =
            self.links.routers.is_empty() || link.router.is_some_and(|r| self.links.routers.contains(&r));
        let engine = |i| self.engines.is_empty() || self.engines.contains(&i);
        let peer = match (self.links.of, link.to) {
            (LinkOf::All, _) | (LinkOf::Clients, To::Clients) | (LinkOf::Register, To::Register) => true,
            (LinkOf::Engines, To::Engine(i)) => engine(i),
            _ => false,
        };
        router && peer
    }

    fn acts(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }
}

enum Held {
    /// To a router.
    Bytes(Vec<u8>),
    Cut,
    /// From a router.
    Heard(Happened),
}

/// A network with links that fail.
pub struct Shaped<N> {
    /// What they lead over.
    pub inner: N,
    now: u64,
    troubles: Vec<Trouble>,
    /// Resets that are still to come, the next one last.
    resets: Vec<(u64, usize)>,
    listeners: BTreeMap<Listener, Link>,
    links: BTreeMap<Conn, Link>,
    /// What is held, by when it goes on; nothing overtakes what was held before on its connection and way.
    held: BTreeMap<(u64, u64), (Conn, Held)>,
    last: BTreeMap<(Conn, bool), u64>,
    order: u64,
    happened: Vec<Happened>,
}

impl<N: Net> Shaped<N> {
    /// With the faults of links of a day.
    pub fn new(inner: N, scenario: &Scenario) -> Self {
        let mut troubles = Vec::new();
        for f in &scenario.faults {
            if let Some(links) = &f.links {
                troubles.push(Trouble {
                    kind: f.kind,
                    from: f.at,
                    until: f.at + f.len,
                    size: f.size as u64,
                    links: links.clone(),
                    engines: f.on.clone(),
                });
            }
        }
        let resets = troubles.iter().enumerate().filter(|(_, t)| t.kind == Kind::LinkReset);
        let mut resets: Vec<(u64, usize)> = resets.map(|(i, t)| (t.from, i)).collect();
        // A cut begins with a reset of what stands.
        let cuts = troubles.iter().enumerate().filter(|(_, t)| t.kind == Kind::LinkCut);
        resets.extend(cuts.map(|(i, t)| (t.from, i)));
        resets.sort_by(|a, b| b.cmp(a));
        Self {
            inner,
            now: 0,
            troubles,
            resets,
            listeners: BTreeMap::new(),
            links: BTreeMap::new(),
            held: BTreeMap::new(),
            last: BTreeMap::new(),
            order: 0,
            happened: Vec::new(),
        }
    }

    fn struck(&self, conn: Conn, kind: Kind) -> Option<&Trouble> {
        let link = self.links.get(&conn)?;
        self.troubles.iter().find(|t| t.kind == kind && t.acts(self.now) && t.strikes(*link))
    }

    /// Until when what goes this way now is held; none: it goes on at once.
    fn until(&self, conn: Conn, to_router: bool) -> Option<u64> {
        let silent = if to_router { Kind::LinkMute } else { Kind::LinkDeaf };
        let silent = self.struck(conn, silent).map(|t| t.until);
        let slow = self.struck(conn, Kind::LinkSlow).map(|t| self.now + t.size);
        let before = self.last.get(&(conn, to_router)).copied().filter(|at| *at > self.now);
        [silent, slow, before].into_iter().flatten().max()
    }

    fn hold(&mut self, conn: Conn, to_router: bool, until: u64, what: Held) {
        self.order += 1;
        self.last.insert((conn, to_router), until);
        self.held.insert((until, self.order), (conn, what));
    }

    fn forget(&mut self, conn: Conn) {
        self.links.remove(&conn);
        self.last.remove(&(conn, true));
        self.last.remove(&(conn, false));
    }

    /// When [`Shaped::tick`] is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let held = self.held.keys().next().map_or(u64::MAX, |(at, _)| *at);
        held.min(self.resets.last().map_or(u64::MAX, |(at, _)| *at))
    }

    /// Lets go what is due; gives what the stand-ins hear of it.
    pub fn tick(&mut self) -> Vec<Happened> {
        while let Some((_, i)) = self.resets.pop_if(|(at, _)| *at <= self.now) {
            let Some(trouble) = self.troubles.get(i) else { continue };
            let struck: Vec<Conn> =
                self.links.iter().filter(|(_, l)| trouble.strikes(**l)).map(|(c, _)| *c).collect();
            for conn in struck {
                self.inner.cut(conn);
                self.forget(conn);
                self.happened.push(Happened::Gone(conn));
            }
        }
        while self.held.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
            let Some((_, (conn, what))) = self.held.pop_first() else { break };
            match what {
                Held::Bytes(bytes) => self.inner.send(conn, &bytes),
                Held::Cut => self.inner.cut(conn),
                Held::Heard(happened) => self.happened.push(happened),
            }
        }
        std::mem::take(&mut self.happened)
    }

    /// What of all that has happened the stand-ins hear now.
    pub fn pass(&mut self, happened: Vec<Happened>) -> Vec<Happened> {
        for h in happened {
            let conn = match &h {
                Happened::Accepted(listener, conn) => {
                    if let Some(link) = self.listeners.get(listener) {
                        self.links.insert(*conn, *link);
                    }
                    if self.struck(*conn, Kind::LinkCut).is_some() {
                        self.inner.cut(*conn);
                        self.forget(*conn);
                        continue;
                    }
                    *conn
                }
                Happened::Connected(conn) | Happened::Bytes(conn, _) | Happened::Gone(conn) => *conn,
            };
            if matches!(h, Happened::Connected(_)) && self.struck(conn, Kind::LinkCut).is_some() {
                self.inner.cut(conn);
                self.forget(conn);
                self.happened.push(Happened::Gone(conn));
                continue;
            }
            let gone = matches!(h, Happened::Gone(_));
            match self.until(conn, false).filter(|_| !matches!(h, Happened::Accepted(..))) {
                Some(until) => self.hold(conn, false, until, Held::Heard(h)),
                None => self.happened.push(h),
            }
            if gone {
                self.forget(conn);
            }
        }
        std::mem::take(&mut self.happened)
    }
}

impl<N: Net> Net for Shaped<N> {
    fn at(&mut self, now: u64) {
        self.now = now;
        self.inner.at(now);
    }

    fn listen(&mut self, port: u16, link: Link) -> io::Result<(Listener, SocketAddr)> {
        let (listener, address) = self.inner.listen(port, link)?;
        self.listeners.insert(listener, link);
        Ok((listener, address))
    }

    fn stop_listening(&mut self, number: Listener) {
        self.listeners.remove(&number);
        self.inner.stop_listening(number);
    }

    fn connect(&mut self, address: SocketAddr, router: usize) -> io::Result<Conn> {
        let conn = self.inner.connect(address, router)?;
        self.links.insert(conn, Link { router: Some(router), to: To::Clients });
        Ok(conn)
    }

    fn send(&mut self, conn: Conn, bytes: &[u8]) {
        match self.until(conn, true) {
            Some(until) => self.hold(conn, true, until, Held::Bytes(bytes.to_vec())),
            None => self.inner.send(conn, bytes),
        }
    }

    fn make_deaf(&mut self, conn: Conn) {
        self.inner.make_deaf(conn);
    }

    fn cut(&mut self, conn: Conn) {
        match self.until(conn, true) {
            Some(until) => self.hold(conn, true, until, Held::Cut),
            None => self.inner.cut(conn),
        }
        self.forget(conn);
    }
}
