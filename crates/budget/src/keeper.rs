//! What may be spent at one router: decided from its plan, its ledger's sums and its lease alone.

use std::collections::BTreeMap;

use crate::calendar::{Kind, Span};
use crate::grant::Grant;
use crate::plan::{AccountKey, AtHard, AtSoft, Limit, Mode, Plan};
use crate::rate::Bucket;
use crate::record::{accounts, Adopted, Charge, Ending, Open, Record, Settled, Slot, State};
use crate::units::{Time, Units, Usage};

/// A request that wants to be taken.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The router's id of it.
    pub id: &'a str,
    /// Tenant; empty: none.
    pub tenant: &'a str,
    /// Class.
    pub class: &'a str,
    /// The client's identity for it.
    pub identity: Option<&'a str>,
    /// Tokens of its prompt, estimated.
    pub prompt: u64,
    /// The longest answer asked for, in tokens.
    pub output: u64,
}

/// How a request is taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The longest answer, in tokens: as asked, or cut.
    pub output: u64,
    /// It is to be judged as of this class.
    pub lower_to: Option<Box<str>>,
    /// Warning marks passed by it: account, thousandths of the budget.
    pub marks: Vec<(AccountKey, u32)>,
}

/// Why it is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// The period's budget is used up.
    Budget,
    /// This router's part of it is; more may be granted soon.
    Part,
    /// No lease holds here.
    Lease,
    /// Too many tokens a second.
    Rate,
    /// The ledger can't be written.
    Ledger,
}

/// A request that is not taken. Nothing has run, and asking again does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// Which budget; none for [`Why::Rate`] and [`Why::Ledger`].
    pub account: Option<AccountKey>,
    /// Come back after so many µs.
    pub retry_after: u64,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let what = match self.why {
            Why::Budget => "the token budget of this period is used up",
            Why::Part => "this router's part of the token budget is used up for now",
            Why::Lease => "this router holds no current lease of the token budget",
            Why::Rate => "too many tokens a second",
            Why::Ledger => "usage can't be recorded here now",
        };
        f.write_str(what)?;
        if let Some(account) = &self.account {
            write!(f, " ({account})")?;
        }
        f.write_str("; nothing has run, trying again does no harm")
    }
}

/// Why a grant is not taken. The lease that there is stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotAdopted {
    /// For another router.
    NotOurs,
    /// Not newer than the newest seen.
    Old,
    /// Its time is over.
    Expired,
}

/// A tenant's figures at this router, in units but for `refused`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Figures {
    /// Settled in the present period.
    pub spent: u64,
    /// Reserved.
    pub reserved: u64,
    /// Granted here and not used.
    pub stranded: u64,
    /// Requests refused in this life.
    pub refused: u64,
}

/// The wait that refusals for the ledger's sake name, µs.
const LEDGER_WAIT: u64 = 1_000_000;

#[derive(Debug, Clone, Default)]
struct Book {
    /// Refused for want of room since the last lease, by account: sum and largest.
    wanted: BTreeMap<AccountKey, (Units, Units)>,
    refused: u64,
}

/// The decisions of one router. Same events, same answers.
#[derive(Debug, Clone)]
pub struct Keeper {
    router: Box<str>,
    plan: Plan,
    limits: BTreeMap<Box<str>, Vec<(AccountKey, Limit)>>,
    state: State,
    /// Spans as the calendar gave them last.
    spans: BTreeMap<Kind, Span>,
    /// By account: the limit that the newest grant named, and what was used elsewhere.
    told: BTreeMap<(AccountKey, Time), (Units, Units)>,
    books: BTreeMap<Box<str>, Book>,
    buckets: BTreeMap<Box<str>, Bucket>,
    /// Charged to which bucket, by request.
    writable: bool,
    out: Vec<(u64, Record)>,
}

impl Keeper {
    /// From the sums that recovery gave. What was open belongs to a life that is over: it is settled here,
    /// at no cost, since its client was cut off.
    pub fn new(router: &str, plan: Plan, state: State, now: Time) -> Self {
        let mut keeper = Self {
            router: router.into(),
            limits: by_tenant(&plan),
            plan,
            state,
            spans: BTreeMap::new(),
            told: BTreeMap::new(),
            books: BTreeMap::new(),
            buckets: BTreeMap::new(),
            writable: true,
            out: Vec::new(),
        };
        let now = keeper.time(now);
        keeper.write(Record::Started(now));
        let orphans: Vec<Box<str>> = keeper.state.open.keys().cloned().collect();
        for id in orphans {
            keeper.settle(now, &id, Ending::Orphaned, Usage::default(), (None, None));
        }
        keeper
    }

