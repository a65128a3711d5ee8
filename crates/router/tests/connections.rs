//! Connections that fail at the worst moment: one verdict, the truth on what may have run, nothing pinned, and no
//! engine's stale pool eats more than one attempt.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy::{EndpointUpdate, Event, Outcome};
use chalkyard_router::*;
use common::*;

/// One reader and one writer.
fn two() -> Vec<serde_json::Value> {
    vec![entry("read", "reader", 1, "in"), entry("write", "writer", 2, "in")]
}

/// A yard in whose pools lie `n` connections to the reader and `n` to the writer.
fn pooled(n: usize) -> Harness {
    let mut y = Harness::new(config(), &two());
    let pulls: Vec<Call> = (0..n)
        .map(|_| {
            y.ask("help");
            y.call()
        })
        .collect();
    for read in &pulls {
        y.parsed(read);
    }
    for _ in 0..n {
        let pull = y.call();
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.end_stream(pull.conn);
    }
    assert_eq!(y.ports.len(), 2 * n, "as many connections");
    y
}

fn used_before(y: &Harness, call: &Call, n: usize) -> bool {
    y.ports.keys().take(2 * n).any(|c| *c == call.conn)
}

/// Reads go on until one finds a live engine, or the request is over; how many met a pooled connection.
fn stale_attempts(y: &mut Harness, n: usize, end: impl Fn(&mut Harness, &Call)) -> usize {
    y.ask("help");
    let mut stale = 0;
    for _ in 0..400 {
        while y.has_call() {
            let call = y.call();
            if used_before(y, &call, n) {
                stale += 1;
                end(y, &call);
            } else if !y.closed.contains(&call.conn) && call.port == 1 {
                y.parsed(&call);
            }
        }
        y.advance(ms(10));
    }
    stale
}

#[test]
fn a_dead_engines_pool_eats_one_attempt() {
    // The peer resets each connection once the call's first bytes were taken.
    let mut y = pooled(6);
    let stale = stale_attempts(&mut y, 6, |y, call| {
        y.closed.insert(call.conn);
        y.input(Input::Lost(call.conn));
    });
    assert_eq!(stale, 2, "one at the reader, one at the writer: the siblings are not tried");
}

#[test]
fn a_pool_that_swallows_calls_eats_one_attempt() {
    // Half open: the host is gone, nothing comes back, and only the module's patience ends the attempt.
    let mut y = pooled(6);
    let stale = stale_attempts(&mut y, 6, |_, _| {});
    assert!(stale <= 2, "one at the reader and one at the writer at most, but it was {stale}");
}

#[test]
fn a_release_that_meets_a_stale_pool_still_gets_through_in_time() {
    let mut y = pooled(6);
    // Enough of them that the tries of one release can't use them up.
    let client = y.ask("help");
    let read = y.call();
    y.parsed(&read);
    let pull = y.call();
    assert_eq!(pull.port, 2);
    y.closed.insert(client);
    let asked = y.now;
    y.input(Input::Lost(client));
    let mut let_go = None;
    for _ in 0..100 {
        for release in y.releases() {
            assert_eq!(release.port, 1);
            if used_before(&y, &release, 6) {
                y.closed.insert(release.conn);
                y.input(Input::Lost(release.conn));
            } else if let_go.is_none() {
                y.reply(release.conn, 200, "{}");
                let_go = Some(y.now);
            }
        }
        y.advance(ms(10));
    }
    let late = let_go.map(|at| at - asked);
    assert!(late.is_some_and(|l| l <= ms(1_000)), "let go after {late:?}");
}

