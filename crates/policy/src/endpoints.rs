//! Workers as the endpoint list shows them, and their load reports.

use crate::ids::{CellId, WorkerId, ZoneId};
use crate::time::Micros;

/// What a worker does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Role {
    /// Prefills prompts; a decode worker then pulls the state.
    #[cfg_attr(feature = "serde", serde(rename = "Reader"))]
    Prefill,
    /// Pulls prefilled state and streams answers; may prefill by itself where the settings say so.
    #[cfg_attr(feature = "serde", serde(rename = "Writer"))]
    Decode,
    /// Does both.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Mixed"))]
    Combined,
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Lifecycle {
    /// Takes work.
    #[cfg_attr(feature = "serde", serde(rename = "In"))]
    Active,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Not listed any more.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Out"))]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// What it does.
    pub role: Role,
    /// Its memory, in tokens; none where it is not known.
    pub kv_tokens: Option<u64>,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Size for comparison with others.
    pub weight: f64,
    /// Its most recent start; none: long ago.
    pub started: Option<Micros>,
}

/// How an update of the endpoint list is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum EndpointUpdate {
    /// Complete, and current as far as discovery knows.
    #[cfg_attr(feature = "serde", serde(rename = "Full"))]
    Snapshot,
    /// Complete, as last known before a restart; perhaps stale.
    #[cfg_attr(feature = "serde", serde(rename = "Stale"))]
    LastKnown,
    /// Changed entries only.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// A poll failed or the subscription broke; no entries, the list stays as it is.
    Failed,
}

/// A worker's load, as far as it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests that wait.
    #[cfg_attr(feature = "serde", serde(rename = "queued"))]
    pub queued_requests: Option<f64>,
    /// Share of its slots in use, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "slots_used"))]
    pub slot_utilization: Option<f64>,
    /// Share of its memory in use, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "kv_used"))]
    pub kv_utilization: Option<f64>,
    /// Prompt tokens that wait to be prefilled or pulled.
    pub waiting_tokens: Option<f64>,
}
