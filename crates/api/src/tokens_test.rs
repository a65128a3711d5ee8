//! Tests of `tokens`.
use super::estimate;

#[test]
fn estimates_follow_the_documented_rule() {
    assert_eq!(estimate(""), 0);
    assert_eq!(estimate("four"), 1);
    assert_eq!(estimate("fives"), 2);
    assert_eq!(estimate("a b, c."), 5);
    assert_eq!(estimate("Grüezi"), 1 + 1 + 1);
}
