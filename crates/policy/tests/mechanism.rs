//! Placement in normal operation: which worker gets each attempt of a request.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::*;

const LONG: u64 = 6_000;

#[test]
fn a_long_prompt_is_prefilled_and_then_pulled_by_a_decode_worker() {
    let mut rig = Rig::new(settings(), fleet());
    let (prefill_worker, decode_worker) = rig.serve_request("a", "s", LONG);
    assert!(prefill_worker.starts_with('r'));
    assert!(decode_worker.starts_with('w'));
}

#[test]
fn a_short_uncached_suffix_goes_straight_to_the_affinity_worker() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, decode_worker) = rig.serve_request("a", "s", LONG);
    let next_worker = sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0;
    assert_eq!(next_worker, decode_worker);
}

#[test]
fn a_long_uncached_suffix_goes_to_a_prefill_worker_despite_affinity() {
    let mut rig = Rig::new(settings(), fleet());
    rig.serve_request("a", "s", LONG);
    let next_worker = sent_to(&rig.submit("b", "s", IDEMPOTENT, 2 * LONG)).unwrap().0;
    assert!(next_worker.starts_with('r'));
}

#[test]
fn a_short_prompt_of_a_new_session_is_prefilled_by_a_decode_worker() {
    let mut rig = Rig::new(settings(), fleet());
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, 80)).unwrap().0.starts_with('w'));
}

#[test]
fn without_self_prefill_every_prompt_goes_to_a_prefill_worker() {
    let mut rig = Rig::new(Settings { self_prefill: false, ..settings() }, fleet());
    assert!(sent_to(&rig.submit("a", "s", IDEMPOTENT, 80)).unwrap().0.starts_with('r'));
    let (_, _) = rig.serve_request("b", "t", LONG);
    assert!(sent_to(&rig.submit("c", "t", IDEMPOTENT, LONG + 10)).unwrap().0.starts_with('r'));
}

#[test]
fn a_removed_affinity_worker_is_forgotten() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, decode_worker) = rig.serve_request("a", "s", LONG);
    let remaining = fleet().into_iter().filter(|w| *w.id.0 != *decode_worker).collect();
    rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers: remaining });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0.starts_with('r'));
}

#[test]
fn a_restarted_affinity_worker_has_no_cache() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, decode_worker) = rig.serve_request("a", "s", LONG);
    let mut w = worker(&decode_worker, Role::Decode, 0);
    w.started = Some(rig.now);
    rig.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers: vec![w] });
    assert!(sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG + 100)).unwrap().0.starts_with('r'));
}

#[test]
fn a_cached_count_far_below_the_record_invalidates_older_records_of_that_worker() {
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
        "the older affinity record should be invalid"
    );
    assert_eq!(
        sent_to(&rig.submit("e", "s", IDEMPOTENT, LONG + 150)).unwrap().0,
        "w0",
        "the new affinity record should be valid"
    );
}

#[test]
fn requests_of_one_prefix_share_two_prefill_workers_on_every_router() {
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
fn of_two_prefill_workers_the_one_with_fewer_prefills_in_flight_is_chosen() {
    let workers =
        vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0), worker("w0", Role::Decode, 0)];
    let mut rig = Rig::new(settings(), workers);
    let first = sent_to(&rig.submit("a", "s", IDEMPOTENT, LONG)).unwrap().0;
    let second = sent_to(&rig.submit("b", "s", IDEMPOTENT, LONG)).unwrap().0;
    assert_ne!(first, second);
}

