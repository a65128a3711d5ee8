//! HTTP/1.1 for clients and servers, and server-sent events: bytes in, messages out, without I/O. Every length is bounded.
//!
//! [`Decoder`] gives the same [`Part`]s however the bytes are split. A message that two parsers could read differently
//! (request smuggling) is refused with a status and a [`Reason`]. Sources: RFC 9112; for event streams the HTML standard,
//! section "Server-sent events".

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test that plays a long sequence stays one function.
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
    /// Bytes of the start line.
    pub start_line_bytes: usize,
    /// Bytes of start line and headers together.
    pub head_bytes: usize,
    /// Bytes of one message's body.
    pub body_bytes: u64,
    /// Bytes of one chunk.
    pub chunk_bytes: u64,
    /// Bytes after the current message (pipelined requests) beyond which no more should be read.
    pub pipelined_bytes: usize,
    /// Well-formed chunk extensions and trailers are skipped instead of refused. For responses only: the end of a request
    /// must be unambiguous.
    pub allow_chunk_extensions: bool,
}

/// Most headers of one message; a constant, since they are parsed into a table of this size.
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
