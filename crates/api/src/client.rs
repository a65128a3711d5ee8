//! The messages call: `POST /v1/messages`, its events and its errors.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::tokens;

/// Bounds of one call.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Messages in one call.
    pub messages: usize,
    /// Tokens of a prompt, by the estimate.
    pub prompt_tokens: u64,
    /// The longest answer that may be asked for, in tokens; also what is taken where none is named.
    pub max_tokens: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { messages: 1_000, prompt_tokens: 128_000, max_tokens: 4_096 }
    }
}

/// Bytes of names that clients choose: sessions, classes, identities, models.
pub const NAME_BYTES: usize = 128;

/// A call that is not taken: which field, and why. Nothing of it has reached an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The status to answer with.
    pub status: u16,
    /// The field, as a path.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Refusal {
    /// One with status 400.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { status: 400, field: field.into(), reason: reason.into() }
    }
}

/// Who speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Speaker {
    /// The client's side.
    User,
    /// An earlier answer.
    Assistant,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Plain(String),
    Blocks(Vec<Block>),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase", deny_unknown_fields)]
enum Block {
    Text { text: String },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMessage {
    role: Speaker,
    content: Content,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawMetadata {
    class: Option<String>,
    session: Option<String>,
    deadline_ms: Option<u64>,
    retry: bool,
    came_back: bool,
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

/// How the engine is to choose tokens; passed on as it came.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Sampling {
    /// Softmax temperature, 0 to 2.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Nucleus share, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Texts that end the answer, four at most.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
}

/// A checked call.
#[derive(Debug, Clone)]
pub struct MessagesRequest {
    /// The model's name.
    pub model: String,
    /// The whole prompt as one text, as engines get it: a JSON string, made once for all attempts.
    pub prompt: Box<RawValue>,
    /// The shared beginning's hash and tokens, where there is a system text.
    pub prefix: Option<(String, u64)>,
    /// Tokens of the whole prompt, estimated.
    pub prompt_tokens: u64,
    /// The longest answer, in tokens.
    pub max_tokens: u64,
    /// Events are wanted as they come.
    pub stream: bool,
    /// The class's name; none: the default class.
    pub class: Option<String>,
    /// The session's name.
    pub session: Option<String>,
    /// How long the client waits for this try, in ms.
    pub deadline_ms: Option<u64>,
    /// The client has tried before.
    pub retry: bool,
    /// The client returns after a stream that broke.
    pub came_back: bool,
    /// How tokens are chosen.
    pub sampling: Sampling,
}

/// Whether a name that a client chose is one: 1 to [`NAME_BYTES`] visible ASCII characters, no quotes.
pub fn is_name(text: &str) -> bool {
    (1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"')
}

fn name(field: &str, value: Option<&String>) -> Result<(), Refusal> {
    match value {
        Some(v) if !is_name(v) => Err(Refusal::new(
            field,
            format!("must be 1 to {NAME_BYTES} visible ASCII characters without quotes"),
        )),
        _ => Ok(()),
    }
}

/// The identity that a client gives its request in `Idempotency-Key` (IETF draft: a quoted string; a
/// bare one is taken too).
pub fn identity(header: &str) -> Result<String, Refusal> {
    let bare = header.strip_prefix('"').and_then(|h| h.strip_suffix('"')).unwrap_or(header).to_owned();
    name("Idempotency-Key", Some(&bare))?;
    Ok(bare)
}

impl MessagesRequest {
    /// Reads and checks a body.
    pub fn parse(body: &[u8], bounds: &Bounds) -> Result<Self, Refusal> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let raw: RawRequest = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let path = e.path().to_string();
            let field = if path == "." || path == "?" { "body".into() } else { path };
            Refusal::new(field, e.into_inner().to_string())
        })?;
        json.end().map_err(|e| Refusal::new("body", e.to_string()))?;
        name("model", Some(&raw.model))?;
        name("metadata.class", raw.metadata.class.as_ref())?;
        name("metadata.session", raw.metadata.session.as_ref())?;
        if raw.messages.is_empty() || raw.messages.len() > bounds.messages {
            return Err(Refusal::new("messages", format!("must be 1 to {} messages", bounds.messages)));
        }
        if raw.messages.last().is_some_and(|m| m.role != Speaker::User) {
            let last = raw.messages.len() - 1;
            return Err(Refusal::new(
                format!("messages[{last}].role"),
                "the last message must be the user's",
            ));
        }
        let max_tokens = raw.max_tokens.unwrap_or(bounds.max_tokens);
        if !(1..=bounds.max_tokens).contains(&max_tokens) {
            return Err(Refusal::new("max_tokens", format!("must be 1 to {}", bounds.max_tokens)));
        }
        if raw.metadata.deadline_ms == Some(0) {
            return Err(Refusal::new("metadata.deadline_ms", "must be at least 1"));
        }
        if raw.temperature.is_some_and(|t| !(0.0..=2.0).contains(&t)) {
            return Err(Refusal::new("temperature", "must be 0 to 2"));
        }
        if raw.top_p.is_some_and(|t| !(0.0..=1.0).contains(&t)) {
            return Err(Refusal::new("top_p", "must be 0 to 1"));
        }
        if raw.stop_sequences.len() > 4
            || raw.stop_sequences.iter().any(|s| s.is_empty() || s.len() > NAME_BYTES)
        {
            return Err(Refusal::new("stop_sequences", "must be at most 4 texts of 1 to 128 bytes"));
        }
        let prefix = raw.system.as_ref().filter(|s| !s.is_empty()).map(|s| {
            let mut hash = blake3::Hasher::new();
            hash.update(raw.model.as_bytes()).update(&[0]).update(s.as_bytes());
            let hex = hash.finalize().to_hex();
            (hex.get(..32).unwrap_or_default().to_owned(), tokens::estimate(s))
        });
        let (prompt, prompt_tokens) = prompt(raw.system.as_deref(), &raw.messages)
            .map_err(|e| Refusal::new("messages", e.to_string()))?;
        if prompt_tokens > bounds.prompt_tokens {
            let reason = format!("about {prompt_tokens} prompt tokens, over {}", bounds.prompt_tokens);
            return Err(Refusal { status: 413, field: "messages".into(), reason });
        }
        Ok(Self {
            model: raw.model,
            prompt,
            prefix,
            prompt_tokens,
            max_tokens,
            stream: raw.stream,
            class: raw.metadata.class,
            session: raw.metadata.session,
            deadline_ms: raw.metadata.deadline_ms,
            retry: raw.metadata.retry,
            came_back: raw.metadata.came_back,
            sampling: Sampling { temperature: raw.temperature, top_p: raw.top_p, stop: raw.stop_sequences },
        })
    }
}

