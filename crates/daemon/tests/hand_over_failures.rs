//! Hand-overs that fail at each step: the running router goes on, whatever becomes of its successor.
//!
//! A stand-in speaks the successor's part on the control socket and stops at a step; it has no use for the descriptors.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;
#[path = "common/succession.rs"]
mod succession;

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{json, Value};
use succession::*;

/// Longest time for which a successor may keep the running router from accepting: to read the ledger, and to reply.
const SUSPENSION_BOUND: Duration = Duration::from_secs(5 + 2);

/// A successor's part, by hand.
struct StandIn {
    lines: BufReader<UnixStream>,
}

impl StandIn {
    fn new(socket: &Path) -> Self {
        let stream = UnixStream::connect(socket).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Self { lines: BufReader::new(stream) }
    }

    fn send(&mut self, message: &Value) {
        self.lines.get_mut().write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.lines.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_default()
    }

    /// Goes on to the step that the running router answers with this.
    fn at(socket: &Path, step: &str, ledger: bool) -> Self {
        let mut stand_in = Self::new(socket);
        stand_in.send(&json!({"command": "take-over", "version": 2}));
        assert_eq!(stand_in.receive(), json!({"step": "offer", "ledger": ledger}));
        for (said, answered) in [
            (json!({"step": "prepared", "ledger": ledger}), "suspended"),
            (json!({"step": "recovered"}), "committed"),
        ] {
            if step == "offer" || (step == "suspended" && answered == "committed") {
                break;
            }
            stand_in.send(&said);
            assert_eq!(stand_in.receive(), json!({"step": answered}));
        }
        stand_in
    }
}

