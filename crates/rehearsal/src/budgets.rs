//! `rehearse budgets`: sixteen routers as processes, bursting tenants, kills; overrun and bills judged from
//! what engines and clients saw.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use serde::Serialize;

use crate::audit;
use crate::record::{Answer, AttemptEnd, Event, Line, Stage};
use crate::report::Rules;
use crate::runner::play_and;
use crate::scenario::{self, Scenario, Sharing};
use crate::{Error, Plan};

/// A tenant's figures, in tokens.
#[derive(Debug, Clone, Serialize)]
pub struct TenantFigures {
    /// Its name.
    pub tenant: String,
    /// The budget of the day; none: no limit.
    pub budget: Option<u64>,
    /// Of answers that clients got, as engines counted them.
    pub used: u64,
    /// Used beyond the budget.
    pub overrun: u64,
    /// The stated bound on it: in flight at the routers at most, times the excess of a request over its
    /// reservation.
    pub bound: u64,
    /// Requests in flight, the routers' highest numbers added up.
    pub in_flight: u64,
    /// Used by budget.
    pub utilisation: Option<f64>,
}

/// One way of sharing, played.
#[derive(Debug, Clone, Serialize)]
pub struct Played {
    /// Tenants.
    pub tenants: Vec<TenantFigures>,
    /// Over all.
    pub overrun_tokens: u64,
    /// Over all.
    pub bound_tokens: u64,
    /// Of the worst tenant with a budget.
    pub utilisation: f64,
}

/// The report.
#[derive(Debug, Clone, Serialize)]
pub struct BudgetReport {
    /// Always `budgets`.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Routers, each a process.
    pub routers: usize,
    /// Kills of routers.
    pub router_kills: u64,
    /// Kills of the settlement job.
    pub settlement_kills: u64,
    /// Used beyond budgets.
    pub overrun_tokens: u64,
    /// The stated bound on it.
    pub bound_tokens: u64,
    /// Used by budget, of the worst tenant that has one.
    pub utilisation: f64,
    /// Tokens in which bill and engines' records differ, unexplained.
    pub bill_difference_tokens: u64,
    /// Tokens billed, of those that the engines did, and those whose not being billed is explained.
    pub billed_tokens: u64,
    /// See `billed_tokens`.
    pub engine_tokens: u64,
    /// See `billed_tokens`.
    pub explained_tokens: u64,
    /// Tokens not billed, by cause.
    pub causes: BTreeMap<String, u64>,
    /// The five rules, from the sockets.
    pub rules: Rules,
    /// Requests.
    pub requests: u64,
    /// With leases.
    pub leases: Played,
    /// The same traffic with a fixed equal share at each router.
    pub equal_shares: Played,
    /// The same traffic without reservations.
    pub unreserved: Played,
    /// What broke.
    pub broken: Vec<String>,
}

/// Used of a budget at least, for the rehearsal to pass.
const UTILISATION: f64 = 0.90;

impl BudgetReport {
    /// Whether all that must hold did.
    pub fn passed(&self) -> bool {
        self.rules.passed()
            && self.overrun_tokens <= self.bound_tokens
            && self.utilisation >= UTILISATION
            && self.bill_difference_tokens == 0
    }

    /// As one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// For a person.
    pub fn text(&self) -> String {
        let mut out = format!(
            "budgets (seed {}), {} routers as processes, {} killed, settlement job killed {} times\n",
            self.seed, self.routers, self.router_kills, self.settlement_kills
        );
        out.push_str(&self.rules.text());
        out.push_str(&format!("  requests {}\n", self.requests));
        let ways = [
            ("leases", &self.leases),
            ("equal shares", &self.equal_shares),
            ("unreserved", &self.unreserved),
        ];
        for (name, p) in ways {
            out.push_str(&format!(
                "  {name}: overrun {} tokens (bound {}), utilisation {:.3}\n",
                p.overrun_tokens, p.bound_tokens, p.utilisation
            ));
            for t in &p.tenants {
                out.push_str(&format!("    {}: {} of {:?} tokens used\n", t.tenant, t.used, t.budget));
            }
        }
        out.push_str(&format!(
            "  bills: engines did {} tokens, {} billed, {} explained, {} not explained\n",
            self.engine_tokens, self.billed_tokens, self.explained_tokens, self.bill_difference_tokens
        ));
        for (cause, tokens) in &self.causes {
            out.push_str(&format!("    {cause}: {tokens}\n"));
        }
        for line in &self.broken {
            out.push_str(&format!("  broken: {line}\n"));
        }
        out
    }
}

