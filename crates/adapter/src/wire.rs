//! The messages of the wire, as types. Their fields keep the names of the wire, except for a few that `rename`
//! attributes map to the terms of the decision module. Times are in seconds on the simulator's clock.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// One line of input. Its events are parsed one by one, so that unknown kinds can be ignored.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The time of all its events.
    pub at_time_s: f64,
    /// The number of the batch, repeated in its reply.
    pub turn: u64,
    /// The events, in order.
    #[serde(borrow)]
    #[serde(rename = "happened")]
    pub events: Vec<&'a RawValue>,
}

/// The fields that every event has.
#[derive(Debug, Deserialize)]
pub struct EventHeader {
    /// The kind of the message.
    pub kind: String,
    /// The number of the router instance that the event is for.
    #[serde(rename = "who")]
    pub instance: u64,
}

/// Starts an instance.
#[derive(Debug, Deserialize)]
pub struct Init {
    /// The seed of the instance's random numbers.
    #[serde(rename = "prng")]
    pub seed: u64,
    /// The settings.
    pub params: Params,
}

/// An update of the endpoint list.
#[derive(Debug, Deserialize)]
pub struct Registry {
    /// `snapshot`, `diff`, `disk` (the last known list) or `error`.
    pub mode: String,
    /// The entries.
    #[serde(default)]
    pub nodes_list: Vec<Node>,
}

/// A worker in the endpoint list.
#[derive(Debug, Deserialize)]
pub struct Node {
    /// The id of the worker.
    pub worker: String,
    /// The name of its zone.
    #[serde(default)]
    pub az: Option<String>,
    /// The name of its kind, one of [`Params::kinds`].
    #[serde(default)]
    pub model: Option<String>,
    /// The number of its cell.
    #[serde(default)]
    pub block: u64,
    /// `IN` (active), `LAME` (draining) or `OUT` (removed).
    pub lifecycle: String,
    /// Weight of the worker; 1 if absent.
    #[serde(default)]
    pub heft: Option<f64>,
    /// When it started; 0 if unknown.
    #[serde(default)]
    pub last_start_s: f64,
}

/// A new request.
#[derive(Debug, Deserialize)]
pub struct JobIn {
    /// The id of the request.
    pub call: String,
    /// The length of the prompt.
    #[serde(default)]
    pub prompt_tokens: f64,
    /// The longest output allowed, in tokens.
    #[serde(default)]
    pub output_cap: f64,
    /// The name of its class, one of [`Params::categories`].
    pub qos: String,
    /// The prefix that it shares with other requests.
    #[serde(default)]
    pub system_prompt: Option<Key>,
    /// The name of its tenant.
    #[serde(default)]
    pub realm: Option<Key>,
    /// Time at which the client gives up.
    pub client_deadline_s: f64,
    /// Session of the request.
    #[serde(default)]
    pub session_id: Option<Key>,
    /// The client resumes a stream that broke.
    #[serde(default)]
    pub came_back: bool,
}

/// An optional key: some messages send the number 0 where there is none.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Key {
    /// The key; an empty text or `"0"` stands for none.
    Text(String),
    /// Any other value stands for none.
    None(serde::de::IgnoredAny),
}

impl Key {
    /// The key, or `None` if the value stands for none.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(t) if t != "0" && !t.is_empty() => Some(t),
            Self::Text(_) | Self::None(_) => None,
        }
    }
}

/// A response stream has begun.
#[derive(Debug, Deserialize)]
pub struct Streaming {
    /// The id of the request.
    pub call: String,
    /// The number of the attempt, from 0.
    #[serde(default)]
    pub send_no: u32,
    /// Time since the attempt was sent.
    #[serde(default)]
    pub elapsed_s: f64,
}

