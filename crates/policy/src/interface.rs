//! What passes between the decision module and the program around it: ids, settings, events,
//! outcomes and actions. Types only.
//!
//! All times and spans are whole microseconds ([`Micros`]); token counts are plain numbers.
//! Classes, tenants and zones are positions in the lists of [`Settings`]; their names never
//! reach the module.

use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point of the clock, or a span of time, in microseconds. Arithmetic saturates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Micros(pub u64);

impl Micros {
    /// The span of `s` seconds; negative or undefined values give zero.
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s * 1e6).round() as u64)
    }

    /// This many seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span times `factor`; negative or undefined products give zero.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Micros {
    type Output = Self;
    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }
    };
}

text_id!(
    /// One try of a client. Never repeated: a client's next try has a fresh id.
    RequestId
);
text_id!(
    /// A server, under the one id by which every router knows it.
    WorkerId
);
text_id!(
    /// A conversation: each of its prompts holds all that went before.
    SessionId
);
text_id!(
    /// A beginning that prompts of several sessions share.
    PrefixId
);

/// Position in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ClassId(pub usize);

/// Position in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TenantId(pub usize);

/// A zone; equal numbers mean the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ZoneId(pub usize);

/// A cell (rack): a small group of workers with a link of their own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CellId(pub u64);

/// What a timer gives back when it fires; chosen by the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TimerId(pub u64);

/// Number of an attempt of one request, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptNo(pub u32);

/// What a worker does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Role {
    /// Reads prompts; its read state is then pulled by a writer.
    #[cfg_attr(feature = "serde", serde(rename = "Reader"))]
    Prefill,
    /// Pulls read state and writes answers; may read by itself where the settings say so.
    #[cfg_attr(feature = "serde", serde(rename = "Writer"))]
    Decode,
    /// Does both.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Mixed"))]
    Combined,
}

/// Where a class of requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// Repeating does no harm.
    #[cfg_attr(feature = "serde", serde(rename = "Free"))]
    Idempotent,
    /// Repeats are discarded within a group of workers for some time.
    #[cfg_attr(feature = "serde", serde(rename = "Guarded"))]
    Deduplicated(DeduplicationScope),
    /// Must never run twice.
    #[cfg_attr(feature = "serde", serde(rename = "SingleShot"))]
    NonIdempotent,
}

/// The workers that discard repeats of a guarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Time to the first token that earns full worth.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// Added to the aim for each 1,000 prompt tokens.
    #[cfg_attr(feature = "serde", serde(rename = "aim_per_1000_tokens"))]
    pub latency_objective_per_1000_tokens: Micros,
    /// A client's whole waiting time, over all its tries.
    pub deadline: Micros,
    /// Where it may be repeated.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// For guarded classes: how long repeats are discarded, from the first send that may have run.
    pub dedup_window: Micros,
}

/// A tenant's share.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Requests a second within its share, summed over all routers; none told means no limit.
    pub allowance_per_s: Option<f64>,
}

/// How the list of workers is learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Discovery {
    /// Changes come unasked.
    Push,
    /// Changes come only after [`Action::Subscribe`].
    #[cfg_attr(feature = "serde", serde(rename = "Ask"))]
    Poll,
}

/// How workers report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReporting {
    /// Not at all.
    Off,
    /// With outcomes.
    #[cfg_attr(feature = "serde", serde(rename = "InAnswers"))]
    InResponses,
}

/// What the site tells a router when it starts.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Number of routers, this one included.
    pub routers: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the list of workers is learnt.
    pub discovery: Discovery,
    /// Without a subscription, the list must be asked for at least this often.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask_in"))]
    pub max_poll_interval: Micros,
    /// Writers read a prompt by themselves when there is no state to pull.
    pub self_prefill: bool,
    /// A broken stream goes on elsewhere, and a running one may be moved.
    pub resume: bool,
    /// Held state or place must be taken or let go within this span.
    #[cfg_attr(feature = "serde", serde(rename = "release"))]
    pub reservation_timeout: Micros,
    /// At most this many attempts for a request.
    pub max_attempts: u32,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// Clients are told when to come back, at most this far ahead; zero: they are not.
    pub max_retry_after: Micros,
    /// A cold worker falls over when sent this multiple of its present capacity ...
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// ... for this long.
    #[cfg_attr(feature = "serde", serde(rename = "fall_after"))]
    pub overload_window: Micros,
    /// A worker starts with at least this share of its capacity ...
    #[cfg_attr(feature = "serde", serde(rename = "cold_from"))]
    pub slow_start_initial_share: f64,
    /// ... and is warm after this span at the latest.
    #[cfg_attr(feature = "serde", serde(rename = "cold_for"))]
    pub slow_start_duration: Micros,
    /// How late a final answer still counts after the client's deadline.
    pub answer_slack: Micros,
    /// The smallest step of the clock.
    pub tick: Micros,
    /// Whether worker weights mean anything.
    pub weighted: bool,
    /// How workers report their load.
    #[cfg_attr(feature = "serde", serde(rename = "reports"))]
    pub load_reporting: LoadReporting,
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Lifecycle {
    /// Takes work.
    #[cfg_attr(feature = "serde", serde(rename = "In"))]
    Active,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Out"))]
    Removed,
}

