//! Checks in simulated time that every reachable router applies every revision within 12 s despite faults, and that no router
//! returns to an older revision. The simulation drives the production state machines.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::simulation::{Simulation, SECOND};
use chalkyard_control::*;
use common::{entry, RejectsBadEntries};

const REPLICAS: u8 = 4;
const ROUTERS: usize = 24;
const SEEDS: u64 = 10;
/// Maximum time from a change's request until every router has applied the change, in µs.
const APPLIED_WITHIN: Micros = 12 * SECOND;

fn document() -> Document {
    Document::new((0..200).map(|n| entry(&format!("tenants/tenant[t{n:05}]"), "<tenant/>"))).unwrap()
}

fn change(n: u64) -> Delta {
    Delta(vec![Change::Set(entry(
        &format!("tenants/tenant[t{:05}]", n % 300),
        &format!("<tenant n='{n}'/>"),
    ))])
}

/// Checks the state at the end of a case: no number is decided twice, no router has regressed, and all nodes agree.
fn assert_consistent(simulation: &Simulation<'_>, seed: u64) {
    assert_eq!((simulation.conflicts, simulation.diverged), (0, 0), "seed {seed}");
    assert!(
        simulation.routers.iter().all(|r| r.regressions == 0),
        "seed {seed}: a router returned to an older revision"
    );
    assert_eq!(simulation.heads().len(), 1, "seed {seed}: {:?}", simulation.heads());
}

fn assert_applied_within(simulation: &Simulation<'_>, limit: Micros, seed: u64) {
    let slowest = simulation.apply_delays.iter().max().copied().unwrap_or(0);
    assert!(slowest <= limit, "seed {seed}: {slowest} us");
}

fn published(simulation: &Simulation<'_>) -> usize {
    simulation.outcomes.iter().filter(|o| matches!(o, PublishOutcome::Published(_))).count()
}

#[test]
fn without_faults_every_change_is_applied_by_every_router_in_time() {
    for seed in 0..SEEDS {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        simulation.run(5 * SECOND);
        for n in 0..20 {
            simulation.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND);
        }
        simulation.run(40 * SECOND);
        assert_eq!(published(&simulation), 20, "seed {seed}: {:?}", simulation.outcomes);
        assert_eq!(simulation.apply_delays.len(), 20 * ROUTERS);
        assert_applied_within(&simulation, SECOND, seed);
        assert_consistent(&simulation, seed);
    }
}

/// `two-publishers`: one publication at every replica at the same time, repeated five times.
#[test]
fn simultaneous_publications_get_one_number_each() {
    for seed in 0..SEEDS {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        simulation.run(5 * SECOND);
        for round in 0..5 {
            for replica in 0..REPLICAS {
                simulation.publish(
                    ReplicaId(replica),
                    change(round * 4 + u64::from(replica)),
                    round * 12 * SECOND,
                );
            }
        }
        simulation.run(80 * SECOND);
        assert_eq!(published(&simulation), 20, "seed {seed}: {:?}", simulation.outcomes);
        assert_applied_within(&simulation, APPLIED_WITHIN, seed);
        assert_consistent(&simulation, seed);
    }
}

/// `leader-killed`, or its equivalent without a leader: the publishing replica, which half of a region's routers follow, is
/// killed.
#[test]
fn publisher_killed_midway_causes_no_conflict_and_its_routers_fail_over() {
    for seed in 0..SEEDS {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        simulation.run(5 * SECOND);
        simulation.publish(ReplicaId(0), change(1), 0);
        // The replica is killed between its first and its last message.
        simulation.run(SECOND / 100 + seed * SECOND / 500);
        simulation.kill(ReplicaId(0));
        simulation.publish(ReplicaId(1), change(2), SECOND / 10);
        simulation.run(30 * SECOND);
        simulation.start(ReplicaId(0), None);
        simulation.publish(ReplicaId(3), change(3), SECOND);
        simulation.run(30 * SECOND);
        assert!(published(&simulation) >= 2, "seed {seed}: {:?}", simulation.outcomes);
        assert_applied_within(&simulation, APPLIED_WITHIN, seed);
        assert_consistent(&simulation, seed);
    }
}

