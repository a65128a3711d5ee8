//! The router as a process, over real sockets.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use common::*;

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn start(name: &str, engine: &Engine, limit: Option<u32>) -> Running {
    let file = folder(name).join("r1.xml");
    std::fs::write(&file, settings(any(), engine.at(), "")).unwrap();
    Running::start(&file, limit, &[])
}

#[test]
fn a_stream_runs_and_its_log_line_says_who_ended_it() {
    let engine = Engine::new();
    let folder = folder("stream");
    let file = folder.join("r1.xml");
    std::fs::write(&file, settings(any(), engine.at(), "")).unwrap();
    let decisions = folder.join("decisions");
    let mut router = Running::start(&file, None, &["--decisions", decisions.to_str().unwrap()]);
    let mut client = router.connect();
    client.write_all(&ask(true)).unwrap();
    let mut answer = engine.begin();
    let begun = read_until(&mut client, "message.delta");
    assert!(begun.contains("message.opened"));
    Engine::end(&mut answer);
    assert!(read_until(&mut client, "\r\n0\r\n\r\n").contains("message.closed"));
    let line = router.wait_log("finished");
    assert_eq!((&line["ended"], &line["phase"]), (&"served".into(), &"streaming".into()));
    assert!(line["attempts"].as_str().unwrap().contains("\"outcome\":\"served\""));
    router.signal("-TERM");
    assert_eq!(router.wait_end().code(), Some(0));
    let replay = chalkyard(&["replay", decisions.to_str().unwrap()]);
    assert_eq!(replay.status.code(), Some(0), "{}", text(&replay.stderr));
    // A doctored log is told apart: the module would not have done this.
    let log = std::fs::read_to_string(&decisions).unwrap();
    std::fs::write(&decisions, log.replacen("\"give_up\":null", "\"give_up\":7", 1)).unwrap();
    assert_eq!(chalkyard(&["replay", decisions.to_str().unwrap()]).status.code(), Some(3));
}

#[test]
fn a_drain_lets_streams_end_and_takes_nothing_new() {
    let engine = Engine::new();
    let mut router = start("drain", &engine, None);
    let mut client = router.connect();
    client.write_all(&ask(true)).unwrap();
    let mut answer = engine.begin();
    read_until(&mut client, "message.delta");
    router.signal("-TERM");
    router.wait_log("takes nothing new");
    std::thread::sleep(Duration::from_millis(100));
    assert!(TcpStream::connect(router.at).is_err(), "no longer listening");
    Engine::end(&mut answer);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    drop(client);
    assert_eq!(router.wait_end().code(), Some(0));
}

#[test]
fn a_killed_router_leaves_its_clients_no_false_answer() {
    let engine = Engine::new();
    let mut router = start("killed", &engine, None);
    let mut client = router.connect();
    client.write_all(&ask(true)).unwrap();
    let mut answer = engine.begin();
    read_until(&mut client, "message.delta");
    router.signal("-KILL");
    router.wait_end();
    let rest = read_until(&mut client, "\r\n0\r\n\r\n");
    assert!(!rest.contains("message.closed") && !rest.contains("message.broken"));
    // The engine sees its caller go, and so can stop.
    let mut buffer = [0; 16];
    assert!(matches!(answer.read(&mut buffer), Ok(0) | Err(_)));
}

#[test]
fn at_the_limit_of_file_descriptors_it_goes_on() {
    let engine = Engine::new();
    let mut router = start("descriptors", &engine, Some(40));
    // More clients than it has descriptors for; the system holds the rest back.
    let mut clients: Vec<TcpStream> = (0..60).map(|_| router.connect()).collect();
    router.wait_log("no connection can be taken for now");
    // One that it has taken asks: no descriptor is left for the engine, which proves that nothing ran.
    clients[0].write_all(&ask(true)).unwrap();
    let answer = read_until(&mut clients[0], "}}");
    assert!(answer.contains("\"may_have_run\":false"), "{answer}");
    drop(clients);
    let mut client = router.connect();
    client.write_all(&ask(true)).unwrap();
    let mut stream = engine.begin();
    read_until(&mut client, "message.delta");
    Engine::end(&mut stream);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
}

#[test]
fn two_routers_share_an_address_where_both_say_so() {
    let engine = Engine::new();
    let folder = folder("shared");
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let file = folder.join("r.xml");
    std::fs::write(&file, settings(at, engine.at(), "shared-port=\"true\"")).unwrap();
    let routers = [Running::start(&file, None, &[]), Running::start(&file, None, &[])];
    for _ in 0..20 {
        let mut client = routers[0].connect();
        client.write_all(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert!(read_until(&mut client, "ok\n").contains("200 OK"));
    }
    let lone = folder.join("lone.xml");
    std::fs::write(&lone, settings(at, engine.at(), "")).unwrap();
    let out = chalkyard(&["run", lone.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(1), "could not run: {}", text(&out.stderr));
}

#[test]
fn ten_thousand_idle_clients_hold_nobody_up() {
    let engine = Engine::new();
    let router = start("idle", &engine, Some(20_000));
    let idle: Vec<TcpStream> = (0..10_000).map_while(|_| TcpStream::connect(router.at).ok()).collect();
    assert_eq!(idle.len(), 10_000, "this machine's limit of file descriptors is under 20,000");
    let mut client = router.connect();
    client.write_all(&ask(true)).unwrap();
    let mut stream = engine.begin();
    read_until(&mut client, "message.delta");
    Engine::end(&mut stream);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    // All of them are still served: the last one that came asks too.
    let mut last = idle.last().unwrap();
    last.write_all(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let mut buffer = [0; 64];
    assert!(last.read(&mut buffer).unwrap() > 0);
}
