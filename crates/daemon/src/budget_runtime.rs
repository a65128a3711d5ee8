//! Budgets of a running router: recovery of the ledger, writing it, and the threads that feed the event loop
//! with grants and with the previous process's settlements.

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

/// A full disk, and a full segment, are looked at so often.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest line that the previous process sends.
const SETTLED_LINE_BYTES: u64 = 64 * 1024;

/// The settlements of the previous process: one a line, as JSON.
pub type Predecessor = Box<dyn std::io::BufRead + Send>;

/// Why budgets can't be enforced at a start.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// Another process has the ledger.
    #[error("ledger {}: another process writes this ledger", folder.display())]
    LedgerLocked {
        /// The ledger.
        folder: PathBuf,
    },
    /// The ledger's folder can't be used.
    #[error("ledger {}: {source}", folder.display())]
    Folder {
        /// The ledger.
        folder: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The ledger can't be read or made ready.
    #[error("ledger {}: {source}", folder.display())]
    Ledger {
        /// The ledger.
        folder: PathBuf,
        /// What failed.
        source: LedgerError,
    },
    /// The key of the grants can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// A thread can't be started.
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
    /// How often it is synced.
    pub sync_interval: Duration,
    /// What the event loop was last told of the ledger.
    reported_writable: bool,
    is_failing: bool,
    /// What failed is retried from then on.
    retry_at: Instant,
}

/// What recovery gives.
pub struct Recovered {
    /// The decisions, from all that the ledger holds.
    pub enforcer: BudgetEnforcer,
    /// The ledger, to be written further.
    pub ledger: Ledger,
}

/// Opens the ledger and recovers the budgets' state from it, before the first request is admitted.
/// `predecessor`: the process that is taken over from and has handed the ledger over.
pub fn recover(
    budgets: &Budgets,
    router: &str,
    now: Time,
    predecessor: Option<Predecessor>,
    news: &SyncSender<SinkEvent>,
) -> Result<Recovered, RecoveryError> {
    let (state, writer) = open_ledger(budgets)?;
    if let (Some(file), Some(key)) = (&budgets.grants_file, &budgets.key_file) {
        let (file, key, news) = (file.clone(), grant_files::read_key(key)?, news.clone());
        spawn("grants", move || grant_files::watch(&file, &key, &news))?;
    }
    let enforcer = match predecessor {
        None => BudgetEnforcer::new(router, budgets.plan.clone(), state, now),
        Some(predecessor) => {
            let news = news.clone();
            spawn("inherit", move || inherit(predecessor, &news))?;
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
    // Numbers of damaged records are not given again.
    state.sequence = opened.report.next - 1;
    let records = opened.report.records;
    info!(target: "ledger", records, open = state.open.len(), took_us = start.elapsed().as_micros() as u64, "recovered");
    Ok((state, opened.writer))
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), RecoveryError> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(body);
    thread.map(drop).map_err(RecoveryError::Thread)
}

/// Gives the event loop what the previous process settles, until that has ended.
fn inherit(mut predecessor: Predecessor, news: &SyncSender<SinkEvent>) {
    let mut line = String::new();
    loop {
        line.clear();
        match std::io::BufRead::read_line(
            &mut std::io::Read::take(&mut predecessor, SETTLED_LINE_BYTES),
            &mut line,
        ) {
            Ok(n) if n > 0 => match serde_json::from_str(&line) {
                Ok(settled) => {
                    if news.send(SinkEvent::PredecessorSettled(Box::new(settled))).is_err() {
                        return;
                    }
                }
                Err(e) => {
                    warn!(target: "ledger", "the life before says what is not understood: {e}");
                    break;
                }
            },
            _ => break,
        }
    }
    let _ = news.send(SinkEvent::PredecessorEnded);
}

impl Ledger {
    /// Syncs, retries what failed, and tells the loop of changes.
    pub fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out = Vec::new();
        if let Err(e) = self.writer.sync() {
            warn!(target: "ledger", "syncing: {e}");
        }
        // Each retry costs the loop time: the reserved space is written, all state is copied.
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

    /// Appends a record; a checkpoint begins a new segment.
    pub fn record(&mut self, number: u64, record: &Record) {
        let done = match record {
            Record::State(_) => self.writer.rotate(record),
            _ => self.writer.append(record).map(drop),
        };
        if let Err(e) = done {
            warn!(target: "ledger", number, "{e}");
        }
    }

    /// Hands all records to the system; whether the ledger can be relied on.
    pub fn flush(&mut self) -> bool {
        let done = self.writer.flush();
        if let Err(e) = &done {
            if !std::mem::replace(&mut self.is_failing, true) {
                warn!(target: "ledger", "writing: {e}");
            }
        } else {
            self.is_failing = false;
        }
        self.reported_writable = self.writer.is_writable();
        self.reported_writable
    }
}
