//! Budgets of a running router: recovery and writing of the ledger, and the threads that send grants and the settlements
//! of the previous process to the event loop.

use std::path::PathBuf;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use chalkyard_budget::{BudgetEnforcer, Record, State, Time};
use chalkyard_ledger::{DirectoryVolume, LedgerError, Limits, Writer};
use chalkyard_router::shell::SinkEvent;
use chalkyard_settings::Budgets;
use tracing::{info, warn};

use crate::error::CommandError;
use crate::grant_files::{self, KeyFileError};

/// Interval between retries after a full disk or a full segment.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest line that is read from the previous process, in bytes.
const MAX_SETTLED_LINE_BYTES: u64 = 64 * 1024;

/// The settlements of the previous process, one JSON object per line.
pub type Predecessor = Box<dyn std::io::BufRead + Send>;

/// Why the budgets cannot be recovered at the start.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// Another process has locked the ledger.
    #[error("ledger {}: another process writes this ledger", folder.display())]
    LedgerLocked {
        /// The ledger.
        folder: PathBuf,
    },
    /// The ledger's directory cannot be used.
    #[error("ledger {}: {source}", folder.display())]
    Folder {
        /// The ledger.
        folder: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The ledger cannot be read or prepared for writing.
    #[error("ledger {}: {source}", folder.display())]
    Ledger {
        /// The ledger.
        folder: PathBuf,
        /// What failed.
        source: LedgerError,
    },
    /// The key that verifies grants cannot be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// A thread cannot be started.
    #[error("starting: {0}")]
    Thread(std::io::Error),
}

impl From<RecoveryError> for CommandError {
    fn from(error: RecoveryError) -> Self {
        match error {
            RecoveryError::Key(error) => error.into(),
            error => Self::CouldNotRun(error.to_string()),
        }
    }
}

/// The ledger of a running router.
pub struct Ledger {
    writer: Writer<DirectoryVolume>,
    /// Interval between syncs to disk.
    pub sync_interval: Duration,
    /// Whether the ledger is writable, as last reported to the event loop.
    reported_writable: bool,
    is_failing: bool,
    /// Earliest time of the next retry.
    retry_at: Instant,
}

/// The result of recovery.
pub struct Recovered {
    /// The enforcer, with the state that was recovered from the ledger.
    pub enforcer: BudgetEnforcer,
    /// The ledger, open for appending.
    pub ledger: Ledger,
}

/// Opens the ledger and recovers the state of the budgets from it, before the first request is admitted.
/// `predecessor` is the process that has handed the ledger over, if any.
pub fn recover(
    budgets: &Budgets,
    router: &str,
    now: Time,
    predecessor: Option<Predecessor>,
    events: &SyncSender<SinkEvent>,
) -> Result<Recovered, RecoveryError> {
    let (state, writer) = open_ledger(budgets)?;
    if let (Some(file), Some(key)) = (&budgets.grants_file, &budgets.key_file) {
        let (file, key, events) = (file.clone(), grant_files::read_key(key)?, events.clone());
        spawn("grants", move || grant_files::watch(&file, &key, &events))?;
    }
    let enforcer = match predecessor {
        None => BudgetEnforcer::new(router, budgets.plan.clone(), state, now),
        Some(predecessor) => {
            let events = events.clone();
            spawn("inherit", move || forward_settlements(predecessor, &events))?;
            BudgetEnforcer::take_over(router, budgets.plan.clone(), state, now)
        }
    };
    let ledger = Ledger {
        writer,
        sync_interval: budgets.sync_interval,
        reported_writable: true,
        is_failing: false,
        retry_at: Instant::now(),
    };
    Ok(Recovered { enforcer, ledger })
}

fn open_ledger(budgets: &Budgets) -> Result<(State, Writer<DirectoryVolume>), RecoveryError> {
    let folder = budgets.ledger.clone();
    let volume = match DirectoryVolume::writer(&folder) {
        Ok(volume) => volume,
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
            return Err(RecoveryError::LedgerLocked { folder });
        }
        Err(source) => return Err(RecoveryError::Folder { folder, source }),
    };
    let limits = Limits { segment_bytes: budgets.segment_bytes, ..Limits::default() };
    let (mut state, start) = (State::default(), Instant::now());
    let opened = Writer::open(volume, limits, Record::is_checkpoint, |number, record| {
        state.apply(number, &record);
    });
    let opened = opened.map_err(|source| RecoveryError::Ledger { folder, source })?;
    if let Some(damage) = opened.report.describe_damage() {
        warn!(target: "ledger", "{damage}");
    }
    // Sequence numbers of damaged records are not reused.
    state.sequence = opened.report.next - 1;
    let records = opened.report.records;
    info!(target: "ledger", records, open = state.open.len(), took_us = start.elapsed().as_micros() as u64, "recovered");
    Ok((state, opened.writer))
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), RecoveryError> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(body);
    thread.map(drop).map_err(RecoveryError::Thread)
}

/// Forwards the settlements of the previous process to the event loop until that process has ended.
fn forward_settlements(mut predecessor: Predecessor, events: &SyncSender<SinkEvent>) {
    let mut line = String::new();
    loop {
        line.clear();
        match std::io::BufRead::read_line(
            &mut std::io::Read::take(&mut predecessor, MAX_SETTLED_LINE_BYTES),
            &mut line,
        ) {
            Ok(n) if n > 0 => match serde_json::from_str(&line) {
                Ok(settled) => {
                    if events.send(SinkEvent::PredecessorSettled(Box::new(settled))).is_err() {
                        return;
                    }
                }
                Err(e) => {
                    warn!(target: "ledger", "invalid settlement from the previous process: {e}");
                    break;
                }
            },
            _ => break,
        }
    }
    let _ = events.send(SinkEvent::PredecessorEnded);
}

impl Ledger {
    /// Syncs the ledger, retries failed operations, and returns changes of its state for the event loop.
    pub fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out = Vec::new();
        if let Err(e) = self.writer.sync() {
            warn!(target: "ledger", "cannot sync the ledger: {e}");
        }
        // Retries are rare because they block the event loop: one writes the reserved space and copies the whole state.
        let retry = self.retry_at <= Instant::now();
        if retry {
            self.retry_at = Instant::now() + RETRY_INTERVAL;
            self.writer.retry_reserve();
        }
        if self.reported_writable != self.writer.is_writable() {
            self.reported_writable = self.writer.is_writable();
            out.push(SinkEvent::LedgerWritable(self.reported_writable));
        }
        if retry && self.writer.wants_rotation() {
            out.push(SinkEvent::Checkpoint);
        }
        out
    }

    /// Appends a record; a checkpoint starts a new segment.
    pub fn record(&mut self, number: u64, record: &Record) {
        let done = match record {
            Record::State(_) => self.writer.rotate(record),
            _ => self.writer.append(record).map(drop),
        };
        if let Err(e) = done {
            warn!(target: "ledger", number, "{e}");
        }
    }

    /// Writes all buffered records to the operating system; returns whether the ledger is writable.
    pub fn flush(&mut self) -> bool {
        let done = self.writer.flush();
        if let Err(e) = &done {
            if !std::mem::replace(&mut self.is_failing, true) {
                warn!(target: "ledger", "cannot write the ledger: {e}");
            }
        } else {
            self.is_failing = false;
        }
        self.reported_writable = self.writer.is_writable();
        self.reported_writable
    }
}
