//! Bills: the ledgers of all routers, joined with the engines' own records of tokens.
//!
//! A served request costs what its engine counted; a client that left after its answer had begun pays for
//! what the engine wrote for it; all else costs nothing. Every token that an engine did and nobody pays for
//! is listed with its cause: `engine tokens = billed + explained`, unless records are missing or wrong; those
//! are listed too, as unexplained.

mod biller;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::Ending;
use crate::units::{Time, Usage};

pub use biller::Biller;

/// Millionths in the currency's smallest unit.
const MILLIONTHS: u128 = 1_000_000;

/// What an engine was asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Read the prompt and keep its KV state.
    #[serde(rename = "read")]
    Prefill,
    /// Pull the KV state and write the answer.
    #[serde(rename = "pull")]
    Decode,
    /// Read the prompt and write the answer.
    #[serde(rename = "whole")]
    Combined,
}

/// One line of an engine's own record: an attempt that did work. Documented in `docs/bills.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRecord {
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
    /// Of these, not read: cached or pulled.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// Tokens written.
    pub output: u64,
    /// When it ended, µs since 1970.
    pub at: Time,
}

impl EngineRecord {
    /// The tokens that it did.
    fn done(&self) -> Usage {
        match self.work {
            // A pull reads no prompt.
            Work::Decode => Usage { prompt: 0, cached: 0, output: self.output },
            // The one token that a prefill writes is written again by the decoding engine.
            Work::Prefill => Usage { prompt: self.prompt, cached: self.cached, output: 0 },
            Work::Combined => Usage { prompt: self.prompt, cached: self.cached, output: self.output },
        }
    }
}

/// Why engine work is nobody's to pay, or why a bill and the engines differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request was rejected or failed in the end.
    Failed,
    /// Its answer broke midway, or ended without the engine's end marker.
    Broken,
    /// Its client left before the answer began.
    LeftEarly,
    /// Its router's process ended before the request did.
    Orphaned,
    /// The attempt's answer was not the one given; a prompt read again is counted here too.
    AttemptLost,
    /// The idempotency key is billed under another request.
    Repeated,
    /// Still open, or settled in another period: in another bill.
    OtherPeriod,
    /// Unexplained: the engine names a request that no ledger knows.
    NoReservation,
    /// Unexplained: a billed request for which no engine has a record.
    NoEngineRecord,
    /// Unexplained: engine and router counted differently.
    Mismatch,
}

impl Cause {
    /// Whether a bill may go out with it.
    pub fn is_explained(self) -> bool {
        !matches!(self, Self::NoReservation | Self::NoEngineRecord | Self::Mismatch)
    }
}

/// Which line of the bill.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// Whose.
    pub tenant: Box<str>,
    /// The class of its requests.
    pub class: Box<str>,
    /// The day by the plan's calendar, as `2026-12-01`.
    pub day: String,
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

/// A statement of one period.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bill {
    /// Lines by tenant, class and day.
    #[serde(serialize_with = "serialize_lines")]
    pub lines: BTreeMap<LineKey, BillLine>,
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

/// JSON has no keys of several parts: each line names its own.
fn serialize_lines<S: serde::Serializer>(
    lines: &BTreeMap<LineKey, BillLine>,
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
    out.collect_seq(lines.iter().map(|(key, line)| Row {
        tenant: &key.tenant,
        class: &key.class,
        day: &key.day,
        line,
    }))
}

/// A sum of millionths in smallest units, rounded half up; once for each printed sum.
pub fn round_to_smallest_unit(millionths: u128) -> u128 {
    (millionths + MILLIONTHS / 2) / MILLIONTHS
}
