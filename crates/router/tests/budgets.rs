//! Budgets in the flow of a core that is driven by hand: what clients and engines see, and in which order the
//! ledger hears of it.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::BTreeMap;

use chalkyard_budget::{
    AccountKey, AtHard, AtSoft, BudgetEnforcer, Calendar, Ending, Kind, Limit, Mode, Plan, Record, State,
    Time, Units, Weights,
};
use chalkyard_router::*;
use common::*;

/// What one of the yard's long requests reserves: 4,006 tokens by the estimate, raised by a tenth, and 50.
const WORST: u64 = 4_457;

fn plan(tokens: u64, at_hard: AtHard) -> Plan {
    // No tenants: all requests are nobody's, who has a budget here.
    let key = AccountKey { tenant: "".into(), class: None, kind: Kind::Day };
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

fn yard_with(plan: Plan) -> Yard {
    let mut yard = Yard::new(config(), &usual());
    yard.core.keep_budgets(BudgetEnforcer::new("r1", plan, State::default(), Time(START.0)));
    yard
}

/// Ending, prompt and output tokens, the reading and the writing attempt.
type Bill = (Ending, u64, u64, Option<u32>, Option<u32>);

fn settled(yard: &Yard) -> Vec<Bill> {
    let of = |r: &Record| match r {
        Record::Settled(s) => Some((s.ending, s.usage.prompt, s.usage.output, s.read, s.write)),
        _ => None,
    };
    yard.records.iter().filter_map(|(_, r)| of(r)).collect()
}

fn used(yard: &Yard) -> u64 {
    let mut state = State::default();
    for (n, r) in &yard.records {
        assert_eq!(*n, state.sequence + 1, "numbered without gaps");
        state.take(*n, r);
    }
    state.usage.values().map(|h| h.used()).sum::<Units>().in_tokens()
}

#[test]
fn a_request_over_budget_is_refused_at_once_and_reaches_no_engine() {
    let mut yard = yard_with(plan(4_000, AtHard::Refuse));
    let client = yard.ask("help");
    assert_eq!(yard.error(client), (429, "refused".into(), false));
    let raw = String::from_utf8_lossy(yard.raw(client)).into_owned();
    assert!(raw.contains("retry-after: ") && raw.contains("/*/day"), "{raw}");
    assert!(!yard.has_call() && settled(&yard).is_empty());
    // Under an identity it may come again: nothing ran.
    for _ in 0..2 {
        let client = yard.client();
        yard.ask_with(client, "report", Some("k"), true, 4_000);
        assert_eq!(yard.error(client).0, 429);
    }
}

#[test]
fn an_answer_is_cut_to_what_is_left_and_a_missing_max_tokens_is_the_bound() {
    let mut yard = yard_with(plan(WORST - 20, AtHard::Clamp(8)));
    let client = yard.ask("help");
    let read = yard.call();
    yard.parsed(&read);
    assert_eq!(yard.call().body["max_tokens"], 30, "what is left after the prompt");
    assert!(yard.answers(client).is_empty());

    let mut yard = yard_with(plan(1_000_000, AtHard::Refuse));
    let client = yard.client();
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
    yard.bytes(client, &chalkyard_proto::encode::request("POST", "/v1/messages", "h", &[], body.as_bytes()));
    let Some((_, Record::Reserved(charge))) = yard.records.last() else { panic!() };
    assert_eq!(charge.amount, Units::tokens(8 + 4_096));
}

#[test]
fn a_served_request_costs_what_the_engines_counted_and_is_recorded_before_the_client_hears() {
    let mut yard = yard_with(plan(100_000, AtHard::Refuse));
    let client = yard.ask("help");
    let read = yard.call();
    assert_eq!(read.header("x-attempt"), "0");
    yard.parsed(&read);
    let write = yard.call();
    assert_eq!(write.header("x-attempt"), "1");
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.token(write.conn, "b");
    assert_eq!(used(&yard), WORST, "the worst case is reserved");
    // Of the outputs of the input that ends it, the record comes before any byte to the client.
    let mut out = Vec::new();
    let mut end = Vec::new();
    for data in [r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":2}}"#, "[DONE]"] {
        let mut event = Vec::new();
        chalkyard_proto::sse::write(&mut event, "", None, data);
        chalkyard_proto::encode::chunk(&mut end, &event);
    }
    yard.core.handle(yard.now, Input::Bytes(write.conn, &end), &mut out);
    let record =
        out.iter().position(|o| matches!(o, Output::Record(_, r) if matches!(**r, Record::Settled(_))));
    let said = out.iter().position(|o| matches!(o, Output::Write(c, _) if *c == client));
    assert!(record.unwrap() < said.unwrap(), "{out:?}");
    let Some(Output::Record(_, r)) = out.get(record.unwrap()) else { panic!() };
    let Record::Settled(s) = &**r else { panic!() };
    assert_eq!((s.ending, s.usage.prompt, s.usage.kept, s.usage.output), (Ending::Served, 4_000, 64, 2));
    assert_eq!((s.read, s.write), (Some(0), Some(1)));
}

#[test]
fn a_retry_reserves_once_and_names_the_attempt_that_won() {
    let mut yard = yard_with(plan(100_000, AtHard::Refuse));
    let (client, write) = yard.pulling("help");
    yard.reply(write.conn, 500, "{}");
    let second = yard.call();
    assert_eq!(used(&yard), WORST);
    let reader = second.body["kv_transfer_params"]["do_remote_decode"] == true;
    let write = if reader {
        yard.parsed(&second);
        yard.call()
    } else {
        second
    };
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.end_stream(write.conn);
    let all = settled(&yard);
    assert_eq!(all.len(), 1);
    assert_eq!((all[0].0, all[0].4), (Ending::Served, write.header("x-attempt").parse().ok()));
    assert_eq!(used(&yard), 4_002);
    assert_eq!(yard.answer(client).0, 200);
}

#[test]
fn what_breaks_or_fails_costs_nothing_and_who_leaves_midway_pays_for_what_came() {
    // Broken midway.
    let mut yard = yard_with(plan(100_000, AtHard::Refuse));
    let (client, write) = yard.pulling("report");
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.input(Input::Lost(write.conn));
    assert_eq!(yard.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&yard)[0].0, used(&yard)), (Ending::Broken, 0));

    // All tokens came, the end marker did not: the client is told that it broke, so nobody pays.
    let (client, write) = yard.pulling("report");
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.event(write.conn, r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":1}}"#);
    yard.input(Input::Lost(write.conn));
    assert_eq!(yard.answer(client).1.last().unwrap().0, "message.broken");
    assert_eq!((settled(&yard)[1].0, used(&yard)), (Ending::Broken, 0));

    // The client leaves: while it waits, and midway.
    let client = yard.ask("help");
    yard.input(Input::Lost(client));
    assert_eq!((settled(&yard)[2].0, used(&yard)), (Ending::LeftEarly, 0));
    yard.calls.clear();
    let (client, write) = yard.pulling("help");
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.token(write.conn, "b");
    yard.token(write.conn, "c");
    yard.input(Input::Lost(client));
    assert_eq!(settled(&yard)[3], (Ending::Left, 4_000, 3, Some(0), Some(1)));
    assert_eq!(used(&yard), 4_003);
}

#[test]
fn without_a_ledger_nothing_new_is_taken_and_what_is_open_ends() {
    let mut yard = yard_with(plan(100_000, AtHard::Refuse));
    let client = yard.ask("help");
    yard.input(Input::LedgerWritable(false));
    let second = yard.ask("help");
    assert_eq!(yard.error(second), (503, "refused".into(), false));
    let read = yard.call();
    yard.parsed(&read);
    let write = yard.call();
    yard.begin_stream(write.conn);
    yard.token(write.conn, "a");
    yard.end_stream(write.conn);
    assert_eq!(yard.answer(client).0, 200);
    yard.input(Input::LedgerWritable(true));
    yard.ask("help");
    assert!(yard.has_call());
}

#[test]
fn budgets_reload_while_streams_run() {
    let mut yard = yard_with(plan(4_500, AtHard::Refuse));
    yard.ask("help");
    let refused = yard.ask("help");
    assert_eq!(yard.error(refused).0, 429);
    yard.input(Input::BudgetPlan(Box::new(plan(9_000, AtHard::Refuse))));
    yard.ask("help");
    assert_eq!(used(&yard), 2 * WORST, "what was reserved stays");
    let refused = yard.ask("help");
    assert_eq!(yard.error(refused).0, 429);
}
