//! The adapter as a process: batches in, replies out, and error messages for invalid input.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing, missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn run_with_args(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chalkyard-adapter"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    // A child that exits early closes its input; the assertions check its exit status.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter should exit")
}

fn run(input: &str) -> Output {
    run_with_args(&[], input)
}

fn batch(turn: u64, at: f64, happened: &[Value]) -> String {
    format!("{}\n", json!({"at_time_s": at, "turn": turn, "happened": happened}))
}

fn init(who: u64) -> Value {
    json!({"kind": "Init", "who": who, "prng": 9_007_199_254_740_993_u64, "params": {
        "balancers": 2, "unheard_of": [1, 2],
        "categories": [
            {"name": "chat", "goal_time_s": 1.0, "deadline_s": 5.0, "late_worth": 0.1, "points": 1.0,
             "repeat": "free", "stream": true, "new_key": 1},
            {"name": "order", "goal_time_s": 2.0, "deadline_s": 9.0, "dedup_window_s": 4.0,
             "group": "zone", "points": 1.0, "repeat": "guarded", "stream": true}],
        "dcs": ["east", "west"], "discovery": "ask", "family": "twostage",
        "family_info": {"ahead": true, "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0],
            "kv_tokens": [200000, 150000, 250000], "release_s": 0.5, "resume": false,
            "role_by_kind": ["read", "write", "both"], "self_prefill": true, "token_aim_s": [0.06, 0.08]},
        "kinds": ["p", "d", "x"],
        "limits": {"cancel": true, "max_attempts": 4, "max_retry_after_s": 1.0, "may_probe": true,
            "may_tell": true, "parallel_tries": false, "retry_after": true},
        "me": 0, "reporting": {"fields": ["x0"], "how": "on_probe"},
        "rules": {"answer_slack_s": 0.008, "cold_from": 0.25, "cold_s": 10.0, "drain_grace_s": 0.25,
            "fall_multiple": 4.0, "fall_s": 2.0, "must_ask_in_s": 10.0},
        "tick_s": 0.002, "weights": "off", "zone": "east"}})
}

fn endpoint_list(who: u64) -> Value {
    json!({"kind": "Registry", "who": who, "mode": "disk", "stamp": 1, "nodes_list": [
        {"worker": "10.0.0.1:80", "az": "east", "model": "p", "block": 0, "lifecycle": "IN", "heft": 1},
        {"worker": "10.0.0.2:80", "az": "east", "model": "d", "block": 0, "lifecycle": "IN", "heft": 1}]})
}

fn request(who: u64, call: &str, tokens: u64) -> Value {
    json!({"kind": "JobIn", "who": who, "call": call, "prompt_tokens": tokens, "output_cap": 100,
        "qos": "chat", "n_prefix": 0, "client_deadline_s": 15.0, "session_id": "chat/1", "realm": 0})
}

fn replies(out: &Output) -> Vec<Value> {
    let text = String::from_utf8(out.stdout.clone()).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect()
}

fn stderr_text(out: &Output) -> String {
    String::from_utf8(out.stderr.clone()).expect("UTF-8")
}

#[test]
fn every_batch_gets_one_reply_with_its_number() {
    let input = batch(1, 8.0, &[]) + &batch(2, 8.5, &[]);
    let out = run(&input);
    assert!(out.status.success());
    assert_eq!(replies(&out), [json!({"turn": 1, "orders": []}), json!({"turn": 2, "orders": []})]);
}

#[test]
fn a_request_goes_to_a_prefill_worker_and_then_to_a_decode_worker() {
    let prefilled = json!({"kind": "Verdict", "who": 3, "call": "00000000000000Af", "worker": "10.0.0.1:80",
        "status": "parsed", "elapsed_s": 0.2, "detail": 12, "send_no": 0});
    let input = batch(1, 10.0, &[init(3), endpoint_list(3)])
        + &batch(2, 10.1, &[request(3, "00000000000000Af", 6000)])
        + &batch(3, 10.3, &[prefilled]);
    let out = run(&input);
    assert!(out.status.success(), "{}", stderr_text(&out));
    let replies = replies(&out);
    assert_eq!(replies[0]["orders"], json!([{"who": 3, "kind": "Tail", "enable": true}]));
    let send = &replies[1]["orders"][0];
    assert_eq!(send["kind"], "Send");
    assert_eq!(send["call"], "00000000000000Af", "returned unmodified");
    assert_eq!(send["worker"], "10.0.0.1:80");
    assert_eq!(replies[2]["orders"][0]["worker"], "10.0.0.2:80");
}

