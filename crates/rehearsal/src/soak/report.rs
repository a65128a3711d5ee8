//! The result of the soak of one seed.

use serde::Serialize;

use super::oracle::Finding;
use super::plan::SoakPlan;

/// The counters and findings of one seed.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed and its plan, from which the run can be repeated.
    pub plan: SoakPlan,
    /// Number of requests sent by clients.
    pub asked: usize,
    /// Number of requests whose answer was complete.
    pub served: usize,
    /// Number of calls that reached workers.
    pub calls: usize,
    /// Number of reservations of KV state.
    #[serde(rename = "held")]
    pub reserved: usize,
    /// Number of reservations kept beyond the release time by an attempt that was still in flight because its answer
    /// never left the worker. No rule counts these.
    pub lost_answers: usize,
    /// The longest wait counted in `lost_answers`, µs.
    pub lost_answer_longest_us: u64,
    /// The longest scheduling stall of the soak process itself, µs.
    pub machine_stalled_us: u64,
    /// Violations of rules and bounds.
    pub findings: Vec<Finding>,
}

impl SoakReport {
    /// Whether there are no findings.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// The report as text for the terminal.
    pub fn text(&self) -> String {
        let mut text = format!(
            "seed {}: {} routers, {} workers, {} faults; {} asked, {} served, {} calls, {} states held, {} behind lost answers (at most {} ms); machine stood still {} ms: {}\n",
            self.plan.seed,
            self.plan.routers,
            self.plan.workers.len(),
            self.plan.faults.len(),
            self.asked,
            self.served,
            self.calls,
            self.reserved,
            self.lost_answers,
            self.lost_answer_longest_us / 1_000,
            self.machine_stalled_us / 1_000,
            if self.is_clean() { "clean".to_owned() } else { format!("{} FINDINGS", self.findings.len()) },
        );
        for finding in self.findings.iter().take(MAX_FINDINGS_SHOWN) {
            let id = finding.id.as_deref().unwrap_or("-");
            text.push_str(&format!("  {} {id}: {}\n", finding.check.name(), finding.text));
        }
        if !self.is_clean() {
            for fault in &self.plan.faults {
                text.push_str(&format!("  fault {:?}\n", fault));
            }
        }
        text
    }
}

/// Maximum number of findings printed by `text`.
const MAX_FINDINGS_SHOWN: usize = 12;
