//! The platform's dialect. Requests and streams are forwarded unchanged; the reply of a worker is classified by whether
//! it proves that the request was not processed.

use chalkyard_adapter::translate::NameIndex;
use chalkyard_policy as p;
use chalkyard_policy::{Micros, Outcome};
use chalkyard_proto::{encode, Head, StartLine};
use chalkyard_router::dialect::{
    Dialect, EndpointList, EndpointListError, ForwardedRequest, ParsedRequest, ReplyHead, ResponseObserver,
    Stage,
};
use serde::Deserialize;

use crate::response_observer::{self, StreamObserver};
use crate::{discovery, head};

/// Maximum time for which service discovery holds a long poll, in ms.
pub(crate) const LONG_POLL_MS: u64 = 2_000;

/// The platform's protocol, for the core of a router.
#[derive(Debug)]
pub struct Platform {
    names: NameIndex,
}

impl Platform {
    /// Creates the dialect from the names in the settings.
    pub fn new(names: NameIndex) -> Self {
        Self { names }
    }
}

/// The body of a reply to a prefill.
#[derive(Deserialize)]
struct PrefillReply {
    cached_tokens: u64,
}

fn invalid(status: u16, reason: String) -> ParsedRequest {
    ParsedRequest::Invalid { status, reason }
}

impl Dialect for Platform {
    fn parse_request(&self, arrived_at: Micros, head: &Head, body: Vec<u8>) -> ParsedRequest {
        let StartLine::Request { method, target } = &head.start else {
            return invalid(400, "not a request".into());
        };
        let path = target.split('?').next().unwrap_or_default();
        match (method.as_str(), path) {
            ("GET", "/up") => return ParsedRequest::HealthCheck,
            ("POST", "/v1/chat/completions") => {}
            (_, "/up" | "/v1/chat/completions") => return invalid(405, "no such method here".into()),
            _ => return invalid(404, "no such call".into()),
        }
        let request = head::parse_request(&self.names, arrived_at, head, body.len() as u64);
        match request.and_then(|request| Ok((request, head::parse_idempotency_key(head)?))) {
            Ok((request, idempotency_key)) => {
                let (method, target) = (method.clone(), target.clone());
                let forwarded = ForwardedRequest { method, target, idempotency_key, body };
                ParsedRequest::Inference(Box::new(request), forwarded)
            }
            Err(error) => invalid(400, error.to_string()),
        }
    }

    fn attempt_call(
        &self,
        request: &p::Request,
        forwarded: &ForwardedRequest,
        host: &str,
        timeout: Micros,
    ) -> Vec<u8> {
        let timeout = format!("{}u", timeout.0);
        let mut fields = vec![
            ("content-type", "application/json"),
            ("X-Request-ID", &*request.id.0),
            ("X-Timeout", timeout.as_str()),
        ];
        fields.extend(forwarded.idempotency_key.as_deref().map(|key| (head::IDEMPOTENCY_KEY, key)));
        encode::request(&forwarded.method, &forwarded.target, host, &fields, &forwarded.body)
    }

    fn parse_reply(&self, stage: Stage, head: &Head) -> ReplyHead {
        let StartLine::Response { status } = head.start else {
            return ReplyHead::Ended(Outcome::ServerError);
        };
        // Only this header proves that the request was not processed, whatever the status.
        let is_unprocessed =
            head.count("x-not-processed") == 1 && head.header("x-not-processed") == Some("1");
        let is_event_stream = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        match (status, stage) {
            (200, Stage::Decode) if is_event_stream => ReplyHead::Stream,
            (202, Stage::Prefill) => ReplyHead::Prefilled,
            (410, _) if is_unprocessed => ReplyHead::Ended(Outcome::Rejected { no_state: true }),
            (503 | 504, _) if is_unprocessed => ReplyHead::Ended(Outcome::Rejected { no_state: false }),
            _ => ReplyHead::Ended(Outcome::ServerError),
        }
    }

    fn load_report(&self, head: &Head) -> Option<p::LoadReport> {
        head.header("x-server-load").and_then(response_observer::parse_load_report)
    }

    fn cached_tokens(&self, body: &[u8]) -> u64 {
        serde_json::from_slice::<PrefillReply>(body).map_or(0, |reply| reply.cached_tokens)
    }

    fn response_observer(&self) -> Box<dyn ResponseObserver> {
        Box::<StreamObserver>::default()
    }

    fn release_call(&self, id: &p::RequestId, host: &str) -> Vec<u8> {
        encode::request("DELETE", &format!("/internal/reservations/{}", id.0), host, &[], &[])
    }

    fn list_call(&self, after: Option<u64>, long_poll: bool, host: &str) -> Vec<u8> {
        let wait_ms = if long_poll { LONG_POLL_MS } else { 0 };
        let target = match after {
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={wait_ms}"),
            None => "/discovery/hosts".into(),
        };
        encode::request("GET", &target, host, &[], &[])
    }

    fn parse_list(&self, body: &[u8]) -> Result<EndpointList, EndpointListError> {
        discovery::parse_list(&self.names, body)
    }
}
