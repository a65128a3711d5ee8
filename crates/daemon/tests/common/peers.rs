//! The platform around one router process, driven by hand on loopback: discovery, workers, clients; and the means to
//! force an order: a router that is stopped while bytes, ends and resets arrive at it, and the system's word that they
//! have.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

/// Every wait for a condition has this bound.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `what` gives something; fails the test past the bound.
pub fn wait<T>(what: &str, mut until: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(got) = until() {
            return got;
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A loopback address of this test's own, so that no outgoing connection can have taken its port.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let ip =
        Ipv4Addr::new(127, 10 + (pid % 200) as u8, (pid / 200) as u8, NEXT.fetch_add(1, Ordering::SeqCst));
    SocketAddr::from((ip, 5000))
}

/// What the system's table of TCP sockets says of one.
struct SocketRow {
    state: u8,
    /// Bytes that the other side has not taken.
    unsent: u32,
    /// Bytes that have come and were not read.
    unread: u32,
}

/// The system's table of TCP sockets.
fn socket_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

fn socket_row(table: &str, local: SocketAddr, remote: SocketAddr) -> Option<SocketRow> {
    let hex = |at: SocketAddr| match at.ip() {
        std::net::IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from(ip).swap_bytes(), at.port()),
        std::net::IpAddr::V6(_) => panic!("IPv4 alone"),
    };
    let pair = format!(" {} {} ", hex(local), hex(remote));
    let row: Vec<&str> = table.lines().find(|l| l.contains(&pair))?.split_whitespace().collect();
    let (unsent, unread) = row[4].split_once(':').unwrap();
    let number = |text: &str| u32::from_str_radix(text, 16).unwrap();
    let state = u8::from_str_radix(row[3], 16).unwrap();
    Some(SocketRow { state, unsent: number(unsent), unread: number(unread) })
}

/// A socket's state, and the bytes that the other side has not taken.
fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<(u8, u32)> {
    socket_row(&socket_table(), local, remote).map(|row| (row.state, row.unsent))
}

/// Waits until all that was written to it is at the other machine's system.
pub fn arrived(s: &TcpStream) {
    // Ended by the other side meanwhile: nothing waits.
    let (Ok(local), Ok(remote)) = (s.local_addr(), s.peer_addr()) else { return };
    // No row: the connection has ended, and nothing waits any more.
    wait("bytes to arrive", || socket_state(local, remote).is_none_or(|(_, queue)| queue == 0).then_some(()));
}

/// Waits until the other process has read all that was written to it.
pub fn taken(s: &TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    wait("bytes to be read", || {
        let table = socket_table();
        let sent = socket_row(&table, local, remote).is_some_and(|row| row.unsent == 0);
        let read = socket_row(&table, remote, local).is_some_and(|row| row.unread == 0);
        (sent && read).then_some(())
    });
}

/// Closes our side, and waits until the other has been told.
pub fn fin(s: &TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    s.shutdown(Shutdown::Write).unwrap();
    // FIN_WAIT2: the end was acknowledged; CLOSE, TIME_WAIT or no row: both sides have ended.
    wait("an end to arrive", || match socket_state(local, remote) {
        Some((5..=7, _)) | None => Some(()),
        Some(_) => None,
    });
}

/// Resets the connection, and waits until the other side has been told.
pub fn reset(s: TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO)).unwrap();
    drop(s);
    wait("a reset to arrive", || socket_state(remote, local).is_none().then_some(()));
}

/// Discovery's agent, which a test turns silent, moves or feeds.
pub struct Agent {
    pub at: SocketAddr,
    told: Arc<Mutex<Told>>,
}

struct Told {
    revision: u64,
    /// The list as it is written, and for a call that asks for changes.
    whole: String,
    changes: Option<String>,
    silent: bool,
    calls: Vec<(Instant, String)>,
}

pub fn member(id: &str, flavor: &str, at: SocketAddr, phase: &str) -> serde_json::Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "hall", "flavor": flavor, "cell": 1, "phase": phase,
           "size": 1.0, "up_since_ms": 0})
}

