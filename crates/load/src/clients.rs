//! Clients: a closed loop that asks as fast as it is answered, or an open one at a set rate, whose times
//! count from the intended sending.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chalkyard_proto::{encode, Decoder, Limits, Part, Side};
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};

use crate::canned::OPEN;

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// A messages call to a router.
    Messages,
    /// The read and the write, one after the other, to an engine or through a relay.
    TwoExchanges,
    /// Only the write.
    OneExchange,
}

/// One measurement.
pub struct Plan {
    pub style: Style,
    /// Events of an answer.
    pub events: usize,
    /// Requests a second; none: a closed loop.
    pub rate: Option<f64>,
    pub seconds: u64,
    pub connections: usize,
}

/// What was measured.
pub struct Outcome {
    pub requests: u64,
    pub failed: u64,
    events: usize,
    elapsed: Duration,
    first: Histogram<u64>,
}

impl Outcome {
    pub fn rate(&self) -> f64 {
        self.requests as f64 / self.elapsed.as_secs_f64()
    }

    pub fn events_rate(&self) -> f64 {
        self.rate() * self.events as f64
    }

    /// p50 and p99 of the time to the first token, ms.
    pub fn first_ms(&self) -> (f64, f64) {
        let at = |q| self.first.value_at_quantile(q) as f64 / 1e3;
        (at(0.5), at(0.99))
    }
}

struct Conn {
    stream: TcpStream,
    decoder: Decoder,
    /// When the request was meant to be sent; none: idle.
    since: Option<Instant>,
    /// The read is out, the write comes next.
    reading: bool,
    first: bool,
    status: bool,
}

/// The clients' key, where a router asks for one.
pub const KEY: &str = "load-key";

fn messages(events: usize) -> Vec<u8> {
    let body = format!(
        r#"{{"model":"m","max_tokens":{events},"stream":true,"messages":[{{"role":"user","content":"{}"}}]}}"#,
        "word ".repeat(400)
    );
    let bearer = format!("Bearer {KEY}");
    let fields = [("content-type", "application/json"), ("authorization", bearer.as_str())];
    encode::request("POST", "/v1/messages", "load", &fields, body.as_bytes())
}

