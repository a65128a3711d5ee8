//! Admission: a request reserves its worst-case cost in all accounts of its tenant or is denied.

use std::collections::BTreeMap;

use crate::calendar::{Period, PeriodKind};
use crate::plan::{AccountKey, Limit, Mode, Plan};
use crate::record::{Record, Reservation};
use crate::state::{AccountPeriod, State};
use crate::token_bucket::TokenBucket;
use crate::units::{Time, Units};

use super::account::{AccountBalance, TenantAccount};
use super::{router_part, BudgetEnforcer};

/// Retry time of a denial while the ledger can't be written, in microseconds.
const LEDGER_RETRY_AFTER: u64 = 1_000_000;

/// A request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct ReservationRequest<'a> {
    /// The request's id at the router.
    pub id: &'a str,
    /// The tenant; empty if the request has none.
    pub tenant: &'a str,
    /// The request's class.
    pub class: &'a str,
    /// The client's idempotency key.
    pub identity: Option<&'a str>,
    /// Estimated tokens of the prompt.
    pub prompt: u64,
    /// Maximum length of the answer in tokens, as requested.
    pub output: u64,
}

/// The terms on which a request is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Maximum length of the answer in tokens: as requested or reduced.
    pub output: u64,
    /// The lower class as which the request is handled, if any.
    pub lower_to: Option<Box<str>>,
    /// Warning marks that the reservation passed.
    pub marks: Vec<BudgetMark>,
}

/// Warning mark of an account's budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetMark {
    /// The account.
    pub account: AccountKey,
    /// Thousandths of the account's budget.
    pub thousandths: u32,
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DenialReason {
    /// The period's budget is used up.
    BudgetExhausted,
    /// This router's share of the period's budget is used up; the next lease may grant more.
    RouterShareExhausted,
    /// This router holds no lease.
    NoLease,
    /// The tenant's token rate is exceeded.
    RateLimited,
    /// The ledger can't be written.
    LedgerUnavailable,
}

/// The denial of a request. The request was not executed and can safely be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denial {
    /// Why the request is denied.
    pub reason: DenialReason,
    /// The account that denied the request. `None` for [`DenialReason::RateLimited`] and
    /// [`DenialReason::LedgerUnavailable`].
    pub account: Option<AccountKey>,
    /// Time to wait before a retry, in microseconds.
    pub retry_after: u64,
}

impl std::fmt::Display for Denial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cause = match self.reason {
            DenialReason::BudgetExhausted => "the token budget of this period is used up",
            DenialReason::RouterShareExhausted => "this router's part of the token budget is used up for now",
            DenialReason::NoLease => "this router holds no current lease of the token budget",
            DenialReason::RateLimited => "too many tokens a second",
            DenialReason::LedgerUnavailable => "usage can't be recorded here now",
        };
        f.write_str(cause)?;
        if let Some(account) = &self.account {
            write!(f, " ({account})")?;
        }
        f.write_str("; nothing has run, trying again does no harm")
    }
}

/// Reservation of an admitted request.
struct ReservedAmount {
    amount: Units,
    account_periods: Vec<AccountPeriod>,
}

impl BudgetEnforcer {
    /// Admits a request by reserving its worst-case cost.
    ///
    /// # Errors
    /// The reason for a denial and the time to wait before a retry.
    pub fn admit(&mut self, now: Time, request: ReservationRequest<'_>) -> Result<Admission, Denial> {
        let now = self.monotonic(now);
        let decision = self.decide(now, request);
        if let Err(denial) = &decision {
            self.count_denial(request, denial);
        }
        decision
    }

    fn decide(&mut self, now: Time, request: ReservationRequest<'_>) -> Result<Admission, Denial> {
        if !self.writable {
            let reason = DenialReason::LedgerUnavailable;
            return Err(Denial { reason, account: None, retry_after: LEDGER_RETRY_AFTER });
        }
        let mut admission = Admission { output: request.output, lower_to: None, marks: Vec::new() };
        let prompt = self.plan.with_margin(request.prompt);
        let Self { plan, state, current_periods, tenants, .. } = self;
        let reserved = match tenants.get_mut(request.tenant) {
            Some(tenant) => {
                let mut decision = Decision { plan, state, current_periods, now, request, prompt };
                decision.reserve(tenant, &mut admission)?
            }
            // Tenants without a budget are admitted without limit and recorded for the bill.
            None => {
                let amount = plan.weights.worst(prompt, request.output);
                ReservedAmount { amount, account_periods: Vec::new() }
            }
        };
        self.record(Record::Reserved(Reservation {
            id: request.id.into(),
            tenant: request.tenant.into(),
            class: request.class.into(),
            identity: request.identity.map(Into::into),
            at: now,
            amount: reserved.amount,
            account_periods: reserved.account_periods,
        }));
        Ok(admission)
    }

