//! An independent check of the five rules: it follows the events that a router is fed and the actions that it returns,
//! and asserts each rule after every step. It allows any sequence of events that is legal on the wire and models no
//! worker's behaviour.
//!
//! 1. Each request gets one final answer, by its deadline and `answer_slack` at the latest.
//! 2. An attempt that may have run is repeated, and its request rejected, only where its class allows that.
//! 3. Nothing is sent to a worker that is draining or removed.
//! 4. A worker in slow start is not sent more than the overload multiple of its share of what a warm peer completes.
//! 5. Reserved state is pulled or released within `reservation_timeout`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{fleet, worker, Rig};
use chalkyard_policy::*;

#[derive(Debug, Clone)]
pub struct TrackedAttempt {
    pub worker: WorkerId,
    pub sent: Micros,
    /// `None` while the attempt is open; after its end, whether it may have run.
    pub may_have_run: Option<bool>,
    pub streaming: bool,
}

#[derive(Debug, Clone)]
pub struct TrackedRequest {
    pub class: ClassId,
    pub deadline: Micros,
    pub attempts: Vec<TrackedAttempt>,
    pub ended: bool,
    /// A prefill worker reserves state for it.
    pub reserved: bool,
    /// When its last attempt ended, or its arrival.
    pub last_outcome_at: Micros,
}

#[derive(Debug, Clone)]
pub struct Audit {
    pub rig: Rig,
    /// Applied to each event before the router gets it; tests that provoke a violation change or drop events here.
    pub filter_event: fn(Event) -> Option<Event>,
    pub settings: Settings,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub unavailable: BTreeSet<WorkerId>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: Vec<(Micros, TimerId)>,
    pub sends: VecDeque<(Micros, WorkerId)>,
    pub completions: VecDeque<(Micros, WorkerId)>,
    pub last_id: u32,
    /// Attempts that the router has cancelled.
    pub cancelled: BTreeSet<(RequestId, usize)>,
}

impl Audit {
    pub fn new(settings: Settings) -> Self {
        let mut workers = fleet();
        workers.push(worker("m0", Role::Combined, 0));
        Self::with_fleet(settings.clone(), settings, workers)
    }

    /// Checks a router with `router_settings` against `settings`, with this fleet.
    pub fn with_fleet(settings: Settings, router_settings: Settings, workers: Vec<Worker>) -> Self {
        Self {
            rig: Rig::new(router_settings, workers.clone()),
            filter_event: Some,
            settings,
            workers: workers.into_iter().map(|w| (w.id.clone(), w)).collect(),
            unavailable: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            sends: VecDeque::new(),
            completions: VecDeque::new(),
            last_id: 0,
            cancelled: BTreeSet::new(),
        }
    }

    /// Feeds an event to the router and checks the actions that it returns.
    pub fn feed(&mut self, event: Event) {
        let Some(event) = (self.filter_event)(event) else { return };
        for a in self.rig.feed(event) {
            self.check(a);
        }
    }

