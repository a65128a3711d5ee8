//! Why the bytes of a peer were refused, and the status with which a server answers them.

use std::fmt;

/// What is wrong with the bytes of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The start line is longer than its bound.
    StartLineTooLong,
    /// Start line and headers are longer than their bound.
    HeadTooLong,
    /// More headers than [`crate::MAX_HEADERS`].
    TooManyHeaders,
    /// The start line or a header is not HTTP/1.x.
    Malformed,
    /// A line ended in LF without CR, or a CR stood alone.
    BareLineEnd,
    /// A NUL byte in the head.
    Nul,
    /// A header continued on the next line (obsolete folding).
    Folding,
    /// Content-Length and Transfer-Encoding together.
    BothLengths,
    /// More than one Content-Length.
    TwoLengths,
    /// A Content-Length that is no plain decimal number.
    BadLength,
    /// A Transfer-Encoding other than `chunked`, or one in HTTP/1.0.
    Encoding,
    /// No Host, or more than one, in an HTTP/1.1 request.
    Host,
    /// An expectation other than `100-continue`.
    Expectation,
    /// The body is longer than its bound.
    BodyTooLong,
    /// A chunk is longer than its bound.
    ChunkTooLong,
    /// A chunk size that is not plain hexadecimal, or an extension where none is accepted.
    BadChunk,
    /// A chunked body with trailers where none are accepted, or malformed ones.
    Trailers,
    /// The peer closed in the middle of a message.
    Truncated,
    /// An event of a stream is longer than its bound.
    EventTooLong,
}

impl Reason {
    /// The status with which a server answers.
    pub fn status(self) -> u16 {
        match self {
            Self::StartLineTooLong => 414,
            Self::HeadTooLong | Self::TooManyHeaders => 431,
            Self::BodyTooLong | Self::ChunkTooLong => 413,
            Self::Encoding => 501,
            Self::Expectation => 417,
            _ => 400,
        }
    }

    /// A short description for logs and error bodies.
    pub fn text(self) -> &'static str {
        match self {
            Self::StartLineTooLong => "start line too long",
            Self::HeadTooLong => "headers too long",
            Self::TooManyHeaders => "too many headers",
            Self::Malformed => "malformed start line or header",
            Self::BareLineEnd => "line end that is not CR LF",
            Self::Nul => "NUL byte in the head",
            Self::Folding => "folded header",
            Self::BothLengths => "both Content-Length and Transfer-Encoding",
            Self::TwoLengths => "more than one Content-Length",
            Self::BadLength => "Content-Length is not a plain number",
            Self::Encoding => "Transfer-Encoding other than chunked",
            Self::Host => "HTTP/1.1 needs exactly one Host header",
            Self::Expectation => "unknown expectation",
            Self::BodyTooLong => "body too long",
            Self::ChunkTooLong => "chunk too long",
            Self::BadChunk => "bad chunk",
            Self::Trailers => "trailers are not taken",
            Self::Truncated => "connection closed in the middle of a message",
            Self::EventTooLong => "event too long",
        }
    }
}

/// Bytes that were refused. Nothing after them on the connection can be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error {
    /// What is wrong.
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
