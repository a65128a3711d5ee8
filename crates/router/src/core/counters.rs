//! Counters since the start, by cause, and violated obligations. Nothing is decided by them.

use std::collections::BTreeMap;

use serde::Serialize;

use super::attempt::AttemptStage;

/// Counts by a name from a fixed set.
pub type CountsByCause = BTreeMap<&'static str, u64>;

/// An obligation that was violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A request had no final answer in its time.
    AnswerOverdue,
    /// A call was about to be sent, or a refusal given, though an earlier attempt may have run.
    EffectUnproven,
    /// State was reserved past its time with no proof that a worker pulled or released it.
    #[serde(rename = "held_overdue")]
    ReservationOverdue,
}

impl Violation {
    /// As it is logged and counted.
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerOverdue => "answer_overdue",
            Self::EffectUnproven => "effect_unproven",
            Self::ReservationOverdue => "held_overdue",
        }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests accepted.
    pub requests: u64,
    /// Final answers, by who ended the request.
    pub answers: CountsByCause,
    /// Requests that the policy rejected or gave up, by its reason.
    pub given_up: CountsByCause,
    /// Ends of prefill attempts, by outcome.
    #[serde(rename = "reads")]
    pub prefills: CountsByCause,
    /// Ends of decode attempts, by outcome.
    #[serde(rename = "pulls")]
    pub decodes: CountsByCause,
    /// Ends of attempts that prefill and decode, by outcome.
    #[serde(rename = "wholes")]
    pub combined: CountsByCause,
    /// Releases of reservations: begun, during an open attempt, calls made, proven by an answer, given up unproven.
    pub releases: CountsByCause,
    /// What the policy asked for and was not done, by reason.
    pub denied: CountsByCause,
    /// Violated obligations.
    pub violations: CountsByCause,
}

impl Counters {
    /// Ends of attempts of this stage.
    pub(super) fn attempts(&mut self, stage: AttemptStage) -> &mut CountsByCause {
        match stage {
            AttemptStage::Prefill => &mut self.prefills,
            AttemptStage::Decode => &mut self.decodes,
            AttemptStage::Combined => &mut self.combined,
        }
    }

    /// Violated obligations of all kinds.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }
}

/// Adds one.
pub(super) fn increment(counts: &mut CountsByCause, cause: &'static str) {
    *counts.entry(cause).or_default() += 1;
}