    /// Checks one action and records it.
    pub fn check(&mut self, action: Action) {
        let now = self.rig.now;
        match action {
            Action::Send { id, worker, timeout, .. } => {
                let w = &self.workers[&worker];
                assert!(!self.unavailable.contains(&worker), "rule 3: {worker:?} is draining or removed");
                assert!(timeout.is_none_or(|g| g.0 > 0));
                let request = self.requests.get_mut(&id).expect("a known request");
                assert!(!request.ended, "rule 1: sent after the request ended");
                assert!(request.attempts.len() < self.settings.max_attempts as usize);
                assert!(
                    request.attempts.iter().all(|attempt| attempt.may_have_run.is_some()),
                    "two attempts open at once"
                );
                let retry_safety = self.settings.classes[request.class.0].retry_safety;
                for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run == Some(true)) {
                    match retry_safety {
                        RetrySafety::Idempotent => {}
                        RetrySafety::NonIdempotent => panic!("rule 2: a non-idempotent request was repeated"),
                        RetrySafety::Deduplicated(_) => {
                            let window = self.settings.classes[request.class.0].dedup_window;
                            assert!(
                                now < attempt.sent + window,
                                "rule 2: repeated after the deduplication window"
                            );
                            assert_eq!(
                                self.workers[&attempt.worker].cell, w.cell,
                                "rule 2: repeated outside the deduplication scope"
                            );
                        }
                    }
                }
                request.attempts.push(TrackedAttempt {
                    worker: worker.clone(),
                    sent: now,
                    may_have_run: None,
                    streaming: false,
                });
                if let Some(started) = w.started.filter(|s| now < *s + self.settings.slow_start_duration) {
                    self.check_slow_start(&worker, started);
                }
                self.sends.push_back((now, worker));
            }
            Action::Reject { id, .. } => {
                let retry_safety = self.settings.classes[self.requests[&id].class.0].retry_safety;
                let request = self.record_answer(&id);
                let none_ran = request.attempts.iter().all(|attempt| attempt.may_have_run == Some(false));
                assert!(
                    none_ran || matches!(retry_safety, RetrySafety::Idempotent),
                    "rule 2: rejected after an attempt may have run"
                );
            }
            Action::Fail { id, .. } => {
                self.record_answer(&id);
            }
            Action::ReleaseReservation(id) => {
                self.requests.get_mut(&id).expect("a known request").reserved = false
            }
            Action::Cancel { id, attempt } => {
                assert!((attempt.0 as usize) < self.requests[&id].attempts.len());
                self.cancelled.insert((id, attempt.0 as usize));
            }
            Action::SetTimer { timer, after } => {
                assert!(after.0 > 0);
                self.timers.push((now + after, timer));
            }
            other => panic!("unexpected action: {other:?}"),
        }
    }

    /// Records a final answer by the router: the only one, and in time.
    pub fn record_answer(&mut self, id: &RequestId) -> &TrackedRequest {
        let request = self.requests.get_mut(id).expect("a known request");
        assert!(!request.ended, "rule 1: answered twice");
        assert!(self.rig.now <= request.deadline + self.settings.answer_slack, "rule 1: late");
        request.ended = true;
        request
    }

    /// Rule 4: within the overload window a worker in slow start is sent less than the overload multiple of what its
    /// busiest peer completed, times its share of full capacity. One attempt is always allowed.
    pub fn check_slow_start(&self, worker: &WorkerId, started: Micros) {
        let since = self.rig.now - self.settings.overload_window;
        let count = |q: &VecDeque<(Micros, WorkerId)>, w: &WorkerId| {
            // Attempts sent before the worker's restart do not load the restarted process.
            let since = if w == worker { since.max(started) } else { since };
            q.iter().filter(|(at, of)| *at > since && of == w).count() as f64
        };
        let role = self.workers[worker].role;
        let peers: Vec<f64> = self
            .workers
            .values()
            .filter(|w| w.role == role && w.id != *worker)
            .map(|w| count(&self.completions, &w.id))
            .collect();
        let best_peer = peers.iter().copied().fold(0.0, f64::max);
        let age_share =
            (self.rig.now - started).as_secs_f64() / self.settings.slow_start_duration.as_secs_f64();
        let capacity_share = self.settings.slow_start_initial_share
            + (1.0 - self.settings.slow_start_initial_share) * age_share.min(1.0);
        let limit = (best_peer * self.settings.overload_multiple * capacity_share).max(1.0);
        assert!(
            count(&self.sends, worker) < limit,
            "rule 4: {} attempts sent, limit {limit}",
            count(&self.sends, worker)
        );
    }

    /// Advances the clock by `span`, stopping at each time that `next_due` names.
    pub fn advance(&mut self, span: Micros) {
        let until = self.rig.now + span;
        while let Some(at) = self.next_due().filter(|at| *at <= until) {
            self.rig.now = at;
            self.process_due();
        }
        self.rig.now = until;
        self.process_due();
    }

    /// The next time at which a timer or a deadline is due, or at which rule 1 or 5 would be broken.
    pub fn next_due(&self) -> Option<Micros> {
        let now = self.rig.now;
        let late = |request: &TrackedRequest| {
            let answer =
                Some(request.deadline + self.settings.answer_slack + Micros(1)).filter(|_| !request.ended);
            let timeout = Some(request.deadline).filter(|_| {
                request.attempts.iter().any(|attempt| attempt.may_have_run.is_none() && !attempt.streaming)
            });
            let release = Some(request.last_outcome_at + self.settings.reservation_timeout + Micros(1))
                .filter(|_| Self::holds_untaken_state(request));
            [answer, timeout, release]
        };
        let jobs = self.requests.values().flat_map(late).flatten();
        jobs.chain(self.timers.iter().map(|(at, _)| *at)).filter(|at| *at > now).min()
    }

    /// State is reserved for the request and no attempt is open that might pull it.
    fn holds_untaken_state(request: &TrackedRequest) -> bool {
        request.reserved && request.attempts.iter().all(|attempt| attempt.may_have_run.is_some())
    }

    /// Fires the timers that are due, times out attempts past their deadline, and checks rules 1 and 5.
    fn process_due(&mut self) {
        let now = self.rig.now;
        let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(Micros, TimerId)> = due;
        for (_, timer) in due {
            self.feed(Event::Timer(timer));
        }
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline)
            .flat_map(|(id, request)| {
                let open = request
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, attempt)| attempt.may_have_run.is_none() && !attempt.streaming);
                open.map(|(n, _)| (id.clone(), n))
            })
            .collect();
        for (id, n) in late {
            self.end_attempt(&id, n, Outcome::TimedOut, false);
        }
        for (id, request) in &self.requests {
            assert!(
                request.ended || now <= request.deadline + self.settings.answer_slack,
                "rule 1: {id:?} unanswered after its deadline"
            );
            assert!(
                !Self::holds_untaken_state(request)
                    || now <= request.last_outcome_at + self.settings.reservation_timeout,
                "rule 5: {id:?} still holds reserved state"
            );
        }
    }

    /// Feeds a new request.
    pub fn submit(&mut self, session: &str, class: ClassId, tokens: u64) {
        self.last_id += 1;
        let id = format!("{}", self.last_id);
        let request = self.rig.request(&id, session, class, tokens);
        let (deadline, last_outcome_at) = (request.deadline, self.rig.now);
        let requests = TrackedRequest {
            class,
            deadline,
            attempts: vec![],
            ended: false,
            reserved: false,
            last_outcome_at,
        };
        self.requests.insert(request.id.clone(), requests);
        self.feed(Event::Request(request));
    }

    /// Starts a response stream; no final answer is owed once it has begun.
    pub fn start_stream(&mut self, id: &RequestId, n: usize) {
        let request = self.requests.get_mut(id).expect("a known request");
        request.attempts[n].streaming = true;
        request.reserved = false;
        if !std::mem::replace(&mut request.ended, true) {
            let elapsed = self.rig.now - request.attempts[n].sent;
            self.feed(Event::Streaming { id: id.clone(), attempt: AttemptNo(n as u32), elapsed });
        }
    }

    /// The client disconnects.
    pub fn client_gone(&mut self, id: &RequestId) {
        self.requests.get_mut(id).expect("a known request").ended = true;
        self.feed(Event::ClientGone(id.clone()));
    }

    /// Feeds an endpoint list update with the worker's new lifecycle; a worker that returns has restarted now.
    pub fn set_lifecycle(&mut self, id: &WorkerId, to: Lifecycle) {
        let now = self.rig.now;
        let w = self.workers.get_mut(id).expect("a known worker");
        w.lifecycle = to;
        if w.lifecycle == Lifecycle::Active && self.unavailable.remove(id) {
            w.started = Some(now);
        } else if w.lifecycle != Lifecycle::Active {
            self.unavailable.insert(id.clone());
        }
        let workers = vec![w.clone()];
        self.feed(Event::Endpoints { update: EndpointUpdate::Delta, workers });
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, id: &RequestId, n: usize, outcome: Outcome, ended: bool) {
        let now = self.rig.now;
        let request = self.requests.get_mut(id).expect("a known request");
        let is_prefill = self.workers[&request.attempts[n].worker].role == Role::Prefill;
        request.attempts[n].may_have_run = Some(!is_prefill && !outcome.proves_not_run());
        request.last_outcome_at = now;
        request.ended |= ended || outcome == Outcome::Served;
        match outcome {
            Outcome::Prefilled => request.reserved = true,
            Outcome::Rejected { no_state: true } => request.reserved = false,
            _ => {}
        }
        if matches!(outcome, Outcome::Served | Outcome::Prefilled) {
            self.completions.push_back((now, request.attempts[n].worker.clone()));
        }
        let ended = request.ended;
        let elapsed = now - request.attempts[n].sent;
        self.feed(Event::AttemptOutcome {
            id: id.clone(),
            attempt: AttemptNo(n as u32),
            outcome,
            elapsed,
            request_ended: ended,
            cached_tokens: 0,
            report: None,
        });
    }
}
