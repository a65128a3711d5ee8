//! The list of workers as the register sends it: a snapshot, then changes, versioned. Sans-IO.
//!
//! `GET /v1/workers?watch=1` answers with a stream of events `snapshot` and `change`, data
//! `{"version":N,"workers":[...]}`; a change's version follows the one before, else something was lost.
//! `GET /v1/workers` answers with one snapshot as JSON.

use std::net::SocketAddr;

use chalkyard_policy as p;
use serde::{Deserialize, Serialize};

use crate::config::Config;

/// An entry as the register sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    worker: String,
    address: SocketAddr,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    cell: u64,
    kind: String,
    state: State,
    #[serde(default)]
    weight: Option<f64>,
    /// Most recent start, ms since 1970.
    #[serde(default)]
    started_unix_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    In,
    Draining,
    Out,
}

/// A list or its changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct List {
    pub version: u64,
    pub workers: Vec<Entry>,
}

/// The list held, as text to keep for the next start.
#[derive(Debug, Default)]
pub(crate) struct Held {
    version: Option<u64>,
    entries: std::collections::BTreeMap<String, Entry>,
}

/// What is wrong with news from the register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Wrong {
    /// Not what the format says.
    Malformed(String),
    /// A change that does not follow the list held.
    Gap,
}

/// A worker for the module, and where it is.
pub(crate) type Named = (p::Worker, SocketAddr);

impl Held {
    /// Takes a whole list.
    pub fn snapshot(&mut self, text: &str, config: &Config) -> Result<Vec<Named>, Wrong> {
        let list = read(text, config)?;
        let named = name(&list, config)?;
        self.version = Some(list.version);
        self.entries = list.workers.into_iter().map(|e| (e.worker.clone(), e)).collect();
        Ok(named)
    }

    /// Takes changes; tells how many were left out: workers not held yet, when as many are held as may be. Changes of
    /// those that are held, above all drains, are taken in any case.
    pub fn change(&mut self, text: &str, config: &Config) -> Result<(Vec<Named>, usize), Wrong> {
        let mut list = read(text, config)?;
        if self.version.and_then(|v| v.checked_add(1)) != Some(list.version) {
            return Err(Wrong::Gap);
        }
        name(&list, config)?;
        self.version = Some(list.version);
        let asked = list.workers.len();
        list.workers.retain(|e| {
            if e.state == State::Out {
                self.entries.remove(&e.worker);
                return true;
            }
            let fits = self.entries.len() < config.bounds.workers || self.entries.contains_key(&e.worker);
            if fits {
                self.entries.insert(e.worker.clone(), e.clone());
            }
            fits
        });
        Ok((name(&list, config)?, asked - list.workers.len()))
    }

    /// The list held, as one snapshot.
    pub fn text(&self) -> String {
        let list =
            List { version: self.version.unwrap_or(0), workers: self.entries.values().cloned().collect() };
        serde_json::to_string(&list).unwrap_or_default()
    }
}

fn read(text: &str, config: &Config) -> Result<List, Wrong> {
    let list: List = serde_json::from_str(text).map_err(|e| Wrong::Malformed(e.to_string()))?;
    if list.workers.len() > config.bounds.workers {
        return Err(Wrong::Malformed(format!("more than {} workers", config.bounds.workers)));
    }
    Ok(list)
}

fn name(list: &List, config: &Config) -> Result<Vec<Named>, Wrong> {
    let unknown = |what: &str, e: &Entry| Wrong::Malformed(format!("worker `{}`: unknown {what}", e.worker));
    let one = |e: &Entry| {
        let kind = config.kinds.get(&e.kind).ok_or_else(|| unknown("kind", e))?;
        let zone = match &e.zone {
            Some(z) => Some(*config.zones.get(z).ok_or_else(|| unknown("zone", e))?),
            None => None,
        };
        let worker = p::Worker {
            id: e.worker.as_str().into(),
            zone,
            cell: p::CellId(e.cell),
            role: kind.role,
            kv_tokens: kind.kv_tokens,
            lifecycle: match e.state {
                State::In => p::Lifecycle::Active,
                State::Draining => p::Lifecycle::Draining,
                State::Out => p::Lifecycle::Removed,
            },
            weight: e.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
            started: e.started_unix_ms.filter(|s| *s > 0).map(|ms| p::Micros(ms.saturating_mul(1_000))),
        };
        Ok((worker, e.address))
    };
    list.workers.iter().map(one).collect()
}
