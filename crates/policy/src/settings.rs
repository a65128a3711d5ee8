//! Settings of a site that a router needs at startup.

use crate::time::Micros;

/// Rule that states whether and where a request of a class may be attempted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// Repeating the request is harmless.
    #[cfg_attr(feature = "serde", serde(rename = "Free"))]
    Idempotent,
    /// Workers in a given scope discard repeats for a limited time.
    #[cfg_attr(feature = "serde", serde(rename = "Guarded"))]
    Deduplicated(DeduplicationScope),
    /// The request must never run twice.
    #[cfg_attr(feature = "serde", serde(rename = "SingleShot"))]
    NonIdempotent,
}

/// Set of workers that discard repeats of a deduplicated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// Workers in the zone of the first attempt.
    Zone,
    /// Workers in the cell of the first attempt.
    Cell,
}

/// Settings of a request class.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Time to the first token below which a request earns the full priority weight.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// Extension of the latency objective for each 1,000 prompt tokens.
    #[cfg_attr(feature = "serde", serde(rename = "aim_per_1000_tokens"))]
    pub latency_objective_per_1000_tokens: Micros,
    /// Total time that a client waits, including the client's own retries.
    pub deadline: Micros,
    /// Rule for repeated attempts.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// Duration for which workers discard repeats of a deduplicated request, measured from the first send
    /// that may have run.
    pub dedup_window: Micros,
}

/// Quota of a tenant.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tenant {
    /// Requests per second within the quota, summed over all routers. `None` means no limit.
    pub allowance_per_s: Option<f64>,
}

/// Method by which the router learns about changes of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Discovery {
    /// Discovery pushes changes.
    Push,
    /// Discovery sends changes only after [`Action::Subscribe`](crate::Action::Subscribe).
    #[cfg_attr(feature = "serde", serde(rename = "Ask"))]
    Poll,
}

/// Method by which workers report load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReporting {
    /// Workers do not report load.
    Off,
    /// Workers report load in responses.
    #[cfg_attr(feature = "serde", serde(rename = "InAnswers"))]
    InResponses,
}

/// Settings of a site.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Number of routers, including this router.
    pub routers: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants. May be empty.
    pub tenants: Vec<Tenant>,
    /// Method by which the router learns about changes of the endpoint list.
    pub discovery: Discovery,
    /// Longest interval between polls of the endpoint list when there is no subscription.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask_in"))]
    pub max_poll_interval: Micros,
    /// Set if decode workers can prefill a prompt when there is no prefilled state to pull.
    pub self_prefill: bool,
    /// Set if a broken stream is resumed on another worker and a running stream may be migrated.
    pub resume: bool,
    /// Time within which reserved state must be pulled or released.
    #[cfg_attr(feature = "serde", serde(rename = "release"))]
    pub reservation_timeout: Micros,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Set if the router may cancel an attempt.
    pub may_cancel: bool,
    /// Longest `Retry-After` sent to clients. Zero means that no `Retry-After` is sent.
    pub max_retry_after: Micros,
    /// Multiple of its current capacity at which a warming worker becomes overloaded if the load lasts for
    /// `overload_window`.
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// Time for which a load of `overload_multiple` must last to overload a warming worker.
    #[cfg_attr(feature = "serde", serde(rename = "fall_after"))]
    pub overload_window: Micros,
    /// Share of full capacity that a worker has at least when it starts.
    #[cfg_attr(feature = "serde", serde(rename = "cold_from"))]
    pub slow_start_initial_share: f64,
    /// Time after its start by which a worker has reached full capacity.
    #[cfg_attr(feature = "serde", serde(rename = "cold_for"))]
    pub slow_start_duration: Micros,
    /// Time after the client's deadline during which a final answer still counts.
    pub answer_slack: Micros,
    /// Granularity of the clock.
    pub tick: Micros,
    /// Set if the weights of workers are meaningful.
    pub weighted: bool,
    /// Method by which workers report load.
    #[cfg_attr(feature = "serde", serde(rename = "reports"))]
    pub load_reporting: LoadReporting,
}
