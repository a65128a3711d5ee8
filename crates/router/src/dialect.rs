//! The interface between [`crate::Core`] and the protocol of one platform. A dialect translates between bytes and the
//! policy's types; connections, attempts, timers, reservations and deadlines stay in the core.
//!
//! A dialect forwards requests and streams unchanged and reads only the fields that the policy needs.

use std::fmt;
use std::net::SocketAddr;

use chalkyard_policy as p;
pub use chalkyard_policy::obligations::Stage;
use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::Head;
use thiserror::Error;

/// A client's request, to be forwarded unchanged.
#[derive(Debug, Clone, Default)]
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The client's idempotency key. Workers use it to discard repeats of requests that may be deduplicated.
    pub idempotency_key: Option<String>,
    /// The exact bytes of the body. Dropped once no further attempt is possible.
    pub body: Vec<u8>,
}

/// The meaning of a client's request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// A query whether this router is ready.
    HealthCheck,
    /// A request to be answered by a worker.
    Inference(Box<p::Request>, ForwardedRequest),
    /// A request that this router does not serve. Nothing is sent to a worker.
    Invalid {
        /// HTTP status to answer with.
        status: u16,
        /// Why the request is invalid.
        reason: String,
    },
}

/// The meaning of the head of a worker's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyHead {
    /// The answer follows as a stream.
    Stream,
    /// The prefill is complete; the body holds the number of cached tokens.
    Prefilled,
    /// The attempt is over, with this outcome.
    Ended(Outcome),
}

/// Token counts of one request, as reported by a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the worker's cache.
    pub cached_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// What has been read from a stream so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamProgress {
    /// At least one complete event has arrived.
    pub begun: bool,
    /// Number of complete events.
    pub events: u64,
    /// Token counts, once the stream has reported them.
    pub usage: Option<TokenUsage>,
    /// The worker's latest load report in the stream.
    pub report: Option<p::LoadReport>,
}

/// Observes a stream while it is forwarded. It accepts any bytes and buffers a bounded number of them.
pub trait ResponseObserver: fmt::Debug + Send {
    /// Processes the next bytes of the stream.
    fn push(&mut self, bytes: &[u8]);
    /// The state after all bytes so far.
    fn progress(&self) -> StreamProgress;
}

/// A worker and the address that it listens on.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The worker, as described to the policy.
    pub worker: p::Worker,
    /// The worker's address.
    pub address: SocketAddr,
}

/// The complete endpoint list, or a delta of it.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether all endpoints are listed, rather than the changed ones alone.
    pub complete: bool,
    /// The valid entries.
    pub endpoints: Vec<Endpoint>,
    /// One error for each invalid entry.
    pub invalid: Vec<EndpointListError>,
}

/// An endpoint list, or one of its entries, is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct EndpointListError {
    /// What is wrong, with the entry or the position in the text if there is one.
    pub reason: String,
}

impl From<String> for EndpointListError {
    fn from(reason: String) -> Self {
        Self { reason }
    }
}

/// A platform's protocol.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Parses a client's complete request, whose first byte arrived at `arrived_at`.
    fn parse_request(&self, arrived_at: Micros, head: &Head, body: Vec<u8>) -> ParsedRequest;
    /// Encodes a call that forwards a request to the worker at `host`, to be answered within `timeout`.
    fn attempt_call(
        &self,
        request: &p::Request,
        forwarded: &ForwardedRequest,
        host: &str,
        timeout: Micros,
    ) -> Vec<u8>;
    /// Parses the head of a worker's reply.
    fn parse_reply(&self, stage: Stage, head: &Head) -> ReplyHead;
    /// Extracts the load report from the head of a worker's reply.
    fn load_report(&self, head: &Head) -> Option<p::LoadReport>;
    /// Extracts the number of cached tokens from the body of a reply to a prefill.
    fn cached_tokens(&self, body: &[u8]) -> u64;
    /// Creates an observer for a new stream.
    fn response_observer(&self) -> Box<dyn ResponseObserver>;
    /// Encodes a call that releases all reservations of a request. Any worker may receive it.
    fn release_call(&self, id: &p::RequestId, host: &str) -> Vec<u8>;
    /// Encodes a call for changes of the endpoint list after version `after`. The answer comes at once or, with
    /// `long_poll`, once there is a change.
    fn list_call(&self, after: Option<u64>, long_poll: bool, host: &str) -> Vec<u8>;
    /// Parses the answer to [`Dialect::list_call`].
    fn parse_list(&self, body: &[u8]) -> Result<EndpointList, EndpointListError>;
}
