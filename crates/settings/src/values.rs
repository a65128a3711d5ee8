//! What attributes can hold, and names that must be there once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::xml::{Element, Errors, Value};

/// Any text.
pub struct Text(pub String);
/// A time, such as `250ms`.
pub struct Span(pub Micros);
/// A number from 0 to 1.
pub struct Share(pub f64);
/// A number over 0.
pub struct Positive(pub f64);
/// A name of a part.
pub struct Name(pub String);

impl Value for Text {
    fn read(text: &str) -> Result<Self, String> {
        Ok(Self(text.into()))
    }
}

impl Value for Name {
    fn read(text: &str) -> Result<Self, String> {
        let ok = chalkyard_api::client::is_name(text) && !text.contains(['/', ',', '<']);
        ok.then(|| Self(text.into()))
            .ok_or("must be 1 to 128 visible ASCII characters without / , < \"".into())
    }
}

impl Value for Span {
    fn read(text: &str) -> Result<Self, String> {
        let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit);
        let scale = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            _ => return Err("must be a time such as 250ms, 1.5s or 2min".into()),
        };
        let value: f64 =
            number.parse().map_err(|_| "must be a time such as 250ms, 1.5s or 2min".to_string())?;
        if !(0.0..=86_400e6).contains(&(value * scale)) {
            return Err("must be between 0 and one day".into());
        }
        Ok(Self(Micros((value * scale).round() as u64)))
    }
}

impl Value for Share {
    fn read(text: &str) -> Result<Self, String> {
        let value: Option<f64> = text.parse().ok();
        value.filter(|v| (0.0..=1.0).contains(v)).map(Self).ok_or("must be a number from 0 to 1".into())
    }
}

impl Value for Positive {
    fn read(text: &str) -> Result<Self, String> {
        let value: Option<f64> = text.parse().ok();
        let ok = value.filter(|v| v.is_finite() && *v > 0.0);
        ok.map(Self).ok_or("must be a number over 0".into())
    }
}

impl Value for u64 {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be a whole number".into())
    }
}

impl Value for bool {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be true or false".into())
    }
}

impl Value for SocketAddr {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be an address such as 127.0.0.1:8080".into())
    }
}

macro_rules! words {
    ($name:ident: $type:ty { $($word:literal => $value:expr),+ $(,)? }) => {
        pub struct $name(pub $type);
        impl Value for $name {
            fn read(text: &str) -> Result<Self, String> {
                match text {
                    $($word => Ok(Self($value)),)+
                    _ => Err(format!("must be one of {}", [$($word),+].join(", "))),
                }
            }
        }
    };
}

words!(RoleWord: p::Role { "reader" => p::Role::Prefill, "writer" => p::Role::Decode, "mixed" => p::Role::Combined });
words!(DiscoveryWord: p::Discovery { "push" => p::Discovery::Push, "ask" => p::Discovery::Poll });
words!(ReportsWord: p::LoadReporting {
    "off" => p::LoadReporting::Off, "in-answers" => p::LoadReporting::InResponses,
});
words!(GroupWord: p::DeduplicationScope { "all" => p::DeduplicationScope::All, "zone" => p::DeduplicationScope::Zone, "cell" => p::DeduplicationScope::Cell });

/// How far a class may be repeated.
#[derive(Clone, Copy, PartialEq)]
pub enum EffectKind {
    Free,
    Guarded,
    SingleShot,
}

words!(EffectWord: EffectKind {
    "free" => EffectKind::Free, "guarded" => EffectKind::Guarded, "single-shot" => EffectKind::SingleShot,
});

/// Names of one kind of part, each of which is there once.
#[derive(Debug, Default)]
pub struct UniqueNames(BTreeSet<String>);

impl UniqueNames {
    /// Notes a name, and an error at the element's attribute if it was there before.
    pub fn add(&mut self, name: &str, element: &Element<'_, '_>, attribute: &str, errors: &mut Errors) {
        if !self.0.insert(name.to_owned()) {
            element.wrong(Some(attribute), format!("`{name}` is there twice"), errors);
        }
    }
}
