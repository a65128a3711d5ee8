//! Slow start over a fleet: whatever the number of routers, and whatever number they are configured with, together
//! they send a worker that has just restarted no more than its budget plus a statistical margin. Simulated time, ten
//! seeds each.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

/// Requests a second over all routers.
const FLEET_REQUESTS_PER_S: f64 = 60.0;
/// Seconds before the worker's restart, the last of them over which the rate of a warm worker is measured, and seconds
/// after the restart.
const BEFORE_RESTART_S: f64 = 20.0;
const RATE_WINDOW_S: f64 = 10.0;
const AFTER_RESTART_S: f64 = 6.0;
/// Half of the routers restart this long after the worker, and lose their counts.
const ROUTER_RESTART_S: f64 = 1.0;
/// One request in `LONG_EVERY` is `LONG_FACTOR` times as long as the others.
const LONG_EVERY: usize = 8;
const LONG_FACTOR: u64 = 4;
/// The first attempt of one request in `REJECTED_EVERY` is rejected, and repeated as the router decides.
const REJECTED_EVERY: usize = 4;
const TOKENS: u64 = 6_000;
const SEEDS: u64 = 10;

#[derive(Debug, Clone, Copy, PartialEq)]
enum ColdRole {
    Prefill,
    Decode,
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    routers: u64,
    configured_routers: u32,
    cold: ColdRole,
    /// The other workers of the role are removed when the cold one returns.
    peers_removed: bool,
}

/// What one router sends: to the cold worker, as pairs of seconds after its restart and work in mean requests; and the
/// work sent to the whole role while the warm rate is measured.
#[derive(Default)]
struct Sends {
    to_cold: Vec<(f64, f64)>,
    warm_work: f64,
}

impl Fleet {
    fn cold_id(self) -> &'static str {
        if self.cold == ColdRole::Prefill {
            "r0"
        } else {
            "w0"
        }
    }

    fn role(self) -> Role {
        if self.cold == ColdRole::Prefill {
            Role::Prefill
        } else {
            Role::Decode
        }
    }

    fn of_role(self, to: &str) -> bool {
        to.as_bytes()[0] == self.cold_id().as_bytes()[0]
    }

    /// The endpoint list update at the restart.
    fn endpoint_update(self, restarted_at: Micros) -> Vec<Worker> {
        let mut cold = worker(self.cold_id(), self.role(), 0);
        cold.started = Some(restarted_at);
        let others = ["1", "2"].map(|n| format!("{}{n}", &self.cold_id()[..1]));
        let gone = others.iter().filter(|_| self.peers_removed);
        let gone = gone.map(|id| Worker { lifecycle: Lifecycle::Removed, ..worker(id, self.role(), 0) });
        std::iter::once(cold).chain(gone).collect()
    }

    /// The endpoint list after the restart.
    fn snapshot(self, restarted_at: Micros) -> Vec<Worker> {
        let update = self.endpoint_update(restarted_at);
        let mut all: Vec<Worker> = one_cell_fleet();
        all.retain(|w| !update.iter().any(|n| n.id == w.id));
        all.extend(update.into_iter().filter(|w| w.lifecycle == Lifecycle::Active));
        all
    }

    /// Requests a second at a router: a quarter of the routers get eight times as many as the others.
    fn rate(self, router: u64) -> f64 {
        let weight = |n: u64| if n.is_multiple_of(4) { 8.0 } else { 1.0 };
        let all: f64 = (0..self.routers).map(weight).sum();
        FLEET_REQUESTS_PER_S * weight(router) / all
    }
}

fn one_cell_fleet() -> Vec<Worker> {
    let prefill_workers = (0..3).map(|n| worker(&format!("r{n}"), Role::Prefill, 0));
    prefill_workers.chain((0..3).map(|n| worker(&format!("w{n}"), Role::Decode, 0))).collect()
}

fn mean_tokens() -> f64 {
    let long = 1.0 / LONG_EVERY as f64;
    TOKENS as f64 * (1.0 - long + long * LONG_FACTOR as f64)
}

