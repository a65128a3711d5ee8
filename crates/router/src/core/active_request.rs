//! A request from its arrival until it is answered and no attempt or reservation of it is left.

use chalkyard_api::client::{MessagesRequest, Usage};
use chalkyard_budget::{BilledAttempts, Usage as BilledTokens};
use chalkyard_policy as p;
use chalkyard_policy::obligations::{AnswerState, Obligations, Target};
use chalkyard_policy::{Micros, Outcome, WorkerId};
use serde_json::value::RawValue;

use super::attempt::{outcome_name, Attempt, AttemptStage};
use super::record::{elapsed_us, AttemptRecord, RequestOutcome};
use super::tally::AttemptReason;
use super::ConnId;
use crate::dialect::ForwardedRequest;
use crate::identity::RequestIdentity;
use crate::timers::TimerKey;

/// Call that a client made.
#[derive(Debug)]
pub(super) enum ClientCall {
    /// Call in the router's own API, whose answer is translated.
    Messages(Box<MessagesRequest>),
    /// Request in a dialect, which is forwarded unchanged, as is its answer.
    Forwarded(ForwardedRequest),
}

impl ClientCall {
    /// Whether the answer is sent to the client as it arrives.
    pub(super) fn is_streamed(&self) -> bool {
        match self {
            Self::Messages(call) => call.stream,
            Self::Forwarded(_) => true,
        }
    }

    pub(super) fn model(&self) -> String {
        match self {
            Self::Messages(call) => call.model.clone(),
            Self::Forwarded(_) => String::new(),
        }
    }
}

/// State of a request's final answer.
#[derive(Debug)]
pub(super) enum FinalAnswer {
    /// No part of the answer was sent yet.
    Pending,
    /// The stream to the client has begun.
    Streaming,
    /// The answer was given, or the client has left.
    Given { ended: RequestOutcome, phase: &'static str, reason: String, at: Micros },
}

/// KV state that a prefill worker holds for the request; [`super::reservations`] documents who writes it.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) worker: WorkerId,
    /// Parameters that a decode worker needs to pull the state, if its call carries them.
    pub(super) transfer_params: Option<Box<RawValue>>,
    /// End of the prefill, or of the last attempt whose call is proven to have reached a worker.
    pub(super) reserved_at: Micros,
    /// Releases the state if the policy has not requested its release before.
    pub(super) timer: TimerKey,
}

/// A request that is open, or that still has an open attempt or a reservation. `Core::requests` owns it: only the
/// core writes it, and views read it. [`crate::Bounds::open_requests`] bounds the number of requests. After a crash
/// only the ledger knows of them.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) client: ConnId,
    /// Properties of the request on which the policy bases its decisions.
    pub(super) spec: p::Request,
    pub(super) call: ClientCall,
    pub(super) identity: Option<RequestIdentity>,
    pub(super) arrived_at: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) reservation: Option<Reservation>,
    /// Prefill worker whose state was released while a decode attempt was open. The release is repeated when that
    /// attempt ends, for the state that the attempt still waits for.
    pub(super) released_during_decode: Option<WorkerId>,
    /// Due when the final answer is overdue.
    pub(super) answer_timer: Option<TimerKey>,
    pub(super) answer: FinalAnswer,
    /// Why the policy rejected the request or gave it up.
    pub(super) rejection_reason: Option<p::RejectionReason>,
    pub(super) first_token_at: Option<Micros>,
    /// Index of the attempt whose answer goes to the client.
    pub(super) answering_attempt: Option<usize>,
    /// Whether reading from the worker is paused because the client is slower.
    pub(super) worker_paused: bool,
    /// Number of answer pieces received. A piece counts as one token if the worker reports no number of tokens.
    pub(super) pieces: u64,
    /// Answer collected so far, if the answer is not streamed.
    pub(super) text: String,
    pub(super) stop_reason: Option<String>,
    pub(super) usage: Usage,
    /// Prompt tokens that the prefill worker found in its cache. A decode worker reports the pulled prompt as cached.
    pub(super) cached_at_prefill: Option<u64>,
}

impl ActiveRequest {
    pub(super) fn new(
        client: ConnId,
        spec: p::Request,
        call: ClientCall,
        identity: Option<RequestIdentity>,
        arrived_at: Micros,
    ) -> Self {
        Self {
            client,
            spec,
            call,
            identity,
            arrived_at,
            attempts: Vec::new(),
            reservation: None,
            released_during_decode: None,
            answer_timer: None,
            answer: FinalAnswer::Pending,
            rejection_reason: None,
            first_token_at: None,
            answering_attempt: None,
            worker_paused: false,
            pieces: 0,
            text: String::new(),
            stop_reason: None,
            usage: Usage::default(),
            cached_at_prefill: None,
        }
    }

    /// Whether the request's state is reserved at this worker.
    pub(super) fn has_reservation_at(&self, worker: &WorkerId) -> bool {
        self.reservation.as_ref().is_some_and(|r| r.worker == *worker)
    }

    /// Stage that an attempt at this worker would have.
    pub(super) fn next_stage(&self, target: &Target) -> AttemptStage {
        let is_prefill = target.lifecycle != p::Lifecycle::Removed && target.role == p::Role::Prefill;
        match &self.reservation {
            _ if is_prefill => AttemptStage::Prefill,
            Some(_) => AttemptStage::Decode,
            None => AttemptStage::Combined,
        }
    }

