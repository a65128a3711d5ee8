//! Decoding errors, and the HTTP status with which a server answers them.

use std::fmt;

/// The reason for which bytes of a peer are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The start line is longer than [`crate::Limits::start_line_bytes`].
    StartLineTooLong,
    /// Start line and headers are longer than [`crate::Limits::head_bytes`].
    HeadTooLong,
    /// The message has more headers than [`crate::MAX_HEADERS`].
    TooManyHeaders,
    /// The start line or a header is not valid HTTP/1.x, or a line of an event stream is not UTF-8.
    Malformed,
    /// A line ends in LF without CR, or a CR is not followed by LF.
    BareLineEnd,
    /// The head contains a NUL byte.
    NulByte,
    /// A header continues on the next line (obsolete line folding).
    FoldedHeader,
    /// The message has both Content-Length and Transfer-Encoding.
    ConflictingLengths,
    /// The message has more than one Content-Length.
    DuplicateLength,
    /// The Content-Length is not a decimal number.
    InvalidLength,
    /// The Transfer-Encoding is not `chunked`, or the message is HTTP/1.0 and has one.
    UnsupportedEncoding,
    /// An HTTP/1.1 request has no Host header, or any request has more than one.
    InvalidHost,
    /// The Expect header is not `100-continue`, or is part of an HTTP/1.0 request.
    UnsupportedExpectation,
    /// The body is longer than [`crate::Limits::body_bytes`].
    BodyTooLong,
    /// A chunk is longer than [`crate::Limits::chunk_bytes`].
    ChunkTooLong,
    /// A chunk has an invalid size or line end, or an extension where none is accepted.
    InvalidChunk,
    /// A chunked body has trailers where none are accepted, or malformed ones.
    InvalidTrailers,
    /// The peer closed the connection within a message.
    Truncated,
    /// An event or a line of an event stream is longer than its limit.
    EventTooLong,
}

impl Reason {
    /// Returns the HTTP status with which a server answers.
    pub fn status(self) -> u16 {
        match self {
            Self::StartLineTooLong => 414,
            Self::HeadTooLong | Self::TooManyHeaders => 431,
            Self::BodyTooLong | Self::ChunkTooLong => 413,
            Self::UnsupportedEncoding => 501,
            Self::UnsupportedExpectation => 417,
            _ => 400,
        }
    }

    /// Returns a short description for logs and error bodies.
    pub fn text(self) -> &'static str {
        match self {
            Self::StartLineTooLong => "start line too long",
            Self::HeadTooLong => "headers too long",
            Self::TooManyHeaders => "too many headers",
            Self::Malformed => "malformed start line or header",
            Self::BareLineEnd => "line end that is not CR LF",
            Self::NulByte => "NUL byte in the head",
            Self::FoldedHeader => "folded header",
            Self::ConflictingLengths => "both Content-Length and Transfer-Encoding",
            Self::DuplicateLength => "more than one Content-Length",
            Self::InvalidLength => "Content-Length is not a plain number",
            Self::UnsupportedEncoding => "Transfer-Encoding other than chunked",
            Self::InvalidHost => "HTTP/1.1 needs exactly one Host header",
            Self::UnsupportedExpectation => "unknown expectation",
            Self::BodyTooLong => "body too long",
            Self::ChunkTooLong => "chunk too long",
            Self::InvalidChunk => "bad chunk",
            Self::InvalidTrailers => "trailers are not taken",
            Self::Truncated => "connection closed in the middle of a message",
            Self::EventTooLong => "event too long",
        }
    }
}

/// A decoding error. It is final: bytes after it on the same connection can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error {
    /// The cause.
    pub reason: Reason,
}

impl From<Reason> for Error {
    fn from(reason: Reason) -> Self {
        Self { reason }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason.text())
    }
}

impl std::error::Error for Error {}
