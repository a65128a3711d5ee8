//! Tests of `line_budget`.
use super::*;

#[test]
fn lines_beyond_the_limit_of_a_second_are_left_out_and_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..500).filter(|_| budget.take(start).is_some()).count();
    assert_eq!(written, MAX_LINES as usize);
    assert_eq!(budget.take(start + INTERVAL), Some(500 - u64::from(MAX_LINES)));
    assert_eq!(budget.take(start + INTERVAL), Some(0));
}
