//! Compatibility of the stored format: ledgers of an earlier build are read with the same values, damaged ledgers
//! give the same reports and errors, and the same records are written as the same bytes.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, clippy::panic, missing_docs)]

use std::path::{Path, PathBuf};

use chalkyard_ledger::*;
use serde::{Deserialize, Serialize};

/// A record type with one variant of each shape that postcard supports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Entry {
    Unit,
    Number(u64),
    Pair(u32, String),
    Named { signed: i64, option: Option<Box<str>>, list: Vec<u8> },
    Checkpoint(Vec<u64>),
}

fn is_checkpoint(entry: &Entry) -> bool {
    matches!(entry, Entry::Checkpoint(_))
}

/// Records of the first segment.
fn first_segment() -> Vec<Entry> {
    vec![
        Entry::Unit,
        Entry::Number(1_796_100_000_000_000),
        Entry::Pair(300, "nord".into()),
        Entry::Named { signed: -250, option: Some("help".into()), list: vec![0, 127, 128, 255] },
        Entry::Named { signed: i64::MAX, option: None, list: vec![] },
    ]
}

/// Records of the second segment, which begins with a checkpoint.
fn second_segment() -> Vec<Entry> {
    vec![Entry::Checkpoint(vec![1, 2, 300]), Entry::Number(u64::MAX)]
}

fn data(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(folder)
}

fn bytes(folder: &str, segment: u64) -> Vec<u8> {
    std::fs::read(data(folder).join(segment_name(segment))).unwrap()
}

fn numbered(first: u64, entries: Vec<Entry>) -> Vec<(u64, Entry)> {
    (first..).zip(entries).collect()
}

fn read_all(folder: &str, segments: &[u64]) -> Result<(Report, Vec<(u64, Entry)>), LedgerError> {
    let names: Vec<String> = segments.iter().map(|n| segment_name(*n)).collect();
    let mut records = Vec::new();
    let report = read(&DirectoryVolume::reader(&data(folder)), &names, |n, entry| records.push((n, entry)))?;
    Ok((report, records))
}

#[test]
fn complete_ledger_gives_its_records_and_an_empty_report() {
    let (report, records) = read_all("complete", &[1, 2]).unwrap();
    let mut expected = numbered(1, first_segment());
    expected.extend(numbered(6, second_segment()));
    assert_eq!(records, expected);
    assert_eq!(
        report,
        Report {
            segments: vec!["000000000001.ledger".into(), "000000000002.ledger".into()],
            records: 7,
            next: 8,
            valid_length: bytes("complete", 2).len(),
            tail: Tail::Complete,
            damage: vec![],
        }
    );
    assert_eq!(report.describe_damage(), None);
}

#[test]
fn checkpoint_at_a_segments_head_is_where_recovery_begins() {
    let volume = DirectoryVolume::reader(&data("complete"));
    assert_eq!(segments_from_checkpoint(&volume, is_checkpoint).unwrap(), ["000000000002.ledger"]);
    assert_eq!(
        segments_from_checkpoint(&volume, |_: &Entry| false).unwrap(),
        ["000000000001.ledger", "000000000002.ledger"]
    );
}

#[test]
fn follower_gives_the_records_from_the_last_checkpoint_on() {
    let mut items = Vec::new();
    let mut follower = Follower::new(&data("complete"));
    assert_eq!(follower.poll(is_checkpoint, |item| items.push(item)).unwrap(), None);
    let mut expected = vec![FollowEvent::Restart];
    expected
        .extend(numbered(6, second_segment()).into_iter().map(|(n, entry)| FollowEvent::Record(n, entry)));
    assert_eq!(items, expected);
    assert_eq!(follower.poll(is_checkpoint, |item| items.push(item)).unwrap(), None);
    assert_eq!(items, expected, "nothing new");
}

#[test]
fn frames_of_the_same_records_are_the_same_bytes() {
    for (segment, first, entries) in [(1, 1, first_segment()), (2, 6, second_segment())] {
        let mut frames = Vec::new();
        for (number, entry) in numbered(first, entries) {
            let before = frames.len();
            let length = encode(number, &entry, &mut frames).unwrap();
            assert_eq!(length, frames.len() - before);
        }
        assert_eq!(frames, bytes("complete", segment)[20..], "segment {segment}");
    }
}

