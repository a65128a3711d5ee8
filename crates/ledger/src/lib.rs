//! A ledger: durable, append-only, checksummed records of one writer, in numbered order.
//!
//! Records are framed and numbered without gaps, stored in segments of a bounded size, and written in groups:
//! [`Writer::flush`] hands all that was appended to the system in one write (nothing of it is lost when the
//! process is killed), and syncing to the disk runs on a thread of its own (the window of loss at power loss).
//! A torn tail is truncated and reported; damage elsewhere is skipped and reported.

mod follow;
mod frame;
mod reader;
mod volume;
mod writer;

pub use follow::{FollowEvent, Follower};
pub use frame::{decode, encode, Damage, Frames, SegmentHeadError, MAX_PAYLOAD_BYTES};
pub use reader::{read, segments_from_checkpoint, Report, Tail};
pub use volume::{segment_name, segment_number, DirectoryVolume, Volume};
pub use writer::{Limits, Opened, Writer};

/// Why a ledger can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The file system's error.
    #[error("{place}: {source}")]
    Io {
        /// The segment, or the ledger.
        place: String,
        /// What failed.
        source: std::io::Error,
    },
    /// Another process writes it.
    #[error("{place}: another process writes this ledger")]
    Locked {
        /// The ledger.
        place: String,
    },
    /// A segment is of another format, or its head is damaged.
    #[error("{segment}: {source}")]
    InvalidHead {
        /// The segment.
        segment: String,
        /// What is wrong with its head.
        source: SegmentHeadError,
    },
    /// A record is larger than a frame may be.
    #[error("a record of {bytes} bytes is larger than {MAX_PAYLOAD_BYTES}")]
    TooLarge {
        /// The record's length.
        bytes: usize,
    },
}

impl LedgerError {
    /// An error of the file system at a segment.
    pub(crate) fn io(place: &str) -> impl FnOnce(std::io::Error) -> Self {
        let place = place.to_owned();
        move |source| Self::Io { place, source }
    }
}
