//! A randomized soak: real router processes on the platform's protocol, faults that overlap in time, and an oracle that
//! checks the five rules against the recorded traffic.
//!
//! Settings and faults are drawn from one seed (module `plan`). Simulated workers, discovery agents and clients execute
//! the plan on loopback and write a record, which the module `oracle` checks. The plan of a seed is deterministic; the
//! order in which the operating system schedules the processes is not.

mod client;
mod discovery;
mod messages;
mod oracle;
mod plan;
mod process;
mod record;
mod report;
mod topology;
mod worker;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, Instant};

use self::client::Client;
use self::discovery::{Agent, List};
use self::oracle::Verdict;
pub use self::oracle::{Check, Finding};
use self::plan::SoakPlan;
use self::process::RouterProcess;
use self::record::{Event, Record};
pub use self::report::SoakReport;
use self::topology::Topology;
use self::worker::{SharedState, Worker};
use crate::shim;

/// Options of a soak run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The executable that runs the routers.
    pub exe: PathBuf,
    /// Number of router processes; drawn from 10 to 16 if `None`.
    pub routers: Option<usize>,
    /// How long clients send requests, including the fault-free time at the end, s.
    pub seconds: u64,
    /// File for the record of a seed with findings.
    pub record: Option<PathBuf>,
}

/// Number of client tasks per router.
const CLIENTS_PER_ROUTER: usize = 5;
/// Interval of the timer that detects scheduling stalls, and the delay from which a stall is recorded.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const STALL_THRESHOLD: Duration = Duration::from_millis(25);

/// Draws the plan of a seed, runs it and checks its record.
pub fn run_seed(seed: u64, options: &SoakOptions) -> io::Result<SoakReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = rand::Rng::random_range(&mut rng, 10..=16);
    let plan = SoakPlan::draw(seed, &mut rng, options.routers.unwrap_or(drawn), options.seconds);
    run_plan(&plan, options)
}

fn run_plan(plan: &SoakPlan, options: &SoakOptions) -> io::Result<SoakReport> {
    let folder = std::env::temp_dir().join(format!("chalkyard-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let outcome = runtime.block_on(run_scenario(Arc::new(plan.clone()), &options.exe, &folder));
    runtime.shutdown_timeout(Duration::from_secs(1));
    let _ = std::fs::remove_dir_all(&folder);
    let lines = outcome?;
    let Verdict { findings, lost_answers } = oracle::check_record(plan, &lines);
    if let Some(file) = options.record.as_ref().filter(|_| !findings.is_empty()) {
        write_record(file, &lines)?;
    }
    let count = |wanted: fn(&Event) -> bool| lines.iter().filter(|(_, event)| wanted(event)).count();
    let stalls = lines.iter().filter_map(|(_, event)| match event {
        Event::MachineStalled { for_us } => Some(*for_us),
        _ => None,
    });
    Ok(SoakReport {
        plan: plan.clone(),
        asked: count(|s| matches!(s, Event::Asked { .. })),
        served: count(|s| matches!(s, Event::AnswerEnded { .. })),
        calls: count(|s| matches!(s, Event::Arrived { .. })),
        reserved: count(|s| matches!(s, Event::Reserved { .. })),
        lost_answers: lost_answers.len(),
        lost_answer_longest_us: lost_answers.into_iter().max().unwrap_or(0),
        machine_stalled_us: stalls.max().unwrap_or(0),
        findings,
    })
}

fn write_record(file: &Path, lines: &[(u64, Event)]) -> io::Result<()> {
    let text: Vec<String> = lines
        .iter()
        .map(|(t, event)| {
            format!("{{\"t\":{t},\"seen\":{}}}", serde_json::to_string(event).unwrap_or_default())
        })
        .collect();
    std::fs::write(file, text.join("\n"))
}

/// Removes faults one by one as long as a check that failed before still fails; returns the reduced plan. Runs the seed
/// at most `max_runs` times.
pub fn minimize_faults(report: &SoakReport, options: &SoakOptions, max_runs: usize) -> io::Result<SoakPlan> {
    let wanted: Vec<Check> = report.findings.iter().map(|f| f.check).collect();
    let mut plan = report.plan.clone();
    let mut at = 0;
    for _ in 0..max_runs {
        if at >= plan.faults.len() {
            break;
        }
        let mut candidate = plan.clone();
        candidate.faults.remove(at);
        let result = run_plan(&candidate, options)?;
        if result.findings.iter().any(|f| wanted.contains(&f.check)) {
            plan = candidate;
        } else {
            at += 1;
        }
    }
    Ok(plan)
}

async fn run_scenario(plan: Arc<SoakPlan>, exe: &Path, folder: &Path) -> io::Result<Vec<(u64, Event)>> {
    let shim_library = shim::build(folder)?;
    let record = Record::new();
    let states = Arc::new(SharedState::default());
    let mut workers = Vec::new();
    for index in 0..plan.workers.len() {
        workers.push(Worker::start(index, plan.clone(), record.clone(), states.clone()).await?);
    }
    let named: Vec<_> = workers.iter().map(|w| (w.name.clone(), w.role, w.at)).collect();
    let list = List::new(&named);
    let (mut agents, mut routers) = (Vec::new(), Vec::new());
    for index in 0..plan.routers {
        agents.push(Agent::start(index, list.clone(), record.clone()).await?);
        routers.push(Arc::new(RouterProcess::new(index, &plan, exe, folder, &shim_library, record.clone())));
    }
    let topology =
        Arc::new(Topology { plan: plan.clone(), record: record.clone(), list, workers, agents, routers });
    for router in 0..plan.routers {
        topology.start_router(router)?;
    }
    for router in 0..plan.routers {
        topology.await_ready(router).await;
    }
    let scenario_start = Instant::now();
    let offset = record.now_us();
    tokio::spawn(record_stalls(record.clone()));
    let faults: Vec<_> =
        plan.faults.iter().map(|f| tokio::spawn(topology.clone().apply_fault(*f, scenario_start))).collect();
    // Times of the plan are relative to this point.
    let shifted = Arc::new(SoakPlan { length_ms: plan.length_ms + offset / 1_000, ..(*plan).clone() });
    let next = Arc::new(AtomicU64::new(0));
    let client = |i: usize| Client {
        plan: shifted.clone(),
        routers: topology.routers.clone(),
        record: record.clone(),
        next: next.clone(),
        preferred_router: i / CLIENTS_PER_ROUTER,
        rng: ChaCha8Rng::seed_from_u64(plan.seed.wrapping_mul(2_003).wrapping_add(i as u64)),
    };
    let running: Vec<_> =
        (0..plan.routers * CLIENTS_PER_ROUTER).map(|i| tokio::spawn(client(i).run())).collect();
    for client in running {
        let _ = client.await;
    }
    for fault in faults {
        let _ = fault.await;
    }
    topology.end_all().await;
    // Shift the times of the record to the start of the scenario, which the checks count from.
    Ok(record.lines().into_iter().map(|(t, event)| (t.saturating_sub(offset), event)).collect())
}

/// Records scheduling stalls of the soak process: delays of a periodic timer.
async fn record_stalls(record: Record) {
    loop {
        let from = Instant::now();
        sleep(STALL_CHECK_INTERVAL).await;
        let late = from.elapsed().saturating_sub(STALL_CHECK_INTERVAL);
        if late >= STALL_THRESHOLD {
            record.add(Event::MachineStalled { for_us: late.as_micros() as u64 });
        }
    }
}

#[cfg(test)]
#[path = "forms_test.rs"]
mod tests;
