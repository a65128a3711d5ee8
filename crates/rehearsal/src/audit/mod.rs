//! Checks the service rules against recorded traffic alone: what clients, engines and discovery recorded.

mod goodput;
mod rules;
mod trace;

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;

pub use self::goodput::goodput_by_second;
use self::trace::Trace;
use crate::record::{parse, Answer, Event, Line};
use crate::report::{Answers, Report, Rule, Times};

/// Maximum number of violations listed per rule.
const MAX_FINDINGS_PER_RULE: u64 = 5;
/// Upper bound of the latency histogram, µs; longer times are counted as this value.
const MAX_TIME_US: u64 = 600_000_000;

/// Parses a record and evaluates its rules. An error names the line number.
pub fn audit(text: &str) -> Result<Report, String> {
    let lines = parse(text)?;
    check_references(&lines)?;
    Ok(evaluate(&lines))
}

/// Checks that each line refers to engines and attempts that the record introduces before it: missing lines would hide
/// violations.
fn check_references(lines: &[Line]) -> Result<(), String> {
    let mut attempts = BTreeSet::new();
    let mut client_attempts = BTreeSet::new();
    let mut engines = BTreeSet::new();
    for (i, line) in lines.iter().enumerate() {
        let error = |what: String| Err(format!("{}: {what}", i + 1));
        match &line.event {
            Event::Engine { engine, .. } => {
                engines.insert(engine.clone());
            }
            Event::AttemptArrived { attempt, engine, .. } => {
                if !engines.contains(engine) {
                    return error(format!("unknown engine `{engine}`"));
                }
                if !attempts.insert(*attempt) {
                    return error(format!("attempt {attempt} arrives twice"));
                }
            }
            Event::AttemptRan { attempt }
            | Event::AttemptEnded { attempt, .. }
            | Event::AttemptWork { attempt, .. }
                if !attempts.contains(attempt) =>
            {
                return error(format!("unknown attempt {attempt}"));
            }
            Event::Request { number, .. } if !client_attempts.insert(*number) => {
                return error(format!("try {number} is asked twice"));
            }
            Event::FirstToken { number }
            | Event::Answer { number, .. }
            | Event::ClientLeft { number }
            | Event::ConnectionLost { number }
                if !client_attempts.contains(number) =>
            {
                return error(format!("unknown try {number}"));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Counts of the cases checked for one rule, and descriptions of its violations.
#[derive(Default)]
struct Tally {
    rule: Rule,
    findings: Vec<String>,
}

impl Tally {
    /// Counts a case, and its violation if `broken` describes one.
    fn add_case(&mut self, broken: Option<String>) {
        self.rule.checked += 1;
        if let Some(finding) = broken {
            self.rule.broken += 1;
            if self.rule.broken <= MAX_FINDINGS_PER_RULE {
                self.findings.push(finding);
            }
        }
    }

    /// Returns the result of the rule and appends its findings to the findings of the report.
    fn finish(mut self, name: &str, broken: &mut Vec<String>) -> Rule {
        self.rule.passed = self.rule.broken == 0;
        broken.extend(self.findings.into_iter().map(|finding| format!("{name}: {finding}")));
        self.rule
    }
}

/// Percentiles of times given in µs, converted to ms.
fn percentiles(values: impl Iterator<Item = u64>) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3) else {
        return Times::default();
    };
    for value in values {
        histogram.saturating_record(value.max(1));
    }
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Times { p50: quantile_ms(0.5), p90: quantile_ms(0.9), p99: quantile_ms(0.99), count: histogram.len() }
}

/// Evaluates a record; a record whose first line is not the scenario gives an empty report.
pub fn evaluate(lines: &[Line]) -> Report {
    let Some((trace, name, seed)) = Trace::read(lines) else { return Report::default() };
    let mut report =
        Report { scenario: name.into(), seed, seconds: trace.end as f64 / 1e6, ..Report::default() };
    evaluate_rules(&trace, &mut report);
    (report.requests, report.goodput) = trace.goodput();
    report.client_attempts = trace.client_attempts.len() as u64;
    report.attempts = trace.attempts.len() as u64;
    report.answers = count_answers(&trace);
    let attempts = || trace.client_attempts.values();
    report.ttft_ms = percentiles(attempts().filter_map(|a| a.first.map(|first| first - a.sent)));
    report.tpot_ms = percentiles(attempts().filter_map(|a| {
        let complete = a.answers.iter().find(|(_, how, tokens)| *how == Answer::Served && *tokens > 1);
        let (end, _, tokens) = complete?;
        Some((end - a.first?) / (tokens - 1))
    }));
    report.faults = list_faults(lines);
    report
}

fn evaluate_rules(trace: &Trace<'_>, report: &mut Report) {
    let by_key = trace.client_attempts_by_key();
    let broken = &mut report.broken;
    let mut rule = |name: &str, check: &dyn Fn(&mut Tally)| {
        let mut tally = Tally::default();
        check(&mut tally);
        tally.finish(name, broken)
    };
    let rules = &mut report.rules;
    rules.answered = rule("answered", &|tally| trace.answered(tally));
    rules.effect = rule("effect", &|tally| trace.effect(tally));
    rules.drain = rule("drain", &|tally| trace.drain(tally));
    rules.cold = rule("cold", &|tally| trace.cold(tally));
    rules.pinned = rule("pinned", &|tally| trace.pinned(tally));
    rules.gone = rule("gone", &|tally| trace.gone(&by_key, tally));
    rules.propagated_timeout = rule("told", &|tally| trace.propagated_timeout(&by_key, tally));
}

/// Counts clients' attempts by their first final answer, or by the lack of one.
fn count_answers(trace: &Trace<'_>) -> Answers {
    let mut answers = Answers::default();
    for attempt in trace.client_attempts.values() {
        match attempt.answers.first().map(|(_, how, _)| *how) {
            Some(Answer::Served) => answers.served += 1,
            Some(Answer::Rejected) => answers.rejected += 1,
            Some(Answer::Failed | Answer::Invalid) => answers.failed += 1,
            Some(Answer::Broken) => answers.broken += 1,
            Some(Answer::Duplicate) => answers.duplicate += 1,
            None if attempt.lost.is_some() => answers.lost += 1,
            None => answers.left += 1,
        }
    }
    answers
}

/// Names of the faults that began, each with its number of occurrences if there are several.
fn list_faults(lines: &[Line]) -> Vec<String> {
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        if let Event::Fault { name, begins: true, .. } = &line.event {
            *faults.entry(name).or_default() += 1;
        }
    }
    let text = |(name, count): (&str, u64)| {
        if count > 1 {
            format!("{name} x{count}")
        } else {
            name.to_owned()
        }
    };
    faults.into_iter().map(text).collect()
}
