//! The events on the sockets of one seed, in order of time. Serialized names are older than the ones used here.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::Serialize;

use super::plan::{Repeat, WorkerRole};

/// Something that one of the fakes saw.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A client has written the last byte of a request.
    Asked {
        id: String,
        router: usize,
        class: usize,
        repeat: Repeat,
        deadline_us: u64,
        first_on_connection: bool,
    },
    /// The head of an answer has come.
    AnswerBegan { id: String, status: u16 },
    /// The answer was complete.
    AnswerEnded { id: String },
    /// The connection ended before the answer was complete.
    AnswerLost { id: String, begun: bool },
    /// The client has gone.
    ClientLeft { id: String },
    /// A call's last byte has reached a running worker.
    Arrived {
        id: String,
        worker: usize,
        role: WorkerRole,
        #[serde(rename = "told_us")]
        timeout_us: Option<u64>,
        #[serde(rename = "was_hung")]
        after_hang: bool,
    },
    /// An attempt is over at its worker, for whatever reason.
    AttemptOver { id: String, worker: usize },
    /// A prefill has succeeded: its worker reserves KV state.
    #[serde(rename = "held")]
    Reserved { id: String, worker: usize },
    /// A running decode worker has fetched the state.
    #[serde(rename = "taken")]
    Fetched { id: String },
    /// A running worker got the request to release it.
    Released { id: String },
    /// A request has, or may have, had its effect.
    Ran { id: String, worker: usize },
    /// A worker has written an answer to its end.
    Written { id: String, worker: usize },
    /// A router was notified that a worker takes nothing new, or that it does.
    #[serde(rename = "told")]
    Notified { router: usize, worker: usize, takes_work: bool },
    /// A router process began, was told to end, and has ended.
    RouterStarted { router: usize },
    /// See `RouterStarted`.
    #[serde(rename = "router_told")]
    RouterTerminated { router: usize },
    /// Its process is gone; `killed` by the soak, or by itself with this exit code.
    RouterEnded { router: usize, killed: bool, code: Option<i32> },
    /// A router stood still by the soak's wish.
    RouterStalled { router: usize },
    /// The log of a router told that obligations ran out.
    Violations { router: usize, count: u64 },
    /// A line of a router's log that tells of one.
    ViolationLine { router: usize, line: String },
    /// A line of a router's log.
    Logged { router: usize, line: String },
    /// A router's descriptors and resident memory.
    Size { router: usize, descriptors: usize, memory_kb: u64 },
    /// The fakes' own machine stood still for so long.
    MachineStalled { for_us: u64 },
}

/// A record that all fakes write to.
#[derive(Debug, Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u64, Event)>>>,
}

impl Record {
    /// An empty one that begins now.
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    /// µs since the beginning.
    pub fn now_us(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// Records an event that happens now.
    pub fn add(&self, event: Event) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Within the lock, so that the order is the order of time.
        lines.push((self.begun.elapsed().as_micros() as u64, event));
    }

    /// All that was seen.
    pub fn lines(&self) -> Vec<(u64, Event)> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
