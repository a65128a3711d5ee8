//! The exact bytes that operators, clients and workers receive from a router: records of requests, transitions, tallies,
//! counters, views, notes, the stored endpoint list, answers and calls. The recorded text must not change when the types
//! behind it are renamed.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::fmt::Write as _;

use chalkyard_router::*;
use common::*;
use serde::Serialize;

/// Collects the outputs of one router as text. Each line holds one JSON value or escaped bytes.
struct Recorder {
    harness: Harness,
    text: String,
    finished: usize,
    transitions: usize,
    tallies: usize,
    notes: usize,
    clients: Vec<ConnId>,
}

impl Recorder {
    fn new(title: &str, config: Config) -> Self {
        let mut harness = Harness::new(config, &default_workers());
        harness.core.enable_tally();
        let text = format!("# {title}\n");
        Self { harness, text, finished: 0, transitions: 0, tallies: 0, notes: 0, clients: Vec::new() }
    }

    fn line(&mut self, name: &str, value: &impl Serialize) {
        writeln!(self.text, "{name} {}", serde_json::to_string(value).unwrap()).unwrap();
    }

    fn views(&mut self) {
        let (counts, open, workers) =
            (self.harness.core.status(), self.harness.core.request_view(), self.harness.core.worker_view());
        self.line("counts", &counts);
        self.line("open", &open);
        self.line("engines", &workers);
    }

    /// Records the next completion call, if there is one, and answers it.
    fn answer_next_call(&mut self, answer: impl FnOnce(&mut Harness, &Call)) {
        if !self.harness.has_call() {
            self.text.push_str("no call\n");
            return;
        }
        let call = self.harness.next_call();
        self.write_call(&call);
        answer(&mut self.harness, &call);
    }

    fn releases(&mut self) -> Vec<Call> {
        let releases = self.harness.releases();
        for call in &releases {
            self.write_call(call);
        }
        releases
    }

    fn write_call(&mut self, call: &Call) {
        let headers: Vec<String> = call.headers.iter().map(|(n, v)| format!("{n}: {v}")).collect();
        let body = call.body.to_string();
        let body: String = body.replace("word ", "");
        writeln!(self.text, "call port {} {} [{}] {body}", call.port, call.target, headers.join(", "))
            .unwrap();
    }

    fn send_request(&mut self, class: &str, stream: bool) -> ConnId {
        let conn = self.harness.client();
        self.clients.push(conn);
        let key = format!("key-{}", self.clients.len());
        self.harness.send_request_with(conn, class, Some(&key), stream, 4_000);
        conn
    }

    /// Records all outputs since the previous call.
    fn outputs(&mut self) {
        for record in self.harness.finished.split_off(self.finished) {
            self.line("finished", &record);
        }
        for transition in self.harness.transitions.split_off(self.transitions) {
            self.line("transition", &transition);
        }
        for tally in self.harness.tallies.split_off(self.tallies) {
            self.line("tally", &tally);
        }
        for note in self.harness.notes.split_off(self.notes) {
            writeln!(self.text, "note {note}").unwrap();
        }
    }

    fn end(mut self) -> String {
        self.outputs();
        for conn in std::mem::take(&mut self.clients) {
            let bytes = String::from_utf8_lossy(self.harness.raw(conn)).escape_debug().to_string();
            writeln!(self.text, "answer {bytes}").unwrap();
        }
        let counters = self.harness.core.counters().clone();
        self.line("counters", &counters);
        if let Some(list) = self.harness.stored_list.take() {
            writeln!(self.text, "list {list}").unwrap();
        }
        self.text
    }
}

/// Sends the complete answer to a decode call.
fn reply_decoded(harness: &mut Harness, call: &Call) {
    harness.begin_stream(call.conn);
    harness.send_token(call.conn, "a");
    harness.end_stream(call.conn);
}

fn lose_connection(harness: &mut Harness, call: &Call) {
    harness.closed.insert(call.conn);
    harness.input(Input::Lost(call.conn));
}