/// Simulates one router of the fleet.
fn simulate_router(fleet: Fleet, router: u64, seed: u64) -> Sends {
    let set = Settings { routers: fleet.configured_routers, self_prefill: false, ..settings() };
    let mut rig = Rig::new(set.clone(), vec![]);
    rig.router = Router::new(set.clone(), seed * 10_000 + router);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: one_cell_fleet() });
    let begun = rig.now;
    let restarted_at = begun + secs(BEFORE_RESTART_S);
    let (mut announced, mut restarts) = (false, router % 2 == 1);
    let (mut sends, mut number) = (Sends::default(), 0);
    let interval = 1.0 / fleet.rate(router);
    // Routers start at different phases.
    rig.advance((router as f64 * 0.618 + seed as f64 * 0.37).fract() * interval);
    while rig.now < restarted_at + secs(AFTER_RESTART_S) {
        if !announced && rig.now >= restarted_at {
            announced = true;
            rig.feed(Event::Endpoints {
                update: EndpointUpdate::Delta,
                workers: fleet.endpoint_update(restarted_at),
            });
        }
        if restarts && rig.now >= restarted_at + secs(ROUTER_RESTART_S) {
            restarts = false;
            rig.router = Router::new(set.clone(), seed * 10_000 + 5_000 + router);
            rig.feed(Event::Endpoints {
                update: EndpointUpdate::Snapshot,
                workers: fleet.snapshot(restarted_at),
            });
        }
        let submitted_at = rig.now;
        one_request(fleet, &mut rig, restarted_at, (router, number), &mut sends);
        number += 1;
        rig.now = rig.now.max(submitted_at + secs(interval));
    }
    sends
}

/// Runs one request through its attempts and records those sent to the cold worker.
fn one_request(
    fleet: Fleet,
    rig: &mut Rig,
    restarted_at: Micros,
    (router, number): (u64, usize),
    sends: &mut Sends,
) {
    let tokens = if number % LONG_EVERY == 0 { TOKENS * LONG_FACTOR } else { TOKENS };
    let work = tokens as f64 / mean_tokens();
    let id = format!("{router}-{number}");
    let rejected = number % REJECTED_EVERY == REJECTED_EVERY - 1;
    rig.run_request(&id, tokens, rejected, |now, to| {
        if now >= restarted_at {
            let age = (now - restarted_at).as_secs_f64();
            sends.to_cold.extend((to == fleet.cold_id()).then_some((age, work)));
        } else if now + secs(RATE_WINDOW_S) >= restarted_at && fleet.of_role(to) {
            sends.warm_work += work;
        }
    });
    rig.feed(Event::ClientGone(id.as_str().into()));
}

/// Returns `budget`, a number of attempts, plus the statistical margin that users accept: three standard deviations plus
/// three attempts for a budget below 30, two of each from 30 on.
fn with_statistical_margin(budget: f64) -> f64 {
    let root = budget.sqrt();
    budget + if budget < 30.0 { 3.0 * root + 3.0 } else { 2.0 * root + 2.0 }
}

/// The first window in which the cold worker was sent more than its budget allows, and the work that it was sent in
/// all.
fn first_budget_violation(fleet: Fleet, seed: u64) -> (Option<String>, f64) {
    let set = settings();
    let (mut to_cold, mut warm_work) = (Vec::new(), 0.0);
    for router in 0..fleet.routers {
        let sends = simulate_router(fleet, router, seed);
        to_cold.extend(sends.to_cold);
        warm_work += sends.warm_work;
    }
    to_cold.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rate = warm_work / RATE_WINDOW_S / 3.0;
    let window = set.overload_window.as_secs_f64();
    let mut violation = None;
    for (i, (from, _)) in to_cold.iter().enumerate() {
        let sent_in_window: f64 =
            to_cold[i..].iter().take_while(|(at, _)| *at < from + window).map(|(_, work)| work).sum();
        // The capacity at the start of the window: a quarter at the restart, all of it after the slow start duration.
        let capacity_share = set.slow_start_initial_share
            + (1.0 - set.slow_start_initial_share) * from / set.slow_start_duration.as_secs_f64();
        let budget = set.overload_multiple * window * rate * capacity_share;
        if sent_in_window > with_statistical_margin(budget) {
            violation.get_or_insert(format!("{sent_in_window:.1} from {from:.2} s on, budget {budget:.1}"));
        }
    }
    (violation, to_cold.iter().map(|(_, work)| work).sum())
}

