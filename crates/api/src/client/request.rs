//! The request of the messages call, validated field by field.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::error::RequestError;
use super::prompt;
use crate::tokens;

/// Limits of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum number of messages.
    pub messages: usize,
    /// Maximum estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum tokens of the answer; also the default if the request has no `max_tokens`.
    pub max_tokens: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { messages: 1_000, prompt_tokens: 128_000, max_tokens: 4_096 }
    }
}

/// Maximum length of a name that a client chooses: a session, class, idempotency key or model.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of stop sequences of one request.
const MAX_STOP_SEQUENCES: usize = 4;
/// Number of hexadecimal digits in the hash of a prefix.
const PREFIX_HASH_DIGITS: usize = 32;

/// The author of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageRole {
    /// The client.
    User,
    /// The model, in an earlier answer.
    Assistant,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum Content {
    Plain(String),
    Blocks(Vec<Block>),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase", deny_unknown_fields)]
pub(super) enum Block {
    Text { text: String },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawMessage {
    pub role: MessageRole,
    pub content: Content,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawMetadata {
    class: Option<String>,
    session: Option<String>,
    deadline_ms: Option<u64>,
    retry: bool,
    #[serde(rename = "came_back")]
    resumed: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRequest {
    model: String,
    #[serde(default)]
    system: Option<String>,
    messages: Vec<RawMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    metadata: RawMetadata,
    #[serde(default)]
    temperature: Option<f64>,
    #[serde(default)]
    top_p: Option<f64>,
    #[serde(default)]
    stop_sequences: Vec<String>,
}

/// Sampling parameters, forwarded to the engine unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Sampling {
    /// Softmax temperature, 0 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Nucleus sampling probability, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Stop sequences, at most four.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
}

/// A validated request.
#[derive(Debug, Clone)]
pub struct MessagesRequest {
    /// Name of the model.
    pub model: String,
    /// The complete prompt as engines receive it: a JSON string, built once for all attempts.
    pub prompt: Box<RawValue>,
    /// Hash and estimated tokens of the system text, a prefix that sessions may share.
    pub prefix: Option<(String, u64)>,
    /// Estimated tokens of the complete prompt.
    pub prompt_tokens: u64,
    /// Maximum tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Name of the class; `None` for the default class.
    pub class: Option<String>,
    /// Name of the session.
    pub session: Option<String>,
    /// Time for which the client waits for this attempt, in ms.
    pub deadline_ms: Option<u64>,
    /// Whether the client retries an earlier request.
    pub retry: bool,
    /// Whether the client resumes after a stream that was cut off.
    pub resumed: bool,
    /// Sampling parameters.
    pub sampling: Sampling,
}

/// Whether a name that a client chose is valid: 1 to [`MAX_NAME_BYTES`] visible ASCII characters without quotes.
pub fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"')
}

fn check_name(field: &str, value: Option<&str>) -> Result<(), RequestError> {
    match value {
        Some(name) if !is_valid_name(name) => Err(RequestError::new(
            field,
            format!("must be 1 to {MAX_NAME_BYTES} visible ASCII characters without quotes"),
        )),
        _ => Ok(()),
    }
}

/// Parses the value of an `Idempotency-Key` header: a quoted string, as in the IETF draft, or an unquoted one.
///
/// # Errors
/// The key is not a valid name.
pub fn parse_idempotency_key(header: &str) -> Result<String, RequestError> {
    let unquoted = header.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let key = unquoted.unwrap_or(header).to_owned();
    check_name("Idempotency-Key", Some(&key))?;
    Ok(key)
}

impl MessagesRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    /// The first invalid field, with the cause.
    pub fn parse(body: &[u8], limits: &RequestLimits) -> Result<Self, RequestError> {
        let raw = RawRequest::parse(body)?;
        raw.check(limits)?;
        let (prompt, prompt_tokens) = prompt::build(raw.system.as_deref(), &raw.messages)
            .map_err(|e| RequestError::new("messages", e.to_string()))?;
        if prompt_tokens > limits.prompt_tokens {
            let reason = format!("about {prompt_tokens} prompt tokens, over {}", limits.prompt_tokens);
            return Err(RequestError { status: 413, field: "messages".into(), reason });
        }
        Ok(Self {
            prefix: raw.prefix(),
            max_tokens: raw.max_tokens(limits),
            model: raw.model,
            prompt,
            prompt_tokens,
            stream: raw.stream,
            class: raw.metadata.class,
            session: raw.metadata.session,
            deadline_ms: raw.metadata.deadline_ms,
            retry: raw.metadata.retry,
            resumed: raw.metadata.resumed,
            sampling: Sampling { temperature: raw.temperature, top_p: raw.top_p, stop: raw.stop_sequences },
        })
    }
}

impl RawRequest {
    fn parse(body: &[u8]) -> Result<Self, RequestError> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let raw = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let path = e.path().to_string();
            // The body as a whole is malformed, not one of its fields.
            let field = if path == "." || path == "?" { "body".into() } else { path };
            RequestError::new(field, e.into_inner().to_string())
        })?;
        json.end().map_err(|e| RequestError::new("body", e.to_string()))?;
        Ok(raw)
    }

    /// Checks the constraints that the JSON types do not express.
    fn check(&self, limits: &RequestLimits) -> Result<(), RequestError> {
        check_name("model", Some(&self.model))?;
        check_name("metadata.class", self.metadata.class.as_deref())?;
        check_name("metadata.session", self.metadata.session.as_deref())?;
        self.check_messages(limits)?;
        if !(1..=limits.max_tokens).contains(&self.max_tokens(limits)) {
            return Err(RequestError::new("max_tokens", format!("must be 1 to {}", limits.max_tokens)));
        }
        if self.metadata.deadline_ms == Some(0) {
            return Err(RequestError::new("metadata.deadline_ms", "must be at least 1"));
        }
        self.check_sampling()
    }

    fn check_messages(&self, limits: &RequestLimits) -> Result<(), RequestError> {
        if !(1..=limits.messages).contains(&self.messages.len()) {
            return Err(RequestError::new("messages", format!("must be 1 to {} messages", limits.messages)));
        }
        if self.messages.last().is_some_and(|message| message.role != MessageRole::User) {
            let last = self.messages.len() - 1;
            return Err(RequestError::new(
                format!("messages[{last}].role"),
                "the last message must be the user's",
            ));
        }
        Ok(())
    }

    fn check_sampling(&self) -> Result<(), RequestError> {
        if self.temperature.is_some_and(|t| !(0.0..=2.0).contains(&t)) {
            return Err(RequestError::new("temperature", "must be 0 to 2"));
        }
        if self.top_p.is_some_and(|p| !(0.0..=1.0).contains(&p)) {
            return Err(RequestError::new("top_p", "must be 0 to 1"));
        }
        let is_stop_valid = |stop: &String| (1..=MAX_NAME_BYTES).contains(&stop.len());
        if self.stop_sequences.len() > MAX_STOP_SEQUENCES || !self.stop_sequences.iter().all(is_stop_valid) {
            return Err(RequestError::new("stop_sequences", "must be at most 4 texts of 1 to 128 bytes"));
        }
        Ok(())
    }

    fn max_tokens(&self, limits: &RequestLimits) -> u64 {
        self.max_tokens.unwrap_or(limits.max_tokens)
    }

    /// Returns hash and estimated tokens of the system text. The hash includes the model, since engines of different
    /// models can't share a prefix.
    fn prefix(&self) -> Option<(String, u64)> {
        let system = self.system.as_ref().filter(|system| !system.is_empty())?;
        let mut hash = blake3::Hasher::new();
        hash.update(self.model.as_bytes()).update(&[0]).update(system.as_bytes());
        let hex = hash.finalize().to_hex();
        Some((hex.get(..PREFIX_HASH_DIGITS).unwrap_or_default().to_owned(), tokens::estimate(system)))
    }
}
