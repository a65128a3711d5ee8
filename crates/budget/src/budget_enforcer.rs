//! What may be spent at one router: decided from its plan, its ledger's sums and its lease alone.

use std::collections::{BTreeMap, BTreeSet};

use crate::calendar::{Kind, Span};
use crate::grant::Grant;
use crate::plan::{AccountKey, AtHard, AtSoft, Limit, Mode, Plan};
use crate::rate::Bucket;
use crate::record::{AccountUsage, Adopted, Charge, Ending, Open, Place, Record, Settled, State};
use crate::units::{Time, Units, Usage};

/// A request that wants to be taken.
#[derive(Debug, Clone, Copy)]
pub struct ReservationRequest<'a> {
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
pub enum DenialReason {
    /// The period's budget is used up.
    BudgetExhausted,
    /// This router's part of it is; more may be granted soon.
    RouterShareExhausted,
    /// No lease holds here.
    NoLease,
    /// Too many tokens a second.
    RateLimited,
    /// The ledger can't be written.
    LedgerUnavailable,
}

/// A request that is not taken. Nothing has run, and asking again does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denial {
    /// Why.
    pub reason: DenialReason,
    /// Which budget; none for [`DenialReason::RateLimited`] and [`DenialReason::LedgerUnavailable`].
    pub account: Option<AccountKey>,
    /// Come back after so many µs.
    pub retry_after: u64,
}

impl std::fmt::Display for Denial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let what = match self.reason {
            DenialReason::BudgetExhausted => "the token budget of this period is used up",
            DenialReason::RouterShareExhausted => "this router's part of the token budget is used up for now",
            DenialReason::NoLease => "this router holds no current lease of the token budget",
            DenialReason::RateLimited => "too many tokens a second",
            DenialReason::LedgerUnavailable => "usage can't be recorded here now",
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
pub enum AdoptLeaseError {
    /// For another router.
    NotOurs,
    /// Not newer than the newest seen.
    Old,
    /// Its time is over.
    Expired,
    /// The ledger can't be written: what is taken could not be told.
    NoLedger,
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
/// Periods that grants told of for a tenant, beyond which those forgotten by the sums go.
const TOLD: usize = 16;

/// A tenant at this router.
#[derive(Debug, Clone, Default)]
struct TenantAccount {
    limits: Vec<(AccountKey, Limit)>,
    /// By account and period: the limit that the newest grant named, and what was used elsewhere.
    told: BTreeMap<Place, (Units, Units)>,
    bucket: Option<Bucket>,
    /// Refused for want of room since the last lease, by account: sum and largest.
    wanted: BTreeMap<AccountKey, (Units, Units)>,
    refused: u64,
}

/// The decisions of one router. Same events, same answers.
#[derive(Debug, Clone)]
pub struct BudgetEnforcer {
    router: Box<str>,
    plan: Plan,
    state: State,
    /// Spans as the calendar gave them last.
    spans: BTreeMap<Kind, Span>,
    tenants: BTreeMap<Box<str>, TenantAccount>,
    writable: bool,
    /// Requests that the life before has taken and still ends.
    inherited: BTreeSet<Box<str>>,
    out: Vec<(u64, Record)>,
}

impl BudgetEnforcer {
    /// From the sums that recovery gave. What was open belongs to a life that is over: it is settled here,
    /// at no cost, since its client was cut off.
    pub fn new(router: &str, plan: Plan, state: State, now: Time) -> Self {
        let mut enforcer = Self::begin(router, plan, state);
        let now = enforcer.time(now);
        enforcer.write(Record::Started(now));
        let orphans: Vec<Box<str>> = enforcer.state.open.keys().cloned().collect();
        enforcer.orphan(now, &orphans);
        enforcer
    }

    /// Takes over from a life that has given up its ledger whole and takes nothing new, but still ends what it
    /// had taken: its settlements come by [`BudgetEnforcer::inherit`], until [`BudgetEnforcer::inherited_all`].
    pub fn succeed(router: &str, plan: Plan, state: State, now: Time) -> Self {
        let mut enforcer = Self::begin(router, plan, state);
        enforcer.inherited = enforcer.state.open.keys().cloned().collect();
        let now = enforcer.time(now);
        enforcer.write(Record::Succeeded(now));
        enforcer
    }

    /// A settlement of the life before.
    pub fn inherit(&mut self, now: Time, settled: &Settled) -> bool {
        let Settled { id, ending, usage, read, write, may_have_run, .. } = settled;
        self.inherited.remove(id) && self.settle(now, id, *ending, *usage, (*read, *write), *may_have_run)
    }

    /// The life before is over: what it has not settled is nobody's any more.
    pub fn inherited_all(&mut self, now: Time) {
        let left: Vec<Box<str>> = std::mem::take(&mut self.inherited).into_iter().collect();
        self.orphan(now, &left);
    }

