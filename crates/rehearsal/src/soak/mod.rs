//! A randomized soak: real router processes on the platform's protocol, faults that overlap in time, and an oracle that
//! judges the five rules from what crossed the sockets.
//!
//! One seed draws settings and faults (the module `plan`); stand-in workers, discovery and clients play them on loopback and write a
//! record; the module `oracle` judges it. The plan of a seed is the same every time; the order in which the system runs the
//! processes is not.

mod client;
mod discovery;
mod messages;
mod oracle;
mod plan;
mod process;
mod record;
mod worker;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use self::client::Client;
use self::discovery::{Agent, List, Phase};
use self::plan::{FaultKind, SoakPlan, WorkerRole};
use self::process::RouterProcess;
use self::record::{Record, Seen};
use self::worker::{States, Worker};
use crate::shim;

use self::oracle::Verdict;
pub use self::oracle::{Check, Finding};

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

/// What a seed showed.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed and its plan, to play it again.
    pub plan: SoakPlan,
    /// Requests that were asked, and served.
    pub asked: usize,
    /// See `asked`.
    pub served: usize,
    /// Calls that reached workers.
    pub calls: usize,
    /// States that were held.
    pub held: usize,
    /// States that waited past their time behind an attempt that was still out, since its answer never left, and the
    /// longest, us. No rule counts these.
    pub lost_answers: usize,
    /// See `lost_answers`.
    pub lost_answer_longest_us: u64,
    /// The longest that the stand-ins' own machine stood still, us.
    pub machine_stalled_us: u64,
    /// All that was broken.
    pub findings: Vec<Finding>,
}

impl SoakReport {
    /// Whether nothing was broken.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut text = format!(
            "seed {}: {} routers, {} workers, {} faults; {} asked, {} served, {} calls, {} states held, {} behind lost answers (at most {} ms); machine stood still {} ms: {}\n",
            self.plan.seed,
            self.plan.routers,
            self.plan.workers.len(),
            self.plan.faults.len(),
            self.asked,
            self.served,
            self.calls,
            self.held,
            self.lost_answers,
            self.lost_answer_longest_us / 1_000,
            self.machine_stalled_us / 1_000,
            if self.is_clean() { "clean".to_owned() } else { format!("{} FINDINGS", self.findings.len()) },
        );
        for finding in self.findings.iter().take(FINDINGS_SHOWN) {
            let id = finding.id.as_deref().unwrap_or("-");
            text.push_str(&format!("  {:?} {id}: {}\n", finding.check, finding.text));
        }
        if !self.is_clean() {
            for fault in &self.plan.faults {
                text.push_str(&format!("  fault {:?}\n", fault));
            }
        }
        text
    }
}

/// Findings that the text names.
const FINDINGS_SHOWN: usize = 12;
/// Client tasks at each router.
const CLIENTS: usize = 5;
/// A router that is killed after SIGTERM is killed no sooner than its longest deadline, counted as 3 s at most, and this.
const KILL_AFTER_MS: u64 = 700;
const DEADLINE_COUNTED_MS: u64 = 3_000;
/// The front sends new connections for so long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
const READY_MOST: Duration = Duration::from_secs(10);
/// A reload's burst: so many signals.
const HANG_UPS: u32 = 3;
const STALL: Duration = Duration::from_millis(150);
/// A worker drains for so long before it goes, and is away for so long.
const DRAINS: Duration = Duration::from_millis(1_000);
const AWAY: Duration = Duration::from_millis(700);
/// The metronome's beat, and what is noted as a stall of the machine.
const BEAT: Duration = Duration::from_millis(10);
const BEAT_LATE: Duration = Duration::from_millis(25);
/// After the day what is open ends.
const AFTERMATH: Duration = Duration::from_millis(4_500);

/// Plays a seed.
pub fn play(seed: u64, options: &SoakOptions) -> io::Result<SoakReport> {
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
    let count = |wanted: fn(&Seen) -> bool| lines.iter().filter(|(_, seen)| wanted(seen)).count();
    let stalls = lines.iter().filter_map(|(_, seen)| match seen {
        Seen::MachineStalled { for_us } => Some(*for_us),
        _ => None,
    });
    Ok(SoakReport {
        plan: plan.clone(),
        asked: count(|s| matches!(s, Seen::Asked { .. })),
        served: count(|s| matches!(s, Seen::AnswerEnded { .. })),
        calls: count(|s| matches!(s, Seen::Arrived { .. })),
        held: count(|s| matches!(s, Seen::Held { .. })),
        lost_answers: lost_answers.len(),
        lost_answer_longest_us: lost_answers.into_iter().max().unwrap_or(0),
        machine_stalled_us: stalls.max().unwrap_or(0),
        findings,
    })
}

