//! What the site's settings tell a router when it starts.

use crate::time::Micros;

/// Whether and where a class of requests may be attempted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// Repeating does no harm.
    #[cfg_attr(feature = "serde", serde(rename = "Free"))]
    Idempotent,
    /// Repeats are discarded within a scope of workers for some time.
    #[cfg_attr(feature = "serde", serde(rename = "Guarded"))]
    Deduplicated(DeduplicationScope),
    /// Must never run twice.
    #[cfg_attr(feature = "serde", serde(rename = "SingleShot"))]
    NonIdempotent,
}

/// The workers that discard repeats of a deduplicated request.
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
    /// Time to the first token that earns the full priority weight.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// Added to the objective for each 1,000 prompt tokens.
    #[cfg_attr(feature = "serde", serde(rename = "aim_per_1000_tokens"))]
    pub latency_objective_per_1000_tokens: Micros,
    /// A client's whole waiting time, its retries included.
    pub deadline: Micros,
    /// Whether and where it may be attempted again.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// For deduplicated classes: how long repeats are discarded, from the first send that may have run.
    pub dedup_window: Micros,
}

/// A tenant's quota.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Requests a second within its quota, summed over all routers; none means no limit.
    pub allowance_per_s: Option<f64>,
}

/// How the endpoint list is learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes come only after [`Action::Subscribe`](crate::Action::Subscribe).
    #[cfg_attr(feature = "serde", serde(rename = "Ask"))]
    Poll,
}

/// How workers report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReporting {
    /// Not at all.
    Off,
    /// With their responses.
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
    /// How the endpoint list is learnt.
    pub discovery: Discovery,
    /// Without a subscription, the endpoint list must be polled at least this often.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask_in"))]
    pub max_poll_interval: Micros,
    /// Decode workers prefill a prompt by themselves when there is no state to pull.
    pub self_prefill: bool,
    /// A broken stream is resumed elsewhere, and a running one may be migrated.
    pub resume: bool,
    /// Reserved state must be taken or released within this span.
    #[cfg_attr(feature = "serde", serde(rename = "release"))]
    pub reservation_timeout: Micros,
    /// At most this many attempts for a request.
    pub max_attempts: u32,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that clients are given; zero: they are given none.
    pub max_retry_after: Micros,
    /// A worker that warms up falls over when sent this multiple of its present capacity ...
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
    /// The granularity of the clock.
    pub tick: Micros,
    /// Whether worker weights mean anything.
    pub weighted: bool,
    /// How workers report their load.
    #[cfg_attr(feature = "serde", serde(rename = "reports"))]
    pub load_reporting: LoadReporting,
}
