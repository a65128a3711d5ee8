//! The messages of a hand-over. Each is one line of JSON; the serialized names are the protocol between two builds.

use serde::{Deserialize, Serialize};

/// Version of the protocol. A router rejects a successor of another version and serves on.
pub const HANDOVER_VERSION: u32 = 2;

/// A message of the predecessor.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum PredecessorMessage {
    /// The listening socket and the token's channel come along, and the lock of the ledger if there is one.
    Offer {
        /// Whether the predecessor has a ledger.
        ledger: bool,
    },
    /// The predecessor accepts no connections and does not write to the ledger.
    Suspended,
    /// The token is in its channel.
    Committed,
    /// The predecessor goes on or ends by itself; there is nothing to take over.
    Withdrawn {
        /// Why.
        reason: WithdrawReason,
    },
}

/// Why the predecessor withdraws its offer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
pub enum WithdrawReason {
    /// The successor did not go on in time.
    #[error("the successor did not go on in time")]
    TimedOut,
    /// An operator or a signal has stopped or drained the predecessor.
    #[error("the running router is not ready any more")]
    NotReady,
    /// The predecessor ends.
    #[error("the running router ends")]
    Ending,
    /// The successor sent a message that does not belong to the step.
    #[error("the successor sent an unexpected message")]
    Unexpected,
}

/// A message of the successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum SuccessorMessage {
    /// All is prepared that does not need the predecessor's ledger.
    Prepared {
        /// Whether the successor takes the predecessor's ledger; otherwise the predecessor keeps it.
        ledger: bool,
    },
    /// The ledger is read, and nothing is left that can fail.
    Recovered,
    /// The successor has the token and serves.
    Serving,
}
