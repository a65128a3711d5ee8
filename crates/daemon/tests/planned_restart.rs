//! Planned restarts of a router process while clients write their requests in pieces: on the platform, and with a settings
//! file by a signal and by a hand-over.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

#[path = "common/answers.rs"]
mod answers;
mod common;
#[path = "common/peers.rs"]
mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use answers::Answers;
use common::{folder, read_until, settings, text, Engine, Running, EXE};
use peers::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Earliest SIGKILL after SIGTERM, with a longest deadline of 3 s or more.
const KILL_AFTER: Duration = ms(3_700);
/// A request that arrives later than this after SIGTERM must have its answer before SIGKILL.
const LATE: Duration = ms(700);

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

// ---- Many clients at once.

/// Time after SIGTERM at which a client of the restarts below begins its request at the latest: before the router drains.
const LAST_BEGIN: Duration = ms(300);
/// Events of a stream, one in 100 ms: some streams end before SIGKILL, some do not.
const STREAM_EVENTS: u64 = 35;

/// A worker that streams slowly. Returns the ids of the requests that it was sent.
fn stream_slowly(worker: Worker) -> Arc<Mutex<Vec<String>>> {
    let ids = Arc::new(Mutex::new(Vec::new()));
    let seen = ids.clone();
    std::thread::spawn(move || loop {
        let Some(mut peer) = worker.try_accept() else {
            std::thread::sleep(ms(1));
            continue;
        };
        let seen = seen.clone();
        std::thread::spawn(move || {
            while let Some(call) = peer.call() {
                if call.method == "DELETE" {
                    peer.write(NO_CONTENT).unwrap();
                    continue;
                }
                seen.lock().unwrap().push(call.id);
                let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut written = peer.write(head);
                for _ in 0..STREAM_EVENTS {
                    written = written.and_then(|()| peer.write(&chunk(&event("more"))));
                    std::thread::sleep(ms(100));
                }
                if written
                    .and_then(|()| peer.write(&[chunk("data: [DONE]\n\n"), b"0\r\n\r\n".to_vec()].concat()))
                    .is_err()
                {
                    return;
                }
            }
        });
    });
    ids
}

/// What a client has seen of its request in pieces.
#[derive(Debug)]
struct Seen {
    id: String,
    /// Times after SIGTERM at which the last byte was written and at which the answer, or the connection, ended.
    completed: Duration,
    ended: Duration,
    answer: String,
    /// A stream ahead of it on the connection was cut off, so that no answer could follow.
    is_behind_a_cut: bool,
}

fn is_whole(answer: &str) -> bool {
    answer.ends_with("\r\n0\r\n\r\n") || answer.contains("content-length: ")
}

/// Writes a request in pieces, so that it is completed at this time after SIGTERM, and reads its answer. Every fourth client
/// has another request open on its connection.
fn write_in_pieces(mut client: TcpStream, number: u32, told: Instant, completed: Duration) -> Seen {
    let mut answers = Answers::on(&client);
    let is_behind = number.is_multiple_of(4);
    if is_behind {
        client.write_all(&ask(&format!("ahead-{number}"), "chat", 20)).unwrap();
    }
    let id = format!("pieces-{number}");
    let call = ask(&id, if number.is_multiple_of(2) { "chat" } else { "once" }, 20);
    let pieces = 2 + number % 4;
    let begun = LAST_BEGIN * (number * 37 % 100) / 100;
    let pause = completed.saturating_sub(begun) / (pieces - 1);
    for (n, piece) in (0..).zip(call.chunks(call.len().div_ceil(pieces as usize))) {
        sleep_until(told + begun + pause * n);
        // The router may have answered and closed already.
        let _ = client.write_all(piece);
    }
    let completed = told.elapsed();
    let is_behind_a_cut = is_behind && !is_whole(&answers.next_answer());
    let answer = answers.next_answer();
    Seen { id, completed, ended: told.elapsed(), answer, is_behind_a_cut }
}

/// Restarts a router under clients that write in pieces, and judges what became of the requests that were completed late.
fn restart_under_clients(resume: bool, deadline_s: f64) {
    const CLIENTS: u32 = 48;
    let name = format!("many-pieces-{resume}-{deadline_s}");
    let kill_after = KILL_AFTER.min(Duration::from_secs_f64(deadline_s) + LATE);
    let workers = [Worker::new(), Worker::new()];
    let list = ["m1", "m2"].iter().zip(&workers);
    let list: Vec<_> = list.map(|(id, worker)| member(id, "both", worker.at, "up")).collect();
    let agent = Agent::new(&list);
    let sent = workers.map(stream_slowly);
    let setting = Setting { sockets: 512, resume, deadline_s, ..Setting::default() };
    let mut router = Router::start(&name, &agent, &setting);
    let connections: Vec<TcpStream> = (0..CLIENTS).map(|_| router.known_client()).collect();
    let told = Instant::now() + ms(200);
    let clients: Vec<_> = (0..CLIENTS)
        .zip(connections)
        .map(|(number, client)| {
            let completed = ms(400) + (kill_after - ms(600)) * number / CLIENTS;
            std::thread::spawn(move || write_in_pieces(client, number, told, completed))
        })
        .collect();
    sleep_until(told);
    router.terminate();
    sleep_until(told + kill_after);
    let _ = router.child.kill();
    let seen: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let sent: Vec<String> = sent.iter().flat_map(|ids| ids.lock().unwrap().clone()).collect();
    let late: Vec<&Seen> = seen.iter().filter(|seen| seen.completed > LATE).collect();
    for seen in &late {
        let has_migrated = resume && seen.ended + ms(200) < kill_after && status(&seen.answer) == "200";
        assert!(is_whole(&seen.answer) || has_migrated || seen.is_behind_a_cut, "{name}: {seen:?}");
        assert!(status(&seen.answer) != "503" || !sent.contains(&seen.id), "{name}: {seen:?}");
    }
    let rejected = late.iter().filter(|seen| status(&seen.answer) == "503").count();
    assert!(rejected >= 10, "{name}: {rejected} of {}", late.len());
    assert!(seen.len() > late.len(), "{name}: none is completed early");
}

/// Guards against the same under many clients, with and without migration, and with deadlines that let SIGKILL come early.
#[test]
fn no_request_that_is_completed_late_in_a_planned_restart_is_cut_off() {
    std::thread::scope(|scope| {
        for (resume, deadline_s) in [(false, 5.0), (true, 5.0), (false, 1.5), (true, 1.5)] {
            scope.spawn(move || restart_under_clients(resume, deadline_s));
        }
    });
}
