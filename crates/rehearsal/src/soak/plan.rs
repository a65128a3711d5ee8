//! What one seed of the soak plays: drawn settings, and faults that overlap in time.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// How repeats of a class are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// They do no harm.
    Free,
    /// They are discarded within a window, by all workers.
    Guarded,
    /// They must not run.
    SingleShot,
}

impl Repeat {
    /// As the settings name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Guarded => "guarded",
            Self::SingleShot => "single_shot",
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ClassPlan {
    /// How repeats are taken.
    pub repeat: Repeat,
    /// A client's waiting time.
    pub deadline_ms: u64,
}

/// What a worker does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRole {
    /// Reads prompts.
    Reader,
    /// Writes answers.
    Writer,
}

/// What an answer looks like while a worker is faulty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answering {
    /// 500.
    Error,
    /// 503 with the mark that nothing ran.
    TurnedAway,
    /// 503 without it.
    Unmarked,
    /// The connection is reset when the request has come.
    Reset,
    /// What can't be read.
    Spoilt,
    /// The stream breaks off in the middle.
    Broken,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A worker does not run, and goes on afterwards; its connections stay open.
    Hang { worker: usize },
    /// A part of a role does not run.
    HangRole { role: WorkerRole, share: f64 },
    /// Connections that stand fall silent for good: what comes is never read, or what is answered never leaves.
    Silence { worker: usize, share: f64, inbound: bool },
    /// Connections that stand are reset.
    Reset { worker: usize },
    /// A worker answers badly.
    Answers { worker: usize, how: Answering },
    /// A worker takes so many times as long.
    Slow { worker: usize, times: u64 },
    /// A worker drains, is removed and comes back cold under the same name.
    Replace { worker: usize },
    /// A router's discovery says nothing.
    DiscoverySilent { router: usize },
    /// A router is told to end, killed at the earliest time, and started again.
    Terminate { router: usize },
    /// A router is killed, and started again.
    Kill { router: usize },
    /// A router is told to read its configuration again, several times.
    Reload { router: usize },
    /// A router's process stands still for 0.15 s.
    Stall { router: usize },
    /// Idle clients fill a router.
    Crowd { router: usize, clients: usize },
}

/// A fault and its time, ms from the beginning.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fault {
    /// It begins.
    pub at_ms: u64,
    /// It ends, where it lasts.
    pub until_ms: u64,
    /// What it is.
    pub kind: FaultKind,
}

/// What one seed plays.
#[derive(Debug, Clone, Serialize)]
pub struct SoakPlan {
    /// Its seed.
    pub seed: u64,
    /// How long clients ask.
    pub length_ms: u64,
    /// Router processes.
    pub routers: usize,
    /// Roles of workers, readers first.
    pub workers: Vec<WorkerRole>,
    /// Held state must be taken or released within this span.
    pub release_ms: u64,
    /// A connection has to stand within this span.
    pub connect_ms: u64,
    /// Repeats of guarded classes are discarded for so long.
    pub window_ms: u64,
    /// Lists are pushed, or asked for.
    pub pushed: bool,
    /// Writers read prompts by themselves.
    pub self_prefill: bool,
    /// Classes.
    pub classes: Vec<ClassPlan>,
    /// Of each router: which of its system calls fail, and steps of its wall clock; empty where none.
    pub system: Vec<String>,
    /// Faults, by their time.
    pub faults: Vec<Fault>,
}

/// Faults begin after this.
const WARM_UP_MS: u64 = 1_000;
/// So much of the scenario's end is left for the service to come back.
pub const CALM_MS: u64 = 10_000;

impl SoakPlan {
    /// Draws a plan.
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
            system: (0..routers).map(|_| draw_system(rng)).collect(),
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

/// System calls of one router: most have none that fail.
fn draw_system(rng: &mut ChaCha8Rng) -> String {
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
