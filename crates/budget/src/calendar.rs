//! Periods of budgets: hours, days and months by the calendar of a time zone.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

use crate::units::Time;

/// How long a period is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// From one full hour to the next on the zone's clock.
    Hour,
    /// From midnight to midnight: 23 or 25 hours where the clock is changed.
    Day,
    /// From the first of a month to the next.
    Month,
}

impl Kind {
    /// All, shortest first.
    pub const ALL: [Self; 3] = [Self::Hour, Self::Day, Self::Month];

    /// Its word in settings and reports.
    pub fn word(self) -> &'static str {
        match self {
            Self::Hour => "hour",
            Self::Day => "day",
            Self::Month => "month",
        }
    }
}

/// A period: from its start until just before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// First µs.
    pub start: Time,
    /// First µs after it.
    pub end: Time,
}

impl Span {
    /// Whether a time lies in it.
    pub fn holds(&self, at: Time) -> bool {
        self.start <= at && at < self.end
    }
}

/// Times without a calendar (the zone's data ends, or no such time): one period of a day each, so that a
/// budget never becomes endless.
const FALLBACK: u64 = 86_400_000_000;

impl Default for Calendar {
    /// UTC.
    fn default() -> Self {
        Self { zone: TimeZone::UTC }
    }
}

/// The calendar of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Calendar {
    zone: TimeZone,
}

impl Calendar {
    /// By the zone's IANA name, such as `Europe/Zurich`; the names are built in.
    ///
    /// # Errors
    /// Says that there is no zone of that name.
    pub fn new(zone: &str) -> Result<Self, String> {
        TimeZone::get(zone).map(|zone| Self { zone }).map_err(|_| format!("no time zone `{zone}`"))
    }

    /// The period of a kind in which a time lies.
    pub fn span(&self, kind: Kind, at: Time) -> Span {
        self.by_calendar(kind, at).filter(|span| span.holds(at)).unwrap_or_else(|| {
            let start = at.0 / FALLBACK * FALLBACK;
            Span { start: Time(start), end: Time(start.saturating_add(FALLBACK)) }
        })
    }

    fn by_calendar(&self, kind: Kind, at: Time) -> Option<Span> {
        let micros = i64::try_from(at.0).ok()?;
        let zoned = Timestamp::from_microsecond(micros).ok()?.to_zoned_datetime(self.zone.clone());
        let (start, end) = match kind {
            // By elapsed time: an hour that the clock shows twice is two periods. Where the clock is changed
            // within an hour (by half an hour, say), that is a border too.
            Kind::Hour => {
                let t = zoned.timestamp();
                let since = i64::from(zoned.minute()) * 60 + i64::from(zoned.second());
                let full = t.as_second().checked_sub(since)?;
                let (start, end) =
                    (Timestamp::from_second(full).ok()?, Timestamp::from_second(full + 3_600).ok()?);
                // Of transitions, `preceding` gives those before, not at, a time.
                let until_now = t.checked_add(1.nanosecond()).ok()?;
                let before = self.zone.preceding(until_now).next().map(|c| c.timestamp());
                let after = self.zone.following(t).next().map(|c| c.timestamp());
                return span(before.map_or(start, |b| start.max(b)), after.map_or(end, |a| end.min(a)));
            }
            Kind::Day => {
                let start = zoned.start_of_day().ok()?;
                let end = start.checked_add(1.day()).ok()?.start_of_day().ok()?;
                (start, end)
            }
            Kind::Month => {
                let start = zoned.first_of_month().ok()?.start_of_day().ok()?;
                let end = start.checked_add(1.month()).ok()?.start_of_day().ok()?;
                (start, end)
            }
        };
        span(start.timestamp(), end.timestamp())
    }

    /// The date on which a time lies, as `2026-12-01`.
    pub fn date(&self, at: Time) -> String {
        let zoned = i64::try_from(at.0).ok().and_then(|m| Timestamp::from_microsecond(m).ok());
        zoned.map_or_else(
            || "beyond-calendar".into(),
            |t| t.to_zoned_datetime(self.zone.clone()).date().to_string(),
        )
    }

