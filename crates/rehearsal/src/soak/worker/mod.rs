//! A simulated worker on the platform's protocol: prefill, state transfer, release, and the injected faults.

mod answers;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use chalkyard_proto::Side;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::sleep;

use super::messages::{Message, Reader};
use super::plan::{Answering, Repeat, SoakPlan, WorkerRole};
use super::record::{Event, Record};

/// How long after a hang begins or ends calls count as delayed by it: calls that waited are read in this time, µs.
const CATCH_UP_US: u64 = 1_500_000;
/// Probability of a faulty answer while an answer fault is active.
const FAULT_PROBABILITY: f64 = 0.7;
/// Prompt tokens prefilled per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 100;
const BACKLOG: u32 = 1_024;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State shared by all workers: reservations by request, and the time of the first execution of each request, µs.
#[derive(Debug, Default)]
pub struct SharedState {
    reservations: Mutex<BTreeMap<String, BTreeSet<usize>>>,
    executions: Mutex<BTreeMap<String, u64>>,
}

/// Fault switches of one connection.
#[derive(Debug, Default)]
struct ConnectionFaults {
    /// Requests are never read.
    deaf: AtomicBool,
    /// Answers are never sent.
    mute: AtomicBool,
    reset: Notify,
}

/// A simulated worker.
pub struct Worker {
    pub index: usize,
    pub name: String,
    pub role: WorkerRole,
    pub at: SocketAddr,
    plan: Arc<SoakPlan>,
    record: Record,
    states: Arc<SharedState>,
    /// Number of active faults that suspend the worker.
    hangs: watch::Sender<u32>,
    hang_changed_at: AtomicU64,
    /// Whether the simulated process is running.
    up: watch::Sender<bool>,
    answer_fault: Mutex<Option<Answering>>,
    slowdown: AtomicU64,
    connections: Mutex<Vec<Weak<ConnectionFaults>>>,
    rng: Mutex<ChaCha8Rng>,
}

/// Records the end of an attempt when dropped, also on errors and cancellation.
struct AttemptGuard<'a> {
    worker: &'a Worker,
    id: String,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.worker.record.add(Event::AttemptOver { id: self.id.clone(), worker: self.worker.index });
    }
}

/// The connection of a request, with its fault switches.
struct Exchange<'a> {
    stream: &'a TcpStream,
    control: &'a ConnectionFaults,
}

impl Worker {
    /// Starts a worker that listens on an unused port.
    pub async fn start(
        index: usize,
        plan: Arc<SoakPlan>,
        record: Record,
        states: Arc<SharedState>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let draw_seed = plan.seed.wrapping_mul(1_009).wrapping_add(index as u64);
        let role = plan.workers.get(index).copied().unwrap_or(WorkerRole::Writer);
        let worker = Arc::new(Self {
            index,
            name: format!("s-{index:02}"),
            role,
            at: listener.local_addr()?,
            plan,
            record,
            states,
            hangs: watch::Sender::new(0),
            hang_changed_at: AtomicU64::new(0),
            up: watch::Sender::new(true),
            answer_fault: Mutex::default(),
            slowdown: AtomicU64::new(1),
            connections: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(draw_seed)),
        });
        tokio::spawn(worker.clone().listen(listener));
        Ok(worker)
    }

    async fn listen(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        let mut up = self.up.subscribe();
        loop {
            let Some(open) = &listener else {
                if up.wait_for(|up| *up).await.is_err() {
                    return;
                }
                listener = self.listen_again().ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            tokio::select! {
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().serve(stream));
                },
                _ = up.wait_for(|up| !*up) => listener = None,
            }
        }
    }

    fn listen_again(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.at)?;
        socket.listen(BACKLOG)
    }

    /// Suspends or resumes the worker; overlapping hangs are counted.
    pub fn hang(&self, hangs: bool) {
        self.hang_changed_at.store(self.record.now_us(), Ordering::SeqCst);
        self.hangs.send_modify(|n| *n = if hangs { *n + 1 } else { n.saturating_sub(1) });
    }

    /// Sets the fault of answers; `None` for correct answers.
    pub fn set_answer_fault(&self, how: Option<Answering>) {
        *lock(&self.answer_fault) = how;
    }

    /// Multiplies the processing time by `times`.
    pub fn set_slowdown(&self, times: u64) {
        self.slowdown.store(times.max(1), Ordering::SeqCst);
    }

    fn controls(&self) -> Vec<Arc<ConnectionFaults>> {
        let mut all = lock(&self.connections);
        all.retain(|c| c.strong_count() > 0);
        all.iter().filter_map(Weak::upgrade).collect()
    }

    /// Makes a share of the open connections silent for good.
    pub fn silence(&self, share: f64, inbound: bool) {
        for control in self.controls() {
            if self.draw(|rng| rng.random_bool(share)) {
                control.deaf.fetch_or(inbound, Ordering::SeqCst);
                control.mute.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        for control in self.controls() {
            control.reset.notify_one();
        }
    }

    /// Stops the simulated process, which loses its connections and reservations, or starts it again.
    pub fn set_running(&self, up: bool) {
        self.up.send_replace(up);
        if up {
            return;
        }
        self.reset();
        let mut reservations = lock(&self.states.reservations);
        for (id, workers) in reservations.iter_mut() {
            if workers.remove(&self.index) {
                self.record.add(Event::Released { id: id.clone() });
            }
        }
        reservations.retain(|_, workers| !workers.is_empty());
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut lock(&self.rng))
    }

    async fn wait_until_running(&self) {
        let _ = self.hangs.subscribe().wait_for(|hangs| *hangs == 0).await;
    }

    fn hung_recently(&self) -> bool {
        let at = self.hang_changed_at.load(Ordering::SeqCst);
        at > 0 && self.record.now_us() < at + CATCH_UP_US
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let control = Arc::new(ConnectionFaults::default());
        lock(&self.connections).push(Arc::downgrade(&control));
        let ended = tokio::select! {
            ended = self.serve_requests(&stream, &control) => ended,
            () = control.reset.notified() => Err(io::ErrorKind::ConnectionReset.into()),
        };
        if ended.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset) {
            // A linger time of zero makes the close discard unsent data and send a reset.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn serve_requests(&self, stream: &TcpStream, control: &ConnectionFaults) -> io::Result<()> {
        let mut reader = Reader::new(Side::Request);
        loop {
            let message = loop {
                if let Some(message) = reader.next()? {
                    break message;
                }
                stream.readable().await?;
                self.wait_until_running().await;
                if control.deaf.load(Ordering::SeqCst) {
                    std::future::pending::<()>().await;
                }
                if !reader.fill(stream).await? {
                    return Ok(());
                }
            };
            self.answer(&Exchange { stream, control }, &message).await?;
        }
    }

    /// Writes bytes, or discards them if the connection is mute.
    async fn send(&self, exchange: &Exchange<'_>, bytes: &[u8]) -> io::Result<()> {
        self.wait_until_running().await;
        if exchange.control.mute.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut left = bytes;
        while !left.is_empty() {
            exchange.stream.writable().await?;
            match exchange.stream.try_write(left) {
                Ok(n) => left = left.get(n..).unwrap_or_default(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
