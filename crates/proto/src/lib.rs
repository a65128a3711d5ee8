//! Sans-IO codec for HTTP/1.1 messages, on the client and the server side, and for server-sent events. Every length is
//! bounded.
//!
//! [`Decoder`] returns the same [`Part`]s however the bytes are split. A message that two parsers could interpret
//! differently (request smuggling) is rejected with a status and a [`Reason`]. The specifications are RFC 9112 and, for
//! event streams, the section "Server-sent events" of the HTML standard.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// Tests with a long sequence of steps may stay one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

mod body;
mod decode;
pub mod encode;
mod error;
mod head;
pub mod sse;

pub use decode::{Decoder, Part, Side};
pub use error::{Error, Reason};
pub use head::{Head, StartLine};

/// Limits of one connection's decoder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of the start line.
    pub start_line_bytes: usize,
    /// Maximum bytes of start line and headers together.
    pub head_bytes: usize,
    /// Maximum bytes of one message's body.
    pub body_bytes: u64,
    /// Maximum bytes of one chunk.
    pub chunk_bytes: u64,
    /// Buffered bytes, such as pipelined requests, above which no more should be read from the connection.
    pub pipelined_bytes: usize,
    /// Whether well-formed chunk extensions and trailers are skipped instead of rejected. For responses only, since the end
    /// of a request must be unambiguous.
    pub allow_chunk_extensions: bool,
}

/// Maximum number of headers of one message. It is a constant, since headers are parsed into a table of this size.
pub const MAX_HEADERS: usize = 64;

impl Default for Limits {
    fn default() -> Self {
        Self {
            start_line_bytes: 2_048,
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            chunk_bytes: 1024 * 1024,
            pipelined_bytes: 64 * 1024,
            allow_chunk_extensions: false,
        }
    }
}
