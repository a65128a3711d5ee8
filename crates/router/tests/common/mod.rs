//! A test harness that drives a core with virtual time, scripted peers, and bytes and events of connections alone.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

mod answers;
mod config;
pub mod day;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use chalkyard_policy::{Action, Event, Micros};
use chalkyard_proto::{encode, sse, Decoder, Limits, Part, Side, StartLine};
use chalkyard_router::*;

pub use self::config::*;

pub const START: Micros = Micros(1_700_000_000_000_000);
pub const DISCOVERY_ADDRESS: &str = "127.0.0.1:9";

pub const fn ms(n: u64) -> Micros {
    Micros(n * 1_000)
}

/// A complete call that the core has sent to a worker or to service discovery.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    pub at: Micros,
    pub conn: ConnId,
    pub port: u16,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: serde_json::Value,
}

impl Call {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }
}

pub type PolicyEvents = Arc<Mutex<Vec<(Micros, Event, Vec<Action>)>>>;

/// A core with its outputs recorded. Connections succeed and bytes are accepted unless a field says otherwise.
pub struct Harness {
    pub core: Core,
    pub now: Micros,
    pub ports: BTreeMap<ConnId, u16>,
    pub refused_ports: BTreeSet<u16>,
    pub closed: BTreeSet<ConnId>,
    pub paused: BTreeSet<ConnId>,
    pub finished: Vec<RequestRecord>,
    pub tallies: Vec<Tally>,
    pub notes: Vec<String>,
    pub transitions: Vec<Transition>,
    /// Records for the ledger.
    pub records: Vec<(u64, chalkyard_budget::Record)>,
    pub stored_list: Option<String>,
    pub policy_events: PolicyEvents,
    /// Calls that workers have received, oldest first, until a test takes them.
    pub calls: Vec<Call>,
    /// Whether every attempt to connect fails locally, as for want of file descriptors.
    pub fail_connects: bool,
    /// Connections with received bytes that the core has not read yet.
    pub with_unread_bytes: BTreeSet<ConnId>,
    /// Connections that are not established and accept no bytes.
    pub stalled: BTreeSet<ConnId>,
    decoders: BTreeMap<ConnId, Decoder>,
    heads: BTreeMap<ConnId, Box<chalkyard_proto::Head>>,
    answers: BTreeMap<ConnId, Vec<u8>>,
    next_client: u64,
}

impl Harness {
    pub fn new(config: Config, workers: &[serde_json::Value]) -> Self {
        let text = (!workers.is_empty()).then(|| list(0, workers));
        Self::with_stored_list(config, text.as_deref())
    }

    /// Starts a core with this text as its stored endpoint list.
    pub fn with_stored_list(config: Config, text: Option<&str>) -> Self {
        let mut core = Core::new(config, 7, START);
        let policy_events: PolicyEvents = Arc::default();
        let log = policy_events.clone();
        core.observe(Box::new(move |now, event, actions| {
            log.lock().unwrap().push((now, event.clone(), actions.to_vec()));
        }));
        let mut harness = Self {
            core,
            now: START,
            ports: BTreeMap::new(),
            refused_ports: BTreeSet::new(),
            closed: BTreeSet::new(),
            paused: BTreeSet::new(),
            finished: Vec::new(),
            tallies: Vec::new(),
            notes: Vec::new(),
            transitions: Vec::new(),
            records: Vec::new(),
            stored_list: None,
            policy_events,
            calls: Vec::new(),
            fail_connects: false,
            with_unread_bytes: BTreeSet::new(),
            stalled: BTreeSet::new(),
            decoders: BTreeMap::new(),
            heads: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_client: 2,
        };
        let mut out = Vec::new();
        harness.core.start(START, text, &mut out);
        harness.perform_outputs(out);
        harness
    }

    pub fn input(&mut self, input: Input<'_>) {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.perform_outputs(out);
    }

