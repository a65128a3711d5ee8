//! What the drivers share: a small HTTP/1.1, the platform's discovery agent and workers as stand-ins, router processes.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Lines of the record, each with the milliseconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn say(&self, line: impl Into<String>) {
        let at = self.start.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:>10.3} {line}\n", *at as f64 / 1000.0)).collect();
        std::fs::write(file, text).unwrap();
    }
}

/// Deterministic random numbers.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    /// Time to the next of events that come at this rate.
    pub fn wait(&mut self, per_s: f64) -> Duration {
        Duration::from_secs_f64((-(1.0 - self.share()).ln() / per_s).min(5.0))
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Start line and headers of a message, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a told length; none is empty.
pub fn read_body(from: &mut BufReader<TcpStream>, head: &Head) -> std::io::Result<Vec<u8>> {
    let length = head.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Reads one chunk; empty is the last.
pub fn read_chunk(from: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let bad = || std::io::Error::new(std::io::ErrorKind::InvalidData, "chunk size");
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad())?;
    let mut data = vec![0; size + 2];
    from.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A free port of a loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A member of the list.
#[derive(Debug, Clone)]
pub struct Member {
    pub id: String,
    pub at: SocketAddr,
    pub flavor: String,
    pub cell: u32,
    pub phase: String,
    pub up_since_ms: u128,
}

impl Member {
    fn json(&self, zone: &str) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{zone}","flavor":"{}","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.at, self.flavor, self.cell, self.phase, self.up_since_ms
        )
    }
}

struct Listed {
    revision: u64,
    members: BTreeMap<String, (u64, Member)>,
    told: HashMap<(SocketAddr, u64), Instant>,
}

/// The discovery agent of the protocol page: `GET /discovery/hosts`, whole or as a watch.
pub struct Agent {
    pub at: SocketAddr,
    zone: String,
    listed: Mutex<Listed>,
    changed: Condvar,
    /// Each answer waits for this long before it is written.
    pub delay: Mutex<Duration>,
    pub record: Arc<Record>,
    pub name: String,
}

impl Agent {
    pub fn start(name: &str, zone: &str, members: Vec<Member>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let members = members.into_iter().map(|m| (m.id.clone(), (41, m))).collect();
        let agent = Arc::new(Self {
            at: listener.local_addr().unwrap(),
            zone: zone.into(),
            listed: Mutex::new(Listed { revision: 41, members, told: HashMap::new() }),
            changed: Condvar::new(),
            delay: Mutex::new(Duration::ZERO),
            record: record.clone(),
            name: name.into(),
        });
        let own = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = own.clone();
                thread::spawn(move || {
                    let _ = agent.serve(stream);
                });
            }
        });
        agent
    }

    pub fn json(&self) -> String {
        let listed = self.listed.lock().unwrap();
        self.text(&listed, None)
    }

    fn text(&self, listed: &Listed, after: Option<u64>) -> String {
        let members: Vec<String> = listed
            .members
            .values()
            .filter(|(revision, m)| after.map_or(m.phase != "removed", |after| *revision > after))
            .map(|(_, m)| m.json(&self.zone))
            .collect();
        format!(
            r#"{{"revision":{},"complete":{},"members":[{}]}}"#,
            listed.revision,
            after.is_none(),
            members.join(",")
        )
    }

    /// Changes or adds a member.
    pub fn set(&self, member: Member) {
        let mut listed = self.listed.lock().unwrap();
        listed.revision += 1;
        let revision = listed.revision;
        self.record.say(format!("{} has revision {revision}: {} is {}", self.name, member.id, member.phase));
        listed.members.insert(member.id.clone(), (revision, member));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(head) = read_head(&mut from)? {
            let query = head.target().split_once('?').map_or("", |(_, q)| q);
            let number = |name: &str| {
                query.split('&').find_map(|p| p.strip_prefix(name)).and_then(|v| v.parse::<u64>().ok())
            };
            let after = number("after=");
            let until = Instant::now() + ms(number("wait_ms=").unwrap_or(0).min(60_000));
            let mut listed = self.listed.lock().unwrap();
            while after.is_some_and(|after| listed.revision <= after) && Instant::now() < until {
                listed = self.changed.wait_timeout(listed, until - Instant::now()).unwrap().0;
            }
            drop(listed);
            let delay = *self.delay.lock().unwrap();
            thread::sleep(delay);
            let listed = self.listed.lock().unwrap();
            let body = self.text(&listed, after);
            drop(listed);
            write!(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    }
}

/// Notes the id of a process for `run.sh`, which ends it should this driver be cut off.
pub fn note_started(temp: &Path, child: Child) -> Child {
    let mut file = File::options().create(true).append(true).open(temp.join("pids")).unwrap();
    writeln!(file, "{}", child.id()).unwrap();
    child
}

/// By the shell's own `kill`.
pub fn send_signal(to: &Child, signal: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill {signal} {}", to.id())]).status();
}

/// Ends with the verdict, after all processes were waited for.
pub fn end(place: &Place, code: i32) -> ! {
    let _ = std::fs::remove_file(place.temp.join("pids"));
    std::process::exit(code);
}

/// A router process, started by the command of the deploy file.
pub struct Router {
    pub name: String,
    pub at: SocketAddr,
    pub child: Child,
    config: PathBuf,
    log: PathBuf,
    discovery: SocketAddr,
    root: PathBuf,
}

/// The `run` line of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find(|l| l.trim_start().starts_with("run ")).unwrap();
    let (_, rest) = line.split_once('"').unwrap();
    rest.rsplit_once('"').unwrap().0.to_owned()
}

