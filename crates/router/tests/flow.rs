//! The ordinary path and the hard cases, on bytes and connections' fates alone.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy::{Action, EndpointUpdate, Event, Outcome, Router};
use chalkyard_router::*;
use common::*;

#[test]
fn a_request_is_read_handed_over_written_and_streamed() {
    let mut y = harness();
    let (client, pull) = y.pulling("help");
    assert_eq!(pull.body["kv_transfer_params"]["remote_engine_id"], "read");
    assert_eq!(pull.header("via"), "1.1 r1");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.token(pull.conn, "b");
    y.end_stream(pull.conn);
    let (status, events) = y.answer(client);
    let names: Vec<&str> = events.iter().map(|(n, _)| n.as_str()).collect();
    assert_eq!(status, 200);
    assert_eq!(names, ["message.opened", "message.delta", "message.delta", "message.closed"]);
    assert_eq!(events[3].1["usage"]["kept_tokens"], 64, "what the reader found kept, not the writer");
    assert_eq!(y.outcomes(), [Outcome::Prefilled, Outcome::Served]);
    assert_eq!(y.core.open_requests(), 0);
    let record = &y.finished[0];
    assert_eq!((record.phase, record.attempts.len(), record.output_tokens), ("streaming", 2, 2));
    assert!(record.estimated_tokens.abs_diff(record.prompt_tokens) < 10);
}

#[test]
fn a_whole_answer_comes_as_one_body_and_connections_are_used_again() {
    let mut y = harness();
    let client = y.client();
    for n in 0..2 {
        y.ask_with(client, "help", None, false, 4_000);
        let read = y.call();
        y.parsed(&read);
        let pull = y.call();
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.token(pull.conn, "b");
        assert_eq!(y.answers(client).len(), n);
        y.end_stream(pull.conn);
        assert_eq!(y.answers(client)[n].1[0].1["content"], "ab");
    }
    assert!(y.ports.len() <= 3, "a connection an engine at most: {:?}", y.ports);
}

#[test]
fn closed_before_the_first_byte_proves_not_run_and_after_it_does_not() {
    // A kept connection that ends before a byte was taken tells nothing: the same attempt goes on a new one, and only if
    // that does not stand either is the writer not reached.
    let cases = [
        (0, true, Outcome::Prefilled),
        (0, false, Outcome::NoConnection),
        (1, true, Outcome::ConnectionLost),
        (1, false, Outcome::ConnectionLost),
    ];
    for (taken, listens, outcome) in cases {
        let mut y =
            Harness::new(config(), &[entry("read", "reader", 1, "in"), entry("write", "writer", 2, "in")]);
        // A first request leaves an idle connection at the writer.
        let (_, pull) = y.pulling("report");
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.end_stream(pull.conn);
        let client = y.ask("report");
        let read = y.call();
        // From now on the system takes nothing on that connection but what is said below.
        y.stalled.insert(pull.conn);
        y.parsed(&read);
        assert!(!y.has_call());
        if taken > 0 {
            y.input(Input::Wrote(pull.conn, taken));
        }
        if !listens {
            y.refused_ports.insert(2);
        }
        y.input(Input::Lost(pull.conn));
        assert_eq!(y.outcomes().last(), Some(&outcome));
        if taken > 0 {
            assert_eq!(y.error(client), (504, "failed".into(), true), "a single shot is not sent again");
        } else if listens {
            let again = y.call();
            assert_eq!((again.port, again.conn == pull.conn, y.has_call()), (2, false, false));
        } else {
            y.refused_ports.remove(&2);
            assert!(y.answers(client).is_empty(), "proven not run: the module may go on");
            y.advance(ms(2_500));
            assert!(y.call().port <= 2, "sent again, after the module's bench for a dead writer");
        }
    }
}

#[test]
fn a_second_reply_on_a_connection_spoils_it_and_nothing_else() {
    let mut y = harness();
    let (client, pull) = y.pulling("help");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    y.reply(pull.conn, 200, "{}");
    assert!(y.closed.contains(&pull.conn));
    assert_eq!(y.answer(client).0, 200);
    // Both at once: the second must not be taken for the answer to the next request.
    let (client, pull) = y.pulling("help");
    let mut both = chalkyard_proto::encode::response(429, &[], b"{}", true);
    both.extend(both.clone());
    y.bytes(pull.conn, &both);
    assert!(y.closed.contains(&pull.conn));
    assert!(y.answers(client).is_empty());
}