#[test]
fn all_other_messages_are_accepted() {
    let events = [
        json!({"kind": "Streaming", "who": 1, "call": "0000000000000001", "send_no": 0, "worker": "a:1",
            "elapsed_s": 0.1}),
        json!({"kind": "AnswerAhead", "who": 1, "call": "0000000000000001", "sort": 1, "value": 0,
            "worker": "a:1", "send_no": 0}),
        json!({"kind": "CancelledByClient", "who": 1, "call": "0000000000000001"}),
        json!({"kind": "TimeoutFired", "who": 1, "name": 77}),
        json!({"kind": "Health", "who": 1, "worker": "10.0.0.2:80", "status": "served", "elapsed_s": 0.001,
            "stats": {"x0": 0.4, "x1": 3.0, "mean_ms": 12.0, "other": 1}}),
        json!({"kind": "PeerData", "who": 1, "sender": 2, "msg": "68692037"}),
        json!({"kind": "Registry", "who": 1, "mode": "error", "stamp": 2}),
        json!({"kind": "Destroy", "who": 1}),
        json!({"kind": "TimeoutFired", "who": 1, "name": 78}),
    ];
    let out = run(&(batch(1, 10.0, &[init(1), endpoint_list(1)]) + &batch(2, 10.2, &events)));
    assert!(out.status.success(), "{}", stderr_text(&out));
    assert_eq!(stderr_text(&out), "");
    assert_eq!(replies(&out).len(), 2);
}

#[test]
fn instances_share_nothing() {
    let alone = run(&(batch(1, 10.0, &[init(1), endpoint_list(1)])
        + &batch(2, 10.1, &[request(1, "000000000000000a", 900)])));
    let both = run(&(batch(1, 10.0, &[init(1), endpoint_list(1), init(2), endpoint_list(2)])
        + &batch(2, 10.1, &[request(2, "000000000000000b", 900), request(1, "000000000000000a", 900)])));
    let orders_of = |out: &Output, who: u64| -> Vec<Value> {
        let all = replies(out).into_iter().flat_map(|r| r["orders"].as_array().expect("orders").clone());
        all.filter(|o| o["who"] == who).collect()
    };
    assert!(!orders_of(&alone, 1).is_empty());
    assert_eq!(orders_of(&alone, 1), orders_of(&both, 1));
}

#[test]
fn init_of_an_existing_instance_replaces_it() {
    let input = batch(1, 10.0, &[init(1), endpoint_list(1)])
        + &batch(2, 10.1, &[request(1, "000000000000000a", 6000)])
        + &batch(3, 10.2, &[init(1), endpoint_list(1)])
        + &batch(
            4,
            10.3,
            &[json!({"kind": "Verdict", "who": 1, "call": "000000000000000a", "send_no": 0,
            "worker": "10.0.0.1:80", "status": "parsed", "elapsed_s": 0.2})],
        );
    let out = run(&input);
    assert!(out.status.success());
    assert_eq!(replies(&out)[3]["orders"], json!([]));
}

#[test]
fn unknown_kinds_are_ignored_and_reported_once() {
    let unknown = json!({"kind": "Comet", "who": 1, "tail": 3});
    let input = batch(1, 10.0, &[unknown.clone(), unknown.clone()]) + &batch(2, 10.0, &[unknown]);
    let out = run(&input);
    assert!(out.status.success());
    assert_eq!(replies(&out).len(), 2);
    assert_eq!(stderr_text(&out).matches("Comet").count(), 1);
}

#[test]
fn bad_input_names_line_and_field_and_writes_no_reply() {
    let mut no_call = request(1, "000000000000000a", 10);
    no_call.as_object_mut().expect("object").remove("call");
    let mut no_rules = init(1);
    no_rules["params"].as_object_mut().expect("object").remove("rules");
    let mut unknown_lifecycle = endpoint_list(1);
    unknown_lifecycle["nodes_list"][0]["lifecycle"] = json!("ASLEEP");
    for (line, field) in [
        ("{\"at_time_s\":1,\n".to_owned(), ""),
        ("{\"at_time_s\":1,\"happened\":[]}\n".to_owned(), "turn"),
        (batch(2, 1.0, &[no_call]), "call"),
        (batch(2, 1.0, &[no_rules]), "rules"),
        (batch(2, 1.0, &[unknown_lifecycle]), "lifecycle"),
        (batch(2, 1.0, &[json!({"kind": "TimeoutFired", "name": 1})]), "who"),
        (batch(2, 1.0, &[json!({"kind": "Verdict", "who": 1, "call": "a", "status": "perhaps"})]), "status"),
    ] {
        let out = run(&(batch(1, 1.0, &[init(1)]) + &line));
        assert!(!out.status.success(), "{line}");
        assert_eq!(replies(&out).len(), 1, "{line}");
        let message = stderr_text(&out);
        assert!(message.contains("line 2") && message.contains(field), "{line}: {message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn empty_input_succeeds_and_arguments_are_rejected() {
    assert!(run("").status.success());
    let out = run_with_args(&["--help"], "");
    assert!(!out.status.success());
    assert!(stderr_text(&out).contains("no arguments"));
}
