//! A client's request: its conversation, drawn from the scenario's traffic, and its encoding.

use chalkyard_proto::encode;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Clients;
use crate::record::Class;

/// Bytes of text that clients count as a token.
const TOKEN_BYTES: u64 = 4;
/// The key of clients where a scenario has no tenants with keys of their own.
const DEFAULT_API_KEY: &str = "rehearsal-key";

/// Who said a part of a conversation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Speaker {
    User,
    Assistant,
}

impl Speaker {
    fn name(self) -> &'static str {
        match self {
            Self::User => "user",
            Self::Assistant => "assistant",
        }
    }
}

/// A request of a client, over all its attempts.
#[derive(Debug, Clone)]
pub(super) struct ClientRequest {
    /// Idempotency key.
    pub identity: String,
    pub session: String,
    /// Index of its class.
    pub class: usize,
    system: String,
    /// The conversation so far, ending with the user's turn.
    turns: Vec<(Speaker, String)>,
    max_tokens: u64,
    pub stream: bool,
    /// Attempts so far.
    pub attempts: u32,
    pub turns_left: u32,
    /// Prompt tokens.
    pub prompt: u64,
    /// Index of its tenant.
    pub tenant: usize,
}

impl ClientRequest {
    /// The user's next turn, after an answer; a request of its own.
    pub fn next_turn(&self, number: u64, answer: String, text: String) -> Self {
        let mut next = self.clone();
        next.identity = format!("k{number}");
        next.attempts = 0;
        next.turns_left -= 1;
        next.turns.push((Speaker::Assistant, answer));
        next.turns.push((Speaker::User, text));
        next
    }

    /// Counts an attempt and the prompt's tokens.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
        let bytes = self.system.len() + self.turns.iter().map(|(_, text)| text.len()).sum::<usize>();
        self.prompt = bytes as u64 / TOKEN_BYTES;
    }

    /// The bytes of the next attempt, whose client waits for `wait` µs.
    pub fn encode(&self, class: &Class, wait: u64, api_key: &str) -> Vec<u8> {
        let message = |(speaker, text): &(Speaker, String)| serde_json::json!({"role": speaker.name(), "content": text});
        let messages: Vec<serde_json::Value> = self.turns.iter().map(message).collect();
        let body = serde_json::json!({
            "model": "yard-1", "system": self.system, "messages": messages, "max_tokens": self.max_tokens,
            "stream": self.stream,
            "metadata": {"class": class.name, "session": self.session, "deadline_ms": wait / 1_000, "retry": self.attempts > 0},
        });
        let key = format!("\"{}\"", self.identity);
        let bearer = format!("Bearer {api_key}");
        let fields = [
            ("content-type", "application/json"),
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
        ];
        encode::request("POST", "/v1/messages", "yard", &fields, body.to_string().as_bytes())
    }
}

/// Random text of so many tokens.
pub(super) fn words(rng: &mut ChaCha8Rng, tokens: u64) -> String {
    (0..tokens).map(|_| format!("{:03} ", rng.random_range(0..1_000))).collect()
}

impl Clients {
    /// Draws a first request of a tenant.
    pub(super) fn draw_request(&mut self, tenant: usize) -> ClientRequest {
        let class = self.draw_class();
        let system = self.draw_system_prompt();
        let has_budgets = self.budgets.is_some();
        let mut turn = self.rng.random_range(if has_budgets { 20..90 } else { 100..900 });
        if self.long > 0.0 && self.rng.random_bool(0.03) {
            turn = (turn as f64 * self.long * 4.0) as u64;
        }
        let number = self.next_number;
        let text = words(&mut self.rng, turn);
        let max_tokens = self.rng.random_range(if has_budgets { 20..80 } else { 40..200 });
        ClientRequest {
            identity: format!("k{number}"),
            session: format!("s{number}"),
            class,
            system,
            turns: vec![(Speaker::User, text)],
            max_tokens,
            stream: self.rng.random_bool(0.85),
            attempts: 0,
            turns_left: self.rng.random_range(0..3),
            prompt: 0,
            tenant,
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0);
        let mut class = 0;
        for (i, share) in self.shares.iter().enumerate() {
            class = i;
            draw -= share;
            if draw < 0.0 {
                break;
            }
        }
        class
    }

    fn draw_system_prompt(&mut self) -> String {
        if self.rng.random_bool(self.hot.clamp(0.0, 1.0)) {
            return self.hot_system.clone();
        }
        let i = self.rng.random_range(0..self.systems.len());
        self.systems.get(i).cloned().unwrap_or_default()
    }

    /// The key of a tenant's clients.
    pub(super) fn api_key(&self, tenant: usize) -> &'static str {
        let tenant = self.budgets.as_ref().and_then(|b| b.tenants.get(tenant));
        tenant.map_or(DEFAULT_API_KEY, |t| t.key)
    }
}
