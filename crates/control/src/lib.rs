//! Replication of the configuration: numbered revisions, decided by a quorum of control replicas and followed by routers.
//!
//! All components are state machines without I/O: they take messages and the time, and return what the caller has to send and
//! store. The crate does not depend on sockets, on the meaning of the settings or on routing.
//! `docs/configuration.md` explains the design.
//!
//! The layers, from the bottom up: a [`Document`] of entries and its [`Digest`]; a [`Revision`] that changes a document and a
//! [`History`] of revisions; consensus on the next revision by [`Proposer`] and [`Acceptor`] under a [`Ballot`]; the
//! [`Message`]s between the nodes; a [`Replica`], its [`SubscriberSessions`] with routers, and a router's [`Subscriber`].

#![warn(clippy::pedantic, rustdoc::broken_intra_doc_links, rustdoc::private_intra_doc_links)]
// Nearly every method of a state machine returns a value; `must_use` is set by hand where ignoring the value is an error.
#![allow(clippy::must_use_candidate)]

mod acceptor;
mod authentication;
mod ballot;
mod connection;
mod digest;
mod document;
mod history;
mod known_good;
mod learner;
mod message;
mod proposer;
mod publication;
mod quorum;
mod random;
mod replica;
mod revision;
mod sessions;
pub mod simulation;
mod subscriber;
mod time;

pub use acceptor::{Acceptor, AcceptorReply};
pub use authentication::{AuthenticationError, SiteKey};
pub use ballot::{Ballot, ReplicaId, Vote};
pub use digest::Digest;
pub use document::{
    Change, Delta, Document, DocumentError, Entry, MAX_CHANGES, MAX_DOCUMENT_BYTES, MAX_ENTRY_BYTES,
};
pub use history::{CatchUp, History, HistoryError, Retention};
pub use known_good::{CorruptionCause, KnownGood, KnownGoodError};
pub use learner::{LearnOutcome, Learner};
pub use message::{Message, MessageError, MAX_MESSAGE_BYTES};
pub use proposer::{ProposalProgress, Proposer};
pub use publication::{InvalidChangeError, PublishOutcome, ValidationError, Validator};
pub use quorum::Quorum;
pub use replica::{Replica, ReplicaAction};
pub use revision::{Revision, RevisionId, RevisionNumber};
pub use sessions::{
    RejectedRevision, Session, SessionId, SessionLimitError, SessionMessage, SubscriberSessions, MAX_SESSIONS,
};
pub use subscriber::{
    Apply, ApplyError, RejectedRevisionError, Subscriber, SubscriberAction, SubscriberInput,
};
pub use time::Micros;
