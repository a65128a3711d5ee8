//! `chalkyard settle`: the settlement job. Reads all ledgers, and grants and delivers leases.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chalkyard_budget::{
    AccountKey, AccountStart, LeaseAllocator, Plan, Record, Round, SigningKey, State, Time,
};
use chalkyard_ledger::{DirectoryVolume, FollowEvent, Follower, Limits, Writer};
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::error::CommandError;
use crate::files::read_limited;
use crate::grant_files::{deliver, read_key};
use crate::logs;
use crate::wall_clock::now;
use chalkyard_settings::{Budgets, Settlement};

/// Number of rounds that the journal retains for inspection.
const KEPT_ROUNDS: u64 = 64;
/// Largest round file that is read, in bytes.
const MAX_ROUND_BYTES: u64 = 1024 * 1024 * 1024;

/// A manual change by an operator, as an entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adjustment {
    /// Time of the change, by the clock of the operator's machine.
    pub at: Time,
    /// Name of the operator.
    pub by: String,
    /// Reason for the change.
    pub why: String,
    /// The change.
    pub what: Change,
}

/// A manual change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sets a budget in tokens from this period on; none restores the budget of the settings.
    Set(AccountKey, Time, Option<u64>),
    /// Adds tokens (or, if negative, removes them) for the period that begins at this time.
    Grant(AccountKey, Time, i64),
    /// Adds an amount in the currency's smallest unit to the bill of a tenant's class on a day; a negative amount is a credit.
    Bill {
        /// Tenant.
        tenant: String,
        /// Class.
        class: String,
        /// Day.
        day: String,
        /// Amount.
        amount: i64,
    },
}

/// Returns the directory of the adjustments.
pub fn adjustments(settlement: &Settlement) -> PathBuf {
    settlement.journal.join("adjustments")
}

/// All adjustments with their numbers, oldest first. Each record is read from disk once.
pub struct Adjustments {
    follower: Follower,
    folder: PathBuf,
    read: Vec<(u64, Adjustment)>,
}

impl Adjustments {
    /// Creates a reader; the directory does not have to exist yet.
    pub fn new(settlement: &Settlement) -> Self {
        let folder = adjustments(settlement);
        Self { follower: Follower::new(&folder), folder, read: Vec::new() }
    }

    /// Reads new adjustments and returns all of them. After an error the earlier ones are kept.
    pub fn read(&mut self) -> Result<&[(u64, Adjustment)], CommandError> {
        if self.folder.exists() {
            let read = &mut self.read;
            let polled = self.follower.poll(
                |_: &Adjustment| false,
                |item| match item {
                    FollowEvent::Restart => read.clear(),
                    FollowEvent::Record(number, adjustment) => read.push((number, adjustment)),
                },
            );
            let wrong =
                |what: String| CommandError::CouldNotRun(format!("{}: {what}", self.folder.display()));
            if let Some(trouble) = polled.map_err(|e| wrong(e.to_string()))? {
                return Err(wrong(trouble));
            }
        }
        Ok(&self.read)
    }
}

/// Stores an adjustment, which takes effect with the next round, and returns its number.
pub fn add_adjustment(settlement: &Settlement, adjustment: &Adjustment) -> Result<u64, CommandError> {
    let folder = adjustments(settlement);
    let wrong = |e: String| CommandError::CouldNotRun(format!("{}: {e}", folder.display()));
    let volume = DirectoryVolume::writer(&folder).map_err(|e| wrong(e.to_string()))?;
    let limits = Limits { reserve_bytes: 0, ..Limits::default() };
    let opened =
        Writer::open(volume, limits, |_: &Adjustment| false, |_, _| {}).map_err(|e| wrong(e.to_string()))?;
    let mut writer = opened.writer;
    let number = writer.append(adjustment).map_err(|e| wrong(e.to_string()))?;
    writer.flush().map_err(|e| wrong(e.to_string()))?;
    // The adjustment is synced to disk before the command reports success.
    std::fs::File::open(folder.join(chalkyard_ledger::segment_name(1)))
        .and_then(|f| f.sync_all())
        .map_err(|e| wrong(e.to_string()))?;
    Ok(number)
}

