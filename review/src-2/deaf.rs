//! Drains are kept: a new configuration names an agent of discovery that answers each call a little late.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::kit::{
    await_up, chat, chunk, connect, free_address, member, pause, platform_config, response, serve, Reader,
    Record, Stage, Verdict,
};

/// Time that the new agent takes for each answer, ms, if the disruption is played.
const SLOW_MS: u64 = 400;
/// A change counts as told so long after discovery had it and could be reached, ms.
const TOLD_MS: u64 = 6_000;
/// Time after that at which `w1`, which has finished what it had, ends, ms.
const ENDS_MS: u64 = 5_000;
/// Clients, and the events of an answer, one each 40 ms.
const CLIENTS: usize = 6;
const EVENTS: usize = 20;
/// Grace of the rule, ms, with the slack of the protocol page.
const GRACE_MS: u64 = 250 + 50;

/// What discovery has: its version, the whole list, and the entries that the last version changed.
struct List {
    version: u64,
    whole: String,
    changed: String,
}

/// An agent of discovery. Once it is closed it takes no connection, and ends the open ones.
fn agent(
    name: &'static str,
    list: &Arc<Mutex<List>>,
    slow_ms: u64,
    closed: &Arc<AtomicBool>,
    record: &Record,
) -> Result<SocketAddr, String> {
    let (list, closed, record) = (list.clone(), closed.clone(), record.clone());
    serve(move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(call) = reader.message() {
            let value = |field: &str| -> Option<u64> {
                call.start.split(field).nth(1)?.split([' ', '&']).next()?.parse().ok()
            };
            let after = value("after=");
            let until = Instant::now() + Duration::from_millis(value("wait_ms=").unwrap_or(0));
            let is_new = || list.lock().is_ok_and(|list| after.is_none_or(|after| list.version > after));
            while !is_new() && Instant::now() < until && !closed.load(Ordering::SeqCst) {
                pause(10);
            }
            if closed.load(Ordering::SeqCst) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            pause(slow_ms);
            let body = list.lock().map(|list| match after {
                Some(after) if list.version == after => {
                    format!("{{\"revision\":{after},\"complete\":false,\"members\":[]}}")
                }
                Some(_) => format!(
                    "{{\"revision\":{},\"complete\":false,\"members\":[{}]}}",
                    list.version, list.changed
                ),
                None => format!(
                    "{{\"revision\":{},\"complete\":true,\"members\":[{}]}}",
                    list.version, list.whole
                ),
            });
            let written = stream.write_all(&response(200, "", &body.unwrap_or_default()));
            record.line(format!("agent  {name}: {} answered: {}", call.start, written.is_ok()));
            if written.is_err() {
                return;
            }
        }
    })
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let at_w1: Arc<Mutex<Vec<u64>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for name in ["w1", "w2", "w3"] {
        let (arrivals, ended, record) = (at_w1.clone(), ended.clone(), record.clone());
        let address = serve(move |stream| work(name, stream, &arrivals, &ended, &record))?;
        workers.push((name, address));
    }
    let entries = |first: &str| -> Vec<String> {
        let phase = |n: usize| if n == 0 { first } else { "up" };
        workers.iter().enumerate().map(|(n, (id, at))| member(id, *at, "mixed", phase(n))).collect()
    };
    let (up, draining) = (entries("up"), entries("draining"));
    let list = Arc::new(Mutex::new(List { version: 1, whole: up.join(","), changed: up.join(",") }));
    let (old_closed, new_closed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let old = agent("old", &list, 0, &old_closed, record)?;
    let new = agent("new", &list, if stage.trouble { SLOW_MS } else { 0 }, &new_closed, record)?;
    let listen = free_address()?;
    let config = stage.write("config.json", &platform_config(listen, old, &up.join(",")))?;
    let path = config.to_string_lossy().into_owned();
    let mut router = stage.start("n1", &["platform"], &[("GW_CONFIG", &path)])?;
    await_up(listen)?;
    let ask_for = |ms: u64| clients(ms, listen, record);
    ask_for(2_000)?;
    if at_w1.lock().map_err(|e| e.to_string())?.is_empty() {
        return Err("w1 got nothing before the change".into());
    }
    // The new file is put in place whole.
    let fresh = stage.write("config.new", &platform_config(listen, new, &up.join(",")))?;
    std::fs::rename(fresh, &config).map_err(|e| e.to_string())?;
    router.signal("HUP")?;
    ask_for(1_500)?;
    old_closed.store(true, Ordering::SeqCst);
    record.line("agent  old: closed");
    ask_for(4_500)?;
    {
        let mut list = list.lock().map_err(|e| e.to_string())?;
        *list = List { version: 2, whole: draining.join(","), changed: draining[0].clone() };
    }
    let told = record.ms() + TOLD_MS;
    record.line(format!("list   discovery has it that w1 drains; it counts as told at {told} ms"));
    ask_for(TOLD_MS)?;
    let endings = std::thread::scope(|scope| {
        let asking = scope.spawn(|| ask_for(ENDS_MS + 4_000));
        pause(ENDS_MS);
        let left = draining[1..].join(",");
        let removed = member("w1", workers[0].1, "mixed", "removed");
        *list.lock().map_err(|e| e.to_string())? = List { version: 3, whole: left, changed: removed };
        ended.store(true, Ordering::SeqCst);
        record.line("end    w1 has finished what it had as its drain began, and ends");
        asking.join().map_err(|_| "the clients panicked".to_owned())?
    })?;
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    let arrivals = at_w1.lock().map_err(|e| e.to_string())?;
    let late = arrivals.iter().filter(|at| **at > told + GRACE_MS).count();
    record.line(format!(
        "check  {late} requests at w1 later than {GRACE_MS} ms after the drain counted as told"
    ));
    record.line(format!("check  of the requests after that time: {endings:?}"));
    Ok(late == 0)
}

