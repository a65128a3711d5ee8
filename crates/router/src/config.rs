//! What a router is told when it starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_api::client;
use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;

use crate::dialect::Dialect;

/// A class by its name; its place in the list is its [`p::ClassId`].
#[derive(Debug, Clone)]
pub struct ClassEntry {
    /// Its name, as clients give it.
    pub name: String,
}

/// A tenant by its name; its place in the list is its [`p::TenantId`].
#[derive(Debug, Clone)]
pub struct TenantEntry {
    /// Its name, for the log.
    pub name: String,
    /// Classes that its keys may ask for, by place; none: all.
    pub classes: Option<Vec<usize>>,
}

/// A kind of engine.
#[derive(Debug, Clone, Copy)]
pub struct KindEntry {
    /// What it does.
    pub role: p::Role,
    /// Its KV memory in tokens, where known.
    pub kv_tokens: Option<u64>,
}

/// Bounds of a router's buffers and tables. What is past one is refused or waits; each says which.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Of client connections' decoders.
    pub client: chalkyard_proto::Limits,
    /// Of engine connections' decoders; the body's length is that of one whole stream.
    pub engine: chalkyard_proto::Limits,
    /// Of one call.
    pub call: client::Bounds,
    /// Bytes of one event of an engine's or the register's stream.
    pub event_bytes: usize,
    /// Bytes of one answer's text that is kept for a client that wants it whole.
    pub answer_bytes: usize,
    /// Client connections; one more is answered 503 and closed.
    pub clients: usize,
    /// At that bound, the client that has said nothing for longest makes room.
    pub evict: bool,
    /// Bytes of request bodies, together, that came and may still have to be sent.
    pub bodies: u64,
    /// Open requests; one more is refused before the module sees it.
    pub open: usize,
    /// Connections to one engine; at the bound an attempt ends as `NotSent`.
    pub engine_connections: usize,
    /// Connections to all engines; at the bound the oldest idle one makes room.
    pub links: usize,
    /// Idle ones of these that are kept.
    pub engine_idle: usize,
    /// Bytes waiting for a slow client at which its engine is no longer read; half of it starts again.
    pub client_buffer: usize,
    /// Entries of the worker list.
    pub workers: usize,
    /// Identities remembered; the oldest finished ones go first.
    pub identities: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        let client = chalkyard_proto::Limits::default();
        Self {
            client,
            engine: chalkyard_proto::Limits { body_bytes: 256 * 1024 * 1024, ..client },
            call: client::Bounds::default(),
            event_bytes: 1024 * 1024,
            answer_bytes: 4 * 1024 * 1024,
            clients: 20_000,
            evict: false,
            bodies: u64::MAX,
            open: 20_000,
            engine_connections: 1_024,
            links: usize::MAX,
            engine_idle: 64,
            client_buffer: 64 * 1024,
            workers: 10_000,
            identities: 100_000,
        }
    }
}

/// Bounds of a router's waits.
#[derive(Debug, Clone, Copy)]
pub struct Waits {
    /// From a request's first byte to the end of its body.
    pub head: p::Micros,
    /// A client connection without a request.
    pub idle: p::Micros,
    /// ... and one that has had none yet, to the end of its first.
    pub first: p::Micros,
    /// For the answer to a call to let go.
    pub release: p::Micros,
    /// From when to when after it is told to leave a router moves its streams on, evenly, where clients ask for the rest:
    /// all of them at once, at its end, would jam the others. What it takes while it leaves is answered by then.
    pub leaving: Option<(p::Micros, p::Micros)>,
    /// When no new requests are taken any more, a client that has just come still has so long to begin its first.
    pub just_come: p::Micros,
    /// An engine connection without one; under the engines' own.
    pub engine_idle: p::Micros,
    /// Until a connection to an engine or the register stands.
    pub connect: p::Micros,
    /// Between two events of a begun answer.
    pub stream: p::Micros,
    /// A client that takes nothing of what waits for it.
    pub slow_client: p::Micros,
    /// Without a sign of life from the register.
    pub register: p::Micros,
    /// The same for the first sign of a dialect's source after a call to it has failed.
    pub register_doubted: p::Micros,
    /// A final answer leaves so long before the client's time is up.
    pub reply_margin: p::Micros,
    /// How long identities of finished requests that may have run are remembered.
    pub identity: p::Micros,
}

impl Default for Waits {
    fn default() -> Self {
        let ms = |n: u64| p::Micros(n * 1_000);
        Self {
            head: ms(10_000),
            idle: ms(60_000),
            first: ms(60_000),
            release: ms(250),
            leaving: None,
            just_come: ms(500),
            engine_idle: ms(10_000),
            connect: ms(250),
            stream: ms(20_000),
            slow_client: ms(10_000),
            register: ms(15_000),
            register_doubted: ms(250),
            reply_margin: ms(25),
            identity: ms(600_000),
        }
    }
}

/// What a running core can be told anew. Requests that are open go on as they were taken.
#[derive(Debug, Clone)]
pub struct Tuned {
    /// Keys, by the places of the tenants that the core was started with.
    pub keys: KeyRing,
    /// By those places: the classes that a tenant's keys may ask for; none: all.
    pub classes: Vec<Option<Vec<usize>>>,
    /// Bounds: of connections, for those that come.
    pub bounds: Bounds,
    /// Waits: for what begins.
    pub waits: Waits,
}

/// All that a [`crate::Core`] is told.
#[derive(Debug, Clone)]
pub struct Config {
    /// This router's name; it must differ from all others' and goes into request ids.
    pub name: String,
    /// What the module is told.
    pub policy: p::Settings,
    /// Classes, in the order of `policy.classes`.
    pub classes: Vec<ClassEntry>,
    /// The class of calls that name none.
    pub default_class: usize,
    /// Tenants, in the order of `policy.tenants`.
    pub tenants: Vec<TenantEntry>,
    /// Their keys. Without tenants, no key is asked for.
    pub keys: KeyRing,
    /// Zones by name.
    pub zones: BTreeMap<String, p::ZoneId>,
    /// Kinds of engines by name.
    pub kinds: BTreeMap<String, KindEntry>,
    /// Where the list of workers comes from; none: only the first list.
    pub register: Option<SocketAddr>,
    /// Bounds.
    pub bounds: Bounds,
    /// Waits.
    pub waits: Waits,
    /// How it speaks; none: the messages call in, the engines' published call out, the register's stream.
    pub dialect: Option<Arc<dyn Dialect>>,
}
