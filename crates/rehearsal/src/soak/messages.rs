//! HTTP messages on the connections of simulated workers, clients and agents.

use std::io;

use chalkyard_proto::{Decoder, Head, Limits, Part, Side, StartLine};
use tokio::net::TcpStream;

/// A complete message without its body.
#[derive(Debug)]
pub struct Message {
    /// Start line and headers.
    pub head: Box<Head>,
}

impl Message {
    /// The value of a header; empty if the header is missing.
    pub fn field(&self, name: &str) -> &str {
        self.head.header(name).unwrap_or_default()
    }

    /// The method and target of a request; empty for responses.
    pub fn request(&self) -> (&str, &str) {
        match &self.head.start {
            StartLine::Request { method, target } => (method, target),
            StartLine::Response { .. } => ("", ""),
        }
    }
}

/// Decodes messages from one connection, independent of how the bytes are split into reads.
#[derive(Debug)]
pub struct Reader {
    decoder: Decoder,
    head: Option<Box<Head>>,
}

impl Reader {
    /// Creates a reader of requests or of responses.
    pub fn new(side: Side) -> Self {
        let limits = Limits { body_bytes: 16 * 1024 * 1024, ..Limits::default() };
        Self { decoder: Decoder::new(side, limits), head: None }
    }

    /// Returns the next complete message; `None` if more bytes are needed.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        while let Some(part) = self.next_part()? {
            match part {
                Part::Head(head) => self.head = Some(head),
                Part::Data(_) => {}
                Part::End => return Ok(self.head.take().map(|head| Message { head })),
            }
        }
        Ok(None)
    }

    /// Returns the next part of a message; `None` if more bytes are needed.
    pub fn next_part(&mut self) -> io::Result<Option<Part>> {
        self.decoder.next_part().map_err(|e| io::Error::new(io::ErrorKind::InvalidData, format!("{e:?}")))
    }

    /// Waits for bytes and passes them to the decoder; returns false at the end of the connection.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<bool> {
        let mut buffer = [0; 8 * 1024];
        loop {
            stream.readable().await?;
            match stream.try_read(&mut buffer) {
                Ok(0) => return Ok(false),
                Ok(n) => {
                    self.decoder.push(buffer.get(..n).unwrap_or_default());
                    return Ok(true);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}
