//! `<settlement>`: the job that grants leases to all routers.

use std::path::PathBuf;

use chalkyard_budget::LeaseTerms;
use chalkyard_policy as p;

use crate::values::{Name, Text, TimeSpan, UniqueNames};
use crate::xml::{Element, Errors};

/// Shortest allowed epoch, in microseconds.
const MIN_EPOCH_US: u64 = 50_000;
/// Shortest allowed lease, in epochs: a lease must outlast one late round.
const MIN_LEASE_EPOCHS: u64 = 3;

/// Settings of the settlement job.
#[derive(Debug, Clone)]
pub struct Settlement {
    /// Directory of rounds, grants and adjustments.
    pub journal: PathBuf,
    /// Durations of leases and rounds.
    pub terms: LeaseTerms,
    /// Names of the routers and the directories of their ledgers.
    pub routers: Vec<(String, PathBuf)>,
}

/// Reads `<settlement>`.
pub fn settlement(element: &mut Element<'_, '_>, errors: &mut Errors) -> Settlement {
    let micros = |span: TimeSpan| span.0 .0;
    let terms = LeaseTerms {
        epoch: micros(element.with_default("epoch", TimeSpan(p::Micros(1_000_000)), errors)),
        lease: micros(element.with_default("lease", TimeSpan(p::Micros(10_000_000)), errors)),
        clock_error: micros(element.with_default("clock-error", TimeSpan(p::Micros(250_000)), errors)),
        even_share_divisor: element.with_default("even", 4_u64, errors),
    };
    if terms.epoch < MIN_EPOCH_US {
        element.report(Some("epoch"), "must be at least 50ms", errors);
    }
    if terms.lease < terms.epoch.saturating_mul(MIN_LEASE_EPOCHS) {
        element.report(
            Some("lease"),
            "must be at least three epochs, so that leases outlast a late round",
            errors,
        );
    }
    let routers = ledgers(element, errors);
    let journal = element.required("journal", Text(String::new()), errors).0.into();
    if routers.is_empty() {
        element.report(
            None,
            "<settlement> requires a <ledger router=\"..\" folder=\"..\"/> for each router",
            errors,
        );
    }
    Settlement { journal, terms, routers }
}

/// Reads the names of the routers and the directories of their ledgers.
fn ledgers(element: &Element<'_, '_>, errors: &mut Errors) -> Vec<(String, PathBuf)> {
    let mut routers = Vec::new();
    let mut names = UniqueNames::default();
    for mut ledger in element.children(&["ledger"], errors) {
        let name = ledger.required("router", Name("-".into()), errors).0;
        names.add(&name, &ledger, "router", errors);
        let folder = ledger.required("folder", Text(String::new()), errors).0.into();
        ledger.finish(errors);
        routers.push((name, folder));
    }
    routers
}
