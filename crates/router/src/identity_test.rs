//! Tests of idempotency key deduplication.
use super::*;

#[test]
fn repeat_is_rejected_until_the_first_key_expires() {
    let mut table = IdentityTable::new(2);
    let identity = |tenant| RequestIdentity { tenant, key: "k".to_owned() };
    let (a, b, c) = (identity(Some(0)), identity(Some(1)), identity(None));
    assert_eq!(table.begin(Micros(1), &a), Ok(()));
    assert_eq!(table.begin(Micros(2), &a), Err(IdentityError::StillOpen));
    assert_eq!(table.begin(Micros(2), &b), Ok(()), "another tenant's key is another identity");
    assert_eq!(table.begin(Micros(2), &c), Err(IdentityError::TableFull));
    table.end(&a, Some(Micros(10)));
    table.end(&b, None);
    assert_eq!(table.begin(Micros(3), &a), Err(IdentityError::MayHaveRun));
    assert_eq!(table.begin(Micros(3), &b), Ok(()), "a rejected request may be repeated");
    assert_eq!(table.begin(Micros(10), &a), Ok(()));
}
