//! A core driven by hand: virtual time, scripted peers, nothing but bytes and connections' fates.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

mod answers;
pub mod day;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_policy::{Action, Event, Micros};
use chalkyard_proto::{encode, sse, Decoder, Limits, Part, Side, StartLine};
use chalkyard_router::*;

pub const START: Micros = Micros(1_700_000_000_000_000);
pub const REGISTER: &str = "127.0.0.1:9";

pub const fn ms(n: u64) -> Micros {
    Micros(n * 1_000)
}

pub fn config() -> Config {
    let class = |effect| p::Class {
        latency_objective: ms(1_000),
        latency_objective_per_1000_tokens: ms(60),
        deadline: ms(4_000),
        retry_safety: effect,
        dedup_window: ms(3_000),
    };
    let kind = |role| WorkerKind { role, kv_tokens: Some(100_000) };
    Config {
        name: "r1".into(),
        policy: p::Settings {
            routers: 1,
            classes: vec![class(p::RetrySafety::Idempotent), class(p::RetrySafety::NonIdempotent)],
            tenants: vec![],
            discovery: p::Discovery::Push,
            max_poll_interval: ms(10_000),
            self_prefill: true,
            resume: false,
            reservation_timeout: ms(1_000),
            max_attempts: 4,
            may_cancel: true,
            max_retry_after: ms(1_000),
            overload_multiple: 3.0,
            overload_window: ms(2_000),
            slow_start_initial_share: 0.3,
            slow_start_duration: ms(8_000),
            answer_slack: ms(100),
            tick: ms(2),
            weighted: false,
            load_reporting: p::LoadReporting::InResponses,
        },
        classes: vec![ClassConfig { name: "help".into() }, ClassConfig { name: "report".into() }],
        default_class: 0,
        tenants: vec![],
        keys: KeyRing::new([0; 32]),
        zones: BTreeMap::new(),
        kinds: [("reader", p::Role::Prefill), ("writer", p::Role::Decode), ("mixed", p::Role::Combined)]
            .map(|(n, r)| (n.to_owned(), kind(r)))
            .into(),
        discovery: None,
        bounds: Bounds::default(),
        timeouts: Timeouts::default(),
        dialect: None,
    }
}

pub fn entry(id: &str, kind: &str, port: u16, state: &str) -> serde_json::Value {
    serde_json::json!({"worker": id, "kind": kind, "address": format!("127.0.0.1:{port}"), "state": state})
}

pub fn list(version: u64, workers: &[serde_json::Value]) -> String {
    serde_json::json!({ "version": version, "workers": workers }).to_string()
}

