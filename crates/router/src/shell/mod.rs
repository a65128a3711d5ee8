//! The I/O shell: a single-threaded mio event loop that provides a [`Core`] with sockets and time.

mod accept;
mod clock;
mod connect;
mod connection;
mod connections;
mod handle;
mod handover;
mod lifecycle;
mod linger;
mod listen;
mod ready_queue;
pub mod retry;
mod sink;
mod turn;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_state::{Lifecycle, LifecycleTimeouts, StopReason};
use mio::net::TcpListener;
use mio::{Events, Poll, Token, Waker};
use slab::Slab;

pub use self::clock::{timer_granularity, Clock};
use self::connect::ConnectRetries;
use self::connection::{AfterClose, Connection, ConnectionState, LingerDeadline};
use self::connections::READ_BUFFER_BYTES;
use self::handle::Command;
pub use self::handle::{AdminQuery, Handle, HandleError};
pub use self::handover::HandoverOffer;
use self::handover::HandoverProgress;
pub use self::listen::ListenAddress;
use self::ready_queue::ReadyQueue;
use self::retry::{with_retries, STARTUP_ATTEMPTS};
pub use self::sink::{Sink, SinkEvent, TakeOverError};
use crate::{ConnId, Core, Input, Output};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Default limit on lingering connections. Beyond it, connections without unsent bytes are dropped first; while those with
/// unsent bytes exceed it, no connection is accepted.
const DEFAULT_MAX_LINGERING: usize = 1_024;
/// Maximum number of events returned by one poll.
const EVENT_CAPACITY: usize = 1_024;
/// How often budget figures and counters are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// A poll that returns this much too late, or a loop iteration that takes this long, is logged: it delays all streams.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Runs one core on sockets and a clock. The shell owns the sockets; the core owns all state that decisions depend on.
pub struct Shell<S> {
    poll: Poll,
    /// Events of the latest poll.
    events: Events,
    /// Socket readiness that has not been handled yet.
    ready: ReadyQueue,
    /// When the latest poll returned.
    polled_at: Instant,
    /// When the current loop iteration stops handling sockets.
    iteration_deadline: Instant,
    core: Core,
    sink: S,
    clock: Clock,
    lifecycle: Lifecycle,
    listen_address: ListenAddress,
    listener: Option<TcpListener>,
    /// The listening socket while connections wait in it for a successor.
    suspended_listener: Option<TcpListener>,
    handover: Option<HandoverProgress>,
    handle: Handle,
    connections: Slab<Connection>,
    by_id: BTreeMap<ConnId, usize>,
    /// Connections with bytes to write.
    to_write: BTreeSet<usize>,
    /// Connections to read again without waiting for another event.
    to_read: VecDeque<usize>,
    /// Number of connections in [`ConnectionState::Closing`].
    lingering: usize,
    max_lingering: usize,
    /// Deadlines of lingering connections, in order, since all linger for the same time.
    linger_deadlines: VecDeque<LingerDeadline>,
    /// When to accept connections next.
    accept_at: Option<Instant>,
    connect_retries: ConnectRetries,
    next_client: u64,
    stop: Option<StopReason>,
    outputs: Vec<Output>,
    buffer: Vec<u8>,
    /// Whether records wait to be written to the ledger.
    records_pending: bool,
    /// Whether the last write to the ledger succeeded.
    ledger_writable: bool,
    next_housekeeping: Instant,
    next_report: Instant,
}

/// Describes a stall of the event loop, if there was one: time spent working, or the delay of a poll beyond its timeout.
fn describe_stall(worked: Duration, timeout: Option<Duration>, waited: Duration) -> Option<String> {
    let late = timeout.map_or(Duration::ZERO, |timeout| waited.saturating_sub(timeout));
    (worked >= STALL_THRESHOLD || late >= STALL_THRESHOLD).then(|| {
        format!("the loop worked for {} ms, then woke {} ms late", worked.as_millis(), late.as_millis())
    })
}

