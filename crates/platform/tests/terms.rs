//! The users' stricter terms through the core on the platform, on bytes and connections' fates alone: what a socket would
//! do only now and then is done here each time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::encode;
use chalkyard_router::*;
use common::*;

/// What a worker may be told beyond what its client has left.
const SLACK: Micros = Micros(150_000);

fn told(call: &Call) -> Micros {
    Micros(call.header("x-timeout").strip_suffix('u').unwrap().parse().unwrap())
}

/// The first connection to a worker of a core; the one before it is discovery's.
const FIRST_LINK: ConnId = ConnId(3);

/// What is left of a request that was asked then, with 4.8 s.
fn left(y: &Harness, asked: Micros) -> Micros {
    asked + ms(4_800) - y.now
}

// ---- The time told to a worker.

#[test]
fn the_time_is_told_as_it_stands_once_the_connection_does() {
    let mut y = yard_told(1_000, 1_000);
    let asked = y.now;
    let client = y.client();
    let late = FIRST_LINK;
    y.stalled.insert(late);
    y.bytes(client, &request(&fields("id-1", "chat")));
    y.advance(ms(700));
    y.stalled.remove(&late);
    y.input(Input::Connected(late));
    let read = call(&mut y);
    assert!(told(&read) <= left(&y, asked) + SLACK, "{:?}, left {:?}", told(&read), left(&y, asked));
}

#[test]
fn a_call_that_the_system_does_not_take_in_time_never_ran_and_is_placed_anew() {
    let mut y = harness();
    let asked = y.now;
    let client = y.client();
    let slow = FIRST_LINK;
    y.stalled.insert(slow);
    y.bytes(client, &request(&fields("id-1", "once")));
    y.input(Input::Connected(slow));
    // All but its last bytes.
    y.input(Input::Wrote(slow, 100));
    y.advance(ms(99));
    assert!(!y.closed.contains(&slow));
    y.advance(ms(1));
    assert!(y.closed.contains(&slow), "what it told is not true any more");
    assert_eq!(y.outcomes(), [Outcome::NoConnection]);
    y.advance(ms(100));
    let again = call(&mut y);
    assert!(told(&again) <= left(&y, asked) + SLACK);
}

#[test]
fn a_call_that_was_taken_waits_for_its_answer_as_long_as_it_may() {
    let mut y = harness();
    ask(&mut y, "id-1", "chat");
    let read = call(&mut y);
    y.advance(ms(900));
    assert!(!y.closed.contains(&read.conn));
    reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
    assert_eq!(y.outcomes(), [Outcome::Prefilled]);
}

/// An answer that has begun before its call was taken whole is not cut off for that: the call has run.
#[test]
fn a_stream_that_begins_ahead_of_the_calls_last_byte_goes_on() {
    let mut y = harness();
    let client = y.client();
    let read = ask_and_read(&mut y, client);
    let early = ConnId(read.conn.0 + 2);
    y.stalled.insert(early);
    reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
    y.input(Input::Connected(early));
    y.input(Input::Wrote(early, 100));
    y.begin_stream(early);
    chunk(&mut y, early, FIRST);
    y.advance(ms(300));
    assert!(!y.closed.contains(&early) && !y.closed.contains(&client));
    assert_eq!(y.outcomes(), [Outcome::Prefilled]);
}

fn ask_and_read(y: &mut Harness, client: ConnId) -> Call {
    y.bytes(client, &request(&fields("id-1", "once")));
    call(y)
}

/// An answer that comes before its call was taken whole is good; its connection is not used again.
#[test]
fn a_connection_whose_call_was_not_taken_whole_is_not_used_again() {
    let mut y = harness();
    let client = y.client();
    let early = FIRST_LINK;
    y.stalled.insert(early);
    y.bytes(client, &request(&fields("id-1", "chat")));
    y.input(Input::Connected(early));
    y.input(Input::Wrote(early, 100));
    reply(&mut y, early, 503, &[NOT_RUN], "");
    assert_eq!(y.outcomes()[0], Outcome::Rejected { no_state: false });
    assert!(y.closed.contains(&early));
}

