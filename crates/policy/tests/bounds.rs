//! Tables at their bounds, counters after failures and restarts, clocks that disagree; days in fed time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;
/// More sessions than the table of homes holds, and more beginnings than that of rates.
const SESSIONS: usize = 40_000;
const BEGINNINGS: usize = 6_000;

/// Where a session's next turn goes: straight to its home, or to a reader.
fn next_turn(rig: &mut Rig, session: &str) -> String {
    sent(&rig.ask(&format!("{session}/next"), session, FREE, LONG + 50)).unwrap().0
}

// ---- Homes.

#[test]
fn a_full_table_of_fresh_homes_still_learns_new_ones_and_forgets_the_oldest() {
    let mut rig = Rig::new(settings(), fleet());
    // All within a few seconds, so that age tells nothing.
    for i in 0..SESSIONS {
        let id = format!("{i}");
        rig.ask(&id, &id, FREE, LONG);
        rig.end(&id, 0, Outcome::Parsed, 0);
        rig.stream(&id, 1);
        rig.end(&id, 1, Outcome::Served, 0);
        rig.now = rig.now + Micros(100);
    }
    let homes = format!("{:?}", rig.router).matches("Home {").count();
    assert!((1..=32_768).contains(&homes), "{homes}");
    // What others pour would void the notes; a new session asks on at once.
    let (_, home) = rig.whole("new", "new", LONG);
    assert_eq!(next_turn(&mut rig, "new"), home);
}

#[test]
fn a_session_that_moves_while_the_table_is_full_is_found_at_its_new_home() {
    let mut rig = Rig::new(Settings { routers: 1, ..settings() }, fleet());
    let (_, first) = rig.whole("a", "moving", LONG);
    for i in 0..SESSIONS {
        let id = format!("{i}");
        rig.ask(&id, &id, FREE, 10);
        rig.stream(&id, 0);
        rig.end(&id, 0, Outcome::Served, 0);
    }
    let gone = Worker { lifecycle: Lifecycle::Draining, ..worker(&first, Role::Writer, 0) };
    rig.feed(Event::Workers { kind: ListKind::Changes, workers: vec![gone] });
    let (_, second) = rig.whole("b", "moving", LONG);
    assert_ne!(first, second);
    assert_eq!(next_turn(&mut rig, "moving"), second);
}

// ---- Beginnings.

#[test]
fn a_flood_of_beginnings_does_not_narrow_a_hot_one() {
    let mut rig = Rig::new(Settings { routers: 20, ..settings() }, readers(12));
    let ask = |rig: &mut Rig, id: &str, prefix: &str| {
        let mut request = rig.request(id, id, FREE, LONG);
        request.prefix = Some(prefix.into());
        let to = sent(&rig.feed(Event::Request(request))).unwrap().0;
        rig.end(id, 0, Outcome::Parsed, 0);
        rig.stream(id, 1);
        rig.end(id, 1, Outcome::Served, 0);
        to
    };
    let mut used = std::collections::BTreeSet::new();
    for i in 0..BEGINNINGS {
        rig.wait(0.3);
        ask(&mut rig, &format!("h{i}"), "hot");
        ask(&mut rig, &format!("o{i}"), &format!("{i}"));
        // Just after the flood has filled the table, the hot one is as hot as before.
        if i + 1 >= BEGINNINGS - 40 {
            used.insert(ask(&mut rig, &format!("l{i}"), "hot"));
        }
    }
    assert!(used.len() >= 6, "two thirds of the traffic at {} of 12 readers", used.len());
}

#[test]
fn a_table_of_beginnings_that_is_full_forgets_none_that_is_asked_for() {
    let mut rig = Rig::new(Settings { routers: 20, ..settings() }, readers(12));
    let mut width = Vec::new();
    for i in 0..9_000 {
        // The hot one keeps half of the traffic throughout.
        for prefix in ["hot".to_owned(), format!("{i}")] {
            rig.now = rig.now + Micros(200_000);
            let id = format!("{i}/{prefix}");
            let mut request = rig.request(&id, &id, FREE, LONG);
            request.prefix = Some(prefix.as_str().into());
            let to = sent(&rig.feed(Event::Request(request))).unwrap().0;
            rig.end(&id, 0, Outcome::Parsed, 0);
            rig.stream(&id, 1);
            rig.end(&id, 1, Outcome::Served, 0);
            if prefix == "hot" {
                width.push(to);
            }
        }
    }
    // In any twenty-five in a row, once it has been seen to be hot.
    let narrowest = width[100..].windows(25).map(|w| w.iter().collect::<std::collections::BTreeSet<_>>().len());
    let narrowest = narrowest.min().unwrap();
    assert!(narrowest >= 5, "at one time it was held to {narrowest} readers");
}
