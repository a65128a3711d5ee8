//! Incremental decoder for one direction of a connection.

use crate::body::Body;
use crate::{head, Error, Head, Limits, Reason, StartLine};

/// Capacity of an idle connection's buffer.
const IDLE_BUFFER_BYTES: usize = 1_024;

/// Kind of the messages that are decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Requests, as a server receives them.
    Request,
    /// Responses, as a client receives them.
    Response,
}

/// A part of a message. Each message is one `Head`, any number of `Data` and one `End`, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Start line and headers.
    Head(Box<Head>),
    /// Bytes of the body, at least one.
    Data(Vec<u8>),
    /// End of the message.
    End,
}

/// Decodes the messages of one direction, independent of how their bytes are split.
///
/// The decoder buffers an incomplete head and pushed bytes that are not decoded yet. The caller should stop reading from
/// the connection while the buffer is above [`Limits::pipelined_bytes`] ([`Decoder::is_over_pipeline_limit`]).
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    buffer: Vec<u8>,
    /// Number of buffered bytes that are known not to contain the end of the head.
    scanned: usize,
    body: Option<Body>,
    closed: bool,
    failed: Option<Error>,
}

impl Decoder {
    /// Creates a decoder for a new connection.
    pub fn new(side: Side, limits: Limits) -> Self {
        Self { side, limits, buffer: Vec::new(), scanned: 0, body: None, closed: false, failed: None }
    }

    /// Appends bytes received from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            // The buffer is short-lived or small, and there may be hundreds: none holds more than it needs.
            self.buffer.reserve_exact(bytes.len());
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Notes that the peer has closed its side of the connection.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no byte of another message has arrived since the last [`Part::End`].
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.body.is_none()
    }

    /// Number of bytes that were pushed and not yet decoded.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer exceeds [`Limits::pipelined_bytes`], so that no more should be read until it is decoded.
    pub fn is_over_pipeline_limit(&self) -> bool {
        self.buffer.len() > self.limits.pipelined_bytes
    }

    /// Decodes the next part; `None` if more bytes are needed.
    ///
    /// # Errors
    /// The bytes are malformed or exceed the limits. Every later call returns the same error.
    pub fn next_part(&mut self) -> Result<Option<Part>, Error> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        match self.advance() {
            Ok(part) => Ok(part),
            Err(error) => self.fail(error),
        }
    }

    fn fail<T>(&mut self, error: Error) -> Result<T, Error> {
        self.failed = Some(error);
        self.buffer = Vec::new();
        Err(error)
    }

    fn advance(&mut self) -> Result<Option<Part>, Error> {
        loop {
            let Some(body) = &mut self.body else { return self.head() };
            match body.step(&self.buffer, &self.limits)? {
                Some(step) if step.done => {
                    self.body = None;
                    return Ok(Some(Part::End));
                }
                Some(step) => {
                    self.consume(step.used);
                    if let Some(data) = step.data {
                        return Ok(Some(Part::Data(data)));
                    }
                }
                None if !self.closed => return Ok(None),
                None if body.ends_at_close() => {
                    self.body = None;
                    return Ok(Some(Part::End));
                }
                None => return Err(Reason::Truncated.into()),
            }
        }
    }

    fn head(&mut self) -> Result<Option<Part>, Error> {
        loop {
            let Some(end) = head::find_end(&self.buffer, self.scanned, &self.limits)? else {
                self.scanned = self.buffer.len();
                if self.closed && !self.buffer.is_empty() {
                    return Err(Reason::Truncated.into());
                }
                return Ok(None);
            };
            let bytes = self.buffer.get(..end).unwrap_or_default();
            let (head, framing) = head::parse(bytes, self.side, &self.limits)?;
            self.consume(end);
            self.scanned = 0;
            // Interim responses are skipped. 101 (Switching Protocols) is an error, since no upgrade was requested.
            match head.start {
                StartLine::Response { status: 101 } => return Err(Reason::Malformed.into()),
                StartLine::Response { status: 100..=199 } => continue,
                _ => {}
            }
            self.body = Some(Body::new(framing));
            return Ok(Some(Part::Head(Box::new(head))));
        }
    }

    fn consume(&mut self, length: usize) {
        if length >= self.buffer.len() {
            // Shrinks the buffer, to bound the memory of idle connections.
            self.buffer.clear();
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        } else {
            self.buffer.drain(..length);
        }
    }
}
