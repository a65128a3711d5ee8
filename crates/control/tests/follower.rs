//! A router follows revisions, never goes back, and refuses what is another history's or damaged; bytes that are no message
//! are told apart and never a panic.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_control::*;
use proptest::prelude::*;

fn entry(n: usize, value: &str) -> Entry {
    Entry { key: format!("tenants/tenant[t{n:05}]").into(), value: value.into() }
}

fn set(n: usize, value: &str) -> Delta {
    Delta(vec![Change::Set(entry(n, value))])
}

fn next(number: Number, document: &Document, delta: Delta) -> Revision {
    let after = document.preview(&delta).unwrap();
    Revision { number: number.next(), before: document.digest(), after, delta, author: "operator".into() }
}

/// A follower with three revisions, and these.
fn followed() -> (Follower, Vec<Revision>) {
    let mut follower = Follower::new(Number(0), Document::default());
    let mut revisions = Vec::new();
    for n in 0..3 {
        let revision = next(follower.number(), follower.document(), set(n, "value"));
        revisions.push(revision.clone());
        assert_eq!(follower.take(revision), Taken::Held);
    }
    (follower, revisions)
}

#[test]
fn revisions_are_taken_in_order_and_older_ones_change_nothing() {
    let (mut follower, revisions) = followed();
    let digest = follower.document().digest();
    for old in &revisions {
        assert_eq!(follower.take(old.clone()), Taken::Old);
    }
    assert_eq!(follower.take_whole(Number(2), Document::default()), Taken::Old);
    assert_eq!((follower.number(), follower.document().digest()), (Number(3), digest));
    let fourth = next(Number(3), follower.document(), set(9, "x"));
    let mut document = follower.document().clone();
    document.apply(&fourth.delta, fourth.after).unwrap();
    let fifth = next(Number(4), &document, set(10, "y"));
    assert_eq!(follower.take(fifth.clone()), Taken::Gap);
    assert_eq!((follower.take(fourth), follower.take(fifth)), (Taken::Held, Taken::Held));
}

#[test]
fn another_content_under_a_held_number_and_another_history_are_refused() {
    let (mut follower, revisions) = followed();
    let mut other = revisions[2].clone();
    other.author = "another".into();
    assert_eq!(follower.take(other), Taken::OtherHistory);
    let elsewhere = next(Number(3), &Document::new([entry(1, "other")]).unwrap(), set(4, "x"));
    assert_eq!(follower.take(elsewhere), Taken::OtherHistory);
    assert_eq!(follower.take_whole(Number(3), Document::default()), Taken::OtherHistory);
    assert_eq!(follower.number(), Number(3));
}

#[test]
fn a_revision_that_does_not_fit_its_digest_changes_nothing_and_the_whole_brings_it_on() {
    let (mut follower, _) = followed();
    let before = follower.clone();
    let mut wrong = next(Number(3), follower.document(), set(5, "x"));
    wrong.delta = set(5, "y");
    assert!(matches!(follower.take(wrong), Taken::NotApplied(_)));
    let mut missing = next(Number(3), follower.document(), set(5, "x"));
    missing.delta = Delta(vec![Change::Remove("nobody".into())]);
    assert!(matches!(follower.take(missing), Taken::NotApplied(why) if why.contains("nobody")));
    assert_eq!(follower, before);
    assert_eq!(follower.take_whole(Number(7), Document::new([entry(1, "all")]).unwrap()), Taken::Held);
    assert_eq!(follower.number(), Number(7));
}

#[test]
fn bounds_of_a_document_and_a_delta_are_kept() {
    let long = "x".repeat(64 * 1024);
    assert!(matches!(Document::new([entry(1, &long)]), Err(NotApplied::EntryTooLong(_))));
    let document = Document::default();
    assert!(matches!(document.preview(&set(1, &long)), Err(NotApplied::EntryTooLong(_))));
    let many = Delta((0..10_001).map(|n| Change::Set(entry(n, "x"))).collect());
    assert_eq!(document.preview(&many), Err(NotApplied::TooManyChanges(10_001)));
    let twice = Delta(vec![Change::Set(entry(1, "x")), Change::Set(entry(1, "y"))]);
    assert!(matches!(document.preview(&twice), Err(NotApplied::Twice(_))));
    let big = "x".repeat(60 * 1024);
    let too_long = (0..600).map(|n| entry(n, &big));
    assert_eq!(Document::new(too_long), Err(NotApplied::DocumentTooLong));
}

