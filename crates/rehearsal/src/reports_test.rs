//! The printed forms of reports, held to the byte.
#![allow(clippy::unwrap_used)]

use crate::budgets::{BudgetReport, Played, TenantFigures};
use crate::report::{Rule, Rules};
use crate::restart_scenario::{RestartReport, RestartRun};

const RULES: Rules = Rules {
    answered: Rule { passed: true, checked: 10, broken: 0 },
    effect: Rule { passed: true, checked: 4, broken: 0 },
    drain: Rule { passed: false, checked: 30, broken: 2 },
    cold: Rule { passed: true, checked: 1, broken: 0 },
    pinned: Rule { passed: true, checked: 5, broken: 0 },
    gone: Rule { passed: true, checked: 6, broken: 0 },
    propagated_timeout: Rule { passed: true, checked: 7, broken: 0 },
};

fn run(restarts: u64, goodput: f64, rules: Rules) -> RestartRun {
    RestartRun { restarts, goodput, unreached: 0, broken: 0, rules }
}

#[test]
fn a_report_of_the_restart_afternoon_prints_as_ever() {
    let all_held = Rules { drain: Rule { passed: true, ..RULES.drain }, ..RULES };
    let mut report = RestartReport {
        scenario: "restart-afternoon".into(),
        seed: 3,
        without: run(0, 0.9, all_held),
        hand_overs: run(12, 0.875, RULES),
        kills: run(11, 0.5, all_held),
        ratio: 0.97,
        ratio_kills: 0.5556,
        broken: vec!["drain: attempt 4 at write, told out".into()],
    };
    assert_eq!(report.text(), include_str!("../tests/data/restart_afternoon.txt"));
    assert_eq!(report.json() + "\n", include_str!("../tests/data/restart_afternoon.json"));
    assert!(!report.passed());
    report.hand_overs.rules = all_held;
    assert!(report.passed());
    report.hand_overs.unreached = 1;
    assert!(!report.passed());
}

fn played(overrun: u64, utilisation: f64) -> Played {
    let limited = TenantFigures {
        tenant: "nord".into(),
        budget: Some(1_000),
        used: 1_000 + overrun,
        overrun,
        bound: 40,
        in_flight: 8,
        utilisation: Some(utilisation),
    };
    let unlimited = TenantFigures {
        tenant: "ost".into(),
        budget: None,
        used: 77,
        overrun: 0,
        bound: 0,
        in_flight: 2,
        utilisation: None,
    };
    Played { tenants: vec![limited, unlimited], overrun_tokens: overrun, bound_tokens: 40, utilisation }
}

#[test]
fn a_report_of_budgets_prints_as_ever() {
    let mut report = BudgetReport {
        scenario: "budgets".into(),
        seed: 3,
        routers: 16,
        router_kills: 7,
        settlement_kills: 2,
        overrun_tokens: 30,
        bound_tokens: 40,
        utilisation: 0.95,
        bill_difference_tokens: 0,
        billed_tokens: 900,
        engine_tokens: 1_000,
        explained_tokens: 100,
        causes: [("client_left".to_owned(), 60), ("answer_lost".to_owned(), 40)].into(),
        rules: RULES,
        requests: 500,
        leases: played(30, 0.95),
        equal_shares: played(0, 0.5),
        unreserved: played(300, 1.3),
        broken: vec!["bill: x".into()],
    };
    assert_eq!(report.text(), include_str!("../tests/data/budgets.txt"));
    assert_eq!(report.json() + "\n", include_str!("../tests/data/budgets.json"));
    assert!(!report.passed());
    report.rules.drain.passed = true;
    assert!(report.passed());
    report.utilisation = 0.89;
    assert!(!report.passed());
    (report.utilisation, report.overrun_tokens) = (0.9, 41);
    assert!(!report.passed());
    (report.overrun_tokens, report.bill_difference_tokens) = (40, 1);
    assert!(!report.passed());
}
