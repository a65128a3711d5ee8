//! `chalkyard bill`: statements from ledgers and engines' records; `chalkyard compact`.

use std::collections::{BTreeMap, BTreeSet};
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chalkyard_budget::bill::{round_to_smallest_unit, Bill, Biller, EngineLine, LineKey};
use chalkyard_budget::{Period, Record};
use chalkyard_ledger::{read, segment_number, DirectoryVolume, Volume};

use crate::settle::{Adjustments, Change};
use crate::{Format, Trouble};
use chalkyard_settings::Budgets;

/// Longest line of an engine's record.
const LINE_BYTES: usize = 64 * 1024;

/// What a bill is made from.
pub struct Sources<'a> {
    /// Settings.
    pub budgets: &'a Budgets,
    /// Ledgers' folders; none: those of the settings' settlement.
    pub ledgers: Vec<PathBuf>,
    /// Engines' records.
    pub engines: Vec<PathBuf>,
}

/// All segments of a ledger.
fn all_segments(folder: &Path) -> Result<Vec<String>, Trouble> {
    let names = DirectoryVolume::reader(folder).list();
    let names = names.map_err(|e| Trouble::BadInput(format!("{}: {e}", folder.display())))?;
    let mut segments: Vec<(u64, String)> =
        names.into_iter().filter_map(|n| segment_number(&n).map(|i| (i, n))).collect();
    segments.sort();
    Ok(segments.into_iter().map(|(_, n)| n).collect())
}

fn read_ledger(folder: &Path, mut take: impl FnMut(u64, Record)) -> Result<Option<String>, Trouble> {
    let names = all_segments(folder)?;
    if names.is_empty() {
        return Err(Trouble::BadInput(format!("{}: no ledger there", folder.display())));
    }
    let report = read(&DirectoryVolume::reader(folder), &names, &mut take)
        .map_err(|e| Trouble::BadInput(format!("{}: {e}", folder.display())))?;
    Ok(report.describe_damage())
}

fn read_engines(file: &Path, biller: &mut Biller) -> Result<(), Trouble> {
    let wrong = |n: usize, why: String| Trouble::BadInput(format!("{}:{n}: {why}", file.display()));
    let opened =
        std::fs::File::open(file).map_err(|e| Trouble::BadInput(format!("{}: {e}", file.display())))?;
    for (n, line) in std::io::BufReader::new(opened).lines().enumerate() {
        let line = line.map_err(|e| wrong(n + 1, e.to_string()))?;
        if line.len() > LINE_BYTES {
            return Err(wrong(n + 1, format!("longer than {LINE_BYTES} bytes")));
        }
        if !line.trim().is_empty() {
            let line: EngineLine = serde_json::from_str(&line).map_err(|e| wrong(n + 1, e.to_string()))?;
            biller.work(line);
        }
    }
    Ok(())
}

/// Makes the bill of a period; damage met in ledgers is told beside.
pub fn make(sources: &Sources<'_>, period: Period) -> Result<(Bill, Vec<String>), Trouble> {
    let budgets = sources.budgets;
    let settled = budgets.settlement.iter().flat_map(|s| &s.routers).map(|(_, folder)| folder.clone());
    let mut folders: Vec<PathBuf> = sources.ledgers.clone();
    if folders.is_empty() {
        folders = settled.collect();
    }
    if folders.is_empty() {
        folders.push(budgets.ledger.clone());
    }
    let (mut biller, mut troubles) = (Biller::default(), Vec::new());
    for folder in &folders {
        // A ledger is known by its folder; a copy fed beside it names the same requests, which count once.
        let name = folder.display().to_string();
        let trouble = read_ledger(folder, |number, record| biller.record(&name, number, &record))?;
        troubles.extend(trouble.map(|t| format!("{name}: {t}")));
        for sums in DirectoryVolume::reader(folder).list().unwrap_or_default() {
            let before = sums.strip_prefix("sums-before-").and_then(|s| s.strip_suffix(".json"));
            let before = before.and_then(|b| budgets.plan.calendar.parse_period(b).ok());
            if before.is_some_and(|(_, cut)| cut.start > period.start) {
                troubles
                    .push(format!("{name}: records of this period were compacted; their sums are in {sums}"));
            }
        }
    }
    for file in &sources.engines {
        read_engines(file, &mut biller)?;
    }
    Ok((biller.bill(&budgets.plan, period), troubles))
}

