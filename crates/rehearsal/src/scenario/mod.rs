//! Scenarios: a fleet, traffic and faults, by name or from a scenario file that the bench printed.

mod bench_file;
mod named;

use serde::{Deserialize, Serialize};

use self::bench_file::from_bench_file;
use self::named::{bad_day, S};
pub use self::named::{base, budgets, model, restart_scenario, Restarts};
use crate::engine::EngineModel;
use crate::record::{Class, RuleLimits};

/// An engine of the fleet.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    pub id: String,
    pub cell: u64,
    pub model: EngineModel,
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Crash,
    MassRestart,
    FastErrors,
    Hang,
    Pauses,
    Slow,
    Ageing,
    AnswerLost,
    Flush,
    HotKey,
    HeavyTail,
    Burst,
    GiveUp,
    ReportLate,
    OriginSlow,
    Drain,
    StaleList,
    BalancerRoll,
    SlowClients,
    /// A tenant asks at all routers at once.
    Volley,
    /// Routers are replaced by successors that take over.
    HandOver,
    /// Routers are told to read their settings again.
    Reload,
    /// The settlement job is killed, and started again at the end.
    SettlementKilled,
    /// Links are cut: connections are reset, and new ones too.
    LinkCut,
    /// Links are silent towards routers; what is sent comes when they are back.
    LinkMute,
    /// Links are silent from routers.
    LinkDeaf,
    /// Links take so many µs longer each way.
    LinkSlow,
    /// All connections of links are reset, once.
    LinkReset,
}

/// Which links a fault strikes; of engines' those of the engines in [`Fault::on`], all of them if none is named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSelector {
    pub of: LinkScope,
    /// Routers by place; none named: all.
    pub routers: Vec<usize>,
}

/// What links lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkScope {
    /// Clients.
    Clients,
    /// Engines.
    Engines,
    /// Discovery.
    #[serde(rename = "register")]
    Discovery,
    /// All of these.
    All,
}

/// How the routers of a scenario keep budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    Leases,
    Equal,
    Unreserved,
}

/// A tenant with a budget.
#[derive(Debug, Clone)]
pub struct TenantSpec {
    pub name: &'static str,
    /// Its key; its hash is made by the program under rehearsal.
    pub key: &'static str,
    /// Of the traffic.
    pub share: f64,
    /// The budget of a day in tokens; none: no limit.
    pub tokens: Option<u64>,
}

/// What a scenario with budgets has besides.
#[derive(Debug, Clone)]
pub struct BudgetSpec {
    pub sharing: Sharing,
    pub tenants: Vec<TenantSpec>,
    /// One router (another one for each tenant) gets so many times what each other one gets.
    pub skew: f64,
    /// Thousandths by which estimates are raised.
    pub margin: u64,
}

/// The kinds by the names that the bench's day files use, and by those that it has none for.
pub const KINDS: [(&str, Kind); 28] = [
    ("crash", Kind::Crash),
    ("mass_restart", Kind::MassRestart),
    ("fast_errors", Kind::FastErrors),
    ("hang", Kind::Hang),
    ("pauses", Kind::Pauses),
    ("slow", Kind::Slow),
    ("ageing", Kind::Ageing),
    ("answer_lost", Kind::AnswerLost),
    ("flush", Kind::Flush),
    ("hot_key", Kind::HotKey),
    ("heavy_tail", Kind::HeavyTail),
    ("burst", Kind::Burst),
    ("give_up", Kind::GiveUp),
    ("report_late", Kind::ReportLate),
    ("origin_slow", Kind::OriginSlow),
    ("drain", Kind::Drain),
    ("stale_list", Kind::StaleList),
    ("balancer_roll", Kind::BalancerRoll),
    ("slow_clients", Kind::SlowClients),
    ("hand_over", Kind::HandOver),
    ("reload", Kind::Reload),
    ("volley", Kind::Volley),
    ("settlement_killed", Kind::SettlementKilled),
    ("link_cut", Kind::LinkCut),
    ("link_mute", Kind::LinkMute),
    ("link_deaf", Kind::LinkDeaf),
    ("link_slow", Kind::LinkSlow),
    ("link_reset", Kind::LinkReset),
];

impl Kind {
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|(_, k)| *k == self).map_or("", |(name, _)| name)
    }

    /// Whether it strikes engines.
    pub fn on_engines(self) -> bool {
        use Kind::*;
        matches!(
            self,
            Crash
                | MassRestart
                | FastErrors
                | Hang
                | Pauses
                | Slow
                | Ageing
                | AnswerLost
                | Flush
                | ReportLate
                | Drain
        )
    }
}

/// A fault. Times in µs from the scenario's beginning.
#[derive(Debug, Clone)]
pub struct Fault {
    pub kind: Kind,
    pub at: u64,
    pub len: u64,
    /// Engines or routers that it strikes, by place in the scenario's lists.
    pub on: Vec<usize>,
    /// How hard: a factor, or a share, by kind.
    pub size: f64,
    /// Of faults of links: which.
    pub links: Option<LinkSelector>,
}

/// A scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub length: u64,
    pub routers: usize,
    pub engines: Vec<EngineSpec>,
    pub classes: Vec<Class>,
    /// Of the first attempts, one a class.
    pub shares: Vec<f64>,
    /// First attempts a second.
    pub rate: f64,
    /// Discovery tells of changes after this.
    pub discovery_delay: u64,
    pub limits: RuleLimits,
    pub faults: Vec<Fault>,
    /// Thousandths by which engines count more prompt tokens than a token for four bytes, at most.
    pub extra_token_permille: u64,
    pub budgets: Option<BudgetSpec>,
    /// Share of clients that come again at once when they are refused.
    pub impatient: f64,
    /// Clients' attempts of one request, the first one counted.
    pub max_attempts: u32,
    /// A router that gets so many times what each other one gets.
    pub favourite: Option<(usize, f64)>,
    /// Each router reaches engines and register at addresses of its own, so that links can be told apart.
    pub separate_addresses: bool,
    /// How many routers the settings say there are, where that is not so.
    pub configured_routers: Option<u32>,
    /// How far routers' clocks are apart at most, µs; where the clock is fed.
    pub clock_skew: u64,
}

/// A scenario by name, or a bench's day file by its path.
pub fn load(scenario: &str, seed: u64, seconds: Option<u64>) -> Result<Scenario, String> {
    match scenario {
        "bad-day" => Ok(bad_day(seed, seconds.unwrap_or(60))),
        "calm-day" => Ok(base("calm-day", seed, seconds.unwrap_or(20) * S)),
        path => {
            let text = std::fs::read_to_string(path).map_err(|e| {
                format!("{path}: no day of this name (bad-day, calm-day) and no day file: {e}")
            })?;
            from_bench_file(&text, seed, seconds).map_err(|e| format!("{path}: {e}"))
        }
    }
}

#[cfg(test)]
#[path = "../scenario_test.rs"]
mod tests;
