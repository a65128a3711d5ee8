//! The protocol by which a running router (the predecessor) hands its place over to a new process (the successor), without
//! I/O.
//!
//! The predecessor serves until the successor is prepared. It then suspends itself, so that the successor can read the
//! ledger, and grants its place by a single-use token in a channel that both can read: the successor owns the place once it
//! has read the token, and the predecessor takes the place back by reading the token itself. If the successor ends before it
//! has said that it serves, the predecessor resumes. If the predecessor ends without a [`PredecessorMessage::Withdrawn`], the
//! successor takes the place.

mod message;
mod predecessor;
mod successor;

pub use message::{PredecessorMessage, SuccessorMessage, WithdrawReason, HANDOVER_VERSION};
pub use predecessor::{Predecessor, PredecessorAction, PredecessorEvent};
pub use successor::{Successor, SuccessorAction, SuccessorEvent, TakeOverFailure};
