//! Randomly generated legal runs, audited for the five rules from outside the module. The driver
//! knows what a wire may legally say, nothing of how a server behaves. Fixed seed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chalkyard_policy::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Op {
    Wait(u16),
    Ask { class: u8, session: u8, tokens: u16 },
    End { pick: u8, how: u8, over: bool },
    Stream { pick: u8 },
    Leave { pick: u8 },
    Change { worker: u8, to: u8 },
}

#[derive(Debug)]
struct Out {
    worker: WorkerId,
    sent: Micros,
    /// None while it is out; then whether it may have run.
    ran: Option<bool>,
    streaming: bool,
}

#[derive(Debug)]
struct Asked {
    class: ClassId,
    deadline: Micros,
    tries: Vec<Out>,
    over: bool,
    /// A state is held; last verdict.
    held: bool,
    last: Micros,
}

struct Audit {
    rig: Rig,
    set: Settings,
    workers: BTreeMap<WorkerId, Worker>,
    stopped: BTreeSet<WorkerId>,
    asked: BTreeMap<RequestId, Asked>,
    timers: Vec<(Micros, TimerId)>,
    sends: VecDeque<(Micros, WorkerId)>,
    done: VecDeque<(Micros, WorkerId)>,
    next: u32,
}

impl Audit {
    fn new(set: Settings) -> Self {
        let mut workers = fleet();
        workers.push(worker("m0", Role::Mixed, 0));
        Self {
            rig: Rig::new(set.clone(), workers.clone()),
            set,
            workers: workers.into_iter().map(|w| (w.id.clone(), w)).collect(),
            stopped: BTreeSet::new(),
            asked: BTreeMap::new(),
            timers: Vec::new(),
            sends: VecDeque::new(),
            done: VecDeque::new(),
            next: 0,
        }
    }

