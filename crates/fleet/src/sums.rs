//! What adds up over a fleet, measured from a record alone: the same for processes on sockets and for cores in fed time.

use std::collections::{BTreeMap, BTreeSet};

use chalkyard_rehearsal::goodput_by_second;
use chalkyard_rehearsal::record::{Answer, Event, Line, Stage};
use chalkyard_rehearsal::scenario::{Kind, LinkScope, Scenario};
use serde::Serialize;

/// Goodput counts as back at this share of what it was, over this many seconds.
const BACK_SHARE: f64 = 0.95;
const BACK_S: usize = 3;
/// The scenario's beginning is not judged: routers know nothing yet.
const WARM_UP_S: usize = 3;
/// Shares are taken over spans of so many seconds in which so many first attempts fell.
const SPAN_S: usize = 5;
const FIRSTS_LEAST: u64 = 50;
/// A worker counts as known to be sick this long after it fell ill, µs.
const SICK_KNOWN: u64 = 3_000_000;
/// Connections and calls for the list are counted over this span, µs.
const CONNECT_SPAN: u64 = 100_000;
/// Routers whose refusals are compared were asked at least so often.
const ASKED_LEAST: u64 = 20;

/// A measured sum and its bound.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// Its name in [`Sums`].
    pub name: &'static str,
    /// Measured.
    pub value: f64,
    /// May not be more.
    pub most: f64,
}

/// Sums over all routers of a scenario.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Sums {
    /// Worth answered in time over worth asked, the whole day.
    pub goodput: f64,
    /// ... before the first fault.
    pub goodput_before: f64,
    /// ... from the first fault on to the end of the last.
    pub goodput_during: f64,
    /// From the end of the last fault until goodput is back for good, s; none: it never is.
    pub recovery_s: Option<f64>,
    /// Of seconds in which one in a hundred or more was refused, the engine room that stood idle: of the role that
    /// was used most, the unused part, in the mean.
    pub idle_while_refusing: f64,
    /// Attempts beyond the first of a request (and beyond the pull after its read) over first ones, the most in 5 s.
    pub repeats_share: f64,
    /// Attempts a second at one engine that had been sick for 3 s, from the routers it was sick for, the most.
    pub trial_rate_max: f64,
    /// Connections taken at one engine in 100 ms, the most, as a rate a second.
    pub connect_rate_max: f64,
    /// Calls for the list in 100 ms after the start, the most, as a rate a second.
    pub list_rate_max: f64,
    /// Standard deviation over routers of the share they refused, while any was; less what counts of that size
    /// scatter by themselves. Of those whose links failed and of the others, the larger.
    pub shed_spread: f64,
    /// Refused attempts over all.
    pub refused_share: f64,
}

impl Sums {
    /// A sum by its name; recovery that never came is infinite.
    pub fn get(&self, name: &str) -> Option<f64> {
        Some(match name {
            "recovery_s" => self.recovery_s.unwrap_or(f64::INFINITY),
            "idle_while_refusing" => self.idle_while_refusing,
            "repeats_share" => self.repeats_share,
            "trial_rate_max" => self.trial_rate_max,
            "connect_rate_max" => self.connect_rate_max,
            "list_rate_max" => self.list_rate_max,
            "shed_spread" => self.shed_spread,
            _ => return None,
        })
    }
}

fn share(part: f64, all: f64) -> f64 {
    if all > 0.0 {
        part / all
    } else {
        0.0
    }
}

fn goodput(seconds: &[(f64, f64)]) -> f64 {
    let (asked, good) = seconds.iter().fold((0.0, 0.0), |(a, g), s| (a + s.0, g + s.1));
    share(good, asked)
}

fn add<K: Ord>(counts: &mut BTreeMap<K, u64>, key: K) {
    *counts.entry(key).or_default() += 1;
}

/// Engines that are sick for routers: from when to when, and for whom (none named: for all).
fn sick(scenario: &Scenario) -> Vec<(String, u64, u64, Vec<String>)> {
    let mut out = Vec::new();
    for f in &scenario.faults {
        let routers = match (&f.links, f.kind) {
            (Some(links), Kind::LinkCut | Kind::LinkMute) if links.of == LinkScope::Engines => {
                links.routers.iter().map(|r| format!("r{}", r + 1)).collect()
            }
            (None, Kind::FastErrors | Kind::Hang) => Vec::new(),
            _ => continue,
        };
        for engine in f.on.iter().filter_map(|i| scenario.engines.get(*i)) {
            out.push((engine.id.clone(), f.at + SICK_KNOWN, f.at + f.len, routers.clone()));
        }
    }
    out
}

