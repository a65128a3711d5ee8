//! Bytes that are stored or sent keep their form. The data files were written before any type was renamed: what they hold
//! is read with the values below, and the same values give the same bytes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::entry;
use common::stored::{hex, lines, stored};

const MESSAGES: &str = include_str!("data/messages.txt");
const VOTES: &str = include_str!("data/votes.txt");
const REVISIONS: &str = include_str!("data/revisions.txt");
const KNOWN_GOOD: &str = include_str!("data/known_good.txt");
const SEALED: &str = include_str!("data/sealed.txt");
const DIGESTS: &str = include_str!("data/digests.txt");

const MESSAGE_DOMAIN: &str = "chalkyard-control-1";
const KNOWN_GOOD_DOMAIN: &str = "chalkyard-known-good-1";

/// The file's tag does not match: it was changed or truncated, or belongs to another site.
const NOT_AUTHENTIC: KnownGoodError =
    KnownGoodError::Corrupt { cause: CorruptionCause::NotAuthentic(AuthenticationError) };

fn corrupt(cause: CorruptionCause) -> KnownGoodError {
    KnownGoodError::Corrupt { cause }
}

fn key() -> SiteKey {
    SiteKey::new([7; 32])
}

fn document() -> Document {
    Document::new([
        entry("routing", "<routing retries=\"2\"/>"),
        entry("tenants/tenant[acme]", "<tenant name=\"acme\" tokens=\"1000000\"/>"),
        entry("tenants/tenant[größe]", ""),
    ])
    .unwrap()
}

/// Both kinds of a change, on the configuration above.
fn revision() -> Revision {
    let delta = Delta(vec![
        Change::Remove("routing".into()),
        Change::Set(entry("tenants/tenant[acme]", "<tenant name=\"acme\" tokens=\"2000000\"/>")),
    ]);
    let before = document();
    let after = before.preview(&delta).unwrap();
    Revision {
        number: RevisionNumber(300),
        before: before.digest(),
        after,
        delta,
        author: "operator at 1".into(),
    }
}

fn ballot(round: u64, replica: u8) -> Ballot {
    Ballot { round, replica: ReplicaId(replica) }
}

fn vote() -> Vote {
    Vote { ballot: ballot(5, 2), revision: revision() }
}

fn messages() -> Vec<(&'static str, Message)> {
    let digest = document().digest();
    let number = RevisionNumber(300);
    vec![
        ("holds", Message::Heartbeat { number: RevisionNumber(299), digest }),
        ("decided", Message::Decided(revision())),
        ("whole", Message::snapshot(RevisionNumber(299), &document())),
        ("prepare", Message::Prepare { number, ballot: ballot(5, 2) }),
        ("promise-of-nothing", Message::Promise { number, ballot: ballot(6, 0), vote: None }),
        ("promise", Message::Promise { number, ballot: ballot(6, 0), vote: Some(vote()) }),
        ("accept", Message::Accept(vote())),
        ("accepted", Message::Accepted { number, ballot: ballot(5, 2) }),
        ("refused", Message::Rejected { number, newer: ballot(70_000, 3) }),
        ("cannot-apply", Message::CannotApply { number, reason: "no such tenant".into() }),
    ]
}

fn votes() -> Vec<(&'static str, Acceptor)> {
    let untouched = Acceptor::after(RevisionNumber(299));
    let mut promised = untouched.clone();
    promised.prepare(RevisionNumber(300), ballot(5, 2));
    let mut accepted = promised.clone();
    accepted.accept(vote());
    let mut promised_since = accepted.clone();
    promised_since.prepare(RevisionNumber(300), ballot(6, 0));
    vec![
        ("untouched", untouched),
        ("promised", promised),
        ("accepted", accepted),
        ("promised-since", promised_since),
    ]
}

fn known_good() -> KnownGood {
    KnownGood::new(RevisionNumber(299), &document(), 1_764_687_600_000_000)
}

#[test]
fn stored_messages_have_their_values_and_bytes() {
    let messages = messages();
    assert_eq!(lines(MESSAGES), messages.len());
    for (name, message) in messages {
        let bytes = stored(MESSAGES, name);
        assert_eq!(Message::decode(&key(), &bytes), Ok(message.clone()), "{name}");
        assert_eq!(hex(&message.encode(&key())), hex(&bytes), "{name}");
    }
}

#[test]
fn stored_votes_have_their_values_and_bytes() {
    let votes = votes();
    assert_eq!(lines(VOTES), votes.len());
    for (name, acceptor) in votes {
        let bytes = stored(VOTES, name);
        let read: Acceptor = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, acceptor, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&acceptor).unwrap()), hex(&bytes), "{name}");
        assert_eq!(read.number(), RevisionNumber(300), "{name}");
    }
    let round = |name| postcard::from_bytes::<Acceptor>(&stored(VOTES, name)).unwrap().round();
    assert_eq!((round("untouched"), round("accepted"), round("promised-since")), (0, 5, 6));
}

