//! Tests of reservations in the core with the platform's dialect: KV state that a prefill worker holds is pulled by a decode
//! worker or released in time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_platform::StartupConfig;
use chalkyard_policy::Outcome;
use chalkyard_router::*;
use common::*;

#[test]
fn release_goes_to_another_worker_if_the_prefill_worker_is_unreachable() {
    let mut h = harness();
    let (client, decode) = start_decode(&mut h, "id-1", "chat");
    // The client disconnects, and no connection to the prefill worker can be established.
    h.refused_ports.insert(1);
    let idle_conns: Vec<ConnId> = h.ports.iter().filter(|(_, p)| **p == 1).map(|(c, _)| *c).collect();
    for conn in idle_conns {
        h.input(Input::Lost(conn));
    }
    h.input(Input::Lost(client));
    assert!(h.closed.contains(&decode.conn), "the decode attempt is cancelled by closing its connection");
    h.advance(ms(100));
    let releases: Vec<&Call> = h.calls.iter().filter(|c| c.target == "/internal/reservations/id-1").collect();
    assert!(!releases.is_empty());
    assert_ne!(releases[0].port, 1);
}

fn releases(h: &Harness) -> Vec<(ConnId, u16)> {
    let release_calls = h.calls.iter().filter(|c| c.target == "/internal/reservations/id-1");
    release_calls.map(|c| (c.conn, c.port)).collect()
}

#[test]
fn unanswered_release_is_repeated_to_another_worker_until_answered() {
    let mut h = harness();
    let (client, _) = start_decode(&mut h, "id-1", "chat");
    h.input(Input::Lost(client));
    assert_eq!(releases(&h).len(), 1);
    assert_eq!(releases(&h)[0].1, 1, "the first call goes to the worker that holds the state");
    // The prefill worker does not answer, as in a network partition.
    h.advance(ms(40));
    let release_calls = releases(&h);
    assert_eq!(release_calls.len(), 2, "the second call does not wait for the connect timeout");
    assert_ne!(release_calls[1].1, 1);
    reply(&mut h, release_calls[1].0, 204, &[], "");
    h.advance(ms(2_000));
    assert_eq!(releases(&h).len(), 2);
    assert!(h.notes.is_empty(), "{:?}", h.notes);
}

/// A network partition can cut off all workers of a zone, so the second release call goes to another zone, even if a worker
/// of the first zone has answered more recently. Calls go on after a short reservation timeout, since the state may still
/// be held then.
#[test]
fn release_alternates_zones_and_continues_past_a_short_reservation_timeout() {
    let mut h = harness_with_timeouts(100, 250);
    let other_zone = 4;
    let (client, _) = start_decode(&mut h, "id-1", "chat");
    // The prefill worker and a decode worker of its zone have answered; no worker of the other zone has.
    let same_zone = (2..20).find_map(|n| {
        let (client, decode) = start_decode(&mut h, &format!("id-{n}"), "chat");
        (decode.port != other_zone).then_some((client, decode))
    });
    let (client_2, decode) = same_zone.expect("some request is decoded in the zone of the prefill worker");
    reply(&mut h, decode.conn, 500, &[], "");
    h.input(Input::Lost(client_2));
    h.calls.clear();
    h.input(Input::Lost(client));
    h.advance(ms(40));
    let ports: Vec<u16> = releases(&h).iter().map(|(_, port)| *port).collect();
    assert_eq!(ports, [1, other_zone]);
    h.advance(ms(260));
    assert!(releases(&h).len() >= 6, "{}", releases(&h).len());
    h.advance(ms(1_500));
    let calls = releases(&h).len();
    // Decode attempts of the other requests are still open by then; releases at their end are bounded as well.
    h.advance(ms(8_000));
    assert_eq!(releases(&h).len(), calls, "the number of release calls is bounded");
    assert_eq!(h.core.open_releases(), 0, "each release ends");
}