pub fn router_config(name: &str, at: SocketAddr, discovery: SocketAddr, known: &str, settings: &str, seed: u64) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{at}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

impl Router {
    pub fn start(root: &Path, folder: &Path, name: &str, agent: &Agent, settings: &str, seed: u64) -> Self {
        let at = free_address();
        let config = folder.join(format!("{name}.json"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&config, router_config(name, at, agent.at, &agent.json(), settings, seed)).unwrap();
        let child = Self::spawn(root, &config, &log, name, at, agent.at);
        let router = Self {
            name: name.into(),
            at,
            child,
            config,
            log,
            discovery: agent.at,
            root: root.into(),
        };
        router.wait_up();
        router
    }

    fn spawn(root: &Path, config: &Path, log: &Path, name: &str, at: SocketAddr, discovery: SocketAddr) -> Child {
        let log = File::options().create(true).append(true).open(log).unwrap();
        Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("GW_NAME", name)
            .env("GW_LISTEN", at.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .map(|child| note_started(config.parent().unwrap(), child))
            .unwrap()
    }

    /// Starts again, at the same address and with the same file.
    pub fn start_again(&mut self) {
        self.child = Self::spawn(&self.root, &self.config, &self.log, &self.name, self.at, self.discovery);
        self.wait_up();
    }

    fn wait_up(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if is_up(self.at) {
                return;
            }
            thread::sleep(ms(20));
        }
        println!("{} is not up", self.name);
        std::process::exit(2);
    }

    pub fn signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }

    /// Replaces the file with one that names another address of discovery, and sends SIGHUP.
    pub fn move_discovery(&mut self, to: SocketAddr) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        let new = text.replace(
            &format!("\"discovery\":\"{}\"", self.discovery),
            &format!("\"discovery\":\"{to}\""),
        );
        assert_ne!(text, new);
        let beside = self.config.with_extension("new");
        std::fs::write(&beside, new).unwrap();
        std::fs::rename(beside, &self.config).unwrap();
        self.discovery = to;
        self.signal("-HUP");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether `GET /up` answers 200.
pub fn is_up(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, ms(300)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    if stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let mut from = BufReader::new(stream);
    matches!(read_head(&mut from), Ok(Some(head)) if head.status() == 200)
}

/// The folders that `run.sh` names: the root, a temporary folder, the case's folder; and whether there is trouble.
pub struct Place {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub case: PathBuf,
    pub trouble: bool,
}

pub fn place() -> Place {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let (root, temp, case) = (args.next().unwrap(), args.next().unwrap(), args.next().unwrap());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    Place { root, temp, case, trouble }
}

/// Settings of a site as the wire page's example has them, with what differs between sites.
pub struct Site {
    pub zone: &'static str,
    pub routers: u32,
    pub classes: &'static str,
    pub kinds: &'static str,
    pub roles: &'static str,
    pub release_s: f64,
    pub resume: bool,
    pub max_attempts: u32,
    pub drain_grace_s: f64,
    pub reports: bool,
    pub tenants: &'static str,
    pub rules: &'static str,
}

impl Site {
    pub fn json(&self) -> String {
        let (how, fields) = if self.reports { ("inline", r#"["load_share","depth","x0"]"#) } else { ("off", "[]") };
        format!(
            r#"{{"balancers":{},"callers":{{"marks_retry":true}},"categories":{},"dcs":["{}"],"discovery":"push","family":"twostage",
"family_info":{{"ahead":false,"aim_us_per_1000_prompt_tokens":[40000.0,120000.0],"far_price":0.03,"kv_tokens":[238258,157610,267631],
"release_s":{},"report_x0":"share of memory that is held","resume":{},"role_by_kind":{},"self_prefill":true,"token_aim_s":[0.06,0.08]}},
"kinds":{},"limits":{{"cancel":true,"conn_idle_s":30.0,"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
"max_attempts":{},"max_open":20000,"max_retry_after_s":1.0,"may_probe":false,"may_tell":false,"parallel_tries":false,"retry_after":true,"streams_per_conn":100}},
"me":0,"over_share_worth":0.2,"reporting":{{"fields":{fields},"how":"{how}"}},
"rules":{{"answer_slack_s":0.05,"drain_grace_s":{},{}}},
"tenants":{},"tick_s":0.002,"tier":0,"tiers":["fleet"],"value_by":"work","weights":"off","zone":"{}"}}"#,
            self.routers,
            self.classes,
            self.zone,
            self.release_s,
            self.resume,
            self.roles,
            self.kinds,
            self.max_attempts,
            self.drain_grace_s,
            self.rules,
            self.tenants,
            self.zone,
        )
    }
}

/// What a worker does in the way of trouble; without it, it is sound.
pub trait Trouble: Send + Sync {
    /// A second answer right behind a stream, so many milliseconds after its end.
    fn second_answer(&self) -> Option<Duration> {
        None
    }
    /// Time between two events.
    fn pace(&self, _worker: &str, _event: u32) -> Duration {
        ms(60)
    }
    /// Events of an answer, four tokens each.
    fn events(&self, _id: &str) -> u32 {
        15
    }
}

/// All workers of a site: what they hold, and what they did.
pub struct Fleet {
    pub record: Arc<Record>,
    pub held: Mutex<HashMap<String, String>>,
    /// Arrivals of requests: when, at which worker, of which id.
    pub arrivals: Mutex<Vec<(u128, String, String)>>,
    pub trouble: Box<dyn Trouble>,
}

fn event(worker: &str, id: &str, n: u32) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{worker}/{id}/{n} \"}},\"finish_reason\":null}}]}}\n\n")
}

fn last_events(events: u32) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"\"}},\"finish_reason\":\"stop\"}}]}}\n\n\
         data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":900,\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n\
         data: [DONE]\n\n",
        events * 4
    )
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn has_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let gone = matches!(stream.peek(&mut [0]), Ok(0)) ;
    let _ = stream.set_nonblocking(false);
    gone
}

impl Fleet {
    pub fn new(record: &Arc<Record>, trouble: Box<dyn Trouble>) -> Arc<Self> {
        Arc::new(Self { record: record.clone(), held: Mutex::default(), arrivals: Mutex::default(), trouble })
    }

