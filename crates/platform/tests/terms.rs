//! Tests of rare timings in the core with the platform's dialect, which sockets would produce only now and then:
//! partial writes, slow connects, pipelined requests and draining.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::encode;
use chalkyard_router::*;
use common::*;

/// Tolerance by which the timeout sent to a worker may exceed the time that its client has left.
const TIMEOUT_TOLERANCE: Micros = Micros(150_000);

fn sent_timeout(call: &Call) -> Micros {
    Micros(call.header("x-timeout").strip_suffix('u').unwrap().parse().unwrap())
}

/// Id of a core's first connection to a worker; the connection to service discovery comes before it.
const FIRST_WORKER_CONN: ConnId = ConnId(3);

/// Returns the time left of a request with a timeout of 4.8 s that was sent at the given time.
fn time_left(h: &Harness, sent_at: Micros) -> Micros {
    sent_at + ms(4_800) - h.now
}

// ---- The timeout sent to a worker.

#[test]
fn timeout_is_computed_when_the_connection_is_established() {
    let mut h = harness_with_timeouts(1_000, 1_000);
    let sent_at = h.now;
    let client = h.client();
    let conn = FIRST_WORKER_CONN;
    h.stalled.insert(conn);
    h.bytes(client, &request(&default_headers("id-1", "chat")));
    h.advance(ms(700));
    h.stalled.remove(&conn);
    h.input(Input::Connected(conn));
    let prefill = next_call(&mut h);
    assert!(
        sent_timeout(&prefill) <= time_left(&h, sent_at) + TIMEOUT_TOLERANCE,
        "{:?}, left {:?}",
        sent_timeout(&prefill),
        time_left(&h, sent_at)
    );
}

#[test]
fn call_that_is_not_written_in_time_has_not_run_and_is_retried() {
    let mut h = harness();
    let sent_at = h.now;
    let client = h.client();
    let conn = FIRST_WORKER_CONN;
    h.stalled.insert(conn);
    h.bytes(client, &request(&default_headers("id-1", "once")));
    h.input(Input::Connected(conn));
    // The system has taken all but the last bytes of the call.
    h.input(Input::Wrote(conn, 100));
    h.advance(ms(99));
    assert!(!h.closed.contains(&conn));
    h.advance(ms(1));
    assert!(h.closed.contains(&conn), "the timeout in the partly sent call has become too long");
    assert_eq!(h.outcomes(), [Outcome::NoConnection]);
    h.advance(ms(100));
    let retry = next_call(&mut h);
    assert!(sent_timeout(&retry) <= time_left(&h, sent_at) + TIMEOUT_TOLERANCE);
}

#[test]
fn written_call_waits_for_its_answer() {
    let mut h = harness();
    send_request(&mut h, "id-1", "chat");
    let prefill = next_call(&mut h);
    h.advance(ms(900));
    assert!(!h.closed.contains(&prefill.conn));
    reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
    assert_eq!(h.outcomes(), [Outcome::Prefilled]);
}

/// An answer that begins before the call was written completely proves that the call has run, so it is not cut off.
#[test]
fn stream_that_begins_before_its_call_is_written_continues() {
    let mut h = harness();
    let client = h.client();
    let prefill = send_single_shot(&mut h, client);
    let conn = ConnId(prefill.conn.0 + 2);
    h.stalled.insert(conn);
    reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
    h.input(Input::Connected(conn));
    h.input(Input::Wrote(conn, 100));
    h.begin_stream(conn);
    send_chunk(&mut h, conn, FIRST_EVENT);
    h.advance(ms(300));
    assert!(!h.closed.contains(&conn) && !h.closed.contains(&client));
    assert_eq!(h.outcomes(), [Outcome::Prefilled]);
}

fn send_single_shot(h: &mut Harness, client: ConnId) -> Call {
    h.bytes(client, &request(&default_headers("id-1", "once")));
    next_call(h)
}

/// An answer that arrives before the call was written completely is valid, but its connection is not reused.
#[test]
fn connection_with_a_partly_written_call_is_not_reused() {
    let mut h = harness();
    let client = h.client();
    let conn = FIRST_WORKER_CONN;
    h.stalled.insert(conn);
    h.bytes(client, &request(&default_headers("id-1", "chat")));
    h.input(Input::Connected(conn));
    h.input(Input::Wrote(conn, 100));
    reply(&mut h, conn, 503, &[NOT_PROCESSED], "");
    assert_eq!(h.outcomes()[0], Outcome::Rejected { no_state: false });
    assert!(h.closed.contains(&conn));
}

