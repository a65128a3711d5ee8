//! Endpoint lists of the platform's service discovery.

use std::net::SocketAddr;

use chalkyard_adapter::translate::NameIndex;
use chalkyard_policy as p;
use chalkyard_router::dialect::{Endpoint, EndpointList, EndpointListError};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct RawList<'a> {
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
    /// Start of the worker as Unix time, in ms; 0 if it has been up for long.
    #[serde(default)]
    up_since_ms: f64,
}

/// Placeholder address of a removed worker, whose entry needs no address.
const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn parse_member(names: &NameIndex, text: &str) -> Result<Endpoint, String> {
    let member: Member = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let lifecycle = match member.phase.as_str() {
        "up" => p::Lifecycle::Active,
        "draining" => p::Lifecycle::Draining,
        "removed" => p::Lifecycle::Removed,
        other => return Err(format!("`{}`: unknown phase `{other}`", member.id)),
    };
    let address = match member.host_port.as_deref().map(str::parse) {
        Some(Ok(address)) => address,
        _ if lifecycle == p::Lifecycle::Removed => UNSPECIFIED_ADDRESS,
        _ => return Err(format!("`{}`: host_port is not an IP address with a port", member.id)),
    };
    let (role, kv_tokens) = names.worker_kind(member.flavor.as_deref());
    let worker = p::Worker {
        id: member.id.as_str().into(),
        zone: member.locality.as_deref().and_then(|z| names.zone(z)),
        cell: p::CellId(member.cell),
        role,
        kv_tokens,
        lifecycle,
        weight: member.size.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
        started: Some(p::Micros::from_secs_f64(member.up_since_ms / 1e3)).filter(|at| at.0 > 0),
    };
    Ok(Endpoint { worker, address })
}

/// Parses an endpoint list. An invalid entry is reported in the list and does not affect the others.
pub(crate) fn parse_list(names: &NameIndex, text: &[u8]) -> Result<EndpointList, EndpointListError> {
    let raw_list: RawList<'_> = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let mut list =
        EndpointList { version: raw_list.revision, complete: raw_list.complete, ..EndpointList::default() };
    for raw_member in raw_list.members {
        match parse_member(names, raw_member.get()) {
            Ok(endpoint) => list.endpoints.push(endpoint),
            Err(reason) => list.invalid.push(reason.into()),
        }
    }
    Ok(list)
}
