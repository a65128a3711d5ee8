//! Tests of `calendar`.
#![allow(clippy::unwrap_used)]
use super::*;

fn at(zoned: &str) -> Time {
    let z: jiff::ZonedDateTime = zoned.parse().unwrap();
    Time(u64::try_from(z.timestamp().as_microsecond()).unwrap())
}

const HOUR: u64 = 3_600_000_000;

#[test]
fn days_of_clock_changes_have_23_or_25_hours() {
    let calendar = Calendar::new("Europe/Zurich").unwrap();
    let length = |z: &str| {
        let period = calendar.period(PeriodKind::Day, at(z));
        period.end.since(period.start) / HOUR
    };
    assert_eq!(length("2026-03-29T12:00[Europe/Zurich]"), 23);
    assert_eq!(length("2026-10-25T12:00[Europe/Zurich]"), 25);
    assert_eq!(length("2026-12-01T00:00[Europe/Zurich]"), 24);
}

#[test]
fn repeated_local_hour_is_two_periods() {
    let calendar = Calendar::new("Europe/Zurich").unwrap();
    let first = calendar.period(PeriodKind::Hour, at("2026-10-25T02:30+02:00[Europe/Zurich]"));
    let second = calendar.period(PeriodKind::Hour, at("2026-10-25T02:30+01:00[Europe/Zurich]"));
    assert_eq!((first.end, second.end.since(second.start)), (second.start, HOUR));
}

#[test]
fn february_of_a_leap_year_has_its_29th() {
    let calendar = Calendar::new("Asia/Kolkata").unwrap();
    let period = calendar.period(PeriodKind::Month, at("2028-02-29T23:59:59[Asia/Kolkata]"));
    assert_eq!(period.end.since(period.start), 29 * 24 * HOUR);
    assert_eq!(calendar.date(at("2028-02-29T23:59[Asia/Kolkata]")), "2028-02-29");
    assert_eq!(calendar.parse_period("2028-02").unwrap(), (PeriodKind::Month, period));
    assert!(calendar.parse_period("2027-02-29").is_err());
}

#[test]
fn periods_are_contiguous_and_cover_all_times() {
    for zone in ["Europe/Zurich", "America/Port_of_Spain", "Australia/Lord_Howe", "UTC"] {
        let calendar = Calendar::new(zone).unwrap();
        for kind in PeriodKind::ALL {
            // Zurich's clock changed on 29 March, Lord Howe's (by half an hour) on 5 April.
            let mut t = at("2026-03-25T00:00[UTC]");
            for _ in 0..500 {
                let period = calendar.period(kind, t);
                assert!(
                    period.contains(t) && calendar.period(kind, Time(period.end.0 - 1)) == period,
                    "{zone} {kind:?}"
                );
                t = period.end;
            }
        }
    }
    assert!(
        Calendar::new("UTC").unwrap().period(PeriodKind::Day, Time(u64::MAX - FALLBACK_PERIOD)).start
            > Time(0)
    );
    assert!(Calendar::new("Nowhere/City").is_err());
}
