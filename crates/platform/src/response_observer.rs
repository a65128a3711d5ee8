//! Reads a stream beside its being passed on: whether an event has come, what it says of tokens, and its load report.

use chalkyard_adapter::{translate, wire};
use chalkyard_policy as p;
use chalkyard_router::dialect::{ResponseObserver, StreamProgress, TokenUsage};
use serde::Deserialize;

/// Bytes of a line that are kept; what says of tokens or load is shorter.
const LINE_BYTES: usize = 2_048;
/// A comment that holds a load report, as it begins.
const REPORT: &[u8] = b": X-Server-Load:";

/// A stream's lines, as far as they are needed.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    line: Vec<u8>,
    /// The line is longer than is kept.
    long: bool,
    /// The event that comes holds data.
    data: bool,
    progress: StreamProgress,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

/// Reads `inflight=7,queue=2,util=0.61`, by the simulator's or the sockets' names of the fields. One that can't be read is
/// as good as none.
pub(crate) fn report(text: &str) -> Option<p::LoadReport> {
    let mut stats = wire::LoadStats::default();
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        match name.trim() {
            "queue" | "depth" => stats.queued_requests = Some(value),
            "util" | "load_share" => stats.slot_utilization = Some(value),
            "x0" => stats.kv_utilization = Some(value),
            "x1" => stats.waiting_kilotokens = Some(value),
            _ => {}
        }
    }
    Some(translate::load_report(&stats))
}

impl Lines {
    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if line.is_empty() && !self.long {
            if std::mem::take(&mut self.data) {
                self.progress.begun = true;
                self.progress.events += 1;
            }
        } else if let Some(data) = line.strip_prefix(b"data:") {
            self.data = true;
            let says = !self.long && data.windows(8).any(|w| w == b"\"usage\":");
            if let Some(usage) =
                says.then(|| serde_json::from_slice::<Chunk>(data).ok()).flatten().and_then(|c| c.usage)
            {
                self.progress.usage = Some(TokenUsage {
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.prompt_tokens_details.cached_tokens,
                    output_tokens: usage.completion_tokens,
                });
            }
        } else if let Some(text) = line.strip_prefix(REPORT).filter(|_| !self.long) {
            self.progress.report = std::str::from_utf8(text).ok().and_then(report).or(self.progress.report);
        }
        self.line.clear();
        self.long = false;
    }
}

impl ResponseObserver for Lines {
    fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let (line, after) = rest.split_at(end);
            self.take(line);
            self.end_line();
            rest = after.get(1..).unwrap_or_default();
        }
        self.take(rest);
    }

    fn progress(&self) -> StreamProgress {
        self.progress
    }
}

impl Lines {
    fn take(&mut self, bytes: &[u8]) {
        let room = LINE_BYTES.saturating_sub(self.line.len());
        self.long |= bytes.len() > room;
        self.line.extend_from_slice(bytes.get(..room).unwrap_or(bytes));
    }
}
