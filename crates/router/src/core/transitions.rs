//! Transitions of a request's state that are out of the ordinary, each with its cause, and violated obligations.

use chalkyard_policy::{Micros, RequestId, WorkerId};
use serde::Serialize;

use super::counters::{increment, Counters, Violation};
use super::record::elapsed_us;
use super::{ConnId, Core, Output};

/// What has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransitionKind {
    /// An attempt ended without an answer, or with an error.
    AttemptEnded,
    /// A reservation is released while a decode attempt is open: nothing has proven that its call arrived.
    #[serde(rename = "released_beside_attempt")]
    ReleasedDuringAttempt,
    /// A release is called once more.
    ReleaseRepeated,
    /// A worker has answered a release that was called more than once.
    ReleaseProven,
    /// No worker has answered a release in its time.
    ReleaseUnproven,
    /// Something that the policy asked for is not done.
    Denied,
    /// An obligation was violated.
    Violation,
}

/// One transition of one request, with what is known of the connection that it is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Transition {
    /// The request.
    pub id: String,
    /// What has happened.
    pub change: TransitionKind,
    /// Why.
    pub cause: &'static str,
    /// The attempt that it is about.
    pub attempt: Option<u32>,
    /// Its worker, or the worker of a release.
    pub worker: Option<String>,
    /// The connection.
    pub connection: Option<u64>,
    /// How long the connection had been idle before this call; none: it was new.
    pub rested_us: Option<u64>,
    /// Since the head of the worker's last reply to this router; none: there was none.
    #[serde(rename = "unheard_us")]
    pub last_reply_us: Option<u64>,
    /// Since the request came; since the release began, where its request is over.
    pub age_us: u64,
}

/// What a transition is about.
#[derive(Debug, Default)]
pub(super) struct Subject<'a> {
    pub(super) attempt: Option<u32>,
    pub(super) worker: Option<&'a WorkerId>,
    pub(super) connection: Option<ConnId>,
    /// From when its age counts, where the request is over.
    pub(super) since: Option<Micros>,
}

impl Core {
    /// Gives a transition out.
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

    /// An obligation of a request was violated.
    pub(super) fn record_violation(&mut self, id: &RequestId, violation: Violation, since: Option<Micros>) {
        increment(&mut self.counters.violations, violation.name());
        let subject = Subject { since, ..Subject::default() };
        self.record_transition(id, TransitionKind::Violation, violation.name(), subject);
    }

    /// What has been done since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
