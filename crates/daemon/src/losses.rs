//! `chalkyard losses`: what the logs of many routers say of where the worth went. Reads our own logs only; lines are
//! streamed, and what is kept grows with reasons, classes and seconds, each up to a bound.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chalkyard_router::Tally;
use serde::{Deserialize, Serialize};

use crate::{Format, Trouble};

/// The longest line that is read.
const LINE_BYTES: u64 = 1024 * 1024;
/// The most reasons with their classes, ends of attempts, and seconds that are told apart; more are counted together.
const ROWS_MOST: usize = 1_000;
const SECONDS_MOST: usize = 7_200;
/// Spans since the list of workers last changed at the router, in seconds; the last is open.
const LIST_AGES: [u64; 6] = [1, 2, 5, 10, 20, u64::MAX];

/// What a line of ours says, as far as it matters here.
#[derive(Deserialize)]
struct Line {
    target: String,
    #[serde(default)]
    ended: String,
    why: Option<String>,
    #[serde(default)]
    class: String,
    #[serde(default)]
    came_back: bool,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    attempts: String,
    #[serde(default)]
    arrived_us: u64,
    #[serde(default)]
    total_us: u64,
    first_token_us: Option<u64>,
    list_age_us: Option<u64>,
    #[serde(default)]
    open: u64,
    tally: Option<String>,
}

#[derive(Deserialize)]
struct Attempt {
    stage: String,
    outcome: String,
    care: String,
    took_us: u64,
}

/// How requests ended, with what they had taken until then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Row {
    count: u64,
    attempts: u64,
    total_us: u64,
    open: u64,
}

impl Row {
    fn mean(&self, sum: u64) -> f64 {
        sum as f64 / self.count.max(1) as f64
    }
}

/// How requests that came in one second ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Second {
    came: u64,
    served: u64,
    refused: u64,
    failed: u64,
    other: u64,
    #[serde(flatten)]
    tally: Tally,
    /// Routers that told of it.
    routers: u64,
}

/// One router's sums.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct OfRouter {
    came: u64,
    given_up: u64,
}

/// Who ended requests, on which condition, and whether clients came back with them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Key {
    who: &'static str,
    ended: String,
    why: String,
    class: String,
    came_back: bool,
}

/// Attempts of one kind that ended alike.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct End {
    stage: String,
    care: String,
    outcome: String,
}

#[derive(Debug, Default)]
struct Sums {
    requests: u64,
    rows: BTreeMap<Key, Row>,
    ends: BTreeMap<End, Row>,
    seconds: BTreeMap<u64, Second>,
    /// Requests given up, and all, by how long ago the list had changed.
    list_ages: [(u64, u64); LIST_AGES.len()],
    /// Of those that began: time to the first token.
    first: Row,
    routers: Vec<OfRouter>,
    /// Seconds past the bound, whose requests and calls are left out of the table by seconds.
    seconds_left_out: u64,
}

fn put<K: Ord>(rows: &mut BTreeMap<K, Row>, key: K, rest: impl FnOnce() -> K) -> &mut Row {
    let key = if rows.len() < ROWS_MOST || rows.contains_key(&key) { key } else { rest() };
    rows.entry(key).or_default()
}

impl Sums {
    fn second(&mut self, second: u64) -> Option<&mut Second> {
        if self.seconds.len() >= SECONDS_MOST && !self.seconds.contains_key(&second) {
            self.seconds_left_out += 1;
            return None;
        }
        Some(self.seconds.entry(second).or_default())
    }

