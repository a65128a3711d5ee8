//! Messages between router and engines: the OpenAI-compatible completion call with vLLM's `kv_transfer_params`, and load
//! reports in ORCA's `endpoint-load-metrics` header.
//!
//! This project adds one call that engines have to serve: `POST /v1/kv/release` releases the KV state of a request. Status
//! 429 proves that nothing has run. Status 409 with the error type `no_state` proves the same, and that there is no KV
//! state to pull.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::{MessagesRequest, Usage};

/// Path of the completion call.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of the release call.
pub const RELEASE_PATH: &str = "/v1/kv/release";
/// Header with the request's id; all calls for a request have the same.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt within its request. Bills are joined with the engines' token records by it.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the load report.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Value of `kv_transfer_params` that asks a prefill engine to keep the KV state for a decode engine.
const REMOTE_DECODE_PARAMS: &str = r#"{"do_remote_decode":true,"do_remote_prefill":false}"#;

/// The work that a completion call requests from an engine.
#[derive(Debug, Clone, Copy)]
pub enum Stage<'a> {
    /// Prefills the prompt and keeps the KV state.
    Prefill,
    /// Pulls the KV state identified by these transfer parameters, and decodes.
    Decode(&'a RawValue),
    /// Prefills and decodes in one engine.
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

/// Encodes the body of the completion call.
pub fn completion_body(request: &MessagesRequest, stage: Stage<'_>) -> Vec<u8> {
    let remote_decode = RawValue::from_string(REMOTE_DECODE_PARAMS.into()).ok();
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

/// Encodes the body of the release call.
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
struct RawPrefillAnswer {
    #[serde(default)]
    usage: Option<RawUsage>,
    kv_transfer_params: Option<Box<RawValue>>,
}

/// Maximum length of the transfer parameters in a prefill answer, since the router stores them until the KV state is
/// pulled.
pub const MAX_PARAMS_BYTES: usize = 16 * 1024;

/// An unusable answer of an engine.
#[derive(Debug, thiserror::Error)]
pub enum EngineAnswerError {
    /// The answer is not the JSON that the call defines.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A prefill answer has no transfer parameters, without which its KV state can't be pulled.
    #[error("no kv_transfer_params")]
    NoTransferParameters,
    /// The transfer parameters are longer than [`MAX_PARAMS_BYTES`].
    #[error("kv_transfer_params too long")]
    TransferParametersTooLong,
    /// The engine has reported an error.
    #[error("engine error: {0}")]
    Engine(String),
}

/// Parses the answer to a prefill call: the tokens used, and the transfer parameters for the decode worker.
///
/// # Errors
/// The answer is malformed, or its transfer parameters are missing or too long.
pub fn parse_prefill_answer(body: &[u8]) -> Result<(Usage, Box<RawValue>), EngineAnswerError> {
    let raw: RawPrefillAnswer = serde_json::from_slice(body)?;
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

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// One chunk of a streamed answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Text appended by this chunk.
    pub text: String,
    /// Reason for which the engine stopped; present in the last chunk with text.
    pub stop_reason: Option<String>,
    /// Tokens used; present in one of the last chunks.
    pub usage: Option<Usage>,
}

/// An event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Part of the answer.
    Chunk(Chunk),
    /// The end marker: the stream is complete.
    Done,
}

/// Parses the data of one server-sent event.
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

/// Whether the body of a response with status 409 says that there is no KV state to pull.
pub fn is_no_state_error(body: &[u8]) -> bool {
    let raw: Option<RawChunk> = serde_json::from_slice(body).ok();
    raw.and_then(|r| r.error).and_then(|e| e.kind).is_some_and(|k| k == "no_state")
}

/// A load report, with the field names of ORCA.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Share of slots in use, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Share of KV memory in use, 0 to 1.
    pub mem_utilization: Option<f64>,
    /// Requests served per second.
    pub rps_fractional: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Metrics without a standard field.
    pub named_metrics: NamedMetrics,
}

/// The named metrics that the router uses; others are ignored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct NamedMetrics {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests that wait in the queue.
    pub queue_depth: Option<f64>,
    /// Recent time to the end of a prefill or to the first token, in ms.
    pub latency_ms: Option<f64>,
    /// Prompt tokens of requests that wait for their prefill or for the transfer of their KV state.
    pub waiting_tokens: Option<f64>,
}

/// Parses the header in its JSON or TEXT form. `None` if it is malformed: load reports are optional.
pub fn parse_load_report(header: &str) -> Option<LoadReport> {
    let mut report = match header.trim().split_once(' ')? {
        ("JSON", json) => serde_json::from_str(json).ok()?,
        ("TEXT", pairs) => parse_text_report(pairs),
        _ => return None,
    };
    report.drop_invalid();
    Some(report)
}

/// Parses comma-separated `name=value` pairs; unknown names are ignored.
fn parse_text_report(pairs: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse::<f64>().ok();
        match name.trim() {
            "cpu_utilization" => report.cpu_utilization = value,
            "mem_utilization" => report.mem_utilization = value,
            "rps_fractional" => report.rps_fractional = value,
            "eps" => report.eps = value,
            "named_metrics.in_flight" => report.named_metrics.in_flight = value,
            "named_metrics.queue_depth" => report.named_metrics.queue_depth = value,
            "named_metrics.latency_ms" => report.named_metrics.latency_ms = value,
            "named_metrics.waiting_tokens" => report.named_metrics.waiting_tokens = value,
            _ => {}
        }
    }
    report
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
