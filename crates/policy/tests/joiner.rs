//! A worker that joins empty while its peers are loaded is neither flooded nor starved, also at the end of its slow
//! start, and sessions move to it. The routers share nothing but the load reports of the workers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use std::collections::{BTreeMap, VecDeque};

use chalkyard_policy::*;
use common::*;

const LONG: u64 = 3_000;
/// Requests a second over all routers, and the seconds that a prefill, a first token and a stream take. The eight
/// decode workers are about half full, and each prefill worker handles three quarters of a prompt on average.
const REQUESTS_PER_S: f64 = 40.0;
const PREFILL_S: f64 = 0.15;
const FIRST_TOKEN_S: f64 = 0.1;
const STREAM_S: f64 = 4.0;
/// Seconds simulated after the join: the ten of slow start, and more than as many after it.
const SECONDS: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: u32,
    reports: LoadReporting,
    slow_start: bool,
    joining_worker: &'static str,
}

/// The result of a case: attempts sent in each second after the join, to the joining worker and to all of its role.
#[derive(Debug, Clone, Default)]
struct Counts {
    joiner: Vec<u32>,
    role: Vec<u32>,
    /// The first second in which a session was prefilled locally at the joining worker, so its cache was used.
    first_session_at: Option<usize>,
}

/// What an attempt does next.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DueEvent {
    Prefilled,
    FirstToken,
    End,
}

/// Workers with fixed durations: prefills and streams end, and load reports tell the KV memory in use.
struct Simulation {
    case: Case,
    now: Micros,
    started: Micros,
    rigs: Vec<Rig>,
    kv_held: BTreeMap<String, f64>,
    attempts: BTreeMap<String, u32>,
    due_events: VecDeque<(Micros, usize, String, u32, String, DueEvent)>,
    counts: Counts,
}

impl Simulation {
    fn schedule(&mut self, s: f64, router: usize, id: &str, attempt: u32, worker_id: &str, event: DueEvent) {
        let at = self.now + secs(s);
        let position = self.due_events.partition_point(|d| d.0 <= at);
        self.due_events.insert(position, (at, router, id.into(), attempt, worker_id.into(), event));
    }

    fn record_send(&mut self, router: usize, id: &str, actions: &[Action]) {
        let Some((to, _)) = sent_to(actions) else { return };
        let count = self.attempts.entry(id.into()).or_default();
        let attempt = *count;
        *count += 1;
        if self.now >= self.started && to[..1] == self.case.joining_worker[..1] {
            let second = (self.now - self.started).0 as usize / 1_000_000;
            self.counts.role[second] += 1;
            if to == self.case.joining_worker {
                self.counts.joiner[second] += 1;
                // A first attempt at a decode worker skips prefill, because the session is cached there.
                if to.starts_with('w') && attempt == 0 {
                    self.counts.first_session_at.get_or_insert(second);
                }
            }
        }
        if to.starts_with('r') {
            self.schedule(PREFILL_S, router, id, attempt, &to, DueEvent::Prefilled);
        } else {
            *self.kv_held.entry(to.clone()).or_default() += LONG as f64;
            self.schedule(FIRST_TOKEN_S, router, id, attempt, &to, DueEvent::FirstToken);
            self.schedule(STREAM_S, router, id, attempt, &to, DueEvent::End);
        }
    }

    /// Handles all events that are due by `end`.
    fn run_until(&mut self, end: Micros) {
        while let Some((at, router, id, attempt, worker_id, event)) =
            self.due_events.pop_front_if(|d| d.0 <= end)
        {
            self.now = at;
            self.rigs[router].now = at;
            if event == DueEvent::FirstToken {
                self.rigs[router].start_stream(&id, attempt);
                continue;
            }
            let report = (self.case.reports == LoadReporting::InResponses).then(|| LoadReport {
                kv_utilization: Some(self.kv_held.get(&worker_id).copied().unwrap_or(0.0) / 100_000.0),
                ..LoadReport::default()
            });
            let outcome = if event == DueEvent::Prefilled { Outcome::Prefilled } else { Outcome::Served };
            if event == DueEvent::End {
                *self.kv_held.entry(worker_id).or_default() -= LONG as f64;
            }
            let actions = self.rigs[router].end_attempt_with_report(&id, attempt, outcome, 0, report);
            self.record_send(router, &id, &actions);
        }
        self.now = end;
    }
}

