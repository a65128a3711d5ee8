//! What a router's decision module is notified of.

use crate::endpoints::{EndpointUpdate, LoadReport, Worker};
use crate::ids::{AttemptNo, ClassId, PrefixId, RequestId, SessionId, TenantId, TimerId};
use crate::time::Micros;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// Answered.
    Served,
    /// Prompt prefilled; its state waits at this worker. Proves that nothing ran.
    #[cfg_attr(feature = "serde", serde(rename = "Parsed"))]
    Prefilled,
    /// The worker failed; it may have run.
    ServerError,
    /// Rejected by the worker. Proves that it never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected {
        /// There was no state to pull.
        no_state: bool,
    },
    /// No response in time; it may have run.
    TimedOut,
    /// No connection. Proves that it never ran.
    NoConnection,
    /// Connection lost; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all. Proves that it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Prefilled | Self::Rejected { .. } | Self::NoConnection | Self::NotSent)
    }
}

/// A request as a client sends it.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionId>,
    /// The prefix that it shares with other sessions.
    pub prefix: Option<PrefixId>,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// The longest answer allowed, in tokens.
    #[cfg_attr(feature = "serde", serde(rename = "max_output"))]
    pub max_output_tokens: u64,
    /// When the client gives it up.
    pub deadline: Micros,
    /// The client resumes a stream that broke or was migrated.
    #[cfg_attr(feature = "serde", serde(rename = "came_back"))]
    pub resumed: bool,
}

/// What a router is notified of.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// An update of the endpoint list.
    #[cfg_attr(feature = "serde", serde(rename = "Workers"))]
    Endpoints {
        /// How to read it.
        #[cfg_attr(feature = "serde", serde(rename = "kind"))]
        update: EndpointUpdate,
        /// The entries.
        workers: Vec<Worker>,
    },
    /// A request has arrived; one final answer is owed.
    Request(Request),
    /// An answer has begun; the client's deadline no longer runs.
    Streaming {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// An attempt has ended. Each attempt gets exactly one.
    #[cfg_attr(feature = "serde", serde(rename = "Verdict"))]
    AttemptOutcome {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The request is over for the client.
        #[cfg_attr(feature = "serde", serde(rename = "over"))]
        request_ended: bool,
        /// Prompt tokens that the worker found in its cache (after `Served` and `Prefilled`).
        #[cfg_attr(feature = "serde", serde(rename = "kept"))]
        cached_tokens: u64,
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// The client has left; nothing more is owed.
    ClientGone(RequestId),
    /// A timer has fired.
    Timer(TimerId),
}
