//! Budgets in the flow of a core that is driven by hand: what clients and engines see, and in which order the
//! ledger hears of it.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::BTreeMap;

use chalkyard_budget::{
    AccountKey, AtHard, AtSoft, BudgetEnforcer, Calendar, Ending, Limit, Mode, PeriodKind, Plan, Record,
    State, Time, Units, Weights,
};
use chalkyard_router::*;
use common::*;

/// What one of the yard's long requests reserves: 4,006 tokens by the estimate, raised by a tenth, and 50.
const WORST: u64 = 4_457;

fn plan(tokens: u64, at_hard: AtHard) -> Plan {
    // No tenants: all requests are nobody's, who has a budget here.
    let key = AccountKey { tenant: "".into(), class: None, kind: PeriodKind::Day };
    let limit =
        Limit { hard: Units::tokens(tokens), soft: 1_000, at_soft: AtSoft::Warn, at_hard, marks: vec![] };
    Plan {
        calendar: Calendar::default(),
        weights: Weights::default(),
        limits: BTreeMap::from([(key, limit)]),
        rates: BTreeMap::new(),
        margin: 100,
        mode: Mode::Shares(1),
        prices: vec![],
    }
}

fn harness_with(plan: Plan) -> Harness {
    let mut harness = Harness::new(config(), &usual());
    harness.core.enforce_budgets(BudgetEnforcer::new("r1", plan, State::default(), Time(START.0)));
    harness
}

/// Ending, prompt and output tokens, the reading and the writing attempt.
type Bill = (Ending, u64, u64, Option<u32>, Option<u32>);

fn settled(harness: &Harness) -> Vec<Bill> {
    let of = |r: &Record| match r {
        Record::Settled(s) => {
            Some((s.ending, s.usage.prompt, s.usage.output, s.prefill_attempt, s.answering_attempt))
        }
        _ => None,
    };
    harness.records.iter().filter_map(|(_, r)| of(r)).collect()
}

fn used(harness: &Harness) -> u64 {
    let mut state = State::default();
    for (n, r) in &harness.records {
        assert_eq!(*n, state.sequence + 1, "numbered without gaps");
        state.take(*n, r);
    }
    state.usage.values().map(|h| h.used()).sum::<Units>().in_tokens()
}

#[test]
fn a_request_over_budget_is_refused_at_once_and_reaches_no_engine() {
    let mut harness = harness_with(plan(4_000, AtHard::Refuse));
    let client = harness.ask("help");
    assert_eq!(harness.error(client), (429, "refused".into(), false));
    let raw = String::from_utf8_lossy(harness.raw(client)).into_owned();
    assert!(raw.contains("retry-after: ") && raw.contains("/*/day"), "{raw}");
    assert!(!harness.has_call() && settled(&harness).is_empty());
    // Under an identity it may come again: nothing ran.
    for _ in 0..2 {
        let client = harness.client();
        harness.ask_with(client, "report", Some("k"), true, 4_000);
        assert_eq!(harness.error(client).0, 429);
    }
}

#[test]
fn an_answer_is_cut_to_what_is_left_and_a_missing_max_tokens_is_the_bound() {
    let mut harness = harness_with(plan(WORST - 20, AtHard::Clamp(8)));
    let client = harness.ask("help");
    let read = harness.call();
    harness.parsed(&read);
    assert_eq!(harness.call().body["max_tokens"], 30, "what is left after the prompt");
    assert!(harness.answers(client).is_empty());

    let mut harness = harness_with(plan(1_000_000, AtHard::Refuse));
    let client = harness.client();
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
    harness
        .bytes(client, &chalkyard_proto::encode::request("POST", "/v1/messages", "h", &[], body.as_bytes()));
    let Some((_, Record::Reserved(charge))) = harness.records.last() else { panic!() };
    assert_eq!(charge.amount, Units::tokens(8 + 4_096));
}

