//! A planned restart by hand-over of a router that has nothing open leaves a router that serves.

use std::net::SocketAddr;

use crate::kit::{ask, engine, free_address, pause, Ask, Process, Stage, Verdict, KEY, KEY_HASH, SALT};

/// Planned restarts, one after the other; no further one follows one that has failed.
const RESTARTS: usize = 10;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let address = engine("m1", record, |call| call.stream_answer("a", 4, 20, 5))?;
    let listen = free_address()?;
    let file = stage.write("r1.xml", &settings(listen, address))?;
    let mut lives: Vec<Process> = vec![stage.start_router("life-0", &file, false)?];
    let serves = |n: usize| {
        let text = format!("question {n}");
        let request = Ask {
            bearer: KEY,
            key: None,
            class: "help",
            text: &text,
            max_tokens: 8,
            deadline_ms: None,
            session: "s",
        };
        ask(listen, &request, &text, record).is_served()
    };
    if !serves(0) {
        return Err("the first router does not serve".into());
    }
    // Nothing is asked between the restarts, so that each process has nothing open as it is taken over.
    for n in 1..=RESTARTS {
        pause(500);
        if !stage.trouble {
            continue;
        }
        match stage.start_router(&format!("life-{n}"), &file, true) {
            Ok(process) => lives.push(process),
            Err(why) => {
                record.line(format!("failed {why}"));
                break;
            }
        }
    }
    pause(1_000);
    let is_served = serves(1);
    let running = lives.iter_mut().filter_map(|life| life.is_running().then_some(())).count();
    record.line(format!("check  the request after the restarts was served: {is_served}; {running} processes of the router run"));
    Ok(is_served)
}

fn settings(listen: SocketAddr, engine: SocketAddr) -> String {
    format!(
        r#"<?xml version="1.0" encoding="UTF-8"?>
<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" routers="1" listen="{listen}" drain="20s" control="r1.sock"/>
  <rules release="1s" cold-from="0.3" cold-for="10s" fall-multiple="3" fall-after="2s" max-attempts="4" reports="off"/>
  <zones><zone name="hall"/></zones>
  <kinds><kind name="mixed" role="mixed" kv-tokens="160000"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="5s" effect="free"/></classes>
  <tenants salt="{SALT}"><tenant name="nord"><key hash="{KEY_HASH}"/></tenant></tenants>
  <budgets ledger="state/r1" margin="0.1" sync="20ms">
    <budget tenant="nord" period="day" tokens="100000"/>
  </budgets>
  <engines><engine id="m1" kind="mixed" zone="hall" cell="1" address="{engine}"/></engines>
</chalkyard>
"#
    )
}
