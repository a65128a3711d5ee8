//! A router's life as its operators and supervisor see it: the control socket, signals, exit codes.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::path::PathBuf;
use std::time::Duration;

use common::*;

struct Life {
    engine: Engine,
    router: Running,
    socket: PathBuf,
    file: PathBuf,
}

fn life(name: &str, drain: &str) -> Life {
    let (engine, dir) = (Engine::new(), folder(name));
    let socket = dir.join("r1.sock");
    let extra = format!("control=\"{}\"", socket.display());
    let xml = settings("127.0.0.1:0".parse().unwrap(), engine.at(), &extra);
    let file = dir.join("r1.xml");
    std::fs::write(&file, xml.replace("drain=\"3s\"", &format!("drain=\"{drain}\""))).unwrap();
    let router = Running::start(&file, None, &[]);
    Life { engine, router, socket, file }
}

impl Life {
    fn ask(&self, args: &[&str]) -> serde_json::Value {
        let out = chalkyard(&[args, &[self.socket.to_str().unwrap(), "--format", "json"]].concat());
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
        serde_json::from_slice(&out.stdout).unwrap()
    }

    fn stream(&self) -> (TcpStream, TcpStream) {
        let mut client = self.router.connect();
        client.write_all(&ask(true)).unwrap();
        let answer = self.engine.begin();
        assert!(read_until(&mut client, "message.delta").contains("message.opened"));
        (client, answer)
    }
}

#[test]
fn an_operator_sees_what_is_open_and_what_has_ended() {
    let mut l = life("control", "3s");
    let mode = std::fs::metadata(&l.socket).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "its owner's alone");
    let (mut client, mut answer) = l.stream();
    let status = l.ask(&["status"]);
    assert_eq!((&status["phase"], &status["open_requests"]), (&"ready".into(), &1.into()));
    let engines = l.ask(&["engines"]);
    assert_eq!((&engines["items"][0]["id"], &engines["items"][0]["attempts"]), (&"m1".into(), &1.into()));
    let open = l.ask(&["requests"]);
    let id = open["items"][0]["id"].as_str().unwrap();
    assert_eq!(
        (&open["items"][0]["phase"], &open["items"][0]["may_have_run"]),
        (&"streaming".into(), &true.into())
    );
    assert_eq!(l.ask(&["trace", id])["attempts"][0]["outcome"], "open");
    Engine::end(&mut answer);
    read_until(&mut client, "message.closed");
    l.router.wait_log("finished");
    assert_eq!(l.ask(&["trace", id])["ended"], "served");
    // By the settings' file as well, for a person, and with a clear word for what there is not.
    let out = chalkyard(&["requests", l.file.to_str().unwrap()]);
    assert_eq!(text(&out.stdout), "none\n");
    let out = chalkyard(&["trace", "r1-0-0", l.socket.to_str().unwrap()]);
    assert!(out.status.code() == Some(1) && text(&out.stderr).contains("no request r1-0-0"));
    assert_eq!(l.ask(&["log-level", "warn"])["level"], "warn");
    let out = chalkyard(&["log-level", "loud=very", l.socket.to_str().unwrap()]);
    assert!(text(&out.stderr).contains("no level or filter"), "{}", text(&out.stderr));
    // What is no question is told so, and does no harm.
    let long = "x".repeat(70_000);
    for wrong in ["", "{}\n", "{\"command\":\"fly\"}\n", "{\"command\":\"status\",\"more\":1}\n", &long] {
        let mut s = UnixStream::connect(&l.socket).unwrap();
        s.write_all(wrong.as_bytes()).unwrap();
        s.shutdown(std::net::Shutdown::Write).unwrap();
        let mut told = String::new();
        let _ = s.read_to_string(&mut told);
        assert!(told.is_empty() || told.contains("not understood"), "{told}");
    }
    assert_eq!(l.ask(&["status"])["phase"], "ready");
    // A second router does not take the socket of a living one; a dead one's it does.
    let second = chalkyard(&["run", l.file.to_str().unwrap()]);
    assert!(second.status.code() == Some(1) && text(&second.stderr).contains("another router answers there"));
    l.router.signal("-KILL");
    l.router.wait_end();
    let again = Running::start(&l.file, None, &[]);
    assert_eq!(l.ask(&["status"])["phase"], "ready");
    drop(again);
}

