//! The report of a rehearsal or an audit.

use serde::Serialize;

/// One rule's judgement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Rule {
    /// Nothing broke it.
    #[serde(rename = "held")]
    pub passed: bool,
    /// How many cases were checked.
    pub checked: u64,
    /// How many broke it.
    pub broken: u64,
}

/// The five rules, and two that refine the first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Each accepted request has exactly one final answer in time.
    pub answered: Rule,
    /// Nothing is executed twice, and no rejection says falsely that nothing was executed.
    pub effect: Rule,
    /// Nothing new reaches a draining or removed worker past the grace period.
    pub drain: Rule,
    /// No worker is overloaded while it warms up.
    pub cold: Rule,
    /// No reservation is left behind.
    pub pinned: Rule,
    /// Of the first: no attempt begins for a client that has gone.
    pub gone: Rule,
    /// Of the first: no worker is given a longer timeout than its client has left.
    #[serde(rename = "told")]
    pub propagated_timeout: Rule,
}

impl Rules {
    /// Whether all passed.
    pub fn passed(&self) -> bool {
        self.named().iter().all(|(_, r)| r.passed)
    }

    /// For a person, a line each.
    pub fn text(&self) -> String {
        let line = |(name, r): &(&str, Rule)| {
            let word = if r.passed { "held" } else { "BROKEN" };
            format!("  rule {name:<9} {word:<7} {} checked, {} broken\n", r.checked, r.broken)
        };
        self.named().iter().map(line).collect()
    }

    fn named(&self) -> [(&'static str, Rule); 7] {
        [
            ("answered", self.answered),
            ("effect", self.effect),
            ("drain", self.drain),
            ("cold", self.cold),
            ("pinned", self.pinned),
            ("gone", self.gone),
            ("told", self.propagated_timeout),
        ]
    }
}

/// Percentiles in ms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Times {
    /// Half are under this.
    pub p50: f64,
    /// Nine in ten.
    pub p90: f64,
    /// Ninety-nine in a hundred.
    pub p99: f64,
    /// How many were measured.
    pub count: u64,
}

/// How clients' attempts ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Answers {
    /// Complete.
    pub served: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Broke off midway.
    pub broken: u64,
    /// Another request with their idempotency key was in flight or answered.
    pub duplicate: u64,
    /// The client left.
    pub left: u64,
    /// Lost with a killed router.
    pub lost: u64,
}

/// The report of a scenario, from the recorded traffic alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// The scenario's name.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Seconds recorded.
    pub seconds: f64,
    /// The rules.
    pub rules: Rules,
    /// Requests, each with all its attempts.
    pub requests: u64,
    /// Clients' attempts.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// How clients' attempts ended.
    pub answers: Answers,
    /// Priority weight answered in time over all that was requested.
    pub goodput: f64,
    /// From an attempt's sending to its first token.
    pub ttft_ms: Times,
    /// Between tokens, a mean for each answer.
    pub tpot_ms: Times,
    /// Attempts that reached engines.
    pub attempts: u64,
    /// Faults played, by name.
    pub faults: Vec<String>,
    /// What broke, the first few of each rule.
    pub broken: Vec<String>,
}

impl Report {
    /// As one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// For a person.
    pub fn text(&self) -> String {
        let mut out = format!("{} (seed {}), {:.1} s\n", self.scenario, self.seed, self.seconds);
        out.push_str(&self.rules.text());
        let a = self.answers;
        out.push_str(&format!(
            "  requests {} in {} tries, {} attempts at engines\n",
            self.requests, self.client_attempts, self.attempts
        ));
        out.push_str(&format!(
            "  tries: served {}, refused {}, failed {}, broken off {}, duplicate {}, left {}, lost with a router {}\n",
            a.served, a.rejected, a.failed, a.broken, a.duplicate, a.left, a.lost
        ));
        out.push_str(&format!("  goodput {:.3}\n", self.goodput));
        for (name, t) in [("TTFT", self.ttft_ms), ("TPOT", self.tpot_ms)] {
            out.push_str(&format!(
                "  {name} ms: p50 {:.1}, p90 {:.1}, p99 {:.1} ({})\n",
                t.p50, t.p90, t.p99, t.count
            ));
        }
        if !self.faults.is_empty() {
            out.push_str(&format!("  faults: {}\n", self.faults.join(", ")));
        }
        for line in &self.broken {
            out.push_str(&format!("  broken: {line}\n"));
        }
        out
    }
}
