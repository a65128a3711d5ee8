//! Reads a settings file with every element and attribute and checks each value. Guards operators' existing files: a
//! changed name or format would keep a router from starting, or change its settings.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::path::PathBuf;
use std::time::Duration;

use chalkyard_budget::{Calendar, HardLimitAction, Mode, PeriodKind, Price, SoftLimitAction, Units};
use chalkyard_policy::{
    Class, DeduplicationScope, Discovery, LoadReporting, Micros, RetrySafety, Role, Settings as Policy,
    Tenant, ZoneId,
};
use chalkyard_settings::{read, Settings};

const STORED: &str = include_str!("data/every_attribute.xml");

fn stored() -> Settings {
    read(STORED).unwrap()
}

const fn ms(n: u64) -> Micros {
    Micros(n * 1_000)
}

#[test]
fn rules_classes_and_allowances_are_read_for_the_decision_module() {
    let class = |effect, dedup_window| Class {
        latency_objective: ms(1_000),
        latency_objective_per_1000_tokens: ms(0),
        deadline: ms(5_000),
        retry_safety: effect,
        dedup_window,
    };
    assert_eq!(
        stored().config.policy,
        Policy {
            routers: 3,
            classes: vec![
                Class { latency_objective_per_1000_tokens: ms(60), ..class(RetrySafety::Idempotent, ms(0)) },
                class(RetrySafety::Deduplicated(DeduplicationScope::Cell), ms(3_000)),
                class(RetrySafety::Deduplicated(DeduplicationScope::Zone), ms(4_000)),
                class(RetrySafety::Deduplicated(DeduplicationScope::All), ms(5_000)),
                class(RetrySafety::NonIdempotent, ms(0)),
                Class {
                    latency_objective: ms(2_000),
                    deadline: ms(9_000),
                    ..class(RetrySafety::Idempotent, ms(0))
                },
            ],
            tenants: vec![Tenant { allowance_per_s: Some(20.5) }, Tenant { allowance_per_s: None }],
            discovery: Discovery::Poll,
            max_poll_interval: ms(2_000),
            self_prefill: false,
            resume: false,
            reservation_timeout: ms(900),
            max_attempts: 5,
            may_cancel: false,
            max_retry_after: ms(3_000),
            overload_multiple: 2.5,
            overload_window: ms(1_500),
            slow_start_initial_share: 0.25,
            slow_start_duration: ms(120_000),
            answer_slack: ms(40),
            tick: ms(2),
            weighted: true,
            load_reporting: LoadReporting::Off,
        }
    );
}

#[test]
fn the_router_and_its_files_are_read() {
    let settings = stored();
    assert_eq!(settings.listen, "127.0.0.1:8400".parse().unwrap());
    assert!(settings.shared_port);
    assert_eq!(settings.endpoint_list_file, Some(PathBuf::from("list.json")));
    assert_eq!(settings.control, Some(PathBuf::from("r7.sock")));
    assert_eq!(settings.drain_timeout, Duration::from_millis(1_500));
    let config = settings.config;
    assert_eq!((config.name.as_str(), config.discovery), ("r7", Some("127.0.0.1:9000".parse().unwrap())));
    assert!(config.dialect.is_none());
}

#[test]
fn names_and_keys_are_read_in_file_order() {
    let config = stored().config;
    let classes: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(classes, ["free", "cellular", "zonal", "everywhere", "once", "later"]);
    assert_eq!(config.default_class, 1);
    let tenants: Vec<(&str, Option<Vec<usize>>)> =
        config.tenants.iter().map(|t| (t.name.as_str(), t.classes.clone())).collect();
    assert_eq!(tenants, [("nord", Some(vec![0, 4])), ("sued", None)]);
    assert_eq!((config.keys.owner("example-key"), config.keys.owner("another")), (Some(0), None));
    let zones: Vec<(&str, ZoneId)> = config.zones.iter().map(|(n, z)| (n.as_str(), *z)).collect();
    assert_eq!(zones, [("east", ZoneId(0)), ("west", ZoneId(1))]);
    let kinds: Vec<(&str, Role, Option<u64>)> =
        config.kinds.iter().map(|(n, k)| (n.as_str(), k.role, k.kv_tokens)).collect();
    assert_eq!(
        kinds,
        [("a", Role::Prefill, Some(100)), ("b", Role::Decode, None), ("c", Role::Combined, None)]
    );
}