/// One reader at port 1, writers at 2 and 3.
pub fn usual() -> Vec<serde_json::Value> {
    vec![
        entry("read", "reader", 1, "in"),
        entry("write-1", "writer", 2, "in"),
        entry("write-2", "writer", 3, "in"),
    ]
}

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
    /// What the ledger was given.
    pub records: Vec<(u64, chalkyard_budget::Record)>,
    pub kept_list: Option<String>,
    pub policy_events: PolicyEvents,
    /// Calls that reached engines, oldest first, until taken.
    pub calls: Vec<Call>,
    /// No connection can be begun for want of descriptors.
    pub unconnected: bool,
    /// Connections on which bytes have come that were not read yet.
    pub with_unread_bytes: BTreeSet<ConnId>,
    /// Connections whose bytes the system does not take.
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

    /// One that starts with this text as the list of its last life.
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
            kept_list: None,
            policy_events,
            calls: Vec::new(),
            unconnected: false,
            with_unread_bytes: BTreeSet::new(),
            stalled: BTreeSet::new(),
            decoders: BTreeMap::new(),
            heads: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_client: 2,
        };
        let mut out = Vec::new();
        harness.core.start(START, text, &mut out);
        harness.carry_out(out);
        harness
    }

    pub fn input(&mut self, input: Input<'_>) {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Connect(conn, address) => {
                    self.ports.insert(conn, address.port());
                    if self.unconnected {
                        self.input(Input::NotStarted(conn));
                    } else if self.refused_ports.contains(&address.port()) {
                        self.input(Input::Lost(conn));
                    } else if !self.stalled.contains(&conn) {
                        self.input(Input::Connected(conn));
                    }
                }
                Output::Write(conn, bytes) => {
                    assert!(!self.closed.contains(&conn), "write on a closed connection");
                    if self.stalled.contains(&conn) {
                        continue;
                    }
                    if self.ports.contains_key(&conn) {
                        self.engine_bytes(conn, &bytes);
                    } else {
                        self.answers.entry(conn).or_default().extend_from_slice(&bytes);
                    }
                    self.input(Input::Wrote(conn, bytes.len()));
                }
                Output::Close(conn) | Output::CloseAnswered(conn) | Output::Abort(conn) => {
                    assert!(self.closed.insert(conn), "closed twice");
                }
                // Bytes that have come are found unread where a test says so; it feeds them then.
                Output::CloseIfQuiet(conn) if self.with_unread_bytes.contains(&conn) => {}
                Output::CloseIfQuiet(conn) => {
                    assert!(self.closed.insert(conn), "closed twice");
                    self.input(Input::Lost(conn));
                }
                Output::Pause(conn) => assert!(self.paused.insert(conn)),
                Output::Resume(conn) => assert!(self.paused.remove(&conn)),
                Output::StoreEndpointList(text) => self.kept_list = Some(text),
                Output::Finished(line) => self.finished.push(line.0),
                Output::Tally(tally) => self.tallies.push(*tally),
                Output::Transition(transition) => self.transitions.push(*transition),
                Output::Note(_, text) => self.notes.push(text),
                Output::Record(number, record) => self.records.push((number, *record)),
            }
        }
    }

    fn engine_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let d = self.decoders.entry(conn).or_insert_with(|| Decoder::new(Side::Request, Limits::default()));
        d.push(bytes);
        let mut body = Vec::new();
        while let Some(part) = d.next_part().expect("engines get whole, well-formed calls") {
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

    /// Lets time pass, with every timer at its due time.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(due) = self.core.next_due().filter(|at| *at <= end) {
            self.now = self.now.max(due);
            self.input(Input::Tick);
        }
        self.now = end;
        self.input(Input::Tick);
    }

    pub fn client(&mut self) -> ConnId {
        let conn = ConnId(self.next_client);
        self.next_client += 2;
        self.input(Input::Accepted(conn));
        conn
    }

    pub fn bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.input(Input::Bytes(conn, bytes));
    }

    pub fn ask_with(&mut self, conn: ConnId, class: &str, key: Option<&str>, stream: bool, tokens: usize) {
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

    /// A streamed request whose prompt is long enough to be read at a reader.
    pub fn ask(&mut self, class: &str) -> ConnId {
        let conn = self.client();
        self.ask_with(conn, class, None, true, 4_000);
        conn
    }

    /// A request that was read and is being pulled: its client, and the writer's call.
    pub fn pulling(&mut self, class: &str) -> (ConnId, Call) {
        let client = self.ask(class);
        let read = self.call();
        assert_eq!(read.port, 1);
        assert_eq!(read.body["kv_transfer_params"]["do_remote_decode"], true);
        self.parsed(&read);
        let pull = self.call();
        assert_ne!(pull.port, 1);
        (client, pull)
    }

    /// The next completion call; there must be one.
    pub fn call(&mut self) -> Call {
        let at = self.calls.iter().position(|c| c.target == "/v1/completions");
        self.calls.remove(at.expect("a completion call"))
    }

    pub fn has_call(&self) -> bool {
        self.calls.iter().any(|c| c.target == "/v1/completions")
    }

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

    pub fn parsed(&mut self, call: &Call) {
        let body = r#"{"usage":{"prompt_tokens":4000,"prompt_tokens_details":{"cached_tokens":64}},
            "kv_transfer_params":{"remote_engine_id":"read"}}"#;
        self.reply(call.conn, 200, body);
    }

    pub fn begin_stream(&mut self, conn: ConnId) {
        self.bytes(conn, &encode::chunked_head(200, &[("content-type", "text/event-stream")], true));
    }

    pub fn event(&mut self, conn: ConnId, data: &str) {
        let (mut event, mut bytes) = (Vec::new(), Vec::new());
        sse::write(&mut event, "", None, data);
        encode::chunk(&mut bytes, &event);
        self.bytes(conn, &bytes);
    }

    pub fn token(&mut self, conn: ConnId, text: &str) {
        self.event(conn, &serde_json::json!({"choices": [{"text": text}]}).to_string());
    }

    pub fn end_stream(&mut self, conn: ConnId) {
        self.event(conn, r#"{"choices":[],"usage":{"prompt_tokens":4000,"completion_tokens":2}}"#);
        self.event(conn, "[DONE]");
        self.bytes(conn, encode::LAST_CHUNK);
    }
}

/// A core on the usual workers.
pub fn harness() -> Harness {
    Harness::new(config(), &usual())
}

/// News of the register on its stream.
pub fn news(y: &mut Harness, conn: ConnId, name: &str, data: &str) {
    let (mut text, mut bytes) = (Vec::new(), Vec::new());
    sse::write(&mut text, name, None, data);
    encode::chunk(&mut bytes, &text);
    y.bytes(conn, &bytes);
}
