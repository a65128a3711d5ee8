//! Whole runs with a seed go as they went before: each message, draw, pause and vote. The data file was written before any
//! type was renamed or moved.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::model::{Model, SECOND};
use chalkyard_control::*;
use common::{entry, Fleet, NothingBad, REPLICAS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RECORDED: &str = include_str!("data/recorded_runs.txt");

fn change(n: u64) -> Delta {
    let key = format!("tenants/tenant[t{:05}]", n % 30);
    Delta(vec![Change::Set(entry(&key, &format!("<tenant n='{n}'/>")))])
}

fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Published(number) => format!("published-{number}"),
        Outcome::NoChange => "no-change".into(),
        Outcome::Invalid(why) => format!("invalid-{}", Digest::of_bytes(why.as_bytes())),
        Outcome::Busy => "busy".into(),
        Outcome::NoQuorum => "no-quorum".into(),
    }
}

fn outcomes(outcomes: &[Outcome]) -> String {
    outcomes.iter().map(outcome).collect::<Vec<_>>().join(",")
}

/// Publications at every replica, one that the check refuses, one that a router can't apply, a replica that dies and comes
/// back with an old disk, regions that lose each other, and routers that restart with and without what they kept.
fn run_of_the_model(seed: u64) -> String {
    let document =
        Document::new((0..40).map(|n| entry(&format!("tenants/tenant[t{n:05}]"), "<tenant/>"))).unwrap();
    let mut model = Model::new(REPLICAS, 12, &document, &NothingBad, seed);
    model.routers[3].in_force.refuses.insert(Number(2));
    model.run(3 * SECOND);
    for n in 0..8 {
        model.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND / 4);
    }
    model.publish(ReplicaId(0), Delta(vec![Change::Set(entry("bad", "x"))]), SECOND);
    model.run(10 * SECOND);
    let old_disk = model.disk(ReplicaId(2));
    model.publish(ReplicaId(0), change(20), 0);
    model.run(SECOND / 200);
    model.kill(ReplicaId(0));
    model.publish(ReplicaId(1), change(21), SECOND / 10);
    model.run(15 * SECOND);
    model.start(ReplicaId(0), None);
    model.kill(ReplicaId(2));
    model.start(ReplicaId(2), old_disk);
    model.publish(ReplicaId(2), change(22), 0);
    model.run(15 * SECOND);
    model.cut = true;
    model.publish(ReplicaId(3), change(23), SECOND);
    model.run(20 * SECOND);
    model.cut = false;
    for n in 0..12 {
        model.restart_router(n, n % 2 == 0, 1_000 + seed * 100 + n as u64);
    }
    model.run(20 * SECOND);
    let spread: Vec<u8> = model.spread.iter().flat_map(|took| took.to_le_bytes()).collect();
    let router_bytes: u64 = model.routers.iter().map(|r| r.bytes).sum();
    let digests: Vec<String> = model.digests().iter().map(|(n, digest)| format!("{n}:{digest}")).collect();
    format!(
        "model-{seed} {} {} {} {} {} {}",
        outcomes(&model.outcomes),
        Digest::of_bytes(&spread),
        model.spread.len(),
        model.control_bytes,
        router_bytes,
        digests.join(",")
    )
}

/// Publications and retries, and messages that are delivered, lost and repeated in any order; crashes and cuts between.
fn run_by_hand(seed: u64) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(REPLICAS);
    let mut trace = Vec::new();
    for _ in 0..600 {
        let replica = random.random_range(0..usize::from(REPLICAS));
        let place = random.random_range(0..8);
        match random.random_range(0..100) {
            0..8 => fleet.publish(replica),
            8..14 => fleet.retry(replica),
            14..80 => fleet.deliver(place),
            80..88 => fleet.lose(place),
            88..91 => fleet.repeat(place),
            91..94 => fleet.restart(replica, false),
            94..96 => fleet.greet(replica, (replica + 1) % 4),
            96..97 => fleet.cut = true,
            _ => fleet.cut = false,
        }
        trace.extend(fleet.fingerprint());
    }
    fleet.check();
    format!("walk-{seed} {} {}", outcomes(&fleet.outcomes), Digest::of_bytes(&trace))
}

#[test]
fn runs_of_the_model_go_as_recorded() {
    let recorded: Vec<&str> = RECORDED.lines().filter(|line| line.starts_with("model-")).collect();
    let runs: Vec<String> = (1..=6).map(run_of_the_model).collect();
    assert_eq!(runs, recorded);
}

#[test]
fn runs_by_hand_go_as_recorded() {
    let recorded: Vec<&str> = RECORDED.lines().filter(|line| line.starts_with("walk-")).collect();
    let runs: Vec<String> = (1..=12).map(run_by_hand).collect();
    assert_eq!(runs, recorded);
}
