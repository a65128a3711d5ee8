//! The settlement job's decisions: leases for the next epoch from the ledgers of all routers.
//!
//! What a router may still come to spend is never forgotten: a ceiling counts from the round that names it
//! until the router's own ledger shows a newer lease, or its time (and the clocks' error) was over when
//! that ledger was read. The sum of what counts never passes the budget.

use std::collections::BTreeMap;

use crate::calendar::{Kind, Span};
use crate::grant::{Allowance, Grant, Outstanding, Round};
use crate::plan::{AccountKey, Plan};
use crate::record::State;
use crate::units::{Time, Units};

/// How long things last, µs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseTerms {
    /// Between two rounds.
    pub epoch: u64,
    /// A lease's life.
    pub lease: u64,
    /// The largest difference between two clocks.
    pub clock_error: u64,
    /// Not a time: of what is left, one part in so many is spread evenly over the living routers, for bursts.
    pub even: u64,
}

/// A router's lease is newer than the journal: another settlement job works with another journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalForkError {
    /// Whose ledger shows it.
    pub router: Box<str>,
    /// The lease's number.
    pub number: u64,
    /// The newest of this journal.
    pub head: u64,
}

impl std::fmt::Display for JournalForkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "router {} holds lease {}, this journal ends at {}: another settlement job keeps another journal; \
             stop one and join the journals",
            self.router, self.number, self.head
        )
    }
}

/// One account's standing over all routers, for operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct AccountSummary {
    /// The account.
    pub account: String,
    /// The period's start, µs since 1970.
    pub start: Time,
    /// Of the period, with what was granted beyond.
    pub limit: Units,
    /// Settled.
    pub spent: Units,
    /// Reserved and open.
    pub reserved: Units,
    /// Leased to routers and not used there.
    pub stranded: Units,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Seen {
    state: State,
    /// When the ledger was read, by the settlement job's clock; 0: never.
    read_at: Time,
    /// By account: use at the last round, and its smoothed growth a round.
    pace: BTreeMap<AccountKey, (Time, Units, Units)>,
}

/// Rounds without a new lease taken after which a router is not planned for.
const SILENT_ROUNDS: u64 = 4;
/// Rounds of its pace that a router is granted ahead.
const AHEAD: u64 = 4;
/// Grants for the next period are given so many epochs before it begins.
const EARLY: u64 = 3;

/// The settlement job. Same observations, same rounds.
#[derive(Debug, Clone)]
pub struct LeaseAllocator {
    plan: Plan,
    terms: LeaseTerms,
    /// Granted beyond the plan, by account and period; may be less than nothing.
    extra: BTreeMap<(AccountKey, Time), i64>,
    routers: BTreeMap<Box<str>, Seen>,
    head: u64,
    /// By account and period, then router.
    outstanding: BTreeMap<(AccountKey, Time), BTreeMap<Box<str>, Vec<Outstanding>>>,
}

impl LeaseAllocator {
    /// For these routers; nobody else is granted anything.
    pub fn new(plan: Plan, terms: LeaseTerms, routers: &[&str]) -> Self {
        let routers = routers.iter().map(|r| ((*r).into(), Seen::default())).collect();
        Self { plan, terms, extra: BTreeMap::new(), routers, head: 0, outstanding: BTreeMap::new() }
    }

    /// The newest round that is known.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Other budgets, from the next round on.
    pub fn replan(&mut self, plan: Plan, extra: BTreeMap<(AccountKey, Time), i64>) {
        self.plan = plan;
        self.extra = extra;
    }

    /// Takes the journal's newest entry.
    pub fn apply_round(&mut self, round: &Round) {
        if round.number > self.head {
            self.head = round.number;
            self.outstanding.clear();
            for out in &round.outstanding {
                let place = (out.key.clone(), out.span.start);
                let of_place = self.outstanding.entry(place).or_default();
                of_place.entry(out.router.clone()).or_default().push(out.clone());
            }
        }
    }

