//! Computes a bill by joining requests with the engines' work for them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Bill, Cause, Difference, EngineRecord, LineKey};
use crate::calendar::Period;
use crate::plan::Plan;
use crate::record::{Ending, Record, Reservation, Settled};
use crate::units::{Time, Usage};

/// A request as recorded in its ledger.
#[derive(Debug, Clone)]
struct Request {
    reservation: Reservation,
    settled: Option<Settled>,
}

/// Key of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    request: Box<str>,
    attempt: u32,
}

/// A tenant's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TenantIdentity {
    tenant: Box<str>,
    identity: Box<str>,
}

/// Collects ledger records and engine records in any order and computes the bill.
#[derive(Debug, Default)]
pub struct Biller {
    requests: BTreeMap<Box<str>, Request>,
    /// Settlements whose reservations have not been read yet.
    early_settlements: BTreeMap<Box<str>, Settled>,
    /// Record numbers already read, by ledger. A file that is read twice counts once.
    seen: BTreeMap<Box<str>, BTreeSet<u64>>,
    /// Engine work that is not yet assigned to a request.
    work: BTreeMap<AttemptKey, EngineRecord>,
    /// Engine records that contradict an earlier record of the same attempt.
    conflicting: Vec<EngineRecord>,
}

impl Biller {
    /// Adds a record of a router's ledger.
    pub fn record(&mut self, router: &str, number: u64, record: &Record) {
        if !self.seen.entry(router.into()).or_default().insert(number) {
            return;
        }
        match record {
            Record::Reserved(reservation) => {
                let settled = self.early_settlements.remove(&reservation.id);
                self.requests
                    .entry(reservation.id.clone())
                    .or_insert_with(|| Request { reservation: reservation.clone(), settled });
            }
            Record::Settled(settled) => match self.requests.get_mut(&settled.id) {
                // Only the first settlement counts. A second one would be a fault of the router and must not be billed.
                Some(request) => {
                    request.settled.get_or_insert_with(|| settled.clone());
                }
                None => {
                    self.early_settlements.entry(settled.id.clone()).or_insert_with(|| settled.clone());
                }
            },
            Record::Started(_) | Record::Succeeded(_) | Record::Adopted(_) | Record::State(_) => {}
        }
    }

    /// Adds an engine record. An identical record counts once.
    pub fn work(&mut self, line: EngineRecord) {
        let key = AttemptKey { request: line.request.clone(), attempt: line.attempt };
        match self.work.get(&key) {
            None => {
                self.work.insert(key, line);
            }
            Some(known) if *known == line => {}
            Some(_) => self.conflicting.push(line),
        }
    }

    /// Computes the bill of the requests that were admitted in a period.
    pub fn bill(mut self, plan: &Plan, period: Period) -> Bill {
        let mut bill = Bill::default();
        let mut billed_identities = BTreeSet::new();
        let mut oldest_first: Vec<(Time, Box<str>)> = self
            .requests
            .values()
            .map(|request| (request.reservation.at, request.reservation.id.clone()))
            .collect();
        oldest_first.sort();
        for (at, id) in oldest_first {
            let Some(request) = self.requests.get(&id).cloned() else { continue };
            if period.contains(at) {
                self.bill_request(&request, plan, &mut billed_identities, &mut bill);
            } else {
                self.list_unbilled_work(&id, Cause::OtherPeriod, &mut bill);
            }
        }
        self.list_unknown_work(&mut bill);
        for difference in &bill.differences {
            if difference.cause.is_explained() {
                bill.explained_tokens += difference.tokens;
            } else {
                bill.unexplained_tokens += difference.tokens;
            }
        }
        bill
    }

    /// Bills a request of the period, or lists its work with the cause for which it is not billed.
    fn bill_request(
        &mut self,
        request: &Request,
        plan: &Plan,
        billed_identities: &mut BTreeSet<TenantIdentity>,
        bill: &mut Bill,
    ) {
        let reservation = &request.reservation;
        let Some(settled) = &request.settled else {
            bill.open += 1;
            self.list_unbilled_work(&reservation.id, Cause::OtherPeriod, bill);
            return;
        };
        *bill.endings.entry(settled.ending).or_default() += 1;
        let mut cause = cause_of_unbilled_work(settled.ending);
        if matches!(settled.ending, Ending::Served | Ending::Left) {
            let identity = reservation.identity.clone();
            let identity =
                identity.map(|identity| TenantIdentity { tenant: reservation.tenant.clone(), identity });
            if identity.is_some_and(|identity| !billed_identities.insert(identity)) {
                cause = Cause::Repeated;
            } else {
                self.charge(reservation, settled, plan, bill);
            }
        }
        self.list_unbilled_work(&reservation.id, cause, bill);
    }

