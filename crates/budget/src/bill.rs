//! Bills: the ledgers of all routers, joined with the engines' own records of tokens.
//!
//! A served request costs what its engine counted; a client that left after its answer had begun pays for
//! what the engine wrote for it; all else costs nothing. Every token that an engine did and nobody pays for
//! is listed with its cause: `engine tokens = billed + explained`, unless records are missing or wrong; those
//! are listed too, as unexplained.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::calendar::Period;
use crate::plan::Plan;
use crate::record::{Ending, Record, Reservation, Settled};
use crate::units::{Time, Usage};

/// What an engine was asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Read and keep.
    #[serde(rename = "read")]
    Prefill,
    /// Pull state and write.
    #[serde(rename = "pull")]
    Decode,
    /// Read and write.
    #[serde(rename = "whole")]
    Combined,
}

/// One line of an engine's own record: an attempt that did work. Documented in `docs/bills.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLine {
    /// The engine.
    pub engine: Box<str>,
    /// The router's id of the request, as its call named it.
    pub request: Box<str>,
    /// The attempt's number, as its call named it.
    pub attempt: u32,
    /// What for.
    pub work: Work,
    /// Prompt tokens; of a pull, pulled ones.
    pub prompt: u64,
    /// Of these, not read: kept or pulled.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// Tokens written.
    pub output: u64,
    /// When it ended, µs since 1970.
    pub at: Time,
}

impl EngineLine {
    /// The tokens that it did: a pull reads none.
    fn done(&self) -> Usage {
        match self.work {
            Work::Decode => Usage { prompt: 0, cached: 0, output: self.output },
            // A read's one token is the writer's to write again.
            Work::Prefill => Usage { prompt: self.prompt, cached: self.cached, output: 0 },
            Work::Combined => Usage { prompt: self.prompt, cached: self.cached, output: self.output },
        }
    }
}

/// Why engine work is nobody's to pay, or why a bill and the engines differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request was refused or failed in the end.
    Failed,
    /// Its answer broke midway, the engine's end marker included.
    Broken,
    /// Its client left before the answer began.
    LeftEarly,
    /// Its router's life ended before the request's.
    Orphaned,
    /// The attempt's answer was not the one given; a prompt read again is counted here too.
    AttemptLost,
    /// The identity is billed under another request.
    Repeated,
    /// Still open, or settled in another period: in another bill.
    OtherPeriod,
    /// Unexplained: the engine names a request that no ledger knows.
    NoReservation,
    /// Unexplained: a bill's line for which no engine has a record.
    NoEngineRecord,
    /// Unexplained: engine and router counted differently.
    Mismatch,
}

impl Cause {
    /// Whether a bill may stand with it.
    pub fn explains(self) -> bool {
        !matches!(self, Self::NoReservation | Self::NoEngineRecord | Self::Mismatch)
    }
}

/// A line of the bill: one tenant, class and day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BillLine {
    /// Requests that cost something.
    pub requests: u64,
    /// Their tokens.
    #[serde(flatten)]
    pub usage: Usage,
    /// Millionths of the currency's smallest unit; none: no price for the day.
    pub price_millionths: Option<u128>,
    /// The currency's smallest unit.
    pub currency: Option<String>,
}

/// Work that is in no line, or a difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Request.
    pub request: Box<str>,
    /// Attempt, where one engine's work is meant.
    pub attempt: Option<u32>,
    /// Engine.
    pub engine: Option<Box<str>>,
    /// Why.
    pub cause: Cause,
    /// Tokens, unweighted.
    pub tokens: u64,
}

/// A statement.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bill {
    /// Lines by tenant, class and day.
    #[serde(serialize_with = "lines")]
    pub lines: BTreeMap<(Box<str>, Box<str>, String), BillLine>,
    /// Each with its cause.
    pub differences: Vec<Difference>,
    /// Tokens that the engines did in all, prompt and output.
    pub engine_tokens: u64,
    /// Billed.
    pub billed_tokens: u64,
    /// Done, not billed, and why is known.
    pub explained_tokens: u64,
    /// The rest: 0, or the bill must not go out.
    pub unexplained_tokens: u64,
    /// Reservations still open in the ledgers.
    pub open: u64,
    /// Requests by how they ended.
    pub endings: BTreeMap<Ending, u64>,
}

