//! The configuration of a router.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_api::client;
use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;

use crate::dialect::Dialect;

/// A class by its name; its place in the list is its [`p::ClassId`].
#[derive(Debug, Clone)]
pub struct ClassConfig {
    /// Its name, as clients give it.
    pub name: String,
}

/// A tenant by its name; its place in the list is its [`p::TenantId`].
#[derive(Debug, Clone)]
pub struct TenantConfig {
    /// Its name, for the log.
    pub name: String,
    /// Classes that its keys may ask for, by place; none: all.
    pub classes: Option<Vec<usize>>,
}

/// A kind of worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerKind {
    /// Its role.
    pub role: p::Role,
    /// Its KV memory in tokens, where known.
    pub kv_tokens: Option<u64>,
}

/// Bounds of a router's buffers and tables. What is past one is rejected or waits; each says which.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Of client connections' decoders.
    pub client: chalkyard_proto::Limits,
    /// Of worker connections' decoders; the body's length is that of one complete stream.
    pub worker: chalkyard_proto::Limits,
    /// Of one call.
    pub call: client::RequestLimits,
    /// Bytes of one event of a worker's stream.
    pub event_bytes: usize,
    /// Bytes of one answer's text that is collected for a client that wants it in one body.
    pub answer_bytes: usize,
    /// Client connections; one more is answered 503 and closed.
    pub clients: usize,
    /// At that bound, the client that has been silent for longest makes room.
    pub evict_clients: bool,
    /// Bytes of request bodies, together, that came and may still have to be sent.
    pub pending_body_bytes: u64,
    /// Open requests; one more is rejected before the policy sees it.
    pub open_requests: usize,
    /// Connections to one worker; at the bound an attempt ends as `NotSent`.
    pub connections_per_worker: usize,
    /// Connections to all workers; at the bound the oldest idle one makes room.
    pub worker_connections: usize,
    /// Idle connections to one worker.
    pub idle_per_worker: usize,
    /// Bytes waiting for a slow client at which its worker is no longer read; at half of that it is read again.
    pub client_buffer: usize,
    /// Entries of the endpoint list.
    pub workers: usize,
    /// Idempotency keys remembered.
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

/// Timeouts of a router.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// From a request's first byte to the end of its body.
    pub request: p::Micros,
    /// A client connection between two requests.
    pub idle: p::Micros,
    /// A new client connection, to the end of its first request.
    pub first_request: p::Micros,
    /// The answer to a call that releases a reservation.
    pub release: p::Micros,
    /// When streams are migrated during the graceful shutdown; none: never. What is accepted meanwhile is answered by its
    /// end.
    pub migration: Option<MigrationWindow>,
    /// When no new requests are accepted any more, a client that has connected just now has this long to begin its first.
    pub drain_grace: p::Micros,
    /// An idle connection to a worker; under the workers' own.
    pub worker_idle: p::Micros,
    /// Until a connection to a worker or to service discovery stands.
    pub connect: p::Micros,
    /// Between two events of an answer that has begun.
    pub stream: p::Micros,
    /// A client that takes nothing of what waits for it.
    pub slow_client: p::Micros,
    /// Service discovery that is silent.
    pub discovery: p::Micros,
    /// The same after a call to a dialect's service discovery has failed.
    pub discovery_probe: p::Micros,
    /// A final answer leaves this long before the client's deadline.
    pub reply_margin: p::Micros,
    /// How long idempotency keys of finished requests that may have run are remembered.
    pub identity: p::Micros,
}

/// Streams of a stopping router are migrated evenly within this window: all at once, at its end, they would overload the
/// other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MigrationWindow {
    /// From the beginning of the graceful shutdown to the first migration.
    pub from: p::Micros,
    /// ... and to the last.
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
            worker_idle: ms(10_000),
            connect: ms(250),
            stream: ms(20_000),
            slow_client: ms(10_000),
            discovery: ms(15_000),
            discovery_probe: ms(250),
            reply_margin: ms(25),
            identity: ms(600_000),
        }
    }
}

/// What can be changed in a running core. Open requests go on as they were accepted.
#[derive(Debug, Clone)]
pub struct RuntimeSettings {
    /// API keys, by the places of the tenants that the core was started with.
    pub keys: KeyRing,
    /// By those places: the classes that a tenant's keys may ask for; none: all.
    pub classes: Vec<Option<Vec<usize>>>,
    /// Bounds; those of connections hold for new ones.
    pub bounds: Bounds,
    /// Timeouts; they hold for what begins.
    pub timeouts: Timeouts,
}

/// All that a [`crate::Core`] is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// This router's name; it must differ from all others' and goes into request ids.
    pub name: String,
    /// The policy's settings.
    pub policy: p::Settings,
    /// Classes, in the order of `policy.classes`.
    pub classes: Vec<ClassConfig>,
    /// The class of calls that name none.
    pub default_class: usize,
    /// Tenants, in the order of `policy.tenants`.
    pub tenants: Vec<TenantConfig>,
    /// Their API keys. Without tenants, no key is asked for.
    pub keys: KeyRing,
    /// Zones by name.
    pub zones: BTreeMap<String, p::ZoneId>,
    /// Kinds of workers by name.
    pub kinds: BTreeMap<String, WorkerKind>,
    /// Where service discovery listens; none: the stored list is all there is.
    pub discovery: Option<SocketAddr>,
    /// Bounds.
    pub bounds: Bounds,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// The platform's protocol; none: our own call for clients, the engines' published calls, our own service discovery.
    pub dialect: Option<Arc<dyn Dialect>>,
}
