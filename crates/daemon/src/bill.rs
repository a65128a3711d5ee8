//! `chalkyard bill`: computes statements from ledgers and from engine records.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chalkyard_budget::bill::{round_to_smallest_unit, Bill, Biller, Cause, EngineRecord, LineKey};
use chalkyard_budget::{Period, Record, Time};
use chalkyard_ledger::{read, segment_number, DirectoryVolume, Volume};

use crate::arguments::Format;
use crate::error::CommandError;
use crate::settle::{Adjustments, Change};
use chalkyard_settings::Budgets;

/// Longest line of an engine record, in bytes.
const LINE_BYTES: usize = 64 * 1024;
/// Exit code of a bill with tokens in engine records that nothing explains.
const EXIT_UNEXPLAINED: u8 = 3;

/// The inputs of a bill.
pub struct Sources<'a> {
    /// Settings.
    pub budgets: &'a Budgets,
    /// Ledgers' folders; none: those of the settings' settlement.
    pub ledgers: Vec<PathBuf>,
    /// Files of engine records.
    pub engines: Vec<PathBuf>,
}

/// Returns the names of all segments of a ledger, oldest first.
pub fn all_segments(folder: &Path) -> Result<Vec<String>, CommandError> {
    let names = DirectoryVolume::reader(folder).list();
    let names = names.map_err(|e| CommandError::BadInput(format!("{}: {e}", folder.display())))?;
    let mut segments: Vec<(u64, String)> =
        names.into_iter().filter_map(|n| segment_number(&n).map(|i| (i, n))).collect();
    segments.sort();
    Ok(segments.into_iter().map(|(_, n)| n).collect())
}

fn read_ledger(folder: &Path, mut take: impl FnMut(u64, Record)) -> Result<Option<String>, CommandError> {
    let names = all_segments(folder)?;
    if names.is_empty() {
        return Err(CommandError::BadInput(format!("{}: no ledger there", folder.display())));
    }
    let report = read(&DirectoryVolume::reader(folder), &names, &mut take)
        .map_err(|e| CommandError::BadInput(format!("{}: {e}", folder.display())))?;
    Ok(report.describe_damage())
}

fn read_engines(file: &Path, biller: &mut Biller) -> Result<(), CommandError> {
    let invalid = |n: usize, why: String| CommandError::BadInput(format!("{}:{n}: {why}", file.display()));
    let opened =
        std::fs::File::open(file).map_err(|e| CommandError::BadInput(format!("{}: {e}", file.display())))?;
    for (n, line) in std::io::BufReader::new(opened).lines().enumerate() {
        let line = line.map_err(|e| invalid(n + 1, e.to_string()))?;
        if line.len() > LINE_BYTES {
            return Err(invalid(n + 1, format!("longer than {LINE_BYTES} bytes")));
        }
        if !line.trim().is_empty() {
            let line: EngineRecord =
                serde_json::from_str(&line).map_err(|e| invalid(n + 1, e.to_string()))?;
            biller.work(line);
        }
    }
    Ok(())
}

/// Computes the bill of a period; also returns descriptions of damage and missing records in the ledgers.
pub fn make(sources: &Sources<'_>, period: Period) -> Result<(Bill, Vec<String>), CommandError> {
    let budgets = sources.budgets;
    let settled = budgets.settlement.iter().flat_map(|s| &s.routers).map(|(_, folder)| folder.clone());
    let mut folders: Vec<PathBuf> = sources.ledgers.clone();
    if folders.is_empty() {
        folders = settled.collect();
    }
    if folders.is_empty() {
        folders.push(budgets.ledger.clone());
    }
    let (mut biller, mut damage) = (Biller::default(), Vec::new());
    for folder in &folders {
        // A ledger is identified by its directory. A copy of a ledger contains the same requests, which count once.
        let name = folder.display().to_string();
        let problem = read_ledger(folder, |number, record| biller.record(&name, number, &record))?;
        damage.extend(problem.map(|t| format!("{name}: {t}")));
        for sums in DirectoryVolume::reader(folder).list().unwrap_or_default() {
            let before = sums.strip_prefix("sums-before-").and_then(|s| s.strip_suffix(".json"));
            let before = before.and_then(|b| budgets.plan.calendar.parse_period(b).ok());
            if before.is_some_and(|(_, cut)| cut.start > period.start) {
                damage
                    .push(format!("{name}: records of this period were compacted; their sums are in {sums}"));
            }
        }
    }
    for file in &sources.engines {
        read_engines(file, &mut biller)?;
    }
    Ok((biller.bill(&budgets.plan, period), damage))
}

/// The bill line to which a manual amount applies.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AdjustedLine {
    tenant: String,
    class: String,
    day: String,
}

/// An amount that an operator added to or removed from a bill.
struct ManualAmount {
    /// Number of the adjustment.
    number: u64,
    amount: i64,
    reason: String,
}

type ManualAmounts = BTreeMap<AdjustedLine, Vec<ManualAmount>>;

fn manual_amounts(budgets: &Budgets) -> Result<ManualAmounts, CommandError> {
    let mut amounts = ManualAmounts::new();
    let Some(settlement) = &budgets.settlement else { return Ok(amounts) };
    for (number, adjustment) in Adjustments::new(settlement).read()? {
        if let Change::Bill { tenant, class, day, amount } = &adjustment.what {
            let line = AdjustedLine { tenant: tenant.clone(), class: class.clone(), day: day.clone() };
            let reason = adjustment.why.clone();
            amounts.entry(line).or_default().push(ManualAmount { number: *number, amount: *amount, reason });
        }
    }
    Ok(amounts)
}

