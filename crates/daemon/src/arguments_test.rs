#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use clap::{CommandFactory, Parser};

use super::Arguments;

/// Command lines of the README and the operator documentation, which must be accepted as written.
const DOCUMENTED: &[&str] = &[
    "check deploy/example.xml",
    "run deploy/example.xml",
    "run --take-over r1.xml",
    "run --decisions decisions.jsonl r1.xml",
    "run r1.xml --seed 7 --decisions decisions.jsonl --take-over",
    "platform",
    "platform config.json",
    "status r1.xml",
    "status r1.sock --format json",
    "engines r1.xml --format json --watch 5",
    "requests r1.xml --format text --watch 3600",
    "trace r1-1-2 r1.xml",
    "trace r1-1-2 r1.sock --format json --watch 1",
    "drain r1.xml",
    "undrain r1.xml",
    "reload r1.xml",
    "stop r1.xml",
    "log-level info,request=off r1.xml",
    "hash-key r1.xml",
    "replay decisions.jsonl",
    "rehearse bad-day",
    "rehearse bad-day --seed 3 --record day.jsonl",
    "rehearse calm-day --seconds 8",
    "rehearse budgets --seconds 12 --seed 4",
    "rehearse restart-afternoon --format json",
    "rehearse overload",
    "rehearse overload --fed",
    "rehearse overload --fed --case cold+reset --seeds 10",
    "rehearse overload --case silent --exe old/chalkyard",
    "rehearse overload --routers 24 --seconds 600",
    "rehearse soak --seed 1 --seeds 20 --routers 5 --seconds 20 --record soak.jsonl --exe old/chalkyard",
    "audit day.jsonl",
    "audit day.jsonl --format json",
    "settle r1.xml",
    "settle r1.xml --rounds 1",
    "budget show r1.xml",
    "budget show r1.xml --format json",
    "budget grant r1.xml --tenant nord --period month --tokens 500000 --by ann --why exam-week",
    "budget grant r1.xml --tenant nord --class help --period hour --tokens -500 --by ann --why mistake",
    "budget set r1.xml --tenant nord --period month --tokens 300000000 --by ann --why contract",
    "budget set r1.xml --tenant nord --period day --by ann --why as-before",
    "budget adjust r1.xml --tenant nord --class help --day 2026-12-01 --amount -250 --by ann --why incident",
    "bill r1.xml --period 2026-12 --engines write-1.jsonl write-2.jsonl",
    "bill r1.xml --period 2026-12 --engines write-1.jsonl --ledger state/r1 state/r2 --format json",
    "compact r1.xml --ledger state/r1 --before 2026-11",
    "losses r1.log r2.log",
    "losses r1.log --format json",
];

fn parsed(line: &str) -> Result<Arguments, clap::Error> {
    Arguments::try_parse_from(std::iter::once("chalkyard").chain(line.split(' ')))
}

#[test]
fn each_documented_command_line_is_accepted() {
    for line in DOCUMENTED {
        let refusal = parsed(line).err().map(|e| e.to_string());
        assert_eq!(refusal, None, "{line}");
    }
}

#[test]
fn each_command_has_a_documented_line() {
    let command = Arguments::command();
    for name in command.get_subcommands().map(clap::Command::get_name) {
        assert!(DOCUMENTED.iter().any(|line| line.split(' ').next() == Some(name)), "{name}");
    }
}

#[test]
fn command_lines_past_their_bounds_are_refused() {
    for line in [
        "",
        "dance",
        "run",
        "status r1.xml --format xml",
        "status r1.xml --watch 0",
        "status r1.xml --watch 3601",
        "rehearse bad-day --seconds 7",
        "rehearse bad-day --seconds 601",
        "rehearse overload --seeds 0",
        "rehearse overload --seeds 1001",
        "rehearse overload --routers 1",
        "rehearse overload --routers 401",
        "losses",
        "budget",
        "budget grant r1.xml --tenant nord --period week --tokens 5 --by ann --why x",
        "bill r1.xml",
        "compact r1.xml --ledger state/r1",
    ] {
        assert!(parsed(line).is_err(), "{line}");
    }
}
