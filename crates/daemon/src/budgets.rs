//! `chalkyard budget`: shows token budgets and records manual adjustments.

use std::path::PathBuf;
use std::process::ExitCode;

use chalkyard_budget::{AccountKey, PeriodKind};
use clap::{Args, Subcommand, ValueEnum};

use crate::arguments::Format;
use crate::error::CommandError;
use crate::settle::{
    add_adjustment, adjusted, parts, restore_allocator, Adjustment, Adjustments, Change, Journal, Sums,
};
use crate::wall_clock::now;
use chalkyard_settings::{Budgets, Settlement};

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Period {
    Hour,
    Day,
    Month,
}

impl From<Period> for PeriodKind {
    fn from(p: Period) -> Self {
        match p {
            Period::Hour => Self::Hour,
            Period::Day => Self::Day,
            Period::Month => Self::Month,
        }
    }
}

/// Selects a budget by tenant, class and period.
#[derive(Debug, Args)]
pub struct BudgetSelector {
    /// Settings, as XML, with `<budgets>` and `<settlement>`.
    file: PathBuf,
    /// Tenant.
    #[arg(long)]
    tenant: String,
    /// Class, if the budget is for a single class.
    #[arg(long)]
    class: Option<String>,
    /// The budget's periods.
    #[arg(long, value_enum)]
    period: Period,
}

/// Author and reason of a change, which the audit trail keeps.
#[derive(Debug, Args)]
pub struct Author {
    /// Author of the change.
    #[arg(long)]
    by: String,
    /// Reason for the change.
    #[arg(long)]
    why: String,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show the spent, reserved and stranded tokens of each budget in its current period, and the audit trail.
    Show {
        /// Settings, as XML, with `<budgets>` and `<settlement>`.
        file: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Set a budget from the current period on, overriding the settings.
    Set {
        #[command(flatten)]
        which: BudgetSelector,
        /// Tokens per period; if not given, the settings apply again.
        #[arg(long)]
        tokens: Option<u64>,
        #[command(flatten)]
        who: Author,
    },
    /// Grant tokens for the current period only; a negative number takes tokens back.
    Grant {
        #[command(flatten)]
        which: BudgetSelector,
        /// Number of tokens.
        #[arg(long, allow_negative_numbers = true)]
        tokens: i64,
        #[command(flatten)]
        who: Author,
    },
    /// Add an amount to a bill; a negative amount is subtracted.
    Adjust {
        /// Settings, as XML, with `<budgets>` and `<settlement>`.
        file: PathBuf,
        /// Tenant.
        #[arg(long)]
        tenant: String,
        /// Class.
        #[arg(long)]
        class: String,
        /// The bill's day, such as 2026-12-01.
        #[arg(long)]
        day: String,
        /// Amount in the currency's smallest unit.
        #[arg(long, allow_negative_numbers = true)]
        amount: i64,
        #[command(flatten)]
        who: Author,
    },
}

fn load(file: &PathBuf) -> Result<Budgets, CommandError> {
    let none = || CommandError::BadInput(format!("{}: no <budgets>", file.display()));
    crate::load(file)?.budgets.ok_or_else(none)
}

fn settlement(budgets: &Budgets) -> Result<&Settlement, CommandError> {
    let none = || CommandError::BadInput("the settings' <budgets> has no <settlement>".into());
    budgets.settlement.as_ref().ok_or_else(none)
}

fn account(which: &BudgetSelector, budgets: &Budgets) -> Result<AccountKey, CommandError> {
    let class = which.class.as_deref().map(Into::into);
    let key = AccountKey { tenant: which.tenant.as_str().into(), class, kind: which.period.into() };
    if budgets.plan.limits.contains_key(&key) {
        return Ok(key);
    }
    let known: Vec<String> = budgets.plan.limits.keys().map(ToString::to_string).collect();
    Err(CommandError::BadInput(format!("no budget {key} in the settings, which have: {}", known.join(", "))))
}

fn add(budgets: &Budgets, who: Author, what: Change) -> Result<ExitCode, CommandError> {
    for (name, text) in [("--by", &who.by), ("--why", &who.why)] {
        if text.trim().is_empty() || text.len() > 1_000 {
            return Err(CommandError::BadInput(format!("{name} must be 1 to 1000 bytes of text")));
        }
    }
    let adjustment = Adjustment { at: now(), by: who.by, why: who.why, what };
    let number = add_adjustment(settlement(budgets)?, &adjustment)?;
    println!("adjustment {number} recorded");
    Ok(ExitCode::SUCCESS)
}

/// Runs a `chalkyard budget` command.
pub fn command(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Show { file, format } => show(&load(&file)?, format),
        Command::Set { which, tokens, who } => {
            let budgets = load(&which.file)?;
            let key = account(&which, &budgets)?;
            if tokens == Some(0) {
                return Err(CommandError::BadInput("--tokens must be at least 1".into()));
            }
            let start = budgets.plan.calendar.period(key.kind, now()).start;
            add(&budgets, who, Change::Set(key, start, tokens))
        }
        Command::Grant { which, tokens, who } => {
            let budgets = load(&which.file)?;
            let key = account(&which, &budgets)?;
            let start = budgets.plan.calendar.period(key.kind, now()).start;
            add(&budgets, who, Change::Grant(key, start, tokens))
        }
        Command::Adjust { file, tenant, class, day, amount, who } => {
            let settings = crate::load(&file)?;
            let known = settings.config.tenants.iter().any(|t| t.name == tenant);
            if !known || !settings.config.classes.iter().any(|c| c.name == class) {
                return Err(CommandError::BadInput(format!(
                    "no tenant `{tenant}` or no class `{class}` in the settings"
                )));
            }
            let budgets = load(&file)?;
            match budgets.plan.calendar.parse_period(&day) {
                Ok((PeriodKind::Day, _)) => {}
                Ok(_) => return Err(CommandError::BadInput(format!("--day: `{day}` is no day"))),
                Err(why) => return Err(CommandError::BadInput(format!("--day: {why}"))),
            }
            add(&budgets, who, Change::Bill { tenant, class, day, amount })
        }
    }
}

fn show(budgets: &Budgets, format: Format) -> Result<ExitCode, CommandError> {
    let (settlement, key) = parts(budgets)?;
    let journal = Journal::open(&settlement.journal, key)
        .map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", settlement.journal.display())))?;
    let mut allocator = restore_allocator(&budgets.plan, settlement, &journal)?;
    let mut adjustments = Adjustments::new(settlement);
    let changes = adjustments.read()?;
    let (plan, extra) = adjusted(&budgets.plan, changes);
    allocator.set_plan(plan, extra);
    Sums::new(settlement).read(&mut allocator);
    let account_summaries = allocator.account_summaries(now());
    match format {
        Format::Json => {
            let trail: Vec<serde_json::Value> =
                changes.iter().map(|(n, a)| serde_json::json!({"number": n, "adjustment": a})).collect();
            println!(
                "{}",
                serde_json::json!({"round": allocator.head(), "budgets": account_summaries, "adjustments": trail})
            );
        }
        Format::Text => {
            println!("round {}; tokens of the present periods", allocator.head());
            for s in account_summaries {
                println!(
                    "{}: {} of {} spent, {} reserved, {} leased and not used",
                    s.account,
                    s.spent.in_tokens(),
                    s.limit.in_tokens(),
                    s.reserved.in_tokens(),
                    s.stranded.in_tokens()
                );
            }
            for (n, a) in changes {
                let what = serde_json::to_string(&a.what).unwrap_or_default();
                println!("adjustment {n} at {} by {}: {what} ({})", a.at.0, a.by, a.why);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
