//! What operators, clients and engines read from a router, byte for byte: records of requests, transitions, tallies,
//! counters, views, notes, the stored endpoint list, answers and calls. The recorded text was written before any
//! renaming of the types behind it and does not follow one.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod common;

use std::fmt::Write as _;

use chalkyard_router::*;
use common::*;
use serde::Serialize;

/// Text collected from one router, one JSON value or one escaped line of bytes a line.
struct Recorder {
    y: Harness,
    text: String,
    finished: usize,
    transitions: usize,
    tallies: usize,
    notes: usize,
    clients: Vec<ConnId>,
}

impl Recorder {
    fn new(title: &str, config: Config) -> Self {
        let mut y = Harness::new(config, &usual());
        y.core.enable_tally();
        let text = format!("# {title}\n");
        Self { y, text, finished: 0, transitions: 0, tallies: 0, notes: 0, clients: Vec::new() }
    }

    fn line(&mut self, name: &str, value: &impl Serialize) {
        writeln!(self.text, "{name} {}", serde_json::to_string(value).unwrap()).unwrap();
    }

    fn views(&mut self) {
        let (counts, open, engines) =
            (self.y.core.status(), self.y.core.request_view(), self.y.core.worker_view());
        self.line("counts", &counts);
        self.line("open", &open);
        self.line("engines", &engines);
    }

    /// Records the next completion call, if there is one, and has its worker answer it.
    fn answer(&mut self, answer: impl FnOnce(&mut Harness, &Call)) {
        if !self.y.has_call() {
            self.text.push_str("no call\n");
            return;
        }
        let call = self.y.call();
        self.write_call(&call);
        answer(&mut self.y, &call);
    }

