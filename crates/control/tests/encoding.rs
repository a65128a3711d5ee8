//! Messages and files are read as they were written, and any other bytes are rejected without a panic.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::revisions::{learned, next, set};
use proptest::prelude::*;

/// The file's tag does not match: it was changed or truncated, or belongs to another site.
const NOT_AUTHENTIC: KnownGoodError =
    KnownGoodError::Corrupt { cause: CorruptionCause::NotAuthentic(AuthenticationError) };

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
}
