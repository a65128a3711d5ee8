//! A hollow router: the real `Core` on the platform's protocol in fed time, without sockets. Its workers, discovery and
//! clients answer after fixed times and do no work; all of the router's own code runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Instant;

use chalkyard_platform::StartupConfig;
use chalkyard_policy::Micros;
use chalkyard_proto::encode;
use chalkyard_router::{ConnId, Core, Input, Output};
use hdrhistogram::Histogram;

use super::fixture::{configuration, list_text, member, members, DISCOVERY_PORT, FIRST_WORKER_PORT};
use super::size::{Size, ANSWER_TOKENS, REQUESTS_PER_S, TOKEN_US};
use super::tally::{AtWorker, Times};
use crate::Error;

/// Any time will do, as long as it is always the same.
const START: Micros = Micros(1_700_000_000_000_000);
/// To connect, to read a prompt, from the call to the first token.
const CONNECT: Micros = Micros(300);
const READ: Micros = Micros(300_000);
const FIRST: Micros = Micros(100_000);
/// Tokens of one event.
pub const EVENT_TOKENS: u64 = 4;
/// Clients wait so long for a first token, ms.
const TIMEOUT_MS: u64 = 4_800;
const PROMPT_TOKENS: u64 = 6_000;
/// Bytes of a body that is passed on: a fifth of a prompt's four a token, since its text is of no matter here.
const BODY_BYTES: usize = 4_800;

const FIRST_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh oqvh oqvh oqvh\"},\"finish_reason\":null}]}\n\n";
const LAST_EVENTS: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":6000,\"completion_tokens\":407,\
    \"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n: X-Server-Load: load_share=0.5\n\n";

/// The largest value of a histogram: ns of 10 s, µs of three hours.
const MOST_RECORDED: u64 = 10_000_000_000;

/// How many events an answer is told in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Events {
    /// As many as it has tokens, by [`EVENT_TOKENS`].
    All,
    /// A first and a last one: connections and calls are what is looked at.
    Ends,
}

/// What happens later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ask,
    Connected(ConnId),
    Parsed(ConnId),
    /// The next of an answer's events, of which so many are left.
    Event(ConnId, u64),
    NoNews(ConnId),
}

/// One hollow router.
pub struct HollowRouter {
    core: Core,
    now: Micros,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    order: u64,
    /// Connections to workers, and that to discovery.
    links: BTreeMap<ConnId, SocketAddr>,
    idle_clients: Vec<ConnId>,
    asked: u64,
    next_client: u64,
    name: u64,
    events: Events,
    readers: usize,
    revision: u64,
    members: Vec<serde_json::Value>,
    /// By worker.
    pub workers: Vec<AtWorker>,
    /// Of the chosen writers, how old what was known of them was, µs.
    pub ages: Histogram<u64>,
    pub times: Times,
    /// Bytes to and from discovery, calls there.
    pub discovery_bytes: u64,
    pub discovery_calls: u64,
    pub served: u64,
}

impl HollowRouter {
    /// Router `name` of a fleet of this size.
    pub fn new(size: &Size, name: u64, seed: u64, events: Events) -> Result<Self, Error> {
        let port = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let text = configuration(size, port(1), port(DISCOVERY_PORT)).to_string();
        let started = StartupConfig::parse(&text)?;
        let mut outputs = Vec::new();
        let mut core = Core::new(started.config, seed.wrapping_mul(1_000_003).wrapping_add(name), START);
        core.start(START, started.last_endpoint_list.as_deref(), &mut outputs);
        let histogram = || Histogram::<u64>::new_with_bounds(1, MOST_RECORDED, 3);
        let mut router = Self {
            core,
            now: START,
            steps: BinaryHeap::new(),
            order: 0,
            links: BTreeMap::new(),
            idle_clients: Vec::new(),
            asked: 0,
            next_client: 2,
            name,
            events,
            readers: size.readers(),
            revision: 1,
            members: members(size),
            workers: vec![AtWorker::default(); size.workers],
            ages: histogram()?,
            times: Times {
                request: histogram()?,
                event: histogram()?,
                parsed: histogram()?,
                change: histogram()?,
                whole_list: histogram()?,
            },
            discovery_bytes: 0,
            discovery_calls: 0,
            served: 0,
        };
        router.carry_out(outputs);
        // Out of step with the others.
        let pause = (1e6 / REQUESTS_PER_S) as u64;
        router.later(Micros(name * 7_919 % pause), Step::Ask);
        Ok(router)
    }

