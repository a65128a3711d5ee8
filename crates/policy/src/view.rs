//! What a decision may read: the settings, the time, and all that this router has observed.

use crate::affinity::AffinityTable;
use crate::endpoints::{Lifecycle, Role};
use crate::hashing;
use crate::observations::{Observations, REQUEST_RATE_SPAN};
use crate::request_state::{RequestState, RequestTable};
use crate::settings::Settings;
use crate::time::Micros;
use crate::worker_state::{WorkerState, WorkerTable};

/// A router among more than this many cannot judge a worker or the load by its own requests alone.
const MANY_ROUTERS_THRESHOLD: f64 = 4.0;
/// ... as long as it receives fewer requests than this within the tightest latency objective.
const SPARSE_REQUESTS_THRESHOLD: f64 = 4.0;

/// Read access to the state of one router, for the functions that decide.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The site's settings.
    pub settings: &'a Settings,
    /// The seed of this router's hashes.
    pub seed: u64,
    /// The time of the event that is handled.
    pub now: Micros,
    /// The workers.
    pub workers: &'a WorkerTable,
    /// The requests, without the one that is being handled.
    pub requests: &'a RequestTable,
    /// Where sessions were answered.
    pub affinity: &'a AffinityTable,
    /// What requests took lately.
    pub observed: &'a Observations,
}

impl View<'_> {
    /// The tightest latency objective of all classes.
    pub fn tightest_objective(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or_default()
    }

    /// Whether this is one of many routers, with too few requests to count queues or to judge silence by them.
    pub fn has_sparse_samples(&self) -> bool {
        let rate = self.observed.requests.per_second(self.now, REQUEST_RATE_SPAN);
        let within_objective = rate * self.tightest_objective().as_secs_f64();
        within_objective < SPARSE_REQUESTS_THRESHOLD && has_many_routers(self.settings)
    }

    /// The listed workers of a role, at least one.
    pub fn listed_worker_count(&self, role: Role) -> f64 {
        let is_listed =
            |worker: &&WorkerState| worker.info.role == role && worker.info.lifecycle != Lifecycle::Removed;
        self.workers.values().filter(is_listed).count().max(1) as f64
    }

    /// Whether a worker is warming up.
    pub fn is_warming_up(&self, worker: &WorkerState) -> bool {
        worker.warming_age(self.now, self.settings.slow_start_duration).is_some()
    }

    /// How long a request has waited, over the tightest latency objective.
    pub fn wait_ratio(&self, request: &RequestState) -> f64 {
        (self.now - request.arrived).as_secs_f64() / self.tightest_objective().as_secs_f64().max(1e-6)
    }

    /// A number from 0 up to 1 that this router always draws for this label and key.
    pub fn draw(&self, label: impl AsRef<[u8]>, key: &str) -> f64 {
        hashing::uniform_draw(self.seed, label, key)
    }
}

/// Whether a router of this site is one of many.
pub fn has_many_routers(settings: &Settings) -> bool {
    f64::from(settings.routers) > MANY_ROUTERS_THRESHOLD
}
