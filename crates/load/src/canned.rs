//! Engines that answer at once: a read with its parameters, a write with as many events as `max_tokens`
//! asks for, all at once; from [`SINGLY`] on each event by itself, in turn with the other answers, as
//! tokens come in service. `max_tokens` 4096 begins an answer and never ends it.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use chalkyard_proto::{encode, sse, Decoder, Limits, Part, Side};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// An answer that stays open.
pub const OPEN: usize = 4_096;

/// Answers of this many events or more are sent event by event.
pub const SINGLY: usize = 100;
const WORD: &str = r#"{"choices":[{"index":0,"text":" word","finish_reason":null}]}"#;

/// Runs until it is killed.
pub fn run(listen: SocketAddr) -> io::Result<()> {
    serve(TcpListener::bind(listen)?)
}

struct Conn {
    stream: TcpStream,
    decoder: Decoder,
    body: Vec<u8>,
    out: Vec<u8>,
    /// Events still to be sent singly.
    left: usize,
}

/// The number after `"max_tokens":`.
fn max_tokens(body: &str) -> usize {
    let rest = body.split("\"max_tokens\":").nth(1).unwrap_or("");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(1)
}

fn push(out: &mut Vec<u8>, data: &str) {
    let mut text = Vec::new();
    sse::write(&mut text, "", None, data);
    encode::chunk(out, &text);
}

fn end(out: &mut Vec<u8>) {
    push(out, r#"{"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2}}"#);
    push(out, "[DONE]");
    out.extend_from_slice(encode::LAST_CHUNK);
}

/// The answer, or its beginning and the number of events that follow singly.
fn answer(body: &[u8]) -> (Vec<u8>, usize) {
    let text = String::from_utf8_lossy(body);
    if text.contains("\"do_remote_decode\":true") {
        let body = br#"{"usage":{"prompt_tokens":8,"completion_tokens":1},"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"read"}}"#;
        return (encode::response(200, &[("content-type", "application/json")], body, true), 0);
    }
    let tokens = max_tokens(&text);
    let mut out = encode::chunked_head(200, &[("content-type", "text/event-stream")], true);
    match tokens {
        OPEN => push(&mut out, WORD),
        SINGLY.. => return (out, tokens),
        _ => {
            (0..tokens).for_each(|_| push(&mut out, WORD));
            end(&mut out);
        }
    }
    (out, 0)
}

fn serve(mut listener: TcpListener) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1_024);
    poll.registry().register(&mut listener, Token(0), Interest::READABLE)?;
    let mut conns: BTreeMap<usize, Conn> = BTreeMap::new();
    let mut next = 1;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let wait = conns.values().any(|c| c.left > 0).then_some(Duration::ZERO);
        if let Err(e) = poll.poll(&mut events, wait) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
            continue;
        }
        for event in &events {
            let Token(key) = event.token();
            if key == 0 {
                while let Ok((mut stream, _)) = listener.accept() {
                    let _ = stream.set_nodelay(true);
                    let both = Interest::READABLE | Interest::WRITABLE;
                    poll.registry().register(&mut stream, Token(next), both)?;
                    let decoder = Decoder::new(Side::Request, Limits::default());
                    conns.insert(next, Conn { stream, decoder, body: Vec::new(), out: Vec::new(), left: 0 });
                    next += 1;
                }
                continue;
            }
            let Some(c) = conns.get_mut(&key) else { continue };
            if handle(c, &mut buffer).is_err() {
                conns.remove(&key);
            }
        }
        conns.retain(|_, c| c.left == 0 || one_more(c).is_ok());
    }
}

fn handle(c: &mut Conn, buffer: &mut [u8]) -> io::Result<()> {
    loop {
        match c.stream.read(buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => c.decoder.push(buffer.get(..n).unwrap_or_default()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    while let Some(part) = c.decoder.next_part().map_err(io::Error::other)? {
        match part {
            Part::Head(_) => c.body.clear(),
            Part::Data(data) => c.body.extend(data),
            Part::End => {
                let (bytes, left) = answer(&c.body);
                c.out.extend(bytes);
                c.left = left;
            }
        }
    }
    flush(c)
}

/// One more event of an answer that is sent singly; where the peer takes none, it waits.
fn one_more(c: &mut Conn) -> io::Result<()> {
    if c.out.is_empty() {
        push(&mut c.out, WORD);
        c.left -= 1;
        if c.left == 0 {
            end(&mut c.out);
        }
    }
    flush(c)
}

fn flush(c: &mut Conn) -> io::Result<()> {
    while !c.out.is_empty() {
        match c.stream.write(&c.out) {
            Ok(n) => drop(c.out.drain(..n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
