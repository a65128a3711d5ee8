//! What the soak records, prints and draws, held to the byte.
#![allow(clippy::unwrap_used)]

use rand::Rng;
use serde_json::json;

use super::plan::{Answering, Fault, Repeat};
use super::*;

fn stored(name: &str) -> String {
    std::fs::read_to_string(format!("{}/tests/data/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// Each kind of line, with the values that its fields can take.
fn every_line() -> Vec<(u64, Seen)> {
    let id = || "q01-000001".to_owned();
    let asked = |repeat| Seen::Asked {
        id: id(),
        router: 1,
        class: 2,
        repeat,
        deadline_us: 800_000,
        first_on_connection: true,
    };
    let arrived = |role, told_us| Seen::Arrived { id: id(), worker: 3, role, told_us, was_hung: false };
    let seen = vec![
        asked(Repeat::Free),
        asked(Repeat::Guarded),
        asked(Repeat::SingleShot),
        Seen::AnswerBegan { id: id(), status: 200 },
        Seen::AnswerEnded { id: id() },
        Seen::AnswerLost { id: id(), begun: true },
        Seen::ClientLeft { id: id() },
        arrived(WorkerRole::Reader, None),
        arrived(WorkerRole::Writer, Some(700_000)),
        Seen::AttemptOver { id: id(), worker: 3 },
        Seen::Held { id: id(), worker: 3 },
        Seen::Taken { id: id() },
        Seen::Released { id: id() },
        Seen::Ran { id: id(), worker: 3 },
        Seen::Written { id: id(), worker: 3 },
        Seen::Told { router: 1, worker: 3, takes_work: false },
        Seen::RouterStarted { router: 1 },
        Seen::RouterTold { router: 1 },
        Seen::RouterEnded { router: 1, killed: true, code: None },
        Seen::RouterEnded { router: 1, killed: false, code: Some(5) },
        Seen::RouterStalled { router: 1 },
        Seen::Violations { router: 1, count: 2 },
        Seen::ViolationLine { router: 1, line: "{\"change\":\"violation\"}".into() },
        Seen::Logged { router: 1, line: "x".into() },
        Seen::Size { router: 1, descriptors: 90, memory_kb: 12_000 },
        Seen::MachineStalled { for_us: 30_000 },
    ];
    seen.into_iter().enumerate().map(|(i, seen)| (i as u64 * 1_000, seen)).collect()
}

#[test]
fn a_record_of_the_soak_is_written_as_ever() {
    let file = std::env::temp_dir().join(format!("chalkyard-soak-forms-{}.jsonl", std::process::id()));
    write_record(&file, &every_line()).unwrap();
    let written = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(written + "\n", stored("soak_record.jsonl"));
}

fn drawn(seed: u64) -> SoakPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let routers = rng.random_range(10..=16);
    SoakPlan::draw(seed, &mut rng, routers, 20)
}

#[test]
fn a_seed_of_the_soak_draws_the_same_plan_as_ever() {
    for seed in [1, 202] {
        let plan = serde_json::to_string(&drawn(seed)).unwrap() + "\n";
        assert_eq!(plan, stored(&format!("soak_plan_{seed}.json")));
    }
}

#[test]
fn each_fault_of_the_soak_is_written_as_ever() {
    let (worker, router) = (2, 3);
    let mut kinds = vec![
        FaultKind::Hang { worker },
        FaultKind::HangRole { role: WorkerRole::Reader, share: 0.5 },
        FaultKind::Silence { worker, share: 0.25, inbound: true },
        FaultKind::Reset { worker },
        FaultKind::Slow { worker, times: 4 },
        FaultKind::Replace { worker },
        FaultKind::DiscoverySilent { router },
        FaultKind::Terminate { router },
        FaultKind::Kill { router },
        FaultKind::Reload { router },
        FaultKind::Stall { router },
        FaultKind::Crowd { router, clients: 60 },
    ];
    let answers = [
        Answering::Error,
        Answering::TurnedAway,
        Answering::Unmarked,
        Answering::Reset,
        Answering::Spoilt,
        Answering::Broken,
    ];
    kinds.extend(answers.map(|how| FaultKind::Answers { worker, how }));
    let lines = kinds.into_iter().map(|kind| {
        let fault = Fault { at_ms: 1_000, until_ms: 2_000, kind };
        serde_json::to_string(&fault).unwrap() + "\n"
    });
    assert_eq!(lines.collect::<String>(), stored("soak_faults.jsonl"));
}

const CHECKS: [Check; 11] = [
    Check::Answered,
    Check::Effect,
    Check::Drain,
    Check::Held,
    Check::ToldTime,
    Check::Gone,
    Check::Whole,
    Check::Crash,
    Check::Violation,
    Check::Size,
    Check::Service,
];

fn report(checks: &[Check]) -> SoakReport {
    let finding = |check: &Check| Finding {
        check: *check,
        id: (*check != Check::Size).then(|| "q01-000001".into()),
        text: "asked 1.000, no answer".into(),
    };
    SoakReport {
        plan: SoakPlan { faults: drawn(1).faults.into_iter().take(2).collect(), ..drawn(1) },
        asked: 1_000,
        served: 900,
        calls: 2_100,
        held: 700,
        lost_answers: 3,
        lost_answer_longest_us: 2_500_000,
        machine_stalled_us: 31_000,
        findings: checks.iter().map(finding).collect(),
    }
}

#[test]
fn a_report_of_the_soak_prints_as_ever() {
    let (clean, broken) = (report(&[]), report(&CHECKS));
    assert!(clean.is_clean() && !broken.is_clean());
    assert_eq!(clean.text() + &broken.text(), stored("soak_report.txt"));
    let json = |r: &SoakReport| serde_json::to_string(r).unwrap() + "\n";
    assert_eq!(json(&clean) + &json(&broken), stored("soak_report.json"));
}

#[test]
fn a_router_of_the_soak_is_given_the_same_configuration_as_ever() {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let known = json!({"revision": 40, "complete": true, "members": []});
    let written = process::config(3, &drawn(1), address(81), address(82), &known).to_string() + "\n";
    assert_eq!(written, stored("soak_config.json"));
}

#[test]
fn the_list_of_the_soak_is_told_as_ever() {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let workers = [
        ("s-00".to_owned(), WorkerRole::Reader, address(91)),
        ("s-01".to_owned(), WorkerRole::Writer, address(92)),
    ];
    let list = List::new(&workers);
    let (whole, takes) = list.told(None);
    assert_eq!(whole.to_string() + "\n", stored("soak_list.json"));
    assert_eq!(takes, [(0, true), (1, true)]);
    list.change(1, Phase::Draining);
    let (change, takes) = list.told(Some(40));
    assert_eq!(change.to_string() + "\n", stored("soak_list_change.json"));
    assert_eq!(takes, [(1, false)]);
    list.change(1, Phase::Removed);
    assert_eq!(list.told(None).1, [(0, true)]);
}
