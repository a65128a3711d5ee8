//! What operators see of a running core. Nothing is decided by it.

use chalkyard_policy as p;
use serde::Serialize;

use super::record::AttemptRecord;
use super::Core;

/// The most requests or engines that one view holds; `more` says how many were left out.
const MOST: usize = 1_000;

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

/// An engine as the router knows it.
#[derive(Debug, Clone, Serialize)]
pub struct EngineView {
    /// Its id.
    pub id: String,
    /// Address.
    pub address: String,
    /// `reader`, `writer` or `mixed`.
    pub role: &'static str,
    /// In the newest list.
    pub listed: bool,
    /// Connections, idle ones included.
    pub connections: usize,
    /// Idle ones.
    pub idle: usize,
    /// Attempts that are out there.
    pub attempts: usize,
}

/// Counts of a running core.
#[derive(Debug, Clone, Serialize)]
pub struct Counts {
    /// Requests without a final answer, or with something out or held.
    pub open_requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Engines in the newest list.
    pub engines: usize,
    /// Connections to engines and register.
    pub connections: usize,
    /// Takes no new requests.
    pub draining: bool,
    /// A list of engines is known.
    pub has_list: bool,
    /// The register's stream stands.
    pub register: bool,
    /// Identities that are remembered.
    pub identities: usize,
    /// Newest lease of budgets, and µs until its end; none without budgets.
    pub lease: Option<(u64, u64)>,
}

/// A bounded list.
#[derive(Debug, Clone, Serialize)]
pub struct Listed<T> {
    /// The first of them, in order of their ids.
    pub items: Vec<T>,
    /// So many more there are.
    pub more: usize,
}

impl Core {
    /// Counts.
    pub fn counts(&self) -> Counts {
        let lease = self.budget_enforcer.as_ref().map(|k| k.state().lease);
        Counts {
            open_requests: self.jobs.len(),
            clients: self.clients.len(),
            engines: self.engines.values().filter(|e| e.listed).count(),
            connections: self.links.len(),
            draining: self.draining,
            has_list: self.has_list,
            register: self.register.is_some(),
            identities: self.identities.len(),
            lease: lease.map(|lease| (lease.number, lease.until.0.saturating_sub(self.now.0))),
        }
    }

    /// Whether any list of engines is known, be it an old one.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Open requests, the first in order of their ids.
    pub fn open_view(&self) -> Listed<OpenRequest> {
        let items: Vec<OpenRequest> =
            self.jobs.iter().take(MOST).map(|(id, job)| self.seen(id, job)).collect();
        Listed { more: self.jobs.len() - items.len(), items }
    }

    /// One open request.
    pub fn open_one(&self, id: &str) -> Option<OpenRequest> {
        let id: p::RequestId = id.into();
        self.jobs.get(&id).map(|job| self.seen(&id, job))
    }

    /// Engines.
    pub fn engine_view(&self) -> Listed<EngineView> {
        let role = |role| match role {
            p::Role::Prefill => "reader",
            p::Role::Decode => "writer",
            p::Role::Combined => "mixed",
        };
        let view = |(id, e): (&p::WorkerId, &super::worker_connection::Engine)| EngineView {
            id: id.0.to_string(),
            address: e.address.to_string(),
            role: role(e.role),
            listed: e.listed,
            connections: e.open,
            idle: e.idle.len(),
            attempts: e.open.saturating_sub(e.idle.len()),
        };
        let items: Vec<EngineView> = self.engines.iter().take(MOST).map(view).collect();
        Listed { more: self.engines.len() - items.len(), items }
    }
}
