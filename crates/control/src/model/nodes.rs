//! The replicas and routers of the model.

use std::collections::BTreeSet;

use crate::acceptor::Acceptor;
use crate::document::{Delta, Document};
use crate::history::History;
use crate::replica::{Replica, ReplicaId};
use crate::revision::Number;
use crate::sessions::{SessionId, SubscriberSessions};
use crate::subscriber::{Apply, Subscriber, Time};

/// A router that puts all in force and counts it.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// Numbers that this router can't put in force.
    pub refuses: BTreeSet<Number>,
}

impl Apply for InForce {
    fn apply(&mut self, number: Number, _delta: &Delta) -> Result<(), String> {
        match self.refuses.contains(&number) {
            true => Err("this router can't".into()),
            false => Ok(()),
        }
    }

    fn apply_whole(&mut self, _number: Number, _document: &Document) -> Result<(), String> {
        Ok(())
    }
}

/// What a replica has on its disk.
#[derive(Debug, Clone)]
pub(super) struct Disk {
    pub(super) history: History,
    pub(super) votes: Option<Acceptor>,
}

/// A control replica of the model.
#[derive(Debug)]
pub(super) struct ControlNode {
    pub(super) replica: Replica,
    pub(super) sessions: SubscriberSessions,
    pub(super) disk: Disk,
    pub(super) up: bool,
    /// The publication under way: when it was asked for, and what it changes.
    pub(super) asked: Option<(Time, Delta)>,
}

/// A router of the model.
#[derive(Debug)]
pub struct RouterNode {
    /// Its link.
    pub subscriber: Subscriber,
    /// What it puts in force.
    pub in_force: InForce,
    pub(super) connection: Option<(ReplicaId, SessionId)>,
    /// Bytes that it got and sent.
    pub bytes: u64,
    /// Time that its own work took, ns of the real clock.
    pub work_ns: u64,
    /// The newest number in force, and those that went back.
    pub newest: Number,
    /// How often an older number was put in force: never.
    pub went_back: u64,
}
