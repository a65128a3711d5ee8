//! Reads a complete ledger, or a ledger from its last checkpoint.

use serde::de::DeserializeOwned;

use crate::frame::{decode, Damage, Frames, HEAD_BYTES};
use crate::volume::{segment_number, Volume};
use crate::LedgerError;

/// How the newest segment ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// With a complete record, or without any record.
    Complete,
    /// With this many bytes of an incomplete record, cut by a crash.
    Torn(usize),
}

/// Result of reading a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Segments read, by name.
    pub segments: Vec<String>,
    /// Records read.
    pub records: u64,
    /// Number of the next record.
    pub next: u64,
    /// Length of the valid part of the newest segment, in bytes.
    pub valid_length: usize,
    /// How the newest segment ends.
    pub tail: Tail,
    /// Skipped damage by segment, including records that could not be decoded.
    pub damage: Vec<(String, Damage)>,
}

/// Lists the segments from the newest one that begins with a checkpoint, or all segments if none does.
///
/// # Errors
/// If the volume can't be read.
pub fn segments_from_checkpoint<T: DeserializeOwned>(
    volume: &impl Volume,
    is_checkpoint: impl Fn(&T) -> bool,
) -> Result<Vec<String>, LedgerError> {
    let all = segments(volume)?;
    for (i, name) in all.iter().enumerate().rev() {
        let bytes = volume.read(name).map_err(LedgerError::io(name))?;
        let Ok(mut frames) = Frames::new(&bytes) else { continue };
        let first = frames.next().filter(|_| frames.damage.is_empty()).and_then(|(_, p)| decode(p));
        if first.is_some_and(|record| is_checkpoint(&record)) {
            return Ok(all.get(i..).unwrap_or_default().to_vec());
        }
    }
    Ok(all)
}

pub(crate) fn segments(volume: &impl Volume) -> Result<Vec<String>, LedgerError> {
    let names = volume.list().map_err(LedgerError::io("ledger"))?;
    let mut numbered: Vec<(u64, String)> =
        names.into_iter().filter_map(|n| segment_number(&n).map(|i| (i, n))).collect();
    numbered.sort();
    Ok(numbered.into_iter().map(|(_, n)| n).collect())
}

/// Reads segments in order and passes each record with its number to `take`.
///
/// # Errors
/// If a segment can't be read or has an invalid head. A newest segment no longer than a head counts as empty:
/// a crash cut it.
pub fn read<T: DeserializeOwned>(
    volume: &impl Volume,
    names: &[String],
    mut take: impl FnMut(u64, T),
) -> Result<Report, LedgerError> {
    let mut report = Report {
        segments: names.to_vec(),
        records: 0,
        next: 1,
        valid_length: 0,
        tail: Tail::Complete,
        damage: Vec::new(),
    };
    for (i, name) in names.iter().enumerate() {
        let newest = i + 1 == names.len();
        let bytes = volume.read(name).map_err(LedgerError::io(name))?;
        let mut frames = match Frames::new(&bytes) {
            Ok(frames) => frames,
            Err(_) if newest && bytes.len() <= HEAD_BYTES => {
                report.valid_length = 0;
                report.tail = Tail::Torn(bytes.len());
                continue;
            }
            Err(source) => return Err(LedgerError::InvalidHead { segment: name.clone(), source }),
        };
        while let Some((number, payload)) = frames.next() {
            match decode(payload) {
                Some(record) => take(number, record),
                None => {
                    let at = frames.valid_length();
                    let lost = (number, number + 1);
                    report.damage.push((name.clone(), Damage { from: at - payload.len(), to: at, lost }));
                }
            }
            report.records += 1;
        }
        report.damage.extend(std::mem::take(&mut frames.damage).into_iter().map(|d| (name.clone(), d)));
        report.next = report.next.max(frames.next_number());
        report.valid_length = frames.valid_length();
        let rest = bytes.len() - frames.valid_length();
        report.tail = if rest == 0 { Tail::Complete } else { Tail::Torn(rest) };
        if rest > 0 && !newest {
            let lost = (frames.next_number(), frames.next_number());
            report.damage.push((name.clone(), Damage { from: frames.valid_length(), to: bytes.len(), lost }));
        }
    }
    Ok(report)
}
