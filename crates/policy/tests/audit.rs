//! Randomly generated legal runs, audited for the five rules from outside the module. The driver
//! knows what a wire may legally say, nothing of how a server behaves. Fixed seed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use chalkyard_policy::*;
use common::audit::Audit;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Op {
    Wait(u16),
    Submit { class: u8, session: u8, tokens: u16 },
    End { pick: u8, how: u8, over: bool },
    Stream { pick: u8 },
    Leave { pick: u8 },
    Change { worker: u8, to: u8 },
}

/// A random run.
trait Play {
    fn pick_open(&self, pick: u8, streaming: Option<bool>) -> Option<(RequestId, usize)>;
    fn step(&mut self, op: &Op);
    fn finish(&mut self);
}

impl Play for Audit {
    fn pick_open(&self, pick: u8, streaming: Option<bool>) -> Option<(RequestId, usize)> {
        let open: Vec<_> = self
            .requests
            .iter()
            .flat_map(|(id, j)| j.attempts.iter().enumerate().map(move |(n, t)| (id, n, t)))
            .filter(|(_, _, t)| t.may_have_run.is_none() && streaming.is_none_or(|s| t.streaming == s))
            .collect();
        let (id, n, _) = open.get(pick as usize % open.len().max(1))?;
        Some(((*id).clone(), *n))
    }

    fn step(&mut self, op: &Op) {
        match op {
            Op::Wait(ms) => self.advance(Micros(u64::from(*ms) * 1_000)),
            Op::Submit { class, session, tokens } => {
                let class = ClassId(*class as usize % self.settings.classes.len());
                self.submit(&format!("s{}", session % 8), class, u64::from(*tokens));
            }
            Op::Stream { pick } => {
                let Some((id, n)) = self.pick_open(*pick, Some(false)) else { return };
                if self.workers[&self.requests[&id].attempts[n].worker].role != Role::Prefill {
                    self.start_stream(&id, n);
                }
            }
            Op::End { pick, how, over } => {
                let Some((id, n)) = self.pick_open(*pick, None) else { return };
                let t = &self.requests[&id].attempts[n];
                let reader = self.workers[&t.worker].role == Role::Prefill;
                let outcome = match how % 8 {
                    0..=2 if reader => Outcome::Prefilled,
                    0..=2 if t.streaming => Outcome::Served,
                    0 => Outcome::Rejected { no_state: true },
                    1 => Outcome::Rejected { no_state: false },
                    2 | 3 => Outcome::ServerError,
                    4 if !t.streaming => Outcome::NoConnection,
                    5 if !t.streaming => Outcome::TimedOut,
                    6 if !t.streaming => Outcome::Cancelled,
                    _ => Outcome::ConnectionLost,
                };
                let over = *over && self.requests[&id].ended;
                self.end_attempt(&id, n, outcome, over);
            }
            Op::Leave { pick } => {
                let living: Vec<_> =
                    self.requests.iter().filter(|(_, j)| !j.ended).map(|(id, _)| id.clone()).collect();
                let Some(id) = living.get(*pick as usize % living.len().max(1)) else { return };
                self.client_gone(id);
            }
            Op::Change { worker, to } => {
                let all: Vec<WorkerId> = self.workers.keys().cloned().collect();
                let to = match to % 4 {
                    0 => Lifecycle::Draining,
                    1 => Lifecycle::Removed,
                    _ => Lifecycle::Active,
                };
                self.set_lifecycle(&all[*worker as usize % all.len()], to);
            }
        }
    }

    /// Ends what still streams and waits until nothing can be owed any more.
    fn finish(&mut self) {
        while let Some((id, n)) = self.pick_open(0, Some(true)) {
            self.end_attempt(&id, n, Outcome::Served, true);
        }
        self.advance(secs(7.0));
        for (id, j) in &self.requests {
            assert!(j.ended, "rule 1: {id:?} never answered");
            assert!(!j.reserved, "rule 5: {id:?} pinned at the end");
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (1u16..400).prop_map(Op::Wait),
        6 => (any::<u8>(), any::<u8>(), 1u16..20_000)
            .prop_map(|(class, session, tokens)| Op::Submit { class, session, tokens }),
        8 => (any::<u8>(), any::<u8>(), any::<bool>()).prop_map(|(pick, how, over)| Op::End { pick, how, over }),
        4 => any::<u8>().prop_map(|pick| Op::Stream { pick }),
        1 => any::<u8>().prop_map(|pick| Op::Leave { pick }),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(worker, to)| Op::Change { worker, to }),
    ]
}

fn audited(set: Settings, cases: u32) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&proptest::collection::vec(op(), 20..160), |ops| {
            let mut audit = Audit::new(set.clone());
            for op in &ops {
                audit.step(op);
            }
            audit.finish();
            Ok(())
        })
        .unwrap();
}

#[test]
fn random_runs_keep_the_rules() {
    audited(settings(), 200);
}

#[test]
fn random_runs_keep_the_rules_where_nothing_can_be_cancelled_and_writers_cannot_read() {
    audited(Settings { may_cancel: false, self_prefill: false, ..settings() }, 200);
}
