//! Client connections: slow, half-closed, beyond a limit, with invalid requests, and at a draining router.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy::{Event, Outcome};
use chalkyard_router::*;
use common::*;

#[test]
fn a_slow_client_suspends_reading_from_its_worker_and_is_then_closed() {
    let mut harness = harness();
    let (client, decode) = harness.start_decode("help");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.stalled.insert(client);
    let text = "x".repeat(1_000);
    for _ in 0..70 {
        harness.send_token(decode.conn, &text);
    }
    assert!(harness.paused.contains(&decode.conn), "the worker is not read while its client accepts nothing");
    // The client accepts some bytes: the worker is read again.
    harness.input(Input::Wrote(client, 60_000));
    assert!(!harness.paused.contains(&decode.conn));
    for _ in 0..70 {
        harness.send_token(decode.conn, &text);
    }
    harness.advance(ms(11_000));
    assert!(harness.closed.contains(&client) && harness.closed.contains(&decode.conn));
    assert_eq!(harness.finished[0].ended, RequestOutcome::ClientSlow);
    assert_eq!(harness.outcomes().last(), Some(&Outcome::Cancelled));
}

#[test]
fn a_half_closed_client_counts_as_disconnected_and_gets_one_answer() {
    let mut harness = harness();
    let (client, decode) = harness.start_decode("report");
    harness.input(Input::Eof(client));
    assert_eq!(harness.error(client), (400, "failed".into(), true));
    assert!(harness.closed.contains(&client) && harness.closed.contains(&decode.conn));
    assert_eq!(harness.outcomes().last(), Some(&Outcome::Cancelled));
}

#[test]
fn requests_and_clients_beyond_a_limit_are_rejected_with_a_reason() {
    let mut c = config();
    c.bounds.open_requests = 1;
    c.bounds.clients = 3;
    c.bounds.client.pipelined_bytes = 1_024;
    let mut harness = Harness::new(c, &default_workers());
    let first = harness.send_request("help");
    let second = harness.send_request("help");
    assert_eq!(harness.error(second), (503, "refused".into(), false));
    let idle = harness.client();
    let one_more = harness.client();
    assert_eq!(harness.error(one_more), (503, "refused".into(), false));
    assert!(harness.closed.contains(&one_more));
    // Behind an open request, a limited number of bytes is read ahead. Requests in them are answered after the open one.
    harness.send_request_with(first, "help", None, true, 400);
    assert!(harness.paused.contains(&first));
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.end_stream(decode.conn);
    assert!(!harness.paused.contains(&first), "reading resumes below the limit");
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "b");
    harness.end_stream(decode.conn);
    let answers = harness.answers(first);
    assert_eq!((answers.len(), answers[0].0, answers[1].0), (2, 200, 200));
    harness.advance(ms(61_000));
    assert!(harness.closed.contains(&idle), "idle connections are closed");
    assert_eq!(harness.core.open_clients(), 0);
}

#[test]
fn invalid_requests_get_a_reason_and_never_reach_a_worker() {
    let mut harness = harness();
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
        let client = harness.client();
        harness.bytes(client, bytes);
        let (got, body) = harness.answer(client);
        assert_eq!(got, status, "{}", String::from_utf8_lossy(bytes));
        assert!(!body[0].1["error"]["reason"].as_str().unwrap().is_empty());
    }
    let client = harness.client();
    harness.send_request_with(client, "nonsense", None, true, 10);
    assert_eq!(harness.answer(client).1[0].1["error"]["field"], "metadata.class");
    let slow = harness.client();
    harness.bytes(slow, b"POST /v1/mess");
    harness.advance(ms(10_100));
    assert_eq!(harness.answer(slow).0, 408);
    assert!(harness.calls.is_empty());
    assert!(harness.policy_events.lock().unwrap().iter().all(|(_, e, _)| !matches!(e, Event::Request(_))));
}

#[test]
fn expect_continue_is_answered_and_a_request_may_arrive_byte_by_byte() {
    let mut harness = harness();
    let client = harness.client();
    let body = br#"{"model":"m","messages":[{"role":"user","content":"hello you"}]}"#;
    let length = body.len();
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
    );
    for b in head.as_bytes().iter().chain(body) {
        assert!(!harness.has_call());
        harness.bytes(client, &[*b]);
    }
    let call = harness.next_call();
    assert!(call.body["prompt"].as_str().unwrap().contains("hello you"));
    assert!(harness.raw(client).starts_with(b"HTTP/1.1 100 Continue\r\n\r\n"));
}

