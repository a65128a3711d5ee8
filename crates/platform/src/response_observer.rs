//! Observes a stream of server-sent events while it is forwarded: its events, token usage and load reports.

use chalkyard_adapter::{translate, wire};
use chalkyard_policy as p;
use chalkyard_router::dialect::{ResponseObserver, StreamProgress, TokenUsage};
use serde::Deserialize;

/// Maximum bytes of a line that are buffered; lines with token usage or a load report are shorter.
const MAX_LINE_BYTES: usize = 2_048;
/// Beginning of a comment line that contains a load report.
const LOAD_REPORT_PREFIX: &[u8] = b": X-Server-Load:";

/// Incremental parser of the parts of a stream that the router needs.
#[derive(Debug, Default)]
pub(crate) struct StreamObserver {
    /// The line that is not complete yet, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// The line exceeds [`MAX_LINE_BYTES`], and `line` has only its beginning.
    is_truncated: bool,
    /// The event that is not complete yet has a data line.
    has_data: bool,
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

/// Parses a load report such as `inflight=7,queue=2,util=0.61`, with the field names of the simulator or of the workers'
/// HTTP headers. `None` if the text is malformed: load reports are optional.
pub(crate) fn parse_load_report(text: &str) -> Option<p::LoadReport> {
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

impl StreamObserver {
    /// Evaluates the complete line in the buffer, and clears the buffer for the next line.
    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if line.is_empty() && !self.is_truncated {
            if std::mem::take(&mut self.has_data) {
                self.progress.begun = true;
                self.progress.events += 1;
            }
        } else if let Some(data) = line.strip_prefix(b"data:") {
            self.has_data = true;
            let has_usage = !self.is_truncated && data.windows(8).any(|w| w == b"\"usage\":");
            if let Some(usage) =
                has_usage.then(|| serde_json::from_slice::<Chunk>(data).ok()).flatten().and_then(|c| c.usage)
            {
                self.progress.usage = Some(TokenUsage {
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.prompt_tokens_details.cached_tokens,
                    output_tokens: usage.completion_tokens,
                });
            }
        } else if let Some(text) = line.strip_prefix(LOAD_REPORT_PREFIX).filter(|_| !self.is_truncated) {
            self.progress.report =
                std::str::from_utf8(text).ok().and_then(parse_load_report).or(self.progress.report);
        }
        self.line.clear();
        self.is_truncated = false;
    }
}

impl ResponseObserver for StreamObserver {
    fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let (line, after) = rest.split_at(end);
            self.append(line);
            self.end_line();
            rest = after.get(1..).unwrap_or_default();
        }
        self.append(rest);
    }

    fn progress(&self) -> StreamProgress {
        self.progress
    }
}

impl StreamObserver {
    /// Appends bytes to the buffered line, up to [`MAX_LINE_BYTES`].
    fn append(&mut self, bytes: &[u8]) {
        let capacity = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.is_truncated |= bytes.len() > capacity;
        self.line.extend_from_slice(bytes.get(..capacity).unwrap_or(bytes));
    }
}
