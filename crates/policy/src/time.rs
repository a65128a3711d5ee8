//! Time: whole microseconds.

use std::ops::{Add, Sub};

/// A point of the monotonic clock, or a span of time, in microseconds. Arithmetic saturates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Micros(pub u64);

impl Micros {
    /// The span of `s` seconds; negative or undefined values give zero.
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s * 1e6).round() as u64)
    }

    /// This many seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span times `factor`; negative or undefined products give zero.
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
