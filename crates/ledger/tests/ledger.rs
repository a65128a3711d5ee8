//! Tests of crashes, damage and full disks, with an in-memory volume and with the real file system.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, clippy::panic, missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use chalkyard_ledger::*;
use proptest::prelude::*;

/// In-memory files with a limited capacity. An append beyond the capacity is partial, as on a full disk.
#[derive(Debug, Clone)]
struct Memory {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    capacity: Rc<RefCell<usize>>,
    current: String,
}

impl Memory {
    fn new(capacity: usize) -> Self {
        Self { files: Rc::default(), capacity: Rc::new(RefCell::new(capacity)), current: String::new() }
    }

    fn used(&self) -> usize {
        self.files.borrow().values().map(Vec::len).sum()
    }
}

impl Volume for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.borrow().keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.borrow().get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        assert!(self.files.borrow_mut().insert(name.into(), Vec::new()).is_none());
        self.current = name.into();
        Ok(())
    }
    fn open(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.current = name.into();
        self.truncate(length)
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let free = self.capacity.borrow().saturating_sub(self.used());
        if free == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let n = bytes.len().min(free);
        self.files.borrow_mut().get_mut(&self.current).unwrap().extend(&bytes[..n]);
        Ok(n)
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.files.borrow_mut().get_mut(&self.current).unwrap().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn reserve_space(&mut self, name: &str, bytes: usize) -> io::Result<()> {
        if self.capacity.borrow().saturating_sub(self.used()) < bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.borrow_mut().insert(name.into(), vec![0; bytes]);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

type Entry = (u32, String);

fn entry(i: u32) -> Entry {
    (i, "x".repeat(i as usize % 17))
}

fn no_checkpoint(_: &Entry) -> bool {
    false
}

fn open(volume: Memory, limits: Limits) -> (Writer<Memory>, Report, Vec<(u64, Entry)>) {
    let mut got = Vec::new();
    let opened = Writer::open(volume, limits, no_checkpoint, |n, r: Entry| got.push((n, r))).unwrap();
    (opened.writer, opened.report, got)
}

const LIMITS: Limits = Limits { segment_bytes: 1 << 20, reserve_bytes: 256, buffered_bytes: 512 };

fn written(n: u32) -> (Memory, Vec<usize>) {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    let mut ends = Vec::new();
    for i in 0..n {
        w.append(&entry(i)).unwrap();
        w.flush().unwrap();
        ends.push(volume.files.borrow()[&segment_name(1)].len());
    }
    (volume, ends)
}

/// A crash can leave a segment of any length: complete records are read, the rest is truncated and writing
/// continues.
#[test]
fn cut_at_every_byte() {
    let (volume, ends) = written(12);
    let whole = volume.files.borrow()[&segment_name(1)].clone();
    for length in 0..=whole.len() {
        let cut = Memory::new(1 << 20);
        cut.files.borrow_mut().insert(segment_name(1), whole[..length].to_vec());
        let (mut w, report, got) = open(cut.clone(), LIMITS);
        let expected = ends.iter().filter(|e| **e <= length).count();
        assert_eq!(got.len(), expected, "length {length}");
        assert_eq!(report.damage, []);
        assert_eq!(w.append(&entry(99)).unwrap(), expected as u64 + 1);
        w.flush().unwrap();
        drop(w);
        let (_, report, got) = open(cut, LIMITS);
        assert_eq!((got.len(), report.describe_damage()), (expected + 1, None));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// A changed bit in any byte is detected. All other records are read in order, and no record is read that was
    /// not written.
    #[test]
    fn flipped_at_every_byte(bit in 0..8_u32, n in 2..9_u32) {
        let (volume, ends) = written(n);
        let whole = volume.files.borrow()[&segment_name(1)].clone();
        for at in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            let flipped = Memory::new(1 << 20);
            flipped.files.borrow_mut().insert(segment_name(1), bytes);
            let names = [segment_name(1)];
            let mut got = Vec::new();
            let read = read(&flipped, &names, |n, r: Entry| got.push((n, r)));
            if at < 20 {
                prop_assert!(matches!(read, Err(LedgerError::InvalidHead { .. })), "a damaged head is refused: {at}");
                continue;
            }
            let report = read.unwrap();
            let hit = ends.iter().position(|e| at < *e).unwrap() as u32;
            let expected: Vec<(u64, Entry)> =
                (0..n).filter(|i| *i != hit).map(|i| (u64::from(i) + 1, entry(i))).collect();
            prop_assert_eq!(got, expected);
            prop_assert!(report.describe_damage().is_some());
        }
    }

    /// Reading arbitrary bytes terminates, counts each returned record and reports the rest as torn.
    #[test]
    fn arbitrary_bytes_after_the_head(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let volume = Memory::new(1 << 20);
        let mut file = written(0).0.files.borrow()[&segment_name(1)].clone();
        file.extend(&bytes);
        volume.files.borrow_mut().insert(segment_name(1), file);
        let mut n = 0;
        let report = read(&volume, &[segment_name(1)], |_, _: Entry| n += 1).unwrap();
        prop_assert_eq!(report.records, n);
        prop_assert_eq!(report.tail == Tail::Complete, bytes.is_empty());
    }
}

/// On a full disk the ledger is not writable for new requests, settlements of open requests use the reserved
/// space, and the ledger becomes writable again when the disk has free space.
#[test]
fn full_disk_blocks_new_requests_and_still_takes_settlements() {
    let volume = Memory::new(600);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    let mut admitted = 0_u32;
    while w.is_writable() {
        w.append(&entry(admitted)).unwrap();
        w.flush().unwrap();
        admitted += 1;
    }
    assert!(admitted > 3 && volume.list().unwrap() == [segment_name(1)], "the ballast is gone");
    // Settlements of open requests can still be written.
    for i in 0..3 {
        w.append(&entry(1_000 + i)).unwrap();
        w.flush().unwrap();
    }
    // Then further records stay queued and no partial write remains.
    let mut waiting = 0;
    while w.flush().is_ok() {
        w.append(&entry(2_000 + waiting)).unwrap();
        waiting += 1;
    }
    let before = volume.files.borrow()[&segment_name(1)].clone();
    assert!(w.flush().is_err());
    assert_eq!(volume.files.borrow()[&segment_name(1)], before);
    w.retry_reserve();
    assert!(!w.is_writable(), "still no room");
    *volume.capacity.borrow_mut() = 1 << 20;
    w.retry_reserve();
    assert!(w.is_writable());
    drop(w);
    let (_, report, got) = open(volume, LIMITS);
    assert_eq!(got.len() as u32, admitted + 3 + waiting);
    assert_eq!(report.describe_damage(), None);
}

/// If the disk has no room for a new segment's head, the old segment stays in use and later records are not lost.
#[test]
fn failed_rotation_keeps_the_old_segment() {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    for i in 0..10 {
        w.append(&entry(i)).unwrap();
    }
    w.flush().unwrap();
    for left in [0, 1, 19] {
        *volume.capacity.borrow_mut() = volume.used() + left;
        assert!(w.rotate(&entry(99)).is_err(), "{left}");
        assert_eq!(volume.list().unwrap(), [segment_name(1), "ballast".into()], "{left}");
    }
    *volume.capacity.borrow_mut() = 1 << 20;
    w.append(&entry(10)).unwrap();
    w.flush().unwrap();
    drop(w);
    let (_, report, got) = open(volume, LIMITS);
    assert_eq!((got.len(), report.describe_damage()), (11, None));
}

#[test]
fn reading_begins_at_the_last_checkpoint() {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), Limits { segment_bytes: 200, ..LIMITS });
    let mut rotations = 0;
    for i in 0..60 {
        w.append(&entry(i)).unwrap();
        w.flush().unwrap();
        if w.wants_rotation() {
            w.rotate(&(u32::MAX, format!("up to {i}"))).unwrap();
            rotations += 1;
        }
    }
    assert!(rotations > 3);
    drop(w);
    let mut got: Vec<(u64, Entry)> = Vec::new();
    let limits = Limits { segment_bytes: 200, ..LIMITS };
    let opened =
        Writer::open(volume.clone(), limits, |r: &Entry| r.0 == u32::MAX, |n, r| got.push((n, r))).unwrap();
    assert_eq!(got[0].1 .0, u32::MAX);
    assert_eq!((opened.report.segments.len(), opened.writer.next()), (1, 61 + rotations));
    // A bill reads all segments: no number is missing.
    let names: Vec<String> =
        volume.list().unwrap().into_iter().filter(|n| segment_number(n).is_some()).collect();
    let mut numbers = Vec::new();
    read(&volume, &names, |n, _: Entry| numbers.push(n)).unwrap();
    assert_eq!(numbers, (1..61 + rotations).collect::<Vec<u64>>());
}

