//! `chalkyard compact`: replaces a ledger's old records with their sums.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;

use chalkyard_budget::bill::{Bill, Biller};
use chalkyard_budget::{Period, Record, Time};
use chalkyard_ledger::{read, segments_from_checkpoint, DirectoryVolume, LedgerError};
use chalkyard_settings::Budgets;

use crate::bill::all_segments;
use crate::error::CommandError;
use crate::files::replace;

/// The old segments that were read so far.
#[derive(Default)]
struct OldSegments {
    names: Vec<String>,
    biller: Biller,
    records: u64,
    /// Ids of reserved requests without a settlement so far.
    open: BTreeSet<Box<str>>,
}

impl OldSegments {
    fn add(&mut self, name: &str, records: &[(u64, Record)]) {
        for (number, record) in records {
            match record {
                Record::Reserved(reservation) => {
                    self.open.insert(reservation.id.clone());
                }
                Record::Settled(settled) => {
                    self.open.remove(&settled.id);
                }
                _ => {}
            }
            self.records += 1;
            self.biller.record("", *number, record);
        }
        self.names.push(name.into());
    }
}

/// Stores the sums of the records before a month or day, and deletes those records.
pub fn compact(budgets: &Budgets, folder: &Path, before: &str) -> Result<ExitCode, CommandError> {
    let parsed = budgets.plan.calendar.parse_period(before);
    let (_, cut) = parsed.map_err(|error| CommandError::BadInput(format!("--before: {error}")))?;
    let old = old_segments(folder, cut.start)?;
    // A reservation and its settlement must not be separated: no request may be open at the cut.
    if old.names.is_empty() || !old.open.is_empty() {
        println!("nothing to compact: no segment before {before} with all its requests settled and a checkpoint after it");
        return Ok(ExitCode::SUCCESS);
    }
    let target = folder.join(format!("sums-before-{before}.json"));
    if target.exists() {
        return Err(CommandError::BadInput(format!("{}: file already exists", target.display())));
    }
    let all = Period { start: Time(0), end: cut.start };
    let bill: Bill = old.biller.bill(&budgets.plan, all);
    let sums = serde_json::json!({
        "before": before, "segments": old.names, "records": old.records, "bill": bill,
    });
    let failed = |e: std::io::Error| CommandError::CouldNotRun(format!("{}: {e}", folder.display()));
    replace(&target, sums.to_string().as_bytes()).map_err(failed)?;
    for name in &old.names {
        std::fs::remove_file(folder.join(name)).map_err(failed)?;
    }
    println!("{} records of {} segments became {}", old.records, old.names.len(), target.display());
    Ok(ExitCode::SUCCESS)
}

/// Returns the segments that can be removed: a later segment begins with a checkpoint, and all of their records are
/// earlier than the cut.
fn old_segments(folder: &Path, cut: Time) -> Result<OldSegments, CommandError> {
    let volume = DirectoryVolume::reader(folder);
    let failed = |error: LedgerError| CommandError::BadInput(format!("{}: {error}", folder.display()));
    let names = all_segments(folder)?;
    let needed = segments_from_checkpoint(&volume, Record::is_checkpoint).map_err(failed)?;
    let mut old = OldSegments::default();
    for name in names.iter().take_while(|name| needed.first().is_some_and(|first| *name < first)) {
        let mut records: Vec<(u64, Record)> = Vec::new();
        let segment = std::slice::from_ref(name);
        read(&volume, segment, |number, record| records.push((number, record))).map_err(failed)?;
        if records.iter().any(|(_, record)| record.at().is_some_and(|at| at >= cut)) {
            break;
        }
        old.add(name, &records);
    }
    Ok(old)
}
