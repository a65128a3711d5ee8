//! The list of workers through the core on the platform: asked for, read, bounded.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_policy::{EndpointUpdate, Event};
use chalkyard_router::*;
use common::*;
use serde_json::json;

#[test]
fn the_list_is_asked_for_again_at_once_and_one_bad_entry_loses_no_other() {
    let mut y = harness();
    let watch = |y: &mut Harness| {
        let at = y.calls.iter().position(|c| c.target.starts_with("/discovery")).expect("a call for news");
        y.calls.remove(at)
    };
    let first = watch(&mut y);
    assert_eq!((first.port, first.target.as_str()), (AGENT, "/discovery/hosts?after=4&wait_ms=2000"));
    let news = [member("w2", "writes", 3, "draining"), json!({"id": "x", "phase": "lost"}), json!(7)];
    reply(&mut y, first.conn, 200, &[], &members(5, false, &news));
    // What could not be read may be a drain: it is asked for with the whole list, once.
    let second = watch(&mut y);
    assert_eq!((second.conn, second.target.as_str()), (first.conn, "/discovery/hosts"));
    // A whole list drops what it does not name.
    let mut whole = usual_members()[..2].to_vec();
    whole.push(json!({"id": "x", "phase": "lost"}));
    reply(&mut y, second.conn, 200, &[], &members(6, true, &whole));
    let third = watch(&mut y);
    assert_eq!((third.conn, third.target.as_str()), (first.conn, "/discovery/hosts?after=6&wait_ms=2000"));
    {
        let policy_events = y.policy_events.lock().unwrap();
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
    // The agent stays silent: another connection asks anew, in time. What can't be read is asked for again.
    y.advance(ms(3_200));
    let fourth = watch(&mut y);
    assert_ne!(fourth.conn, third.conn);
    reply(&mut y, fourth.conn, 200, &[], "<html>");
    assert!(!y.calls.iter().any(|c| c.target.starts_with("/discovery")), "not in a hot loop");
    y.advance(ms(150));
    // After a call that failed none waits for news until one was answered, and a silent one is given up sooner.
    let fifth = watch(&mut y);
    assert_eq!(fifth.target, "/discovery/hosts?after=6&wait_ms=0");
    y.advance(ms(400));
    let sixth = watch(&mut y);
    assert_ne!(sixth.conn, fifth.conn);
    // It answers again: the next call waits for news, at once and on the same connection.
    reply(&mut y, sixth.conn, 200, &[], &members(6, false, &[]));
    let fifth = watch(&mut y);
    assert_eq!((fifth.conn, fifth.target.as_str()), (sixth.conn, "/discovery/hosts?after=6&wait_ms=2000"));
    // Another configuration: the new address at once.
    y.input(Input::DiscoveryAddressChanged(format!("127.0.0.1:{OTHER_AGENT}").parse().unwrap()));
    assert!(y.closed.contains(&fifth.conn));
    assert_eq!(watch(&mut y).port, OTHER_AGENT);
}

#[test]
fn a_source_without_news_is_not_asked_in_a_hot_loop_and_workers_are_bounded() {
    let mut y = harness();
    let asked = |y: &Harness| y.calls.iter().filter(|c| c.target.starts_with("/discovery")).count();
    for _ in 0..20 {
        if let Some(at) = y.calls.iter().position(|c| c.target.starts_with("/discovery")) {
            let call = y.calls.remove(at);
            reply(&mut y, call.conn, 200, &[], &members(4, false, &[]));
            assert_eq!(asked(&y), 0, "not at once");
        }
        y.advance(ms(60));
    }
    y.advance(ms(150));
    let at = y.calls.iter().position(|c| c.target.starts_with("/discovery")).expect("but soon");
    let call = y.calls.remove(at);
    let mut many: Vec<_> = (0..3_000).map(|n| member(&format!("x{n}"), "writes", 30, "up")).collect();
    many.push(member("w2", "writes", 3, "draining"));
    reply(&mut y, call.conn, 200, &[], &members(5, false, &many));
    assert_eq!(y.core.status().engines, 2_000);
    let policy_events = y.policy_events.lock().unwrap();
    let drained = policy_events.iter().any(|(_, e, _)| match e {
        Event::Endpoints { workers, .. } => {
            workers.iter().any(|w| w.lifecycle == chalkyard_policy::Lifecycle::Draining)
        }
        _ => false,
    });
    assert!(drained, "a drain is heard past the bound");
}
