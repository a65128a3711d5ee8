//! Reads a ledger while another process writes it.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use crate::frame::{decode, Frames};
use crate::reader::segments;
use crate::volume::DirectoryVolume;
use crate::{read, segments_from_checkpoint, LedgerError};

/// Event that [`Follower::poll`] delivers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent<T> {
    /// Invalidates all earlier events: the ledger is read again from its last checkpoint. This is the first event,
    /// and repeats when the ledger has lost records that were read, for example in a power failure.
    Restart,
    /// Number and content of a record.
    Record(u64, T),
}

/// Position up to which the ledger was read.
#[derive(Debug)]
struct Position {
    segment: String,
    offset: u64,
    next: u64,
    /// The four bytes before the offset. If they change, the ledger was rewritten.
    last_bytes: [u8; 4],
}

/// Result of [`Position::advance`].
enum Progress {
    /// This segment or the next one may hold more records.
    NextSegment,
    /// All written records were read.
    CaughtUp,
    /// The ledger was rewritten or is damaged, so it must be read again from its last checkpoint.
    Lost,
}

impl Position {
    /// Reads the rest of the segment and moves to the next segment if it exists.
    fn advance<T: DeserializeOwned>(
        &mut self,
        folder: &Path,
        take: &mut impl FnMut(FollowEvent<T>),
    ) -> Result<Progress, LedgerError> {
        let Some(bytes) = tail(folder, self).map_err(LedgerError::io(&self.segment))? else {
            return Ok(Progress::Lost);
        };
        let mut frames = Frames::resume(&bytes, 0, self.next);
        for (number, payload) in frames.by_ref() {
            if let Some(record) = decode(payload) {
                take(FollowEvent::Record(number, record));
            }
        }
        if !frames.damage.is_empty() {
            // The segment was rewritten during the read or is damaged: the ledger is read again.
            return Ok(Progress::Lost);
        }
        let valid = frames.valid_length();
        self.next = frames.next_number();
        self.offset += valid as u64;
        if let Some(last_bytes) = bytes.get(valid.wrapping_sub(4)..valid).and_then(|s| s.try_into().ok()) {
            self.last_bytes = last_bytes;
        }
        self.move_to_next_segment(folder)
    }

    /// Moves to the next segment once this one is read completely.
    fn move_to_next_segment(&mut self, folder: &Path) -> Result<Progress, LedgerError> {
        let all = segments(&DirectoryVolume::reader(folder))?;
        let Some(next) = all.iter().skip_while(|name| **name != self.segment).nth(1).cloned() else {
            return Ok(Progress::CaughtUp);
        };
        let rest = tail(folder, self).map_err(LedgerError::io(&self.segment))?;
        if rest.is_none_or(|rest| !rest.is_empty()) {
            return Ok(Progress::NextSegment);
        }
        match head_of(folder, &next).map_err(LedgerError::io(&next))? {
            Some(head) if head.first == self.next => {
                let Head { length, first, last_bytes } = head;
                *self = Self { segment: next, offset: length, next: first, last_bytes };
                Ok(Progress::NextSegment)
            }
            Some(_) => Ok(Progress::Lost),
            None => Ok(Progress::CaughtUp),
        }
    }
}

/// Reads new records at each poll. A partially written record is left for the next poll.
#[derive(Debug)]
pub struct Follower {
    folder: PathBuf,
    position: Option<Position>,
}

impl Follower {
    /// Creates a follower of a ledger's folder, which need not exist yet.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.into(), position: None }
    }

    /// Passes new records to `take`. Returns a description of the damage if parts of the ledger are damaged.
    ///
    /// # Errors
    /// If the ledger can't be read; records that were already passed stay valid.
    pub fn poll<T: DeserializeOwned>(
        &mut self,
        is_checkpoint: impl Fn(&T) -> bool,
        mut take: impl FnMut(FollowEvent<T>),
    ) -> Result<Option<String>, LedgerError> {
        while let Some(position) = &mut self.position {
            match position.advance(&self.folder, &mut take)? {
                Progress::NextSegment => {}
                Progress::CaughtUp => return Ok(None),
                Progress::Lost => self.position = None,
            }
        }
        self.restart(is_checkpoint, take)
    }

    fn restart<T: DeserializeOwned>(
        &mut self,
        is_checkpoint: impl Fn(&T) -> bool,
        mut take: impl FnMut(FollowEvent<T>),
    ) -> Result<Option<String>, LedgerError> {
        let volume = DirectoryVolume::reader(&self.folder);
        let names = segments_from_checkpoint(&volume, is_checkpoint)?;
        take(FollowEvent::Restart);
        let report = read(&volume, &names, |n, r| take(FollowEvent::Record(n, r)))?;
        if let Some(segment) = names.last().filter(|_| report.valid_length >= 4) {
            let bytes = crate::Volume::read(&volume, segment).map_err(LedgerError::io(segment))?;
            let last_bytes =
                bytes.get(report.valid_length - 4..report.valid_length).and_then(|s| s.try_into().ok());
            self.position = last_bytes.map(|last_bytes| Position {
                segment: segment.clone(),
                offset: report.valid_length as u64,
                next: report.next,
                last_bytes,
            });
        }
        // A record that is being written looks like a torn tail, so the tail is not reported.
        let damaged = crate::Report { tail: crate::Tail::Complete, ..report };
        Ok(damaged.describe_damage())
    }
}

/// Reads the bytes after a position. Returns `None` if the ledger was rewritten.
fn tail(folder: &Path, position: &Position) -> io::Result<Option<Vec<u8>>> {
    let mut file = match File::open(folder.join(&position.segment)) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    if file.metadata()?.len() < position.offset {
        return Ok(None);
    }
    file.seek(SeekFrom::Start(position.offset.saturating_sub(4)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    if bytes.get(..4) != Some(&position.last_bytes[..]) {
        return Ok(None);
    }
    Ok(Some(bytes.split_off(4)))
}

/// A complete segment head.
struct Head {
    length: u64,
    /// The number of the segment's first record.
    first: u64,
    last_bytes: [u8; 4],
}

/// Reads a segment's head. Returns `None` while the head is incomplete.
fn head_of(folder: &Path, name: &str) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    File::open(folder.join(name))?.take(crate::frame::HEAD_BYTES as u64).read_to_end(&mut bytes)?;
    let first = crate::frame::read_head(&bytes).ok();
    let last_bytes = bytes.last_chunk::<4>().copied();
    let length = bytes.len() as u64;
    Ok(first.zip(last_bytes).map(|(first, last_bytes)| Head { length, first, last_bytes }))
}
