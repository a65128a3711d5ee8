//! No request is lost: a request that was sent behind another on one connection has its answer before its time is up.

use std::io::Write;
use std::net::SocketAddr;

use crate::kit::{
    connect, engine, free_address, read_answer, Ask, Reader, Stage, Verdict, KEY, KEY_HASH, SALT,
};

/// Time for which the client waits for the second request, ms.
const DEADLINE_MS: u64 = 4_000;
/// Half a second after its time an answer only earns nothing; later it is lost.
const LATE_MS: u64 = 500;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let address = engine("m1", record, |call| {
        if call.message.text().contains("long") {
            // 3.5 s of answer.
            call.stream_answer("a", 71, 100, 49)
        } else {
            // Within the second request's own time.
            call.stream_answer("b", 4, 2_500, 5)
        }
    })?;
    let listen = free_address()?;
    let settings = stage.write("r1.xml", &settings(listen, address))?;
    let _router = stage.start_router("r1", &settings, false)?;
    let request = |text, deadline_ms, session| Ask {
        bearer: KEY,
        key: None,
        class: "help",
        text,
        max_tokens: 100,
        deadline_ms,
        session,
    };
    let first = request("a long question", None, "one").bytes();
    let second = request("a short question", Some(DEADLINE_MS), "two").bytes();
    let mut stream = connect(listen)?;
    let mut other = connect(listen)?;
    let sent = record.ms();
    let write =
        |stream: &mut std::net::TcpStream, bytes: &[u8]| stream.write_all(bytes).map_err(|e| e.to_string());
    write(&mut stream, &first)?;
    record.line("sent   the first request");
    // With the disruption both are sent at once on one connection, without it on two.
    write(if stage.trouble { &mut stream } else { &mut other }, &second)?;
    record.line(format!("sent   the second request, whose client waits {DEADLINE_MS} ms"));
    let mut reader = Reader::new(stream);
    let mut other_reader = Reader::new(other);
    let (one, two) = if stage.trouble {
        let one = read_answer(&mut reader, record);
        (one, read_answer(&mut reader, record))
    } else {
        let two = read_answer(&mut other_reader, record);
        (read_answer(&mut reader, record), two)
    };
    for (name, answer) in [("first", &one), ("second", &two)] {
        record.line(format!(
            "answer {name}: {} {} ms after it was sent",
            answer.describe(),
            answer.ended_ms - sent
        ));
    }
    if !one.is_served() {
        return Err("the first request was not served".into());
    }
    let took = two.ended_ms - sent;
    record.line(format!(
        "check  the second answer came {took} ms after the request, at most {}",
        DEADLINE_MS + LATE_MS
    ));
    Ok(two.status != 0 && took <= DEADLINE_MS + LATE_MS)
}

fn settings(listen: SocketAddr, engine: SocketAddr) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" drain="5s"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="10s" effect="free"/></classes>
  <tenants salt="{SALT}"><tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
  <engines><engine id="m1" kind="mixed" zone="hall" cell="1" address="{engine}"/></engines>
</chalkyard>
"#
    )
}
