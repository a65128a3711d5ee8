//! Tests of `identity`.
use super::*;

#[test]
fn repeat_is_rejected_until_the_first_is_forgotten() {
    let mut ids = IdentityTable::new(2);
    let identity = |tenant| RequestIdentity { tenant, key: "k".to_owned() };
    let (a, b, c) = (identity(Some(0)), identity(Some(1)), identity(None));
    assert_eq!(ids.begin(Micros(1), &a), Ok(()));
    assert_eq!(ids.begin(Micros(2), &a), Err(IdentityError::StillOpen));
    assert_eq!(ids.begin(Micros(2), &b), Ok(()), "another tenant's key is another identity");
    assert_eq!(ids.begin(Micros(2), &c), Err(IdentityError::TableFull));
    ids.end(&a, Some(Micros(10)));
    ids.end(&b, None);
    assert_eq!(ids.begin(Micros(3), &a), Err(IdentityError::MayHaveRun));
    assert_eq!(ids.begin(Micros(3), &b), Ok(()), "refused, so it may come again");
    assert_eq!(ids.begin(Micros(10), &a), Ok(()));
}
