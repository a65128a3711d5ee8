//! The five rules from outside the module: an onlooker that reads what the router is told and what it does, and knows
//! what a wire may legally say, nothing of how a server behaves.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{fleet, worker, Rig};
use chalkyard_policy::*;

#[derive(Debug, Clone)]
pub struct Out {
    pub worker: WorkerId,
    pub sent: Micros,
    /// None while it is out; then whether it may have run.
    pub ran: Option<bool>,
    pub streaming: bool,
}

#[derive(Debug, Clone)]
pub struct Asked {
    pub class: ClassId,
    pub deadline: Micros,
    pub tries: Vec<Out>,
    pub over: bool,
    /// A state is held; last verdict.
    pub held: bool,
    pub last: Micros,
}

#[derive(Debug, Clone)]
pub struct Audit {
    pub rig: Rig,
    /// What the router hears of an event: all of it, but where a test breaks a guard by a lie.
    pub hears: fn(Event) -> Option<Event>,
    pub set: Settings,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub stopped: BTreeSet<WorkerId>,
    pub asked: BTreeMap<RequestId, Asked>,
    pub timers: Vec<(Micros, TimerId)>,
    pub sends: VecDeque<(Micros, WorkerId)>,
    pub done: VecDeque<(Micros, WorkerId)>,
    pub next: u32,
    /// Attempts that the router has called back.
    pub called_back: BTreeSet<(RequestId, usize)>,
}

impl Audit {
    pub fn new(set: Settings) -> Self {
        let mut workers = fleet();
        workers.push(worker("m0", Role::Combined, 0));
        Self::of(set.clone(), set, workers)
    }

    /// With a fleet, and a router that is told other settings.
    pub fn of(set: Settings, told: Settings, workers: Vec<Worker>) -> Self {
        Self {
            rig: Rig::new(told, workers.clone()),
            hears: Some,
            set,
            workers: workers.into_iter().map(|w| (w.id.clone(), w)).collect(),
            stopped: BTreeSet::new(),
            asked: BTreeMap::new(),
            timers: Vec::new(),
            sends: VecDeque::new(),
            done: VecDeque::new(),
            next: 0,
            called_back: BTreeSet::new(),
        }
    }

    pub fn feed(&mut self, event: Event) {
        let Some(event) = (self.hears)(event) else { return };
        for a in self.rig.feed(event) {
            self.check(a);
        }
    }

    pub fn check(&mut self, action: Action) {
        let now = self.rig.now;
        match action {
            Action::Send { id, worker, timeout, .. } => {
                let w = &self.workers[&worker];
                assert!(!self.stopped.contains(&worker), "rule 3: {worker:?} drains or is gone");
                assert!(timeout.is_none_or(|g| g.0 > 0));
                let job = self.asked.get_mut(&id).expect("known");
                assert!(!job.over, "rule 1: sent after its end");
                assert!(job.tries.len() < self.set.max_attempts as usize);
                assert!(job.tries.iter().all(|t| t.ran.is_some()), "two at once");
                let effect = self.set.classes[job.class.0].retry_safety;
                for t in job.tries.iter().filter(|t| t.ran == Some(true)) {
                    match effect {
                        RetrySafety::Idempotent => {}
                        RetrySafety::NonIdempotent => panic!("rule 2: sent again"),
                        RetrySafety::Deduplicated(_) => {
                            let window = self.set.classes[job.class.0].dedup_window;
                            assert!(now < t.sent + window, "rule 2: window");
                            assert_eq!(self.workers[&t.worker].cell, w.cell, "rule 2: group");
                        }
                    }
                }
                job.tries.push(Out { worker: worker.clone(), sent: now, ran: None, streaming: false });
                if let Some(started) = w.started.filter(|s| now < *s + self.set.slow_start_duration) {
                    self.cold(&worker, started);
                }
                self.sends.push_back((now, worker));
            }
            Action::Reject { id, .. } => {
                let effect = self.set.classes[self.asked[&id].class.0].retry_safety;
                let job = self.end(&id);
                let clean = job.tries.iter().all(|t| t.ran == Some(false));
                assert!(
                    clean || matches!(effect, RetrySafety::Idempotent),
                    "rule 2: refused after it may have run"
                );
            }
            Action::Fail { id, .. } => {
                self.end(&id);
            }
            Action::ReleaseReservation(id) => self.asked.get_mut(&id).expect("known").held = false,
            Action::Cancel { id, attempt } => {
                assert!((attempt.0 as usize) < self.asked[&id].tries.len());
                self.called_back.insert((id, attempt.0 as usize));
            }
            Action::SetTimer { timer, after } => {
                assert!(after.0 > 0);
                self.timers.push((now + after, timer));
            }
            other => panic!("not asked for: {other:?}"),
        }
    }

    /// A final answer of ours: once, and in time.
    pub fn end(&mut self, id: &RequestId) -> &Asked {
        let job = self.asked.get_mut(id).expect("known");
        assert!(!job.over, "rule 1: answered twice");
        assert!(self.rig.now <= job.deadline + self.set.answer_slack, "rule 1: late");
        job.over = true;
        job
    }

