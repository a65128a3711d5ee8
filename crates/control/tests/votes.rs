//! Checks that no number is decided twice: in every order of a few events on four control replicas, and in long random walks in
//! which replicas crash, restart from an old disk and are partitioned, with concurrent publishers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One step of a random walk.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Publish(usize),
    Retry(usize),
    /// The message in transit at this index, counted from the oldest.
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Crash(usize),
    RestartFromOldDisk(usize),
    Partition,
    EndPartition,
}

fn random_walk(seed: u64, steps: usize, allow_old_disks: bool) -> Cluster {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::new(REPLICAS);
    let mut min_newest = 0;
    for _ in 0..steps {
        let replica = random.random_range(0..usize::from(REPLICAS));
        let index = random.random_range(0..8);
        let step = match random.random_range(0..100) {
            0..8 => Step::Publish(replica),
            8..14 => Step::Retry(replica),
            14..80 => Step::Deliver(index),
            80..88 => Step::Lose(index),
            88..92 => Step::Repeat(index),
            92..96 => Step::Crash(replica),
            // Quorums tolerate one old disk at a time, so the next one waits until another number was decided.
            96..97 if allow_old_disks && cluster.newest() >= min_newest => {
                min_newest = cluster.newest() + 1;
                Step::RestartFromOldDisk(replica)
            }
            97..98 => Step::Partition,
            _ => Step::EndPartition,
        };
        perform_step(&mut cluster, step);
        cluster.check();
    }
    cluster
}

fn perform_step(cluster: &mut Cluster, step: Step) {
    match step {
        Step::Publish(replica) => cluster.publish(replica),
        Step::Retry(replica) => cluster.retry(replica),
        Step::Deliver(index) => cluster.deliver(index),
        Step::Lose(index) => cluster.lose(index),
        Step::Repeat(index) => cluster.repeat(index),
        Step::Crash(replica) => cluster.restart(replica, false),
        Step::RestartFromOldDisk(replica) => cluster.restart(replica, true),
        Step::Partition => cluster.partitioned = true,
        Step::EndPartition => cluster.partitioned = false,
    }
}

#[test]
fn faults_never_decide_a_number_twice() {
    let mut decided = 0;
    for seed in 0..400 {
        decided += random_walk(seed, 400, false).newest();
    }
    assert!(decided > 400, "random walks decided too few numbers: {decided}");
}

#[test]
fn old_disk_of_one_replica_never_decides_a_number_twice() {
    for seed in 0..400 {
        random_walk(10_000 + seed, 400, true);
    }
}

/// Explores every order of deliveries and losses of two concurrent publications, to a depth of nine steps.
#[test]
fn every_order_of_two_publications_decides_without_conflict() {
    let mut initial = Cluster::new(REPLICAS);
    initial.publish(0);
    initial.publish(3);
    let mut explored = 0;
    explore(&initial, 9, &mut explored);
    assert!(explored > 10_000, "{explored}");
}

fn explore(cluster: &Cluster, depth: usize, explored: &mut u64) {
    *explored += 1;
    cluster.check();
    if depth == 0 {
        return;
    }
    for index in 0..cluster.in_transit().min(3) {
        let mut next = cluster.clone();
        next.deliver(index);
        explore(&next, depth - 1, explored);
    }
    if cluster.in_transit() > 0 {
        let mut next = cluster.clone();
        next.lose(0);
        explore(&next, depth - 1, explored);
    }
}

#[test]
fn two_publishers_that_retry_both_get_a_number() {
    let mut cluster = Cluster::new(REPLICAS);
    cluster.publish(0);
    cluster.publish(3);
    for _ in 0..50 {
        cluster.deliver_all();
        cluster.retry(0);
        cluster.deliver_all();
        cluster.retry(3);
        cluster.deliver_all();
    }
    cluster.check();
    assert_eq!(cluster.newest(), 2);
    assert_eq!(cluster.outcomes.iter().filter(|o| matches!(o, PublishOutcome::Published(_))).count(), 2);
    let digests: Vec<Digest> = cluster.replicas.iter().map(|m| m.history().document().digest()).collect();
    assert!(digests.iter().all(|d| *d == digests[0]));
}

