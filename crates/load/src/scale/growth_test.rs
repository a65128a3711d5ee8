//! What should be flat or linear is, at small sizes and by counts and bytes: the same verdict every time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

use chalkyard_policy::Micros;

use super::figure::{Figure, Part};
use super::hollow::{Events, HollowRouter};
use super::parts::measure;
use super::size::Size;
use crate::ALLOCATOR;

const SIZES: [f64; 3] = [0.02, 0.04, 0.08];

/// A figure that doubles with the size may grow by this, and one that is flat by this.
const LINEAR: f64 = 2.3;
const FLAT: f64 = 1.3;

fn grows(values: &[f64], most: f64, what: &str) {
    for pair in values.windows(2) {
        assert!(pair[1] <= most * pair[0], "{what}: {values:?}");
    }
}

fn figure(part: Part, figure: Figure) -> Vec<f64> {
    let one = |fraction: &f64| {
        let values = measure(part, &Size::at(*fraction), 1, std::path::Path::new("-")).unwrap();
        values.into_iter().find(|v| v.figure == figure).expect("the part's figure").value
    };
    SIZES.iter().map(one).collect()
}

/// The allocator counts for the whole process: what is counted in bytes is in one test, one after the other.
#[test]
fn what_should_be_flat_is_flat_and_the_rest_grows_with_the_size_at_most() {
    state_grows_with_the_size_at_most_and_open_streams_cost_the_same();
    what_a_router_says_to_discovery_is_flat_and_a_list_is_linear();
}

fn state_grows_with_the_size_at_most_and_open_streams_cost_the_same() {
    let bytes = |fraction: &f64| {
        let before = ALLOCATOR.allocated();
        let mut router = HollowRouter::new(&Size::at(*fraction), 1, 1, Events::Ends).unwrap();
        let idle = ALLOCATOR.allocated() - before;
        router.run(Micros(4_000_000));
        let open = router.open_requests();
        assert!(open > 60, "requests are open: {open}");
        (idle as f64, (ALLOCATOR.allocated() - before - idle) as f64 / open as f64)
    };
    let measured: Vec<(f64, f64)> = SIZES.iter().map(bytes).collect();
    grows(&measured.iter().map(|m| m.0).collect::<Vec<_>>(), LINEAR, "a router's state");
    grows(&measured.iter().map(|m| m.1).collect::<Vec<_>>(), 1.6, "an open request");
    grows(&figure(Part::Configuration, Figure::FileBytes), LINEAR, "the file");
}

fn what_a_router_says_to_discovery_is_flat_and_a_list_is_linear() {
    grows(&figure(Part::Discovery, Figure::DiscoveryBytes), FLAT, "bytes to and from discovery");
    grows(&figure(Part::Discovery, Figure::ListBytes), LINEAR, "a whole list");
    let attempts = figure(Part::Worker, Figure::WorkerCalls);
    grows(&attempts, FLAT, "attempts at a worker");
    assert!(attempts[0] > 5.0, "hollow routers do ask: {attempts:?}");
}