#[test]
fn stored_revisions_have_their_values_and_bytes() {
    assert_eq!(lines(REVISIONS), 2);
    let empty = Revision {
        number: RevisionNumber(1),
        before: Digest::default(),
        after: Digest::default(),
        delta: Delta::default(),
        author: "".into(),
    };
    for (name, revision) in [("both-kinds-of-change", revision()), ("no-change", empty)] {
        let bytes = stored(REVISIONS, name);
        assert_eq!(postcard::from_bytes::<Revision>(&bytes).unwrap(), revision, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&revision).unwrap()), hex(&bytes), "{name}");
    }
}

#[test]
fn stored_known_good_has_its_values_and_bytes() {
    let bytes = stored(KNOWN_GOOD, "known-good");
    let (read, read_document) = KnownGood::decode(&key(), &bytes).unwrap();
    assert_eq!(read, known_good());
    assert_eq!(read.number, RevisionNumber(299));
    assert_eq!(read.since, 1_764_687_600_000_000);
    assert_eq!(read.digest, document().digest());
    assert_eq!(read.entries.len(), 3);
    assert_eq!(read.entries[2], entry("tenants/tenant[größe]", ""));
    assert_eq!(read_document, document());
    assert_eq!(hex(&known_good().encode(&key())), hex(&bytes));
    assert_eq!(&bytes[..8], b"CHALKCF1");
}

#[test]
fn corrupt_known_good_is_rejected_with_its_cause() {
    let bytes = stored(KNOWN_GOOD, "known-good");
    let refusal = |bytes: &[u8]| KnownGood::decode(&key(), bytes).unwrap_err();
    assert_eq!(refusal(b""), KnownGoodError::UnknownFormat);
    assert_eq!(refusal(&bytes[..7]), KnownGoodError::UnknownFormat);
    assert_eq!(refusal(b"<?xml version=\"1.0\"?>"), KnownGoodError::UnknownFormat);
    let mut later = bytes.clone();
    later[7] = b'9';
    assert_eq!(refusal(&later), KnownGoodError::UnsupportedVersion);
    assert_eq!(refusal(&bytes[..8]), NOT_AUTHENTIC);
    assert_eq!(refusal(&bytes[..bytes.len() - 1]), NOT_AUTHENTIC);
    let mut flipped = bytes.clone();
    flipped[20] ^= 1;
    assert_eq!(refusal(&flipped), NOT_AUTHENTIC);
    assert_eq!(KnownGood::decode(&SiteKey::new([8; 32]), &bytes), Err(NOT_AUTHENTIC));
    // Genuine, with a digest that is not that of its entries, with garbage, and with an entry past its bound.
    let sealed = |body: Vec<u8>| [&b"CHALKCF1"[..], &key().append_tag(KNOWN_GOOD_DOMAIN, body)].concat();
    let other_digest = KnownGood { digest: Digest::default(), ..known_good() };
    assert_eq!(refusal(&other_digest.encode(&key())), corrupt(CorruptionCause::DigestMismatch));
    assert_eq!(refusal(&sealed(vec![0xff; 40])), corrupt(CorruptionCause::Undecodable));
    let long = Entry { key: "a".into(), value: "x".repeat(MAX_ENTRY_BYTES).into() };
    let past_bound = KnownGood { entries: vec![long], ..known_good() };
    assert_eq!(
        refusal(&past_bound.encode(&key())),
        corrupt(DocumentError::EntryTooLong { key: "a".into() }.into())
    );
    let another_purpose = key().append_tag(MESSAGE_DOMAIN, postcard::to_stdvec(&known_good()).unwrap());
    assert_eq!(refusal(&[&b"CHALKCF1"[..], &another_purpose].concat()), NOT_AUTHENTIC);
}

