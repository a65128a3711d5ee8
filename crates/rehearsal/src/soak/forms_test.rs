//! Byte-exact checks of the formats that the soak records, prints and draws, against stored files.
#![allow(clippy::unwrap_used)]

use rand::Rng;
use serde_json::json;

use super::discovery::Phase;
use super::plan::{Answering, Fault, FaultKind, Repeat, WorkerRole};
use super::*;

fn read_stored(name: &str) -> String {
    std::fs::read_to_string(format!("{}/tests/data/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// Every kind of event, with each variant of its enum fields.
fn every_event() -> Vec<(u64, Event)> {
    let id = || "q01-000001".to_owned();
    let asked = |repeat| Event::Asked {
        id: id(),
        router: 1,
        class: 2,
        repeat,
        deadline_us: 800_000,
        first_on_connection: true,
    };
    let arrived =
        |role, timeout_us| Event::Arrived { id: id(), worker: 3, role, timeout_us, after_hang: false };
    let events = vec![
        asked(Repeat::Free),
        asked(Repeat::Guarded),
        asked(Repeat::SingleShot),
        Event::AnswerBegan { id: id(), status: 200 },
        Event::AnswerEnded { id: id() },
        Event::AnswerLost { id: id(), begun: true },
        Event::ClientLeft { id: id() },
        arrived(WorkerRole::Reader, None),
        arrived(WorkerRole::Writer, Some(700_000)),
        Event::AttemptOver { id: id(), worker: 3 },
        Event::Reserved { id: id(), worker: 3 },
        Event::Fetched { id: id() },
        Event::Released { id: id() },
        Event::Ran { id: id(), worker: 3 },
        Event::Written { id: id(), worker: 3 },
        Event::Notified { router: 1, worker: 3, takes_work: false },
        Event::RouterStarted { router: 1 },
        Event::RouterTerminated { router: 1 },
        Event::RouterEnded { router: 1, killed: true, code: None },
        Event::RouterEnded { router: 1, killed: false, code: Some(5) },
        Event::RouterStalled { router: 1 },
        Event::Violations { router: 1, count: 2 },
        Event::ViolationLine { router: 1, line: "{\"change\":\"violation\"}".into() },
        Event::Logged { router: 1, line: "x".into() },
        Event::Size { router: 1, descriptors: 90, memory_kb: 12_000 },
        Event::MachineStalled { for_us: 30_000 },
    ];
    events.into_iter().enumerate().map(|(i, event)| (i as u64 * 1_000, event)).collect()
}

#[test]
fn soak_record_matches_stored_file() {
    let file = std::env::temp_dir().join(format!("chalkyard-soak-forms-{}.jsonl", std::process::id()));
    write_record(&file, &every_event()).unwrap();
    let written = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(written + "\n", read_stored("soak_record.jsonl"));
}

fn draw_plan(seed: u64) -> SoakPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let routers = rng.random_range(10..=16);
    SoakPlan::draw(seed, &mut rng, routers, 20)
}

#[test]
fn drawn_plans_match_stored_files() {
    for seed in [1, 202] {
        let plan = serde_json::to_string(&draw_plan(seed)).unwrap() + "\n";
        assert_eq!(plan, read_stored(&format!("soak_plan_{seed}.json")));
    }
}

#[test]
fn serialized_faults_match_stored_file() {
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
    assert_eq!(lines.collect::<String>(), read_stored("soak_faults.jsonl"));
}

const CHECKS: [Check; 11] = [
    Check::Answered,
    Check::Effect,
    Check::Drain,
    Check::Reservation,
    Check::PropagatedTimeout,
    Check::Gone,
    Check::CompleteStream,
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
        plan: SoakPlan { faults: draw_plan(1).faults.into_iter().take(2).collect(), ..draw_plan(1) },
        asked: 1_000,
        served: 900,
        calls: 2_100,
        reserved: 700,
        lost_answers: 3,
        lost_answer_longest_us: 2_500_000,
        machine_stalled_us: 31_000,
        findings: checks.iter().map(finding).collect(),
    }
}

#[test]
fn soak_report_matches_stored_files() {
    let (clean, broken) = (report(&[]), report(&CHECKS));
    assert!(clean.is_clean() && !broken.is_clean());
    assert_eq!(clean.text() + &broken.text(), read_stored("soak_report.txt"));
    let json = |r: &SoakReport| serde_json::to_string(r).unwrap() + "\n";
    assert_eq!(json(&clean) + &json(&broken), read_stored("soak_report.json"));
}

#[test]
fn router_configuration_matches_stored_file() {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let known = json!({"revision": 40, "complete": true, "members": []});
    let written = process::config(3, &draw_plan(1), address(81), address(82), &known).to_string() + "\n";
    assert_eq!(written, read_stored("soak_config.json"));
}

#[test]
fn worker_lists_match_stored_files() {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let workers = [
        ("s-00".to_owned(), WorkerRole::Reader, address(91)),
        ("s-01".to_owned(), WorkerRole::Writer, address(92)),
    ];
    let list = List::new(&workers);
    let (whole, takes) = list.entries(None);
    assert_eq!(whole.to_string() + "\n", read_stored("soak_list.json"));
    assert_eq!(takes, [(0, true), (1, true)]);
    list.change(1, Phase::Draining);
    let (change, takes) = list.entries(Some(40));
    assert_eq!(change.to_string() + "\n", read_stored("soak_list_change.json"));
    assert_eq!(takes, [(1, false)]);
    list.change(1, Phase::Removed);
    assert_eq!(list.entries(None).1, [(0, true)]);
}