    /// Starts the drain and performs its outputs.
    pub fn drain(&mut self) {
        let mut out = Vec::new();
        self.core.drain(self.now, &mut out);
        self.perform_outputs(out);
    }

    /// Answers all that is open, as before the process ends.
    pub fn fail_open_requests(&mut self) {
        let mut out = Vec::new();
        self.core.fail_open_requests(self.now, &mut out);
        self.perform_outputs(out);
    }

    fn perform_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Connect(conn, address) => {
                    self.ports.insert(conn, address.port());
                    if self.fail_connects {
                        self.input(Input::NotStarted(conn));
                    } else if self.refused_ports.contains(&address.port()) {
                        self.input(Input::Lost(conn));
                    } else if !self.stalled.contains(&conn) {
                        self.input(Input::Connected(conn));
                    }
                }
                Output::Write(conn, bytes) => {
                    assert!(!self.closed.contains(&conn), "write to a closed connection");
                    if self.stalled.contains(&conn) {
                        continue;
                    }
                    if self.ports.contains_key(&conn) {
                        self.worker_bytes(conn, &bytes);
                    } else {
                        self.answers.entry(conn).or_default().extend_from_slice(&bytes);
                    }
                    self.input(Input::Wrote(conn, bytes.len()));
                }
                Output::Close(conn) | Output::CloseAnswered(conn) | Output::Abort(conn) => {
                    assert!(self.closed.insert(conn), "closed twice");
                }
                // The test passes the unread bytes to the core afterwards.
                Output::CloseIfQuiet(conn) if self.with_unread_bytes.contains(&conn) => {}
                Output::CloseIfQuiet(conn) => {
                    assert!(self.closed.insert(conn), "closed twice");
                    self.input(Input::Lost(conn));
                }
                Output::Pause(conn) => assert!(self.paused.insert(conn)),
                Output::Resume(conn) => assert!(self.paused.remove(&conn)),
                Output::StoreEndpointList(text) => self.stored_list = Some(text),
                Output::Finished(line) => self.finished.push(line.0),
                Output::Tally(tally) => self.tallies.push(*tally),
                Output::Transition(transition) => self.transitions.push(*transition),
                Output::Note(_, text) => self.notes.push(text),
                Output::Record(number, record) => self.records.push((number, *record)),
            }
        }
    }

    fn worker_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let decoder =
            self.decoders.entry(conn).or_insert_with(|| Decoder::new(Side::Request, Limits::default()));
        decoder.push(bytes);
        let mut body = Vec::new();
        while let Some(part) = decoder.next_part().expect("workers receive complete, well-formed calls") {
            match part {
                Part::Head(head) => {
                    self.heads.insert(conn, head);
                }
                Part::Data(data) => body.extend(data),
                Part::End => {
                    let head = self.heads.remove(&conn).unwrap();
                    let StartLine::Request { target, .. } = head.start else { panic!() };
                    let body = serde_json::from_slice(&std::mem::take(&mut body)).unwrap_or_default();
                    self.calls.push(Call {
                        at: self.now,
                        conn,
                        port: self.ports[&conn],
                        target,
                        headers: head.headers,
                        body,
                    });
                }
            }
        }
    }

    /// Advances the time, with a tick at each due time of a timer.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(due) = self.core.next_due().filter(|at| *at <= end) {
            self.now = self.now.max(due);
            self.input(Input::Tick);
        }
        self.now = end;
        self.input(Input::Tick);
    }

    /// Connects a client.
    pub fn client(&mut self) -> ConnId {
        let conn = ConnId(self.next_client);
        self.next_client += 2;
        self.input(Input::Accepted(conn));
        conn
    }

    pub fn bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.input(Input::Bytes(conn, bytes));
    }

    /// Sends a request on a client's connection, with an idempotency key if `key` is given and a prompt of about `tokens`
    /// tokens.
    pub fn send_request_with(
        &mut self,
        conn: ConnId,
        class: &str,
        key: Option<&str>,
        stream: bool,
        tokens: usize,
    ) {
        let text = "word ".repeat(tokens);
        let body = serde_json::json!({
            "model": "m", "messages": [{"role": "user", "content": text}], "max_tokens": 50, "stream": stream,
            "metadata": {"class": class},
        });
        let quoted = key.map(|k| format!("\"{k}\""));
        let mut fields = vec![("content-type", "application/json")];
        if let Some(k) = &quoted {
            fields.push(("idempotency-key", k));
        }
        let bytes = encode::request("POST", "/v1/messages", "h", &fields, body.to_string().as_bytes());
        self.bytes(conn, &bytes);
    }

    /// Sends a streamed request whose prompt is long enough to be prefilled at the prefill worker.
    pub fn send_request(&mut self, class: &str) -> ConnId {
        let conn = self.client();
        self.send_request_with(conn, class, None, true, 4_000);
        conn
    }

    /// Sends a request and answers its prefill. Returns the client and the decode call.
    pub fn start_decode(&mut self, class: &str) -> (ConnId, Call) {
        let client = self.send_request(class);
        let prefill = self.next_call();
        assert_eq!(prefill.port, 1);
        assert_eq!(prefill.body["kv_transfer_params"]["do_remote_decode"], true);
        self.reply_prefilled(&prefill);
        let decode = self.next_call();
        assert_ne!(decode.port, 1);
        (client, decode)
    }

    /// Takes the next completion call; panics if there is none.
    pub fn next_call(&mut self) -> Call {
        let at = self.calls.iter().position(|c| c.target == "/v1/completions");
        self.calls.remove(at.expect("a completion call"))
    }

    pub fn has_call(&self) -> bool {
        self.calls.iter().any(|c| c.target == "/v1/completions")
    }

    /// Takes all release calls.
    pub fn releases(&mut self) -> Vec<Call> {
        let (releases, rest) =
            std::mem::take(&mut self.calls).into_iter().partition(|c| c.target == "/v1/kv/release");
        self.calls = rest;
        releases
    }

    pub fn reply(&mut self, conn: ConnId, status: u16, body: &str) {
        let bytes = encode::response(status, &[("content-type", "application/json")], body.as_bytes(), true);
        self.bytes(conn, &bytes);
    }

    /// Answers a prefill call.
    pub fn reply_prefilled(&mut self, call: &Call) {
        let body = r#"{"usage":{"prompt_tokens":4000,"prompt_tokens_details":{"cached_tokens":64}},
            "kv_transfer_params":{"remote_engine_id":"read"}}"#;
        self.reply(call.conn, 200, body);
    }

    pub fn begin_stream(&mut self, conn: ConnId) {
        self.bytes(conn, &encode::chunked_head(200, &[("content-type", "text/event-stream")], true));
    }

    pub fn send_event(&mut self, conn: ConnId, data: &str) {
        let (mut event, mut bytes) = (Vec::new(), Vec::new());
        sse::write(&mut event, "", None, data);
        encode::chunk(&mut bytes, &event);
        self.bytes(conn, &bytes);
    }

    pub fn send_token(&mut self, conn: ConnId, text: &str) {
        self.send_event(conn, &serde_json::json!({"choices": [{"text": text}]}).to_string());
    }

    pub fn end_stream(&mut self, conn: ConnId) {
        self.send_event(conn, r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":2}}"#);
        self.send_event(conn, "[DONE]");
        self.bytes(conn, encode::LAST_CHUNK);
    }
}

/// A core with the default workers.
pub fn harness() -> Harness {
    Harness::new(config(), &default_workers())
}

/// Sends an event on the stream of service discovery.
pub fn send_discovery_event(harness: &mut Harness, conn: ConnId, name: &str, data: &str) {
    let (mut text, mut bytes) = (Vec::new(), Vec::new());
    sse::write(&mut text, name, None, data);
    encode::chunk(&mut bytes, &text);
    harness.bytes(conn, &bytes);
}
