//! Events that the router's policy receives.

use crate::endpoints::{EndpointUpdate, LoadReport, Worker};
use crate::ids::{AttemptNo, ClassId, PrefixId, RequestId, SessionId, TenantId, TimerId};
use crate::time::Micros;

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The worker answered the request.
    Served,
    /// The worker prefilled the prompt and holds the state. Proves that the request did not run.
    #[cfg_attr(feature = "serde", serde(rename = "Parsed"))]
    Prefilled,
    /// The worker failed. The request may have run.
    ServerError,
    /// The worker rejected the attempt. Proves that the request did not run.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected {
        /// Set if the state to be pulled does not exist on the prefill worker.
        no_state: bool,
    },
    /// No response arrived in time. The request may have run.
    TimedOut,
    /// No connection was established. Proves that the request did not run.
    NoConnection,
    /// The connection was lost. The request may have run.
    ConnectionLost,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// Nothing was sent. Proves that the request did not run.
    NotSent,
}

impl Outcome {
    /// Returns true if the outcome proves that the attempt had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Prefilled | Self::Rejected { .. } | Self::NoConnection | Self::NotSent)
    }
}

/// Request received from a client.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Request identifier.
    pub id: RequestId,
    /// Request class.
    pub class: ClassId,
    /// Tenant, if the site has tenants.
    pub tenant: Option<TenantId>,
    /// Session that the request belongs to.
    pub session: Option<SessionId>,
    /// Prompt prefix shared with other sessions.
    pub prefix: Option<PrefixId>,
    /// Total number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    #[cfg_attr(feature = "serde", serde(rename = "max_output"))]
    pub max_output_tokens: u64,
    /// Time at which the client gives up the request.
    pub deadline: Micros,
    /// Set if the client resumes a stream that broke or was migrated.
    #[cfg_attr(feature = "serde", serde(rename = "came_back"))]
    pub resumed: bool,
}

/// Event that the policy handles.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// Update of the endpoint list.
    #[cfg_attr(feature = "serde", serde(rename = "Workers"))]
    Endpoints {
        /// Kind of update.
        #[cfg_attr(feature = "serde", serde(rename = "kind"))]
        update: EndpointUpdate,
        /// Entries of the update.
        workers: Vec<Worker>,
    },
    /// A request arrived. Exactly one final answer is owed to the client.
    Request(Request),
    /// An attempt sent the first token. The client's deadline no longer applies.
    Streaming {
        /// Request identifier.
        id: RequestId,
        /// Attempt that sent the token.
        attempt: AttemptNo,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended. Each attempt produces exactly one such event.
    #[cfg_attr(feature = "serde", serde(rename = "Verdict"))]
    AttemptOutcome {
        /// Request identifier.
        id: RequestId,
        /// Attempt that ended.
        attempt: AttemptNo,
        /// Result of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Set if the request is complete for the client.
        #[cfg_attr(feature = "serde", serde(rename = "over"))]
        request_ended: bool,
        /// Prompt tokens that the worker found in its cache. Meaningful after `Served` and `Prefilled`.
        #[cfg_attr(feature = "serde", serde(rename = "kept"))]
        cached_tokens: u64,
        /// Load report of the worker.
        report: Option<LoadReport>,
    },
    /// The client disconnected. No answer is owed any more.
    ClientGone(RequestId),
    /// A timer fired.
    Timer(TimerId),
}
