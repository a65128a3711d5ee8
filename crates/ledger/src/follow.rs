//! Following a ledger that another process writes.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use crate::frame::{decode, Frames};
use crate::reader::segments;
use crate::volume::Folder;
use crate::{last_segments, read, Error};

/// What following gives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item<T> {
    /// All that was given before is void: it is read again, from the last checkpoint on. Comes first, and
    /// whenever the ledger has lost what it had (its machine's power went).
    Again,
    /// A record and its number.
    Record(u64, T),
}

#[derive(Debug)]
struct Place {
    segment: String,
    offset: u64,
    next: u64,
    /// The last bytes before the offset: if they change, the ledger is another.
    seal: [u8; 4],
}

/// Reads on where it stopped; a half-written record is left for the next time.
#[derive(Debug)]
pub struct Follower {
    folder: PathBuf,
    place: Option<Place>,
}

impl Follower {
    /// Of a ledger's folder, which need not be there yet.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.into(), place: None }
    }

    /// Gives what is new. Damage in words, where some was stepped over.
    ///
    /// # Errors
    /// If the ledger can't be read; what was given stands.
    pub fn poll<T: DeserializeOwned>(
        &mut self,
        is_checkpoint: impl Fn(&T) -> bool,
        mut take: impl FnMut(Item<T>),
    ) -> Result<Option<String>, Error> {
        let io = |name: &str| {
            let name = name.to_owned();
            move |e| Error::Io(name, e)
        };
        while let Some(place) = &mut self.place {
            let bytes = match tail(&self.folder, place).map_err(io(&place.segment))? {
                Some(bytes) => bytes,
                None => {
                    self.place = None;
                    break;
                }
            };
            let mut frames = Frames::resume(&bytes, 0, place.next);
            for (number, payload) in frames.by_ref() {
                if let Some(record) = decode(payload) {
                    take(Item::Record(number, record));
                }
            }
            if !frames.damage.is_empty() {
                // Written over while it was read, or damaged: the whole is looked at.
                self.place = None;
                break;
            }
            let good = frames.good();
            place.next = frames.next_number();
            place.offset += good as u64;
            if let Some(seal) = bytes.get(good.wrapping_sub(4)..good).and_then(|s| s.try_into().ok()) {
                place.seal = seal;
            }
            // Only after all of this segment, the next one.
            let all = segments(&Folder::reader(&self.folder))?;
            let Some(next) = all.iter().skip_while(|n| **n != place.segment).nth(1).cloned() else {
                return Ok(None);
            };
            if tail(&self.folder, place).map_err(io(&place.segment))?.is_none_or(|rest| !rest.is_empty()) {
                continue;
            }
            match head_of(&self.folder, &next).map_err(io(&next))? {
                Some((offset, first, seal)) if first == place.next => {
                    *place = Place { segment: next, offset, next: first, seal };
                }
                Some(_) => self.place = None,
                None => return Ok(None),
            }
        }
        self.whole(is_checkpoint, take)
    }

    fn whole<T: DeserializeOwned>(
        &mut self,
        is_checkpoint: impl Fn(&T) -> bool,
        mut take: impl FnMut(Item<T>),
    ) -> Result<Option<String>, Error> {
        let volume = Folder::reader(&self.folder);
        let names = last_segments(&volume, is_checkpoint)?;
        take(Item::Again);
        let report = read(&volume, &names, |n, r| take(Item::Record(n, r)))?;
        if let Some(segment) = names.last().filter(|_| report.good >= 4) {
            let bytes = crate::Volume::read(&volume, segment).map_err(|e| Error::Io(segment.clone(), e))?;
            let seal = bytes.get(report.good - 4..report.good).and_then(|s| s.try_into().ok());
            self.place = seal.map(|seal| Place {
                segment: segment.clone(),
                offset: report.good as u64,
                next: report.next,
                seal,
            });
        }
        // A tail that is being written looks torn.
        let damaged = crate::Report { tail: crate::Tail::Whole, ..report };
        Ok(damaged.trouble())
    }
}

/// What follows a place; none: the ledger is not the one that was read.
fn tail(folder: &Path, place: &Place) -> io::Result<Option<Vec<u8>>> {
    let mut file = match File::open(folder.join(&place.segment)) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    if file.metadata()?.len() < place.offset {
        return Ok(None);
    }
    file.seek(SeekFrom::Start(place.offset.saturating_sub(4)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    if bytes.get(..4) != Some(&place.seal[..]) {
        return Ok(None);
    }
    Ok(Some(bytes.split_off(4)))
}

/// A segment's head, once it is whole: its length, the number of its first record, its last bytes.
fn head_of(folder: &Path, name: &str) -> io::Result<Option<(u64, u64, [u8; 4])>> {
    let mut bytes = Vec::new();
    File::open(folder.join(name))?.take(crate::frame::HEAD as u64).read_to_end(&mut bytes)?;
    let first = crate::frame::read_head(&bytes).ok();
    let seal = bytes.last_chunk::<4>().copied();
    Ok(first.zip(seal).map(|(first, seal)| (bytes.len() as u64, first, seal)))
}