    /// Rule 4: within the window no more than the multiple of what a warm peer was seen to do at
    /// full capacity; a first one is always allowed.
    pub fn cold(&self, worker: &WorkerId, started: Micros) {
        let since = self.rig.now - self.set.overload_window;
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
        let age = (self.rig.now - started).as_secs_f64() / self.set.slow_start_duration.as_secs_f64();
        let present =
            self.set.slow_start_initial_share + (1.0 - self.set.slow_start_initial_share) * age.min(1.0);
        let most = (best * self.set.overload_multiple * present).max(1.0);
        assert!(count(&self.sends, worker) < most, "rule 4: {} of {most}", count(&self.sends, worker));
    }

    /// Lets time pass, stopping wherever something falls due or would be late.
    pub fn pass(&mut self, span: Micros) {
        let until = self.rig.now + span;
        while let Some(at) = self.next_due().filter(|at| *at <= until) {
            self.rig.now = at;
            self.deliver();
        }
        self.rig.now = until;
        self.deliver();
    }

    /// When something falls due next: a timer, a deadline, or the moment at which a rule would be broken.
    pub fn next_due(&self) -> Option<Micros> {
        let now = self.rig.now;
        let late = |j: &Asked| {
            let answer = Some(j.deadline + self.set.answer_slack + Micros(1)).filter(|_| !j.over);
            let cut = Some(j.deadline).filter(|_| j.tries.iter().any(|t| t.ran.is_none() && !t.streaming));
            let pinned = Some(j.last + self.set.reservation_timeout + Micros(1)).filter(|_| Self::idle(j));
            [answer, cut, pinned]
        };
        let jobs = self.asked.values().flat_map(late).flatten();
        jobs.chain(self.timers.iter().map(|(at, _)| *at)).filter(|at| *at > now).min()
    }

    fn idle(j: &Asked) -> bool {
        j.held && j.tries.iter().all(|t| t.ran.is_some())
    }

    /// Timers and time-outs that are due, and whether anything is late.
    fn deliver(&mut self) {
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
            assert!(!Self::idle(j) || now <= j.last + self.set.reservation_timeout, "rule 5: {id:?} pinned");
        }
    }

    /// A request is asked.
    pub fn ask(&mut self, session: &str, class: ClassId, tokens: u64) {
        self.next += 1;
        let id = format!("{}", self.next);
        let request = self.rig.request(&id, session, class, tokens);
        let (deadline, last) = (request.deadline, self.rig.now);
        let asked = Asked { class, deadline, tries: vec![], over: false, held: false, last };
        self.asked.insert(request.id.clone(), asked);
        self.feed(Event::Request(request));
    }

    /// An answer begins; no final answer is owed once it streams.
    pub fn stream(&mut self, id: &RequestId, n: usize) {
        let job = self.asked.get_mut(id).expect("known");
        job.tries[n].streaming = true;
        job.held = false;
        if !std::mem::replace(&mut job.over, true) {
            let elapsed = self.rig.now - job.tries[n].sent;
            self.feed(Event::Streaming { id: id.clone(), attempt: AttemptNo(n as u32), elapsed });
        }
    }

    /// A client leaves.
    pub fn leave(&mut self, id: &RequestId) {
        self.asked.get_mut(id).expect("known").over = true;
        self.feed(Event::ClientGone(id.clone()));
    }

    /// The list tells of a worker's new place in its life; one that returns is a fresh start.
    pub fn change(&mut self, id: &WorkerId, to: Lifecycle) {
        let now = self.rig.now;
        let w = self.workers.get_mut(id).expect("known");
        w.lifecycle = to;
        if w.lifecycle == Lifecycle::Active && self.stopped.remove(id) {
            w.started = Some(now);
        } else if w.lifecycle != Lifecycle::Active {
            self.stopped.insert(id.clone());
        }
        let workers = vec![w.clone()];
        self.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers });
    }

    pub fn verdict(&mut self, id: &RequestId, n: usize, outcome: Outcome, over: bool) {
        let now = self.rig.now;
        let job = self.asked.get_mut(id).expect("known");
        let reader = self.workers[&job.tries[n].worker].role == Role::Prefill;
        job.tries[n].ran = Some(!reader && !outcome.proves_not_run());
        job.last = now;
        job.over |= over || outcome == Outcome::Served;
        match outcome {
            Outcome::Prefilled => job.held = true,
            Outcome::Rejected { no_state: true } => job.held = false,
            _ => {}
        }
        if matches!(outcome, Outcome::Served | Outcome::Prefilled) {
            self.done.push_back((now, job.tries[n].worker.clone()));
        }
        let over = job.over;
        let elapsed = now - job.tries[n].sent;
        self.feed(Event::AttemptOutcome {
            id: id.clone(),
            attempt: AttemptNo(n as u32),
            outcome,
            elapsed,
            request_ended: over,
            cached_tokens: 0,
            report: None,
        });
    }
}