impl Agent {
    pub fn new(members: &[serde_json::Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let whole = json!(members).to_string();
        let told = Told { revision: 41, whole, changes: None, silent: false, calls: Vec::new() };
        let (at, told) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(told)));
        let shared = told.clone();
        std::thread::spawn(move || {
            for s in listener.incoming() {
                let (Ok(s), told) = (s, shared.clone()) else { return };
                std::thread::spawn(move || Self::serve(s, &told));
            }
        });
        Self { at, told }
    }

    fn serve(s: TcpStream, told: &Mutex<Told>) {
        let mut peer = Peer::new(s);
        while let Some(call) = peer.call() {
            told.lock().unwrap().calls.push((Instant::now(), call.target.clone()));
            let number = |name: &str| {
                let at = call.target.find(name)? + name.len();
                call.target[at..].split('&').next()?.parse::<u64>().ok()
            };
            let (after, until) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
            let begun = Instant::now();
            let body = loop {
                let t = told.lock().unwrap();
                if t.silent {
                    // Never answered, and never closed.
                    drop(t);
                    std::thread::sleep(PATIENCE + PATIENCE);
                    return;
                }
                let revision = t.revision;
                match (after, &t.changes) {
                    (Some(after), Some(changes)) if after < revision => {
                        break format!(r#"{{"revision":{revision},"complete":false,"members":{changes}}}"#);
                    }
                    (Some(after), _) if after >= revision => {
                        if begun.elapsed() >= until {
                            break format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#);
                        }
                    }
                    _ => break format!(r#"{{"revision":{revision},"complete":true,"members":{}}}"#, t.whole),
                }
                drop(t);
                std::thread::sleep(Duration::from_millis(1));
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if peer.write(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    /// Tells another list; to calls for changes only `changes`, if there are any.
    pub fn tell(&self, members: &[serde_json::Value], changes: Option<&str>) {
        let mut t = self.told.lock().unwrap();
        t.revision += 1;
        (t.whole, t.changes) = (json!(members).to_string(), changes.map(str::to_owned));
    }

    pub fn silent(&self, silent: bool) {
        self.told.lock().unwrap().silent = silent;
    }

    /// Calls so far, oldest first.
    pub fn calls(&self) -> Vec<(Instant, String)> {
        self.told.lock().unwrap().calls.clone()
    }

    /// Waits for a call later than the first `n` that has this in its target.
    pub fn call_after(&self, n: usize, what: &str) -> (Instant, String) {
        wait("a call to discovery", || self.calls().into_iter().skip(n).find(|(_, t)| t.contains(what)))
    }

    /// Waits until the router holds what was told last: it asks for what comes after.
    pub fn heard(&self) {
        let after = format!("after={}&", self.told.lock().unwrap().revision);
        self.call_after(0, &after);
    }
}

/// A call that came to a stand-in.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub id: String,
    /// The time that it is told the router will wait.
    pub timeout: Option<Duration>,
}

impl Call {
    pub fn is_release(&self, id: &str) -> bool {
        self.method == "DELETE" && self.target.ends_with(id)
    }
}

/// One connection of the router to a stand-in.
pub struct Peer {
    pub s: TcpStream,
    held: Vec<u8>,
}

impl Peer {
    fn new(s: TcpStream) -> Self {
        s.set_nonblocking(false).unwrap();
        s.set_nodelay(true).unwrap();
        s.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { s, held: Vec::new() }
    }

    /// The next whole call; none once the router has ended the connection.
    pub fn call(&mut self) -> Option<Call> {
        let mut buffer = [0; 4096];
        loop {
            let text = String::from_utf8_lossy(&self.held).into_owned();
            if let Some(head) = text.find("\r\n\r\n") {
                let field = |name: &str| {
                    let lines = text[..head].lines().filter_map(|l| l.split_once(':'));
                    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
                    found.next().map(|(_, v)| v.trim().to_owned())
                };
                let length: usize = field("content-length").map_or(0, |l| l.parse().unwrap());
                if self.held.len() >= head + 4 + length {
                    self.held.drain(..head + 4 + length);
                    let mut start = text.split(' ').map(str::to_owned);
                    let (method, target) = (start.next().unwrap(), start.next().unwrap());
                    let id = field("x-request-id").unwrap_or_default();
                    let timeout = field("x-timeout")
                        .map(|told| Duration::from_micros(told.strip_suffix('u').unwrap().parse().unwrap()));
                    return Some(Call { at: Instant::now(), method, target, id, timeout });
                }
            }
            match self.s.read(&mut buffer) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.held.extend_from_slice(&buffer[..n]),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.s.write_all(bytes)
    }

    pub fn begin(&mut self) {
        self.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        .unwrap();
    }

    pub fn event(&mut self, text: &str) {
        self.write(&chunk(&event(text))).unwrap();
    }

    pub fn end(&mut self) {
        self.write(&[chunk(LAST), b"0\r\n\r\n".to_vec()].concat()).unwrap();
    }
}

const LAST: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":2,\
                    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";

pub fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n")
}

pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

pub const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
pub const READ: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";

/// A whole answer of a writer.
pub fn served() -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    [&head[..], &chunk(&event("hi")), &chunk(LAST), b"0\r\n\r\n"].concat()
}

/// A worker whose connections a test takes and answers by hand.
pub struct Worker {
    pub at: SocketAddr,
    pub listener: TcpListener,
}

impl Worker {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self { at: listener.local_addr().unwrap(), listener }
    }

    /// One that takes no connection: its queue of those that wait is full, and what comes more is dropped in silence, as
    /// by a machine that is cut off. They stand once the returned connections are taken.
    pub fn cut_off() -> (Self, Vec<TcpStream>) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        let at = listener.local_addr().unwrap();
        let mut fill = Vec::new();
        while let Ok(s) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) {
            fill.push(s);
            assert!(fill.len() < 64, "a queue that never fills");
        }
        (Self { at, listener }, fill)
    }

    pub fn try_accept(&self) -> Option<Peer> {
        self.listener.accept().ok().map(|(s, _)| Peer::new(s))
    }

    pub fn accept(&self) -> Peer {
        wait("a connection to a worker", || self.try_accept())
    }

    /// Answers every call by itself from now on; what came is kept.
    pub fn answer(self, with: impl Fn(&Call) -> Vec<u8> + Send + Sync + 'static) -> Answering {
        let (calls, with) = (Arc::new(Mutex::new(Vec::new())), Arc::new(with));
        let written = Arc::new(AtomicUsize::new(0));
        let (at, heard, counted) = (self.at, calls.clone(), written.clone());
        std::thread::spawn(move || loop {
            let Some(mut peer) = self.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (heard, with, counted) = (heard.clone(), with.clone(), counted.clone());
            std::thread::spawn(move || {
                while let Some(call) = peer.call() {
                    heard.lock().unwrap().push(call.clone());
                    if peer.write(&with(&call)).is_err() {
                        return;
                    }
                    arrived(&peer.s);
                    counted.fetch_add(1, Ordering::SeqCst);
                }
            });
        });
        Answering { at, calls, written }
    }
}