    /// Bills a request whose answer was delivered completely or partly.
    fn charge(&mut self, reservation: &Reservation, settled: &Settled, plan: &Plan, bill: &mut Bill) {
        let prefill = self.take_work(&reservation.id, settled.prefill_attempt, bill);
        let answering = self.take_work(&reservation.id, settled.answering_attempt, bill);
        let done = |line: &Option<EngineRecord>| line.as_ref().map_or(Usage::default(), EngineRecord::done);
        let engines = done(&prefill).plus(done(&answering));
        let is_missing = answering.is_none() || (settled.prefill_attempt.is_some() && prefill.is_none());
        // The router can't count the tokens generated after a client has left.
        let uses_engine_count = settled.ending == Ending::Left && !is_missing;
        let usage = if uses_engine_count { engines } else { settled.usage };
        let tokens = difference_of(usage, engines);
        if tokens > 0 {
            bill.differences.push(Difference {
                request: reservation.id.clone(),
                attempt: settled.answering_attempt,
                engine: answering.or(prefill).map(|line| line.engine),
                cause: if is_missing { Cause::NoEngineRecord } else { Cause::Mismatch },
                tokens,
            });
        }
        add_to_line(reservation, usage, plan, bill);
        bill.billed_tokens += usage.total();
    }

    /// Removes and returns an attempt's unassigned work.
    fn take_work(&mut self, id: &str, attempt: Option<u32>, bill: &mut Bill) -> Option<EngineRecord> {
        let line = self.work.remove(&AttemptKey { request: id.into(), attempt: attempt? })?;
        bill.engine_tokens += line.done().total();
        Some(line)
    }

    /// Lists all remaining work for a request with one cause.
    fn list_unbilled_work(&mut self, id: &str, cause: Cause, bill: &mut Bill) {
        let first = AttemptKey { request: id.into(), attempt: 0 };
        let last = AttemptKey { request: id.into(), attempt: u32::MAX };
        let attempts: Vec<u32> = self.work.range(first..=last).map(|(key, _)| key.attempt).collect();
        for attempt in attempts {
            if let Some(line) = self.take_work(id, Some(attempt), bill) {
                record_difference(bill, &line, cause);
            }
        }
    }

    /// Lists the remaining work: requests that are in no ledger, and contradictory records.
    fn list_unknown_work(&mut self, bill: &mut Bill) {
        let unknown = std::mem::take(&mut self.work).into_values();
        let unknown = unknown.map(|line| (line, Cause::NoReservation));
        let conflicting = std::mem::take(&mut self.conflicting).into_iter();
        let conflicting = conflicting.map(|line| (line, Cause::Mismatch));
        for (line, cause) in unknown.chain(conflicting) {
            record_difference(bill, &line, cause);
            bill.engine_tokens += line.done().total();
        }
    }
}

/// The cause for which the unbilled work of a request with this ending is not billed.
fn cause_of_unbilled_work(ending: Ending) -> Cause {
    match ending {
        Ending::Served | Ending::Left => Cause::AttemptLost,
        Ending::Refused | Ending::Failed => Cause::Failed,
        Ending::Broken => Cause::Broken,
        Ending::LeftEarly => Cause::LeftEarly,
        Ending::Orphaned => Cause::Orphaned,
    }
}

/// Number of tokens by which two usages differ. Cached tokens are compared only if the prompts are equal.
fn difference_of(usage: Usage, engines: Usage) -> u64 {
    let prompt = usage.prompt.abs_diff(engines.prompt);
    let output = usage.output.abs_diff(engines.output);
    let cached = if prompt == 0 { usage.cached.abs_diff(engines.cached) } else { 0 };
    prompt + output + cached
}

fn add_to_line(reservation: &Reservation, usage: Usage, plan: &Plan, bill: &mut Bill) {
    let day = plan.calendar.date(reservation.at);
    let price = plan.price(&day);
    let key = LineKey { tenant: reservation.tenant.clone(), class: reservation.class.clone(), day };
    let line = bill.lines.entry(key).or_default();
    line.requests += 1;
    line.usage = line.usage.plus(usage);
    if let Some(price) = price {
        line.currency = Some(price.currency.clone());
        line.price_millionths = Some(line.price_millionths.unwrap_or(0) + price.of(usage));
    }
}

fn record_difference(bill: &mut Bill, line: &EngineRecord, cause: Cause) {
    let tokens = line.done().total();
    // An attempt without tokens is no difference.
    if tokens > 0 {
        bill.differences.push(Difference {
            request: line.request.clone(),
            attempt: Some(line.attempt),
            engine: Some(line.engine.clone()),
            cause,
            tokens,
        });
    }
}
