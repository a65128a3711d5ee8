//! Rules for a single request: whether an attempt may be sent or repeated, whether the request may be
//! rejected or answered, and when its reserved state must be released.
//!
//! Only proof from a peer counts. An attempt without a response proves nothing about its worker and stops no
//! timer except its own. The policy checks these rules before it decides, and the caller checks them again
//! before it writes anything, based on its own record of the connections.

use crate::endpoints::{Lifecycle, Role};
use crate::events::Outcome;
use crate::ids::{CellId, ZoneId};
use crate::settings::{DeduplicationScope, RetrySafety};
use crate::time::Micros;

/// Share of the reservation timeout after which reserved state is released. The rest is left for the release
/// call to reach a running worker.
const RELEASE_SHARE: f64 = 0.8;

/// Time by which a repeat must end before the deduplication window ends. It is the longest time that a router
/// may stall between reading its clock and writing or closing.
const REPEAT_WINDOW_MARGIN: Micros = Micros(150_000);

/// Task of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Prefill on a prefill worker. Has no effect and leaves state reserved on that worker.
    Prefill,
    /// Decode on a decode or combined worker.
    Decode,
}

/// Properties of a worker that the rules depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Stages that the worker performs.
    pub role: Role,
    /// Zone of the worker.
    pub zone: Option<ZoneId>,
    /// Cell of the worker.
    pub cell: CellId,
    /// Lifecycle state of the worker.
    pub lifecycle: Lifecycle,
}

/// Properties of an attempt that the rules depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFacts {
    /// Task of the attempt.
    pub stage: Stage,
    /// Time at which the attempt was sent.
    pub sent: Micros,
    /// Worker at the time of the send.
    pub target: Target,
    /// Set until the attempt ends.
    pub open: bool,
    /// Set unless the attempt is proven not to have had an effect.
    pub may_have_run: bool,
}

impl AttemptFacts {
    /// Creates the record of an attempt that is being sent.
    pub fn new(stage: Stage, sent: Micros, target: Target) -> Self {
        Self { stage, sent, target, open: true, may_have_run: stage == Stage::Decode }
    }

    /// Records the end of the attempt.
    pub fn end(&mut self, outcome: Outcome) {
        self.open = false;
        self.may_have_run = self.stage == Stage::Decode && !outcome.proves_not_run();
    }
}

/// Returns true if the outcome proves that the call reached a running worker. Silence, a closed connection
/// and a reset prove nothing, because bytes accepted by the local system may never have arrived.
pub fn proves_arrival(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Served | Outcome::Prefilled | Outcome::ServerError | Outcome::Rejected { .. } => true,
        Outcome::TimedOut
        | Outcome::NoConnection
        | Outcome::ConnectionLost
        | Outcome::Cancelled
        | Outcome::NotSent => false,
    }
}

/// Reason for denying an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denied {
    /// The request has its final answer, or the client has disconnected.
    Answered,
    /// The answer has started.
    Begun,
    /// The client's deadline has passed.
    PastDeadline,
    /// Another attempt is open.
    AttemptOpen,
    /// All attempts have been used.
    AttemptsUsed,
    /// The worker does not accept new work or is not listed.
    NotInService,
    /// An earlier attempt may have run, and the worker would not discard a repeat.
    MayHaveRun,
    /// The client is still owed a final answer.
    AnswerOwed,
}

impl Denied {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Begun => "begun",
            Self::PastDeadline => "past_deadline",
            Self::AttemptOpen => "attempt_open",
            Self::AttemptsUsed => "attempts_used",
            Self::NotInService => "not_in_service",
            Self::MayHaveRun => "may_have_run",
            Self::AnswerOwed => "answer_owed",
        }
    }
}

/// Progress of the final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// No part of the answer has been sent.
    Owed,
    /// A stream has started.
    Begun,
    /// The answer is complete, or the client has disconnected.
    Given,
}

/// Permission to send one attempt, issued only by [`Obligations::may_send`].
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit(());

/// Permission to reject a request, issued only by [`Obligations::may_reject`].
#[derive(Debug, PartialEq, Eq)]
pub struct RejectPermit(());

/// Permission to send a final answer, issued only by [`Obligations::may_answer`].
#[derive(Debug, PartialEq, Eq)]
pub struct AnswerPermit(());

/// State of a request that the rules depend on.
#[derive(Debug, Clone)]
pub struct Obligations {
    /// Rule for repeated attempts.
    pub retry_safety: RetrySafety,
    /// Duration for which workers discard repeats of a deduplicated request.
    pub dedup_window: Micros,
    /// Time at which the client gives up the request.
    pub deadline: Micros,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Attempts so far.
    pub attempts: Vec<AttemptFacts>,
    /// Progress of the final answer.
    pub answer: AnswerState,
    /// Time since which a worker has reserved state that is not known to have been pulled.
    pub reserved_at: Option<Micros>,
}