/// The output of `chalkyard bill`.
struct Statement<'a> {
    period: &'a str,
    /// Whether engine records were given, with which the bill was compared.
    is_reconciled: bool,
    bill: Bill,
    manual: ManualAmounts,
    /// Damage found in ledgers.
    damage: Vec<String>,
}

/// Prints the bill of a period. The exit code is 3 if it differs from the engine records without an explanation.
pub fn bill(sources: &Sources<'_>, period: &str, format: Format) -> Result<ExitCode, CommandError> {
    let calendar = &sources.budgets.plan.calendar;
    let parsed = calendar.parse_period(period);
    let (_, span) = parsed.map_err(|error| CommandError::BadInput(format!("--period: {error}")))?;
    let (bill, damage) = make(sources, span)?;
    let (first, last) = (calendar.date(span.start), calendar.date(Time(span.end.0 - 1)));
    let mut manual = manual_amounts(sources.budgets)?;
    manual.retain(|line, _| (&first..=&last).contains(&&line.day));
    let is_reconciled = !sources.engines.is_empty();
    let statement = Statement { period, is_reconciled, bill, manual, damage };
    match format {
        Format::Json => println!("{}", statement.json()),
        Format::Text => statement.print(),
    }
    let is_unexplained = is_reconciled && statement.bill.unexplained_tokens > 0;
    Ok(if is_unexplained { ExitCode::from(EXIT_UNEXPLAINED) } else { ExitCode::SUCCESS })
}

impl Statement<'_> {
    fn json(&self) -> serde_json::Value {
        let mut by_hand = Vec::new();
        for (line, amounts) in &self.manual {
            for manual in amounts {
                by_hand.push(serde_json::json!({
                    "tenant": line.tenant, "class": line.class, "day": line.day,
                    "number": manual.number, "amount": manual.amount, "why": manual.reason,
                }));
            }
        }
        serde_json::json!({
            "period": self.period, "reconciled": self.is_reconciled, "bill": self.bill,
            "by_hand": by_hand, "damage": self.damage,
        })
    }

    fn print(&self) {
        println!("bill for {}", self.period);
        self.print_lines();
        self.print_manual();
        self.print_totals();
        if self.bill.open > 0 {
            println!("{} requests are still open", self.bill.open);
        }
        for damage in &self.damage {
            println!("damage: {damage}");
        }
        if self.is_reconciled {
            self.print_reconciliation();
        } else {
            println!("not reconciled: no engine's record was given");
        }
    }

    fn print_lines(&self) {
        for (LineKey { tenant, class, day }, line) in &self.bill.lines {
            let price = line.price_millionths.map(|price| {
                let currency = line.currency.as_deref().unwrap_or("");
                format!("{} {currency}", round_to_smallest_unit(price))
            });
            println!(
                "{tenant} {class} {day}: {} requests, {} prompt tokens ({} of them kept), {} output tokens, {}",
                line.requests,
                line.usage.prompt,
                line.usage.cached,
                line.usage.output,
                price.unwrap_or_else(|| "no price".into())
            );
        }
    }

    fn print_manual(&self) {
        for (AdjustedLine { tenant, class, day }, amounts) in &self.manual {
            for ManualAmount { number, amount, reason } in amounts {
                println!("{tenant} {class} {day}: by hand, adjustment {number}: {amount} ({reason})");
            }
        }
    }

    /// Prints the sums by tenant and currency, each rounded once, including manual amounts.
    fn print_totals(&self) {
        let mut sums: BTreeMap<(&str, &str), u128> = BTreeMap::new();
        for (key, line) in &self.bill.lines {
            if let Some(price) = line.price_millionths {
                let currency = line.currency.as_deref().unwrap_or("");
                *sums.entry((&key.tenant, currency)).or_default() += price;
            }
        }
        for ((tenant, currency), sum) in sums {
            let of_tenant = self.manual.iter().filter(|(line, _)| line.tenant == tenant);
            let manual: i128 =
                of_tenant.flat_map(|(_, amounts)| amounts).map(|manual| i128::from(manual.amount)).sum();
            let total = i128::try_from(round_to_smallest_unit(sum)).unwrap_or(i128::MAX) + manual;
            println!("{tenant}: {total} {currency} in all");
        }
    }

    fn print_reconciliation(&self) {
        let bill = &self.bill;
        println!(
            "engines did {} tokens: {} billed, {} explained, {} unexplained",
            bill.engine_tokens, bill.billed_tokens, bill.explained_tokens, bill.unexplained_tokens
        );
        let mut by_cause: BTreeMap<Cause, CauseSum> = BTreeMap::new();
        for difference in &bill.differences {
            let sum = by_cause.entry(difference.cause).or_default();
            sum.attempts += 1;
            sum.tokens += difference.tokens;
        }
        for (cause, sum) in &by_cause {
            println!("  {cause:?}: {} tokens in {} attempts", sum.tokens, sum.attempts);
        }
        for difference in bill.differences.iter().filter(|difference| !difference.cause.is_explained()) {
            println!(
                "  unexplained: {:?}, request {}, {} tokens",
                difference.cause, difference.request, difference.tokens
            );
        }
    }
}

/// Engine work that was not billed, for one cause.
#[derive(Default)]
struct CauseSum {
    attempts: u64,
    tokens: u64,
}
