//! One attempt at a worker and the reply to it.

use chalkyard_policy as p;
use chalkyard_policy::obligations::{AttemptFacts, Stage};
use chalkyard_policy::{Micros, Outcome, WorkerId};
use chalkyard_proto::sse;

use super::ConnId;
use crate::dialect::ResponseObserver;
use crate::timers::TimerKey;

/// Work that an attempt requests from its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Reads the prompt; the KV state stays at the worker until a decode worker pulls it.
    Prefill,
    /// Pulls the KV state from a prefill worker and writes the answer.
    Decode,
    /// Reads the prompt and writes the answer.
    Combined,
}

impl AttemptStage {
    /// Name in logs and counters.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Prefill => "read",
            Self::Decode => "pull",
            Self::Combined => "whole",
        }
    }

    /// Stage as the obligations define it.
    pub(super) fn obligation(self) -> Stage {
        match self {
            Self::Prefill => Stage::Prefill,
            Self::Decode | Self::Combined => Stage::Decode,
        }
    }
}

/// State of a reply that is being received.
#[derive(Debug)]
pub(super) enum ReplyState {
    /// The head has not arrived yet.
    AwaitingHead,
    /// A body is collected: the answer to a prefill, or an error.
    Body { status: u16, body: Vec<u8> },
    /// A stream of events is translated for the client.
    Events(Box<sse::Parser>),
    /// A stream is forwarded unchanged.
    Forwarding {
        observer: Box<dyn ResponseObserver>,
        /// Bytes received before the end of the first event.
        buffered: Vec<u8>,
    },
}

/// Outcome and time of an attempt's end.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    pub(super) at: Micros,
}

/// One attempt to serve a request at a worker.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) stage: AttemptStage,
    pub(super) sent_at: Micros,
    /// Facts on which the request's obligations are based.
    pub(super) facts: AttemptFacts,
    /// Time at which the attempt is given up.
    pub(super) deadline: Micros,
    /// Time in which the connection must be established, if shorter than the usual connect timeout.
    pub(super) connect_timeout: Option<Micros>,
    pub(super) kind: p::AttemptKind,
    pub(super) conn: Option<ConnId>,
    pub(super) timer: Option<TimerKey>,
    pub(super) report: Option<p::LoadReport>,
    /// Prompt tokens that the worker found in its cache.
    pub(super) cached_tokens: u64,
    /// Limits the wait between two events of the stream.
    pub(super) stream_timer: Option<TimerKey>,
    pub(super) ended: Option<AttemptEnd>,
}

/// Name of an outcome in logs and counters.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Prefilled => "parsed",
        Outcome::ServerError => "server_error",
        Outcome::Rejected { no_state: false } => "refused",
        Outcome::Rejected { no_state: true } => "no_state",
        Outcome::TimedOut => "timed_out",
        Outcome::NoConnection => "no_connection",
        Outcome::ConnectionLost => "connection_lost",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

#[cfg(test)]
#[path = "attempt_test.rs"]
mod tests;
