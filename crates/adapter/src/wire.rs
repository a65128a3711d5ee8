//! The messages of the wire, as types. Nothing is decided here.
#![expect(missing_docs, reason = "fields and variants are named and explained on the wire's page")]

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// One line of input. Events are read one by one, so that unknown kinds can be passed over.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    pub at_time_s: f64,
    pub turn: u64,
    #[serde(borrow)]
    pub happened: Vec<&'a RawValue>,
}

/// What every event has.
#[derive(Debug, Deserialize)]
pub struct Head {
    pub kind: String,
    pub who: u64,
}

#[derive(Debug, Deserialize)]
pub struct Init {
    pub prng: u64,
    pub params: Params,
}

#[derive(Debug, Deserialize)]
pub struct Registry {
    pub mode: String,
    #[serde(default)]
    pub nodes_list: Vec<Node>,
}

#[derive(Debug, Deserialize)]
pub struct Node {
    pub worker: String,
    #[serde(default)]
    pub az: Option<String>,
    #[serde(default)]
    pub model: Option<String>,
    #[serde(default)]
    pub block: u64,
    pub lifecycle: String,
    #[serde(default)]
    pub heft: Option<f64>,
    #[serde(default)]
    pub last_start_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct JobIn {
    pub call: String,
    #[serde(default)]
    pub prompt_tokens: f64,
    #[serde(default)]
    pub output_cap: f64,
    pub qos: String,
    #[serde(default)]
    pub system_prompt: Option<Key>,
    #[serde(default)]
    pub realm: Option<Key>,
    pub client_deadline_s: f64,
    #[serde(default)]
    pub session_id: Option<Key>,
    #[serde(default)]
    pub came_back: bool,
}

/// A key as text; some are 0 where there is none.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Key {
    Text(String),
    None(serde::de::IgnoredAny),
}

impl Key {
    /// The text, unless it stands for none.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(t) if t != "0" && !t.is_empty() => Some(t),
            Self::Text(_) | Self::None(_) => None,
        }
    }
}

#[derive(Debug, Deserialize)]
pub struct Streaming {
    pub call: String,
    #[serde(default)]
    pub send_no: u32,
    #[serde(default)]
    pub elapsed_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct Verdict {
    pub call: String,
    #[serde(default)]
    pub send_no: u32,
    pub status: String,
    #[serde(default)]
    pub elapsed_s: f64,
    #[serde(default)]
    pub over: bool,
    #[serde(default)]
    pub detail: u64,
    #[serde(default)]
    pub stats: Option<LoadStats>,
}

#[derive(Debug, Default, Deserialize)]
pub struct LoadStats {
    #[serde(default)]
    #[serde(rename = "depth")]
    pub queued_requests: Option<f64>,
    #[serde(default)]
    #[serde(rename = "load_share")]
    pub slot_utilization: Option<f64>,
    #[serde(default)]
    #[serde(rename = "x0")]
    pub kv_utilization: Option<f64>,
    #[serde(default)]
    #[serde(rename = "x1")]
    pub waiting_kilotokens: Option<f64>,
}

#[derive(Debug, Deserialize)]
pub struct CancelledByClient {
    pub call: String,
}

#[derive(Debug, Deserialize)]
pub struct TimeoutFired {
    pub name: u64,
}

/// The settings; keys that are not named here are passed over.
#[derive(Debug, Deserialize)]
pub struct Params {
    pub balancers: u32,
    pub categories: Vec<Category>,
    #[serde(default)]
    pub dcs: Vec<String>,
    #[serde(default)]
    pub discovery: String,
    #[serde(default)]
    pub family_info: FamilyInfo,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub limits: Limits,
    #[serde(default)]
    pub reporting: Reporting,
    pub rules: Rules,
    #[serde(default)]
    pub tenants: Vec<TenantInfo>,
    #[serde(default)]
    pub tick_s: f64,
    #[serde(default)]
    pub weights: String,
}

#[derive(Debug, Deserialize)]
pub struct Category {
    pub name: String,
    pub goal_time_s: f64,
    pub deadline_s: f64,
    #[serde(default)]
    pub dedup_window_s: f64,
    #[serde(default)]
    pub group: String,
    pub repeat: String,
}

#[derive(Debug, Default, Deserialize)]
pub struct FamilyInfo {
    #[serde(default)]
    pub aim_us_per_1000_prompt_tokens: Vec<f64>,
    #[serde(default)]
    pub kv_tokens: Vec<f64>,
    #[serde(default)]
    pub release_s: f64,
    #[serde(default)]
    pub resume: bool,
    #[serde(default)]
    pub role_by_kind: Vec<String>,
    #[serde(default)]
    pub self_prefill: bool,
}

#[derive(Debug, Deserialize)]
pub struct Limits {
    #[serde(default)]
    pub cancel: bool,
    /// Engines close connections that are idle for so long, at the latest.
    #[serde(default)]
    pub conn_idle_s: Option<f64>,
    /// A connection that does not stand by then does not come up.
    #[serde(default)]
    pub connect_timeout_s: Option<f64>,
    pub max_attempts: u32,
    /// Open requests of one instance.
    #[serde(default)]
    pub max_open: Option<f64>,
    #[serde(default)]
    pub max_retry_after_s: f64,
    #[serde(default)]
    pub retry_after: bool,
}

#[derive(Debug, Default, Deserialize)]
pub struct Reporting {
    /// Names of the values that reports hold.
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub how: String,
}

#[derive(Debug, Deserialize)]
pub struct Rules {
    #[serde(default)]
    pub answer_slack_s: f64,
    pub cold_from: f64,
    pub cold_s: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    #[serde(default)]
    pub must_ask_in_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct TenantInfo {
    pub name: String,
    #[serde(default)]
    pub allowance_per_s: Option<f64>,
}

/// One line of output.
#[derive(Debug, Serialize)]
pub struct Reply {
    pub turn: u64,
    pub orders: Vec<Order>,
}

/// An action of one instance.
#[derive(Debug, Serialize)]
pub struct Order {
    pub who: u64,
    #[serde(flatten)]
    pub deed: Deed,
}

/// What it does.
#[derive(Debug, Serialize)]
#[serde(tag = "kind")]
pub enum Deed {
    Send {
        call: String,
        worker: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        give_up_after_s: Option<f64>,
    },
    Cancel {
        call: String,
        send_no: u32,
    },
    Decline {
        call: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        cool_down_s: Option<f64>,
    },
    DropRequest {
        call: String,
    },
    Transfer {
        call: String,
    },
    Unhold {
        call: String,
    },
    SetTimer {
        name: u64,
        in_s: f64,
    },
    Tail {
        enable: bool,
    },
}