    fn orphan(&mut self, now: Time, ids: &[Box<str>]) {
        for id in ids {
            self.settle(now, id, Ending::Orphaned, Usage::default(), (None, None), true);
        }
    }

    fn begin(router: &str, plan: Plan, state: State) -> Self {
        Self {
            router: router.into(),
            tenants: by_tenant(&plan),
            plan,
            state,
            spans: BTreeMap::new(),
            writable: true,
            inherited: BTreeSet::new(),
            out: Vec::new(),
        }
    }

    /// Records to be kept, with their numbers: before anything that follows from them leaves the router.
    pub fn take_records(&mut self) -> impl Iterator<Item = (u64, Record)> + '_ {
        self.out.drain(..)
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
        let mut tenants = by_tenant(&plan);
        self.spans.clear();
        let parts = parts(plan.mode);
        for (tenant, old) in std::mem::take(&mut self.tenants) {
            let limits = tenants.get_mut(&tenant).map(|fresh| std::mem::take(&mut fresh.limits));
            let rate = plan.rates.get(&tenant);
            let mut bucket = old.bucket.filter(|_| rate.is_some());
            if let (Some(bucket), Some(rate)) = (&mut bucket, rate) {
                bucket.change(rate.per_second.share(1, parts), rate.burst.share(1, parts));
            }
            tenants.insert(tenant, TenantAccount { limits: limits.unwrap_or_default(), bucket, ..old });
        }
        self.tenants = tenants;
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

    /// Takes a request by reserving its worst case, or says why not and when to come back.
    ///
    /// # Errors
    /// The denial.
    pub fn admit(&mut self, now: Time, request: ReservationRequest<'_>) -> Result<Admission, Denial> {
        let now = self.time(now);
        let decision = self.decide(now, request);
        if let Err(denial) = &decision {
            let worst = self.plan.weights.worst(self.plan.raised(request.prompt), request.output);
            if !self.tenants.contains_key(request.tenant) {
                self.tenants.insert(request.tenant.into(), TenantAccount::default());
            }
            let Some(tenant_account) = self.tenants.get_mut(request.tenant) else { return decision };
            tenant_account.refused += 1;
            if let (DenialReason::RouterShareExhausted | DenialReason::NoLease, Some(account)) =
                (denial.reason, &denial.account)
            {
                let (sum, largest) = tenant_account.wanted.entry(account.clone()).or_default();
                *sum = sum.plus(worst);
                *largest = worst.max(*largest);
            }
        }
        decision
    }

    fn decide(&mut self, now: Time, request: ReservationRequest<'_>) -> Result<Admission, Denial> {
        if !self.writable {
            return Err(Denial {
                reason: DenialReason::LedgerUnavailable,
                account: None,
                retry_after: LEDGER_WAIT,
            });
        }
        let prompt = self.plan.raised(request.prompt);
        let mut admission = Admission { output: request.output, lower_to: None, marks: Vec::new() };
        let Self { plan, state, spans, tenants, .. } = self;
        let mut places = Vec::new();
        let mut amount = plan.weights.worst(prompt, request.output);
        if let Some(tenant_account) = tenants.get_mut(request.tenant) {
            let mine = state.usage.of_tenant(request.tenant);
            let limits = tenant_account
                .limits
                .iter()
                .filter(|(k, _)| k.class.as_deref().is_none_or(|c| c == request.class));
            let mut accounts = Vec::with_capacity(tenant_account.limits.len());
            for (key, limit) in limits {
                let span = span(spans, plan, key.kind, now);
                let place = Place::new(key, span.start);
                let usage = mine.and_then(|m| m.get(&place)).copied().unwrap_or_default();
                let told = tenant_account.told.get(&place).copied();
                let account = Account { key, limit, usage, told };
                if limit.soft < 1_000 && account.used_part(plan.mode, Units(0)) >= limit.soft {
                    match &limit.at_soft {
                        AtSoft::Warn => {}
                        AtSoft::Clamp(most) => admission.output = admission.output.min(*most),
                        AtSoft::Lower(class) => admission.lower_to = Some(class.clone()),
                    }
                }
                let (room, reason) = account.room(plan.mode, state.lease.1, now);
                account.fit(plan, prompt, &mut admission, room).map_err(|()| {
                    // At the period's end at the latest, there is a new one.
                    let left = span.end.since(now);
                    let retry_after = match (reason, plan.mode) {
                        (
                            DenialReason::RouterShareExhausted | DenialReason::NoLease,
                            Mode::Leases { epoch, .. },
                        ) => epoch.min(left),
                        _ => left,
                    };
                    Denial { reason, account: Some(key.clone()), retry_after }
                })?;
                accounts.push(account);
                places.push(place);
            }
            amount = plan.weights.worst(prompt, admission.output);
            if let Some(rate) = plan.rates.get(request.tenant) {
                let parts = parts(plan.mode);
                let fresh = || Bucket::new(rate.per_second.share(1, parts), rate.burst.share(1, parts), now);
                let bucket = tenant_account.bucket.get_or_insert_with(fresh);
                let retry =
                    |retry_after| Denial { reason: DenialReason::RateLimited, account: None, retry_after };
                bucket.room(now, amount).map_err(retry)?;
                bucket.take(amount);
            }
            for account in accounts.iter().filter(|a| !a.limit.marks.is_empty()) {
                let before = account.used_part(plan.mode, Units(0));
                let after = account.used_part(plan.mode, amount);
                let passed = account.limit.marks.iter().filter(|m| before < **m && **m <= after);
                admission.marks.extend(passed.map(|m| (account.key.clone(), *m)));
            }
        }
        self.write(Record::Reserved(Charge {
            id: request.id.into(),
            tenant: request.tenant.into(),
            class: request.class.into(),
            identity: request.identity.map(Into::into),
            at: now,
            amount,
            slots: places,
        }));
        Ok(admission)
    }