    fn later(&mut self, after: Micros, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((self.now + after, self.order, step)));
    }

    /// Goes on for a span of its time.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let step = self.steps.peek().map(|Reverse((at, ..))| *at);
            let due = self.core.next_due();
            let Some(next) = [step, due].into_iter().flatten().min().filter(|at| *at <= end) else { break };
            self.now = self.now.max(next);
            if step == Some(next) {
                if let Some(Reverse((_, _, step))) = self.steps.pop() {
                    self.take(step);
                }
            } else {
                self.feed(Input::Tick);
            }
        }
        self.now = end;
    }

    /// Feeds one input and carries out what comes of it; how long the core took, ns.
    fn feed(&mut self, input: Input<'_>) -> u64 {
        let mut outputs = Vec::new();
        let start = Instant::now();
        self.core.handle(self.now, input, &mut outputs);
        let took = start.elapsed().as_nanos() as u64;
        self.carry_out(outputs);
        took
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Connect(conn, address) => {
                    self.links.insert(conn, address);
                    if let Some(worker) = self.worker_mut(conn) {
                        worker.connects += 1;
                        worker.open += 1;
                    }
                    self.later(CONNECT, Step::Connected(conn));
                }
                Output::Write(conn, bytes) => {
                    self.written(conn, &bytes);
                    let taken = bytes.len();
                    self.feed(Input::Wrote(conn, taken));
                }
                Output::Close(conn) | Output::CloseAnswered(conn) | Output::Abort(conn) => self.closed(conn),
                Output::CloseIfQuiet(conn) => {
                    self.closed(conn);
                    self.feed(Input::Lost(conn));
                }
                _ => {}
            }
        }
    }

    fn closed(&mut self, conn: ConnId) {
        if let Some(worker) = self.worker_mut(conn) {
            worker.open -= 1;
        }
        self.links.remove(&conn);
        self.idle_clients.retain(|c| *c != conn);
    }

    /// The number of the worker that a connection leads to.
    fn worker_of(&self, conn: ConnId) -> Option<usize> {
        let port = self.links.get(&conn)?.port();
        port.checked_sub(FIRST_WORKER_PORT).map(usize::from)
    }

    fn worker_mut(&mut self, conn: ConnId) -> Option<&mut AtWorker> {
        let number = self.worker_of(conn)?;
        self.workers.get_mut(number)
    }

    fn written(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        if self.links.get(&conn).is_some_and(|at| at.port() == DISCOVERY_PORT) {
            self.discovery_calls += 1;
            self.discovery_bytes += bytes.len() as u64;
            return self.later(Micros(2_000_000), Step::NoNews(conn));
        }
        let Some(number) = self.worker_of(conn) else {
            // A client's: the end of its answer lets it ask again.
            if bytes.ends_with(encode::LAST_CHUNK) || bytes.starts_with(b"HTTP/1.1 5") {
                self.served += u64::from(bytes.ends_with(encode::LAST_CHUNK));
                self.idle_clients.push(conn);
            }
            return;
        };
        let is_release = bytes.starts_with(b"DELETE");
        let reads = number < self.readers;
        let Some(worker) = self.workers.get_mut(number) else { return };
        if is_release {
            worker.releases += 1;
            self.reply(conn, b"HTTP/1.1 204 No Content\r\n\r\n");
            return;
        }
        worker.calls += 1;
        if reads {
            return self.later(READ, Step::Parsed(conn));
        }
        // Of one that was never heard of, what is known is as old as the router.
        let age = now - worker.reported.unwrap_or(START);
        self.ages.saturating_record(age.0.max(1));
        let events = if self.events == Events::All { ANSWER_TOKENS / EVENT_TOKENS } else { 2 };
        self.later(FIRST, Step::Event(conn, events));
    }

    fn reply(&mut self, conn: ConnId, bytes: &[u8]) -> u64 {
        if !self.links.contains_key(&conn) {
            return 0;
        }
        self.feed(Input::Bytes(conn, bytes))
    }

    /// The worker reports its load: at a read's end in a header, at a stream's end in a comment.
    fn reported(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(worker) = self.worker_mut(conn) {
            worker.reported = Some(now);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Ask => self.ask(),
            Step::Connected(conn) => {
                if self.links.contains_key(&conn) {
                    self.feed(Input::Connected(conn));
                }
            }
            Step::Parsed(conn) => {
                self.reported(conn);
                let took = self.reply(
                    conn,
                    b"HTTP/1.1 202 Accepted\r\nContent-Length: 22\r\nX-Server-Load: load_share=0.5\r\n\r\n{\"cached_tokens\":4096}",
                );
                self.times.parsed.saturating_record(took);
            }
            Step::Event(conn, left) => self.event(conn, left),
            Step::NoNews(conn) => {
                let body = list_text(self.revision, false, &[]);
                self.answer_discovery(conn, &body);
            }
        }
    }

    fn event(&mut self, conn: ConnId, left: u64) {
        let all = if self.events == Events::All { ANSWER_TOKENS / EVENT_TOKENS } else { 2 };
        let mut bytes = Vec::new();
        if left == all {
            bytes.extend_from_slice(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
        }
        encode::chunk(&mut bytes, if left == 1 { LAST_EVENTS } else { FIRST_EVENT }.as_bytes());
        if left == 1 {
            bytes.extend_from_slice(encode::LAST_CHUNK);
        }
        if left == 1 {
            self.reported(conn);
        }
        let took = self.reply(conn, &bytes);
        if left > 1 {
            self.times.event.saturating_record(took);
            let pause = Micros(ANSWER_TOKENS * TOKEN_US / all);
            if self.links.contains_key(&conn) {
                self.later(pause, Step::Event(conn, left - 1));
            }
        }
    }

    fn ask(&mut self) {
        self.later(Micros((1e6 / REQUESTS_PER_S) as u64), Step::Ask);
        let conn = self.idle_clients.pop().unwrap_or_else(|| {
            let conn = ConnId(self.next_client);
            self.next_client += 2;
            self.feed(Input::Accepted(conn));
            conn
        });
        let id = format!("{:x}-{:x}", self.name, self.asked);
        self.asked += 1;
        let timeout = format!("{TIMEOUT_MS}m");
        let attributes = format!(
            "prefix=p{:04x},prompt_len={PROMPT_TOKENS},prefix_len=2048,max_out={ANSWER_TOKENS}",
            self.asked * 31 % 997
        );
        let tenant = format!("t{:06}", 0);
        let fields = [
            ("X-Request-ID", id.as_str()),
            ("X-Priority-Class", "chat"),
            ("X-Tenant-Id", tenant.as_str()),
            ("X-Route-Key", id.as_str()),
            ("X-Timeout", timeout.as_str()),
            ("X-Attrs", attributes.as_str()),
        ];
        let bytes = encode::request("POST", "/v1/chat/completions", "a", &fields, &[b' '; BODY_BYTES]);
        let took = self.feed(Input::Bytes(conn, &bytes));
        self.times.request.saturating_record(took);
    }

    fn answer_discovery(&mut self, conn: ConnId, body: &str) -> u64 {
        if !self.links.contains_key(&conn) {
            return 0;
        }
        let bytes = encode::response(200, &[], body.as_bytes(), true);
        self.discovery_bytes += bytes.len() as u64;
        self.feed(Input::Bytes(conn, &bytes))
    }

    fn discovery_link(&self) -> Option<ConnId> {
        self.links.iter().find(|(_, at)| at.port() == DISCOVERY_PORT).map(|(conn, _)| *conn)
    }

    /// Discovery tells of one worker that drains, and that it is back.
    pub fn list_change(&mut self, number: usize) {
        for phase in ["draining", "up"] {
            self.revision += 1;
            let body = list_text(self.revision, false, &[member(number, self.readers, phase)]);
            if let Some(conn) = self.discovery_link() {
                let took = self.answer_discovery(conn, &body);
                self.times.change.saturating_record(took);
            }
        }
    }

    /// Discovery tells the whole list.
    pub fn whole_list(&mut self) {
        self.revision += 1;
        let body = list_text(self.revision, true, &self.members);
        if let Some(conn) = self.discovery_link() {
            let took = self.answer_discovery(conn, &body);
            self.times.whole_list.saturating_record(took);
        }
    }

    /// Client connections and connections to workers that are open.
    pub fn connections(&self) -> (usize, usize) {
        (self.core.open_clients(), self.links.len())
    }

    /// Requests that are open.
    #[cfg(test)]
    pub fn open_requests(&self) -> usize {
        self.core.open_requests()
    }
}
