//! What the soak of one seed found.

use serde::Serialize;

use super::oracle::Finding;
use super::plan::SoakPlan;

/// What a seed showed.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed and its plan, to play it again.
    pub plan: SoakPlan,
    /// Requests that were asked, and served.
    pub asked: usize,
    /// See `asked`.
    pub served: usize,
    /// Calls that reached workers.
    pub calls: usize,
    /// KV states that were reserved.
    #[serde(rename = "held")]
    pub reserved: usize,
    /// States that waited past their time behind an attempt that was still out, since its answer never left, and the
    /// longest, us. No rule counts these.
    pub lost_answers: usize,
    /// See `lost_answers`.
    pub lost_answer_longest_us: u64,
    /// The longest that the fakes' own machine stood still, us.
    pub machine_stalled_us: u64,
    /// All that was broken.
    pub findings: Vec<Finding>,
}

impl SoakReport {
    /// Whether nothing was broken.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// For people.
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
        for finding in self.findings.iter().take(FINDINGS_SHOWN) {
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

/// Findings that the text names.
const FINDINGS_SHOWN: usize = 12;
