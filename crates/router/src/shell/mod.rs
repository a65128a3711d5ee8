//! The thin shell: sockets and time for a [`Core`], on mio, one thread.

mod accept;
mod clock;
mod connect;
mod connection;
mod connections;
mod handle;
mod lifecycle;
mod linger;
mod listen;
mod ready_queue;
pub mod retry;
mod sink;
mod turn;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_state::{Lifecycle, LifecycleTimeouts, StopReason};
use mio::net::TcpListener;
use mio::{Events, Poll, Token, Waker};
use slab::Slab;

pub use self::clock::{timer_granularity, Clock};
use self::connect::ConnectRetries;
use self::connection::{AfterClose, Connection, ConnectionState, LingerDeadline};
use self::connections::READ_BYTES;
use self::handle::Command;
pub use self::handle::{AdminQuery, Handle};
pub use self::listen::ListenAddress;
use self::ready_queue::ReadyQueue;
use self::retry::{with_retries, STARTUP_ATTEMPTS};
pub use self::sink::{Handover, Sink, SinkEvent};
use crate::{ConnId, Core, Input, Output};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// The most connections that may linger, unless set otherwise. Of more, those to which all is written are dropped first, and
/// while too many still have something to write no connection is accepted.
const LINGERING: usize = 1_024;
/// The most events of one poll.
const EVENTS: usize = 1_024;
/// How often budget figures and counters are given out.
const FIGURES: Duration = Duration::from_secs(60);
/// A wait that ends this much too late, or a turn of the loop that takes this long, is logged: streams stood still as long.
const STALL: Duration = Duration::from_millis(300);

/// Sockets and time for one core. It owns the sockets; the core owns everything that is decided about them.
pub struct Shell<S> {
    poll: Poll,
    /// The events of one poll.
    events: Events,
    /// Readiness that was not handled yet.
    ready: ReadyQueue,
    /// When the last poll ended.
    polled_at: Instant,
    /// When the present turn of the loop is over.
    turn_until: Instant,
    core: Core,
    sink: S,
    clock: Clock,
    lifecycle: Lifecycle,
    listen_address: ListenAddress,
    listener: Option<TcpListener>,
    handle: Handle,
    connections: Slab<Connection>,
    by_id: BTreeMap<ConnId, usize>,
    /// Connections with bytes to write.
    to_write: BTreeSet<usize>,
    /// Connections that may be read on without another event.
    to_read: VecDeque<usize>,
    /// Connections that are being closed.
    lingering: usize,
    max_lingering: usize,
    /// When lingering connections are dropped, in order: all linger for the same span.
    linger_deadlines: VecDeque<LingerDeadline>,
    /// When connections are accepted next.
    accept_at: Option<Instant>,
    connect_retries: ConnectRetries,
    next_client: u64,
    stop: Option<StopReason>,
    outputs: Vec<Output>,
    buffer: Vec<u8>,
    /// Records wait for the ledger.
    records_pending: bool,
    /// Whether the last write to the ledger succeeded.
    ledger_writable: bool,
    housekeep_at: Instant,
    figures_at: Instant,
}

/// Whether the loop stood still, and where: in its own work, or in a wait that the system ended too late.
fn stalled(worked: Duration, wait: Option<Duration>, waited: Duration) -> Option<String> {
    let late = wait.map_or(Duration::ZERO, |wait| waited.saturating_sub(wait));
    (worked >= STALL || late >= STALL).then(|| {
        format!("the loop worked for {} ms, then woke {} ms late", worked.as_millis(), late.as_millis())
    })
}