/// By tenant, class and day: an adjustment's number, its amount and why.
type ByHand = BTreeMap<(String, String, String), Vec<(u64, i64, String)>>;

/// Amounts put on or taken off by hand, by tenant, class and day.
fn by_hand(budgets: &Budgets) -> Result<ByHand, Trouble> {
    let mut out = ByHand::new();
    let Some(settlement) = &budgets.settlement else { return Ok(out) };
    for (number, a) in Adjustments::new(settlement).read()? {
        if let Change::Bill { tenant, class, day, amount } = &a.what {
            let place = (tenant.clone(), class.clone(), day.clone());
            out.entry(place).or_default().push((*number, *amount, a.why.clone()));
        }
    }
    Ok(out)
}

/// `chalkyard bill`: exit code 3 if engines and bill differ and nothing explains it.
pub fn bill(sources: &Sources<'_>, period: &str, format: Format) -> Result<ExitCode, Trouble> {
    let calendar = &sources.budgets.plan.calendar;
    let (_, span) =
        calendar.parse_period(period).map_err(|why| Trouble::BadInput(format!("--period: {why}")))?;
    let (bill, troubles) = make(sources, span)?;
    let (first, last) = (calendar.date(span.start), calendar.date(chalkyard_budget::Time(span.end.0 - 1)));
    let mut hand = by_hand(sources.budgets)?;
    hand.retain(|(_, _, day), _| (&first..=&last).contains(&day));
    // Without any engine's record there is nothing to agree with.
    let reconciled = !sources.engines.is_empty();
    match format {
        Format::Json => {
            let hand: Vec<serde_json::Value> = hand
                .iter()
                .flat_map(|((tenant, class, day), list)| {
                    list.iter().map(move |(number, amount, why)| {
                        serde_json::json!({"tenant": tenant, "class": class, "day": day, "number": number,
                                           "amount": amount, "why": why})
                    })
                })
                .collect();
            println!(
                "{}",
                serde_json::json!({"period": period, "reconciled": reconciled, "bill": bill, "by_hand": hand,
                                   "damage": troubles})
            );
        }
        Format::Text => print(&bill, period, reconciled, &hand, &troubles),
    }
    Ok(if reconciled && bill.unexplained_tokens > 0 { ExitCode::from(3) } else { ExitCode::SUCCESS })
}

