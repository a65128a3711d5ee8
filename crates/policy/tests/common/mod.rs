//! Test harness for the decision module: one router with the settings of an invented site, driven by events at a clock
//! that the test sets. Worker ids tell the role: `r` for prefill workers, `w` for decode workers, `m` for combined
//! ones.
#![allow(dead_code, clippy::unwrap_used, clippy::panic, missing_docs)]

pub mod audit;

use chalkyard_policy::*;

pub fn secs(s: f64) -> Micros {
    Micros::from_secs_f64(s)
}

pub fn settings() -> Settings {
    let class = |retry_safety| Class {
        latency_objective: secs(1.0),
        latency_objective_per_1000_tokens: secs(0.1),
        deadline: secs(6.0),
        retry_safety,
        dedup_window: secs(3.0),
    };
    Settings {
        routers: 2,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::NonIdempotent),
            class(RetrySafety::Deduplicated(DeduplicationScope::Cell)),
        ],
        tenants: vec![Tenant { allowance_per_s: Some(10.0) }, Tenant { allowance_per_s: None }],
        discovery: Discovery::Push,
        max_poll_interval: secs(10.0),
        self_prefill: true,
        resume: false,
        reservation_timeout: secs(0.5),
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: secs(1.0),
        overload_multiple: 3.0,
        overload_window: secs(2.0),
        slow_start_initial_share: 0.25,
        slow_start_duration: secs(10.0),
        answer_slack: secs(0.01),
        tick: secs(0.002),
        weighted: false,
        load_reporting: LoadReporting::InResponses,
    }
}

/// Positions of the classes in [`settings`], named for their retry safety.
pub const IDEMPOTENT: ClassId = ClassId(0);
pub const NON_IDEMPOTENT: ClassId = ClassId(1);
pub const DEDUPLICATED: ClassId = ClassId(2);

pub fn worker(id: &str, role: Role, cell: u64) -> Worker {
    Worker {
        id: id.into(),
        zone: Some(ZoneId(0)),
        cell: CellId(cell),
        role,
        kv_tokens: Some(100_000),
        lifecycle: Lifecycle::Active,
        weight: 1.0,
        started: None,
    }
}

/// Three prefill workers r0..r2 and three decode workers w0..w2 in two cells.
pub fn fleet() -> Vec<Worker> {
    let mut workers = Vec::new();
    for i in 0..3 {
        workers.push(worker(&format!("r{i}"), Role::Prefill, i % 2));
        workers.push(worker(&format!("w{i}"), Role::Decode, i % 2));
    }
    workers
}

/// One decode worker w0 and `n` prefill workers r0.., all in one cell.
pub fn fleet_with_prefill(n: usize) -> Vec<Worker> {
    let mut workers = vec![worker("w0", Role::Decode, 0)];
    workers.extend((0..n).map(|i| worker(&format!("r{i}"), Role::Prefill, 0)));
    workers
}

/// A router and the time at which it is fed its next event.
#[derive(Debug, Clone)]
pub struct Rig {
    pub router: Router,
    pub now: Micros,
}

/// The worker that an attempt was sent to, and its timeout.
pub type SentTo = (String, Option<Micros>);

impl Rig {
    pub fn new(settings: Settings, workers: Vec<Worker>) -> Self {
        let mut rig = Self { router: Router::new(settings, 7), now: secs(100.0) };
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
        rig
    }