#[test]
fn one_that_speaks_a_byte_at_a_time_holds_the_control_socket_no_longer_than_one_that_is_silent() {
    let l = life("drip", "3s");
    let mut slow = UnixStream::connect(&l.socket).unwrap();
    let drip = std::thread::spawn(move || {
        // Ends when the router has cut it, or after twelve seconds.
        for _ in 0..40 {
            if slow.write_all(b" ").is_err() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    });
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(l.ask(&["status"])["phase"], "ready");
    assert!(drip.join().unwrap(), "cut after its two seconds");
}

#[test]
fn a_drain_can_be_undone_and_an_end_can_not() {
    let mut l = life("undrain", "3s");
    let (mut client, mut answer) = l.stream();
    assert_eq!(l.ask(&["drain"])["phase"], "drained");
    assert!(TcpStream::connect(l.router.at).is_err(), "does not listen");
    assert_eq!(l.ask(&["undrain"])["phase"], "ready");
    let (mut second, mut other) = l.stream();
    assert_eq!(l.ask(&["stop"])["phase"], "ending");
    assert_eq!(l.ask(&["undrain"])["phase"], "ending");
    for (client, answer) in [(&mut client, &mut answer), (&mut second, &mut other)] {
        Engine::end(answer);
        assert!(read_until(client, "message.closed").contains("message.closed"));
    }
    drop((client, second));
    assert_eq!(l.router.wait_end().code(), Some(0));
    assert!(l.router.wait_log("stopped")["reason"].as_str().unwrap().contains("Drained"));
    assert!(!l.socket.exists());
}

/// Of a single shot that may have run nobody says that it was refused.
fn told_that_it_may_have_run(client: &mut TcpStream) {
    let told = read_until(client, "\r\n0\r\n\r\n");
    assert!(told.contains("message.broken") && told.contains("\"may_have_run\":true"), "{told}");
    assert!(told.contains("\"type\":\"failed\"") && told.contains("stopping"), "{told}");
}

#[test]
fn told_twice_it_gives_each_open_request_its_one_answer() {
    let mut l = life("twice", "20s");
    let (mut client, _answer) = l.stream();
    // One that has reached the engine, which has not answered yet.
    let mut waiting = l.router.connect();
    waiting.write_all(&ask(false)).unwrap();
    let start = std::time::Instant::now();
    while l.ask(&["status"])["open_requests"] != 2 {
        assert!(start.elapsed() < Duration::from_secs(5));
    }
    l.router.signal("-TERM");
    l.router.wait_log("takes nothing new");
    l.router.signal("-TERM");
    told_that_it_may_have_run(&mut client);
    let told = read_until(&mut waiting, "stopping");
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("\"type\":\"failed\""), "{told}");
    drop((client, waiting));
    assert_eq!(l.router.wait_end().code(), Some(5));
}

#[test]
fn a_drain_that_takes_too_long_ends_with_an_answer_too() {
    let mut l = life("too-long", "300ms");
    let (mut client, _answer) = l.stream();
    l.router.signal("-TERM");
    told_that_it_may_have_run(&mut client);
    drop(client);
    assert_eq!(l.router.wait_end().code(), Some(4));
}

