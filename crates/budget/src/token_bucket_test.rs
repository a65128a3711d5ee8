//! Tests of `token_bucket`.
use super::*;

#[test]
fn rate_holds_for_every_step_length() {
    for step in [1_u64, 7, 999, 250_000] {
        let mut bucket = TokenBucket::new(Units(3_000), Units(6_000), Time(0));
        let (mut taken, mut now) = (0, 0);
        while now < 2_000_000 {
            now += step;
            while bucket.check_available(Time(now), Units(500)).is_ok() {
                bucket.take(Units(500));
                taken += 500;
            }
        }
        assert!(taken <= 6_000 + 3_000 * now / 1_000_000, "step {step}: {taken}");
        assert!(taken >= 6_000 + 3_000 * now / 1_000_000 - 1_500, "step {step}: {taken}");
    }
}

#[test]
fn request_above_the_burst_waits_for_a_full_bucket_and_leaves_debt() {
    let mut bucket = TokenBucket::new(Units(1_000), Units(2_000), Time(0));
    assert_eq!(bucket.check_available(Time(0), Units(5_000)), Ok(()));
    bucket.take(Units(5_000));
    assert_eq!(bucket.check_available(Time(0), Units(1)), Err(3_001_000));
    bucket.give_back(Units(4_000));
    assert_eq!(bucket.check_available(Time(0), Units(1_000)), Ok(()));
    assert_eq!(
        bucket.check_available(Time(u64::MAX), Units(2_000)),
        Ok(()),
        "no overflow at the end of time"
    );
}
