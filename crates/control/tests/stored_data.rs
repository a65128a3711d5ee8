//! Checks that the encoding of stored and sent data stays compatible: the data files decode to the values below, and these
//! values encode to the same bytes. Renaming a type must not change the bytes. Reordering fields would, and fails here.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::entry;
use common::stored::{hex, line_count, stored_bytes};

const MESSAGES: &str = include_str!("data/messages.txt");
const VOTES: &str = include_str!("data/votes.txt");
const REVISIONS: &str = include_str!("data/revisions.txt");
const KNOWN_GOOD: &str = include_str!("data/known_good.txt");
const TAGGED: &str = include_str!("data/sealed.txt");
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

/// A revision with both kinds of change, based on `document`.
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
fn stored_messages_decode_and_encode_unchanged() {
    let messages = messages();
    assert_eq!(line_count(MESSAGES), messages.len());
    for (name, message) in messages {
        let bytes = stored_bytes(MESSAGES, name);
        assert_eq!(Message::decode(&key(), &bytes), Ok(message.clone()), "{name}");
        assert_eq!(hex(&message.encode(&key())), hex(&bytes), "{name}");
    }
}

#[test]
fn stored_votes_decode_and_encode_unchanged() {
    let votes = votes();
    assert_eq!(line_count(VOTES), votes.len());
    for (name, acceptor) in votes {
        let bytes = stored_bytes(VOTES, name);
        let decoded: Acceptor = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(decoded, acceptor, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&acceptor).unwrap()), hex(&bytes), "{name}");
        assert_eq!(decoded.number(), RevisionNumber(300), "{name}");
    }
    let round = |name| postcard::from_bytes::<Acceptor>(&stored_bytes(VOTES, name)).unwrap().round();
    assert_eq!((round("untouched"), round("accepted"), round("promised-since")), (0, 5, 6));
}

#[test]
fn stored_revisions_decode_and_encode_unchanged() {
    assert_eq!(line_count(REVISIONS), 2);
    let empty = Revision {
        number: RevisionNumber(1),
        before: Digest::default(),
        after: Digest::default(),
        delta: Delta::default(),
        author: "".into(),
    };
    for (name, revision) in [("both-kinds-of-change", revision()), ("no-change", empty)] {
        let bytes = stored_bytes(REVISIONS, name);
        assert_eq!(postcard::from_bytes::<Revision>(&bytes).unwrap(), revision, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&revision).unwrap()), hex(&bytes), "{name}");
    }
}

#[test]
fn stored_known_good_decodes_and_encodes_unchanged() {
    let bytes = stored_bytes(KNOWN_GOOD, "known-good");
    let (decoded, decoded_document) = KnownGood::decode(&key(), &bytes).unwrap();
    assert_eq!(decoded, known_good());
    assert_eq!(decoded.number, RevisionNumber(299));
    assert_eq!(decoded.since, 1_764_687_600_000_000);
    assert_eq!(decoded.digest, document().digest());
    assert_eq!(decoded.entries.len(), 3);
    assert_eq!(decoded.entries[2], entry("tenants/tenant[größe]", ""));
    assert_eq!(decoded_document, document());
    assert_eq!(hex(&known_good().encode(&key())), hex(&bytes));
    assert_eq!(&bytes[..8], b"CHALKCF1");
}

#[test]
fn corrupt_known_good_is_rejected_with_the_cause() {
    let bytes = stored_bytes(KNOWN_GOOD, "known-good");
    let decode_error = |bytes: &[u8]| KnownGood::decode(&key(), bytes).unwrap_err();
    assert_eq!(decode_error(b""), KnownGoodError::UnknownFormat);
    assert_eq!(decode_error(&bytes[..7]), KnownGoodError::UnknownFormat);
    assert_eq!(decode_error(b"<?xml version=\"1.0\"?>"), KnownGoodError::UnknownFormat);
    let mut later_version = bytes.clone();
    later_version[7] = b'9';
    assert_eq!(decode_error(&later_version), KnownGoodError::UnsupportedVersion);
    assert_eq!(decode_error(&bytes[..8]), NOT_AUTHENTIC);
    assert_eq!(decode_error(&bytes[..bytes.len() - 1]), NOT_AUTHENTIC);
    let mut flipped = bytes.clone();
    flipped[20] ^= 1;
    assert_eq!(decode_error(&flipped), NOT_AUTHENTIC);
    assert_eq!(KnownGood::decode(&SiteKey::new([8; 32]), &bytes), Err(NOT_AUTHENTIC));
    // Authentic files with a wrong digest, undecodable contents, or an entry that is too long.
    let tagged_file = |body: Vec<u8>| [&b"CHALKCF1"[..], &key().append_tag(KNOWN_GOOD_DOMAIN, body)].concat();
    let other_digest = KnownGood { digest: Digest::default(), ..known_good() };
    assert_eq!(decode_error(&other_digest.encode(&key())), corrupt(CorruptionCause::DigestMismatch));
    assert_eq!(decode_error(&tagged_file(vec![0xff; 40])), corrupt(CorruptionCause::Undecodable));
    let long_entry = Entry { key: "a".into(), value: "x".repeat(MAX_ENTRY_BYTES).into() };
    let entry_too_long = KnownGood { entries: vec![long_entry], ..known_good() };
    assert_eq!(
        decode_error(&entry_too_long.encode(&key())),
        corrupt(DocumentError::EntryTooLong { key: "a".into() }.into())
    );
    let other_domain = key().append_tag(MESSAGE_DOMAIN, postcard::to_stdvec(&known_good()).unwrap());
    assert_eq!(decode_error(&[&b"CHALKCF1"[..], &other_domain].concat()), NOT_AUTHENTIC);
}

