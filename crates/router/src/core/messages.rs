//! Messages between a core and its shell, and connection ids.

use std::net::SocketAddr;

use chalkyard_budget::{Grant, Plan, Record, Settled};

use super::record::RequestRecord;
use super::tally::Tally;
use super::transitions::Transition;
use crate::config::RuntimeSettings;

/// Id of a connection, never reused within the lifetime of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

impl ConnId {
    /// Whether the core opened the connection, to a worker or to service discovery. Such connections have odd ids.
    pub(crate) fn is_outbound(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Event that the shell reports to the core.
#[derive(Debug)]
pub enum Input<'a> {
    /// A client has connected. The shell chooses an even id.
    Accepted(ConnId),
    /// A connection requested with [`Output::Connect`] is established.
    Connected(ConnId),
    /// A connection could not be established, or was lost: nothing can be read or written any more.
    Lost(ConnId),
    /// A connection could not be started because local resources ran out; the peer is not at fault.
    NotStarted(ConnId),
    /// Bytes were received.
    Bytes(ConnId, &'a [u8]),
    /// The peer has closed its sending side.
    Eof(ConnId),
    /// The operating system has accepted this number of bytes for sending.
    Wrote(ConnId, usize),
    /// Time has passed.
    Tick,
    /// Budget lease whose signature was verified.
    LeaseGranted(Box<Grant>),
    /// Whether the ledger can be written from now on.
    LedgerWritable(bool),
    /// The ledger requests the full state, for the head of a new segment.
    Checkpoint,
    /// New budgets, rates and prices.
    BudgetPlan(Box<Plan>),
    /// New keys, bounds and timeouts.
    Reconfigure(Box<RuntimeSettings>),
    /// The previous process has ended a request that it had accepted.
    PredecessorSettled(Box<Settled>),
    /// Service discovery has this address from now on.
    DiscoveryAddressChanged(SocketAddr),
    /// The previous process has ended.
    PredecessorEnded,
}

/// Action for the shell, which performs actions in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Connects to a worker or to service discovery.
    Connect(ConnId, SocketAddr),
    /// Writes bytes.
    Write(ConnId, Vec<u8>),
    /// Closes the connection once all bytes are written. Bytes that still arrive are read and dropped: the unread
    /// rest of a request that was answered by its head could reset the connection, and the answer would be lost.
    Close(ConnId),
    /// Closes the connection once all bytes are written, and reads nothing more: all requests are answered. A request
    /// that crosses the close stays unread, so that its client knows that it may send the request again.
    CloseAnswered(ConnId),
    /// Closes a connection without an open request unless bytes have arrived that were not read. Such bytes are read
    /// and the connection stays open. If the connection is closed, [`Input::Lost`] follows.
    CloseIfQuiet(ConnId),
    /// Closes the connection immediately and drops unwritten bytes.
    Abort(ConnId),
    /// Pauses reading from the connection.
    Pause(ConnId),
    /// Resumes reading from the connection.
    Resume(ConnId),
    /// Stores the endpoint list for the next start.
    StoreEndpointList(String),
    /// Writes a record to the ledger under this number, before any later output leaves the router.
    Record(u64, Box<Record>),
    /// A request has finished.
    Finished(Box<FinishedOutput>),
    /// Counts of one second.
    Tally(Box<Tally>),
    /// An unusual transition of a request's state.
    Transition(Box<Transition>),
    /// Message for operators: its topic and its text.
    Note(&'static str, String),
}

/// Record of a finished request that compares by request id, so that tests can compare outputs.
#[derive(Debug, Clone)]
pub struct FinishedOutput(pub RequestRecord);

impl PartialEq for FinishedOutput {
    fn eq(&self, other: &Self) -> bool {
        self.0.id == other.0.id
    }
}
