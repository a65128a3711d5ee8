//! The incremental decoder of one direction of a connection.

use crate::body::Body;
use crate::{head, Error, Head, Limits, Reason, StartLine};

/// Capacity of the buffer that an idle connection keeps.
const IDLE_BUFFER_BYTES: usize = 1_024;

/// Which messages are decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Requests, as a server receives them.
    Request,
    /// Responses, as a client receives them.
    Response,
}

/// A part of a message, in order: one head, data, one end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A message begins.
    Head(Box<Head>),
    /// Bytes of its body, at least one.
    Data(Vec<u8>),
    /// The message is complete.
    End,
}

/// Decodes the messages of one direction, however their bytes are split.
///
/// Buffers at most one head, or what was pushed and not yet consumed: beyond [`Limits::pipelined_bytes`] the caller should
/// stop reading ([`Decoder::is_over_pipeline_limit`]).
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    buffer: Vec<u8>,
    /// Bytes of the buffer that were searched for the end of the head without finding it.
    scanned: usize,
    body: Option<Body>,
    closed: bool,
    failed: Option<Error>,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(side: Side, limits: Limits) -> Self {
        Self { side, limits, buffer: Vec::new(), scanned: 0, body: None, closed: false, failed: None }
    }

    /// Takes bytes from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The peer has closed its side.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no byte of a further message has arrived since the last [`Part::End`].
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.body.is_none()
    }

    /// Bytes that were pushed and not yet decoded.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether so many bytes wait after the current message that no more should be read until they are decoded.
    pub fn is_over_pipeline_limit(&self) -> bool {
        self.buffer.len() > self.limits.pipelined_bytes
    }

    /// The next part; none when more bytes are needed.
    ///
    /// # Errors
    /// The bytes are no message within the limits. From then on every call gives the same error.
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
            // Interim responses are skipped, but switching protocols was never requested.
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
            // An idle connection keeps a small buffer only.
            self.buffer.clear();
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        } else {
            self.buffer.drain(..length);
        }
    }
}
