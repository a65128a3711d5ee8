//! Tests of `identity`.
use super::*;

#[test]
fn a_repeat_is_told_of_the_first_until_it_is_forgotten() {
    let mut ids = Identities::new(2);
    let (a, b, c) = ((Some(0), "k".to_owned()), (Some(1), "k".to_owned()), (None, "k".to_owned()));
    assert_eq!(ids.begin(Micros(1), &a), Ok(()));
    assert_eq!(ids.begin(Micros(2), &a), Err(Repeat::Open));
    assert_eq!(ids.begin(Micros(2), &b), Ok(()), "another tenant's key is another identity");
    assert_eq!(ids.begin(Micros(2), &c), Err(Repeat::Full));
    ids.end(&a, Some(Micros(10)));
    ids.end(&b, None);
    assert_eq!(ids.begin(Micros(3), &a), Err(Repeat::Ran));
    assert_eq!(ids.begin(Micros(3), &b), Ok(()), "refused, so it may come again");
    assert_eq!(ids.begin(Micros(10), &a), Ok(()));
}
