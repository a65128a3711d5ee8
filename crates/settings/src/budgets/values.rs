//! Attribute value types of `<budgets>`.

use chalkyard_budget::{Calendar, PeriodKind};

use crate::xml::{Value, ValueError};

/// Error message for an invalid [`Thousandths`].
const THOUSANDTHS: &str = "must be a number with at most three decimals, such as 0.25";

/// A decimal number in thousandths: budget arithmetic uses integers only.
pub struct Thousandths(pub u32);

impl Value for Thousandths {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let (integer, decimals) = text.split_once('.').unwrap_or((text, ""));
        let is_decimal = |digits: &str| digits.bytes().all(|b| b.is_ascii_digit());
        if integer.is_empty() || decimals.len() > 3 || !is_decimal(integer) || !is_decimal(decimals) {
            return Err(THOUSANDTHS.into());
        }
        let integer: u32 = integer.parse().map_err(|_| THOUSANDTHS)?;
        let thousandths: u32 = format!("{decimals:0<3}").parse().map_err(|_| THOUSANDTHS)?;
        let value = integer.checked_mul(1_000).and_then(|integer| integer.checked_add(thousandths));
        value.map(Self).ok_or_else(|| THOUSANDTHS.into())
    }
}

/// Usage thresholds for notifications, in ascending thousandths of the limit.
pub struct Marks(pub Vec<u32>);

impl Value for Marks {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let marks: Result<Vec<u32>, ValueError> =
            text.split_whitespace().map(|m| Thousandths::parse(m).map(|t| t.0)).collect();
        let marks = marks?;
        if marks.iter().any(|m| *m == 0 || *m > 1_000) || !marks.is_sorted() {
            return Err("must be ascending numbers greater than 0 and at most 1, such as \"0.8 0.95\"".into());
        }
        Ok(Self(marks))
    }
}

/// The period of a budget.
pub struct PeriodValue(pub PeriodKind);

impl Value for PeriodValue {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let kind = PeriodKind::ALL.into_iter().find(|k| k.name() == text);
        kind.map(Self).ok_or_else(|| "must be one of hour, day, month".into())
    }
}

/// How budgets are divided between routers without leases. `unreserved` reserves nothing and serves as a baseline for
/// measurements.
#[derive(Clone, Copy, PartialEq)]
pub enum Sharing {
    Equal,
    Unreserved,
}

impl Value for Sharing {
    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "equal" => Ok(Self::Equal),
            "unreserved" => Ok(Self::Unreserved),
            _ => {
                Err("must be equal or unreserved (which reserves nothing: a baseline for measurements)"
                    .into())
            }
        }
    }
}

/// A day, such as `2026-12-01`.
pub struct Day(pub String);

impl Value for Day {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let is_day = Calendar::new("UTC")
            .and_then(|c| c.parse_period(text))
            .is_ok_and(|(kind, _)| kind == PeriodKind::Day);
        is_day.then(|| Self(text.into())).ok_or_else(|| "must be a day such as 2026-12-01".into())
    }
}

/// The name of a currency's smallest unit.
pub struct Currency(pub String);

impl Value for Currency {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let is_valid = (1..=8).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphabetic());
        is_valid.then(|| Self(text.into())).ok_or_else(|| "must be 1 to 8 letters".into())
    }
}
