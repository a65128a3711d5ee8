//! A request from its arrival until it is answered and nothing of it is left at a worker.

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

/// What a client asked.
#[derive(Debug)]
pub(super) enum ClientCall {
    /// Our own call, whose answer is translated.
    Messages(Box<MessagesRequest>),
    /// A dialect's request, which is forwarded unchanged, as is its answer.
    Forwarded(ForwardedRequest),
}

impl ClientCall {
    /// Whether its answer goes to the client as it comes.
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

/// How far the final answer has come.
#[derive(Debug)]
pub(super) enum FinalAnswer {
    /// None was given yet.
    Pending,
    /// The stream to the client has begun.
    Streaming,
    /// It was given, or the client has left.
    Given { ended: RequestOutcome, phase: &'static str, reason: String, at: Micros },
}

/// KV state that a prefill worker holds for the request; see [`super::reservations`] for who writes it.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) worker: WorkerId,
    /// What a decode worker needs to pull the state, where its call names it.
    pub(super) transfer_params: Option<Box<RawValue>>,
    /// The prefill's end, or the last end of an attempt that a worker is proven to have got.
    pub(super) reserved_at: Micros,
    /// When it is released if the policy has not had it released.
    pub(super) timer: TimerKey,
}

/// A request that is open, or of which an attempt or a reservation is left. `Core::requests` owns it: the core alone writes
/// it, views read it, [`crate::Bounds::open`] bounds how many there are. After a crash the ledger alone knows of them.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) client: ConnId,
    /// What the policy decides by.
    pub(super) spec: p::Request,
    pub(super) call: ClientCall,
    pub(super) identity: Option<RequestIdentity>,
    pub(super) arrived_at: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) reservation: Option<Reservation>,
    /// The prefill worker whose state was released during an open decode attempt: what that attempt still waits for is
    /// released once more when it ends.
    pub(super) released_during_decode: Option<WorkerId>,
    /// When an answer is overdue.
    pub(super) answer_timer: Option<TimerKey>,
    pub(super) answer: FinalAnswer,
    /// Why the policy rejected it or gave it up.
    pub(super) rejection_reason: Option<p::RejectionReason>,
    pub(super) first_token_at: Option<Micros>,
    /// The attempt whose answer goes to the client.
    pub(super) answering_attempt: Option<usize>,
    /// Its worker is not read for now, since the client is slower.
    pub(super) worker_paused: bool,
    /// Pieces of the answer that came. A piece counts as a token where the worker names no number.
    pub(super) pieces: u64,
    /// The answer so far, where it is not streamed.
    pub(super) text: String,
    pub(super) stop_reason: Option<String>,
    pub(super) usage: Usage,
    /// Prompt tokens that the prefill worker found in its cache; a decode worker counts the pulled prompt as cached.
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

    /// Whether its state is reserved at this worker.
    pub(super) fn has_reservation_at(&self, worker: &WorkerId) -> bool {
        self.reservation.as_ref().is_some_and(|r| r.worker == *worker)
    }

    /// What an attempt at this worker would do.
    pub(super) fn next_stage(&self, target: &Target) -> AttemptStage {
        let is_prefill = target.lifecycle != p::Lifecycle::Removed && target.role == p::Role::Prefill;
        match &self.reservation {
            _ if is_prefill => AttemptStage::Prefill,
            Some(_) => AttemptStage::Decode,
            None => AttemptStage::Combined,
        }
    }

    /// As what an attempt counts that begins now.
    pub(super) fn next_attempt_reason(&self, stage: AttemptStage) -> AttemptReason {
        match self.attempts.last() {
            None => AttemptReason::First,
            Some(last) if stage == AttemptStage::Decode && last.stage == AttemptStage::Prefill => {
                AttemptReason::Decode
            }
            Some(_) => AttemptReason::Retry { may_have_run: self.may_have_run() },
        }
    }

    /// Whether its final answer is given.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.answer, FinalAnswer::Given { .. })
    }

    /// Whether the client has got some of its answer.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.answer, FinalAnswer::Streaming)
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }

    /// Whether nothing of it is left to be done.
    pub(super) fn is_completed(&self) -> bool {
        self.is_answered() && !self.has_open_attempt() && self.reservation.is_none()
    }

    /// Whether any attempt may have had the request's retry_safety, by what its connections have proven.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.facts.may_have_run)
    }

    /// What is owed for it, by what its connections have proven.
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

    /// The client's own part of its identity.
    pub(super) fn idempotency_key(&self) -> Option<&str> {
        self.identity.as_ref().map(|identity| identity.key.as_str())
    }

    /// Bounds the answer to so many tokens.
    pub(super) fn limit_output(&mut self, tokens: u64) {
        if let ClientCall::Messages(call) = &mut self.call {
            call.max_tokens = call.max_tokens.min(tokens);
        }
        self.spec.max_output_tokens = self.spec.max_output_tokens.min(tokens);
    }

    /// Bytes of its body that are kept for further attempts.
    pub(super) fn body_bytes(&self) -> u64 {
        match &self.call {
            ClientCall::Messages(_) => 0,
            ClientCall::Forwarded(forwarded) => forwarded.body.len() as u64,
        }
    }

    /// Tokens by the worker's count; by the pieces that came, where it named none or the answer was cut off.
    pub(super) fn billed_tokens(&self, is_cut_off: bool) -> BilledTokens {
        let usage = self.usage;
        let prompt = if usage.prompt_tokens == 0 { self.spec.prompt_tokens } else { usage.prompt_tokens };
        let output = if is_cut_off || usage.output_tokens == 0 { self.pieces } else { usage.output_tokens };
        BilledTokens { prompt, cached: usage.kept_tokens.min(prompt), output }
    }

    /// The numbers of the prefill attempt for the answer that was given, and of the attempt that gave it.
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

    /// Its attempts as operators see them.
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

    /// The phase as operators see it.
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
