//! Unusual transitions of a request's state with their causes, and violated obligations.

use chalkyard_policy::{Micros, RequestId, WorkerId};
use serde::Serialize;

use super::counters::{increment, Counters, Violation};
use super::record::elapsed_us;
use super::{ConnId, Core, Output};

/// Kind of a transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransitionKind {
    /// An attempt ended without an answer, or with an error.
    AttemptEnded,
    /// A reservation is released while a decode attempt is open: nothing has proven that the attempt's call arrived.
    #[serde(rename = "released_beside_attempt")]
    ReleasedDuringAttempt,
    /// The call of a release is repeated.
    ReleaseRepeated,
    /// A worker has answered a release that was called more than once.
    ReleaseProven,
    /// No worker has answered a release in time.
    ReleaseUnproven,
    /// An action requested by the policy was denied.
    Denied,
    /// An obligation was violated.
    Violation,
}

/// One transition of one request, with what is known of the connection concerned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Transition {
    /// Request id.
    pub id: String,
    /// Kind of the transition.
    pub change: TransitionKind,
    /// Cause of the transition.
    pub cause: &'static str,
    /// Number of the attempt concerned.
    pub attempt: Option<u32>,
    /// Worker of the attempt or of the release.
    pub worker: Option<String>,
    /// Connection id.
    pub connection: Option<u64>,
    /// Time that the connection had been idle before this call, µs; `None` for a new connection.
    pub rested_us: Option<u64>,
    /// Time since the head of the worker's last reply to this router, µs; `None` if there was no reply.
    #[serde(rename = "unheard_us")]
    pub last_reply_us: Option<u64>,
    /// Time since the request arrived, µs; since the release began if the request is gone.
    pub age_us: u64,
}

/// Attempt, worker and connection that a transition concerns.
#[derive(Debug, Default)]
pub(super) struct Subject<'a> {
    pub(super) attempt: Option<u32>,
    pub(super) worker: Option<&'a WorkerId>,
    pub(super) connection: Option<ConnId>,
    /// Time from which the transition's age is counted if the request is gone.
    pub(super) since: Option<Micros>,
}

impl Core {
    /// Outputs a transition.
    pub(super) fn record_transition(
        &mut self,
        id: &RequestId,
        change: TransitionKind,
        cause: &'static str,
        subject: Subject<'_>,
    ) {
        let connection = subject.connection.and_then(|conn| self.connections.get(&conn));
        let idle = connection.and_then(|c| c.reused).map(|reuse| reuse.idle.0);
        let endpoint = subject.worker.and_then(|w| self.workers.get(w));
        let last_reply_at = endpoint.map(|e| e.last_reply_at).filter(|at| at.0 > 0);
        let began = self.requests.get(id).map(|r| r.arrived_at).or(subject.since).unwrap_or(self.now);
        let transition = Transition {
            id: id.0.to_string(),
            change,
            cause,
            attempt: subject.attempt,
            worker: subject.worker.map(|w| w.0.to_string()),
            connection: subject.connection.map(|c| c.0),
            rested_us: idle,
            last_reply_us: last_reply_at.map(|at| elapsed_us(self.now, at)),
            age_us: elapsed_us(self.now, began),
        };
        self.outputs.push(Output::Transition(Box::new(transition)));
    }

    /// Counts and outputs the violation of a request's obligation.
    pub(super) fn record_violation(&mut self, id: &RequestId, violation: Violation, since: Option<Micros>) {
        increment(&mut self.counters.violations, violation.name());
        let subject = Subject { since, ..Subject::default() };
        self.record_transition(id, TransitionKind::Violation, violation.name(), subject);
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
