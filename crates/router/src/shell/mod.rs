//! The thin shell: sockets and time for a [`Core`], on mio, one thread.

mod clock;
mod connect;
mod connections;
mod handle;
mod life;
mod listen;
mod ready_queue;
pub mod retry;
mod sink;
mod sock;
mod turn;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_state::{Life, Stop, Terms};
use mio::net::TcpListener;
use mio::{Events, Poll, Token, Waker};
use slab::Slab;

pub use self::clock::{granularity, Clock};
use self::connect::Retries;
use self::connections::READ_BYTES;
use self::handle::Command;
pub use self::handle::{Handle, Question};
pub use self::listen::ListenAddress;
use self::ready_queue::ReadyQueue;
use self::retry::{with_retries, STARTING_TRIES};
pub use self::sink::{Heritage, News, Sink};
use self::sock::{AfterClose, Sock, State};
use crate::{ConnId, Core, Input, Output};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// So many at most may linger, if not told otherwise: those that have been told all give way first, and while more have
/// something to be told no connection is taken.
const LINGERING: usize = 1_024;
/// Events that the system tells at one poll, at most.
const EVENTS: usize = 1_024;
/// Budget figures, and what was done by cause, are told so often.
const FIGURES: Duration = Duration::from_secs(60);
/// A wait that ends so much too late, or a turn of the loop that takes so long, is told: streams stood still as long.
const STALL: Duration = Duration::from_millis(300);

/// Sockets and time for one core.
pub struct Shell<S> {
    poll: Poll,
    /// What the system tells at one poll.
    events: Events,
    /// What it has told and was not handled yet.
    ready: ReadyQueue,
    /// When it was last asked, and when the present turn of the loop is over.
    polled: Instant,
    turn_until: Instant,
    core: Core,
    sink: S,
    clock: Clock,
    life: Life,
    /// Where it listens, or will.
    address: ListenAddress,
    listener: Option<TcpListener>,
    handle: Handle,
    socks: Slab<Sock>,
    by_id: BTreeMap<ConnId, usize>,
    /// Connections with bytes to write, and with bytes to read on.
    dirty: BTreeSet<usize>,
    again: VecDeque<usize>,
    lingering: usize,
    may_linger: usize,
    /// When lingering ones are cut, in order: all linger for the same span.
    cuts: VecDeque<(Instant, usize, ConnId)>,
    accept_at: Option<Instant>,
    /// Connections of ours that could not be begun, and are tried again.
    retries: Retries,
    next_client: u64,
    ended: Option<Stop>,
    outputs: Vec<Output>,
    buffer: Vec<u8>,
    /// Records wait for the ledger, and whether it could be written last.
    unflushed: bool,
    is_writable: bool,
    housekeep_at: Instant,
    figures_at: Instant,
}

/// Whether the loop stood still, and where: in its own work, or in a wait that the machine ended too late.
fn stalled(worked: Duration, wait: Option<Duration>, waited: Duration) -> Option<String> {
    let late = wait.map_or(Duration::ZERO, |wait| waited.saturating_sub(wait));
    (worked >= STALL || late >= STALL).then(|| {
        format!("the loop worked for {} ms, then woke {} ms late", worked.as_millis(), late.as_millis())
    })
}

impl<S: Sink> Shell<S> {
    /// A shell around a core, at the beginning of its life.
    pub fn new(core: Core, sink: S, clock: Clock, address: ListenAddress, terms: Terms) -> io::Result<Self> {
        let poll = with_retries(STARTING_TRIES, Poll::new)?;
        let waker = Arc::new(with_retries(STARTING_TRIES, || Waker::new(poll.registry(), WAKER))?);
        Ok(Self {
            poll,
            events: Events::with_capacity(EVENTS),
            ready: ReadyQueue::default(),
            polled: Instant::now(),
            turn_until: Instant::now(),
            core,
            sink,
            clock,
            life: Life::new(terms, clock.now().0),
            address,
            listener: None,
            handle: Handle { waker, commands: Arc::default() },
            socks: Slab::new(),
            by_id: BTreeMap::new(),
            dirty: BTreeSet::new(),
            again: VecDeque::new(),
            lingering: 0,
            may_linger: LINGERING,
            cuts: VecDeque::new(),
            accept_at: None,
            retries: Retries::default(),
            next_client: 2,
            ended: None,
            outputs: Vec::new(),
            buffer: vec![0; READ_BYTES],
            unflushed: false,
            is_writable: true,
            housekeep_at: Instant::now(),
            figures_at: Instant::now() + FIGURES,
        })
    }

    /// Bounds the connections that linger.
    pub fn bound_lingering(&mut self, most: usize) {
        self.may_linger = most;
    }

