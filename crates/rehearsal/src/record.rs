//! The recorded traffic: JSON lines, one event a line, in the order of time. The format is documented in
//! `docs/record.md`; its names are older than the ones used here and stay as they are.

mod file;

pub use self::file::{parse, text, write, Recorder};

use serde::{Deserialize, Serialize};

use crate::scenario::LinkScope;

/// A line of the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// µs since the scenario began.
    pub t: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Whether requests of a class may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// They are idempotent.
    #[serde(rename = "free")]
    Idempotent,
    /// Repeats within the cell and the deduplication window are discarded.
    #[serde(rename = "guarded")]
    Deduplicated,
    /// They may be executed once at most.
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

/// A request class, as the routers of the scenario are configured with it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Whether its requests may be executed more than once.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// How long repeats of deduplicated requests are discarded, µs.
    #[serde(rename = "window_us")]
    pub deduplication_window_us: u64,
    /// Latency objective of the first token, µs: this, and `latency_objective_per_1000_us` for each 1,000 prompt tokens.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: u64,
    /// See `latency_objective_us`.
    #[serde(rename = "aim_per_1000_us")]
    pub latency_objective_per_1000_us: u64,
    /// Objective of the time between tokens, µs.
    #[serde(rename = "token_aim_us")]
    pub token_objective_us: u64,
    /// Weight of an answer in time.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Clients give up after this, µs.
    pub deadline_us: u64,
}

/// The limits by which the rules are judged, µs where no unit is named.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleLimits {
    /// A final answer may come this long after the client's deadline.
    pub slack_us: u64,
    /// A reservation without an attempt in flight is used or released within this.
    pub release_us: u64,
    /// Nothing new reaches a draining or removed worker after this.
    pub grace_us: u64,
    /// A cold engine bears this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... in every window of this length.
    pub fall_us: u64,
    /// The share of its capacity that an engine has at a cold start.
    pub cold_from: f64,
    /// How long an engine warms up.
    pub cold_us: u64,
    /// What sockets and a busy machine may add to any of these times.
    pub noise_us: u64,
}

/// What an attempt at a worker is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Prefill, whose KV state is reserved for a decode.
    #[serde(rename = "read")]
    Prefill,
    /// Decode, with the KV state of an earlier prefill.
    #[serde(rename = "pull")]
    Decode,
    /// Prefill and decode.
    #[serde(rename = "whole")]
    Combined,
}

/// How an attempt ended at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// Answered to the end.
    Answered,
    /// Rejected; nothing was executed.
    #[serde(rename = "refused")]
    Rejected,
    /// There was no KV state to fetch; nothing was executed.
    NoState,
    /// Answered with an error.
    Error,
    /// The router closed the connection.
    Closed,
    /// The engine closed the connection, or its process died.
    Down,
}

/// How a reservation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseCause {
    /// A decode fetched the state.
    Pulled,
    /// A router released it.
    Released,
    /// The engine's own timeout.
    Expired,
    /// The process ended.
    Down,
}

/// The final answer to a client's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Complete.
    Served,
    /// Rejected: nothing was executed.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed.
    Failed,
    /// A stream that had begun broke off.
    Broken,
    /// Another request with this idempotency key is in flight or was answered.
    Duplicate,
    /// Not a valid request.
    Invalid,
}

