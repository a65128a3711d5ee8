//! A cluster of control replicas whose messages are delivered, lost and repeated by the test.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

pub mod revisions;
pub mod stored;

use std::collections::BTreeMap;

use chalkyard_control::*;

pub const REPLICAS: u8 = 4;

pub fn entry(key: &str, value: &str) -> Entry {
    Entry { key: key.into(), value: value.into() }
}

/// A validator that rejects every configuration with an entry `bad`.
#[derive(Debug, Clone, Copy)]
pub struct RejectsBadEntries;

impl Validator for RejectsBadEntries {
    fn validate(&self, document: &Document) -> Result<(), ValidationError> {
        match document.get("bad") {
            Some(_) => Err(ValidationError::new("`bad` is not known; take another name")),
            None => Ok(()),
        }
    }
}

/// The data on a replica's disk.
#[derive(Debug, Clone)]
pub struct Disk {
    pub history: History,
    pub votes: Option<Acceptor>,
}

/// A message that was sent but not yet delivered.
#[derive(Debug, Clone)]
struct InTransit {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// All replicas, their disks, and the messages in transit.
#[derive(Debug, Clone)]
pub struct Cluster {
    pub replicas: Vec<Replica>,
    pub disks: Vec<Disk>,
    /// A copy of each disk before its last stored votes.
    old_disks: Vec<Disk>,
    in_transit: Vec<InTransit>,
    /// Whether the first half of the replicas is partitioned from the second.
    pub partitioned: bool,
    /// A replica that can't reach any other.
    pub unreachable: Option<usize>,
    pub outcomes: Vec<PublishOutcome>,
    pub diverged: u64,
    /// The content of every number that any replica reported as decided.
    decided: BTreeMap<RevisionNumber, RevisionId>,
    conflict: Option<RevisionNumber>,
    published: u64,
}

impl Cluster {
    pub fn new(replicas: u8) -> Self {
        let replicas: Vec<Replica> = (0..replicas).map(|n| Replica::fresh(ReplicaId(n), replicas)).collect();
        let disk = Disk { history: replicas[0].history().clone(), votes: None };
        let disks = vec![disk; replicas.len()];
        Self {
            replicas,
            old_disks: disks.clone(),
            disks,
            in_transit: Vec::new(),
            partitioned: false,
            unreachable: None,
            outcomes: Vec::new(),
            diverged: 0,
            decided: BTreeMap::new(),
            conflict: None,
            published: 0,
        }
    }

    pub fn in_transit(&self) -> usize {
        self.in_transit.len()
    }

    pub fn newest(&self) -> u64 {
        self.replicas.iter().map(|m| m.number().0).max().unwrap_or(0)
    }

    /// Publishes a change of one of five entries of the replica, with a new value each time.
    pub fn publish(&mut self, replica: usize) {
        let n = self.published;
        self.published += 1;
        self.publish_change(
            replica,
            Change::Set(entry(&format!("m{replica}-{}", n % 5), &format!("value {n}"))),
        );
    }

    pub fn publish_change(&mut self, replica: usize, change: Change) {
        let mut actions = Vec::new();
        self.replicas[replica].publish(
            Delta(vec![change]),
            &format!("operator {replica}"),
            &RejectsBadEntries,
            &mut actions,
        );
        self.perform_actions(replica, actions);
    }

    pub fn retry(&mut self, replica: usize) {
        let mut actions = Vec::new();
        self.replicas[replica].retry(&RejectsBadEntries, &mut actions);
        self.perform_actions(replica, actions);
    }

    pub fn send_heartbeat(&mut self, from: usize, to: usize) {
        let message = self.replicas[from].heartbeat();
        self.in_transit.push(InTransit { from: replica_id(from), to: replica_id(to), message });
    }

