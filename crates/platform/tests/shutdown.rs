//! What arrives in pieces while a router shuts down: it is served, or rejected in time, and never taken and then cut off.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_policy::Micros;
use chalkyard_proto::encode;
use chalkyard_router::*;
use common::*;

/// Time after the drain at which requests are no longer served.
const PAST_GRACE: Micros = ms(101);

/// A router whose longest deadline is this, in ms, and the time from SIGTERM to the earliest SIGKILL.
fn harness_with_deadline(
    resume: bool,
    deadline_ms: u64,
) -> (Harness, chalkyard_platform::StartupConfig, Micros) {
    let deadline = format!(r#""deadline_s":{:.1}"#, deadline_ms as f64 / 1e3);
    let text = config_text(resume, &members(4, true, &default_members()));
    let text = text.replace(r#""deadline_s":5.0"#, &deadline);
    assert!(text.contains(&deadline));
    let parse = || chalkyard_platform::StartupConfig::parse(&text).unwrap();
    let list = parse().last_endpoint_list;
    let kill_after = ms(deadline_ms.min(3_000) + 700);
    (Harness::with_stored_list(parse().config, list.as_deref()), parse(), kill_after)
}

/// SIGTERM, and the end of the lame-duck phase.
fn shut_down(h: &mut Harness, lame_duck: Micros) {
    h.core.begin_shutdown(h.now);
    h.advance(lame_duck);
    h.drain();
}

fn halves(id: &str) -> (Vec<u8>, Vec<u8>) {
    let mut first = request(&default_headers(id, "chat"));
    let second = first.split_off(first.len() - 20);
    (first, second)
}

fn statuses(h: &Harness, client: ConnId) -> Vec<String> {
    let text = String::from_utf8(h.raw(client).to_vec()).unwrap();
    text.match_indices("HTTP/1.1 ").map(|(at, _)| text[at + 9..at + 12].to_owned()).collect()
}

fn last_answer_announces_close(h: &Harness, client: ConnId) -> bool {
    let text = String::from_utf8(h.raw(client).to_vec()).unwrap();
    text[text.rfind("HTTP/1.1 ").unwrap()..].split("\r\n\r\n").next().unwrap().contains("connection: close")
}

/// Guards against a request that is completed long after SIGTERM, is served, and whose stream SIGKILL then cuts off.
#[test]
fn a_request_completed_after_the_drain_grace_is_rejected_and_never_sent() {
    for resume in [false, true] {
        for is_known in [false, true] {
            let (mut h, startup, _) = harness_with_deadline(resume, 5_000);
            let client = h.client();
            if is_known {
                h.bytes(client, &encode::request("GET", "/up", "a", &[], b""));
            }
            let (first, second) = halves("slow");
            h.bytes(client, &first);
            shut_down(&mut h, startup.lame_duck);
            h.advance(PAST_GRACE);
            assert!(!h.closed.contains(&client), "the client may end its request, to read the answer then");
            h.bytes(client, &second);
            assert!(!has_call(&h), "resume {resume}: it was sent on");
            assert_eq!(statuses(&h, client).last().unwrap(), "503");
            assert!(last_answer_announces_close(&h, client));
            assert!(h.closed.contains(&client));
            assert_eq!((h.core.open_requests(), h.core.open_clients()), (0, 0));
        }
    }
}

#[test]
fn a_request_completed_within_the_drain_grace_is_served() {
    for resume in [false, true] {
        let (mut h, startup, _) = harness_with_deadline(resume, 5_000);
        let client = h.client();
        let (first, second) = halves("slow");
        h.bytes(client, &first);
        shut_down(&mut h, startup.lame_duck);
        h.advance(ms(50));
        h.bytes(client, &second);
        assert!(has_call(&h), "resume {resume}");
        assert_eq!(first_status(&h, client), None);
    }
}

/// Guards against the same behind a stream that was open at SIGTERM: its answer had announced that the connection stays.
#[test]
fn a_request_completed_behind_an_open_stream_after_the_drain_grace_is_rejected() {
    for first_half_is_early in [false, true] {
        let (mut h, startup, _) = harness_with_deadline(false, 5_000);
        let (client, decode) = start_decode(&mut h, "open", "chat");
        h.begin_stream(decode.conn);
        send_chunk(&mut h, decode.conn, FIRST_EVENT);
        let (first, second) = halves("behind");
        if first_half_is_early {
            h.bytes(client, &first);
        }
        shut_down(&mut h, startup.lame_duck);
        h.advance(PAST_GRACE);
        if !first_half_is_early {
            h.bytes(client, &first);
        }
        h.bytes(client, &second);
        // One more, which is not complete when the stream ends.
        h.bytes(client, &halves("unfinished").0);
        h.advance(ms(1_000));
        send_chunk(&mut h, decode.conn, LAST_EVENTS);
        h.bytes(decode.conn, encode::LAST_CHUNK);
        assert!(!has_call(&h), "the request behind the stream was sent on");
        assert_eq!(statuses(&h, client), ["200", "503"]);
        h.bytes(client, &halves("unfinished").1);
        assert_eq!(statuses(&h, client), ["200", "503", "503"]);
        assert!(last_answer_announces_close(&h, client) && h.closed.contains(&client));
    }
}

/// A request that arrived whole before the drain is served, even if late bytes of another one follow it.
#[test]
fn a_request_that_arrived_before_the_drain_is_served_though_late_bytes_follow_it() {
    let (mut h, startup, _) = harness_with_deadline(false, 5_000);
    let (client, decode) = start_decode(&mut h, "open", "chat");
    h.begin_stream(decode.conn);
    send_chunk(&mut h, decode.conn, FIRST_EVENT);
    h.bytes(client, &request(&default_headers("early", "chat")));
    shut_down(&mut h, startup.lame_duck);
    h.advance(PAST_GRACE);
    h.bytes(client, &request(&default_headers("late", "chat")));
    send_chunk(&mut h, decode.conn, LAST_EVENTS);
    h.bytes(decode.conn, encode::LAST_CHUNK);
    let prefill = next_call(&mut h);
    assert_eq!(prefill.header("x-request-id"), "early");
    reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
    let decode = next_call(&mut h);
    h.begin_stream(decode.conn);
    send_chunk(&mut h, decode.conn, &format!("{FIRST_EVENT}{LAST_EVENTS}"));
    h.bytes(decode.conn, encode::LAST_CHUNK);
    assert!(!has_call(&h));
    assert_eq!(statuses(&h, client), ["200", "200", "503"]);
    assert!(h.closed.contains(&client));
}

/// Guards against a connection on which the last byte of a request arrives right before SIGKILL, with no time to answer.
#[test]
fn an_unfinished_request_is_rejected_before_the_process_may_be_killed() {
    for resume in [false, true] {
        for deadline_ms in [1_000, 2_000, 5_000] {
            let (mut h, startup, kill_after) = harness_with_deadline(resume, deadline_ms);
            let begun = h.now;
            let (in_body, in_head) = (h.client(), h.client());
            shut_down(&mut h, startup.lame_duck - ms(1));
            h.bytes(in_body, &halves("slow").0);
            h.bytes(in_head, b"POST /v1/chat/completions HTTP/1.1\r\nX-Re");
            h.advance(begun + kill_after - h.now - ms(200));
            for client in [in_body, in_head] {
                assert_eq!(first_status(&h, client), Some(503), "resume {resume}, deadline {deadline_ms} ms");
                assert!(last_answer_announces_close(&h, client) && h.closed.contains(&client));
            }
        }
    }
}

/// A client that sends request after request gets an answer to each one that is complete, and then the end.
#[test]
fn a_client_that_pipelines_without_a_pause_is_ended_before_the_process_may_be_killed() {
    let (mut h, startup, kill_after) = harness_with_deadline(false, 5_000);
    let begun = h.now;
    let client = h.client();
    let (first, second) = halves("again");
    h.bytes(client, &first);
    shut_down(&mut h, startup.lame_duck);
    h.advance(PAST_GRACE);
    let mut completed = 0;
    while !h.closed.contains(&client) {
        assert!(h.now < begun + kill_after - ms(200), "its connection is still open");
        h.bytes(client, &[second.as_slice(), first.as_slice()].concat());
        completed += 1;
        h.advance(ms(100));
    }
    assert!(completed > 10, "{completed}");
    assert!(!has_call(&h));
    let statuses = statuses(&h, client);
    assert!((completed..=completed + 1).contains(&statuses.len()), "{completed} {}", statuses.len());
    assert!(statuses.iter().all(|status| status == "503"));
}

#[test]
fn lame_duck_router_serves_new_requests_and_closes_streams_evenly() {
    let mut h = harness_with(true);
    let streams = start_streams(&mut h, 30);
    let mut out = Vec::new();
    let now = h.now;
    h.core.begin_shutdown(now);
    let health_client = h.client();
    h.bytes(health_client, &encode::request("GET", "/up", "a", &[], b""));
    assert_eq!(first_status(&h, health_client), Some(503));
    let late_client = send_request(&mut h, "late", "chat");
    assert!(has_call(&h), "a request during the lame duck period is still served");
    let mut closed_before = 0;
    for step in 0..33 {
        for (client, decode) in &streams {
            if !h.closed.contains(client) {
                send_chunk(&mut h, *decode, FIRST_EVENT);
            }
        }
        h.advance(ms(100));
        let closed = streams.iter().filter(|(client, _)| h.closed.contains(client)).count();
        assert!(closed - closed_before <= 5, "streams are closed evenly");
        assert!(step >= 17 || closed == 0);
        closed_before = closed;
    }
    assert_eq!(closed_before, streams.len());
    // The request that arrived during the lame duck period is answered by its end.
    h.advance(ms(50));
    assert!(first_status(&h, late_client).is_some());
    h.core.drain(h.now, &mut out);
    assert_eq!(h.core.open_requests(), 0);
}

/// Guards against streams that SIGKILL cuts off where the settings' deadlines are short: it then comes earlier.
#[test]
fn streams_migrate_before_the_process_may_be_killed_whatever_the_deadline() {
    for deadline_ms in [1_000, 2_000, 5_000] {
        let (mut h, startup, kill_after) = harness_with_deadline(true, deadline_ms);
        let streams = start_streams(&mut h, 10);
        let begun = h.now;
        shut_down(&mut h, startup.lame_duck);
        while h.now < begun + kill_after - ms(300) {
            for (client, decode) in &streams {
                if !h.closed.contains(client) {
                    send_chunk(&mut h, *decode, FIRST_EVENT);
                }
            }
            h.advance(ms(50));
        }
        let open = streams.iter().filter(|(client, _)| !h.closed.contains(client)).count();
        assert_eq!(open, 0, "deadline {deadline_ms} ms");
    }
}

/// A second SIGTERM: what is unfinished is rejected, and resting clients are closed.
#[test]
fn an_unfinished_request_is_rejected_when_the_process_ends_at_once() {
    let mut h = harness();
    let (slow, rests) = (h.client(), h.client());
    h.bytes(rests, &encode::request("GET", "/up", "a", &[], b""));
    h.bytes(slow, &halves("slow").0);
    h.core.begin_shutdown(h.now);
    h.fail_open_requests();
    assert_eq!(first_status(&h, slow), Some(503));
    assert!(last_answer_announces_close(&h, slow));
    assert!(h.closed.contains(&slow) && h.closed.contains(&rests));
    assert_eq!(h.core.open_clients(), 0);
}

/// Requests are accepted while clients still connect, and not so late that a stall would carry them past the time from
/// which they must be answered before SIGKILL.
#[test]
fn requests_are_accepted_as_long_as_clients_connect_and_no_longer_than_a_stall_allows() {
    for deadline_ms in [100, 1_000, 5_000] {
        let (_, startup, _) = harness_with_deadline(false, deadline_ms);
        let accepted_until = startup.lame_duck + startup.config.timeouts.drain_grace;
        assert!(startup.lame_duck >= ms(400));
        assert!(accepted_until + ms(150) <= ms(700));
    }
}