#[test]
fn timeout_of_an_unread_request_counts_from_the_pause_of_its_client() {
    let mut h = harness();
    let client = send_request(&mut h, "id-1", "chat");
    let sent_at = h.now;
    // The second request exceeds the limit of pipelined bytes, so reading pauses.
    let body = " ".repeat(17 * 1024);
    let long_request = encode::request(
        "POST",
        "/v1/chat/completions",
        "a",
        &default_headers("id-2", "chat"),
        body.as_bytes(),
    );
    h.bytes(client, &long_request);
    assert!(h.paused.contains(&client));
    // A third request may have been sent just as early; it stays unread until the first one is answered.
    h.advance(ms(500));
    let serve = |h: &mut Harness| {
        let prefill = next_call(h);
        reply(h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
        let decode = next_call(h);
        h.begin_stream(decode.conn);
        send_chunk(h, decode.conn, &format!("{FIRST_EVENT}{LAST_EVENTS}"));
        h.bytes(decode.conn, encode::LAST_CHUNK);
    };
    serve(&mut h);
    assert!(!h.paused.contains(&client));
    h.bytes(client, &request(&default_headers("id-3", "chat")));
    serve(&mut h);
    let next = next_call(&mut h);
    assert_eq!(next.header("x-request-id"), "id-3");
    assert!(
        sent_timeout(&next) <= time_left(&h, sent_at) + TIMEOUT_TOLERANCE,
        "{:?}, left {:?}",
        sent_timeout(&next),
        time_left(&h, sent_at)
    );
}

// ---- Pipelined requests and idle clients.

/// A draining router answers the requests that it has read, and announces the close in the last answer.
#[test]
fn pipelined_request_is_answered_while_draining() {
    let mut h = harness();
    let client = h.client();
    let both =
        [request(&default_headers("id-1", "chat")), request(&default_headers("id-2", "chat"))].concat();
    h.bytes(client, &both);
    let mut out = Vec::new();
    h.core.drain(h.now, &mut out);
    assert!(out.is_empty(), "{out:?}");
    for _ in 0..2 {
        let prefill = next_call(&mut h);
        reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
        let decode = next_call(&mut h);
        h.begin_stream(decode.conn);
        send_chunk(&mut h, decode.conn, &format!("{FIRST_EVENT}{LAST_EVENTS}"));
        h.bytes(decode.conn, encode::LAST_CHUNK);
    }
    let text = String::from_utf8(h.raw(client).to_vec()).unwrap();
    let heads: Vec<&str> = text.match_indices("HTTP/1.1 200").map(|(at, _)| &text[at..]).collect();
    assert_eq!(heads.len(), 2, "{text}");
    let announces_close = |head: &str| head.split("\r\n\r\n").next().unwrap().contains("connection: close");
    assert_eq!((announces_close(heads[0]), announces_close(heads[1])), (false, true));
    assert!(h.closed.contains(&client));
}

/// Once an answer announces the close of its connection, no further request is read from it, so that none is read and then
/// dropped.
#[test]
fn client_is_not_read_after_its_close_was_announced() {
    let mut h = harness();
    let (client, decode) = start_decode(&mut h, "id-1", "chat");
    let mut out = Vec::new();
    h.core.drain(h.now, &mut out);
    h.begin_stream(decode.conn);
    send_chunk(&mut h, decode.conn, FIRST_EVENT);
    assert!(h.paused.contains(&client));
    send_chunk(&mut h, decode.conn, LAST_EVENTS);
    h.bytes(decode.conn, encode::LAST_CHUNK);
    assert!(h.closed.contains(&client));
}

/// A client chosen for eviction stays if it has sent bytes that the router has not read yet. Another one is then chosen,
/// until there is none left.
#[test]
fn clients_with_unread_bytes_are_not_evicted() {
    let mut h = harness();
    let clients: Vec<ConnId> = (0..(256 - 20) * 9 / 20).map(|_| h.client()).collect();
    h.with_unread_bytes.extend(&clients[..5]);
    let active = send_request(&mut h, "id-1", "chat");
    assert_eq!(h.closed.len(), 0, "the first client chosen for eviction has sent bytes");
    for sender in &clients[..5] {
        h.with_unread_bytes.remove(sender);
        h.bytes(*sender, b"GET /up HTTP/1.1\r\n");
    }
    assert!(clients[..5].iter().all(|c| !h.closed.contains(c)), "clients that have sent bytes stay");
    assert!(!h.closed.contains(&active));
    assert_eq!(h.core.open_clients(), clients.len());
}
