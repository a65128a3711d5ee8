//! What operators see of a running core. Nothing is decided by it.

use chalkyard_policy as p;
use serde::Serialize;

use super::record::AttemptRecord;
use super::worker_connection::WorkerEndpoint;
use super::Core;

/// The most requests or workers that one view holds; `more` says how many were left out.
const MAX_ITEMS: usize = 1_000;

/// A request that is open, or whose attempts or state are.
#[derive(Debug, Clone, Serialize)]
pub struct OpenRequest {
    /// The router's id of it.
    pub id: String,
    /// Class.
    pub class: String,
    /// Tenant.
    pub tenant: Option<String>,
    /// `waiting`, `reading`, `held`, `pulling`, `writing`, `streaming`; `answered` if only clearing up is left.
    pub phase: &'static str,
    /// Since it came, µs.
    pub age_us: u64,
    /// Until it is given up, µs.
    pub left_us: u64,
    /// By the estimate.
    pub prompt_tokens: u64,
    /// Pieces of its answer that came.
    pub pieces: u64,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// Attempts so far.
    pub attempts: Vec<AttemptRecord>,
}

/// A worker as the router knows it.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    /// Its id.
    pub id: String,
    /// Address.
    pub address: String,
    /// `reader`, `writer` or `mixed`.
    pub role: &'static str,
    /// In the newest endpoint list.
    pub listed: bool,
    /// Connections, idle ones included.
    pub connections: usize,
    /// Idle ones.
    pub idle: usize,
    /// Connections in use.
    pub attempts: usize,
}

/// Counts of a running core.
#[derive(Debug, Clone, Serialize)]
pub struct CoreStatus {
    /// Requests without a final answer, or with an open attempt or a reservation.
    pub open_requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Workers in the newest endpoint list.
    pub engines: usize,
    /// Connections to workers and service discovery.
    pub connections: usize,
    /// Accepts no new requests.
    pub draining: bool,
    /// An endpoint list is known.
    pub has_list: bool,
    /// The connection to service discovery stands.
    pub register: bool,
    /// Idempotency keys that are remembered.
    pub identities: usize,
    /// Newest lease of budgets, and µs until its end; none without budgets.
    pub lease: Option<(u64, u64)>,
}

/// A bounded list.
#[derive(Debug, Clone, Serialize)]
pub struct BoundedList<T> {
    /// The first of them, in order of their ids.
    pub items: Vec<T>,
    /// So many more there are.
    pub more: usize,
}

impl Core {
    /// Counts.
    pub fn status(&self) -> CoreStatus {
        let lease = self.budgets.as_ref().map(|k| k.state().lease);
        CoreStatus {
            open_requests: self.requests.len(),
            clients: self.clients.len(),
            engines: self.workers.values().filter(|e| e.listed).count(),
            connections: self.connections.len(),
            draining: self.draining,
            has_list: self.discovery.has_list,
            register: self.discovery.connection.is_some(),
            identities: self.identities.len(),
            lease: lease.map(|lease| (lease.number, lease.until.0.saturating_sub(self.now.0))),
        }
    }

    /// Whether any endpoint list is known, be it an old one.
    pub fn has_list(&self) -> bool {
        self.discovery.has_list
    }

    /// Open requests, the first in order of their ids.
    pub fn request_view(&self) -> BoundedList<OpenRequest> {
        let items: Vec<OpenRequest> = self
            .requests
            .iter()
            .take(MAX_ITEMS)
            .map(|(id, request)| self.describe_open(id, request))
            .collect();
        BoundedList { more: self.requests.len() - items.len(), items }
    }

    /// One open request.
    pub fn find_request(&self, id: &str) -> Option<OpenRequest> {
        let id: p::RequestId = id.into();
        self.requests.get(&id).map(|request| self.describe_open(&id, request))
    }

    /// Workers, the first in order of their ids.
    pub fn worker_view(&self) -> BoundedList<WorkerView> {
        let role = |role| match role {
            p::Role::Prefill => "reader",
            p::Role::Decode => "writer",
            p::Role::Combined => "mixed",
        };
        let view = |(id, e): (&p::WorkerId, &WorkerEndpoint)| WorkerView {
            id: id.0.to_string(),
            address: e.address.to_string(),
            role: role(e.role),
            listed: e.listed,
            connections: e.open,
            idle: e.idle.len(),
            attempts: e.open.saturating_sub(e.idle.len()),
        };
        let items: Vec<WorkerView> = self.workers.iter().take(MAX_ITEMS).map(view).collect();
        BoundedList { more: self.workers.len() - items.len(), items }
    }
}
