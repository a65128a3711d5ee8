//! Forms that others read, held to the byte: the recorded traffic, the reports and the schedules of a seed.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::path::Path;

use chalkyard_rehearsal::record::{
    parse, text, Answer, AttemptEnd, Class, Event, Line, ReleaseCause, RetrySafety, RuleLimits, Stage,
};
use chalkyard_rehearsal::scenario::{self, LinkScope, Restarts, Scenario, Sharing};
use chalkyard_rehearsal::{audit, goodput_by_second};

const SOUND: &str = include_str!("sound.jsonl");

fn stored(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

fn class(name: &str, effect: RetrySafety) -> Class {
    Class {
        name: name.into(),
        retry_safety: effect,
        deduplication_window_us: 4_000_000,
        latency_objective_us: 1_000_000,
        latency_objective_per_1000_us: 60_000,
        token_objective_us: 50_000,
        priority_weight: 2.5,
        deadline_us: 5_000_000,
    }
}

fn first_line() -> Event {
    Event::Scenario {
        name: "bad-day".into(),
        seed: 7,
        routers: vec!["r1".into(), "r2".into()],
        classes: vec![
            class("help", RetrySafety::Idempotent),
            class("lookup", RetrySafety::Deduplicated),
            class("report", RetrySafety::NonIdempotent),
        ],
        limits: RuleLimits {
            slack_us: 100_000,
            release_us: 1_000_000,
            grace_us: 1_100_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            cold_from: 0.3,
            cold_us: 8_000_000,
            noise_us: 300_000,
        },
    }
}

fn arrive(attempt: u64, stage: Stage, timeout_us: Option<u64>) -> Event {
    Event::AttemptArrived {
        attempt,
        engine: "read-a1".into(),
        router: "r1".into(),
        request: "q1".into(),
        identity: "0/k1".into(),
        class: "help".into(),
        stage,
        timeout_us,
    }
}

fn work(attempt: u64, stage: Stage) -> Event {
    Event::AttemptWork {
        attempt,
        engine: "read-a1".into(),
        request: "q1".into(),
        number: 2,
        stage,
        prompt: 900,
        cached: 64,
        output: 1,
    }
}

fn fault(name: &str, links: Option<LinkScope>, begins: bool) -> Event {
    Event::Fault { name: name.into(), on: "read-a1 read-a2".into(), links, begins }
}

fn answer(number: u64, how: Answer, may_have_run: bool) -> Event {
    Event::Answer { number, how, may_have_run, tokens: 12 }
}

fn free(how: ReleaseCause) -> Event {
    Event::Released { engine: "read-a1".into(), request: "q1".into(), how }
}

fn ask(tenant: &str) -> Event {
    Event::Request {
        number: 1,
        identity: "k1".into(),
        router: "r1".into(),
        class: "help".into(),
        tenant: tenant.into(),
        prompt: 900,
        deadline: 5_000_000,
    }
}

/// Each kind of line, with each value that one of its fields can take.
fn every_line() -> Vec<Line> {
    let mut event = vec![
        first_line(),
        Event::Engine { engine: "read-a1".into(), role: "reader".into(), cell: 1, capacity_per_s: 14.5 },
        Event::Start { engine: "read-a1".into(), cold: true },
        Event::Down { engine: "read-a1".into(), overloaded: false },
        Event::Notified {
            router: "r1".into(),
            engine: "read-a1".into(),
            state: "draining".into(),
            started: 2_000,
        },
        ask(""),
        ask("nord"),
        arrive(1, Stage::Prefill, None),
        arrive(2, Stage::Decode, Some(4_000_000)),
        arrive(3, Stage::Combined, Some(0)),
        Event::AttemptRan { attempt: 1 },
    ];
    let ends = [
        AttemptEnd::Answered,
        AttemptEnd::Rejected,
        AttemptEnd::NoState,
        AttemptEnd::Error,
        AttemptEnd::Closed,
        AttemptEnd::Down,
    ];
    event.extend(ends.map(|how| Event::AttemptEnded { attempt: 1, how }));
    event.extend([Stage::Prefill, Stage::Decode, Stage::Combined].map(|stage| work(1, stage)));
    event.push(Event::Reserved { engine: "read-a1".into(), request: "q1".into() });
    event.extend(
        [ReleaseCause::Pulled, ReleaseCause::Released, ReleaseCause::Expired, ReleaseCause::Down].map(free),
    );
    event.push(Event::FirstToken { number: 1 });
    let answers = [
        Answer::Served,
        Answer::Rejected,
        Answer::Failed,
        Answer::Broken,
        Answer::Duplicate,
        Answer::Invalid,
    ];
    event.extend(answers.map(|how| answer(1, how, how != Answer::Rejected)));
    event.extend([
        Event::ClientLeft { number: 1 },
        Event::ConnectionLost { number: 1 },
        Event::Unreachable { router: "r1".into() },
        Event::Connect { engine: "read-a1".into() },
        Event::EndpointsRequested { router: "r1".into() },
        Event::Utilisation { role: "writer".into(), used: 0.625 },
        Event::Router { router: "r1".into(), up: false },
        fault("crash", None, true),
    ]);
    let links = [LinkScope::Clients, LinkScope::Engines, LinkScope::Discovery, LinkScope::All];
    event.extend(links.map(|of| fault("link_cut", Some(of), false)));
    event.into_iter().enumerate().map(|(i, event)| Line { t: i as u64 * 1_000, event }).collect()
}

#[test]
fn a_stored_record_gives_its_values_and_these_give_its_text() {
    let stored = stored("every_line.jsonl");
    let lines = every_line();
    assert_eq!(parse(&stored).unwrap(), lines);
    assert_eq!(text(&lines), stored);
    assert_eq!(text(&parse(SOUND).unwrap()), SOUND);
}

/// The sound record with one answer taken out, one state never let go, and one attempt far too late.
fn unsound() -> String {
    let kept = SOUND.lines().filter(|l| !l.contains(r#""k":"answer","try":1"#));
    let mut lines: Vec<&str> = kept.filter(|l| !l.contains(r#""k":"free""#)).collect();
    let late = r#"{"t":9900000,"k":"arrive","attempt":90,"engine":"write","router":"r1","request":"x90","identity":"0/k3","class":"help","stage":"whole","told_us":9000000}
{"t":9900500,"k":"fault","name":"crash","on":"write","begins":true}
{"t":9900600,"k":"fault","name":"crash","on":"far","begins":true}
{"t":9900700,"k":"fault","name":"drain","on":"far","begins":true}"#;
    lines.extend(late.lines());
    lines.join("\n")
}

#[test]
fn an_audit_prints_its_report_as_ever() {
    for (name, record) in [("sound", SOUND.to_owned()), ("unsound", unsound())] {
        let report = audit(&record).unwrap();
        assert_eq!(report.text(), stored(&format!("audit_{name}.txt")));
        assert_eq!(report.json() + "\n", stored(&format!("audit_{name}.json")));
    }
}

#[test]
fn the_worth_of_each_second_stays() {
    let seconds = goodput_by_second(&parse(SOUND).unwrap());
    assert_eq!(format!("{seconds:?}\n"), stored("sound_by_second.txt"));
}

/// A day's numbers, and its faults a line each.
fn schedule(scenario: &Scenario) -> String {
    let mut out = format!(
        "{} seed {} length {} routers {} engines {} rate {} tries {} notice {}\n",
        scenario.name,
        scenario.seed,
        scenario.length,
        scenario.routers,
        scenario.engines.len(),
        scenario.rate,
        scenario.max_attempts,
        scenario.discovery_delay
    );
    for f in &scenario.faults {
        out += &format!("{} at {} len {} on {:?} size {}\n", f.kind.name(), f.at, f.len, f.on, f.size);
    }
    out
}

const BENCH_DAY: &str = r#"{"site":"x","length":40000000,"servers":[1,2,3,4],"troubles":[
    {"kind":"slow","at":10000000,"len":5000000,"size":3.0,"on":[0,1]},
    {"kind":"mass_restart","at":15000000,"len":2000000,"on":[0]},
    {"kind":"balancer_roll","at":17000000,"len":1000000,"size":2.0},
    {"kind":"heavy_tail","at":18000000,"len":1000000,"size":50.0},
    {"kind":"burst","at":20000000,"len":5000000,"size":1.5}]}"#;

#[test]
fn a_seed_draws_the_same_schedule_as_ever() {
    let file = std::env::temp_dir().join(format!("chalkyard-forms-{}.json", std::process::id()));
    std::fs::write(&file, BENCH_DAY).unwrap();
    let scenarios = [
        scenario::load("bad-day", 5, None).unwrap(),
        scenario::load("calm-day", 5, Some(9)).unwrap(),
        scenario::load(file.to_str().unwrap(), 5, None).unwrap(),
        scenario::restart_scenario(5, 20, Restarts::None),
        scenario::restart_scenario(5, 20, Restarts::HandOvers),
        scenario::restart_scenario(5, 20, Restarts::Kills),
        scenario::budgets(5, 20, Sharing::Leases),
    ];
    std::fs::remove_file(&file).unwrap();
    let text: String = scenarios.iter().map(schedule).collect();
    assert_eq!(text, stored("schedules.txt"));
}

#[test]
fn a_day_that_cannot_be_read_says_why_as_ever() {
    let why = |scenario: &str| scenario::load(scenario, 1, None).unwrap_err();
    let missing = why("no-such-day");
    assert!(
        missing.starts_with("no-such-day: no day of this name (bad-day, calm-day) and no day file: "),
        "{missing}"
    );
    let file = std::env::temp_dir().join(format!("chalkyard-forms-bad-{}.json", std::process::id()));
    let path = file.display().to_string();
    let cases = [
        ("{}", "not a day file: missing field `site` at line 1 column 2"),
        (r#"{"site":"x","length":0,"troubles":[]}"#, "field `length`: 0 µs is not between 1 s and 1 h"),
        (
            r#"{"site":"x","length":4e7,"troubles":[{"kind":"bust","at":1,"len":1}]}"#,
            "field `troubles[0].kind`: unknown trouble `bust`",
        ),
    ];
    for (text, wanted) in cases {
        std::fs::write(&file, text).unwrap();
        assert_eq!(why(&path), format!("{path}: {wanted}"));
    }
    std::fs::remove_file(&file).unwrap();
}
