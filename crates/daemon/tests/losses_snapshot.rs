//! Logs of routers of an earlier version, and what `chalkyard losses` prints of them, byte for byte.
//!
//! `data/router-1.log` and `data/router-2.log` hold a request of every end and condition, attempts of every stage,
//! outcome and care, and the counts of seconds. They are never written anew: routers in service write such lines.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::BTreeSet;

use common::*;
use serde_json::Value;

const FIRST: &str = include_str!("data/router-1.log");
const SECOND: &str = include_str!("data/router-2.log");

fn losses(options: &[&str]) -> String {
    let data = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
    let logs = [format!("{data}/router-1.log"), format!("{data}/router-2.log")];
    let out = chalkyard(&[&["losses"], options, &[&logs[0], &logs[1]]].concat());
    assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""));
    text(&out.stdout)
}

#[test]
fn losses_of_two_logs_are_printed_for_people_as_before() {
    let printed = losses(&[]);
    std::fs::write(folder("losses-text").join("now.txt"), &printed).unwrap();
    assert_eq!(printed, include_str!("data/losses.txt"));
    assert_eq!(printed, losses(&["--format", "text"]));
}

#[test]
fn losses_of_two_logs_are_printed_as_json_as_before() {
    let printed = losses(&["--format", "json"]);
    std::fs::write(folder("losses-json").join("now.json"), &printed).unwrap();
    assert_eq!(printed, include_str!("data/losses.json"));
}

fn values_of(key: &str) -> BTreeSet<String> {
    let lines = FIRST.lines().chain(SECOND.lines()).filter_map(|l| l.find('{').map(|from| &l[from..]));
    let read = lines.filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let attempts = |line: &Value| -> Vec<Value> {
        line["attempts"].as_str().map_or_else(Vec::new, |text| serde_json::from_str(text).unwrap())
    };
    let rows = read.flat_map(|line| [attempts(&line), vec![line]].concat());
    rows.filter_map(|row| row[key].as_str().map(str::to_owned)).collect()
}

#[test]
fn the_logs_hold_every_end_condition_stage_outcome_and_care() {
    let all = |names: &str| names.split(' ').map(str::to_owned).collect::<BTreeSet<String>>();
    assert_eq!(
        values_of("ended"),
        all("served refused failed broken client_gone client_slow stopped moved turned overdue")
    );
    assert_eq!(
        values_of("why"),
        all("no_class pressure forecast doomed jam attempts may_have_run late no_worker unfit full cold")
    );
    assert_eq!(values_of("stage"), all("read pull whole"));
    assert_eq!(values_of("care"), all("usual cold trial"));
    assert_eq!(
        values_of("outcome"),
        all("served parsed server_error refused no_state timed_out no_connection connection_lost cancelled \
             not_sent open")
    );
}