    /// Takes the sums of a router's ledger as read at a time; reading must have begun then or later.
    pub fn observe(&mut self, router: &str, read_at: Time, state: &State) {
        if let Some(seen) = self.routers.get_mut(router) {
            seen.state = state.sums();
            seen.read_at = seen.read_at.max(read_at);
        }
    }

    fn limit(&self, key: &AccountKey, start: Time) -> Units {
        let hard = self.plan.limits.get(key).map_or(0, |l| l.hard.0);
        let extra = self.extra.get(&(key.clone(), start)).copied().unwrap_or(0);
        Units(hard.saturating_add_signed(extra))
    }

    /// Whether a lease's time was certainly over when the router's ledger was read.
    fn over(&self, seen: &Seen, until: Time) -> bool {
        seen.read_at > until.after(self.terms.clock_error)
    }

    /// What this router has used or may still come to use.
    fn committed(&self, router: &str, seen: &Seen, place: &(AccountKey, Time)) -> Units {
        let usage = seen.state.usage.get(&place.0, place.1);
        let leased = usage.ceiling.filter(|_| !self.over(seen, seen.state.lease.1)).unwrap_or_default();
        let out = self.unanswered(router, seen, place).unwrap_or_default();
        out.max(leased).max(usage.used())
    }

    /// The highest ceiling that is out to a router for an account and may still be taken.
    fn unanswered(&self, router: &str, seen: &Seen, place: &(AccountKey, Time)) -> Option<Units> {
        let out = self.outstanding.get(place)?.get(router)?;
        out.iter().filter(|o| self.counts(seen, o)).map(|o| o.ceiling).max()
    }

    /// Whether something outstanding may still be taken.
    fn counts(&self, seen: &Seen, out: &Outstanding) -> bool {
        out.number > seen.state.lease.0 && !self.over(seen, out.until)
    }

    /// The next round. It holds once it stands in the journal under its number, alone; then [`Self::apply_round`]
    /// takes it, and its grants may be delivered.
    ///
    /// # Errors
    /// If another journal is at work.
    pub fn next_round(&mut self, now: Time) -> Result<Round, JournalForkError> {
        for (router, seen) in &self.routers {
            if seen.state.lease.0 > self.head {
                return Err(JournalForkError {
                    router: router.clone(),
                    number: seen.state.lease.0,
                    head: self.head,
                });
            }
        }
        let number = self.head + 1;
        let until = now.after(self.terms.lease);
        let mut grants: BTreeMap<Box<str>, Vec<Allowance>> =
            self.routers.keys().map(|r| (r.clone(), Vec::new())).collect();
        let keys: Vec<AccountKey> = self.plan.limits.keys().cloned().collect();
        for key in keys {
            self.pace(&key, now);
            for span in self.spans(key.kind, now) {
                for (router, allowance) in self.share(&key, span) {
                    grants.entry(router).or_default().push(allowance);
                }
            }
        }
        let outstanding = self.outstanding_with(&grants, number, until, now);
        let grants = grants
            .into_iter()
            .map(|(router, allowances)| Grant { router, number, until, allowances })
            .collect();
        Ok(Round { number, at: now, grants, outstanding })
    }

    fn spans(&self, kind: Kind, now: Time) -> Vec<Span> {
        let span = self.plan.calendar.span(kind, now);
        let soon = now.after(self.terms.epoch.saturating_mul(EARLY).max(self.terms.lease / 2));
        if soon >= span.end {
            vec![span, self.plan.calendar.span(kind, span.end)]
        } else {
            vec![span]
        }
    }

    fn pace(&mut self, key: &AccountKey, now: Time) {
        let start = self.plan.calendar.span(key.kind, now).start;
        for seen in self.routers.values_mut() {
            let used = seen.state.usage.get(key, start).used();
            let (at, before, pace) = seen.pace.get(key).copied().unwrap_or_default();
            let grown = if at == start { used.minus(before) } else { used };
            let refused = seen.state.wanted.get(key).map_or(Units(0), |w| w.0);
            let pace = Units(pace.0 / 2).plus(grown).plus(Units(refused.0 / 2));
            seen.pace.insert(key.clone(), (start, used, pace));
        }
    }

