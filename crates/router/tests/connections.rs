//! Connections that fail at critical moments: each attempt has one outcome, clients are told correctly whether a request may
//! have run, no reservation stays open, and a worker's stale pool costs a request at most one attempt.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy::{EndpointUpdate, Event, Outcome};
use chalkyard_router::*;
use common::*;

/// One prefill worker and one decode worker.
fn two_workers() -> Vec<serde_json::Value> {
    vec![entry("read", "reader", 1, "in"), entry("write", "writer", 2, "in")]
}

/// A harness whose pools hold `n` idle connections to the prefill worker and `n` to the decode worker.
fn pooled(n: usize) -> Harness {
    let mut harness = Harness::new(config(), &two_workers());
    let prefills: Vec<Call> = (0..n)
        .map(|_| {
            harness.send_request("help");
            harness.next_call()
        })
        .collect();
    for prefill in &prefills {
        harness.reply_prefilled(prefill);
    }
    for _ in 0..n {
        let decode = harness.next_call();
        harness.begin_stream(decode.conn);
        harness.send_token(decode.conn, "a");
        harness.end_stream(decode.conn);
    }
    assert_eq!(harness.ports.len(), 2 * n, "one connection for each call");
    harness
}

/// Whether a call uses a connection from the pools of [`pooled`].
fn used_before(harness: &Harness, call: &Call, n: usize) -> bool {
    harness.ports.keys().take(2 * n).any(|c| *c == call.conn)
}

/// Sends a request, applies `end` to its calls on pooled connections, and answers its prefills on new ones. Returns the
/// number of calls on pooled connections.
fn stale_attempts(harness: &mut Harness, n: usize, end: impl Fn(&mut Harness, &Call)) -> usize {
    harness.send_request("help");
    let mut stale = 0;
    for _ in 0..400 {
        while harness.has_call() {
            let call = harness.next_call();
            if used_before(harness, &call, n) {
                stale += 1;
                end(harness, &call);
            } else if !harness.closed.contains(&call.conn) && call.port == 1 {
                harness.reply_prefilled(&call);
            }
        }
        harness.advance(ms(10));
    }
    stale
}

#[test]
fn the_pool_of_a_dead_worker_costs_one_attempt() {
    // The peer resets each pooled connection after the first bytes of a call were written.
    let mut harness = pooled(6);
    let stale = stale_attempts(&mut harness, 6, |harness, call| {
        harness.closed.insert(call.conn);
        harness.input(Input::Lost(call.conn));
    });
    assert_eq!(stale, 2, "one at each worker: the other pooled connections are not tried");
}

#[test]
fn a_pool_of_half_open_connections_costs_one_attempt() {
    // Half-open connections: the host has vanished without a reset, so only the policy's timeout ends the attempt.
    let mut harness = pooled(6);
    let stale = stale_attempts(&mut harness, 6, |_, _| {});
    assert!(stale <= 2, "at most one at each worker, but there were {stale}");
}

#[test]
fn a_release_succeeds_in_time_despite_a_stale_pool() {
    let mut harness = pooled(6);
    // The pool holds more connections than one release has attempts.
    let client = harness.send_request("help");
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    assert_eq!(decode.port, 2);
    harness.closed.insert(client);
    let disconnected_at = harness.now;
    harness.input(Input::Lost(client));
    let mut released = None;
    for _ in 0..100 {
        for release in harness.releases() {
            assert_eq!(release.port, 1);
            if used_before(&harness, &release, 6) {
                harness.closed.insert(release.conn);
                harness.input(Input::Lost(release.conn));
            } else if released.is_none() {
                harness.reply(release.conn, 200, "{}");
                released = Some(harness.now);
            }
        }
        harness.advance(ms(10));
    }
    let delay = released.map(|at| at - disconnected_at);
    assert!(delay.is_some_and(|delay| delay <= ms(1_000)), "released after {delay:?}");
}

