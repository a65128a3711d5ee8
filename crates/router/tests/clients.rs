//! Clients of the core: slow, half-closed, past a bound, wrong, and those of a draining router.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy::{Event, Outcome};
use chalkyard_router::*;
use common::*;

#[test]
fn a_slow_client_stops_its_engine_and_is_then_cut() {
    let mut y = harness();
    let (client, pull) = y.pulling("help");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.stalled.insert(client);
    let text = "x".repeat(1_000);
    for _ in 0..70 {
        y.token(pull.conn, &text);
    }
    assert!(y.paused.contains(&pull.conn), "the engine is not read while its client takes nothing");
    // It takes some: the engine is read again.
    y.input(Input::Wrote(client, 60_000));
    assert!(!y.paused.contains(&pull.conn));
    for _ in 0..70 {
        y.token(pull.conn, &text);
    }
    y.advance(ms(11_000));
    assert!(y.closed.contains(&client) && y.closed.contains(&pull.conn));
    assert_eq!(y.finished[0].ended, RequestOutcome::ClientSlow);
    assert_eq!(y.outcomes().last(), Some(&Outcome::Cancelled));
}

#[test]
fn half_closed_clients_are_taken_to_leave_and_get_one_answer() {
    let mut y = harness();
    let (client, pull) = y.pulling("report");
    y.input(Input::Eof(client));
    assert_eq!(y.error(client), (400, "failed".into(), true));
    assert!(y.closed.contains(&client) && y.closed.contains(&pull.conn));
    assert_eq!(y.outcomes().last(), Some(&Outcome::Cancelled));
}

#[test]
fn bounds_refuse_what_is_past_them_and_say_so() {
    let mut c = config();
    c.bounds.open_requests = 1;
    c.bounds.clients = 3;
    c.bounds.client.pipelined_bytes = 1_024;
    let mut y = Harness::new(c, &usual());
    let first = y.ask("help");
    let second = y.ask("help");
    assert_eq!(y.error(second), (503, "refused".into(), false));
    let idle = y.client();
    let one_more = y.client();
    assert_eq!(y.error(one_more), (503, "refused".into(), false));
    assert!(y.closed.contains(&one_more));
    // Behind an open request only so much is read ahead; what was read is answered after that request.
    y.ask_with(first, "help", None, true, 400);
    assert!(y.paused.contains(&first));
    let read = y.call();
    y.parsed(&read);
    let pull = y.call();
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    assert!(!y.paused.contains(&first), "there is room for more");
    let read = y.call();
    y.parsed(&read);
    let pull = y.call();
    y.begin_stream(pull.conn);
    y.token(pull.conn, "b");
    y.end_stream(pull.conn);
    let answers = y.answers(first);
    assert_eq!((answers.len(), answers[0].0, answers[1].0), (2, 200, 200));
    y.advance(ms(61_000));
    assert!(y.closed.contains(&idle), "idle connections are closed");
    assert_eq!(y.core.open_clients(), 0);
}

#[test]
fn bad_calls_name_their_fault_and_never_reach_an_engine() {
    let mut y = harness();
    let cases: [(&[u8], u16); 7] = [
        (b"GET /v1/messages HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"POST /v2/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404),
        (b"POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 400),
        (b"POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n{}", 415),
        (b"POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400),
        (b"POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", 413),
        (b"nonsense\r\n\r\n", 400),
    ];
    for (bytes, status) in cases {
        let client = y.client();
        y.bytes(client, bytes);
        let (got, body) = y.answer(client);
        assert_eq!(got, status, "{}", String::from_utf8_lossy(bytes));
        assert!(!body[0].1["error"]["reason"].as_str().unwrap().is_empty());
    }
    let client = y.client();
    y.ask_with(client, "nonsense", None, true, 10);
    assert_eq!(y.answer(client).1[0].1["error"]["field"], "metadata.class");
    let slow = y.client();
    y.bytes(slow, b"POST /v1/mess");
    y.advance(ms(10_100));
    assert_eq!(y.answer(slow).0, 408);
    assert!(y.calls.is_empty());
    assert!(y.policy_events.lock().unwrap().iter().all(|(_, e, _)| !matches!(e, Event::Request(_))));
}

#[test]
fn expect_continue_is_answered_and_one_byte_at_a_time_is_the_same_request() {
    let mut y = harness();
    let client = y.client();
    let body = br#"{"model":"m","messages":[{"role":"user","content":"hello you"}]}"#;
    let length = body.len();
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
    );
    for b in head.as_bytes().iter().chain(body) {
        assert!(!y.has_call());
        y.bytes(client, &[*b]);
    }
    let whole = y.call();
    assert!(whole.body["prompt"].as_str().unwrap().contains("hello you"));
    assert!(y.raw(client).starts_with(b"HTTP/1.1 100 Continue\r\n\r\n"));
}

#[test]
fn draining_answers_what_is_open_and_takes_nothing_new() {
    let mut y = harness();
    let (idle, just_come, silent) = (y.client(), y.client(), y.client());
    y.bytes(idle, b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    let (client, pull) = y.pulling("report");
    let mut out = Vec::new();
    y.core.drain(y.now, &mut out);
    assert_eq!(out, [Output::CloseIfQuiet(idle)], "who has had an answer knows that it may be closed");
    // Nothing has come on it: the shell closes it.
    y.input(Input::Lost(idle));
    y.ask_with(just_come, "help", None, true, 10);
    assert_eq!(y.error(just_come), (503, "refused".into(), false), "who has just come is heard");
    y.advance(ms(600));
    assert!(y.closed.contains(&silent));
    let late = y.client();
    assert_eq!(y.error(late), (503, "refused".into(), false));
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    assert_eq!(y.answer(client).0, 200);
    assert_eq!((y.core.open_requests(), y.core.open_clients()), (0, 0));
}

/// What it asked last has gone with it, though some of its answers were taken meanwhile and there would be room.
#[test]
fn a_client_that_is_held_up_and_goes_has_nothing_more_begun_for_it() {
    let mut y = harness();
    let client = y.client();
    y.stalled.insert(client);
    let body = r#"{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}"#;
    let good =
        format!("POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let bad = "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n";
    while !y.paused.contains(&client) {
        y.bytes(client, bad.as_bytes());
    }
    y.bytes(client, good.as_bytes());
    assert!(!y.has_call());
    y.input(Input::Wrote(client, 1_000));
    assert!(y.paused.contains(&client), "not yet heard again");
    y.input(Input::Eof(client));
    assert!(!y.has_call(), "begun for nobody");
    assert_eq!((y.core.open_requests(), y.core.open_clients()), (0, 0));
}

#[test]
fn a_client_that_asks_on_and_takes_no_answer_is_held_up_and_then_cut() {
    let mut y = harness();
    let client = y.client();
    y.stalled.insert(client);
    let bad = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n".repeat(100);
    let mut sent = 0;
    while !y.paused.contains(&client) {
        y.bytes(client, &bad);
        sent += 1;
        assert!(sent < 100, "its answers pile up without bound");
    }
    // It takes them after all: it is heard again, and answered for what waited.
    y.input(Input::Wrote(client, 60_000));
    assert!(!y.paused.contains(&client));
    while !y.paused.contains(&client) {
        y.bytes(client, &bad);
    }
    y.advance(ms(11_000));
    assert!(y.closed.contains(&client));
    assert_eq!(y.core.open_clients(), 0);
}