/// A prefill, a transfer and a streamed answer, with the views in each phase, and non-streamed answers.
fn served() -> String {
    let mut recorder = Recorder::new("served", config());
    recorder.send_request("help", true);
    recorder.views();
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.views();
    let mut decode = None;
    recorder.answer_next_call(|harness, call| {
        harness.begin_stream(call.conn);
        harness.advance(ms(7));
        harness.send_token(call.conn, "a");
        decode = Some(call.conn);
    });
    recorder.views();
    recorder.harness.end_stream(decode.unwrap());
    let conn = recorder.send_request("report", false);
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.answer_next_call(reply_decoded);
    recorder.harness.advance(ms(1_500));
    recorder.harness.send_request_with(conn, "help", None, false, 5);
    recorder.views();
    recorder.answer_next_call(reply_decoded);
    recorder.harness.advance(ms(1_500));
    recorder.end()
}

/// Failed attempts of every kind, and the resulting answers.
fn failed() -> String {
    let mut recorder = Recorder::new("failed", config());
    for (status, body) in [(429, "{}"), (500, "{}"), (409, r#"{"error":{"type":"no_state"}}"#)] {
        recorder.send_request("help", true);
        recorder.answer_next_call(Harness::reply_prefilled);
        recorder.answer_next_call(|harness, call| harness.reply(call.conn, status, body));
        recorder.harness.advance(ms(10));
        recorder.views();
        recorder.harness.advance(ms(5_000));
        recorder.releases();
        recorder.outputs();
        recorder.harness.calls.clear();
        recorder.harness.advance(ms(30_000));
    }
    recorder.send_request("report", true);
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.answer_next_call(lose_connection);
    recorder.harness.advance(ms(5_000));
    recorder.outputs();
    recorder.harness.calls.clear();
    recorder.harness.advance(ms(30_000));
    recorder.send_request("help", true);
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.answer_next_call(|harness, call| {
        harness.begin_stream(call.conn);
        harness.send_token(call.conn, "a");
        lose_connection(harness, call);
    });
    recorder.harness.advance(ms(1_000));
    recorder.end()
}

/// Requests that are rejected before they reach the policy, and requests that the policy rejects.
fn rejected() -> String {
    let mut recorder = Recorder::new("rejected", config());
    let conn = recorder.harness.client();
    recorder.clients.push(conn);
    recorder.harness.bytes(conn, b"POST /v1/messages HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
    recorder.harness.bytes(conn, b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n");
    recorder.harness.bytes(conn, b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n");
    recorder.harness.refused_ports.extend([1, 2, 3]);
    recorder.send_request("help", true);
    recorder.harness.advance(ms(5_000));
    recorder.harness.fail_connects = true;
    recorder.send_request("report", true);
    recorder.harness.advance(ms(5_000));
    let mut closes = Vec::new();
    recorder.harness.core.drain(recorder.harness.now, &mut closes);
    assert_eq!(closes.len(), 3, "idle clients are closed");
    let conn = recorder.harness.client();
    recorder.clients.push(conn);
    recorder.end()
}

/// A reservation at a prefill worker: released during an open attempt, not answered for, and finally given up.
fn released() -> String {
    let mut recorder = Recorder::new("released", config());
    recorder.send_request("report", true);
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.harness.refused_ports.extend([1]);
    recorder.harness.advance(ms(1_100));
    recorder.views();
    recorder.releases();
    recorder.harness.advance(ms(4_000));
    recorder.releases();
    recorder.harness.refused_ports.clear();
    recorder.outputs();
    let client = recorder.send_request("help", true);
    recorder.answer_next_call(Harness::reply_prefilled);
    recorder.harness.closed.insert(client);
    recorder.harness.input(Input::Lost(client));
    recorder.views();
    recorder.harness.advance(ms(400));
    for release in recorder.releases() {
        if !recorder.harness.closed.contains(&release.conn) {
            recorder.harness.reply(release.conn, 200, "{}");
        }
    }
    recorder.harness.advance(ms(3_000));
    recorder.end()
}

/// Changes from service discovery: applied, after a version gap, and malformed; and the loss of its connection.
fn discovered() -> String {
    let mut config = config();
    config.discovery = Some(DISCOVERY_ADDRESS.parse().unwrap());
    config.bounds.workers = 3;
    let mut recorder = Recorder::new("discovered", config);
    let discovery_call = recorder.harness.calls.remove(0);
    recorder.write_call(&discovery_call);
    recorder.harness.begin_stream(discovery_call.conn);
    send_discovery_event(
        &mut recorder.harness,
        discovery_call.conn,
        "snapshot",
        &list(5, &default_workers()),
    );
    recorder.views();
    let mut workers = vec![entry("write-1", "writer", 2, "draining"), entry("write-3", "writer", 4, "in")];
    workers[0]["weight"] = 2.5.into();
    workers[0]["started_unix_ms"] = 1_700_000_000_000_u64.into();
    send_discovery_event(&mut recorder.harness, discovery_call.conn, "change", &list(6, &workers));
    send_discovery_event(&mut recorder.harness, discovery_call.conn, "change", "{");
    send_discovery_event(
        &mut recorder.harness,
        discovery_call.conn,
        "change",
        &list(7, &[entry("w", "none", 9, "in")]),
    );
    send_discovery_event(
        &mut recorder.harness,
        discovery_call.conn,
        "change",
        &list(7, &[entry("write-2", "writer", 3, "out")]),
    );
    recorder.views();
    send_discovery_event(&mut recorder.harness, discovery_call.conn, "change", &list(9, &[]));
    let discovery_call = recorder.harness.calls.remove(0);
    recorder.harness.input(Input::Lost(discovery_call.conn));
    recorder.harness.advance(ms(2_000));
    recorder.end()
}

/// A stored endpoint list that is invalid at startup.
fn unreadable_list() -> String {
    let mut harness = Harness::with_stored_list(config(), Some("{"));
    harness.advance(ms(10));
    let unknown = list(3, &[entry("w", "none", 9, "in")]);
    let unknown = Harness::with_stored_list(config(), Some(&unknown));
    format!("# unreadable list\nnotes {:?} {:?}\n", harness.notes, unknown.notes)
}

#[test]
fn outputs_of_scripted_runs_match_the_recorded_text() {
    let parts = [served(), failed(), rejected(), released(), discovered(), unreadable_list()];
    let text = parts.concat();
    let recorded = include_str!("data/outputs.txt");
    for (n, (actual, expected)) in text.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(actual, expected, "line {} of data/outputs.txt", n + 1);
    }
    assert_eq!(text.lines().count(), recorded.lines().count());
}

#[test]
fn labels_of_outputs_match_the_recorded_names() {
    let ended = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Broken,
        RequestOutcome::ClientGone,
        RequestOutcome::ClientSlow,
        RequestOutcome::Stopped,
        RequestOutcome::Migrated,
        RequestOutcome::RejectedAtIntake,
        RequestOutcome::Overdue,
    ];
    let names = [
        "served",
        "refused",
        "failed",
        "broken",
        "client_gone",
        "client_slow",
        "stopped",
        "moved",
        "turned",
        "overdue",
    ];
    for (ended, name) in ended.iter().zip(names) {
        assert_eq!(ended.name(), name);
        assert_eq!(serde_json::to_string(ended).unwrap(), format!("\"{name}\""));
    }
    let changes = [
        (TransitionKind::AttemptEnded, "attempt_ended"),
        (TransitionKind::ReleasedDuringAttempt, "released_beside_attempt"),
        (TransitionKind::ReleaseRepeated, "release_repeated"),
        (TransitionKind::ReleaseProven, "release_proven"),
        (TransitionKind::ReleaseUnproven, "release_unproven"),
        (TransitionKind::Denied, "denied"),
        (TransitionKind::Violation, "violation"),
    ];
    for (change, name) in changes {
        assert_eq!(serde_json::to_string(&change).unwrap(), format!("\"{name}\""));
    }
    let violations = [
        (Violation::AnswerOverdue, "answer_overdue"),
        (Violation::EffectUnproven, "effect_unproven"),
        (Violation::ReservationOverdue, "held_overdue"),
    ];
    for (violation, name) in violations {
        assert_eq!(violation.name(), name);
        assert_eq!(serde_json::to_string(&violation).unwrap(), format!("\"{name}\""));
    }
}