fn completion(events: usize, read: bool) -> Vec<u8> {
    let params = if read { r#""kv_transfer_params":{"do_remote_decode":true},"# } else { "" };
    let body = format!(r#"{{"model":"m",{params}"max_tokens":{events},"prompt":"{}"}}"#, "word ".repeat(400));
    encode::request(
        "POST",
        "/v1/completions",
        "load",
        &[("content-type", "application/json")],
        body.as_bytes(),
    )
}

fn send(c: &mut Conn, bytes: &[u8]) -> io::Result<()> {
    // Small next to a socket's buffer, and sent on an idle connection: taken whole or the run is void.
    match c.stream.write(bytes)? {
        n if n == bytes.len() => Ok(()),
        _ => Err(io::Error::other("a request was not taken whole")),
    }
}

fn open(at: SocketAddr, n: usize, poll: &Poll) -> io::Result<Vec<Conn>> {
    let mut conns = Vec::with_capacity(n);
    for key in 0..n {
        let stream = std::net::TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let mut stream = TcpStream::from_std(stream);
        poll.registry().register(&mut stream, Token(key), Interest::READABLE)?;
        let limits = Limits { body_bytes: u64::MAX, ..Limits::default() };
        let decoder = Decoder::new(Side::Response, limits);
        conns.push(Conn { stream, decoder, since: None, reading: false, first: false, status: false });
    }
    Ok(conns)
}

/// Runs one measurement.
pub fn run(at: SocketAddr, plan: &Plan) -> io::Result<Outcome> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1_024);
    let mut conns = open(at, plan.connections, &poll)?;
    let (read, write) = match plan.style {
        Style::Messages => (None, messages(plan.events)),
        Style::TwoExchanges => (Some(completion(plan.events, true)), completion(plan.events, false)),
        Style::OneExchange => (None, completion(plan.events, false)),
    };
    let first = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let mut out = Outcome { requests: 0, failed: 0, events: plan.events, elapsed: Duration::ZERO, first };
    let mut idle: VecDeque<usize> = (0..conns.len()).collect();
    let mut buffer = vec![0; 64 * 1024];
    let start = Instant::now();
    let end = start + Duration::from_secs(plan.seconds);
    let (mut sent, mut late) = (0_u64, false);
    loop {
        let now = Instant::now();
        if now >= end && (idle.len() == conns.len() || now >= end + Duration::from_secs(2)) {
            break;
        }
        // What is due is sent on an idle connection; what finds none waits, and its wait counts.
        while Instant::now() < end {
            let due = plan.rate.map(|r| start + Duration::from_secs_f64(sent as f64 / r));
            if due.is_some_and(|at| at > now) {
                break;
            }
            let Some(key) = idle.pop_front() else {
                late |= plan.rate.is_some();
                break;
            };
            if let Some(c) = conns.get_mut(key) {
                c.since = Some(due.unwrap_or(now));
                c.first = false;
                c.reading = read.is_some();
                send(c, read.as_ref().unwrap_or(&write))?;
                sent += 1;
            }
        }
        let wait = match plan.rate {
            Some(r) => {
                let next = start + Duration::from_secs_f64(sent as f64 / r);
                next.saturating_duration_since(now).min(Duration::from_millis(5))
            }
            None => Duration::from_millis(20),
        };
        // Under a millisecond the system would round up: spin instead, on a core of our own.
        let wait =
            if wait < Duration::from_millis(1) { Duration::ZERO } else { wait - Duration::from_millis(1) };
        poll.poll(&mut events, Some(wait))?;
        for event in &events {
            let Token(key) = event.token();
            let Some(c) = conns.get_mut(key) else { continue };
            take(c, &mut buffer, &write, &mut out, || idle.push_back(key))?;
        }
    }
    out.elapsed = Duration::from_secs(plan.seconds);
    if late {
        eprintln!("note: at this rate all {} connections were busy at times", plan.connections);
    }
    Ok(out)
}

fn take(
    c: &mut Conn,
    buffer: &mut [u8],
    write: &[u8],
    out: &mut Outcome,
    mut done: impl FnMut(),
) -> io::Result<()> {
    loop {
        match c.stream.read(buffer) {
            Ok(0) => return Err(io::Error::other("a connection was closed")),
            Ok(n) => c.decoder.push(buffer.get(..n).unwrap_or_default()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    while let Some(part) = c.decoder.next_part().map_err(io::Error::other)? {
        match part {
            Part::Head(head) => c.status = head.start == chalkyard_proto::StartLine::Response { status: 200 },
            Part::Data(_) if !c.reading && !c.first => {
                c.first = true;
                if let Some(since) = c.since {
                    out.first.saturating_record(since.elapsed().as_micros().max(1) as u64);
                }
            }
            Part::Data(_) => {}
            Part::End if c.reading => {
                c.reading = false;
                send(c, write)?;
            }
            Part::End => {
                c.since = None;
                if c.status {
                    out.requests += 1;
                } else {
                    out.failed += 1;
                }
                done();
            }
        }
    }
    Ok(())
}

/// Opens streams that never end, and waits until each has begun.
pub fn hold_open(at: SocketAddr, n: usize) -> io::Result<Vec<std::net::TcpStream>> {
    let request = messages(OPEN);
    let mut open = Vec::with_capacity(n);
    for _ in 0..n {
        let mut stream = std::net::TcpStream::connect(at)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(&request)?;
        let (mut all, mut buffer) = (Vec::new(), [0; 1_024]);
        while !all.windows(13).any(|w| w == b"message.delta") {
            match stream.read(&mut buffer)? {
                0 => return Err(io::Error::other("a stream was not begun")),
                n => all.extend_from_slice(buffer.get(..n).unwrap_or_default()),
            }
        }
        open.push(stream);
    }
    Ok(open)
}
