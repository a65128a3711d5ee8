//! Slow start over a fleet: whatever the number of routers, and whatever number they are told, a worker that has just
//! started gets no more from all of them together than its budget and chance bear. Fed time, ten seeds of each.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

/// Requests a second of all routers together.
const FLEET_PER_S: f64 = 60.0;
/// Seconds before the worker comes back, of which the last ten give the rate of a warm one; and after it.
const BEFORE_S: f64 = 20.0;
const RATE_S: f64 = 10.0;
const AFTER_S: f64 = 6.0;
/// Half of the routers are started anew so long after the worker has, and have counted nothing.
const RESTART_S: f64 = 1.0;
/// One request in so many is this much longer than the others.
const LONG_EVERY: usize = 8;
const LONG_TIMES: u64 = 4;
/// One read or write in so many is turned away and repeated as the module says.
const TURNED_EVERY: usize = 4;
const TOKENS: u64 = 6_000;
const SEEDS: u64 = 10;

#[derive(Debug, Clone, Copy, PartialEq)]
enum ColdRole {
    Reader,
    Writer,
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    routers: u64,
    told: u32,
    cold: ColdRole,
    /// The other workers of the role go as the cold one comes.
    alone: bool,
}

/// What one router sends: when the cold worker was sent something, in seconds after its start, with its work in mean
/// requests; and how much it sent to the role in the time that gives the rate.
#[derive(Default)]
struct Sends {
    to_cold: Vec<(f64, f64)>,
    before: f64,
}

impl Fleet {
    fn cold_id(self) -> &'static str {
        if self.cold == ColdRole::Reader {
            "r0"
        } else {
            "w0"
        }
    }

    fn role(self) -> Role {
        if self.cold == ColdRole::Reader {
            Role::Prefill
        } else {
            Role::Decode
        }
    }

    fn of_role(self, to: &str) -> bool {
        to.as_bytes()[0] == self.cold_id().as_bytes()[0]
    }

    /// What is told as the worker comes back.
    fn news(self, back: Micros) -> Vec<Worker> {
        let mut cold = worker(self.cold_id(), self.role(), 0);
        cold.started = Some(back);
        let others = ["1", "2"].map(|n| format!("{}{n}", &self.cold_id()[..1]));
        let gone = others.iter().filter(|_| self.alone);
        let gone = gone.map(|id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, self.role(), 0) });
        std::iter::once(cold).chain(gone).collect()
    }

    /// The whole list then.
    fn list(self, back: Micros) -> Vec<Worker> {
        let news = self.news(back);
        let mut all: Vec<Worker> = fleet_of_one_cell();
        all.retain(|w| !news.iter().any(|n| n.id == w.id));
        all.extend(news.into_iter().filter(|w| w.lifecycle == Lifecycle::Active));
        all
    }

    /// Requests a second at a router: a quarter of them get eight times what the others do.
    fn rate(self, router: u64) -> f64 {
        let weight = |n: u64| if n.is_multiple_of(4) { 8.0 } else { 1.0 };
        let all: f64 = (0..self.routers).map(weight).sum();
        FLEET_PER_S * weight(router) / all
    }
}

fn fleet_of_one_cell() -> Vec<Worker> {
    let readers = (0..3).map(|n| worker(&format!("r{n}"), Role::Prefill, 0));
    readers.chain((0..3).map(|n| worker(&format!("w{n}"), Role::Decode, 0))).collect()
}

fn mean_tokens() -> f64 {
    let long = 1.0 / LONG_EVERY as f64;
    TOKENS as f64 * (1.0 - long + long * LONG_TIMES as f64)
}

/// One router's part of the fleet's time.
fn sends_of(fleet: Fleet, router: u64, seed: u64) -> Sends {
    let set = Settings { routers: fleet.told, self_prefill: false, ..settings() };
    let mut rig = Rig::new(set.clone(), vec![]);
    rig.router = Router::new(set.clone(), seed * 10_000 + router);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: fleet_of_one_cell() });
    let begun = rig.now;
    let back = begun + secs(BEFORE_S);
    let (mut known, mut anew) = (false, router % 2 == 1);
    let (mut sends, mut number) = (Sends::default(), 0);
    let pause = 1.0 / fleet.rate(router);
    // Out of step with each other.
    rig.advance((router as f64 * 0.618 + seed as f64 * 0.37).fract() * pause);
    while rig.now < back + secs(AFTER_S) {
        if !known && rig.now >= back {
            known = true;
            rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: fleet.news(back) });
        }
        if anew && rig.now >= back + secs(RESTART_S) {
            anew = false;
            rig.router = Router::new(set.clone(), seed * 10_000 + 5_000 + router);
            rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: fleet.list(back) });
        }
        let asked = rig.now;
        one_request(fleet, &mut rig, back, (router, number), &mut sends);
        number += 1;
        rig.now = rig.now.max(asked + secs(pause));
    }
    sends
}