/// A follower delivers each record once across rotations, and restarts when the ledger has lost records.
#[test]
fn a_ledger_is_followed_while_it_is_written() {
    let dir = tempfile::tempdir().unwrap();
    let limits = Limits { segment_bytes: 300, ..LIMITS };
    let checkpoint = |r: &Entry| r.0 == u32::MAX;
    let reopen = || {
        Writer::open(DirectoryVolume::writer(dir.path()).unwrap(), limits, checkpoint, |_, _| {})
            .unwrap()
            .writer
    };
    let mut w = reopen();
    let mut follower = Follower::new(dir.path());
    let (mut got, mut again) = (Vec::new(), 0);
    let mut poll = |got: &mut Vec<u64>| {
        let mut again = 0;
        let told = follower.poll(checkpoint, |item| match item {
            FollowEvent::Restart => {
                got.clear();
                again += 1;
            }
            FollowEvent::Record(n, _) => got.push(n),
        });
        assert_eq!(told.unwrap(), None);
        again
    };
    for i in 0..100_u32 {
        w.append(&entry(i)).unwrap();
        w.flush().unwrap();
        if w.wants_rotation() {
            w.rotate(&(u32::MAX, String::new())).unwrap();
        }
        if i % 7 == 0 {
            again += poll(&mut got);
        }
    }
    again += poll(&mut got);
    assert_eq!((got.clone(), again), ((1..w.next()).collect::<Vec<u64>>(), 1));
    // The tail is lost, and other records get its numbers.
    drop(w);
    let newest = std::fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path());
    let newest = newest.filter(|p| p.extension().is_some_and(|e| e == "ledger")).max().unwrap();
    let length = std::fs::metadata(&newest).unwrap().len();
    std::fs::File::options().write(true).open(&newest).unwrap().set_len(length - 3).unwrap();
    let mut w = reopen();
    for i in 0..5 {
        w.append(&entry(500 + i)).unwrap();
    }
    w.flush().unwrap();
    assert_eq!(poll(&mut got), 1, "read again from the checkpoint on");
    assert_eq!(got.last(), Some(&(w.next() - 1)));
    assert!(got.windows(2).all(|p| p[1] == p[0] + 1));
}

#[test]
fn a_folder_is_written_by_one_process_and_read_by_others() {
    let dir = tempfile::tempdir().unwrap();
    let folder = DirectoryVolume::writer(dir.path()).unwrap();
    let opened = Writer::open(folder, LIMITS, no_checkpoint, |_, _: Entry| {}).unwrap();
    let mut w = opened.writer;
    assert_eq!(DirectoryVolume::writer(dir.path()).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    w.append(&entry(7)).unwrap();
    w.flush().unwrap();
    w.sync().unwrap();
    let mut got = Vec::new();
    read(&DirectoryVolume::reader(dir.path()), &[segment_name(1)], |n, r: Entry| got.push((n, r))).unwrap();
    assert_eq!(got, [(1, entry(7))]);
    std::fs::write(dir.path().join(segment_name(2)), "something else that is longer than a head").unwrap();
    drop(w);
    let folder = DirectoryVolume::writer(dir.path()).unwrap();
    let refused = Writer::open(folder, LIMITS, no_checkpoint, |_, _: Entry| {});
    assert!(refused.err().unwrap().to_string().contains("000000000002.ledger: not a ledger's segment"));
}
