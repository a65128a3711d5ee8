//! The report of `losses`, as JSON and as tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use super::aggregate::{
    Aggregate, AttemptEnd, RequestEnd, RouterTotals, SecondTotals, Totals, LIST_AGES, MAX_SECONDS,
};

#[derive(Debug, Serialize)]
struct RequestEndRow {
    #[serde(flatten)]
    end: RequestEnd,
    #[serde(flatten)]
    totals: Totals,
}

#[derive(Debug, Serialize)]
struct AttemptEndRow {
    #[serde(flatten)]
    end: AttemptEnd,
    #[serde(flatten)]
    totals: Totals,
}

#[derive(Debug, Serialize)]
struct ListAgeRow {
    under_s: u64,
    given_up: u64,
    #[serde(rename = "all")]
    requests: u64,
}

/// The report over all logs.
#[derive(Debug, Serialize)]
pub struct Report {
    routers: usize,
    /// Number of routers that received requests.
    #[serde(rename = "routers_asked")]
    routers_with_requests: usize,
    requests: u64,
    first_token_ms: f64,
    /// Share of a router's requests that the router or its decision module gave up: mean over the routers. The next field
    /// is the standard deviation.
    given_up_share: f64,
    #[serde(rename = "given_up_spread")]
    given_up_deviation: f64,
    #[serde(rename = "by_reason")]
    request_ends: Vec<RequestEndRow>,
    #[serde(rename = "by_attempt")]
    attempt_ends: Vec<AttemptEndRow>,
    #[serde(rename = "by_list_age")]
    list_ages: Vec<ListAgeRow>,
    #[serde(rename = "by_second")]
    seconds: BTreeMap<u64, SecondTotals>,
    seconds_left_out: u64,
}

impl From<Aggregate> for Report {
    fn from(aggregate: Aggregate) -> Self {
        let share = |router: &RouterTotals| router.given_up as f64 / router.arrived.max(1) as f64;
        let with_requests = aggregate.routers.iter().filter(|router| router.arrived > 0);
        let shares: Vec<f64> = with_requests.map(share).collect();
        let count = shares.len().max(1) as f64;
        let mean = shares.iter().sum::<f64>() / count;
        let variance = shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>() / count;
        let list_ages = aggregate.list_ages.iter().zip(LIST_AGES);
        Self {
            routers: aggregate.routers.len(),
            routers_with_requests: shares.len(),
            requests: aggregate.requests,
            first_token_ms: aggregate.first_token.mean(aggregate.first_token.total_us) / 1e3,
            given_up_share: mean,
            given_up_deviation: variance.sqrt(),
            request_ends: aggregate
                .request_ends
                .into_iter()
                .map(|(end, totals)| RequestEndRow { end, totals })
                .collect(),
            attempt_ends: aggregate
                .attempt_ends
                .into_iter()
                .map(|(end, totals)| AttemptEndRow { end, totals })
                .collect(),
            list_ages: list_ages
                .map(|(totals, under_s)| ListAgeRow {
                    under_s,
                    given_up: totals.given_up,
                    requests: totals.requests,
                })
                .collect(),
            seconds: aggregate.seconds,
            seconds_left_out: aggregate.seconds_left_out,
        }
    }
}

impl Report {
    /// Formats the report as tables.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` does not fail.
        let _ = self.write_summary(&mut out);
        let _ = self.write_request_ends(&mut out);
        let _ = self.write_attempt_ends(&mut out);
        let _ = self.write_list_ages(&mut out);
        let _ = self.write_seconds(&mut out);
        out
    }

    fn write_summary(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{} requests at {} of {} routers; first token after {:.0} ms in the mean; given up at a router: {:.3}, \
             standard deviation {:.3}",
            self.requests,
            self.routers_with_requests,
            self.routers,
            self.first_token_ms,
            self.given_up_share,
            self.given_up_deviation
        )
    }

    fn write_request_ends(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\nby        ended       why              class                 requests  share  attempts   after ms  open")?;
        let mut rows: Vec<&RequestEndRow> = self.request_ends.iter().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.totals.count));
        for RequestEndRow { end, totals } in rows {
            let class = if end.came_back { format!("{} (back)", end.class) } else { end.class.clone() };
            writeln!(
                out,
                "{:<9} {:<11} {:<16} {:<22} {:>7} {:>6.3} {:>9.2} {:>10.0} {:>5.1}",
                end.ended_by,
                end.ended,
                end.reason,
                class,
                totals.count,
                totals.count as f64 / self.requests.max(1) as f64,
                totals.mean(totals.attempts),
                totals.mean(totals.total_us) / 1e3,
                totals.mean(totals.open)
            )?;
        }
        Ok(())
    }

    fn write_attempt_ends(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\nattempts  worker  outcome            count    took ms")?;
        for AttemptEndRow { end, totals } in &self.attempt_ends {
            let took_ms = totals.mean(totals.total_us) / 1e3;
            writeln!(
                out,
                "{:<9} {:<7} {:<16} {:>7} {:>10.0}",
                end.stage, end.kind, end.outcome, totals.count, took_ms
            )?;
        }
        Ok(())
    }

    fn write_list_ages(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\nlist changed less than ... s ago   requests  given up  share")?;
        for row in &self.list_ages {
            let under = if row.under_s == u64::MAX { "longer".into() } else { row.under_s.to_string() };
            let share = row.given_up as f64 / row.requests.max(1) as f64;
            writeln!(out, "{under:>32} {:>10} {:>9} {share:>6.3}", row.requests, row.given_up)?;
        }
        Ok(())
    }

    fn write_seconds(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "\nsecond  came served refused failed other |  first pulls  safe   ran trial  cold  conn  list  news  free unheard moved  open"
        )?;
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        for (second, s) in &self.seconds {
            let t = &s.tally;
            writeln!(
                out,
                "{:>6} {:>5} {:>6} {:>7} {:>6} {:>5} | {:>6} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>7} {:>5} {:>5}",
                second - first, s.arrived, s.served, s.rejected, s.failed, s.other, t.first, t.decodes, t.retries_not_run,
                t.retries_maybe_run, t.probes, t.slow_starts, t.connects, t.list_calls, t.list_changes, t.releases, t.dropped_clients, t.migrated,
                t.open
            )?;
        }
        if self.seconds_left_out > 0 {
            writeln!(
                out,
                "{} counts of seconds past the {MAX_SECONDS}th are left out",
                self.seconds_left_out
            )?;
        }
        Ok(())
    }
}
