//! `rehearse restart-afternoon`: routers replaced by successors under load, against the same scenario with none replaced and
//! with kills instead.

use serde::Serialize;

use crate::audit;
use crate::record::{Event, Line};
use crate::report::Rules;
use crate::scenario::{self, Restarts};
use crate::{runner, Error, Plan};

/// One run of the scenario.
#[derive(Debug, Clone, Serialize)]
pub struct RestartRun {
    /// Hand-overs or kills.
    pub restarts: u64,
    /// Of the traffic.
    pub goodput: f64,
    /// Clients' attempts that found no router though it was up.
    pub unreached: u64,
    /// Connections lost that no kill excuses.
    pub broken: u64,
    /// The five rules.
    pub rules: Rules,
}

/// The report.
#[derive(Debug, Clone, Serialize)]
pub struct RestartReport {
    /// Always `restart-afternoon`.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Routers run on.
    pub without: RestartRun,
    /// Successors take over.
    pub hand_overs: RestartRun,
    /// Routers are killed and start again.
    pub kills: RestartRun,
    /// Goodput with hand-overs over that without restarts.
    pub ratio: f64,
    /// With kills likewise.
    pub ratio_kills: f64,
    /// What broke.
    pub broken: Vec<String>,
}

impl RestartReport {
    /// Whether all rules held in all three runs, and no hand-over cost a connection.
    pub fn passed(&self) -> bool {
        let scenarios = [&self.without, &self.hand_overs, &self.kills];
        scenarios.iter().all(|d| d.rules.passed()) && self.hand_overs.unreached == 0
    }

    /// As one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// For a person.
    pub fn text(&self) -> String {
        let mut out = format!("restart-afternoon (seed {})\n", self.seed);
        for (name, d) in
            [("without", &self.without), ("hand-overs", &self.hand_overs), ("kills", &self.kills)]
        {
            out.push_str(&format!(
                "{name}: {} restarts, goodput {:.3}, {} tries found no router though it was up\n",
                d.restarts, d.goodput, d.unreached
            ));
            out.push_str(&d.rules.text());
        }
        out.push_str(&format!(
            "goodput over that without restarts: hand-overs {:.3}, kills {:.3}\n",
            self.ratio, self.ratio_kills
        ));
        for line in &self.broken {
            out.push_str(&format!("  broken: {line}\n"));
        }
        out
    }
}

/// Plays the scenario three times: without restarts, with hand-overs and with kills.
pub fn rehearse(plan: &Plan) -> Result<RestartReport, Error> {
    let mut broken = Vec::new();
    let mut play = |restarts| -> Result<RestartRun, Error> {
        let scenario = scenario::restart_scenario(plan.seed, plan.seconds.unwrap_or(30), restarts);
        let lines = runner::play(&scenario, plan)?;
        if let (Some(file), Restarts::HandOvers) = (&plan.record, restarts) {
            crate::record::write(file, &lines)?;
        }
        let report = audit::evaluate(&lines);
        broken.extend(report.broken);
        Ok(RestartRun {
            restarts: count_faults(&lines, "hand_over") + count_faults(&lines, "balancer_roll"),
            goodput: report.goodput,
            unreached: unreached(&lines),
            broken: report.rules.answered.broken,
            rules: report.rules,
        })
    };
    let without = play(Restarts::None)?;
    let hand_overs = play(Restarts::HandOvers)?;
    let kills = play(Restarts::Kills)?;
    let relative_goodput = |run: &RestartRun| run.goodput / without.goodput.max(1e-9);
    Ok(RestartReport {
        scenario: "restart-afternoon".into(),
        seed: plan.seed,
        ratio: relative_goodput(&hand_overs),
        ratio_kills: relative_goodput(&kills),
        without,
        hand_overs,
        kills,
        broken,
    })
}

/// How many faults of a kind began.
fn count_faults(lines: &[Line], kind: &str) -> u64 {
    let begins = |event: &Event| matches!(event, Event::Fault { name, begins: true, .. } if name == kind);
    lines.iter().filter(|line| begins(&line.event)).count() as u64
}

/// Clients' attempts that found no router though the kit had not killed it.
fn unreached(lines: &[Line]) -> u64 {
    let mut down: Vec<&str> = Vec::new();
    let mut count = 0;
    for line in lines {
        match &line.event {
            Event::Router { router, up: false } => down.push(router),
            Event::Router { router, up: true } => down.retain(|d| d != router),
            Event::Unreachable { router } => count += u64::from(!down.contains(&router.as_str())),
            _ => {}
        }
    }
    count
}
