//! Tests of `engine`.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]
use super::*;
use crate::client::RequestLimits;

#[test]
fn completion_calls_carry_the_transfer_parameters_of_the_prefill_answer() {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"top_p":0.5}"#;
    let request = MessagesRequest::parse(body, &RequestLimits::default()).unwrap();
    let json =
        |stage| serde_json::from_slice::<serde_json::Value>(&completion_body(&request, stage)).unwrap();
    let prefill = json(Stage::Prefill);
    assert_eq!((&prefill["max_tokens"], &prefill["stream"]), (&1.into(), &false.into()));
    assert_eq!(prefill["kv_transfer_params"]["do_remote_decode"], true);
    let (usage, params) = parse_prefill_answer(
        br#"{"usage":{"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":3}},"kv_transfer_params":{"a":[1]}}"#,
    )
    .unwrap();
    assert_eq!((usage.prompt_tokens, usage.cached_tokens), (7, 3));
    let decode = json(Stage::Decode(&params));
    assert_eq!((&decode["kv_transfer_params"]["a"][0], &decode["max_tokens"]), (&1.into(), &5.into()));
    assert_eq!(decode["top_p"], 0.5);
    assert!(json(Stage::Combined).get("kv_transfer_params").is_none());
    assert!(parse_prefill_answer(b"{}").is_err());
}

#[test]
fn stream_events_are_chunks_the_end_marker_or_errors() {
    let item =
        parse_stream_item(r#"{"choices":[{"text":"a","finish_reason":"stop"}],"usage":null}"#).unwrap();
    assert!(
        matches!(item, StreamItem::Chunk(c) if c.text == "a" && c.stop_reason.as_deref() == Some("stop"))
    );
    assert_eq!(parse_stream_item("[DONE]").unwrap(), StreamItem::Done);
    assert!(parse_stream_item(r#"{"error":{"message":"out of memory"}}"#)
        .unwrap_err()
        .to_string()
        .contains("out of memory"));
    assert!(parse_stream_item("{").is_err());
    assert!(is_no_state_error(br#"{"error":{"type":"no_state","message":""}}"#));
    assert!(!is_no_state_error(b"busy"));
}

#[test]
fn load_reports_in_json_and_text_form_are_equal_and_invalid_ones_are_dropped() {
    let json =
        parse_load_report(r#"JSON {"mem_utilization":0.5,"named_metrics":{"queue_depth":3,"x":1}}"#).unwrap();
    let text = parse_load_report("TEXT mem_utilization=0.5,named_metrics.queue_depth=3,other=1").unwrap();
    assert_eq!(json, text);
    assert_eq!(parse_load_report("TEXT mem_utilization=-1").unwrap().mem_utilization, None);
    assert_eq!(parse_load_report("BIN abc"), None);
    assert_eq!(parse_load_report("JSON {"), None);
}
