//! Attribute value types, and a check for unique names.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::xml::{Element, Errors, Value, ValueError};

/// Any text.
pub struct Text(pub String);
/// A duration such as `250ms`.
pub struct TimeSpan(pub Micros);
/// A number from 0 to 1.
pub struct Fraction(pub f64);
/// A number greater than 0.
pub struct PositiveNumber(pub f64);
/// A name that is valid in request ids, headers and logs.
pub struct Name(pub String);

impl Value for Text {
    fn parse(text: &str) -> Result<Self, ValueError> {
        Ok(Self(text.into()))
    }
}

impl Value for Name {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let is_valid = chalkyard_api::client::is_valid_name(text) && !text.contains(['/', ',', '<']);
        let value = is_valid.then(|| Self(text.into()));
        value.ok_or_else(|| "must be 1 to 128 visible ASCII characters without / , < \"".into())
    }
}

/// Error message for an invalid [`TimeSpan`].
const EXPECTED_TIME_SPAN: &str = "must be a duration such as 250ms, 1.5s or 2min";
/// Longest [`TimeSpan`], one day in microseconds.
const MAX_TIME_SPAN_US: f64 = 86_400e6;

impl Value for TimeSpan {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit);
        let unit_us = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            _ => return Err(EXPECTED_TIME_SPAN.into()),
        };
        let value: f64 = number.parse().map_err(|_| EXPECTED_TIME_SPAN)?;
        let micros = value * unit_us;
        if !(0.0..=MAX_TIME_SPAN_US).contains(&micros) {
            return Err("must be between 0 and one day".into());
        }
        Ok(Self(Micros(micros.round() as u64)))
    }
}

impl Value for Fraction {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let value: Option<f64> = text.parse().ok();
        let value = value.filter(|v| (0.0..=1.0).contains(v));
        value.map(Self).ok_or_else(|| "must be a number from 0 to 1".into())
    }
}

impl Value for PositiveNumber {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let value: Option<f64> = text.parse().ok();
        let value = value.filter(|v| v.is_finite() && *v > 0.0);
        value.map(Self).ok_or_else(|| "must be a number greater than 0".into())
    }
}

impl Value for u64 {
    fn parse(text: &str) -> Result<Self, ValueError> {
        text.parse().map_err(|_| "must be a whole number".into())
    }
}

impl Value for bool {
    fn parse(text: &str) -> Result<Self, ValueError> {
        text.parse().map_err(|_| "must be true or false".into())
    }
}

impl Value for SocketAddr {
    fn parse(text: &str) -> Result<Self, ValueError> {
        text.parse().map_err(|_| "must be an address such as 127.0.0.1:8080".into())
    }
}

/// Defines an attribute value type with a fixed set of keywords.
macro_rules! keywords {
    ($name:ident: $type:ty { $($word:literal => $value:expr),+ $(,)? }) => {
        /// A keyword.
        pub struct $name(pub $type);
        impl Value for $name {
            fn parse(text: &str) -> Result<Self, ValueError> {
                match text {
                    $($word => Ok(Self($value)),)+
                    _ => Err(format!("must be one of {}", [$($word),+].join(", ")).into()),
                }
            }
        }
    };
}

keywords!(RoleValue: p::Role { "reader" => p::Role::Prefill, "writer" => p::Role::Decode, "mixed" => p::Role::Combined });
keywords!(DiscoveryValue: p::Discovery { "push" => p::Discovery::Push, "ask" => p::Discovery::Poll });
keywords!(ReportsValue: p::LoadReporting {
    "off" => p::LoadReporting::Off, "in-answers" => p::LoadReporting::InResponses,
});
keywords!(GroupValue: p::DeduplicationScope { "all" => p::DeduplicationScope::All, "zone" => p::DeduplicationScope::Zone, "cell" => p::DeduplicationScope::Cell });

/// Retry safety of the requests of a class.
#[derive(Clone, Copy, PartialEq)]
pub enum EffectKind {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

keywords!(EffectValue: EffectKind {
    "free" => EffectKind::Idempotent, "guarded" => EffectKind::Deduplicated, "single-shot" => EffectKind::NonIdempotent,
});

/// The names of one kind of element, which must be unique.
#[derive(Debug, Default)]
pub struct UniqueNames(BTreeSet<String>);

impl UniqueNames {
    /// Adds a name; reports a duplicate at the element's attribute.
    pub fn add(&mut self, name: &str, element: &Element<'_, '_>, attribute: &str, errors: &mut Errors) {
        if !self.0.insert(name.to_owned()) {
            element.report(Some(attribute), format!("duplicate name `{name}`"), errors);
        }
    }
}