#[test]
fn writer_of_the_same_records_gives_the_same_files() {
    let dir = tempfile::tempdir().unwrap();
    let limits = Limits { segment_bytes: 1 << 20, reserve_bytes: 0, buffered_bytes: 1 << 20 };
    let volume = DirectoryVolume::writer(dir.path()).unwrap();
    let mut writer = Writer::open(volume, limits, is_checkpoint, |_, _| {}).unwrap().writer;
    for (number, entry) in numbered(1, first_segment()) {
        assert_eq!(writer.append(&entry).unwrap(), number);
    }
    let second = second_segment();
    writer.rotate(&second[0]).unwrap();
    writer.append(&second[1]).unwrap();
    writer.flush().unwrap();
    drop(writer);
    for segment in [1, 2] {
        let written = std::fs::read(dir.path().join(segment_name(segment))).unwrap();
        assert_eq!(written, bytes("complete", segment), "segment {segment}");
    }
}

/// The segment ends within the fourth record, as after a crash.
#[test]
fn torn_tail_is_reported_and_the_records_before_it_are_read() {
    let (report, records) = read_all("torn", &[1]).unwrap();
    assert_eq!(records, numbered(1, first_segment()[..3].to_vec()));
    assert_eq!((report.records, report.next, report.valid_length, report.tail), (3, 4, 86, Tail::Torn(18)));
    assert_eq!(report.damage, []);
    assert_eq!(
        report.describe_damage().unwrap(),
        "000000000001.ledger: a torn tail of 18 bytes after byte 86 was cut"
    );
}

/// The third record has a changed byte.
#[test]
fn damaged_record_is_skipped_and_reported_by_place_and_number() {
    let (report, records) = read_all("damaged", &[1]).unwrap();
    let mut expected = numbered(1, first_segment());
    expected.remove(2);
    assert_eq!(records, expected);
    let damage = Damage { from: 62, to: 86, lost: (3, 4) };
    assert_eq!(report.damage, [("000000000001.ledger".into(), damage)]);
    assert_eq!((report.records, report.next, report.tail), (4, 6, Tail::Complete));
    assert_eq!(
        report.describe_damage().unwrap(),
        "000000000001.ledger: bytes 62..86 are damaged; records 3..4 are lost"
    );
}

/// The second record has a variant that this build does not know, and a valid checksum.
#[test]
fn record_of_another_version_is_skipped_and_reported() {
    let (report, records) = read_all("unknown-variant", &[1]).unwrap();
    assert_eq!(records, [(1, Entry::Unit), (3, Entry::Unit)]);
    assert_eq!(report.records, 3);
    assert_eq!(
        report.describe_damage().unwrap(),
        "000000000001.ledger: bytes 53..58 are damaged; records 2..3 are lost"
    );
}

#[test]
fn segment_of_another_format_is_refused_with_name_and_cause() {
    let cases = [
        ("bad-magic", "000000000001.ledger: not a ledger's segment, or of another version"),
        ("bad-head", "000000000001.ledger: its head is damaged"),
    ];
    for (folder, expected) in cases {
        let error = read_all(folder, &[1]).unwrap_err();
        assert!(matches!(error, LedgerError::InvalidHead { .. }), "{error:?}");
        assert_eq!(error.to_string(), expected);
    }
    // An incomplete head is the result of a crash at the newest segment, and an error at an older one.
    let (report, records) = read_all("cut-head", &[1]).unwrap();
    assert_eq!((records, report.valid_length, report.tail), (vec![], 0, Tail::Torn(11)));
    let volume = DirectoryVolume::reader(&data("cut-head"));
    let names = [segment_name(1), segment_name(2)];
    let error = read(&volume, &names, |_, _: Entry| {}).unwrap_err();
    assert_eq!(error.to_string(), "000000000001.ledger: cut within its head");
}

#[test]
fn missing_segment_is_an_io_error_with_its_name() {
    let error = read_all("complete", &[9]).unwrap_err();
    assert!(matches!(error, LedgerError::Io { .. }), "{error:?}");
    assert!(error.to_string().starts_with("000000000009.ledger: "), "{error}");
}

#[test]
fn errors_have_the_same_texts() {
    assert_eq!(
        LedgerError::Locked { place: "here".into() }.to_string(),
        "here: another process writes this ledger"
    );
    assert_eq!(
        LedgerError::TooLarge { bytes: 67_108_865 }.to_string(),
        "a record of 67108865 bytes is larger than 67108864"
    );
}