/// A release call frees all state that is reserved for a request, so none is sent once a later prefill has succeeded.
#[test]
fn state_of_a_later_prefill_is_not_released_by_calls_for_an_earlier_one() {
    let mut workers = default_members();
    workers.push(member("r2", "reads", 4, "up"));
    let startup_config = StartupConfig::parse(&config_text(false, &members(4, true, &workers))).unwrap();
    let mut h =
        Harness::with_stored_list(startup_config.config, startup_config.last_endpoint_list.as_deref());
    send_request(&mut h, "id-1", "chat");
    let prefill = next_call(&mut h);
    while !h.closed.contains(&prefill.conn) {
        h.advance(ms(10));
    }
    let second_prefill = next_call(&mut h);
    assert_ne!(second_prefill.port, prefill.port);
    assert_eq!(releases(&h).len(), 1);
    reply(&mut h, second_prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
    let decode = next_call(&mut h);
    h.advance(ms(300));
    assert_eq!(releases(&h).len(), 1, "a release call would free the state of the later prefill");
    assert!(!h.closed.contains(&decode.conn));
}

#[test]
fn abandoned_prefill_is_released_before_a_single_shot_request_is_retried() {
    for (class, is_retried_at_once) in [("chat", true), ("once", false)] {
        let mut h = harness();
        send_request(&mut h, "id-1", class);
        let prefill = next_call(&mut h);
        while !h.closed.contains(&prefill.conn) {
            h.advance(ms(10));
        }
        assert_eq!(releases(&h).len(), 1, "the prefill may have succeeded meanwhile");
        assert_eq!(has_call(&h), is_retried_at_once, "{class}");
        let (conn, _) = releases(&h)[0];
        reply(&mut h, conn, 204, &[], "");
        assert!(has_call(&h), "{class}");
    }
    // No worker answers the release: the wait of the next attempt is bounded.
    let mut h = harness();
    send_request(&mut h, "id-1", "once");
    let prefill = next_call(&mut h);
    while !h.closed.contains(&prefill.conn) {
        h.advance(ms(10));
    }
    h.advance(ms(400));
    assert!(has_call(&h));
}

#[test]
fn failed_connect_for_a_decode_leaves_time_for_another_worker() {
    let mut h = harness();
    send_request(&mut h, "id-1", "once");
    let prefill = next_call(&mut h);
    // The reservation timeout is 1 s and the connect timeout 250 ms. The state is released after four fifths of the
    // reservation timeout, and each connect may take half of the time left until then.
    for n in 1..=8 {
        h.stalled.insert(ConnId(prefill.conn.0 + 2 * n));
    }
    reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
    let prefilled_at = h.now;
    while releases(&h).is_empty() && h.now < prefilled_at + ms(1_500) {
        h.advance(ms(5));
    }
    assert!(h.now <= prefilled_at + ms(820), "{:?} after the prefill", h.now - prefilled_at);
    let failed = h.outcomes().iter().filter(|o| **o == Outcome::NoConnection).count();
    assert_eq!(failed, 2, "both decode workers were tried");
}

#[test]
fn reserved_state_is_pulled_elsewhere_or_released_in_time_during_a_partition() {
    for reservation_ms in [100, 300, 1_000] {
        for connect_ms in [80, 250, 750] {
            // A zone is partitioned: connections to it are not established. The other zone's decode worker is next.
            let mut h = harness_with_timeouts(reservation_ms, connect_ms);
            send_request(&mut h, "id-1", "once");
            let prefill = next_call(&mut h);
            h.stalled.insert(ConnId(prefill.conn.0 + 2));
            reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
            let prefilled_at = h.now;
            let first = h.ports[&ConnId(prefill.conn.0 + 2)];
            while !has_call(&h) && h.now < prefilled_at + ms(reservation_ms) {
                h.advance(ms(2));
            }
            assert!(
                has_call(&h),
                "release {reservation_ms} ms, connect {connect_ms} ms: no attempt after port {first}"
            );
            let second = next_call(&mut h).port;
            assert_eq!(
                first == 4,
                second != 4,
                "release {reservation_ms} ms, connect {connect_ms} ms: port {first}, then {second}"
            );

            // No worker can be reached or answers: release calls go to two workers in time.
            let mut h = harness_with_timeouts(reservation_ms, connect_ms);
            send_request(&mut h, "id-1", "once");
            let prefill = next_call(&mut h);
            for n in 1..=4 {
                h.stalled.insert(ConnId(prefill.conn.0 + 2 * n));
            }
            reply(&mut h, prefill.conn, 202, &[], r#"{"cached_tokens":0}"#);
            let prefilled_at = h.now;
            while releases(&h).len() < 2 && h.now < prefilled_at + ms(reservation_ms + 600) {
                h.advance(ms(2));
            }
            let release_calls = releases(&h);
            assert!(
                release_calls.len() >= 2,
                "release {reservation_ms} ms, connect {connect_ms} ms: {release_calls:?}"
            );
            assert_ne!(release_calls[0].1, release_calls[1].1);
            assert!(
                h.now <= prefilled_at + ms(reservation_ms + 300),
                "release {reservation_ms} ms, connect {connect_ms} ms: {:?}",
                h.now - prefilled_at
            );
        }
    }
}
