//! State that a reader holds, through the core on the platform: pulled, or released in time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_platform::StartupConfig;
use chalkyard_policy::Outcome;
use chalkyard_router::*;
use common::*;

#[test]
fn a_release_that_does_not_reach_the_reader_goes_to_another_worker() {
    let mut y = harness();
    let (client, write) = written(&mut y, "id-1", "chat");
    // The writers turn away, the client leaves, the reader is not reached.
    y.refused_ports.insert(1);
    let idle: Vec<ConnId> = y.ports.iter().filter(|(_, p)| **p == 1).map(|(c, _)| *c).collect();
    for conn in idle {
        y.input(Input::Lost(conn));
    }
    y.input(Input::Lost(client));
    assert!(y.closed.contains(&write.conn), "a cancel is a close");
    y.advance(ms(100));
    let releases: Vec<&Call> = y.calls.iter().filter(|c| c.target == "/internal/reservations/id-1").collect();
    assert!(!releases.is_empty());
    assert_ne!(releases[0].port, 1);
}

fn releases(y: &Harness) -> Vec<(ConnId, u16)> {
    let to_let_go = y.calls.iter().filter(|c| c.target == "/internal/reservations/id-1");
    to_let_go.map(|c| (c.conn, c.port)).collect()
}

#[test]
fn a_release_that_nobody_answers_is_told_to_another_beside_it_until_one_has_taken_it() {
    let mut y = harness();
    let (client, _) = written(&mut y, "id-1", "chat");
    y.input(Input::Lost(client));
    assert_eq!(releases(&y).len(), 1);
    assert_eq!(releases(&y)[0].1, 1, "first where the state is");
    // It says nothing, as behind a cut.
    y.advance(ms(40));
    let told = releases(&y);
    assert_eq!(told.len(), 2, "a connection's wait is not waited for");
    assert_ne!(told[1].1, 1);
    reply(&mut y, told[1].0, 204, &[], "");
    y.advance(ms(2_000));
    assert_eq!(releases(&y).len(), 2);
    assert!(y.notes.is_empty(), "{:?}", y.notes);
}

/// In a cut whole zones are not reached: the second call goes to a zone where none was made, whoever was heard from last,
/// and calls go on after a short told time, since what is held then is still held.
#[test]
fn a_release_goes_to_each_zone_in_turn_and_on_past_a_short_told_time() {
    let mut y = yard_told(100, 250);
    let other_zone = 4;
    let (client, _) = written(&mut y, "id-1", "chat");
    // The reader was heard from, and a writer of its zone; of the other zone nobody.
    let near = (2..20).find_map(|n| {
        let (client, write) = written(&mut y, &format!("id-{n}"), "chat");
        (write.port != other_zone).then_some((client, write))
    });
    let (client_2, write) = near.expect("a writer of the reader's zone is taken at times");
    reply(&mut y, write.conn, 500, &[], "");
    y.input(Input::Lost(client_2));
    y.calls.clear();
    y.input(Input::Lost(client));
    y.advance(ms(40));
    let ports: Vec<u16> = releases(&y).iter().map(|(_, port)| *port).collect();
    assert_eq!(ports, [1, other_zone]);
    y.advance(ms(260));
    assert!(releases(&y).len() >= 6, "{}", releases(&y).len());
    y.advance(ms(1_500));
    let calls = releases(&y).len();
    // The other requests' pulls are still open then, and what is released as they end is bounded as well.
    y.advance(ms(8_000));
    assert_eq!(releases(&y).len(), calls, "bounded");
    assert_eq!(y.core.open_releases(), 0, "bounded");
}