    fn feed(&mut self, event: Event) {
        let actions = self.rig.feed(event);
        for a in actions {
            self.check(a);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.rig.now;
        match action {
            Action::Send { id, worker, give_up } => {
                let w = &self.workers[&worker];
                assert!(!self.stopped.contains(&worker), "rule 3: {worker:?} drains or is gone");
                assert!(give_up.is_none_or(|g| g.0 > 0));
                let job = self.asked.get_mut(&id).expect("known");
                assert!(!job.over, "rule 1: sent after its end");
                assert!(job.tries.len() < self.set.max_attempts as usize);
                assert!(job.tries.iter().all(|t| t.ran.is_some()), "two at once");
                let effect = self.set.classes[job.class.0].effect;
                for t in job.tries.iter().filter(|t| t.ran == Some(true)) {
                    match effect {
                        Effect::Free => {}
                        Effect::SingleShot => panic!("rule 2: sent again"),
                        Effect::Guarded(_) => {
                            let window = self.set.classes[job.class.0].dedup_window;
                            assert!(now < t.sent + window, "rule 2: window");
                            assert_eq!(self.workers[&t.worker].cell, w.cell, "rule 2: group");
                        }
                    }
                }
                job.tries.push(Out { worker: worker.clone(), sent: now, ran: None, streaming: false });
                if let Some(started) = w.started.filter(|s| now < *s + self.set.cold_for) {
                    self.cold(&worker, started);
                }
                self.sends.push_back((now, worker));
            }
            Action::Refuse { id, .. } => {
                let effect = self.set.classes[self.asked[&id].class.0].effect;
                let job = self.end(&id);
                let clean = job.tries.iter().all(|t| t.ran == Some(false));
                assert!(clean || matches!(effect, Effect::Free), "rule 2: refused after it may have run");
            }
            Action::Fail(id) => {
                self.end(&id);
            }
            Action::LetGo(id) => self.asked.get_mut(&id).expect("known").held = false,
            Action::Cancel { id, attempt } => {
                assert!((attempt.0 as usize) < self.asked[&id].tries.len());
            }
            Action::SetTimer { timer, after } => {
                assert!(after.0 > 0);
                self.timers.push((now + after, timer));
            }
            other => panic!("not asked for: {other:?}"),
        }
    }

    /// A final answer of ours: once, and in time.
    fn end(&mut self, id: &RequestId) -> &Asked {
        let job = self.asked.get_mut(id).expect("known");
        assert!(!job.over, "rule 1: answered twice");
        assert!(self.rig.now <= job.deadline + self.set.answer_slack, "rule 1: late");
        job.over = true;
        job
    }

    /// Rule 4: within the window no more than the multiple of what a warm peer was seen to do at
    /// full capacity; a first one is always allowed.
    fn cold(&self, worker: &WorkerId, started: Micros) {
        let since = self.rig.now - self.set.fall_after;
        let count = |q: &VecDeque<(Micros, WorkerId)>, w: &WorkerId| {
            // What an earlier life of this worker got does not press on this one.
            let since = if w == worker { since.max(started) } else { since };
            q.iter().filter(|(at, of)| *at > since && of == w).count() as f64
        };
        let role = self.workers[worker].role;
        let peers: Vec<f64> = self
            .workers
            .values()
            .filter(|w| w.role == role && w.id != *worker)
            .map(|w| count(&self.done, &w.id))
            .collect();
        let best = peers.iter().copied().fold(0.0, f64::max);
        let age = (self.rig.now - started).as_secs_f64() / self.set.cold_for.as_secs_f64();
        let present = self.set.cold_from + (1.0 - self.set.cold_from) * age.min(1.0);
        let most = (best * self.set.fall_multiple * present).max(1.0);
        assert!(count(&self.sends, worker) < most, "rule 4: {} of {most}", count(&self.sends, worker));
    }

    /// Lets time pass in small steps, delivering what falls due.
    fn pass(&mut self, span: Micros) {
        let until = self.rig.now + span;
        while self.rig.now < until {
            self.rig.now = (self.rig.now + self.set.tick).min(until);
            let now = self.rig.now;
            let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|(at, _)| *at <= now);
            self.timers = later;
            let due: Vec<(Micros, TimerId)> = due;
            for (_, timer) in due {
                self.feed(Event::Timer(timer));
            }
            let late: Vec<_> = self
                .asked
                .iter()
                .filter(|(_, j)| now >= j.deadline)
                .flat_map(|(id, j)| {
                    let open = j.tries.iter().enumerate().filter(|(_, t)| t.ran.is_none() && !t.streaming);
                    open.map(|(n, _)| (id.clone(), n))
                })
                .collect();
            for (id, n) in late {
                self.verdict(&id, n, Outcome::TimedOut, false);
            }
            for (id, j) in &self.asked {
                assert!(j.over || now <= j.deadline + self.set.answer_slack, "rule 1: {id:?} unanswered");
                let idle = j.held && j.tries.iter().all(|t| t.ran.is_some());
                assert!(!idle || now <= j.last + self.set.release, "rule 5: {id:?} pinned");
            }
        }
    }

    fn verdict(&mut self, id: &RequestId, n: usize, outcome: Outcome, over: bool) {
        let now = self.rig.now;
        let job = self.asked.get_mut(id).expect("known");
        let reader = self.workers[&job.tries[n].worker].role == Role::Reader;
        job.tries[n].ran = Some(!reader && !outcome.proves_not_run());
        job.last = now;
        job.over |= over || outcome == Outcome::Served;
        match outcome {
            Outcome::Parsed => job.held = true,
            Outcome::Refused { no_state: true } => job.held = false,
            _ => {}
        }
        if matches!(outcome, Outcome::Served | Outcome::Parsed) {
            self.done.push_back((now, job.tries[n].worker.clone()));
        }
        let over = job.over;
        let elapsed = now - job.tries[n].sent;
        self.feed(Event::Verdict {
            id: id.clone(),
            attempt: AttemptNo(n as u32),
            outcome,
            elapsed,
            over,
            kept: 0,
            report: None,
        });
    }

    fn pick_open(&self, pick: u8, streaming: Option<bool>) -> Option<(RequestId, usize)> {
        let open: Vec<_> = self
            .asked
            .iter()
            .flat_map(|(id, j)| j.tries.iter().enumerate().map(move |(n, t)| (id, n, t)))
            .filter(|(_, _, t)| t.ran.is_none() && streaming.is_none_or(|s| t.streaming == s))
            .collect();
        let (id, n, _) = open.get(pick as usize % open.len().max(1))?;
        Some(((*id).clone(), *n))
    }

