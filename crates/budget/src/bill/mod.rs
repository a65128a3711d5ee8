//! Bills, computed by joining the ledgers of all routers with the engines' own token records.
//!
//! A served request is billed by its engine's token count. A client that left after its answer had begun is
//! billed for the tokens that the engine produced. All other requests cost nothing. Each engine token that is not
//! billed is listed with its cause, so that `engine tokens = billed + explained`. Missing or wrong records break
//! this equation; their tokens are listed as unexplained.

mod biller;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::Ending;
use crate::units::{Time, Usage};

pub use biller::Biller;

/// Millionths per smallest unit of the currency.
const MILLIONTHS: u128 = 1_000_000;

/// Kind of work that an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Prefill: computes the prompt and keeps its KV state.
    #[serde(rename = "read")]
    Prefill,
    /// Decode: pulls the KV state and generates the answer.
    #[serde(rename = "pull")]
    Decode,
    /// Prefill and decode in one call.
    #[serde(rename = "whole")]
    Combined,
}

/// One line of an engine's own token records: an attempt that did work. `docs/bills.md` documents the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRecord {
    /// The engine's name.
    pub engine: Box<str>,
    /// The request's id at the router, as given in the call.
    pub request: Box<str>,
    /// The attempt's number, as given in the call.
    pub attempt: u32,
    /// Kind of work.
    pub work: Work,
    /// Prompt tokens; for a decode, the pulled tokens.
    pub prompt: u64,
    /// Prompt tokens that were cached or pulled instead of computed.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
    /// Time when the attempt ended, in microseconds since 1970.
    pub at: Time,
}

impl EngineRecord {
    /// Tokens that count as the attempt's work.
    fn done(&self) -> Usage {
        match self.work {
            // A decode does not compute the prompt.
            Work::Decode => Usage { prompt: 0, cached: 0, output: self.output },
            // The decode engine generates the one token of a prefill again.
            Work::Prefill => Usage { prompt: self.prompt, cached: self.cached, output: 0 },
            Work::Combined => Usage { prompt: self.prompt, cached: self.cached, output: self.output },
        }
    }
}

/// Why engine work is not billed, or why the bill and the engines' records differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request was rejected or finally failed.
    Failed,
    /// The answer was interrupted or ended without the engine's end marker.
    Broken,
    /// The client disconnected before the answer began.
    LeftEarly,
    /// The router's process ended before the request.
    Orphaned,
    /// The attempt's answer was not the one delivered. Repeated prefills count here too.
    AttemptLost,
    /// Another request with the same idempotency key is billed.
    Repeated,
    /// The request is still open or belongs to the bill of another period.
    OtherPeriod,
    /// Unexplained: no ledger contains the request of the engine's record.
    NoReservation,
    /// Unexplained: no engine has a record of a billed request.
    NoEngineRecord,
    /// Unexplained: engine and router counted different numbers of tokens.
    Mismatch,
}

impl Cause {
    /// Whether a bill with this difference may be issued.
    pub fn is_explained(self) -> bool {
        !matches!(self, Self::NoReservation | Self::NoEngineRecord | Self::Mismatch)
    }
}

/// Key of a bill line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// The tenant's name.
    pub tenant: Box<str>,
    /// The class of the requests.
    pub class: Box<str>,
    /// The day in the plan's calendar, such as `2026-12-01`.
    pub day: String,
}

/// Line of a bill for one tenant, class and day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BillLine {
    /// Number of billed requests.
    pub requests: u64,
    /// Billed tokens.
    #[serde(flatten)]
    pub usage: Usage,
    /// Price in millionths of the currency's smallest unit; `None` if the day has no price.
    pub price_millionths: Option<u128>,
    /// Name of the currency's smallest unit.
    pub currency: Option<String>,
}

/// Work that is not billed, or a difference between bill and engine record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The request's id.
    pub request: Box<str>,
    /// The attempt, if the difference concerns a single one.
    pub attempt: Option<u32>,
    /// The engine's name, if known.
    pub engine: Option<Box<str>>,
    /// Cause of the difference.
    pub cause: Cause,
    /// Unweighted tokens.
    pub tokens: u64,
}

/// Bill of one period.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bill {
    /// Bill lines by tenant, class and day.
    #[serde(serialize_with = "serialize_lines")]
    pub lines: BTreeMap<LineKey, BillLine>,
    /// Differences with their causes.
    pub differences: Vec<Difference>,
    /// All prompt and output tokens of the engines' work.
    pub engine_tokens: u64,
    /// Billed tokens.
    pub billed_tokens: u64,
    /// Tokens that are not billed for a known cause.
    pub explained_tokens: u64,
    /// Tokens of unexplained differences. Unless this is 0, the bill must not be issued.
    pub unexplained_tokens: u64,
    /// Number of reservations that are still open.
    pub open: u64,
    /// Number of requests by ending.
    pub endings: BTreeMap<Ending, u64>,
}

/// Serializes lines as a list, because JSON has no composite keys.
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

/// Converts millionths to smallest units, rounded half up. Applied once to each printed sum.
pub fn round_to_smallest_unit(millionths: u128) -> u128 {
    (millionths + MILLIONTHS / 2) / MILLIONTHS
}
