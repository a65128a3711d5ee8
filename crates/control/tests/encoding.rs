//! Checks that messages and files decode to what was encoded, and that any other bytes are rejected without a panic.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::revisions::{learned, next, set};
use proptest::prelude::*;

/// The file's tag does not match: it was changed or truncated, or belongs to another site.
const NOT_AUTHENTIC: KnownGoodError =
    KnownGoodError::Corrupt { cause: CorruptionCause::NotAuthentic(AuthenticationError) };

#[test]
fn known_good_round_trips_and_a_corrupt_unknown_or_later_file_is_rejected() {
    let key = SiteKey::new([7; 32]);
    let (learner, _) = learned();
    let known_good = KnownGood::new(learner.number(), learner.document(), 123);
    let bytes = known_good.encode(&key);
    let (decoded, document) = KnownGood::decode(&key, &bytes).unwrap();
    assert_eq!((decoded, &document), (known_good, learner.document()));
    for at in 8..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1;
        assert_eq!(KnownGood::decode(&key, &corrupted), Err(NOT_AUTHENTIC), "byte {at}");
    }
    for length in 0..bytes.len() {
        assert!(KnownGood::decode(&key, &bytes[..length]).is_err(), "cut at {length}");
    }
    let mut later_version = bytes.clone();
    later_version[7] = b'2';
    assert_eq!(KnownGood::decode(&key, &later_version), Err(KnownGoodError::UnsupportedVersion));
    assert_eq!(KnownGood::decode(&key, b"<chalkyard/>"), Err(KnownGoodError::UnknownFormat));
    assert_eq!(KnownGood::decode(&SiteKey::new([8; 32]), &bytes), Err(NOT_AUTHENTIC));
}

fn message() -> Message {
    let (learner, _) = learned();
    Message::Decided(next(learner.number(), learner.document(), set(8, "a value")))
}

#[test]
fn message_round_trips_and_a_flipped_or_truncated_one_is_rejected() {
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
    let too_long = vec![0; MAX_MESSAGE_BYTES + 64];
    assert_eq!(Message::decode(&key, &too_long), Err(MessageError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn arbitrary_bytes_are_neither_message_nor_known_good(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let key = SiteKey::new([7; 32]);
        prop_assert!(Message::decode(&key, &bytes).is_err());
        prop_assert!(KnownGood::decode(&key, &bytes).is_err());
    }

    /// Bytes with a valid tag can still be undecodable, as when the sender runs another version.
    #[test]
    fn authentic_garbage_is_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let key = SiteKey::new([7; 32]);
        let tagged = key.append_tag("chalkyard-control-1", bytes);
        if let Ok(decoded) = Message::decode(&key, &tagged) {
            prop_assert_eq!(Message::decode(&key, &decoded.encode(&key)), Ok(decoded));
        }
    }
}