#[test]
fn a_release_is_tried_until_the_told_time_is_over() {
    let mut y = pooled(1);
    let client = y.ask("help");
    let read = y.call();
    y.parsed(&read);
    y.call();
    // Connections to the reader are refused for a while, as while it starts anew.
    y.refused_ports.insert(1);
    let idle: Vec<ConnId> =
        y.ports.iter().filter(|(c, p)| **p == 1 && !y.closed.contains(c)).map(|(c, _)| *c).collect();
    for conn in idle {
        y.input(Input::Eof(conn));
    }
    y.closed.insert(client);
    y.input(Input::Lost(client));
    y.advance(ms(300));
    y.refused_ports.remove(&1);
    let mut let_go = 0;
    for _ in 0..60 {
        y.advance(ms(10));
        for release in y.releases() {
            y.reply(release.conn, 200, "{}");
            let_go += 1;
        }
    }
    assert_eq!(let_go, 1, "the reader is back within the second that letting go may take");
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn closed_in_the_middle_of_a_read_is_read_again_and_let_go() {
    for class in ["help", "report"] {
        let mut y = Harness::new(config(), &usual());
        let client = y.ask(class);
        let read = y.call();
        y.bytes(
            read.conn,
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n{\"usa",
        );
        y.input(Input::Eof(read.conn));
        assert_eq!(y.outcomes(), [Outcome::ConnectionLost]);
        assert_eq!(y.releases().len(), 1, "what it may hold is let go");
        assert!(y.answers(client).is_empty(), "a read has no effect: the request goes on");
        y.advance(ms(1_500));
        assert!(y.has_call(), "it is read again, of whatever class");
    }
}

#[test]
fn closed_in_the_middle_of_a_pull_tells_the_truth() {
    // After the head of the reply, before its first token.
    for (class, goes_on) in [("help", true), ("report", false)] {
        let mut y = Harness::new(config(), &usual());
        let (client, pull) = y.pulling(class);
        y.begin_stream(pull.conn);
        y.closed.insert(pull.conn);
        y.input(Input::Lost(pull.conn));
        assert_eq!(y.outcomes(), [Outcome::Prefilled, Outcome::ConnectionLost]);
        if goes_on {
            let next = y.call();
            assert_ne!(next.port, pull.port, "the state still waits: another writer pulls it");
            y.begin_stream(next.conn);
            y.token(next.conn, "a");
            y.end_stream(next.conn);
            assert_eq!(y.answer(client).0, 200);
        } else {
            assert_eq!(y.error(client), (504, "failed".into(), true));
            assert_eq!(y.releases().len(), 1, "and the state is let go");
        }
        assert_eq!(y.core.open_requests(), 0);
    }
}

#[test]
fn closed_between_the_last_token_and_the_end_marker_is_no_whole_answer() {
    for lost in [true, false] {
        let mut y = Harness::new(config(), &usual());
        let (client, pull) = y.pulling("report");
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.event(pull.conn, r#"{"choices":[{"text":"","finish_reason":"stop"}]}"#);
        if lost {
            y.closed.insert(pull.conn);
            y.input(Input::Lost(pull.conn));
        } else {
            // A close that is in order as far as the transfer coding goes.
            y.bytes(pull.conn, chalkyard_proto::encode::LAST_CHUNK);
        }
        let (status, events) = y.answer(client);
        let (name, last) = events.last().unwrap();
        assert_eq!((status, name.as_str()), (200, "message.broken"));
        assert_eq!(last["error"]["may_have_run"], true);
        assert_eq!(y.outcomes(), [Outcome::Prefilled, Outcome::ConnectionLost], "one verdict");
        assert!(!y.has_call() && y.core.open_requests() == 0);
    }
}

#[test]
fn lost_after_the_end_marker_is_served_and_the_connection_not_kept() {
    let mut y = Harness::new(config(), &usual());
    let (client, pull) = y.pulling("report");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.event(pull.conn, "[DONE]");
    y.closed.insert(pull.conn);
    y.input(Input::Lost(pull.conn));
    assert_eq!(y.answer(client).1.last().unwrap().0, "message.closed");
    assert_eq!(y.outcomes(), [Outcome::Prefilled, Outcome::Served]);
    let (_, next) = y.pulling("report");
    assert_ne!(next.conn, pull.conn);
}

#[test]
fn a_long_idle_connection_is_closed_by_us_and_not_used() {
    let mut y = pooled(3);
    y.advance(ms(10_001));
    assert_eq!(y.closed.len(), 6, "all of the pool, after its idle time");
    y.ask("help");
    let call = y.call();
    assert!(!used_before(&y, &call, 3));
}

#[test]
fn a_pooled_connection_closed_by_its_engine_is_not_taken() {
    let mut y = pooled(3);
    let idle: Vec<ConnId> = y.ports.keys().copied().collect();
    for conn in idle {
        y.input(Input::Eof(conn));
    }
    assert_eq!(y.core.status().connections, 0);
    let client = y.ask("report");
    let read = y.call();
    y.parsed(&read);
    let pull = y.call();
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    assert_eq!(y.answer(client).0, 200);
}

#[test]
fn state_at_a_reader_that_leaves_the_list_is_still_let_go() {
    for read_ends_after in [false, true] {
        let (mut y, conn) = watched();
        y.begin_stream(conn);
        news(&mut y, conn, "snapshot", &list(1, &usual()));
        y.refused_ports.extend([2, 3]);
        y.ask("help");
        let read = y.call();
        let gone = list(2, &[entry("read", "reader", 1, "out")]);
        if read_ends_after {
            news(&mut y, conn, "change", &gone);
            y.parsed(&read);
        } else {
            y.parsed(&read);
            news(&mut y, conn, "change", &gone);
        }
        y.advance(ms(1_000));
        assert_eq!(y.releases().len(), 1, "told to let go, {read_ends_after}: {:?}", y.notes);
        y.advance(ms(5_000));
        assert_eq!(y.core.status().connections, 1, "and forgotten then");
        assert_eq!(y.core.worker_view().items.len(), 2);
    }
}

// ---- Bounds of connections and what they carry.

#[test]
fn past_the_bound_of_connections_an_attempt_is_not_sent_and_the_engine_not_blamed() {
    let mut config = config();
    config.bounds.connections_per_worker = 2;
    let mut y = Harness::new(config, &two());
    for _ in 0..2 {
        y.ask("report");
    }
    let held: Vec<Call> = (0..2).map(|_| y.call()).collect();
    let waits = y.ask("report");
    assert!(!y.has_call(), "no third connection to the reader");
    assert!(y.outcomes().iter().all(|o| *o == Outcome::NotSent) && !y.outcomes().is_empty());
    for read in &held {
        y.reply(read.conn, 429, "{}");
    }
    y.advance(ms(3_995));
    let (_, kind, ran) = y.error(waits);
    assert_eq!((kind.as_str(), ran), ("refused", false), "nothing ran: trying again is harmless");
    assert_eq!(y.core.worker_view().items.iter().map(|e| e.connections).max(), Some(2));
}

#[test]
fn no_more_idle_connections_are_kept_than_may_be() {
    let mut config = config();
    config.bounds.idle_per_worker = 1;
    let mut y = Harness::new(config, &two());
    for _ in 0..5 {
        y.ask("help");
    }
    let reads: Vec<Call> = (0..5).map(|_| y.call()).collect();
    reads.iter().for_each(|r| y.parsed(r));
    let reader = y.core.worker_view().items[0].clone();
    assert_eq!((reader.id.as_str(), reader.connections, reader.idle), ("read", 1, 1));
}

#[test]
fn an_answer_past_its_bound_is_cut_and_told_truly() {
    let mut config = config();
    config.bounds.answer_bytes = 1_024;
    let mut y = Harness::new(config, &two());
    let client = y.client();
    y.ask_with(client, "report", None, false, 20);
    let call = y.call();
    y.begin_stream(call.conn);
    y.token(call.conn, &"a".repeat(2_000));
    assert_eq!(y.error(client), (502, "failed".into(), true));
    assert!(y.closed.contains(&call.conn), "its engine is not read on");
    assert_eq!((y.outcomes(), y.core.open_requests()), (vec![Outcome::Cancelled], 0));
}

#[test]
fn a_readers_parameters_past_their_bound_are_an_error_and_let_go() {
    let mut y = Harness::new(config(), &two());
    y.ask("help");
    let read = y.call();
    let long = "p".repeat(20_000);
    y.reply(read.conn, 200, &format!(r#"{{"usage":{{}},"kv_transfer_params":{{"x":"{long}"}}}}"#));
    assert_eq!(y.outcomes(), [Outcome::ServerError]);
    assert_eq!(y.releases().len(), 1, "what it holds is let go");
}

#[test]
fn past_the_bound_of_identities_a_request_is_refused_as_not_run() {
    let mut config = config();
    config.bounds.identities = 2;
    let mut y = Harness::new(config, &two());
    for n in 0..3 {
        let client = y.client();
        y.ask_with(client, "report", Some(&format!("k{n}")), true, 20);
        if n == 2 {
            assert_eq!(y.error(client), (503, "refused".into(), false));
            continue;
        }
        let call = y.call();
        y.closed.insert(call.conn);
        y.input(Input::Lost(call.conn));
        assert_eq!(y.error(client), (504, "failed".into(), true), "may have run, and is remembered");
    }
    y.advance(ms(600_001));
    let client = y.client();
    y.ask_with(client, "report", Some("k9"), true, 20);
    assert!(y.has_call(), "room again once they are forgotten");
}

// ---- Days of running.

#[test]
fn days_of_requests_leave_no_timer_connection_or_identity_behind() {
    let mut y = Harness::new(config(), &usual());
    // Two days, one request a minute: read, pulled and served; refused; broken; left by its client.
    for n in 0..2_880_u32 {
        let client = y.client();
        y.ask_with(client, "report", Some(&format!("k{n}")), n % 2 == 0, if n % 3 == 0 { 2_000 } else { 20 });
        let mut first = true;
        while y.has_call() {
            let call = y.call();
            if y.closed.contains(&call.conn) {
                continue;
            }
            match n % 5 {
                0 if first => y.reply(call.conn, 429, "{}"),
                1 if call.port != 1 => y.input(Input::Eof(call.conn)),
                2 if call.port != 1 && !y.closed.contains(&client) => {
                    y.closed.insert(client);
                    y.input(Input::Lost(client));
                }
                _ if call.port == 1 => y.parsed(&call),
                _ => {
                    y.begin_stream(call.conn);
                    y.token(call.conn, "a");
                    y.end_stream(call.conn);
                }
            }
            first = false;
        }
        for release in y.releases() {
            y.reply(release.conn, 200, "{}");
        }
        y.advance(ms(60_000));
        let counts = y.core.status();
        assert!(counts.identities <= 11, "ten minutes of them are remembered: {counts:?}");
        assert!(counts.connections <= 6 && counts.clients <= 2 && counts.open_requests == 0, "{counts:?}");
    }
    assert_eq!(y.finished.len(), 2_880);
    y.advance(ms(120_000));
    assert_eq!(y.core.status().connections, 0, "all pools are idle for longer than they may");
    assert_eq!(y.core.next_due(), None, "no timer is left");
}

// ---- The register's connection.

fn watched() -> (Harness, ConnId) {
    let mut config = config();
    config.discovery = Some(REGISTER.parse().unwrap());
    config.bounds.workers = 4;
    let mut y = Harness::new(config, &usual());
    let watch = y.calls.remove(0);
    (y, watch.conn)
}

#[test]
fn a_register_whose_changes_never_follow_is_not_asked_without_pause() {
    let (mut y, mut conn) = watched();
    let mut watches = 1;
    let end = y.now + ms(5_000);
    // Each new watch begins with a snapshot and a change that leaves a gap.
    while y.now < end && watches < 200 {
        y.begin_stream(conn);
        news(&mut y, conn, "snapshot", &list(5, &usual()));
        news(&mut y, conn, "change", &list(9, &[]));
        while !y.calls.iter().any(|c| c.target.contains("watch")) {
            y.advance(ms(10));
        }
        let at = y.calls.iter().position(|c| c.target.contains("watch")).unwrap();
        conn = y.calls.remove(at).conn;
        watches += 1;
    }
    assert!(watches <= 12, "{watches} watches in 5 s");
}

#[test]
fn changes_past_the_bound_of_workers_are_not_taken_and_not_kept() {
    let (mut y, conn) = watched();
    y.begin_stream(conn);
    news(&mut y, conn, "snapshot", &list(1, &usual()));
    for n in 0..8_u64 {
        let more = entry(&format!("write-{}", n + 10), "writer", 10 + n as u16, "in");
        news(&mut y, conn, "change", &list(n + 2, &[more]));
    }
    let told: usize = y
        .policy_events
        .lock()
        .unwrap()
        .iter()
        .filter_map(|(_, e, _)| match e {
            Event::Endpoints { update: EndpointUpdate::Delta, workers } => Some(workers.len()),
            _ => None,
        })
        .sum();
    assert_eq!(told, 1, "the fourth worker is told of, no further one");
    news(&mut y, conn, "change", &list(10, &[entry("write-1", "writer", 2, "draining")]));
    let (_, event, _) = y.policy_events.lock().unwrap().last().cloned().unwrap();
    let Event::Endpoints { update: EndpointUpdate::Delta, workers } = event else { panic!("{event:?}") };
    assert_eq!(&*workers[0].id.0, "write-1", "a drain is still heard");
    assert_eq!(y.kept_list.as_ref().unwrap().matches("\"worker\"").count(), 4, "and none is held in secret");
    assert!(y.notes.iter().any(|n| n.contains("more than 4 workers")), "{:?}", y.notes);
}

#[test]
fn a_malformed_reply_of_the_register_is_no_standing_watch() {
    let (mut y, conn) = watched();
    y.bytes(conn, b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
    assert!(!y.core.status().register, "told as lost");
    // Half to one and a half times the pause of a second.
    y.advance(ms(1_600));
    assert!(y.calls.iter().any(|c| c.target.contains("watch")), "and asked for again");
}
