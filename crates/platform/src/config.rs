//! The configuration that a router is started with, and the bounds that follow from its limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_adapter::{translate, wire};
use chalkyard_api::keys::KeyRing;
use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, ClassConfig, Config, MigrationWindow, TenantConfig, Timeouts};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::dialect::{Platform, WATCH_MS};

#[derive(Deserialize)]
struct File<'a> {
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

/// What a router may use.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// Descriptors that are no connections: standard streams, the loop's own, listening, discovery.
const OWN_SOCKETS: usize = 20;
/// The fewest descriptors and the least memory with which a router can serve.
const SOCKETS_LEAST: usize = 128;
const MEMORY_LEAST_MB: f64 = 16.0;
/// Bytes of a body.
const BODY_BYTES: u64 = 256 * 1024;

/// A router's start.
#[derive(Debug)]
pub struct StartupConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For the module's random numbers; none was given where it is none.
    pub seed: Option<u64>,
    /// The list of workers as last had, as text.
    pub last_endpoint_list: Option<String>,
    /// Connections that may linger.
    pub max_lingering: usize,
    /// All that the core is told.
    pub config: Config,
}

/// A configuration that can't be used: the field, and why.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The configuration is malformed, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The same of the settings in it.
    #[error("field `settings`: {0}")]
    SettingsJson(#[source] serde_json::Error),
    /// A value in the settings is unknown.
    #[error("field `settings`: {0}")]
    Settings(String),
    /// A field holds no address.
    #[error("field `{field}`: `{text}` is no address with a port")]
    Address {
        /// The field.
        field: &'static str,
        /// What it holds.
        text: String,
    },
    /// Too few file descriptors for a router to serve.
    #[error("field `limits.sockets`: under {SOCKETS_LEAST}")]
    Sockets,
    /// Too little memory for a router to serve.
    #[error("field `limits.memory_mb`: under {MEMORY_LEAST_MB}")]
    Memory,
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, text: text.to_owned() })
}

impl Limits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < SOCKETS_LEAST {
            return Err(ConfigError::Sockets);
        }
        if !(self.memory_mb.is_finite() && self.memory_mb >= MEMORY_LEAST_MB) {
            return Err(ConfigError::Memory);
        }
        Ok(())
    }

    /// Connections: clients', those that linger, and those to engines. Together they fit.
    fn shares(&self) -> (usize, usize, usize) {
        let sockets = self.sockets - OWN_SOCKETS;
        let (clients, lingering) = (sockets * 9 / 20, sockets / 20);
        (clients, lingering, sockets - clients - lingering)
    }

    /// An eighth of the memory each for bodies that wait and for answers that clients have not taken.
    fn bounds(&self, open: usize) -> Bounds {
        let (clients, _, links) = self.shares();
        let eighth = self.memory_mb * 1024.0 * 1024.0 / 8.0;
        let side = chalkyard_proto::Limits {
            start_line_bytes: 2_048,
            head_bytes: 8 * 1024,
            body_bytes: BODY_BYTES,
            chunk_bytes: BODY_BYTES,
            pipelined_bytes: 16 * 1024,
            allow_chunk_extensions: false,
        };
        Bounds {
            client: side,
            worker: chalkyard_proto::Limits {
                body_bytes: 16 * 1024 * 1024,
                pipelined_bytes: 16 * 1024,
                allow_chunk_extensions: true,
                ..side
            },
            event_bytes: 64 * 1024,
            clients,
            evict_clients: true,
            pending_body_bytes: eighth as u64,
            open_requests: open,
            connections_per_worker: links,
            worker_connections: links,
            idle_per_worker: links,
            client_buffer: ((eighth / clients as f64) as usize).clamp(4 * 1024, 64 * 1024),
            workers: 2_000,
            identities: 0,
            ..Bounds::default()
        }
    }
}

impl StartupConfig {
    /// Reads the configuration.
    ///
    /// # Errors
    /// The first field that is wrong, and why.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: File<'_> = serde_json::from_str(text)?;
        file.limits.check()?;
        let params: wire::Params =
            serde_json::from_str(file.settings.get()).map_err(ConfigError::SettingsJson)?;
        let (policy, names) = translate::settings(&params).map_err(ConfigError::Settings)?;
        let ms = |n: u64| Micros(n * 1_000);
        let told = |s: Option<f64>, default: Micros| s.map_or(default, Micros::from_secs_f64);
        let idle = told(params.limits.conn_idle_s, ms(20_000));
        let timeouts = Timeouts {
            request: ms(2_500),
            idle: ms(15_000),
            first_request: ms(2_500),
            release: ms(150),
            // The process is killed 3.7 s after it is told to end, at the soonest.
            migration: policy.resume.then_some(MigrationWindow { from: ms(1_800), until: ms(3_300) }),
            drain_grace: ms(100),
            // Well under the told time: a call that crosses the engine's close is lost.
            worker_idle: idle.mul_f64(0.5).min(ms(10_000)),
            connect: told(params.limits.connect_timeout_s, ms(250)),
            // Under the 5 s after which a client counts as left waiting.
            stream: ms(4_000),
            slow_client: ms(5_000),
            // News count as told 2 s after the wait is over.
            discovery: ms(WATCH_MS + 1_000),
            // An agent on the same machine answers at once; as long as a connection is waited for.
            discovery_probe: told(params.limits.connect_timeout_s, ms(250)),
            reply_margin: Micros(0),
            identity: Micros(0),
        };
        let open = params.limits.max_open.filter(|n| *n >= 1.0).map_or(20_000, |n| n as usize);
        let (_, max_lingering, _) = file.limits.shares();
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
            discovery: Some(address("discovery", &file.discovery)?),
            bounds: file.limits.bounds(open),
            timeouts,
            dialect: Some(Arc::new(Platform::new(names))),
        };
        Ok(Self {
            listen: address("listen", &file.listen)?,
            seed: u64::from_str_radix(&file.seed, 16).ok(),
            last_endpoint_list: file.known.map(|list| list.get().to_owned()),
            max_lingering,
            config,
        })
    }
}
