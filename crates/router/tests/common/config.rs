//! The configuration of the harness's core, and endpoint lists in the router's own form.

use std::collections::BTreeMap;

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_router::{Bounds, ClassConfig, Config, Timeouts, WorkerKind};

use super::ms;

pub fn config() -> Config {
    let class = |effect| p::Class {
        latency_objective: ms(1_000),
        latency_objective_per_1000_tokens: ms(60),
        deadline: ms(4_000),
        retry_safety: effect,
        dedup_window: ms(3_000),
    };
    let kind = |role| WorkerKind { role, kv_tokens: Some(100_000) };
    Config {
        name: "r1".into(),
        policy: p::Settings {
            routers: 1,
            classes: vec![class(p::RetrySafety::Idempotent), class(p::RetrySafety::NonIdempotent)],
            tenants: vec![],
            discovery: p::Discovery::Push,
            max_poll_interval: ms(10_000),
            self_prefill: true,
            resume: false,
            reservation_timeout: ms(1_000),
            max_attempts: 4,
            may_cancel: true,
            max_retry_after: ms(1_000),
            overload_multiple: 3.0,
            overload_window: ms(2_000),
            slow_start_initial_share: 0.3,
            slow_start_duration: ms(8_000),
            answer_slack: ms(100),
            tick: ms(2),
            weighted: false,
            load_reporting: p::LoadReporting::InResponses,
        },
        classes: vec![ClassConfig { name: "help".into() }, ClassConfig { name: "report".into() }],
        default_class: 0,
        tenants: vec![],
        keys: KeyRing::new([0; 32]),
        zones: BTreeMap::new(),
        kinds: [("reader", p::Role::Prefill), ("writer", p::Role::Decode), ("mixed", p::Role::Combined)]
            .map(|(n, r)| (n.to_owned(), kind(r)))
            .into(),
        discovery: None,
        bounds: Bounds::default(),
        timeouts: Timeouts::default(),
        dialect: None,
    }
}

pub fn entry(id: &str, kind: &str, port: u16, state: &str) -> serde_json::Value {
    serde_json::json!({"worker": id, "kind": kind, "address": format!("127.0.0.1:{port}"), "state": state})
}

pub fn list(version: u64, workers: &[serde_json::Value]) -> String {
    serde_json::json!({ "version": version, "workers": workers }).to_string()
}

/// One prefill worker at port 1 and decode workers at ports 2 and 3.
pub fn default_workers() -> Vec<serde_json::Value> {
    vec![
        entry("read", "reader", 1, "in"),
        entry("write-1", "writer", 2, "in"),
        entry("write-2", "writer", 3, "in"),
    ]
}
