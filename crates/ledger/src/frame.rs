//! Encoding and decoding of segment heads and record frames, without I/O.
//!
//! A segment begins with `CYLEDGR1`, the number of its first record (u64) and the CRC-32C of these 16 bytes
//! (u32). A frame is the payload's length (u32), the record's number (u64), the payload (postcard) and the
//! CRC-32C of these fields (u32). Integers are little-endian.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
const MAGIC: &[u8; 8] = b"CYLEDGR1";
/// Length of a segment's head, in bytes.
pub(crate) const HEAD_BYTES: usize = 20;
/// Bytes of a frame before its payload: length and number.
const FRAME_PREFIX_BYTES: usize = 12;
/// Bytes of a frame after its payload.
const CHECKSUM_BYTES: usize = 4;
/// Maximum distance of a frame's number from the next expected one. A higher number is taken as damage.
const MAX_NUMBER_GAP: u64 = 10_000_000;

/// Why a segment's head is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SegmentHeadError {
    /// The segment is shorter than its head.
    #[error("cut within its head")]
    Truncated,
    /// The segment does not begin with the magic bytes.
    #[error("not a ledger's segment, or of another version")]
    UnknownFormat,
    /// The checksum of the head does not match.
    #[error("its head is damaged")]
    Damaged,
}

/// Encodes the head of a segment whose first record has the given number.
pub(crate) fn head(first: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(first.to_le_bytes());
    let crc = crc32c::crc32c(&out);
    out.extend(crc.to_le_bytes());
    out
}

/// Returns the number of a segment's first record.
pub(crate) fn read_head(bytes: &[u8]) -> Result<u64, SegmentHeadError> {
    let head = bytes.get(..HEAD_BYTES).ok_or(SegmentHeadError::Truncated)?;
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

/// Appends a record's frame and returns the frame's length.
///
/// # Errors
/// The payload's length if it exceeds [`MAX_PAYLOAD_BYTES`], or 0 if the record can't be encoded.
pub fn encode(number: u64, record: &impl Serialize, out: &mut Vec<u8>) -> Result<usize, usize> {
    let start = out.len();
    out.extend([0; 4]);
    out.extend(number.to_le_bytes());
    let taken = std::mem::take(out);
    *out = postcard::to_extend(record, taken).map_err(|_| 0_usize)?;
    let payload = out.len() - start - FRAME_PREFIX_BYTES;
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

/// A range of bytes that holds no valid frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damage {
    /// Offset of the first damaged byte in the segment.
    pub from: usize,
    /// Offset after the last damaged byte.
    pub to: usize,
    /// Numbers of the lost records: the first one, and the one after the last.
    pub lost: (u64, u64),
}

/// Iterates over the frames of a segment.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    next: u64,
    /// Damage skipped so far.
    pub damage: Vec<Damage>,
}

impl<'a> Frames<'a> {
    /// Starts after the head of a complete segment.
    ///
    /// # Errors
    /// If the head is invalid.
    pub fn new(bytes: &'a [u8]) -> Result<Self, SegmentHeadError> {
        Ok(Self { bytes, at: HEAD_BYTES, next: read_head(bytes)?, damage: Vec::new() })
    }

    /// Starts at an offset where a frame with number `next` is expected.
    pub fn resume(bytes: &'a [u8], at: usize, next: u64) -> Self {
        Self { bytes, at, next, damage: Vec::new() }
    }

    /// Offset after the last valid frame.
    pub fn valid_length(&self) -> usize {
        self.at
    }

    /// The expected number of the next record.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    fn frame(&self, at: usize) -> Option<(u64, &'a [u8], usize)> {
        let length = u32_at(self.bytes, at)? as usize;
        let number = u64_at(self.bytes, at.checked_add(4)?)?;
        if length > MAX_PAYLOAD_BYTES
            || number < self.next
            || number > self.next.saturating_add(MAX_NUMBER_GAP)
        {
            return None;
        }
        let end = at.checked_add(FRAME_PREFIX_BYTES)?.checked_add(length)?;
        let covered = self.bytes.get(at..end)?;
        if u32_at(self.bytes, end)? != crc32c::crc32c(covered) {
            return None;
        }
        Some((number, covered.get(FRAME_PREFIX_BYTES..)?, end + CHECKSUM_BYTES))
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = (u64, &'a [u8]);

    /// The next record's number and payload. After the last one, [`Frames::valid_length`] is the end of the valid
    /// part.
    fn next(&mut self) -> Option<Self::Item> {
        let mut at = self.at;
        let found = loop {
            if at + FRAME_PREFIX_BYTES + CHECKSUM_BYTES > self.bytes.len() {
                return None;
            }
            match self.frame(at) {
                // A frame directly after the last valid one must have the next number.
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

/// Decodes a payload. Returns `None` for a record of another version.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    postcard::from_bytes(payload).ok()
}
