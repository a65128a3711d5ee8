//! Budgets in a core driven by the test harness: what clients and workers receive, and the order of the records in the
//! ledger.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::BTreeMap;

use chalkyard_budget::{
    AccountKey, BudgetEnforcer, Calendar, Ending, HardLimitAction, Limit, Mode, PeriodKind, Plan, Record,
    SoftLimitAction, State, Time, Units, Weights,
};
use chalkyard_router::*;
use common::*;

/// Tokens that a long request of the harness reserves: 4,006 estimated prompt tokens plus a margin of a tenth, and 50 output
/// tokens.
const WORST_CASE: u64 = 4_457;

fn plan(tokens: u64, at_hard: HardLimitAction) -> Plan {
    // Without tenants, all requests are charged to the unnamed tenant, which has a budget here.
    let key = AccountKey { tenant: "".into(), class: None, kind: PeriodKind::Day };
    let limit = Limit {
        hard: Units::tokens(tokens),
        soft: 1_000,
        at_soft: SoftLimitAction::Warn,
        at_hard,
        marks: vec![],
    };
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
    let mut harness = Harness::new(config(), &default_workers());
    harness.core.enforce_budgets(BudgetEnforcer::new("r1", plan, State::default(), Time(START.0)));
    harness
}

/// Ending, prompt tokens, output tokens, prefill attempt and answering attempt of a settled request.
type SettledRequest = (Ending, u64, u64, Option<u32>, Option<u32>);

fn settled(harness: &Harness) -> Vec<SettledRequest> {
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
        assert_eq!(*n, state.sequence + 1, "sequence numbers have no gaps");
        state.apply(*n, r);
    }
    state.usage.values().map(|h| h.used()).sum::<Units>().in_tokens()
}

#[test]
fn a_request_over_budget_is_rejected_at_once_and_reaches_no_worker() {
    let mut harness = harness_with(plan(4_000, HardLimitAction::Refuse));
    let client = harness.send_request("help");
    assert_eq!(harness.error(client), (429, "refused".into(), false));
    let raw = String::from_utf8_lossy(harness.raw(client)).into_owned();
    assert!(raw.contains("retry-after: ") && raw.contains("/*/day"), "{raw}");
    assert!(!harness.has_call() && settled(&harness).is_empty());
    // Nothing ran, so the request may be repeated under its idempotency key.
    for _ in 0..2 {
        let client = harness.client();
        harness.send_request_with(client, "report", Some("k"), true, 4_000);
        assert_eq!(harness.error(client).0, 429);
    }
}

#[test]
fn max_tokens_is_clamped_to_the_budget_and_defaults_to_the_limit() {
    let mut harness = harness_with(plan(WORST_CASE - 20, HardLimitAction::Clamp(8)));
    let client = harness.send_request("help");
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    assert_eq!(harness.next_call().body["max_tokens"], 30, "the budget that is left after the prompt");
    assert!(harness.answers(client).is_empty());

    let mut harness = harness_with(plan(1_000_000, HardLimitAction::Refuse));
    let client = harness.client();
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
    harness
        .bytes(client, &chalkyard_proto::encode::request("POST", "/v1/messages", "h", &[], body.as_bytes()));
    let Some((_, Record::Reserved(charge))) = harness.records.last() else { panic!() };
    assert_eq!(charge.amount, Units::tokens(8 + 4_096));
}

#[test]
fn a_served_request_costs_the_tokens_that_workers_counted_and_is_recorded_before_its_answer_ends() {
    let mut harness = harness_with(plan(100_000, HardLimitAction::Refuse));
    let client = harness.send_request("help");
    let prefill = harness.next_call();
    assert_eq!(prefill.header("x-attempt"), "0");
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    assert_eq!(decode.header("x-attempt"), "1");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.send_token(decode.conn, "b");
    assert_eq!(used(&harness), WORST_CASE, "the worst case is reserved");
    // Among the outputs that end the request, the record precedes all bytes to the client.
    let mut out = Vec::new();
    let mut end = Vec::new();
    for data in [r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":2}}"#, "[DONE]"] {
        let mut event = Vec::new();
        chalkyard_proto::sse::write(&mut event, "", None, data);
        chalkyard_proto::encode::chunk(&mut end, &event);
    }
    harness.core.handle(harness.now, Input::Bytes(decode.conn, &end), &mut out);
    let record =
        out.iter().position(|o| matches!(o, Output::Record(_, r) if matches!(**r, Record::Settled(_))));
    let written = out.iter().position(|o| matches!(o, Output::Write(c, _) if *c == client));
    assert!(record.unwrap() < written.unwrap(), "{out:?}");
    let Some(Output::Record(_, r)) = out.get(record.unwrap()) else { panic!() };
    let Record::Settled(s) = &**r else { panic!() };
    assert_eq!((s.ending, s.usage.prompt, s.usage.cached, s.usage.output), (Ending::Served, 4_000, 64, 2));
    assert_eq!((s.prefill_attempt, s.answering_attempt), (Some(0), Some(1)));
}