impl<S: Sink> Shell<S> {
    /// A shell around a core that was not started yet.
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
            events: Events::with_capacity(EVENTS),
            ready: ReadyQueue::default(),
            polled_at: Instant::now(),
            turn_until: Instant::now(),
            core,
            sink,
            clock,
            lifecycle: Lifecycle::new(timeouts, clock.now().0),
            listen_address: address,
            listener: None,
            handle: Handle { waker, commands: Arc::default() },
            connections: Slab::new(),
            by_id: BTreeMap::new(),
            to_write: BTreeSet::new(),
            to_read: VecDeque::new(),
            lingering: 0,
            max_lingering: LINGERING,
            linger_deadlines: VecDeque::new(),
            accept_at: None,
            connect_retries: ConnectRetries::default(),
            next_client: 2,
            stop: None,
            outputs: Vec::new(),
            buffer: vec![0; READ_BYTES],
            records_pending: false,
            ledger_writable: true,
            housekeep_at: Instant::now(),
            figures_at: Instant::now() + FIGURES,
        })
    }

    /// Bounds the connections that linger.
    pub fn set_max_lingering(&mut self, most: usize) {
        self.max_lingering = most;
    }

    /// A handle for other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until the router's lifecycle is over. Gives the reason, and how many requests were still open.
    pub fn run(&mut self, stored_list: Option<&str>) -> io::Result<(StopReason, usize)> {
        self.core.start(self.clock.now(), stored_list, &mut self.outputs);
        self.flush();
        let mut woke = Instant::now();
        loop {
            let (waits, wait) = (Instant::now(), self.wait());
            let polled = self.poll.poll(&mut self.events, wait);
            let worked = waits.saturating_duration_since(std::mem::replace(&mut woke, Instant::now()));
            if let Some(text) = stalled(worked, wait, woke.saturating_duration_since(waits)) {
                self.sink.note("stall", &text);
            }
            match polled {
                // No events, but time has passed: what is due goes on.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => self.events.clear(),
                other => other?,
            }
            self.polled_at = Instant::now();
            self.queue_events();
            self.take_turn();
            self.retry_connects();
            self.feed(Input::Tick);
            self.run_commands();
            self.housekeep();
            self.flush();
            self.sweep();
            self.check_lifecycle();
            self.flush();
            if let Some(stop) = self.stop {
                self.sink.counters(self.core.counters());
                return Ok((stop, self.core.open_requests()));
            }
        }
    }

    /// Runs the commands of other threads.
    fn run_commands(&mut self) {
        for command in self.handle.take() {
            match command {
                Command::Lifecycle(event) => self.lifecycle_event(event),
                // Nobody may be waiting any more.
                Command::Query(query, answer) => drop(answer.try_send(self.answer(&query))),
                Command::HandOver(answer, decided) => {
                    if !decided.swap(true, Ordering::SeqCst) {
                        self.hand_over(&answer);
                    }
                }
            }
        }
    }

    /// How long the next poll may wait; none: until an event.
    fn wait(&self) -> Option<Duration> {
        if !self.to_read.is_empty() || !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        // At least 1 µs, which is rounded up to the millisecond that the system waits in: waking too early would spin.
        let core = self.core.next_due().map(|at| Duration::from_micros((at - now).0.max(1)));
        let from = Instant::now();
        let accept = self.accept_at.map(|at| at.saturating_duration_since(from));
        let linger = (self.lingering > 0).then_some(Duration::from_millis(100));
        let life = self.lifecycle.due().map(|at| Duration::from_micros(at.saturating_sub(now.0).max(1)));
        let house =
            self.sink.housekeeping_interval().map(|_| self.housekeep_at.saturating_duration_since(from));
        let retry = self.connect_retries.next_due().map(|at| at.saturating_duration_since(from));
        [core, accept, linger, life, house, retry].into_iter().flatten().min()
    }

    /// Gives an input to the core and carries its outputs out.
    fn feed(&mut self, input: Input<'_>) {
        let now = self.clock.now();
        self.core.handle(now, input, &mut self.outputs);
        self.carry_out_all();
    }

    /// Notifies the core if the ledger can be written again, or can't be any more.
    fn set_ledger_writable(&mut self, writable: bool) {
        if std::mem::replace(&mut self.ledger_writable, writable) != writable {
            self.core.handle(self.clock.now(), Input::LedgerWritable(writable), &mut self.outputs);
        }
    }

    fn housekeep(&mut self) {
        let Some(period) = self.sink.housekeeping_interval().filter(|_| self.housekeep_at <= Instant::now())
        else {
            return;
        };
        self.housekeep_at = Instant::now() + period;
        for event in self.sink.housekeep() {
            match event {
                Input::LedgerWritable(writable) => self.set_ledger_writable(writable),
                other => self.feed(other),
            }
        }
        if self.figures_at <= Instant::now() {
            self.figures_at = Instant::now() + FIGURES;
            self.sink.budget_figures(&self.core.budget_figures());
            self.sink.counters(self.core.counters());
        }
        self.carry_out_all();
    }

    /// Carries out outputs; bytes are written at the end of the group of events.
    fn carry_out_all(&mut self) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out(output);
            }
        }
    }

    /// Ends a group of events: all its records go to the ledger in one write, then its bytes to sockets, until nothing is
    /// left that writing causes.
    fn flush(&mut self) {
        loop {
            self.carry_out_all();
            if std::mem::take(&mut self.records_pending) {
                let written = self.sink.flush();
                self.set_ledger_writable(written);
                continue;
            }
            let Some(key) = self.to_write.pop_first() else { return };
            if self.begins_call(key) && self.poll_departures() {
                // A client has gone: the core may have dropped what was to be written.
                self.to_write.insert(key);
                continue;
            }
            self.write(key);
        }
    }

    /// Queues bytes that are written at the end of the group of events.
    fn queue_bytes(&mut self, id: ConnId, bytes: Vec<u8>) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.unsent.is_empty() {
            connection.is_unwritten = true;
            connection.unsent = bytes;
        } else {
            connection.unsent.extend_from_slice(&bytes);
        }
        if connection.state != ConnectionState::Connecting {
            self.to_write.insert(key);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Connect(id, address) => self.connect(id, address),
            Output::Write(id, bytes) => self.queue_bytes(id, bytes),
            Output::Close(id) => self.close(id, AfterClose::Drop),
            Output::CloseAnswered(id) => self.close(id, AfterClose::LeaveUnread),
            Output::CloseIfQuiet(id) => self.close_if_quiet(id),
            Output::Abort(id) => {
                self.connect_retries.forget(id);
                if let Some(key) = self.by_id.get(&id).copied() {
                    self.remove(key);
                }
            }
            Output::Pause(id) => self.pause(id, true),
            Output::Resume(id) => self.pause(id, false),
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