    fn request(&mut self, line: Line, router: &mut OfRouter) -> Result<(), String> {
        let attempts: Vec<Attempt> = match line.attempts.as_str() {
            "" => Vec::new(),
            text => serde_json::from_str(text).map_err(|e| format!("`attempts`: {e}"))?,
        };
        self.requests += 1;
        let who = match line.ended.as_str() {
            "refused" | "failed" => "module",
            "client_gone" | "client_slow" => "client",
            "served" | "broken" => "engine",
            "moved" | "turned" | "stopped" | "overdue" => "router",
            other => return Err(format!("`ended`: `{other}` is not known")),
        };
        let given_up = matches!(who, "module" | "router");
        router.came += 1;
        router.given_up += u64::from(given_up);
        if let Some(i) = line.list_age_us.and_then(|us| LIST_AGES.iter().position(|s| us / 1_000_000 < *s)) {
            if let Some((up, all)) = self.list_ages.get_mut(i) {
                *up += u64::from(given_up);
                *all += 1;
            }
        }
        if let Some(second) = self.second(line.arrived_us / 1_000_000) {
            second.came += 1;
            *match line.ended.as_str() {
                "served" => &mut second.served,
                "refused" => &mut second.refused,
                "failed" => &mut second.failed,
                _ => &mut second.other,
            } += 1;
        }
        if let Some(us) = line.first_token_us {
            self.first.count += 1;
            self.first.total_us += us;
        }
        for a in &attempts {
            let end = End { stage: a.stage.clone(), care: a.care.clone(), outcome: a.outcome.clone() };
            let rest = || End { stage: "other".into(), care: "other".into(), outcome: "other".into() };
            let row = put(&mut self.ends, end, rest);
            row.count += 1;
            row.total_us += a.took_us;
        }
        // What no condition was told for says it in words.
        let why = line.why.unwrap_or(if given_up { line.reason } else { String::new() });
        let key = Key { who, ended: line.ended, why, class: line.class, came_back: line.came_back };
        let rest = || Key {
            who: "other",
            ended: String::new(),
            why: String::new(),
            class: String::new(),
            came_back: false,
        };
        let row = put(&mut self.rows, key, rest);
        row.count += 1;
        row.attempts += attempts.len() as u64;
        row.total_us += line.total_us;
        row.open += line.open;
        Ok(())
    }

    fn tally(&mut self, t: Tally) {
        let Some(s) = self.second(t.second) else { return };
        s.routers += 1;
        s.tally.add(t);
    }

    /// Reads one router's log. What comes before the first brace of a line is another's: a time, a name.
    fn read(&mut self, file: &Path) -> Result<(), Trouble> {
        let bad = |n: usize, why: String| Trouble::BadInput(format!("{}:{n}: {why}", file.display()));
        let mut input = BufReader::new(File::open(file).map_err(|e| bad(0, e.to_string()))?);
        let (mut text, mut router) = (Vec::new(), OfRouter::default());
        for n in 1.. {
            text.clear();
            let read = input.by_ref().take(LINE_BYTES).read_until(b'\n', &mut text);
            if read.map_err(|e| bad(n, e.to_string()))? == 0 {
                break;
            }
            let whole = text.ends_with(b"\n");
            if !whole && text.len() as u64 >= LINE_BYTES {
                return Err(bad(n, format!("longer than {LINE_BYTES} bytes")));
            }
            if text.trim_ascii().is_empty() {
                continue;
            }
            let from = text.iter().position(|b| *b == b'{').unwrap_or(0);
            let line: Line = match serde_json::from_slice(text.get(from..).unwrap_or_default()) {
                Ok(line) => line,
                // The last line of a router that was killed may be cut.
                Err(_) if !whole => break,
                Err(e) => return Err(bad(n, format!("not a line of a router's log: {e}"))),
            };
            match (line.target.as_str(), &line.tally) {
                ("request", _) => self.request(line, &mut router).map_err(|e| bad(n, e))?,
                ("tally", Some(tally)) => {
                    let tally = serde_json::from_str(tally).map_err(|e| bad(n, format!("`tally`: {e}")))?;
                    self.tally(tally);
                }
                _ => {}
            }
        }
        self.routers.push(router);
        Ok(())
    }

    fn report(self) -> Report {
        let shares = |r: &OfRouter| r.given_up as f64 / r.came.max(1) as f64;
        let heard: Vec<f64> = self.routers.iter().filter(|r| r.came > 0).map(shares).collect();
        let n = heard.len().max(1) as f64;
        let mean = heard.iter().sum::<f64>() / n;
        let spread = (heard.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / n).sqrt();
        let age = |((up, all), s): (&(u64, u64), u64)| Age { under_s: s, given_up: *up, all: *all };
        Report {
            routers: self.routers.len(),
            routers_asked: heard.len(),
            requests: self.requests,
            first_token_ms: self.first.mean(self.first.total_us) / 1e3,
            given_up_share: mean,
            given_up_spread: spread,
            by_reason: self.rows.into_iter().map(|(key, row)| Reason { key, row }).collect(),
            by_attempt: self.ends.into_iter().map(|(end, row)| Ending { end, row }).collect(),
            by_list_age: self.list_ages.iter().zip(LIST_AGES).map(age).collect(),
            by_second: self.seconds,
            seconds_left_out: self.seconds_left_out,
        }
    }
}

#[derive(Debug, Serialize)]
struct Reason {
    #[serde(flatten)]
    key: Key,
    #[serde(flatten)]
    row: Row,
}

