//! HTTP messages over a connection of a fake.

use std::io;

use chalkyard_proto::{Decoder, Head, Limits, Part, Side, StartLine};
use tokio::net::TcpStream;

/// A message that is whole; its body is not kept.
#[derive(Debug)]
pub struct Message {
    /// Its head.
    pub head: Box<Head>,
}

impl Message {
    /// A header's value; empty where there is none.
    pub fn field(&self, name: &str) -> &str {
        self.head.header(name).unwrap_or_default()
    }

    /// A request's method and target.
    pub fn request(&self) -> (&str, &str) {
        match &self.head.start {
            StartLine::Request { method, target } => (method, target),
            StartLine::Response { .. } => ("", ""),
        }
    }
}

/// Reads messages from one connection, however they are cut.
#[derive(Debug)]
pub struct Reader {
    decoder: Decoder,
    head: Option<Box<Head>>,
}

impl Reader {
    /// For requests, or for answers.
    pub fn new(side: Side) -> Self {
        let limits = Limits { body_bytes: 16 * 1024 * 1024, ..Limits::default() };
        Self { decoder: Decoder::new(side, limits), head: None }
    }

    /// The next message that is whole; none if more bytes are needed.
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

    /// The next part of a message.
    pub fn next_part(&mut self) -> io::Result<Option<Part>> {
        self.decoder.next_part().map_err(|e| io::Error::new(io::ErrorKind::InvalidData, format!("{e:?}")))
    }

    /// Reads what is there; false at the end of the connection.
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
