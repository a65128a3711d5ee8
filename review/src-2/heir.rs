//! No effect happens twice: a report arrives again under its identity after a planned hand-over.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::kit::{
    ask, connect, engine, free_address, pause, read_answer, Ask, Reader, Stage, Verdict, KEY, KEY_HASH, SALT,
};

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let effects: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let (marks, log) = (effects.clone(), record.clone());
    let address = engine("m1", record, move |call| {
        let body = call.message.text();
        let report = body
            .find("report-")
            .map_or("", |at| &body[at..])
            .split(';')
            .next()
            .unwrap_or_default()
            .to_owned();
        *marks.lock().map_err(|_| std::io::ErrorKind::Other)?.entry(report.clone()).or_default() += 1;
        log.line(format!("run    {}: report {report} is marked", call.engine));
        call.stream_answer("a", 60, 100, 60)
    })?;
    let listen = free_address()?;
    let file = stage.write("r1.xml", &settings(listen, address))?;
    let _first = stage.start_router("life-1", &file, false)?;
    let request = Ask {
        bearer: KEY,
        key: Some("key-1"),
        class: "report",
        text: "report-1;",
        max_tokens: 100,
        deadline_ms: None,
        session: "one",
    };
    let mut stream = connect(listen)?;
    stream.write_all(&request.bytes()).map_err(|e| e.to_string())?;
    record.line("sent   report 1 under key-1");
    pause(1_000);
    let second = if stage.trouble { Some(stage.start_router("life-2", &file, true)?) } else { None };
    pause(300);
    let repeat = ask(listen, &request, "report 1 under key-1 again", record);
    let answer = read_answer(&mut Reader::new(stream), record);
    record.line(format!("answer report 1: {}", answer.describe()));
    if !answer.is_served() {
        return Err("the first request was not served".into());
    }
    let effects = effects.lock().map_err(|e| e.to_string())?;
    record.line(format!(
        "check  how often each report was marked: {effects:?}; the repeat got {}",
        repeat.status
    ));
    drop(second);
    Ok(effects.values().all(|n| *n == 1))
}

fn settings(listen: SocketAddr, engine: SocketAddr) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" drain="20s" control="r1.sock"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help">
    <class name="help" aim="1s" deadline="5s" effect="free"/>
    <class name="report" aim="2s" deadline="8s" effect="single-shot"/>
  </classes>
  <tenants salt="{SALT}"><tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
  <budgets ledger="state/r1" margin="0.1" sync="20ms">
    <budget tenant="nord" period="day" tokens="100000"/>
  </budgets>
  <engines><engine id="m1" kind="mixed" zone="hall" cell="1" address="{engine}"/></engines>
</chalkyard>
"#
    )
}