fn print(bill: &Bill, period: &str, reconciled: bool, hand: &ByHand, troubles: &[String]) {
    println!("bill for {period}");
    let mut sums: BTreeMap<(&str, &str), u128> = BTreeMap::new();
    for (LineKey { tenant, class, day }, line) in &bill.lines {
        let price = line.price_millionths.map(|p| {
            let currency = line.currency.as_deref().unwrap_or("");
            *sums.entry((tenant, currency)).or_default() += p;
            format!("{} {currency}", round_to_smallest_unit(p))
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
    for ((tenant, class, day), list) in hand {
        for (number, amount, why) in list {
            println!("{tenant} {class} {day}: by hand, adjustment {number}: {amount} ({why})");
        }
    }
    for ((tenant, currency), sum) in sums {
        let amounts = hand.iter().filter(|((t, ..), _)| t == tenant).flat_map(|(_, l)| l).map(|(_, a, _)| *a);
        let total = i128::try_from(round_to_smallest_unit(sum)).unwrap_or(i128::MAX)
            + amounts.map(i128::from).sum::<i128>();
        println!("{tenant}: {total} {currency} in all");
    }
    if bill.open > 0 {
        println!("{} requests are still open", bill.open);
    }
    for d in troubles {
        println!("damage: {d}");
    }
    if !reconciled {
        println!("not reconciled: no engine's record was given");
        return;
    }
    println!(
        "engines did {} tokens: {} billed, {} explained, {} unexplained",
        bill.engine_tokens, bill.billed_tokens, bill.explained_tokens, bill.unexplained_tokens
    );
    let mut by_cause: BTreeMap<_, (u64, u64)> = BTreeMap::new();
    for d in &bill.differences {
        let (count, tokens) = by_cause.entry(d.cause).or_default();
        (*count, *tokens) = (*count + 1, *tokens + d.tokens);
    }
    for (cause, (count, tokens)) in &by_cause {
        println!("  {cause:?}: {tokens} tokens in {count} attempts");
    }
    for d in bill.differences.iter().filter(|d| !d.cause.explains()) {
        println!("  unexplained: {:?}, request {}, {} tokens", d.cause, d.request, d.tokens);
    }
}

/// `chalkyard compact`: sums of whole months are kept, their records go.
pub fn compact(budgets: &Budgets, folder: &Path, before: &str) -> Result<ExitCode, Trouble> {
    let (_, cut) = budgets
        .plan
        .calendar
        .parse_period(before)
        .map_err(|why| Trouble::BadInput(format!("--before: {why}")))?;
    let names = all_segments(folder)?;
    let volume = DirectoryVolume::reader(folder);
    let wrong = |e: chalkyard_ledger::LedgerError| Trouble::BadInput(format!("{}: {e}", folder.display()));
    // A segment may go if a later one begins with a checkpoint and no record in it is as late as the cut.
    let (mut old, mut biller, mut records) = (Vec::new(), Biller::default(), 0_u64);
    let mut open: BTreeSet<Box<str>> = BTreeSet::new();
    let restart = chalkyard_ledger::last_segments(&volume, crate::keeping::is_checkpoint).map_err(wrong)?;
    for name in names.iter().take_while(|n| restart.first().is_some_and(|r| *n < r)) {
        let (mut late, mut taken) = (false, Vec::new());
        read(&volume, std::slice::from_ref(name), |n, r: Record| {
            let at = match &r {
                Record::Reserved(c) => Some(c.at),
                Record::Settled(s) => Some(s.at),
                Record::Started(at) | Record::Succeeded(at) => Some(*at),
                Record::Adopted(a) => Some(a.at),
                Record::State(_) => None,
            };
            late |= at.is_some_and(|at| at >= cut.start);
            taken.push((n, r));
        })
        .map_err(wrong)?;
        if late {
            break;
        }
        for (n, r) in taken {
            match &r {
                Record::Reserved(c) => drop(open.insert(c.id.clone())),
                Record::Settled(s) => drop(open.remove(&s.id)),
                _ => {}
            }
            records += 1;
            biller.record("", n, &r);
        }
        old.push((name.clone(), open.is_empty()));
    }
    // Only up to a place where nothing is open: a request's two records stay together.
    let keep = old.iter().rposition(|(_, whole)| *whole).map_or(0, |i| i + 1);
    if keep != old.len() || old.is_empty() {
        println!("nothing to compact: no segment before {before} with all its requests settled and a checkpoint after it");
        return Ok(ExitCode::SUCCESS);
    }
    let all = Period { start: chalkyard_budget::Time(0), end: cut.start };
    let bill = biller.bill(&budgets.plan, all);
    let target = folder.join(format!("sums-before-{before}.json"));
    if target.exists() {
        return Err(Trouble::BadInput(format!("{}: is there already", target.display())));
    }
    let lines = serde_json::json!({"before": before, "segments": old.iter().map(|(n, _)| n).collect::<Vec<_>>(),
                                   "records": records, "bill": bill});
    let io = |e: std::io::Error| Trouble::CouldNotRun(format!("{}: {e}", folder.display()));
    crate::keeping::replace(&target, lines.to_string().as_bytes()).map_err(io)?;
    for (name, _) in &old {
        std::fs::remove_file(folder.join(name)).map_err(io)?;
    }
    println!("{records} records of {} segments became {}", old.len(), target.display());
    Ok(ExitCode::SUCCESS)
}