/// A worker that answers by itself.
pub struct Answering {
    pub at: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
    written: Arc<AtomicUsize>,
}

impl Answering {
    /// Answers that have arrived at the router's system.
    pub fn written(&self) -> usize {
        self.written.load(Ordering::SeqCst)
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Attempts that came under an id.
    pub fn attempts(&self, id: &str) -> Vec<Call> {
        self.calls().into_iter().filter(|c| c.method == "POST" && c.id == id).collect()
    }

    pub fn wait_attempts(&self, id: &str, n: usize) {
        wait("attempts", || (self.attempts(id).len() >= n).then_some(()));
    }
}

/// What a test's router is told.
pub struct Setting {
    pub sockets: u32,
    pub resume: bool,
    pub release_s: f64,
    pub connect_s: f64,
    pub max_attempts: u32,
}

impl Default for Setting {
    fn default() -> Self {
        Self { sockets: 256, resume: false, release_s: 1.0, connect_s: 0.25, max_attempts: 4 }
    }
}

/// A router process on the platform.
pub struct Router {
    pub child: Child,
    pub at: SocketAddr,
    folder: PathBuf,
    config: serde_json::Value,
    log: BufReader<std::process::ChildStderr>,
}

impl Router {
    pub fn start(name: &str, agent: &Agent, setting: &Setting) -> Self {
        let at = own_address();
        let class = |name: &str, repeat: &str| json!({"name": name, "goal_time_s": 1.0, "deadline_s": 5.0, "repeat": repeat, "group": "all", "stream": true});
        let whole = agent.told.lock().unwrap().whole.clone();
        let members: serde_json::Value = serde_json::from_str(&whole).unwrap();
        let config = json!({
            "name": "n1", "listen": at.to_string(), "discovery": agent.at.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": setting.sockets},
            "known": {"revision": 41, "complete": true, "members": members},
            "settings": {
                "balancers": 1, "categories": [class("chat", "free"), class("once", "single_shot")], "dcs": ["hall"],
                "discovery": "push", "kinds": ["reads", "writes", "both"],
                "reporting": {"how": "inline", "fields": ["load_share"]},
                "family_info": {"kv_tokens": [1e5, 1e5, 1e5], "release_s": setting.release_s, "resume": setting.resume,
                                "self_prefill": false, "role_by_kind": ["read", "write", "both"]},
                "limits": {"cancel": true, "max_attempts": setting.max_attempts, "retry_after": true,
                           "max_retry_after_s": 1.0, "conn_idle_s": 30.0, "connect_timeout_s": setting.connect_s},
                "rules": {"answer_slack_s": 0.05, "cold_from": 0.3, "cold_s": 8.0, "fall_multiple": 3.0, "fall_s": 2.0,
                          "must_ask_in_s": 10.0},
                "tenants": [{"name": "acme", "allowance_per_s": 1000.0}], "tick_s": 0.002, "weights": "off",
            },
        });
        let folder = super::folder(name);
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let (child, log) = Self::spawn(&file, setting.sockets);
        let mut router = Self { child, at, folder, config, log };
        router.wait_log("\"ready\"");
        router
    }

