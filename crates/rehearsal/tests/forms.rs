//! Forms that others read, held to the byte: the recorded traffic, the reports and the schedules of a seed.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::path::Path;

use chalkyard_rehearsal::record::{
    parse, text, Answer, Class, Effect, End, Figures, Freed, Line, Seen, Stage,
};
use chalkyard_rehearsal::scenario::{self, LinkOf, Restarts, Scenario, Sharing};
use chalkyard_rehearsal::{audit, by_second};

const SOUND: &str = include_str!("sound.jsonl");

fn stored(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

fn class(name: &str, effect: Effect) -> Class {
    Class {
        name: name.into(),
        effect,
        window_us: 4_000_000,
        aim_us: 1_000_000,
        aim_per_1000_us: 60_000,
        token_aim_us: 50_000,
        worth: 2.5,
        deadline_us: 5_000_000,
    }
}

fn first_line() -> Seen {
    Seen::Scenario {
        name: "bad-day".into(),
        seed: 7,
        routers: vec!["r1".into(), "r2".into()],
        classes: vec![
            class("help", Effect::Free),
            class("lookup", Effect::Guarded),
            class("report", Effect::SingleShot),
        ],
        figures: Figures {
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

fn arrive(attempt: u64, stage: Stage, told_us: Option<u64>) -> Seen {
    Seen::Arrive {
        attempt,
        engine: "read-a1".into(),
        router: "r1".into(),
        request: "q1".into(),
        identity: "0/k1".into(),
        class: "help".into(),
        stage,
        told_us,
    }
}

fn work(attempt: u64, stage: Stage) -> Seen {
    Seen::Work {
        attempt,
        engine: "read-a1".into(),
        request: "q1".into(),
        number: 2,
        stage,
        prompt: 900,
        kept: 64,
        output: 1,
    }
}

fn fault(name: &str, links: Option<LinkOf>, begins: bool) -> Seen {
    Seen::Fault { name: name.into(), on: "read-a1 read-a2".into(), links, begins }
}

fn answer(no: u64, how: Answer, may_have_run: bool) -> Seen {
    Seen::Answer { no, how, may_have_run, tokens: 12 }
}

fn free(how: Freed) -> Seen {
    Seen::Free { engine: "read-a1".into(), request: "q1".into(), how }
}

fn ask(tenant: &str) -> Seen {
    Seen::Ask {
        no: 1,
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
    let mut seen = vec![
        first_line(),
        Seen::Engine { engine: "read-a1".into(), role: "reader".into(), cell: 1, capacity_per_s: 14.5 },
        Seen::Start { engine: "read-a1".into(), cold: true },
        Seen::Down { engine: "read-a1".into(), fell: false },
        Seen::Told {
            router: "r1".into(),
            engine: "read-a1".into(),
            state: "draining".into(),
            started: 2_000,
        },
        ask(""),
        ask("nord"),
        arrive(1, Stage::Read, None),
        arrive(2, Stage::Pull, Some(4_000_000)),
        arrive(3, Stage::Whole, Some(0)),
        Seen::Run { attempt: 1 },
    ];
    let ends = [End::Answered, End::Refused, End::NoState, End::Error, End::Closed, End::Down];
    seen.extend(ends.map(|how| Seen::End { attempt: 1, how }));
    seen.extend([Stage::Read, Stage::Pull, Stage::Whole].map(|stage| work(1, stage)));
    seen.push(Seen::Hold { engine: "read-a1".into(), request: "q1".into() });
    seen.extend([Freed::Pulled, Freed::Released, Freed::Expired, Freed::Down].map(free));
    seen.push(Seen::First { no: 1 });
    let answers =
        [Answer::Served, Answer::Refused, Answer::Failed, Answer::Broken, Answer::Duplicate, Answer::Invalid];
    seen.extend(answers.map(|how| answer(1, how, how != Answer::Refused)));
    seen.extend([
        Seen::Leave { no: 1 },
        Seen::Lost { no: 1 },
        Seen::Unreached { router: "r1".into() },
        Seen::Connect { engine: "read-a1".into() },
        Seen::Listed { router: "r1".into() },
        Seen::Use { role: "writer".into(), used: 0.625 },
        Seen::Router { router: "r1".into(), up: false },
        fault("crash", None, true),
    ]);
    let links = [LinkOf::Clients, LinkOf::Engines, LinkOf::Register, LinkOf::All];
    seen.extend(links.map(|of| fault("link_cut", Some(of), false)));
    seen.into_iter().enumerate().map(|(i, seen)| Line { t: i as u64 * 1_000, seen }).collect()
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
    let seconds = by_second(&parse(SOUND).unwrap());
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
        scenario.tries,
        scenario.notice
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
