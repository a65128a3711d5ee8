//! Forms that others read, held to the byte: reports, and the schedules and sums of cases.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use std::path::Path;

use chalkyard_fleet::*;
use chalkyard_rehearsal::record::parse;
use chalkyard_rehearsal::scenario::Scenario;
use chalkyard_rehearsal::{Rule, Rules};

fn stored(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

const HELD: Rule = Rule { passed: true, checked: 3, broken: 0 };
const BROKEN: Rule = Rule { passed: false, checked: 9, broken: 1 };

fn played(rules: Rules, goodput: f64, recovery_s: Option<f64>) -> Played {
    Played {
        rules,
        broken: vec!["drain: attempt 4 at write, told out".into()],
        requests: 400,
        sums: Sums {
            goodput,
            goodput_before: 0.95,
            goodput_during: 0.5,
            recovery_s,
            idle_while_refusing: 0.25,
            repeats_share: 0.125,
            trial_rate_max: 4.0,
            connect_rate_max: 90.0,
            list_rate_max: 30.0,
            shed_spread: 0.0625,
            refused_share: 0.03,
        },
    }
}

fn report(rules: Rules, recovery_s: Option<f64>, baseline: Option<Played>) -> Report {
    let played = played(rules, 0.875, recovery_s);
    let scenario = case("burst", 3, 12, 24).unwrap();
    Report {
        case: "burst".into(),
        seed: 3,
        routers: 12,
        way: "fed",
        bounds: bounds(&scenario, &played.sums),
        played,
        baseline,
    }
}

#[test]
fn a_report_prints_as_ever() {
    let sound = Rules {
        answered: HELD,
        effect: HELD,
        drain: HELD,
        cold: HELD,
        pinned: HELD,
        gone: HELD,
        propagated_timeout: HELD,
    };
    let broken = Rules { drain: BROKEN, ..sound };
    let held = report(sound, Some(2.5), None);
    let not_held = report(broken, None, Some(played(sound, 0.75, Some(1.0))));
    assert!(held.passed() && !not_held.passed());
    assert_eq!(held.past().count(), 0);
    assert_eq!(not_held.past().map(|b| b.name).collect::<Vec<_>>(), ["recovery_s"]);
    assert_eq!(held.text() + &not_held.text(), stored("report.txt"));
    assert_eq!(format!("{}\n{}\n", held.json(), not_held.json()), stored("report.json"));
}

/// A day's numbers, and its faults a line each.
fn schedule(scenario: &Scenario) -> String {
    let mut out = format!(
        "{} seed {} length {} routers {} engines {} rate {} naive {} favourite {:?} told {:?} clocks {}\n",
        scenario.name,
        scenario.seed,
        scenario.length,
        scenario.routers,
        scenario.engines.len(),
        scenario.rate,
        scenario.impatient,
        scenario.favourite,
        scenario.configured_routers,
        scenario.clock_skew
    );
    for f in &scenario.faults {
        let links = f.links.as_ref().map(|l| (serde_json::to_string(&l.of).unwrap(), &l.routers));
        out += &format!(
            "{} at {} len {} on {:?} size {} links {links:?}\n",
            f.kind.name(),
            f.at,
            f.len,
            f.on,
            f.size
        );
    }
    for bound in bounds(scenario, &Sums::default()) {
        out += &format!("{} at most {}\n", bound.name, bound.most);
    }
    out
}

#[test]
fn a_seed_draws_the_same_schedule_as_ever() {
    let names = CASES.iter().map(|c| c.name).chain(["replaced+sick+reset+lost"]);
    let text: String = names.map(|name| schedule(&case(name, 3, 12, 24).unwrap())).collect();
    assert_eq!(text, stored("schedules.txt"));
}

#[test]
fn a_record_has_the_same_sums_as_ever() {
    let lines = parse(include_str!("../../rehearsal/tests/sound.jsonl")).unwrap();
    let sums: Vec<String> = ["calm", "burst", "sick", "silent"]
        .map(|name| serde_json::to_string(&sums(&case(name, 3, 12, 24).unwrap(), &lines)).unwrap())
        .into();
    assert_eq!(sums.join("\n") + "\n", stored("sums.jsonl"));
}
