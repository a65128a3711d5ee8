//! Views of a running core for operators. No decision depends on them.

use chalkyard_policy as p;
use serde::Serialize;

use super::record::AttemptRecord;
use super::worker_connection::WorkerEndpoint;
use super::Core;

/// Maximum number of requests or workers in one view; `more` says how many were left out.
const MAX_ITEMS: usize = 1_000;

/// A request that is open, or that still has an open attempt or reserved state.
#[derive(Debug, Clone, Serialize)]
pub struct OpenRequest {
    /// Id that the router gave the request.
    pub id: String,
    /// Class name.
    pub class: String,
    /// Tenant name.
    pub tenant: Option<String>,
    /// `waiting`, `reading`, `held`, `pulling`, `writing` or `streaming`; `answered` if only cleanup is left.
    pub phase: &'static str,
    /// Time since the request arrived, µs.
    pub age_us: u64,
    /// Time until the request's deadline, µs.
    pub left_us: u64,
    /// Prompt tokens by the router's estimate.
    pub prompt_tokens: u64,
    /// Number of answer pieces received.
    pub pieces: u64,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// Attempts so far.
    pub attempts: Vec<AttemptRecord>,
}

/// A worker as the router knows it.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    /// Worker id.
    pub id: String,
    /// Address.
    pub address: String,
    /// `reader`, `writer` or `mixed`.
    pub role: &'static str,
    /// Whether the newest endpoint list contains the worker.
    pub listed: bool,
    /// Number of connections, idle ones included.
    pub connections: usize,
    /// Number of idle connections.
    pub idle: usize,
    /// Number of connections in use.
    pub attempts: usize,
}

/// Status of a running core.
#[derive(Debug, Clone, Serialize)]
pub struct CoreStatus {
    /// Number of requests without a final answer, or with an open attempt or a reservation.
    pub open_requests: usize,
    /// Number of client connections.
    pub clients: usize,
    /// Number of workers in the newest endpoint list.
    pub engines: usize,
    /// Number of connections to workers and to service discovery.
    pub connections: usize,
    /// Whether new requests are rejected.
    pub draining: bool,
    /// Whether an endpoint list is known.
    pub has_list: bool,
    /// Whether a connection to service discovery is established or being established.
    pub register: bool,
    /// Number of remembered idempotency keys.
    pub identities: usize,
    /// Number of the newest budget lease, and time until its end in µs; `None` without budgets.
    pub lease: Option<(u64, u64)>,
}

/// List with a bounded number of items.
#[derive(Debug, Clone, Serialize)]
pub struct BoundedList<T> {
    /// First items, in order of their ids.
    pub items: Vec<T>,
    /// Number of items left out.
    pub more: usize,
}

impl Core {
    /// Status of the core.
    pub fn status(&self) -> CoreStatus {
        let lease = self.budgets.as_ref().map(|budgets| budgets.state().lease);
        CoreStatus {
            open_requests: self.requests.len(),
            clients: self.clients.len(),
            engines: self.workers.values().filter(|e| e.listed).count(),
            connections: self.connections.len(),
            draining: self.is_draining(),
            has_list: self.discovery.has_list,
            register: self.discovery.connection.is_some(),
            identities: self.identities.len(),
            lease: lease.map(|lease| (lease.number, lease.until.0.saturating_sub(self.now.0))),
        }
    }

    /// Whether an endpoint list is known, even an old one.
    pub fn has_list(&self) -> bool {
        self.discovery.has_list
    }

    /// First open requests, in order of their ids.
    pub fn request_view(&self) -> BoundedList<OpenRequest> {
        let items: Vec<OpenRequest> = self
            .requests
            .iter()
            .take(MAX_ITEMS)
            .map(|(id, request)| self.describe_open(id, request))
            .collect();
        BoundedList { more: self.requests.len() - items.len(), items }
    }

    /// Open request with this id.
    pub fn find_request(&self, id: &str) -> Option<OpenRequest> {
        let id: p::RequestId = id.into();
        self.requests.get(&id).map(|request| self.describe_open(&id, request))
    }

    /// First workers, in order of their ids.
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
