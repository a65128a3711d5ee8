//! Budgets and bills: an answer that ends after two planned hand-overs is billed and counted.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::kit::{
    ask, connect, engine, free_address, number, pause, read_answer, unix_us, Ask, Reader, Stage, Verdict,
    KEY, KEY_HASH, PROMPT_TOKENS, SALT,
};

/// Tokens that the tenant may use in a month.
const BUDGET: u64 = 1_000;
/// Tokens of each answer: one fits into the budget, two don't.
const ANSWER: u64 = 600;
/// Time between two tokens, ms: the first answer takes about 8 s.
const EACH_MS: u64 = 13;
/// Tokens of a short answer, which the second process still streams as it is taken over.
const SHORT: u64 = 20;
const SHORT_EACH_MS: u64 = 60;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let produced = Arc::new(AtomicU64::new(0));
    let engine_file = stage.folder.join("engines.jsonl");
    let lines = Arc::new(Mutex::new(std::fs::File::create(&engine_file).map_err(|e| e.to_string())?));
    let (count, log) = (produced.clone(), record.clone());
    let address = engine("m1", record, move |call| {
        let most = number(&call.message.text(), "max_tokens").unwrap_or(ANSWER);
        let each_ms = match call.message.text() {
            body if body.contains("quick") => 0,
            body if body.contains("short") => SHORT_EACH_MS,
            _ => EACH_MS,
        };
        let done = call.stream_answer("a", most, 50, each_ms);
        count.fetch_add(PROMPT_TOKENS + most, Ordering::SeqCst);
        let line = format!(
            "{{\"engine\":\"m1\",\"request\":\"{}\",\"attempt\":{},\"work\":\"whole\",\"prompt\":{PROMPT_TOKENS},\"kept\":0,\"output\":{most},\"at\":{}}}\n",
            call.message.header("x-request-id"),
            call.message.header("x-attempt"),
            unix_us()
        );
        log.line(format!("run    m1 has written {most} tokens: {}", line.trim()));
        if let Ok(mut file) = lines.lock() {
            file.write_all(line.as_bytes())?;
        }
        done
    })?;
    let listen = free_address()?;
    let file = stage.write("r1.xml", &settings(listen, address))?;
    let mut first = stage.start_router("life-1", &file, false)?;
    let request = |text, session, max_tokens| Ask {
        bearer: KEY,
        key: None,
        class: "help",
        text,
        max_tokens,
        deadline_ms: None,
        session,
    };
    let mut stream = connect(listen)?;
    stream.write_all(&request("a long question", "one", ANSWER).bytes()).map_err(|e| e.to_string())?;
    record.line("sent   the first request");
    pause(1_000);
    let second = stage.start_router("life-2", &file, true)?;
    pause(200);
    let mut short = connect(listen)?;
    short.write_all(&request("a short question", "two", SHORT).bytes()).map_err(|e| e.to_string())?;
    record.line("sent   the short request");
    pause(300);
    // The disruption: one more planned restart while the first process still ends its stream.
    let third = if stage.trouble { Some(stage.start_router("life-3", &file, true)?) } else { None };
    for (name, stream) in [("short", short), ("first", stream)] {
        let answer = read_answer(&mut Reader::new(stream), record);
        record.line(format!("answer {name}: {}", answer.describe()));
        if !answer.is_served() {
            return Err(format!("the {name} request was not served"));
        }
    }
    first.await_end(Duration::from_secs(10))?;
    pause(1_000);
    let other = ask(
        listen,
        &request("a quick question", "three", ANSWER),
        "the last request, over the budget",
        record,
    );
    pause(500);
    let bill = bill(stage, &file, &engine_file)?;
    record.line(format!("bill   {}", bill.trim()));
    let billed = number(&bill, "billed_tokens").ok_or("the bill has no sum")?;
    let engines = produced.load(Ordering::SeqCst);
    let owed = PROMPT_TOKENS
        + ANSWER
        + PROMPT_TOKENS
        + SHORT
        + if other.is_served() { PROMPT_TOKENS + ANSWER } else { 0 };
    record.line(format!("check  {engines} tokens were produced, {owed} of them for answers that were served, {billed} are billed; budget {BUDGET}"));
    drop((second, third));
    Ok(billed == owed && engines <= BUDGET)
}

/// The bill of this month as JSON.
fn bill(stage: &Stage, file: &std::path::Path, engines: &std::path::Path) -> Result<String, String> {
    let month = Command::new("date").args(["-u", "+%Y-%m"]).output().map_err(|e| e.to_string())?;
    let month = String::from_utf8_lossy(&month.stdout).trim().to_owned();
    let out = Command::new(&stage.program)
        .current_dir(&stage.folder)
        .args(["bill", "--period", &month, "--format", "json"])
        .arg(file)
        .arg("--engines")
        .arg(engines)
        .output()
        .map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    if text.trim().is_empty() {
        return Err(format!("no bill: {}", String::from_utf8_lossy(&out.stderr)));
    }
    Ok(text)
}

fn settings(listen: SocketAddr, engine: SocketAddr) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" drain="20s" control="r1.sock"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="10s" effect="free"/></classes>
  <tenants salt="{SALT}"><tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
  <budgets ledger="state/r1" margin="0.1" sync="20ms">
    <budget tenant="nord" period="month" tokens="{BUDGET}"/>
    <price from="2026-01-01" currency="Rp" prompt="300" kept="30" output="1500"/>
  </budgets>
  <engines><engine id="m1" kind="mixed" zone="hall" cell="1" address="{engine}"/></engines>
</chalkyard>
"#
    )
}
