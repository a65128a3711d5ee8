//! Actions that the router's policy requests from the caller.

use crate::ids::{AttemptNo, RequestId, TimerId, WorkerId};
use crate::time::Micros;

/// Reason for giving up a request: the first condition that holds, in the order in which the policy checks
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(rename_all = "snake_case"))]
pub enum RejectionReason {
    /// The request's class is not in the settings.
    #[cfg_attr(feature = "serde", serde(rename = "no_class"))]
    UnknownClass,
    /// On arrival: first tokens take too long, measured by recent first tokens (sites with many routers).
    #[cfg_attr(feature = "serde", serde(rename = "pressure"))]
    ObservedLatency,
    /// On arrival: the first token is forecast to take too long, computed from the number of waiting
    /// requests.
    #[cfg_attr(feature = "serde", serde(rename = "forecast"))]
    ForecastLatency,
    /// On arrival: the client's deadline is earlier than the time that first tokens take.
    #[cfg_attr(feature = "serde", serde(rename = "doomed"))]
    CannotMeetDeadline,
    /// An attempt may have run, and retries are suppressed during congestion (sites with many routers).
    #[cfg_attr(feature = "serde", serde(rename = "jam"))]
    Congested,
    /// The request has used all of its attempts.
    #[cfg_attr(feature = "serde", serde(rename = "attempts"))]
    AttemptsExhausted,
    /// An attempt may have run, and the request's class does not allow another attempt.
    MayHaveRun,
    /// The deadline passed by the time the last attempt ended.
    #[cfg_attr(feature = "serde", serde(rename = "late"))]
    DeadlineExceeded,
    /// The deadline passed while no worker with a role needed for the next step was listed as active.
    NoWorker,
    /// The deadline passed while all workers with a needed role were excluded as unhealthy.
    #[cfg_attr(feature = "serde", serde(rename = "unfit"))]
    NoneHealthy,
    /// The deadline passed while the healthy workers with a needed role were rejecting the request's class.
    #[cfg_attr(feature = "serde", serde(rename = "full"))]
    AtCapacity,
    /// The deadline passed while the remaining workers with a needed role were warming up and their budget
    /// was used up.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    WarmingUp,
}

impl RejectionReason {
    /// Returns the name used in metrics and in stored records.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownClass => "no_class",
            Self::ObservedLatency => "pressure",
            Self::ForecastLatency => "forecast",
            Self::CannotMeetDeadline => "doomed",
            Self::Congested => "jam",
            Self::AttemptsExhausted => "attempts",
            Self::MayHaveRun => "may_have_run",
            Self::DeadlineExceeded => "late",
            Self::NoWorker => "no_worker",
            Self::NoneHealthy => "unfit",
            Self::AtCapacity => "full",
            Self::WarmingUp => "cold",
        }
    }
}

/// Condition of the worker that an attempt is sent to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(rename_all = "snake_case"))]
pub enum AttemptKind {
    /// No known restriction.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "usual"))]
    Normal,
    /// The worker started within the slow-start duration and may still be warming up.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    SlowStart,
    /// The worker failed or was silent recently. The attempt tests whether the worker is healthy again.
    #[cfg_attr(feature = "serde", serde(rename = "trial"))]
    Probe,
}

/// Action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// Request identifier.
        id: RequestId,
        /// Destination worker.
        worker: WorkerId,
        /// Time after which the attempt is abandoned, never zero. `None` means that the attempt lasts as long
        /// as the client waits.
        #[cfg_attr(feature = "serde", serde(rename = "give_up"))]
        timeout: Option<Micros>,
        /// Time within which the connection must be established, or the attempt ends as `NoConnection`.
        /// `None` means the limit of the settings.
        #[cfg_attr(feature = "serde", serde(rename = "connect"))]
        connect_timeout: Option<Micros>,
        /// Condition of the worker, for the log.
        #[cfg_attr(feature = "serde", serde(rename = "care"))]
        kind: AttemptKind,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request identifier.
        id: RequestId,
        /// Attempt to cancel.
        attempt: AttemptNo,
    },
    /// Send a final answer that rejects the request. Another try by the client is harmless.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject {
        /// Request identifier.
        id: RequestId,
        /// Time that the client should wait before trying again.
        retry_after: Option<Micros>,
        /// Reason for the rejection, for the log.
        #[cfg_attr(feature = "serde", serde(rename = "why"))]
        reason: RejectionReason,
    },
    /// Send a final answer that reports a failure. The request may have run.
    Fail {
        /// Request identifier.
        id: RequestId,
        /// Reason for the failure, for the log.
        #[cfg_attr(feature = "serde", serde(rename = "why"))]
        reason: RejectionReason,
    },
    /// End a running stream so that the client resumes it on another worker.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(RequestId),
    /// Release all state that is reserved for a request.
    #[cfg_attr(feature = "serde", serde(rename = "LetGo"))]
    ReleaseReservation(RequestId),
    /// Deliver an [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// Identifier to return when the timer fires.
        timer: TimerId,
        /// Delay from now.
        after: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}
