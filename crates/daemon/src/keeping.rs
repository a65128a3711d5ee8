//! Budgets kept by a running router: recovery, the ledger behind the loop, leases and reloads beside it.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_budget::{BudgetEnforcer, Figures, Grant, Record, Settled, SigningKey, State, Time};
use chalkyard_ledger::{DirectoryVolume, Limits, Writer};
use chalkyard_router::shell::{Sink, SinkEvent};
use chalkyard_router::{Counters, Finished, Tally, Transition};
use chalkyard_state::LifecycleAction;
use tracing::{info, warn};

use crate::line_budget::LineBudget;
use crate::logs::Log;
use crate::reload::Reloader;
use crate::{notify, Trouble};
use chalkyard_settings::Budgets;

/// A grant is looked for so often.
const LOOK: Duration = Duration::from_millis(50);
/// Bytes of a grant's file that are read.
const GRANT_BYTES: u64 = 64 * 1024 * 1024;
/// News that wait for the loop, and that it takes at a time; who has more waits.
pub const WAITING: usize = 1_024;
/// A full disk, and a segment that is full, are looked at so often.
const AGAIN: Duration = Duration::from_secs(1);
/// Without a ledger, news are looked for so often.
const PERIOD: Duration = Duration::from_millis(200);
/// Longest line of the life before.
const SETTLED_BYTES: u64 = 64 * 1024;
/// Settlements that wait for the successor: as many as requests can be open.
const SETTLEMENTS: usize = 100_000;
/// Requests that ended lately and can still be asked for.
const RECENT: usize = 1_000;

/// Whether a record holds all state so far.
pub fn is_checkpoint(record: &Record) -> bool {
    matches!(record, Record::State(_))
}

/// Reads a file, at most so much of it.
pub fn read_some(path: &Path, most: u64) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    std::fs::File::open(path)?.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads the key under which leases are signed.
pub fn read_key(path: &Path) -> Result<SigningKey, Trouble> {
    let text =
        std::fs::read_to_string(path).map_err(|e| Trouble::BadInput(format!("{}: {e}", path.display())))?;
    SigningKey::new(&text).map_err(|why| Trouble::BadInput(format!("{}: {why}", path.display())))
}

/// The ledger of a running router.
pub struct Ledger {
    writer: Writer<DirectoryVolume>,
    sync: Duration,
    told: bool,
    failing: bool,
    /// What failed is tried again from then on.
    again: Instant,
}

/// What the life before still has to say: one settlement a line, as JSON.
pub type Before = Box<dyn std::io::BufRead + Send>;

/// What recovery gave.
pub struct Recovered {
    /// The decisions, with all that the ledger told.
    pub enforcer: BudgetEnforcer,
    /// To go on writing.
    pub ledger: Ledger,
}

/// Opens the ledger and restores the budgets' state from it; before the first request is taken.
/// `before`: the life that is taken over from, which has given the ledger up.
pub fn recover(
    budgets: &Budgets,
    router: &str,
    now: Time,
    before: Option<Before>,
    news: &SyncSender<SinkEvent>,
) -> Result<Recovered, Trouble> {
    let at = budgets.ledger.display();
    let folder = DirectoryVolume::writer(&budgets.ledger).map_err(|e| match e.kind() {
        std::io::ErrorKind::WouldBlock => {
            Trouble::CouldNotRun(format!("ledger {at}: another process writes this ledger"))
        }
        _ => Trouble::CouldNotRun(format!("ledger {at}: {e}")),
    })?;
    let limits = Limits { segment_bytes: budgets.segment, ..Limits::default() };
    let (mut state, start) = (State::default(), Instant::now());
    let opened = Writer::open(folder, limits, is_checkpoint, |number, record| {
        state.take(number, &record);
    });
    let opened = opened.map_err(|e| Trouble::CouldNotRun(format!("ledger {at}: {e}")))?;
    if let Some(trouble) = opened.report.describe_damage() {
        warn!(target: "ledger", "{trouble}");
    }
    // Numbers of records that were damaged are not given again.
    state.sequence = opened.report.next - 1;
    let records = opened.report.records;
    info!(target: "ledger", records, open = state.open.len(), took_us = start.elapsed().as_micros() as u64, "recovered");
    if let (Some(file), Some(key)) = (&budgets.grants, &budgets.key_file) {
        let (file, key, news) = (file.clone(), read_key(key)?, news.clone());
        let watch = move || watch(&file, &key, &news);
        let thread = std::thread::Builder::new().name("grants".into()).spawn(watch);
        thread.map_err(|e| Trouble::CouldNotRun(format!("starting: {e}")))?;
    }
    let enforcer = match before {
        None => BudgetEnforcer::new(router, budgets.plan.clone(), state, now),
        Some(before) => {
            let news = news.clone();
            let listen = move || inherit(before, &news);
            let thread = std::thread::Builder::new().name("inherit".into()).spawn(listen);
            thread.map_err(|e| Trouble::CouldNotRun(format!("starting: {e}")))?;
            BudgetEnforcer::succeed(router, budgets.plan.clone(), state, now)
        }
    };
    let ledger = Ledger {
        writer: opened.writer,
        sync: budgets.sync,
        told: true,
        failing: false,
        again: Instant::now(),
    };
    Ok(Recovered { enforcer, ledger })
}