    /// Records to be kept, with their numbers: before anything that follows from them leaves the router.
    pub fn take_records(&mut self, into: &mut Vec<(u64, Record)>) {
        into.append(&mut self.out);
    }

    /// The ledger can or can't be written from now on.
    pub fn set_writable(&mut self, writable: bool) {
        self.writable = writable;
    }

    /// The sums so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Other budgets, rates and prices; what is spent and reserved stays, as do streams of tenants that the
    /// new plan does not know.
    pub fn replan(&mut self, plan: Plan) {
        self.limits = by_tenant(&plan);
        self.spans.clear();
        let parts = parts(plan.mode);
        for (tenant, bucket) in &mut self.buckets {
            if let Some(rate) = plan.rates.get(tenant) {
                bucket.change(rate.per_second.share(1, parts), rate.burst.share(1, parts));
            }
        }
        self.buckets.retain(|tenant, _| plan.rates.contains_key(tenant));
        self.plan = plan;
    }

    /// No time goes behind what the ledger has told: a clock that was set back opens no old period and
    /// lengthens no lease.
    fn time(&self, now: Time) -> Time {
        now.max(self.state.last)
    }

    fn write(&mut self, record: Record) -> bool {
        let number = self.state.sequence + 1;
        let new = self.state.take(number, &record);
        self.out.push((number, record));
        new
    }

    fn span(&mut self, kind: Kind, now: Time) -> Span {
        match self.spans.get(&kind) {
            Some(span) if span.holds(now) => *span,
            _ => {
                let span = self.plan.calendar.span(kind, now);
                self.spans.insert(kind, span);
                span
            }
        }
    }

    /// What may still be used of an account in a period; why it is no more.
    fn room(&self, key: &(AccountKey, Time), limit: &Limit, now: Time) -> (Units, Why) {
        let held = self.state.held.get(key).copied().unwrap_or_default();
        match self.plan.mode {
            Mode::Shares(routers) => {
                let part = limit.hard.share(1, routers.into());
                (part.minus(held.used()), if routers > 1 { Why::Part } else { Why::Budget })
            }
            Mode::Unreserved(_) => {
                // The whole budget, known only here, against what is settled here.
                let room = limit.hard.minus(held.spent);
                (if room > Units(0) { Units(u64::MAX) } else { room }, Why::Budget)
            }
            Mode::Leases { .. } => {
                if self.state.lease.1 <= now {
                    return (Units(0), Why::Lease);
                }
                let Some(ceiling) = held.ceiling else { return (Units(0), Why::Part) };
                let over = self
                    .told
                    .get(key)
                    .is_some_and(|(limit, elsewhere)| elsewhere.plus(held.used()) >= *limit);
                (ceiling.minus(held.used()), if over { Why::Budget } else { Why::Part })
            }
        }
    }