#[test]
fn a_retried_request_reserves_once_and_records_the_answering_attempt() {
    let mut harness = harness_with(plan(100_000, HardLimitAction::Refuse));
    let (client, decode) = harness.start_decode("help");
    harness.reply(decode.conn, 500, "{}");
    let second = harness.next_call();
    assert_eq!(used(&harness), WORST_CASE);
    let is_prefill = second.body["kv_transfer_params"]["do_remote_decode"] == true;
    let decode = if is_prefill {
        harness.reply_prefilled(&second);
        harness.next_call()
    } else {
        second
    };
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.end_stream(decode.conn);
    let all = settled(&harness);
    assert_eq!(all.len(), 1);
    assert_eq!((all[0].0, all[0].4), (Ending::Served, decode.header("x-attempt").parse().ok()));
    assert_eq!(used(&harness), 4_002);
    assert_eq!(harness.answer(client).0, 200);
}

#[test]
fn broken_answers_cost_nothing_and_a_disconnect_during_the_stream_costs_the_received_tokens() {
    // The worker's connection is lost during the stream.
    let mut harness = harness_with(plan(100_000, HardLimitAction::Refuse));
    let (client, decode) = harness.start_decode("report");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.input(Input::Lost(decode.conn));
    assert_eq!(harness.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&harness)[0].0, used(&harness)), (Ending::Broken, 0));

    // All tokens arrived but the end marker did not: the client is notified of a broken answer, so it is not charged.
    let (client, decode) = harness.start_decode("report");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.send_event(decode.conn, r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":1}}"#);
    harness.input(Input::Lost(decode.conn));
    assert_eq!(harness.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&harness)[1].0, used(&harness)), (Ending::Broken, 0));

    // The client disconnects before the stream begins, and during the stream.
    let client = harness.send_request("help");
    harness.input(Input::Lost(client));
    assert_eq!((settled(&harness)[2].0, used(&harness)), (Ending::LeftEarly, 0));
    harness.calls.clear();
    let (client, decode) = harness.start_decode("help");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.send_token(decode.conn, "b");
    harness.send_token(decode.conn, "c");
    harness.input(Input::Lost(client));
    assert_eq!(settled(&harness)[3], (Ending::Left, 4_000, 3, Some(0), Some(1)));
    assert_eq!(used(&harness), 4_003);
}

#[test]
fn without_a_writable_ledger_new_requests_are_rejected_and_open_ones_complete() {
    let mut harness = harness_with(plan(100_000, HardLimitAction::Refuse));
    let client = harness.send_request("help");
    harness.input(Input::LedgerWritable(false));
    let second = harness.send_request("help");
    assert_eq!(harness.error(second), (503, "refused".into(), false));
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.end_stream(decode.conn);
    assert_eq!(harness.answer(client).0, 200);
    harness.input(Input::LedgerWritable(true));
    harness.send_request("help");
    assert!(harness.has_call());
}

#[test]
fn budgets_can_be_reloaded_while_streams_run() {
    let mut harness = harness_with(plan(4_500, HardLimitAction::Refuse));
    harness.send_request("help");
    let refused = harness.send_request("help");
    assert_eq!(harness.error(refused).0, 429);
    harness.input(Input::BudgetPlan(Box::new(plan(9_000, HardLimitAction::Refuse))));
    harness.send_request("help");
    assert_eq!(used(&harness), 2 * WORST_CASE, "reservations are kept");
    let refused = harness.send_request("help");
    assert_eq!(harness.error(refused).0, 429);
}
