//! Time in whole microseconds.

use std::ops::{Add, Sub};

/// A point in monotonic time or a duration, in microseconds. Arithmetic saturates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Micros(pub u64);

impl Micros {
    /// Converts `s` seconds to microseconds. Negative values and NaN give zero.
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s * 1e6).round() as u64)
    }

    /// Converts the value to seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies the duration by `factor`. Negative products and NaN give zero.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Micros {
    type Output = Self;
    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}
