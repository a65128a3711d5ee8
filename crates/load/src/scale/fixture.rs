//! What a router on the platform is told at a size: its configuration and the list of workers.

use std::net::SocketAddr;

use super::size::Size;

/// Where discovery answers.
pub const DISCOVERY_PORT: u16 = 9;
/// Worker `n` listens on this port and `n` more.
pub const FIRST_WORKER_PORT: u16 = 10_000;

/// A worker as discovery tells it.
pub fn member(n: usize, readers: usize, phase: &str) -> serde_json::Value {
    serde_json::json!({
        "id": format!("s-{n:08x}"), "host_port": format!("127.0.0.1:{}", usize::from(FIRST_WORKER_PORT) + n),
        "locality": format!("z{}", n % 4), "flavor": if n < readers { "reads" } else { "writes" }, "cell": n / 16,
        "phase": phase, "size": 1.0, "up_since_ms": 0,
    })
}

/// The bytes of a list as discovery tells it.
pub fn list_text(revision: u64, complete: bool, members: &[serde_json::Value]) -> String {
    serde_json::json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

/// All workers of a size.
pub fn members(size: &Size) -> Vec<serde_json::Value> {
    (0..size.workers).map(|n| member(n, size.readers(), "up")).collect()
}

/// The configuration of a router of a size.
pub fn configuration(size: &Size, listen: SocketAddr, discovery: SocketAddr) -> serde_json::Value {
    let tenants: Vec<_> = (0..size.tenants)
        .map(|n| serde_json::json!({"name": format!("t{n:06}"), "allowance_per_s": 10.0}))
        .collect();
    let class = |name: &str, repeat: &str| serde_json::json!({"name": name, "goal_time_s": 1.8, "deadline_s": 5.0, "repeat": repeat, "group": "all", "stream": true});
    serde_json::json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": members(size)},
        "settings": {
            "balancers": size.routers, "categories": [class("chat", "free"), class("once", "single_shot")],
            "dcs": ["z0", "z1", "z2", "z3"], "discovery": "push", "kinds": ["reads", "writes"],
            "reporting": {"how": "inline", "fields": ["load_share"]},
            "family_info": {"kv_tokens": [664_000.0, 456_000.0], "release_s": 1.0, "resume": false, "self_prefill": true,
                            "role_by_kind": ["read", "write"]},
            "limits": {"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after_s": 1.0,
                       "conn_idle_s": 30.0, "connect_timeout_s": 0.25},
            "rules": {"answer_slack_s": 0.05, "cold_from": 0.3, "cold_s": 8.0, "fall_multiple": 3.0, "fall_s": 2.0,
                      "must_ask_in_s": 10.0},
            "tenants": tenants, "tick_s": 0.002, "weights": "off",
        },
    })
}