/// Plays the scenario three times: with leases, with equal shares, and without reservations.
pub fn rehearse(plan: &Plan) -> Result<BudgetReport, Error> {
    let seconds = plan.seconds.unwrap_or(30);
    let play = |sharing| {
        let scenario = scenario::budgets(plan.seed, seconds, sharing);
        let look = |folder: &Path, lines: &[Line]| match sharing {
            Sharing::Leases => bill(folder, lines, plan).map(Some),
            _ => Ok(None),
        };
        play_and(&scenario, plan, look).map(|(lines, bill)| (scenario, lines, bill))
    };
    let (scenario, lines, bill) = play(Sharing::Leases)?;
    if let Some(file) = &plan.record {
        crate::record::write(file, &lines)?;
    }
    let mut audit = audit::evaluate(&lines);
    let leases = figures(&scenario, &lines);
    let baseline = |sharing| play(sharing).map(|(scenario, lines, _)| figures(&scenario, &lines));
    let (equal_shares, unreserved) = (baseline(Sharing::Equal)?, baseline(Sharing::Unreserved)?);
    let bill = bill.unwrap_or_default();
    let number = |name: &str| bill.get(name).and_then(|v| v.as_u64()).unwrap_or(u64::MAX);
    let mut causes: BTreeMap<String, u64> = BTreeMap::new();
    for d in bill.get("differences").and_then(|d| d.as_array()).into_iter().flatten() {
        let cause = d.get("cause").and_then(|c| c.as_str()).unwrap_or("?").to_owned();
        let tokens = d.get("tokens").and_then(|t| t.as_u64()).unwrap_or(0);
        let unexplained = ["no_reservation", "no_engine_record", "mismatch"].contains(&cause.as_str());
        if unexplained && audit.broken.len() < 20 {
            audit.broken.push(format!("bill: {d}"));
        }
        *causes.entry(cause).or_default() += tokens;
    }
    let count = |wanted: fn(&Event) -> bool| lines.iter().filter(|l| wanted(&l.event)).count() as u64;
    let settled =
        |s: &Event| matches!(s, Event::Fault { name, begins: true, .. } if name == "settlement_killed");
    Ok(BudgetReport {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        routers: scenario.routers,
        router_kills: count(|s| matches!(s, Event::Router { up: false, .. })),
        settlement_kills: count(settled),
        overrun_tokens: leases.overrun_tokens,
        bound_tokens: leases.bound_tokens,
        utilisation: leases.utilisation,
        bill_difference_tokens: number("unexplained_tokens"),
        billed_tokens: number("billed_tokens"),
        engine_tokens: number("engine_tokens"),
        explained_tokens: number("explained_tokens"),
        causes,
        rules: audit.rules,
        requests: audit.requests,
        leases,
        equal_shares,
        unreserved,
        broken: audit.broken,
    })
}

/// The program's own bill, from the routers' ledgers and the engines' records.
fn bill(folder: &Path, lines: &[Line], plan: &Plan) -> Result<serde_json::Value, Error> {
    let mut text = String::new();
    for line in lines {
        if let Event::AttemptWork { engine, request, number, stage, prompt, cached, output, .. } = &line.event
        {
            let work = match stage {
                Stage::Prefill => "read",
                Stage::Decode => "pull",
                Stage::Combined => "whole",
            };
            let line = serde_json::json!({"engine": engine, "request": request, "attempt": number, "work": work,
                "prompt": prompt, "kept": cached, "output": output, "at": line.t});
            text.push_str(&format!("{line}\n"));
        }
    }
    let engines = folder.join("engines.jsonl");
    std::fs::write(&engines, text)?;
    // By the month: a run over midnight is in one bill.
    let month = jiff::Timestamp::now().in_tz("Europe/Zurich");
    let month = month.map_err(|e| Error::CouldNotRun(e.to_string()))?.strftime("%Y-%m").to_string();
    let output = Command::new(&plan.exe)
        .arg("bill")
        .arg(folder.join("r1.xml"))
        .args(["--period", &month, "--format", "json", "--engines"])
        .arg(&engines)
        .output()?;
    let json: Option<serde_json::Value> = serde_json::from_slice(&output.stdout).ok();
    json.and_then(|j| j.get("bill").cloned())
        .ok_or_else(|| Error::CouldNotRun(format!("bill: {}", String::from_utf8_lossy(&output.stderr))))
}

/// A try, as its client saw it.
struct ClientAttempt<'a> {
    tenant: &'a str,
    router: &'a str,
    identity: &'a str,
    asked: u64,
    first: bool,
    ended: u64,
    how: Option<Answer>,
    left: bool,
}

/// An attempt that writes, as its engine saw it.
struct Written {
    arrived: u64,
    /// Prompt and answer.
    tokens: Option<(u64, u64)>,
    answered: bool,
}