    /// The period that a text names: `2026-12`, `2026-12-01` or `2026-12-01T14`.
    ///
    /// # Errors
    /// Says what is wrong with the text.
    pub fn named(&self, text: &str) -> Result<(Kind, Span), String> {
        let wrong =
            || format!("`{text}` is no period: 2026-12 (month), 2026-12-01 (day) or 2026-12-01T14 (hour)");
        let (kind, full) = match text.len() {
            7 => (Kind::Month, format!("{text}-01T00:00")),
            10 => (Kind::Day, format!("{text}T00:00")),
            13 => (Kind::Hour, format!("{text}:00")),
            _ => return Err(wrong()),
        };
        let civil: jiff::civil::DateTime = full.parse().map_err(|_| wrong())?;
        let zoned = civil.to_zoned_datetime(self.zone.clone()).map_err(|_| wrong())?;
        let micros = u64::try_from(zoned.timestamp().as_microsecond()).map_err(|_| wrong())?;
        Ok((kind, self.span(kind, Time(micros))))
    }
}

fn span(start: Timestamp, end: Timestamp) -> Option<Span> {
    let micros = |t: Timestamp| u64::try_from(t.as_microsecond()).ok().map(Time);
    Some(Span { start: micros(start)?, end: micros(end)? })
}

#[cfg(test)]
mod tests {
    #![allow(clippy::unwrap_used)]
    use super::*;

    fn at(zoned: &str) -> Time {
        let z: jiff::ZonedDateTime = zoned.parse().unwrap();
        Time(u64::try_from(z.timestamp().as_microsecond()).unwrap())
    }

    const HOUR: u64 = 3_600_000_000;

    #[test]
    fn days_are_as_long_as_the_clock_makes_them() {
        let calendar = Calendar::new("Europe/Zurich").unwrap();
        let length = |z: &str| {
            let span = calendar.span(Kind::Day, at(z));
            span.end.since(span.start) / HOUR
        };
        assert_eq!(length("2026-03-29T12:00[Europe/Zurich]"), 23);
        assert_eq!(length("2026-10-25T12:00[Europe/Zurich]"), 25);
        assert_eq!(length("2026-12-01T00:00[Europe/Zurich]"), 24);
    }

    #[test]
    fn an_hour_that_is_shown_twice_is_two_periods() {
        let calendar = Calendar::new("Europe/Zurich").unwrap();
        let first = calendar.span(Kind::Hour, at("2026-10-25T02:30+02:00[Europe/Zurich]"));
        let second = calendar.span(Kind::Hour, at("2026-10-25T02:30+01:00[Europe/Zurich]"));
        assert_eq!((first.end, second.end.since(second.start)), (second.start, HOUR));
    }

    #[test]
    fn february_of_a_leap_year_has_its_29th() {
        let calendar = Calendar::new("Asia/Kolkata").unwrap();
        let span = calendar.span(Kind::Month, at("2028-02-29T23:59:59[Asia/Kolkata]"));
        assert_eq!(span.end.since(span.start), 29 * 24 * HOUR);
        assert_eq!(calendar.date(at("2028-02-29T23:59[Asia/Kolkata]")), "2028-02-29");
        assert_eq!(calendar.named("2028-02").unwrap(), (Kind::Month, span));
        assert!(calendar.named("2027-02-29").is_err());
    }

    #[test]
    fn each_period_ends_where_the_next_begins_and_no_time_is_without() {
        for zone in ["Europe/Zurich", "America/Port_of_Spain", "Australia/Lord_Howe", "UTC"] {
            let calendar = Calendar::new(zone).unwrap();
            for kind in Kind::ALL {
                // Zurich's clock changed on 29 March, Lord Howe's (by half an hour) on 5 April.
                let mut t = at("2026-03-25T00:00[UTC]");
                for _ in 0..500 {
                    let span = calendar.span(kind, t);
                    assert!(
                        span.holds(t) && calendar.span(kind, Time(span.end.0 - 1)) == span,
                        "{zone} {kind:?}"
                    );
                    t = span.end;
                }
            }
        }
        assert!(Calendar::new("UTC").unwrap().span(Kind::Day, Time(u64::MAX - FALLBACK)).start > Time(0));
        assert!(Calendar::new("Nowhere/City").is_err());
    }
}
