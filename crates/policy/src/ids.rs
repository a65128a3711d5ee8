//! Identifiers. Classes and tenants are indices into lists of the settings, zones are numbers; their names
//! never reach this crate.

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
    /// Identifier of a request, unique within a router. A client's retry gets a new identifier.
    RequestId
);
string_id!(
    /// Identifier of a worker, the same on every router.
    WorkerId
);
string_id!(
    /// Identifier of a conversation, in which each prompt contains all earlier prompts and answers.
    SessionId
);
string_id!(
    /// Identifier of a prompt prefix that several sessions share.
    PrefixId
);

/// Index of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TenantId(pub usize);

/// Number of a zone. Equal numbers denote the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ZoneId(pub usize);

/// Number of a cell (rack): a small group of workers that share a network link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CellId(pub u64);

/// Identifier of a timer, chosen by the policy and returned in the event when the timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TimerId(pub u64);

/// Index of an attempt among the attempts of one request, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptNo(pub u32);
