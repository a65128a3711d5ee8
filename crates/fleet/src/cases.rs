//! Scenarios on which many routers can do harm together, each alone or several at once, and what their sums may be.

use chalkyard_rehearsal::scenario::{base, EngineSpec, Fault, Kind, LinkScope, LinkSelector, Scenario};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::sums::{Bound, Sums};

const S: u64 = 1_000_000;
/// Engines are so many times those of the kit's small fleet.
const FLEETS: usize = 3;
/// First attempts a second: half of what the engines carry (see `docs/fleet-model.md`).
const RATE: f64 = 75.0;
/// Goodput is back so long after the last fault at the latest: what is told of a cold engine's warmth, and a deadline.
const RECOVERY_S: f64 = 12.0;
/// The day goes on for so much longer, s.
const AFTER: u64 = 4;
/// With fewer first attempts a second goodput of a few seconds says nothing.
const RATE_LEAST: f64 = 10.0;
/// Attempts beyond the first may be this share of first ones in any five seconds.
const REPEATS_SHARE: f64 = 1.0;
/// Calls for the list after a loss of all are spread over this, s.
const LIST_SPAN_S: f64 = 1.0;
/// Routers with like news may differ so far in the share they refuse.
const SHED_SPREAD: f64 = 0.15;
/// The first fault begins then, s: routers have learnt what there is.
const CALM: u64 = 10;

/// A case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// What happens.
    pub what: &'static str,
}

/// All cases by name; several at once are written `one+other`.
pub const CASES: [Case; 14] = [
    Case { name: "calm", what: "no fault" },
    Case { name: "burst", what: "twice the traffic for 8 s; half of the clients come again at once" },
    Case { name: "silent", what: "a third of the engines fall silent to half of the routers for 8 s" },
    Case { name: "sick", what: "one engine fails nine in ten calls at once for 12 s, then heals" },
    Case { name: "reset", what: "all connections are reset at one moment" },
    Case {
        name: "replaced",
        what: "the register is silent for 6 s, then six in ten engines are replaced within 6 s, cold",
    },
    Case {
        name: "lost",
        what: "answers of a third of the engines get lost for 6 s, under half as much traffic again",
    },
    Case { name: "favourite", what: "one router has five times the traffic of each other, in a burst" },
    Case {
        name: "clocks",
        what: "the clocks of routers are up to 2 s apart, engines are replaced (fed time alone)",
    },
    Case { name: "cold", what: "all engines are killed at once and come back cold" },
    Case {
        name: "many",
        what: "routers are told that there are ten times as many, and engines are replaced",
    },
    Case { name: "few", what: "routers are told that there are a tenth as many, and engines are replaced" },
    Case { name: "thin", what: "a request a minute for each router, and engines are replaced" },
    Case {
        name: "late",
        what: "half of the routers are killed in the middle of a burst and start again in the jam",
    },
];

/// The day of a case, or of several at once.
pub fn case(name: &str, seed: u64, routers: usize, seconds: u64) -> Result<Scenario, String> {
    let mut scenario = base(name, seed, seconds.max(20) * S);
    let small = std::mem::take(&mut scenario.engines);
    scenario.engines = (0..FLEETS)
        .flat_map(|n| {
            small.iter().map(move |e| EngineSpec {
                id: format!("{}-{n}", e.id),
                cell: e.cell + n as u64 * 10,
                model: e.model,
            })
        })
        .collect();
    scenario.routers = routers;
    scenario.rate = RATE;
    scenario.separate_addresses = true;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for part in name.split('+') {
        add(part, &mut scenario, &mut rng)?;
    }
    scenario.faults.sort_by_key(|f| f.at);
    // Long enough for what follows the last fault to be seen.
    let last = scenario.faults.iter().map(|f| f.at + f.len).max().unwrap_or(0);
    scenario.length = scenario.length.max(last + (RECOVERY_S as u64 + AFTER) * S);
    Ok(scenario)
}

fn some(rng: &mut ChaCha8Rng, of: usize, many: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(many);
    all
}