    /// Feeds an event at the present time.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn advance(&mut self, s: f64) {
        self.now = self.now + secs(s);
    }

    pub fn request(&self, id: &str, session: &str, class: ClassId, tokens: u64) -> Request {
        Request {
            id: id.into(),
            class,
            tenant: None,
            session: Some(session.into()),
            prefix: None,
            prompt_tokens: tokens,
            max_output_tokens: 200,
            deadline: self.now + secs(5.0),
            resumed: false,
        }
    }

    /// Feeds a new request without a prefix or a tenant.
    pub fn submit(&mut self, id: &str, session: &str, class: ClassId, tokens: u64) -> Vec<Action> {
        let request = self.request(id, session, class, tokens);
        self.feed(Event::Request(request))
    }

    /// Ends an attempt after 0.1 s, without a load report. `Served` ends its request too.
    pub fn end_attempt(&mut self, id: &str, attempt: u32, outcome: Outcome, cached: u64) -> Vec<Action> {
        self.end_attempt_with_report(id, attempt, outcome, cached, None)
    }

    pub fn end_attempt_with_report(
        &mut self,
        id: &str,
        attempt: u32,
        outcome: Outcome,
        cached: u64,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let (id, attempt, elapsed) = (id.into(), AttemptNo(attempt), secs(0.1));
        let ended = outcome == Outcome::Served;
        self.feed(Event::AttemptOutcome {
            id,
            attempt,
            outcome,
            elapsed,
            request_ended: ended,
            cached_tokens: cached,
            report,
        })
    }

    /// Ends the first attempt of a request as a prefill that took `s` seconds.
    pub fn end_prefill_after(&mut self, id: &str, s: f64) -> Vec<Action> {
        let (id, attempt, elapsed) = (id.into(), AttemptNo(0), secs(s));
        let outcome = Outcome::Prefilled;
        self.feed(Event::AttemptOutcome {
            id,
            attempt,
            outcome,
            elapsed,
            request_ended: false,
            cached_tokens: 0,
            report: None,
        })
    }

    /// Runs an idempotent request through at most four attempts of 20 ms each: prefills succeed, responses stream to
    /// their end, and the first attempt is rejected if `reject_first` is set. `on_send` is called with the time and
    /// the worker of each attempt.
    pub fn run_request(
        &mut self,
        id: &str,
        tokens: u64,
        reject_first: bool,
        mut on_send: impl FnMut(Micros, &str),
    ) {
        let mut next_send = sent_to(&self.submit(id, id, IDEMPOTENT, tokens));
        let mut attempt = 0;
        while let Some((to, _)) = next_send.take().filter(|_| attempt < 4) {
            on_send(self.now, &to);
            self.advance(0.02);
            if reject_first && attempt == 0 {
                next_send = sent_to(&self.end_attempt(id, attempt, Outcome::Rejected { no_state: false }, 0));
            } else if to.starts_with('r') {
                next_send = sent_to(&self.end_attempt(id, attempt, Outcome::Prefilled, 0));
            } else {
                self.start_stream(id, attempt);
                self.end_attempt(id, attempt, Outcome::Served, 0);
            }
            attempt += 1;
        }
    }

    /// Fires the timers that the actions set, and those set in turn, until `is_done` holds of the actions. Panics after
    /// `max_rounds` rounds.
    pub fn fire_timers_until(
        &mut self,
        mut actions: Vec<Action>,
        max_rounds: u32,
        is_done: impl Fn(&[Action]) -> bool,
    ) {
        for _ in 0..max_rounds {
            if is_done(&actions) {
                return;
            }
            actions = self.fire_timers(&actions);
        }
        unreachable!("condition not met after {max_rounds} rounds of timers");
    }

    /// Starts the response of an attempt, 0.1 s after it was sent.
    pub fn start_stream(&mut self, id: &str, attempt: u32) -> Vec<Action> {
        self.feed(Event::Streaming { id: id.into(), attempt: AttemptNo(attempt), elapsed: secs(0.1) })
    }

    /// Runs one request through a prefill and a decode worker to its end; returns both workers.
    pub fn serve_request(&mut self, id: &str, session: &str, tokens: u64) -> (String, String) {
        let prefill_worker = sent_to(&self.submit(id, session, IDEMPOTENT, tokens)).unwrap().0;
        self.advance(0.1);
        let decode_worker = sent_to(&self.end_attempt(id, 0, Outcome::Prefilled, 0)).unwrap().0;
        self.advance(0.1);
        self.start_stream(id, 1);
        self.advance(1.0);
        self.end_attempt(id, 1, Outcome::Served, 0);
        (prefill_worker, decode_worker)
    }

    /// Fires the timers that the actions set, each at its time; returns the actions that follow.
    pub fn fire_timers(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut out = Vec::new();
        for action in actions {
            if let Action::SetTimer { timer, after } = action {
                self.now = self.now + *after;
                out.extend(self.feed(Event::Timer(*timer)));
            }
        }
        out
    }
}

/// The attempt that the actions send, if there is one; panics if there are several.
pub fn sent_to(actions: &[Action]) -> Option<SentTo> {
    let mut workers = actions.iter().filter_map(|action| match action {
        Action::Send { worker, timeout, .. } => Some((worker.0.to_string(), *timeout)),
        _ => None,
    });
    let first = workers.next();
    assert!(workers.next().is_none(), "more than one attempt sent: {actions:?}");
    first
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

pub fn released(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::ReleaseReservation(_)))
}