#[test]
fn a_draining_router_answers_open_requests_and_accepts_no_new_ones() {
    let mut harness = harness();
    let (idle, new_client, silent) = (harness.client(), harness.client(), harness.client());
    harness.bytes(idle, b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    let (client, decode) = harness.start_decode("report");
    let mut out = Vec::new();
    harness.core.drain(harness.now, &mut out);
    assert_eq!(out, [Output::CloseIfQuiet(idle)], "a client that has had an answer may be closed at once");
    // The shell has found no unread bytes and closes the connection.
    harness.input(Input::Lost(idle));
    harness.send_request_with(new_client, "help", None, true, 10);
    assert_eq!(
        harness.error(new_client),
        (503, "refused".into(), false),
        "a new client may still send a request"
    );
    harness.advance(ms(600));
    assert!(harness.closed.contains(&silent));
    let late = harness.client();
    assert_eq!(harness.error(late), (503, "refused".into(), false));
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.end_stream(decode.conn);
    assert_eq!(harness.answer(client).0, 200);
    assert_eq!((harness.core.open_requests(), harness.core.open_clients()), (0, 0));
}

/// The drain shortens the time for a request that is being sent, and the client is not at fault.
#[test]
fn an_unfinished_request_is_rejected_while_draining_when_its_time_is_up() {
    let mut harness = harness();
    let (known, new_client) = (harness.client(), harness.client());
    harness.bytes(known, b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.bytes(known, b"POST /v1/messages HTTP/1.1\r\nHo");
    harness.drain();
    // A new client has a short time to begin its request, and then the usual time to complete it.
    harness.advance(ms(400));
    harness.bytes(new_client, b"POST /v1/messages HTTP/1.1\r\nHo");
    harness.advance(ms(9_000));
    assert!(!harness.closed.contains(&known) && !harness.closed.contains(&new_client));
    harness.advance(ms(1_000));
    assert_eq!(harness.error(new_client), (503, "refused".into(), false));
    assert!(String::from_utf8_lossy(harness.raw(known)).contains("HTTP/1.1 503 "));
    assert!(harness.closed.contains(&known) && harness.closed.contains(&new_client));
    assert_eq!(harness.core.open_clients(), 0);
}

/// Not before the drain: the client itself has taken too long then.
#[test]
fn an_unfinished_request_times_out_while_the_router_does_not_drain() {
    let mut harness = harness();
    let client = harness.client();
    harness.drain();
    harness.core.undrain();
    harness.bytes(client, b"POST /v1/messages HTTP/1.1\r\nHo");
    harness.advance(ms(11_000));
    assert!(harness.raw(client).starts_with(b"HTTP/1.1 408 "));
    assert!(harness.closed.contains(&client));
}

/// A client accepts some of its pending answers and then disconnects while the core has suspended reading. The core must
/// not start the request that was read ahead.
#[test]
fn no_request_is_started_for_a_suspended_client_that_disconnects() {
    let mut harness = harness();
    let client = harness.client();
    harness.stalled.insert(client);
    let body = r#"{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}"#;
    let valid =
        format!("POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let invalid = "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n";
    while !harness.paused.contains(&client) {
        harness.bytes(client, invalid.as_bytes());
    }
    harness.bytes(client, valid.as_bytes());
    assert!(!harness.has_call());
    harness.input(Input::Wrote(client, 1_000));
    assert!(harness.paused.contains(&client), "reading is still suspended");
    harness.input(Input::Eof(client));
    assert!(!harness.has_call(), "a request was started for a disconnected client");
    assert_eq!((harness.core.open_requests(), harness.core.open_clients()), (0, 0));
}

#[test]
fn a_client_that_sends_requests_and_reads_no_answers_is_suspended_and_then_closed() {
    let mut harness = harness();
    let client = harness.client();
    harness.stalled.insert(client);
    let invalid = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n".repeat(100);
    let mut sent = 0;
    while !harness.paused.contains(&client) {
        harness.bytes(client, &invalid);
        sent += 1;
        assert!(sent < 100, "the number of pending answers is not bounded");
    }
    // The client accepts the bytes: it is read again, and its pending requests are answered.
    harness.input(Input::Wrote(client, 60_000));
    assert!(!harness.paused.contains(&client));
    while !harness.paused.contains(&client) {
        harness.bytes(client, &invalid);
    }
    harness.advance(ms(11_000));
    assert!(harness.closed.contains(&client));
    assert_eq!(harness.core.open_clients(), 0);
}
