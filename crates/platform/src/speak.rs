//! The dialect: requests and streams pass through, engines' answers are read by what they prove.

use chalkyard_adapter::translate::Names;
use chalkyard_policy as p;
use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::{encode, Head, Start};
use chalkyard_router::dialect::{Beside, Dialect, Heard, List, Passed, Stage, Told};
use serde::Deserialize;

use crate::beside::{self, Lines};
use crate::{discovery, head};

/// Discovery is asked to wait so long for news.
pub(crate) const WATCH_MS: u64 = 2_000;

/// How a router speaks on the platform.
#[derive(Debug)]
pub struct Platform {
    names: Names,
}

impl Platform {
    /// By the names in the settings.
    pub fn new(names: Names) -> Self {
        Self { names }
    }
}

#[derive(Deserialize)]
struct Kept {
    cached_tokens: u64,
}

impl Dialect for Platform {
    fn hear(&self, arrived: Micros, head: &Head, body: Vec<u8>) -> Heard {
        let Start::Request { method, target } = &head.start else {
            return Heard::Wrong(400, "not a request".into());
        };
        let path = target.split('?').next().unwrap_or_default();
        match (method.as_str(), path) {
            ("GET", "/up") => return Heard::Ready,
            ("POST", "/v1/chat/completions") => {}
            (_, "/up" | "/v1/chat/completions") => return Heard::Wrong(405, "no such method here".into()),
            _ => return Heard::Wrong(404, "no such call".into()),
        }
        let request = head::request(&self.names, arrived, head, body.len() as u64);
        match request.and_then(|request| Ok((request, head::idempotency_key(head)?))) {
            Ok((request, idempotency_key)) => {
                let (method, target) = (method.clone(), target.clone());
                Heard::Call(Box::new(request), Passed { method, target, idempotency_key, body })
            }
            Err(why) => Heard::Wrong(400, why),
        }
    }

    fn attempt(&self, request: &p::Request, passed: &Passed, host: &str, wait: Micros) -> Vec<u8> {
        let wait = format!("{}u", wait.0);
        let mut fields = vec![
            ("content-type", "application/json"),
            ("X-Request-ID", &*request.id.0),
            ("X-Timeout", wait.as_str()),
        ];
        fields.extend(passed.idempotency_key.as_deref().map(|key| (head::IDEMPOTENCY_KEY, key)));
        encode::request(&passed.method, &passed.target, host, &fields, &passed.body)
    }

    fn told(&self, stage: Stage, head: &Head) -> Told {
        let Start::Response { status } = head.start else { return Told::Over(Outcome::ServerError) };
        // Only this mark proves that nothing ran, whatever the status.
        let not_run = head.count("x-not-processed") == 1 && head.header("x-not-processed") == Some("1");
        let events = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        match (status, stage) {
            (200, Stage::Write) if events => Told::Stream,
            (202, Stage::Read) => Told::Read,
            (410, _) if not_run => Told::Over(Outcome::Rejected { no_state: true }),
            (503 | 504, _) if not_run => Told::Over(Outcome::Rejected { no_state: false }),
            _ => Told::Over(Outcome::ServerError),
        }
    }

    fn report(&self, head: &Head) -> Option<p::LoadReport> {
        head.header("x-server-load").and_then(beside::report)
    }

    fn kept(&self, body: &[u8]) -> u64 {
        serde_json::from_slice::<Kept>(body).map_or(0, |kept| kept.cached_tokens)
    }

    fn beside(&self) -> Box<dyn Beside> {
        Box::<Lines>::default()
    }

    fn release(&self, id: &p::RequestId, host: &str) -> Vec<u8> {
        encode::request("DELETE", &format!("/internal/reservations/{}", id.0), host, &[], &[])
    }

    fn watch(&self, after: Option<u64>, waits: bool, host: &str) -> Vec<u8> {
        let wait = if waits { WATCH_MS } else { 0 };
        let target = match after {
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={wait}"),
            None => "/discovery/hosts".into(),
        };
        encode::request("GET", &target, host, &[], &[])
    }

    fn list(&self, body: &[u8]) -> Result<List, String> {
        discovery::list(&self.names, body)
    }
}
