//! Tests of service discovery in the core with the platform's dialect: polls, parsing and bounds of the endpoint list.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_policy::{EndpointUpdate, Event};
use chalkyard_router::*;
use common::*;
use serde_json::json;

#[test]
fn endpoint_list_is_polled_again_at_once_and_an_invalid_entry_does_not_affect_others() {
    let mut h = harness();
    let take_poll = |h: &mut Harness| {
        let at = h
            .calls
            .iter()
            .position(|c| c.target.starts_with("/discovery"))
            .expect("a poll of service discovery");
        h.calls.remove(at)
    };
    let first = take_poll(&mut h);
    assert_eq!((first.port, first.target.as_str()), (AGENT, "/discovery/hosts?after=4&wait_ms=2000"));
    let changes = [member("w2", "writes", 3, "draining"), json!({"id": "x", "phase": "lost"}), json!(7)];
    reply(&mut h, first.conn, 200, &[], &members(5, false, &changes));
    // An invalid entry may be a drain, so the complete list is requested once.
    let second = take_poll(&mut h);
    assert_eq!((second.conn, second.target.as_str()), (first.conn, "/discovery/hosts"));
    // A complete list removes the workers that it does not name.
    let mut complete_list = default_members()[..2].to_vec();
    complete_list.push(json!({"id": "x", "phase": "lost"}));
    reply(&mut h, second.conn, 200, &[], &members(6, true, &complete_list));
    let third = take_poll(&mut h);
    assert_eq!((third.conn, third.target.as_str()), (first.conn, "/discovery/hosts?after=6&wait_ms=2000"));
    {
        let policy_events = h.policy_events.lock().unwrap();
        let kinds: Vec<(EndpointUpdate, usize)> = policy_events
            .iter()
            .filter_map(|(_, e, _)| match e {
                Event::Endpoints { update, workers } => Some((*update, workers.len())),
                _ => None,
            })
            .collect();
        assert_eq!(
            kinds,
            [(EndpointUpdate::LastKnown, 3), (EndpointUpdate::Delta, 1), (EndpointUpdate::Snapshot, 2)]
        );
    }
    // After a silent poll the core connects and polls again. An answer that is not a list is followed by a retry.
    h.advance(ms(3_200));
    let fourth = take_poll(&mut h);
    assert_ne!(fourth.conn, third.conn);
    reply(&mut h, fourth.conn, 200, &[], "<html>");
    assert!(!h.calls.iter().any(|c| c.target.starts_with("/discovery")), "the retry is not immediate");
    h.advance(ms(150));
    // After a failed poll, polls do not wait for changes and time out sooner, until one of them is answered.
    let fifth = take_poll(&mut h);
    assert_eq!(fifth.target, "/discovery/hosts?after=6&wait_ms=0");
    h.advance(ms(400));
    let sixth = take_poll(&mut h);
    assert_ne!(sixth.conn, fifth.conn);
    // After an answer, a long poll follows at once on the same connection.
    reply(&mut h, sixth.conn, 200, &[], &members(6, false, &[]));
    let fifth = take_poll(&mut h);
    assert_eq!((fifth.conn, fifth.target.as_str()), (sixth.conn, "/discovery/hosts?after=6&wait_ms=2000"));
    // A new discovery address is used at once.
    h.input(Input::DiscoveryAddressChanged(format!("127.0.0.1:{OTHER_AGENT}").parse().unwrap()));
    assert!(h.closed.contains(&fifth.conn));
    assert_eq!(take_poll(&mut h).port, OTHER_AGENT);
}

#[test]
fn polls_without_changes_are_paced_and_the_number_of_workers_is_bounded() {
    let mut h = harness();
    let count_polls = |h: &Harness| h.calls.iter().filter(|c| c.target.starts_with("/discovery")).count();
    for _ in 0..20 {
        if let Some(at) = h.calls.iter().position(|c| c.target.starts_with("/discovery")) {
            let call = h.calls.remove(at);
            reply(&mut h, call.conn, 200, &[], &members(4, false, &[]));
            assert_eq!(count_polls(&h), 0, "an answer without changes is not followed by an immediate poll");
        }
        h.advance(ms(60));
    }
    h.advance(ms(150));
    let at = h.calls.iter().position(|c| c.target.starts_with("/discovery")).expect("a poll after the pause");
    let call = h.calls.remove(at);
    let mut too_many: Vec<_> = (0..3_000).map(|n| member(&format!("x{n}"), "writes", 30, "up")).collect();
    too_many.push(member("w2", "writes", 3, "draining"));
    reply(&mut h, call.conn, 200, &[], &members(5, false, &too_many));
    assert_eq!(h.core.status().engines, 2_000);
    let policy_events = h.policy_events.lock().unwrap();
    let drained = policy_events.iter().any(|(_, e, _)| match e {
        Event::Endpoints { workers, .. } => {
            workers.iter().any(|w| w.lifecycle == chalkyard_policy::Lifecycle::Draining)
        }
        _ => false,
    });
    assert!(drained, "a drain beyond the bound is still passed to the policy");
}