fn add(name: &str, scenario: &mut Scenario, rng: &mut ChaCha8Rng) -> Result<(), String> {
    let (engines, routers) = (scenario.engines.len(), scenario.routers);
    let from = CALM * S + rng.random_range(0..S);
    let fault = |kind, at, len, on, size| Fault { kind, at, len, on, size, links: None };
    let mut replaced = |scenario: &mut Scenario, at: u64| {
        let out = some(rng, engines, engines * 6 / 10);
        let step = 6 * S / out.len().max(1) as u64;
        for (n, i) in out.into_iter().enumerate() {
            scenario.faults.push(fault(Kind::Crash, at + n as u64 * step, S, vec![i], 0.0));
        }
    };
    match name {
        "calm" => {}
        "burst" => {
            scenario.impatient = 0.5;
            scenario.faults.push(fault(Kind::Burst, from, 8 * S, Vec::new(), 2.0));
        }
        "silent" => {
            let links = LinkSelector { of: LinkScope::Engines, routers: some(rng, routers, routers / 2) };
            let on = some(rng, engines, engines / 3);
            scenario.faults.push(Fault { links: Some(links), ..fault(Kind::LinkMute, from, 8 * S, on, 0.0) });
        }
        "sick" => {
            let on = some(rng, engines, 1);
            scenario.faults.push(fault(Kind::FastErrors, from, 12 * S, on, 0.9));
        }
        "reset" => {
            let links = LinkSelector { of: LinkScope::All, routers: Vec::new() };
            scenario
                .faults
                .push(Fault { links: Some(links), ..fault(Kind::LinkReset, from, 0, Vec::new(), 0.0) });
        }
        "replaced" => {
            scenario.faults.push(fault(Kind::StaleList, from, 6 * S, Vec::new(), 0.0));
            replaced(scenario, from + 6 * S);
        }
        "lost" => {
            for i in some(rng, engines, engines / 3) {
                scenario.faults.push(fault(Kind::AnswerLost, from, 6 * S, vec![i], 0.5));
            }
            scenario.faults.push(fault(Kind::Burst, from, 6 * S, Vec::new(), 1.5));
        }
        "favourite" => {
            scenario.favourite = Some((rng.random_range(0..routers), 5.0));
            scenario.faults.push(fault(Kind::Burst, from, 6 * S, Vec::new(), 1.5));
        }
        "clocks" => {
            scenario.clock_skew = 2 * S;
            replaced(scenario, from);
        }
        "cold" => scenario.faults.push(fault(Kind::Crash, from, S, (0..engines).collect(), 0.0)),
        "many" => {
            scenario.configured_routers = Some(routers as u32 * 10);
            replaced(scenario, from);
        }
        "few" => {
            scenario.configured_routers = Some((routers as u32 / 10).max(1));
            replaced(scenario, from);
        }
        "thin" => {
            scenario.rate = routers as f64 / 60.0;
            replaced(scenario, from);
        }
        "late" => {
            scenario.faults.push(fault(Kind::Burst, from, 8 * S, Vec::new(), 2.0));
            let on = some(rng, routers, routers / 2);
            scenario.faults.push(fault(Kind::BalancerRoll, from + 3 * S, S, on, 0.0));
        }
        other => {
            let names: Vec<&str> = CASES.iter().map(|c| c.name).collect();
            return Err(format!("no case `{other}`; there are {}", names.join(", ")));
        }
    }
    Ok(())
}

/// What an attempt rate scatters by itself: the mean, three roots of it, and three.
fn scatter(mean: f64) -> f64 {
    mean + 3.0 * mean.sqrt() + 3.0
}

/// What the sums of a scenario may be, with what they are. None depends on a run: they follow from the scenario and the settings.
pub fn bounds(scenario: &Scenario, sums: &Sums) -> Vec<Bound> {
    let (routers, engines) = (scenario.routers as f64, scenario.engines.len() as f64);
    let bursts = scenario.faults.iter().filter(|f| f.kind == Kind::Burst).map(|f| f.size);
    let traffic = scenario.rate * bursts.fold(1.0, f64::max);
    let tenth = 0.1;
    // A router leaves a sick worker alone for eight of its own requests, or 16 s: over all, an eighth of the traffic at
    // the most, or what routers that are hardly asked try when their time is over.
    let trials = scatter((traffic / 8.0).max(routers / 16.0));
    // A connection is opened for a call that finds none idle; retries of a burst double the calls, two stages each.
    let connects = 2.0 * scatter(2.0 * 2.0 * traffic / engines * tenth) / tenth;
    // Each router asks again within the span over which its pause is spread.
    let lists = scatter(routers * tenth / LIST_SPAN_S) / tenth;
    let most = [
        ("recovery_s", RECOVERY_S),
        ("repeats_share", REPEATS_SHARE),
        ("trial_rate_max", trials),
        ("connect_rate_max", connects),
        ("list_rate_max", lists),
        ("shed_spread", SHED_SPREAD),
    ];
    let bound = |(name, most)| Bound { name, value: sums.get(name).unwrap_or(0.0), most };
    most.map(bound).into_iter().filter(|b| b.name != "recovery_s" || scenario.rate >= RATE_LEAST).collect()
}
