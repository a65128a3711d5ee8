//! The baseline: bytes of each connection to one engine and back, on mio, and nothing else.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

struct Side {
    stream: TcpStream,
    other: usize,
    out: Vec<u8>,
}

/// Runs until it is killed.
pub fn run(listen: SocketAddr, engine: SocketAddr) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1_024);
    let mut listener = TcpListener::bind(listen)?;
    poll.registry().register(&mut listener, Token(0), Interest::READABLE)?;
    let mut sides: BTreeMap<usize, Side> = BTreeMap::new();
    let mut next = 1;
    let mut buffer = vec![0; 16 * 1024];
    let both = Interest::READABLE | Interest::WRITABLE;
    loop {
        if let Err(e) = poll.poll(&mut events, None) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
            continue;
        }
        for event in &events {
            let Token(key) = event.token();
            if key == 0 {
                while let Ok((mut client, _)) = listener.accept() {
                    let mut up = TcpStream::connect(engine)?;
                    let _ = (client.set_nodelay(true), up.set_nodelay(true));
                    poll.registry().register(&mut client, Token(next), both)?;
                    poll.registry().register(&mut up, Token(next + 1), both)?;
                    sides.insert(next, Side { stream: client, other: next + 1, out: Vec::new() });
                    sides.insert(next + 1, Side { stream: up, other: next, out: Vec::new() });
                    next += 2;
                }
                continue;
            }
            let mut closed = false;
            if event.is_writable() {
                closed |= sides.get_mut(&key).is_some_and(|s| flush(s).is_err());
            }
            while event.is_readable() && !closed {
                let Some(side) = sides.get_mut(&key) else { break };
                let other = side.other;
                match side.stream.read(&mut buffer) {
                    Ok(0) => closed = true,
                    Ok(n) => {
                        if let Some(to) = sides.get_mut(&other) {
                            to.out.extend_from_slice(buffer.get(..n).unwrap_or_default());
                            closed |= flush(to).is_err();
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => closed = true,
                }
            }
            if closed {
                if let Some(side) = sides.remove(&key) {
                    sides.remove(&side.other);
                }
            }
        }
    }
}

fn flush(side: &mut Side) -> io::Result<()> {
    while !side.out.is_empty() {
        match side.stream.write(&side.out) {
            Ok(n) => drop(side.out.drain(..n)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                return Ok(())
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