/// The prompt as a JSON string, made piece by piece, and its tokens.
struct Prompt {
    json: String,
    tokens: u64,
}

impl Prompt {
    /// Adds text of ours, which needs no escaping, and the client's. Most text needs none either.
    fn add(&mut self, ours: &str, text: &str) -> Result<(), serde_json::Error> {
        self.json.push_str(ours);
        let plain = !text.bytes().fold(false, |found, b| found | (b < b' ') | (b == b'"') | (b == b'\\'));
        if plain {
            self.json.push_str(text);
        } else {
            let quoted = serde_json::to_string(text)?;
            self.json.push_str(quoted.get(1..quoted.len() - 1).unwrap_or_default());
        }
        self.tokens += tokens::estimate(text);
        Ok(())
    }
}

/// System text first, then the messages in order: a session's next prompt begins with this one, and
/// sessions with one system text share its beginning.
fn prompt(system: Option<&str>, messages: &[RawMessage]) -> Result<(Box<RawValue>, u64), serde_json::Error> {
    let mut prompt = Prompt { json: String::from('"'), tokens: 0 };
    if let Some(s) = system {
        prompt.add("", s)?;
        prompt.json.push_str("\\n\\n");
    }
    for m in messages {
        let speaker = if m.role == Speaker::User { "user: " } else { "assistant: " };
        prompt.tokens += tokens::estimate(speaker);
        match &m.content {
            Content::Plain(text) => prompt.add(speaker, text)?,
            Content::Blocks(blocks) => {
                prompt.json.push_str(speaker);
                for Block::Text { text } in blocks {
                    prompt.add("", text)?;
                }
            }
        }
        prompt.json.push_str("\\n");
    }
    prompt.json.push_str("assistant: \"");
    prompt.tokens += tokens::estimate("assistant: ");
    Ok((RawValue::from_string(prompt.json)?, prompt.tokens))
}

/// What a request has used, in tokens, by the engines' own count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Of these, found kept by the engine that read them.
    pub kept_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// The events of a streamed answer, in order: one opened, deltas, then one closed or one broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Event<'a> {
    /// The answer begins.
    Opened {
        /// The request's id.
        id: &'a str,
        /// The model.
        model: &'a str,
    },
    /// Text of the answer.
    Delta {
        /// The text.
        text: &'a str,
    },
    /// The answer is whole: the end marker.
    Closed {
        /// Why the engine stopped.
        stop_reason: &'a str,
        /// What it used.
        usage: Usage,
    },
    /// The stream ends here and is not whole.
    Broken {
        /// What happened.
        error: ErrorBody,
    },
}

impl Event<'_> {
    /// The event's name on the stream.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Opened { .. } => "message.opened",
            Self::Delta { .. } => "message.delta",
            Self::Closed { .. } => "message.closed",
            Self::Broken { .. } => "message.broken",
        }
    }

    /// Its data, as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A whole answer.
#[derive(Debug, Serialize)]
pub struct WholeAnswer<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The model.
    pub model: &'a str,
    /// The text.
    pub content: &'a str,
    /// Why the engine stopped.
    pub stop_reason: &'a str,
    /// What it used.
    pub usage: Usage,
}

/// What kind of error an answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The call is wrong; it will be refused again.
    Invalid,
    /// No key, or an unknown one.
    Unauthorized,
    /// The key does not allow this.
    Forbidden,
    /// Not taken now: trying again does no harm, nothing ran.
    Refused,
    /// Failed: look it up before trying again, where it may have run.
    Failed,
    /// Another request under the same identity is or was handled here.
    Duplicate,
}

/// The one shape of errors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Its kind.
    #[serde(rename = "type")]
    pub kind: ErrorKind,
    /// In words.
    pub reason: String,
    /// The field concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request may have had its effect.
    pub may_have_run: bool,
    /// Seconds to stay away.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

impl ErrorBody {
    /// The body of an error answer.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(&serde_json::json!({ "error": self })).unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "client_test.rs"]
mod tests;
