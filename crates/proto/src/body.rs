//! Message bodies: by length, chunked, or until the peer closes (RFC 9112, section 6).

use crate::{Error, Limits, Reason};

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Longest size line of a chunk: sixteen digits and CR LF.
const CHUNK_SIZE_LINE_BYTES: usize = 18;
/// Longest size line with a chunk extension, and longest trailer line.
const EXTENDED_LINE_BYTES: usize = 512;
/// Most digits of a chunk's size: those of a 64-bit number.
const CHUNK_SIZE_DIGITS: usize = 16;
/// Most trailer lines of one message.
const MAX_TRAILERS: u32 = 16;
const CRLF: &[u8] = b"\r\n";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// This many bytes remain of a body with a known length.
    Plain(u64),
    /// The size line of a chunk is next.
    ChunkSize,
    /// This many bytes remain of a chunk.
    Chunk(u64),
    /// The line end after a chunk is next.
    ChunkEnd,
    /// The empty line after the last chunk is next.
    LastLine,
    /// Trailer lines up to an empty one; this many were read.
    Trailers(u32),
    UntilClose,
    Done,
}

/// Reads one body.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    /// Bytes of data so far.
    received: u64,
}

/// The result of one step over the buffer.
pub(crate) struct Step {
    /// Bytes of the buffer that the step consumed.
    pub used: usize,
    /// Body data among them.
    pub data: Option<Vec<u8>>,
    /// The body has ended.
    pub done: bool,
}

impl Step {
    /// A step over framing bytes that carry no data.
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
            Framing::Length(length) => State::Plain(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, received: 0 }
    }

    /// Whether the body is complete once the peer closes.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Takes one step over the buffered bytes; none when more are needed.
    pub fn step(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<Step>, Error> {
        if self.state == State::Done {
            return Ok(Some(Step { used: 0, data: None, done: true }));
        }
        if bytes.is_empty() {
            return Ok(None);
        }
        match self.state {
            State::Plain(remaining) => {
                let data = self.take_data(bytes, remaining, limits)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::Done } else { State::Plain(remaining) };
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
            State::ChunkEnd => self.line_end(bytes, State::ChunkSize, Reason::BadChunk),
            State::LastLine => self.line_end(bytes, State::Done, Reason::Trailers),
            State::Trailers(count) => self.trailer(bytes, count),
            State::Done => Ok(None),
        }
    }

    /// Reads the size line of a chunk.
    fn chunk_size(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<Step>, Error> {
        let max_bytes =
            if limits.allow_chunk_extensions { EXTENDED_LINE_BYTES } else { CHUNK_SIZE_LINE_BYTES };
        let Some(line) = take_line(bytes, max_bytes, Reason::BadChunk)? else { return Ok(None) };
        let digits = if limits.allow_chunk_extensions { without_extension(line)? } else { line };
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

    /// Reads CR LF and goes on to `next`; anything else is refused with `reason`.
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

    /// Skips one trailer line, or ends the body at the empty line; `count` lines were skipped before.
    fn trailer(&mut self, bytes: &[u8], count: u32) -> Result<Option<Step>, Error> {
        let Some(line) = take_line(bytes, EXTENDED_LINE_BYTES, Reason::Trailers)? else { return Ok(None) };
        let has_name = line.iter().position(|b| *b == b':').is_some_and(|at| at > 0);
        self.state = match line {
            [] => State::Done,
            _ if has_name && is_printable(line) && count < MAX_TRAILERS => State::Trailers(count + 1),
            _ => return Err(Reason::Trailers.into()),
        };
        Ok(Some(Step::framing(line.len() + CRLF.len())))
    }

    /// Copies at most `remaining` bytes of data, and counts them against the limit.
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
    let is_plain =
        (1..=CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_plain).ok_or(Reason::BadChunk)?;
    Ok(u64::from_str_radix(text, 16).map_err(|_| Reason::BadChunk)?)
}

/// The digits of a size line, in front of a well-formed extension.
fn without_extension(line: &[u8]) -> Result<&[u8], Error> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    if !is_printable(extension) || extension == b";" {
        return Err(Reason::BadChunk.into());
    }
    Ok(digits.trim_ascii_end())
}

/// A line up to CR LF, without them; none when more bytes are needed. A line of more than `max_bytes` with its end, or
/// one that ends otherwise, is refused with `reason`.
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