#[test]
fn the_decode_worker_that_reports_the_most_free_capacity_is_chosen() {
    let mut rig = Rig::new(settings(), fleet());
    let mut decode_workers = std::collections::BTreeSet::new();
    // Each decode worker has reported its load; w1 has the most free slots.
    for i in 0..30 {
        let id = format!("l{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let decode_worker = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        rig.advance(0.5);
        let used = if decode_worker == "w1" { 0.1 } else { 0.8 };
        let report = LoadReport { slot_utilization: Some(used), ..LoadReport::default() };
        rig.end_attempt_with_report(&id, 1, Outcome::Served, 0, Some(report));
        decode_workers.insert(decode_worker);
    }
    rig.submit("a", "new", IDEMPOTENT, LONG);
    assert_eq!(sent_to(&rig.end_attempt("a", 0, Outcome::Prefilled, 0)).unwrap().0, "w1");
    assert!(decode_workers.contains("w1"));
}

/// The workers that pull twenty prefilled requests, once decode and combined workers have reported these shares of
/// their KV memory in use.
fn pull_workers_at_load(decode_used: f64, combined_used: f64) -> std::collections::BTreeSet<String> {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let mut rig = Rig::new(settings(), workers);
    let mut pulled_by = std::collections::BTreeSet::new();
    for i in 0..60 {
        let id = format!("{i}");
        let mut at = sent_to(&rig.submit(&id, &id, IDEMPOTENT, LONG)).unwrap().0;
        let prefilled = at.starts_with('r');
        if prefilled {
            at = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        }
        if prefilled && i >= 40 {
            pulled_by.insert(at.clone());
        }
        let used = if at.starts_with('m') { combined_used } else { decode_used };
        let report = LoadReport { kv_utilization: Some(used), ..LoadReport::default() };
        rig.start_stream(&id, u32::from(prefilled));
        rig.end_attempt_with_report(&id, u32::from(prefilled), Outcome::Served, 0, Some(report));
        rig.advance(0.5);
    }
    pulled_by
}

#[test]
fn a_combined_worker_with_far_more_free_memory_than_any_decode_worker_pulls() {
    let pulled_by = pull_workers_at_load(0.95, 0.1);
    assert!(!pulled_by.is_empty() && pulled_by.iter().all(|w| w.starts_with('m')), "{pulled_by:?}");
}

#[test]
fn a_combined_worker_with_a_little_more_free_memory_than_the_decode_workers_does_not_pull() {
    let pulled_by = pull_workers_at_load(0.6, 0.1);
    assert!(!pulled_by.is_empty() && pulled_by.iter().all(|w| w.starts_with('w')), "{pulled_by:?}");
}

#[test]
fn without_reports_the_decode_worker_with_the_fewest_streams_is_chosen() {
    let mut rig = Rig::new(settings(), fleet());
    let mut count = std::collections::BTreeMap::new();
    for i in 0..9 {
        let id = format!("{i}");
        rig.submit(&id, &id, IDEMPOTENT, LONG);
        let decode_worker = sent_to(&rig.end_attempt(&id, 0, Outcome::Prefilled, 0)).unwrap().0;
        rig.start_stream(&id, 1);
        *count.entry(decode_worker).or_insert(0) += 1;
    }
    assert!(count.values().all(|n| (2..=4).contains(n)), "{count:?}");
}

#[test]
fn combined_workers_serve_their_share_of_requests_alone() {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let mut rig = Rig::new(settings(), workers);
    let to_combined = (0..16)
        .filter(|i| {
            sent_to(&rig.submit(&format!("{i}"), &format!("s{i}"), IDEMPOTENT, LONG))
                .unwrap()
                .0
                .starts_with('m')
        })
        .count();
    assert_eq!(to_combined, 4, "two of eight workers");
}

#[test]
fn a_prefix_too_hot_for_two_prefill_workers_spreads_to_more() {
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
fn a_very_long_prefill_counts_as_many() {
    let workers =
        vec![worker("r0", Role::Prefill, 0), worker("r1", Role::Prefill, 0), worker("w0", Role::Decode, 0)];
    let mut rig = Rig::new(settings(), workers);
    for i in 0..20 {
        rig.serve_request(&format!("l{i}"), &format!("l{i}"), LONG);
    }
    let long = sent_to(&rig.submit("long", "long", IDEMPOTENT, 10 * LONG)).unwrap().0;
    for i in 0..3 {
        let next = sent_to(&rig.submit(&format!("n{i}"), &format!("n{i}"), IDEMPOTENT, LONG)).unwrap().0;
        assert_ne!(next, long, "prefill {i} queues behind a prompt ten times as long");
    }
}

#[test]
fn slow_prefills_raise_the_share_of_combined_workers() {
    let mut workers = fleet();
    workers.extend((0..2).map(|i| worker(&format!("m{i}"), Role::Combined, i)));
    let share = |prefill_s: f64| {
        let mut rig = Rig::new(settings(), workers.clone());
        // Requests run two at a time, so that disaggregated and combined serving are both used. Prefills take
        // `prefill_s`, everything else 0.1 s.
        for i in 0..20 {
            let ids = [format!("l{i}"), format!("k{i}")];
            let firsts: Vec<_> =
                ids.iter().map(|id| sent_to(&rig.submit(id, id, IDEMPOTENT, LONG)).unwrap().0).collect();
            for (id, first) in ids.iter().zip(firsts) {
                let mut attempt = 0;
                if first.starts_with('r') {
                    rig.end_prefill_after(id, prefill_s);
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
