//! The events observed by the simulated parts of one run, in order of time. Serialized names can differ from the names
//! used here.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::Serialize;

use super::plan::{Repeat, WorkerRole};

/// An event observed by a simulated worker, client or discovery agent.
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
    /// The client has received the head of an answer.
    AnswerBegan { id: String, status: u16 },
    /// The client has received the complete answer.
    AnswerEnded { id: String },
    /// The connection ended before the answer was complete.
    AnswerLost { id: String, begun: bool },
    /// The client closed the connection before the answer was complete.
    ClientLeft { id: String },
    /// A running worker has received the last byte of a call.
    Arrived {
        id: String,
        worker: usize,
        role: WorkerRole,
        #[serde(rename = "told_us")]
        timeout_us: Option<u64>,
        #[serde(rename = "was_hung")]
        after_hang: bool,
    },
    /// A worker has finished an attempt, with any outcome.
    AttemptOver { id: String, worker: usize },
    /// A prefill has succeeded and its worker has reserved the KV state.
    #[serde(rename = "held")]
    Reserved { id: String, worker: usize },
    /// A running decode worker has fetched the state.
    #[serde(rename = "taken")]
    Fetched { id: String },
    /// A running worker has received the request to release the state, or has lost the state with its process.
    Released { id: String },
    /// The effect of a request has happened, or may have happened.
    Ran { id: String, worker: usize },
    /// A worker has written a complete answer.
    Written { id: String, worker: usize },
    /// A router was notified whether a worker takes new work.
    #[serde(rename = "told")]
    Notified { router: usize, worker: usize, takes_work: bool },
    /// A router process was started.
    RouterStarted { router: usize },
    /// A router process was sent SIGTERM.
    #[serde(rename = "router_told")]
    RouterTerminated { router: usize },
    /// A router process has ended: `killed` by the soak, or by itself with this exit code.
    RouterEnded { router: usize, killed: bool, code: Option<i32> },
    /// A router process was stopped by a planned fault.
    RouterStalled { router: usize },
    /// The log of a router reported a number of violated obligations.
    Violations { router: usize, count: u64 },
    /// A line of a router's log that reports a violation.
    ViolationLine { router: usize, line: String },
    /// A line of a router's log.
    Logged { router: usize, line: String },
    /// A router's descriptors and resident memory.
    Size { router: usize, descriptors: usize, memory_kb: u64 },
    /// The soak process itself was not scheduled for this long.
    MachineStalled { for_us: u64 },
}

/// The record shared by all simulated parts.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u64, Event)>>>,
}

impl Record {
    /// Creates an empty record whose clock starts now.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Time since the start of the record, µs.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Appends an event with the current time.
    pub fn add(&self, event: Event) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read while the lock is held, so that lines are in order of time.
        lines.push((self.started.elapsed().as_micros() as u64, event));
    }

    /// Returns a copy of all events with their times, µs.
    pub fn lines(&self) -> Vec<(u64, Event)> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
