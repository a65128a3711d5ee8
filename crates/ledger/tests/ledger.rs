//! Crashes, damage and full disks, on a volume with faults and on the real file system.
#![allow(clippy::unwrap_used, clippy::indexing_slicing, clippy::panic, missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use chalkyard_ledger::*;
use proptest::prelude::*;

/// Files in memory, with so much room; appends are cut at its end, as disks do.
#[derive(Debug, Clone)]
struct Memory {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    room: Rc<RefCell<usize>>,
    current: String,
}

impl Memory {
    fn new(room: usize) -> Self {
        Self { files: Rc::default(), room: Rc::new(RefCell::new(room)), current: String::new() }
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
        let free = self.room.borrow().saturating_sub(self.used());
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
        if self.room.borrow().saturating_sub(self.used()) < bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.borrow_mut().insert(name.into(), vec![0; bytes]);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

type Rec = (u32, String);

fn rec(i: u32) -> Rec {
    (i, "x".repeat(i as usize % 17))
}

fn no_checkpoint(_: &Rec) -> bool {
    false
}

fn open(volume: Memory, limits: Limits) -> (Writer<Memory>, Report, Vec<(u64, Rec)>) {
    let mut got = Vec::new();
    let opened = Writer::open(volume, limits, no_checkpoint, |n, r: Rec| got.push((n, r))).unwrap();
    (opened.writer, opened.report, got)
}

const LIMITS: Limits = Limits { segment_bytes: 1 << 20, reserve_bytes: 256, buffered_bytes: 512 };

fn written(n: u32) -> (Memory, Vec<usize>) {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    let mut ends = Vec::new();
    for i in 0..n {
        w.append(&rec(i)).unwrap();
        w.flush().unwrap();
        ends.push(volume.files.borrow()[&segment_name(1)].len());
    }
    (volume, ends)
}

/// Every length that a crash can leave: what was whole is read, the rest is cut, and writing goes on.
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
        assert_eq!(w.append(&rec(99)).unwrap(), expected as u64 + 1);
        w.flush().unwrap();
        drop(w);
        let (_, report, got) = open(cut, LIMITS);
        assert_eq!((got.len(), report.describe_damage()), (expected + 1, None));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// A changed byte anywhere is noticed; all records that it does not touch are read, in order, and never
    /// one that was not written.
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
            let read = read(&flipped, &names, |n, r: Rec| got.push((n, r)));
            if at < 20 {
                prop_assert!(matches!(read, Err(LedgerError::InvalidHead { .. })), "a damaged head is refused: {at}");
                continue;
            }
            let report = read.unwrap();
            let hit = ends.iter().position(|e| at < *e).unwrap() as u32;
            let expected: Vec<(u64, Rec)> =
                (0..n).filter(|i| *i != hit).map(|i| (u64::from(i) + 1, rec(i))).collect();
            prop_assert_eq!(got, expected);
            prop_assert!(report.describe_damage().is_some());
        }
    }

    /// Whatever bytes there are, reading ends, and gives nothing that does not check.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let volume = Memory::new(1 << 20);
        let mut file = written(0).0.files.borrow()[&segment_name(1)].clone();
        file.extend(&bytes);
        volume.files.borrow_mut().insert(segment_name(1), file);
        let mut n = 0;
        let report = read(&volume, &[segment_name(1)], |_, _: Rec| n += 1).unwrap();
        prop_assert_eq!(report.records, n);
        prop_assert_eq!(report.tail == Tail::Complete, bytes.is_empty());
    }
}

/// At a full disk new work is held off, what is open is written to the space kept aside, and all comes back
/// when there is room.
#[test]
fn a_full_disk() {
    let volume = Memory::new(600);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    let mut taken = 0_u32;
    while w.is_writable() {
        w.append(&rec(taken)).unwrap();
        w.flush().unwrap();
        taken += 1;
    }
    assert!(taken > 3 && volume.list().unwrap() == [segment_name(1)], "the ballast is gone");
    // Settlements of what is open still get through.
    for i in 0..3 {
        w.append(&rec(1_000 + i)).unwrap();
        w.flush().unwrap();
    }
    // Then nothing more does: it waits, and nothing half-written is left.
    let mut waiting = 0;
    while w.flush().is_ok() {
        w.append(&rec(2_000 + waiting)).unwrap();
        waiting += 1;
    }
    let before = volume.files.borrow()[&segment_name(1)].clone();
    assert!(w.flush().is_err());
    assert_eq!(volume.files.borrow()[&segment_name(1)], before);
    w.retry_reserve();
    assert!(!w.is_writable(), "still no room");
    *volume.room.borrow_mut() = 1 << 20;
    w.retry_reserve();
    assert!(w.is_writable());
    drop(w);
    let (_, report, got) = open(volume, LIMITS);
    assert_eq!(got.len() as u32, taken + 3 + waiting);
    assert_eq!(report.describe_damage(), None);
}

