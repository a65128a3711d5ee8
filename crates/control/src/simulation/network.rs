//! The simulated network: two regions, message delays, and scheduled events.

use super::Simulation;
use crate::ballot::ReplicaId;
use crate::document::Delta;
use crate::message::Message;
use crate::sessions::{SessionId, SessionMessage};
use crate::subscriber::SubscriberInput;
use crate::time::Micros;

/// Minimum delay within a region, in µs. A random time of up to the same length is added.
const LOCAL_DELAY: Micros = 1_000;
/// Minimum delay between regions, in µs. A random time of up to the same length is added.
const REMOTE_DELAY: Micros = 10_000;
/// Length of the prefix that precedes each message on a connection, in bytes.
pub(super) const FRAME_BYTES: u64 = 4;

/// One of the two regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Region {
    First,
    Second,
}

/// Returns a router's region: routers with an even index are in the first region.
pub(super) fn region_of_router(router: usize) -> Region {
    if router.is_multiple_of(2) {
        Region::First
    } else {
        Region::Second
    }
}

/// A scheduled event.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A message from another replica arrives at a replica.
    ReplicaReceives { from: ReplicaId, to: ReplicaId, bytes: Vec<u8> },
    /// A message from a router arrives at a replica.
    SessionReceives { replica: ReplicaId, session: SessionId, bytes: Vec<u8> },
    /// A message arrives at a router.
    RouterReceives { session: SessionId, bytes: Vec<u8> },
    /// A router's connection is established.
    Connected { router: usize, replica: ReplicaId },
    /// A router's connection attempt is refused.
    ConnectFailed { router: usize, replica: ReplicaId },
    /// A replica sends its periodic heartbeat.
    Heartbeat { replica: ReplicaId },
    /// An operator publishes changes.
    Publish { replica: ReplicaId, changes: Delta },
    /// A replica retries its publication.
    Retry { replica: ReplicaId },
    /// A replica abandons the publication that was requested at this time, if it is still in progress.
    Abandon { replica: ReplicaId, requested_at: Micros },
}

impl Simulation<'_> {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::ReplicaReceives { from, to, bytes } => self.replica_receives(from, to, &bytes),
            Event::SessionReceives { replica, session, bytes } => {
                self.session_receives(replica, session, &bytes);
            }
            Event::RouterReceives { session, bytes } => {
                if let Some(router) = self.router_by_session.get(&session).copied() {
                    self.router_receives(router, &bytes);
                }
            }
            Event::Connected { router, replica } => self.router_connected(router, replica),
            Event::ConnectFailed { router, replica } => {
                if self.is_connecting(router, replica) {
                    self.router_input(router, SubscriberInput::Disconnected);
                }
            }
            Event::Heartbeat { replica } => self.send_heartbeat(replica),
            Event::Publish { replica, changes } => self.start_publication(replica, changes),
            Event::Retry { replica } => self.retry_publication(replica),
            Event::Abandon { replica, requested_at } => self.abandon_publication(replica, requested_at),
        }
    }

    /// Returns a replica's region: the first half of the replicas is in the first region.
    pub(super) fn region_of_replica(&self, replica: ReplicaId) -> Region {
        if usize::from(replica.0) < self.replica_nodes.len().div_ceil(2) {
            Region::First
        } else {
            Region::Second
        }
    }

    /// Returns a random delay between two regions, in µs, or none if they are partitioned from each other.
    pub(super) fn delay(&mut self, from: Region, to: Region) -> Option<Micros> {
        let is_remote = from != to;
        if is_remote && self.partitioned {
            return None;
        }
        let min_delay = if is_remote { REMOTE_DELAY } else { LOCAL_DELAY };
        Some(min_delay + self.random.below(min_delay))
    }

    pub(super) fn send_to_replica(&mut self, from: ReplicaId, to: ReplicaId, message: &Message) {
        let Some(delay) = self.delay(self.region_of_replica(from), self.region_of_replica(to)) else {
            return;
        };
        let bytes = message.encode(&self.key);
        // Bytes are counted at the sender and at the receiver.
        self.control_bytes += 2 * (bytes.len() as u64 + FRAME_BYTES);
        self.schedule(delay, Event::ReplicaReceives { from, to, bytes });
    }

    pub(super) fn send_to_routers(&mut self, replica: ReplicaId, messages: Vec<SessionMessage>) {
        let mut last_encoded: Option<(Message, Vec<u8>)> = None;
        for SessionMessage { session, message } in messages {
            // Consecutive equal messages, such as a broadcast, are encoded once.
            let bytes = match last_encoded.take().filter(|(last, _)| *last == message) {
                Some((_, bytes)) => bytes,
                None => message.encode(&self.key),
            };
            last_encoded = Some((message, bytes.clone()));
            let Some(router) = self.router_by_session.get(&session).copied() else { continue };
            let Some(delay) = self.delay(self.region_of_replica(replica), region_of_router(router)) else {
                continue;
            };
            self.control_bytes += bytes.len() as u64 + FRAME_BYTES;
            self.schedule(delay, Event::RouterReceives { session, bytes });
        }
    }
}