    fn perform_actions(&mut self, replica: usize, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => {
                    self.in_transit.push(InTransit { from: replica_id(replica), to, message });
                }
                ReplicaAction::PersistVotes(votes) => {
                    self.old_disks[replica] = self.disks[replica].clone();
                    self.disks[replica].votes = Some(votes);
                }
                ReplicaAction::PersistRevision(revision) => {
                    let known = self.decided.insert(revision.number, revision.id());
                    if known.is_some_and(|known| known != revision.id()) {
                        self.conflict = Some(revision.number);
                    }
                    let number = revision.number;
                    let appended = self.disks[replica].history.append(revision);
                    assert!(
                        appended.is_ok(),
                        "replica {replica} could not store revision {number}: {appended:?}"
                    );
                }
                ReplicaAction::PersistSnapshot(_) => {
                    self.disks[replica].history = self.replicas[replica].history().clone()
                }
                ReplicaAction::PublicationEnded(outcome) => self.outcomes.push(outcome),
                ReplicaAction::Diverged { .. } => self.diverged += 1,
            }
        }
    }

    fn can_reach(&self, from: ReplicaId, to: ReplicaId) -> bool {
        let half = self.replicas.len() / 2;
        let side = |m: ReplicaId| usize::from(m.0) < half;
        let is_unreachable = |m: ReplicaId| self.unreachable == Some(usize::from(m.0));
        let is_partitioned = self.partitioned && side(from) != side(to);
        !(is_partitioned || is_unreachable(from) || is_unreachable(to))
    }

    pub fn deliver(&mut self, index: usize) {
        if index >= self.in_transit.len() {
            return;
        }
        let InTransit { from, to, message } = self.in_transit.remove(index);
        if !self.can_reach(from, to) {
            return;
        }
        let mut actions = Vec::new();
        self.replicas[usize::from(to.0)].receive(from, message, &mut actions);
        self.perform_actions(usize::from(to.0), actions);
    }

    pub fn deliver_all(&mut self) {
        let mut deliveries_left = 1_000_000;
        while !self.in_transit.is_empty() && deliveries_left > 0 {
            self.deliver(0);
            deliveries_left -= 1;
        }
        assert!(deliveries_left > 0, "messages did not stop after 1,000,000 deliveries");
    }

    pub fn lose(&mut self, index: usize) {
        if index < self.in_transit.len() {
            self.in_transit.remove(index);
        }
    }

    pub fn repeat(&mut self, index: usize) {
        if let Some(message) = self.in_transit.get(index).cloned() {
            self.in_transit.push(message);
        }
    }

    /// Restarts a replica's process from its disk, or from a copy of the disk that is one vote older.
    pub fn restart(&mut self, replica: usize, old_disk: bool) {
        let disk = if old_disk { self.old_disks[replica].clone() } else { self.disks[replica].clone() };
        let replicas = self.replicas.len() as u8;
        self.replicas[replica] =
            Replica::new(replica_id(replica), replicas, disk.history.clone(), disk.votes.clone());
        self.disks[replica] = disk;
    }

    /// Computes a digest of all messages in transit and of each replica's configuration and votes.
    pub fn fingerprint(&self) -> Vec<u8> {
        let key = SiteKey::new([7; 32]);
        let mut bytes = Vec::new();
        for InTransit { from, to, message } in &self.in_transit {
            bytes.extend([from.0, to.0]);
            bytes.extend(message.encode(&key));
        }
        for (replica, disk) in self.replicas.iter().zip(&self.disks) {
            bytes.extend(replica.number().0.to_le_bytes());
            bytes.extend(replica.history().document().digest().to_string().into_bytes());
            bytes.extend(postcard::to_stdvec(&disk.votes).unwrap());
        }
        Digest::of_bytes(&bytes).to_string().into_bytes()
    }

    /// Checks that no number was decided twice, and that replicas with the same number have the same configuration.
    pub fn check(&self) {
        assert_eq!(self.conflict, None, "a number was decided twice");
        let mut digests: BTreeMap<RevisionNumber, Digest> = BTreeMap::new();
        for replica in &self.replicas {
            let digest = replica.history().document().digest();
            let known = *digests.entry(replica.number()).or_insert(digest);
            assert_eq!(known, digest, "different content under number {}", replica.number());
        }
        assert_eq!(self.diverged, 0);
    }
}

pub fn replica_id(replica: usize) -> ReplicaId {
    ReplicaId(replica as u8)
}
