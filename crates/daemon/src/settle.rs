//! `chalkyard settle`: the settlement job. Reads all ledgers, grants leases, delivers them.

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

/// Rounds kept in the journal, for whoever wants to look.
const KEPT: u64 = 64;
const ROUND_BYTES: u64 = 1024 * 1024 * 1024;

/// What an operator changed by hand; the audit trail of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adjustment {
    /// When, by the clock of who did it.
    pub at: Time,
    /// Who.
    pub by: String,
    /// Why.
    pub why: String,
    /// What.
    pub what: Change,
}

/// A change by hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Another budget from this period on, in tokens; none: as the settings say.
    Set(AccountKey, Time, Option<u64>),
    /// So many tokens more (or less) for the one period that begins then.
    Grant(AccountKey, Time, i64),
    /// An amount in the currency's smallest unit on (or off) the bill of a tenant's class on a day.
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

/// The folder of adjustments.
pub fn adjustments(settlement: &Settlement) -> PathBuf {
    settlement.journal.join("adjustments")
}

/// All adjustments with their numbers, oldest first; each is read once.
pub struct Adjustments {
    follower: Follower,
    folder: PathBuf,
    read: Vec<(u64, Adjustment)>,
}

impl Adjustments {
    /// Of a settlement, which need not have any yet.
    pub fn new(settlement: &Settlement) -> Self {
        let folder = adjustments(settlement);
        Self { follower: Follower::new(&folder), folder, read: Vec::new() }
    }

    /// Reads what is new; all there are. An error leaves what was read.
    pub fn read(&mut self) -> Result<&[(u64, Adjustment)], CommandError> {
        if self.folder.exists() {
            let read = &mut self.read;
            let told = self.follower.poll(
                |_: &Adjustment| false,
                |item| match item {
                    FollowEvent::Restart => read.clear(),
                    FollowEvent::Record(number, adjustment) => read.push((number, adjustment)),
                },
            );
            let wrong =
                |what: String| CommandError::CouldNotRun(format!("{}: {what}", self.folder.display()));
            if let Some(trouble) = told.map_err(|e| wrong(e.to_string()))? {
                return Err(wrong(trouble));
            }
        }
        Ok(&self.read)
    }
}

/// Adds one. It holds from the next round on.
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
    // On the disk before the command says so.
    std::fs::File::open(folder.join(chalkyard_ledger::segment_name(1)))
        .and_then(|f| f.sync_all())
        .map_err(|e| wrong(e.to_string()))?;
    Ok(number)
}

/// The plan with what was set by hand, and what was granted beyond it by period.
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

/// The journal's folder, with one file a round.
pub struct Journal {
    folder: PathBuf,
    key: SigningKey,
}

fn round_file(number: u64) -> String {
    format!("round-{number:012}")
}

impl Journal {
    /// Opens it; made if need be.
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

    /// The newest round, if it is newer than this one.
    pub fn newer(&self, than: u64) -> Result<Option<Round>, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", self.folder.display());
        let Some(number) = self.numbers().map_err(wrong)?.pop().filter(|n| *n > than) else {
            return Ok(None);
        };
        let path = self.folder.join(round_file(number));
        let bytes = read_limited(&path, ROUND_BYTES).map_err(|e| format!("{}: {e}", path.display()))?;
        let round = self.key.open_round(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
        if round.number != number {
            return Err(format!("{}: holds round {}", path.display(), round.number));
        }
        Ok(Some(round))
    }

