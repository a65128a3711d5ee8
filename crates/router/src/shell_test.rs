//! Tests of the shell's stall detection.
#![allow(clippy::unwrap_used)]
use super::*;

#[test]
fn a_stall_is_attributed_to_work_or_to_a_late_wakeup() {
    let ms = Duration::from_millis;
    assert_eq!(describe_stall(ms(20), Some(ms(100)), ms(120)), None, "a delay below the threshold");
    assert_eq!(describe_stall(ms(20), None, ms(90_000)), None, "a wait without a timeout cannot be late");
    let worked = describe_stall(ms(900), Some(ms(1)), ms(1)).unwrap();
    assert_eq!(worked, "the loop worked for 900 ms, then woke 0 ms late");
    let late = describe_stall(ms(1), Some(ms(100)), ms(1_700)).unwrap();
    assert_eq!(late, "the loop worked for 1 ms, then woke 1600 ms late");
}