#[test]
fn a_served_request_costs_what_the_engines_counted_and_is_recorded_before_the_client_hears() {
    let mut harness = harness_with(plan(100_000, AtHard::Refuse));
    let client = harness.ask("help");
    let read = harness.call();
    assert_eq!(read.header("x-attempt"), "0");
    harness.parsed(&read);
    let write = harness.call();
    assert_eq!(write.header("x-attempt"), "1");
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.token(write.conn, "b");
    assert_eq!(used(&harness), WORST, "the worst case is reserved");
    // Of the outputs of the input that ends it, the record comes before any byte to the client.
    let mut out = Vec::new();
    let mut end = Vec::new();
    for data in [r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":2}}"#, "[DONE]"] {
        let mut event = Vec::new();
        chalkyard_proto::sse::write(&mut event, "", None, data);
        chalkyard_proto::encode::chunk(&mut end, &event);
    }
    harness.core.handle(harness.now, Input::Bytes(write.conn, &end), &mut out);
    let record =
        out.iter().position(|o| matches!(o, Output::Record(_, r) if matches!(**r, Record::Settled(_))));
    let said = out.iter().position(|o| matches!(o, Output::Write(c, _) if *c == client));
    assert!(record.unwrap() < said.unwrap(), "{out:?}");
    let Some(Output::Record(_, r)) = out.get(record.unwrap()) else { panic!() };
    let Record::Settled(s) = &**r else { panic!() };
    assert_eq!((s.ending, s.usage.prompt, s.usage.cached, s.usage.output), (Ending::Served, 4_000, 64, 2));
    assert_eq!((s.prefill_attempt, s.answering_attempt), (Some(0), Some(1)));
}

#[test]
fn a_retry_reserves_once_and_names_the_attempt_that_won() {
    let mut harness = harness_with(plan(100_000, AtHard::Refuse));
    let (client, write) = harness.pulling("help");
    harness.reply(write.conn, 500, "{}");
    let second = harness.call();
    assert_eq!(used(&harness), WORST);
    let reader = second.body["kv_transfer_params"]["do_remote_decode"] == true;
    let write = if reader {
        harness.parsed(&second);
        harness.call()
    } else {
        second
    };
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.end_stream(write.conn);
    let all = settled(&harness);
    assert_eq!(all.len(), 1);
    assert_eq!((all[0].0, all[0].4), (Ending::Served, write.header("x-attempt").parse().ok()));
    assert_eq!(used(&harness), 4_002);
    assert_eq!(harness.answer(client).0, 200);
}

#[test]
fn what_breaks_or_fails_costs_nothing_and_who_leaves_midway_pays_for_what_came() {
    // Broken midway.
    let mut harness = harness_with(plan(100_000, AtHard::Refuse));
    let (client, write) = harness.pulling("report");
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.input(Input::Lost(write.conn));
    assert_eq!(harness.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&harness)[0].0, used(&harness)), (Ending::Broken, 0));

    // All tokens came, the end marker did not: the client is told that it broke, so nobody pays.
    let (client, write) = harness.pulling("report");
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.event(write.conn, r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":1}}"#);
    harness.input(Input::Lost(write.conn));
    assert_eq!(harness.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&harness)[1].0, used(&harness)), (Ending::Broken, 0));

    // The client leaves: while it waits, and midway.
    let client = harness.ask("help");
    harness.input(Input::Lost(client));
    assert_eq!((settled(&harness)[2].0, used(&harness)), (Ending::LeftEarly, 0));
    harness.calls.clear();
    let (client, write) = harness.pulling("help");
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.token(write.conn, "b");
    harness.token(write.conn, "c");
    harness.input(Input::Lost(client));
    assert_eq!(settled(&harness)[3], (Ending::Left, 4_000, 3, Some(0), Some(1)));
    assert_eq!(used(&harness), 4_003);
}

#[test]
fn without_a_ledger_nothing_new_is_taken_and_what_is_open_ends() {
    let mut harness = harness_with(plan(100_000, AtHard::Refuse));
    let client = harness.ask("help");
    harness.input(Input::LedgerWritable(false));
    let second = harness.ask("help");
    assert_eq!(harness.error(second), (503, "refused".into(), false));
    let read = harness.call();
    harness.parsed(&read);
    let write = harness.call();
    harness.begin_stream(write.conn);
    harness.token(write.conn, "a");
    harness.end_stream(write.conn);
    assert_eq!(harness.answer(client).0, 200);
    harness.input(Input::LedgerWritable(true));
    harness.ask("help");
    assert!(harness.has_call());
}

#[test]
fn budgets_reload_while_streams_run() {
    let mut harness = harness_with(plan(4_500, AtHard::Refuse));
    harness.ask("help");
    let refused = harness.ask("help");
    assert_eq!(harness.error(refused).0, 429);
    harness.input(Input::BudgetPlan(Box::new(plan(9_000, AtHard::Refuse))));
    harness.ask("help");
    assert_eq!(used(&harness), 2 * WORST, "what was reserved stays");
    let refused = harness.ask("help");
    assert_eq!(harness.error(refused).0, 429);
}
