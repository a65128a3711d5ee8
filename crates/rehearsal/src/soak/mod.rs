//! A randomized soak: real router processes on the platform's protocol, faults that overlap in time, and an oracle that
//! judges the five rules from what crossed the sockets.
//!
//! One seed draws settings and faults (the module `plan`); fake workers, discovery and clients play them on loopback and write a
//! record; the module `oracle` judges it. The plan of a seed is the same every time; the order in which the system runs the
//! processes is not.

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
use self::worker::{States, Worker};
use crate::shim;

/// What is to be played.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The program that runs routers.
    pub exe: PathBuf,
    /// Router processes; drawn from 10 to 16 if not given.
    pub routers: Option<usize>,
    /// How long clients ask, the calm time at the end included.
    pub seconds: u64,
    /// Where the record of a seed that failed is written.
    pub record: Option<PathBuf>,
}

/// Client tasks at each router.
const CLIENTS: usize = 5;
/// The metronome's beat, and what is noted as a stall of the machine.
const BEAT: Duration = Duration::from_millis(10);
const BEAT_LATE: Duration = Duration::from_millis(25);

/// Plays a seed.
pub fn run_seed(seed: u64, options: &SoakOptions) -> io::Result<SoakReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drawn = rand::Rng::random_range(&mut rng, 10..=16);
    let plan = SoakPlan::draw(seed, &mut rng, options.routers.unwrap_or(drawn), options.seconds);
    play_plan(&plan, options)
}

fn play_plan(plan: &SoakPlan, options: &SoakOptions) -> io::Result<SoakReport> {
    let folder = std::env::temp_dir().join(format!("chalkyard-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let played = runtime.block_on(play_scenario(Arc::new(plan.clone()), &options.exe, &folder));
    runtime.shutdown_timeout(Duration::from_secs(1));
    let _ = std::fs::remove_dir_all(&folder);
    let lines = played?;
    let Verdict { findings, lost_answers } = oracle::judge(plan, &lines);
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

/// Leaves out faults one by one while the seed still fails in the same way; gives the plan that is left.
pub fn minimize_faults(report: &SoakReport, options: &SoakOptions, plays: usize) -> io::Result<SoakPlan> {
    let wanted: Vec<Check> = report.findings.iter().map(|f| f.check).collect();
    let mut plan = report.plan.clone();
    let mut at = 0;
    for _ in 0..plays {
        if at >= plan.faults.len() {
            break;
        }
        let mut less = plan.clone();
        less.faults.remove(at);
        let again = play_plan(&less, options)?;
        if again.findings.iter().any(|f| wanted.contains(&f.check)) {
            plan = less;
        } else {
            at += 1;
        }
    }
    Ok(plan)
}

async fn play_scenario(plan: Arc<SoakPlan>, exe: &Path, folder: &Path) -> io::Result<Vec<(u64, Event)>> {
    let library = shim::build(folder)?;
    let record = Record::new();
    let states = Arc::new(States::default());
    let mut workers = Vec::new();
    for index in 0..plan.workers.len() {
        workers.push(Worker::start(index, plan.clone(), record.clone(), states.clone()).await?);
    }
    let named: Vec<_> = workers.iter().map(|w| (w.name.clone(), w.role, w.at)).collect();
    let list = List::new(&named);
    let (mut agents, mut routers) = (Vec::new(), Vec::new());
    for index in 0..plan.routers {
        agents.push(Agent::start(index, list.clone(), record.clone()).await?);
        routers.push(Arc::new(RouterProcess::new(index, &plan, exe, folder, &library, record.clone())));
    }
    let topology =
        Arc::new(Topology { plan: plan.clone(), record: record.clone(), list, workers, agents, routers });
    for router in 0..plan.routers {
        topology.start_router(router)?;
    }
    for router in 0..plan.routers {
        topology.await_ready(router).await;
    }
    let begun = Instant::now();
    let offset = record.now_us();
    tokio::spawn(beat(record.clone()));
    let faults: Vec<_> =
        plan.faults.iter().map(|f| tokio::spawn(topology.clone().apply_fault(*f, begun))).collect();
    // Times of the plan count from here.
    let shifted = Arc::new(SoakPlan { length_ms: plan.length_ms + offset / 1_000, ..(*plan).clone() });
    let next = Arc::new(AtomicU64::new(0));
    let client = |i: usize| Client {
        plan: shifted.clone(),
        routers: topology.routers.clone(),
        record: record.clone(),
        next: next.clone(),
        preferred_router: i / CLIENTS,
        rng: ChaCha8Rng::seed_from_u64(plan.seed.wrapping_mul(2_003).wrapping_add(i as u64)),
    };
    let running: Vec<_> = (0..plan.routers * CLIENTS).map(|i| tokio::spawn(client(i).run())).collect();
    for client in running {
        let _ = client.await;
    }
    for fault in faults {
        let _ = fault.await;
    }
    topology.end_all().await;
    // The calm time that is judged is told by the record's own clock.
    Ok(record.lines().into_iter().map(|(t, event)| (t.saturating_sub(offset), event)).collect())
}

/// Notes when the machine that the fakes run on stood still.
async fn beat(record: Record) {
    loop {
        let from = Instant::now();
        sleep(BEAT).await;
        let late = from.elapsed().saturating_sub(BEAT);
        if late >= BEAT_LATE {
            record.add(Event::MachineStalled { for_us: late.as_micros() as u64 });
        }
    }
}

#[cfg(test)]
#[path = "forms_test.rs"]
mod tests;
