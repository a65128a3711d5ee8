//! What the cases share: the record, child processes, HTTP on blocking sockets, stand-in engines and clients.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Result of a case: `Ok(true)` if the rule held, `Ok(false)` if it was broken, `Err` if the case could not run.
pub type Verdict = Result<bool, String>;

/// The record of a run: one line for each thing sent, answered or run, with its time in ms.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// What a case gets: the record, a temporary folder, the router's program, and whether the disruption is played.
pub struct Stage {
    pub record: Record,
    pub folder: PathBuf,
    pub program: PathBuf,
    pub trouble: bool,
}

impl Stage {
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }

    /// Starts the project's program; its log goes to `NAME.log` in the temporary folder.
    pub fn start(
        &self,
        name: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
    ) -> Result<Process, String> {
        let log = File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(&self.program)
            .args(arguments)
            .envs(environment.iter().copied())
            .current_dir(&self.folder)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        if let Ok(mut ids) = RUNNING.lock() {
            ids.push(child.id());
        }
        self.record.line(format!("start  {name}: chalkyard {}", arguments.join(" ")));
        Ok(Process { child, name: name.into(), record: self.record.clone() })
    }

    /// Starts `chalkyard run FILE` and waits until its log says that it is ready.
    pub fn start_router(&self, name: &str, file: &Path, take_over: bool) -> Result<Process, String> {
        let file = file.to_string_lossy().into_owned();
        let mut arguments = vec!["run"];
        if take_over {
            arguments.push("--take-over");
        }
        arguments.push(&file);
        let mut process = self.start(name, &arguments, &[])?;
        self.await_log(&mut process, "\"ready\"", Duration::from_secs(10))?;
        Ok(process)
    }

    /// Waits until the log of a process contains a text.
    pub fn await_log(&self, process: &mut Process, text: &str, most: Duration) -> Result<(), String> {
        let until = Instant::now() + most;
        let path = self.folder.join(format!("{}.log", process.name));
        while Instant::now() < until {
            if std::fs::read_to_string(&path).unwrap_or_default().contains(text) {
                self.record.line(format!("seen   {}: {text}", process.name));
                return Ok(());
            }
            if let Ok(Some(status)) = process.child.try_wait() {
                let log = std::fs::read_to_string(&path).unwrap_or_default();
                return Err(format!("{} has ended ({status}): {log}", process.name));
            }
            pause(20);
        }
        Err(format!("{}: no {text} in its log", process.name))
    }
}

/// Ids of the processes that run now, for a case that is given up.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that the case started and that have not ended.
pub fn kill_all() {
    let ids = RUNNING.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in ids {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// A process that the case started. It is killed when the case ends.
pub struct Process {
    child: Child,
    name: String,
    record: Record,
}

impl Process {
    /// Sends a signal by its name for kill(1), such as `TERM`.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        self.record.line(format!("signal {}: {signal}", self.name));
        let sent = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
        sent.map_err(|e| e.to_string()).map(drop)
    }

    /// Waits until the process has ended.
    pub fn await_end(&mut self, most: Duration) -> Result<(), String> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("ended  {}: {status}", self.name));
                if let Ok(mut ids) = RUNNING.lock() {
                    ids.retain(|id| *id != self.child.id());
                }
                return Ok(());
            }
            pause(20);
        }
        Err(format!("{} does not end", self.name))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut ids) = RUNNING.lock() {
            ids.retain(|id| *id != self.child.id());
        }
    }
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// A loopback address whose port is free now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// One HTTP message: its start line, its headers with names in lower case, and its body.
#[derive(Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads HTTP messages from a socket, whatever their framing.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// The socket, to write to.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.more()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads to the next CR LF, and returns the line without it.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.more()?;
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let data = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            while let Some(data) = self.chunk()? {
                message.body.extend(data);
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length)?;
        }
        Ok(())
    }
}

pub fn response(status: u16, fields: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The value of a number field in a JSON text.
pub fn number(json: &str, field: &str) -> Option<u64> {
    let at = json.find(&format!("\"{field}\":"))? + field.len() + 3;
    let digits: String = json[at..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Serves each connection of a new listener on a thread of its own, and returns its address.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || each(stream));
        }
    });
    Ok(address)
}

