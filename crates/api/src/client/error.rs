//! Errors of the messages call.

use serde::{Deserialize, Serialize};

/// A call that is rejected before any engine has seen it: the field, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Status of the response.
    pub status: u16,
    /// Path of the field.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl RequestError {
    /// A refusal with status 400.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { status: 400, field: field.into(), reason: reason.into() }
    }
}

/// Kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The call is invalid; it would be rejected again.
    Invalid,
    /// No API key, or an unknown one.
    Unauthorized,
    /// The API key does not permit this.
    Forbidden,
    /// Rejected for now. Nothing ran, so a retry is safe.
    Refused,
    /// Failed. Where it may have run, the client should look it up before a retry.
    Failed,
    /// Another request with the same idempotency key is or was handled here.
    Duplicate,
}

/// An error as clients receive it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: ErrorKind,
    /// Description for people.
    pub reason: String,
    /// Field of the call that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request may have had its effect.
    pub may_have_run: bool,
    /// Seconds after which a retry is welcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

impl ErrorBody {
    /// The body of an error response.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(&serde_json::json!({ "error": self })).unwrap_or_default()
    }
}
