//! Tests of `shell`.
#![allow(clippy::unwrap_used)]
use super::*;

#[test]
fn a_loop_that_stood_still_says_where() {
    let ms = Duration::from_millis;
    assert_eq!(stalled(ms(20), Some(ms(100)), ms(120)), None, "a busy machine");
    assert_eq!(stalled(ms(20), None, ms(90_000)), None, "nothing was due");
    let worked = stalled(ms(900), Some(ms(1)), ms(1)).unwrap();
    assert_eq!(worked, "the loop worked for 900 ms, then woke 0 ms late");
    let late = stalled(ms(1), Some(ms(100)), ms(1_700)).unwrap();
    assert_eq!(late, "the loop worked for 1 ms, then woke 1600 ms late");
}