/// Returns the plan with the adjusted limits, and the granted tokens by period, in thousandths.
pub fn adjusted(plan: &Plan, changes: &[(u64, Adjustment)]) -> (Plan, BTreeMap<AccountStart, i64>) {
    let (settings, mut plan) = (plan, plan.clone());
    let mut extra: BTreeMap<AccountStart, i64> = BTreeMap::new();
    for (_, change) in changes {
        match &change.what {
            Change::Set(key, _, tokens) => {
                let by_settings = settings.limits.get(key).map(|l| l.hard);
                let hard = tokens.map(chalkyard_budget::Units::tokens).or(by_settings);
                if let (Some(limit), Some(hard)) = (plan.limits.get_mut(key), hard) {
                    limit.hard = hard;
                }
            }
            Change::Grant(key, start, tokens) => {
                let sum = extra.entry(AccountStart { key: key.clone(), start: *start }).or_default();
                *sum = sum.saturating_add(tokens.saturating_mul(1_000));
            }
            Change::Bill { .. } => {}
        }
    }
    (plan, extra)
}

/// The journal: a directory with one file per round.
pub struct Journal {
    folder: PathBuf,
    key: SigningKey,
}

fn round_file(number: u64) -> String {
    format!("round-{number:012}")
}

impl Journal {
    /// Opens the journal and creates the directory if it is missing.
    pub fn open(folder: &Path, key: SigningKey) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder.join("grants"))?;
        Ok(Self { folder: folder.into(), key })
    }

    fn numbers(&self) -> std::io::Result<Vec<u64>> {
        let mut out = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            let number: Option<u64> =
                name.to_str().and_then(|n| n.strip_prefix("round-")).and_then(|n| n.parse().ok());
            out.extend(number);
        }
        out.sort_unstable();
        Ok(out)
    }

    /// Returns the newest round if its number is greater than `than`.
    pub fn newer(&self, than: u64) -> Result<Option<Round>, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", self.folder.display());
        let Some(number) = self.numbers().map_err(wrong)?.pop().filter(|n| *n > than) else {
            return Ok(None);
        };
        let path = self.folder.join(round_file(number));
        let bytes = read_limited(&path, MAX_ROUND_BYTES).map_err(|e| format!("{}: {e}", path.display()))?;
        let round = self.key.open_round(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
        if round.number != number {
            return Err(format!("{}: holds round {}", path.display(), round.number));
        }
        Ok(Some(round))
    }

    /// Publishes a round under its number; returns false if another job has published that number. The round is written
    /// to a temporary file and hard-linked, so that it appears completely or not at all; the link fails if the name exists.
    pub fn publish(&self, round: &Round) -> std::io::Result<bool> {
        let fresh = self.folder.join(format!("new-{}-{}", std::process::id(), round.number));
        let mut file = std::fs::File::create(&fresh)?;
        std::io::Write::write_all(&mut file, &self.key.sign_round(round))?;
        file.sync_all()?;
        let linked = std::fs::hard_link(&fresh, self.folder.join(round_file(round.number)));
        std::fs::remove_file(&fresh)?;
        match linked {
            Ok(()) => std::fs::File::open(&self.folder)?.sync_all().map(|()| true),
            Err(e) if e.kind() == std::io::ErrorKind::AlreadyExists => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Writes the grants of a round to the routers' files.
    pub fn deliver(&self, round: &Round) {
        let folder = self.folder.join("grants");
        for grant in &round.grants {
            if let Err(e) = deliver(&folder, &self.key, grant) {
                warn!(target: "settle", router = &*grant.router, "grant not delivered, retrying with the next round: {e}");
            }
        }
    }

    fn remove_old_rounds(&self, newest: u64) {
        for old in self.numbers().unwrap_or_default().into_iter().filter(|n| n + KEPT_ROUNDS < newest) {
            let _ = std::fs::remove_file(self.folder.join(round_file(old)));
        }
    }
}

/// Follows the ledgers of all routers and keeps the state of each.
pub struct Sums {
    ledgers: Vec<(String, Follower, State)>,
}

impl Sums {
    /// Creates followers for the routers of a settlement.
    pub fn new(settlement: &Settlement) -> Self {
        let each =
            |(name, folder): &(String, PathBuf)| (name.clone(), Follower::new(folder), State::default());
        Self { ledgers: settlement.routers.iter().map(each).collect() }
    }

    /// Reads new records. A ledger that cannot be read keeps its last known state, so its leases still count.
    pub fn read(&mut self, allocator: &mut LeaseAllocator) {
        for (name, follower, state) in &mut self.ledgers {
            let read_at = now();
            let polled = follower.poll(Record::is_checkpoint, |item| match item {
                FollowEvent::Restart => *state = State::default(),
                FollowEvent::Record(number, record) => {
                    state.apply(number, &record);
                }
            });
            match polled {
                Ok(trouble) => {
                    if let Some(trouble) = trouble {
                        warn!(target: "settle", router = name, "{trouble}");
                    }
                    allocator.observe(name, read_at, state);
                }
                Err(e) => warn!(target: "settle", router = name, "its ledger can't be read: {e}"),
            }
        }
    }
}

/// Returns the settlement settings and the signing key.
pub fn parts(budgets: &Budgets) -> Result<(&Settlement, SigningKey), CommandError> {
    let missing = |what: &str| CommandError::BadInput(format!("the settings' <budgets> has no {what}"));
    let settlement = budgets.settlement.as_ref().ok_or_else(|| missing("<settlement>"))?;
    let key = budgets.key_file.as_ref().ok_or_else(|| missing("`key-file`"))?;
    Ok((settlement, read_key(key)?))
}

/// Creates an allocator with the state of the journal's newest round.
pub fn restore_allocator(
    plan: &Plan,
    settlement: &Settlement,
    journal: &Journal,
) -> Result<LeaseAllocator, CommandError> {
    let names: Vec<&str> = settlement.routers.iter().map(|(n, _)| n.as_str()).collect();
    let mut allocator = LeaseAllocator::new(plan.clone(), settlement.terms, &names);
    catch_up(&mut allocator, journal)?;
    Ok(allocator)
}

fn catch_up(allocator: &mut LeaseAllocator, journal: &Journal) -> Result<(), CommandError> {
    if let Some(newest) = journal.newer(allocator.head()).map_err(CommandError::CouldNotRun)? {
        allocator.apply_round(&newest);
    }
    Ok(())
}

/// Runs rounds until it is stopped; SIGHUP reloads the settings.
pub fn settle(file: &PathBuf, rounds: Option<u64>) -> Result<ExitCode, CommandError> {
    logs::start("info");
    // Handlers are installed before any slow step: an earlier signal kills the process.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    let none = || CommandError::BadInput(format!("{}: no <budgets>", file.display()));
    let mut budgets = crate::load(file)?.budgets.ok_or_else(none)?;
    let (settlement, key) = parts(&budgets)?;
    let settlement = settlement.clone();
    let journal = Journal::open(&settlement.journal, key)
        .map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", settlement.journal.display())))?;
    let mut allocator = restore_allocator(&budgets.plan, &settlement, &journal)?;
    let mut adjustments = Adjustments::new(&settlement);
    let mut sums = Sums::new(&settlement);
    info!(target: "settle", routers = settlement.routers.len(), "ready");
    let epoch = Duration::from_micros(settlement.terms.epoch);
    let (mut next, mut done) = (Instant::now(), 0);
    while rounds.is_none_or(|most| done < most) {
        while Instant::now() < next {
            std::thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
            for signal in signals.pending() {
                if signal != SIGHUP {
                    info!(target: "settle", signal, "stopped");
                    return Ok(ExitCode::SUCCESS);
                }
                match crate::load(file).map(|s| s.budgets) {
                    Ok(Some(fresh)) => budgets.plan = fresh.plan,
                    Ok(None) => warn!(target: "settle", "settings not reloaded: no <budgets>"),
                    Err(CommandError::BadInput(why) | CommandError::CouldNotRun(why)) => {
                        warn!(target: "settle", "settings not reloaded, the old ones stay in force: {why}");
                    }
                }
            }
        }
        next = Instant::now() + epoch;
        done += 1;
        match adjustments.read() {
            Ok(changes) => {
                let (plan, extra) = adjusted(&budgets.plan, changes);
                allocator.set_plan(plan, extra);
            }
            Err(CommandError::BadInput(why) | CommandError::CouldNotRun(why)) => {
                warn!(target: "settle", "{why}")
            }
        }
        run_round(&mut allocator, &mut sums, &journal)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs one round: reads the ledgers, allocates leases, publishes the round and delivers the grants. If another job has
/// published this number, the next run applies that round first, at the next epoch.
fn run_round(allocator: &mut LeaseAllocator, sums: &mut Sums, journal: &Journal) -> Result<(), CommandError> {
    catch_up(allocator, journal)?;
    sums.read(allocator);
    let round = allocator.next_round(now()).map_err(|fork| CommandError::CouldNotRun(fork.to_string()))?;
    match journal.publish(&round) {
        Ok(true) => {
            allocator.apply_round(&round);
            journal.deliver(&round);
            journal.remove_old_rounds(round.number);
        }
        Ok(false) => info!(target: "settle", number = round.number, "another job has published this round"),
        Err(e) => warn!(target: "settle", number = round.number, "cannot publish the round: {e}"),
    }
    Ok(())
}

#[cfg(test)]
#[path = "settle_test.rs"]
mod tests;
