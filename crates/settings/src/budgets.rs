//! `<budgets>`: token budgets, the ledger and the settlement job.

mod limits;
mod settlement;
mod values;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use chalkyard_budget::{AccountKey, Calendar, Limit, Mode, Plan, Price, RateLimit, Weights};
use chalkyard_policy as p;

pub use self::limits::KnownNames;
use self::limits::{limit, price, rate};
use self::settlement::settlement;
pub use self::settlement::Settlement;
use self::values::{Sharing, Thousandths};
use crate::values::{Text, TimeSpan};
use crate::xml::{Element, Errors};

/// Default size of a ledger segment in bytes.
const DEFAULT_SEGMENT_BYTES: u64 = 64 * 1024 * 1024;
/// Allowed sizes of a ledger segment in bytes.
const SEGMENT_BYTES_RANGE: std::ops::RangeInclusive<u64> = 64 * 1024..=1024 * 1024 * 1024;
/// Default interval between syncs of the ledger to disk.
const DEFAULT_SYNC_INTERVAL: p::Micros = p::Micros(50_000);
/// Shortest allowed interval between syncs.
const MIN_SYNC_INTERVAL: p::Micros = p::Micros(1_000);
/// Epoch of a settlement job that this file does not configure, in microseconds.
const DEFAULT_EPOCH_US: u64 = 1_000_000;

/// Token budgets, the ledger that records their usage, and the settlement job.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// Limits, rates and prices.
    pub plan: Plan,
    /// Directory of this router's ledger.
    pub ledger: PathBuf,
    /// Interval between syncs of written records to disk: a power failure can lose this much.
    pub sync_interval: Duration,
    /// Size of a ledger segment in bytes.
    pub segment_bytes: usize,
    /// File to which the settlement job writes this router's leases.
    pub grants_file: Option<PathBuf>,
    /// File with the key that signs leases.
    pub key_file: Option<PathBuf>,
    /// Settings of the settlement job.
    pub settlement: Option<Settlement>,
}

/// The child elements of `<budgets>`.
#[derive(Default)]
struct Children {
    weights: Weights,
    limits: BTreeMap<AccountKey, Limit>,
    rates: BTreeMap<Box<str>, RateLimit>,
    prices: Vec<Price>,
    settlement: Option<Settlement>,
}

impl Children {
    fn read(element: &Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) -> Self {
        let mut children = Self::default();
        for mut child in element.children(&["weights", "settlement", "budget", "rate", "price"], errors) {
            match child.tag() {
                "weights" => children.weights = weights(&mut child, errors),
                "settlement" => children.add_settlement(&mut child, errors),
                "budget" => children.add_limit(&mut child, known, errors),
                "rate" => children.add_rate(&mut child, known, errors),
                _ => children.add_price(&mut child, errors),
            }
            child.finish(errors);
        }
        children
    }

    fn add_settlement(&mut self, child: &mut Element<'_, '_>, errors: &mut Errors) {
        if self.settlement.replace(settlement(child, errors)).is_some() {
            child.report(None, "duplicate element <settlement>", errors);
        }
    }

    fn add_limit(&mut self, child: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) {
        let (key, limit) = limit(child, known, errors);
        if self.limits.insert(key.clone(), limit).is_some() {
            child.report(None, format!("duplicate budget {key}"), errors);
        }
    }

    fn add_rate(&mut self, child: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) {
        let (tenant, rate) = rate(child, known, errors);
        if self.rates.insert(tenant, rate).is_some() {
            child.report(Some("tenant"), "duplicate <rate> for this tenant", errors);
        }
    }

    fn add_price(&mut self, child: &mut Element<'_, '_>, errors: &mut Errors) {
        let price = price(child, errors);
        if self.prices.last().is_some_and(|last| last.from >= price.from) {
            child.report(
                Some("from"),
                "prices must be in ascending order of `from`, without duplicates",
                errors,
            );
        }
        self.prices.push(price);
    }
}

fn weights(element: &mut Element<'_, '_>, errors: &mut Errors) -> Weights {
    let mut weight = |name| element.with_default(name, Thousandths(1_000), errors).0;
    Weights { prompt: weight("prompt"), cached: weight("kept"), output: weight("output") }
}

fn path(element: &mut Element<'_, '_>, name: &'static str, errors: &mut Errors) -> Option<PathBuf> {
    element.optional::<Text>(name, errors).map(|text| text.0.into())
}

/// Reads the time zone. An unknown zone is reported and replaced by UTC.
fn calendar(element: &mut Element<'_, '_>, errors: &mut Errors) -> Calendar {
    let zone = element.with_default("zone", Text("UTC".into()), errors).0;
    Calendar::new(&zone).unwrap_or_else(|reason| {
        element.report(Some("zone"), reason.to_string(), errors);
        Calendar::default()
    })
}

/// Determines how each budget is divided between routers.
fn mode(
    element: &mut Element<'_, '_>,
    has_leases: bool,
    epoch: u64,
    routers: u32,
    errors: &mut Errors,
) -> Mode {
    let sharing = element.optional::<Sharing>("sharing", errors);
    if sharing.is_some() && has_leases {
        element.report(
            Some("sharing"),
            "cannot be combined with `grants`: leases divide the budgets",
            errors,
        );
    }
    match sharing {
        _ if has_leases => Mode::Leases { epoch, routers },
        Some(Sharing::Unreserved) => Mode::Unreserved(routers),
        Some(Sharing::Equal) | None => Mode::Shares(routers),
    }
}

fn segment_bytes(element: &mut Element<'_, '_>, errors: &mut Errors) -> usize {
    let bytes = element.with_default("segment-bytes", DEFAULT_SEGMENT_BYTES, errors);
    if !SEGMENT_BYTES_RANGE.contains(&bytes) {
        element.report(Some("segment-bytes"), "must be 65536 to 1073741824", errors);
    }
    usize::try_from(bytes).unwrap_or(DEFAULT_SEGMENT_BYTES as usize)
}

fn sync_interval(element: &mut Element<'_, '_>, errors: &mut Errors) -> Duration {
    let sync = element.with_default("sync", TimeSpan(DEFAULT_SYNC_INTERVAL), errors).0;
    if sync < MIN_SYNC_INTERVAL {
        element.report(Some("sync"), "must be at least 1ms", errors);
    }
    Duration::from_micros(sync.0)
}

/// Reads `<budgets>`.
pub fn read(element: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) -> Budgets {
    let calendar = calendar(element, errors);
    let children = Children::read(element, known, errors);
    let grants_file = path(element, "grants", errors);
    let key_file = path(element, "key-file", errors);
    if grants_file.is_some() && key_file.is_none() {
        element.report(Some("grants"), "requires `key-file`: leases are signed", errors);
    }
    let epoch = children.settlement.as_ref().map_or(DEFAULT_EPOCH_US, |settlement| settlement.terms.epoch);
    let budgets = Budgets {
        plan: Plan {
            calendar,
            weights: children.weights,
            limits: children.limits,
            rates: children.rates,
            margin: element.with_default("margin", Thousandths(100), errors).0,
            mode: mode(element, grants_file.is_some(), epoch, known.routers, errors),
            prices: children.prices,
        },
        ledger: element.required("ledger", Text(String::new()), errors).0.into(),
        sync_interval: sync_interval(element, errors),
        segment_bytes: segment_bytes(element, errors),
        grants_file,
        key_file,
        settlement: children.settlement,
    };
    element.finish(errors);
    budgets
}
