//! A ledger: durable, append-only, checksummed records of one writer, in order of their numbers.
//!
//! Records are framed, numbered without gaps, stored in segments of bounded size and written in groups.
//! [`Writer::flush`] passes all appended records to the operating system in one write, after which a killed
//! process loses none of them. A separate thread syncs the files to the disk; a power failure loses the records
//! that were not synced.
//! A torn tail is truncated and reported; other damage is skipped and reported.

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
    /// The file system returned an error.
    #[error("{place}: {source}")]
    Io {
        /// Name of the segment, or of the ledger.
        place: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// Another process has the ledger open for writing.
    #[error("{place}: another process writes this ledger")]
    Locked {
        /// Name of the ledger.
        place: String,
    },
    /// A segment has another format or a damaged head.
    #[error("{segment}: {source}")]
    InvalidHead {
        /// Name of the segment.
        segment: String,
        /// Why its head is invalid.
        source: SegmentHeadError,
    },
    /// An encoded record exceeds [`MAX_PAYLOAD_BYTES`].
    #[error("a record of {bytes} bytes is larger than {MAX_PAYLOAD_BYTES}")]
    TooLarge {
        /// Length of the encoded record.
        bytes: usize,
    },
}

impl LedgerError {
    /// Converts an I/O error at a segment or ledger.
    pub(crate) fn io(place: &str) -> impl FnOnce(std::io::Error) -> Self {
        let place = place.to_owned();
        move |source| Self::Io { place, source }
    }
}
