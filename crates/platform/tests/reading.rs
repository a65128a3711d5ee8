//! The configuration and its bounds, and readers that take any bytes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_adapter::translate::NameIndex;
use chalkyard_platform::{ConfigError, Platform, StartupConfig};
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Part, Side};
use chalkyard_router::dialect::{Dialect, ParsedRequest};
use proptest::prelude::*;
use serde_json::{json, Value};

fn config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:9", "seed": "1f",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
        "settings": {
            "balancers": 2, "categories": [],
            "limits": {"max_attempts": 4, "conn_idle_s": 4.0, "connect_timeout_s": 0.3},
            "rules": {"cold_from": 0.3, "cold_s": 8.0, "fall_multiple": 3.0, "fall_s": 2.0},
        },
    })
}

fn with(change: impl Fn(&mut Value)) -> Result<StartupConfig, ConfigError> {
    let mut value = config();
    change(&mut value);
    StartupConfig::parse(&value.to_string())
}

#[test]
fn a_configuration_that_is_wrong_is_told_by_its_field() {
    type Change = fn(&mut Value);
    let cases: [(&str, Change); 6] = [
        ("listen", |v| v["listen"] = json!("here")),
        ("discovery", |v| v["discovery"] = json!("there:x")),
        ("limits.sockets", |v| v["limits"]["sockets"] = json!(10)),
        ("limits.memory_mb", |v| v["limits"]["memory_mb"] = json!(-1)),
        ("settings", |v| v["settings"]["rules"] = json!({})),
        ("name", |v| drop(v.as_object_mut().unwrap().remove("name"))),
    ];
    for (field, change) in cases {
        let why = with(change).unwrap_err().to_string();
        assert!(why.contains(field), "{field}: {why}");
    }
    assert!(StartupConfig::parse("{").is_err());
}

#[test]
fn bounds_follow_from_the_limits_and_fit_in_them() {
    for (sockets, memory_mb) in [(128, 16), (256, 32), (512, 64), (1_024, 192)] {
        let started = with(|v| v["limits"] = json!({"sockets": sockets, "memory_mb": memory_mb})).unwrap();
        let b = started.config.bounds;
        // Standard streams, the loop's own, listening and discovery besides.
        assert!(b.clients + started.max_lingering + b.worker_connections + 12 <= sockets, "{sockets}");
        assert!(b.clients * 3 >= sockets, "a third is for requests: {sockets}");
        let buffers = b.pending_body_bytes + (b.clients * b.client_buffer) as u64;
        assert!(buffers * 2 <= (memory_mb as u64) << 20, "{memory_mb} MB");
    }
    let started = with(|_| {}).unwrap();
    assert_eq!(started.config.timeouts.worker_idle, Micros(2_000_000), "well under the told time");
    assert_eq!((started.config.timeouts.connect, started.seed), (Micros(300_000), Some(0x1f)));
}

/// Streams: events with all line ends that the format allows, reports, usage.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"data: {\"choices\":[]}\n\n".to_vec()),
        Just(b"data: {\"usage\":{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\r\n\r\n".to_vec()),
        Just(b": X-Server-Load: queue=2,util=0.5\n\n".to_vec()),
        Just(b": X-Server-Load: queue=\n".to_vec()),
        Just(vec![b'x'; 5_000]),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

