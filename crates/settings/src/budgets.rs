//! `<budgets>`: token budgets, the ledger, the settlement job.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use chalkyard_budget::{
    AccountKey, AtHard, AtSoft, Calendar, LeaseTerms, Limit, Mode, PeriodKind, Plan, Price, RateLimit, Units,
    Weights,
};
use chalkyard_policy as p;

use crate::values::{Name, Span, Text, UniqueNames};
use crate::xml::{Element, Errors, Value};

/// What `<budgets>` says.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// What is agreed with tenants.
    pub plan: Plan,
    /// This router's ledger: a folder.
    pub ledger: PathBuf,
    /// Written records are brought to the disk so often: the window of loss when the power goes.
    pub sync: Duration,
    /// Bytes of a ledger's segment.
    pub segment: usize,
    /// Where this router's leases come.
    pub grants: Option<PathBuf>,
    /// The key under which leases are signed: a file.
    pub key_file: Option<PathBuf>,
    /// What the settlement job is told.
    pub settlement: Option<Settlement>,
}

/// What `<settlement>` says.
#[derive(Debug, Clone)]
pub struct Settlement {
    /// A folder for rounds, grants and adjustments.
    pub journal: PathBuf,
    /// How long things last.
    pub terms: LeaseTerms,
    /// Routers and their ledgers.
    pub routers: Vec<(String, PathBuf)>,
}

/// A decimal as whole thousandths: no floating point comes near budgets.
struct Thousandths(u32);

impl Value for Thousandths {
    fn read(text: &str) -> Result<Self, String> {
        let wrong = || "must be a number with at most three decimals, such as 0.25".to_string();
        let (whole, part) = text.split_once('.').unwrap_or((text, ""));
        let digits = |t: &str| t.bytes().all(|b| b.is_ascii_digit());
        if whole.is_empty() || part.len() > 3 || !digits(whole) || !digits(part) {
            return Err(wrong());
        }
        let whole: u32 = whole.parse().map_err(|_| wrong())?;
        let part: u32 = format!("{part:0<3}").parse().map_err(|_| wrong())?;
        whole.checked_mul(1_000).and_then(|w| w.checked_add(part)).map(Self).ok_or_else(wrong)
    }
}

struct Marks(Vec<u32>);

impl Value for Marks {
    fn read(text: &str) -> Result<Self, String> {
        let marks: Result<Vec<u32>, String> =
            text.split_whitespace().map(|m| Thousandths::read(m).map(|t| t.0)).collect();
        let marks = marks?;
        if marks.iter().any(|m| *m == 0 || *m > 1_000) || !marks.is_sorted() {
            return Err("must be shares over 0 up to 1, in order, such as \"0.8 0.95\"".into());
        }
        Ok(Self(marks))
    }
}

struct KindWord(PeriodKind);

impl Value for KindWord {
    fn read(text: &str) -> Result<Self, String> {
        let kind = PeriodKind::ALL.into_iter().find(|k| k.word() == text);
        kind.map(Self).ok_or_else(|| "must be one of hour, day, month".into())
    }
}

/// How budgets are shared without leases. `unreserved` holds nothing back: only to measure against.
#[derive(Clone, Copy, PartialEq)]
enum Sharing {
    Equal,
    Unreserved,
}

impl Value for Sharing {
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "equal" => Ok(Self::Equal),
            "unreserved" => Ok(Self::Unreserved),
            _ => {
                Err("must be equal or unreserved (which holds nothing back: only to measure against)".into())
            }
        }
    }
}

struct Day(String);

impl Value for Day {
    fn read(text: &str) -> Result<Self, String> {
        let is_day = Calendar::new("UTC")
            .and_then(|c| c.parse_period(text))
            .is_ok_and(|(kind, _)| kind == PeriodKind::Day);
        is_day.then(|| Self(text.into())).ok_or_else(|| "must be a day such as 2026-12-01".into())
    }
}

struct Currency(String);

impl Value for Currency {
    fn read(text: &str) -> Result<Self, String> {
        let ok = (1..=8).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphabetic());
        ok.then(|| Self(text.into())).ok_or_else(|| "must be 1 to 8 letters".into())
    }
}

/// What the rest of the file knows.
pub struct Known<'a> {
    pub tenants: BTreeSet<&'a str>,
    pub classes: Vec<(&'a str, &'a p::Class)>,
    pub routers: u32,
}

fn path(e: &mut Element<'_, '_>, name: &'static str, errors: &mut Errors) -> Option<PathBuf> {
    e.maybe::<Text>(name, errors).map(|t| t.0.into())
}