/// An event of the recorded traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "snake_case")]
pub enum Event {
    /// The first line: the scenario.
    #[serde(rename = "day")]
    Scenario {
        /// Name.
        name: String,
        /// Seed.
        seed: u64,
        /// Names of the routers.
        routers: Vec<String>,
        /// Request classes.
        classes: Vec<Class>,
        /// Limits of the rules.
        #[serde(rename = "figures")]
        limits: RuleLimits,
    },
    /// An engine of the scenario.
    Engine {
        /// Its id.
        engine: String,
        /// `reader`, `writer` or `mixed`.
        role: String,
        /// Its cell.
        cell: u64,
        /// Requests a second that it can do when warm.
        capacity_per_s: f64,
    },
    /// An engine's process has started; cold, unless it is the beginning of the scenario.
    Start {
        /// Which.
        engine: String,
        /// A cold start.
        cold: bool,
    },
    /// An engine's process has ended.
    Down {
        /// Which.
        engine: String,
        /// It was overloaded while warming up.
        #[serde(rename = "fell")]
        overloaded: bool,
    },
    /// Discovery notified a router of an engine.
    #[serde(rename = "told")]
    Notified {
        /// Router.
        router: String,
        /// Engine.
        engine: String,
        /// `in`, `draining` or `out`.
        state: String,
        /// When the engine's process had started, as notified, in the time of this record.
        started: u64,
    },
    /// An attempt has arrived at an engine.
    #[serde(rename = "arrive")]
    AttemptArrived {
        /// Number of the attempt.
        attempt: u64,
        /// Engine.
        engine: String,
        /// Router.
        router: String,
        /// The router's id of the request.
        request: String,
        /// The client's idempotency key.
        identity: String,
        /// Class.
        class: String,
        /// What for.
        stage: Stage,
        /// The timeout that the router passes on, µs; none where it passes on none.
        #[serde(rename = "told_us", default, skip_serializing_if = "Option::is_none")]
        timeout_us: Option<u64>,
    },
    /// The attempt has had its effect.
    #[serde(rename = "run")]
    AttemptRan {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The attempt has ended at its engine.
    #[serde(rename = "end")]
    AttemptEnded {
        /// Number of the attempt.
        attempt: u64,
        /// How.
        how: AttemptEnd,
    },
    /// What an ended attempt did, by its engine's own count; no line if it did nothing.
    #[serde(rename = "work")]
    AttemptWork {
        /// Number of the attempt.
        attempt: u64,
        /// Engine.
        engine: String,
        /// The router's id of the request.
        request: String,
        /// The router's number of the attempt.
        number: u32,
        /// What for.
        stage: Stage,
        /// Prompt tokens.
        prompt: u64,
        /// Of these, found in the cache or fetched.
        #[serde(rename = "kept")]
        cached: u64,
        /// Tokens generated.
        output: u64,
    },
    /// A prefill engine reserves KV state.
    #[serde(rename = "hold")]
    Reserved {
        /// Engine.
        engine: String,
        /// Request.
        request: String,
    },
    /// A reservation has ended.
    #[serde(rename = "free")]
    Released {
        /// Engine.
        engine: String,
        /// Request.
        request: String,
        /// Why.
        how: ReleaseCause,
    },
    /// A client has sent a complete request.
    #[serde(rename = "ask")]
    Request {
        /// Number of the client's attempt.
        #[serde(rename = "try")]
        number: u64,
        /// Idempotency key, the same for all attempts of one request.
        identity: String,
        /// Router.
        router: String,
        /// Class.
        class: String,
        /// Tenant; empty where a scenario has one tenant.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        tenant: String,
        /// Prompt tokens.
        prompt: u64,
        /// When the client gives this attempt up.
        deadline: u64,
    },
    /// The first token of an answer reached the client.
    #[serde(rename = "first")]
    FirstToken {
        /// Number of the client's attempt.
        #[serde(rename = "try")]
        number: u64,
    },
    /// A final answer reached the client. A second one for an attempt breaks a rule.
    Answer {
        /// Number of the client's attempt.
        #[serde(rename = "try")]
        number: u64,
        /// Which.
        how: Answer,
        /// Whether the answer says that the request may have been executed.
        may_have_run: bool,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// The client closed its connection.
    #[serde(rename = "leave")]
    ClientLeft {
        /// Number of the client's attempt.
        #[serde(rename = "try")]
        number: u64,
    },
    /// The connection ended without a final answer.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// Number of the client's attempt.
        #[serde(rename = "try")]
        number: u64,
    },
    /// A router could not be reached: the connection was refused, or ended before anything was sent on it.
    #[serde(rename = "unreached")]
    Unreachable {
        /// Which.
        router: String,
    },
    /// An engine accepted a connection.
    Connect {
        /// Which.
        engine: String,
    },
    /// A router requested the endpoint list from discovery.
    #[serde(rename = "listed")]
    EndpointsRequested {
        /// Which router.
        router: String,
    },
    /// Utilisation of the engines of a role in the second that ends.
    #[serde(rename = "use")]
    Utilisation {
        /// `reader`, `writer` or `mixed`.
        role: String,
        /// The part of their present capacity in use: time of prefill engines, slots of the others.
        used: f64,
    },
    /// A router's process was started or killed.
    Router {
        /// Which.
        router: String,
        /// It runs from now on.
        up: bool,
    },
    /// A fault begins or ends.
    Fault {
        /// Name.
        name: String,
        /// The engines or routers that it strikes.
        on: String,
        /// Of a link fault: whose links.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        links: Option<LinkScope>,
        /// It begins.
        begins: bool,
    },
}