    /// Thousandths of the budget that are used, over all routers as far as is known here.
    fn used_part(&self, key: &(AccountKey, Time), limit: &Limit, more: Units) -> u32 {
        let held = self.state.held.get(key).copied().unwrap_or_default();
        let (whole, used) = match (self.plan.mode, self.told.get(key)) {
            (Mode::Shares(n), _) => (limit.hard.share(1, n.into()), held.used()),
            (Mode::Unreserved(_), _) => (limit.hard, held.spent),
            (Mode::Leases { .. }, Some((limit, elsewhere))) => (*limit, held.used().plus(*elsewhere)),
            (Mode::Leases { .. }, None) => (limit.hard, held.used()),
        };
        let part = u128::from(used.plus(more).0) * 1_000 / u128::from(whole.0.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Takes a request by reserving its worst case, or says why not and when to come back.
    ///
    /// # Errors
    /// The refusal.
    pub fn admit(&mut self, now: Time, ask: Ask<'_>) -> Result<Admission, Refusal> {
        let now = self.time(now);
        let refused = self.decide(now, ask);
        if let Err(refusal) = &refused {
            let worst = self.plan.weights.worst(self.plan.raised(ask.prompt), ask.output);
            let book = self.books.entry(ask.tenant.into()).or_default();
            book.refused += 1;
            if let (Why::Part | Why::Lease, Some(account)) = (refusal.why, &refusal.account) {
                let (sum, largest) = book.wanted.entry(account.clone()).or_default();
                *sum = sum.plus(worst);
                *largest = worst.max(*largest);
            }
        }
        refused
    }

    fn decide(&mut self, now: Time, ask: Ask<'_>) -> Result<Admission, Refusal> {
        if !self.writable {
            return Err(Refusal { why: Why::Ledger, account: None, retry_after: LEDGER_WAIT });
        }
        let prompt = self.plan.raised(ask.prompt);
        let mut admission = Admission { output: ask.output, lower_to: None, marks: Vec::new() };
        let limits = self.limits.remove(ask.tenant).unwrap_or_default();
        let mut slots = Vec::with_capacity(limits.len());
        let mut fit = Ok(());
        for (key, limit) in limits.iter().filter(|(k, _)| k.class.as_deref().is_none_or(|c| c == ask.class)) {
            let span = self.span(key.kind, now);
            let place = (key.clone(), span.start);
            let soft = limit.soft < 1_000 && self.used_part(&place, limit, Units(0)) >= limit.soft;
            if soft {
                match &limit.at_soft {
                    AtSoft::Warn => {}
                    AtSoft::Clamp(most) => admission.output = admission.output.min(*most),
                    AtSoft::Lower(class) => admission.lower_to = Some(class.clone()),
                }
            }
            let (room, why) = self.room(&place, limit, now);
            fit = self.fits(prompt, &mut admission, limit, room).map_err(|()| {
                // At the period's end at the latest, there is a new one.
                let left = span.end.since(now);
                let retry_after = match (why, self.plan.mode) {
                    (Why::Part | Why::Lease, Mode::Leases { epoch, .. }) => epoch.min(left),
                    _ => left,
                };
                Refusal { why, account: Some(key.clone()), retry_after }
            });
            if fit.is_err() {
                break;
            }
            slots.push((place, limit));
        }
        let taken = fit.and_then(|()| self.reserve(now, ask, prompt, &mut admission, &slots));
        if !limits.is_empty() {
            self.limits.insert(ask.tenant.into(), limits);
        }
        taken.map(|()| admission)
    }

    /// Cuts the answer to what is left, where that is agreed.
    fn fits(&self, prompt: u64, admission: &mut Admission, limit: &Limit, room: Units) -> Result<(), ()> {
        let weights = self.plan.weights;
        if weights.worst(prompt, admission.output) <= room {
            return Ok(());
        }
        let AtHard::Clamp(least) = limit.at_hard else { return Err(()) };
        let left = room.minus(weights.worst(prompt, 0)).0 / u64::from(weights.output.max(1));
        if left < least.max(1) || weights.worst(prompt, left) > room {
            return Err(());
        }
        admission.output = admission.output.min(left);
        Ok(())
    }

    fn reserve(
        &mut self,
        now: Time,
        ask: Ask<'_>,
        prompt: u64,
        admission: &mut Admission,
        slots: &[((AccountKey, Time), &Limit)],
    ) -> Result<(), Refusal> {
        let amount = self.plan.weights.worst(prompt, admission.output);
        if let Some(rate) = self.plan.rates.get(ask.tenant) {
            let parts = parts(self.plan.mode);
            let fresh = || Bucket::new(rate.per_second.share(1, parts), rate.burst.share(1, parts), now);
            let bucket = self.buckets.entry(ask.tenant.into()).or_insert_with(fresh);
            let retry = |retry_after| Refusal { why: Why::Rate, account: None, retry_after };
            bucket.room(now, amount).map_err(retry)?;
            bucket.take(amount);
        }
        for (place, limit) in slots.iter().filter(|(_, l)| !l.marks.is_empty()) {
            let (before, after) =
                (self.used_part(place, limit, Units(0)), self.used_part(place, limit, amount));
            let passed = limit.marks.iter().filter(|m| before < **m && **m <= after);
            admission.marks.extend(passed.map(|m| (place.0.clone(), *m)));
        }
        let slot = |(key, start): &(AccountKey, Time)| Slot {
            class: key.class.clone(),
            kind: key.kind,
            start: *start,
        };
        self.write(Record::Reserved(Charge {
            id: ask.id.into(),
            tenant: ask.tenant.into(),
            class: ask.class.into(),
            identity: ask.identity.map(Into::into),
            at: now,
            amount,
            slots: slots.iter().map(|(place, _)| slot(place)).collect(),
        }));
        Ok(())
    }

    /// Ends a reservation. A second settlement, or one of a request that was never taken, changes nothing.
    pub fn settle(
        &mut self,
        now: Time,
        id: &str,
        ending: Ending,
        usage: Usage,
        attempts: (Option<u32>, Option<u32>),
    ) -> bool {
        let now = self.time(now);
        let Some(open) = self.state.open.get(id) else { return false };
        let usage = match ending {
            Ending::Served | Ending::Left => usage,
            _ => Usage::default(),
        };
        let cost = self.plan.weights.cost(usage);
        if let Some(bucket) = self.buckets.get_mut(&open.tenant) {
            if cost <= open.amount {
                bucket.give_back(open.amount.minus(cost));
            } else {
                bucket.take(cost.minus(open.amount));
            }
        }
        let (read, write) = attempts;
        self.write(Record::Settled(Settled { id: id.into(), at: now, ending, usage, cost, read, write }))
    }

    /// Takes a grant whose signature was checked.
    ///
    /// # Errors
    /// If it is not this router's, not newer than the newest, or over.
    pub fn adopt(&mut self, now: Time, grant: &Grant) -> Result<(), NotAdopted> {
        let now = self.time(now);
        if grant.router != self.router {
            return Err(NotAdopted::NotOurs);
        }
        if grant.number <= self.state.lease.0 {
            return Err(NotAdopted::Old);
        }
        if grant.until <= now {
            return Err(NotAdopted::Expired);
        }
        let mut ceilings = Vec::with_capacity(grant.allowances.len());
        for a in &grant.allowances {
            let place = (a.key.clone(), a.span.start);
            // What is used can't be given back; the grantor learns it from the record.
            let used = self.state.held.get(&place).map_or(Units(0), |h| h.used());
            ceilings.push((a.key.clone(), a.span, a.ceiling.max(used)));
            self.told.insert(place, (a.limit, a.elsewhere));
        }
        let mut wanted = Vec::new();
        for book in self.books.values_mut() {
            wanted
                .extend(std::mem::take(&mut book.wanted).into_iter().map(|(k, (sum, most))| (k, sum, most)));
        }
        self.write(Record::Adopted(Adopted {
            number: grant.number,
            at: now,
            until: grant.until,
            ceilings,
            wanted,
        }));
        let held = &self.state.held;
        self.told.retain(|place, _| held.contains_key(place));
        Ok(())
    }

    /// A state record, for the head of a new ledger segment. It changes no sums.
    pub fn checkpoint(&mut self) {
        let state = self.state.clone();
        self.write(Record::State(Box::new(state)));
    }

    /// A tenant's figures here, over its accounts of the longest kind without a class; for metrics.
    pub fn figures(&self, now: Time) -> BTreeMap<Box<str>, Figures> {
        let now = self.time(now);
        let mut out: BTreeMap<Box<str>, Figures> = BTreeMap::new();
        for (tenant, limits) in &self.limits {
            let longest = limits.iter().filter(|(k, _)| k.class.is_none()).max_by_key(|(k, _)| k.kind);
            let Some((key, limit)) = longest.or(limits.last()) else { continue };
            let place = (key.clone(), self.plan.calendar.span(key.kind, now).start);
            let held = self.state.held.get(&place).copied().unwrap_or_default();
            let figures = out.entry(tenant.clone()).or_default();
            (figures.spent, figures.reserved) = (held.spent.0, held.reserved.0);
            figures.stranded = match self.plan.mode {
                Mode::Leases { .. } => held.ceiling.map_or(0, |c| c.minus(held.used()).0),
                _ => self.room(&place, limit, now).0 .0,
            };
        }
        for (tenant, book) in &self.books {
            out.entry(tenant.clone()).or_default().refused = book.refused;
        }
        out
    }

    #[cfg(test)]
    pub(crate) fn hash_state(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        (&self.state, &self.told).hash(into);
        for book in self.books.values() {
            book.wanted.hash(into);
        }
    }

    /// What an open request has reserved, and where; for tests and the operator's view.
    pub fn reservation(&self, id: &str) -> Option<(&Open, Vec<(AccountKey, Time)>)> {
        self.state.open.get(id).map(|o| (o, accounts(o).collect()))
    }
}

fn by_tenant(plan: &Plan) -> BTreeMap<Box<str>, Vec<(AccountKey, Limit)>> {
    let mut out: BTreeMap<Box<str>, Vec<(AccountKey, Limit)>> = BTreeMap::new();
    for (key, limit) in &plan.limits {
        out.entry(key.tenant.clone()).or_default().push((key.clone(), limit.clone()));
    }
    out
}

/// The number of parts that a rate is divided into.
fn parts(mode: Mode) -> u64 {
    match mode {
        Mode::Shares(n) | Mode::Leases { routers: n, .. } | Mode::Unreserved(n) => u64::from(n.max(1)),
    }
}