/// Neither side has a quorum during the partition; after it, both publications are decided.
#[test]
fn partition_of_two_and_two_decides_nothing_and_converges_afterwards() {
    let mut cluster = Cluster::new(REPLICAS);
    cluster.publish(1);
    cluster.deliver_all();
    assert_eq!(cluster.newest(), 1);
    cluster.partitioned = true;
    cluster.publish(0);
    cluster.publish(3);
    for _ in 0..20 {
        cluster.deliver_all();
        cluster.retry(0);
        cluster.retry(3);
    }
    assert_eq!(cluster.newest(), 1, "a side without a quorum decided a number");
    cluster.partitioned = false;
    for _ in 0..20 {
        cluster.deliver_all();
        cluster.retry(0);
        cluster.deliver_all();
        cluster.retry(3);
    }
    cluster.deliver_all();
    cluster.check();
    assert_eq!(cluster.newest(), 3);
}

#[test]
fn unreachable_replica_is_brought_up_to_date_by_revisions_or_a_snapshot() {
    for numbers in [3, 700] {
        let mut cluster = Cluster::new(REPLICAS);
        cluster.unreachable = Some(2);
        for _ in 0..numbers {
            cluster.publish(0);
            cluster.deliver_all();
        }
        assert_eq!(cluster.replicas[2].number(), RevisionNumber(0));
        cluster.unreachable = None;
        cluster.send_heartbeat(2, 0);
        cluster.deliver_all();
        assert_eq!(cluster.replicas[2].number(), RevisionNumber(numbers));
        cluster.check();
    }
}

#[test]
fn invalid_change_gets_no_number() {
    let mut cluster = Cluster::new(REPLICAS);
    cluster.publish_change(0, Change::Set(entry("bad", "x")));
    assert_eq!(
        cluster.outcomes,
        [PublishOutcome::Invalid(ValidationError::new("`bad` is not known; take another name").into())]
    );
    cluster.publish_change(0, Change::Remove("nobody".into()));
    assert!(
        matches!(&cluster.outcomes[1], PublishOutcome::Invalid(reason) if reason.to_string().contains("nobody")),
        "{:?}",
        cluster.outcomes
    );
    assert_eq!((cluster.in_transit(), cluster.newest()), (0, 0));
    cluster.publish(0);
    cluster.deliver_all();
    assert_eq!(cluster.newest(), 1);
    cluster.publish_change(0, Change::Set(entry("m0-0", "value 0")));
    assert_eq!(cluster.outcomes.last(), Some(&PublishOutcome::NoChange));
}

/// Replicas with different histories, which none of the faults above causes: the difference is reported, and neither replica
/// adopts the other's history.
#[test]
fn other_content_under_a_number_is_reported_and_not_applied() {
    let mut cluster = Cluster::new(REPLICAS);
    cluster.publish(0);
    cluster.deliver_all();
    let mut other = Cluster::new(REPLICAS);
    other.publish(1);
    other.deliver_all();
    cluster.replicas[2] = other.replicas[2].clone();
    cluster.publish(0);
    cluster.deliver_all();
    cluster.send_heartbeat(2, 0);
    cluster.send_heartbeat(0, 2);
    cluster.deliver_all();
    assert!(cluster.diverged > 0);
    assert_eq!(cluster.replicas[2].number(), RevisionNumber(1), "the replica must keep its own history");
}

/// If answers of an unlisted replica counted, two listed replicas and an unlisted one would form a quorum.
#[test]
fn unlisted_replica_has_no_vote() {
    let mut replica = Replica::fresh(ReplicaId(0), REPLICAS);
    let mut actions = Vec::new();
    replica.publish(Delta(vec![Change::Set(entry("a", "b"))]), "operator", &RejectsBadEntries, &mut actions);
    let prepare = actions.iter().find_map(|o| match o {
        ReplicaAction::Send { message: Message::Prepare { number, ballot }, .. } => Some((*number, *ballot)),
        _ => None,
    });
    let (number, ballot) = prepare.expect("no prepare message was sent");
    let promise = Message::Promise { number, ballot, vote: None };
    actions.clear();
    replica.receive(ReplicaId(1), promise.clone(), &mut actions);
    replica.receive(ReplicaId(9), promise.clone(), &mut actions);
    assert_eq!(actions, [], "two of four replicas and an unlisted one are no quorum");
    replica.receive(ReplicaId(2), promise, &mut actions);
    assert!(
        actions.iter().any(|o| matches!(o, ReplicaAction::Send { message: Message::Accept(_), .. })),
        "three of four replicas are a quorum"
    );
}

#[test]
fn two_quorums_share_two_replicas() {
    for replicas in 1..=9_usize {
        let size = Quorum::of(replicas).size();
        assert!(size <= replicas);
        assert!(size == replicas || 2 * size - replicas >= 2, "{size} of {replicas}");
    }
    assert_eq!(Quorum::of(4).size(), 3);
}
