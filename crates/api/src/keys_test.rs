//! Tests of `keys`.
#![allow(clippy::unwrap_used)]
use super::KeyRing;

#[test]
fn owners_are_found_by_the_salted_hash_of_their_key() {
    let mut ring = KeyRing::new([7; 32]);
    let hash = ring.hash("secret");
    ring.add(&hash, 3).unwrap();
    assert!(ring.add(&hash, 4).is_err());
    assert!(ring.add("zz", 4).is_err());
    assert_eq!(ring.owner("secret"), Some(3));
    assert_eq!(ring.owner("Secret"), None);
    assert_eq!(KeyRing::new([8; 32]).owner("secret"), None);
    assert_ne!(KeyRing::new([8; 32]).hash("secret"), hash);
    assert_eq!(format!("{ring:?}"), "KeyRing(1 keys)");
    assert_eq!(ring.remap_owners(|owner| (owner == 3).then_some(7)).owner("secret"), Some(7));
    assert_eq!(ring.remap_owners(|_| None).owner("secret"), None);
}
