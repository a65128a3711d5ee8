//! A request from arrival to its last verdict, as the core holds it.

use chalkyard_api::client::{MessagesRequest, Usage};
use chalkyard_budget::{BilledAttempts, Usage as Tokens};
use chalkyard_policy as p;
use chalkyard_policy::obligations::{AnswerState, AttemptFacts, Obligations, Stage, Target};
use chalkyard_policy::{Micros, Outcome, WorkerId};
use chalkyard_proto::sse;
use serde_json::value::RawValue;

use super::record::{since, AttemptRecord, Ended};
use super::{tally, ConnId};
use crate::dialect::{Beside, Passed};
use crate::identity::Identity;
use crate::timers::Key;

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum At {
    Read,
    Pull,
    Whole,
}

impl At {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Pull => "pull",
            Self::Whole => "whole",
        }
    }

    /// As the rules see it.
    pub(super) fn stage(self) -> Stage {
        match self {
            Self::Read => Stage::Prefill,
            Self::Pull | Self::Whole => Stage::Decode,
        }
    }
}

/// A reply as far as it has come.
#[derive(Debug)]
pub(super) enum Reply {
    /// Nothing yet.
    None,
    /// A body that is read whole: a reader's answer, or an error's.
    Whole { status: u16, body: Vec<u8> },
    /// A stream of events.
    Stream(Box<sse::Reader>),
    /// A stream that is passed on as it is, and what came of it ahead of its first whole event.
    Passing(Box<dyn Beside>, Vec<u8>),
}

/// What a client asked.
#[derive(Debug)]
pub(super) enum Call {
    Messages(Box<MessagesRequest>),
    Passed(Passed),
}

impl Call {
    /// Whether its answer is passed on as it comes.
    pub(super) fn stream(&self) -> bool {
        match self {
            Self::Messages(call) => call.stream,
            Self::Passed(_) => true,
        }
    }

    pub(super) fn model(&self) -> String {
        match self {
            Self::Messages(call) => call.model.clone(),
            Self::Passed(_) => String::new(),
        }
    }
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) at: At,
    pub(super) sent: Micros,
    /// What the rules know of it.
    pub(super) facts: AttemptFacts,
    /// It is given up then; how long a connection may take, if not as long as usual.
    pub(super) due: Micros,
    pub(super) connect: Option<Micros>,
    pub(super) care: p::AttemptKind,
    pub(super) conn: Option<ConnId>,
    pub(super) timer: Option<Key>,
    pub(super) report: Option<p::LoadReport>,
    /// Prompt tokens that its worker found kept.
    pub(super) kept: u64,
    /// The wait between events.
    pub(super) stream_timer: Option<Key>,
    pub(super) ended: Option<(Outcome, Micros)>,
}

#[derive(Debug)]
pub(super) enum Answer {
    /// None was given yet.
    Owed,
    /// The stream to the client has begun.
    Begun,
    /// Given, or owed no more.
    Given { ended: Ended, phase: &'static str, reason: String, at: Micros },
}

/// State that a reader holds.
#[derive(Debug)]
pub(super) struct HeldState {
    pub(super) worker: WorkerId,
    /// The parameters for the writer, where the call needs them.
    pub(super) params: Option<Box<RawValue>>,
    /// From the read's end, or the last end of an attempt that a worker is proven to have got.
    pub(super) since: Micros,
    /// When it is released if nobody has done so.
    pub(super) timer: Key,
}

/// A request.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) client: ConnId,
    pub(super) request: p::Request,
    pub(super) call: Call,
    pub(super) identity: Option<Identity>,
    pub(super) arrived: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// The state that is held for it.
    pub(super) held: Option<HeldState>,
    /// The reader whose state was released beside an open pull: what that waited for is released once more as it ends.
    pub(super) released_beside: Option<WorkerId>,
    /// When an answer is overdue.
    pub(super) backstop: Option<Key>,
    pub(super) answer: Answer,
    /// The module's condition, where it gave the request up.
    pub(super) why: Option<p::RejectionReason>,
    pub(super) first_token: Option<Micros>,
    /// The attempt whose answer goes to the client.
    pub(super) winner: Option<usize>,
    pub(super) paused: bool,
    /// Pieces of the answer that came; a piece is a token, where the engine's own count does not come.
    pub(super) pieces: u64,
    pub(super) text: String,
    pub(super) stop_reason: Option<String>,
    pub(super) usage: Usage,
    /// What the reader found kept: to the writer that pulls, the whole prompt is.
    pub(super) kept_at_reader: Option<u64>,
}

impl Job {
    pub(super) fn new(
        client: ConnId,
        request: p::Request,
        call: Call,
        identity: Option<Identity>,
        arrived: Micros,
    ) -> Self {
        Self {
            client,
            request,
            call,
            identity,
            arrived,
            attempts: Vec::new(),
            held: None,
            released_beside: None,
            backstop: None,
            answer: Answer::Owed,
            why: None,
            first_token: None,
            winner: None,
            paused: false,
            pieces: 0,
            text: String::new(),
            stop_reason: None,
            usage: Usage::default(),
            kept_at_reader: None,
        }
    }