fn client_attempts(lines: &[Line]) -> BTreeMap<u64, ClientAttempt<'_>> {
    let mut client_attempts: BTreeMap<u64, ClientAttempt<'_>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Request { number, identity, router, tenant, .. } => {
                let (asked, ended) = (line.t, u64::MAX);
                let t = ClientAttempt {
                    tenant,
                    router,
                    identity,
                    asked,
                    first: false,
                    ended,
                    how: None,
                    left: false,
                };
                client_attempts.insert(*number, t);
            }
            Event::FirstToken { number }
            | Event::Answer { number, .. }
            | Event::ClientLeft { number }
            | Event::ConnectionLost { number, .. } => {
                let Some(t) = client_attempts.get_mut(number) else { continue };
                match &line.event {
                    Event::FirstToken { .. } => t.first = true,
                    Event::Answer { how, .. } => (t.how, t.ended) = (Some(*how), line.t),
                    Event::ClientLeft { .. } => (t.left, t.ended) = (true, line.t),
                    _ => t.ended = line.t,
                }
            }
            _ => {}
        }
    }
    client_attempts
}

/// What tenants used, from the answers that clients got and the engines' counts of them.
fn figures(scenario: &Scenario, lines: &[Line]) -> Played {
    let mut writes: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    let mut written: BTreeMap<u64, Written> = BTreeMap::new();
    let mut longest = 0;
    for line in lines {
        match &line.event {
            Event::AttemptArrived { attempt, router, identity, stage, .. } if *stage != Stage::Prefill => {
                // Routers put the tenant before a client's own identity.
                let own = identity.split_once('/').map_or(identity.as_str(), |(_, own)| own);
                writes.entry((router, own)).or_default().push(*attempt);
                written.insert(*attempt, Written { arrived: line.t, tokens: None, answered: false });
            }
            Event::AttemptWork { attempt, prompt, output, .. } => {
                longest = longest.max(*prompt);
                if let Some(w) = written.get_mut(attempt) {
                    w.tokens = Some((*prompt, *output));
                }
            }
            Event::AttemptEnded { attempt, how } => {
                if let Some(w) = written.get_mut(attempt) {
                    w.answered = *how == AttemptEnd::Answered;
                }
            }
            _ => {}
        }
    }
    let client_attempts = client_attempts(lines);
    let specs = scenario.budgets.iter().flat_map(|b| &b.tenants);
    let margin = scenario.budgets.as_ref().map_or(0, |b| b.margin);
    // What an engine may count beyond the reservation: its share over four bytes a token, less the margin.
    let excess = longest * scenario.extra_token_permille.saturating_sub(margin)
        / (1_000 + scenario.extra_token_permille)
        + 2;
    let tenants: Vec<TenantFigures> = specs
        .map(|spec| {
            let own = || client_attempts.values().filter(|t| t.tenant == spec.name);
            let used = own().filter(|t| t.how == Some(Answer::Served) || (t.left && t.first)).map(|t| {
                let attempts = writes.get(&(t.router, t.identity)).into_iter().flatten();
                let done = attempts
                    .filter_map(|a| written.get(a))
                    .filter(|w| (t.asked..=t.ended).contains(&w.arrived) && (w.answered || t.left));
                done.filter_map(|w| w.tokens).next_back().map_or(0, |(prompt, output)| prompt + output)
            });
            let used: u64 = used.sum();
            let in_flight = peaks(own().filter(|t| t.how != Some(Answer::Rejected)));
            let budget = spec.tokens;
            TenantFigures {
                tenant: spec.name.into(),
                budget,
                used,
                overrun: budget.map_or(0, |b| used.saturating_sub(b)),
                bound: budget.map_or(0, |_| in_flight * excess),
                in_flight,
                utilisation: budget.map(|b| used as f64 / b as f64),
            }
        })
        .collect();
    Played {
        overrun_tokens: tenants.iter().map(|t| t.overrun).sum(),
        bound_tokens: tenants.iter().map(|t| t.bound).sum(),
        utilisation: tenants.iter().filter_map(|t| t.utilisation).fold(f64::INFINITY, f64::min),
        tenants,
    }
}

/// The highest number in flight at each router, added up.
fn peaks<'a>(client_attempts: impl Iterator<Item = &'a ClientAttempt<'a>>) -> u64 {
    let mut moments: BTreeMap<&str, Vec<(u64, i64)>> = BTreeMap::new();
    for t in client_attempts {
        let of_router = moments.entry(t.router).or_default();
        of_router.push((t.asked, 1));
        of_router.push((t.ended, -1));
    }
    let highest = |mut list: Vec<(u64, i64)>| {
        list.sort_unstable();
        let mut open = 0;
        list.into_iter()
            .map(|(_, d)| {
                open += d;
                open
            })
            .max()
            .unwrap_or(0)
            .unsigned_abs()
    };
    moments.into_values().map(highest).sum()
}