/// How requests ended.
#[derive(Debug, Default)]
struct Endings {
    served: u64,
    /// No whole answer: the stream broke off, or there was none.
    broken: u64,
    other: u64,
}

impl Endings {
    fn add(&mut self, more: &Self) {
        self.served += more.served;
        self.broken += more.broken;
        self.other += more.other;
    }
}

/// Lets some clients ask for so many ms, each one request after the other, and waits for the last answers.
fn clients(ms: u64, listen: SocketAddr, record: &Record) -> Result<Endings, String> {
    static NEXT: AtomicU64 = AtomicU64::new(0x5_0000);
    let until = record.ms() + ms;
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let record = record.clone();
        threads.push(std::thread::spawn(move || -> Result<Endings, String> {
            let mut endings = Endings::default();
            let mut reader = Reader::new(connect(listen)?);
            while record.ms() < until {
                let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
                let bytes = chat(&id, "sim-help", 4_000, "a question");
                match reader.stream().write_all(&bytes).and_then(|()| reader.message()) {
                    Ok(answer) => {
                        record.line(format!("answer {id}: {}", answer.start));
                        if answer.start.contains(" 200 ") {
                            endings.served += 1;
                        } else {
                            endings.other += 1;
                        }
                    }
                    Err(error) => {
                        record.line(format!("answer {id}: no whole answer: {error}"));
                        endings.broken += 1;
                        reader = Reader::new(connect(listen)?);
                    }
                }
                pause(20);
            }
            Ok(endings)
        }));
    }
    let mut all = Endings::default();
    for thread in threads {
        all.add(&thread.join().map_err(|_| "a client panicked")??);
    }
    Ok(all)
}

/// A worker that does both stages. One that drains goes on with what it gets, until it ends.
fn work(name: &str, mut stream: TcpStream, arrivals: &Mutex<Vec<u64>>, ended: &AtomicBool, record: &Record) {
    let has_ended = || name == "w1" && ended.load(Ordering::SeqCst);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = Reader::new(copy);
    while let Ok(call) = reader.message() {
        if has_ended() {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        if !call.start.starts_with("POST ") {
            if stream.write_all(b"HTTP/1.1 204 X\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        record.line(format!("call   {name}: {}", call.header("x-request-id")));
        if name == "w1" {
            if let Ok(mut arrivals) = arrivals.lock() {
                arrivals.push(record.ms());
            }
        }
        let mut bytes =
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_vec();
        for n in 0..EVENTS {
            pause(40);
            if has_ended() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let reason = if n + 1 == EVENTS { "\"stop\"" } else { "null" };
            bytes.extend(chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"a\"}},\"finish_reason\":{reason}}}]}}\n\n"
            )));
            if stream.write_all(&std::mem::take(&mut bytes)).is_err() {
                return;
            }
        }
        bytes.extend(chunk("data: [DONE]\n\n"));
        bytes.extend(b"0\r\n\r\n");
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
