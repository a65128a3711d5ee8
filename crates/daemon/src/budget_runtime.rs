//! Budgets of a running router: recovery and writing of the ledger, and the threads that send grants and the settlements
//! of the previous process to the event loop.

use std::io::{BufRead, Read};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use chalkyard_budget::{BudgetEnforcer, Record, SigningKey, State, Time};
use chalkyard_ledger::{DirectoryVolume, LedgerError, Limits, Report, Writer};
use chalkyard_router::shell::SinkEvent;
use chalkyard_settings::Budgets;
use tracing::{info, warn};

use crate::error::CommandError;
use crate::grant_files::{self, KeyFileError};

/// Interval between retries after a full disk or a full segment.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest line that is read from the previous process, in bytes.
const MAX_SETTLED_LINE_BYTES: u64 = 64 * 1024;

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

/// A ledger that was read and not yet opened for writing.
pub struct RecoveredLedger {
    volume: DirectoryVolume,
    report: Report,
    state: State,
    /// Verifies grants.
    grants_key: Option<(PathBuf, SigningKey)>,
}

/// What was before this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// No process that goes on.
    Restart,
    /// A process that still settles its open requests; see [`inherit_settlements`].
    Predecessor,
}

/// Opens the ledger and recovers the state of the budgets from it, before the first request is admitted.
///
/// # Errors
/// The ledger or the key of the grants can't be used.
pub fn recover(
    budgets: &Budgets,
    router: &str,
    now: Time,
    events: &SyncSender<SinkEvent>,
) -> Result<(BudgetEnforcer, Ledger), RecoveryError> {
    let recovered = read_ledger(budgets, open_volume(budgets)?)?;
    recovered.open(budgets, router, now, Origin::Restart, events)
}

/// Opens the ledger's folder and locks it.
///
/// # Errors
/// The folder can't be used, or another process has locked it.
pub fn open_volume(budgets: &Budgets) -> Result<DirectoryVolume, RecoveryError> {
    let folder = budgets.ledger.clone();
    match DirectoryVolume::writer(&folder) {
        Ok(volume) => Ok(volume),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Err(RecoveryError::LedgerLocked { folder }),
        Err(source) => Err(RecoveryError::Folder { folder, source }),
    }
}

/// Reads the ledger and the key of the grants, and changes nothing.
///
/// # Errors
/// The ledger or the key can't be read.
pub fn read_ledger(budgets: &Budgets, volume: DirectoryVolume) -> Result<RecoveredLedger, RecoveryError> {
    let grants_key = match (&budgets.grants_file, &budgets.key_file) {
        (Some(file), Some(key)) => Some((file.clone(), grant_files::read_key(key)?)),
        _ => None,
    };
    let (mut state, start) = (State::default(), Instant::now());
    let report = Writer::read(&volume, Record::is_checkpoint, |number, record| {
        state.apply(number, &record);
    })
    .map_err(|source| RecoveryError::Ledger { folder: budgets.ledger.clone(), source })?;
    if let Some(damage) = report.describe_damage() {
        warn!(target: "ledger", "{damage}");
    }
    // Sequence numbers of damaged records are not reused.
    state.sequence = report.next - 1;
    let records = report.records;
    info!(target: "ledger", records, open = state.open.len(), took_us = start.elapsed().as_micros() as u64, "recovered");
    Ok(RecoveredLedger { volume, report, state, grants_key })
}

impl RecoveredLedger {
    /// Opens the ledger for writing and watches the grants.
    ///
    /// # Errors
    /// The ledger can't be prepared, or a thread can't be started.
    pub fn open(
        self,
        budgets: &Budgets,
        router: &str,
        now: Time,
        origin: Origin,
        events: &SyncSender<SinkEvent>,
    ) -> Result<(BudgetEnforcer, Ledger), RecoveryError> {
        let limits = Limits { segment_bytes: budgets.segment_bytes, ..Limits::default() };
        let writer = Writer::resume(self.volume, limits, &self.report)
            .map_err(|source| RecoveryError::Ledger { folder: budgets.ledger.clone(), source })?;
        if let Some((file, key)) = self.grants_key {
            let events = events.clone();
            spawn("grants", move || grant_files::watch(&file, &key, &events))?;
        }
        let plan = budgets.plan.clone();
        let enforcer = match origin {
            Origin::Restart => BudgetEnforcer::new(router, plan, self.state, now),
            Origin::Predecessor => BudgetEnforcer::take_over(router, plan, self.state, now),
        };
        let ledger = Ledger {
            writer,
            sync_interval: budgets.sync_interval,
            reported_writable: true,
            is_failing: false,
            retry_at: Instant::now(),
        };
        Ok((enforcer, ledger))
    }
}

/// Forwards the settlements of the predecessor to the event loop, on a thread of their own. Without a thread its open
/// requests are settled as orphaned.
pub fn inherit_settlements(predecessor: impl BufRead + Send + 'static, events: &SyncSender<SinkEvent>) {
    let forwarded = events.clone();
    if let Err(e) = spawn("inherit", move || forward_settlements(predecessor, &forwarded)) {
        warn!(target: "ledger", "the predecessor's settlements are lost: {e}");
        let _ = events.try_send(SinkEvent::PredecessorEnded);
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), RecoveryError> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(body);
    thread.map(drop).map_err(RecoveryError::Thread)
}

/// Forwards the settlements of the previous process to the event loop until that process has ended.
fn forward_settlements(mut predecessor: impl BufRead, events: &SyncSender<SinkEvent>) {
    let mut line = String::new();
    loop {
        line.clear();
        match (&mut predecessor).take(MAX_SETTLED_LINE_BYTES).read_line(&mut line) {
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
    /// Returns the lock of the ledger for a successor.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn share_lock(&self) -> std::io::Result<Option<OwnedFd>> {
        self.writer.volume().share_lock()
    }

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
