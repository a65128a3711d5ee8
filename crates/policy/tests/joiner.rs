//! An engine that joins empty while the others are loaded: what is sent to it and pulled there, when sessions follow;
//! no herd and no starving, at the end of the cold window too. Many routers share nothing but the engines' reports.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use std::collections::{BTreeMap, VecDeque};

use chalkyard_policy::*;
use common::*;

const LONG: u64 = 3_000;
/// Requests a second, over all routers; how long reads take, pulls to the first token, and streams: the eight writers
/// are about half full, each reader reads three quarters of a prompt on the mean.
const RATE: f64 = 40.0;
const READ: f64 = 0.15;
const FIRST: f64 = 0.1;
const STREAM: f64 = 4.0;
/// Seconds after the join: the cold window of ten, and as long again.
const SECONDS: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: u32,
    reports: LoadReporting,
    cold: bool,
    joins: &'static str,
}

/// What came of a case: sends by second from the join on, to the joiner and to all of its role.
#[derive(Debug, Clone, Default)]
struct Seen {
    joiner: Vec<u32>,
    role: Vec<u32>,
    /// The second in which a session first read at the joiner what it had added.
    followed: Option<usize>,
}

/// What is to come of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Due {
    Parsed,
    First,
    End,
}

/// Engines that do no more than take their time: reads and streams end, and reports tell what is held.
struct Yard {
    case: Case,
    now: Micros,
    started: Micros,
    rigs: Vec<Rig>,
    held: BTreeMap<String, f64>,
    tries: BTreeMap<String, u32>,
    due: VecDeque<(Micros, usize, String, u32, String, Due)>,
    seen: Seen,
}

impl Yard {
    fn later(&mut self, s: f64, r: usize, id: &str, attempt: u32, w: &str, what: Due) {
        let at = self.now + secs(s);
        let place = self.due.partition_point(|d| d.0 <= at);
        self.due.insert(place, (at, r, id.into(), attempt, w.into(), what));
    }

    fn record_send(&mut self, r: usize, id: &str, actions: &[Action]) {
        let Some((to, _)) = sent_to(actions) else { return };
        let count = self.tries.entry(id.into()).or_default();
        let attempt = *count;
        *count += 1;
        if self.now >= self.started && to[..1] == self.case.joins[..1] {
            let second = (self.now - self.started).0 as usize / 1_000_000;
            self.seen.role[second] += 1;
            if to == self.case.joins {
                self.seen.joiner[second] += 1;
                // Straight to it, past the readers: its text is there.
                if to.starts_with('w') && attempt == 0 {
                    self.seen.followed.get_or_insert(second);
                }
            }
        }
        if to.starts_with('r') {
            self.later(READ, r, id, attempt, &to, Due::Parsed);
        } else {
            *self.held.entry(to.clone()).or_default() += LONG as f64;
            self.later(FIRST, r, id, attempt, &to, Due::First);
            self.later(STREAM, r, id, attempt, &to, Due::End);
        }
    }

    /// All that falls due up to a time.
    fn until(&mut self, end: Micros) {
        while let Some((at, r, id, attempt, w, what)) = self.due.pop_front_if(|d| d.0 <= end) {
            self.now = at;
            self.rigs[r].now = at;
            if what == Due::First {
                self.rigs[r].start_stream(&id, attempt);
                continue;
            }
            let report = (self.case.reports == LoadReporting::InResponses).then(|| LoadReport {
                kv_utilization: Some(self.held.get(&w).copied().unwrap_or(0.0) / 100_000.0),
                ..LoadReport::default()
            });
            let outcome = if what == Due::Parsed { Outcome::Prefilled } else { Outcome::Served };
            if what == Due::End {
                *self.held.entry(w).or_default() -= LONG as f64;
            }
            let actions = self.rigs[r].end_attempt_with_report(&id, attempt, outcome, 0, report);
            self.record_send(r, &id, &actions);
        }
        self.now = end;
    }
}

