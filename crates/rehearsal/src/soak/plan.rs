//! The plan of one soak run: settings and overlapping faults, drawn from the seed.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// How workers treat repeated requests of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Repeats are harmless and may be executed.
    Free,
    /// All workers discard repeats within a time window.
    Guarded,
    /// Repeats must never be executed.
    SingleShot,
}

impl Repeat {
    /// The name used in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Guarded => "guarded",
            Self::SingleShot => "single_shot",
        }
    }
}

/// The settings of a request class.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ClassPlan {
    /// How repeats are treated.
    pub repeat: Repeat,
    /// How long a client waits for the answer, ms.
    pub deadline_ms: u64,
}

/// The role of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRole {
    /// Prefill: processes prompts and reserves their KV state.
    Reader,
    /// Decode: generates answers.
    Writer,
}

/// How a faulty worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answering {
    /// Status 500.
    Error,
    /// Status 503 with the header that says that the request was not processed.
    TurnedAway,
    /// Status 503 without that header.
    Unmarked,
    /// The connection is reset once the request has been received.
    Reset,
    /// A malformed chunked body, then a connection reset.
    Spoilt,
    /// The connection is reset in the middle of the stream.
    Broken,
}

/// The kind of a fault and its target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A worker is suspended and resumes afterwards; its connections stay open.
    Hang { worker: usize },
    /// A share of the workers of a role is suspended.
    HangRole { role: WorkerRole, share: f64 },
    /// A share of the open connections of a worker stops answering for good: with `inbound`, requests are no longer read
    /// either.
    Silence { worker: usize, share: f64, inbound: bool },
    /// All open connections of a worker are reset.
    Reset { worker: usize },
    /// A worker gives faulty answers.
    Answers { worker: usize, how: Answering },
    /// A worker takes `times` as long to process requests.
    Slow { worker: usize, times: u64 },
    /// A worker drains, is removed and returns cold under the same name.
    Replace { worker: usize },
    /// The discovery agent of a router does not answer.
    DiscoverySilent { router: usize },
    /// A router receives SIGTERM, is killed at the earliest permitted time and is restarted.
    Terminate { router: usize },
    /// A router is killed and restarted.
    Kill { router: usize },
    /// A router receives SIGHUP several times and reloads its configuration.
    Reload { router: usize },
    /// The process of a router is stopped for 0.15 s.
    Stall { router: usize },
    /// Idle client connections exhaust the connection limit of a router.
    Crowd { router: usize, clients: usize },
}

/// A fault and its time span, ms from the start of the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fault {
    /// Start of the fault, ms.
    pub at_ms: u64,
    /// End of the fault, ms; unused by kinds without a duration.
    pub until_ms: u64,
    /// Kind and target.
    pub kind: FaultKind,
}

/// The settings and faults of one seed.
#[derive(Debug, Clone, Serialize)]
pub struct SoakPlan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// How long clients send requests, ms.
    pub length_ms: u64,
    /// Number of router processes.
    pub routers: usize,
    /// Role of each worker, readers first.
    pub workers: Vec<WorkerRole>,
    /// Reserved KV state must be fetched or released within this time, ms.
    pub release_ms: u64,
    /// Connection timeout, ms.
    pub connect_ms: u64,
    /// Deduplication window of guarded classes, ms.
    pub window_ms: u64,
    /// Whether discovery pushes the worker list; otherwise routers poll for it.
    pub pushed: bool,
    /// Whether writers can prefill prompts themselves.
    pub self_prefill: bool,
    /// Request classes.
    pub classes: Vec<ClassPlan>,
    /// For each router: injected system call failures and steps of its wall clock; empty for none.
    pub system: Vec<String>,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
}

/// Earliest start of a fault, ms.
const WARM_UP_MS: u64 = 1_000;
/// Fault-free time at the end of the scenario, in which the service has to recover, ms.
pub const CALM_MS: u64 = 10_000;

