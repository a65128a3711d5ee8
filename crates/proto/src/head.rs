//! Strict parser of start line and headers.

use crate::body::Framing;
use crate::{Error, Limits, Reason, Side, MAX_HEADERS};

/// The start line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// The start line of a request.
    Request {
        /// Method, as sent.
        method: String,
        /// Target, as sent.
        target: String,
    },
    /// The start line of a response.
    Response {
        /// Status code.
        status: u16,
    },
}

/// A message's start line and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The start line.
    pub start: StartLine,
    /// Whether the version is HTTP/1.1, not 1.0.
    pub http11: bool,
    /// Names in lower case and values without surrounding whitespace, in the order sent.
    pub headers: Vec<(String, String)>,
    /// Whether the connection stays open after this message.
    pub keep_alive: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether a body follows that has at least one byte or an unknown length.
    pub has_body: bool,
}

impl Head {
    /// Returns the value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Counts the headers with this lower-case name.
    pub fn count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(n, _)| n == name).count()
    }
}

/// Returns the length of the head at the start of `bytes`, including its empty line; `None` if the head is incomplete. The
/// scan starts at `from`.
///
/// Limits and line ends are checked during the scan, so that an invalid head is rejected before it is complete.
pub(crate) fn find_end(bytes: &[u8], from: usize, limits: &Limits) -> Result<Option<usize>, Error> {
    let mut previous = from.checked_sub(1).and_then(|i| bytes.get(i)).copied();
    for (i, byte) in bytes.iter().copied().enumerate().skip(from) {
        if i >= limits.head_bytes {
            return Err(Reason::HeadTooLong.into());
        }
        match byte {
            0 => return Err(Reason::NulByte.into()),
            b'\n' if previous != Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b'\n' if bytes.get(..=i).is_some_and(|head| head.ends_with(b"\r\n\r\n")) => {
                return Ok(Some(i + 1))
            }
            b'\n' => {}
            _ if previous == Some(b'\r') => return Err(Reason::BareLineEnd.into()),
            b' ' | b'\t' if previous == Some(b'\n') => return Err(Reason::FoldedHeader.into()),
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

/// Parses a complete head, and returns it with the framing of its body.
pub(crate) fn parse(bytes: &[u8], side: Side, limits: &Limits) -> Result<(Head, Framing), Error> {
    let start_line_end = bytes.iter().position(|b| *b == b'\n').unwrap_or(bytes.len());
    if start_line_end > limits.start_line_bytes {
        return Err(Reason::StartLineTooLong.into());
    }
    // Some parsers skip an empty line in front of a message and others do not: it is rejected as ambiguous.
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

/// Parses start line and headers. `keep_alive`, `expects_continue` and `has_body` are set by the caller.
fn parse_fields(bytes: &[u8], side: Side) -> Result<Head, Error> {
    let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (start, version, parsed): (StartLine, Option<u8>, &[httparse::Header<'_>]) = match side {
        Side::Request => {
            let mut request = httparse::Request::new(&mut table);
            request.parse(bytes).map_err(parse_error)?;
            let (method, target) = request.method.zip(request.path).ok_or(Reason::Malformed)?;
            let start = StartLine::Request { method: method.into(), target: target.into() };
            (start, request.version, request.headers)
        }
        Side::Response => {
            let mut response = httparse::Response::new(&mut table);
            response.parse(bytes).map_err(parse_error)?;
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

fn parse_error(error: httparse::Error) -> Reason {
    match error {
        httparse::Error::TooManyHeaders => Reason::TooManyHeaders,
        _ => Reason::Malformed,
    }
}

/// Whether the version and the `Connection` header keep the connection open (RFC 9112, section 9.3).
fn is_persistent(head: &Head) -> bool {
    let options = head.header("connection").unwrap_or_default();
    let has_option = |option: &str| options.split(',').any(|o| o.trim().eq_ignore_ascii_case(option));
    (head.http11 || has_option("keep-alive")) && !has_option("close")
}

/// Checks the headers that are specific to requests: `Host` and `Expect`.
fn check_request(head: &mut Head) -> Result<(), Error> {
    let hosts = head.count("host");
    if (head.http11 && hosts != 1) || hosts > 1 {
        return Err(Reason::InvalidHost.into());
    }
    match head.header("expect") {
        Some(value) if value.eq_ignore_ascii_case("100-continue") && head.http11 => {
            head.expects_continue = head.has_body;
        }
        Some(_) => return Err(Reason::UnsupportedExpectation.into()),
        None => {}
    }
    Ok(())
}

/// Determines how the end of the body is found (RFC 9112, section 6.3). Stricter than the RFC: any message that two parsers
/// could interpret differently is rejected.
fn framing(head: &Head, limits: &Limits) -> Result<Framing, Error> {
    let (lengths, encodings) = (head.count("content-length"), head.count("transfer-encoding"));
    if lengths > 0 && encodings > 0 {
        return Err(Reason::ConflictingLengths.into());
    }
    if lengths > 1 {
        return Err(Reason::DuplicateLength.into());
    }
    let chunked = head.header("transfer-encoding").is_some_and(|e| e.eq_ignore_ascii_case("chunked"));
    if encodings > 0 && !(encodings == 1 && chunked && head.http11) {
        return Err(Reason::UnsupportedEncoding.into());
    }
    let length = match head.header("content-length") {
        Some(v) if !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()) => {
            Some(v.parse::<u64>().map_err(|_| Reason::InvalidLength)?)
        }
        Some(_) => return Err(Reason::InvalidLength.into()),
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
