//! Numbered revisions of the configuration, decided by a quorum of control replicas and followed by routers.
//!
//! Sans-IO: replicas and followers are state replicas that take messages and give messages. Nothing here knows of
//! sockets, of the settings' meaning or of routing; `docs/configuration.md` weighs the design.

mod acceptor;
mod authentication;
mod digest;
mod document;
mod follower;
mod history;
mod known_good;
mod messages;
pub mod model;
mod proposer;
mod replica;
mod revision;
mod sessions;
mod subscriber;

pub use acceptor::{Acceptor, Ballot, Vote};
pub use authentication::{AuthenticationError, SiteKey};
pub use digest::Digest;
pub use document::{Change, Delta, Document, Entry, NotApplied, CHANGES, DOCUMENT_BYTES, ENTRY_BYTES};
pub use follower::{Follower, Taken};
pub use history::{CatchUp, History, Retention};
pub use known_good::{KnownGood, Unreadable};
pub use messages::{Malformed, Message, MESSAGE_BYTES};
pub use proposer::Proposer;
pub use replica::{Check, Outcome, Output, Quorum, Replica, ReplicaId};
pub use revision::{Number, Revision, RevisionId};
pub use sessions::{Session, SessionId, SubscriberSessions, MAX_SESSIONS};
pub use subscriber::{Action, Apply, Input, Subscriber, Time};