/// A call at a stand-in engine.
pub struct Call<'a> {
    pub engine: &'a str,
    pub message: &'a Message,
    pub stream: &'a mut TcpStream,
}

/// Starts a stand-in engine that answers the completion call with `answer`, and any other call with 200.
pub fn engine(
    name: &str,
    record: &Record,
    answer: impl Fn(&mut Call<'_>) -> io::Result<()> + Send + Sync + 'static,
) -> Result<SocketAddr, String> {
    let (name, record) = (name.to_owned(), record.clone());
    serve(move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(message) = reader.message() {
            let done = if message.start.starts_with("POST /v1/completions ") {
                record.line(format!(
                    "call   {name}: request {}, attempt {}, key {}",
                    message.header("x-request-id"),
                    message.header("x-attempt"),
                    message.header("idempotency-key"),
                ));
                answer(&mut Call { engine: &name, message: &message, stream: &mut stream })
            } else {
                stream.write_all(&response(200, "", "{}"))
            };
            if done.is_err() {
                return;
            }
        }
    })
}

impl Call<'_> {
    /// Streams an answer of so many tokens, the first after `first_ms` and each later one after `each_ms`.
    pub fn stream_answer(&mut self, text: &str, tokens: u64, first_ms: u64, each_ms: u64) -> io::Result<()> {
        self.stream_answer_until(text, tokens, first_ms, each_ms, &AtomicBool::new(false))
    }

    /// The same, but the connection is closed as soon as `ended` is set.
    pub fn stream_answer_until(
        &mut self,
        text: &str,
        tokens: u64,
        first_ms: u64,
        each_ms: u64,
        ended: &AtomicBool,
    ) -> io::Result<()> {
        pause(first_ms);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        for n in 0..tokens {
            if n > 0 {
                pause(each_ms);
            }
            if ended.load(Ordering::SeqCst) {
                let _ = self.stream.shutdown(Shutdown::Both);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let reason = if n + 1 == tokens { "\"stop\"" } else { "null" };
            bytes.extend(chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{reason}}}]}}\n\n"
            )));
            self.stream.write_all(&std::mem::take(&mut bytes))?;
        }
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{PROMPT_TOKENS},\"completion_tokens\":{tokens},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n"
        );
        let mut end = chunk(&usage);
        end.extend(chunk("data: [DONE]\n\n"));
        end.extend(b"0\r\n\r\n");
        self.stream.write_all(&end)
    }
}

/// Prompt tokens that the stand-in engines count.
pub const PROMPT_TOKENS: u64 = 8;

/// A request in the messages API.
pub struct Ask<'a> {
    pub bearer: &'a str,
    pub key: Option<&'a str>,
    pub class: &'a str,
    pub text: &'a str,
    pub max_tokens: u64,
    pub deadline_ms: Option<u64>,
    pub session: &'a str,
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let deadline = self.deadline_ms.map_or(String::new(), |ms| format!(",\"deadline_ms\":{ms}"));
        let body = format!(
            "{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}],\"max_tokens\":{},\"stream\":true,\"metadata\":{{\"class\":\"{}\",\"session\":\"{}\"{deadline}}}}}",
            self.text, self.max_tokens, self.class, self.session
        );
        let key = self.key.map_or(String::new(), |key| format!("Idempotency-Key: \"{key}\"\r\n"));
        format!(
            "POST /v1/messages HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {}\r\n{key}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.bearer,
            body.len()
        )
        .into_bytes()
    }
}

/// What a client saw of one answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    /// Names of the stream's events, or the body of an answer that is no stream.
    pub text: String,
    /// `closed` (the stream's last event), `broken`, `body`, or why there was no whole answer.
    pub end: String,
    pub ended_ms: u64,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.end == "closed"
    }

    pub fn describe(&self) -> String {
        let text = if self.status == 200 { "" } else { self.text.as_str() };
        format!("{} {} {text}", self.status, self.end)
    }
}

pub fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    Ok(stream)
}