#[test]
fn a_request_that_waited_unread_has_no_more_time_than_since_its_client_was_paused() {
    let mut y = harness();
    let client = ask(&mut y, "id-1", "chat");
    let asked = y.now;
    // One that is longer than what may wait: no more is read.
    let body = " ".repeat(17 * 1024);
    let long = encode::request("POST", "/v1/chat/completions", "a", &fields("id-2", "chat"), body.as_bytes());
    y.bytes(client, &long);
    assert!(y.paused.contains(&client));
    // A third one may have come as early, and lies unread until the first is answered.
    y.advance(ms(500));
    let serve = |y: &mut Harness| {
        let read = call(y);
        reply(y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
        let write = call(y);
        y.begin_stream(write.conn);
        chunk(y, write.conn, &format!("{FIRST}{LAST}"));
        y.bytes(write.conn, encode::LAST_CHUNK);
    };
    serve(&mut y);
    assert!(!y.paused.contains(&client));
    y.bytes(client, &request(&fields("id-3", "chat")));
    serve(&mut y);
    let next = call(&mut y);
    assert_eq!(next.header("x-request-id"), "id-3");
    assert!(told(&next) <= left(&y, asked) + SLACK, "{:?}, left {:?}", told(&next), left(&y, asked));
}

// ---- Requests that were read.

/// A draining router answers what it has read, and says with the last answer that it closes.
#[test]
fn a_request_that_waits_behind_another_is_answered_while_draining() {
    let mut y = harness();
    let client = y.client();
    let both = [request(&fields("id-1", "chat")), request(&fields("id-2", "chat"))].concat();
    y.bytes(client, &both);
    let mut out = Vec::new();
    y.core.drain(y.now, &mut out);
    assert!(out.is_empty(), "{out:?}");
    for _ in 0..2 {
        let read = call(&mut y);
        reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
        let write = call(&mut y);
        y.begin_stream(write.conn);
        chunk(&mut y, write.conn, &format!("{FIRST}{LAST}"));
        y.bytes(write.conn, encode::LAST_CHUNK);
    }
    let text = String::from_utf8(y.raw(client).to_vec()).unwrap();
    let heads: Vec<&str> = text.match_indices("HTTP/1.1 200").map(|(at, _)| &text[at..]).collect();
    assert_eq!(heads.len(), 2, "{text}");
    let says_close = |head: &str| head.split("\r\n\r\n").next().unwrap().contains("connection: close");
    assert_eq!((says_close(heads[0]), says_close(heads[1])), (false, true));
    assert!(y.closed.contains(&client));
}

/// Told that the connection ends with its answer, a client is not read any more: what it sends is not lost, it is unread.
#[test]
fn a_client_that_was_told_of_the_end_is_not_read_any_more() {
    let mut y = harness();
    let (client, write) = written(&mut y, "id-1", "chat");
    let mut out = Vec::new();
    y.core.drain(y.now, &mut out);
    y.begin_stream(write.conn);
    chunk(&mut y, write.conn, FIRST);
    assert!(y.paused.contains(&client));
    chunk(&mut y, write.conn, LAST);
    y.bytes(write.conn, encode::LAST_CHUNK);
    assert!(y.closed.contains(&client));
}

/// Bytes are found on clients that were to make room: each time another goes, until there is none.
#[test]
fn of_silent_clients_those_that_have_spoken_unread_stay() {
    let mut y = harness();
    let crowd: Vec<ConnId> = (0..(256 - 20) * 9 / 20).map(|_| y.client()).collect();
    y.with_unread_bytes.extend(&crowd[..5]);
    let usual = ask(&mut y, "id-1", "chat");
    assert_eq!(y.closed.len(), 0, "it was to be the first, which has spoken");
    for spoken in &crowd[..5] {
        y.with_unread_bytes.remove(spoken);
        y.bytes(*spoken, b"GET /up HTTP/1.1\r\n");
    }
    assert!(crowd[..5].iter().all(|c| !y.closed.contains(c)), "who has spoken stays");
    assert!(!y.closed.contains(&usual));
    assert_eq!(y.core.open_clients(), crowd.len());
}