/// Measures a record of this scenario.
pub fn sums(scenario: &Scenario, lines: &[Line]) -> Sums {
    let seconds = goodput_by_second(lines);
    let second = |t: u64| (t / 1_000_000) as usize;
    let first = scenario.faults.iter().map(|f| f.at).min().unwrap_or(scenario.length);
    let last = scenario.faults.iter().map(|f| f.at + f.len).max().unwrap_or(0).min(scenario.length);
    let part = |from: usize, to: usize| seconds.get(from..to.min(seconds.len())).unwrap_or_default();
    let mut out = Sums {
        goodput: goodput(part(WARM_UP_S, seconds.len())),
        goodput_before: goodput(part(WARM_UP_S, second(first))),
        goodput_during: goodput(part(second(first), second(last))),
        ..Sums::default()
    };
    // The last seconds of the scenario may hold too little to be judged.
    let end = second(scenario.length).min(seconds.len());
    let back = |at: &usize| goodput(part(*at, at + BACK_S)) >= BACK_SHARE * out.goodput_before;
    let at = (second(last)..(end + 1).saturating_sub(BACK_S)).find(back);
    out.recovery_s = at.map(|at| (at as f64 - last as f64 / 1e6).max(0.0));

    let mut used: BTreeMap<usize, f64> = BTreeMap::new();
    let (mut asked, mut refused) = (BTreeMap::new(), BTreeMap::new());
    let mut router_of: BTreeMap<u64, &str> = BTreeMap::new();
    let mut by_router: BTreeMap<&str, (Vec<u64>, Vec<u64>)> = BTreeMap::new();
    let (mut firsts, mut repeats) = (BTreeMap::new(), BTreeMap::new());
    let mut begun: BTreeSet<(&str, bool)> = BTreeSet::new();
    let (mut trials, mut connects, mut lists) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let sick = sick(scenario);
    for Line { t, event } in lines {
        let s = second(*t);
        match event {
            // Of the second that has just ended.
            Event::Utilisation { used: part, .. } => {
                let most = used.entry(s.saturating_sub(1)).or_default();
                *most = part.max(*most);
            }
            Event::Request { number, router, .. } => {
                add(&mut asked, s);
                router_of.insert(*number, router);
                by_router.entry(router).or_default().0.push(*t);
            }
            Event::Answer { number, how: Answer::Rejected, .. } => {
                add(&mut refused, s);
                if let Some(router) = router_of.get(number) {
                    by_router.entry(router).or_default().1.push(*t);
                }
            }
            Event::AttemptArrived { engine, router, request, stage, .. } => {
                // A request's first read, or its first way to an answer, is no repeat.
                let pull = *stage == Stage::Decode;
                let fresh = begun.insert((request, pull));
                add(if fresh && !pull { &mut firsts } else { &mut repeats }, s);
                if fresh && pull {
                    *repeats.entry(s).or_default() -= 1;
                }
                let known = |(e, from, to, routers): &(String, u64, u64, Vec<String>)| {
                    e == engine
                        && (*from..*to).contains(t)
                        && (routers.is_empty() || routers.contains(router))
                };
                if sick.iter().any(known) {
                    add(&mut trials, (engine, s));
                }
            }
            Event::Connect { engine } if s >= WARM_UP_S => add(&mut connects, (engine, t / CONNECT_SPAN)),
            Event::EndpointsRequested { .. } if s >= WARM_UP_S => add(&mut lists, t / CONNECT_SPAN),
            _ => {}
        }
    }
    let most = |counts: Option<u64>| counts.unwrap_or(0) as f64;
    out.trial_rate_max = most(trials.into_values().max());
    out.connect_rate_max = most(connects.into_values().max()) * 1e6 / CONNECT_SPAN as f64;
    out.list_rate_max = most(lists.into_values().max()) * 1e6 / CONNECT_SPAN as f64;

    let count = |counts: &BTreeMap<usize, u64>, s: usize| counts.get(&s).copied().unwrap_or(0);
    for from in WARM_UP_S..end {
        let sum =
            |counts: &BTreeMap<usize, u64>| (from..from + SPAN_S).map(|s| count(counts, s)).sum::<u64>();
        let all = sum(&firsts);
        if all >= FIRSTS_LEAST {
            out.repeats_share = out.repeats_share.max(sum(&repeats) as f64 / all as f64);
        }
    }
    let refusing: Vec<usize> = asked
        .iter()
        .filter(|(s, n)| count(&refused, **s) * 100 >= **n && **s < end)
        .map(|(s, _)| *s)
        .collect();
    let idle: f64 = refusing.iter().filter_map(|s| used.get(s)).map(|u| 1.0 - u.min(1.0)).sum();
    out.idle_while_refusing = share(idle, refusing.len() as f64);
    let all_refused: u64 = refused.values().sum();
    out.refused_share = share(all_refused as f64, asked.values().sum::<u64>() as f64);
    // Those whose links fail have other news than the rest.
    let struck: BTreeSet<String> = scenario
        .faults
        .iter()
        .filter_map(|f| f.links.as_ref())
        .flat_map(|l| &l.routers)
        .map(|r| format!("r{}", r + 1))
        .collect();
    let (apart, others): (BTreeMap<_, _>, BTreeMap<_, _>) =
        by_router.into_iter().partition(|(router, _)| struck.contains(*router));
    out.shed_spread = spread(&apart, &refusing).max(spread(&others, &refusing));
    out
}

/// How far routers differ in what share they refuse, beyond chance.
fn spread(by_router: &BTreeMap<&str, (Vec<u64>, Vec<u64>)>, refusing: &[usize]) -> f64 {
    let within = |times: &[u64]| {
        times.iter().filter(|t| refusing.binary_search(&((**t / 1_000_000) as usize)).is_ok()).count() as u64
    };
    let counts = by_router.values().map(|(asked, refused)| (within(asked), within(refused)));
    let counts: Vec<(f64, f64)> =
        counts.filter(|(n, _)| *n >= ASKED_LEAST).map(|(n, r)| (n as f64, r as f64)).collect();
    let (all, no) = counts.iter().fold((0.0, 0.0), |(a, r), c| (a + c.0, r + c.1));
    if counts.len() < 2 || all <= 0.0 {
        return 0.0;
    }
    let mean = (no / all).min(1.0);
    let n = counts.len() as f64;
    let variance = counts.iter().map(|(a, r)| (r / a - mean).powi(2)).sum::<f64>() / n;
    let chance = counts.iter().map(|(a, _)| mean * (1.0 - mean) / a).sum::<f64>() / n;
    (variance - chance).max(0.0).sqrt()
}
