//! Case 2: a report arrives twice under one identity, and the router is restarted without a gap in between.
#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Reports, each sent twice under one identity.
const REPORTS: usize = 8;
/// Events of an answer, four tokens each, 80 ms a token.
const EVENTS: u32 = 25;
const PACE: Duration = Duration::from_millis(320);

/// Engines of the settings file: what ran at them, by identity.
struct Engines {
    record: Arc<Record>,
    runs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Engines {
    fn start(self: &Arc<Self>, name: &'static str, reads: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let engines = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engines = engines.clone();
                thread::spawn(move || {
                    let _ = engines.serve(name, reads, stream);
                });
            }
        });
        at
    }

    fn serve(&self, name: &str, reads: bool, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(head) = read_head(&mut from)? {
            read_body(&mut from, &head)?;
            let id = head.get("x-request-id").unwrap_or("-").to_owned();
            let identity = head.get("idempotency-key").unwrap_or("-").to_owned();
            if head.target() == "/v1/kv/release" {
                self.record.say(format!("{name}: release of {id}"));
                out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if reads {
                self.record.say(format!("{name}: read of {id} for {identity}"));
                thread::sleep(ms(80));
                let body = format!(
                    r#"{{"choices":[{{"text":""}}],"usage":{{"prompt_tokens":900,"completion_tokens":0}},"kv_transfer_params":{{"remote":"{name}","block":"{id}"}}}}"#
                );
                write!(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                continue;
            }
            self.record.say(format!("{name}: RUN of {id} for {identity}"));
            self.runs.lock().unwrap().entry(identity.clone()).or_default().push(format!("{name} {id}"));
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            for n in 0..EVENTS {
                thread::sleep(PACE);
                out.write_all(chunk(&format!("data: {{\"choices\":[{{\"text\":\"{id}.{n} \"}}]}}\n\n")).as_bytes())?;
            }
            let last = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n\
                data: {\"choices\":[],\"usage\":{\"prompt_tokens\":900,\"completion_tokens\":100}}\n\ndata: [DONE]\n\n";
            out.write_all((chunk(last) + "0\r\n\r\n").as_bytes())?;
            self.record.say(format!("{name}: end of {id}"));
        }
        Ok(())
    }
}

fn settings(listen: SocketAddr, folder: &str, engines: [SocketAddr; 3]) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" drain="30s" control="{folder}/r1.sock"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s"
         max-attempts="4" reports="in-answers" self-prefill="true"/>
  <bounds clients="20000" open="20000" prompt-tokens="128000" max-tokens="4096"/>
  <waits head="10s" idle="1min" connect="250ms" stream="20s"/>
  <zones><zone name="hall"/></zones>
  <kinds>
    <kind name="reader" role="reader" kv-tokens="200000"/>
    <kind name="writer" role="writer" kv-tokens="120000"/>
  </kinds>
  <classes default="help">
    <class name="help" aim="1s" aim-per-1000-tokens="60ms" deadline="5s" effect="free"/>
    <class name="report" aim="3s" deadline="15s" effect="single-shot"/>
  </classes>
  <tenants salt="00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff">
    <tenant name="nord" allowance-per-s="20">
      <key hash="39fe13e0bf950340857a4fbd9be7c32c105ffc710546947de0573092bf6b5710"/>
      <may class="help"/>
      <may class="report"/>
    </tenant>
  </tenants>
  <budgets ledger="{folder}/ledger"/>
  <engines>
    <engine id="read-1" kind="reader" zone="hall" cell="1" address="{}"/>
    <engine id="write-1" kind="writer" zone="hall" cell="1" address="{}"/>
    <engine id="write-2" kind="writer" zone="hall" cell="1" address="{}"/>
  </engines>
</chalkyard>
"#,
        engines[0], engines[1], engines[2]
    )
}

fn start(place: &Place, name: &str, extra: &[&str]) -> Child {
    let log = File::options().create(true).append(true).open(place.temp.join(format!("{name}.log"))).unwrap();
    let child = Command::new(place.root.join("target/release/chalkyard"))
        .arg("run")
        .arg(place.temp.join("r1.xml"))
        .args(extra)
        .current_dir(&place.root)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map(|child| note_started(&place.temp, child))
        .unwrap();
    let until = Instant::now() + Duration::from_secs(10);
    while !std::fs::read_to_string(place.temp.join(format!("{name}.log"))).unwrap().contains("\"ready\"") {
        if Instant::now() > until {
            println!("{name} is not ready");
            std::process::exit(2);
        }
        thread::sleep(ms(10));
    }
    child
}

