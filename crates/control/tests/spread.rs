//! Revisions reach every router that can be reached within 12 s, whatever fails on the way, and none ever goes back: in fed
//! time, on the code that sockets would drive.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::model::{Model, SECOND};
use chalkyard_control::*;
use common::{entry, NothingBad};

const CONTROL: u8 = 4;
const ROUTERS: usize = 24;
const SEEDS: u64 = 10;
/// A change is in force everywhere within this.
const IN_FORCE: Time = 12 * SECOND;

fn document() -> Document {
    Document::new((0..200).map(|n| entry(&format!("tenants/tenant[t{n:05}]"), "<tenant/>"))).unwrap()
}

fn change(n: u64) -> Delta {
    Delta(vec![Change::Set(entry(
        &format!("tenants/tenant[t{:05}]", n % 300),
        &format!("<tenant n='{n}'/>"),
    ))])
}

/// What has to hold at the end of every case: no number twice, none goes back, all hold the same.
fn sound(model: &Model<'_>, seed: u64) {
    assert_eq!((model.conflicts, model.diverged), (0, 0), "seed {seed}");
    assert!(model.routers.iter().all(|r| r.went_back == 0), "seed {seed}: a router went back");
    assert_eq!(model.digests().len(), 1, "seed {seed}: {:?}", model.digests());
}

fn in_time(model: &Model<'_>, most: Time, seed: u64) {
    let slowest = model.spread.iter().max().copied().unwrap_or(0);
    assert!(slowest <= most, "seed {seed}: {slowest} us");
}

fn published(model: &Model<'_>) -> usize {
    model.outcomes.iter().filter(|o| matches!(o, Outcome::Published(_))).count()
}

#[test]
fn every_change_is_in_force_at_every_router_in_time() {
    for seed in 0..SEEDS {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        model.run(5 * SECOND);
        for n in 0..20 {
            model.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND);
        }
        model.run(40 * SECOND);
        assert_eq!(published(&model), 20, "seed {seed}: {:?}", model.outcomes);
        assert_eq!(model.spread.len(), 20 * ROUTERS);
        in_time(&model, SECOND, seed);
        sound(&model, seed);
    }
}

/// `two-publishers`: at every replica one, at the same moment, again and again.
#[test]
fn publishers_at_the_same_moment_get_a_number_each() {
    for seed in 0..SEEDS {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        model.run(5 * SECOND);
        for round in 0..5 {
            for replica in 0..CONTROL {
                model.publish(
                    ReplicaId(replica),
                    change(round * 4 + u64::from(replica)),
                    round * 12 * SECOND,
                );
            }
        }
        model.run(80 * SECOND);
        assert_eq!(published(&model), 20, "seed {seed}: {:?}", model.outcomes);
        in_time(&model, IN_FORCE, seed);
        sound(&model, seed);
    }
}

/// `leader-killed`, or what is like it here: the replica that publishes, and that half of a region's routers ask, is gone.
#[test]
fn a_publisher_that_dies_in_the_middle_leaves_one_content_and_its_routers_move_on() {
    for seed in 0..SEEDS {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        model.run(5 * SECOND);
        model.publish(ReplicaId(0), change(1), 0);
        // Between its first message and its last.
        model.run(SECOND / 100 + seed * SECOND / 500);
        model.kill(ReplicaId(0));
        model.publish(ReplicaId(1), change(2), SECOND / 10);
        model.run(30 * SECOND);
        model.start(ReplicaId(0), None);
        model.publish(ReplicaId(3), change(3), SECOND);
        model.run(30 * SECOND);
        assert!(published(&model) >= 2, "seed {seed}: {:?}", model.outcomes);
        in_time(&model, IN_FORCE, seed);
        sound(&model, seed);
    }
}

