//! `<budgets>`: token budgets, the ledger, the settlement job.

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

/// Size of a ledger segment in bytes, unless the file says otherwise.
const SEGMENT_BYTES: u64 = 64 * 1024 * 1024;
/// The smallest and the largest segment.
const SEGMENT_BYTES_RANGE: std::ops::RangeInclusive<u64> = 64 * 1024..=1024 * 1024 * 1024;
/// How often a ledger is synced, unless the file says otherwise, and at most.
const SYNC: p::Micros = p::Micros(50_000);
const LEAST_SYNC: p::Micros = p::Micros(1_000);
/// The epoch of a settlement job whose settings are not in this file, µs.
const EPOCH_US: u64 = 1_000_000;

/// Token budgets, the ledger behind them, and the settlement job.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// Budgets, rates and prices.
    pub plan: Plan,
    /// Folder of this router's ledger.
    pub ledger: PathBuf,
    /// How often written records are synced to disk: what a power failure can lose.
    pub sync_interval: Duration,
    /// Size of a ledger segment in bytes.
    pub segment_bytes: usize,
    /// File in which this router's leases arrive.
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
            child.report(None, "<settlement> is there twice", errors);
        }
    }

    fn add_limit(&mut self, child: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) {
        let (key, limit) = limit(child, known, errors);
        if self.limits.insert(key.clone(), limit).is_some() {
            child.report(None, format!("the budget {key} is there twice"), errors);
        }
    }

    fn add_rate(&mut self, child: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) {
        let (tenant, rate) = rate(child, known, errors);
        if self.rates.insert(tenant, rate).is_some() {
            child.report(Some("tenant"), "this tenant has a <rate> already", errors);
        }
    }

    fn add_price(&mut self, child: &mut Element<'_, '_>, errors: &mut Errors) {
        let price = price(child, errors);
        if self.prices.last().is_some_and(|last| last.from >= price.from) {
            child.report(Some("from"), "prices must be in order of their first days", errors);
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

/// The calendar of the zone; UTC in place of one that does not exist.
fn calendar(element: &mut Element<'_, '_>, errors: &mut Errors) -> Calendar {
    let zone = element.with_default("zone", Text("UTC".into()), errors).0;
    Calendar::new(&zone).unwrap_or_else(|reason| {
        element.report(Some("zone"), reason.to_string(), errors);
        Calendar::default()
    })
}

/// How this router's part of each budget is found.
fn mode(
    element: &mut Element<'_, '_>,
    has_leases: bool,
    epoch: u64,
    routers: u32,
    errors: &mut Errors,
) -> Mode {
    let sharing = element.optional::<Sharing>("sharing", errors);
    if sharing.is_some() && has_leases {
        element.report(Some("sharing"), "with `grants`, budgets are shared by leases", errors);
    }
    match sharing {
        _ if has_leases => Mode::Leases { epoch, routers },
        Some(Sharing::Unreserved) => Mode::Unreserved(routers),
        Some(Sharing::Equal) | None => Mode::Shares(routers),
    }
}

fn segment_bytes(element: &mut Element<'_, '_>, errors: &mut Errors) -> usize {
    let bytes = element.with_default("segment-bytes", SEGMENT_BYTES, errors);
    if !SEGMENT_BYTES_RANGE.contains(&bytes) {
        element.report(Some("segment-bytes"), "must be 65536 to 1073741824", errors);
    }
    usize::try_from(bytes).unwrap_or(SEGMENT_BYTES as usize)
}

fn sync_interval(element: &mut Element<'_, '_>, errors: &mut Errors) -> Duration {
    let sync = element.with_default("sync", TimeSpan(SYNC), errors).0;
    if sync < LEAST_SYNC {
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
        element.report(Some("grants"), "leases are signed: `key-file` must name the key", errors);
    }
    let epoch = children.settlement.as_ref().map_or(EPOCH_US, |settlement| settlement.terms.epoch);
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
