//! Record of a finished request, with enough detail to find a cause.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use serde::Serialize;

/// Outcome of a request: who ended it, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A worker answered completely.
    Served,
    /// The policy rejected the request.
    #[serde(rename = "refused")]
    Rejected,
    /// The policy gave the request up.
    Failed,
    /// The worker's stream broke off.
    Broken,
    /// The client left.
    ClientGone,
    /// The client read nothing for too long.
    ClientSlow,
    /// The process ended before the request.
    Stopped,
    /// The policy had the stream migrated.
    #[serde(rename = "moved")]
    Migrated,
    /// A bound or check of the router rejected the request before the policy was asked.
    #[serde(rename = "turned")]
    RejectedAtIntake,
    /// The policy did not end the request in time, so the router did, which indicates a defect of the router.
    Overdue,
}

impl RequestOutcome {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::ClientGone => "client_gone",
            Self::ClientSlow => "client_slow",
            Self::Stopped => "stopped",
            Self::Migrated => "moved",
            Self::RejectedAtIntake => "turned",
            Self::Overdue => "overdue",
        }
    }
}

/// Record of one attempt.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Worker id.
    pub worker: String,
    /// `read`, `pull` or `whole`.
    pub stage: &'static str,
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Kind of the attempt: what the policy knew of the worker.
    #[serde(rename = "care")]
    pub kind: p::AttemptKind,
    /// Time from the request's arrival to the attempt's start, µs.
    pub sent_us: u64,
    /// Time from the attempt's start to its end, µs.
    pub took_us: u64,
    /// Prompt tokens that the worker found in its cache; 0 if it reported none.
    pub kept_tokens: u64,
    /// Load that the worker reported with its answer.
    pub report: Option<p::LoadReport>,
}

/// Record of one finished request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Id that the router gave the request.
    pub id: String,
    /// Class name.
    pub class: String,
    /// Whether the client returned for the rest of a stream.
    pub came_back: bool,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Idempotency key that the client sent.
    pub identity: Option<String>,
    /// Conversation that the request belongs to.
    pub session: Option<String>,
    /// Shared prefix of the prompt.
    pub prefix: Option<String>,
    /// Outcome of the request.
    pub ended: RequestOutcome,
    /// Reason of the policy, if the policy ended the request.
    #[serde(rename = "why")]
    pub rejection_reason: Option<p::RejectionReason>,
    /// Phase at the end: `waiting`, `reading`, `held`, `pulling`, `writing` or `streaming`; `unheard` if the policy
    /// was never asked.
    pub phase: &'static str,
    /// Time since the endpoint list last changed, µs; `None` if it has not changed since the start.
    pub list_age_us: Option<u64>,
    /// Number of requests that were open when this one was answered, this one included.
    pub open: usize,
    /// Further explanation, if there is any.
    pub reason: String,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Time of arrival, µs since 1970.
    pub arrived_us: u64,
    /// Time from arrival to the first token, µs.
    pub first_token_us: Option<u64>,
    /// Time from arrival to the final answer, µs.
    pub total_us: u64,
    /// Prompt tokens by the router's estimate.
    pub estimated_tokens: u64,
    /// Prompt tokens by the worker's count; 0 if it reported none.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub kept_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

impl RequestRecord {
    /// Record of a request that was rejected before the policy was asked.
    pub(super) fn rejected_at_intake(id: String, now: Micros, reason: String) -> Self {
        Self {
            id,
            class: String::new(),
            came_back: false,
            tenant: None,
            identity: None,
            session: None,
            prefix: None,
            ended: RequestOutcome::RejectedAtIntake,
            rejection_reason: None,
            phase: "unheard",
            list_age_us: None,
            open: 0,
            reason,
            attempts: Vec::new(),
            arrived_us: now.0,
            first_token_us: None,
            total_us: 0,
            estimated_tokens: 0,
            prompt_tokens: 0,
            kept_tokens: 0,
            output_tokens: 0,
        }
    }
}

/// Time from `earlier` to `later`, µs.
pub(super) fn elapsed_us(later: Micros, earlier: Micros) -> u64 {
    (later - earlier).0
}