impl<S: Sink> Shell<S> {
    /// Creates a shell for a core that has not been started.
    pub fn new(
        core: Core,
        sink: S,
        clock: Clock,
        address: ListenAddress,
        timeouts: LifecycleTimeouts,
    ) -> io::Result<Self> {
        let poll = with_retries(STARTUP_ATTEMPTS, Poll::new)?;
        let waker = Arc::new(with_retries(STARTUP_ATTEMPTS, || Waker::new(poll.registry(), WAKER))?);
        Ok(Self {
            poll,
            events: Events::with_capacity(EVENT_CAPACITY),
            ready: ReadyQueue::default(),
            polled_at: Instant::now(),
            iteration_deadline: Instant::now(),
            core,
            sink,
            clock,
            lifecycle: Lifecycle::new(timeouts, clock.now().0),
            listen_address: address,
            listener: None,
            suspended_listener: None,
            handover: None,
            handle: Handle { waker, commands: Arc::default() },
            connections: Slab::new(),
            by_id: BTreeMap::new(),
            to_write: BTreeSet::new(),
            to_read: VecDeque::new(),
            lingering: 0,
            max_lingering: DEFAULT_MAX_LINGERING,
            linger_deadlines: VecDeque::new(),
            accept_at: None,
            connect_retries: ConnectRetries::default(),
            next_client: 2,
            stop: None,
            outputs: Vec::new(),
            buffer: vec![0; READ_BUFFER_BYTES],
            records_pending: false,
            ledger_writable: true,
            next_housekeeping: Instant::now(),
            next_report: Instant::now() + REPORT_INTERVAL,
        })
    }

    /// Sets the limit on lingering connections.
    pub fn set_max_lingering(&mut self, max: usize) {
        self.max_lingering = max;
    }

    /// Sets the limit on the bytes of one read. The last read before a peer is paused goes past the limit of its buffer.
    pub fn set_max_read(&mut self, bytes: usize) {
        self.buffer = vec![0; bytes.clamp(1, READ_BUFFER_BYTES)];
    }

    /// Returns a handle for sending commands from other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs the event loop until the router stops. Returns the reason and the number of requests that were still open.
    /// Commands that are still queued then are answered; later ones get [`HandleError::Stopped`].
    ///
    /// # Errors
    /// The sockets can't be polled.
    pub fn run(&mut self, stored_list: Option<&str>) -> io::Result<(StopReason, usize)> {
        let ended = self.run_loop(stored_list);
        for command in self.handle.close() {
            self.run_command(command);
        }
        ended
    }

    fn run_loop(&mut self, stored_list: Option<&str>) -> io::Result<(StopReason, usize)> {
        self.core.start(self.clock.now(), stored_list, &mut self.outputs);
        self.flush();
        let mut woke_at = Instant::now();
        loop {
            let (poll_started, timeout) = (Instant::now(), self.poll_timeout());
            let polled = self.poll.poll(&mut self.events, timeout);
            let worked =
                poll_started.saturating_duration_since(std::mem::replace(&mut woke_at, Instant::now()));
            if let Some(text) =
                describe_stall(worked, timeout, woke_at.saturating_duration_since(poll_started))
            {
                self.sink.note("stall", &text);
            }
            match polled {
                // An interrupted poll has no events, but timers may be due.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => self.events.clear(),
                other => other?,
            }
            self.polled_at = Instant::now();
            self.queue_events();
            self.handle_ready_sockets();
            self.retry_due_connects();
            self.handle_input(Input::Tick);
            self.run_commands();
            self.housekeep();
            self.flush();
            self.drop_expired_lingering();
            self.check_lifecycle();
            self.flush();
            if let Some(stop) = self.stop {
                self.sink.counters(self.core.counters());
                return Ok((stop, self.core.open_requests()));
            }
        }
    }

    /// Executes the commands that other threads have queued.
    fn run_commands(&mut self) {
        for command in self.handle.take_commands() {
            self.run_command(command);
        }
    }

    /// Executes a command. Its caller may have stopped waiting for the answer; the send error is ignored.
    fn run_command(&mut self, command: Command) {
        match command {
            Command::Lifecycle(event) => self.lifecycle_event(event),
            Command::LifecycleThenStatus(event, answer) => {
                self.lifecycle_event(event);
                let _ = answer.try_send(self.answer(&AdminQuery::Status));
            }
            Command::Query(query, answer) => drop(answer.try_send(self.answer(&query))),
            Command::Handover(command) => self.run_handover_command(command),
        }
    }

