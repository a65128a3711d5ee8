//! Drains are kept: a worker of a zone that the settings don't name is listed, then another worker drains.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::kit::{ask, chunk, engine, free_address, pause, serve, Ask, Reader, Record, Stage, Verdict};
use crate::kit::{KEY, KEY_HASH, SALT};

/// Grace of the rule, ms: the longest of the three sites', and the slack of the protocol page.
const GRACE_MS: u64 = 1_000 + 50;
/// Sessions before the list changes.
const BEFORE: u64 = 30;

/// The register: the list, its watchers, and when each watcher was told that `m1` drains.
#[derive(Default)]
struct Register {
    version: u64,
    entries: Vec<(String, String)>,
    watchers: Vec<TcpStream>,
    /// When the drain was first written to the router.
    told_ms: Option<u64>,
}

fn entry(id: &str, address: SocketAddr, zone: &str, state: &str) -> (String, String) {
    let json = format!(
        "{{\"worker\":\"{id}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"cell\":1,\"kind\":\"mixed\",\"state\":\"{state}\",\"started_unix_ms\":0}}"
    );
    (id.into(), json)
}

impl Register {
    fn event(&self, name: &str, entries: &[(String, String)]) -> Vec<u8> {
        let list: Vec<&str> = entries.iter().map(|(_, json)| json.as_str()).collect();
        let data = format!("{{\"version\":{},\"workers\":[{}]}}", self.version, list.join(","));
        chunk(&format!("event: {name}\nid: {}\ndata: {data}\n\n", self.version))
    }

    fn drains(&self) -> bool {
        self.entries.iter().any(|(_, json)| json.contains("draining"))
    }

    /// Publishes one change to all watchers.
    fn publish(&mut self, changed: (String, String), record: &Record) {
        self.version += 1;
        self.entries.retain(|(id, _)| *id != changed.0);
        if !changed.1.contains("\"state\":\"out\"") {
            self.entries.push(changed.clone());
        }
        let event = self.event("change", std::slice::from_ref(&changed));
        record.line(format!("list   change {}: {}", self.version, changed.1));
        let drains = self.drains();
        for watcher in &mut self.watchers {
            if watcher.write_all(&event).is_ok() && drains && self.told_ms.is_none() {
                self.told_ms = Some(record.ms());
                record.line("told   the router was told that m1 drains, in a change");
            }
        }
    }

    fn watch(&mut self, mut stream: TcpStream, record: &Record) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(self.event("snapshot", &self.entries));
        record.line(format!("list   snapshot {} to a new watch", self.version));
        if stream.write_all(&bytes).is_ok() {
            if self.drains() {
                self.told_ms.get_or_insert(record.ms());
                record.line("told   the router was told that m1 drains, in a snapshot");
            }
            self.watchers.push(stream);
        }
    }
}

/// Time after the drain was told at which `m1`, which has finished what it had, ends, ms.
const ENDS_MS: u64 = 4_000;
/// Requests after the drain, one each `EACH_MS`.
const AFTER: u64 = 80;
const EACH_MS: u64 = 100;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    // Times at which m1 got a request, and whether it has ended.
    let at_m1: Arc<Mutex<Vec<u64>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for name in ["m1", "m2", "m3", "m4"] {
        let (arrivals, log, ended) = (at_m1.clone(), record.clone(), ended.clone());
        let address = engine(name, record, move |call| {
            if call.engine != "m1" {
                return call.stream_answer("a", 20, 20, 50);
            }
            arrivals.lock().map_err(|_| std::io::ErrorKind::Other)?.push(log.ms());
            call.stream_answer_until("a", 20, 20, 50, &ended)
        })?;
        engines.push((name, address));
    }
    let register = Arc::new(Mutex::new(Register { version: 1, ..Register::default() }));
    let lock = || register.lock().map_err(|e| e.to_string());
    lock()?.entries = engines[..3].iter().map(|(id, at)| entry(id, *at, "hall", "in")).collect();
    let (list, log) = (register.clone(), record.clone());
    let register_address = serve(move |stream| {
        let Ok(copy) = stream.try_clone() else { return };
        if Reader::new(copy).message().is_ok() {
            if let Ok(mut list) = list.lock() {
                list.watch(stream, &log);
            }
        }
    })?;
    let listen = free_address()?;
    let settings = stage.write("r1.xml", &settings(listen, register_address))?;
    let mut router = stage.start_router("r1", &settings, false)?;

    let before = send_all(listen, 0, BEFORE, record, |_| Ok(()))?;
    let at_first = at_m1.lock().map_err(|e| e.to_string())?.len();
    if before.served < BEFORE || at_first == 0 {
        return Err(format!("{before:?} of {BEFORE}, {at_first} at m1, before any change of the list"));
    }
    // Without the disruption the new worker stands in a zone that the settings name.
    let zone = if stage.trouble { "annex" } else { "hall" };
    let change = |changed| lock().map(|mut list| list.publish(changed, record));
    change(entry("m4", engines[3].1, zone, "in"))?;
    pause(1_500);
    change(entry("m1", engines[0].1, "hall", "draining"))?;
    let told = lock()?.told_ms.ok_or("the drain was not written to the router")?;
    let after = send_all(listen, BEFORE, AFTER, record, |at_ms| {
        if at_ms >= told + ENDS_MS && !ended.swap(true, Ordering::SeqCst) {
            record.line("end    m1 has finished what it had as its drain began, and ends");
            change(entry("m1", engines[0].1, "hall", "out"))?;
        }
        Ok(())
    })?;
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    let arrivals = at_m1.lock().map_err(|e| e.to_string())?;
    let late: Vec<&u64> = arrivals.iter().filter(|at| **at > told + GRACE_MS).collect();
    record.line(format!(
        "check  told at {told} ms; {} requests at m1 later than {GRACE_MS} ms after: {late:?}",
        late.len()
    ));
    record.line(format!("check  of the {AFTER} requests after the drain: {after:?}"));
    Ok(late.is_empty())
}

/// How requests ended.
#[derive(Debug, Default)]
struct Endings {
    served: u64,
    /// Streams that broke off.
    broken: u64,
    other: u64,
}

/// Sends requests one after the other, without waiting for their answers, and calls `each` with the time before each.
fn send_all(
    listen: SocketAddr,
    first: u64,
    count: u64,
    record: &Record,
    each: impl Fn(u64) -> Result<(), String>,
) -> Result<Endings, String> {
    let mut clients = Vec::new();
    for n in first..first + count {
        each(record.ms())?;
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let (session, text) = (format!("s{n}"), format!("question {n}"));
            let request = Ask {
                bearer: KEY,
                key: None,
                class: "help",
                text: &text,
                max_tokens: 40,
                deadline_ms: None,
                session: &session,
            };
            ask(listen, &request, &session, &record)
        }));
        pause(EACH_MS);
    }
    let mut endings = Endings::default();
    for client in clients {
        let answer = client.join().map_err(|_| "a client panicked")?;
        match answer.end.as_str() {
            "closed" => endings.served += 1,
            "broken" => endings.broken += 1,
            _ => endings.other += 1,
        }
    }
    Ok(endings)
}

fn settings(listen: SocketAddr, register: SocketAddr) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" register="{register}" drain="5s"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="5s" effect="free"/></classes>
  <tenants salt="{SALT}"><tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
</chalkyard>
"#
    )
}
