//! Budget periods: hours, days and months in a time zone.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

use crate::units::Time;

/// Kind of a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeriodKind {
    /// From one full hour to the next by the zone's local time.
    Hour,
    /// From midnight to midnight; 23 or 25 hours long when daylight saving time changes.
    Day,
    /// From the first day of a month to the first day of the next.
    Month,
}

impl PeriodKind {
    /// All kinds, shortest first.
    pub const ALL: [Self; 3] = [Self::Hour, Self::Day, Self::Month];

    /// The name in settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hour => "hour",
            Self::Day => "day",
            Self::Month => "month",
        }
    }
}

/// A half-open time interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Period {
    /// First microsecond.
    pub start: Time,
    /// First microsecond after the period.
    pub end: Time,
}

impl Period {
    /// Whether the period contains a time.
    pub fn contains(&self, at: Time) -> bool {
        self.start <= at && at < self.end
    }
}

/// Length in microseconds of the periods used for times that the calendar can't represent. A fixed day keeps the
/// period of a budget finite.
const FALLBACK_PERIOD: u64 = 86_400_000_000;

impl Default for Calendar {
    /// UTC.
    fn default() -> Self {
        Self { zone: TimeZone::UTC }
    }
}

/// The calendar of one time zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Calendar {
    zone: TimeZone,
}

impl Calendar {
    /// Creates the calendar of a zone by its IANA name, such as `Europe/Zurich`. The time zone data is built in.
    ///
    /// # Errors
    /// If no zone has this name.
    pub fn new(zone: &str) -> Result<Self, String> {
        TimeZone::get(zone).map(|zone| Self { zone }).map_err(|_| format!("no time zone `{zone}`"))
    }

    /// The period of a kind that contains a time.
    pub fn period(&self, kind: PeriodKind, at: Time) -> Period {
        self.by_calendar(kind, at).filter(|period| period.contains(at)).unwrap_or_else(|| {
            let start = at.0 / FALLBACK_PERIOD * FALLBACK_PERIOD;
            Period { start: Time(start), end: Time(start.saturating_add(FALLBACK_PERIOD)) }
        })
    }

    fn by_calendar(&self, kind: PeriodKind, at: Time) -> Option<Period> {
        let micros = i64::try_from(at.0).ok()?;
        let zoned = Timestamp::from_microsecond(micros).ok()?.to_zoned_datetime(self.zone.clone());
        let (start, end) = match kind {
            // Hours are elapsed time: a local hour that occurs twice is two periods. A clock change within an hour,
            // such as one by half an hour, is a period boundary too.
            PeriodKind::Hour => {
                let t = zoned.timestamp();
                let since = i64::from(zoned.minute()) * 60 + i64::from(zoned.second());
                let full = t.as_second().checked_sub(since)?;
                let (start, end) =
                    (Timestamp::from_second(full).ok()?, Timestamp::from_second(full + 3_600).ok()?);
                // `preceding` returns only transitions strictly before a time.
                let until_now = t.checked_add(1.nanosecond()).ok()?;
                let before = self.zone.preceding(until_now).next().map(|c| c.timestamp());
                let after = self.zone.following(t).next().map(|c| c.timestamp());
                return period(before.map_or(start, |b| start.max(b)), after.map_or(end, |a| end.min(a)));
            }
            PeriodKind::Day => {
                let start = zoned.start_of_day().ok()?;
                let end = start.checked_add(1.day()).ok()?.start_of_day().ok()?;
                (start, end)
            }
            PeriodKind::Month => {
                let start = zoned.first_of_month().ok()?.start_of_day().ok()?;
                let end = start.checked_add(1.month()).ok()?.start_of_day().ok()?;
                (start, end)
            }
        };
        period(start.timestamp(), end.timestamp())
    }

    /// The local date of a time, such as `2026-12-01`.
    pub fn date(&self, at: Time) -> String {
        let zoned = i64::try_from(at.0).ok().and_then(|m| Timestamp::from_microsecond(m).ok());
        zoned.map_or_else(
            || "beyond-calendar".into(),
            |t| t.to_zoned_datetime(self.zone.clone()).date().to_string(),
        )
    }

    /// Parses a month (`2026-12`), a day (`2026-12-01`) or an hour (`2026-12-01T14`).
    ///
    /// # Errors
    /// Describes the expected formats.
    pub fn parse_period(&self, text: &str) -> Result<(PeriodKind, Period), String> {
        let wrong =
            || format!("`{text}` is no period: 2026-12 (month), 2026-12-01 (day) or 2026-12-01T14 (hour)");
        let (kind, full) = match text.len() {
            7 => (PeriodKind::Month, format!("{text}-01T00:00")),
            10 => (PeriodKind::Day, format!("{text}T00:00")),
            13 => (PeriodKind::Hour, format!("{text}:00")),
            _ => return Err(wrong()),
        };
        let civil: jiff::civil::DateTime = full.parse().map_err(|_| wrong())?;
        let zoned = civil.to_zoned_datetime(self.zone.clone()).map_err(|_| wrong())?;
        let micros = u64::try_from(zoned.timestamp().as_microsecond()).map_err(|_| wrong())?;
        Ok((kind, self.period(kind, Time(micros))))
    }
}

fn period(start: Timestamp, end: Timestamp) -> Option<Period> {
    let micros = |t: Timestamp| u64::try_from(t.as_microsecond()).ok().map(Time);
    Some(Period { start: micros(start)?, end: micros(end)? })
}

#[cfg(test)]
#[path = "calendar_test.rs"]
mod tests;