#[test]
fn corrupt_message_is_rejected_with_its_cause() {
    let refusal = |bytes: &[u8]| Message::decode(&key(), bytes).unwrap_err();
    for (name, _) in messages() {
        let bytes = stored(MESSAGES, name);
        assert_eq!(refusal(&bytes[1..]), MessageError::NotAuthentic, "{name}");
        assert_eq!(refusal(&bytes[..bytes.len() - 1]), MessageError::NotAuthentic, "{name}");
        let unsealed = key().verify_tag(MESSAGE_DOMAIN, &bytes).unwrap();
        let longer = [unsealed, &[0]].concat();
        assert_eq!(refusal(&key().append_tag(MESSAGE_DOMAIN, longer)), MessageError::Undecodable, "{name}");
        let shorter = unsealed[..unsealed.len() - 1].to_vec();
        assert_eq!(refusal(&key().append_tag(MESSAGE_DOMAIN, shorter)), MessageError::Undecodable, "{name}");
        let another_purpose = key().append_tag(KNOWN_GOOD_DOMAIN, unsealed.to_vec());
        assert_eq!(refusal(&another_purpose), MessageError::NotAuthentic, "{name}");
    }
    assert_eq!(refusal(b""), MessageError::NotAuthentic);
    let unknown_variant = key().append_tag(MESSAGE_DOMAIN, vec![9, 0, 0]);
    assert_eq!(refusal(&unknown_variant), MessageError::Undecodable);
    assert_eq!(refusal(&vec![0; MAX_MESSAGE_BYTES + 33]), MessageError::TooLong);
    assert_eq!(refusal(&vec![0; MAX_MESSAGE_BYTES + 32]), MessageError::NotAuthentic);
}

#[test]
fn tags_depend_on_key_domain_and_content() {
    let cases = [
        ("messages-empty", [7; 32], MESSAGE_DOMAIN, &b""[..]),
        ("messages-content", [7; 32], MESSAGE_DOMAIN, &b"content"[..]),
        ("known-good-content", [7; 32], KNOWN_GOOD_DOMAIN, &b"content"[..]),
        ("another-key", [8; 32], MESSAGE_DOMAIN, &b"content"[..]),
    ];
    assert_eq!(lines(SEALED), cases.len());
    for (name, key, domain, content) in cases {
        let sealed = SiteKey::new(key).append_tag(domain, content.to_vec());
        assert_eq!(hex(&sealed), hex(&stored(SEALED, name)), "{name}");
        assert_eq!(SiteKey::new(key).verify_tag(domain, &sealed), Ok(content), "{name}");
    }
    let sealed = stored(SEALED, "messages-content");
    assert_eq!(key().verify_tag(KNOWN_GOOD_DOMAIN, &sealed), Err(AuthenticationError));
    assert_eq!(key().verify_tag(MESSAGE_DOMAIN, &sealed[..31]), Err(AuthenticationError));
    assert_eq!(SiteKey::new([8; 32]).verify_tag(MESSAGE_DOMAIN, &sealed), Err(AuthenticationError));
    assert_eq!(format!("{:?}", key()), "SiteKey(..)");
}

#[test]
fn stored_digests_are_computed_and_printed() {
    let one = Digest::of_entry("routing", "<routing/>");
    let cases = [
        ("nothing", Digest::default()),
        ("bytes", Digest::of_bytes(b"some bytes")),
        ("entry", one),
        ("two-entries", one.with(Digest::of_entry("a", ""))),
        ("document", document().digest()),
        ("revision-id", revision().id()),
        ("revision-after", revision().after),
    ];
    assert_eq!(lines(DIGESTS), cases.len());
    for (name, digest) in cases {
        let bytes = stored(DIGESTS, name);
        assert_eq!(digest.to_string(), hex(&bytes), "{name}");
        let written = postcard::to_stdvec(&digest).unwrap();
        assert_eq!(postcard::from_bytes::<Digest>(&written).unwrap(), digest, "{name}");
    }
    assert_eq!(one.with(Digest::of_entry("a", "")).without(one), Digest::of_entry("a", ""));
}

#[test]
fn errors_have_their_texts() {
    let worded = [
        (DocumentError::TooManyChanges { count: 10_001 }.to_string(), "10001 changes, at most 10000"),
        (DocumentError::EntryTooLong { key: "a".into() }.to_string(), "a: longer than 65536 bytes"),
        (DocumentError::DocumentTooLong.to_string(), "the whole would be longer than 33554432 bytes"),
        (DocumentError::DuplicateKey { key: "a".into() }.to_string(), "a: named twice"),
        (DocumentError::MissingKey { key: "a".into() }.to_string(), "a: to be removed, and not there"),
        (DocumentError::DigestMismatch.to_string(), "the result has another digest than the revision says"),
        (MessageError::TooLong.to_string(), "longer than a message may be"),
        (MessageError::NotAuthentic.to_string(), "the seal does not fit"),
        (MessageError::Undecodable.to_string(), "sealed, and not understood: of another version?"),
        (KnownGoodError::UnknownFormat.to_string(), "no kept configuration"),
        (KnownGoodError::UnsupportedVersion.to_string(), "a kept configuration of a later format"),
        (NOT_AUTHENTIC.to_string(), "a kept configuration that is damaged, cut short or another site's"),
        (
            AuthenticationError.to_string(),
            "the seal does not fit: changed, cut short, or sealed under another site's key",
        ),
    ];
    for (text, expected) in worded {
        assert_eq!(text, expected);
    }
}
