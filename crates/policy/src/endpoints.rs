//! Workers of the endpoint list and their load reports.

use crate::ids::{CellId, WorkerId, ZoneId};
use crate::time::Micros;

/// Stages that a worker performs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Role {
    /// Prefills prompts. A decode worker then pulls the state.
    #[cfg_attr(feature = "serde", serde(rename = "Reader"))]
    Prefill,
    /// Pulls prefilled state and streams answers. Also prefills prompts if the settings allow it.
    #[cfg_attr(feature = "serde", serde(rename = "Writer"))]
    Decode,
    /// Performs both stages.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Mixed"))]
    Combined,
}

/// Lifecycle state that determines whether a worker accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Lifecycle {
    /// Accepts new work.
    #[cfg_attr(feature = "serde", serde(rename = "In"))]
    Active,
    /// Finishes running work and must receive no new work.
    Draining,
    /// Is no longer listed.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Out"))]
    Removed,
}

/// Entry of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Worker {
    /// Worker identifier.
    pub id: WorkerId,
    /// Zone of the worker.
    pub zone: Option<ZoneId>,
    /// Cell of the worker.
    pub cell: CellId,
    /// Stages that the worker performs.
    pub role: Role,
    /// KV-cache capacity in tokens. `None` if unknown.
    pub kv_tokens: Option<u64>,
    /// Lifecycle state of the worker.
    pub lifecycle: Lifecycle,
    /// Relative size of the worker compared with others.
    pub weight: f64,
    /// Time of the most recent start. `None` if the worker started long ago.
    pub started: Option<Micros>,
}

/// Kind of an endpoint-list update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum EndpointUpdate {
    /// Complete list, current as far as discovery knows.
    #[cfg_attr(feature = "serde", serde(rename = "Full"))]
    Snapshot,
    /// Complete list saved before a restart, possibly stale.
    #[cfg_attr(feature = "serde", serde(rename = "Stale"))]
    LastKnown,
    /// Changed entries only.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// Failed poll or broken subscription. Has no entries and leaves the list unchanged.
    Failed,
}

/// Load reported by a worker. Fields are `None` if the worker does not report them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Number of queued requests.
    #[cfg_attr(feature = "serde", serde(rename = "queued"))]
    pub queued_requests: Option<f64>,
    /// Share of slots in use, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "slots_used"))]
    pub slot_utilization: Option<f64>,
    /// Share of KV-cache memory in use, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "kv_used"))]
    pub kv_utilization: Option<f64>,
    /// Prompt tokens waiting to be prefilled or pulled.
    pub waiting_tokens: Option<f64>,
}