/// No room for a new segment's head: the old one goes on, and nothing that is written later is lost.
#[test]
fn a_rotation_that_fails_leaves_the_old_segment() {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), LIMITS);
    for i in 0..10 {
        w.append(&rec(i)).unwrap();
    }
    w.flush().unwrap();
    for left in [0, 1, 19] {
        *volume.room.borrow_mut() = volume.used() + left;
        assert!(w.rotate(&rec(99)).is_err(), "{left}");
        assert_eq!(volume.list().unwrap(), [segment_name(1), "ballast".into()], "{left}");
    }
    *volume.room.borrow_mut() = 1 << 20;
    w.append(&rec(10)).unwrap();
    w.flush().unwrap();
    drop(w);
    let (_, report, got) = open(volume, LIMITS);
    assert_eq!((got.len(), report.describe_damage()), (11, None));
}

#[test]
fn a_checkpoint_is_where_reading_begins() {
    let volume = Memory::new(1 << 20);
    let (mut w, ..) = open(volume.clone(), Limits { segment_bytes: 200, ..LIMITS });
    let mut rotations = 0;
    for i in 0..60 {
        w.append(&rec(i)).unwrap();
        w.flush().unwrap();
        if w.wants_rotation() {
            w.rotate(&(u32::MAX, format!("up to {i}"))).unwrap();
            rotations += 1;
        }
    }
    assert!(rotations > 3);
    drop(w);
    let mut got: Vec<(u64, Rec)> = Vec::new();
    let limits = Limits { segment_bytes: 200, ..LIMITS };
    let opened =
        Writer::open(volume.clone(), limits, |r: &Rec| r.0 == u32::MAX, |n, r| got.push((n, r))).unwrap();
    assert_eq!(got[0].1 .0, u32::MAX);
    assert_eq!((opened.report.segments.len(), opened.writer.next()), (1, 61 + rotations));
    // All of it, for a bill: no number is missing over the segments.
    let names: Vec<String> =
        volume.list().unwrap().into_iter().filter(|n| segment_number(n).is_some()).collect();
    let mut numbers = Vec::new();
    read(&volume, &names, |n, _: Rec| numbers.push(n)).unwrap();
    assert_eq!(numbers, (1..61 + rotations).collect::<Vec<u64>>());
}

/// A follower gives each record once, over rotations, and begins again when the ledger has lost some.
#[test]
fn a_ledger_is_followed_while_it_is_written() {
    let dir = tempfile::tempdir().unwrap();
    let limits = Limits { segment_bytes: 300, ..LIMITS };
    let checkpoint = |r: &Rec| r.0 == u32::MAX;
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
        w.append(&rec(i)).unwrap();
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
    // A tail is lost, and other records take its numbers.
    drop(w);
    let newest = std::fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path());
    let newest = newest.filter(|p| p.extension().is_some_and(|e| e == "ledger")).max().unwrap();
    let length = std::fs::metadata(&newest).unwrap().len();
    std::fs::File::options().write(true).open(&newest).unwrap().set_len(length - 3).unwrap();
    let mut w = reopen();
    for i in 0..5 {
        w.append(&rec(500 + i)).unwrap();
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
    let opened = Writer::open(folder, LIMITS, no_checkpoint, |_, _: Rec| {}).unwrap();
    let mut w = opened.writer;
    assert_eq!(DirectoryVolume::writer(dir.path()).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    w.append(&rec(7)).unwrap();
    w.flush().unwrap();
    w.sync().unwrap();
    let mut got = Vec::new();
    read(&DirectoryVolume::reader(dir.path()), &[segment_name(1)], |n, r: Rec| got.push((n, r))).unwrap();
    assert_eq!(got, [(1, rec(7))]);
    std::fs::write(dir.path().join(segment_name(2)), "something else that is longer than a head").unwrap();
    drop(w);
    let folder = DirectoryVolume::writer(dir.path()).unwrap();
    let refused = Writer::open(folder, LIMITS, no_checkpoint, |_, _: Rec| {});
    assert!(refused.err().unwrap().to_string().contains("000000000002.ledger: not a ledger's segment"));
}