#[derive(Debug, Serialize)]
struct Ending {
    #[serde(flatten)]
    end: End,
    #[serde(flatten)]
    row: Row,
}

#[derive(Debug, Serialize)]
struct Age {
    under_s: u64,
    given_up: u64,
    all: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    routers: usize,
    /// Of these, those that were asked for anything.
    routers_asked: usize,
    requests: u64,
    first_token_ms: f64,
    /// Share of what a router was asked that it or its module gave up: mean and standard deviation over routers.
    given_up_share: f64,
    given_up_spread: f64,
    by_reason: Vec<Reason>,
    by_attempt: Vec<Ending>,
    by_list_age: Vec<Age>,
    by_second: BTreeMap<u64, Second>,
    seconds_left_out: u64,
}

impl Report {
    fn text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{} requests at {} of {} routers; first token after {:.0} ms in the mean; given up at a router: {:.3}, \
             standard deviation {:.3}",
            self.requests,
            self.routers_asked,
            self.routers,
            self.first_token_ms,
            self.given_up_share,
            self.given_up_spread
        );
        let _ = writeln!(out, "\nby        ended       why              class                 requests  share  attempts   after ms  open");
        let mut rows: Vec<&Reason> = self.by_reason.iter().collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.row.count));
        for Reason { key, row } in rows {
            let class = if key.came_back { format!("{} (back)", key.class) } else { key.class.clone() };
            let _ = writeln!(
                out,
                "{:<9} {:<11} {:<16} {:<22} {:>7} {:>6.3} {:>9.2} {:>10.0} {:>5.1}",
                key.who,
                key.ended,
                key.why,
                class,
                row.count,
                row.count as f64 / self.requests.max(1) as f64,
                row.mean(row.attempts),
                row.mean(row.total_us) / 1e3,
                row.mean(row.open)
            );
        }
        let _ = writeln!(out, "\nattempts  worker  outcome            count    took ms");
        for Ending { end, row } in &self.by_attempt {
            let ms = row.mean(row.total_us) / 1e3;
            let _ = writeln!(
                out,
                "{:<9} {:<7} {:<16} {:>7} {:>10.0}",
                end.stage, end.care, end.outcome, row.count, ms
            );
        }
        let _ = writeln!(out, "\nlist changed less than ... s ago   requests  given up  share");
        for a in &self.by_list_age {
            let under = if a.under_s == u64::MAX { "longer".into() } else { a.under_s.to_string() };
            let share = a.given_up as f64 / a.all.max(1) as f64;
            let _ = writeln!(out, "{under:>32} {:>10} {:>9} {share:>6.3}", a.all, a.given_up);
        }
        let _ = writeln!(
            out,
            "\nsecond  came served refused failed other |  first pulls  safe   ran trial  cold  conn  list  news  free unheard moved  open"
        );
        let begin = self.by_second.keys().next().copied().unwrap_or(0);
        for (at, s) in &self.by_second {
            let t = &s.tally;
            let _ = writeln!(
                out,
                "{:>6} {:>5} {:>6} {:>7} {:>6} {:>5} | {:>6} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>7} {:>5} {:>5}",
                at - begin, s.came, s.served, s.refused, s.failed, s.other, t.first, t.decodes, t.retries_not_run,
                t.retries_maybe_run, t.probes, t.slow_starts, t.connects, t.list_calls, t.list_changes, t.releases, t.dropped_clients, t.migrated,
                t.open
            );
        }
        if self.seconds_left_out > 0 {
            let _ = writeln!(
                out,
                "{} counts of seconds past the {SECONDS_MOST}th are left out",
                self.seconds_left_out
            );
        }
        out
    }
}

/// Sums the logs up.
pub fn losses(logs: &[PathBuf], format: Format) -> Result<ExitCode, Trouble> {
    let mut sums = Sums::default();
    for file in logs {
        sums.read(file)?;
    }
    if sums.requests == 0 && sums.seconds.is_empty() {
        let why = "no requests in these logs; routers tell of them with CHALKYARD_LOG=info";
        return Err(Trouble::BadInput(why.into()));
    }
    let report = sums.report();
    match format {
        Format::Text => print!("{}", report.text()),
        Format::Json => {
            let json = serde_json::to_string(&report).map_err(|e| Trouble::CouldNotRun(e.to_string()))?;
            println!("{json}");
        }
    }
    Ok(ExitCode::SUCCESS)
}