/// An attempt has ended.
#[derive(Debug, Deserialize)]
pub struct Verdict {
    /// The id of the request.
    pub call: String,
    /// The number of the attempt, from 0.
    #[serde(default)]
    pub send_no: u32,
    /// How it ended, as [`translate::attempt_outcome`](crate::translate::attempt_outcome) maps it.
    pub status: String,
    /// Time since the attempt was sent.
    #[serde(default)]
    pub elapsed_s: f64,
    /// The request is over for the client.
    #[serde(default)]
    pub over: bool,
    /// After `served` and `parsed`, the prompt tokens found in the worker's cache. After `turned_away`, 1 if there was
    /// no state to pull.
    #[serde(default)]
    pub detail: u64,
    /// The load report of the worker.
    #[serde(default)]
    pub stats: Option<LoadStats>,
}

/// A worker's load report; see [`chalkyard_policy::LoadReport`].
#[derive(Debug, Default, Deserialize)]
pub struct LoadStats {
    /// Requests that wait at the worker.
    #[serde(default)]
    #[serde(rename = "depth")]
    pub queued_requests: Option<f64>,
    /// The share of its slots in use.
    #[serde(default)]
    #[serde(rename = "load_share")]
    pub slot_utilization: Option<f64>,
    /// The share of its KV memory in use.
    #[serde(default)]
    #[serde(rename = "x0")]
    pub kv_utilization: Option<f64>,
    /// Prompt tokens that wait to be prefilled or pulled, in thousands.
    #[serde(default)]
    #[serde(rename = "x1")]
    pub waiting_kilotokens: Option<f64>,
}

/// The client has disconnected.
#[derive(Debug, Deserialize)]
pub struct CancelledByClient {
    /// The id of the request.
    pub call: String,
}

/// A timer has fired.
#[derive(Debug, Deserialize)]
pub struct TimeoutFired {
    /// The id of the timer.
    pub name: u64,
}

/// The settings. Keys that are not listed here are ignored.
#[derive(Debug, Deserialize)]
pub struct Params {
    /// The number of routers.
    pub balancers: u32,
    /// The classes of requests.
    pub categories: Vec<Category>,
    /// The names of the zones.
    #[serde(default)]
    pub dcs: Vec<String>,
    /// `ask` if the endpoint list has to be polled; otherwise it is pushed.
    #[serde(default)]
    pub discovery: String,
    /// Settings of prefill and decode workers.
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// The names of the kinds of workers.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// What a router may do, and limits on it.
    pub limits: Limits,
    /// How workers report their load.
    #[serde(default)]
    pub reporting: Reporting,
    /// The thresholds of the rules.
    pub rules: Rules,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantInfo>,
    /// The granularity of the clock.
    #[serde(default)]
    pub tick_s: f64,
    /// Empty or `off` if the weights of workers have no meaning.
    #[serde(default)]
    pub weights: String,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub struct Category {
    /// Name of the class.
    pub name: String,
    /// The latency objective for the first token.
    pub goal_time_s: f64,
    /// The longest that a client waits, retries included.
    pub deadline_s: f64,
    /// For `guarded` classes: how long repeats are discarded.
    #[serde(default)]
    pub dedup_window_s: f64,
    /// For `guarded` classes: repeats are discarded within a `zone`, a `cell`, or else the whole fleet.
    #[serde(default)]
    pub group: String,
    /// `free` (idempotent), `guarded` (deduplicated) or `single_shot` (non-idempotent).
    pub repeat: String,
}

/// Settings of prefill and decode workers.
#[derive(Debug, Default, Deserialize)]
pub struct FamilyInfo {
    /// By class: added to the latency objective for each 1,000 prompt tokens, in microseconds.
    #[serde(default)]
    pub aim_us_per_1000_prompt_tokens: Vec<f64>,
    /// By kind of worker: KV cache capacity in tokens.
    #[serde(default)]
    pub kv_tokens: Vec<f64>,
    /// Reserved state has to be pulled or released within this time.
    #[serde(default)]
    pub release_s: f64,
    /// Broken streams are resumed elsewhere.
    #[serde(default)]
    pub resume: bool,
    /// By kind of worker: `read` (prefill), `write` (decode) or `both` (combined, also where the list is too short).
    #[serde(default)]
    pub role_by_kind: Vec<String>,
    /// Decode workers prefill a prompt by themselves when there is no state to pull.
    #[serde(default)]
    pub self_prefill: bool,
}

/// What a router may do, and limits on it.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    #[serde(default)]
    pub cancel: bool,
    /// Workers close a connection that has been idle for this long, at the latest.
    #[serde(default)]
    pub conn_idle_s: Option<f64>,
    /// A connection that is not established within this time fails.
    #[serde(default)]
    pub connect_timeout_s: Option<f64>,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The most open requests of one instance.
    #[serde(default)]
    pub max_open: Option<f64>,
    /// The longest `retry_after` of a rejection.
    #[serde(default)]
    pub max_retry_after_s: f64,
    /// Whether a rejection may tell the client when to retry.
    #[serde(default)]
    pub retry_after: bool,
}

