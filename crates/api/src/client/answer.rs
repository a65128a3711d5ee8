//! Answers of the messages call: streamed events and complete answers.

use serde::{Deserialize, Serialize};

use super::error::ErrorBody;

/// Tokens that a request has used, as the engines counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Of these, cached tokens that the prefill worker found.
    #[serde(rename = "kept_tokens")]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// An event of a streamed answer. In order: one `Opened`, any `Delta`s, then one `Closed` or one `Broken`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event<'a> {
    /// The answer begins.
    Opened {
        /// Id of the request.
        id: &'a str,
        /// The model.
        model: &'a str,
    },
    /// Text of the answer.
    Delta {
        /// The text.
        text: &'a str,
    },
    /// The end marker: the answer is complete.
    Closed {
        /// Why the engine stopped.
        stop_reason: &'a str,
        /// Tokens used.
        usage: Usage,
    },
    /// The stream ends here, and the answer is incomplete.
    Broken {
        /// What happened.
        error: ErrorBody,
    },
}

impl Event<'_> {
    /// Name of the event on the stream.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Opened { .. } => "message.opened",
            Self::Delta { .. } => "message.delta",
            Self::Closed { .. } => "message.closed",
            Self::Broken { .. } => "message.broken",
        }
    }

    /// Its data as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A complete answer that is not streamed.
#[derive(Debug, Serialize)]
pub struct CompleteAnswer<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// The model.
    pub model: &'a str,
    /// The text.
    pub content: &'a str,
    /// Why the engine stopped.
    pub stop_reason: &'a str,
    /// Tokens used.
    pub usage: Usage,
}
