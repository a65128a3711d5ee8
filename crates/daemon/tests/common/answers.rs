//! Reads the answers on one connection of a client, one after the other.

use std::io::Read;
use std::net::TcpStream;

/// The answers that a client gets on one connection, one after the other.
pub struct Answers {
    s: TcpStream,
    held: String,
}

impl Answers {
    pub fn on(s: &TcpStream) -> Self {
        Self { s: s.try_clone().unwrap(), held: String::new() }
    }

    /// The next answer: to the end of its last chunk, or of the length that it tells, or to the connection's end.
    pub fn next_answer(&mut self) -> String {
        let mut buffer = [0; 4_096];
        loop {
            if let Some(end) = answer_end(&self.held) {
                return self.held.drain(..end).collect();
            }
            match self.s.read(&mut buffer) {
                Ok(0) | Err(_) => return std::mem::take(&mut self.held),
                Ok(n) => self.held.push_str(&String::from_utf8_lossy(&buffer[..n])),
            }
        }
    }
}

/// Where the first answer of these bytes ends, if it is whole.
fn answer_end(held: &str) -> Option<usize> {
    const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
    let head = held.find("\r\n\r\n")? + 4;
    match held[..head].lines().find_map(|line| line.strip_prefix("content-length: ")) {
        Some(length) => Some(head + length.parse::<usize>().unwrap()).filter(|end| held.len() >= *end),
        None => held.find(LAST_CHUNK).map(|at| at + LAST_CHUNK.len()),
    }
}
