//! The seam to other ways in and out than the messages call: what a protocol must say so that [`crate::Core`] can
//! speak it. Connections, attempts, timers, releases and deadlines stay in the core, choices in the module.
//!
//! A dialect passes requests and streams on as they are: it reads what the module has to know beside them.

use std::fmt;
use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::Head;

/// A client's request as it came, to be passed on unchanged.
#[derive(Debug, Clone, Default)]
pub struct Passed {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The client's idempotency key, by which engines discard repeats of a guarded class.
    pub idempotency_key: Option<String>,
    /// Body, byte for byte. Dropped once nothing can be sent any more.
    pub body: Vec<u8>,
}

/// What a client's whole request is.
#[derive(Debug)]
pub enum Heard {
    /// Asks whether this router is ready.
    Ready,
    /// One to be served.
    Call(Box<p::Request>, Passed),
    /// One that is not, before anything was sent on for it: status and reason.
    Wrong(u16, String),
}

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Reading the prompt.
    Read,
    /// Writing the answer.
    Write,
}

/// What the head of an engine's reply says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The answer's stream follows.
    Stream,
    /// The prompt was read; what was found kept follows.
    Read,
    /// The attempt is over.
    Over(Outcome),
}

/// What a stream says of itself, as far as it has come.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Seen {
    /// A whole event has come.
    pub begun: bool,
    /// Events so far.
    pub events: u64,
    /// Tokens of the prompt, of those found kept, and of the answer.
    pub usage: Option<[u64; 3]>,
    /// The engine's load.
    pub report: Option<p::LoadReport>,
}

/// Reads a stream beside its being passed on. Whatever the bytes, it never fails and holds little.
pub trait Beside: fmt::Debug + Send {
    /// Takes the stream's next bytes.
    fn push(&mut self, bytes: &[u8]);
    /// What is known by now.
    fn seen(&self) -> Seen;
}

/// A list of workers, or its changes.
#[derive(Debug, Default)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// All there is, not changes alone.
    pub whole: bool,
    /// Its entries that can be read.
    pub workers: Vec<(p::Worker, SocketAddr)>,
    /// What is wrong with the others.
    pub wrong: Vec<String>,
}

/// How a router speaks.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// A client's whole request, whose first byte came at `arrived`.
    fn hear(&self, arrived: Micros, head: &Head, body: Vec<u8>) -> Heard;
    /// The bytes of an attempt that is waited for so long.
    fn attempt(&self, request: &p::Request, passed: &Passed, host: &str, wait: Micros) -> Vec<u8>;
    /// Reads the head of a reply.
    fn told(&self, stage: Stage, head: &Head) -> Told;
    /// The load report in a reply's head.
    fn report(&self, head: &Head) -> Option<p::LoadReport>;
    /// What a reader found kept.
    fn kept(&self, body: &[u8]) -> u64;
    /// A reader for a stream that begins.
    fn beside(&self) -> Box<dyn Beside>;
    /// The call that releases all that is held for a request, at whatever worker.
    fn release(&self, id: &p::RequestId, host: &str) -> Vec<u8>;
    /// The call for news of the list: it is answered at once or, with `waits`, once there is news.
    fn watch(&self, after: Option<u64>, waits: bool, host: &str) -> Vec<u8>;
    /// Reads the answer to it.
    fn list(&self, body: &[u8]) -> Result<List, String>;
}
