//! Message bodies: with a known length, chunked, or up to the close of the connection (RFC 9112, section 6).

use crate::{Error, Limits, Reason};

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Maximum length of a chunk's size line: sixteen digits and CR LF.
const CHUNK_SIZE_LINE_BYTES: usize = 18;
/// Maximum length of a trailer line, and of a size line with a chunk extension.
const EXTENDED_LINE_BYTES: usize = 512;
/// Maximum number of hexadecimal digits of a chunk size, for a 64-bit number.
const CHUNK_SIZE_DIGITS: usize = 16;
/// Maximum number of trailer lines of one message.
const MAX_TRAILERS: u32 = 16;
const CRLF: &[u8] = b"\r\n";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In a body with a known length, of which this many bytes remain.
    FixedLength(u64),
    /// Before the size line of a chunk.
    ChunkSize,
    /// In a chunk, of which this many bytes remain.
    Chunk(u64),
    /// Before the line end after a chunk.
    ChunkEnd,
    /// Before the empty line after the last chunk.
    LastLine,
    /// In the trailer lines, which end with an empty line; this many were skipped.
    Trailers(u32),
    UntilClose,
    Done,
}

/// Incremental parser of one body.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    /// Number of data bytes so far.
    received: u64,
}

/// The result of one parser step.
pub(crate) struct Step {
    /// Number of buffered bytes that the step consumed.
    pub used: usize,
    /// Body data among the consumed bytes.
    pub data: Option<Vec<u8>>,
    /// Whether the body has ended.
    pub done: bool,
}

impl Step {
    /// Creates a step over framing bytes, which carry no data.
    fn framing(used: usize) -> Self {
        Self { used, data: None, done: false }
    }

    fn data(data: Vec<u8>) -> Self {
        Self { used: data.len(), data: Some(data), done: false }
    }
}

impl Body {
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::FixedLength(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, received: 0 }
    }

    /// Whether the body ends when the peer closes the connection.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Parses the next step from the buffered bytes; `None` if more bytes are needed.
    pub fn step(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<Step>, Error> {
        if self.state == State::Done {
            return Ok(Some(Step { used: 0, data: None, done: true }));
        }
        if bytes.is_empty() {
            return Ok(None);
        }
        match self.state {
            State::FixedLength(remaining) => {
                let data = self.take_data(bytes, remaining, limits)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::Done } else { State::FixedLength(remaining) };
                Ok(Some(Step::data(data)))
            }
            State::UntilClose => Ok(Some(Step::data(self.take_data(bytes, u64::MAX, limits)?))),
            State::Chunk(remaining) => {
                let data = self.take_data(bytes, remaining, limits)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                Ok(Some(Step::data(data)))
            }
            State::ChunkSize => self.chunk_size(bytes, limits),
            State::ChunkEnd => self.line_end(bytes, State::ChunkSize, Reason::InvalidChunk),
            State::LastLine => self.line_end(bytes, State::Done, Reason::InvalidTrailers),
            State::Trailers(count) => self.trailer(bytes, count),
            State::Done => Ok(None),
        }
    }

    /// Parses the size line of a chunk.
    fn chunk_size(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<Step>, Error> {
        let max_bytes =
            if limits.allow_chunk_extensions { EXTENDED_LINE_BYTES } else { CHUNK_SIZE_LINE_BYTES };
        let Some(line) = take_line(bytes, max_bytes, Reason::InvalidChunk)? else { return Ok(None) };
        let digits = if limits.allow_chunk_extensions { strip_extension(line)? } else { line };
        let size = parse_chunk_size(digits)?;
        if size > limits.chunk_bytes {
            return Err(Reason::ChunkTooLong.into());
        }
        if self.received.saturating_add(size) > limits.body_bytes {
            return Err(Reason::BodyTooLong.into());
        }
        self.state = match size {
            0 if limits.allow_chunk_extensions => State::Trailers(0),
            0 => State::LastLine,
            size => State::Chunk(size),
        };
        Ok(Some(Step::framing(line.len() + CRLF.len())))
    }

    /// Expects CR LF and continues with the state `next`; other bytes are an error with `reason`.
    fn line_end(&mut self, bytes: &[u8], next: State, reason: Reason) -> Result<Option<Step>, Error> {
        if !CRLF.starts_with(bytes.get(..CRLF.len()).unwrap_or(bytes)) {
            return Err(reason.into());
        }
        if bytes.len() < CRLF.len() {
            return Ok(None);
        }
        self.state = next;
        Ok(Some(Step::framing(CRLF.len())))
    }

    /// Skips one trailer line, or ends the body at the empty line. `count` lines were skipped before.
    fn trailer(&mut self, bytes: &[u8], count: u32) -> Result<Option<Step>, Error> {
        let Some(line) = take_line(bytes, EXTENDED_LINE_BYTES, Reason::InvalidTrailers)? else {
            return Ok(None);
        };
        let has_name = line.iter().position(|b| *b == b':').is_some_and(|at| at > 0);
        self.state = match line {
            [] => State::Done,
            _ if has_name && is_printable(line) && count < MAX_TRAILERS => State::Trailers(count + 1),
            _ => return Err(Reason::InvalidTrailers.into()),
        };
        Ok(Some(Step::framing(line.len() + CRLF.len())))
    }

    /// Copies at most `remaining` bytes of data, and counts them towards the limit of the body's length.
    fn take_data(&mut self, bytes: &[u8], remaining: u64, limits: &Limits) -> Result<Vec<u8>, Error> {
        let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        self.received = self.received.saturating_add(length as u64);
        if self.received > limits.body_bytes {
            return Err(Reason::BodyTooLong.into());
        }
        Ok(bytes.get(..length).unwrap_or_default().to_vec())
    }
}

fn is_printable(line: &[u8]) -> bool {
    line.iter().all(|b| *b == b'\t' || !b.is_ascii_control())
}

fn parse_chunk_size(digits: &[u8]) -> Result<u64, Error> {
    let is_valid =
        (1..=CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_valid).ok_or(Reason::InvalidChunk)?;
    Ok(u64::from_str_radix(text, 16).map_err(|_| Reason::InvalidChunk)?)
}

/// Returns the digits of a size line without its chunk extension, which must be well-formed.
fn strip_extension(line: &[u8]) -> Result<&[u8], Error> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    if !is_printable(extension) || extension == b";" {
        return Err(Reason::InvalidChunk.into());
    }
    Ok(digits.trim_ascii_end())
}

/// Returns the first line without its CR LF; `None` if more bytes are needed. A line that is longer than `max_bytes`,
/// including CR LF, or that ends with LF alone, is an error with `reason`.
fn take_line(bytes: &[u8], max_bytes: usize, reason: Reason) -> Result<Option<&[u8]>, Error> {
    match bytes.iter().take(max_bytes).position(|b| *b == b'\n') {
        Some(end) => {
            let line = bytes.get(..end).and_then(|line| line.strip_suffix(b"\r"));
            line.map(Some).ok_or_else(|| reason.into())
        }
        None if bytes.len() >= max_bytes => Err(reason.into()),
        None => Ok(None),
    }
}
