//! Following a ledger that another process writes.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use crate::frame::{decode, Frames};
use crate::reader::segments;
use crate::volume::DirectoryVolume;
use crate::{last_segments, read, LedgerError};

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

    /// Gives what is new. Damage in words, where some was stepped over.
    ///
    /// # Errors
    /// If the ledger can't be read; what was given stands.
    pub fn poll<T: DeserializeOwned>(
        &mut self,
        is_checkpoint: impl Fn(&T) -> bool,
        mut take: impl FnMut(FollowEvent<T>),
    ) -> Result<Option<String>, LedgerError> {
        let io = |name: &str| {
            let name = name.to_owned();
            move |e| LedgerError::Io(name, e)
        };
        while let Some(position) = &mut self.position {
            let bytes = match tail(&self.folder, position).map_err(io(&position.segment))? {
                Some(bytes) => bytes,
                None => {
                    self.position = None;
                    break;
                }
            };
            let mut frames = Frames::resume(&bytes, 0, position.next);
            for (number, payload) in frames.by_ref() {
                if let Some(record) = decode(payload) {
                    take(FollowEvent::Record(number, record));
                }
            }
            if !frames.damage.is_empty() {
                // Written over while it was read, or damaged: the whole is looked at.
                self.position = None;
                break;
            }
            let good = frames.valid_length();
            position.next = frames.next_number();
            position.offset += good as u64;
            if let Some(last_bytes) = bytes.get(good.wrapping_sub(4)..good).and_then(|s| s.try_into().ok()) {
                position.last_bytes = last_bytes;
            }
            // Only after all of this segment, the next one.
            let all = segments(&DirectoryVolume::reader(&self.folder))?;
            let Some(next) = all.iter().skip_while(|n| **n != position.segment).nth(1).cloned() else {
                return Ok(None);
            };
            if tail(&self.folder, position)
                .map_err(io(&position.segment))?
                .is_none_or(|rest| !rest.is_empty())
            {
                continue;
            }
            match head_of(&self.folder, &next).map_err(io(&next))? {
                Some((offset, first, last_bytes)) if first == position.next => {
                    *position = Position { segment: next, offset, next: first, last_bytes };
                }
                Some(_) => self.position = None,
                None => return Ok(None),
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
        let names = last_segments(&volume, is_checkpoint)?;
        take(FollowEvent::Restart);
        let report = read(&volume, &names, |n, r| take(FollowEvent::Record(n, r)))?;
        if let Some(segment) = names.last().filter(|_| report.valid_length >= 4) {
            let bytes =
                crate::Volume::read(&volume, segment).map_err(|e| LedgerError::Io(segment.clone(), e))?;
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

/// A segment's head, once it is whole: its length, the number of its first record, its last bytes.
fn head_of(folder: &Path, name: &str) -> io::Result<Option<(u64, u64, [u8; 4])>> {
    let mut bytes = Vec::new();
    File::open(folder.join(name))?.take(crate::frame::HEAD as u64).read_to_end(&mut bytes)?;
    let first = crate::frame::read_head(&bytes).ok();
    let last_bytes = bytes.last_chunk::<4>().copied();
    Ok(first.zip(last_bytes).map(|(first, last_bytes)| (bytes.len() as u64, first, last_bytes)))
}
