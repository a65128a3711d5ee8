//! Writing a ledger: groups, rotation, a full disk.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::frame::{encode, head};
use crate::reader::{read, segments, Report, Tail};
use crate::volume::{segment_name, segment_number, Volume};
use crate::{segments_from_checkpoint, LedgerError};

/// Bounds.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A segment of this many bytes is followed by a new one.
    pub segment_bytes: usize,
    /// Bytes kept aside for the time when the disk is full: what is open then can still be settled.
    pub reserve_bytes: usize,
    /// Bytes of records that wait for the disk; from then on the ledger counts as unwritable.
    pub buffered_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: 64 * 1024 * 1024,
            reserve_bytes: 4 * 1024 * 1024,
            buffered_bytes: 4 * 1024 * 1024,
        }
    }
}

const RESERVE_FILE: &str = "ballast";

/// Appends to a ledger.
#[derive(Debug)]
pub struct Writer<V> {
    volume: V,
    limits: Limits,
    /// The segment that is written, and its length.
    segment: u64,
    length: u64,
    next: u64,
    /// Frames that the system has not taken.
    waiting: Vec<u8>,
    /// Something was written since the last sync.
    unsynced: bool,
    /// What was kept aside is let go.
    full: bool,
}

/// An opened ledger and what was found in it.
#[derive(Debug)]
pub struct Opened<V> {
    /// To go on writing.
    pub writer: Writer<V>,
    /// What reading it found.
    pub report: Report,
}

impl<V: Volume> Writer<V> {
    /// Opens a ledger, gives its records from the last checkpoint on, and cuts a torn tail.
    ///
    /// # Errors
    /// If it can't be read or made ready.
    pub fn open<T: DeserializeOwned>(
        mut volume: V,
        limits: Limits,
        is_checkpoint: impl Fn(&T) -> bool,
        take: impl FnMut(u64, T),
    ) -> Result<Opened<V>, LedgerError> {
        let names = segments_from_checkpoint(&volume, is_checkpoint)?;
        let report = read(&volume, &names, take)?;
        let newest = segments(&volume)?.last().cloned();
        let (segment, length) = match &newest {
            // A head that was cut: the segment is made anew.
            Some(name) if report.valid_length == 0 => {
                volume.remove(name).map_err(LedgerError::io(name))?;
                (segment_number(name).unwrap_or(1), None)
            }
            Some(name) => {
                volume.open(name, report.valid_length as u64).map_err(LedgerError::io(name))?;
                (segment_number(name).unwrap_or(1), Some(report.valid_length as u64))
            }
            None => (1, None),
        };
        let length = match length {
            Some(length) => length,
            None => {
                begin(&mut volume, segment, report.next).map_err(LedgerError::io(&segment_name(segment)))?
            }
        };
        let full = volume.reserve_space(RESERVE_FILE, limits.reserve_bytes).is_err();
        let next = report.next;
        let writer =
            Self { volume, limits, segment, length, next, waiting: Vec::new(), unsynced: false, full };
        Ok(Opened { writer, report })
    }

    /// The number of the next record.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether new work may rely on it: there is room and nothing waits for long.
    pub fn is_writable(&self) -> bool {
        !self.full && self.waiting.len() < self.limits.buffered_bytes
    }

    /// Whether a new segment should begin, with a checkpoint at its head.
    pub fn wants_rotation(&self) -> bool {
        self.length as usize + self.waiting.len() >= self.limits.segment_bytes && !self.full
    }

    /// Takes a record, to be written by the next [`Writer::flush`].
    ///
    /// # Errors
    /// If it is too large for a frame.
    pub fn append(&mut self, record: &impl Serialize) -> Result<u64, LedgerError> {
        encode(self.next, record, &mut self.waiting).map_err(|bytes| LedgerError::TooLarge { bytes })?;
        self.next += 1;
        Ok(self.next - 1)
    }

    /// Gives all that waits to the system. On an error it still waits, nothing half-written is left, and
    /// what was kept aside is let go, so that a second call may get through.
    ///
    /// # Errors
    /// The file system's.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut done = self.write();
        if done.is_err() && !std::mem::replace(&mut self.full, true) {
            let _ = self.volume.remove(RESERVE_FILE);
            done = self.write();
        }
        done
    }

    fn write(&mut self) -> io::Result<()> {
        let mut done = 0;
        while let Some(rest) = self.waiting.get(done..).filter(|r| !r.is_empty()) {
            match self.volume.append(rest) {
                Ok(0) => return self.undo(io::ErrorKind::WriteZero.into()),
                Ok(n) => done += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return self.undo(e),
            }
        }
        if done > 0 {
            self.length += done as u64;
            self.waiting.clear();
            self.unsynced = true;
        }
        Ok(())
    }

    /// A group is written whole or not at all: half a group is cut again.
    fn undo(&mut self, error: io::Error) -> io::Result<()> {
        self.volume.truncate(self.length)?;
        Err(error)
    }

    /// Has what was written brought to the disk; called at the stated interval.
    ///
    /// # Errors
    /// If an earlier call failed in the meantime, or this one can't begin.
    pub fn sync(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.unsynced) {
            self.volume.sync()?;
        }
        Ok(())
    }

    /// Tries whether there is room again: if what is kept aside can be kept aside anew.
    pub fn retry_reserve(&mut self) {
        if self.full
            && self.flush().is_ok()
            && self.volume.reserve_space(RESERVE_FILE, self.limits.reserve_bytes).is_ok()
        {
            self.full = false;
        }
    }

    /// Begins a new segment whose first record is the checkpoint.
    ///
    /// # Errors
    /// The file system's; the old segment goes on then, and the checkpoint was not taken.
    pub fn rotate(&mut self, checkpoint: &impl Serialize) -> Result<(), LedgerError> {
        let old = segment_name(self.segment);
        self.flush().map_err(LedgerError::io(&old))?;
        let name = segment_name(self.segment + 1);
        match begin(&mut self.volume, self.segment + 1, self.next) {
            Ok(length) => (self.segment, self.length) = (self.segment + 1, length),
            Err(e) => {
                self.volume.open(&old, self.length).map_err(LedgerError::io(&old))?;
                return Err(LedgerError::Io { place: name, source: e });
            }
        }
        self.append(checkpoint)?;
        self.flush().map_err(LedgerError::io(&name))
    }
}

fn begin(volume: &mut impl Volume, segment: u64, first: u64) -> io::Result<u64> {
    volume.create(&segment_name(segment))?;
    let head = head(first);
    match volume.append(&head) {
        Ok(n) if n == head.len() => Ok(n as u64),
        other => {
            let _ = volume.remove(&segment_name(segment));
            Err(other.err().unwrap_or_else(|| io::ErrorKind::WriteZero.into()))
        }
    }
}

impl Report {
    /// In words, for the log; none: nothing is wrong.
    pub fn describe_damage(&self) -> Option<String> {
        let mut out = Vec::new();
        if let (Tail::Torn(bytes), Some(name)) = (self.tail, self.segments.last()) {
            out.push(format!(
                "{name}: a torn tail of {bytes} bytes after byte {} was cut",
                self.valid_length
            ));
        }
        for (name, d) in &self.damage {
            out.push(format!(
                "{name}: bytes {}..{} are damaged; records {}..{} are lost",
                d.from, d.to, d.lost.0, d.lost.1
            ));
        }
        (!out.is_empty()).then(|| out.join("; "))
    }
}
