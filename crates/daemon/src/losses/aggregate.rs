//! Totals over the logs of many routers.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use chalkyard_router::Tally;
use serde::Serialize;

use super::log_line::{Attempt, Line};
use crate::CommandError;

/// Longest line that is read, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Largest number of rows in each table of ends, of requests and of attempts; further ends share one row.
const MAX_ROWS: usize = 1_000;
/// Largest number of seconds with separate totals.
pub const MAX_SECONDS: usize = 7_200;
/// Upper bounds of the ranges of the endpoint list's age, in seconds; the last range is unbounded.
pub const LIST_AGES: [u64; 6] = [1, 2, 5, 10, 20, u64::MAX];

/// Totals of requests or attempts with the same end: count, attempts, duration and open requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Totals {
    pub count: u64,
    pub attempts: u64,
    pub total_us: u64,
    pub open: u64,
}

impl Totals {
    /// Divides a sum by the count.
    pub fn mean(&self, sum: u64) -> f64 {
        sum as f64 / self.count.max(1) as f64
    }
}

/// Requests that arrived in one second, by end, and the routers' tallies of that second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondTotals {
    #[serde(rename = "came")]
    pub arrived: u64,
    pub served: u64,
    #[serde(rename = "refused")]
    pub rejected: u64,
    pub failed: u64,
    pub other: u64,
    #[serde(flatten)]
    pub tally: Tally,
    /// Routers that logged this second.
    pub routers: u64,
}

impl SecondTotals {
    fn count_request(&mut self, ended: &str) {
        self.arrived += 1;
        let count = match ended {
            "served" => &mut self.served,
            "refused" => &mut self.rejected,
            "failed" => &mut self.failed,
            _ => &mut self.other,
        };
        *count += 1;
    }
}

/// Totals of one router.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RouterTotals {
    pub arrived: u64,
    pub given_up: u64,
}

/// How requests ended: by whom, for which reason, and whether the client had resumed them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RequestEnd {
    #[serde(rename = "who")]
    pub ended_by: &'static str,
    pub ended: String,
    #[serde(rename = "why")]
    pub reason: String,
    pub class: String,
    pub came_back: bool,
}

impl RequestEnd {
    /// Returns the key of the row for all further ends once the table is full.
    fn other() -> Self {
        Self {
            ended_by: "other",
            ended: String::new(),
            reason: String::new(),
            class: String::new(),
            came_back: false,
        }
    }
}

/// How attempts ended, by stage and kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct AttemptEnd {
    pub stage: String,
    #[serde(rename = "care")]
    pub kind: String,
    pub outcome: String,
}

impl AttemptEnd {
    /// Returns the key of the row for all further ends once the table is full.
    fn other() -> Self {
        Self { stage: "other".into(), kind: "other".into(), outcome: "other".into() }
    }
}

/// Requests in one range of the endpoint list's age.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListAgeTotals {
    pub given_up: u64,
    pub requests: u64,
}

/// The totals of all logs.
#[derive(Debug, Default)]
pub struct Aggregate {
    pub requests: u64,
    pub request_ends: BTreeMap<RequestEnd, Totals>,
    pub attempt_ends: BTreeMap<AttemptEnd, Totals>,
    pub seconds: BTreeMap<u64, SecondTotals>,
    /// In the order of [`LIST_AGES`].
    pub list_ages: [ListAgeTotals; LIST_AGES.len()],
    /// Time to first token of requests whose answer began.
    pub first_token: Totals,
    pub routers: Vec<RouterTotals>,
    /// Requests and tallies that were not counted by second because of [`MAX_SECONDS`].
    pub seconds_left_out: u64,
}

/// Returns the totals of a key, or those of `other` once the table is full.
fn bounded_entry<K: Ord>(rows: &mut BTreeMap<K, Totals>, key: K, other: impl FnOnce() -> K) -> &mut Totals {
    let key = if rows.len() < MAX_ROWS || rows.contains_key(&key) { key } else { other() };
    rows.entry(key).or_default()
}

/// Returns who ended a request; none for an unknown end.
fn ended_by(ended: &str) -> Option<&'static str> {
    match ended {
        "refused" | "failed" => Some("module"),
        "client_gone" | "client_slow" => Some("client"),
        "served" | "broken" => Some("engine"),
        "moved" | "turned" | "stopped" | "overdue" => Some("router"),
        _ => None,
    }
}