    fn step(&mut self, op: &Op) {
        match op {
            Op::Wait(ms) => self.pass(Micros(u64::from(*ms) * 1_000)),
            Op::Ask { class, session, tokens } => {
                self.next += 1;
                let id = format!("{}", self.next);
                let class = ClassId(*class as usize % self.set.classes.len());
                let request = self.rig.request(&id, &format!("s{}", session % 8), class, u64::from(*tokens));
                let (deadline, last) = (request.deadline, self.rig.now);
                let asked = Asked { class, deadline, tries: vec![], over: false, held: false, last };
                self.asked.insert(request.id.clone(), asked);
                self.feed(Event::Request(request));
            }
            Op::Stream { pick } => {
                let Some((id, n)) = self.pick_open(*pick, Some(false)) else { return };
                let t = &mut self.asked.get_mut(&id).expect("known").tries[n];
                if self.workers[&t.worker].role == Role::Reader {
                    return;
                }
                t.streaming = true;
                let elapsed = self.rig.now - t.sent;
                let job = self.asked.get_mut(&id).expect("known");
                job.held = false;
                if job.over {
                    return;
                }
                job.over = true; // No final answer is owed once it streams.
                self.feed(Event::Streaming { id, attempt: AttemptNo(n as u32), elapsed });
            }
            Op::End { pick, how, over } => {
                let Some((id, n)) = self.pick_open(*pick, None) else { return };
                let t = &self.asked[&id].tries[n];
                let reader = self.workers[&t.worker].role == Role::Reader;
                let outcome = match how % 8 {
                    0..=2 if reader => Outcome::Parsed,
                    0..=2 if t.streaming => Outcome::Served,
                    0 => Outcome::Refused { no_state: true },
                    1 => Outcome::Refused { no_state: false },
                    2 | 3 => Outcome::ServerError,
                    4 if !t.streaming => Outcome::NoConnection,
                    5 if !t.streaming => Outcome::TimedOut,
                    6 if !t.streaming => Outcome::Cancelled,
                    _ => Outcome::ConnectionLost,
                };
                let over = *over && self.asked[&id].over;
                self.verdict(&id, n, outcome, over);
            }
            Op::Leave { pick } => {
                let living: Vec<_> =
                    self.asked.iter().filter(|(_, j)| !j.over).map(|(id, _)| id.clone()).collect();
                let Some(id) = living.get(*pick as usize % living.len().max(1)) else { return };
                self.asked.get_mut(id).expect("known").over = true;
                self.feed(Event::ClientGone(id.clone()));
            }
            Op::Change { worker, to } => {
                let now = self.rig.now;
                let all: Vec<WorkerId> = self.workers.keys().cloned().collect();
                let id = all[*worker as usize % all.len()].clone();
                let w = self.workers.get_mut(&id).expect("known");
                w.lifecycle = match to % 4 {
                    0 => Lifecycle::Draining,
                    1 => Lifecycle::Out,
                    _ => Lifecycle::In,
                };
                if w.lifecycle == Lifecycle::In && self.stopped.remove(&id) {
                    w.started = Some(now);
                } else if w.lifecycle != Lifecycle::In {
                    self.stopped.insert(id);
                }
                let workers = vec![w.clone()];
                self.feed(Event::Workers { kind: ListKind::Changes, workers });
            }
        }
    }

    /// Ends what still streams and waits until nothing can be owed any more.
    fn finish(&mut self) {
        while let Some((id, n)) = self.pick_open(0, Some(true)) {
            self.verdict(&id, n, Outcome::Served, true);
        }
        self.pass(secs(7.0));
        for (id, j) in &self.asked {
            assert!(j.over, "rule 1: {id:?} never answered");
            assert!(!j.held, "rule 5: {id:?} pinned at the end");
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (1u16..400).prop_map(Op::Wait),
        6 => (any::<u8>(), any::<u8>(), 1u16..20_000)
            .prop_map(|(class, session, tokens)| Op::Ask { class, session, tokens }),
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