#[test]
fn a_supervisor_is_told() {
    let dir = folder("notify");
    let place = dir.join("n.sock");
    let supervisor = UnixDatagram::bind(&place).unwrap();
    supervisor.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let file = dir.join("r1.xml");
    std::fs::write(&file, settings("127.0.0.1:0".parse().unwrap(), Engine::new().at(), "")).unwrap();
    let mut child = std::process::Command::new(EXE)
        .args(["run", file.to_str().unwrap()])
        .env("NOTIFY_SOCKET", &place)
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let heard = || {
        let mut buffer = [0; 100];
        let n = supervisor.recv(&mut buffer).unwrap();
        text(&buffer[..n])
    };
    assert_eq!(heard(), "READY=1\n");
    let signal = |name: &str| {
        std::process::Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
    };
    signal("-HUP");
    assert_eq!((heard(), heard()), ("RELOADING=1\n".into(), "READY=1\n".into()));
    signal("-TERM");
    assert_eq!(heard(), "STOPPING=1\n");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

const KEY: &str = "39fe13e0bf950340857a4fbd9be7c32c105ffc710546947de0573092bf6b5710";

/// Keys, waits and bounds change while streams are open; what can't is told with its place, and nothing changes.
#[test]
fn settings_are_reloaded_whole_or_not_at_all() {
    let mut l = life("reload", "3s");
    let plain = std::fs::read_to_string(&l.file).unwrap();
    let tenants = format!(
        "<tenants salt=\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\">\
         <tenant name=\"nord\"><key hash=\"{KEY}\"/></tenant></tenants>\n  <engines>"
    );
    let with = plain.replacen("<engines>", &tenants, 1);
    std::fs::write(&l.file, &with).unwrap();
    l.router.signal("-KILL");
    l.router.wait_end();
    l.router = Running::start(&l.file, None, &[]);
    let asked = |l: &Life| {
        let mut client = l.router.connect();
        let call = text(&ask(true)).replacen("Host: a\r\n", "Host: a\r\nX-Api-Key: example-key\r\n", 1);
        client.write_all(call.as_bytes()).unwrap();
        client
    };
    let mut open = asked(&l);
    let mut answer = l.engine.begin();
    read_until(&mut open, "message.delta");
    let socket = l.socket.to_str().unwrap().to_owned();
    let reload = |l: &Life, xml: &str| {
        std::fs::write(&l.file, xml).unwrap();
        let out = chalkyard(&["reload", &socket]);
        (out.status.code().unwrap(), text(&out.stdout) + &text(&out.stderr))
    };
    // Broken, and what can't be taken over in flight: nothing of it holds, not even the key that is gone too.
    let without_key = with.replacen(&format!("<key hash=\"{KEY}\"/>"), "", 1);
    let (code, told) = reload(&l, &without_key.replacen("</kinds>", "", 1));
    assert!(code == 1 && told.contains("r1.xml:"), "{told}");
    let (code, told) = reload(&l, &without_key.replacen("aim=\"1s\"", "aim=\"2s\"", 1));
    assert!(
        code == 2 && told.contains("chalkyard/classes/class[report]") && told.contains("line 4"),
        "{told}"
    );
    let _still = asked(&l);
    let _taken = l.engine.begin();
    // The key goes; the stream that it opened goes on.
    let (code, told) = reload(&l, &without_key);
    assert!(code == 0 && told.contains("is gone"), "{told}");
    l.router.wait_log("\"reloaded\"");
    let start = std::time::Instant::now();
    while !read_until(&mut asked(&l), "error").starts_with("HTTP/1.1 401") {
        assert!(start.elapsed() < Duration::from_secs(5));
    }
    Engine::end(&mut answer);
    assert!(read_until(&mut open, "message.closed").contains("message.closed"));
    // Twice at once, and back.
    l.router.signal("-HUP");
    l.router.signal("-HUP");
    let (code, told) = reload(&l, &with);
    assert!(code == 0, "{told}");
    let start = std::time::Instant::now();
    loop {
        let mut client = asked(&l);
        client.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        if !read_until(&mut client, "error").contains("401") {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(5));
    }
}