    fn releases(&mut self) -> Vec<Call> {
        let releases = self.y.releases();
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

    fn ask(&mut self, class: &str, stream: bool) -> ConnId {
        let conn = self.y.client();
        self.clients.push(conn);
        let key = format!("key-{}", self.clients.len());
        self.y.ask_with(conn, class, Some(&key), stream, 4_000);
        conn
    }

    /// Whatever has come since the last time.
    fn outputs(&mut self) {
        for record in self.y.finished.split_off(self.finished) {
            self.line("finished", &record);
        }
        for transition in self.y.transitions.split_off(self.transitions) {
            self.line("transition", &transition);
        }
        for tally in self.y.tallies.split_off(self.tallies) {
            self.line("tally", &tally);
        }
        for note in self.y.notes.split_off(self.notes) {
            writeln!(self.text, "note {note}").unwrap();
        }
    }

    fn end(mut self) -> String {
        self.outputs();
        for conn in std::mem::take(&mut self.clients) {
            let bytes = String::from_utf8_lossy(self.y.raw(conn)).escape_debug().to_string();
            writeln!(self.text, "answer {bytes}").unwrap();
        }
        let counters = self.y.core.counters().clone();
        self.line("counters", &counters);
        if let Some(list) = self.y.kept_list.take() {
            writeln!(self.text, "list {list}").unwrap();
        }
        self.text
    }
}

/// The whole answer of a worker that decodes.
fn answered(y: &mut Harness, call: &Call) {
    y.begin_stream(call.conn);
    y.token(call.conn, "a");
    y.end_stream(call.conn);
}

fn lost(y: &mut Harness, call: &Call) {
    y.closed.insert(call.conn);
    y.input(Input::Lost(call.conn));
}

/// A prefill, a transfer and a streamed answer, seen in each phase; and answers in one body.
fn served() -> String {
    let mut r = Recorder::new("served", config());
    r.ask("help", true);
    r.views();
    r.answer(Harness::parsed);
    r.views();
    let mut decode = None;
    r.answer(|y, call| {
        y.begin_stream(call.conn);
        y.advance(ms(7));
        y.token(call.conn, "a");
        decode = Some(call.conn);
    });
    r.views();
    r.y.end_stream(decode.unwrap());
    let conn = r.ask("report", false);
    r.answer(Harness::parsed);
    r.answer(answered);
    r.y.advance(ms(1_500));
    r.y.ask_with(conn, "help", None, false, 5);
    r.views();
    r.answer(answered);
    r.y.advance(ms(1_500));
    r.end()
}

/// Attempts of every failing kind, and what is answered for them.
fn failed() -> String {
    let mut r = Recorder::new("failed", config());
    for (status, body) in [(429, "{}"), (500, "{}"), (409, r#"{"error":{"type":"no_state"}}"#)] {
        r.ask("help", true);
        r.answer(Harness::parsed);
        r.answer(|y, call| y.reply(call.conn, status, body));
        r.y.advance(ms(10));
        r.views();
        r.y.advance(ms(5_000));
        r.releases();
        r.outputs();
        r.y.calls.clear();
        r.y.advance(ms(30_000));
    }
    r.ask("report", true);
    r.answer(Harness::parsed);
    r.answer(lost);
    r.y.advance(ms(5_000));
    r.outputs();
    r.y.calls.clear();
    r.y.advance(ms(30_000));
    r.ask("help", true);
    r.answer(Harness::parsed);
    r.answer(|y, call| {
        y.begin_stream(call.conn);
        y.token(call.conn, "a");
        lost(y, call);
    });
    r.y.advance(ms(1_000));
    r.end()
}

/// What is turned away before the decisions hear of it, and what they refuse.
fn rejected() -> String {
    let mut r = Recorder::new("rejected", config());
    let conn = r.y.client();
    r.clients.push(conn);
    r.y.bytes(conn, b"POST /v1/messages HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
    r.y.bytes(conn, b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n");
    r.y.bytes(conn, b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n");
    r.y.refused_ports.extend([1, 2, 3]);
    r.ask("help", true);
    r.y.advance(ms(5_000));
    r.y.unconnected = true;
    r.ask("report", true);
    r.y.advance(ms(5_000));
    let mut closes = Vec::new();
    r.y.core.drain(r.y.now, &mut closes);
    assert_eq!(closes.len(), 3, "idle clients are closed");
    let conn = r.y.client();
    r.clients.push(conn);
    r.end()
}

/// State that stays at its reader: released beside an open attempt, not answered for, and at last given up.
fn released() -> String {
    let mut r = Recorder::new("released", config());
    r.ask("report", true);
    r.answer(Harness::parsed);
    r.y.refused_ports.extend([1]);
    r.y.advance(ms(1_100));
    r.views();
    r.releases();
    r.y.advance(ms(4_000));
    r.releases();
    r.y.refused_ports.clear();
    r.outputs();
    let client = r.ask("help", true);
    r.answer(Harness::parsed);
    r.y.closed.insert(client);
    r.y.input(Input::Lost(client));
    r.views();
    r.y.advance(ms(400));
    for release in r.releases() {
        if !r.y.closed.contains(&release.conn) {
            r.y.reply(release.conn, 200, "{}");
        }
    }
    r.y.advance(ms(3_000));
    r.end()
}

/// News of the register: taken, past a gap, malformed; and its loss.
fn discovered() -> String {
    let mut config = config();
    config.discovery = Some(REGISTER.parse().unwrap());
    config.bounds.workers = 3;
    let mut r = Recorder::new("discovered", config);
    let watch = r.y.calls.remove(0);
    r.write_call(&watch);
    r.y.begin_stream(watch.conn);
    news(&mut r.y, watch.conn, "snapshot", &list(5, &usual()));
    r.views();
    let mut workers = vec![entry("write-1", "writer", 2, "draining"), entry("write-3", "writer", 4, "in")];
    workers[0]["weight"] = 2.5.into();
    workers[0]["started_unix_ms"] = 1_700_000_000_000_u64.into();
    news(&mut r.y, watch.conn, "change", &list(6, &workers));
    news(&mut r.y, watch.conn, "change", "{");
    news(&mut r.y, watch.conn, "change", &list(7, &[entry("w", "none", 9, "in")]));
    news(&mut r.y, watch.conn, "change", &list(7, &[entry("write-2", "writer", 3, "out")]));
    r.views();
    news(&mut r.y, watch.conn, "change", &list(9, &[]));
    let watch = r.y.calls.remove(0);
    r.y.input(Input::Lost(watch.conn));
    r.y.advance(ms(2_000));
    r.end()
}

/// A stored list that can't be read at the start.
fn unreadable_list() -> String {
    let mut y = Harness::with_stored_list(config(), Some("{"));
    y.advance(ms(10));
    let unknown = list(3, &[entry("w", "none", 9, "in")]);
    let unknown = Harness::with_stored_list(config(), Some(&unknown));
    format!("# unreadable list\nnotes {:?} {:?}\n", y.notes, unknown.notes)
}

#[test]
fn outputs_of_scripted_days_match_the_recorded_text() {
    let parts = [served(), failed(), rejected(), released(), discovered(), unreadable_list()];
    let text = parts.concat();
    let recorded = include_str!("data/outputs.txt");
    for (n, (now, then)) in text.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(now, then, "line {} of data/outputs.txt", n + 1);
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
