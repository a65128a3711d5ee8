//! The hand-over between two processes of a router, over the control socket. The steps are decided by
//! [`chalkyard_state::handover`]; this module carries them out.

mod connection;
mod predecessor;
mod successor;
mod token;

pub use self::predecessor::PredecessorSession;
pub use self::successor::{request_offer, HandedOver, TakeOver};
