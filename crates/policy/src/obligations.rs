//! What a router owes for one request, and what it may do for it now: whether a call may be sent or repeated, whether the
//! request may be rejected, answered or have its connection closed, and when its reserved state has to be released.
//!
//! Only what a peer has proven counts: an attempt without an answer proves nothing of its peer, and stops no clock but its
//! own. The module that decides asks here before it acts, and the program around it asks again, from its own record
//! of the connections, before anything is written.

use crate::endpoints::{Lifecycle, Role};
use crate::events::Outcome;
use crate::ids::{CellId, ZoneId};
use crate::settings::{DeduplicationScope, RetrySafety};
use crate::time::Micros;

/// Reserved state is released after this share of the time allowed: the rest is for the call to reach a running worker.
const RELEASE_SHARE: f64 = 0.8;

/// A repeat is over so long before its window ends: as long as a router may stand still between reading its clock and
/// writing, or closing.
const REPEAT_WINDOW_MARGIN: Micros = Micros(150_000);

/// What an attempt does at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// At a prefill worker: no effect, ends with state that is reserved there.
    Prefill,
    /// At a decode or combined worker.
    Decode,
}

/// A worker as the rules see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
}

/// What is known of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFacts {
    /// What it does.
    pub stage: Stage,
    /// When it was sent.
    pub sent: Micros,
    /// Its worker, as it was then.
    pub target: Target,
    /// It has not ended.
    pub open: bool,
    /// It may have had its effect: nothing has proven that it did not.
    pub may_have_run: bool,
}

impl AttemptFacts {
    /// An attempt that is sent now.
    pub fn new(stage: Stage, sent: Micros, target: Target) -> Self {
        Self { stage, sent, target, open: true, may_have_run: stage == Stage::Decode }
    }

    /// It has ended so.
    pub fn end(&mut self, outcome: Outcome) {
        self.open = false;
        self.may_have_run = self.stage == Stage::Decode && !outcome.proves_not_run();
    }
}

/// Whether the end of an attempt proves that its call reached a running worker. What is silent, closed or reset proves
/// nothing: bytes that the local system took may never have arrived.
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

/// Why something may not be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denied {
    /// The request has its final answer, or its client has left.
    Answered,
    /// An answer has begun.
    Begun,
    /// Its client's time is up.
    PastDeadline,
    /// Another attempt is open.
    AttemptOpen,
    /// Its attempts are used up.
    AttemptsUsed,
    /// The worker takes nothing new, or is not listed.
    NotInService,
    /// An earlier attempt may have run, and a repeat would not be discarded.
    MayHaveRun,
    /// It owes its client a final answer.
    AnswerOwed,
}

impl Denied {
    /// As it is logged and counted.
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

/// How far the final answer of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// None was given yet.
    Owed,
    /// A stream has begun.
    Begun,
    /// It was given, or the client has left.
    Given,
}

/// Leave to send one attempt; only [`Obligations::may_send`] gives it.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit(());

/// Leave to reject a request; only [`Obligations::may_reject`] gives it.
#[derive(Debug, PartialEq, Eq)]
pub struct RejectPermit(());

/// Leave to give a final answer; only [`Obligations::may_answer`] gives it.
#[derive(Debug, PartialEq, Eq)]
pub struct AnswerPermit(());

/// One request's obligations, as they stand.
#[derive(Debug, Clone)]
pub struct Obligations {
    /// Whether and where it may be attempted again.
    pub retry_safety: RetrySafety,
    /// For deduplicated classes: how long repeats are discarded.
    pub dedup_window: Micros,
    /// When its client gives it up.
    pub deadline: Micros,
    /// At most so many attempts.
    pub max_attempts: u32,
    /// Its attempts so far.
    pub attempts: Vec<AttemptFacts>,
    /// Its final answer.
    pub answer: AnswerState,
    /// Since when a worker reserves state for it that nobody is known to have taken.
    pub reserved_at: Option<Micros>,
}

impl Obligations {
    /// Whether an attempt may be sent to this worker now.
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

    /// No effect twice: whether every earlier attempt is proven not to have run, or a repeat there would be discarded.
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

    /// Until when a repeat of this attempt may be out.
    fn repeat_window_end(&self, earlier: &AttemptFacts) -> Micros {
        earlier.sent + (self.dedup_window - REPEAT_WINDOW_MARGIN)
    }

    /// When the next attempt has to be over, whatever has become of it: one that lies at a silent worker runs as that
    /// wakes. None where its class or its earlier attempts set no such time.
    pub fn next_attempt_deadline(&self) -> Option<Micros> {
        let earlier = self.attempts.iter().filter(|a| a.may_have_run);
        let ends = earlier.map(|a| self.repeat_window_end(a)).min();
        ends.filter(|_| matches!(self.retry_safety, RetrySafety::Deduplicated(_)))
    }

    /// Whether a rejection, which says that trying again is harmless, would be true.
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

    /// Whether a final answer may be given: exactly one is.
    pub fn may_answer(&self) -> Result<AnswerPermit, Denied> {
        match self.answer {
            AnswerState::Given => Err(Denied::Answered),
            AnswerState::Owed | AnswerState::Begun => Ok(AnswerPermit(())),
        }
    }

    /// Why no worker can ever take it: its attempts are used up, or one that may have run bars more.
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

    /// When its reserved state is to be released, whatever is open: a pull that has arrived keeps what it takes, and one that
    /// has not arrived takes nothing.
    pub fn release_due(&self, release: Micros) -> Option<Micros> {
        self.reserved_at.map(|since| release_due(since, release))
    }
}

/// When state that is reserved since then is to be released.
pub fn release_due(since: Micros, release: Micros) -> Micros {
    since + release.mul_f64(RELEASE_SHARE)
}

fn is_in_scope(scope: DeduplicationScope, one: &Target, other: &Target) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}
