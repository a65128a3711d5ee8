//! Bodies: by length, chunked, or until the peer closes.

use crate::{Error, Limits, Reason};

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Longest line of a chunk's size: sixteen digits and the line end.
const SIZE_LINE: usize = 18;
/// ... and with an extension; a trailer's line is no longer, and there are no more of them than this.
const EXTRA_LINE: usize = 512;
const TRAILERS: u32 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// So many bytes to the end of the body.
    Plain(u64),
    /// A chunk's size line comes.
    Size,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    /// The empty line behind the last chunk.
    Last,
    /// The lines behind the last chunk, so many so far, up to an empty one.
    Trailers(u32),
    UntilClose,
    Done,
}

/// Reads one body.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    taken: u64,
}

/// What a step over the buffer gave: bytes used, and data among them.
pub(crate) struct Step {
    pub used: usize,
    pub data: Option<Vec<u8>>,
    pub done: bool,
}

impl Body {
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Plain(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, taken: 0 }
    }

    /// Whether a close of the peer ends it well.
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
            State::Plain(left) => {
                let data = self.data(bytes, left, limits)?;
                let left = left - data.len() as u64;
                self.state = if left == 0 { State::Done } else { State::Plain(left) };
                Ok(Some(Step { used: data.len(), data: Some(data), done: false }))
            }
            State::UntilClose => {
                let data = self.data(bytes, u64::MAX, limits)?;
                Ok(Some(Step { used: data.len(), data: Some(data), done: false }))
            }
            State::Chunk(left) => {
                let data = self.data(bytes, left, limits)?;
                let left = left - data.len() as u64;
                self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                Ok(Some(Step { used: data.len(), data: Some(data), done: false }))
            }
            State::Size => {
                let most = if limits.chunk_extras { EXTRA_LINE } else { SIZE_LINE };
                let Some(line) = line(bytes, most, Reason::BadChunk)? else { return Ok(None) };
                let digits = if limits.chunk_extras { size(line)? } else { line };
                let hex =
                    !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
                let text = std::str::from_utf8(digits).ok().filter(|_| hex).ok_or(Reason::BadChunk)?;
                let size = u64::from_str_radix(text, 16).map_err(|_| Reason::BadChunk)?;
                if size > limits.chunk_bytes {
                    return Err(Reason::ChunkTooLong.into());
                }
                if self.taken.saturating_add(size) > limits.body_bytes {
                    return Err(Reason::BodyTooLong.into());
                }
                self.state = match size {
                    0 if limits.chunk_extras => State::Trailers(0),
                    0 => State::Last,
                    size => State::Chunk(size),
                };
                Ok(Some(Step { used: line.len() + 2, data: None, done: false }))
            }
            State::ChunkEnd | State::Last => {
                let wrong = if self.state == State::Last { Reason::Trailers } else { Reason::BadChunk };
                if !b"\r\n".starts_with(bytes.get(..2).unwrap_or(bytes)) {
                    return Err(wrong.into());
                }
                if bytes.len() < 2 {
                    return Ok(None);
                }
                self.state = if self.state == State::Last { State::Done } else { State::Size };
                Ok(Some(Step { used: 2, data: None, done: false }))
            }
            State::Trailers(before) => {
                let Some(line) = line(bytes, EXTRA_LINE, Reason::Trailers)? else { return Ok(None) };
                let named = line.iter().position(|b| *b == b':').is_some_and(|at| at > 0);
                self.state = match line {
                    [] => State::Done,
                    _ if named && visible(line) && before < TRAILERS => State::Trailers(before + 1),
                    _ => return Err(Reason::Trailers.into()),
                };
                Ok(Some(Step { used: line.len() + 2, data: None, done: false }))
            }
            State::Done => Ok(None),
        }
    }

    fn data(&mut self, bytes: &[u8], left: u64, limits: &Limits) -> Result<Vec<u8>, Error> {
        let n = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        self.taken = self.taken.saturating_add(n as u64);
        if self.taken > limits.body_bytes {
            return Err(Reason::BodyTooLong.into());
        }
        Ok(bytes.get(..n).unwrap_or_default().to_vec())
    }
}

fn visible(line: &[u8]) -> bool {
    line.iter().all(|b| *b == b'\t' || !b.is_ascii_control())
}

/// The digits of a size line, before a well-formed extension.
fn size(line: &[u8]) -> Result<&[u8], Error> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    if !visible(extension) || extension == b";" {
        return Err(Reason::BadChunk.into());
    }
    Ok(digits.trim_ascii_end())
}

/// A line up to CR LF, without it; `most` bounds it with its end.
fn line(bytes: &[u8], most: usize, wrong: Reason) -> Result<Option<&[u8]>, Error> {
    match bytes.iter().take(most).position(|b| *b == b'\n') {
        Some(end) => {
            let line = bytes.get(..end).and_then(|l| l.strip_suffix(b"\r"));
            line.map(Some).ok_or_else(|| wrong.into())
        }
        None if bytes.len() >= most => Err(wrong.into()),
        None => Ok(None),
    }
}
