//! Tests of `line_budget`.
use super::*;

#[test]
fn lines_beyond_the_limit_of_a_second_are_left_out_and_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..500).filter(|_| budget.take(start).is_some()).count();
    assert_eq!(written, LINES as usize);
    assert_eq!(budget.take(start + SPAN), Some(500 - u64::from(LINES)));
    assert_eq!(budget.take(start + SPAN), Some(0));
}
