//! Identifiers. Classes, tenants and zones are positions in lists of the settings; their names never reach the module.

use std::sync::Arc;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }
    };
}

string_id!(
    /// A request as this router knows it. Never repeated: a client's retry has a new id.
    RequestId
);
string_id!(
    /// A worker, under the one id by which every router knows it.
    WorkerId
);
string_id!(
    /// A conversation: each of its prompts holds all that went before.
    SessionId
);
string_id!(
    /// A prefix that prompts of several sessions share.
    PrefixId
);

/// Position in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ClassId(pub usize);

/// Position in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TenantId(pub usize);

/// A zone; equal numbers mean the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ZoneId(pub usize);

/// A cell (rack): a small group of workers that share a network link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CellId(pub u64);

/// What a timer gives back when it fires; chosen by the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TimerId(pub u64);

/// Number of an attempt of one request, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptNo(pub u32);