fn at_soft(e: &mut Element<'_, '_>, class: Option<&str>, known: &Known<'_>, errors: &mut Errors) -> AtSoft {
    let clamp = e.maybe::<u64>("soft-answer", errors);
    let lower = e.maybe::<Name>("soft-class", errors).map(|n| n.0);
    match (clamp, lower) {
        (None, None) => AtSoft::Warn,
        (Some(0), None) => {
            e.wrong(Some("soft-answer"), "must be at least 1 token", errors);
            AtSoft::Warn
        }
        (Some(tokens), None) => AtSoft::Clamp(tokens),
        (None, Some(lower)) => {
            let to = known.classes.iter().find(|(n, _)| *n == lower).map(|(_, c)| *c);
            let Some(to) = to else {
                e.wrong(Some("soft-class"), format!("no <class name=\"{lower}\">"), errors);
                return AtSoft::Warn;
            };
            // The rules follow the effect: it must not change with the standing.
            let from = known.classes.iter().filter(|(n, _)| class.is_none_or(|c| c == *n));
            for (name, from) in from {
                if from.retry_safety != to.retry_safety {
                    let what = format!(
                        "class `{lower}` has another effect than `{name}`, which would be lowered to it"
                    );
                    e.wrong(Some("soft-class"), what, errors);
                }
            }
            AtSoft::Lower(lower.into())
        }
        (Some(_), Some(_)) => {
            e.wrong(Some("soft-class"), "one of `soft-answer` and `soft-class`, not both", errors);
            AtSoft::Warn
        }
    }
}

fn tenant(e: &mut Element<'_, '_>, known: &Known<'_>, errors: &mut Errors) -> Box<str> {
    let name = e.must("tenant", Name("-".into()), errors).0;
    if !known.tenants.contains(name.as_str()) {
        e.wrong(Some("tenant"), format!("no <tenant name=\"{name}\">"), errors);
    }
    name.into()
}

fn limit(e: &mut Element<'_, '_>, known: &Known<'_>, errors: &mut Errors) -> (AccountKey, Limit) {
    let tenant = tenant(e, known, errors);
    let class = e.maybe::<Name>("class", errors).map(|n| n.0);
    if class.as_ref().is_some_and(|c| !known.classes.iter().any(|(n, _)| n == c)) {
        e.wrong(Some("class"), "no such <class>", errors);
    }
    let kind = e.must("period", KindWord(PeriodKind::Day), errors).0;
    let tokens = e.must("tokens", 1_u64, errors);
    if tokens == 0 || tokens > u64::MAX / Units::A_TOKEN / 1_000 {
        e.wrong(Some("tokens"), "must be 1 to 18446744073709", errors);
    }
    let soft = e.or("soft", Thousandths(1_000), errors).0;
    if soft > 1_000 {
        e.wrong(Some("soft"), "must be a share up to 1", errors);
    }
    let limit = Limit {
        hard: Units::tokens(tokens),
        soft,
        at_soft: at_soft(e, class.as_deref(), known, errors),
        at_hard: e.maybe::<u64>("least-answer", errors).map_or(AtHard::Refuse, AtHard::Clamp),
        marks: e.or("marks", Marks(Vec::new()), errors).0,
    };
    (AccountKey { tenant, class: class.map(Into::into), kind }, limit)
}

fn rate(e: &mut Element<'_, '_>, known: &Known<'_>, errors: &mut Errors) -> (Box<str>, RateLimit) {
    let tenant = tenant(e, known, errors);
    let per_second = Units::tokens(e.must("tokens-per-s", 1_u64, errors));
    let burst = e.maybe::<u64>("burst", errors).map_or(per_second, Units::tokens);
    if per_second == Units(0) {
        e.wrong(Some("tokens-per-s"), "must be at least 1", errors);
    }
    (tenant, RateLimit { per_second, burst })
}

fn price(e: &mut Element<'_, '_>, errors: &mut Errors) -> Price {
    Price {
        from: e.must("from", Day("2000-01-01".into()), errors).0,
        currency: e.must("currency", Currency("x".into()), errors).0,
        prompt: e.must("prompt", 0_u64, errors),
        cached: e.must("kept", 0_u64, errors),
        output: e.must("output", 0_u64, errors),
    }
}