/// How workers report their load.
#[derive(Debug, Default, Deserialize)]
pub struct Reporting {
    /// The names of the values in a report.
    #[serde(default)]
    pub fields: Vec<String>,
    /// `inline` if responses carry load reports.
    #[serde(default)]
    pub how: String,
}

/// The thresholds of the rules.
#[derive(Debug, Deserialize)]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    #[serde(default)]
    pub answer_slack_s: f64,
    /// The share of its capacity that a worker has at least when it starts.
    pub cold_from: f64,
    /// The duration of slow start; the worker has its full capacity after it.
    pub cold_s: f64,
    /// A worker in slow start fails when it is sent this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this time.
    pub fall_s: f64,
    /// The longest interval between polls of the endpoint list.
    #[serde(default)]
    pub must_ask_in_s: f64,
}

/// A tenant.
#[derive(Debug, Deserialize)]
pub struct TenantInfo {
    /// Name of the tenant.
    pub name: String,
    /// Requests a second within its quota, over all routers; no limit if absent.
    #[serde(default)]
    pub allowance_per_s: Option<f64>,
}

/// One line of output, the reply to a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The number of the batch.
    pub turn: u64,
    /// The actions of all instances, in order.
    pub orders: Vec<Order>,
}

/// An action of one instance.
#[derive(Debug, Serialize)]
pub struct Order {
    /// The number of the instance.
    #[serde(rename = "who")]
    pub instance: u64,
    /// The action.
    #[serde(flatten)]
    pub action: Action,
}

/// An action, by the names of the wire.
#[derive(Debug, Serialize)]
#[serde(tag = "kind")]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// The id of the request.
        call: String,
        /// The id of the worker.
        worker: String,
        /// The timeout of the attempt; if absent, the client's deadline.
        #[serde(skip_serializing_if = "Option::is_none")]
        give_up_after_s: Option<f64>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The id of the request.
        call: String,
        /// The number of the attempt.
        send_no: u32,
    },
    /// Reject a request; a retry by the client does no harm.
    Decline {
        /// The id of the request.
        call: String,
        /// When the client may retry.
        #[serde(skip_serializing_if = "Option::is_none")]
        cool_down_s: Option<f64>,
    },
    /// Fail a request.
    DropRequest {
        /// The id of the request.
        call: String,
    },
    /// Migrate a stream to another worker.
    Transfer {
        /// The id of the request.
        call: String,
    },
    /// Release the state that is reserved for a request.
    Unhold {
        /// The id of the request.
        call: String,
    },
    /// Set a timer.
    SetTimer {
        /// The id of the timer.
        name: u64,
        /// The time until it fires.
        in_s: f64,
    },
    /// Subscribe to changes of the endpoint list.
    Tail {
        /// Always true.
        enable: bool,
    },
}