/// `old-disk`: a replica comes back from a copy of its disk, ten revisions old.
#[test]
fn a_machine_with_an_old_disk_is_brought_up_to_date_and_gives_no_number_twice() {
    for seed in 0..SEEDS {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        model.run(3 * SECOND);
        let old = model.disk(ReplicaId(2));
        for n in 0..10 {
            model.publish(ReplicaId(1), change(n), n * SECOND);
        }
        model.run(20 * SECOND);
        model.kill(ReplicaId(2));
        model.run(SECOND);
        model.start(ReplicaId(2), old);
        // At once, before it has heard of what it lost.
        model.publish(ReplicaId(2), change(100), 0);
        model.publish(ReplicaId(0), change(101), 0);
        model.run(30 * SECOND);
        assert_eq!(model.number(ReplicaId(2)), model.number(ReplicaId(0)));
        assert!(published(&model) >= 11, "seed {seed}: {:?}", model.outcomes);
        in_time(&model, IN_FORCE, seed);
        sound(&model, seed);
    }
}

/// `regions-apart`: an hour in which two replicas of four can't be reached. Nothing is decided on either side, what is in
/// force stays, and afterwards all is as before.
#[test]
fn regions_that_lose_each_other_keep_what_they_have_and_join_again() {
    // An hour is long: three seeds.
    for seed in 0..3 {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        model.publish(ReplicaId(0), change(0), 5 * SECOND);
        model.run(10 * SECOND);
        model.cut = true;
        model.publish(ReplicaId(0), change(1), SECOND);
        model.publish(ReplicaId(3), change(2), SECOND);
        model.run(3_600 * SECOND);
        assert_eq!(model.outcomes.last(), Some(&Outcome::NoQuorum), "seed {seed}");
        assert!(model.routers.iter().all(|r| r.subscriber.number() == Number(1)), "seed {seed}");
        assert!(
            model.routers.iter().all(|r| r.subscriber.replica().1),
            "each router has a replica of its region"
        );
        model.cut = false;
        model.publish(ReplicaId(2), change(3), 2 * SECOND);
        model.run(30 * SECOND);
        assert!(
            matches!(model.outcomes.last(), Some(Outcome::Published(_))),
            "seed {seed}: {:?}",
            model.outcomes
        );
        sound(&model, seed);
    }
}

/// `join-storm`: all routers come back at once, half of them with nothing: wholes are sent a few at a time.
#[test]
fn all_routers_that_come_back_at_once_get_what_they_lack_a_few_at_a_time() {
    for seed in 0..SEEDS {
        let document = document();
        let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, seed);
        for n in 0..3 {
            model.publish(ReplicaId(0), change(n), 5 * SECOND + n * SECOND);
        }
        model.run(15 * SECOND);
        for n in 0..ROUTERS {
            model.restart_router(n, n % 2 == 0, 1_000 + seed * 100 + n as u64);
        }
        model.run(IN_FORCE);
        assert!(model.routers.iter().all(|r| r.subscriber.number() == Number(3)), "seed {seed}");
        sound(&model, seed);
    }
}

/// `bad-change`: it takes no number; one that a single router can't put in force stops none of the later ones, there or
/// elsewhere.
#[test]
fn a_change_that_is_wrong_or_that_one_router_cannot_apply_stops_nothing() {
    let document = document();
    let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, 1);
    model.routers[5].in_force.refuses.insert(Number(1));
    model.run(5 * SECOND);
    model.publish(ReplicaId(0), Delta(vec![Change::Set(entry("bad", "x"))]), 0);
    for n in 0..3 {
        model.publish(ReplicaId(0), change(n), (n + 1) * SECOND);
    }
    model.run(15 * SECOND);
    assert!(matches!(model.outcomes.first(), Some(Outcome::Invalid(_))));
    assert_eq!(published(&model), 3);
    assert_eq!(model.routers[5].subscriber.held_back(), [Number(1)]);
    assert_eq!(model.routers[5].newest, Number(3));
    sound(&model, 1);
}

/// A router's part of the traffic, and its memory, at rest and while changes come as often as a whole fleet's bursts.
#[test]
fn a_routers_traffic_is_within_its_budget() {
    const BYTES_PER_S: u64 = 7_000;
    let document = document();
    let mut model = Model::new(CONTROL, ROUTERS, &document, &NothingBad, 1);
    for n in 0..100 {
        model.publish(ReplicaId((n % 4) as u8), change(n), n * SECOND / 2);
    }
    let span = 60;
    model.run(span * SECOND);
    assert!(published(&model) > 90, "{:?}", model.outcomes);
    for router in &model.routers {
        let per_s = router.bytes / span;
        assert!(per_s < BYTES_PER_S / 4, "{per_s} bytes a second");
    }
}
