#![allow(clippy::unwrap_used)]

use super::*;

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * b.abs().max(1.0)
}

#[test]
fn a_line_has_its_slope_and_no_error_and_scattered_points_have_one() {
    let straight = line(&[(0.1, 3.0), (0.5, 7.0), (1.0, 12.0)]).unwrap();
    assert!(near(straight.slope, 10.0) && near(straight.at_zero, 2.0) && straight.error.unwrap() < 1e-9);
    let scattered = line(&[(0.1, 3.0), (0.5, 8.0), (1.0, 12.0)]).unwrap();
    assert!(scattered.error.unwrap() > 0.5);
    assert_eq!(line(&[(0.5, 1.0), (0.5, 2.0)]), None);
}

#[test]
fn a_budget_is_reached_between_points_before_the_first_and_beyond_the_last() {
    let quadratic: Vec<(f64, f64)> = [0.1, 0.25, 0.5].iter().map(|f| (*f, 100.0 * f * f)).collect();
    assert!(near(exponent(&quadratic).unwrap(), 2.0));
    assert!(near(breaks_at(&quadratic, 100.0).unwrap(), 1.0), "beyond the last");
    assert!(near(breaks_at(&quadratic, 0.5).unwrap(), 0.05), "before the first");
    let between = breaks_at(&quadratic, 10.0).unwrap();
    assert!(0.25 < between && between < 0.5);
    assert_eq!(breaks_at(&[(0.1, 5.0), (1.0, 5.0)], 6.0), None, "flat: never");
    let (whole, measured) = at_whole(&quadratic).unwrap();
    assert!(near(whole, 100.0) && !measured);
    assert_eq!(at_whole(&[(0.5, 1.0), (1.0, 3.0)]), Some((3.0, true)));
}
