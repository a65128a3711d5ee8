//! A router follows revisions, never goes back, and refuses what is another history's or damaged; bytes that are no message
//! are told apart and never a panic.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_control::*;
use proptest::prelude::*;

/// The file's tag does not match: it was changed or truncated, or belongs to another site.
const NOT_AUTHENTIC: KnownGoodError =
    KnownGoodError::Corrupt { cause: CorruptionCause::NotAuthentic(AuthenticationError) };

fn entry(n: usize, value: &str) -> Entry {
    Entry { key: format!("tenants/tenant[t{n:05}]").into(), value: value.into() }
}

fn set(n: usize, value: &str) -> Delta {
    Delta(vec![Change::Set(entry(n, value))])
}

fn next(number: RevisionNumber, document: &Document, delta: Delta) -> Revision {
    let after = document.preview(&delta).unwrap();
    Revision { number: number.next(), before: document.digest(), after, delta, author: "operator".into() }
}

/// A follower with three revisions, and these.
fn learned() -> (Learner, Vec<Revision>) {
    let mut learner = Learner::new(RevisionNumber(0), Document::default());
    let mut revisions = Vec::new();
    for n in 0..3 {
        let revision = next(learner.number(), learner.document(), set(n, "value"));
        revisions.push(revision.clone());
        assert_eq!(learner.learn(revision), LearnOutcome::Applied);
    }
    (learner, revisions)
}

#[test]
fn revisions_out_of_order_are_stale_or_a_gap() {
    let (mut learner, revisions) = learned();
    let digest = learner.document().digest();
    for old in &revisions {
        assert_eq!(learner.learn(old.clone()), LearnOutcome::Stale);
    }
    assert_eq!(learner.learn_snapshot(RevisionNumber(2), Document::default()), LearnOutcome::Stale);
    assert_eq!((learner.number(), learner.document().digest()), (RevisionNumber(3), digest));
    let fourth = next(RevisionNumber(3), learner.document(), set(9, "x"));
    let mut document = learner.document().clone();
    document.apply(&fourth.delta, fourth.after).unwrap();
    let fifth = next(RevisionNumber(4), &document, set(10, "y"));
    assert_eq!(learner.learn(fifth.clone()), LearnOutcome::Gap);
    assert_eq!((learner.learn(fourth), learner.learn(fifth)), (LearnOutcome::Applied, LearnOutcome::Applied));
}

#[test]
fn other_content_under_a_known_number_and_another_history_diverge() {
    let (mut learner, revisions) = learned();
    let mut other = revisions[2].clone();
    other.author = "another".into();
    assert_eq!(learner.learn(other), LearnOutcome::Diverged);
    let elsewhere = next(RevisionNumber(3), &Document::new([entry(1, "other")]).unwrap(), set(4, "x"));
    assert_eq!(learner.learn(elsewhere), LearnOutcome::Diverged);
    assert_eq!(learner.learn_snapshot(RevisionNumber(3), Document::default()), LearnOutcome::Diverged);
    assert_eq!(learner.number(), RevisionNumber(3));
}

#[test]
fn revision_with_wrong_digest_changes_nothing_and_a_snapshot_recovers() {
    let (mut learner, _) = learned();
    let before = learner.clone();
    let mut wrong = next(RevisionNumber(3), learner.document(), set(5, "x"));
    wrong.delta = set(5, "y");
    assert!(matches!(learner.learn(wrong), LearnOutcome::Invalid(_)));
    let mut missing = next(RevisionNumber(3), learner.document(), set(5, "x"));
    missing.delta = Delta(vec![Change::Remove("nobody".into())]);
    assert!(
        matches!(learner.learn(missing), LearnOutcome::Invalid(reason) if reason.to_string().contains("nobody"))
    );
    assert_eq!(learner, before);
    assert_eq!(
        learner.learn_snapshot(RevisionNumber(7), Document::new([entry(1, "all")]).unwrap()),
        LearnOutcome::Applied
    );
    assert_eq!(learner.number(), RevisionNumber(7));
}

