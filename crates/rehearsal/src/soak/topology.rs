//! The simulated parts and routers of one soak run, and the effect of each fault on them.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::discovery::{Agent, List, Phase};
use super::plan::{Fault, FaultKind, SoakPlan, WorkerRole};
use super::process::RouterProcess;
use super::record::{Event, Record};
use super::worker::Worker;

/// Time between SIGTERM and SIGKILL: the longest deadline, capped at `DEADLINE_CAP_MS`, plus `KILL_MARGIN_MS`.
const KILL_MARGIN_MS: u64 = 700;
const DEADLINE_CAP_MS: u64 = 3_000;
/// How long clients still open new connections after SIGTERM, as a load balancer does until it notices.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of SIGHUP signals per reload fault.
const RELOAD_SIGNALS: u32 = 3;
const STALL_DURATION: Duration = Duration::from_millis(150);
/// How long a replaced worker drains, and how long it is down afterwards.
const DRAIN_DURATION: Duration = Duration::from_millis(1_000);
const DOWN_DURATION: Duration = Duration::from_millis(700);
/// How long routers may take to finish requests in flight after the clients have stopped.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(4_500);

/// All parts of one soak run.
pub(super) struct Topology {
    pub(super) plan: Arc<SoakPlan>,
    pub(super) record: Record,
    pub(super) list: List,
    pub(super) workers: Vec<Arc<Worker>>,
    pub(super) agents: Vec<Arc<Agent>>,
    pub(super) routers: Vec<Arc<RouterProcess>>,
}

impl Topology {
    pub(super) fn start_router(&self, router: usize) -> io::Result<()> {
        let (Some(agent), Some(process)) = (self.agents.get(router), self.routers.get(router)) else {
            return Ok(());
        };
        let (known, takes) = self.list.entries(None);
        process.configure(&self.plan, agent.at, &known)?;
        agent.record_notification(&takes);
        process.start()
    }

    /// Waits until `GET /up` answers 200, then lets clients connect to the router.
    pub(super) async fn await_ready(&self, router: usize) {
        let Some(process) = self.routers.get(router) else { return };
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until && process.is_running() {
            if timeout(Duration::from_millis(500), is_up(process)).await.is_ok_and(|up| up) {
                process.open.store(true, Ordering::SeqCst);
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        // The process runs but never became ready: recorded as an unexpected end.
        if process.is_running() {
            self.record.add(Event::RouterEnded { router, killed: false, code: None });
        }
    }

    pub(super) async fn end_all(&self) {
        for process in &self.routers {
            process.record_size();
            if process.is_running() {
                self.record.add(Event::RouterTerminated { router: process.index });
                process.signal("-TERM");
            }
        }
        sleep(SHUTDOWN_WAIT).await;
        for process in &self.routers {
            process.is_running();
            process.end();
        }
    }

    pub(super) async fn apply_fault(self: Arc<Self>, fault: Fault, begun: Instant) {
        sleep_until(begun + Duration::from_millis(fault.at_ms)).await;
        let until = begun + Duration::from_millis(fault.until_ms);
        match fault.kind {
            FaultKind::Hang { worker } => self.hang(&[worker], until).await,
            FaultKind::HangRole { role, share } => self.hang(&self.workers_of_role(role, share), until).await,
            FaultKind::Silence { worker, share, inbound } => {
                self.with_worker(worker, |w| w.silence(share, inbound));
            }
            FaultKind::Reset { worker } => self.with_worker(worker, |w| w.reset()),
            FaultKind::Answers { worker, how } => {
                self.with_worker(worker, |w| w.set_answer_fault(Some(how)));
                sleep_until(until).await;
                self.with_worker(worker, |w| w.set_answer_fault(None));
            }
            FaultKind::Slow { worker, times } => {
                self.with_worker(worker, |w| w.set_slowdown(times));
                sleep_until(until).await;
                self.with_worker(worker, |w| w.set_slowdown(1));
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
                for _ in 0..RELOAD_SIGNALS {
                    self.with_router(router, |r| r.signal("-HUP"));
                    sleep(Duration::from_millis(40)).await;
                }
            }
            FaultKind::Stall { router } => {
                self.record.add(Event::RouterStalled { router });
                self.with_router(router, |r| r.signal("-STOP"));
                sleep(STALL_DURATION).await;
                self.with_router(router, |r| r.signal("-CONT"));
            }
            FaultKind::Crowd { router, clients } => self.hold_idle_connections(router, clients, until).await,
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

    /// Indices of the first workers of a role, by share; never all of them unless there is only one.
    fn workers_of_role(&self, role: WorkerRole, share: f64) -> Vec<usize> {
        let all: Vec<usize> = self.workers.iter().filter(|w| w.role == role).map(|w| w.index).collect();
        let count =
            ((all.len() as f64 * share).round() as usize).clamp(1, all.len().saturating_sub(1).max(1));
        all.into_iter().take(count).collect()
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
        sleep(DRAIN_DURATION).await;
        self.list.change(worker, Phase::Removed);
        self.with_worker(worker, |w| w.set_running(false));
        sleep(DOWN_DURATION).await;
        self.with_worker(worker, |w| w.set_running(true));
        sleep(Duration::from_millis(50)).await;
        self.list.change(worker, Phase::Up);
    }

    /// Sends SIGTERM, kills the router at the earliest permitted time and restarts it.
    async fn terminate(&self, router: usize) {
        let Some(process) = self.routers.get(router) else { return };
        if !process.open.load(Ordering::SeqCst) {
            return;
        }
        self.record.add(Event::RouterTerminated { router });
        process.signal("-TERM");
        sleep(LOAD_BALANCER_DELAY).await;
        process.open.store(false, Ordering::SeqCst);
        let longest = self.plan.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
        let kill = Duration::from_millis(longest.min(DEADLINE_CAP_MS) + KILL_MARGIN_MS);
        sleep(kill.saturating_sub(LOAD_BALANCER_DELAY)).await;
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
        // A router that cannot be restarted lowers the served share, which the oracle checks.
        if self.start_router(router).is_ok() {
            self.await_ready(router).await;
        }
    }

    async fn hold_idle_connections(&self, router: usize, clients: usize, until: Instant) {
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
