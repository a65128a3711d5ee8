//! Tests of `tokens`.
use super::estimate;

#[test]
fn counts_by_the_documented_measure() {
    assert_eq!(estimate(""), 0);
    assert_eq!(estimate("four"), 1);
    assert_eq!(estimate("fives"), 2);
    assert_eq!(estimate("a b, c."), 5);
    assert_eq!(estimate("Grüezi"), 1 + 1 + 1);
}
