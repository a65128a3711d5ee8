//! Start line and headers, parsed strictly.

use crate::body::Framing;
use crate::{Error, Limits, Reason, Side, MAX_HEADERS};

/// The start line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
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
    pub start: StartLine,
    /// HTTP/1.1, not 1.0.
    pub http11: bool,
    /// Names in lower case, with values as sent.
    pub headers: Vec<(String, String)>,
    /// Whether the connection stays open after this message.
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

/// The length of a head within `bytes`, its empty line included, scanning from `from` on.
///
/// Checks limits and line ends on the way, so that a bad head is refused before it is complete.
pub(crate) fn find_end(bytes: &[u8], from: usize, limits: &Limits) -> Result<Option<usize>, Error> {
    let mut previous = from.checked_sub(1).and_then(|i| bytes.get(i)).copied();
    for (i, byte) in bytes.iter().copied().enumerate().skip(from) {
        if i >= limits.head_bytes {
            return Err(Reason::HeadTooLong.into());
        }
        match byte {
            0 => return Err(Reason::Nul.into()),
            b'\n' if previous != Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b'\n' if bytes.get(..=i).is_some_and(|head| head.ends_with(b"\r\n\r\n")) => {
                return Ok(Some(i + 1))
            }
            b'\n' => {}
            _ if previous == Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b' ' | b'\t' if previous == Some(b'\n') => return Err(Reason::Folding.into()),
            _ => {}
        }
        previous = Some(byte);
    }
    let is_start_line_open = !bytes.iter().take(limits.start_line_bytes + 1).any(|b| *b == b'\n');
    if is_start_line_open && bytes.len() > limits.start_line_bytes {
        return Err(Reason::StartLineTooLong.into());
    }
    Ok(None)
}

/// Parses a complete head, and tells how the body after it is framed.
pub(crate) fn parse(bytes: &[u8], side: Side, limits: &Limits) -> Result<(Head, Framing), Error> {
    let start_line_end = bytes.iter().position(|b| *b == b'\n').unwrap_or(bytes.len());
    if start_line_end > limits.start_line_bytes {
        return Err(Reason::StartLineTooLong.into());
    }
    // Some parsers skip an empty line in front of a message, others don't.
    if bytes.starts_with(b"\r") {
        return Err(Reason::Malformed.into());
    }
    let mut head = parse_fields(bytes, side)?;
    let framing = framing(&head, limits)?;
    head.has_body = framing != Framing::Length(0);
    head.keep_alive = is_persistent(&head) && framing != Framing::UntilClose;
    if side == Side::Request {
        check_request(&mut head)?;
    }
    Ok((head, framing))
}

/// Start line and headers; what follows from them is not filled in yet.
fn parse_fields(bytes: &[u8], side: Side) -> Result<Head, Error> {
    let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (start, version, parsed): (StartLine, Option<u8>, &[httparse::Header<'_>]) = match side {
        Side::Request => {
            let mut request = httparse::Request::new(&mut table);
            request.parse(bytes).map_err(parse_failure)?;
            let (method, target) = request.method.zip(request.path).ok_or(Reason::Malformed)?;
            let start = StartLine::Request { method: method.into(), target: target.into() };
            (start, request.version, request.headers)
        }
        Side::Response => {
            let mut response = httparse::Response::new(&mut table);
            response.parse(bytes).map_err(parse_failure)?;
            let status = response.code.ok_or(Reason::Malformed)?;
            (StartLine::Response { status }, response.version, response.headers)
        }
    };
    let mut headers = Vec::with_capacity(parsed.len());
    for header in parsed {
        let value = std::str::from_utf8(header.value).map_err(|_| Reason::Malformed)?;
        headers.push((header.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    let http11 = version == Some(1);
    Ok(Head { start, http11, headers, keep_alive: http11, expects_continue: false, has_body: false })
}

fn parse_failure(error: httparse::Error) -> Reason {
    match error {
        httparse::Error::TooManyHeaders => Reason::TooManyHeaders,
        _ => Reason::Malformed,
    }
}

/// Whether version and `Connection` leave the connection open (RFC 9112, section 9.3).
fn is_persistent(head: &Head) -> bool {
    let options = head.header("connection").unwrap_or_default();
    let has_option = |option: &str| options.split(',').any(|o| o.trim().eq_ignore_ascii_case(option));
    (head.http11 || has_option("keep-alive")) && !has_option("close")
}

/// Checks what requests alone must or may have: `Host` and `Expect`.
fn check_request(head: &mut Head) -> Result<(), Error> {
    let hosts = head.count("host");
    if (head.http11 && hosts != 1) || hosts > 1 {
        return Err(Reason::Host.into());
    }
    match head.header("expect") {
        Some(value) if value.eq_ignore_ascii_case("100-continue") && head.http11 => {
            head.expects_continue = head.has_body;
        }
        Some(_) => return Err(Reason::Expectation.into()),
        None => {}
    }
    Ok(())
}

/// How the body ends (RFC 9112, section 6.3). Stricter than the standard: whatever two parsers could read differently is
/// refused.
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
        (StartLine::Response { status: 100..=199 | 204 | 304 }, _) => Framing::Length(0),
        _ if encodings > 0 => Framing::Chunked,
        (_, Some(length)) => Framing::Length(length),
        (StartLine::Request { .. }, None) => Framing::Length(0),
        (StartLine::Response { .. }, None) => Framing::UntilClose,
    })
}