fn write_record(file: &Path, lines: &[(u64, Seen)]) -> io::Result<()> {
    let text: Vec<String> = lines
        .iter()
        .map(|(t, seen)| {
            format!("{{\"t\":{t},\"seen\":{}}}", serde_json::to_string(seen).unwrap_or_default())
        })
        .collect();
    std::fs::write(file, text.join("\n"))
}

/// Leaves out faults one by one while the seed still fails in the same way; gives the plan that is left.
pub fn shrink(report: &SoakReport, options: &SoakOptions, plays: usize) -> io::Result<SoakPlan> {
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

/// All that takes part in one day.
struct Scene {
    plan: Arc<SoakPlan>,
    record: Record,
    list: List,
    workers: Vec<Arc<Worker>>,
    agents: Vec<Arc<Agent>>,
    routers: Vec<Arc<RouterProcess>>,
}

async fn play_scenario(plan: Arc<SoakPlan>, exe: &Path, folder: &Path) -> io::Result<Vec<(u64, Seen)>> {
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
    let scene =
        Arc::new(Scene { plan: plan.clone(), record: record.clone(), list, workers, agents, routers });
    for router in 0..plan.routers {
        scene.start_router(router)?;
    }
    for router in 0..plan.routers {
        scene.await_ready(router).await;
    }
    let begun = Instant::now();
    let offset = record.now_us();
    tokio::spawn(beat(record.clone()));
    let faults: Vec<_> = plan.faults.iter().map(|f| tokio::spawn(scene.clone().strike(*f, begun))).collect();
    // Times of the plan count from here.
    let shifted = Arc::new(SoakPlan { length_ms: plan.length_ms + offset / 1_000, ..(*plan).clone() });
    let next = Arc::new(AtomicU64::new(0));
    let client = |i: usize| Client {
        plan: shifted.clone(),
        routers: scene.routers.clone(),
        record: record.clone(),
        next: next.clone(),
        home: i / CLIENTS,
        rng: ChaCha8Rng::seed_from_u64(plan.seed.wrapping_mul(2_003).wrapping_add(i as u64)),
    };
    let running: Vec<_> = (0..plan.routers * CLIENTS).map(|i| tokio::spawn(client(i).run())).collect();
    for client in running {
        let _ = client.await;
    }
    for fault in faults {
        let _ = fault.await;
    }
    scene.end_all().await;
    // The calm time that is judged is told by the record's own clock.
    Ok(record.lines().into_iter().map(|(t, seen)| (t.saturating_sub(offset), seen)).collect())
}

/// Notes when the machine that the stand-ins run on stood still.
async fn beat(record: Record) {
    loop {
        let from = Instant::now();
        sleep(BEAT).await;
        let late = from.elapsed().saturating_sub(BEAT);
        if late >= BEAT_LATE {
            record.see(Seen::MachineStalled { for_us: late.as_micros() as u64 });
        }
    }
}

impl Scene {
    fn start_router(&self, router: usize) -> io::Result<()> {
        let (Some(agent), Some(process)) = (self.agents.get(router), self.routers.get(router)) else {
            return Ok(());
        };
        let (known, takes) = self.list.told(None);
        process.configure(&self.plan, agent.at, &known)?;
        agent.note_told(&takes);
        process.start()
    }

    /// Until `GET /up` answers 200: the front takes it in then.
    async fn await_ready(&self, router: usize) {
        let Some(process) = self.routers.get(router) else { return };
        let until = Instant::now() + READY_MOST;
        while Instant::now() < until && process.is_running() {
            if timeout(Duration::from_millis(500), is_up(process)).await.is_ok_and(|up| up) {
                process.open.store(true, Ordering::SeqCst);
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        // It is there, and serves nobody.
        if process.is_running() {
            self.record.see(Seen::RouterEnded { router, killed: false, code: None });
        }
    }

    async fn end_all(&self) {
        for process in &self.routers {
            process.note_size();
            if process.is_running() {
                self.record.see(Seen::RouterTold { router: process.index });
                process.signal("-TERM");
            }
        }
        sleep(AFTERMATH).await;
        for process in &self.routers {
            process.is_running();
            process.end();
        }
    }

    async fn strike(self: Arc<Self>, fault: plan::Fault, begun: Instant) {
        sleep_until(begun + Duration::from_millis(fault.at_ms)).await;
        let until = begun + Duration::from_millis(fault.until_ms);
        match fault.kind {
            FaultKind::Hang { worker } => self.hang(&[worker], until).await,
            FaultKind::HangRole { role, share } => self.hang(&self.part_of(role, share), until).await,
            FaultKind::Silence { worker, share, inbound } => {
                self.with_worker(worker, |w| w.silence(share, inbound));
            }
            FaultKind::Reset { worker } => self.with_worker(worker, |w| w.reset()),
            FaultKind::Answers { worker, how } => {
                self.with_worker(worker, |w| w.answer_badly(Some(how)));
                sleep_until(until).await;
                self.with_worker(worker, |w| w.answer_badly(None));
            }
            FaultKind::Slow { worker, times } => {
                self.with_worker(worker, |w| w.slow_down(times));
                sleep_until(until).await;
                self.with_worker(worker, |w| w.slow_down(1));
            }
            FaultKind::Replace { worker } => self.replace(worker).await,
            FaultKind::DiscoverySilent { router } => {
                if let Some(agent) = self.agents.get(router) {
                    agent.silence(true);
                    sleep_until(until).await;
                    agent.silence(false);
                }
            }
            FaultKind::Terminate { router } => self.terminate(router).await,
            FaultKind::Kill { router } => self.kill(router).await,
            FaultKind::Reload { router } => {
                for _ in 0..HANG_UPS {
                    self.with_router(router, |r| r.signal("-HUP"));
                    sleep(Duration::from_millis(40)).await;
                }
            }
            FaultKind::Stall { router } => {
                self.record.see(Seen::RouterStalled { router });
                self.with_router(router, |r| r.signal("-STOP"));
                sleep(STALL).await;
                self.with_router(router, |r| r.signal("-CONT"));
            }
            FaultKind::Crowd { router, clients } => self.crowd(router, clients, until).await,
        }
    }

    fn with_worker(&self, worker: usize, act: impl FnOnce(&Worker)) {
        if let Some(worker) = self.workers.get(worker) {
            act(worker);
        }
    }

    fn with_router(&self, router: usize, act: impl FnOnce(&RouterProcess)) {
        if let Some(router) = self.routers.get(router) {
            act(router);
        }
    }

    /// The first workers of a role, never all of it.
    fn part_of(&self, role: WorkerRole, share: f64) -> Vec<usize> {
        let all: Vec<usize> = self.workers.iter().filter(|w| w.role == role).map(|w| w.index).collect();
        let many = ((all.len() as f64 * share).round() as usize).clamp(1, all.len().saturating_sub(1).max(1));
        all.into_iter().take(many).collect()
    }

    async fn hang(&self, workers: &[usize], until: Instant) {
        for worker in workers {
            self.with_worker(*worker, |w| w.hang(true));
        }
        sleep_until(until).await;
        for worker in workers {
            self.with_worker(*worker, |w| w.hang(false));
        }
    }

    async fn replace(&self, worker: usize) {
        self.list.change(worker, Phase::Draining);
        sleep(DRAINS).await;
        self.list.change(worker, Phase::Removed);
        self.with_worker(worker, |w| w.set_up(false));
        sleep(AWAY).await;
        self.with_worker(worker, |w| w.set_up(true));
        sleep(Duration::from_millis(50)).await;
        self.list.change(worker, Phase::Up);
    }

    /// Told to end; killed at the earliest time; started again.
    async fn terminate(&self, router: usize) {
        let Some(process) = self.routers.get(router) else { return };
        if !process.open.load(Ordering::SeqCst) {
            return;
        }
        self.record.see(Seen::RouterTold { router });
        process.signal("-TERM");
        sleep(FRONT_NOTICES).await;
        process.open.store(false, Ordering::SeqCst);
        let longest = self.plan.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
        let kill = Duration::from_millis(longest.min(DEADLINE_COUNTED_MS) + KILL_AFTER_MS);
        sleep(kill.saturating_sub(FRONT_NOTICES)).await;
        self.restart(router).await;
    }

    async fn kill(&self, router: usize) {
        let Some(process) = self.routers.get(router) else { return };
        if process.open.swap(false, Ordering::SeqCst) {
            self.restart(router).await;
        }
    }

    async fn restart(&self, router: usize) {
        self.with_router(router, RouterProcess::end);
        // One that can't be started again is missed by the service that is judged.
        if self.start_router(router).is_ok() {
            self.await_ready(router).await;
        }
    }

    async fn crowd(&self, router: usize, clients: usize, until: Instant) {
        let Some(process) = self.routers.get(router) else { return };
        let mut idle = Vec::new();
        for _ in 0..clients {
            let connecting = timeout(Duration::from_millis(100), TcpStream::connect(process.at)).await;
            idle.extend(connecting.ok().and_then(Result::ok));
        }
        sleep_until(until).await;
    }
}

async fn is_up(process: &RouterProcess) -> bool {
    let Ok(mut stream) = TcpStream::connect(process.at).await else { return false };
    let asked = stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    let mut buffer = [0; 64];
    let read = stream.read(&mut buffer).await.unwrap_or(0);
    asked.is_ok() && buffer.get(..read).is_some_and(|b| b.starts_with(b"HTTP/1.1 200"))
}

#[cfg(test)]
#[path = "forms_test.rs"]
mod tests;