#[test]
fn a_lost_answer_of_a_single_shot_is_failed_and_never_sent_again() {
    let mut y = harness();
    let (client, pull) = y.pulling("report");
    y.input(Input::Eof(pull.conn));
    let (status, kind, ran) = y.error(client);
    assert_eq!((status, kind.as_str(), ran), (504, "failed", true));
    y.advance(ms(6_000));
    assert!(!y.has_call());
    let releases = y.releases();
    assert!(releases.iter().all(|r| r.port == 1), "its state at the reader is let go");
    assert_eq!(releases.len(), 3, "a call to let go that is not answered is tried again, thrice in all");
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn an_identity_is_one_request_at_one_router() {
    let mut y = harness();
    let first = y.client();
    y.ask_with(first, "report", Some("k"), true, 4_000);
    let again = y.client();
    y.ask_with(again, "report", Some("k"), true, 4_000);
    assert_eq!(y.error(again), (409, "duplicate".into(), true));
    let read = y.call();
    assert_eq!(read.header("idempotency-key"), "\"-/k\"");
    y.parsed(&read);
    let pull = y.call();
    y.input(Input::Lost(pull.conn));
    let later = y.client();
    y.ask_with(later, "report", Some("k"), true, 4_000);
    assert_eq!(y.error(later), (409, "duplicate".into(), true), "it may have run: look it up");
    assert!(!y.has_call());
    y.advance(ms(700_000));
    let much_later = y.client();
    y.ask_with(much_later, "report", Some("k"), true, 4_000);
    assert!(y.has_call());
}

#[test]
fn a_reply_that_races_its_cancel_gives_one_verdict() {
    let mut y = harness();
    let client = y.ask("help");
    let read = y.call();
    // The client leaves; the reply is already on its way.
    y.input(Input::Lost(client));
    y.parsed(&read);
    y.reply(read.conn, 200, "{}");
    assert_eq!(y.outcomes(), [Outcome::Cancelled]);
    assert_eq!(y.releases().len(), 1, "what the read may have left is let go");
    assert_eq!(y.finished[0].ended, RequestOutcome::ClientGone);
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn a_client_gone_between_read_and_pull_lets_the_state_go() {
    let mut y = harness();
    y.refused_ports.extend([2, 3]);
    let client = y.ask("help");
    let read = y.call();
    y.parsed(&read);
    assert!(!y.has_call(), "no writer can be reached");
    y.input(Input::Lost(client));
    let releases = y.releases();
    assert_eq!((releases.len(), releases[0].port), (1, 1));
    assert_eq!(releases[0].body["request_id"], releases[0].header("x-request-id"));
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn a_reader_that_dies_with_the_state_sends_the_request_to_be_read_again() {
    let mut y = harness();
    let (client, pull) = y.pulling("report");
    y.reply(pull.conn, 409, r#"{"error":{"type":"no_state","message":"gone"}}"#);
    assert_eq!(y.outcomes(), [Outcome::Prefilled, Outcome::Rejected { no_state: true }]);
    y.advance(ms(100));
    let again = y.call();
    assert!(again.body["kv_transfer_params"]["remote_engine_id"].is_null());
    assert!(y.answers(client).is_empty());
}

#[test]
fn a_stream_that_stops_midway_ends_as_broken_once() {
    let mut y = harness();
    let (client, pull) = y.pulling("report");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.advance(ms(60_000));
    let (status, events) = y.answer(client);
    assert_eq!(status, 200);
    let (name, last) = events.last().unwrap();
    assert_eq!((name.as_str(), &last["error"]["may_have_run"]), ("message.broken", &true.into()));
    assert_eq!(y.outcomes().last(), Some(&Outcome::TimedOut));
    assert!(y.closed.contains(&pull.conn));
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn a_malformed_chunk_and_a_missing_end_marker_break_the_stream() {
    for (bytes, outcome) in
        [(&b"zz\r\n"[..], Outcome::ServerError), (&b"0\r\n\r\n"[..], Outcome::ConnectionLost)]
    {
        let mut y = harness();
        let (client, pull) = y.pulling("help");
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.bytes(pull.conn, bytes);
        assert_eq!(y.outcomes().last(), Some(&outcome));
        assert_eq!(y.answer(client).1.last().unwrap().0, "message.broken");
    }
}

#[test]
fn a_whole_answer_that_breaks_is_tried_again_where_that_is_free() {
    for (class, again) in [("help", true), ("report", false)] {
        let mut y = harness();
        let client = y.client();
        y.ask_with(client, class, None, false, 4_000);
        let read = y.call();
        y.parsed(&read);
        let pull = y.call();
        y.begin_stream(pull.conn);
        y.token(pull.conn, "lost");
        y.input(Input::Lost(pull.conn));
        y.advance(ms(200));
        assert_eq!(y.has_call(), again, "{class}");
        assert_eq!(y.answers(client).is_empty(), again);
    }
}

#[test]
fn a_list_change_during_a_send_stops_new_work_and_not_what_runs() {
    let mut config = config();
    config.discovery = Some(REGISTER.parse().unwrap());
    let mut y = Harness::new(config, &usual());
    let watch = y.calls.remove(0);
    assert_eq!(watch.target, "/v1/workers?watch=1");
    let event = |y: &mut Harness, name: &str, data: &str| news(y, watch.conn, name, data);
    y.begin_stream(watch.conn);
    event(&mut y, "snapshot", &list(5, &usual()));
    let (client, pull) = y.pulling("help");
    let gone = if pull.port == 2 { "write-1" } else { "write-2" };
    event(&mut y, "change", &list(6, &[entry(gone, "writer", pull.port, "draining")]));
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    assert_eq!(y.answer(client).0, 200);
    for _ in 0..6 {
        let (_, next) = y.pulling("help");
        assert_ne!(next.port, pull.port, "nothing new to a draining worker");
        y.begin_stream(next.conn);
        y.token(next.conn, "a");
        y.end_stream(next.conn);
    }
    // A gap in the versions: a whole list is asked for.
    event(&mut y, "change", &list(8, &[]));
    let again = y.calls.iter().find(|c| c.target.contains("watch")).unwrap();
    assert_ne!(again.conn, watch.conn);
    assert!(y.kept_list.as_ref().unwrap().contains("\"draining\""));
}

#[test]
fn a_register_that_is_down_from_the_start_is_asked_again_and_the_last_list_serves() {
    let mut config = config();
    config.discovery = Some(REGISTER.parse().unwrap());
    let mut y = Harness::new(config, &usual());
    let watch = y.calls.remove(0);
    y.input(Input::Lost(watch.conn));
    let (client, pull) = y.pulling("help");
    y.begin_stream(pull.conn);
    y.token(pull.conn, "a");
    y.end_stream(pull.conn);
    assert_eq!(y.answer(client).0, 200);
    y.advance(ms(1_600));
    assert!(y.calls.iter().any(|c| c.target.contains("watch")), "the module asks again");
    let failed = |e: &Event| matches!(e, Event::Endpoints { update: EndpointUpdate::Failed, .. });
    assert!(y.policy_events.lock().unwrap().iter().any(|(_, e, _)| failed(e)));
}

#[test]
fn a_deadline_reached_while_held_is_answered_in_time_and_the_state_let_go() {
    let mut y = harness();
    let client = y.ask("report");
    let read = y.call();
    y.refused_ports.extend([2, 3]);
    y.parsed(&read);
    y.advance(ms(3_990));
    let (status, kind, ran) = y.error(client);
    assert!(matches!(kind.as_str(), "failed" | "refused"), "{status} {kind}");
    assert!(!ran, "nothing but a read was ever sent");
    assert!(!y.releases().is_empty());
    assert_eq!(y.core.open_requests(), 0);
}

#[test]
fn a_silent_engine_is_answered_for_at_the_deadline() {
    let mut y = harness();
    let (client, _) = y.pulling("report");
    y.advance(ms(3_960));
    assert!(y.answers(client).is_empty());
    y.advance(ms(30));
    let (_, kind, ran) = y.error(client);
    assert_eq!((kind.as_str(), ran), ("failed", true));
    assert_eq!(y.finished.len(), 1);
}

#[test]
fn the_module_given_the_same_events_does_the_same() {
    let mut y = harness();
    for _ in 0..5 {
        let (_, pull) = y.pulling("help");
        y.begin_stream(pull.conn);
        y.token(pull.conn, "a");
        y.end_stream(pull.conn);
        y.ask("report");
        y.advance(ms(150));
        y.calls.clear();
    }
    let policy_events = y.policy_events.lock().unwrap();
    let mut again = Router::new(config().policy, 7);
    assert!(policy_events.len() > 20);
    for (now, event, actions) in policy_events.iter() {
        let mut did: Vec<Action> = Vec::new();
        again.handle(*now, event.clone(), &mut did);
        assert_eq!(did, *actions);
    }
}

#[test]
fn want_of_descriptors_here_is_not_held_against_the_engine() {
    let mut y = harness();
    let client = y.client();
    y.ask_with(client, "report", None, true, 4_000);
    let read = y.call();
    // The writer's connection can't even be begun.
    y.unconnected = true;
    y.parsed(&read);
    assert!(!y.has_call());
    assert!(y.outcomes().iter().skip(1).all(|o| *o == Outcome::NotSent), "{:?}", y.outcomes());
    y.advance(ms(10));
    assert_eq!(y.error(client), (503, "refused".into(), false));
    // Once there is room again, nobody is benched.
    y.unconnected = false;
    let (_, pull) = y.pulling("report");
    assert!(pull.port > 1);
}
