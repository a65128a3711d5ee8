//! Messages between router and engines: the OpenAI-compatible completion call with `kv_transfer_params` as vLLM publishes
//! it, and load reports in ORCA's `endpoint-load-metrics` header.
//!
//! Engines offer one more call, defined here: `POST /v1/kv/release` releases the KV state of a request. Status 429 proves
//! that nothing has run; 409 with the error type `no_state` proves that too, and says that there is no state to pull.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::{MessagesRequest, Usage};

/// Target of the completion call.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Target of the release call.
pub const RELEASE_PATH: &str = "/v1/kv/release";
/// Header with the request's id, the same in all calls for it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt within its request, by which an engine's token records are joined with a bill.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the load report.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Parameters by which an engine keeps its KV state for another one.
const REMOTE_DECODE: &str = r#"{"do_remote_decode":true,"do_remote_prefill":false}"#;

/// What a completion call asks of an engine.
#[derive(Debug, Clone, Copy)]
pub enum Stage<'a> {
    /// Prefill, and keep the KV state.
    Prefill,
    /// Pull the KV state that these parameters name, and decode.
    Decode(&'a RawValue),
    /// Prefill and decode.
    Combined,
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
pub fn completion_body(request: &MessagesRequest, stage: Stage<'_>) -> Vec<u8> {
    let remote_decode = RawValue::from_string(REMOTE_DECODE.into()).ok();
    let is_prefill = matches!(stage, Stage::Prefill);
    let call = Completion {
        model: &request.model,
        prompt: &request.prompt,
        max_tokens: if is_prefill { 1 } else { request.max_tokens },
        stream: !is_prefill,
        stream_options: (!is_prefill).then_some(StreamOptions { include_usage: true }),
        kv_transfer_params: match stage {
            Stage::Prefill => remote_decode.as_deref(),
            Stage::Decode(params) => Some(params),
            Stage::Combined => None,
        },
        sampling: &request.sampling,
    };
    serde_json::to_vec(&call).unwrap_or_default()
}

/// The body of the release call.
pub fn release_body(request_id: &str) -> Vec<u8> {
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
        let cached_tokens = raw.prompt_tokens_details.and_then(|details| details.cached_tokens);
        Self {
            prompt_tokens: raw.prompt_tokens,
            cached_tokens: cached_tokens.unwrap_or(0),
            output_tokens: raw.completion_tokens,
        }
    }
}

/// The answer to a prefill call.
#[derive(Debug, Deserialize)]
struct RawRead {
    #[serde(default)]
    usage: Option<RawUsage>,
    kv_transfer_params: Option<Box<RawValue>>,
}

/// Longest transfer parameters of a prefill answer; they are kept until the KV state is pulled.
pub const MAX_PARAMS_BYTES: usize = 16 * 1024;

/// An answer of an engine that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EngineAnswerError {
    /// It is not the JSON that the call defines.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A prefill answer without the parameters by which its KV state is pulled.
    #[error("no kv_transfer_params")]
    NoTransferParameters,
    /// Its transfer parameters are longer than [`MAX_PARAMS_BYTES`].
    #[error("kv_transfer_params too long")]
    TransferParametersTooLong,
    /// The engine reports an error of its own.
    #[error("engine error: {0}")]
    Engine(String),
}

/// Reads the answer to a prefill call: the tokens used, and the transfer parameters for the decode worker.
///
/// # Errors
/// The answer is malformed, or its transfer parameters are missing or too long.
pub fn parse_prefill_answer(body: &[u8]) -> Result<(Usage, Box<RawValue>), EngineAnswerError> {
    let raw: RawRead = serde_json::from_slice(body)?;
    let params = raw.kv_transfer_params.ok_or(EngineAnswerError::NoTransferParameters)?;
    if params.get().len() > MAX_PARAMS_BYTES {
        return Err(EngineAnswerError::TransferParametersTooLong);
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

/// Data of the last event of a stream.
const END_MARKER: &str = "[DONE]";

/// One chunk of a streamed answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Text that it adds.
    pub text: String,
    /// Why the engine stopped, in the last chunk with text.
    pub stop_reason: Option<String>,
    /// Tokens used, in one of the last chunks.
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
///
/// # Errors
/// The data is malformed, or the engine reports an error.
pub fn parse_stream_item(data: &str) -> Result<StreamItem, EngineAnswerError> {
    if data == END_MARKER {
        return Ok(StreamItem::Done);
    }
    let raw: RawChunk = serde_json::from_str(data)?;
    if let Some(error) = raw.error {
        return Err(EngineAnswerError::Engine(error.message));
    }
    let choice = raw.choices.into_iter().next();
    let (text, stop_reason) = choice.map_or((String::new(), None), |c| (c.text, c.finish_reason));
    Ok(StreamItem::Chunk(Chunk { text, stop_reason, usage: raw.usage.map(Into::into) }))
}

/// Whether the body of a 409 says that there is no KV state to pull.
pub fn is_no_state_error(body: &[u8]) -> bool {
    let raw: Option<RawChunk> = serde_json::from_slice(body).ok();
    raw.and_then(|r| r.error).and_then(|e| e.kind).is_some_and(|k| k == "no_state")
}

/// A load report, with ORCA's names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Share of slots in use, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Share of KV memory in use, 0 to 1.
    pub mem_utilization: Option<f64>,
    /// Requests served a second.
    pub rps_fractional: Option<f64>,
    /// Errors a second.
    pub eps: Option<f64>,
    /// Metrics without a standard name.
    pub named_metrics: NamedMetrics,
}

/// The named metrics that are used; others are ignored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct NamedMetrics {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue_depth: Option<f64>,
    /// Recent time to the end of a prefill or to the first token, ms.
    pub latency_ms: Option<f64>,
    /// Prompt tokens that wait for prefill or for their KV state.
    pub waiting_tokens: Option<f64>,
}

/// Parses the header in its JSON or TEXT form. None where it is malformed: reports are optional.
pub fn parse_load_report(header: &str) -> Option<LoadReport> {
    let mut load = match header.trim().split_once(' ')? {
        ("JSON", json) => serde_json::from_str(json).ok()?,
        ("TEXT", pairs) => text_load(pairs),
        _ => return None,
    };
    load.drop_invalid();
    Some(load)
}

/// Parses `name=value` pairs with commas between them; unknown names are ignored.
fn text_load(pairs: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
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

impl LoadReport {
    /// Drops metrics that are negative, infinite or not a number.
    fn drop_invalid(&mut self) {
        let named = &mut self.named_metrics;
        let metrics = [
            &mut self.cpu_utilization,
            &mut self.mem_utilization,
            &mut self.rps_fractional,
            &mut self.eps,
            &mut named.in_flight,
            &mut named.queue_depth,
            &mut named.latency_ms,
            &mut named.waiting_tokens,
        ];
        for metric in metrics {
            *metric = metric.filter(|value| value.is_finite() && *value >= 0.0);
        }
    }
}

#[cfg(test)]
#[path = "engine_test.rs"]
mod tests;
