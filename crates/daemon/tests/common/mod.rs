//! A running router and a scripted engine, over real sockets.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::indexing_slicing,
    missing_docs
)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

pub const EXE: &str = env!("CARGO_BIN_EXE_chalkyard");

pub fn chalkyard(args: &[&str]) -> Output {
    Command::new(EXE).args(args).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A folder for one test, fresh.
pub fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

pub fn settings(listen: SocketAddr, engine: SocketAddr, extra: &str) -> String {
    format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="{listen}" drain="3s" {extra}/>
  <kinds><kind name="mixed" role="mixed"/></kinds>
  <classes default="report"><class name="report" aim="1s" deadline="5s" effect="single-shot"/></classes>
  <engines><engine id="m1" kind="mixed" address="{engine}"/></engines>
</chalkyard>
"#
    )
}

pub struct Running {
    pub child: Child,
    pub at: SocketAddr,
    pub log: BufReader<std::process::ChildStderr>,
    /// What the log said before it was ready.
    pub before: Vec<String>,
}

impl Running {
    /// Starts a router; `limit` bounds its file descriptors.
    pub fn start(file: &Path, limit: Option<u32>, extra: &[&str]) -> Self {
        let mut command = match limit {
            Some(n) => {
                let mut c = Command::new("sh");
                c.args(["-c", &format!("ulimit -n {n}; exec \"$0\" \"$@\""), EXE]);
                c
            }
            None => Command::new(EXE),
        };
        command
            .arg("run")
            .arg(file)
            .args(extra)
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut before) = (String::new(), Vec::new());
        let ready = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "not ready: {before:?}");
            let read: serde_json::Value = serde_json::from_str(&line).expect(&line);
            if read["message"] == "ready" {
                break read;
            }
            before.push(line.clone());
        };
        let at = ready["at"].as_str().unwrap().parse().unwrap();
        Self { child, at, log, before }
    }

    pub fn connect(&self) -> TcpStream {
        let s = TcpStream::connect(self.at).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        s
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Log lines up to one that holds `what`.
    pub fn wait_log(&mut self, what: &str) -> serde_json::Value {
        let mut line = String::new();
        while self.log.read_line(&mut line).unwrap() > 0 {
            if line.contains(what) {
                return serde_json::from_str(&line).unwrap();
            }
            line.clear();
        }
        panic!("the log ended without {what}");
    }

    pub fn wait_end(&mut self) -> std::process::ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < Duration::from_secs(10), "still running");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn ask(stream: bool) -> Vec<u8> {
    let body = serde_json::json!({
        "model": "m", "stream": stream, "max_tokens": 5, "messages": [{"role": "user", "content": "hello"}],
    })
    .to_string();
    format!("POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Reads until `what` has come or the peer closes.
pub fn read_until(s: &mut TcpStream, what: &str) -> String {
    let (mut all, mut buffer) = (Vec::new(), [0; 4096]);
    while !text(&all).contains(what) {
        match s.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => all.extend_from_slice(&buffer[..n]),
        }
    }
    text(&all)
}

/// An engine that begins each answer and waits to be told to end it.
pub struct Engine {
    pub listener: TcpListener,
}

impl Engine {
    pub fn new() -> Self {
        Self { listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }

    pub fn at(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Takes one call and begins its answer.
    pub fn begin(&self) -> TcpStream {
        // Bounded: a router that never calls fails the test.
        self.listener.set_nonblocking(true).unwrap();
        let start = Instant::now();
        let mut s = loop {
            match self.listener.accept() {
                Ok((s, _)) => break s,
                Err(_) => assert!(start.elapsed() < Duration::from_secs(10), "no call came"),
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        s.set_nonblocking(false).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        read_until(&mut s, "\"max_tokens\"");
        s.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        .unwrap();
        chunk(&mut s, "data: {\"choices\":[{\"text\":\"hi\"}]}\n\n");
        s
    }

    pub fn end(s: &mut TcpStream) {
        chunk(s, "data: [DONE]\n\n");
        s.write_all(b"0\r\n\r\n").unwrap();
    }
}

fn chunk(s: &mut TcpStream, data: &str) {
    s.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).unwrap();
}
