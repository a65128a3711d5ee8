//! Router configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_api::client;
use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;

use crate::dialect::Dialect;

/// A request class. Its index in [`Config::classes`] is its [`p::ClassId`].
#[derive(Debug, Clone)]
pub struct ClassConfig {
    /// The name that clients send.
    pub name: String,
}

/// A tenant. Its index in [`Config::tenants`] is its [`p::TenantId`].
#[derive(Debug, Clone)]
pub struct TenantConfig {
    /// The name that the log shows.
    pub name: String,
    /// Indices of the classes that the tenant's keys may request; `None` allows all.
    pub classes: Option<Vec<usize>>,
}

/// A kind of worker: the role and the memory that its workers share.
#[derive(Debug, Clone, Copy)]
pub struct WorkerKind {
    /// Whether its workers prefill, decode or do both.
    pub role: p::Role,
    /// Size of the KV cache in tokens, if known.
    pub kv_tokens: Option<u64>,
}

/// Limits on a router's buffers and tables. Each field says what happens at its limit.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Limits of the decoders of client connections.
    pub client: chalkyard_proto::Limits,
    /// Limits of the decoders of worker connections. The body limit applies to one complete stream.
    pub worker: chalkyard_proto::Limits,
    /// Limits on the contents of one request body.
    pub call: client::RequestLimits,
    /// Bytes of one event in a worker's stream.
    pub event_bytes: usize,
    /// Bytes of text collected for a client that requested a non-streamed answer.
    pub answer_bytes: usize,
    /// Client connections. A further one is answered with 503 and closed.
    pub clients: usize,
    /// Whether, at the limit of client connections, the one that has been silent for longest is closed instead. Connections
    /// with an open request are never closed for this.
    pub evict_clients: bool,
    /// Total bytes of received request bodies that may still have to be sent to a worker.
    pub pending_body_bytes: u64,
    /// Open requests. A further one is rejected before it reaches the policy.
    pub open_requests: usize,
    /// Connections to one worker. At the limit, an attempt ends as `NotSent`.
    pub connections_per_worker: usize,
    /// Connections to all workers. At the limit, the oldest idle connection is closed.
    pub worker_connections: usize,
    /// Idle connections kept to one worker.
    pub idle_per_worker: usize,
    /// Unsent bytes for a slow client at which reading from its worker pauses. Reading resumes at half of this.
    pub client_buffer: usize,
    /// Entries in the endpoint list.
    pub workers: usize,
    /// Idempotency keys kept in memory.
    pub identities: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        let client = chalkyard_proto::Limits::default();
        Self {
            client,
            worker: chalkyard_proto::Limits { body_bytes: 256 * 1024 * 1024, ..client },
            call: client::RequestLimits::default(),
            event_bytes: 1024 * 1024,
            answer_bytes: 4 * 1024 * 1024,
            clients: 20_000,
            evict_clients: false,
            pending_body_bytes: u64::MAX,
            open_requests: 20_000,
            connections_per_worker: 1_024,
            worker_connections: usize::MAX,
            idle_per_worker: 64,
            client_buffer: 64 * 1024,
            workers: 10_000,
            identities: 100_000,
        }
    }
}

/// Router timeouts.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to receive a request, from its first byte to the end of its body.
    pub request: p::Micros,
    /// Idle time of a client connection between two requests.
    pub idle: p::Micros,
    /// Time from accepting a client connection to the end of its first request.
    pub first_request: p::Micros,
    /// Wait for the answer to a call that releases a reservation.
    pub release: p::Micros,
    /// When streams are migrated during a graceful shutdown; `None` disables migration. Requests accepted during the
    /// shutdown are answered by the end of the window.
    pub migration: Option<MigrationWindow>,
    /// Once the router drains, time for a newly connected client to send its first request. With a dialect, requests of
    /// which the last byte arrives within this time are served, and later ones are rejected.
    pub drain_grace: p::Micros,
    /// Once the router drains, time for clients to complete the requests that they are sending. Requests that are not
    /// complete by then are rejected.
    pub drain_receive: p::Micros,
    /// Idle time of a connection to a worker. It must be shorter than the workers' own idle timeout.
    pub worker_idle: p::Micros,
    /// Time to connect to a worker or to service discovery.
    pub connect: p::Micros,
    /// Gap between two events of a stream that has begun.
    pub stream: p::Micros,
    /// Time during which a client accepts none of its unsent bytes.
    pub slow_client: p::Micros,
    /// Silence of service discovery after which its watch is opened anew, or a poll is overdue and another one follows.
    pub discovery: p::Micros,
    /// The same for a dialect's poll that does not wait for a change, as after a failed one.
    pub discovery_probe: p::Micros,
    /// How long before the client's deadline the final answer is sent.
    pub reply_margin: p::Micros,
    /// How long the idempotency key of a finished request that may have run is kept.
    pub identity: p::Micros,
}

/// The window over which a stopping router spreads the migration of its streams. Migrating all of them at once at the end
/// of the shutdown would overload the other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MigrationWindow {
    /// Time from the start of the graceful shutdown to the first migration.
    pub from: p::Micros,
    /// Time from the start of the graceful shutdown to the last migration.
    pub until: p::Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        let ms = |n: u64| p::Micros(n * 1_000);
        Self {
            request: ms(10_000),
            idle: ms(60_000),
            first_request: ms(60_000),
            release: ms(250),
            migration: None,
            drain_grace: ms(500),
            drain_receive: ms(10_000),
            worker_idle: ms(10_000),
            connect: ms(250),
            stream: ms(20_000),
            slow_client: ms(10_000),
            discovery: ms(4_000),
            discovery_probe: ms(250),
            reply_margin: ms(25),
            identity: ms(600_000),
        }
    }
}

/// Settings that a running core can reload. Open requests keep the settings under which they were accepted.
#[derive(Debug, Clone)]
pub struct RuntimeSettings {
    /// API keys. Tenant indices refer to the tenants that the core was started with.
    pub keys: KeyRing,
    /// By tenant index: the classes that the tenant's keys may request; `None` allows all.
    pub classes: Vec<Option<Vec<usize>>>,
    /// Limits. Those on connections apply to new connections.
    pub bounds: Bounds,
    /// Timeouts. They apply to operations that begin after the reload.
    pub timeouts: Timeouts,
}

/// The configuration that a [`crate::Core`] starts with.
#[derive(Debug, Clone)]
pub struct Config {
    /// The router's name, part of its request ids. It must be unique among all routers.
    pub name: String,
    /// Settings of the policy.
    pub policy: p::Settings,
    /// Classes, in the order of `policy.classes`.
    pub classes: Vec<ClassConfig>,
    /// Index of the class of requests that name none.
    pub default_class: usize,
    /// Tenants, in the order of `policy.tenants`.
    pub tenants: Vec<TenantConfig>,
    /// API keys of the tenants. Without tenants, no key is required.
    pub keys: KeyRing,
    /// Zones by name.
    pub zones: BTreeMap<String, p::ZoneId>,
    /// Kinds of workers by name.
    pub kinds: BTreeMap<String, WorkerKind>,
    /// Address of service discovery. With `None`, the stored endpoint list is the only source.
    pub discovery: Option<SocketAddr>,
    /// Limits on buffers and tables.
    pub bounds: Bounds,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// The platform's protocol. With `None`, the router uses its own client API and service discovery protocol and the
    /// published API of the workers.
    pub dialect: Option<Arc<dyn Dialect>>,
}
