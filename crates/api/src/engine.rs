//! What is said to engines and what they say: the OpenAI-compatible completion call with
//! `kv_transfer_params` as vLLM publishes it, and load reports as ORCA's `endpoint-load-metrics` header.
//!
//! A call of our own, which an engine offers beside it: `POST /v1/kv/release` lets go of a request's read
//! state. Refusals: status 429 says that nothing has run; 409 with the
//! error type `no_state` says that, and that there is no state to pull.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::{MessagesRequest, Usage};

/// Target of the completion call.
pub const COMPLETIONS: &str = "/v1/completions";
/// Target of the release call.
pub const RELEASE: &str = "/v1/kv/release";
/// The request's id, the same in all calls for it.
pub const REQUEST_ID: &str = "x-request-id";
/// The attempt's number within its request, so that an engine's record of tokens can be joined with a bill.
pub const ATTEMPT: &str = "x-attempt";
/// The load report's header.
pub const LOAD: &str = "endpoint-load-metrics";

/// How an engine is asked to handle a prompt.
#[derive(Debug, Clone, Copy)]
pub enum Stage<'a> {
    /// Read it and keep the state.
    Read,
    /// Pull the state that these parameters name, and write.
    Pull(&'a RawValue),
    /// Read and write.
    Whole,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a RawValue,
    max_tokens: u64,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
    #[serde(skip_serializing_if = "Option::is_none")]
    kv_transfer_params: Option<&'a RawValue>,
    #[serde(flatten)]
    sampling: &'a crate::client::Sampling,
}

/// The body of the completion call.
pub fn completion(request: &MessagesRequest, stage: Stage<'_>) -> Vec<u8> {
    let remote_decode =
        RawValue::from_string(r#"{"do_remote_decode":true,"do_remote_prefill":false}"#.into());
    let remote_decode = remote_decode.ok();
    let read = matches!(stage, Stage::Read);
    let call = Completion {
        model: &request.model,
        prompt: &request.prompt,
        max_tokens: if read { 1 } else { request.max_tokens },
        stream: !read,
        stream_options: (!read).then_some(StreamOptions { include_usage: true }),
        kv_transfer_params: match stage {
            Stage::Read => remote_decode.as_deref(),
            Stage::Pull(params) => Some(params),
            Stage::Whole => None,
        },
        sampling: &request.sampling,
    };
    serde_json::to_vec(&call).unwrap_or_default()
}

/// The body of the release call.
pub fn naming(request_id: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "request_id": request_id })).unwrap_or_default()
}

#[derive(Debug, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
struct RawUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

impl From<RawUsage> for Usage {
    fn from(raw: RawUsage) -> Self {
        let kept = raw.prompt_tokens_details.and_then(|d| d.cached_tokens).unwrap_or(0);
        Self { prompt_tokens: raw.prompt_tokens, kept_tokens: kept, output_tokens: raw.completion_tokens }
    }
}

/// What a reader answers.
#[derive(Debug, Deserialize)]
struct RawRead {
    #[serde(default)]
    usage: Option<RawUsage>,
    kv_transfer_params: Option<Box<RawValue>>,
}

/// Bytes of a reader's parameters, which are kept for the pull.
pub const PARAMS_BYTES: usize = 16 * 1024;

/// Reads a reader's answer: what it used, and the parameters for the writer.
pub fn read_answer(body: &[u8]) -> Result<(Usage, Box<RawValue>), String> {
    let raw: RawRead = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let params = raw.kv_transfer_params.ok_or("no kv_transfer_params")?;
    if params.get().len() > PARAMS_BYTES {
        return Err("kv_transfer_params too long".into());
    }
    Ok((raw.usage.unwrap_or_default().into(), params))
}

#[derive(Debug, Deserialize)]
struct RawChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RawError {
    #[serde(default)]
    message: String,
    #[serde(default, rename = "type")]
    kind: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RawChunk {
    #[serde(default)]
    choices: Vec<RawChoice>,
    #[serde(default)]
    usage: Option<RawUsage>,
    #[serde(default)]
    error: Option<RawError>,
}

/// One chunk of a streamed answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Text that it adds.
    pub text: String,
    /// Why the engine stopped, in the last one with text.
    pub stop_reason: Option<String>,
    /// What was used, near the end.
    pub usage: Option<Usage>,
}

/// An event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// A chunk.
    Chunk(Chunk),
    /// The end marker.
    Done,
}

/// Reads the data of one event.
pub fn stream_item(data: &str) -> Result<StreamItem, String> {
    if data == "[DONE]" {
        return Ok(StreamItem::Done);
    }
    let raw: RawChunk = serde_json::from_str(data).map_err(|e| e.to_string())?;
    if let Some(e) = raw.error {
        return Err(format!("engine error: {}", e.message));
    }
    let choice = raw.choices.into_iter().next();
    let (text, stop_reason) = choice.map_or((String::new(), None), |c| (c.text, c.finish_reason));
    Ok(StreamItem::Chunk(Chunk { text, stop_reason, usage: raw.usage.map(Into::into) }))
}

/// Whether the body of a 409 says that there is no state to pull.
pub fn says_no_state(body: &[u8]) -> bool {
    let raw: Option<RawChunk> = serde_json::from_slice(body).ok();
    raw.and_then(|r| r.error).and_then(|e| e.kind).is_some_and(|k| k == "no_state")
}

/// A load report, as ORCA names the figures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Share of slots in use, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Share of KV memory in use, 0 to 1.
    pub mem_utilization: Option<f64>,
    /// Requests served a second.
    pub rps_fractional: Option<f64>,
    /// Errors a second.
    pub eps: Option<f64>,
    /// Figures without a standard name.
    pub named_metrics: NamedLoad,
}

/// The named figures that are read; others are passed over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct NamedLoad {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue_depth: Option<f64>,
    /// Recent time to the end of a read or to the first token, ms.
    pub latency_ms: Option<f64>,
    /// Prompt tokens that wait to be read or pulled.
    pub waiting_tokens: Option<f64>,
}

/// Reads the header, in its JSON or TEXT form. None where it can't be read: a report is no duty.
pub fn load(header: &str) -> Option<Load> {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite() && *x >= 0.0);
    let mut load = match header.trim().split_once(' ')? {
        ("JSON", json) => serde_json::from_str(json).ok()?,
        ("TEXT", pairs) => {
            let mut load = Load::default();
            for (name, value) in pairs.split(',').filter_map(|p| p.split_once('=')) {
                let value = value.trim().parse::<f64>().ok();
                match name.trim() {
                    "cpu_utilization" => load.cpu_utilization = value,
                    "mem_utilization" => load.mem_utilization = value,
                    "rps_fractional" => load.rps_fractional = value,
                    "eps" => load.eps = value,
                    "named_metrics.in_flight" => load.named_metrics.in_flight = value,
                    "named_metrics.queue_depth" => load.named_metrics.queue_depth = value,
                    "named_metrics.latency_ms" => load.named_metrics.latency_ms = value,
                    "named_metrics.waiting_tokens" => load.named_metrics.waiting_tokens = value,
                    _ => {}
                }
            }
            load
        }
        _ => return None,
    };
    let n = &mut load.named_metrics;
    for x in [&mut load.cpu_utilization, &mut load.mem_utilization, &mut load.rps_fractional, &mut load.eps] {
        *x = finite(*x);
    }
    for x in [&mut n.in_flight, &mut n.queue_depth, &mut n.latency_ms, &mut n.waiting_tokens] {
        *x = finite(*x);
    }
    Some(load)
}

#[cfg(test)]
#[path = "engine_test.rs"]
mod tests;
