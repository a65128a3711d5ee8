//! The messages between a core and its shell, and the numbers of connections.

use std::net::SocketAddr;

use chalkyard_budget::{Grant, Plan, Record, Settled};

use super::record::RequestRecord;
use super::tally::Tally;
use super::transitions::Transition;
use crate::config::RuntimeSettings;

/// A connection. Never reused within a core's lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

impl ConnId {
    /// Whether the core chose it, for a connection to a worker or to service discovery.
    pub(crate) fn is_outbound(self) -> bool {
        self.0 % 2 == 1
    }
}

/// What has happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// A client has connected; the shell chooses an even number.
    Accepted(ConnId),
    /// A connection that the core asked for stands.
    Connected(ConnId),
    /// A connection does not come up, or is lost: nothing can be read or written any more.
    Lost(ConnId),
    /// A connection could not even be begun for want of local resources: its peer is not at fault.
    NotStarted(ConnId),
    /// Bytes came.
    Bytes(ConnId, &'a [u8]),
    /// The peer has closed its side.
    Eof(ConnId),
    /// The system has taken so many bytes to be sent.
    Wrote(ConnId, usize),
    /// Time has passed.
    Tick,
    /// A lease of the budgets; its signature was checked.
    LeaseGranted(Box<Grant>),
    /// The ledger can, or can't, be written from now on.
    LedgerWritable(bool),
    /// The ledger wants all state, for the head of a new segment.
    Checkpoint,
    /// Other budgets, rates and prices.
    BudgetPlan(Box<Plan>),
    /// Other keys, bounds and timeouts.
    Reconfigure(Box<RuntimeSettings>),
    /// The previous process has ended a request that it had accepted.
    PredecessorSettled(Box<Settled>),
    /// Service discovery is at this address from now on.
    DiscoveryAddressChanged(SocketAddr),
    /// The previous process has ended.
    PredecessorEnded,
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Connect to a worker or to service discovery.
    Connect(ConnId, SocketAddr),
    /// Write bytes.
    Write(ConnId, Vec<u8>),
    /// Close once all is written. What still comes is read and dropped: the rest of a request that was answered by its head
    /// could reset the connection, and the answer would be lost.
    Close(ConnId),
    /// Close once all is written, and read nothing more: all requests are answered. One that crosses the close stays unread,
    /// so that its client knows that it may send it again.
    CloseAnswered(ConnId),
    /// No request is open on it: close it unless bytes have come that were not read. Those are read instead, and it stays;
    /// if it is closed, [`Input::Lost`] follows.
    CloseIfQuiet(ConnId),
    /// Close now; what is not written is dropped.
    Abort(ConnId),
    /// Read no more from it for now.
    Pause(ConnId),
    /// Read it again.
    Resume(ConnId),
    /// Store the endpoint list for the next start.
    StoreEndpointList(String),
    /// Write this to the ledger, under this number: before anything that follows it leaves the router.
    Record(u64, Box<Record>),
    /// A request is over.
    Finished(Box<FinishedOutput>),
    /// What was done in one second.
    Tally(Box<Tally>),
    /// A transition of a request's state that is out of the ordinary.
    Transition(Box<Transition>),
    /// Something to tell an operator.
    Note(&'static str, String),
}

/// A record with its own comparison, so that outputs can be compared in tests.
#[derive(Debug, Clone)]
pub struct FinishedOutput(pub RequestRecord);

impl PartialEq for FinishedOutput {
    fn eq(&self, other: &Self) -> bool {
        self.0.id == other.0.id
    }
}
