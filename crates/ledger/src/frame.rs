//! Frames: bytes to records and back, sans-IO.
//!
//! A segment begins with `CYLEDGR1`, the number of its first record (u64) and the CRC-32C of these 16 bytes
//! (u32). A frame is the payload's length (u32), the record's number (u64), the payload (postcard), and the
//! CRC-32C of all that (u32). All little-endian.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The largest payload.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
const MAGIC: &[u8; 8] = b"CYLEDGR1";
/// Bytes of a segment's head.
pub(crate) const HEAD: usize = 20;
const BEFORE: usize = 12;
const AFTER: usize = 4;
/// After damage, a frame is taken for one if its number is at most so far ahead.
const AHEAD: u64 = 10_000_000;

/// Why a segment's head can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SegmentHeadError {
    /// The segment is shorter than a head.
    #[error("cut within its head")]
    Truncated,
    /// It begins otherwise.
    #[error("not a ledger's segment, or of another version")]
    UnknownFormat,
    /// The checksum is wrong.
    #[error("its head is damaged")]
    Damaged,
}

/// A segment's head.
pub(crate) fn head(first: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(first.to_le_bytes());
    let crc = crc32c::crc32c(&out);
    out.extend(crc.to_le_bytes());
    out
}

/// The number of a segment's first record.
pub(crate) fn read_head(bytes: &[u8]) -> Result<u64, SegmentHeadError> {
    let head = bytes.get(..HEAD).ok_or(SegmentHeadError::Truncated)?;
    let (front, crc) = head.split_at(16);
    let (magic, first) = front.split_at(8);
    if magic != MAGIC {
        return Err(SegmentHeadError::UnknownFormat);
    }
    if u32_at(crc, 0) != Some(crc32c::crc32c(front)) {
        return Err(SegmentHeadError::Damaged);
    }
    u64_at(first, 0).ok_or(SegmentHeadError::Truncated)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at.checked_add(4)?)?.try_into().ok().map(u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    bytes.get(at..at.checked_add(8)?)?.try_into().ok().map(u64::from_le_bytes)
}

/// Appends a record's frame; its length.
///
/// # Errors
/// The payload's length, if it is too large or can't be encoded.
pub fn encode(number: u64, record: &impl Serialize, out: &mut Vec<u8>) -> Result<usize, usize> {
    let start = out.len();
    out.extend([0; 4]);
    out.extend(number.to_le_bytes());
    let taken = std::mem::take(out);
    *out = postcard::to_extend(record, taken).map_err(|_| 0_usize)?;
    let payload = out.len() - start - BEFORE;
    let Some(length) = u32::try_from(payload).ok().filter(|_| payload <= MAX_PAYLOAD_BYTES) else {
        out.truncate(start);
        return Err(payload);
    };
    if let Some(place) = out.get_mut(start..start + 4) {
        place.copy_from_slice(&length.to_le_bytes());
    }
    let crc = crc32c::crc32c(out.get(start..).unwrap_or_default());
    out.extend(crc.to_le_bytes());
    Ok(out.len() - start)
}

/// Bytes that are no frame, between two that are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damage {
    /// Offset in the segment.
    pub from: usize,
    /// First byte after it.
    pub to: usize,
    /// Numbers of records that are missing: from, and first after.
    pub lost: (u64, u64),
}

/// The frames of a segment.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    next: u64,
    /// Damage stepped over so far.
    pub damage: Vec<Damage>,
}

impl<'a> Frames<'a> {
    /// Of a whole segment.
    ///
    /// # Errors
    /// What is wrong with its head.
    pub fn new(bytes: &'a [u8]) -> Result<Self, SegmentHeadError> {
        Ok(Self { bytes, at: HEAD, next: read_head(bytes)?, damage: Vec::new() })
    }

    /// Goes on at an offset at which a frame with this number is expected.
    pub fn resume(bytes: &'a [u8], at: usize, next: u64) -> Self {
        Self { bytes, at, next, damage: Vec::new() }
    }

    /// Offset after the last good frame.
    pub fn valid_length(&self) -> usize {
        self.at
    }

    /// The number that the next record should have.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    fn frame(&self, at: usize) -> Option<(u64, &'a [u8], usize)> {
        let length = u32_at(self.bytes, at)? as usize;
        let number = u64_at(self.bytes, at.checked_add(4)?)?;
        if length > MAX_PAYLOAD_BYTES || number < self.next || number > self.next.saturating_add(AHEAD) {
            return None;
        }
        let end = at.checked_add(BEFORE)?.checked_add(length)?;
        let covered = self.bytes.get(at..end)?;
        if u32_at(self.bytes, end)? != crc32c::crc32c(covered) {
            return None;
        }
        Some((number, covered.get(BEFORE..)?, end + AFTER))
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = (u64, &'a [u8]);

    /// The next record's number and payload. At the end, [`Frames::valid_length`] says where the good part ends.
    fn next(&mut self) -> Option<Self::Item> {
        let mut at = self.at;
        let found = loop {
            if at + BEFORE + AFTER > self.bytes.len() {
                return None;
            }
            match self.frame(at) {
                // Without damage before it, the number must be the next one.
                Some(found) if at > self.at || found.0 == self.next => break found,
                _ => at += 1,
            }
        };
        let (number, payload, end) = found;
        if at > self.at {
            self.damage.push(Damage { from: self.at, to: at, lost: (self.next, number) });
        }
        (self.at, self.next) = (end, number + 1);
        Some((number, payload))
    }
}

/// A record from its payload; none: of another version.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    postcard::from_bytes(payload).ok()
}