/// An entry of the list of workers.
#[derive(Debug, Clone, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// What it does.
    pub role: Role,
    /// Its memory, in tokens; none where it is not told.
    pub kv_tokens: Option<u64>,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Size for comparison with others.
    pub weight: f64,
    /// Its most recent start; none: long ago.
    pub started: Option<Micros>,
}

/// How a list of workers is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum EndpointUpdate {
    /// Complete, and current as far as discovery knows.
    #[cfg_attr(feature = "serde", serde(rename = "Full"))]
    Snapshot,
    /// Complete, as last held before a restart; perhaps stale.
    #[cfg_attr(feature = "serde", serde(rename = "Stale"))]
    LastKnown,
    /// Changed entries only.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// Asking failed or the subscription broke; no entries, the list held stays.
    Failed,
}

/// A worker's load, as far as it tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Share of its slots in use, 0 to 1.
    pub slots_used: Option<f64>,
    /// Share of its memory held, 0 to 1.
    pub kv_used: Option<f64>,
    /// Prompt tokens that wait to be read or pulled.
    pub waiting_tokens: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// Answered.
    Served,
    /// Prompt read; its state waits at this reader. Proves that nothing ran.
    #[cfg_attr(feature = "serde", serde(rename = "Parsed"))]
    Prefilled,
    /// The worker failed; it may have run.
    ServerError,
    /// Turned away. Proves that it never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected {
        /// There was no state to pull.
        no_state: bool,
    },
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection. Proves that it never ran.
    NoConnection,
    /// Connection lost; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all. Proves that it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Prefilled | Self::Rejected { .. } | Self::NoConnection | Self::NotSent)
    }
}

/// A request as a client brings it.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionId>,
    /// The beginning that it shares with other sessions.
    pub prefix: Option<PrefixId>,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// The longest answer allowed, in tokens.
    pub max_output: u64,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// The client returns after a stream that broke or was moved.
    #[cfg_attr(feature = "serde", serde(rename = "came_back"))]
    pub resumed: bool,
}

/// What a router hears.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// News of the list of workers.
    #[cfg_attr(feature = "serde", serde(rename = "Workers"))]
    Endpoints {
        /// How to read it.
        #[cfg_attr(feature = "serde", serde(rename = "kind"))]
        update: EndpointUpdate,
        /// The entries.
        workers: Vec<Worker>,
    },
    /// A request has come; one final answer is owed.
    Request(Request),
    /// An answer has begun; the client's deadline no longer runs.
    Streaming {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// An attempt has ended. Each attempt gets exactly one.
    #[cfg_attr(feature = "serde", serde(rename = "Verdict"))]
    AttemptOutcome {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The request is over for the client.
        #[cfg_attr(feature = "serde", serde(rename = "over"))]
        request_ended: bool,
        /// Prompt tokens that the worker found kept (after `Served` and `Parsed`).
        #[cfg_attr(feature = "serde", serde(rename = "kept"))]
        cached_tokens: u64,
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// The client has left; nothing more is owed.
    ClientGone(RequestId),
    /// A timer has come due.
    Timer(TimerId),
}

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
    /// An attempt may have run, and nothing is repeated in a jam (one of many routers).
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
    /// Its time ended while none of the workers that its next step needs was listed as in service.
    NoWorker,
    /// ... while those were all left out as sick or silent.
    #[cfg_attr(feature = "serde", serde(rename = "unfit"))]
    NoneHealthy,
    /// ... while those that are left had turned its class away.
    #[cfg_attr(feature = "serde", serde(rename = "full"))]
    AtCapacity,
    /// ... while those that are left were cold, with their budget spent.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    WarmingUp,
}

impl RejectionReason {
    /// As it is counted.
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

/// What is known of a worker that a request is sent to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(rename_all = "snake_case"))]
pub enum AttemptKind {
    /// Nothing bad.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "usual"))]
    Normal,
    /// It began within the told time and may still be cold.
    #[cfg_attr(feature = "serde", serde(rename = "cold"))]
    SlowStart,
    /// It has failed, or been silent, lately: this shows whether it is well.
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
    /// Final answer: refused, trying again does no harm.
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
    /// End a running stream so that it goes on elsewhere.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(RequestId),
    /// Let go of all state held for a request.
    #[cfg_attr(feature = "serde", serde(rename = "LetGo"))]
    ReleaseReservation(RequestId),
    /// Ask for an [`Event::Timer`] after this span.
    SetTimer {
        /// Given back when it fires.
        timer: TimerId,
        /// Span from now.
        after: Micros,
    },
    /// Subscribe to changes of the list of workers.
    Subscribe,
}
