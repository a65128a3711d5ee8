//! Compares complete seeded runs with recorded ones, including every message, delay and vote. No other test detects a code
//! change that alters the protocol's behaviour or its random choices.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::simulation::{Simulation, SECOND};
use chalkyard_control::*;
use common::{entry, Cluster, RejectsBadEntries, REPLICAS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RECORDED: &str = include_str!("data/recorded_runs.txt");

fn change(n: u64) -> Delta {
    let key = format!("tenants/tenant[t{:05}]", n % 30);
    Delta(vec![Change::Set(entry(&key, &format!("<tenant n='{n}'/>")))])
}

fn outcome_label(outcome: &PublishOutcome) -> String {
    match outcome {
        PublishOutcome::Published(number) => format!("published-{number}"),
        PublishOutcome::NoChange => "no-change".into(),
        PublishOutcome::Invalid(reason) => {
            format!("invalid-{}", Digest::of_bytes(reason.to_string().as_bytes()))
        }
        PublishOutcome::Busy => "busy".into(),
        PublishOutcome::NoQuorum => "no-quorum".into(),
    }
}

fn outcome_labels(outcomes: &[PublishOutcome]) -> String {
    outcomes.iter().map(outcome_label).collect::<Vec<_>>().join(",")
}

/// Runs a simulation with publications at every replica, an invalid one, one that a router can't apply, a replica that restarts
/// from an old disk, a partition, and routers that restart with and without their stored configuration.
fn simulated_run(seed: u64) -> String {
    let document =
        Document::new((0..40).map(|n| entry(&format!("tenants/tenant[t{n:05}]"), "<tenant/>"))).unwrap();
    let mut simulation = Simulation::new(REPLICAS, 12, &document, &RejectsBadEntries, seed);
    simulation.routers[3].applier.rejects.insert(RevisionNumber(2));
    simulation.run(3 * SECOND);
    for n in 0..8 {
        simulation.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND / 4);
    }
    simulation.publish(ReplicaId(0), Delta(vec![Change::Set(entry("bad", "x"))]), SECOND);
    simulation.run(10 * SECOND);
    let old_disk = simulation.disk(ReplicaId(2));
    simulation.publish(ReplicaId(0), change(20), 0);
    simulation.run(SECOND / 200);
    simulation.kill(ReplicaId(0));
    simulation.publish(ReplicaId(1), change(21), SECOND / 10);
    simulation.run(15 * SECOND);
    simulation.start(ReplicaId(0), None);
    simulation.kill(ReplicaId(2));
    simulation.start(ReplicaId(2), old_disk);
    simulation.publish(ReplicaId(2), change(22), 0);
    simulation.run(15 * SECOND);
    simulation.partitioned = true;
    simulation.publish(ReplicaId(3), change(23), SECOND);
    simulation.run(20 * SECOND);
    simulation.partitioned = false;
    for n in 0..12 {
        simulation.restart_router(n, n % 2 == 0, 1_000 + seed * 100 + n as u64);
    }
    simulation.run(20 * SECOND);
    let delay_bytes: Vec<u8> = simulation.apply_delays.iter().flat_map(|delay| delay.to_le_bytes()).collect();
    let router_bytes: u64 = simulation.routers.iter().map(|r| r.bytes).sum();
    let digests: Vec<String> =
        simulation.heads().iter().map(|head| format!("{}:{}", head.number, head.digest)).collect();
    format!(
        "model-{seed} {} {} {} {} {} {}",
        outcome_labels(&simulation.outcomes),
        Digest::of_bytes(&delay_bytes),
        simulation.apply_delays.len(),
        simulation.control_bytes,
        router_bytes,
        digests.join(",")
    )
}

/// Runs a random walk of publications, retries, crashes and partitions, with messages delivered, lost and repeated in any order.
fn recorded_walk(seed: u64) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::new(REPLICAS);
    let mut trace = Vec::new();
    for _ in 0..600 {
        let replica = random.random_range(0..usize::from(REPLICAS));
        let index = random.random_range(0..8);
        match random.random_range(0..100) {
            0..8 => cluster.publish(replica),
            8..14 => cluster.retry(replica),
            14..80 => cluster.deliver(index),
            80..88 => cluster.lose(index),
            88..91 => cluster.repeat(index),
            91..94 => cluster.restart(replica, false),
            94..96 => cluster.send_heartbeat(replica, (replica + 1) % 4),
            96..97 => cluster.partitioned = true,
            _ => cluster.partitioned = false,
        }
        trace.extend(cluster.fingerprint());
    }
    cluster.check();
    format!("walk-{seed} {} {}", outcome_labels(&cluster.outcomes), Digest::of_bytes(&trace))
}

#[test]
fn simulated_runs_match_the_recorded_ones() {
    let recorded: Vec<&str> = RECORDED.lines().filter(|line| line.starts_with("model-")).collect();
    let runs: Vec<String> = (1..=6).map(simulated_run).collect();
    assert_eq!(runs, recorded);
}

#[test]
fn random_walks_match_the_recorded_ones() {
    let recorded: Vec<&str> = RECORDED.lines().filter(|line| line.starts_with("walk-")).collect();
    let runs: Vec<String> = (1..=12).map(recorded_walk).collect();
    assert_eq!(runs, recorded);
}
