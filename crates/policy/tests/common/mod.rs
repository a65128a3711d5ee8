//! A hand-fed router: settings of an invented site, events in, actions out.
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

pub const FREE: ClassId = ClassId(0);
pub const SINGLE: ClassId = ClassId(1);
pub const GUARDED: ClassId = ClassId(2);

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

/// Three readers r0..r2 and three writers w0..w2 in two cells.
pub fn fleet() -> Vec<Worker> {
    let mut all = Vec::new();
    for i in 0..3 {
        all.push(worker(&format!("r{i}"), Role::Prefill, i % 2));
        all.push(worker(&format!("w{i}"), Role::Decode, i % 2));
    }
    all
}

/// One writer w0 and `n` readers r0.. beside it.
pub fn readers(n: usize) -> Vec<Worker> {
    let mut all = vec![worker("w0", Role::Decode, 0)];
    all.extend((0..n).map(|i| worker(&format!("r{i}"), Role::Prefill, 0)));
    all
}

#[derive(Debug, Clone)]
pub struct Rig {
    pub router: Router,
    pub now: Micros,
}

/// Where something was sent, with its time-out.
pub type Sent = (String, Option<Micros>);

impl Rig {
    pub fn new(settings: Settings, workers: Vec<Worker>) -> Self {
        let mut rig = Self { router: Router::new(settings, 7), now: secs(100.0) };
        rig.feed(Event::Endpoints { update: EndpointUpdate::Snapshot, workers });
        rig
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn wait(&mut self, s: f64) {
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

    pub fn ask(&mut self, id: &str, session: &str, class: ClassId, tokens: u64) -> Vec<Action> {
        let request = self.request(id, session, class, tokens);
        self.feed(Event::Request(request))
    }

    pub fn end(&mut self, id: &str, attempt: u32, outcome: Outcome, kept: u64) -> Vec<Action> {
        self.end_with(id, attempt, outcome, kept, None)
    }

    pub fn end_with(
        &mut self,
        id: &str,
        attempt: u32,
        outcome: Outcome,
        kept: u64,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let (id, attempt, elapsed) = (id.into(), AttemptNo(attempt), secs(0.1));
        let over = outcome == Outcome::Served;
        self.feed(Event::AttemptOutcome {
            id,
            attempt,
            outcome,
            elapsed,
            request_ended: over,
            cached_tokens: kept,
            report,
        })
    }

    /// The end of a first attempt that was a read of `s` seconds.
    pub fn parsed_after(&mut self, id: &str, s: f64) -> Vec<Action> {
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

    /// Plays a free request through its attempts, four at most, 20 ms each: reads end well, answers stream to their end,
    /// and the first attempt is turned away where that is told. `sent_to` hears of each as it is sent.
    pub fn play(
        &mut self,
        id: &str,
        tokens: u64,
        first_is_turned_away: bool,
        mut sent_to: impl FnMut(Micros, &str),
    ) {
        let mut next = sent(&self.ask(id, id, FREE, tokens));
        let mut attempt = 0;
        while let Some((to, _)) = next.take().filter(|_| attempt < 4) {
            sent_to(self.now, &to);
            self.wait(0.02);
            if first_is_turned_away && attempt == 0 {
                next = sent(&self.end(id, attempt, Outcome::Rejected { no_state: false }, 0));
            } else if to.starts_with('r') {
                next = sent(&self.end(id, attempt, Outcome::Prefilled, 0));
            } else {
                self.stream(id, attempt);
                self.end(id, attempt, Outcome::Served, 0);
            }
            attempt += 1;
        }
    }

    /// Fires timers, those set on the way too, until the actions are as wanted, `most` times at most.
    pub fn fire_until(&mut self, mut actions: Vec<Action>, most: u32, wanted: impl Fn(&[Action]) -> bool) {
        for _ in 0..most {
            if wanted(&actions) {
                return;
            }
            actions = self.fire(&actions);
        }
        unreachable!("never happened");
    }

    pub fn stream(&mut self, id: &str, attempt: u32) -> Vec<Action> {
        self.feed(Event::Streaming { id: id.into(), attempt: AttemptNo(attempt), elapsed: secs(0.1) })
    }

    /// Runs one request through reader and writer to its end; gives both workers.
    pub fn whole(&mut self, id: &str, session: &str, tokens: u64) -> (String, String) {
        let reader = sent(&self.ask(id, session, FREE, tokens)).unwrap().0;
        self.wait(0.1);
        let writer = sent(&self.end(id, 0, Outcome::Prefilled, 0)).unwrap().0;
        self.wait(0.1);
        self.stream(id, 1);
        self.wait(1.0);
        self.end(id, 1, Outcome::Served, 0);
        (reader, writer)
    }

    /// Fires the timers that the actions set, at their time; gives the actions of all of them.
    pub fn fire(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut out = Vec::new();
        for a in actions {
            if let Action::SetTimer { timer, after } = a {
                self.now = self.now + *after;
                out.extend(self.feed(Event::Timer(*timer)));
            }
        }
        out
    }
}

pub fn sent(actions: &[Action]) -> Option<Sent> {
    let mut all = actions.iter().filter_map(|a| match a {
        Action::Send { worker, timeout, .. } => Some((worker.0.to_string(), *timeout)),
        _ => None,
    });
    let first = all.next();
    assert!(all.next().is_none(), "more than one send: {actions:?}");
    first
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn let_go(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::ReleaseReservation(_)))
}
