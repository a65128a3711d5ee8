//! Event handling of the simulated control replicas.

use super::network::Event;
use super::nodes::{Disk, ReplicaNode};
use super::{Simulation, HEARTBEAT_INTERVAL, SECOND};
use crate::ballot::ReplicaId;
use crate::document::Delta;
use crate::message::Message;
use crate::publication::PublishOutcome;
use crate::replica::{Replica, ReplicaAction};
use crate::revision::Revision;
use crate::sessions::{SessionId, SubscriberSessions};
use crate::subscriber::SubscriberInput;
use crate::time::Micros;

/// Minimum delay before an undecided publication is retried, in µs. A random time below `RETRY_JITTER` is added.
const MIN_RETRY_DELAY: Micros = 200_000;
const RETRY_JITTER: Micros = 300_000;
/// How long after its request a publication is abandoned, in µs.
const PUBLICATION_TIMEOUT: Micros = 10 * SECOND;

impl Simulation<'_> {
    /// Stops a replica's process, which closes its connections.
    pub fn kill(&mut self, replica: ReplicaId) {
        if let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) {
            node.is_running = false;
            node.requested_at = None;
            node.sessions = SubscriberSessions::default();
        }
        for index in 0..self.routers.len() {
            if self.routers.get(index).is_some_and(|router| router.is_connected_to(replica)) {
                self.router_input(index, SubscriberInput::Disconnected);
            }
        }
    }

    /// Restarts a replica's process from its disk, or from an older copy of the disk.
    pub fn start(&mut self, replica: ReplicaId, old_disk: Option<Disk>) {
        let replicas = self.replica_count;
        let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) else { return };
        if let Some(old_disk) = old_disk {
            node.disk = old_disk;
        }
        let Disk { history, votes } = node.disk.clone();
        node.replica = Replica::new(replica, replicas, history, votes);
        node.is_running = true;
        self.schedule(0, Event::Heartbeat { replica });
    }

    /// Returns a copy of a replica's disk.
    pub fn disk(&self, replica: ReplicaId) -> Option<Disk> {
        self.replica_nodes.get(usize::from(replica.0)).map(|node| node.disk.clone())
    }

    fn running_replica(&mut self, replica: ReplicaId) -> Option<&mut ReplicaNode> {
        self.replica_nodes.get_mut(usize::from(replica.0)).filter(|node| node.is_running)
    }

    pub(super) fn send_heartbeat(&mut self, replica: ReplicaId) {
        let Some(node) = self.running_replica(replica) else { return };
        let heartbeat = node.replica.heartbeat();
        for other in self.replica_ids() {
            if other != replica {
                self.send_to_replica(replica, other, &heartbeat);
            }
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat { replica });
    }

    pub(super) fn start_publication(&mut self, replica: ReplicaId, changes: Delta) {
        let requested_at = self.now;
        let validator = self.validator;
        let Some(node) = self.running_replica(replica) else {
            return self.outcomes.push(PublishOutcome::NoQuorum);
        };
        if node.requested_at.is_some() {
            return self.outcomes.push(PublishOutcome::Busy);
        }
        node.requested_at = Some(requested_at);
        let mut actions = Vec::new();
        let author = format!("operator at {}", replica.0);
        node.replica.publish(changes, &author, validator, &mut actions);
        self.perform_actions(replica, actions);
        self.schedule_retry(replica);
        self.schedule(PUBLICATION_TIMEOUT, Event::Abandon { replica, requested_at });
    }

    pub(super) fn retry_publication(&mut self, replica: ReplicaId) {
        let validator = self.validator;
        let Some(node) = self.running_replica(replica).filter(|node| node.replica.is_publishing()) else {
            return;
        };
        let mut actions = Vec::new();
        node.replica.retry(validator, &mut actions);
        self.perform_actions(replica, actions);
        self.schedule_retry(replica);
    }

    fn schedule_retry(&mut self, replica: ReplicaId) {
        let delay = MIN_RETRY_DELAY + self.random.below(RETRY_JITTER);
        self.schedule(delay, Event::Retry { replica });
    }

    pub(super) fn abandon_publication(&mut self, replica: ReplicaId, requested_at: Micros) {
        let is_same = |node: &&mut ReplicaNode| node.requested_at == Some(requested_at);
        let node = self.replica_nodes.get_mut(usize::from(replica.0)).filter(is_same);
        let Some(node) = node else { return };
        let mut actions = Vec::new();
        node.replica.abandon(&mut actions);
        self.perform_actions(replica, actions);
    }

    pub(super) fn replica_receives(&mut self, from: ReplicaId, to: ReplicaId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let Some(node) = self.running_replica(to) else { return };
        let mut actions = Vec::new();
        node.replica.receive(from, message, &mut actions);
        self.perform_actions(to, actions);
    }

    fn perform_actions(&mut self, replica: ReplicaId, actions: Vec<ReplicaAction>) {
        for action in actions {
            let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) else { return };
            match action {
                ReplicaAction::Send { to, message } => self.send_to_replica(replica, to, &message),
                ReplicaAction::PersistVotes(votes) => node.disk.votes = Some(votes),
                ReplicaAction::PersistRevision(revision) => self.persist_revision(replica, &revision),
                ReplicaAction::PersistSnapshot(_) => node.disk.history = node.replica.history().clone(),
                ReplicaAction::PublicationEnded(outcome) => self.end_publication(replica, outcome),
                ReplicaAction::Diverged { .. } => self.diverged += 1,
            }
        }
    }

    fn persist_revision(&mut self, replica: ReplicaId, revision: &Revision) {
        let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) else { return };
        // Can't fail, since the replica itself has appended the revision.
        let _ = node.disk.history.append(revision.clone());
        let mut messages = Vec::new();
        node.sessions.broadcast(revision, &mut messages);
        let known = self.decided.insert(revision.number, revision.id());
        self.conflicts += u64::from(known.is_some_and(|known| known != revision.id()));
        self.send_to_routers(replica, messages);
    }

    fn end_publication(&mut self, replica: ReplicaId, outcome: PublishOutcome) {
        let Some(node) = self.replica_nodes.get_mut(usize::from(replica.0)) else { return };
        if let (PublishOutcome::Published(number), Some(requested_at)) = (&outcome, node.requested_at.take())
        {
            self.requested_at.insert(*number, requested_at);
        }
        self.outcomes.push(outcome);
    }

    pub(super) fn tick_sessions(&mut self) {
        let now = self.now;
        for replica in self.replica_ids() {
            let Some(node) = self.running_replica(replica) else { continue };
            let mut messages = Vec::new();
            node.sessions.tick(now, node.replica.history(), &mut messages);
            self.send_to_routers(replica, messages);
        }
    }

    pub(super) fn session_receives(&mut self, replica: ReplicaId, session: SessionId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let now = self.now;
        let Some(node) = self.running_replica(replica) else { return };
        let mut messages = Vec::new();
        node.sessions.receive(session, now, message, node.replica.history(), &mut messages);
        self.send_to_routers(replica, messages);
        self.tick_sessions();
    }
}
