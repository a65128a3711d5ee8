//! Test support: a router core with the platform's dialect, driven through its inputs and outputs without sockets.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

#[path = "../../../router/tests/common/mod.rs"]
mod harness;

use chalkyard_platform::StartupConfig;
use chalkyard_proto::encode;
use chalkyard_router::*;
use serde_json::json;

pub use self::harness::*;

/// Port of the discovery agent, and of the agent that a later configuration names.
pub const AGENT: u16 = 9;
pub const OTHER_AGENT: u16 = 10;

pub fn member(id: &str, flavor: &str, port: u16, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "hall", "flavor": flavor, "cell": 1,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn members(revision: u64, complete: bool, members: &[serde_json::Value]) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

pub fn default_members() -> Vec<serde_json::Value> {
    vec![member("r", "reads", 1, "up"), member("w1", "writes", 2, "up"), member("w2", "writes", 3, "up")]
}

pub fn config_text(resume: bool, known: &str) -> String {
    let class = |name: &str, repeat: &str| json!({"name": name, "goal_time_s": 1.0, "deadline_s": 5.0, "repeat": repeat, "group": "all", "stream": true});
    json!({
        "name": "n3", "listen": "127.0.0.1:5000", "discovery": format!("127.0.0.1:{AGENT}"), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": serde_json::from_str::<serde_json::Value>(known).unwrap(),
        "settings": {
            "balancers": 1, "categories": [class("chat", "free"), class("once", "single_shot")], "dcs": ["hall"],
            "discovery": "push", "kinds": ["reads", "writes"], "reporting": {"how": "inline", "fields": ["load_share"]},
            "family_info": {"kv_tokens": [1e5, 1e5], "release_s": 1.0, "resume": resume, "self_prefill": true,
                            "role_by_kind": ["read", "write"]},
            "limits": {"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after_s": 1.0,
                       "conn_idle_s": 30.0, "connect_timeout_s": 0.25},
            "rules": {"answer_slack_s": 0.01, "cold_from": 0.3, "cold_s": 8.0, "fall_multiple": 3.0, "fall_s": 2.0,
                      "must_ask_in_s": 10.0},
            "tenants": [{"name": "acme", "allowance_per_s": 1000.0}], "tick_s": 0.002, "weights": "off",
        },
    })
    .to_string()
}

pub fn harness_with(resume: bool) -> Harness {
    let startup_config =
        StartupConfig::parse(&config_text(resume, &members(4, true, &default_members()))).unwrap();
    Harness::with_stored_list(startup_config.config, startup_config.last_endpoint_list.as_deref())
}

/// Builds a harness with other timeouts for reservations and connects, in ms, and a third decode worker in another zone.
pub fn harness_with_timeouts(reservation_ms: u64, connect_ms: u64) -> Harness {
    let mut workers = default_members();
    workers.push(member("w3", "writes", 4, "up"));
    workers[3]["locality"] = json!("yard");
    let config = config_text(false, &members(4, true, &workers))
        .replace(r#""release_s":1.0"#, &format!(r#""release_s":{}"#, reservation_ms as f64 / 1e3))
        .replace(
            r#""connect_timeout_s":0.25"#,
            &format!(r#""connect_timeout_s":{}"#, connect_ms as f64 / 1e3),
        )
        .replace(r#""dcs":["hall"]"#, r#""dcs":["hall","harness"]"#);
    let startup_config = StartupConfig::parse(&config).unwrap();
    assert_eq!(startup_config.config.policy.reservation_timeout, ms(reservation_ms));
    Harness::with_stored_list(startup_config.config, startup_config.last_endpoint_list.as_deref())
}

pub fn harness() -> Harness {
    harness_with(false)
}

pub const BODY: &str = r#"{"model":"chat", "stream":true,"max_tokens":800,"messages":[ ]}"#;

pub fn default_headers<'a>(id: &'a str, class: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("X-Request-ID", id),
        ("X-Priority-Class", class),
        ("X-Tenant-Id", "acme"),
        ("X-Route-Key", id),
        ("X-Timeout", "4800m"),
        ("X-Attrs", "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800"),
    ]
}

pub fn request(fields: &[(&str, &str)]) -> Vec<u8> {
    encode::request("POST", "/v1/chat/completions?a=b", "api.internal", fields, BODY.as_bytes())
}

pub fn send_request(h: &mut Harness, id: &str, class: &str) -> ConnId {
    let client = h.client();
    h.bytes(client, &request(&default_headers(id, class)));
    client
}

/// Takes the oldest call to a worker, and panics if there is none.
pub fn next_call(h: &mut Harness) -> Call {
    let at = h.calls.iter().position(|c| c.target.starts_with("/v1/"));
    h.calls.remove(at.expect("a call to a worker"))
}

pub fn has_call(h: &Harness) -> bool {
    h.calls.iter().any(|c| c.target.starts_with("/v1/"))
}

pub fn reply(h: &mut Harness, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &str) {
    h.bytes(conn, &encode::response(status, fields, body.as_bytes(), true));
}

pub const NOT_PROCESSED: (&str, &str) = ("X-Not-Processed", "1");

/// Sends a request and answers its prefill call. Returns the client's connection and the decode call.
pub fn start_decode(h: &mut Harness, id: &str, class: &str) -> (ConnId, Call) {
    let client = send_request(h, id, class);
    let prefill = next_call(h);
    assert_eq!(prefill.port, 1);
    reply(h, prefill.conn, 202, &[], r#"{"cached_tokens":4096}"#);
    let decode = next_call(h);
    assert_ne!(decode.port, 1);
    (client, decode)
}

pub const FIRST_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
pub const LAST_EVENTS: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\
                    \"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n";

pub fn send_chunk(h: &mut Harness, conn: ConnId, text: &str) {
    let mut bytes = Vec::new();
    encode::chunk(&mut bytes, text.as_bytes());
    h.bytes(conn, &bytes);
}

/// Returns the status of a client's first answer; `None` if the client has received nothing.
pub fn first_status(h: &Harness, client: ConnId) -> Option<u16> {
    let text = std::str::from_utf8(h.raw(client)).unwrap();
    text.split(' ').nth(1).map(|s| s.parse().unwrap())
}

/// Starts streams and relays the first event of each. Returns the connections of the clients and of the workers.
pub fn start_streams(h: &mut Harness, count: usize) -> Vec<(ConnId, ConnId)> {
    let mut start_stream = |n| {
        let (client, decode) = start_decode(h, &format!("id-{n}"), "chat");
        h.begin_stream(decode.conn);
        send_chunk(h, decode.conn, FIRST_EVENT);
        (client, decode.conn)
    };
    (0..count).map(&mut start_stream).collect()
}
