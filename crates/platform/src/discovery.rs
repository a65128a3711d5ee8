//! Discovery's lists.

use std::net::SocketAddr;

use chalkyard_adapter::translate::NameIndex;
use chalkyard_policy as p;
use chalkyard_router::dialect::{Endpoint, EndpointList, EndpointListError};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct Told<'a> {
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(borrow, default)]
    members: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Member {
    id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    locality: Option<String>,
    #[serde(default)]
    flavor: Option<String>,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default)]
    size: Option<f64>,
    /// Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    up_since_ms: f64,
}

/// An address that nothing listens at: a worker that is gone needs none.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn member(names: &NameIndex, text: &str) -> Result<Endpoint, String> {
    let m: Member = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let lifecycle = match m.phase.as_str() {
        "up" => p::Lifecycle::Active,
        "draining" => p::Lifecycle::Draining,
        "removed" => p::Lifecycle::Removed,
        other => return Err(format!("`{}`: unknown phase `{other}`", m.id)),
    };
    let address = match m.host_port.as_deref().map(str::parse) {
        Some(Ok(address)) => address,
        _ if lifecycle == p::Lifecycle::Removed => NOWHERE,
        _ => return Err(format!("`{}`: host_port is no address", m.id)),
    };
    let (role, kv_tokens) = names.worker_kind(m.flavor.as_deref());
    let worker = p::Worker {
        id: m.id.as_str().into(),
        zone: m.locality.as_deref().and_then(|z| names.zone(z)),
        cell: p::CellId(m.cell),
        role,
        kv_tokens,
        lifecycle,
        weight: m.size.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
        started: Some(p::Micros::from_secs_f64(m.up_since_ms / 1e3)).filter(|at| at.0 > 0),
    };
    Ok(Endpoint { worker, address })
}

/// Reads a list. One entry that can't be read does not lose the others.
pub(crate) fn list(names: &NameIndex, text: &[u8]) -> Result<EndpointList, EndpointListError> {
    let told: Told<'_> = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let mut list =
        EndpointList { version: told.revision, complete: told.complete, ..EndpointList::default() };
    for raw in told.members {
        match member(names, raw.get()) {
            Ok(endpoint) => list.endpoints.push(endpoint),
            Err(reason) => list.invalid.push(reason.into()),
        }
    }
    Ok(list)
}