    /// Ends a reservation; `may_have_run`: whether it may have had its effect. A second settlement, or one of a request that was never taken, changes nothing.
    pub fn settle(
        &mut self,
        now: Time,
        id: &str,
        ending: Ending,
        usage: Usage,
        attempts: (Option<u32>, Option<u32>),
        may_have_run: bool,
    ) -> bool {
        let now = self.time(now);
        let Some(open) = self.state.open.get(id) else { return false };
        let usage = match ending {
            Ending::Served | Ending::Left => usage,
            _ => Usage::default(),
        };
        let cost = self.plan.weights.cost(usage);
        if let Some(bucket) = self.tenants.get_mut(&open.tenant).and_then(|b| b.bucket.as_mut()) {
            if cost <= open.amount {
                bucket.give_back(open.amount.minus(cost));
            } else {
                bucket.take(cost.minus(open.amount));
            }
        }
        let (read, write) = attempts;
        let id = id.into();
        self.write(Record::Settled(Settled { id, at: now, ending, usage, cost, read, write, may_have_run }))
    }

    /// Takes a grant whose signature was checked.
    ///
    /// # Errors
    /// If it is not this router's, not newer than the newest, or over; or if it can't be recorded.
    pub fn adopt(&mut self, now: Time, grant: &Grant) -> Result<(), AdoptLeaseError> {
        let now = self.time(now);
        if grant.router != self.router {
            return Err(AdoptLeaseError::NotOurs);
        }
        if grant.number <= self.state.lease.0 {
            return Err(AdoptLeaseError::Old);
        }
        if grant.until <= now {
            return Err(AdoptLeaseError::Expired);
        }
        // Nothing new is taken meanwhile, and records that wait for the disk stay as many as requests are open.
        if !self.writable {
            return Err(AdoptLeaseError::NoLedger);
        }
        let mut ceilings = Vec::with_capacity(grant.allowances.len());
        for a in &grant.allowances {
            // What is used can't be given back; the grantor learns it from the record.
            let used = self.state.usage.get(&a.key, a.span.start).used();
            ceilings.push((a.key.clone(), a.span, a.ceiling.max(used)));
            if let Some(tenant_account) = self.tenants.get_mut(&a.key.tenant) {
                tenant_account.told.insert(Place::new(&a.key, a.span.start), (a.limit, a.elsewhere));
            }
        }
        let mut wanted = Vec::new();
        for tenant_account in self.tenants.values_mut() {
            wanted.extend(
                std::mem::take(&mut tenant_account.wanted).into_iter().map(|(k, (sum, most))| (k, sum, most)),
            );
        }
        self.write(Record::Adopted(Adopted {
            number: grant.number,
            at: now,
            until: grant.until,
            ceilings,
            wanted,
        }));
        // As long as the sums remember a period.
        for (tenant, tenant_account) in self.tenants.iter_mut().filter(|(_, b)| b.told.len() > TOLD) {
            let mine = self.state.usage.of_tenant(tenant);
            tenant_account.told.retain(|place, _| mine.is_some_and(|m| m.contains_key(place)));
        }
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
        let spans = Kind::ALL.map(|kind| (kind, self.plan.calendar.span(kind, now).start));
        let mut out: BTreeMap<Box<str>, Figures> = BTreeMap::new();
        for (tenant, tenant_account) in &self.tenants {
            let longest =
                tenant_account.limits.iter().filter(|(k, _)| k.class.is_none()).max_by_key(|(k, _)| k.kind);
            let figures = out.entry(tenant.clone()).or_default();
            figures.refused = tenant_account.refused;
            let Some((key, limit)) = longest.or(tenant_account.limits.last()) else { continue };
            let Some((_, start)) = spans.iter().find(|(kind, _)| *kind == key.kind) else { continue };
            let usage = self.state.usage.get(key, *start);
            (figures.spent, figures.reserved) = (usage.spent.0, usage.reserved.0);
            figures.stranded = match self.plan.mode {
                Mode::Leases { .. } => usage.ceiling.map_or(0, |c| c.minus(usage.used()).0),
                mode => Account { key, limit, usage, told: None }.room(mode, Time(0), now).0 .0,
            };
        }
        out
    }

