//! Planned restarts of a router process while clients write their requests in pieces: on the platform, and with a settings
//! file by a signal and by a hand-over.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

mod common;
#[path = "common/peers.rs"]
mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::{folder, read_until, settings, text, Engine, Running, EXE};
use peers::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Earliest SIGKILL after SIGTERM, with a longest deadline of 3 s or more.
const KILL_AFTER: Duration = ms(3_700);
/// A request that arrives later than this after SIGTERM must have its answer before SIGKILL.
const LATE: Duration = ms(700);

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against a request that is completed long after SIGTERM, is served, and whose stream SIGKILL then cuts off.
#[test]
fn a_request_whose_last_bytes_come_late_in_a_planned_restart_is_rejected_in_time() {
    for (name, resume, late) in [("late-pieces", false, LATE), ("late-pieces-resume", true, ms(1_700))] {
        let worker = Worker::new();
        let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
        let router = Router::start(name, &agent, &Setting { resume, ..Setting::default() });
        // A stream that is under way all the time.
        let mut open = router.connect();
        open.write_all(&ask("open", "chat", 20)).unwrap();
        let mut stream = worker.accept();
        assert_eq!(stream.call().unwrap().id, "open");
        stream.begin();
        stream.event("first");
        read_until(&mut open, "first");
        let (mut slow, mut stuck) = (router.known_client(), router.known_client());
        let call = ask("slow", "once", 20);
        let (first, second) = call.split_at(call.len() - 20);
        slow.write_all(first).unwrap();
        stuck.write_all(first).unwrap();
        arrived(&slow);
        arrived(&stuck);
        let told = Instant::now();
        router.terminate();
        sleep_until(told + late);
        slow.write_all(second).unwrap();
        let (answer, reset) = rest(&mut slow);
        assert!(!reset && status(&answer) == "503" && answer.contains("connection: close"), "{answer:?}");
        assert!(told.elapsed() < KILL_AFTER, "{:?}", told.elapsed());
        let (answer, reset) = rest(&mut stuck);
        assert!(!reset && status(&answer) == "503" && answer.contains("connection: close"), "{answer:?}");
        assert!(told.elapsed() < KILL_AFTER, "{:?}", told.elapsed());
        assert!(worker.try_accept().is_none(), "the request was sent to a worker");
        if !resume {
            stream.event("last");
            stream.end();
            let (answer, _) = rest(&mut open);
            assert!(answer.contains("last") && answer.ends_with("0\r\n\r\n"), "{answer:?}");
        }
    }
}

/// A router with a settings file and a control socket, whose drain may last this long.
fn with_settings(name: &str, drain: &str) -> (Engine, PathBuf, Running) {
    let (engine, dir) = (Engine::new(), folder(name));
    let extra = format!("control=\"{}\"", dir.join("r1.sock").display());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let xml = settings(any, engine.at(), &extra).replace("drain=\"3s\"", &format!("drain=\"{drain}\""));
    let file = dir.join("r1.xml");
    std::fs::write(&file, xml).unwrap();
    let router = Running::start(&file, None, &[]);
    (engine, file, router)
}

/// Writes all of a request but its end, and returns the end.
fn begin_request(client: &mut TcpStream) -> Vec<u8> {
    let mut first = common::ask(true);
    let second = first.split_off(first.len() - 20);
    client.write_all(&first).unwrap();
    arrived(client);
    second
}

fn is_rejection(answer: &str) -> bool {
    status(answer) == "503"
        && answer.contains("connection: close")
        && answer.contains("\"type\":\"refused\"")
        && answer.contains("\"may_have_run\":false")
}

#[test]
fn a_request_in_pieces_is_rejected_at_a_hand_over_and_at_a_signal() {
    for by_hand_over in [false, true] {
        let name = if by_hand_over { "pieces-hand-over" } else { "pieces-signal" };
        let (engine, file, mut router) = with_settings(name, "20s");
        let mut slow = router.connect();
        let second = begin_request(&mut slow);
        let successor = by_hand_over.then(|| Running::start(&file, None, &["--take-over"]));
        if !by_hand_over {
            router.signal("-TERM");
            router.wait_log("takes nothing new");
        }
        std::thread::sleep(LATE);
        slow.write_all(&second).unwrap();
        let (answer, reset) = rest(&mut slow);
        assert!(!reset && is_rejection(&answer), "{answer:?}");
        engine.listener.set_nonblocking(true).unwrap();
        assert!(engine.listener.accept().is_err(), "the request was sent to an engine");
        drop(slow);
        assert_eq!(router.wait_end().code(), Some(0));
        drop(successor);
    }
}

/// Guards against a connection that ends without an answer because a part of its request was missing as the drain's time
/// was up.
#[test]
fn an_unfinished_request_is_rejected_when_the_drain_takes_too_long_or_is_cut_short() {
    for is_cut_short in [false, true] {
        let name = if is_cut_short { "pieces-cut-short" } else { "pieces-too-long" };
        let (_engine, _, mut router) = with_settings(name, if is_cut_short { "20s" } else { "300ms" });
        let mut slow = router.connect();
        begin_request(&mut slow);
        router.signal("-TERM");
        router.wait_log("takes nothing new");
        if is_cut_short {
            router.signal("-TERM");
        }
        let (answer, reset) = rest(&mut slow);
        assert!(!reset && is_rejection(&answer), "{answer:?}");
        drop(slow);
        let code = router.wait_end().code();
        assert_eq!(code, Some(if is_cut_short { 5 } else { 4 }), "{}", text(answer.as_bytes()));
    }
}

/// A second SIGTERM on the platform, before the router has stopped to accept requests.
#[test]
fn an_unfinished_request_is_rejected_when_the_process_ends_at_once() {
    let worker = Worker::new();
    let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
    let mut router = Router::start("pieces-at-once", &agent, &Setting::default());
    let mut slow = router.connect();
    slow.write_all(&ask("slow", "once", 20)[..60]).unwrap();
    arrived(&slow);
    router.terminate();
    router.wait_log("told to end");
    router.terminate();
    let (answer, reset) = rest(&mut slow);
    assert!(!reset && status(&answer) == "503" && answer.contains("connection: close"), "{answer:?}");
    drop(slow);
    assert_eq!(router.wait_end().code(), Some(5));
}