/// One request through reader and writer, with what goes wrong on the way.
fn one_request(fleet: Fleet, rig: &mut Rig, back: Micros, (router, number): (u64, usize), sends: &mut Sends) {
    let tokens = if number % LONG_EVERY == 0 { TOKENS * LONG_TIMES } else { TOKENS };
    let work = tokens as f64 / mean_tokens();
    let id = format!("{router}-{number}");
    let turned = number % TURNED_EVERY == TURNED_EVERY - 1;
    rig.run_request(&id, tokens, turned, |now, to| {
        if now >= back {
            let age = (now - back).as_secs_f64();
            sends.to_cold.extend((to == fleet.cold_id()).then_some((age, work)));
        } else if now + secs(RATE_S) >= back && fleet.of_role(to) {
            sends.before += work;
        }
    });
    rig.feed(Event::ClientGone(id.as_str().into()));
}

/// What chance may add to a budget of so many calls, by the users' terms.
fn bears(budget: f64) -> f64 {
    let root = budget.sqrt();
    budget + if budget < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 }
}

/// The first window that is over what the worker bears, and how much it was sent in all.
fn over_budget(fleet: Fleet, seed: u64) -> (Option<String>, f64) {
    let set = settings();
    let (mut to_cold, mut before) = (Vec::new(), 0.0);
    for router in 0..fleet.routers {
        let sends = sends_of(fleet, router, seed);
        to_cold.extend(sends.to_cold);
        before += sends.before;
    }
    to_cold.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rate = before / RATE_S / 3.0;
    let window = set.overload_window.as_secs_f64();
    let mut worst = None;
    for (i, (from, _)) in to_cold.iter().enumerate() {
        let within: f64 =
            to_cold[i..].iter().take_while(|(at, _)| *at < from + window).map(|(_, work)| work).sum();
        // Its capacity at the window's begin: a quarter at its start, all of it after the told time.
        let present = set.slow_start_initial_share
            + (1.0 - set.slow_start_initial_share) * from / set.slow_start_duration.as_secs_f64();
        let budget = set.overload_multiple * window * rate * present;
        if within > bears(budget) {
            worst.get_or_insert(format!("{within:.1} from {from:.2} s on, budget {budget:.1}"));
        }
    }
    (worst, to_cold.iter().map(|(_, work)| work).sum())
}

fn holds_for(routers: u64) {
    for told in [routers, (routers / 2).max(1), routers * 2] {
        for cold in [ColdRole::Reader, ColdRole::Writer] {
            for alone in [true, false] {
                let fleet = Fleet { routers, told: told as u32, cold, alone };
                let results: Vec<(Option<String>, f64)> =
                    (0..SEEDS).map(|seed| over_budget(fleet, seed)).collect();
                for (seed, (broken, _)) in results.iter().enumerate() {
                    assert!(broken.is_none(), "{fleet:?}, seed {seed}: {}", broken.as_deref().unwrap_or(""));
                }
                // A worker that nobody uses is no success.
                let used: f64 = results.iter().map(|(_, work)| work).sum();
                assert!(used > 0.0, "{fleet:?}: it gets nothing");
            }
        }
    }
}

#[test]
fn one_router_stays_within_a_cold_workers_budget() {
    holds_for(1);
}

#[test]
fn two_routers_stay_within_a_cold_workers_budget() {
    holds_for(2);
}

#[test]
fn three_routers_stay_within_a_cold_workers_budget() {
    holds_for(3);
}

#[test]
fn five_routers_stay_within_a_cold_workers_budget() {
    holds_for(5);
}

#[test]
fn twelve_routers_stay_within_a_cold_workers_budget() {
    holds_for(12);
}

#[test]
fn thirty_routers_stay_within_a_cold_workers_budget() {
    holds_for(30);
}

#[test]
fn three_hundred_routers_stay_within_a_cold_workers_budget() {
    holds_for(300);
}

/// How a request's read is sent to the only reader, of as many requests as it takes.
fn care_of_the_only_reader(rig: &mut Rig, prefix: &str) -> Option<AttemptKind> {
    (0..200).find_map(|n| {
        let actions = rig.submit(&format!("{prefix}{n}"), &format!("{prefix}{n}"), IDEMPOTENT, 40_000);
        actions.iter().find_map(|a| match a {
            Action::Send { worker, kind, .. } if &*worker.0 == "r0" => Some(*kind),
            _ => None,
        })
    })
}

/// Stamps are other machines' wall clocks, which step: what is first seen during this life is cold from then on, however
/// old its stamp says that it is.
#[test]
fn a_worker_first_seen_now_is_cold_whatever_its_stamp_says() {
    let only = |started| {
        let mut all = fleet_with_prefill(1);
        all[1].started = Some(started);
        all
    };
    for hours in [1.0, 30.0] {
        let set = settings();
        let mut rig = Rig::new(set.clone(), vec![worker("w0", Role::Decode, 0)]);
        rig.now = secs(200_000.0);
        let old = rig.now - secs(hours * 3_600.0);
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: only(old) });
        assert_eq!(care_of_the_only_reader(&mut rig, "a"), Some(AttemptKind::SlowStart), "{hours} h");
        // It is back after a restart, and its clock has not moved.
        rig.advance(20.0);
        assert_eq!(care_of_the_only_reader(&mut rig, "b"), Some(AttemptKind::Normal));
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: only(old + secs(1.0)) });
        assert_eq!(care_of_the_only_reader(&mut rig, "c"), Some(AttemptKind::SlowStart), "{hours} h");
    }
    // What the first list of a life holds may be as old as it says.
    let mut rig = Rig::new(settings(), only(secs(1.0)));
    assert_eq!(care_of_the_only_reader(&mut rig, "d"), Some(AttemptKind::Normal));
}