proptest! {
    #[test]
    fn a_stream_is_read_alike_in_any_splitting(bytes in stream(), at in prop::collection::vec(any::<prop::sample::Index>(), 0..6)) {
        let platform = Platform::new(NameIndex::default());
        let mut whole = platform.response_observer();
        whole.push(&bytes);
        let mut cuts: Vec<usize> = at.iter().map(|i| i.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut pieces = platform.response_observer();
        for pair in cuts.windows(2) {
            pieces.push(&bytes[pair[0]..pair[1]]);
        }
        prop_assert_eq!(whole.progress(), pieces.progress());
    }

    #[test]
    fn no_head_panics_and_only_whole_ones_are_calls(
        names in prop::collection::vec(prop::sample::select(vec![
            "X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Attrs", "X-Retried"]), 0..9),
        values in prop::collection::vec("[ -~]{0,20}", 9),
    ) {
        let fields: Vec<(&str, &str)> = names.iter().copied().zip(values.iter().map(String::as_str)).collect();
        let bytes = chalkyard_proto::encode::request("POST", "/v1/chat/completions", "a", &fields, b"{}");
        let mut d = Decoder::new(Side::Request, Default::default());
        d.push(&bytes);
        if let Ok(Some(Part::Head(head))) = d.next_part() {
            let parsed = Platform::new(NameIndex::default()).parse_request(Micros(0), &head, b"{}".to_vec());
            // No class is known here: nothing can be taken.
            let rejected = matches!(parsed, ParsedRequest::Invalid { status: 400, .. });
            prop_assert!(rejected);
        }
    }

    #[test]
    fn no_list_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), phase in "[a-z]{0,9}", address in "[0-9.:a-z]{0,12}") {
        let platform = Platform::new(NameIndex::default());
        let _ = platform.parse_list(&bytes);
        let entry = json!({"id": "a", "host_port": address, "phase": phase, "up_since_ms": -1.5, "size": -1});
        let list = platform.parse_list(json!({"revision": 1, "members": [entry]}).to_string().as_bytes()).unwrap();
        prop_assert_eq!(list.endpoints.len() + list.invalid.len(), 1);
    }
}

/// What the decisions don't use is not judged, so that newer fields, absent or absurd, keep no router from starting.
#[test]
fn newer_fields_of_the_settings_that_are_absent_or_absurd_change_nothing() {
    let usual = with(|_| {}).unwrap();
    for absurd in [json!(0), json!(-1), json!(1e300), json!("many"), json!(null), json!([1, 2])] {
        let started = with(|v| {
            let info = json!({"block": absurd, "chunk": absurd, "max_context": absurd});
            v["settings"]["family_info"] = info;
            v["settings"]["max_context"] = absurd.clone();
        });
        let started = started.unwrap_or_else(|why| panic!("{absurd}: {why}"));
        assert_eq!(started.config.policy, usual.config.policy, "{absurd}");
    }
}

/// A shared beginning that is said to be longer than its prompt, and a prompt longer than any memory.
#[test]
fn lengths_that_contradict_each_other_are_taken_and_lengths_beyond_bounds_are_refused() {
    let class = json!({"name": "chat", "goal_time_s": 1.0, "deadline_s": 5.0, "repeat": "free", "group": "all", "stream": true});
    let started = with(|v| v["settings"]["categories"] = json!([class])).unwrap();
    let dialect = started.config.dialect.unwrap();
    let parse = |attrs: &str| {
        let fields =
            [("X-Request-ID", "a"), ("X-Priority-Class", "chat"), ("X-Timeout", "900m"), ("X-Attrs", attrs)];
        let bytes = chalkyard_proto::encode::request("POST", "/v1/chat/completions", "a", &fields, b"{}");
        let mut decoder = Decoder::new(Side::Request, Default::default());
        decoder.push(&bytes);
        let Some(Part::Head(head)) = decoder.next_part().unwrap() else { panic!("no head") };
        dialect.parse_request(Micros(5), &head, b"{}".to_vec())
    };
    let ParsedRequest::Inference(request, _) = parse("prefix=5c0f,prompt_len=10,prefix_len=9000,max_out=8")
    else {
        panic!("not taken")
    };
    assert_eq!(request.prompt_tokens, 10);
    let ParsedRequest::Inference(request, _) = parse("prompt_len=4294967296,max_out=8") else {
        panic!("not taken")
    };
    assert_eq!(request.prompt_tokens, 1 << 32);
    assert!(matches!(parse("prompt_len=4294967297,max_out=8"), ParsedRequest::Invalid { status: 400, .. }));
}