#[test]
fn bounds_are_read_and_those_of_engines_are_derived() {
    let b = stored().config.bounds;
    let c = b.client;
    assert_eq!((c.start_line_bytes, c.head_bytes, c.body_bytes), (1_001, 2_002, 3_003));
    assert_eq!((c.chunk_bytes, c.pipelined_bytes, c.allow_chunk_extensions), (4_004, 5_005, false));
    assert_eq!((b.worker.head_bytes, b.worker.body_bytes), (2_002, 256 * 1024 * 1024));
    assert_eq!((b.event_bytes, b.answer_bytes, b.clients, b.open_requests), (6_006, 7_007, 8, 9));
    assert_eq!((b.connections_per_worker, b.idle_per_worker, b.client_buffer), (10, 11, 12_012));
    assert_eq!((b.workers, b.identities), (13, 14));
    assert_eq!((b.call.messages, b.call.prompt_tokens, b.call.max_tokens), (15, 16, 17));
    assert_eq!((b.evict_clients, b.pending_body_bytes, b.worker_connections), (false, u64::MAX, usize::MAX));
}

#[test]
fn timeouts_are_read_and_those_without_an_attribute_are_derived() {
    let w = stored().config.timeouts;
    assert_eq!([w.request, w.idle, w.worker_idle, w.connect], [1_000, 2_000, 3_000, 4_000].map(ms));
    assert_eq!([w.stream, w.slow_client, w.discovery], [5_000, 6_000, 7_000].map(ms));
    assert_eq!([w.reply_margin, w.identity], [8_000, 9_000].map(ms));
    assert_eq!(
        [w.first_request, w.release, w.drain_grace, w.discovery_probe],
        [2_000, 4_000, 500, 250].map(ms)
    );
    assert_eq!(w.migration, None);
}

#[test]
fn engines_are_read_as_an_endpoint_list() {
    let engines: serde_json::Value = serde_json::from_str(&stored().engines.unwrap()).unwrap();
    assert_eq!(
        engines,
        serde_json::json!({"version": 0, "workers": [
            {"worker": "e1", "kind": "a", "zone": "west", "state": "in", "address": "127.0.0.1:8501", "cell": 3,
             "weight": 1.5},
            {"worker": "e2", "kind": "c", "zone": null, "state": "in", "address": "127.0.0.1:8502", "cell": 0,
             "weight": 1.0},
        ]})
    );
}

#[test]
fn budgets_rates_and_prices_are_read() {
    let budgets = stored().budgets.unwrap();
    let plan = budgets.plan;
    assert_eq!(plan.calendar, Calendar::new("Europe/Zurich").unwrap());
    assert_eq!((plan.weights.prompt, plan.weights.cached, plan.weights.output), (1_000, 100, 4_250));
    assert_eq!((plan.margin, plan.mode), (50, Mode::Leases { epoch: 500_000, routers: 3 }));
    let limits: Vec<_> = plan
        .limits
        .iter()
        .map(|(key, l)| {
            (key.to_string(), key.kind, l.hard, l.soft, l.at_soft.clone(), l.at_hard, l.marks.clone())
        })
        .collect();
    let lower = SoftLimitAction::Lower("later".into());
    assert_eq!(
        limits,
        [
            (
                "nord/*/day".into(),
                PeriodKind::Day,
                Units::tokens(2_000),
                900,
                SoftLimitAction::Clamp(64),
                HardLimitAction::Refuse,
                vec![]
            ),
            (
                "nord/free/month".into(),
                PeriodKind::Month,
                Units::tokens(1_000),
                800,
                lower,
                HardLimitAction::Refuse,
                vec![500, 950]
            ),
            (
                "sued/*/hour".into(),
                PeriodKind::Hour,
                Units::tokens(3_000),
                1_000,
                SoftLimitAction::Warn,
                HardLimitAction::Clamp(32),
                vec![]
            ),
        ]
    );
    let rates: Vec<_> = plan.rates.iter().map(|(name, r)| (&**name, r.per_second, r.burst)).collect();
    assert_eq!(
        rates,
        [("nord", Units::tokens(40), Units::tokens(400)), ("sued", Units::tokens(50), Units::tokens(50))]
    );
    let price = |from: &str, n: u64| Price {
        from: from.into(),
        currency: "Rp".into(),
        prompt: 300 + n,
        cached: 30 + n,
        output: 1_500 + n,
    };
    assert_eq!(plan.prices, [price("2026-01-01", 0), price("2026-07-01", 1)]);
}

