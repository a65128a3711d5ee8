//! Errors of the messages call.

use serde::{Deserialize, Serialize};

/// A request that is rejected before it is sent to any engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// HTTP status of the response.
    pub status: u16,
    /// Path of the invalid field.
    pub field: String,
    /// Cause, as a text for people.
    pub reason: String,
}

impl RequestError {
    /// Creates an error with status 400.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { status: 400, field: field.into(), reason: reason.into() }
    }
}

/// Kind of an [`ErrorBody`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is invalid, and a retry would be rejected too.
    Invalid,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The API key does not permit the request.
    Forbidden,
    /// The request was rejected for now. Nothing has run, so a retry is safe.
    Refused,
    /// The request failed. If `may_have_run` is set, the client should check for an effect before it retries.
    Failed,
    /// This router handles or has handled another request with the same idempotency key.
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
    /// Path of the request's field that caused the error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request may have had its effect.
    pub may_have_run: bool,
    /// Seconds after which the client should retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

impl ErrorBody {
    /// Encodes the body of an error response.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(&serde_json::json!({ "error": self })).unwrap_or_default()
    }
}
