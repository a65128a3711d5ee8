//! Checks that a learner applies revisions in order and rejects invalid ones and those of another history, and that documents
//! and deltas are bounded.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::revisions::{entry, learned, next, set};
use proptest::prelude::*;

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
    let other_history = next(RevisionNumber(3), &Document::new([entry(1, "other")]).unwrap(), set(4, "x"));
    assert_eq!(learner.learn(other_history), LearnOutcome::Diverged);
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
    let long_value = "x".repeat(64 * 1024);
    assert!(matches!(Document::new([entry(1, &long_value)]), Err(DocumentError::EntryTooLong { .. })));
    let document = Document::default();
    assert!(matches!(document.preview(&set(1, &long_value)), Err(DocumentError::EntryTooLong { .. })));
    let too_many = Delta((0..10_001).map(|n| Change::Set(entry(n, "x"))).collect());
    assert_eq!(document.preview(&too_many), Err(DocumentError::TooManyChanges { count: 10_001 }));
    let duplicate = Delta(vec![Change::Set(entry(1, "x")), Change::Set(entry(1, "y"))]);
    assert!(matches!(document.preview(&duplicate), Err(DocumentError::DuplicateKey { .. })));
    let near_limit = "x".repeat(60 * 1024);
    let too_long = (0..600).map(|n| entry(n, &near_limit));
    assert_eq!(Document::new(too_long), Err(DocumentError::DocumentTooLong));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Applying the difference of two documents to the old one gives the new one, with the digest of a document that is built
    /// from all entries.
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
