//! Builders of revisions, and a learner that has applied some.

use chalkyard_control::*;

pub fn entry(n: usize, value: &str) -> Entry {
    Entry { key: format!("tenants/tenant[t{n:05}]").into(), value: value.into() }
}

pub fn set(n: usize, value: &str) -> Delta {
    Delta(vec![Change::Set(entry(n, value))])
}

pub fn next(number: RevisionNumber, document: &Document, delta: Delta) -> Revision {
    let after = document.preview(&delta).unwrap();
    Revision { number: number.next(), before: document.digest(), after, delta, author: "operator".into() }
}

/// Returns a learner that has applied three revisions, and these revisions.
pub fn learned() -> (Learner, Vec<Revision>) {
    let mut learner = Learner::new(RevisionNumber(0), Document::default());
    let mut revisions = Vec::new();
    for n in 0..3 {
        let revision = next(learner.number(), learner.document(), set(n, "value"));
        revisions.push(revision.clone());
        assert_eq!(learner.learn(revision), LearnOutcome::Applied);
    }
    (learner, revisions)
}