impl Obligations {
    /// Permits an attempt on the worker at time `now`, or returns the reason for denial.
    pub fn may_send(&self, now: Micros, target: &Target) -> Result<SendPermit, Denied> {
        match self.answer {
            AnswerState::Given => return Err(Denied::Answered),
            AnswerState::Begun => return Err(Denied::Begun),
            AnswerState::Owed => {}
        }
        if now >= self.deadline {
            return Err(Denied::PastDeadline);
        }
        if target.lifecycle != Lifecycle::Active {
            return Err(Denied::NotInService);
        }
        if self.attempts.len() >= self.max_attempts as usize {
            return Err(Denied::AttemptsUsed);
        }
        if self.attempts.iter().any(|a| a.open) {
            return Err(Denied::AttemptOpen);
        }
        if !self.may_run_on(now, target) {
            return Err(Denied::MayHaveRun);
        }
        Ok(SendPermit(()))
    }

    /// Returns true if an attempt cannot cause a second effect: every earlier attempt is proven not to have
    /// run, or the worker would discard the repeat.
    fn may_run_on(&self, now: Micros, target: &Target) -> bool {
        let mut earlier = self.attempts.iter().filter(|a| a.may_have_run).peekable();
        if earlier.peek().is_none() {
            return true;
        }
        match self.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::Deduplicated(scope) => {
                earlier.all(|a| now < self.repeat_window_end(a) && is_in_scope(scope, &a.target, target))
            }
        }
    }

    /// Returns the time until which a repeat of the attempt may be in flight.
    fn repeat_window_end(&self, earlier: &AttemptFacts) -> Micros {
        earlier.sent + (self.dedup_window - REPEAT_WINDOW_MARGIN)
    }

    /// Returns the time by which the next attempt must have ended, whatever its state, because an attempt
    /// that waits on a silent worker runs when the worker resumes. `None` if neither the class nor earlier
    /// attempts impose such a time.
    pub fn next_attempt_deadline(&self) -> Option<Micros> {
        let earlier = self.attempts.iter().filter(|a| a.may_have_run);
        let ends = earlier.map(|a| self.repeat_window_end(a)).min();
        ends.filter(|_| matches!(self.retry_safety, RetrySafety::Deduplicated(_)))
    }

    /// Permits a rejection, which tells the client that another try is harmless, or returns the reason for
    /// denial.
    pub fn may_reject(&self) -> Result<RejectPermit, Denied> {
        let may_have_run = self.attempts.iter().any(|a| a.may_have_run || a.open);
        match self.retry_safety {
            RetrySafety::Idempotent | RetrySafety::Deduplicated(DeduplicationScope::All) => {
                Ok(RejectPermit(()))
            }
            RetrySafety::Deduplicated(_) | RetrySafety::NonIdempotent if may_have_run => {
                Err(Denied::MayHaveRun)
            }
            RetrySafety::Deduplicated(_) | RetrySafety::NonIdempotent => Ok(RejectPermit(())),
        }
    }

    /// Permits a final answer. A request gets exactly one.
    pub fn may_answer(&self) -> Result<AnswerPermit, Denied> {
        match self.answer {
            AnswerState::Given => Err(Denied::Answered),
            AnswerState::Owed | AnswerState::Begun => Ok(AnswerPermit(())),
        }
    }

    /// Returns the reason if no worker can ever take the request: its attempts are used up, or an attempt
    /// that may have run forbids another.
    pub fn permanent_denial(&self, now: Micros) -> Option<Denied> {
        let forbids_retry = |a: &AttemptFacts| match self.retry_safety {
            RetrySafety::Idempotent => false,
            RetrySafety::NonIdempotent => true,
            RetrySafety::Deduplicated(_) => now >= self.repeat_window_end(a),
        };
        if self.attempts.iter().any(|a| a.may_have_run && forbids_retry(a)) {
            return Some(Denied::MayHaveRun);
        }
        (self.attempts.len() >= self.max_attempts as usize).then_some(Denied::AttemptsUsed)
    }

    /// Returns the time at which reserved state must be released, regardless of open attempts: a pull that
    /// has arrived keeps the state that it takes, and a pull that has not arrived takes none.
    pub fn release_due(&self, reservation_timeout: Micros) -> Option<Micros> {
        self.reserved_at.map(|reserved_at| release_due(reserved_at, reservation_timeout))
    }
}

/// Returns the time at which state reserved at `reserved_at` must be released.
pub fn release_due(reserved_at: Micros, reservation_timeout: Micros) -> Micros {
    reserved_at + reservation_timeout.mul_f64(RELEASE_SHARE)
}

fn is_in_scope(scope: DeduplicationScope, one: &Target, other: &Target) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}