#[test]
fn what_was_kept_is_read_again_and_a_damaged_foreign_or_later_copy_is_refused_by_name() {
    let key = SiteKey::new([7; 32]);
    let (follower, _) = followed();
    let kept = KnownGood::new(follower.number(), follower.document(), 123);
    let bytes = kept.encode(&key);
    let (read, document) = KnownGood::decode(&key, &bytes).unwrap();
    assert_eq!((read, &document), (kept, follower.document()));
    for at in 8..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert_eq!(KnownGood::decode(&key, &damaged), Err(Unreadable::Damaged), "byte {at}");
    }
    for length in 0..bytes.len() {
        assert!(KnownGood::decode(&key, &bytes[..length]).is_err(), "cut at {length}");
    }
    let mut later = bytes.clone();
    later[7] = b'2';
    assert_eq!(KnownGood::decode(&key, &later), Err(Unreadable::LaterFormat));
    assert_eq!(KnownGood::decode(&key, b"<chalkyard/>"), Err(Unreadable::Foreign));
    assert_eq!(KnownGood::decode(&SiteKey::new([8; 32]), &bytes), Err(Unreadable::Damaged));
}

fn message() -> Message {
    let (follower, _) = followed();
    Message::Decided(next(follower.number(), follower.document(), set(8, "a value")))
}

#[test]
fn a_message_is_read_as_it_was_written_and_never_with_a_byte_flipped_or_cut() {
    let key = SiteKey::new([7; 32]);
    let bytes = message().encode(&key);
    assert_eq!(Message::decode(&key, &bytes), Ok(message()));
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x10;
        assert_eq!(Message::decode(&key, &flipped), Err(Malformed::NotAuthentic), "byte {at}");
        assert_eq!(Message::decode(&key, &bytes[..at]), Err(Malformed::NotAuthentic), "cut at {at}");
    }
    assert_eq!(Message::decode(&SiteKey::new([8; 32]), &bytes), Err(Malformed::NotAuthentic));
    let huge = vec![0; MESSAGE_BYTES + 64];
    assert_eq!(Message::decode(&key, &huge), Err(Malformed::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn any_bytes_are_no_message_and_no_kept_copy(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let key = SiteKey::new([7; 32]);
        prop_assert!(Message::decode(&key, &bytes).is_err());
        prop_assert!(KnownGood::decode(&key, &bytes).is_err());
    }

    /// Sealed under the right key, and garbage all the same: of a version that is not this one.
    #[test]
    fn sealed_garbage_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let key = SiteKey::new([7; 32]);
        let sealed = key.append_tag("chalkyard-control-1", bytes);
        if let Ok(read) = Message::decode(&key, &sealed) {
            prop_assert_eq!(Message::decode(&key, &read.encode(&key)), Ok(read));
        }
    }

    /// A delta is what differs, and its cost is its own: the digest is the same as that of the whole built anew.
    #[test]
    fn a_difference_applied_is_the_other_document(
        old in proptest::collection::btree_map(0..40_usize, "[a-c]{0,3}", 0..30),
        new in proptest::collection::btree_map(0..40_usize, "[a-c]{0,3}", 0..30),
    ) {
        let document = |of: &std::collections::BTreeMap<usize, String>| {
            Document::new(of.iter().map(|(n, value)| entry(*n, value))).unwrap()
        };
        let (old, new) = (document(&old), document(&new));
        let mut changed = old.clone();
        changed.apply(&old.difference(&new), new.digest()).unwrap();
        prop_assert_eq!(&changed, &new);
        prop_assert_eq!(changed.bytes(), new.entries().map(|e| e.key.len() + e.value.len()).sum::<usize>());
    }
}
