//! Event handling of the simulated routers.

use std::time::Instant;

use super::network::{region_of_router, Event, FRAME_BYTES};
use super::nodes::RouterConnection;
use super::Simulation;
use crate::ballot::ReplicaId;
use crate::document::Document;
use crate::message::Message;
use crate::revision::RevisionNumber;
use crate::sessions::SessionId;
use crate::subscriber::{Subscriber, SubscriberAction, SubscriberInput};

impl Simulation<'_> {
    /// Restarts a router's process with its stored configuration, or without one.
    pub fn restart_router(&mut self, index: usize, has_stored: bool, seed: u64) {
        let replicas = self.replica_count;
        self.close_session(index);
        let Some(router) = self.routers.get_mut(index) else { return };
        let (number, document) = if has_stored {
            (router.subscriber.number(), router.subscriber.document().clone())
        } else {
            (RevisionNumber(0), Document::default())
        };
        router.subscriber = Subscriber::new(number, document, replicas, seed);
        router.newest = number;
    }

    /// Closes a router's connection on both sides without reporting the disconnection to the router.
    fn close_session(&mut self, index: usize) {
        let Some(router) = self.routers.get_mut(index) else { return };
        let Some(RouterConnection { replica, session }) = router.connection.take() else { return };
        self.router_by_session.remove(&session);
        if let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) {
            node.sessions.close(session);
        }
    }

    pub(super) fn router_receives(&mut self, index: usize, bytes: &[u8]) {
        let Some(router) = self.routers.get_mut(index) else { return };
        router.bytes += bytes.len() as u64 + FRAME_BYTES;
        let started = Instant::now();
        let message = Message::decode(&self.key, bytes);
        router.work_ns += elapsed_ns(started);
        if let Ok(message) = message {
            self.router_input(index, SubscriberInput::Message(Box::new(message)));
        }
    }

    /// Returns whether a router still waits for a connection to this replica.
    pub(super) fn is_connecting(&self, index: usize, replica: ReplicaId) -> bool {
        let Some(router) = self.routers.get(index) else { return false };
        router.subscriber.replica() == replica && !router.subscriber.is_connected()
    }

    pub(super) fn router_connected(&mut self, index: usize, replica: ReplicaId) {
        if !self.is_connecting(index, replica) {
            return;
        }
        let now = self.now;
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let node = self.replica_nodes.get_mut(usize::from(replica.0)).filter(|node| node.is_running);
        let is_open = node.is_some_and(|node| node.sessions.open(session, now).is_ok());
        if !is_open {
            return self.router_input(index, SubscriberInput::Disconnected);
        }
        if let Some(router) = self.routers.get_mut(index) {
            router.connection = Some(RouterConnection { replica, session });
        }
        self.router_by_session.insert(session, index);
        self.router_input(index, SubscriberInput::Connected);
    }

    pub(super) fn router_input(&mut self, index: usize, input: SubscriberInput) {
        let now = self.now;
        if input == SubscriberInput::Disconnected {
            self.close_session(index);
        }
        let Some(router) = self.routers.get_mut(index) else { return };
        let mut actions = Vec::new();
        let started = Instant::now();
        router.subscriber.handle(now, input, &mut router.applier, &mut actions);
        router.work_ns += elapsed_ns(started);
        for action in actions {
            self.perform_router_action(index, action);
        }
    }

    fn perform_router_action(&mut self, index: usize, action: SubscriberAction) {
        match action {
            SubscriberAction::Connect(replica) => self.connect(index, replica),
            SubscriberAction::Send(message) => self.send_from_router(index, &message),
            SubscriberAction::Close => self.close_session(index),
            SubscriberAction::Applied(number) => self.record_applied(index, number),
            SubscriberAction::Rejected { .. } => {}
            SubscriberAction::Diverged { .. } => self.diverged += 1,
        }
    }

    /// Schedules a router's connection, which takes one round trip. Across a partition no event follows, and the router's
    /// connect timeout expires.
    fn connect(&mut self, index: usize, replica: ReplicaId) {
        let node = self.replica_nodes.get(usize::from(replica.0));
        let is_running = node.is_some_and(|node| node.is_running);
        let delay = self.delay(region_of_router(index), self.region_of_replica(replica));
        let Some(delay) = delay else { return };
        let event = if is_running {
            Event::Connected { router: index, replica }
        } else {
            Event::ConnectFailed { router: index, replica }
        };
        self.schedule(2 * delay, event);
    }

    fn record_applied(&mut self, index: usize, number: RevisionNumber) {
        let requested_at = self.requested_at.get(&number).copied();
        if let Some(router) = self.routers.get_mut(index) {
            router.regressions += u64::from(number <= router.newest);
            router.newest = number;
        }
        self.apply_delays.extend(requested_at.map(|requested_at| self.now - requested_at));
    }

    fn send_from_router(&mut self, index: usize, message: &Message) {
        let bytes = message.encode(&self.key);
        let Some(router) = self.routers.get_mut(index) else { return };
        router.bytes += bytes.len() as u64 + FRAME_BYTES;
        let Some(RouterConnection { replica, session }) = router.connection else { return };
        let Some(delay) = self.delay(region_of_router(index), self.region_of_replica(replica)) else {
            return;
        };
        self.control_bytes += bytes.len() as u64 + FRAME_BYTES;
        self.schedule(delay, Event::SessionReceives { replica, session, bytes });
    }
}

fn elapsed_ns(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX)
}