/// Steady traffic of `RATE` requests a second over all routers, before and after one joins. Sessions have three turns,
/// six seconds apart, at one router.
fn play(case: Case) -> Seen {
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
    let mut yard = Yard {
        case,
        now: begin,
        started,
        rigs: (0..case.routers).map(rig).collect(),
        held: BTreeMap::new(),
        tries: BTreeMap::new(),
        due: VecDeque::new(),
        seen: Seen { joiner: vec![0; SECONDS], role: vec![0; SECONDS], ..Seen::default() },
    };
    let at_once = ((6.0 * RATE / f64::from(case.routers)).ceil() as u32).max(1);
    let mut joined = false;
    let requests = ((SECONDS as f64 + 20.0) * RATE) as u32;
    for n in 0..requests {
        let now = begin + secs(f64::from(n) / RATE);
        yard.until(now);
        if !joined && now >= started {
            joined = true;
            let role = if case.joins.starts_with('r') { Role::Prefill } else { Role::Decode };
            let start = Some(started).filter(|_| case.cold);
            let fresh = Worker { started: start, ..worker(case.joins, role, 0) };
            for rig in &mut yard.rigs {
                rig.now = now;
                rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![fresh.clone()] });
            }
        }
        let (r, k) = ((n % case.routers) as usize, n / case.routers);
        let (session, turn) = (k % at_once, k / at_once);
        let name = format!("{r}/{session}/{}", turn / 3);
        let id = format!("{n}");
        yard.rigs[r].now = now;
        let actions = yard.rigs[r].submit(&id, &name, IDEMPOTENT, LONG + u64::from(turn % 3) * 40);
        yard.record_send(r, &id, &actions);
    }
    yard.seen
}

fn cases() -> Vec<Case> {
    let mut all = Vec::new();
    for routers in [1, 24] {
        for reports in [LoadReporting::InResponses, LoadReporting::Off] {
            for (cold, joins) in [(false, "r9"), (false, "w9"), (true, "r9"), (true, "w9")] {
                all.push(Case { routers, reports, cold, joins });
            }
        }
    }
    all
}

fn sum(of: &[u32]) -> u32 {
    of.iter().sum()
}

#[test]
fn an_empty_joiner_is_not_herded_to() {
    for case in cases() {
        let seen = play(case);
        println!("{case:?} {seen:?}");
        for (second, (here, all)) in seen.joiner.iter().zip(&seen.role).enumerate() {
            assert!(here * 2 <= *all, "{case:?}: {here} of {all} in second {second}");
        }
        if case.cold {
            // In each two seconds of the cold window, against what a warm one of the writers is sent in them.
            let warm = 2.0 * RATE / 8.0;
            for second in 0..9 {
                let present = 0.25 + 0.75 * (second as f64 + 1.0) / 10.0;
                let most = 3.0 * warm * present;
                let here = sum(&seen.joiner[second..second + 2]);
                assert!(f64::from(here) <= most + 1.0, "{case:?}: {here} from second {second} on, {most}");
            }
            // Nor is it overrun when the window ends.
            let (here, all) = (sum(&seen.joiner[10..13]), sum(&seen.role[10..13]));
            assert!(here * 4 <= all, "{case:?}: {here} of {all} at the window's end");
        }
    }
}

/// Sends in the first ten seconds, against a ninth of those of its role; none where its role got nothing.
fn first_part(case: Case) -> f64 {
    let seen = play(case);
    f64::from(sum(&seen.joiner[..10])) * 9.0 / f64::from(sum(&seen.role[..10]).max(1))
}

/// One that is neither known to be empty nor heard from counts as average, less what is sent to it.
fn unknown(case: &Case) -> bool {
    case.routers == 1 && case.reports == LoadReporting::InResponses && !case.cold && case.joins == "w9"
}

#[test]
fn an_empty_joiner_is_not_starved_and_sessions_follow() {
    for case in cases() {
        let seen = play(case);
        if !unknown(&case) {
            let part = first_part(case);
            assert!(part >= if case.cold { 0.2 } else { 0.75 }, "{case:?}: {part} of its part at first");
        }
        let late = 16..SECONDS;
        let (here, all) = (sum(&seen.joiner[late.clone()]), sum(&seen.role[late]));
        assert!(here * 18 >= all, "{case:?}: {here} of {all} once it is warm");
        if case.joins == "w9" {
            assert!(
                seen.followed.is_some_and(|s| s <= 8),
                "{case:?}: sessions follow at {:?}",
                seen.followed
            );
        }
    }
}

#[test]
#[should_panic(expected = "of its part at first")]
fn a_writer_that_joins_with_no_told_start_waits_for_its_first_report() {
    for case in cases().into_iter().filter(unknown) {
        let part = first_part(case);
        assert!(part >= 0.75, "{case:?}: {part} of its part at first");
    }
}
