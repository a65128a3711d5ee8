//! The endpoint list in the format of the built-in service discovery protocol: a snapshot followed by deltas, each with a
//! version. Sans-IO.
//!
//! `GET /v1/workers?watch=1` answers with a stream of `snapshot` and `change` events with data
//! `{"version":N,"workers":[...]}`. The version of a change is the previous version plus one; any other version means that
//! an event was lost. `GET /v1/workers` answers with one snapshot as JSON. The stored list has the format of a snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chalkyard_policy as p;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::Config;
use crate::dialect::Endpoint;

/// An entry of the endpoint list, as transmitted and stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointEntry {
    worker: String,
    address: SocketAddr,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    cell: u64,
    kind: String,
    state: EndpointState,
    #[serde(default)]
    weight: Option<f64>,
    /// Most recent start of the worker, in ms since the Unix epoch.
    #[serde(default)]
    started_unix_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum EndpointState {
    #[serde(rename = "in")]
    Active,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "out")]
    Removed,
}

/// A snapshot or a delta, as transmitted; a snapshot is also the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointMessage {
    pub version: u64,
    pub workers: Vec<EndpointEntry>,
}

/// The latest endpoint list, which is stored for the next start.
#[derive(Debug, Default)]
pub(crate) struct KnownEndpoints {
    version: Option<u64>,
    entries: BTreeMap<String, EndpointEntry>,
}

/// Why a snapshot or a delta was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EndpointUpdateError {
    /// The text does not have the documented format, names unknown kinds or zones, or lists too many workers; with the
    /// reason.
    #[error("{0}")]
    Malformed(String),
    /// The delta's version does not follow that of the latest list: an earlier delta was lost.
    #[error("the delta does not follow the newest list")]
    VersionGap,
}

/// The effect of a delta.
#[derive(Debug)]
pub(crate) struct AppliedDelta {
    /// Endpoints that were added, changed or removed.
    pub endpoints: Vec<Endpoint>,
    /// Number of new endpoints that were left out because the list is at its limit.
    pub left_out: usize,
}

impl KnownEndpoints {
    /// Replaces the list with a snapshot.
    pub fn apply_snapshot(
        &mut self,
        text: &str,
        config: &Config,
    ) -> Result<Vec<Endpoint>, EndpointUpdateError> {
        let message = parse(text, config)?;
        let endpoints = resolve(&message, config)?;
        self.version = Some(message.version);
        self.entries = message.workers.into_iter().map(|e| (e.worker.clone(), e)).collect();
        Ok(endpoints)
    }

    /// Applies a delta. New workers beyond the limit are left out; changes of known workers always apply, because a worker
    /// that drains must not get further requests.
    pub fn apply_delta(&mut self, text: &str, config: &Config) -> Result<AppliedDelta, EndpointUpdateError> {
        let mut message = parse(text, config)?;
        if self.version.and_then(|v| v.checked_add(1)) != Some(message.version) {
            return Err(EndpointUpdateError::VersionGap);
        }
        resolve(&message, config)?;
        self.version = Some(message.version);
        let named = message.workers.len();
        message.workers.retain(|entry| self.apply_entry(entry, config.bounds.workers));
        let endpoints = resolve(&message, config)?;
        Ok(AppliedDelta { endpoints, left_out: named - message.workers.len() })
    }

    /// Applies one entry; false if it is new and the list is at its limit.
    fn apply_entry(&mut self, entry: &EndpointEntry, bound: usize) -> bool {
        if entry.state == EndpointState::Removed {
            self.entries.remove(&entry.worker);
            return true;
        }
        let fits = self.entries.len() < bound || self.entries.contains_key(&entry.worker);
        if fits {
            self.entries.insert(entry.worker.clone(), entry.clone());
        }
        fits
    }

    /// The latest list as the text of one snapshot.
    pub fn to_text(&self) -> String {
        let message = EndpointMessage {
            version: self.version.unwrap_or(0),
            workers: self.entries.values().cloned().collect(),
        };
        serde_json::to_string(&message).unwrap_or_default()
    }
}

fn parse(text: &str, config: &Config) -> Result<EndpointMessage, EndpointUpdateError> {
    let message: EndpointMessage =
        serde_json::from_str(text).map_err(|e| EndpointUpdateError::Malformed(e.to_string()))?;
    if message.workers.len() > config.bounds.workers {
        let reason = format!("more than {} workers", config.bounds.workers);
        return Err(EndpointUpdateError::Malformed(reason));
    }
    Ok(message)
}

/// Resolves the names of kinds and zones against the configuration.
fn resolve(message: &EndpointMessage, config: &Config) -> Result<Vec<Endpoint>, EndpointUpdateError> {
    message.workers.iter().map(|entry| resolve_entry(entry, config)).collect()
}

fn resolve_entry(entry: &EndpointEntry, config: &Config) -> Result<Endpoint, EndpointUpdateError> {
    let unknown =
        |what: &str| EndpointUpdateError::Malformed(format!("worker `{}`: unknown {what}", entry.worker));
    let kind = config.kinds.get(&entry.kind).ok_or_else(|| unknown("kind"))?;
    let zone = match &entry.zone {
        Some(name) => Some(*config.zones.get(name).ok_or_else(|| unknown("zone"))?),
        None => None,
    };
    let started_ms = entry.started_unix_ms.filter(|ms| *ms > 0);
    let worker = p::Worker {
        id: entry.worker.as_str().into(),
        zone,
        cell: p::CellId(entry.cell),
        role: kind.role,
        kv_tokens: kind.kv_tokens,
        lifecycle: match entry.state {
            EndpointState::Active => p::Lifecycle::Active,
            EndpointState::Draining => p::Lifecycle::Draining,
            EndpointState::Removed => p::Lifecycle::Removed,
        },
        weight: entry.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
        started: started_ms.map(|ms| p::Micros(ms.saturating_mul(1_000))),
    };
    Ok(Endpoint { worker, address: entry.address })
}