    /// Makes a round stand under its number; false: another job was first. It stands whole or not at all:
    /// it is written beside and linked, which fails if the name is taken.
    pub fn stand(&self, round: &Round) -> std::io::Result<bool> {
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

    /// Delivers a round's grants.
    pub fn deliver(&self, round: &Round) {
        let folder = self.folder.join("grants");
        for grant in &round.grants {
            if let Err(e) = deliver(&folder, &self.key, grant) {
                warn!(target: "settle", router = &*grant.router, "not delivered, the next round follows: {e}");
            }
        }
    }

    fn tidy(&self, newest: u64) {
        for old in self.numbers().unwrap_or_default().into_iter().filter(|n| n + KEPT < newest) {
            let _ = std::fs::remove_file(self.folder.join(round_file(old)));
        }
    }
}

/// Follows all ledgers and keeps their sums.
pub struct Sums {
    ledgers: Vec<(String, Follower, State)>,
}

impl Sums {
    /// Of these routers.
    pub fn new(settlement: &Settlement) -> Self {
        let each =
            |(name, folder): &(String, PathBuf)| (name.clone(), Follower::new(folder), State::default());
        Self { ledgers: settlement.routers.iter().map(each).collect() }
    }

    /// Reads on. A ledger that can't be read stays as it was last seen: its leases go on counting.
    pub fn read(&mut self, allocator: &mut LeaseAllocator) {
        for (name, follower, state) in &mut self.ledgers {
            let read_at = now();
            let told = follower.poll(Record::is_checkpoint, |item| match item {
                FollowEvent::Restart => *state = State::default(),
                FollowEvent::Record(number, record) => {
                    state.apply(number, &record);
                }
            });
            match told {
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

/// What a settlement needs of the settings.
pub fn parts(budgets: &Budgets) -> Result<(&Settlement, SigningKey), CommandError> {
    let missing = |what: &str| CommandError::BadInput(format!("the settings' <budgets> has no {what}"));
    let settlement = budgets.settlement.as_ref().ok_or_else(|| missing("<settlement>"))?;
    let key = budgets.key_file.as_ref().ok_or_else(|| missing("`key-file`"))?;
    Ok((settlement, read_key(key)?))
}

/// An allocator for these settings, as the journal's newest round leaves it.
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

/// Runs rounds until it is told to stop; SIGHUP reads the settings again.
pub fn settle(file: &PathBuf, rounds: Option<u64>) -> Result<ExitCode, CommandError> {
    logs::start("info");
    // Before anything slow: until then a signal ends the process.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    let none = || CommandError::BadInput(format!("{}: no <budgets>", file.display()));
    let mut budgets = crate::load(file)?.budgets.ok_or_else(none)?;
    let (settlement, key) = parts(&budgets)?;
    let settlement = settlement.clone();
    let journal = Journal::open(&settlement.journal, key)
        .map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", settlement.journal.display())))?;
    let mut allocator = restore_allocator(&budgets.plan, &settlement, &journal)?;
    let mut by_hand = Adjustments::new(&settlement);
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
                    Ok(None) => warn!(target: "settle", "not reloaded: no <budgets> any more"),
                    Err(CommandError::BadInput(why) | CommandError::CouldNotRun(why)) => {
                        warn!(target: "settle", "not reloaded, all stays as it was: {why}");
                    }
                }
            }
        }
        next = Instant::now() + epoch;
        done += 1;
        match by_hand.read() {
            Ok(changes) => {
                let (plan, extra) = adjusted(&budgets.plan, changes);
                allocator.set_plan(plan, extra);
            }
            Err(CommandError::BadInput(why) | CommandError::CouldNotRun(why)) => {
                warn!(target: "settle", "{why}")
            }
        }
        one_round(&mut allocator, &mut sums, &journal)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// One round: read, decide, let it stand, deliver. Should another job be first under the number, its round is
/// learnt and the next one tried at the next epoch.
fn one_round(allocator: &mut LeaseAllocator, sums: &mut Sums, journal: &Journal) -> Result<(), CommandError> {
    catch_up(allocator, journal)?;
    sums.read(allocator);
    let round = allocator.next_round(now()).map_err(|fork| CommandError::CouldNotRun(fork.to_string()))?;
    match journal.stand(&round) {
        Ok(true) => {
            allocator.apply_round(&round);
            journal.deliver(&round);
            journal.tidy(round.number);
        }
        Ok(false) => info!(target: "settle", number = round.number, "another job was first"),
        Err(e) => warn!(target: "settle", number = round.number, "the round can't stand: {e}"),
    }
    Ok(())
}

#[cfg(test)]
#[path = "settle_test.rs"]
mod tests;
