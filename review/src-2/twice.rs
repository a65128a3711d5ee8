//! No effect happens twice: a keyed report arrives twice under one identity while new settings are rolled out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::kit::{ask, engine, free_address, Ask, Stage, Verdict, KEY, KEY_HASH, SALT};

/// Hash of another key, for the tenant that comes.
const OTHER_HASH: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    // The engines are one group: what ran under a key within the window is answered again and has no effect.
    let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let effects: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let mut engines = Vec::new();
    for name in ["m1", "m2"] {
        let (seen, effects, record) = (seen.clone(), effects.clone(), record.clone());
        engines.push(engine(name, &stage.record, move |call| {
            let key = call.message.header("idempotency-key").to_owned();
            let report = report_of(&call.message.text());
            let is_new = seen.lock().map_err(|_| std::io::ErrorKind::Other)?.insert(key.clone());
            if is_new {
                *effects.lock().map_err(|_| std::io::ErrorKind::Other)?.entry(report.clone()).or_default() +=
                    1;
                record.line(format!("run    {}: report {report} is marked, key {key}", call.engine));
            } else {
                record.line(format!(
                    "repeat {}: report {report} is dropped as a repeat, key {key}",
                    call.engine
                ));
            }
            call.stream_answer("marked", 3, 50, 10)
        })?);
    }
    let (one, two) = (free_address()?, free_address()?);
    let old = "";
    let new = format!("<tenant name=\"amt\"><key hash=\"{OTHER_HASH}\"/></tenant>");
    let file_1 = stage.write("r1.xml", &settings("r1", one, old, &engines))?;
    let file_2 = stage.write("r2.xml", &settings("r2", two, old, &engines))?;
    let mut router_1 = stage.start_router("r1", &file_1, false)?;
    let _router_2 = stage.start_router("r2", &file_2, false)?;
    // The new settings are rolled out router by router: r1 is restarted as planned, r2 is to follow.
    let rolled_out = if stage.trouble { new.as_str() } else { old };
    stage.write("r1.xml", &settings("r1", one, rolled_out, &engines))?;
    router_1.signal("TERM")?;
    router_1.await_end(Duration::from_secs(10))?;
    let _router_1 = stage.start_router("r1-again", &file_1, false)?;

    let mut served = 0;
    for n in 1..=5 {
        let (key, text) = (format!("key-{n}"), format!("report-{n};"));
        let request = Ask {
            bearer: KEY,
            key: Some(&key),
            class: "report",
            text: &text,
            max_tokens: 16,
            deadline_ms: None,
            session: "s",
        };
        for (router, address) in [("r2", two), ("r1", one)] {
            let name = format!("report {n} under {key} at {router}");
            served += u32::from(ask(address, &request, &name, record).is_served());
        }
    }
    if served == 0 {
        return Err("nothing was served".into());
    }
    let effects = effects.lock().map_err(|e| e.to_string())?;
    record.line(format!("check  how often each report was marked: {effects:?}"));
    Ok(effects.len() == 5 && effects.values().all(|n| *n == 1))
}

/// The report's name in a prompt.
fn report_of(body: &str) -> String {
    let rest = body.find("report-").map_or("", |at| &body[at..]);
    rest.split(';').next().unwrap_or_default().to_owned()
}

fn settings(name: &str, listen: SocketAddr, before: &str, engines: &[SocketAddr]) -> String {
    let engines: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(n, at)| {
            format!("<engine id=\"m{}\" kind=\"mixed\" zone=\"hall\" cell=\"1\" address=\"{at}\"/>", n + 1)
        })
        .collect();
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="{name}" routers="2" listen="{listen}" drain="5s"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help">
    <class name="help" aim="1s" deadline="5s" effect="free"/>
    <class name="report" aim="2s" deadline="8s" effect="guarded" group="all" dedup-window="60s"/>
  </classes>
  <tenants salt="{SALT}">{before}<tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
  <engines>{}</engines>
</chalkyard>
"#,
        engines.join("")
    )
}