impl Aggregate {
    /// Reads one router's log. Text before the first brace of a line, such as a time, is skipped.
    pub fn read(&mut self, file: &Path) -> Result<(), CommandError> {
        let invalid = |number: usize, reason: String| {
            CommandError::BadInput(format!("{}:{number}: {reason}", file.display()))
        };
        let mut input = BufReader::new(File::open(file).map_err(|e| invalid(0, e.to_string()))?);
        let (mut text, mut router) = (Vec::new(), RouterTotals::default());
        for number in 1.. {
            text.clear();
            let read = input.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut text);
            if read.map_err(|e| invalid(number, e.to_string()))? == 0 {
                break;
            }
            let is_complete = text.ends_with(b"\n");
            if !is_complete && text.len() as u64 >= MAX_LINE_BYTES {
                return Err(invalid(number, format!("longer than {MAX_LINE_BYTES} bytes")));
            }
            if text.trim_ascii().is_empty() {
                continue;
            }
            let start = text.iter().position(|b| *b == b'{').unwrap_or(0);
            let line: Line = match serde_json::from_slice(text.get(start..).unwrap_or_default()) {
                Ok(line) => line,
                // The last line of a killed router may be truncated.
                Err(_) if !is_complete => break,
                Err(e) => return Err(invalid(number, format!("not a line of a router's log: {e}"))),
            };
            self.add_line(line, &mut router).map_err(|reason| invalid(number, reason))?;
        }
        self.routers.push(router);
        Ok(())
    }

    fn add_line(&mut self, line: Line, router: &mut RouterTotals) -> Result<(), String> {
        match (line.target.as_str(), &line.tally) {
            ("request", _) => self.add_request(line, router),
            ("tally", Some(tally)) => {
                let tally = serde_json::from_str(tally).map_err(|e| format!("`tally`: {e}"))?;
                self.add_tally(tally);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn add_request(&mut self, line: Line, router: &mut RouterTotals) -> Result<(), String> {
        let attempts: Vec<Attempt> = match line.attempts.as_str() {
            "" => Vec::new(),
            json => serde_json::from_str(json).map_err(|e| format!("`attempts`: {e}"))?,
        };
        self.requests += 1;
        let Some(ended_by) = ended_by(&line.ended) else {
            return Err(format!("`ended`: `{}` is not known", line.ended));
        };
        let is_given_up = matches!(ended_by, "module" | "router");
        router.arrived += 1;
        router.given_up += u64::from(is_given_up);
        self.add_list_age(line.list_age_us, is_given_up);
        if let Some(second) = self.second(line.arrived_us / 1_000_000) {
            second.count_request(&line.ended);
        }
        if let Some(first_token_us) = line.first_token_us {
            self.first_token.count += 1;
            self.first_token.total_us += first_token_us;
        }
        for attempt in &attempts {
            self.add_attempt(attempt);
        }
        self.add_request_end(line, ended_by, is_given_up, attempts.len() as u64);
        Ok(())
    }

    fn add_list_age(&mut self, age_us: Option<u64>, is_given_up: bool) {
        let range = age_us.and_then(|us| LIST_AGES.iter().position(|end_s| us / 1_000_000 < *end_s));
        if let Some(totals) = range.and_then(|range| self.list_ages.get_mut(range)) {
            totals.given_up += u64::from(is_given_up);
            totals.requests += 1;
        }
    }

    fn add_attempt(&mut self, attempt: &Attempt) {
        let end = AttemptEnd {
            stage: attempt.stage.clone(),
            kind: attempt.kind.clone(),
            outcome: attempt.outcome.clone(),
        };
        let totals = bounded_entry(&mut self.attempt_ends, end, AttemptEnd::other);
        totals.count += 1;
        totals.total_us += attempt.took_us;
    }

    fn add_request_end(&mut self, line: Line, ended_by: &'static str, is_given_up: bool, attempts: u64) {
        // Without a reason from the decision module, the explanation replaces it.
        let explanation = if is_given_up { line.explanation } else { String::new() };
        let end = RequestEnd {
            ended_by,
            ended: line.ended,
            reason: line.rejection_reason.unwrap_or(explanation),
            class: line.class,
            came_back: line.came_back,
        };
        let totals = bounded_entry(&mut self.request_ends, end, RequestEnd::other);
        totals.count += 1;
        totals.attempts += attempts;
        totals.total_us += line.total_us;
        totals.open += line.open;
    }

    fn add_tally(&mut self, tally: Tally) {
        let Some(second) = self.second(tally.second) else { return };
        second.routers += 1;
        second.tally.add(tally);
    }

    /// Returns the totals of a second; none once the table is full.
    fn second(&mut self, second: u64) -> Option<&mut SecondTotals> {
        if self.seconds.len() >= MAX_SECONDS && !self.seconds.contains_key(&second) {
            self.seconds_left_out += 1;
            return None;
        }
        Some(self.seconds.entry(second).or_default())
    }
}
