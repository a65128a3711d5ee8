//! Hand-overs between two processes of a router, and the answers that a router owes on its control socket when it ends.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;
#[path = "common/succession.rs"]
mod succession;

use std::io::Write;
use std::time::Duration;

use common::*;
use succession::*;

/// Connects, asks for the router's health and expects an answer, over and over; how often, and what failed.
fn hammer(
    at: std::net::SocketAddr,
    until: std::sync::Arc<std::sync::atomic::AtomicBool>,
) -> (u64, Vec<String>) {
    let (mut asked, mut failed) = (0, Vec::new());
    while !until.load(std::sync::atomic::Ordering::SeqCst) {
        asked += 1;
        failed.extend(health(at).err());
    }
    (asked, failed)
}

/// The socket goes from process to process under load: no connection is refused or reset, streams of the old one
/// end there, and their settlements reach the ledger that the new one has.
#[test]
fn a_successor_takes_over_without_a_gap() {
    let (engine, dir, file) = with_ledger("succession");
    let mut old = Running::start(&file, None, &[]);
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (at, flag) = (old.at, stop.clone());
    let hammers: Vec<_> = (0..4)
        .map(|_| {
            let flag = flag.clone();
            std::thread::spawn(move || hammer(at, flag))
        })
        .collect();
    let mut client = old.connect();
    client.write_all(&ask(true)).unwrap();
    let mut answer = engine.begin();
    read_until(&mut client, "message.delta");
    std::thread::sleep(Duration::from_millis(200));
    let mut new = Running::start(&file, None, &["--take-over"]);
    assert_eq!(new.at, at);
    std::thread::sleep(Duration::from_millis(300));
    // Both live: the old one for its stream, the new one for all that comes.
    let mut other = new.connect();
    other.write_all(&ask(true)).unwrap();
    let mut second = engine.begin();
    read_until(&mut other, "message.delta");
    let lock = chalkyard(&["run", file.to_str().unwrap()]);
    assert_eq!(lock.status.code(), Some(1), "a third one gets neither ledger nor address");
    Engine::end(&mut answer);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    drop(client);
    assert_eq!(old.wait_end().code(), Some(0));
    Engine::end(&mut second);
    assert!(read_until(&mut other, "message.closed").contains("message.closed"));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let mut asked = 0;
    for h in hammers {
        let (n, failed) = h.join().unwrap();
        assert!(failed.is_empty(), "{failed:?}");
        asked += n;
    }
    assert!(asked > 100, "{asked}");
    new.wait_log("finished");
    wait_endings(&file, &serde_json::json!([{"served": 2}, 0]));
    // The new one answers at the control socket, which the old one has left alone.
    let out = chalkyard(&["stop", dir.join("r1.sock").to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    assert_eq!(new.wait_end().code(), Some(0));
}

/// An old life that dies before its streams have ended: what it had taken is nobody's to pay, and settled once.
#[test]
fn what_a_dead_predecessor_had_open_is_settled_by_its_successor() {
    let (engine, _, file) = with_ledger("succession-death");
    let mut old = Running::start(&file, None, &[]);
    let mut client = old.connect();
    client.write_all(&ask(true)).unwrap();
    let _answer = engine.begin();
    read_until(&mut client, "message.delta");
    let new = Running::start(&file, None, &["--take-over"]);
    assert_eq!(endings(&file)[1], 1);
    old.signal("-KILL");
    old.wait_end();
    wait_endings(&file, &serde_json::json!([{"orphaned": 1}, 0]));
    drop(new);
    // Nobody to take over from.
    let out = chalkyard(&["run", file.to_str().unwrap(), "--take-over"]);
    assert!(
        out.status.code() == Some(1) && text(&out.stderr).contains("taking over at"),
        "{}",
        text(&out.stderr)
    );
}

/// Guards against a predecessor that ends before its successor has the listening socket: it has nothing open, so that its
/// event loop ends in the turn in which it is asked.
#[test]
fn a_router_with_nothing_open_hands_over_each_time() {
    for ledger in [false, true] {
        let (_, file) = unused_engine(if ledger { "idle-ledger" } else { "idle" }, ledger);
        let mut old = Running::start(&file, None, &[]);
        for _ in 0..12 {
            let new = Running::start(&file, None, &["--take-over"]);
            assert_eq!(old.wait_end().code(), Some(0));
            assert_eq!(new.at, old.at);
            old = new;
        }
        assert_eq!(health(old.at), Ok(()), "the last one serves");
    }
}

/// Guards against a process that ends while the control thread still has an operator's answer to write.
#[test]
fn a_stop_is_answered_by_a_router_with_nothing_open() {
    for ledger in [false, true] {
        let (socket, file) = unused_engine(if ledger { "stop-ledger" } else { "stop" }, ledger);
        for _ in 0..12 {
            let mut router = Running::start(&file, None, &[]);
            let out = chalkyard(&["stop", socket.to_str().unwrap(), "--format", "json"]);
            assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
            let answer: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
            assert_eq!(answer["phase"], "ending");
            assert_eq!(router.wait_end().code(), Some(0));
            assert!(!socket.exists(), "the socket file is removed");
        }
    }
}

/// Guards against a predecessor that gives its ledger up to a successor whose settings name another one: its last settlements
/// would reach neither.
#[test]
fn a_successor_with_another_ledger_leaves_the_old_one_to_its_predecessor() {
    let (engine, dir, file) = with_ledger("other-ledger");
    let mut old = Running::start(&file, None, &[]);
    let mut client = old.connect();
    client.write_all(&ask(true)).unwrap();
    let mut answer = engine.begin();
    read_until(&mut client, "message.delta");
    let other = dir.join("other.xml");
    let xml = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&other, xml.replacen("/ledger\"", "/other-ledger\"", 1)).unwrap();
    let new = Running::start(&other, None, &["--take-over"]);
    Engine::end(&mut answer);
    drop(answer);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    drop(client);
    assert_eq!(old.wait_end().code(), Some(0));
    assert_eq!(endings(&file), serde_json::json!([{"served": 1}, 0]));
    let mut client = new.connect();
    client.write_all(&ask(true)).unwrap();
    Engine::end(&mut engine.begin());
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    wait_endings(&other, &serde_json::json!([{"served": 1}, 0]));
}
