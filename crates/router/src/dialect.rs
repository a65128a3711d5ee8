//! The protocol of one platform, as far as [`crate::Core`] needs it. A dialect turns bytes into what the policy decides by
//! and back; connections, attempts, timers, reservations and deadlines stay in the core.
//!
//! A dialect forwards requests and streams unchanged. It only reads what the policy has to know about them.

use std::fmt;
use std::net::SocketAddr;

use chalkyard_policy as p;
pub use chalkyard_policy::obligations::Stage;
use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::Head;
use thiserror::Error;

/// A client's request as it came, to be forwarded unchanged.
#[derive(Debug, Clone, Default)]
pub struct ForwardedRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The client's idempotency key, by which workers discard repeats of requests that may be deduplicated.
    pub idempotency_key: Option<String>,
    /// Body, byte for byte. Dropped once no attempt can follow.
    pub body: Vec<u8>,
}

/// What a client asks for.
#[derive(Debug)]
pub enum ParsedRequest {
    /// Whether this router is ready.
    HealthCheck,
    /// An answer of a worker.
    Inference(Box<p::Request>, ForwardedRequest),
    /// Nothing that this router serves. Nothing was sent to a worker.
    Invalid {
        /// HTTP status of the answer.
        status: u16,
        /// What is wrong with it.
        reason: String,
    },
}

/// What the head of a worker's reply says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyHead {
    /// The answer's stream follows.
    Stream,
    /// The prefill is complete; the number of cached tokens follows.
    Prefilled,
    /// The attempt is over.
    Ended(Outcome),
}

/// Tokens of one request, as a worker counts them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Of these, tokens that were found in the worker's cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// What a stream has said of itself so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamProgress {
    /// A complete event has come.
    pub begun: bool,
    /// Complete events so far.
    pub events: u64,
    /// Tokens, once the stream has named them.
    pub usage: Option<TokenUsage>,
    /// The worker's load.
    pub report: Option<p::LoadReport>,
}

/// Reads a stream while it is forwarded. It accepts any bytes and holds a bounded part of them.
pub trait ResponseObserver: fmt::Debug + Send {
    /// Takes the stream's next bytes.
    fn push(&mut self, bytes: &[u8]);
    /// What is known by now.
    fn progress(&self) -> StreamProgress;
}

/// A worker and where it listens.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The worker, as the policy knows it.
    pub worker: p::Worker,
    /// Its address.
    pub address: SocketAddr,
}

/// The endpoint list, or what has changed in it.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// It names all endpoints, not only those that have changed.
    pub complete: bool,
    /// Its entries that could be read.
    pub endpoints: Vec<Endpoint>,
    /// Why the others could not be.
    pub invalid: Vec<EndpointListError>,
}

/// An endpoint list, or one of its entries, that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct EndpointListError {
    /// What is wrong, with the entry or the place in the text where there is one.
    pub reason: String,
}

impl From<String> for EndpointListError {
    fn from(reason: String) -> Self {
        Self { reason }
    }
}

/// A platform's protocol.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads a client's complete request, whose first byte came at `arrived_at`.
    fn parse_request(&self, arrived_at: Micros, head: &Head, body: Vec<u8>) -> ParsedRequest;
    /// The bytes of a call that forwards a request to a worker and waits for `timeout`.
    fn attempt_call(
        &self,
        request: &p::Request,
        forwarded: &ForwardedRequest,
        host: &str,
        timeout: Micros,
    ) -> Vec<u8>;
    /// Reads the head of a worker's reply.
    fn parse_reply(&self, stage: Stage, head: &Head) -> ReplyHead;
    /// The load report in the head of a worker's reply.
    fn load_report(&self, head: &Head) -> Option<p::LoadReport>;
    /// The number of cached tokens in the body of a reply to a prefill.
    fn cached_tokens(&self, body: &[u8]) -> u64;
    /// A reader for a stream that begins.
    fn response_observer(&self) -> Box<dyn ResponseObserver>;
    /// The bytes of a call that releases all that is reserved for a request, whichever worker gets it.
    fn release_call(&self, id: &p::RequestId, host: &str) -> Vec<u8>;
    /// The bytes of a call for changes of the endpoint list after a version. It is answered at once or, with `long_poll`,
    /// once there is a change.
    fn list_call(&self, after: Option<u64>, long_poll: bool, host: &str) -> Vec<u8>;
    /// Reads the answer to [`Dialect::list_call`].
    fn parse_list(&self, body: &[u8]) -> Result<EndpointList, EndpointListError>;
}