fn lines<S: serde::Serializer>(
    lines: &BTreeMap<(Box<str>, Box<str>, String), BillLine>,
    out: S,
) -> Result<S::Ok, S::Error> {
    #[derive(Serialize)]
    struct Row<'a> {
        tenant: &'a str,
        class: &'a str,
        day: &'a str,
        #[serde(flatten)]
        line: &'a BillLine,
    }
    out.collect_seq(lines.iter().map(|((tenant, class, day), line)| Row { tenant, class, day, line }))
}

#[derive(Debug, Clone)]
struct Request {
    reservation: Reservation,
    settled: Option<Settled>,
}

/// Collects ledgers and engines' records, in any order, and makes the bill.
#[derive(Debug, Default)]
pub struct Biller {
    requests: BTreeMap<Box<str>, Request>,
    early: BTreeMap<Box<str>, Settled>,
    /// Records taken, by ledger and number: the same file fed twice counts once.
    seen: BTreeMap<Box<str>, BTreeSet<u64>>,
    work: BTreeMap<(Box<str>, u32), EngineLine>,
    /// Attempts that two records name with different tokens.
    conflicting: Vec<EngineLine>,
}

impl Biller {
    /// Takes a record of a router's ledger.
    pub fn record(&mut self, router: &str, number: u64, record: &Record) {
        if !self.seen.entry(router.into()).or_default().insert(number) {
            return;
        }
        match record {
            Record::Reserved(reservation) => {
                let settled = self.early.remove(&reservation.id);
                self.requests
                    .entry(reservation.id.clone())
                    .or_insert_with(|| Request { reservation: reservation.clone(), settled });
            }
            Record::Settled(settled) => match self.requests.get_mut(&settled.id) {
                // The first counts; a second would be a fault of the router's, and bills nothing more.
                Some(request) => {
                    request.settled.get_or_insert_with(|| settled.clone());
                }
                None => {
                    self.early.entry(settled.id.clone()).or_insert_with(|| settled.clone());
                }
            },
            Record::Started(_) | Record::Succeeded(_) | Record::Adopted(_) | Record::State(_) => {}
        }
    }

    /// Takes a line of an engine's record; the same line twice counts once.
    pub fn work(&mut self, line: EngineLine) {
        let place = (line.request.clone(), line.attempt);
        match self.work.get(&place) {
            None => {
                self.work.insert(place, line);
            }
            Some(known) if *known == line => {}
            Some(_) => self.conflicting.push(line),
        }
    }

    /// The bill of a period: of requests taken in it.
    pub fn bill(mut self, plan: &Plan, period: Period) -> Bill {
        let mut bill = Bill::default();
        let mut billed_identities: BTreeSet<(Box<str>, Box<str>)> = BTreeSet::new();
        let mut order: Vec<(Time, Box<str>)> =
            self.requests.values().map(|r| (r.reservation.at, r.reservation.id.clone())).collect();
        order.sort();
        for (at, id) in order {
            let Some(request) = self.requests.get(&id).cloned() else { continue };
            let own = period.holds(at);
            let Some(settled) = request.settled else {
                bill.open += u64::from(own);
                self.rest(&id, Cause::OtherPeriod, &mut bill);
                continue;
            };
            if !own {
                self.rest(&id, Cause::OtherPeriod, &mut bill);
                continue;
            }
            *bill.endings.entry(settled.ending).or_default() += 1;
            let cause = match settled.ending {
                Ending::Served | Ending::Left => Cause::AttemptLost,
                Ending::Refused | Ending::Failed => Cause::Failed,
                Ending::Broken => Cause::Broken,
                Ending::LeftEarly => Cause::LeftEarly,
                Ending::Orphaned => Cause::Orphaned,
            };
            if cause == Cause::AttemptLost {
                let identity =
                    request.reservation.identity.clone().map(|i| (request.reservation.tenant.clone(), i));
                let repeated = identity.is_some_and(|i| !billed_identities.insert(i));
                if repeated {
                    self.rest(&id, Cause::Repeated, &mut bill);
                    continue;
                }
                self.charge(&request.reservation, &settled, plan, &mut bill);
            }
            self.rest(&id, cause, &mut bill);
        }
        // What is left names requests that no ledger knows.
        for line in std::mem::take(&mut self.work).into_values() {
            differ(&mut bill, &line, Cause::NoReservation, line.done().total());
            bill.engine_tokens += line.done().total();
        }
        for line in std::mem::take(&mut self.conflicting) {
            differ(&mut bill, &line, Cause::Mismatch, line.done().total());
            bill.engine_tokens += line.done().total();
        }
        for d in &bill.differences {
            if d.cause.explains() {
                bill.explained_tokens += d.tokens;
            } else {
                bill.unexplained_tokens += d.tokens;
            }
        }
        bill
    }