/// A call to let go frees all that is held for a request: none is made any more once a later read has ended well.
#[test]
fn what_is_held_anew_is_not_let_go_of_by_calls_for_an_earlier_read() {
    let mut all = usual_members();
    all.push(member("r2", "reads", 4, "up"));
    let started = StartupConfig::parse(&file(false, &members(4, true, &all))).unwrap();
    let mut y = Harness::with_stored_list(started.config, started.last_endpoint_list.as_deref());
    ask(&mut y, "id-1", "chat");
    let read = call(&mut y);
    while !y.closed.contains(&read.conn) {
        y.advance(ms(10));
    }
    let again = call(&mut y);
    assert_ne!(again.port, read.port);
    assert_eq!(releases(&y).len(), 1);
    reply(&mut y, again.conn, 202, &[], r#"{"cached_tokens":0}"#);
    let pull = call(&mut y);
    y.advance(ms(300));
    assert_eq!(releases(&y).len(), 1, "the later read's state would go");
    assert!(!y.closed.contains(&pull.conn));
}

#[test]
fn a_read_that_is_given_up_is_let_go_of_before_what_must_not_run_twice_is_read_again() {
    for (class, at_once) in [("chat", true), ("once", false)] {
        let mut y = harness();
        ask(&mut y, "id-1", class);
        let read = call(&mut y);
        while !y.closed.contains(&read.conn) {
            y.advance(ms(10));
        }
        assert_eq!(releases(&y).len(), 1, "the read may have ended well just then");
        assert_eq!(has_call(&y), at_once, "{class}");
        let (conn, _) = releases(&y)[0];
        reply(&mut y, conn, 204, &[], "");
        assert!(has_call(&y), "{class}");
    }
    // Nobody says that it is let go of: the next attempt does not wait for long.
    let mut y = harness();
    ask(&mut y, "id-1", "once");
    let read = call(&mut y);
    while !y.closed.contains(&read.conn) {
        y.advance(ms(10));
    }
    y.advance(ms(400));
    assert!(has_call(&y));
}

#[test]
fn a_pull_whose_connection_does_not_come_up_leaves_time_for_another_writer() {
    let mut y = harness();
    ask(&mut y, "id-1", "once");
    let read = call(&mut y);
    // The told release time is 1 s and a connection may take 250 ms: four fifths of the first, halved again and again.
    for n in 1..=8 {
        y.stalled.insert(ConnId(read.conn.0 + 2 * n));
    }
    reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
    let parsed = y.now;
    while releases(&y).is_empty() && y.now < parsed + ms(1_500) {
        y.advance(ms(5));
    }
    assert!(y.now <= parsed + ms(820), "{:?} after the read", y.now - parsed);
    let failed = y.outcomes().iter().filter(|o| **o == Outcome::NoConnection).count();
    assert_eq!(failed, 2, "both writers were tried");
}

#[test]
fn in_a_cut_held_state_is_pulled_elsewhere_or_let_go_of_in_time_whatever_the_settings() {
    for release in [100, 300, 1_000] {
        for connect in [80, 250, 750] {
            // A zone is cut off: connections into it do not come up. The other zone's writer is next.
            let mut y = yard_told(release, connect);
            ask(&mut y, "id-1", "once");
            let read = call(&mut y);
            y.stalled.insert(ConnId(read.conn.0 + 2));
            reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
            let parsed = y.now;
            let first = y.ports[&ConnId(read.conn.0 + 2)];
            while !has_call(&y) && y.now < parsed + ms(release) {
                y.advance(ms(2));
            }
            assert!(has_call(&y), "{release} {connect}: nothing was tried after port {first}");
            let second = call(&mut y).port;
            assert_eq!(first == 4, second != 4, "{release} {connect}: {first}, then {second}");

            // Nobody can be reached, nor says anything: two workers are told in time.
            let mut y = yard_told(release, connect);
            ask(&mut y, "id-1", "once");
            let read = call(&mut y);
            for n in 1..=4 {
                y.stalled.insert(ConnId(read.conn.0 + 2 * n));
            }
            reply(&mut y, read.conn, 202, &[], r#"{"cached_tokens":0}"#);
            let parsed = y.now;
            while releases(&y).len() < 2 && y.now < parsed + ms(release + 600) {
                y.advance(ms(2));
            }
            let told = releases(&y);
            assert!(told.len() >= 2, "{release} {connect}: {told:?}");
            assert_ne!(told[0].1, told[1].1);
            assert!(y.now <= parsed + ms(release + 300), "{release} {connect}: {:?}", y.now - parsed);
        }
    }
}
