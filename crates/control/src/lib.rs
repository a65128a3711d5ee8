//! Numbered revisions of the configuration, decided by a quorum of control replicas and followed by routers.
//!
//! Sans-IO: replicas and followers are state replicas that take messages and give messages. Nothing here knows of
//! sockets, of the settings' meaning or of routing; `docs/configuration.md` weighs the design.

mod acceptor;
mod authentication;
mod ballot;
mod digest;
mod document;
mod history;
mod known_good;
mod learner;
mod message;
mod proposer;
mod publication;
mod quorum;
mod replica;
mod revision;
mod sessions;
pub mod simulation;
mod subscriber;
mod time;

pub use acceptor::Acceptor;
pub use authentication::{AuthenticationError, SiteKey};
pub use ballot::{Ballot, ReplicaId, Vote};
pub use digest::Digest;
pub use document::{
    Change, Delta, Document, DocumentError, Entry, MAX_CHANGES, MAX_DOCUMENT_BYTES, MAX_ENTRY_BYTES,
};
pub use history::{CatchUp, History, Retention};
pub use known_good::{KnownGood, KnownGoodError};
pub use learner::{LearnOutcome, Learner};
pub use message::{Message, MessageError, MAX_MESSAGE_BYTES};
pub use proposer::Proposer;
pub use publication::{PublishOutcome, Validator};
pub use quorum::Quorum;
pub use replica::{Replica, ReplicaAction};
pub use revision::{Revision, RevisionId, RevisionNumber};
pub use sessions::{Session, SessionId, SubscriberSessions, MAX_SESSIONS};
pub use subscriber::{Action, Apply, Input, Subscriber};
pub use time::Micros;
