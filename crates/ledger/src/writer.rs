//! Writes a ledger: groups of records, segment rotation and handling of a full disk.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::frame::{encode, head};
use crate::reader::{read, segments, Report, Tail};
use crate::volume::{segment_name, segment_number, Volume};
use crate::{segments_from_checkpoint, LedgerError};

/// Size limits of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Segment length in bytes from which a new segment is started.
    pub segment_bytes: usize,
    /// Bytes of reserved disk space. On a full disk the space is released, so that open requests can still be
    /// settled.
    pub reserve_bytes: usize,
    /// Bytes of unwritten records from which the ledger counts as unwritable.
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

/// Name of the file that reserves disk space.
const RESERVE_FILE: &str = "ballast";

/// Appends records to a ledger.
#[derive(Debug)]
pub struct Writer<V> {
    volume: V,
    limits: Limits,
    /// Number of the current segment.
    segment: u64,
    /// Length of the current segment, in bytes.
    length: u64,
    next: u64,
    /// Frames that were not written yet.
    waiting: Vec<u8>,
    /// Whether data was written since the last sync.
    unsynced: bool,
    /// Whether the disk is full: the reserved space was released or could not be reserved.
    full: bool,
}

/// Result of [`Writer::open`].
#[derive(Debug)]
pub struct Opened<V> {
    /// The writer, positioned after the last valid record.
    pub writer: Writer<V>,
    /// Result of reading the ledger.
    pub report: Report,
}

impl<V: Volume> Writer<V> {
    /// Opens a ledger, passes its records from the last checkpoint to `take` and truncates a torn tail.
    ///
    /// # Errors
    /// If the ledger can't be read or prepared for writing.
    pub fn open<T: DeserializeOwned>(
        volume: V,
        limits: Limits,
        is_checkpoint: impl Fn(&T) -> bool,
        take: impl FnMut(u64, T),
    ) -> Result<Opened<V>, LedgerError> {
        let report = Self::read(&volume, is_checkpoint, take)?;
        let writer = Self::resume(volume, limits, &report)?;
        Ok(Opened { writer, report })
    }

    /// Passes a ledger's records from the last checkpoint to `take`, and changes nothing.
    ///
    /// # Errors
    /// If the ledger can't be read.
    pub fn read<T: DeserializeOwned>(
        volume: &V,
        is_checkpoint: impl Fn(&T) -> bool,
        take: impl FnMut(u64, T),
    ) -> Result<Report, LedgerError> {
        let names = segments_from_checkpoint(volume, is_checkpoint)?;
        read(volume, &names, take)
    }

    /// Prepares a ledger for writing after its last valid record and truncates a torn tail. Nobody may have written to it
    /// since `report` was made.
    ///
    /// # Errors
    /// If the ledger can't be prepared for writing.
    pub fn resume(mut volume: V, limits: Limits, report: &Report) -> Result<Self, LedgerError> {
        let newest = segments(&volume)?.last().cloned();
        let (segment, length) = match &newest {
            // The head is incomplete: the segment is created again.
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
            None => create_segment(&mut volume, segment, report.next)
                .map_err(LedgerError::io(&segment_name(segment)))?,
        };
        let full = volume.reserve_space(RESERVE_FILE, limits.reserve_bytes).is_err();
        let next = report.next;
        Ok(Self { volume, limits, segment, length, next, waiting: Vec::new(), unsynced: false, full })
    }

    /// The storage of the ledger's files.
    pub fn volume(&self) -> &V {
        &self.volume
    }

    /// Number of the next record.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether new requests may be admitted: the disk is not full and few records wait to be written.
    pub fn is_writable(&self) -> bool {
        !self.full && self.waiting.len() < self.limits.buffered_bytes
    }

    /// Whether a new segment should be started with a checkpoint.
    pub fn wants_rotation(&self) -> bool {
        self.length as usize + self.waiting.len() >= self.limits.segment_bytes && !self.full
    }

    /// Queues a record for the next [`Writer::flush`] and returns its number.
    ///
    /// # Errors
    /// If the record is too large for a frame.
    pub fn append(&mut self, record: &impl Serialize) -> Result<u64, LedgerError> {
        encode(self.next, record, &mut self.waiting).map_err(|bytes| LedgerError::TooLarge { bytes })?;
        self.next += 1;
        Ok(self.next - 1)
    }

    /// Writes all queued records. On the first error the reserved space is released and the write is tried again.
    /// If that fails too, the records stay queued and a partial write is truncated.
    ///
    /// # Errors
    /// Returns errors of the file system.
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
                Ok(0) => return self.roll_back(io::ErrorKind::WriteZero.into()),
                Ok(n) => done += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return self.roll_back(e),
            }
        }
        if done > 0 {
            self.length += done as u64;
            self.waiting.clear();
            self.unsynced = true;
        }
        Ok(())
    }

    /// Truncates a partial write: a group is written completely or not at all.
    fn roll_back(&mut self, error: io::Error) -> io::Result<()> {
        self.volume.truncate(self.length)?;
        Err(error)
    }

    /// Starts to sync written records to the disk. The caller calls this periodically.
    ///
    /// # Errors
    /// If an earlier sync failed or this one can't be started.
    pub fn sync(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.unsynced) {
            self.volume.sync()?;
        }
        Ok(())
    }

    /// Checks whether a full disk has free space again, by writing queued records and reserving the space anew.
    pub fn retry_reserve(&mut self) {
        if self.full
            && self.flush().is_ok()
            && self.volume.reserve_space(RESERVE_FILE, self.limits.reserve_bytes).is_ok()
        {
            self.full = false;
        }
    }

    /// Starts a new segment whose first record is the checkpoint.
    ///
    /// # Errors
    /// Returns errors of the file system. If the segment can't be created, the old one stays in use and the
    /// checkpoint is not queued.
    pub fn rotate(&mut self, checkpoint: &impl Serialize) -> Result<(), LedgerError> {
        let old = segment_name(self.segment);
        self.flush().map_err(LedgerError::io(&old))?;
        let name = segment_name(self.segment + 1);
        match create_segment(&mut self.volume, self.segment + 1, self.next) {
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

fn create_segment(volume: &mut impl Volume, segment: u64, first: u64) -> io::Result<u64> {
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
    /// Describes the damage for the log. Returns `None` if nothing is damaged.
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
