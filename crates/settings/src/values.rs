//! The types of attribute values, and names that must be unique.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::xml::{Element, Errors, Value, ValueError};

/// Any text.
pub struct Text(pub String);
/// A time, such as `250ms`.
pub struct TimeSpan(pub Micros);
/// A number from 0 to 1.
pub struct Fraction(pub f64);
/// A number over 0.
pub struct PositiveNumber(pub f64);
/// A name, as it may stand in request ids, headers and logs.
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

/// What is expected of a [`TimeSpan`].
const TIME_SPAN: &str = "must be a time such as 250ms, 1.5s or 2min";
/// The longest [`TimeSpan`], µs.
const DAY_US: f64 = 86_400e6;

impl Value for TimeSpan {
    fn parse(text: &str) -> Result<Self, ValueError> {
        let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit);
        let unit_us = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            _ => return Err(TIME_SPAN.into()),
        };
        let value: f64 = number.parse().map_err(|_| TIME_SPAN)?;
        let micros = value * unit_us;
        if !(0.0..=DAY_US).contains(&micros) {
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
        value.map(Self).ok_or_else(|| "must be a number over 0".into())
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

/// A type of values each of which is one word.
macro_rules! keywords {
    ($name:ident: $type:ty { $($word:literal => $value:expr),+ $(,)? }) => {
        /// One of these words.
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

/// How far requests of a class may be retried.
#[derive(Clone, Copy, PartialEq)]
pub enum EffectKind {
    Free,
    Guarded,
    SingleShot,
}

keywords!(EffectValue: EffectKind {
    "free" => EffectKind::Free, "guarded" => EffectKind::Guarded, "single-shot" => EffectKind::SingleShot,
});

/// The names of one kind of element; each must be unique.
#[derive(Debug, Default)]
pub struct UniqueNames(BTreeSet<String>);

impl UniqueNames {
    /// Adds a name; reports an error at the element's attribute if another element has it.
    pub fn add(&mut self, name: &str, element: &Element<'_, '_>, attribute: &str, errors: &mut Errors) {
        if !self.0.insert(name.to_owned()) {
            element.report(Some(attribute), format!("`{name}` is there twice"), errors);
        }
    }
}
