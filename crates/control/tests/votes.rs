//! Numbers are decided once: every order of a few events on four control replicas, and long random walks, with replicas that
//! crash, come back with an old disk, are cut off and pause, and several publishers at once.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use chalkyard_control::*;
use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A step of a walk.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Publish(usize),
    Retry(usize),
    /// Of the messages on their way, the one at this place, counted from the oldest.
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Crash(usize),
    OldDisk(usize),
    Cut,
    Heal,
}

fn walk(seed: u64, steps: usize, may_lose_disks: bool) -> Fleet {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(REPLICAS);
    let mut old_disks = 0;
    for _ in 0..steps {
        let replica = random.random_range(0..usize::from(REPLICAS));
        let place = random.random_range(0..8);
        let step = match random.random_range(0..100) {
            0..8 => Step::Publish(replica),
            8..14 => Step::Retry(replica),
            14..80 => Step::Deliver(place),
            80..88 => Step::Lose(place),
            88..92 => Step::Repeat(place),
            92..96 => Step::Crash(replica),
            // One at a time: a second one waits until a number was decided since.
            96..97 if may_lose_disks && fleet.newest() >= old_disks => {
                old_disks = fleet.newest() + 1;
                Step::OldDisk(replica)
            }
            97..98 => Step::Cut,
            _ => Step::Heal,
        };
        take(&mut fleet, step);
        fleet.check();
    }
    fleet
}

fn take(fleet: &mut Fleet, step: Step) {
    match step {
        Step::Publish(replica) => fleet.publish(replica),
        Step::Retry(replica) => fleet.retry(replica),
        Step::Deliver(place) => fleet.deliver(place),
        Step::Lose(place) => fleet.lose(place),
        Step::Repeat(place) => fleet.repeat(place),
        Step::Crash(replica) => fleet.restart(replica, false),
        Step::OldDisk(replica) => fleet.restart(replica, true),
        Step::Cut => fleet.cut = true,
        Step::Heal => fleet.cut = false,
    }
}

#[test]
fn no_number_has_two_contents_whatever_is_lost_repeated_cut_or_crashes() {
    let mut decided = 0;
    for seed in 0..400 {
        decided += walk(seed, 400, false).newest();
    }
    assert!(decided > 400, "walks do decide numbers: {decided}");
}

#[test]
fn one_machine_that_comes_back_with_an_old_disk_decides_nothing_twice() {
    for seed in 0..400 {
        walk(10_000 + seed, 400, true);
    }
}

/// Every order of the deliveries and losses of two publications at once, to this depth.
#[test]
fn every_order_of_two_publications_at_once_decides_one_content() {
    let mut begun = Fleet::new(REPLICAS);
    begun.publish(0);
    begun.publish(3);
    let mut explored = 0;
    explore(&begun, 9, &mut explored);
    assert!(explored > 10_000, "{explored}");
}

fn explore(fleet: &Fleet, depth: usize, explored: &mut u64) {
    *explored += 1;
    fleet.check();
    if depth == 0 {
        return;
    }
    for place in 0..fleet.on_their_way().min(3) {
        let mut next = fleet.clone();
        next.deliver(place);
        explore(&next, depth - 1, explored);
    }
    if fleet.on_their_way() > 0 {
        let mut next = fleet.clone();
        next.lose(0);
        explore(&next, depth - 1, explored);
    }
}

#[test]
fn two_publishers_at_once_both_get_a_number_in_the_end() {
    let mut fleet = Fleet::new(REPLICAS);
    fleet.publish(0);
    fleet.publish(3);
    for _ in 0..50 {
        fleet.deliver_all();
        fleet.retry(0);
        fleet.deliver_all();
        fleet.retry(3);
        fleet.deliver_all();
    }
    fleet.check();
    assert_eq!(fleet.newest(), 2);
    assert_eq!(fleet.outcomes.iter().filter(|o| matches!(o, Outcome::Published(_))).count(), 2);
    let digests: Vec<Digest> = fleet.replicas.iter().map(|m| m.history().document().digest()).collect();
    assert!(digests.iter().all(|d| *d == digests[0]));
}

