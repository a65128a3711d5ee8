//! What a test saw on its sockets, as the record that the project's own audit judges.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use chalkyard_rehearsal::record::{Answer, AttemptEnd, Class, Event, Line, RetrySafety, RuleLimits, Stage};
use chalkyard_rehearsal::{audit, Report};

use crate::peers::{Answering, Call};

const ROUTER: &str = "n1";

/// The traffic of one router, from the clients' and the workers' side.
pub struct Traffic {
    begun: Instant,
    lines: Mutex<Vec<Line>>,
}

impl Traffic {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Mutex::default() }
    }

    fn add(&self, at: Instant, event: Event) {
        let t = at.saturating_duration_since(self.begun).as_micros() as u64;
        self.lines.lock().unwrap().push(Line { t, event });
    }

    /// A client begins to send a request, for which it will wait so long.
    pub fn asks(&self, number: u64, id: &str, class: &str, timeout: Duration) {
        let now = Instant::now();
        let deadline = (now + timeout).saturating_duration_since(self.begun).as_micros() as u64;
        self.add(
            now,
            Event::Request {
                number,
                identity: id.into(),
                router: ROUTER.into(),
                class: class.into(),
                tenant: String::new(),
                prompt: 20,
                deadline,
            },
        );
    }

    /// A client has gone.
    pub fn leaves(&self, number: u64, at: Instant) {
        self.add(at, Event::ClientLeft { number });
    }

    /// A client's connection has ended with no answer.
    pub fn loses(&self, number: u64) {
        self.add(Instant::now(), Event::ConnectionLost { number });
    }

    /// A client has its answer, whose head begins so.
    pub fn gets(&self, number: u64, answer: &str) {
        let how = match answer.split(' ').nth(1) {
            Some("200") if answer.ends_with("0\r\n\r\n") => Answer::Served,
            Some("200") => Answer::Broken,
            Some("429" | "503") => Answer::Rejected,
            Some(_) => Answer::Failed,
            None => return self.loses(number),
        };
        self.add(Instant::now(), Event::Answer { number, how, may_have_run: false, tokens: 2 });
    }

    /// Judges all of it, with what these workers were called for.
    pub fn judge(&self, workers: &[&Answering]) -> Report {
        self.judge_each(workers.iter().map(|w| w.calls()).collect())
    }

    /// The same for one worker, with its calls.
    pub fn judge_calls(&self, calls: Vec<Call>) -> Report {
        self.judge_each(vec![calls])
    }

    fn judge_each(&self, workers: Vec<Vec<Call>>) -> Report {
        let class = |name: &str, effect| Class {
            name: name.into(),
            retry_safety: effect,
            deduplication_window_us: 0,
            latency_objective_us: 1_000_000,
            latency_objective_per_1000_us: 0,
            token_objective_us: 1_000_000,
            priority_weight: 1.0,
            deadline_us: 5_000_000,
        };
        let limits = RuleLimits {
            slack_us: 50_000,
            release_us: 1_000_000,
            grace_us: 250_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            cold_from: 0.3,
            cold_us: 8_000_000,
            noise_us: 300_000,
        };
        let day = Event::Scenario {
            name: "strict terms".into(),
            seed: 0,
            routers: vec![ROUTER.into()],
            classes: vec![class("chat", RetrySafety::Idempotent), class("once", RetrySafety::NonIdempotent)],
            limits,
        };
        let mut lines = vec![Line { t: 0, event: day }];
        let mut attempt = 0;
        for (n, calls) in workers.into_iter().enumerate() {
            let engine = format!("m{n}");
            let (router, state) = (ROUTER.to_owned(), "in".to_owned());
            let there =
                Event::Engine { engine: engine.clone(), role: "mixed".into(), cell: 1, capacity_per_s: 1e3 };
            lines.push(Line { t: 0, event: there });
            lines.push(Line {
                t: 0,
                event: Event::Notified { router, engine: engine.clone(), state, started: 0 },
            });
            for call in calls.into_iter().filter(|c| c.method == "POST") {
                let t = call.at.saturating_duration_since(self.begun).as_micros() as u64;
                let event = Event::AttemptArrived {
                    attempt,
                    engine: engine.clone(),
                    router: ROUTER.into(),
                    request: call.id.clone(),
                    identity: call.id,
                    class: "chat".into(),
                    stage: Stage::Combined,
                    timeout_us: call.timeout.map(|told| told.as_micros() as u64),
                };
                lines.push(Line { t, event });
                lines.push(Line { t, event: Event::AttemptEnded { attempt, how: AttemptEnd::Rejected } });
                attempt += 1;
            }
        }
        lines.append(&mut self.lines.lock().unwrap().clone());
        lines.sort_by_key(|line| line.t);
        audit(&chalkyard_rehearsal::record::text(&lines)).unwrap()
    }
}