fn assert_within_budget(routers: u64) {
    for configured_routers in [routers, (routers / 2).max(1), routers * 2] {
        for cold in [ColdRole::Prefill, ColdRole::Decode] {
            for peers_removed in [true, false] {
                let fleet =
                    Fleet { routers, configured_routers: configured_routers as u32, cold, peers_removed };
                let results: Vec<(Option<String>, f64)> =
                    (0..SEEDS).map(|seed| first_budget_violation(fleet, seed)).collect();
                for (seed, (violation, _)) in results.iter().enumerate() {
                    assert!(
                        violation.is_none(),
                        "{fleet:?}, seed {seed}: {}",
                        violation.as_deref().unwrap_or("")
                    );
                }
                // A worker that gets no work at all would pass the budget check.
                let used: f64 = results.iter().map(|(_, work)| work).sum();
                assert!(used > 0.0, "{fleet:?}: the cold worker got no work");
            }
        }
    }
}

#[test]
fn one_router_stays_within_a_cold_workers_budget() {
    assert_within_budget(1);
}

#[test]
fn two_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(2);
}

#[test]
fn three_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(3);
}

#[test]
fn five_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(5);
}

#[test]
fn twelve_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(12);
}

#[test]
fn thirty_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(30);
}

#[test]
fn three_hundred_routers_stay_within_a_cold_workers_budget() {
    assert_within_budget(300);
}

/// The kind of the first attempt that is sent to r0, out of at most 200 requests.
fn first_attempt_kind_at_r0(rig: &mut Rig, prefix: &str) -> Option<AttemptKind> {
    (0..200).find_map(|n| {
        let actions = rig.submit(&format!("{prefix}{n}"), &format!("{prefix}{n}"), IDEMPOTENT, 40_000);
        actions.iter().find_map(|a| match a {
            Action::Send { worker, kind, .. } if &*worker.0 == "r0" => Some(*kind),
            _ => None,
        })
    })
}

/// Start times come from the wall clocks of other machines, which may step. A worker that is first listed after the
/// router's start is therefore in slow start from then on, however old its start time is.
#[test]
fn a_worker_first_listed_now_is_cold_whatever_its_start_time() {
    let only_prefill_worker = |started| {
        let mut all = fleet_with_prefill(1);
        all[1].started = Some(started);
        all
    };
    for hours in [1.0, 30.0] {
        let set = settings();
        let mut rig = Rig::new(set.clone(), vec![worker("w0", Role::Decode, 0)]);
        rig.now = secs(200_000.0);
        let old_start = rig.now - secs(hours * 3_600.0);
        rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: only_prefill_worker(old_start) });
        assert_eq!(first_attempt_kind_at_r0(&mut rig, "a"), Some(AttemptKind::SlowStart), "{hours} h");
        // The worker restarts; its wall clock has advanced by one second only.
        rig.advance(20.0);
        assert_eq!(first_attempt_kind_at_r0(&mut rig, "b"), Some(AttemptKind::Normal));
        rig.feed(Event::Endpoints {
            update: EndpointUpdate::Delta,
            workers: only_prefill_worker(old_start + secs(1.0)),
        });
        assert_eq!(first_attempt_kind_at_r0(&mut rig, "c"), Some(AttemptKind::SlowStart), "{hours} h");
    }
    // Start times in the first list after the router's start are trusted.
    let mut rig = Rig::new(settings(), only_prefill_worker(secs(1.0)));
    assert_eq!(first_attempt_kind_at_r0(&mut rig, "d"), Some(AttemptKind::Normal));
}
