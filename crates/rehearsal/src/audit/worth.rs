//! What requests were worth, and what of that was answered in time.

use std::collections::BTreeMap;

use super::book::Book;
use crate::record::{Answer, Line};

impl<'a> Book<'a> {
    /// A request is one identity, from its first try: when it was asked, its worth, and what of that was answered in time.
    fn worths(&self) -> impl Iterator<Item = (u64, f64, f64)> + use<'a> {
        let mut asked: BTreeMap<&str, (u64, f64, f64)> = BTreeMap::new();
        for t in self.tries.values() {
            let Some(c) = self.class(t.class) else { continue };
            let entry = asked.entry(t.identity).or_insert((t.asked, c.priority_weight, 0.0));
            let aim = c.latency_objective_us + c.latency_objective_per_1000_us * t.prompt / 1_000;
            let served = t.answers.iter().find(|(_, how, _)| *how == Answer::Served);
            if let Some((end, _, tokens)) = served {
                let first = t.first.unwrap_or(*end);
                let pace = (end - first.min(*end)) / tokens.saturating_sub(1).max(1);
                // A whole answer shows no first token: it is in time if it came at the wanted pace.
                let whole = t.first.is_none();
                let aim = if whole { aim + c.token_objective_us * tokens } else { aim };
                if first - entry.0.min(first) <= aim && (whole || pace <= c.token_objective_us) {
                    entry.2 = c.priority_weight;
                }
            }
        }
        asked.into_values()
    }

    /// Worth answered in time over worth asked.
    pub(super) fn goodput(&self) -> (u64, f64) {
        let (mut n, mut worth, mut good) = (0, 0.0, 0.0);
        for (_, w, g) in self.worths() {
            (n, worth, good) = (n + 1, worth + w, good + g);
        }
        (n, if worth > 0.0 { good / worth } else { 0.0 })
    }
}

/// For each second of the day, the worth asked in it and what of that was answered in time.
pub fn by_second(lines: &[Line]) -> Vec<(f64, f64)> {
    let mut seconds: Vec<(f64, f64)> = Vec::new();
    let Some((book, ..)) = Book::read(lines) else { return seconds };
    for (at, worth, good) in book.worths() {
        let second = (at / 1_000_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, (0.0, 0.0));
        }
        if let Some(sum) = seconds.get_mut(second) {
            *sum = (sum.0 + worth, sum.1 + good);
        }
    }
    seconds
}