/// Steady traffic of `REQUESTS_PER_S` over all routers, before and after a worker joins. Sessions have three turns, six
/// seconds apart, at one router.
fn simulate(case: Case) -> Counts {
    let set = Settings { routers: case.routers, load_reporting: case.reports, ..settings() };
    let (begin, started) = (secs(100.0), secs(120.0));
    let mut workers = Vec::new();
    for i in 0..8 {
        workers.push(worker(&format!("r{i}"), Role::Prefill, i % 2));
        workers.push(worker(&format!("w{i}"), Role::Decode, i % 2));
    }
    let rig = |seed| {
        let mut rig = Rig { router: Router::new(set.clone(), u64::from(seed)), now: begin };
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: workers.clone() });
        rig
    };
    let mut simulation = Simulation {
        case,
        now: begin,
        started,
        rigs: (0..case.routers).map(rig).collect(),
        kv_held: BTreeMap::new(),
        attempts: BTreeMap::new(),
        due_events: VecDeque::new(),
        counts: Counts { joiner: vec![0; SECONDS], role: vec![0; SECONDS], ..Counts::default() },
    };
    let concurrent_sessions = ((6.0 * REQUESTS_PER_S / f64::from(case.routers)).ceil() as u32).max(1);
    let mut joined = false;
    let requests = ((SECONDS as f64 + 20.0) * REQUESTS_PER_S) as u32;
    for n in 0..requests {
        let now = begin + secs(f64::from(n) / REQUESTS_PER_S);
        simulation.run_until(now);
        if !joined && now >= started {
            joined = true;
            let role = if case.joining_worker.starts_with('r') { Role::Prefill } else { Role::Decode };
            let start = Some(started).filter(|_| case.slow_start);
            let fresh = Worker { started: start, ..worker(case.joining_worker, role, 0) };
            for rig in &mut simulation.rigs {
                rig.now = now;
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![fresh.clone()] });
            }
        }
        let (router, nth_of_router) = ((n % case.routers) as usize, n / case.routers);
        let (session, turn) = (nth_of_router % concurrent_sessions, nth_of_router / concurrent_sessions);
        let name = format!("{router}/{session}/{}", turn / 3);
        let id = format!("{n}");
        simulation.rigs[router].now = now;
        let actions = simulation.rigs[router].submit(&id, &name, IDEMPOTENT, LONG + u64::from(turn % 3) * 40);
        simulation.record_send(router, &id, &actions);
    }
    simulation.counts
}

fn cases() -> Vec<Case> {
    let mut all = Vec::new();
    for routers in [1, 24] {
        for reports in [LoadReporting::InResponses, LoadReporting::Off] {
            for (slow_start, joining_worker) in [(false, "r9"), (false, "w9"), (true, "r9"), (true, "w9")] {
                all.push(Case { routers, reports, slow_start, joining_worker });
            }
        }
    }
    all
}

fn sum(of: &[u32]) -> u32 {
    of.iter().sum()
}

#[test]
fn an_empty_joining_worker_is_not_flooded() {
    for case in cases() {
        let counts = simulate(case);
        println!("{case:?} {counts:?}");
        for (second, (to_joiner, all)) in counts.joiner.iter().zip(&counts.role).enumerate() {
            assert!(to_joiner * 2 <= *all, "{case:?}: {to_joiner} of {all} in second {second}");
        }
        if case.slow_start {
            // In each two seconds of slow start, against what a warm worker of the role is sent in two seconds.
            let warm = 2.0 * REQUESTS_PER_S / 8.0;
            for second in 0..9 {
                let capacity_share = 0.25 + 0.75 * (second as f64 + 1.0) / 10.0;
                let limit = 3.0 * warm * capacity_share;
                let to_joiner = sum(&counts.joiner[second..second + 2]);
                assert!(
                    f64::from(to_joiner) <= limit + 1.0,
                    "{case:?}: {to_joiner} from second {second} on, limit {limit}"
                );
            }
            // The worker is not flooded when slow start ends either.
            let (to_joiner, all) = (sum(&counts.joiner[10..13]), sum(&counts.role[10..13]));
            assert!(to_joiner * 4 <= all, "{case:?}: {to_joiner} of {all} at the end of slow start");
        }
    }
}

/// Attempts sent to the joining worker in the first ten seconds, over a ninth of those sent to its role; 0 if its role
/// got none.
fn share_in_first_ten_seconds(case: Case) -> f64 {
    let counts = simulate(case);
    f64::from(sum(&counts.joiner[..10])) * 9.0 / f64::from(sum(&counts.role[..10]).max(1))
}

/// Whether the load of the joining worker is unknown: without a start time and before its first report the router
/// takes it for average, less what it has sent there.
fn has_unknown_load(case: &Case) -> bool {
    case.routers == 1
        && case.reports == LoadReporting::InResponses
        && !case.slow_start
        && case.joining_worker == "w9"
}

#[test]
fn an_empty_joining_worker_is_not_starved_and_sessions_follow() {
    for case in cases() {
        let counts = simulate(case);
        if !has_unknown_load(&case) {
            let share = share_in_first_ten_seconds(case);
            assert!(
                share >= if case.slow_start { 0.2 } else { 0.75 },
                "{case:?}: {share} of its fair share in the first ten seconds"
            );
        }
        let last_seconds = 16..SECONDS;
        let (to_joiner, all) = (sum(&counts.joiner[last_seconds.clone()]), sum(&counts.role[last_seconds]));
        assert!(to_joiner * 18 >= all, "{case:?}: {to_joiner} of {all} after slow start");
        if case.joining_worker == "w9" {
            assert!(
                counts.first_session_at.is_some_and(|s| s <= 8),
                "{case:?}: first session at second {:?}",
                counts.first_session_at
            );
        }
    }
}

#[test]
#[should_panic(expected = "of its fair share in the first ten seconds")]
fn a_decode_worker_that_joins_without_a_start_time_gets_little_before_its_first_report() {
    for case in cases().into_iter().filter(has_unknown_load) {
        let share = share_in_first_ten_seconds(case);
        assert!(share >= 0.75, "{case:?}: {share} of its fair share in the first ten seconds");
    }
}