    /// Takes an attempt's work out of what is unaccounted for.
    fn take_work(&mut self, id: &str, attempt: Option<u32>, bill: &mut Bill) -> Option<EngineLine> {
        let line = self.work.remove(&(id.into(), attempt?))?;
        bill.engine_tokens += line.done().total();
        Some(line)
    }

    /// Bills a request whose answer was given, whole or in part.
    fn charge(&mut self, reservation: &Reservation, settled: &Settled, plan: &Plan, bill: &mut Bill) {
        let read = self.take_work(&reservation.id, settled.read, bill);
        let write = self.take_work(&reservation.id, settled.write, bill);
        let did = |line: &Option<EngineLine>| line.as_ref().map_or(Usage::default(), EngineLine::done);
        let engines = did(&read).plus(did(&write));
        let missing = write.is_none() || (settled.read.is_some() && read.is_none());
        // The router could not know how much was written for a client that had left.
        let usage = if settled.ending == Ending::Left && !missing { engines } else { settled.usage };
        let off = |a: u64, b: u64| a.abs_diff(b);
        let differs = off(usage.prompt, engines.prompt)
            + off(usage.output, engines.output)
            + if off(usage.prompt, engines.prompt) == 0 { off(usage.cached, engines.cached) } else { 0 };
        if differs > 0 {
            let cause = if missing { Cause::NoEngineRecord } else { Cause::Mismatch };
            bill.differences.push(Difference {
                request: reservation.id.clone(),
                attempt: settled.write,
                engine: write.or(read).map(|l| l.engine),
                cause,
                tokens: differs,
            });
        }
        let day = plan.calendar.date(reservation.at);
        let price = plan.price(&day);
        let line =
            bill.lines.entry((reservation.tenant.clone(), reservation.class.clone(), day)).or_default();
        line.requests += 1;
        line.usage = line.usage.plus(usage);
        if let Some(price) = price {
            line.currency = Some(price.currency.clone());
            line.price_millionths = Some(line.price_millionths.unwrap_or(0) + price.of(usage));
        }
        bill.billed_tokens += usage.total();
    }

    /// All other work for a request, under one cause.
    fn rest(&mut self, id: &str, cause: Cause, bill: &mut Bill) {
        let places: Vec<(Box<str>, u32)> =
            self.work.range((id.into(), 0)..=(id.into(), u32::MAX)).map(|(k, _)| k.clone()).collect();
        for place in places {
            if let Some(line) = self.take_work(id, Some(place.1), bill) {
                differ(bill, &line, cause, line.done().total());
            }
        }
    }
}

fn differ(bill: &mut Bill, line: &EngineLine, cause: Cause, tokens: u64) {
    // An attempt that did nothing is no difference.
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

/// A sum of millionths as whole smallest units, rounded half up; once for each printed sum.
pub fn round_to_smallest_unit(millionths: u128) -> u128 {
    (millionths + 500_000) / 1_000_000
}
