//! Every order of a few events around one core on a tiny fleet, each replayed from the start and watched by the onlooker
//! of `common/day.rs`: exhaustive to the depths stated here. No wall clock, no randomness.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use chalkyard_policy as p;
use chalkyard_router::Config;
use common::day::*;
use common::*;

/// What is explored: so deep, so many requests of these kinds, with these ends of attempts.
struct Scope {
    depth: usize,
    requests: usize,
    asks: &'static [(bool, bool)],
    answers: &'static [u8],
    list: &'static [u16],
    passes: &'static [u64],
}

struct Lie {
    config: Config,
    deaf: bool,
}

fn truth() -> Lie {
    Lie { config: config(), deaf: false }
}

fn begin(lie: &Lie) -> Day {
    let mut day = Day::new(lie.config.clone(), PROMISED, &usual(), true);
    day.deaf = lie.deaf;
    // Long enough to be read at the reader.
    day.long = 1_200;
    day
}

/// What can happen next.
fn steps(day: &Day, scope: &Scope) -> Vec<Step> {
    let (asked, calls) = day.open();
    let mut out = Vec::new();
    if asked < scope.requests {
        out.extend(scope.asks.iter().map(|(single, long)| Step::Ask {
            single: *single,
            stream: true,
            long: *long,
        }));
    }
    for which in 0..calls.len() {
        out.extend(scope.answers.iter().map(|how| Step::Answer { which, how: *how }));
        out.extend([true, false].map(|reset| Step::LoseEngine { which, reset }));
    }
    if day.clients() > 0 {
        out.extend([true, false].map(|eof| Step::LoseClient { which: asked - 1, eof }));
    }
    for port in scope.list {
        let state = if day.stopped(*port) { "in" } else { "draining" };
        out.push(Step::List { port: *port, state });
    }
    out.extend(scope.passes.iter().map(|millis| Step::Pass { millis: *millis }));
    out
}

struct Path<'a>(&'a [Step]);

impl Drop for Path<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("after {:?}", self.0);
        }
    }
}

fn replay(lie: &Lie, path: &[Step]) -> Day {
    let _path = Path(path);
    let mut day = begin(lie);
    for step in path {
        day.step(step);
    }
    day
}

fn explore(lie: &Lie, scope: &Scope, path: &mut Vec<Step>, count: &mut (u64, u64)) {
    let day = replay(lie, path);
    count.0 += 1;
    if path.len() == scope.depth {
        count.1 += 1;
        let _path = Path(path);
        return day.finish();
    }
    for step in steps(&day, scope) {
        path.push(step);
        explore(lie, scope, path, count);
        path.pop();
    }
}

fn run(name: &str, lie: &Lie, scope: &Scope) {
    let mut count = (0, 0);
    explore(lie, scope, &mut Vec::new(), &mut count);
    println!("{name}: depth {}, {} states, {} ends", scope.depth, count.0, count.1);
    assert!(count.1 > 0, "the depth was reached");
}

/// One request of either effect: all ways for its attempts to end, its client leaving, time.
const ONE: Scope = Scope {
    depth: 5,
    requests: 1,
    asks: &[(false, true), (true, true)],
    answers: &[0, 1, 2, 3, 4, 5, 6],
    list: &[],
    passes: &[400, 2_100],
};

/// One request while the reader and a writer drain and come back cold.
const NEWS: Scope = Scope {
    depth: 5,
    requests: 1,
    asks: &[(false, true), (true, true)],
    answers: &[0, 6],
    list: &[1, 2],
    passes: &[1_100],
};

/// Two that meet, on connections that are used again.
const TWO: Scope = Scope {
    depth: 5,
    requests: 2,
    asks: &[(false, false), (true, true)],
    answers: &[2, 6],
    list: &[],
    passes: &[700],
};

#[test]
fn every_order_of_one_requests_events_keeps_the_rules() {
    run("one request", &truth(), &ONE);
}

#[test]
fn every_order_of_events_and_news_keeps_the_rules() {
    run("with news", &truth(), &NEWS);
}

#[test]
fn every_order_of_two_requests_events_keeps_the_rules() {
    run("two requests", &truth(), &TWO);
}

// ---- The onlooker sees a broken guard of each rule. The core is lied to; the onlooker is not.

fn lied(change: impl Fn(&mut p::Settings), deaf: bool, scope: &Scope) {
    let mut config = config();
    change(&mut config.policy);
    run("lied to", &Lie { config, deaf }, scope);
}

#[test]
#[should_panic(expected = "rule 1")]
fn a_late_answer_is_seen() {
    let later = |s: &mut p::Settings| s.classes.iter_mut().for_each(|c| c.deadline = ms(8_000));
    lied(later, false, &Scope { depth: 3, passes: &[4_200], ..ONE });
}

#[test]
#[should_panic(expected = "rule 2")]
fn a_single_shot_that_is_sent_again_is_seen() {
    lied(
        |s| s.classes[1].retry_safety = p::RetrySafety::Idempotent,
        false,
        &Scope { asks: &[(true, true)], ..ONE },
    );
}

#[test]
#[should_panic(expected = "rule 3")]
fn a_send_to_a_draining_engine_is_seen() {
    lied(|_| {}, true, &Scope { depth: 3, ..NEWS });
}

#[test]
#[should_panic(expected = "rule 4")]
fn a_cold_engine_that_is_pushed_over_is_seen() {
    let scope =
        Scope { depth: 6, requests: 4, asks: &[(false, false)], answers: &[], list: &[2], passes: &[] };
    lied(|s| s.slow_start_duration = p::Micros(0), false, &scope);
}

#[test]
#[should_panic(expected = "rule 5")]
fn a_pinned_state_is_seen() {
    let scope = Scope { depth: 5, answers: &[6], list: &[2, 3], passes: &[1_300], ..ONE };
    lied(|s| s.reservation_timeout = ms(3_000), false, &scope);
}