    /// Counts a denial. If a larger share could have admitted the request, its demand is kept for the next lease.
    fn count_denial(&mut self, request: ReservationRequest<'_>, denial: &Denial) {
        let worst = self.plan.weights.worst(self.plan.with_margin(request.prompt), request.output);
        if !self.tenants.contains_key(request.tenant) {
            self.tenants.insert(request.tenant.into(), TenantAccount::default());
        }
        let Some(tenant) = self.tenants.get_mut(request.tenant) else { return };
        tenant.denied += 1;
        if let (DenialReason::RouterShareExhausted | DenialReason::NoLease, Some(account)) =
            (denial.reason, &denial.account)
        {
            tenant.demand.entry(account.clone()).or_default().add(worst);
        }
    }
}

/// One decision on a request whose tenant has accounts or a rate.
struct Decision<'a> {
    plan: &'a Plan,
    state: &'a State,
    current_periods: &'a mut BTreeMap<PeriodKind, Period>,
    now: Time,
    request: ReservationRequest<'a>,
    /// Tokens of the prompt plus the plan's margin.
    prompt: u64,
}

impl<'a> Decision<'a> {
    /// Checks all accounts and the rate. Takes from the rate's bucket only if all accounts admit the request.
    fn reserve(
        &mut self,
        tenant: &mut TenantAccount,
        admission: &mut Admission,
    ) -> Result<ReservedAmount, Denial> {
        let mut balances = Vec::with_capacity(tenant.limits.len());
        let mut account_periods = Vec::new();
        for (key, limit) in &tenant.limits {
            if key.class.as_deref().is_some_and(|class| class != self.request.class) {
                continue;
            }
            let period = self.current_period(key.kind);
            let account_period = AccountPeriod::new(key, period.start);
            let balance = self.balance(key, limit, &account_period, tenant);
            balance.apply_soft_limit(self.plan.mode, admission);
            self.fit(&balance, period, admission)?;
            balances.push(balance);
            account_periods.push(account_period);
        }
        let amount = self.plan.weights.worst(self.prompt, admission.output);
        admission.marks = reached_marks(&balances, self.plan.mode, amount);
        self.take_from_rate(tenant, amount)?;
        Ok(ReservedAmount { amount, account_periods })
    }

    /// The current period of a kind. The calendar is evaluated once for each period.
    fn current_period(&mut self, kind: PeriodKind) -> Period {
        match self.current_periods.get(&kind) {
            Some(period) if period.contains(self.now) => *period,
            _ => {
                let period = self.plan.calendar.period(kind, self.now);
                self.current_periods.insert(kind, period);
                period
            }
        }
    }

    fn balance<'t>(
        &self,
        key: &'t AccountKey,
        limit: &'t Limit,
        account_period: &AccountPeriod,
        tenant: &TenantAccount,
    ) -> AccountBalance<'t> {
        let of_tenant = self.state.usage.of_tenant(self.request.tenant);
        let usage = of_tenant.and_then(|periods| periods.get(account_period)).copied().unwrap_or_default();
        let granted = tenant.granted.get(account_period).copied();
        AccountBalance { key, limit, usage, granted }
    }

    /// Reduces the answer to the available units if the plan allows it; otherwise denies the request.
    fn fit(
        &self,
        balance: &AccountBalance<'_>,
        period: Period,
        admission: &mut Admission,
    ) -> Result<(), Denial> {
        let capacity = balance.capacity(self.plan.mode, self.state.lease.until, self.now);
        let fitting = balance.longest_answer(self.plan, self.prompt, admission.output, capacity.available);
        if let Some(output) = fitting {
            admission.output = output;
            return Ok(());
        }
        // The next period begins with a new budget, independently of leases.
        let until_next_period = period.end.since(self.now);
        let retry_after = match (capacity.limited_by, self.plan.mode) {
            (DenialReason::RouterShareExhausted | DenialReason::NoLease, Mode::Leases { epoch, .. }) => {
                epoch.min(until_next_period)
            }
            _ => until_next_period,
        };
        Err(Denial { reason: capacity.limited_by, account: Some(balance.key.clone()), retry_after })
    }

    fn take_from_rate(&self, tenant: &mut TenantAccount, amount: Units) -> Result<(), Denial> {
        let Some(rate) = self.plan.rates.get(self.request.tenant) else { return Ok(()) };
        let mode = self.plan.mode;
        let new =
            || TokenBucket::new(router_part(rate.per_second, mode), router_part(rate.burst, mode), self.now);
        let bucket = tenant.bucket.get_or_insert_with(new);
        bucket.check_available(self.now, amount).map_err(|retry_after| Denial {
            reason: DenialReason::RateLimited,
            account: None,
            retry_after,
        })?;
        bucket.take(amount);
        Ok(())
    }
}

/// The warning marks that a reservation of this amount reaches.
fn reached_marks(balances: &[AccountBalance<'_>], mode: Mode, amount: Units) -> Vec<BudgetMark> {
    let mut marks = Vec::new();
    for balance in balances.iter().filter(|balance| !balance.limit.marks.is_empty()) {
        let before = balance.used_thousandths(mode, Units(0));
        let after = balance.used_thousandths(mode, amount);
        for mark in balance.limit.marks.iter().copied() {
            if before < mark && mark <= after {
                marks.push(BudgetMark { account: balance.key.clone(), thousandths: mark });
            }
        }
    }
    marks
}