/// `old-disk`: a replica restarts from a copy of its disk that is ten revisions old.
#[test]
fn replica_with_an_old_disk_is_brought_up_to_date_and_reuses_no_number() {
    for seed in 0..SEEDS {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        simulation.run(3 * SECOND);
        let old_disk = simulation.disk(ReplicaId(2));
        for n in 0..10 {
            simulation.publish(ReplicaId(1), change(n), n * SECOND);
        }
        simulation.run(20 * SECOND);
        simulation.kill(ReplicaId(2));
        simulation.run(SECOND);
        simulation.start(ReplicaId(2), old_disk);
        // Published immediately, before the replica has received the revisions that it lost.
        simulation.publish(ReplicaId(2), change(100), 0);
        simulation.publish(ReplicaId(0), change(101), 0);
        simulation.run(30 * SECOND);
        assert_eq!(simulation.number(ReplicaId(2)), simulation.number(ReplicaId(0)));
        assert!(published(&simulation) >= 11, "seed {seed}: {:?}", simulation.outcomes);
        assert_applied_within(&simulation, APPLIED_WITHIN, seed);
        assert_consistent(&simulation, seed);
    }
}

/// `regions-apart`: a partition of one hour between two replicas and the other two. Neither side decides a number, routers
/// keep their configuration, and after the partition all nodes agree again.
#[test]
fn partitioned_regions_keep_their_configuration_and_converge_afterwards() {
    // Only three seeds, since an hour takes long to simulate.
    for seed in 0..3 {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        simulation.publish(ReplicaId(0), change(0), 5 * SECOND);
        simulation.run(10 * SECOND);
        simulation.partitioned = true;
        simulation.publish(ReplicaId(0), change(1), SECOND);
        simulation.publish(ReplicaId(3), change(2), SECOND);
        simulation.run(3_600 * SECOND);
        assert_eq!(simulation.outcomes.last(), Some(&PublishOutcome::NoQuorum), "seed {seed}");
        assert!(simulation.routers.iter().all(|r| r.subscriber.number() == RevisionNumber(1)), "seed {seed}");
        assert!(
            simulation.routers.iter().all(|r| r.subscriber.is_connected()),
            "each router has a replica of its region"
        );
        simulation.partitioned = false;
        simulation.publish(ReplicaId(2), change(3), 2 * SECOND);
        simulation.run(30 * SECOND);
        assert!(
            matches!(simulation.outcomes.last(), Some(PublishOutcome::Published(_))),
            "seed {seed}: {:?}",
            simulation.outcomes
        );
        assert_consistent(&simulation, seed);
    }
}

/// `join-storm`: all routers restart at the same time, half of them without a stored configuration. The rate limit of
/// snapshots must not keep them from converging in time.
#[test]
fn routers_that_all_restart_at_once_converge() {
    for seed in 0..SEEDS {
        let document = document();
        let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, seed);
        for n in 0..3 {
            simulation.publish(ReplicaId(0), change(n), 5 * SECOND + n * SECOND);
        }
        simulation.run(15 * SECOND);
        for n in 0..ROUTERS {
            simulation.restart_router(n, n % 2 == 0, 1_000 + seed * 100 + n as u64);
        }
        simulation.run(APPLIED_WITHIN);
        assert!(simulation.routers.iter().all(|r| r.subscriber.number() == RevisionNumber(3)), "seed {seed}");
        assert_consistent(&simulation, seed);
    }
}

/// `bad-change`: an invalid change gets no number. A change that one router can't apply delays no later change, on that router
/// or any other.
#[test]
fn invalid_or_inapplicable_change_does_not_delay_later_ones() {
    let document = document();
    let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, 1);
    simulation.routers[5].applier.rejects.insert(RevisionNumber(1));
    simulation.run(5 * SECOND);
    simulation.publish(ReplicaId(0), Delta(vec![Change::Set(entry("bad", "x"))]), 0);
    for n in 0..3 {
        simulation.publish(ReplicaId(0), change(n), (n + 1) * SECOND);
    }
    simulation.run(15 * SECOND);
    assert!(matches!(simulation.outcomes.first(), Some(PublishOutcome::Invalid(_))));
    assert_eq!(published(&simulation), 3);
    assert_eq!(simulation.routers[5].subscriber.rejected(), [RevisionNumber(1)]);
    assert_eq!(simulation.routers[5].newest, RevisionNumber(3));
    assert_consistent(&simulation, 1);
}

/// Bounds a router's traffic, idle and while changes are published at the rate of a burst, two per second.
#[test]
fn traffic_of_a_router_is_within_its_budget() {
    const BYTES_PER_S: u64 = 7_000;
    let document = document();
    let mut simulation = Simulation::new(REPLICAS, ROUTERS, &document, &RejectsBadEntries, 1);
    for n in 0..100 {
        simulation.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND / 2);
    }
    let span = 60;
    simulation.run(span * SECOND);
    assert!(published(&simulation) > 90, "{:?}", simulation.outcomes);
    for router in &simulation.routers {
        let per_s = router.bytes / span;
        assert!(per_s < BYTES_PER_S / 4, "{per_s} bytes a second");
    }
}