    /// Starts a worker of a role: `read`, `write` or `both`.
    pub fn worker(self: &Arc<Self>, name: &str, role: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (fleet, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (fleet, name) = (fleet.clone(), name.clone());
                thread::spawn(move || {
                    let _ = fleet.serve(&name, role, stream);
                });
            }
        });
        at
    }

    fn serve(&self, name: &str, role: &str, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(head) = read_head(&mut from)? {
            read_body(&mut from, &head)?;
            if head.method() == "DELETE" {
                let id = head.target().rsplit('/').next().unwrap_or("");
                self.held.lock().unwrap().remove(id);
                out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
                continue;
            }
            let Some(id) = head.get("x-request-id").map(str::to_owned) else {
                out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.arrivals.lock().unwrap().push((self.record.now_ms(), name.into(), id.clone()));
            self.record.say(format!("{name} got {id}"));
            if role == "read" {
                thread::sleep(ms(60));
                if has_gone(&out) {
                    return Ok(());
                }
                self.held.lock().unwrap().insert(id.clone(), name.into());
                let body = r#"{"cached_tokens":0}"#;
                write!(out, "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nX-Server-Load: util=0.3,queue=0,x0=0.2\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                continue;
            }
            let has_state = self.held.lock().unwrap().remove(&id).is_some();
            thread::sleep(if has_state { ms(20) } else { ms(100) });
            if has_gone(&out) {
                return Ok(());
            }
            self.stream(name, &id, &mut out)?;
        }
        Ok(())
    }

    fn stream(&self, name: &str, id: &str, out: &mut TcpStream) -> std::io::Result<()> {
        let events = self.trouble.events(id);
        out.write_all((STREAM_HEAD.to_owned() + &chunk(&event(name, id, 0))).as_bytes())?;
        for n in 1..events {
            thread::sleep(self.trouble.pace(name, n));
            if let Err(error) = out.write_all(chunk(&event(name, id, n)).as_bytes()) {
                self.record.say(format!("{name} stopped {id} at event {n}: its connection has ended"));
                return Err(error);
            }
        }
        let load = ": X-Server-Load: util=0.3,queue=0,x0=0.2\n\n";
        out.write_all((chunk(&(last_events(events) + load)) + "0\r\n\r\n").as_bytes())?;
        self.record.say(format!("{name} ended {id}"));
        if let Some(late) = self.trouble.second_answer() {
            thread::sleep(late);
            let all: String = (0..events).map(|n| event(name, id, n)).collect();
            let again = STREAM_HEAD.to_owned() + &chunk(&(all + &last_events(events))) + "0\r\n\r\n";
            out.write_all(again.as_bytes())?;
            self.record.say(format!("{name} wrote a second answer to {id}, {} us behind the first", late.as_micros()));
        }
        Ok(())
    }
}

/// What a client got.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    /// Contents of the events, in order.
    pub pieces: Vec<String>,
    /// All of it came, its last chunk or its told length.
    pub whole: bool,
    /// Whether the connection may be used again.
    pub keep: bool,
    pub error: String,
}

impl Answer {
    /// Ids of requests that the contents name.
    pub fn ids(&self) -> Vec<&str> {
        let mut ids: Vec<&str> = self.pieces.iter().filter_map(|p| p.split('/').nth(1)).collect();
        ids.dedup();
        ids
    }
}

/// Reads an answer to its end; `each` is told of each piece.
pub fn read_answer(from: &mut BufReader<TcpStream>, mut each: impl FnMut(&str)) -> Answer {
    let mut answer = Answer::default();
    let head = match read_head(from) {
        Ok(Some(head)) => head,
        Ok(None) => {
            answer.error = "closed without an answer".into();
            return answer;
        }
        Err(error) => {
            answer.error = error.to_string();
            return answer;
        }
    };
    answer.status = head.status();
    answer.keep = !head.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    if head.get("transfer-encoding").is_none() {
        match read_body(from, &head) {
            Ok(_) => answer.whole = true,
            Err(error) => answer.error = error.to_string(),
        }
        return answer;
    }
    let mut text = String::new();
    loop {
        match read_chunk(from) {
            Ok(data) if data.is_empty() => {
                answer.whole = true;
                return answer;
            }
            Ok(data) => text.push_str(&String::from_utf8_lossy(&data)),
            Err(error) => {
                answer.error = error.to_string();
                return answer;
            }
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            if let Some((_, content)) = event.split_once("\"content\":\"") {
                let piece = content.split('"').next().unwrap_or("").to_owned();
                if !piece.is_empty() {
                    each(&piece);
                    answer.pieces.push(piece);
                }
            }
            text = rest.to_owned();
        }
    }
}

pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub session: String,
    pub timeout_ms: u64,
    pub prompt: usize,
}

impl Ask {
    pub fn bytes(&self) -> Vec<u8> {
        let text = "word".repeat(self.prompt);
        let body = format!(
            r#"{{"model":"chat","stream":true,"max_tokens":500,"messages":[{{"role":"user","content":"{text}"}}]}}"#
        );
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: {}\r\n\
             X-Route-Key: {}\r\nX-Timeout: {}m\r\nX-Attrs: prompt_len={},max_out=500\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id, self.class, self.tenant, self.session, self.timeout_ms, self.prompt, body.len()
        )
        .into_bytes()
    }
}