/// Sends a report; returns the status and the whole text of the answer.
fn submit(at: SocketAddr, key: &str) -> (u16, String) {
    let body = r#"{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"the lab report"}],"metadata":{"class":"report"}}"#;
    let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_secs(2)) else { return (0, "refused".into()) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
    let mut out = stream.try_clone().unwrap();
    let call = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: api.internal\r\nAuthorization: Bearer example-key\r\nIdempotency-Key: \"{key}\"\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if out.write_all(call.as_bytes()).is_err() {
        return (0, "not written".into());
    }
    let mut from = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut from) else { return (0, "no answer".into()) };
    if head.get("transfer-encoding").is_none() {
        let body = read_body(&mut from, &head).unwrap_or_default();
        return (head.status(), String::from_utf8_lossy(&body).into_owned());
    }
    let mut text = String::new();
    loop {
        match read_chunk(&mut from) {
            Ok(data) if data.is_empty() => return (head.status(), text),
            Ok(data) => text.push_str(&String::from_utf8_lossy(&data)),
            Err(error) => return (head.status(), format!("{text} [not whole: {error}]")),
        }
    }
}

fn told(answer: &(u16, String)) -> String {
    let end = if answer.1.contains("message.closed") {
        "served to its end".to_owned()
    } else {
        answer.1.chars().rev().take(160).collect::<Vec<_>>().into_iter().rev().collect()
    };
    format!("{} {end}", answer.0)
}

fn main() {
    let place = place();
    let record = Record::new();
    let engines = Arc::new(Engines { record: record.clone(), runs: Mutex::default() });
    let at = [engines.start("read-1", true), engines.start("write-1", false), engines.start("write-2", false)];
    let listen = free_address();
    std::fs::write(place.temp.join("r1.xml"), settings(listen, &place.temp.display().to_string(), at)).unwrap();
    let mut old = start(&place, "old", &[]);
    record.say("the router is ready");
    // The first arrivals, a tenth of a second apart.
    let first: Vec<_> = (0..REPORTS)
        .map(|n| {
            thread::sleep(ms(100));
            let record = record.clone();
            thread::spawn(move || {
                record.say(format!("report-{n}: first arrival"));
                let answer = submit(listen, &format!("report-{n}"));
                record.say(format!("report-{n}: first answer: {}", told(&answer)));
                answer
            })
        })
        .collect();
    thread::sleep(ms(1_500));
    let new = place.trouble.then(|| {
        record.say("restart: a successor takes over");
        let new = start(&place, "new", &["--take-over"]);
        record.say("the successor is ready");
        new
    });
    thread::sleep(ms(500));
    // Half of the second arrivals come while the first answer streams, half after its end.
    let again = |n: usize, when: &str| {
        record.say(format!("report-{n}: second arrival, {when}"));
        let record = record.clone();
        thread::spawn(move || {
            let answer = submit(listen, &format!("report-{n}"));
            record.say(format!("report-{n}: second answer: {}", told(&answer)));
            answer
        })
    };
    let mut second: Vec<_> = (0..REPORTS / 2).map(|n| again(n, "while the first is open")).collect();
    let first: Vec<_> = first.into_iter().map(|t| t.join().unwrap()).collect();
    thread::sleep(ms(500));
    second.extend((REPORTS / 2..REPORTS).map(|n| again(n, "after the first has ended")));
    let second: Vec<_> = second.into_iter().map(|t| t.join().unwrap()).collect();
    for mut child in new.into_iter().chain(old.try_wait().unwrap().is_none().then_some(old)) {
        send_signal(&child, "-TERM");
        let until = Instant::now() + Duration::from_secs(3);
        while child.try_wait().unwrap().is_none() && Instant::now() < until {
            thread::sleep(ms(20));
        }
        let _ = child.kill();
        let _ = child.wait();
    }
    let served = first.iter().filter(|a| a.0 == 200 && a.1.contains("message.closed")).count();
    let runs = engines.runs.lock().unwrap();
    let mut twice = 0;
    for (identity, runs) in runs.iter() {
        record.say(format!("{identity} ran {} times: {}", runs.len(), runs.join(", ")));
        twice += usize::from(runs.len() > 1);
    }
    let answers = second.iter().filter(|a| a.0 == 409).count();
    let summary = format!(
        "{REPORTS} reports: {served} first arrivals served, {answers} second arrivals told of the first, {twice} reports ran twice"
    );
    record.say(&summary);
    record.write(&place.case.join("record.txt"));
    println!("{summary}");
    if served < REPORTS || runs.len() != REPORTS {
        println!("the first arrivals were not all served: no judgement");
        end(&place, 2);
    }
    end(&place, i32::from(twice > 0));
}