#[test]
fn documents_and_deltas_past_their_limits_are_rejected() {
    let long = "x".repeat(64 * 1024);
    assert!(matches!(Document::new([entry(1, &long)]), Err(DocumentError::EntryTooLong { .. })));
    let document = Document::default();
    assert!(matches!(document.preview(&set(1, &long)), Err(DocumentError::EntryTooLong { .. })));
    let many = Delta((0..10_001).map(|n| Change::Set(entry(n, "x"))).collect());
    assert_eq!(document.preview(&many), Err(DocumentError::TooManyChanges { count: 10_001 }));
    let twice = Delta(vec![Change::Set(entry(1, "x")), Change::Set(entry(1, "y"))]);
    assert!(matches!(document.preview(&twice), Err(DocumentError::DuplicateKey { .. })));
    let big = "x".repeat(60 * 1024);
    let too_long = (0..600).map(|n| entry(n, &big));
    assert_eq!(Document::new(too_long), Err(DocumentError::DocumentTooLong));
}

#[test]
fn known_good_is_read_again_and_a_corrupt_unknown_or_later_file_is_rejected() {
    let key = SiteKey::new([7; 32]);
    let (learner, _) = learned();
    let kept = KnownGood::new(learner.number(), learner.document(), 123);
    let bytes = kept.encode(&key);
    let (read, document) = KnownGood::decode(&key, &bytes).unwrap();
    assert_eq!((read, &document), (kept, learner.document()));
    for at in 8..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert_eq!(KnownGood::decode(&key, &damaged), Err(NOT_AUTHENTIC), "byte {at}");
    }
    for length in 0..bytes.len() {
        assert!(KnownGood::decode(&key, &bytes[..length]).is_err(), "cut at {length}");
    }
    let mut later = bytes.clone();
    later[7] = b'2';
    assert_eq!(KnownGood::decode(&key, &later), Err(KnownGoodError::UnsupportedVersion));
    assert_eq!(KnownGood::decode(&key, b"<chalkyard/>"), Err(KnownGoodError::UnknownFormat));
    assert_eq!(KnownGood::decode(&SiteKey::new([8; 32]), &bytes), Err(NOT_AUTHENTIC));
}

fn message() -> Message {
    let (learner, _) = learned();
    Message::Decided(next(learner.number(), learner.document(), set(8, "a value")))
}

#[test]
fn message_is_read_again_and_a_flipped_or_truncated_one_is_rejected() {
    let key = SiteKey::new([7; 32]);
    let bytes = message().encode(&key);
    assert_eq!(Message::decode(&key, &bytes), Ok(message()));
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x10;
        assert_eq!(Message::decode(&key, &flipped), Err(MessageError::NotAuthentic), "byte {at}");
        assert_eq!(Message::decode(&key, &bytes[..at]), Err(MessageError::NotAuthentic), "cut at {at}");
    }
    assert_eq!(Message::decode(&SiteKey::new([8; 32]), &bytes), Err(MessageError::NotAuthentic));
    let huge = vec![0; MAX_MESSAGE_BYTES + 64];
    assert_eq!(Message::decode(&key, &huge), Err(MessageError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn arbitrary_bytes_are_neither_message_nor_known_good(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let key = SiteKey::new([7; 32]);
        prop_assert!(Message::decode(&key, &bytes).is_err());
        prop_assert!(KnownGood::decode(&key, &bytes).is_err());
    }

    /// Sealed under the right key, and garbage all the same: of a version that is not this one.
    #[test]
    fn authentic_garbage_is_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let key = SiteKey::new([7; 32]);
        let sealed = key.append_tag("chalkyard-control-1", bytes);
        if let Ok(read) = Message::decode(&key, &sealed) {
            prop_assert_eq!(Message::decode(&key, &read.encode(&key)), Ok(read));
        }
    }

    /// A delta is what differs, and its cost is its own: the digest is the same as that of the whole built anew.
    #[test]
    fn applied_difference_gives_the_other_document(
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