#[test]
fn the_ledger_and_the_settlement_job_are_read() {
    let budgets = stored().budgets.unwrap();
    assert_eq!(budgets.ledger, PathBuf::from("state/r7"));
    assert_eq!((budgets.sync_interval, budgets.segment_bytes), (Duration::from_millis(20), 65_536));
    assert_eq!(budgets.grants_file, Some(PathBuf::from("state/r7.grant")));
    assert_eq!(budgets.key_file, Some(PathBuf::from("lease.key")));
    let settlement = budgets.settlement.unwrap();
    assert_eq!(settlement.journal, PathBuf::from("state/journal"));
    let t = settlement.terms;
    assert_eq!((t.epoch, t.lease, t.clock_error, t.even_share_divisor), (500_000, 6_000_000, 100_000, 5));
    assert_eq!(
        settlement.routers,
        [("r7".to_owned(), PathBuf::from("state/r7")), ("r8".to_owned(), PathBuf::from("state/r8"))]
    );
}

#[test]
fn omitted_attributes_have_their_defaults() {
    let zeros = "0".repeat(64);
    let settings = read(&format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="127.0.0.1:1" register="127.0.0.1:2"/>
  <rules/><bounds/><waits/>
  <kinds><kind name="mixed" role="mixed"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="5s" effect="free"/></classes>
  <tenants salt="{zeros}"><tenant name="nord"/></tenants>
  <budgets ledger="state"><settlement journal="journal"><ledger router="r1" folder="state"/></settlement></budgets>
</chalkyard>"#
    ))
    .unwrap();
    assert_eq!((settings.shared_port, settings.drain_timeout), (false, Duration::from_secs(20)));
    assert_eq!((&settings.endpoint_list_file, &settings.control, &settings.engines), (&None, &None, &None));
    let p = settings.config.policy;
    assert_eq!((p.routers, p.discovery, p.self_prefill, p.resume), (1, Discovery::Push, true, false));
    assert_eq!(
        [p.max_poll_interval, p.reservation_timeout, p.max_retry_after],
        [10_000, 1_000, 2_000].map(ms)
    );
    assert_eq!(
        (p.max_attempts, p.may_cancel, p.weighted, p.load_reporting),
        (4, true, false, LoadReporting::InResponses)
    );
    assert_eq!((p.overload_multiple, p.slow_start_initial_share), (3.0, 0.3));
    assert_eq!(
        [p.overload_window, p.slow_start_duration, p.answer_slack, p.tick],
        [2_000, 10_000, 100, 2].map(ms)
    );
    let budgets = settings.budgets.unwrap();
    assert_eq!((budgets.sync_interval, budgets.segment_bytes), (Duration::from_millis(50), 64 * 1024 * 1024));
    let plan = budgets.plan;
    assert_eq!((plan.margin, plan.mode), (100, Mode::Shares(1)));
    assert_eq!((plan.weights.prompt, plan.weights.cached, plan.weights.output), (1_000, 1_000, 1_000));
    let t = budgets.settlement.unwrap().terms;
    assert_eq!((t.epoch, t.lease, t.clock_error, t.even_share_divisor), (1_000_000, 10_000_000, 250_000, 4));
}
