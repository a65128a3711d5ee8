//! Counters since the start, by cause, and violated obligations. No decision depends on them.

use std::collections::BTreeMap;

use serde::Serialize;

use super::attempt::AttemptStage;

/// Counts by cause, which is a name from a fixed set.
pub type CountsByCause = BTreeMap<&'static str, u64>;

/// An obligation that was violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A request had no final answer in time.
    AnswerOverdue,
    /// A call was about to be sent, or a rejection given, though an earlier attempt may have run.
    EffectUnproven,
    /// State was reserved past its time without proof that a worker pulled or released it.
    #[serde(rename = "held_overdue")]
    ReservationOverdue,
}

impl Violation {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerOverdue => "answer_overdue",
            Self::EffectUnproven => "effect_unproven",
            Self::ReservationOverdue => "held_overdue",
        }
    }
}

/// Counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Accepted requests.
    pub requests: u64,
    /// Final answers, by the outcome of the request.
    pub answers: CountsByCause,
    /// Requests that the policy rejected or gave up, by reason.
    pub given_up: CountsByCause,
    /// Ended prefill attempts, by outcome.
    #[serde(rename = "reads")]
    pub prefills: CountsByCause,
    /// Ended decode attempts, by outcome.
    #[serde(rename = "pulls")]
    pub decodes: CountsByCause,
    /// Ended attempts that prefill and decode, by outcome.
    #[serde(rename = "wholes")]
    pub combined: CountsByCause,
    /// Releases of reservations: begun, during an open attempt, calls made, proven by an answer, given up unproven.
    pub releases: CountsByCause,
    /// Actions requested by the policy and denied, by reason.
    pub denied: CountsByCause,
    /// Violated obligations, by kind.
    pub violations: CountsByCause,
}

impl Counters {
    /// Counts of ended attempts of this stage.
    pub(super) fn attempts(&mut self, stage: AttemptStage) -> &mut CountsByCause {
        match stage {
            AttemptStage::Prefill => &mut self.prefills,
            AttemptStage::Decode => &mut self.decodes,
            AttemptStage::Combined => &mut self.combined,
        }
    }

    /// Number of violated obligations of all kinds.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }
}

/// Adds one to the count of a cause.
pub(super) fn increment(counts: &mut CountsByCause, cause: &'static str) {
    *counts.entry(cause).or_default() += 1;
}
