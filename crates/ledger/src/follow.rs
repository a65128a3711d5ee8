//! Following a ledger that another process writes.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use crate::frame::{decode, Frames};
use crate::reader::segments;
use crate::volume::DirectoryVolume;
use crate::{read, segments_from_checkpoint, LedgerError};

/// What following gives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent<T> {
    /// All that was given before is void: it is read again, from the last checkpoint on. Comes first, and
    /// whenever the ledger has lost what it had (its machine's power went).
    Restart,
    /// A record and its number.
    Record(u64, T),
}

#[derive(Debug)]
struct Position {
    segment: String,
    offset: u64,
    next: u64,
    /// The last bytes before the offset: if they change, the ledger is another.
    last_bytes: [u8; 4],
}

/// How far reading on has come.
enum Progress {
    /// There may be more, in this segment or the next.
    NextSegment,
    /// All that is written was read.
    CaughtUp,
    /// The ledger is not the one that was read, or is damaged: it is read again from its last checkpoint.
    Lost,
}

impl Position {
    /// Reads the rest of the segment, and moves to the next one if there is one.
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
            // Written over while it was read, or damaged: all of it is looked at.
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

    /// The next segment is read only after all of this one.
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

/// Reads on where it stopped; a half-written record is left for the next time.
#[derive(Debug)]
pub struct Follower {
    folder: PathBuf,
    position: Option<Position>,
}

impl Follower {
    /// Of a ledger's folder, which need not be there yet.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.into(), position: None }
    }

    /// Gives the records that are new. If some of the ledger is damaged, what is missing is described.
    ///
    /// # Errors
    /// If the ledger can't be read; the records that were given stay valid.
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
        // A tail that is being written looks torn.
        let damaged = crate::Report { tail: crate::Tail::Complete, ..report };
        Ok(damaged.describe_damage())
    }
}

/// What follows a position; none: the ledger is not the one that was read.
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

/// A segment's head; none while it is being written.
fn head_of(folder: &Path, name: &str) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    File::open(folder.join(name))?.take(crate::frame::HEAD as u64).read_to_end(&mut bytes)?;
    let first = crate::frame::read_head(&bytes).ok();
    let last_bytes = bytes.last_chunk::<4>().copied();
    let length = bytes.len() as u64;
    Ok(first.zip(last_bytes).map(|(first, last_bytes)| Head { length, first, last_bytes }))
}
