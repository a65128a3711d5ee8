//! Judges the five rules from recorded traffic alone: what clients, engines and the register saw.

mod book;
mod rules;
mod worth;

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;

use self::book::Book;
pub use self::worth::by_second;
use crate::record::{parse, Answer, Line, Seen};
use crate::report::{Report, Rule, Times};

/// So many broken cases of a rule are told in words.
const TOLD: u64 = 5;

/// Reads a record and judges it. An error names the line.
pub fn audit(text: &str) -> Result<Report, String> {
    let lines = parse(text)?;
    check(&lines)?;
    Ok(judge(&lines))
}

/// That lines refer to what there is: a record with holes would be judged too well.
fn check(lines: &[Line]) -> Result<(), String> {
    let (mut attempts, mut tries, mut engines) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for (i, line) in lines.iter().enumerate() {
        let wrong = |what: String| Err(format!("{}: {what}", i + 1));
        match &line.seen {
            Seen::Engine { engine, .. } => {
                engines.insert(engine.clone());
            }
            Seen::Arrive { attempt, engine, .. } => {
                if !engines.contains(engine) {
                    return wrong(format!("unknown engine `{engine}`"));
                }
                if !attempts.insert(*attempt) {
                    return wrong(format!("attempt {attempt} arrives twice"));
                }
            }
            Seen::Run { attempt } | Seen::End { attempt, .. } | Seen::Work { attempt, .. }
                if !attempts.contains(attempt) =>
            {
                return wrong(format!("unknown attempt {attempt}"));
            }
            Seen::Ask { no, .. } if !tries.insert(*no) => return wrong(format!("try {no} is asked twice")),
            Seen::First { no } | Seen::Answer { no, .. } | Seen::Leave { no } | Seen::Lost { no, .. }
                if !tries.contains(no) =>
            {
                return wrong(format!("unknown try {no}"));
            }
            _ => {}
        }
    }
    Ok(())
}

#[derive(Default)]
struct Tally {
    rule: Rule,
    told: Vec<String>,
}

impl Tally {
    fn case(&mut self, broken: Option<String>) {
        self.rule.checked += 1;
        if let Some(what) = broken {
            self.rule.broken += 1;
            if self.rule.broken <= TOLD {
                self.told.push(what);
            }
        }
    }

    fn done(&mut self, name: &str, broken: &mut Vec<String>) -> Rule {
        self.rule.held = self.rule.broken == 0;
        broken.extend(self.told.drain(..).map(|what| format!("{name}: {what}")));
        self.rule
    }
}

fn times(values: impl Iterator<Item = u64>) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3) else {
        return Times::default();
    };
    for v in values {
        histogram.saturating_record(v.max(1));
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    Times { p50: at(0.5), p90: at(0.9), p99: at(0.99), count: histogram.len() }
}

/// Judges a record whose first line is the day.
pub fn judge(lines: &[Line]) -> Report {
    let Some((book, name, seed)) = Book::read(lines) else { return Report::default() };
    let mut tallies: [Tally; 7] = Default::default();
    let [answered, effect, drain, cold, pinned, gone, told] = &mut tallies;
    book.answered(answered);
    book.effect(effect);
    book.drain(drain);
    book.cold(cold);
    book.pinned(pinned);
    let tries = book.tries_by_identity();
    book.gone(&tries, gone);
    book.told(&tries, told);
    let mut report =
        Report { scenario: name.into(), seed, seconds: book.end as f64 / 1e6, ..Report::default() };
    let broken = &mut report.broken;
    report.rules.answered = answered.done("answered", broken);
    report.rules.effect = effect.done("effect", broken);
    report.rules.drain = drain.done("drain", broken);
    report.rules.cold = cold.done("cold", broken);
    report.rules.pinned = pinned.done("pinned", broken);
    report.rules.gone = gone.done("gone", broken);
    report.rules.told = told.done("told", broken);
    (report.requests, report.goodput) = book.goodput();
    report.tries = book.tries.len() as u64;
    report.attempts = book.attempts.len() as u64;
    for t in book.tries.values() {
        let a = &mut report.answers;
        match t.answers.first().map(|(_, how, _)| *how) {
            Some(Answer::Served) => a.served += 1,
            Some(Answer::Refused) => a.refused += 1,
            Some(Answer::Failed | Answer::Invalid) => a.failed += 1,
            Some(Answer::Broken) => a.broken += 1,
            Some(Answer::Duplicate) => a.duplicate += 1,
            None if t.lost.is_some() => a.lost += 1,
            None => a.left += 1,
        }
    }
    report.ttft_ms = times(book.tries.values().filter_map(|t| t.first.map(|f| f - t.asked)));
    report.tpot_ms = times(book.tries.values().filter_map(|t| {
        let (end, _, tokens) =
            t.answers.iter().find(|(_, how, tokens)| *how == Answer::Served && *tokens > 1)?;
        Some((end - t.first?) / (tokens - 1))
    }));
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        if let Seen::Fault { name, begins: true, .. } = &line.seen {
            *faults.entry(name).or_default() += 1;
        }
    }
    report.faults =
        faults.into_iter().map(|(n, c)| if c > 1 { format!("{n} x{c}") } else { n.to_owned() }).collect();
    report
}