#[test]
fn corrupt_message_is_rejected_with_the_cause() {
    let decode_error = |bytes: &[u8]| Message::decode(&key(), bytes).unwrap_err();
    for (name, _) in messages() {
        let bytes = stored_bytes(MESSAGES, name);
        assert_eq!(decode_error(&bytes[1..]), MessageError::NotAuthentic, "{name}");
        assert_eq!(decode_error(&bytes[..bytes.len() - 1]), MessageError::NotAuthentic, "{name}");
        let untagged = key().verify_tag(MESSAGE_DOMAIN, &bytes).unwrap();
        let with_extra_byte = [untagged, &[0]].concat();
        assert_eq!(
            decode_error(&key().append_tag(MESSAGE_DOMAIN, with_extra_byte)),
            MessageError::Undecodable,
            "{name}"
        );
        let truncated = untagged[..untagged.len() - 1].to_vec();
        assert_eq!(
            decode_error(&key().append_tag(MESSAGE_DOMAIN, truncated)),
            MessageError::Undecodable,
            "{name}"
        );
        let other_domain = key().append_tag(KNOWN_GOOD_DOMAIN, untagged.to_vec());
        assert_eq!(decode_error(&other_domain), MessageError::NotAuthentic, "{name}");
    }
    assert_eq!(decode_error(b""), MessageError::NotAuthentic);
    let unknown_variant = key().append_tag(MESSAGE_DOMAIN, vec![9, 0, 0]);
    assert_eq!(decode_error(&unknown_variant), MessageError::Undecodable);
    assert_eq!(decode_error(&vec![0; MAX_MESSAGE_BYTES + 33]), MessageError::TooLong);
    assert_eq!(decode_error(&vec![0; MAX_MESSAGE_BYTES + 32]), MessageError::NotAuthentic);
}

#[test]
fn tags_depend_on_key_domain_and_content() {
    let cases = [
        ("messages-empty", [7; 32], MESSAGE_DOMAIN, &b""[..]),
        ("messages-content", [7; 32], MESSAGE_DOMAIN, &b"content"[..]),
        ("known-good-content", [7; 32], KNOWN_GOOD_DOMAIN, &b"content"[..]),
        ("another-key", [8; 32], MESSAGE_DOMAIN, &b"content"[..]),
    ];
    assert_eq!(line_count(TAGGED), cases.len());
    for (name, key, domain, content) in cases {
        let tagged = SiteKey::new(key).append_tag(domain, content.to_vec());
        assert_eq!(hex(&tagged), hex(&stored_bytes(TAGGED, name)), "{name}");
        assert_eq!(SiteKey::new(key).verify_tag(domain, &tagged), Ok(content), "{name}");
    }
    let tagged = stored_bytes(TAGGED, "messages-content");
    assert_eq!(key().verify_tag(KNOWN_GOOD_DOMAIN, &tagged), Err(AuthenticationError));
    assert_eq!(key().verify_tag(MESSAGE_DOMAIN, &tagged[..31]), Err(AuthenticationError));
    assert_eq!(SiteKey::new([8; 32]).verify_tag(MESSAGE_DOMAIN, &tagged), Err(AuthenticationError));
    assert_eq!(format!("{:?}", key()), "SiteKey(..)");
}

#[test]
fn stored_digests_are_computed_and_printed_unchanged() {
    let routing = Digest::of_entry("routing", "<routing/>");
    let cases = [
        ("nothing", Digest::default()),
        ("bytes", Digest::of_bytes(b"some bytes")),
        ("entry", routing),
        ("two-entries", routing.with(Digest::of_entry("a", ""))),
        ("document", document().digest()),
        ("revision-id", revision().id()),
        ("revision-after", revision().after),
    ];
    assert_eq!(line_count(DIGESTS), cases.len());
    for (name, digest) in cases {
        let bytes = stored_bytes(DIGESTS, name);
        assert_eq!(digest.to_string(), hex(&bytes), "{name}");
        let encoded = postcard::to_stdvec(&digest).unwrap();
        assert_eq!(postcard::from_bytes::<Digest>(&encoded).unwrap(), digest, "{name}");
    }
    assert_eq!(routing.with(Digest::of_entry("a", "")).without(routing), Digest::of_entry("a", ""));
}

#[test]
fn errors_have_the_expected_messages() {
    let messages = [
        (DocumentError::TooManyChanges { count: 10_001 }.to_string(), "the delta has 10001 changes, the maximum is 10000"),
        (DocumentError::EntryTooLong { key: "a".into() }.to_string(), "entry a: key and value are longer than 65536 bytes"),
        (DocumentError::DocumentTooLong.to_string(), "the document would be longer than 33554432 bytes"),
        (DocumentError::DuplicateKey { key: "a".into() }.to_string(), "entry a: changed more than once in the delta"),
        (DocumentError::MissingKey { key: "a".into() }.to_string(), "entry a: can't be removed because it does not exist"),
        (DocumentError::DigestMismatch.to_string(), "the resulting document does not have the digest of the revision"),
        (MessageError::TooLong.to_string(), "the message exceeds the maximum length"),
        (MessageError::NotAuthentic.to_string(), "the authentication tag of the message does not match"),
        (MessageError::Undecodable.to_string(), "the message is authentic but can't be decoded; the sender may run another version"),
        (KnownGoodError::UnknownFormat.to_string(), "not a last known good configuration file"),
        (KnownGoodError::UnsupportedVersion.to_string(), "the last known good configuration has an unsupported format version"),
        (NOT_AUTHENTIC.to_string(), "the last known good configuration is corrupt, truncated or from another site"),
        (
            AuthenticationError.to_string(),
            "the authentication tag does not match: data changed, truncated, or tagged with another site's key",
        ),
    ];
    for (text, expected) in messages {
        assert_eq!(text, expected);
    }
}