    /// At its true limit of descriptors.
    fn spawn(config: &Path, sockets: u32) -> (Child, BufReader<std::process::ChildStderr>) {
        let mut child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {sockets}; exec \"$0\" platform"), super::EXE])
            .env("GW_CONFIG", config)
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        (child, log)
    }

    /// Kills the process, which can say nothing more, and starts the next at the same address.
    pub fn kill_and_start_again(&mut self, setting: &Setting) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        (self.child, self.log) = Self::spawn(&self.folder.join("config.json"), setting.sockets);
        self.wait_log("\"ready\"");
    }

    /// Log lines up to one that holds `what`.
    pub fn wait_log(&mut self, what: &str) -> String {
        let mut line = String::new();
        while self.log.read_line(&mut line).unwrap() > 0 {
            if line.contains(what) {
                return line;
            }
            line.clear();
        }
        panic!("the log ended without {what}");
    }

    fn kill(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Stands still from its return on.
    pub fn stop(&self) {
        self.kill("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait("a stopped process", || {
            let text = std::fs::read_to_string(&stat).ok()?;
            text.rsplit_once(')')?.1.trim_start().starts_with('T').then_some(())
        });
    }

    pub fn go_on(&self) {
        self.kill("-CONT");
    }

    pub fn terminate(&self) {
        self.kill("-TERM");
    }

    pub fn hang_up(&self) {
        self.kill("-HUP");
    }

    /// Another configuration: as text, or with another address of discovery.
    pub fn write_config(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).unwrap();
    }

    pub fn config_at(&self, discovery: SocketAddr) -> String {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.to_string());
        config.to_string()
    }

    pub fn wait_end(&mut self) -> std::process::ExitStatus {
        let child = &mut self.child;
        wait("the process's end", || child.try_wait().unwrap())
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn connect(&self) -> TcpStream {
        let s = TcpStream::connect(self.at).unwrap();
        s.set_nodelay(true).unwrap();
        s.set_read_timeout(Some(PATIENCE)).unwrap();
        s
    }

    /// A client with one answered request behind it: one that the router knows, and may close.
    pub fn known_client(&self) -> TcpStream {
        let mut s = self.connect();
        s.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert!(super::read_until(&mut s, "ok\n").starts_with("HTTP/1.1 200"));
        s
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Only the process that this test has started; SIGKILL ends a stopped one too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's call of 20 tokens, or of as many as told.
pub fn ask(id: &str, class: &str, tokens: u64) -> Vec<u8> {
    let body = r#"{"model":"chat","stream":true,"max_tokens":800,"messages":[]}"#;
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nX-Route-Key: {id}\r\nX-Timeout: 4800m\r\nX-Attrs: prompt_len={tokens},max_out=800\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The same from a client that waits for so long.
pub fn ask_within(id: &str, class: &str, timeout: Duration) -> Vec<u8> {
    let call = String::from_utf8(ask(id, class, 20)).unwrap();
    call.replace("X-Timeout: 4800m", &format!("X-Timeout: {}m", timeout.as_millis())).into_bytes()
}

/// All that comes until the router ends the connection, and whether it was reset.
pub fn rest(s: &mut TcpStream) -> (String, bool) {
    let (mut all, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match s.read(&mut buffer) {
            Ok(0) => return (super::text(&all), false),
            Ok(n) => all.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (super::text(&all), true),
            Err(e) => panic!("neither an end nor a reset: {e}; {}", super::text(&all)),
        }
    }
}

/// Whether any connection to this address has been asked for and does not stand.
pub fn connecting_to(at: SocketAddr) -> bool {
    let port = format!(":{:04X}", at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    // SYN_SENT
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|r| r.len() > 4 && r[2].ends_with(&port) && r[3] == "02")
}

/// Bytes that one machine's system holds for the other of a connection.
pub fn unsent(local: SocketAddr, remote: SocketAddr) -> u32 {
    socket_state(local, remote).expect("an open connection").1
}