fn phase(socket: &Path) -> Value {
    let out = chalkyard(&["status", socket.to_str().unwrap(), "--format", "json"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    serde_json::from_slice::<Value>(&out.stdout).unwrap()["phase"].take()
}

fn wait_phase(socket: &Path, expected: &str) {
    let start = Instant::now();
    while phase(socket) != expected {
        assert!(start.elapsed() < SUSPENSION_BOUND, "{}", phase(socket));
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Names of the files beside the settings.
fn files(file: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(file.parent().unwrap()).unwrap();
    let mut names: Vec<String> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

/// Guards against a router that has given its place up to a successor which is killed after it asked.
#[test]
fn a_successor_that_ends_at_any_step_leaves_the_running_router() {
    for ledger in [false, true] {
        let name = if ledger { "ends-ledger" } else { "ends" };
        let (socket, file) = unused_engine(name, ledger);
        let mut router = Running::start(&file, None, &[]);
        let before = files(&file);
        for step in ["offer", "suspended", "committed"] {
            let stand_in = StandIn::at(&socket, step, ledger);
            assert_eq!(phase(&socket), if step == "offer" { "ready" } else { "handing_over" });
            // A successor that has the token puts its own socket at the path.
            let path_taken = (step == "committed").then(|| {
                let other = file.with_extension("other");
                let listener = UnixListener::bind(&other).unwrap();
                std::fs::rename(&other, &socket).unwrap();
                listener
            });
            drop(stand_in);
            drop(path_taken);
            assert_eq!(health(router.at), Ok(()), "{step}");
            wait_phase(&socket, "ready");
            assert_eq!(files(&file), before, "{step}: nothing is left");
        }
        // A whole one takes over from the same router.
        let new = Running::start(&file, None, &["--take-over"]);
        assert_eq!(router.wait_end().code(), Some(0));
        assert_eq!((health(new.at), files(&file)), (Ok(()), before));
    }
}

/// Guards against a router that waits without end for a successor that stands still. Its clients wait in the listening socket
/// no longer than the bound, and streams that end meanwhile are settled once.
#[test]
fn a_successor_that_stands_still_gives_the_place_back() {
    for step in ["suspended", "committed"] {
        let (engine, dir, file) = with_ledger(&format!("still-{step}"));
        let socket = dir.join("r1.sock");
        let router = Running::start(&file, None, &[]);
        let mut client = router.connect();
        client.write_all(&ask(true)).unwrap();
        let mut answer = engine.begin();
        read_until(&mut client, "message.delta");
        let mut stand_in = StandIn::at(&socket, step, true);
        let start = Instant::now();
        Engine::end(&mut answer);
        drop(answer);
        assert!(read_until(&mut client, "message.closed").contains("message.closed"));
        let mut waiting = router.connect();
        waiting.set_read_timeout(Some(SUSPENSION_BOUND)).unwrap();
        waiting.write_all(b"GET /health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
        let mut told = String::new();
        waiting.read_to_string(&mut told).unwrap();
        assert!(told.starts_with("HTTP/1.1 200") && start.elapsed() < SUSPENSION_BOUND, "{told}");
        assert_eq!(stand_in.receive(), json!({"step": "withdrawn", "reason": "timed-out"}));
        wait_phase(&socket, "ready");
        wait_endings(&file, &json!([{"served": 1}, 0]));
        // New requests are admitted, and reach the ledger.
        let mut client = router.connect();
        client.write_all(&ask(true)).unwrap();
        let mut answer = engine.begin();
        Engine::end(&mut answer);
        assert!(read_until(&mut client, "message.closed").contains("message.closed"));
        wait_endings(&file, &json!([{"served": 2}, 0]));
    }
}

/// A successor whose start takes three seconds, because it waits for an endpoint list that does not come.
fn slow_successor(file: &Path) -> (Child, PathBuf) {
    let xml = std::fs::read_to_string(file).unwrap();
    let begin = xml.find("<engines>").unwrap();
    let end = xml.find("</engines>").unwrap() + "</engines>".len();
    let without = xml.replacen(&xml[begin..end], "", 1);
    let (slow, log) = (file.with_extension("slow.xml"), file.with_extension("log"));
    // Nothing listens at the port of the register.
    std::fs::write(&slow, without.replacen("<router ", "<router register=\"127.0.0.1:9\" ", 1)).unwrap();
    let child = Command::new(EXE)
        .args(["run", "--take-over", slow.to_str().unwrap()])
        .stderr(std::fs::File::create(&log).unwrap())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    (child, log)
}

fn wait_text(log: &Path, what: &str) {
    let start = Instant::now();
    while !std::fs::read_to_string(log).unwrap().contains(what) {
        assert!(start.elapsed() < Duration::from_secs(10), "{}", std::fs::read_to_string(log).unwrap());
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a successor has the offer: only then it binds its own control socket, in a folder with its number.
fn wait_offered(socket: &Path, successor: &Child) {
    let folder = socket.with_extension(format!("new-{}", successor.id()));
    let start = Instant::now();
    while !folder.exists() {
        assert!(start.elapsed() < Duration::from_secs(10), "no offer");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// What a successor that cannot start prints. The running router may not have noticed yet that the one before has ended.
fn unable_successor(args: &[&str]) -> String {
    let start = Instant::now();
    loop {
        let out = chalkyard(&[&["run", "--take-over"], args].concat());
        let told = text(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{told}");
        if !told.contains("another successor is about to") {
            return told;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "{told}");
    }
}

/// Guards against a router that ends when it is asked, though its successor cannot start.
#[test]
fn a_successor_that_cannot_start_leaves_the_running_router() {
    for ledger in [false, true] {
        let name = if ledger { "unable-ledger" } else { "unable" };
        let (socket, file) = unused_engine(name, ledger);
        let router = Running::start(&file, None, &[]);
        let settings = file.to_str().unwrap();
        assert!(
            unable_successor(&["--decisions", "/nonexistent/file", settings]).contains("/nonexistent/file")
        );
        assert_eq!(health(router.at), Ok(()));
        if ledger {
            let xml = std::fs::read_to_string(&file).unwrap();
            let other = file.with_extension("other.xml");
            // A key that cannot be read is found with the ledger, while the running router is suspended.
            let grants = "<budgets grants=\"/nonexistent/grant\" key-file=\"/nonexistent/key\" ";
            std::fs::write(&other, xml.replacen("<budgets ", grants, 1)).unwrap();
            let told = unable_successor(&[other.to_str().unwrap()]);
            assert!(told.contains("/nonexistent/key") && told.contains("TakeOverFailed"), "{told}");
            assert_eq!(health(router.at), Ok(()));
        }
        wait_phase(&socket, "ready");
    }
}

/// Guards against a router that ends when it is asked, though its successor is killed before it is ready. The second of two
/// successors is turned away meanwhile.
#[test]
fn a_successor_that_is_killed_leaves_the_running_router() {
    for ledger in [false, true] {
        let name = if ledger { "killed-ledger" } else { "killed" };
        let (socket, file) = unused_engine(name, ledger);
        let router = Running::start(&file, None, &[]);
        let (mut successor, _) = slow_successor(&file);
        wait_offered(&socket, &successor);
        let second = chalkyard(&["run", "--take-over", file.to_str().unwrap()]);
        assert_eq!(second.status.code(), Some(1));
        assert!(text(&second.stderr).contains("another successor is about to"), "{}", text(&second.stderr));
        successor.kill().unwrap();
        successor.wait().unwrap();
        assert_eq!((health(router.at), phase(&socket)), (Ok(()), "ready".into()));
    }
}

/// Guards against two successors at once of which neither takes over, or each after the other has ended.
#[test]
fn of_two_successors_at_once_one_is_left() {
    for ledger in [false, true] {
        let name = if ledger { "two-ledger" } else { "two" };
        let (_, file) = unused_engine(name, ledger);
        let mut first = Running::start(&file, None, &[]);
        let mut others = Vec::new();
        for _ in 0..6 {
            for _ in 0..2 {
                let take_over = ["run", "--take-over", file.to_str().unwrap()];
                let child = Command::new(EXE).args(take_over).stderr(Stdio::null()).spawn().unwrap();
                others.push(Ended(child));
            }
            let start = Instant::now();
            let mut running = || {
                let others =
                    others.iter_mut().filter_map(|router: &mut Ended| router.is_running().then_some(()));
                others.count() + usize::from(first.child.try_wait().unwrap().is_none())
            };
            while running() != 1 {
                assert!(start.elapsed() < Duration::from_secs(10), "more than one, or none");
                std::thread::sleep(Duration::from_millis(5));
            }
            assert_eq!(health(first.at), Ok(()));
        }
    }
}

/// Guards against a successor that gives up because its predecessor was killed before it was done: nobody would be left.
#[test]
fn a_successor_serves_when_its_predecessor_is_killed() {
    let (engine, dir, file) = with_ledger("predecessor-killed");
    let mut old = Running::start(&file, None, &[]);
    let at = old.at;
    let mut client = old.connect();
    client.write_all(&ask(true)).unwrap();
    let _answer = engine.begin();
    read_until(&mut client, "message.delta");
    let (successor, log) = slow_successor(&file);
    wait_offered(&dir.join("r1.sock"), &successor);
    let successor = Ended(successor);
    old.signal("-KILL");
    old.wait_end();
    // Waits in the listening socket until the successor is ready.
    assert_eq!(health(at), Ok(()));
    wait_text(&log, "\"ready\"");
    wait_endings(&file, &json!([{"orphaned": 1}, 0]));
    drop(successor);
}

/// Guards against a successor that takes the place of a router which an operator has stopped meanwhile, and against a stop that
/// waits for it.
#[test]
fn a_router_that_is_stopped_meanwhile_ends_and_its_successor_too() {
    let (socket, file) = unused_engine("stopped-meanwhile", true);
    let mut old = Running::start(&file, None, &[]);
    let (mut successor, log) = slow_successor(&file);
    wait_offered(&socket, &successor);
    let out = chalkyard(&["stop", socket.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    assert_eq!(old.wait_end().code(), Some(0));
    assert_eq!(successor.wait().unwrap().code(), Some(1));
    wait_text(&log, "the running router ends");
}

/// Guards against an operator's command that a suspended router ignores, or takes too late.
#[test]
fn a_suspended_router_is_stopped_and_drained_as_any_other() {
    for ledger in [false, true] {
        for step in ["suspended", "committed"] {
            let (socket, file) = unused_engine(&format!("stopped-{step}-{ledger}"), ledger);
            let mut router = Running::start(&file, None, &[]);
            let _stand_in = StandIn::at(&socket, step, ledger);
            let out = chalkyard(&["stop", socket.to_str().unwrap()]);
            assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
            assert_eq!(router.wait_end().code(), Some(0));
        }
        let (socket, file) = unused_engine(&format!("drained-{ledger}"), ledger);
        let router = Running::start(&file, None, &[]);
        let mut stand_in = StandIn::at(&socket, "suspended", ledger);
        for (command, expected) in [("drain", "drained"), ("undrain", "ready")] {
            let out = chalkyard(&[command, socket.to_str().unwrap(), "--format", "json"]);
            assert_eq!(serde_json::from_slice::<Value>(&out.stdout).unwrap()["phase"], expected);
        }
        assert_eq!(health(router.at), Ok(()));
        stand_in.send(&json!({"step": "recovered"}));
        assert_eq!(stand_in.receive(), json!({"step": "withdrawn", "reason": "not-ready"}));
        assert_eq!((health(router.at), phase(&socket)), (Ok(()), "ready".into()));
    }
}

/// Guards against two builds that take each other's messages for their own.
#[test]
fn another_version_of_the_protocol_is_an_error_and_the_running_router_goes_on() {
    let (socket, file) = unused_engine("versions", false);
    let router = Running::start(&file, None, &[]);
    for asked in [json!({"command": "take-over"}), json!({"command": "take-over", "version": 3})] {
        let mut old_build = StandIn::new(&socket);
        old_build.send(&asked);
        let told = old_build.receive()["error"].to_string();
        assert!(told.contains("it speaks version 2 of the hand-over"), "{told}");
    }
    assert_eq!((health(router.at), phase(&socket)), (Ok(()), "ready".into()));
    drop(router);
    // What a build before the versions says to a successor of this one.
    std::fs::remove_file(&socket).unwrap();
    let old_build = UnixListener::bind(&socket).unwrap();
    let answered = std::thread::spawn(move || {
        let (mut stream, _) = old_build.accept().unwrap();
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        stream.write_all(b"{\"error\":\"not understood: unknown field `version`\"}\n").unwrap();
        line
    });
    let out = chalkyard(&["run", "--take-over", file.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(1));
    assert!(text(&out.stderr).contains("not understood: unknown field `version`"), "{}", text(&out.stderr));
    assert_eq!(answered.join().unwrap(), "{\"command\":\"take-over\",\"version\":2}\n");
}

/// A process that ends with the test.
struct Ended(Child);

impl Ended {
    fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }
}

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
