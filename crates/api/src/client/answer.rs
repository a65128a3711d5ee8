//! Answers of the messages call: streamed events and complete answers.

use serde::{Deserialize, Serialize};

use super::error::ErrorBody;

/// Tokens that a request has used, as the engines counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the prefill worker found in its cache.
    #[serde(rename = "kept_tokens")]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// An event of a streamed answer. The order is: one `Opened`, any number of `Delta`s, then one `Closed` or `Broken`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event<'a> {
    /// Start of the answer.
    Opened {
        /// Id of the request.
        id: &'a str,
        /// Name of the model.
        model: &'a str,
    },
    /// Next part of the answer.
    Delta {
        /// Text to append.
        text: &'a str,
    },
    /// End of a complete answer.
    Closed {
        /// Reason for which the engine stopped.
        stop_reason: &'a str,
        /// Tokens used.
        usage: Usage,
    },
    /// End of an incomplete answer.
    Broken {
        /// Error that interrupted the answer.
        error: ErrorBody,
    },
}

impl Event<'_> {
    /// Returns the event's name in the stream.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Opened { .. } => "message.opened",
            Self::Delta { .. } => "message.delta",
            Self::Closed { .. } => "message.closed",
            Self::Broken { .. } => "message.broken",
        }
    }

    /// Encodes the event's data as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A complete answer that is not streamed.
#[derive(Debug, Serialize)]
pub struct CompleteAnswer<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Text of the answer.
    pub content: &'a str,
    /// Reason for which the engine stopped.
    pub stop_reason: &'a str,
    /// Tokens used.
    pub usage: Usage,
}