#[test]
fn a_release_is_retried_until_its_deadline() {
    let mut harness = pooled(1);
    let client = harness.send_request("help");
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    harness.next_call();
    // The prefill worker refuses connections for a while, as during a restart.
    harness.refused_ports.insert(1);
    let idle: Vec<ConnId> = harness
        .ports
        .iter()
        .filter(|(c, p)| **p == 1 && !harness.closed.contains(c))
        .map(|(c, _)| *c)
        .collect();
    for conn in idle {
        harness.input(Input::Eof(conn));
    }
    harness.closed.insert(client);
    harness.input(Input::Lost(client));
    harness.advance(ms(300));
    harness.refused_ports.remove(&1);
    let mut released = 0;
    for _ in 0..60 {
        harness.advance(ms(10));
        for release in harness.releases() {
            harness.reply(release.conn, 200, "{}");
            released += 1;
        }
    }
    assert_eq!(released, 1, "the prefill worker is back within the second allowed for a release");
    assert_eq!(harness.core.open_requests(), 0);
}

#[test]
fn a_prefill_whose_connection_closes_is_retried_and_released() {
    for class in ["help", "report"] {
        let mut harness = Harness::new(config(), &default_workers());
        let client = harness.send_request(class);
        let prefill = harness.next_call();
        harness.bytes(
            prefill.conn,
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n{\"usa",
        );
        harness.input(Input::Eof(prefill.conn));
        assert_eq!(harness.outcomes(), [Outcome::ConnectionLost]);
        assert_eq!(harness.releases().len(), 1, "a possible reservation is released");
        assert!(harness.answers(client).is_empty(), "a prefill has no side effect, so the request continues");
        harness.advance(ms(1_500));
        assert!(harness.has_call(), "the prefill is retried for every class");
    }
}

#[test]
fn a_decode_whose_connection_is_lost_is_retried_only_if_idempotent() {
    // The connection is lost after the head of the reply and before the first token.
    for (class, continues) in [("help", true), ("report", false)] {
        let mut harness = Harness::new(config(), &default_workers());
        let (client, decode) = harness.start_decode(class);
        harness.begin_stream(decode.conn);
        harness.closed.insert(decode.conn);
        harness.input(Input::Lost(decode.conn));
        assert_eq!(harness.outcomes(), [Outcome::Prefilled, Outcome::ConnectionLost]);
        if continues {
            let next = harness.next_call();
            assert_ne!(next.port, decode.port, "the reservation is kept: another decode worker uses it");
            harness.begin_stream(next.conn);
            harness.send_token(next.conn, "a");
            harness.end_stream(next.conn);
            assert_eq!(harness.answer(client).0, 200);
        } else {
            assert_eq!(harness.error(client), (504, "failed".into(), true));
            assert_eq!(harness.releases().len(), 1, "the reservation is released");
        }
        assert_eq!(harness.core.open_requests(), 0);
    }
}

#[test]
fn an_answer_without_its_end_marker_is_broken() {
    for lost in [true, false] {
        let mut harness = Harness::new(config(), &default_workers());
        let (client, decode) = harness.start_decode("report");
        harness.begin_stream(decode.conn);
        harness.send_token(decode.conn, "a");
        harness.send_event(decode.conn, r#"{"choices":[{"text":"","finish_reason":"stop"}]}"#);
        if lost {
            harness.closed.insert(decode.conn);
            harness.input(Input::Lost(decode.conn));
        } else {
            // The chunked transfer coding ends properly.
            harness.bytes(decode.conn, chalkyard_proto::encode::LAST_CHUNK);
        }
        let (status, events) = harness.answer(client);
        let (name, last) = events.last().unwrap();
        assert_eq!((status, name.as_str()), (200, "message.broken"));
        assert_eq!(last["error"]["may_have_run"], true);
        assert_eq!(harness.outcomes(), [Outcome::Prefilled, Outcome::ConnectionLost], "one outcome");
        assert!(!harness.has_call() && harness.core.open_requests() == 0);
    }
}

#[test]
fn an_answer_lost_after_its_end_marker_is_served_and_its_connection_is_not_reused() {
    let mut harness = Harness::new(config(), &default_workers());
    let (client, decode) = harness.start_decode("report");
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.send_event(decode.conn, "[DONE]");
    harness.closed.insert(decode.conn);
    harness.input(Input::Lost(decode.conn));
    assert_eq!(harness.answer(client).1.last().unwrap().0, "message.closed");
    assert_eq!(harness.outcomes(), [Outcome::Prefilled, Outcome::Served]);
    let (_, next) = harness.start_decode("report");
    assert_ne!(next.conn, decode.conn);
}

#[test]
fn a_connection_past_the_idle_timeout_is_closed_and_not_reused() {
    let mut harness = pooled(3);
    harness.advance(ms(10_001));
    assert_eq!(harness.closed.len(), 6, "all pooled connections are closed after the idle timeout");
    harness.send_request("help");
    let call = harness.next_call();
    assert!(!used_before(&harness, &call, 3));
}

#[test]
fn a_pooled_connection_closed_by_its_worker_is_not_reused() {
    let mut harness = pooled(3);
    let idle: Vec<ConnId> = harness.ports.keys().copied().collect();
    for conn in idle {
        harness.input(Input::Eof(conn));
    }
    assert_eq!(harness.core.status().connections, 0);
    let client = harness.send_request("report");
    let prefill = harness.next_call();
    harness.reply_prefilled(&prefill);
    let decode = harness.next_call();
    harness.begin_stream(decode.conn);
    harness.send_token(decode.conn, "a");
    harness.end_stream(decode.conn);
    assert_eq!(harness.answer(client).0, 200);
}

#[test]
fn a_reservation_at_a_removed_worker_is_still_released() {
    for prefill_ends_later in [false, true] {
        let (mut harness, conn) = watching_harness();
        harness.begin_stream(conn);
        send_discovery_event(&mut harness, conn, "snapshot", &list(1, &default_workers()));
        harness.refused_ports.extend([2, 3]);
        harness.send_request("help");
        let prefill = harness.next_call();
        let removal = list(2, &[entry("read", "reader", 1, "out")]);
        if prefill_ends_later {
            send_discovery_event(&mut harness, conn, "change", &removal);
            harness.reply_prefilled(&prefill);
        } else {
            harness.reply_prefilled(&prefill);
            send_discovery_event(&mut harness, conn, "change", &removal);
        }
        harness.advance(ms(1_000));
        assert_eq!(harness.releases().len(), 1, "one release, {prefill_ends_later}: {:?}", harness.notes);
        harness.advance(ms(5_000));
        assert_eq!(harness.core.status().connections, 1, "the connection to the removed worker is closed");
        assert_eq!(harness.core.worker_view().items.len(), 2);
    }
}

// ---- Limits on connections and on their contents.

#[test]
fn an_attempt_beyond_the_connection_limit_is_not_sent_and_does_not_count_against_the_worker() {
    let mut config = config();
    config.bounds.connections_per_worker = 2;
    let mut harness = Harness::new(config, &two_workers());
    for _ in 0..2 {
        harness.send_request("report");
    }
    let open_calls: Vec<Call> = (0..2).map(|_| harness.next_call()).collect();
    let waiting = harness.send_request("report");
    assert!(!harness.has_call(), "no third connection to the prefill worker");
    assert!(harness.outcomes().iter().all(|o| *o == Outcome::NotSent) && !harness.outcomes().is_empty());
    for prefill in &open_calls {
        harness.reply(prefill.conn, 429, "{}");
    }
    harness.advance(ms(3_995));
    let (_, kind, ran) = harness.error(waiting);
    assert_eq!((kind.as_str(), ran), ("refused", false), "nothing ran, so the client may safely retry");
    assert_eq!(harness.core.worker_view().items.iter().map(|e| e.connections).max(), Some(2));
}

#[test]
fn idle_connections_beyond_the_limit_are_closed() {
    let mut config = config();
    config.bounds.idle_per_worker = 1;
    let mut harness = Harness::new(config, &two_workers());
    for _ in 0..5 {
        harness.send_request("help");
    }
    let prefills: Vec<Call> = (0..5).map(|_| harness.next_call()).collect();
    prefills.iter().for_each(|r| harness.reply_prefilled(r));
    let prefill_worker = harness.core.worker_view().items[0].clone();
    assert_eq!((prefill_worker.id.as_str(), prefill_worker.connections, prefill_worker.idle), ("read", 1, 1));
}

#[test]
fn an_answer_beyond_the_size_limit_fails_as_possibly_run() {
    let mut config = config();
    config.bounds.answer_bytes = 1_024;
    let mut harness = Harness::new(config, &two_workers());
    let client = harness.client();
    harness.send_request_with(client, "report", None, false, 20);
    let call = harness.next_call();
    harness.begin_stream(call.conn);
    harness.send_token(call.conn, &"a".repeat(2_000));
    assert_eq!(harness.error(client), (502, "failed".into(), true));
    assert!(harness.closed.contains(&call.conn), "the worker's connection is closed");
    assert_eq!((harness.outcomes(), harness.core.open_requests()), (vec![Outcome::Cancelled], 0));
}

#[test]
fn transfer_parameters_beyond_the_size_limit_are_an_error_and_the_reservation_is_released() {
    let mut harness = Harness::new(config(), &two_workers());
    harness.send_request("help");
    let prefill = harness.next_call();
    let long = "p".repeat(20_000);
    harness.reply(prefill.conn, 200, &format!(r#"{{"usage":{{}},"kv_transfer_params":{{"x":"{long}"}}}}"#));
    assert_eq!(harness.outcomes(), [Outcome::ServerError]);
    assert_eq!(harness.releases().len(), 1, "the reservation is released");
}

#[test]
fn a_request_beyond_the_limit_of_idempotency_keys_is_rejected_as_not_run() {
    let mut config = config();
    config.bounds.identities = 2;
    let mut harness = Harness::new(config, &two_workers());
    for n in 0..3 {
        let client = harness.client();
        harness.send_request_with(client, "report", Some(&format!("k{n}")), true, 20);
        if n == 2 {
            assert_eq!(harness.error(client), (503, "refused".into(), false));
            continue;
        }
        let call = harness.next_call();
        harness.closed.insert(call.conn);
        harness.input(Input::Lost(call.conn));
        assert_eq!(
            harness.error(client),
            (504, "failed".into(), true),
            "the request may have run, so its key is kept"
        );
    }
    harness.advance(ms(600_001));
    let client = harness.client();
    harness.send_request_with(client, "report", Some("k9"), true, 20);
    assert!(harness.has_call(), "there is room again after the keys have expired");
}

// ---- Long runs.

#[test]
fn two_days_of_requests_leave_no_timer_connection_or_idempotency_key_behind() {
    let mut harness = Harness::new(config(), &default_workers());
    // Two days with one request a minute: served, rejected, broken, or abandoned by its client.
    for n in 0..2_880_u32 {
        let client = harness.client();
        harness.send_request_with(
            client,
            "report",
            Some(&format!("k{n}")),
            n % 2 == 0,
            if n % 3 == 0 { 2_000 } else { 20 },
        );
        let mut first = true;
        while harness.has_call() {
            let call = harness.next_call();
            if harness.closed.contains(&call.conn) {
                continue;
            }
            match n % 5 {
                0 if first => harness.reply(call.conn, 429, "{}"),
                1 if call.port != 1 => harness.input(Input::Eof(call.conn)),
                2 if call.port != 1 && !harness.closed.contains(&client) => {
                    harness.closed.insert(client);
                    harness.input(Input::Lost(client));
                }
                _ if call.port == 1 => harness.reply_prefilled(&call),
                _ => {
                    harness.begin_stream(call.conn);
                    harness.send_token(call.conn, "a");
                    harness.end_stream(call.conn);
                }
            }
            first = false;
        }
        for release in harness.releases() {
            harness.reply(release.conn, 200, "{}");
        }
        harness.advance(ms(60_000));
        let counts = harness.core.status();
        assert!(counts.identities <= 11, "keys are kept for ten minutes: {counts:?}");
        assert!(counts.connections <= 6 && counts.clients <= 2 && counts.open_requests == 0, "{counts:?}");
    }
    assert_eq!(harness.finished.len(), 2_880);
    harness.advance(ms(120_000));
    assert_eq!(harness.core.status().connections, 0, "all pooled connections have exceeded the idle timeout");
    assert_eq!(harness.core.next_due(), None, "no timer is left");
}

// ---- The connection to service discovery.

fn watching_harness() -> (Harness, ConnId) {
    let mut config = config();
    config.discovery = Some(DISCOVERY_ADDRESS.parse().unwrap());
    config.bounds.workers = 4;
    let mut harness = Harness::new(config, &default_workers());
    let watch = harness.calls.remove(0);
    (harness, watch.conn)
}

#[test]
fn repeated_version_gaps_do_not_cause_watches_without_delay() {
    let (mut harness, mut conn) = watching_harness();
    let mut watches = 1;
    let end = harness.now + ms(5_000);
    // Each new watch begins with a snapshot and a change with a version gap.
    while harness.now < end && watches < 200 {
        harness.begin_stream(conn);
        send_discovery_event(&mut harness, conn, "snapshot", &list(5, &default_workers()));
        send_discovery_event(&mut harness, conn, "change", &list(9, &[]));
        while !harness.calls.iter().any(|c| c.target.contains("watch")) {
            harness.advance(ms(10));
        }
        let at = harness.calls.iter().position(|c| c.target.contains("watch")).unwrap();
        conn = harness.calls.remove(at).conn;
        watches += 1;
    }
    assert!(watches <= 12, "{watches} watches in 5 s");
}

#[test]
fn new_workers_beyond_the_limit_are_neither_applied_nor_stored() {
    let (mut harness, conn) = watching_harness();
    harness.begin_stream(conn);
    send_discovery_event(&mut harness, conn, "snapshot", &list(1, &default_workers()));
    for n in 0..8_u64 {
        let more = entry(&format!("write-{}", n + 10), "writer", 10 + n as u16, "in");
        send_discovery_event(&mut harness, conn, "change", &list(n + 2, &[more]));
    }
    let notified: usize = harness
        .policy_events
        .lock()
        .unwrap()
        .iter()
        .filter_map(|(_, e, _)| match e {
            Event::Endpoints { update: EndpointUpdate::Delta, workers } => Some(workers.len()),
            _ => None,
        })
        .sum();
    assert_eq!(notified, 1, "the policy is notified of the fourth worker and of no further one");
    send_discovery_event(
        &mut harness,
        conn,
        "change",
        &list(10, &[entry("write-1", "writer", 2, "draining")]),
    );
    let (_, event, _) = harness.policy_events.lock().unwrap().last().cloned().unwrap();
    let Event::Endpoints { update: EndpointUpdate::Delta, workers } = event else { panic!("{event:?}") };
    assert_eq!(&*workers[0].id.0, "write-1", "a change of a known worker still applies");
    assert_eq!(
        harness.stored_list.as_ref().unwrap().matches("\"worker\"").count(),
        4,
        "the stored list holds no further workers"
    );
    assert!(harness.notes.iter().any(|n| n.contains("more than 4 workers")), "{:?}", harness.notes);
}

#[test]
fn a_malformed_reply_of_service_discovery_ends_the_watch() {
    let (mut harness, conn) = watching_harness();
    harness.bytes(conn, b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
    assert!(!harness.core.status().register, "the connection counts as lost");
    // The retry delay is one second, randomized by a factor of 0.5 to 1.5.
    harness.advance(ms(1_600));
    assert!(harness.calls.iter().any(|c| c.target.contains("watch")), "a new watch is started");
}