fn settlement(e: &mut Element<'_, '_>, errors: &mut Errors) -> Settlement {
    let micros = |span: Span| span.0 .0;
    let terms = LeaseTerms {
        epoch: micros(e.or("epoch", Span(p::Micros(1_000_000)), errors)),
        lease: micros(e.or("lease", Span(p::Micros(10_000_000)), errors)),
        clock_error: micros(e.or("clock-error", Span(p::Micros(250_000)), errors)),
        even: e.or("even", 4_u64, errors),
    };
    if terms.epoch < 50_000 {
        e.wrong(Some("epoch"), "must be at least 50ms", errors);
    }
    if terms.lease < terms.epoch.saturating_mul(3) {
        e.wrong(Some("lease"), "must be at least three epochs, so that a late round does no harm", errors);
    }
    let (mut routers, mut names): (Vec<(String, PathBuf)>, _) = (Vec::new(), UniqueNames::default());
    for mut r in e.children(&["ledger"], errors) {
        let name = r.must("router", Name("-".into()), errors).0;
        names.add(&name, &r, "router", errors);
        routers.push((name, r.must("folder", Text(String::new()), errors).0.into()));
        r.done(errors);
    }
    let journal = e.must("journal", Text(String::new()), errors).0.into();
    if routers.is_empty() {
        e.wrong(None, "<settlement> needs a <ledger router=\"..\" folder=\"..\"/> for each router", errors);
    }
    e.done(errors);
    Settlement { journal, terms, routers }
}

/// Reads `<budgets>`.
pub fn read(e: &mut Element<'_, '_>, known: &Known<'_>, errors: &mut Errors) -> Budgets {
    let zone = e.or("zone", Text("UTC".into()), errors).0;
    let calendar = Calendar::new(&zone).or_else(|why| {
        e.wrong(Some("zone"), why, errors);
        Calendar::new("UTC")
    });
    let mut weights = Weights::default();
    let (mut limits, mut rates, mut prices, mut settle) =
        (BTreeMap::new(), BTreeMap::new(), Vec::new(), None);
    for mut child in e.children(&["weights", "settlement", "budget", "rate", "price"], errors) {
        match child.tag() {
            "weights" => {
                let mut weight = |name| child.or(name, Thousandths(1_000), errors).0;
                weights =
                    Weights { prompt: weight("prompt"), cached: weight("kept"), output: weight("output") };
            }
            "settlement" => {
                if settle.replace(settlement(&mut child, errors)).is_some() {
                    child.wrong(None, "<settlement> is there twice", errors);
                }
                continue;
            }
            "budget" => {
                let (key, limit) = limit(&mut child, known, errors);
                if limits.insert(key.clone(), limit).is_some() {
                    child.wrong(None, format!("the budget {key} is there twice"), errors);
                }
            }
            "rate" => {
                let (tenant, rate) = rate(&mut child, known, errors);
                if rates.insert(tenant, rate).is_some() {
                    child.wrong(Some("tenant"), "this tenant has a <rate> already", errors);
                }
            }
            _ => {
                let price = price(&mut child, errors);
                if prices.last().is_some_and(|last: &Price| last.from >= price.from) {
                    child.wrong(Some("from"), "prices must be in order of their first days", errors);
                }
                prices.push(price);
            }
        }
        child.done(errors);
    }
    let grants = path(e, "grants", errors);
    let key_file = path(e, "key-file", errors);
    if grants.is_some() && key_file.is_none() {
        e.wrong(Some("grants"), "leases are signed: `key-file` must name the key", errors);
    }
    let epoch = settle.as_ref().map_or(1_000_000, |s: &Settlement| s.terms.epoch);
    let sharing = e.maybe::<Sharing>("sharing", errors);
    if sharing.is_some() && grants.is_some() {
        e.wrong(Some("sharing"), "with `grants`, budgets are shared by leases", errors);
    }
    let mode = match (&grants, sharing) {
        (Some(_), _) => Mode::Leases { epoch, routers: known.routers },
        (None, Some(Sharing::Unreserved)) => Mode::Unreserved(known.routers),
        (None, _) => Mode::Shares(known.routers),
    };
    let segment = e.or("segment-bytes", 64 * 1024 * 1024_u64, errors);
    if !(64 * 1024..=1024 * 1024 * 1024).contains(&segment) {
        e.wrong(Some("segment-bytes"), "must be 65536 to 1073741824", errors);
    }
    let sync = e.or("sync", Span(p::Micros(50_000)), errors).0 .0;
    if sync < 1_000 {
        e.wrong(Some("sync"), "must be at least 1ms", errors);
    }
    let budgets = Budgets {
        plan: Plan {
            calendar: calendar.unwrap_or_default(),
            weights,
            limits,
            rates,
            margin: e.or("margin", Thousandths(100), errors).0,
            mode,
            prices,
        },
        ledger: e.must("ledger", Text(String::new()), errors).0.into(),
        sync: Duration::from_micros(sync),
        segment: usize::try_from(segment).unwrap_or(64 * 1024 * 1024),
        grants,
        key_file,
        settlement: settle,
    };
    e.done(errors);
    budgets
}
