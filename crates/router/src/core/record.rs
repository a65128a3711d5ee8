//! What is told of a finished request: enough to find a cause.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use serde::Serialize;

/// Who ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// An engine answered to the end.
    Served,
    /// The module refused it.
    Refused,
    /// The module gave it up.
    Failed,
    /// The engine's stream broke after it had begun.
    Broken,
    /// The client left.
    ClientGone,
    /// The client took nothing for too long.
    ClientSlow,
    /// The router had to end before it.
    Stopped,
    /// The module moved the stream on.
    Moved,
    /// Turned away by a bound or check of the router, before the module heard of it.
    Turned,
    /// No final answer came from the module in time: the router's own backstop. An error of ours.
    Overdue,
}

impl Ended {
    /// As it is counted.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::ClientGone => "client_gone",
            Self::ClientSlow => "client_slow",
            Self::Stopped => "stopped",
            Self::Moved => "moved",
            Self::Turned => "turned",
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
    /// What the module knew of the worker.
    pub care: p::AttemptKind,
    /// From the request's arrival to its sending, µs.
    pub sent_us: u64,
    /// From its sending to its end, µs.
    pub took_us: u64,
    /// Prompt tokens that the worker found in its cache; 0 where it did not say.
    pub kept_tokens: u64,
    /// The load that the worker reported with its answer.
    pub report: Option<p::LoadReport>,
}

/// One finished request.
#[derive(Debug, Clone, Serialize)]
pub struct Finished {
    /// The router's id of it.
    pub id: String,
    /// Class.
    pub class: String,
    /// The client came back for the rest of a stream.
    pub came_back: bool,
    /// Tenant.
    pub tenant: Option<String>,
    /// The client's identity for it.
    pub identity: Option<String>,
    /// The conversation that it belongs to.
    pub session: Option<String>,
    /// The shared beginning of its prompt.
    pub prefix: Option<String>,
    /// Who ended it.
    pub ended: Ended,
    /// The module's condition, where it ended it.
    pub why: Option<p::RejectionReason>,
    /// In which phase: `waiting`, `reading`, `held`, `pulling`, `writing`, `streaming`.
    pub phase: &'static str,
    /// Since the list of workers last changed, µs; none: it has not in this life.
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
    /// By the engine's count; 0 where it was not told.
    pub prompt_tokens: u64,
    /// Of these, kept.
    pub kept_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

impl Finished {
    /// One that never reached the module.
    pub(crate) fn turned(id: String, now: Micros, reason: String) -> Self {
        Self {
            id,
            class: String::new(),
            came_back: false,
            tenant: None,
            identity: None,
            session: None,
            prefix: None,
            ended: Ended::Turned,
            why: None,
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

pub(crate) fn since(later: Micros, earlier: Micros) -> u64 {
    (later - earlier).0
}
