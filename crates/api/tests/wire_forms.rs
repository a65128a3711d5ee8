//! Tests of the wire format of messages to and from clients and engines: each field with its name and form.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_api::client::{CompleteAnswer, ErrorBody, ErrorKind, Event, RequestLimits, Usage};
use chalkyard_api::engine::{self, LoadReport, NamedMetrics, Stage, StreamItem};
use chalkyard_api::{MessagesRequest, RequestError};
use serde_json::{json, Value};

fn parse(body: &Value) -> Result<MessagesRequest, RequestError> {
    MessagesRequest::parse(body.to_string().as_bytes(), &RequestLimits::default())
}

fn full_request() -> Value {
    json!({
        "model": "m", "system": "You help.", "max_tokens": 9, "stream": true, "temperature": 0.5, "top_p": 0.25,
        "stop_sequences": ["a", "b"],
        "messages": [
            {"role": "user", "content": "one"}, {"role": "assistant", "content": "two"},
            {"role": "user", "content": [{"type": "text", "text": "three"}, {"type": "text", "text": "four"}]},
        ],
        "metadata": {"class": "c", "session": "s", "deadline_ms": 900, "retry": true, "came_back": true},
    })
}

#[test]
fn request_with_every_field_is_parsed() {
    let r = parse(&full_request()).unwrap();
    assert_eq!(r.prompt.get(), r#""You help.\n\nuser: one\nassistant: two\nuser: threefour\nassistant: ""#);
    assert_eq!(r.prefix, Some(("6052de764c9b4ccc7a1b29a9743ea2ae".into(), 3)));
    assert_eq!((r.prompt_tokens, r.max_tokens, r.stream), (20, 9, true));
    assert_eq!((r.model.as_str(), r.class.as_deref(), r.session.as_deref()), ("m", Some("c"), Some("s")));
    assert_eq!((r.deadline_ms, r.retry, r.resumed), (Some(900), true, true));
    assert_eq!((r.sampling.temperature, r.sampling.top_p), (Some(0.5), Some(0.25)));
    assert_eq!(r.sampling.stop, ["a", "b"]);
}

#[test]
fn request_with_only_required_fields_has_defaults() {
    let r = parse(&json!({"model": "m", "messages": [{"role": "user", "content": "one"}]})).unwrap();
    assert_eq!((r.prefix, r.max_tokens, r.stream), (None, 4_096, false));
    assert_eq!((r.class, r.session, r.deadline_ms, r.retry, r.resumed), (None, None, None, false, false));
}

#[test]
fn invalid_request_is_rejected_with_field_and_text() {
    let rejection_of = |path: &str, value: Value| {
        let mut body = full_request();
        *body.pointer_mut(path).unwrap() = value;
        let refusal = parse(&body).unwrap_err();
        (refusal.status, refusal.field, refusal.reason)
    };
    let rejected = |field: &str, reason: &str| (400, field.to_owned(), reason.to_owned());
    let name = "must be 1 to 128 visible ASCII characters without quotes";
    assert_eq!(rejection_of("/model", json!("m m")), rejected("model", name));
    assert_eq!(rejection_of("/metadata/class", json!("")), rejected("metadata.class", name));
    assert_eq!(rejection_of("/metadata/session", json!("\"")), rejected("metadata.session", name));
    assert_eq!(rejection_of("/messages", json!([])), rejected("messages", "must be 1 to 1000 messages"));
    let last = json!([{"role": "assistant", "content": "x"}]);
    assert_eq!(
        rejection_of("/messages", last),
        rejected("messages[0].role", "the last message must be the user's")
    );
    assert_eq!(rejection_of("/max_tokens", json!(0)), rejected("max_tokens", "must be 1 to 4096"));
    assert_eq!(
        rejection_of("/metadata/deadline_ms", json!(0)),
        rejected("metadata.deadline_ms", "must be at least 1")
    );
    assert_eq!(rejection_of("/temperature", json!(2.5)), rejected("temperature", "must be 0 to 2"));
    assert_eq!(rejection_of("/top_p", json!(-1)), rejected("top_p", "must be 0 to 1"));
    let stop = "must be at most 4 texts of 1 to 128 bytes";
    assert_eq!(
        rejection_of("/stop_sequences", json!(["a", "a", "a", "a", "a"])),
        rejected("stop_sequences", stop)
    );
    assert_eq!(rejection_of("/stop_sequences", json!([""])), rejected("stop_sequences", stop));
    assert_eq!(
        rejection_of("/messages/0/content", json!(7)),
        rejected(
            "messages[0].content",
            "data did not match any variant of untagged enum Content at line 1 column 40"
        )
    );
    assert_eq!(
        rejection_of("/messages/0/role", json!("king")),
        rejected(
            "messages[0].role",
            "unknown variant `king`, expected `user` or `assistant` at line 1 column 58"
        )
    );
    assert_eq!(
        rejection_of("/messages/0", json!(7)),
        rejected("messages[0]", "invalid type: integer `7`, expected struct RawMessage at line 1 column 29")
    );
    assert_eq!(
        rejection_of("/metadata", json!(7)),
        rejected("metadata", "invalid type: integer `7`, expected struct RawMetadata at line 1 column 199")
    );
    let long = json!("word ".repeat(200_000));
    let (status, field, reason) = rejection_of("/system", long);
    assert_eq!((status, field.as_str()), (413, "messages"));
    assert_eq!(reason, "about 200017 prompt tokens, over 128000");
}

#[test]
fn events_and_errors_have_their_published_form() {
    let usage = Usage { prompt_tokens: 1, cached_tokens: 2, output_tokens: 3 };
    let error = ErrorBody {
        kind: ErrorKind::Refused,
        reason: "busy".into(),
        field: Some("model".into()),
        may_have_run: false,
        retry_after: Some(0.5),
    };
    let encoded = |event: Event<'_>| (event.name(), event.json());
    assert_eq!(
        encoded(Event::Opened { id: "q", model: "m" }),
        ("message.opened", r#"{"id":"q","model":"m"}"#.into())
    );
    assert_eq!(encoded(Event::Delta { text: "t" }), ("message.delta", r#"{"text":"t"}"#.into()));
    let usage_json = r#""usage":{"prompt_tokens":1,"kept_tokens":2,"output_tokens":3}"#;
    assert_eq!(
        encoded(Event::Closed { stop_reason: "stop", usage }),
        ("message.closed", format!(r#"{{"stop_reason":"stop",{usage_json}}}"#))
    );
    let error_json =
        r#"{"type":"refused","reason":"busy","field":"model","may_have_run":false,"retry_after":0.5}"#;
    assert_eq!(
        encoded(Event::Broken { error: error.clone() }),
        ("message.broken", format!(r#"{{"error":{error_json}}}"#))
    );
    // The fields of an error response's body are sorted by name.
    assert_eq!(
        String::from_utf8(error.json()).unwrap(),
        r#"{"error":{"field":"model","may_have_run":false,"reason":"busy","retry_after":0.5,"type":"refused"}}"#
    );
    let bare = ErrorBody { field: None, retry_after: None, ..error };
    assert_eq!(
        String::from_utf8(bare.json()).unwrap(),
        r#"{"error":{"may_have_run":false,"reason":"busy","type":"refused"}}"#
    );
    let answer = CompleteAnswer { id: "q", model: "m", content: "t", stop_reason: "stop", usage };
    assert_eq!(
        serde_json::to_string(&answer).unwrap(),
        format!(r#"{{"id":"q","model":"m","content":"t","stop_reason":"stop",{usage_json}}}"#)
    );
}

#[test]
fn error_kinds_have_their_published_names() {
    let kinds = [
        ErrorKind::Invalid,
        ErrorKind::Unauthorized,
        ErrorKind::Forbidden,
        ErrorKind::Refused,
        ErrorKind::Failed,
        ErrorKind::Duplicate,
    ];
    assert_eq!(
        serde_json::to_string(&kinds).unwrap(),
        r#"["invalid","unauthorized","forbidden","refused","failed","duplicate"]"#
    );
}

#[test]
fn completion_calls_have_the_published_fields() {
    let request = parse(&full_request()).unwrap();
    let body = |stage| String::from_utf8(engine::completion_body(&request, stage)).unwrap();
    let prompt =
        r#""model":"m","prompt":"You help.\n\nuser: one\nassistant: two\nuser: threefour\nassistant: ""#;
    let sampling = r#""temperature":0.5,"top_p":0.25,"stop":["a","b"]"#;
    let remote_decode = r#""kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}"#;
    assert_eq!(
        body(Stage::Prefill),
        format!("{{{prompt},\"max_tokens\":1,\"stream\":false,{remote_decode},{sampling}}}")
    );
    let streamed = r#""max_tokens":9,"stream":true,"stream_options":{"include_usage":true}"#;
    assert_eq!(body(Stage::Combined), format!("{{{prompt},{streamed},{sampling}}}"));
    let answer = br#"{"usage":{"prompt_tokens":7,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":3}},"kv_transfer_params":{"a": [1]}}"#;
    let (usage, params) = engine::parse_prefill_answer(answer).unwrap();
    assert_eq!(usage, Usage { prompt_tokens: 7, cached_tokens: 3, output_tokens: 1 });
    assert_eq!(
        body(Stage::Decode(&params)),
        format!("{{{prompt},{streamed},\"kv_transfer_params\":{{\"a\": [1]}},{sampling}}}")
    );
    assert_eq!(String::from_utf8(engine::release_body("q1")).unwrap(), r#"{"request_id":"q1"}"#);
    let names = [
        engine::COMPLETIONS_PATH,
        engine::RELEASE_PATH,
        engine::REQUEST_ID_HEADER,
        engine::ATTEMPT_HEADER,
        engine::LOAD_HEADER,
    ];
    assert_eq!(
        names,
        ["/v1/completions", "/v1/kv/release", "x-request-id", "x-attempt", "endpoint-load-metrics"]
    );
}

#[test]
fn unusable_answers_of_engines_are_reported_with_their_cause() {
    let read = |body: &str| engine::parse_prefill_answer(body.as_bytes()).unwrap_err().to_string();
    assert_eq!(read("{}"), "no kv_transfer_params");
    assert_eq!(read("{"), "EOF while parsing an object at line 1 column 1");
    let long = format!("{{\"kv_transfer_params\":\"{}\"}}", "x".repeat(engine::MAX_PARAMS_BYTES));
    assert_eq!(read(&long), "kv_transfer_params too long");
    let item = |data: &str| engine::parse_stream_item(data).unwrap_err().to_string();
    assert_eq!(item(r#"{"error":{"message":"out of memory"}}"#), "engine error: out of memory");
    assert_eq!(item("{"), "EOF while parsing an object at line 1 column 1");
    let chunk = r#"{"choices":[{"text":"a","finish_reason":"length"}],"usage":{"prompt_tokens":4,"completion_tokens":5}}"#;
    let StreamItem::Chunk(chunk) = engine::parse_stream_item(chunk).unwrap() else { panic!("no chunk") };
    assert_eq!((chunk.text.as_str(), chunk.stop_reason.as_deref()), ("a", Some("length")));
    assert_eq!(chunk.usage, Some(Usage { prompt_tokens: 4, cached_tokens: 0, output_tokens: 5 }));
}

#[test]
fn load_report_metrics_are_parsed_in_both_forms() {
    let full = LoadReport {
        cpu_utilization: Some(0.1),
        mem_utilization: Some(0.2),
        rps_fractional: Some(0.3),
        eps: Some(0.4),
        named_metrics: NamedMetrics {
            in_flight: Some(5.0),
            queue_depth: Some(6.0),
            latency_ms: Some(7.0),
            waiting_tokens: Some(8.0),
        },
    };
    let json = r#"JSON {"cpu_utilization":0.1,"mem_utilization":0.2,"rps_fractional":0.3,"eps":0.4,"named_metrics":{"in_flight":5,"queue_depth":6,"latency_ms":7,"waiting_tokens":8}}"#;
    assert_eq!(engine::parse_load_report(json), Some(full));
    let text = "TEXT cpu_utilization=0.1,mem_utilization=0.2, rps_fractional = 0.3 ,eps=0.4,named_metrics.in_flight=5,named_metrics.queue_depth=6,named_metrics.latency_ms=7,named_metrics.waiting_tokens=8";
    assert_eq!(engine::parse_load_report(text), Some(full));
    let invalid = "TEXT cpu_utilization=-1,mem_utilization=inf,rps_fractional=x,named_metrics.in_flight=nan";
    assert_eq!(engine::parse_load_report(invalid), Some(LoadReport::default()));
}