/// Reads one answer from a router.
pub fn read_answer(reader: &mut Reader, record: &Record) -> Answer {
    let mut answer = Answer { status: 0, text: String::new(), end: String::new(), ended_ms: 0 };
    let read = (|| -> io::Result<()> {
        let mut message = reader.head()?;
        let status = message.start.split(' ').nth(1).and_then(|s| s.parse().ok());
        answer.status = status.unwrap_or(0);
        reader.body(&mut message)?;
        answer.text = message.text();
        let has = |name: &str| answer.text.contains(&format!("event: {name}"));
        answer.end = match (has("message.closed"), has("message.broken")) {
            (true, _) => "closed".into(),
            (_, true) => "broken".into(),
            _ => "body".into(),
        };
        Ok(())
    })();
    if let Err(error) = read {
        answer.end = format!("no whole answer: {error}");
    }
    answer.ended_ms = record.ms();
    answer
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(address: SocketAddr, ask: &Ask<'_>, name: &str, record: &Record) -> Answer {
    let sent = connect(address).and_then(|mut stream| {
        record.line(format!("sent   {name}"));
        stream.write_all(&ask.bytes()).map_err(|e| e.to_string()).map(|()| stream)
    });
    let answer = match sent {
        Ok(stream) => read_answer(&mut Reader::new(stream), record),
        Err(why) => Answer { status: 0, text: String::new(), end: why, ended_ms: record.ms() },
    };
    record.line(format!("answer {name}: {}", answer.describe()));
    answer
}

/// The key whose hash stands in the settings, and its hash under [`SALT`].
pub const KEY: &str = "example-key";
pub const KEY_HASH: &str = "39fe13e0bf950340857a4fbd9be7c32c105ffc710546947de0573092bf6b5710";
pub const SALT: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The platform's configuration of a router, with two classes and workers that do both stages.
pub fn platform_config(listen: SocketAddr, agent: SocketAddr, members: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
 "known":{{"revision":1,"complete":true,"members":[{members}]}},
 "settings":{{"balancers":1,"callers":{{"marks_retry":true}},
  "categories":[
   {{"deadline_s":5.0,"dedup_window_s":5.0,"goal_time_s":1.0,"group":"all","late_worth":0.3,"name":"sim-help","points":1.0,"repeat":"free","stream":true}},
   {{"deadline_s":15.0,"dedup_window_s":5.0,"goal_time_s":3.0,"group":"all","late_worth":0.3,"name":"report-submit","points":2.0,"repeat":"single_shot","stream":true}}],
  "dcs":["bern-dc1"],"discovery":"push","family":"twostage",
  "family_info":{{"ahead":false,"aim_us_per_1000_prompt_tokens":[40000.0,120000.0],"far_price":0.03,"kv_tokens":[238258,157610,267631],"release_s":1.0,"resume":false,"role_by_kind":["read","write","both"],"self_prefill":false,"token_aim_s":[0.06,0.08]}},
  "kinds":["prefill","decode","mixed"],
  "limits":{{"cancel":true,"conn_idle_s":30.0,"connect_timeout_s":0.25,"max_attempts":4,"max_open":20000,"max_retry_after_s":1.0,"may_probe":false,"may_tell":false,"parallel_tries":true,"retry_after":true}},
  "reporting":{{"fields":["load_share","depth","x0"],"how":"inline"}},
  "rules":{{"answer_slack_s":0.008,"cold_from":0.25,"cold_s":14.0,"drain_grace_s":0.25,"fall_multiple":4.0,"fall_s":1.5,"must_ask_in_s":10.0}},
  "tenants":[{{"allowance_per_s":1000.0,"fraction":1.0,"name":"canton-nord"}}],
  "tick_s":0.002,"tier":0,"tiers":["assist-fleet"],"weights":"off","zone":"bern-dc1"}}}}
"#
    )
}

/// An entry of the platform's list.
pub fn member(id: &str, address: SocketAddr, flavor: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"bern-dc1","flavor":"{flavor}","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A client's request on the platform.
pub fn chat(id: &str, class: &str, timeout_ms: u64, text: &str) -> Vec<u8> {
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Tenant-Id: canton-nord\r\nX-Route-Key: s{id}\r\nX-Timeout: {timeout_ms}m\r\nX-Attrs: prompt_len=200,prefix_len=0,max_out=8\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Waits until `GET /up` at a router's address is answered with 200.
pub fn await_up(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            if stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n").is_ok() {
                if let Ok(message) = Reader::new(stream).message() {
                    if message.start.contains(" 200 ") {
                        return Ok(());
                    }
                }
            }
        }
        pause(20);
    }
    Err("the router does not get ready".into())
}