    /// Reason under which an attempt that starts now is counted.
    pub(super) fn next_attempt_reason(&self, stage: AttemptStage) -> AttemptReason {
        match self.attempts.last() {
            None => AttemptReason::First,
            Some(last) if stage == AttemptStage::Decode && last.stage == AttemptStage::Prefill => {
                AttemptReason::Decode
            }
            Some(_) => AttemptReason::Retry { may_have_run: self.may_have_run() },
        }
    }

    /// Whether the final answer was given.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.answer, FinalAnswer::Given { .. })
    }

    /// Whether the stream to the client has begun.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.answer, FinalAnswer::Streaming)
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }

    /// Whether the request needs no further work.
    pub(super) fn is_completed(&self) -> bool {
        self.is_answered() && !self.has_open_attempt() && self.reservation.is_none()
    }

    /// Whether any attempt may have run the request, according to what the connections have proven.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.facts.may_have_run)
    }

    /// Obligations of the request, according to what its connections have proven.
    pub(super) fn obligations(&self, settings: &p::Settings) -> Obligations {
        let class = settings.classes.get(self.spec.class.0);
        let (retry_safety, window) =
            class.map_or((p::RetrySafety::NonIdempotent, Micros(0)), |c| (c.retry_safety, c.dedup_window));
        let answer = match (&self.answer, self.answering_attempt) {
            (FinalAnswer::Given { .. }, _) => AnswerState::Given,
            (FinalAnswer::Streaming, _) | (FinalAnswer::Pending, Some(_)) => AnswerState::Begun,
            (FinalAnswer::Pending, None) => AnswerState::Owed,
        };
        Obligations {
            retry_safety,
            dedup_window: window,
            deadline: self.spec.deadline,
            max_attempts: settings.max_attempts,
            attempts: self.attempts.iter().map(|a| a.facts).collect(),
            answer,
            reserved_at: self.reservation.as_ref().map(|r| r.reserved_at),
        }
    }

    /// Idempotency key that the client sent.
    pub(super) fn idempotency_key(&self) -> Option<&str> {
        self.identity.as_ref().map(|identity| identity.key.as_str())
    }

    /// Limits the answer to this number of tokens.
    pub(super) fn limit_output(&mut self, tokens: u64) {
        if let ClientCall::Messages(call) = &mut self.call {
            call.max_tokens = call.max_tokens.min(tokens);
        }
        self.spec.max_output_tokens = self.spec.max_output_tokens.min(tokens);
    }

    /// Bytes of the request body that are kept for further attempts.
    pub(super) fn body_bytes(&self) -> u64 {
        match &self.call {
            ClientCall::Messages(_) => 0,
            ClientCall::Forwarded(forwarded) => forwarded.body.len() as u64,
        }
    }

    /// Tokens to bill. Output is the worker's count, or the number of received pieces if the worker reported none or
    /// the answer was cut off. Prompt is the worker's count, or the router's estimate if the worker reported none.
    pub(super) fn billed_tokens(&self, is_cut_off: bool) -> BilledTokens {
        let usage = self.usage;
        let prompt = if usage.prompt_tokens == 0 { self.spec.prompt_tokens } else { usage.prompt_tokens };
        let output = if is_cut_off || usage.output_tokens == 0 { self.pieces } else { usage.output_tokens };
        BilledTokens { prompt, cached: usage.cached_tokens.min(prompt), output }
    }

    /// Number of the attempt that gave the answer, and of the prefill attempt that it used.
    pub(super) fn billed_attempts(&self) -> BilledAttempts {
        let answering = self.answering_attempt.and_then(|index| u32::try_from(index).ok());
        let attempt = self.answering_attempt.and_then(|index| self.attempts.get(index));
        let is_decode = attempt.is_some_and(|a| a.stage == AttemptStage::Decode);
        let is_prefilled = |a: &Attempt| {
            a.stage == AttemptStage::Prefill && a.ended.is_some_and(|end| end.outcome == Outcome::Prefilled)
        };
        let prefill = self.attempts.iter().rposition(is_prefilled).filter(|_| is_decode);
        BilledAttempts { prefill: prefill.and_then(|index| u32::try_from(index).ok()), answering }
    }

    /// Records of the attempts for operators.
    pub(super) fn attempt_records(&self, now: Micros) -> Vec<AttemptRecord> {
        let record = |a: &Attempt| AttemptRecord {
            worker: a.worker.0.to_string(),
            stage: a.stage.name(),
            outcome: a.ended.map_or("open", |end| outcome_name(end.outcome)),
            kind: a.kind,
            sent_us: elapsed_us(a.sent_at, self.arrived_at),
            took_us: elapsed_us(a.ended.map_or(now, |end| end.at), a.sent_at),
            kept_tokens: a.cached_tokens,
            report: a.report,
        };
        self.attempts.iter().map(record).collect()
    }

    /// Phase of the request for operators.
    pub(super) fn phase(&self) -> &'static str {
        if self.is_streaming() || self.answering_attempt.is_some() {
            return "streaming";
        }
        match self.attempts.iter().rfind(|a| a.ended.is_none()).map(|a| a.stage) {
            Some(AttemptStage::Prefill) => "reading",
            Some(AttemptStage::Decode) => "pulling",
            Some(AttemptStage::Combined) => "writing",
            None if self.reservation.is_some() => "held",
            None => "waiting",
        }
    }
}