/// Two and two: neither side decides, and once they meet again both go on.
#[test]
fn in_a_cut_of_two_and_two_nothing_is_decided_and_afterwards_all_is_the_same() {
    let mut fleet = Fleet::new(REPLICAS);
    fleet.publish(1);
    fleet.deliver_all();
    assert_eq!(fleet.newest(), 1);
    fleet.cut = true;
    fleet.publish(0);
    fleet.publish(3);
    for _ in 0..20 {
        fleet.deliver_all();
        fleet.retry(0);
        fleet.retry(3);
    }
    assert_eq!(fleet.newest(), 1, "no quorum on either side");
    fleet.cut = false;
    for _ in 0..20 {
        fleet.deliver_all();
        fleet.retry(0);
        fleet.deliver_all();
        fleet.retry(3);
    }
    fleet.deliver_all();
    fleet.check();
    assert_eq!(fleet.newest(), 3);
}

#[test]
fn a_machine_that_was_away_is_brought_up_to_date_by_revisions_or_by_the_whole() {
    for numbers in [3, 700] {
        let mut fleet = Fleet::new(REPLICAS);
        fleet.away = Some(2);
        for _ in 0..numbers {
            fleet.publish(0);
            fleet.deliver_all();
        }
        assert_eq!(fleet.replicas[2].number(), Number(0));
        fleet.away = None;
        fleet.greet(2, 0);
        fleet.deliver_all();
        assert_eq!(fleet.replicas[2].number(), Number(numbers));
        fleet.check();
    }
}

#[test]
fn a_change_that_the_check_refuses_takes_no_number() {
    let mut fleet = Fleet::new(REPLICAS);
    fleet.publish_change(0, Change::Set(entry("bad", "x")));
    assert_eq!(fleet.outcomes, [Outcome::Invalid("`bad` is not known; take another name".into())]);
    fleet.publish_change(0, Change::Remove("nobody".into()));
    assert!(
        matches!(&fleet.outcomes[1], Outcome::Invalid(why) if why.contains("nobody")),
        "{:?}",
        fleet.outcomes
    );
    assert_eq!((fleet.on_their_way(), fleet.newest()), (0, 0));
    fleet.publish(0);
    fleet.deliver_all();
    assert_eq!(fleet.newest(), 1);
    fleet.publish_change(0, Change::Set(entry("m0-0", "value 0")));
    assert_eq!(fleet.outcomes.last(), Some(&Outcome::NoChange));
}

/// Machines whose histories differ, as none of the above brings about: told, and neither takes the other's.
#[test]
fn another_content_under_a_number_is_told_and_not_taken() {
    let mut fleet = Fleet::new(REPLICAS);
    fleet.publish(0);
    fleet.deliver_all();
    let mut other = Fleet::new(REPLICAS);
    other.publish(1);
    other.deliver_all();
    fleet.replicas[2] = other.replicas[2].clone();
    fleet.publish(0);
    fleet.deliver_all();
    fleet.greet(2, 0);
    fleet.greet(0, 2);
    fleet.deliver_all();
    assert!(fleet.diverged > 0);
    assert_eq!(fleet.replicas[2].number(), Number(1), "it keeps what it had");
}

/// Were its answers counted, two replicas and a stranger would be a quorum.
#[test]
fn a_machine_that_is_not_on_the_list_has_no_vote() {
    let mut replica = Replica::fresh(ReplicaId(0), REPLICAS);
    let mut out = Vec::new();
    replica.publish(Delta(vec![Change::Set(entry("a", "b"))]), "operator", &NothingBad, &mut out);
    let prepared = out.iter().find_map(|o| match o {
        Output::Send(_, Message::Prepare { number, ballot }) => Some((*number, *ballot)),
        _ => None,
    });
    let (number, ballot) = prepared.expect("the others are asked");
    let promise = Message::Promise { number, ballot, vote: None };
    out.clear();
    replica.take(ReplicaId(1), promise.clone(), &mut out);
    replica.take(ReplicaId(9), promise.clone(), &mut out);
    assert_eq!(out, [], "two of four and a stranger");
    replica.take(ReplicaId(2), promise, &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Send(_, Message::Accept(_)))), "three of four");
}

#[test]
fn a_quorum_shares_two_machines_with_any_other() {
    for replicas in 1..=9_usize {
        let size = Quorum::of(replicas).size();
        assert!(size <= replicas);
        assert!(size == replicas || 2 * size - replicas >= 2, "{size} of {replicas}");
    }
    assert_eq!(Quorum::of(4).size(), 3);
}
