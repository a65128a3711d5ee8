//! What a router's decision module wants done.

use crate::ids::{AttemptNo, RequestId, TimerId, WorkerId};
use crate::time::Micros;

/// Why a request is given up. The first that holds, in the order in which they are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(rename_all = "snake_case"))]
pub enum RejectionReason {
    /// Its class is not in the settings.
    #[cfg_attr(feature = "serde", serde(rename = "no_class"))]
    UnknownClass,
    /// On arrival: first tokens take too long, judged by what they took (one of many routers).
    #[cfg_attr(feature = "serde", serde(rename = "pressure"))]
    ObservedLatency,
    /// On arrival: first tokens would take too long, judged by what waits.
    #[cfg_attr(feature = "serde", serde(rename = "forecast"))]
    ForecastLatency,
    /// On arrival: its client will not wait for as long as first tokens take.
    #[cfg_attr(feature = "serde", serde(rename = "doomed"))]
    CannotMeetDeadline,
    /// An attempt may have run, and nothing is repeated in congestion (one of many routers).
    #[cfg_attr(feature = "serde", serde(rename = "jam"))]
    Congested,
    /// Its attempts are used up.
    #[cfg_attr(feature = "serde", serde(rename = "attempts"))]
    AttemptsExhausted,
    /// An attempt may have run, which bars its class from another.
    MayHaveRun,
    /// Its time ended with its last attempt.
    #[cfg_attr(feature = "serde", serde(rename = "late"))]
    DeadlineExceeded,
    /// Its time ended while none of the workers that its next step needs was listed as active.
    NoWorker,
    /// ... while those were all left out as unhealthy.
    #[cfg_attr(feature = "serde", serde(rename = "unfit"))]
    NoneHealthy,
    /// ... while those that were left had rejected its class.
    #[cfg_attr(feature = "serde", serde(rename = "full"))]
    AtCapacity,
    /// ... while those that were left were warming up, with their budget spent.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    WarmingUp,
}

impl RejectionReason {
    /// As it is counted and stored.
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

/// What is known of the worker that an attempt is sent to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(rename_all = "snake_case"))]
pub enum AttemptKind {
    /// Nothing bad.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "usual"))]
    Normal,
    /// It started within the slow start's duration and may still be warming up.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    SlowStart,
    /// It has failed, or been silent, lately: this shows whether it is healthy.
    #[cfg_attr(feature = "serde", serde(rename = "trial"))]
    Probe,
}

/// What a router does.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Give up after this span (never zero); none: when the client does.
        #[cfg_attr(feature = "serde", serde(rename = "give_up"))]
        timeout: Option<Micros>,
        /// Its connection has to stand within this span, or it is none; none: as the settings say.
        #[cfg_attr(feature = "serde", serde(rename = "connect"))]
        connect_timeout: Option<Micros>,
        /// What is known of that worker, for those who read the log.
        #[cfg_attr(feature = "serde", serde(rename = "care"))]
        kind: AttemptKind,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
    },
    /// Final answer: rejected, trying again does no harm.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject {
        /// The request.
        id: RequestId,
        /// Time that the client should stay away.
        retry_after: Option<Micros>,
        /// The condition, for those who read the log.
        #[cfg_attr(feature = "serde", serde(rename = "why"))]
        reason: RejectionReason,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
        /// The condition, for those who read the log.
        #[cfg_attr(feature = "serde", serde(rename = "why"))]
        reason: RejectionReason,
    },
    /// End a running stream so that it is resumed elsewhere.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(RequestId),
    /// Release all state that is reserved for a request.
    #[cfg_attr(feature = "serde", serde(rename = "LetGo"))]
    ReleaseReservation(RequestId),
    /// Ask for an [`Event::Timer`](crate::Event::Timer) after this span.
    SetTimer {
        /// Given back when it fires.
        timer: TimerId,
        /// Span from now.
        after: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}
