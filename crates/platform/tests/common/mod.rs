//! A core on the platform, driven by bytes and connections' fates alone.
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

/// Where the list comes from, and where it comes from later.
pub const AGENT: u16 = 9;
pub const OTHER_AGENT: u16 = 10;

pub fn member(id: &str, flavor: &str, port: u16, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "hall", "flavor": flavor, "cell": 1,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn members(revision: u64, complete: bool, members: &[serde_json::Value]) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

pub fn usual_members() -> Vec<serde_json::Value> {
    vec![member("r", "reads", 1, "up"), member("w1", "writes", 2, "up"), member("w2", "writes", 3, "up")]
}

pub fn file(resume: bool, known: &str) -> String {
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
    let started = StartupConfig::parse(&file(resume, &members(4, true, &usual_members()))).unwrap();
    Harness::with_stored_list(started.config, started.last_endpoint_list.as_deref())
}

/// With another release time and another wait for connections, ms, and a third writer in another zone.
pub fn yard_told(release: u64, connect: u64) -> Harness {
    let mut all = usual_members();
    all.push(member("w3", "writes", 4, "up"));
    all[3]["locality"] = json!("yard");
    let told = file(false, &members(4, true, &all))
        .replace(r#""release_s":1.0"#, &format!(r#""release_s":{}"#, release as f64 / 1e3))
        .replace(r#""connect_timeout_s":0.25"#, &format!(r#""connect_timeout_s":{}"#, connect as f64 / 1e3))
        .replace(r#""dcs":["hall"]"#, r#""dcs":["hall","harness"]"#);
    let started = StartupConfig::parse(&told).unwrap();
    assert_eq!(started.config.policy.reservation_timeout, ms(release));
    Harness::with_stored_list(started.config, started.last_endpoint_list.as_deref())
}

pub fn harness() -> Harness {
    harness_with(false)
}

pub const BODY: &str = r#"{"model":"chat", "stream":true,"max_tokens":800,"messages":[ ]}"#;

pub fn fields<'a>(id: &'a str, class: &'a str) -> Vec<(&'a str, &'a str)> {
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

pub fn ask(y: &mut Harness, id: &str, class: &str) -> ConnId {
    let client = y.client();
    y.bytes(client, &request(&fields(id, class)));
    client
}

/// The next call to a worker; there must be one.
pub fn call(y: &mut Harness) -> Call {
    let at = y.calls.iter().position(|c| c.target.starts_with("/v1/"));
    y.calls.remove(at.expect("a call to a worker"))
}

pub fn has_call(y: &Harness) -> bool {
    y.calls.iter().any(|c| c.target.starts_with("/v1/"))
}

pub fn reply(y: &mut Harness, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &str) {
    y.bytes(conn, &encode::response(status, fields, body.as_bytes(), true));
}

pub const NOT_RUN: (&str, &str) = ("X-Not-Processed", "1");

/// A request that was read, and the writer's call.
pub fn written(y: &mut Harness, id: &str, class: &str) -> (ConnId, Call) {
    let client = ask(y, id, class);
    let read = call(y);
    assert_eq!(read.port, 1);
    reply(y, read.conn, 202, &[], r#"{"cached_tokens":4096}"#);
    let write = call(y);
    assert_ne!(write.port, 1);
    (client, write)
}

pub const FIRST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
pub const LAST: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\
                    \"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n";

pub fn chunk(y: &mut Harness, conn: ConnId, text: &str) {
    let mut bytes = Vec::new();
    encode::chunk(&mut bytes, text.as_bytes());
    y.bytes(conn, &bytes);
}

/// The status of a client's first answer; none if it got no byte.
pub fn first_status(y: &Harness, client: ConnId) -> Option<u16> {
    let text = std::str::from_utf8(y.raw(client)).unwrap();
    text.split(' ').nth(1).map(|s| s.parse().unwrap())
}