    #[cfg(test)]
    pub(crate) fn hash_state(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        self.state.hash(into);
        for tenant_account in self.tenants.values() {
            (&tenant_account.wanted, &tenant_account.told).hash(into);
        }
    }

    /// What an open request has reserved, and where; for tests and the operator's view.
    pub fn reservation(&self, id: &str) -> Option<&Open> {
        self.state.open.get(id)
    }
}

/// An account as it stands for one decision.
struct Account<'a> {
    key: &'a AccountKey,
    limit: &'a Limit,
    usage: AccountUsage,
    told: Option<(Units, Units)>,
}

impl Account<'_> {
    /// What may still be used; why it is no more.
    fn room(&self, mode: Mode, lease_until: Time, now: Time) -> (Units, DenialReason) {
        let (usage, hard) = (self.usage, self.limit.hard);
        match mode {
            Mode::Shares(routers) => {
                let part = hard.share(1, routers.into());
                (
                    part.minus(usage.used()),
                    if routers > 1 {
                        DenialReason::RouterShareExhausted
                    } else {
                        DenialReason::BudgetExhausted
                    },
                )
            }
            Mode::Unreserved(_) => {
                // The whole budget, known only here, against what is settled here.
                let room = hard.minus(usage.spent);
                (if room > Units(0) { Units(u64::MAX) } else { room }, DenialReason::BudgetExhausted)
            }
            Mode::Leases { .. } if lease_until <= now => (Units(0), DenialReason::NoLease),
            Mode::Leases { .. } => {
                let Some(ceiling) = usage.ceiling else {
                    return (Units(0), DenialReason::RouterShareExhausted);
                };
                let over = self.told.is_some_and(|(limit, elsewhere)| elsewhere.plus(usage.used()) >= limit);
                (
                    ceiling.minus(usage.used()),
                    if over { DenialReason::BudgetExhausted } else { DenialReason::RouterShareExhausted },
                )
            }
        }
    }

    /// Thousandths of the budget that are used, over all routers as far as is known here.
    fn used_part(&self, mode: Mode, more: Units) -> u32 {
        let (usage, hard) = (self.usage, self.limit.hard);
        let (whole, used) = match (mode, self.told) {
            (Mode::Shares(n), _) => (hard.share(1, n.into()), usage.used()),
            (Mode::Unreserved(_), _) => (hard, usage.spent),
            (Mode::Leases { .. }, Some((limit, elsewhere))) => (limit, usage.used().plus(elsewhere)),
            (Mode::Leases { .. }, None) => (hard, usage.used()),
        };
        let part = u128::from(used.plus(more).0) * 1_000 / u128::from(whole.0.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Cuts the answer to what is left, where that is agreed.
    fn fit(&self, plan: &Plan, prompt: u64, admission: &mut Admission, room: Units) -> Result<(), ()> {
        let weights = plan.weights;
        if weights.worst(prompt, admission.output) <= room {
            return Ok(());
        }
        let AtHard::Clamp(least) = self.limit.at_hard else { return Err(()) };
        let left = room.minus(weights.worst(prompt, 0)).0 / u64::from(weights.output.max(1));
        if left < least.max(1) || weights.worst(prompt, left) > room {
            return Err(());
        }
        admission.output = admission.output.min(left);
        Ok(())
    }
}

/// The period of a kind, from the calendar once for each.
fn span(spans: &mut BTreeMap<Kind, Span>, plan: &Plan, kind: Kind, now: Time) -> Span {
    match spans.get(&kind) {
        Some(span) if span.holds(now) => *span,
        _ => {
            let span = plan.calendar.span(kind, now);
            spans.insert(kind, span);
            span
        }
    }
}

fn by_tenant(plan: &Plan) -> BTreeMap<Box<str>, TenantAccount> {
    let mut out: BTreeMap<Box<str>, TenantAccount> = BTreeMap::new();
    for (key, limit) in &plan.limits {
        out.entry(key.tenant.clone()).or_default().limits.push((key.clone(), limit.clone()));
    }
    for tenant in plan.rates.keys() {
        out.entry(tenant.clone()).or_default();
    }
    out
}

/// The number of parts that a rate is divided into.
fn parts(mode: Mode) -> u64 {
    match mode {
        Mode::Shares(n) | Mode::Leases { routers: n, .. } | Mode::Unreserved(n) => u64::from(n.max(1)),
    }
}
