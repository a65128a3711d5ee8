//! Start line and headers, read strictly.

use crate::body::Framing;
use crate::{Error, Limits, Reason, Side, MAX_HEADERS};

/// The start line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// Of a request.
    Request {
        /// Method, as sent.
        method: String,
        /// Target, as sent.
        target: String,
    },
    /// Of a response.
    Response {
        /// Status code.
        status: u16,
    },
}

/// A message's start line and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Its start line.
    pub start: Start,
    /// HTTP/1.1, not 1.0.
    pub http11: bool,
    /// Names in lower case, with values as sent.
    pub headers: Vec<(String, String)>,
    /// The connection stays open after this message.
    pub keep_alive: bool,
    /// The sender waits for `100 Continue` before the body.
    pub expects_continue: bool,
    /// A body of at least one byte, or of unknown length, follows.
    pub has_body: bool,
}

impl Head {
    /// The first header of this name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// How many headers have this name (lower case).
    pub fn count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(n, _)| n == name).count()
    }
}

/// The length of a head within `bytes` up to and with its empty line, scanning from `from` on.
/// Checks the bounds and line ends on the way, so that a bad head is refused before it is whole.
pub(crate) fn find_end(bytes: &[u8], from: usize, limits: &Limits) -> Result<Option<usize>, Error> {
    let mut before = from.checked_sub(1).and_then(|i| bytes.get(i)).copied();
    for (i, b) in bytes.iter().copied().enumerate().skip(from) {
        if i >= limits.head_bytes {
            return Err(Reason::HeadTooLong.into());
        }
        match b {
            0 => return Err(Reason::Nul.into()),
            b'\n' if before != Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b'\n' if bytes.get(..=i).is_some_and(|head| head.ends_with(b"\r\n\r\n")) => {
                return Ok(Some(i + 1))
            }
            b'\n' => {}
            _ if before == Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b' ' | b'\t' if before == Some(b'\n') => return Err(Reason::Folding.into()),
            _ => {}
        }
        before = Some(b);
    }
    let line_open = !bytes.iter().take(limits.start_line_bytes + 1).any(|b| *b == b'\n');
    if line_open && bytes.len() > limits.start_line_bytes {
        return Err(Reason::StartLineTooLong.into());
    }
    Ok(None)
}

/// Reads a whole head.
pub(crate) fn parse(bytes: &[u8], side: Side, limits: &Limits) -> Result<(Head, Framing), Error> {
    let line = bytes.iter().position(|b| *b == b'\n').unwrap_or(bytes.len());
    if line > limits.start_line_bytes {
        return Err(Reason::StartLineTooLong.into());
    }
    // An empty line ahead of a message is passed over by some parsers and not by others.
    if bytes.starts_with(b"\r") {
        return Err(Reason::Malformed.into());
    }
    let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let refused = |e: httparse::Error| match e {
        httparse::Error::TooManyHeaders => Reason::TooManyHeaders,
        _ => Reason::Malformed,
    };
    let (start, version, parsed): (_, _, &[httparse::Header]) = match side {
        Side::Request => {
            let mut r = httparse::Request::new(&mut table);
            r.parse(bytes).map_err(refused)?;
            let (method, target) = r.method.zip(r.path).ok_or(Reason::Malformed)?;
            (Start::Request { method: method.into(), target: target.into() }, r.version, r.headers)
        }
        Side::Response => {
            let mut r = httparse::Response::new(&mut table);
            r.parse(bytes).map_err(refused)?;
            (Start::Response { status: r.code.ok_or(Reason::Malformed)? }, r.version, r.headers)
        }
    };
    let http11 = version == Some(1);
    let mut headers = Vec::with_capacity(parsed.len());
    for h in parsed {
        let value = std::str::from_utf8(h.value).map_err(|_| Reason::Malformed)?;
        headers.push((h.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    let mut head =
        Head { start, http11, headers, keep_alive: http11, expects_continue: false, has_body: false };
    let framing = framing(&head, limits)?;
    head.has_body = framing != Framing::Length(0);
    let says = |word: &str| {
        head.header("connection").is_some_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case(word)))
    };
    head.keep_alive = (http11 || says("keep-alive")) && !says("close") && framing != Framing::UntilClose;
    if side == Side::Request {
        if (http11 && head.count("host") != 1) || head.count("host") > 1 {
            return Err(Reason::Host.into());
        }
        match head.header("expect") {
            Some(e) if e.eq_ignore_ascii_case("100-continue") && http11 => {
                head.expects_continue = head.has_body
            }
            Some(_) => return Err(Reason::Expectation.into()),
            None => {}
        }
    }
    Ok((head, framing))
}

/// How the body ends (RFC 9112, 6.3), but stricter: no second opinion is possible.
fn framing(head: &Head, limits: &Limits) -> Result<Framing, Error> {
    let (lengths, encodings) = (head.count("content-length"), head.count("transfer-encoding"));
    if lengths > 0 && encodings > 0 {
        return Err(Reason::BothLengths.into());
    }
    if lengths > 1 {
        return Err(Reason::TwoLengths.into());
    }
    let chunked = head.header("transfer-encoding").is_some_and(|e| e.eq_ignore_ascii_case("chunked"));
    if encodings > 0 && !(encodings == 1 && chunked && head.http11) {
        return Err(Reason::Encoding.into());
    }
    let length = match head.header("content-length") {
        Some(v) if !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()) => {
            Some(v.parse::<u64>().map_err(|_| Reason::BadLength)?)
        }
        Some(_) => return Err(Reason::BadLength.into()),
        None => None,
    };
    if length.is_some_and(|l| l > limits.body_bytes) {
        return Err(Reason::BodyTooLong.into());
    }
    Ok(match (&head.start, length) {
        (Start::Response { status: 100..=199 | 204 | 304 }, _) => Framing::Length(0),
        _ if encodings > 0 => Framing::Chunked,
        (_, Some(length)) => Framing::Length(length),
        (Start::Request { .. }, None) => Framing::Length(0),
        (Start::Response { .. }, None) => Framing::UntilClose,
    })
}
