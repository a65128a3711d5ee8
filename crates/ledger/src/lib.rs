//! A ledger: durable, append-only, checksummed records of one writer, in numbered order.
//!
//! Records are framed and numbered without gaps, kept in segments of a bounded size, and written in groups:
//! [`Writer::flush`] gives all that was appended to the system in one write (nothing of it is lost when the
//! process is killed), and syncing to the disk goes on beside it (the window of loss at power loss). A torn
//! tail is cut and told of; damage elsewhere is stepped over and told of.

mod follow;
mod frame;
mod reader;
mod volume;
mod writer;

pub use follow::{FollowEvent, Follower};
pub use frame::{decode, encode, Damage, Frames, FRAME_BYTES};
pub use reader::{last_segments, read, Report, Tail};
pub use volume::{segment_name, segment_number, DirectoryVolume, Volume};
pub use writer::{Limits, Opened, Writer};

/// Why a ledger can't be read or written.
#[derive(Debug)]
pub enum LedgerError {
    /// The file system refused.
    Io(String, std::io::Error),
    /// Another process writes it.
    Locked(String),
    /// A segment is of another format, or its head is damaged.
    Foreign(String, &'static str),
    /// A record is larger than a frame may be.
    TooLarge(usize),
}

impl std::fmt::Display for LedgerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::Locked(what) => write!(f, "{what}: another process writes this ledger"),
            Self::Foreign(what, why) => write!(f, "{what}: {why}"),
            Self::TooLarge(bytes) => write!(f, "a record of {bytes} bytes is larger than {FRAME_BYTES}"),
        }
    }
}

impl std::error::Error for LedgerError {}
