//! Read access for routing decisions: settings, time and the observations of this router.

use crate::affinity::AffinityTable;
use crate::endpoints::{Lifecycle, Role};
use crate::hashing;
use crate::observations::{Observations, REQUEST_RATE_SPAN};
use crate::request_state::{RequestState, RequestTable};
use crate::settings::Settings;
use crate::time::Micros;
use crate::worker_state::{WorkerState, WorkerTable};

/// Number of routers above which a router may see too few requests of its own to judge a worker or the load.
const MANY_ROUTERS_THRESHOLD: f64 = 4.0;
/// Number of requests within the tightest latency objective. A router on a site with many routers that
/// receives fewer has sparse samples.
const SPARSE_REQUESTS_THRESHOLD: f64 = 4.0;

/// Read access to the state of one router, for the decision functions.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Settings of the site.
    pub settings: &'a Settings,
    /// Seed of this router's hashes.
    pub seed: u64,
    /// Time of the event being handled.
    pub now: Micros,
    /// Known workers.
    pub workers: &'a WorkerTable,
    /// Active requests, except the request being handled.
    pub requests: &'a RequestTable,
    /// Workers that last answered each session.
    pub affinity: &'a AffinityTable,
    /// Recent observations of this router's traffic.
    pub observed: &'a Observations,
}

impl View<'_> {
    /// Returns the tightest latency objective of all classes.
    pub fn tightest_objective(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or_default()
    }

    /// Returns true if the site has many routers and this router receives too few requests to estimate load
    /// from its own queue or to judge silence by its own attempts.
    pub fn has_sparse_samples(&self) -> bool {
        let rate = self.observed.requests.per_second(self.now, REQUEST_RATE_SPAN);
        let within_objective = rate * self.tightest_objective().as_secs_f64();
        within_objective < SPARSE_REQUESTS_THRESHOLD && has_many_routers(self.settings)
    }

    /// Returns the number of listed workers of a role, at least one.
    pub fn listed_worker_count(&self, role: Role) -> f64 {
        let is_listed =
            |worker: &&WorkerState| worker.info.role == role && worker.info.lifecycle != Lifecycle::Removed;
        self.workers.values().filter(is_listed).count().max(1) as f64
    }

    /// Returns true if the worker is warming up.
    pub fn is_warming_up(&self, worker: &WorkerState) -> bool {
        worker.warming_age(self.now, self.settings.slow_start_duration).is_some()
    }

    /// Returns the time since a request arrived, divided by the tightest latency objective.
    pub fn wait_ratio(&self, request: &RequestState) -> f64 {
        (self.now - request.arrived).as_secs_f64() / self.tightest_objective().as_secs_f64().max(1e-6)
    }

    /// Returns a number in [0, 1) that is fixed for this router, label and key.
    pub fn draw(&self, label: impl AsRef<[u8]>, key: &str) -> f64 {
        hashing::uniform_draw(self.seed, label, key)
    }
}

/// Returns true if the site has more than [`MANY_ROUTERS_THRESHOLD`] routers.
pub fn has_many_routers(settings: &Settings) -> bool {
    f64::from(settings.routers) > MANY_ROUTERS_THRESHOLD
}
