//! One attempt at a worker, and the reply to it.

use chalkyard_policy as p;
use chalkyard_policy::obligations::{AttemptFacts, Stage};
use chalkyard_policy::{Micros, Outcome, WorkerId};
use chalkyard_proto::sse;

use super::ConnId;
use crate::dialect::ResponseObserver;
use crate::timers::TimerKey;

/// What an attempt does at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Reads the prompt; the KV state waits there for a decode worker.
    Prefill,
    /// Pulls the KV state from a prefill worker and writes the answer.
    Decode,
    /// Reads the prompt and writes the answer.
    Combined,
}

impl AttemptStage {
    /// As it is logged and counted.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Prefill => "read",
            Self::Decode => "pull",
            Self::Combined => "whole",
        }
    }

    /// As the obligations see it.
    pub(super) fn obligation(self) -> Stage {
        match self {
            Self::Prefill => Stage::Prefill,
            Self::Decode | Self::Combined => Stage::Decode,
        }
    }
}

/// A reply as far as it has come.
#[derive(Debug)]
pub(super) enum ReplyState {
    /// Nothing yet.
    AwaitingHead,
    /// A body that is collected: the answer to a prefill, or an error.
    Body { status: u16, body: Vec<u8> },
    /// A stream of events that is translated for the client.
    Events(Box<sse::Parser>),
    /// A stream that is forwarded unchanged.
    Forwarding {
        observer: Box<dyn ResponseObserver>,
        /// What came ahead of the end of the first event.
        buffered: Vec<u8>,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    pub(super) at: Micros,
}

/// An attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) stage: AttemptStage,
    pub(super) sent_at: Micros,
    /// What the obligations know of it.
    pub(super) facts: AttemptFacts,
    /// When it is given up.
    pub(super) deadline: Micros,
    /// How long its connection may take, if not as long as usual.
    pub(super) connect_timeout: Option<Micros>,
    pub(super) kind: p::AttemptKind,
    pub(super) conn: Option<ConnId>,
    pub(super) timer: Option<TimerKey>,
    pub(super) report: Option<p::LoadReport>,
    /// Prompt tokens that the worker found in its cache.
    pub(super) cached_tokens: u64,
    /// Bounds the wait between two events of its stream.
    pub(super) stream_timer: Option<TimerKey>,
    pub(super) ended: Option<AttemptEnd>,
}

/// An outcome as it is logged and counted.
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
