//! The configuration file of a router, and the bounds derived from its resource limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_adapter::{translate, wire};
use chalkyard_api::keys::KeyRing;
use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, ClassConfig, Config, TenantConfig};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::dialect::Platform;
use crate::shutdown::ShutdownSchedule;
use crate::timeouts::timeouts;

#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// Resource limits of the router process.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// File descriptors that are not available for client or worker connections: standard streams, the event loop's own,
/// the listening socket and service discovery.
const RESERVED_SOCKETS: usize = 20;
/// The fewest file descriptors with which a router can serve.
const MIN_SOCKETS: usize = 128;
/// The least memory with which a router can serve, in MiB.
const MIN_MEMORY_MB: f64 = 16.0;
/// Memory of one remembered request id, with the tables that hold it.
const IDENTITY_BYTES: f64 = 512.0;
/// Bytes that are read ahead of a client behind its open request, and in one read, at the most.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// The same at the least, which holds most heads.
const MIN_READ_AHEAD: usize = 1_024;
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 256 * 1024;

/// The parsed configuration of a router.
#[derive(Debug)]
pub struct StartupConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Seed of the policy's random numbers; `None` if the file has no valid seed.
    pub seed: Option<u64>,
    /// The endpoint list that the platform stored in the file, as JSON text.
    pub last_endpoint_list: Option<String>,
    /// Maximum number of closing connections that linger so that the client can read the end of its answer.
    pub max_lingering: usize,
    /// Maximum number of bytes of one read.
    pub max_read: usize,
    /// Time after SIGTERM in which connections and requests are accepted.
    pub lame_duck: Micros,
    /// The configuration of the router's core.
    pub config: Config,
}

/// An invalid configuration, reported by its field and the cause.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The configuration is malformed, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The `settings` object is malformed, or one of its fields is missing or of another type.
    #[error("field `settings`: {0}")]
    SettingsJson(#[source] serde_json::Error),
    /// A field of `settings` has an unknown value.
    #[error("field `settings`: {0}")]
    Settings(String),
    /// A field is not a socket address.
    #[error("field `{field}`: `{text}` is not an IP address with a port")]
    Address {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        text: String,
    },
    /// The limit of file descriptors is too low for a router to serve.
    #[error("field `limits.sockets`: must be at least {MIN_SOCKETS}")]
    Sockets,
    /// The memory limit is too low for a router to serve.
    #[error("field `limits.memory_mb`: must be at least {MIN_MEMORY_MB}")]
    Memory,
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, text: text.to_owned() })
}

impl Limits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets);
        }
        if !(self.memory_mb.is_finite() && self.memory_mb >= MIN_MEMORY_MB) {
            return Err(ConfigError::Memory);
        }
        Ok(())
    }

    /// Divides the file descriptors into client connections, lingering connections and worker connections, in this order.
    fn connection_shares(&self) -> (usize, usize, usize) {
        let sockets = self.sockets - RESERVED_SOCKETS;
        let (clients, lingering) = (sockets * 9 / 20, sockets / 20);
        (clients, lingering, sockets - clients - lingering)
    }

    /// Bytes that may be read ahead of each client: half of one eighth of the memory for all of them, twice, since the last
    /// read may go past the limit.
    fn read_ahead(&self) -> usize {
        let (clients, _, _) = self.connection_shares();
        let sixteenth_bytes = self.memory_mb * 1024.0 * 1024.0 / 16.0;
        ((sixteenth_bytes / clients as f64) as usize).clamp(MIN_READ_AHEAD, MAX_READ_AHEAD)
    }

    /// Derives the router's bounds. One eighth of the memory is for request bodies that wait, one eighth for answers
    /// that clients have not read yet, and one sixteenth for the ids of requests that must not run twice.
    fn bounds(&self, open_requests: usize) -> Bounds {
        let (clients, _, worker_connections) = self.connection_shares();
        let eighth_bytes = self.memory_mb * 1024.0 * 1024.0 / 8.0;
        let client_limits = chalkyard_proto::Limits {
            start_line_bytes: 2_048,
            head_bytes: 8 * 1024,
            body_bytes: MAX_BODY_BYTES,
            chunk_bytes: MAX_BODY_BYTES,
            pipelined_bytes: self.read_ahead(),
            allow_chunk_extensions: false,
        };
        Bounds {
            client: client_limits,
            worker: chalkyard_proto::Limits {
                body_bytes: 16 * 1024 * 1024,
                pipelined_bytes: 16 * 1024,
                allow_chunk_extensions: true,
                ..client_limits
            },
            event_bytes: 64 * 1024,
            clients,
            evict_clients: true,
            pending_body_bytes: eighth_bytes as u64,
            open_requests,
            connections_per_worker: worker_connections,
            worker_connections,
            idle_per_worker: worker_connections,
            client_buffer: ((eighth_bytes / clients as f64) as usize).clamp(4 * 1024, 64 * 1024),
            workers: 2_000,
            identities: (eighth_bytes / 2.0 / IDENTITY_BYTES) as usize,
            ..Bounds::default()
        }
    }
}

impl StartupConfig {
    /// Parses the text of the configuration file.
    ///
    /// # Errors
    /// The first invalid field, with the cause.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile<'_> = serde_json::from_str(text)?;
        file.limits.check()?;
        let params: wire::Params =
            serde_json::from_str(file.settings.get()).map_err(ConfigError::SettingsJson)?;
        let (policy, names) = translate::settings(&params).map_err(ConfigError::Settings)?;
        let longest_deadline = policy.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let shutdown = ShutdownSchedule::new(longest_deadline, policy.resume);
        let open_requests = params.limits.max_open.filter(|n| *n >= 1.0).map_or(20_000, |n| n as usize);
        let (_, max_lingering, _) = file.limits.connection_shares();
        let config = Config {
            name: file.name,
            policy,
            classes: params.categories.iter().map(|c| ClassConfig { name: c.name.clone() }).collect(),
            default_class: 0,
            tenants: params
                .tenants
                .iter()
                .map(|t| TenantConfig { name: t.name.clone(), classes: None })
                .collect(),
            keys: KeyRing::new([0; 32]),
            zones: BTreeMap::new(),
            kinds: BTreeMap::new(),
            discovery: Some(parse_address("discovery", &file.discovery)?),
            bounds: file.limits.bounds(open_requests),
            timeouts: timeouts(&params.limits, &shutdown),
            dialect: Some(Arc::new(Platform::new(names))),
        };
        Ok(Self {
            listen: parse_address("listen", &file.listen)?,
            seed: u64::from_str_radix(&file.seed, 16).ok(),
            last_endpoint_list: file.known.map(|list| list.get().to_owned()),
            max_lingering,
            max_read: file.limits.read_ahead(),
            lame_duck: shutdown.lame_duck,
            config,
        })
    }
}
