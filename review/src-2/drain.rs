//! Drains are kept. Two cases: a worker of a zone that the settings don't name is listed before another one drains; all
//! open watches fall silent before a worker drains.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::kit::{
    ask, chunk, engine, free_address, pause, response, serve, Ask, Reader, Record, Stage, Verdict,
};
use crate::kit::{KEY, KEY_HASH, SALT};

/// Grace of the rule, ms: the longest of the three sites', and the slack of the protocol page.
const GRACE_MS: u64 = 1_000 + 50;
/// Sessions before the list changes.
const BEFORE: u64 = 30;
/// Time after which what a silent watch misses counts as told, ms.
const SILENCE_MS: u64 = 6_000;

/// The register: the list, its watchers, and when each watcher was told that `m1` drains.
#[derive(Default)]
struct Register {
    version: u64,
    entries: Vec<(String, String)>,
    watchers: Vec<TcpStream>,
    /// Watches that stay open and on which nothing comes any more.
    silent: Vec<TcpStream>,
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
        self.entries.push(changed.clone());
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

/// The disruption of a case.
#[derive(Clone, Copy, PartialEq)]
enum Disruption {
    /// A worker of an unknown zone is listed.
    UnknownZone,
    /// All open watches fall silent; new ones are answered.
    SilentWatch,
}

pub fn play(stage: &Stage) -> Verdict {
    play_disruption(stage, Disruption::UnknownZone)
}

pub fn play_silent(stage: &Stage) -> Verdict {
    play_disruption(stage, Disruption::SilentWatch)
}

fn play_disruption(stage: &Stage, disruption: Disruption) -> Verdict {
    let record = &stage.record;
    // Times at which m1 got a request.
    let at_m1: Arc<Mutex<Vec<u64>>> = Arc::default();
    let draining = Arc::new(Mutex::new(false));
    let mut engines = Vec::new();
    for name in ["m1", "m2", "m3", "m4"] {
        let (arrivals, record, draining) = (at_m1.clone(), record.clone(), draining.clone());
        let address = engine(name, &stage.record, move |call| {
            if call.engine == "m1" {
                arrivals.lock().map_err(|_| std::io::ErrorKind::Other)?.push(record.ms());
                if *draining.lock().map_err(|_| std::io::ErrorKind::Other)? {
                    // A draining worker turns new work away.
                    return call.stream.write_all(&response(429, "", "{}"));
                }
            }
            call.stream_answer("a", 4, 20, 5)
        })?;
        engines.push((name, address));
    }
    let register = Arc::new(Mutex::new(Register { version: 1, ..Register::default() }));
    {
        let mut list = register.lock().map_err(|e| e.to_string())?;
        list.entries = engines[..3].iter().map(|(id, at)| entry(id, *at, "hall", "in")).collect();
    }
    let (served, log) = (register.clone(), record.clone());
    let register_address = serve(move |stream| {
        let Ok(copy) = stream.try_clone() else { return };
        if Reader::new(copy).message().is_ok() {
            if let Ok(mut list) = served.lock() {
                list.watch(stream, &log);
            }
        }
    })?;
    let listen = free_address()?;
    let settings = stage.write("r1.xml", &settings(listen, register_address))?;
    let mut router = stage.start_router("r1", &settings, false)?;

    let mut served_before = 0;
    for n in 0..BEFORE {
        served_before += u64::from(send(listen, n, record));
        pause(20);
    }
    let before = at_m1.lock().map_err(|e| e.to_string())?.len();
    if served_before < BEFORE / 2 || before == 0 {
        return Err(format!(
            "{served_before} of {BEFORE} served, {before} at m1, before any change of the list"
        ));
    }
    let lock = || register.lock().map_err(|e| e.to_string());
    let change = |changed| lock().map(|mut list| list.publish(changed, record));
    let mut silent_since = None;
    match disruption {
        Disruption::UnknownZone => {
            // Without the disruption the new worker stands in a zone that the settings name.
            let zone = if stage.trouble { "annex" } else { "hall" };
            change(entry("m4", engines[3].1, zone, "in"))?;
            pause(1_500);
        }
        Disruption::SilentWatch if stage.trouble => {
            let mut list = lock()?;
            let open = std::mem::take(&mut list.watchers);
            list.silent.extend(open);
            silent_since = Some(record.ms());
            record.line("silent all open watches fall silent");
            drop(list);
            pause(1_000);
        }
        Disruption::SilentWatch => {}
    }
    change(entry("m1", engines[0].1, "hall", "draining"))?;
    *draining.lock().map_err(|e| e.to_string())? = true;
    let after = if disruption == Disruption::SilentWatch { 200 } else { 80 };
    for n in 0..after {
        send(listen, BEFORE + n, record);
        pause(60);
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    let written = lock()?.told_ms;
    let counts = silent_since.map(|since| since + SILENCE_MS);
    let told = written.into_iter().chain(counts).min().ok_or("the drain was never written to the router")?;
    let arrivals = at_m1.lock().map_err(|e| e.to_string())?;
    let late: Vec<&u64> = arrivals.iter().filter(|at| **at > told + GRACE_MS).collect();
    record.line(format!(
        "check  counts as told at {told} ms; {} requests at m1 later than {GRACE_MS} ms after: {late:?}",
        late.len()
    ));
    Ok(late.is_empty())
}

fn send(listen: SocketAddr, n: u64, record: &Record) -> bool {
    let session = format!("s{n}");
    let text = format!("question {n}");
    let request = Ask {
        bearer: KEY,
        key: None,
        class: "help",
        text: &text,
        max_tokens: 8,
        deadline_ms: None,
        session: &session,
    };
    ask(listen, &request, &session, record).is_served()
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
