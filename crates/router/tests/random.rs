//! Random sequences of events for one core. Whatever its peers do, each request gets one answer in time, each attempt has
//! one outcome, a non-idempotent request is not sent again after it may have run, and no reservation stays open.

#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use common::day::*;
use common::default_workers;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), any::<bool>(), any::<bool>())
            .prop_map(|(non_idempotent, stream, long)| Step::SendRequest { non_idempotent, stream, long }),
        8 => (any::<usize>(), 0..8_u8).prop_map(|(index, kind)| Step::Reply { index, kind }),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(index, reset)| Step::LoseWorker { index, reset }),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(index, eof)| Step::LoseClient { index, eof }),
        1 => (1..4_u16, any::<bool>()).prop_map(|(port, refuse)| Step::RefuseConnections { port, refuse }),
        1 => (1..4_u16, 0..3_usize)
            .prop_map(|(port, state)| Step::ListChange { port, state: ["in", "draining", "out"][state] }),
        4 => (0..800_u64).prop_map(|millis| Step::Advance { millis }),
    ]
}

/// The seed is fixed: a test whose result changes from run to run proves nothing.
#[test]
fn random_event_sequences_satisfy_all_rules() {
    let config = Config { cases: 384, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let sequences = (prop::collection::vec(step(), 1..60), any::<bool>());
    let result = runner.run(&sequences, |(steps, discovery)| {
        let mut simulation = Simulation::new(common::config(), TIME_LIMITS, &default_workers(), discovery);
        for step in &steps {
            simulation.step(step);
        }
        simulation.finish();
        Ok(())
    });
    result.unwrap();
}
