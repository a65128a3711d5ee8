//! What an overload rehearsal says.

use std::fmt::Write as _;

use chalkyard_rehearsal::record::Line;
use chalkyard_rehearsal::scenario::Scenario;
use chalkyard_rehearsal::{evaluate, Rules};
use serde::Serialize;

use crate::cases::bounds;
use crate::sums::{sums, Bound, Sums};

/// A scenario as one build played it.
#[derive(Debug, Clone, Serialize)]
pub struct Played {
    /// The five rules.
    pub rules: Rules,
    /// What broke them.
    pub broken: Vec<String>,
    /// Requests that were asked.
    pub requests: u64,
    /// What adds up.
    #[serde(flatten)]
    pub sums: Sums,
}

impl Played {
    /// Judges a record of the scenario.
    pub fn judge(scenario: &Scenario, lines: &[Line]) -> Self {
        let report = evaluate(lines);
        Self {
            rules: report.rules,
            broken: report.broken,
            requests: report.requests,
            sums: sums(scenario, lines),
        }
    }
}

/// One case with one seed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Its name.
    pub case: String,
    /// Seed.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// `processes`, or `fed` time.
    pub way: &'static str,
    /// This build.
    #[serde(flatten)]
    pub played: Played,
    /// Its sums against their bounds.
    pub bounds: Vec<Bound>,
    /// Another build on the same day.
    pub baseline: Option<Played>,
}

impl Report {
    /// Judges one record, and that of another build.
    pub fn new(scenario: &Scenario, way: &'static str, lines: &[Line], baseline: Option<&[Line]>) -> Self {
        let played = Played::judge(scenario, lines);
        Self {
            case: scenario.name.clone(),
            seed: scenario.seed,
            routers: scenario.routers,
            way,
            bounds: bounds(scenario, &played.sums),
            played,
            baseline: baseline.map(|lines| Played::judge(scenario, lines)),
        }
    }

    /// Sums past their bounds.
    pub fn past(&self) -> impl Iterator<Item = &Bound> {
        self.bounds.iter().filter(|b| b.value > b.most)
    }

    /// Whether the rules and all bounds held.
    pub fn passed(&self) -> bool {
        self.played.rules.passed() && self.past().next().is_none()
    }

    /// As one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// For a person: a line a sum, and what broke.
    pub fn text(&self) -> String {
        let s = &self.played.sums;
        let mut out = format!(
            "{} seed {} ({}, {} routers, {} requests): goodput {:.3}, before {:.3}, during {:.3}; refused {:.3}; idle while refusing {:.2}\n",
            self.case, self.seed, self.way, self.routers, self.played.requests, s.goodput, s.goodput_before,
            s.goodput_during, s.refused_share, s.idle_while_refusing,
        );
        for b in &self.bounds {
            let word = if b.value > b.most { "PAST" } else { "within" };
            let other = self.baseline.as_ref().and_then(|p| p.sums.get(b.name));
            let other = other.map_or_else(String::new, |v| format!("   baseline {v:.2}"));
            let _ = writeln!(out, "  {:<16} {:>8.2} {word} {:.2}{other}", b.name, b.value, b.most);
        }
        if let Some(p) = &self.baseline {
            let _ = writeln!(
                out,
                "  baseline: goodput {:.3}, during {:.3}; rules {}",
                p.sums.goodput,
                p.sums.goodput_during,
                if p.rules.passed() { "held" } else { "BROKEN" }
            );
        }
        if !self.played.rules.passed() {
            out.push_str(&self.played.rules.text());
        }
        for line in &self.played.broken {
            let _ = writeln!(out, "  broken: {line}");
        }
        out
    }
}