    /// Timeout of the next poll; `None` waits until an event.
    fn poll_timeout(&self) -> Option<Duration> {
        if !self.to_read.is_empty() || !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        // At least 1 µs, which poll rounds up to its granularity of 1 ms: waking too early would spin.
        let core_timeout = self.core.next_due().map(|at| Duration::from_micros((at - now).0.max(1)));
        let instant = Instant::now();
        let accept_timeout = self.accept_at.map(|at| at.saturating_duration_since(instant));
        let linger_timeout = (self.lingering > 0).then_some(Duration::from_millis(100));
        let lifecycle_timeout =
            self.lifecycle.next_due().map(|at| Duration::from_micros(at.saturating_sub(now.0).max(1)));
        let housekeeping_timeout = self
            .sink
            .housekeeping_interval()
            .map(|_| self.next_housekeeping.saturating_duration_since(instant));
        let retry_timeout = self.connect_retries.next_due().map(|at| at.saturating_duration_since(instant));
        [core_timeout, accept_timeout, linger_timeout, lifecycle_timeout, housekeeping_timeout, retry_timeout]
            .into_iter()
            .flatten()
            .min()
    }

    /// Passes an input to the core and executes the resulting outputs.
    fn handle_input(&mut self, input: Input<'_>) {
        let now = self.clock.now();
        self.core.handle(now, input, &mut self.outputs);
        self.perform_outputs();
    }

    /// Notifies the core when the ledger becomes writable or unwritable.
    fn set_ledger_writable(&mut self, writable: bool) {
        if std::mem::replace(&mut self.ledger_writable, writable) != writable {
            self.core.handle(self.clock.now(), Input::LedgerWritable(writable), &mut self.outputs);
        }
    }

    /// Handles the events of the sink and reports figures, each at its interval.
    fn housekeep(&mut self) {
        let Some(period) =
            self.sink.housekeeping_interval().filter(|_| self.next_housekeeping <= Instant::now())
        else {
            return;
        };
        self.next_housekeeping = Instant::now() + period;
        for event in self.sink.housekeep() {
            match event {
                Input::LedgerWritable(writable) => self.set_ledger_writable(writable),
                other => self.handle_input(other),
            }
        }
        if self.next_report <= Instant::now() {
            self.next_report = Instant::now() + REPORT_INTERVAL;
            self.sink.budget_figures(&self.core.budget_figures());
            self.sink.counters(self.core.counters());
        }
        self.perform_outputs();
    }

    /// Executes all pending outputs. Bytes are only queued; they are written at the end of the batch of events.
    fn perform_outputs(&mut self) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.perform_output(output);
            }
        }
    }

    /// Ends a batch of events: writes its records to the ledger in one write and then its bytes to the sockets. Repeats
    /// until writing causes no further outputs.
    fn flush(&mut self) {
        loop {
            self.perform_outputs();
            if std::mem::take(&mut self.records_pending) {
                let written = self.sink.flush();
                self.set_ledger_writable(written);
                continue;
            }
            let Some(key) = self.to_write.pop_first() else { return };
            if self.begins_worker_call(key) && self.poll_disconnects() {
                // A client has disconnected: the core may have dropped the call that was to be written.
                self.to_write.insert(key);
                continue;
            }
            self.write(key);
        }
    }

    /// Queues bytes to be written at the end of the batch of events.
    fn queue_bytes(&mut self, id: ConnId, bytes: Vec<u8>) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.unsent.is_empty() {
            connection.nothing_written = true;
            connection.unsent = bytes;
        } else {
            connection.unsent.reserve_exact(bytes.len());
            connection.unsent.extend_from_slice(&bytes);
        }
        if connection.state != ConnectionState::Connecting {
            self.to_write.insert(key);
        }
    }

    fn perform_output(&mut self, output: Output) {
        match output {
            Output::Connect(id, address) => self.connect(id, address),
            Output::Write(id, bytes) => self.queue_bytes(id, bytes),
            Output::Close(id) => self.close(id, AfterClose::Drop),
            Output::CloseAnswered(id) => self.close(id, AfterClose::LeaveUnread),
            Output::CloseIfQuiet(id) => self.close_if_quiet(id),
            Output::Abort(id) => {
                self.connect_retries.forget(id);
                if let Some(key) = self.by_id.get(&id).copied() {
                    self.remove_connection(key);
                }
            }
            Output::Pause(id) => self.set_paused(id, true),
            Output::Resume(id) => self.set_paused(id, false),
            Output::StoreEndpointList(text) => self.sink.store_endpoint_list(&text),
            Output::Record(number, record) => {
                self.sink.record(number, &record);
                self.records_pending = true;
            }
            Output::Finished(line) => self.sink.finished(line.0),
            Output::Tally(tally) => self.sink.tally(&tally),
            Output::Transition(transition) => self.sink.transition(&transition),
            Output::Note(what, text) => self.sink.note(what, &text),
        }
    }
}

#[cfg(test)]
#[path = "../shell_test.rs"]
mod tests;
