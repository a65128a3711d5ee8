//! The ordinary path: the branches of the design, one by one.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;

#[test]
fn a_long_prompt_is_read_at_a_reader_and_then_pulled_by_a_writer() {
    let mut rig = Rig::new(settings(), fleet());
    let (reader, writer) = rig.serve_request("a", "s", LONG);
    assert!(reader.starts_with('r'));
    assert!(writer.starts_with('w'));
}

#[test]
fn a_short_remainder_goes_straight_to_the_home() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, writer) = rig.serve_request("a", "s", LONG);
    let again = sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0;
    assert_eq!(again, writer);
}

#[test]
fn a_long_remainder_goes_to_a_reader_although_a_home_is_known() {
    let mut rig = Rig::new(settings(), fleet());
    rig.serve_request("a", "s", LONG);
    let again = sent_to(&rig.submit("b", "s", IDEMPOTENT, 2 * LONG)).unwrap().0;
    assert!(again.starts_with('r'));
}

#[test]
fn a_short_prompt_of_a_new_session_is_read_where_it_is_written() {
    let mut rig = Rig::new(settings(), fleet());
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, 80)).unwrap().0.starts_with('w'));
}

#[test]
fn writers_that_cannot_read_get_no_prompt_unread() {
    let mut rig = Rig::new(Settings { self_prefill: false, ..settings() }, fleet());
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, 80)).unwrap().0.starts_with('r'));
    let (_, _) = rig.serve_request("b", "t", LONG);
    assert!(sent_to(&rig.submit("c", "t", IDEMPOTENT, LONG + 10)).unwrap().0.starts_with('r'));
}

#[test]
fn a_home_that_is_gone_is_forgotten() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, writer) = rig.serve_request("a", "s", LONG);
    let left = fleet().into_iter().filter(|w| *w.id.0 != *writer).collect();
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: left });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0.starts_with('r'));
}

#[test]
fn a_restarted_home_keeps_nothing() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, writer) = rig.serve_request("a", "s", LONG);
    let mut w = worker(&writer, Role::Decode, 0);
    w.started = Some(rig.now);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w] });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0.starts_with('r'));
}

#[test]
fn a_kept_count_far_under_the_note_voids_older_notes_of_that_writer() {
    let mut rig = Rig::new(settings(), vec![worker("r0", Role::Prefill, 0), worker("w0", Role::Decode, 0)]);
    rig.serve_request("a", "s", LONG);
    rig.serve_request("b", "t", LONG);
    assert_eq!(sent_to(&rig.submit("c", "s", IDEMPOTENT, LONG + 100)).unwrap().0, "w0");
    rig.start_stream("c", 0);
    rig.advance(0.5);
    rig.end_attempt("c", 0, Outcome::Served, 0);
    assert_eq!(
        sent_to(&rig.submit("d", "t", IDEMPOTENT, LONG + 100)).unwrap().0,
        "r0",
        "the older note is void"
    );
    assert_eq!(sent_to(&rig.submit("e", "s", IDEMPOTENT, LONG + 150)).unwrap().0, "w0", "the new note holds");
}

#[test]
fn requests_of_one_beginning_share_two_readers_on_every_router() {
    let workers = fleet_with_prefill(8);
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..4 {
        let mut rig = Rig::new(settings(), workers.clone());
        rig.router = Router::new(settings(), seed);
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: workers.clone() });
        for i in 0..6 {
            let id = format!("{i}");
            for k in 0..10 {
                let other = format!("{i}/{k}");
                let mut request = rig.request(&other, &other, IDEMPOTENT, LONG);
                request.prefix = Some(other.as_str().into());
                rig.feed(Event::Request(request));
                rig.end_attempt(&other, 0, Outcome::Prefilled, 0);
                rig.end_attempt(&other, 1, Outcome::Served, 0);
            }
            let mut request = rig.request(&id, &format!("s{i}"), IDEMPOTENT, LONG);
            request.prefix = Some("shared".into());
            seen.insert(sent_to(&rig.feed(Event::Request(request))).unwrap().0);
            if i % 2 == 1 {
                rig.end_attempt(&id, 0, Outcome::Prefilled, 0);
                rig.end_attempt(&format!("{}", i - 1), 0, Outcome::Prefilled, 0);
            }
        }
    }
    assert_eq!(seen.len(), 2, "{seen:?}");
}

#[test]
fn of_two_readers_the_one_with_fewer_of_our_reads_out_is_taken() {
    let workers =
        vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0), worker("w0", Role::Decode, 0)];
    let mut rig = Rig::new(settings(), workers);
    let first = sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0;
    let second = sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG)).unwrap().0;
    assert_ne!(first, second);
}

