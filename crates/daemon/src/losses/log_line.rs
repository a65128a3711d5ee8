//! The fields of a router's log line that `losses` reads.

use serde::Deserialize;

/// A log line of any target; fields of other targets have their defaults.
#[derive(Deserialize)]
pub struct Line {
    pub target: String,
    /// How the request ended.
    #[serde(default)]
    pub ended: String,
    /// Why the decision module rejected the request or gave it up.
    #[serde(rename = "why")]
    pub rejection_reason: Option<String>,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub came_back: bool,
    /// Explanation of the end, for people.
    #[serde(default, rename = "reason")]
    pub explanation: String,
    /// The attempts, as JSON.
    #[serde(default)]
    pub attempts: String,
    #[serde(default)]
    pub arrived_us: u64,
    #[serde(default)]
    pub total_us: u64,
    pub first_token_us: Option<u64>,
    pub list_age_us: Option<u64>,
    #[serde(default)]
    pub open: u64,
    /// The counts of a second, as JSON.
    pub tally: Option<String>,
}

/// One attempt of a request.
#[derive(Deserialize)]
pub struct Attempt {
    pub stage: String,
    pub outcome: String,
    /// Kind of attempt, by the state of the worker.
    #[serde(rename = "care")]
    pub kind: String,
    pub took_us: u64,
}
