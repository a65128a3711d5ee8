//! Tests of the configuration and its bounds, and property tests that parsers accept any bytes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_adapter::translate::NameIndex;
use chalkyard_platform::{ConfigError, Platform, StartupConfig};
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Part, Side};
use chalkyard_router::dialect::{Dialect, ParsedRequest};
use proptest::prelude::*;
use serde_json::{json, Value};

fn base_config() -> Value {
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

fn parse_with(change: impl Fn(&mut Value)) -> Result<StartupConfig, ConfigError> {
    let mut value = base_config();
    change(&mut value);
    StartupConfig::parse(&value.to_string())
}

#[test]
fn invalid_configuration_is_reported_with_its_field() {
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
        let error = parse_with(change).unwrap_err().to_string();
        assert!(error.contains(field), "{field}: {error}");
    }
    assert!(StartupConfig::parse("{").is_err());
}

#[test]
fn bounds_fit_in_the_resource_limits() {
    for (sockets, memory_mb) in [(128, 16), (256, 32), (512, 64), (1_024, 192)] {
        let startup_config =
            parse_with(|v| v["limits"] = json!({"sockets": sockets, "memory_mb": memory_mb})).unwrap();
        let bounds = startup_config.config.bounds;
        // At least 12 descriptors remain for standard streams, the event loop, the listening socket and service discovery.
        assert!(
            bounds.clients + startup_config.max_lingering + bounds.worker_connections + 12 <= sockets,
            "{sockets}"
        );
        assert!(bounds.clients * 3 >= sockets, "at least a third is for client connections: {sockets}");
        let buffers = bounds.pending_body_bytes + (bounds.clients * bounds.client_buffer) as u64;
        assert!(buffers * 2 <= (memory_mb as u64) << 20, "{memory_mb} MB");
    }
    let startup_config = parse_with(|_| {}).unwrap();
    assert_eq!(
        startup_config.config.timeouts.worker_idle,
        Micros(2_000_000),
        "half of the configured idle timeout"
    );
    assert_eq!((startup_config.config.timeouts.connect, startup_config.seed), (Micros(300_000), Some(0x1f)));
}

/// Generates streams of events with LF and CR LF line ends, load reports, usage, long lines and arbitrary bytes.
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
    fn stream_split_anywhere_gives_the_same_progress(bytes in stream(), at in prop::collection::vec(any::<prop::sample::Index>(), 0..6)) {
        let platform = Platform::new(NameIndex::default());
        let mut unsplit = platform.response_observer();
        unsplit.push(&bytes);
        let mut cuts: Vec<usize> = at.iter().map(|i| i.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut split = platform.response_observer();
        for pair in cuts.windows(2) {
            split.push(&bytes[pair[0]..pair[1]]);
        }
        prop_assert_eq!(unsplit.progress(), split.progress());
    }

    #[test]
    fn arbitrary_heads_are_rejected_without_panic(
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
            // `NameIndex::default()` has no class, so every request is invalid.
            let rejected = matches!(parsed, ParsedRequest::Invalid { status: 400, .. });
            prop_assert!(rejected);
        }
    }

    #[test]
    fn arbitrary_endpoint_lists_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), phase in "[a-z]{0,9}", address in "[0-9.:a-z]{0,12}") {
        let platform = Platform::new(NameIndex::default());
        let _ = platform.parse_list(&bytes);
        let entry = json!({"id": "a", "host_port": address, "phase": phase, "up_since_ms": -1.5, "size": -1});
        let list = platform.parse_list(json!({"revision": 1, "members": [entry]}).to_string().as_bytes()).unwrap();
        prop_assert_eq!(list.endpoints.len() + list.invalid.len(), 1);
    }
}

/// Fields that the policy does not use are not validated, so that a newer field with any value, or none, does not keep a
/// router from starting.
#[test]
fn unused_settings_fields_are_not_validated() {
    let default = parse_with(|_| {}).unwrap();
    for value in [json!(0), json!(-1), json!(1e300), json!("many"), json!(null), json!([1, 2])] {
        let startup_config = parse_with(|v| {
            let info = json!({"block": value, "chunk": value, "max_context": value});
            v["settings"]["family_info"] = info;
            v["settings"]["max_context"] = value.clone();
        });
        let startup_config = startup_config.unwrap_or_else(|error| panic!("{value}: {error}"));
        assert_eq!(startup_config.config.policy, default.config.policy, "{value}");
    }
}

/// A prefix that is declared longer than its prompt is accepted. A prompt longer than `MAX_TOKENS` is rejected.
#[test]
fn inconsistent_lengths_are_accepted_and_excessive_ones_rejected() {
    let class = json!({"name": "chat", "goal_time_s": 1.0, "deadline_s": 5.0, "repeat": "free", "group": "all", "stream": true});
    let startup_config = parse_with(|v| v["settings"]["categories"] = json!([class])).unwrap();
    let dialect = startup_config.config.dialect.unwrap();
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
        panic!("the request was rejected")
    };
    assert_eq!(request.prompt_tokens, 10);
    let ParsedRequest::Inference(request, _) = parse("prompt_len=4294967296,max_out=8") else {
        panic!("the request was rejected")
    };
    assert_eq!(request.prompt_tokens, 1 << 32);
    assert!(matches!(parse("prompt_len=4294967297,max_out=8"), ParsedRequest::Invalid { status: 400, .. }));
}
