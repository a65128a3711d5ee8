//! Control replicas and the messages between them, moved by hand.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

pub mod stored;

use std::collections::BTreeMap;

use chalkyard_control::*;

pub const REPLICAS: u8 = 4;

pub fn entry(key: &str, value: &str) -> Entry {
    Entry { key: key.into(), value: value.into() }
}

/// Refuses entries of one name.
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

/// What a replica has on its disk.
#[derive(Debug, Clone)]
pub struct Disk {
    pub history: History,
    pub votes: Option<Acceptor>,
}

/// All replicas, their disks, and the messages on their way.
#[derive(Debug, Clone)]
pub struct Cluster {
    pub replicas: Vec<Replica>,
    pub disks: Vec<Disk>,
    /// As each disk was a while ago.
    old_disks: Vec<Disk>,
    in_transit: Vec<(ReplicaId, ReplicaId, Message)>,
    /// The first half of the replicas does not hear the second.
    pub partitioned: bool,
    /// One replica is out of reach.
    pub unreachable: Option<usize>,
    pub outcomes: Vec<PublishOutcome>,
    pub diverged: u64,
    /// What was decided, by any replica's word.
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

    /// A change of an entry of the replica's own, another one each time.
    pub fn publish(&mut self, replica: usize) {
        let n = self.published;
        self.published += 1;
        self.publish_change(
            replica,
            Change::Set(entry(&format!("m{replica}-{}", n % 5), &format!("value {n}"))),
        );
    }

    pub fn publish_change(&mut self, replica: usize, change: Change) {
        let mut out = Vec::new();
        self.replicas[replica].publish(
            Delta(vec![change]),
            &format!("operator {replica}"),
            &RejectsBadEntries,
            &mut out,
        );
        self.carry_out(replica, out);
    }

    pub fn retry(&mut self, replica: usize) {
        let mut out = Vec::new();
        self.replicas[replica].retry(&RejectsBadEntries, &mut out);
        self.carry_out(replica, out);
    }

    pub fn send_heartbeat(&mut self, from: usize, to: usize) {
        let message = self.replicas[from].heartbeat();
        self.in_transit.push((id(from), id(to), message));
    }

    fn carry_out(&mut self, replica: usize, out: Vec<ReplicaAction>) {
        for output in out {
            match output {
                ReplicaAction::Send { to, message } => self.in_transit.push((id(replica), to, message)),
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
                    let kept = self.disks[replica].history.append(revision);
                    assert!(kept.is_ok(), "replica {replica} keeps {number}: {kept:?}");
                }
                ReplicaAction::PersistSnapshot(_) => {
                    self.disks[replica].history = self.replicas[replica].history().clone()
                }
                ReplicaAction::PublicationEnded(outcome) => self.outcomes.push(outcome),
                ReplicaAction::Diverged { .. } => self.diverged += 1,
            }
        }
    }

    fn reaches(&self, from: ReplicaId, to: ReplicaId) -> bool {
        let half = self.replicas.len() / 2;
        let side = |m: ReplicaId| usize::from(m.0) < half;
        let away = |m: ReplicaId| self.unreachable == Some(usize::from(m.0));
        let apart = self.partitioned && side(from) != side(to);
        !(apart || away(from) || away(to))
    }

    pub fn deliver(&mut self, place: usize) {
        if place >= self.in_transit.len() {
            return;
        }
        let (from, to, message) = self.in_transit.remove(place);
        if !self.reaches(from, to) {
            return;
        }
        let mut out = Vec::new();
        self.replicas[usize::from(to.0)].receive(from, message, &mut out);
        self.carry_out(usize::from(to.0), out);
    }

    pub fn deliver_all(&mut self) {
        let mut most = 1_000_000;
        while !self.in_transit.is_empty() && most > 0 {
            self.deliver(0);
            most -= 1;
        }
        assert!(most > 0, "messages go round in a circle");
    }

    pub fn lose(&mut self, place: usize) {
        if place < self.in_transit.len() {
            self.in_transit.remove(place);
        }
    }

    pub fn repeat(&mut self, place: usize) {
        if let Some(message) = self.in_transit.get(place).cloned() {
            self.in_transit.push(message);
        }
    }

    /// The process ends and comes back with its disk, or with one that is a vote behind.
    pub fn restart(&mut self, replica: usize, old_disk: bool) {
        let disk = if old_disk { self.old_disks[replica].clone() } else { self.disks[replica].clone() };
        let replicas = self.replicas.len() as u8;
        self.replicas[replica] =
            Replica::new(id(replica), replicas, disk.history.clone(), disk.votes.clone());
        self.disks[replica] = disk;
    }

    /// The digest of all messages on their way, of what each replica holds, and of its votes.
    pub fn fingerprint(&self) -> Vec<u8> {
        let key = SiteKey::new([7; 32]);
        let mut bytes = Vec::new();
        for (from, to, message) in &self.in_transit {
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

    /// No number has two contents, and replicas that hold the same number hold the same snapshot.
    pub fn check(&self) {
        assert_eq!(self.conflict, None, "a number was decided twice");
        let mut digests: BTreeMap<RevisionNumber, Digest> = BTreeMap::new();
        for replica in &self.replicas {
            let digest = replica.history().document().digest();
            let known = *digests.entry(replica.number()).or_insert(digest);
            assert_eq!(known, digest, "two contents under {}", replica.number());
        }
        assert_eq!(self.diverged, 0);
    }
}

pub fn id(replica: usize) -> ReplicaId {
    ReplicaId(replica as u8)
}
