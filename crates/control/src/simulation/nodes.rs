//! The state of the simulated replicas and routers.

use std::collections::BTreeSet;

use crate::acceptor::Acceptor;
use crate::ballot::ReplicaId;
use crate::digest::Digest;
use crate::document::{Delta, Document};
use crate::history::History;
use crate::replica::Replica;
use crate::revision::RevisionNumber;
use crate::sessions::{SessionId, SubscriberSessions};
use crate::subscriber::{Apply, ApplyError, Subscriber};
use crate::time::Micros;

/// A simulated router's applier, which accepts every revision except the configured ones.
#[derive(Debug, Clone, Default)]
pub struct RecordingApplier {
    /// The revisions that the router rejects.
    pub rejects: BTreeSet<RevisionNumber>,
}

impl Apply for RecordingApplier {
    fn apply(&mut self, number: RevisionNumber, _delta: &Delta) -> Result<(), ApplyError> {
        if self.rejects.contains(&number) {
            return Err(ApplyError::new("this router can't"));
        }
        Ok(())
    }

    fn apply_snapshot(&mut self, _number: RevisionNumber, _document: &Document) -> Result<(), ApplyError> {
        Ok(())
    }
}

/// The data on a replica's disk.
#[derive(Debug, Clone)]
pub struct Disk {
    /// The decided revisions.
    pub history: History,
    /// The votes on the next revision number.
    pub votes: Option<Acceptor>,
}

/// The newest revision of a replica or router, and the digest of its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Head {
    /// The revision's number.
    pub number: RevisionNumber,
    /// The document's digest.
    pub digest: Digest,
}

impl Head {
    pub(super) fn of_history(history: &History) -> Self {
        Self { number: history.number(), digest: history.document().digest() }
    }

    pub(super) fn of_subscriber(subscriber: &Subscriber) -> Self {
        Self { number: subscriber.number(), digest: subscriber.document().digest() }
    }
}

/// A simulated control replica.
#[derive(Debug)]
pub(super) struct ReplicaNode {
    pub(super) replica: Replica,
    pub(super) sessions: SubscriberSessions,
    pub(super) disk: Disk,
    pub(super) is_running: bool,
    /// When the publication in progress was requested.
    pub(super) requested_at: Option<Micros>,
}

impl ReplicaNode {
    pub(super) fn new(id: ReplicaId, replicas: u8, history: &History) -> Self {
        Self {
            replica: Replica::new(id, replicas, history.clone(), None),
            sessions: SubscriberSessions::default(),
            disk: Disk { history: history.clone(), votes: None },
            is_running: true,
            requested_at: None,
        }
    }
}

/// The connection of a simulated router.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouterConnection {
    pub(super) replica: ReplicaId,
    pub(super) session: SessionId,
}

/// A simulated router.
#[derive(Debug)]
pub struct RouterNode {
    /// The router's subscription.
    pub subscriber: Subscriber,
    /// The router's applier.
    pub applier: RecordingApplier,
    pub(super) connection: Option<RouterConnection>,
    /// Bytes that the router received and sent.
    pub bytes: u64,
    /// Real time that the router's own processing took, in ns.
    pub work_ns: u64,
    /// The newest revision that the router applied.
    pub newest: RevisionNumber,
    /// Number of applied revisions that were not newer than the previous one; any value but 0 is a violation.
    pub regressions: u64,
}

impl RouterNode {
    pub(super) fn new(document: &Document, replicas: u8, seed: u64) -> Self {
        Self {
            subscriber: Subscriber::new(RevisionNumber(0), document.clone(), replicas, seed),
            applier: RecordingApplier::default(),
            connection: None,
            bytes: 0,
            work_ns: 0,
            newest: RevisionNumber(0),
            regressions: 0,
        }
    }

    pub(super) fn is_connected_to(&self, replica: ReplicaId) -> bool {
        self.connection.is_some_and(|connection| connection.replica == replica)
    }
}
