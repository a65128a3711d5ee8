//! Builds the prompt that engines receive: one text made of a request's messages.

use serde_json::value::RawValue;

use super::request::{Block, Content, MessageRole, RawMessage};
use crate::tokens;

/// Label of the model's messages. It also ends the prompt, so that the model continues with its answer.
const ASSISTANT_LABEL: &str = "assistant: ";

/// Builder of a prompt as a JSON string, with its estimated tokens.
struct PromptBuilder {
    json: String,
    tokens: u64,
}

impl PromptBuilder {
    /// Appends a label, which needs no escaping, and the client's text, which is escaped where necessary.
    fn push(&mut self, label: &str, text: &str) -> Result<(), serde_json::Error> {
        self.json.push_str(label);
        // Every prompt goes through this loop: it has no branches, and most text is then copied without escaping.
        let needs_escape = |b: u8| (b < b' ') | (b == b'"') | (b == b'\\');
        let is_plain = !text.bytes().fold(false, |found, b| found | needs_escape(b));
        if is_plain {
            self.json.push_str(text);
        } else {
            let quoted = serde_json::to_string(text)?;
            self.json.push_str(quoted.get(1..quoted.len() - 1).unwrap_or_default());
        }
        self.tokens += tokens::estimate(text);
        Ok(())
    }
}

/// Builds the prompt and estimates its tokens. The system text comes first, then the messages in order, so that a prompt is
/// a prefix of the next one of its session, and sessions with the same system text share that prefix.
pub(super) fn build(
    system: Option<&str>,
    messages: &[RawMessage],
) -> Result<(Box<RawValue>, u64), serde_json::Error> {
    let mut prompt = PromptBuilder { json: String::from('"'), tokens: 0 };
    if let Some(system) = system {
        prompt.push("", system)?;
        prompt.json.push_str("\\n\\n");
    }
    for message in messages {
        let label = match message.role {
            MessageRole::User => "user: ",
            MessageRole::Assistant => ASSISTANT_LABEL,
        };
        prompt.tokens += tokens::estimate(label);
        match &message.content {
            Content::Plain(text) => prompt.push(label, text)?,
            Content::Blocks(blocks) => {
                prompt.json.push_str(label);
                for Block::Text { text } in blocks {
                    prompt.push("", text)?;
                }
            }
        }
        prompt.json.push_str("\\n");
    }
    prompt.json.push_str(ASSISTANT_LABEL);
    prompt.json.push('"');
    prompt.tokens += tokens::estimate(ASSISTANT_LABEL);
    Ok((RawValue::from_string(prompt.json)?, prompt.tokens))
}