    /// A handle to speak to the loop.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until the router's life is over. Tells why, and how many requests were still open.
    pub fn run(&mut self, last_list: Option<&str>) -> io::Result<(Stop, usize)> {
        self.core.start(self.clock.now(), last_list, &mut self.outputs);
        self.finish();
        let mut woke = Instant::now();
        loop {
            let (waits, wait) = (Instant::now(), self.wait());
            let polled = self.poll.poll(&mut self.events, wait);
            let worked = waits.saturating_duration_since(std::mem::replace(&mut woke, Instant::now()));
            if let Some(text) = stalled(worked, wait, woke.saturating_duration_since(waits)) {
                self.sink.note("stall", &text);
            }
            match polled {
                // Nothing was told, but time has passed: what is due goes on.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => self.events.clear(),
                other => other?,
            }
            self.polled = Instant::now();
            self.queue_events();
            self.take_turn();
            self.retry_connects();
            self.feed(Input::Tick);
            self.obey();
            self.housekeep();
            self.finish();
            self.sweep();
            self.watch_life();
            self.finish();
            if let Some(stop) = self.ended {
                self.sink.counters(self.core.counters());
                return Ok((stop, self.core.open_requests()));
            }
        }
    }

    /// Carries out what other threads have asked for.
    fn obey(&mut self) {
        for command in self.handle.take() {
            match command {
                Command::Life(event) => self.live(event),
                // Nobody may be waiting any more.
                Command::Ask(question, answer) => drop(answer.try_send(self.answer(&question))),
                Command::Succeed(answer, decided) => {
                    if !decided.swap(true, Ordering::SeqCst) {
                        self.succeed(&answer);
                    }
                }
            }
        }
    }

    fn wait(&self) -> Option<Duration> {
        if !self.again.is_empty() || !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        // Rounded up to the millisecond that the system waits in: waking too early would spin.
        let core = self.core.next_due().map(|at| Duration::from_micros((at - now).0.max(1)));
        let from = Instant::now();
        let accept = self.accept_at.map(|at| at.saturating_duration_since(from));
        let linger = (self.lingering > 0).then_some(Duration::from_millis(100));
        let life = self.life.due().map(|at| Duration::from_micros(at.saturating_sub(now.0).max(1)));
        let house = self.sink.period().map(|_| self.housekeep_at.saturating_duration_since(from));
        let retry = self.retries.next_due().map(|at| at.saturating_duration_since(from));
        [core, accept, linger, life, house, retry].into_iter().flatten().min()
    }

    fn feed(&mut self, input: Input<'_>) {
        let now = self.clock.now();
        self.core.handle(now, input, &mut self.outputs);
        self.settle();
    }

    fn writable(&mut self, now: bool) {
        if std::mem::replace(&mut self.is_writable, now) != now {
            self.core.handle(self.clock.now(), Input::LedgerWritable(now), &mut self.outputs);
        }
    }

    fn housekeep(&mut self) {
        let Some(period) = self.sink.period().filter(|_| self.housekeep_at <= Instant::now()) else { return };
        self.housekeep_at = Instant::now() + period;
        for news in self.sink.housekeep() {
            match news {
                Input::LedgerWritable(now) => self.writable(now),
                other => self.feed(other),
            }
        }
        if self.figures_at <= Instant::now() {
            self.figures_at = Instant::now() + FIGURES;
            self.sink.figures(&self.core.budget_figures());
            self.sink.counters(self.core.counters());
        }
        self.settle();
    }

    /// Carries out outputs; bytes wait for the group's end.
    fn settle(&mut self) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out(output);
            }
        }
    }

    /// Ends a group of events: all its records are given to the ledger in one write, then its bytes to sockets,
    /// until nothing is left that writing causes.
    fn finish(&mut self) {
        loop {
            self.settle();
            if std::mem::take(&mut self.unflushed) {
                let written = self.sink.flush();
                self.writable(written);
                continue;
            }
            let Some(key) = self.dirty.pop_first() else { return };
            if self.begins_call(key) && self.hear_departures() {
                // A client has gone: what was to be written may not be wanted any more.
                self.dirty.insert(key);
                continue;
            }
            self.write(key);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Connect(id, address) => self.connect(id, address),
            Output::Write(id, bytes) => {
                if let Some(key) = self.by_id.get(&id).copied() {
                    if let Some(sock) = self.socks.get_mut(key) {
                        if sock.out.is_empty() {
                            sock.fresh = true;
                            sock.out = bytes;
                        } else {
                            sock.out.extend_from_slice(&bytes);
                        }
                        if sock.state != State::Connecting {
                            self.dirty.insert(key);
                        }
                    }
                }
            }
            Output::Close(id) => self.close(id, AfterClose::Drop),
            Output::CloseAnswered(id) => self.close(id, AfterClose::LeaveUnread),
            Output::CloseIfQuiet(id) => self.close_if_quiet(id),
            Output::Abort(id) => {
                self.retries.forget(id);
                if let Some(key) = self.by_id.get(&id).copied() {
                    self.remove(key);
                }
            }
            Output::Pause(id) => self.pause(id, true),
            Output::Resume(id) => self.pause(id, false),
            Output::StoreEndpointList(text) => self.sink.keep_list(&text),
            Output::Record(number, record) => {
                self.sink.record(number, &record);
                self.unflushed = true;
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
