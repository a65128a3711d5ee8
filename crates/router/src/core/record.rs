//! The record of a finished request: enough to find a cause.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use serde::Serialize;

/// Who ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A worker answered to the end.
    Served,
    /// The policy rejected it.
    #[serde(rename = "refused")]
    Rejected,
    /// The policy gave it up.
    Failed,
    /// The worker's stream broke off.
    Broken,
    /// The client left.
    ClientGone,
    /// The client took nothing for too long.
    ClientSlow,
    /// The process had to end before it.
    Stopped,
    /// The policy had the stream migrated.
    #[serde(rename = "moved")]
    Migrated,
    /// Rejected by a bound or check of the router, before the policy was asked.
    #[serde(rename = "turned")]
    RejectedAtIntake,
    /// The policy did not end it in time, so the router did: a fault of ours.
    Overdue,
}

impl RequestOutcome {
    /// As it is counted.
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

/// One attempt.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// The worker.
    pub worker: String,
    /// `read`, `pull` or `whole`.
    pub stage: &'static str,
    /// How it ended.
    pub outcome: &'static str,
    /// What the policy knew of the worker.
    #[serde(rename = "care")]
    pub kind: p::AttemptKind,
    /// From the request's arrival to its sending, µs.
    pub sent_us: u64,
    /// From its sending to its end, µs.
    pub took_us: u64,
    /// Prompt tokens that the worker found in its cache; 0 where it named none.
    pub kept_tokens: u64,
    /// The load that the worker reported with its answer.
    pub report: Option<p::LoadReport>,
}

/// One finished request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// The router's id of it.
    pub id: String,
    /// Class.
    pub class: String,
    /// The client came back for the rest of a stream.
    pub came_back: bool,
    /// Tenant.
    pub tenant: Option<String>,
    /// The client's idempotency key.
    pub identity: Option<String>,
    /// The conversation that it belongs to.
    pub session: Option<String>,
    /// The shared prefix of its prompt.
    pub prefix: Option<String>,
    /// Who ended it.
    pub ended: RequestOutcome,
    /// The policy's reason, where it ended it.
    #[serde(rename = "why")]
    pub rejection_reason: Option<p::RejectionReason>,
    /// In which phase: `waiting`, `reading`, `held`, `pulling`, `writing`, `streaming`.
    pub phase: &'static str,
    /// Since the endpoint list last changed, µs; none: it has not since the start.
    pub list_age_us: Option<u64>,
    /// Requests that were open here when it was answered, this one included.
    pub open: usize,
    /// In words, where there is more to say.
    pub reason: String,
    /// Its attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// When it came, µs since 1970.
    pub arrived_us: u64,
    /// To the first token, µs.
    pub first_token_us: Option<u64>,
    /// To the final answer, µs.
    pub total_us: u64,
    /// Prompt tokens by our estimate.
    pub estimated_tokens: u64,
    /// By the worker's count; 0 where it named none.
    pub prompt_tokens: u64,
    /// Of these, cached.
    pub kept_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

impl RequestRecord {
    /// A request that the policy was never asked about.
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

/// Microseconds from one time to a later one.
pub(super) fn elapsed_us(later: Micros, earlier: Micros) -> u64 {
    (later - earlier).0
}