#[test]
fn the_writer_with_most_room_by_its_report_is_taken() {
    let mut rig = Rig::new(settings(), fleet());
    let mut writers = std::collections::BTreeSet::new();
    // Learn one report from each writer: w1 has most room.
    for i in 0..30 {
        let id = format!("l{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let writer = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        rig.advance(0.5);
        let used = if writer == "w1" { 0.1 } else { 0.8 };
        let report = LoadReport { slot_utilization: Some(used), ..LoadReport::default() };
        rig.end_attempt_with_report(&id, 1, Outcome::Served, 0, Some(report));
        writers.insert(writer);
    }
    rig.submit("a", "new", IDEMPOTENT, LONG);
    assert_eq!(sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0, "w1");
    assert!(writers.contains("w1"));
}

/// Where twenty read states are pulled, once writers and mixed servers have reported such parts of their memory held.
fn pulls_with(writers_held: f64, mixed_held: f64) -> std::collections::BTreeSet<String> {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let mut rig = Rig::new(settings(), workers);
    let mut pulled = std::collections::BTreeSet::new();
    for i in 0..60 {
        let id = format!("{i}");
        let mut at = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0;
        let reads = at.starts_with('r');
        if reads {
            at = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        }
        if reads && i >= 40 {
            pulled.insert(at.clone());
        }
        let held = if at.starts_with('m') { mixed_held } else { writers_held };
        let report = LoadReport { kv_utilization: Some(held), ..LoadReport::default() };
        rig.start_stream(&id, u32::from(reads));
        rig.end_attempt_with_report(&id, u32::from(reads), Outcome::Served, 0, Some(report));
        rig.advance(0.5);
    }
    pulled
}

#[test]
fn a_mixed_server_with_far_more_room_than_any_writer_pulls() {
    let pulled = pulls_with(0.95, 0.1);
    assert!(!pulled.is_empty() && pulled.iter().all(|w| w.starts_with('m')), "{pulled:?}");
}

#[test]
fn a_mixed_server_with_a_little_more_room_than_the_writers_does_not_pull() {
    let pulled = pulls_with(0.6, 0.1);
    assert!(!pulled.is_empty() && pulled.iter().all(|w| w.starts_with('w')), "{pulled:?}");
}

#[test]
fn without_reports_the_writer_with_fewest_of_our_streams_is_taken() {
    let mut rig = Rig::new(settings(), fleet());
    let mut count = std::collections::BTreeMap::new();
    for i in 0..9 {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let writer = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        *count.entry(writer).or_insert(0) += 1;
    }
    assert!(count.values().all(|n| (2..=4).contains(n)), "{count:?}");
}

#[test]
fn mixed_servers_take_their_share_whole() {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let mut rig = Rig::new(settings(), workers);
    let mixed = (0..16)
        .filter(|i| {
            sent_to(&rig.submit(&format!("{i}"), &format!("s{i}"), IDEMPOTENT, LONG))
                .unwrap()
                .0
                .starts_with('m')
        })
        .count();
    assert_eq!(mixed, 4, "two of eight servers");
}

#[test]
fn a_beginning_too_hot_for_two_readers_widens_to_more() {
    let workers = fleet_with_prefill(8);
    let mut rig = Rig::new(settings(), workers);
    let mut seen = std::collections::BTreeMap::new();
    for i in 0..12 {
        let mut request = rig.request(&format!("{i}"), &format!("s{i}"), IDEMPOTENT, LONG);
        request.prefix = Some("hot".into());
        *seen.entry(sent_to(&rig.feed(Event::Request(request))).unwrap().0).or_insert(0) += 1;
    }
    assert!(seen.len() > 2, "{seen:?}");
    assert!(seen.values().all(|n| *n <= 4), "{seen:?}");
}

#[test]
fn a_very_long_read_counts_as_many() {
    let workers =
        vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0), worker("w0", Role::Decode, 0)];
    let mut rig = Rig::new(settings(), workers);
    for i in 0..20 {
        rig.serve_request(&format!("l{i}"), &format!("l{i}"), LONG);
    }
    let long = sent_to(&rig.submit("long", "long", IDEMPOTENT, 10 * LONG)).unwrap().0;
    for i in 0..3 {
        let next = sent_to(&rig.submit(&format!("n{i}"), &format!("n{i}"), IDEMPOTENT, LONG)).unwrap().0;
        assert_ne!(next, long, "read {i} queues behind a prompt ten times as long");
    }
}

#[test]
fn slow_reads_raise_the_share_of_mixed_servers() {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let share = |read_s: f64| {
        let mut rig = Rig::new(settings(), workers.clone());
        // Finished requests, two at a time so that both ways are used: reads take `read_s`,
        // everything else a tenth of a second.
        for i in 0..20 {
            let ids = [format!("l{i}"), format!("k{i}")];
            let firsts: Vec<_> =
                ids.iter().map(|id| sent_to(&rig.submit(id, id, IDEMPOTENT, LONG)).unwrap().0).collect();
            for (id, first) in ids.iter().zip(firsts) {
                let mut attempt = 0;
                if first.starts_with('r') {
                    rig.end_prefill_after(id, read_s);
                    attempt = 1;
                }
                rig.start_stream(id, attempt);
                rig.end_attempt(id, attempt, Outcome::Served, 0);
            }
        }
        (0..32)
            .filter(|i| {
                sent_to(&rig.submit(&format!("{i}"), &format!("s{i}"), IDEMPOTENT, LONG))
                    .unwrap()
                    .0
                    .starts_with('m')
            })
            .count()
    };
    assert!(share(0.4) > share(0.05), "{} {}", share(0.4), share(0.05));
}