/// Gives the loop what the life before settles, until it is over.
fn inherit(mut before: Before, news: &SyncSender<SinkEvent>) {
    let mut line = String::new();
    loop {
        line.clear();
        match std::io::BufRead::read_line(&mut std::io::Read::take(&mut before, SETTLED_BYTES), &mut line) {
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

/// Looks for new grants until the loop is gone.
fn watch(file: &Path, key: &SigningKey, news: &SyncSender<SinkEvent>) {
    let mut last = Vec::new();
    loop {
        std::thread::sleep(LOOK);
        let Ok(bytes) = read_some(file, GRANT_BYTES) else { continue };
        if bytes == last {
            continue;
        }
        match key.open_grant(&bytes) {
            Ok(grant) => {
                if news.send(SinkEvent::LeaseGranted(Box::new(grant))).is_err() {
                    return;
                }
            }
            Err(why) => warn!(target: "budget", "{}: {why}", file.display()),
        }
        last = bytes;
    }
}

impl Ledger {
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out = Vec::new();
        if let Err(e) = self.writer.sync() {
            warn!(target: "ledger", "syncing: {e}");
        }
        // Each try is work for the loop: the space kept aside is written, all sums are copied.
        let again = self.again <= Instant::now();
        if again {
            self.again = Instant::now() + AGAIN;
            self.writer.retry_reserve();
        }
        if self.told != self.writer.is_writable() {
            self.told = self.writer.is_writable();
            out.push(SinkEvent::LedgerWritable(self.told));
        }
        if again && self.writer.wants_rotation() {
            out.push(SinkEvent::Checkpoint);
        }
        out
    }

    fn record(&mut self, number: u64, record: &Record) {
        let done = match record {
            Record::State(_) => self.writer.rotate(record),
            _ => self.writer.append(record).map(drop),
        };
        if let Err(e) = done {
            warn!(target: "ledger", number, "{e}");
        }
    }

    fn flush(&mut self) -> bool {
        let done = self.writer.flush();
        if let Err(e) = &done {
            if !std::mem::replace(&mut self.failing, true) {
                warn!(target: "ledger", "writing: {e}");
            }
        } else {
            self.failing = false;
        }
        self.told = self.writer.is_writable();
        self.told
    }
}

/// Tells the log, and keeps the ledger.
pub struct Keeping {
    /// The log.
    pub log: Log,
    /// Lines about changes of single requests.
    pub lines: LineBudget,
    /// The ledger, where budgets are kept.
    pub ledger: Option<Ledger>,
    /// The successor that the ledger went to.
    pub heir: Option<SyncSender<Settled>>,
    /// Requests that ended lately, newest last.
    pub recent: VecDeque<Finished>,
    /// What the first ready line says.
    pub name: String,
    /// Likewise.
    pub seed: u64,
    /// It was said.
    pub ready: bool,
    /// When the process began.
    pub began: Instant,
    /// Reads the settings again.
    pub reloader: Arc<Reloader>,
    /// What other threads have for the loop.
    pub news: Receiver<SinkEvent>,
}

impl Sink for Keeping {
    fn finished(&mut self, record: Finished) {
        self.log.finished(&record);
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }

    fn transition(&mut self, transition: &Transition) {
        if self.lines.take(Instant::now()).is_some() {
            self.log.transition(transition);
        }
    }

    fn counters(&mut self, counters: &Counters) {
        self.log.counters(counters);
    }

    fn tally(&mut self, tally: &Tally) {
        self.log.tally(tally);
    }

    fn recent_request(&self, id: &str) -> Option<String> {
        let record = self.recent.iter().rev().find(|r| r.id == id)?;
        serde_json::to_string(record).ok()
    }

    fn lifecycle_action(&mut self, act: LifecycleAction, at: Option<SocketAddr>) {
        match act {
            LifecycleAction::NotifyReady => {
                notify::say("READY=1\n");
                if !std::mem::replace(&mut self.ready, true) {
                    let at = at.map(|a| a.to_string());
                    let took_us = self.began.elapsed().as_micros() as u64;
                    info!(target: "router", name = self.name, seed = self.seed, at, took_us, "ready");
                }
            }
            LifecycleAction::NotifyReloading => notify::say("RELOADING=1\n"),
            LifecycleAction::NotifyStopping => notify::say("STOPPING=1\n"),
            LifecycleAction::StopAccepting { .. } => info!(target: "router", "takes nothing new"),
            LifecycleAction::ResumeAccepting => info!(target: "router", "takes requests again"),
            LifecycleAction::AnswerOpenRequests => {
                info!(target: "router", "what is open is told that the router stops")
            }
            LifecycleAction::Listen
            | LifecycleAction::EnterLameDuck
            | LifecycleAction::ReloadSettings
            | LifecycleAction::Exit(_) => {}
        }
    }

    fn hand_over_ledger(&mut self) -> Option<Receiver<Settled>> {
        let mut ledger = self.ledger.take()?;
        // What can't be written now is lost to the successor: it settles it as orphaned.
        ledger.flush();
        let (heir, settled) = sync_channel(SETTLEMENTS);
        self.heir = Some(heir);
        Some(settled)
    }

    /// Beside the loop: files are read.
    fn reload(&mut self) {
        let reloader = self.reloader.clone();
        let read = move || reloader.reload();
        if let Err(e) = std::thread::Builder::new().name("reload".into()).spawn(read) {
            warn!(target: "router", "not reloaded: {e}");
        }
    }

    fn note(&mut self, what: &str, text: &str) {
        self.log.note(what, text);
    }

    fn store_endpoint_list(&mut self, text: &str) {
        self.log.keep_list(text);
    }

    fn record(&mut self, number: u64, record: &Record) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record(number, record);
        } else if let (Some(heir), Record::Settled(settled)) = (&self.heir, record) {
            let _ = heir.try_send(settled.clone());
        }
    }

    fn flush(&mut self) -> bool {
        self.ledger.as_mut().is_none_or(Ledger::flush)
    }

    fn period(&self) -> Option<Duration> {
        Some(self.ledger.as_ref().map_or(PERIOD, |l| l.sync))
    }

    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out: Vec<SinkEvent> = self.news.try_iter().take(WAITING).collect();
        out.extend(self.ledger.as_mut().map(Ledger::housekeep).unwrap_or_default());
        out
    }

    fn figures(&mut self, figures: &BTreeMap<Box<str>, Figures>) {
        for (tenant, f) in figures {
            info!(
                target: "budget",
                tenant = &**tenant,
                spent_units = f.spent,
                reserved_units = f.reserved,
                stranded_units = f.stranded,
                refused = f.refused,
                "figures"
            );
        }
    }
}

/// The time of day.
pub fn now() -> Time {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Time(since.as_micros() as u64)
}

/// Writes a file beside its place and renames it: readers see the old one or the new one.
pub fn replace(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let fresh = path.with_extension(format!("new-{}", std::process::id()));
    let mut file = std::fs::File::create(&fresh)?;
    std::io::Write::write_all(&mut file, bytes)?;
    file.sync_data()?;
    std::fs::rename(&fresh, path)
}

/// A grant as it is written to its file.
pub fn deliver(folder: &Path, key: &SigningKey, grant: &Grant) -> std::io::Result<()> {
    replace(&folder.join(format!("{}.grant", grant.router)), &key.sign_grant(grant))
}
