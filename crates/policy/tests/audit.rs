//! Random sequences of legal events, with the five rules of `common/audit.rs` checked after each event. The events
//! model no worker's behaviour. The seed is fixed.
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
    End { pick: u8, choice: u8, ended: bool },
    Stream { pick: u8 },
    Disconnect { pick: u8 },
    SetLifecycle { worker: u8, to: u8 },
}

/// Applies random operations to an audited router.
trait RandomRun {
    fn pick_open(&self, pick: u8, streaming: Option<bool>) -> Option<(RequestId, usize)>;
    fn step(&mut self, op: &Op);
    fn finish(&mut self);
}

impl RandomRun for Audit {
    fn pick_open(&self, pick: u8, streaming: Option<bool>) -> Option<(RequestId, usize)> {
        let open: Vec<_> = self
            .requests
            .iter()
            .flat_map(|(id, request)| {
                request.attempts.iter().enumerate().map(move |(n, attempt)| (id, n, attempt))
            })
            .filter(|(_, _, attempt)| {
                attempt.may_have_run.is_none() && streaming.is_none_or(|s| attempt.streaming == s)
            })
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
            Op::End { pick, choice, ended } => {
                let Some((id, n)) = self.pick_open(*pick, None) else { return };
                let attempt = &self.requests[&id].attempts[n];
                let is_prefill = self.workers[&attempt.worker].role == Role::Prefill;
                let outcome = match choice % 8 {
                    0..=2 if is_prefill => Outcome::Prefilled,
                    0..=2 if attempt.streaming => Outcome::Served,
                    0 => Outcome::Rejected { no_state: true },
                    1 => Outcome::Rejected { no_state: false },
                    2 | 3 => Outcome::ServerError,
                    4 if !attempt.streaming => Outcome::NoConnection,
                    5 if !attempt.streaming => Outcome::TimedOut,
                    6 if !attempt.streaming => Outcome::Cancelled,
                    _ => Outcome::ConnectionLost,
                };
                let ended = *ended && self.requests[&id].ended;
                self.end_attempt(&id, n, outcome, ended);
            }
            Op::Disconnect { pick } => {
                let open: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, request)| !request.ended)
                    .map(|(id, _)| id.clone())
                    .collect();
                let Some(id) = open.get(*pick as usize % open.len().max(1)) else { return };
                self.client_gone(id);
            }
            Op::SetLifecycle { worker, to } => {
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

    /// Ends open streams, then advances past every deadline and reservation timeout.
    fn finish(&mut self) {
        while let Some((id, n)) = self.pick_open(0, Some(true)) {
            self.end_attempt(&id, n, Outcome::Served, true);
        }
        self.advance(secs(7.0));
        for (id, request) in &self.requests {
            assert!(request.ended, "rule 1: {id:?} never got a final answer");
            assert!(!request.reserved, "rule 5: {id:?} still holds reserved state at the end");
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (1u16..400).prop_map(Op::Wait),
        6 => (any::<u8>(), any::<u8>(), 1u16..20_000)
            .prop_map(|(class, session, tokens)| Op::Submit { class, session, tokens }),
        8 => (any::<u8>(), any::<u8>(), any::<bool>())
            .prop_map(|(pick, choice, ended)| Op::End { pick, choice, ended }),
        4 => any::<u8>().prop_map(|pick| Op::Stream { pick }),
        1 => any::<u8>().prop_map(|pick| Op::Disconnect { pick }),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(worker, to)| Op::SetLifecycle { worker, to }),
    ]
}

fn run_audited(set: Settings, cases: u32) {
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
    run_audited(settings(), 200);
}

#[test]
fn random_runs_keep_the_rules_without_cancellation_and_without_local_prefill() {
    run_audited(Settings { may_cancel: false, self_prefill: false, ..settings() }, 200);
}