    /// Allowances of one account in one period, of routers for which it changes.
    fn share(&self, key: &AccountKey, span: Span) -> Vec<(Box<str>, Allowance)> {
        let place = (key.clone(), span.start);
        let limit = self.limit(key, span.start);
        let used = |seen: &Seen| seen.state.usage.get(key, span.start).used();
        let total: Units = self.routers.values().map(used).sum();
        let left = limit.minus(total);
        let wants: Vec<Want> = self.routers.values().map(|seen| self.want(key, seen)).collect();
        let parts = divide(left, &wants, self.terms.even);
        let committed: Vec<Units> =
            self.routers.iter().map(|(router, seen)| self.committed(router, seen, &place)).collect();
        let mut free = limit.minus(committed.iter().copied().sum());
        // Who wants most is raised first, should not all be possible.
        let mut order: Vec<usize> = (0..wants.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(parts.get(*i).copied().unwrap_or_default()));
        let mut ceilings = vec![Units(0); wants.len()];
        let uses: Vec<Units> = self.routers.values().map(used).collect();
        for i in order {
            let at = |list: &[Units]| list.get(i).copied().unwrap_or_default();
            let desired = at(&uses).plus(at(&parts));
            let raise = desired.minus(at(&committed)).min(free);
            free = free.minus(raise);
            if let Some(ceiling) = ceilings.get_mut(i) {
                *ceiling = desired.min(at(&committed).plus(raise));
            }
        }
        let mut out = Vec::new();
        for ((router, seen), ceiling) in self.routers.iter().zip(ceilings) {
            let usage = seen.state.usage.get(&place.0, place.1);
            let alive = !self.over(seen, seen.state.lease.1);
            // An unanswered round that named it must be overruled by name.
            let named = self.unanswered(router, seen, &place).is_some();
            let nothing_new =
                usage.ceiling == Some(ceiling) || (usage.ceiling.is_none() && ceiling == Units(0));
            // After a lease's end the next one would bring back what it does not name.
            if named || !nothing_new || (!alive && usage.ceiling.is_some()) {
                let elsewhere = total.minus(usage.used());
                let allowance = Allowance { key: key.clone(), span, ceiling, limit, elsewhere };
                out.push((router.clone(), allowance));
            }
        }
        out
    }

    fn want(&self, key: &AccountKey, seen: &Seen) -> Want {
        let pace = seen.pace.get(key).map_or(Units(0), |p| p.2);
        let largest = seen.state.wanted.get(key).map_or(Units(0), |w| w.1);
        // One that takes leases again is planned for from the next round on.
        let silent = self.head.saturating_sub(seen.state.lease.0);
        let alive = seen.read_at > Time(0) && silent < SILENT_ROUNDS;
        Want {
            alive,
            units: Units(pace.0.saturating_mul(AHEAD)).plus(Units(largest.0.saturating_mul(2))),
            largest,
        }
    }

    fn outstanding_with(
        &self,
        grants: &BTreeMap<Box<str>, Vec<Allowance>>,
        number: u64,
        until: Time,
        now: Time,
    ) -> Vec<Outstanding> {
        let ended = |span: Span| now > span.end.after(self.terms.clock_error);
        let mut fresh: BTreeMap<(AccountKey, Time, &str), Outstanding> = BTreeMap::new();
        for (router, allowances) in grants {
            let out = |key: &AccountKey, span: Span, ceiling: Units| Outstanding {
                router: router.clone(),
                key: key.clone(),
                span,
                ceiling,
                number,
                until,
            };
            for a in allowances {
                fresh.insert((a.key.clone(), a.span.start, router), out(&a.key, a.span, a.ceiling));
            }
            // A lease that names nothing new still lengthens the life of what is held under the one before.
            let Some(seen) = self.routers.get(router).filter(|s| !self.over(s, s.state.lease.1)) else {
                continue;
            };
            for (tenant, place, usage) in seen.state.usage.iter() {
                let span =
                    Span { start: place.start, end: self.plan.calendar.span(place.kind, place.start).end };
                let key = AccountKey { tenant: tenant.into(), class: place.class.clone(), kind: place.kind };
                if let Some(ceiling) = usage.ceiling.filter(|_| !ended(span)) {
                    let entry = fresh.entry((key.clone(), place.start, router));
                    entry.or_insert_with(|| out(&key, span, ceiling));
                }
            }
        }
        let mut all: Vec<Outstanding> = Vec::new();
        for old in self.outstanding.values().flat_map(BTreeMap::values).flatten() {
            let counts = self.routers.get(&old.router).is_none_or(|seen| self.counts(seen, old));
            // A newer one that is as high lives longer and says it all.
            let newer = fresh.get(&(old.key.clone(), old.span.start, &*old.router));
            if counts && !ended(old.span) && newer.is_none_or(|n| n.ceiling < old.ceiling) {
                all.push(old.clone());
            }
        }
        all.extend(fresh.into_values());
        all
    }