    /// Whether its read state waits at this reader.
    pub(super) fn holds_at(&self, worker: &WorkerId) -> bool {
        self.held.as_ref().is_some_and(|h| h.worker == *worker)
    }

    /// What an attempt at this worker would do.
    pub(super) fn next_stage(&self, target: &Target) -> At {
        let reads = target.lifecycle != p::Lifecycle::Removed && target.role == p::Role::Prefill;
        match &self.held {
            _ if reads => At::Read,
            Some(_) => At::Pull,
            None => At::Whole,
        }
    }

    /// As what an attempt counts that begins now.
    pub(super) fn next_call(&self, at: At) -> tally::Call {
        match self.attempts.last() {
            None => tally::Call::First,
            Some(last) if at == At::Pull && last.at == At::Read => tally::Call::Pull,
            Some(_) => tally::Call::Again { ran: self.may_have_run() },
        }
    }

    pub(super) fn over(&self) -> bool {
        matches!(self.answer, Answer::Given { .. })
    }

    pub(super) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }

    /// Whether any attempt may have had the request's effect: not the module's word, but ours.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.facts.may_have_run)
    }

    /// What is owed for it, by what its connections have proven.
    pub(super) fn obligations(&self, settings: &p::Settings) -> Obligations {
        let class = settings.classes.get(self.request.class.0);
        let (retry_safety, window) =
            class.map_or((p::RetrySafety::NonIdempotent, Micros(0)), |c| (c.retry_safety, c.dedup_window));
        let answer = match (&self.answer, self.winner) {
            (Answer::Given { .. }, _) => AnswerState::Given,
            (Answer::Begun, _) | (Answer::Owed, Some(_)) => AnswerState::Begun,
            (Answer::Owed, None) => AnswerState::Owed,
        };
        Obligations {
            retry_safety,
            deduplication_window: window,
            deadline: self.request.deadline,
            max_attempts: settings.max_attempts,
            attempts: self.attempts.iter().map(|a| a.facts).collect(),
            answer,
            reserved_at: self.held.as_ref().map(|h| h.since),
        }
    }

    /// The client's own part of its identity.
    pub(super) fn identity_key(&self) -> Option<&str> {
        self.identity.as_ref().map(|(_, key)| key.as_str())
    }

    /// No answer is longer than so many tokens.
    pub(super) fn cut_answer(&mut self, tokens: u64) {
        if let Call::Messages(call) = &mut self.call {
            call.max_tokens = call.max_tokens.min(tokens);
        }
        self.request.max_output = self.request.max_output.min(tokens);
    }

    /// Bytes of its body that are kept.
    pub(super) fn body_bytes(&self) -> u64 {
        match &self.call {
            Call::Messages(_) => 0,
            Call::Passed(passed) => passed.body.len() as u64,
        }
    }

    /// Whether the client has got some of its answer.
    pub(super) fn has_begun(&self) -> bool {
        matches!(self.answer, Answer::Begun)
    }

    /// Tokens by the engine's count; by ours, where it did not say or the answer was cut off.
    pub(super) fn counted(&self, cut: bool) -> Tokens {
        let u = self.usage;
        let prompt = if u.prompt_tokens == 0 { self.request.prompt_tokens } else { u.prompt_tokens };
        let output = if cut || u.output_tokens == 0 { self.pieces } else { u.output_tokens };
        Tokens { prompt, cached: u.kept_tokens.min(prompt), output }
    }

    /// The attempt that read the prompt for the one whose answer was given, and that one.
    pub(super) fn billed_attempts(&self) -> BilledAttempts {
        let write = self.winner.and_then(|w| u32::try_from(w).ok());
        let pulled = self.winner.and_then(|w| self.attempts.get(w)).is_some_and(|a| a.at == At::Pull);
        let parsed = |a: &Attempt| a.at == At::Read && a.ended.is_some_and(|(o, _)| o == Outcome::Prefilled);
        let read = self.attempts.iter().rposition(parsed).filter(|_| pulled);
        BilledAttempts { prefill: read.and_then(|r| u32::try_from(r).ok()), answering: write }
    }

    /// Its attempts as operators see them.
    pub(super) fn told_attempts(&self, now: Micros) -> Vec<AttemptRecord> {
        let told = |a: &Attempt| AttemptRecord {
            worker: a.worker.0.to_string(),
            stage: a.at.name(),
            outcome: a.ended.map_or("open", |(o, _)| outcome_name(o)),
            care: a.care,
            sent_us: since(a.sent, self.arrived),
            took_us: since(a.ended.map_or(now, |(_, end)| end), a.sent),
            kept_tokens: a.kept,
            report: a.report,
        };
        self.attempts.iter().map(told).collect()
    }

    pub(super) fn phase(&self) -> &'static str {
        if matches!(self.answer, Answer::Begun) || self.winner.is_some() {
            return "streaming";
        }
        match self.attempts.iter().rfind(|a| a.ended.is_none()).map(|a| a.at) {
            Some(At::Read) => "reading",
            Some(At::Pull) => "pulling",
            Some(At::Whole) => "writing",
            None if self.held.is_some() => "held",
            None => "waiting",
        }
    }
}

pub(super) fn outcome_name(o: Outcome) -> &'static str {
    match o {
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
#[path = "job_test.rs"]
mod tests;