impl SoakPlan {
    /// Draws the plan of a seed. The order of the draws determines the plan and must not change.
    pub fn draw(seed: u64, rng: &mut ChaCha8Rng, routers: usize, seconds: u64) -> Self {
        let (readers, writers) = (rng.random_range(3..=5), rng.random_range(3..=6));
        let mut workers = vec![WorkerRole::Reader; readers];
        workers.resize(readers + writers, WorkerRole::Writer);
        let class = |repeat, rng: &mut ChaCha8Rng| {
            let deadline_ms = *[300, 800, 1_500, 3_000, 6_000, 10_000].choose(rng).unwrap_or(&3_000);
            ClassPlan { repeat, deadline_ms }
        };
        let length_ms = seconds * 1_000;
        let classes = [Repeat::Free, Repeat::SingleShot, Repeat::Guarded, Repeat::Free];
        let mut plan = Self {
            seed,
            length_ms,
            routers,
            release_ms: *[100, 200, 300, 500, 1_000, 2_000].choose(rng).unwrap_or(&1_000),
            connect_ms: *[80, 250, 500].choose(rng).unwrap_or(&250),
            window_ms: *[500, 2_000].choose(rng).unwrap_or(&2_000),
            pushed: rng.random_bool(0.5),
            self_prefill: rng.random_bool(0.3),
            classes: classes.map(|repeat| class(repeat, rng)).to_vec(),
            system: (0..routers).map(|_| draw_system_faults(rng)).collect(),
            workers,
            faults: Vec::new(),
        };
        let many = rng.random_range(10..=24);
        plan.faults = (0..many).map(|_| plan.draw_fault(rng)).collect();
        plan.faults.sort_by_key(|f| f.at_ms);
        plan
    }

    fn draw_fault(&self, rng: &mut ChaCha8Rng) -> Fault {
        let last = self.length_ms.saturating_sub(CALM_MS).max(WARM_UP_MS + 1);
        let at_ms = rng.random_range(WARM_UP_MS..last);
        let until_ms = (at_ms + rng.random_range(500..=4_000)).min(last);
        let worker = rng.random_range(0..self.workers.len());
        let router = rng.random_range(0..self.routers);
        let kind = match rng.random_range(0..100) {
            0..12 => FaultKind::Hang { worker },
            12..24 => {
                let role = if rng.random_bool(0.7) { WorkerRole::Writer } else { WorkerRole::Reader };
                FaultKind::HangRole { role, share: rng.random_range(0.4..1.0) }
            }
            24..42 => {
                let share = rng.random_range(0.3..=1.0);
                FaultKind::Silence { worker, share, inbound: rng.random_bool(0.6) }
            }
            42..48 => FaultKind::Reset { worker },
            48..58 => {
                let all = [
                    Answering::Error,
                    Answering::TurnedAway,
                    Answering::Unmarked,
                    Answering::Reset,
                    Answering::Spoilt,
                    Answering::Broken,
                ];
                FaultKind::Answers { worker, how: *all.choose(rng).unwrap_or(&Answering::Error) }
            }
            58..63 => FaultKind::Slow { worker, times: rng.random_range(3..=10) },
            63..70 => FaultKind::Replace { worker },
            70..76 => FaultKind::DiscoverySilent { router },
            76..84 => FaultKind::Terminate { router },
            84..87 => FaultKind::Kill { router },
            87..91 => FaultKind::Reload { router },
            91..96 => FaultKind::Stall { router },
            _ => FaultKind::Crowd { router, clients: rng.random_range(60..=160) },
        };
        Fault { at_ms, until_ms, kind }
    }
}

/// Draws the injected system call failures and clock steps of one router; most routers have none.
fn draw_system_faults(rng: &mut ChaCha8Rng) -> String {
    let mut parts = Vec::new();
    if rng.random_bool(0.35) {
        parts.push(format!("seed={}", rng.random_range(1..1_000_000)));
        let one_in = rng.random_range(5..=40);
        for call in ["recv", "send", "accept", "socket", "connect", "epoll"] {
            if rng.random_bool(0.6) {
                parts.push(format!("{call}={one_in}"));
            }
        }
    }
    if rng.random_bool(0.2) {
        let steps = [-3_600, -5, 5, 3_600];
        let step = steps.choose(rng).unwrap_or(&5);
        parts.push(format!("step_s={step},step_at_ms={}", rng.random_range(0..8_000)));
    }
    parts.join(",")
}