    #[cfg(test)]
    pub(crate) fn hash_state(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        (self.head, &self.routers, &self.outstanding).hash(into);
    }

    /// Where all accounts stand in their present periods.
    pub fn account_summaries(&self, now: Time) -> Vec<AccountSummary> {
        let mut out = Vec::new();
        for key in self.plan.limits.keys() {
            let start = self.plan.calendar.span(key.kind, now).start;
            let place = (key.clone(), start);
            let mut s = AccountSummary {
                account: key.to_string(),
                start,
                limit: self.limit(key, start),
                spent: Units(0),
                reserved: Units(0),
                stranded: Units(0),
            };
            for (router, seen) in &self.routers {
                let usage = seen.state.usage.get(&place.0, place.1);
                s.spent = s.spent.plus(usage.spent);
                s.reserved = s.reserved.plus(usage.reserved);
                s.stranded = s.stranded.plus(self.committed(router, seen, &place).minus(usage.used()));
            }
            out.push(s);
        }
        out
    }
}

#[derive(Debug, Clone, Copy)]
struct Want {
    alive: bool,
    units: Units,
    /// The largest single request that was refused: less than that is of no use to it.
    largest: Units,
}

/// Divides what is left: a part evenly, the rest by what is wanted; what nobody wants stays back.
fn divide(left: Units, wants: &[Want], even: u64) -> Vec<Units> {
    let alive = wants.iter().filter(|w| w.alive).count() as u64;
    let largest = wants.iter().map(|w| w.largest).max().unwrap_or_default();
    let mut even = left.share(1, even.max(1).saturating_mul(alive.max(1)));
    // Parts too small for a request would strand what is left.
    if even < largest {
        even = Units(0);
    }
    let rest = left.minus(Units(even.0.saturating_mul(alive)));
    let wanted: Units = wants.iter().filter(|w| w.alive).map(|w| w.units).sum();
    let mut parts: Vec<Units> = wants
        .iter()
        .map(|w| match (w.alive, wanted <= rest) {
            (false, _) => Units(0),
            (true, true) => w.units,
            (true, false) => rest.share(w.units.0, wanted.0),
        })
        .collect();
    // Scaled below a single request: the keenest get enough for one, the others nothing.
    if wanted > rest && parts.iter().zip(wants).any(|(p, w)| *p < w.largest && w.alive) {
        let mut left = rest;
        let mut order: Vec<usize> = (0..wants.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(wants.get(*i).map_or(Units(0), |w| w.units)));
        for i in order {
            let (Some(part), Some(want)) = (parts.get_mut(i), wants.get(i)) else { continue };
            let enough = (*part).max(want.largest);
            *part = if enough <= left && want.alive { enough } else { Units(0) };
            left = left.minus(*part);
        }
        // What is too small for the keenest goes to whom it may fit.
        if let Some((part, _)) =
            parts.iter_mut().zip(wants).filter(|(_, w)| w.alive).max_by_key(|(_, w)| w.units)
        {
            *part = part.plus(left);
        }
    }
    for (part, _) in parts.iter_mut().zip(wants).filter(|(_, w)| w.alive) {
        *part = part.plus(even);
    }
    parts
}
