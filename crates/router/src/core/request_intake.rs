//! Intake of complete client requests, which are checked, and accepted or answered before anything has run.

use chalkyard_api::client::{self, ErrorBody, ErrorKind, MessagesRequest, RequestError};
use chalkyard_api::engine;
use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, Head, StartLine};

use super::active_request::{ActiveRequest, ClientCall};
use super::client_answers::error;
use super::client_connection::{ClientConnection, ClientPhase};
use super::drain::stopping_error;
use super::record::RequestRecord;
use super::{ConnId, Core, FinishedOutput, Output, TimerEvent};
use crate::dialect::ParsedRequest;
use crate::identity::{IdentityError, RequestIdentity};

/// Answer to a request that is not accepted. Nothing of the request has run.
#[derive(Debug)]
pub(super) struct Rejection {
    pub(super) status: u16,
    pub(super) body: ErrorBody,
}

impl Rejection {
    fn new(status: u16, kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self { status, body: error(kind, reason) }
    }

    fn stopping() -> Self {
        Self { status: 503, body: stopping_error() }
    }

    fn too_many_open() -> Self {
        Self::new(503, ErrorKind::Refused, "too many open requests")
    }
}

/// Rejects a request with an invalid field.
impl From<RequestError> for Rejection {
    fn from(cause: RequestError) -> Self {
        let body = ErrorBody { field: Some(cause.field), ..error(ErrorKind::Invalid, cause.reason) };
        Self { status: cause.status, body }
    }
}

/// Rejects a request whose idempotency key is known already or cannot be stored.
impl From<IdentityError> for Rejection {
    fn from(cause: IdentityError) -> Self {
        match cause {
            IdentityError::StillOpen | IdentityError::MayHaveRun => {
                let body = ErrorBody { may_have_run: true, ..error(ErrorKind::Duplicate, cause.to_string()) };
                Self { status: 409, body }
            }
            IdentityError::TableFull => Self::new(503, ErrorKind::Refused, cause.to_string()),
        }
    }
}

/// Whether a call is a health check. Returns an error if it is neither a health check nor a request to be served.
fn is_health_check(head: &Head) -> Result<bool, Rejection> {
    let StartLine::Request { method, target } = &head.start else {
        return Err(Rejection::new(400, ErrorKind::Invalid, "not a request"));
    };
    match (method.as_str(), target.as_str()) {
        ("POST", "/v1/messages") => Ok(false),
        ("GET", "/health") => Ok(true),
        (_, "/v1/messages") => Err(Rejection::new(405, ErrorKind::Invalid, "only POST")),
        _ => Err(Rejection::new(404, ErrorKind::Invalid, "no such call; try POST /v1/messages")),
    }
}

fn check_content_type(head: &Head) -> Result<(), Rejection> {
    let content_type = head.header("content-type").unwrap_or("application/json");
    let media_type = content_type.split(';').next().unwrap_or_default();
    if media_type.trim().eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(Rejection::new(415, ErrorKind::Invalid, "content-type must be application/json"))
}

fn idempotency_key(head: &Head) -> Result<Option<String>, RequestError> {
    if head.count("idempotency-key") > 1 {
        return Err(RequestError::new("Idempotency-Key", "more than one"));
    }
    head.header("idempotency-key").map(client::parse_idempotency_key).transpose()
}

impl Core {
    /// Accepts a complete request, or answers it before anything has run.
    pub(super) fn request_received(&mut self, conn: ConnId, head: &Head, body: Vec<u8>) {
        let checked = match self.config.dialect.clone() {
            Some(dialect) => {
                let arrived_at = self.clients.get(&conn).map_or(self.now, |c| c.phase_since);
                let parsed = dialect.parse_request(arrived_at, head, body);
                self.check_parsed(conn, parsed)
            }
            None => self.check_messages_call(conn, head, &body),
        };
        match checked {
            Ok(Some(request)) => self.accept_request(conn, request),
            Ok(None) => {
                let keep_alive = self.announce_keep_alive(conn);
                self.write_client(conn, encode::response(200, &[], b"ok\n", keep_alive));
                self.finish_answer(conn);
            }
            Err(Rejection { status, body }) => {
                let id = head.header(engine::REQUEST_ID_HEADER).unwrap_or_default().to_owned();
                let record = RequestRecord::rejected_at_intake(id, self.now, body.reason.clone());
                self.outputs.push(Output::Finished(Box::new(FinishedOutput(record))));
                self.answer_error(conn, status, &body);
            }
        }
    }

    /// Accepts a request. From now on it is owed exactly one final answer.
    fn accept_request(&mut self, conn: ConnId, mut request: ActiveRequest) {
        let spec = request.spec.clone();
        let id = spec.id.clone();
        if let Some(client) = self.clients.get_mut(&conn) {
            client.phase = ClientPhase::Serving(id.clone());
            if let Some(key) = client.timer.take() {
                self.timers.cancel(key);
            }
        }
        self.counters.requests += 1;
        self.body_bytes += request.body_bytes();
        let overdue = spec.deadline + self.config.policy.answer_slack;
        request.answer_timer = Some(self.timers.set(overdue, TimerEvent::Answer(id.clone())));
        self.requests.insert(id, request);
        self.events.push_back(Event::Request(spec));
    }

    /// Checks what only the core knows about a dialect's request: open request ids and bounds. Returns `None` for a
    /// health check.
    fn check_parsed(
        &mut self,
        conn: ConnId,
        parsed: ParsedRequest,
    ) -> Result<Option<ActiveRequest>, Rejection> {
        let (mut spec, forwarded) = match parsed {
            ParsedRequest::HealthCheck if self.is_draining() || self.shutdown_since.is_some() => {
                return Err(Rejection::stopping())
            }
            ParsedRequest::HealthCheck => return Ok(None),
            ParsedRequest::Invalid { status, reason } => {
                return Err(Rejection::new(status, ErrorKind::Invalid, reason))
            }
            ParsedRequest::Inference(spec, forwarded) => (*spec, forwarded),
        };
        let is_late = self.clients.get(&conn).is_some_and(ClientConnection::has_late_request);
        if self.stopping || is_late {
            return Err(Rejection::stopping());
        }
        // A request accepted during the graceful shutdown is answered before the process ends.
        if let Some((since, migration)) = self.shutdown_since.zip(self.config.timeouts.migration) {
            spec.deadline = spec.deadline.min(since + migration.until);
        }
        if self.requests.contains_key(&spec.id) {
            let reason = "a request under this id is open here";
            return Err(Rejection::new(409, ErrorKind::Duplicate, reason));
        }
        if self.requests.len() >= self.config.bounds.open_requests {
            return Err(Rejection::too_many_open());
        }
        let identity = self.begin_identity(&spec)?;
        Ok(Some(ActiveRequest::new(conn, spec, ClientCall::Forwarded(forwarded), identity, self.now)))
    }

    /// Registers the id of a dialect's request that must not run twice, because its client may send it again after it
    /// has left. Ids are unique among all tenants. Returns `None` for an idempotent request.
    fn begin_identity(&mut self, spec: &p::Request) -> Result<Option<RequestIdentity>, Rejection> {
        if !self.must_run_once(spec.class) {
            return Ok(None);
        }
        let identity = RequestIdentity { tenant: None, key: spec.id.0.to_string() };
        self.identities.begin(self.now, &identity)?;
        Ok(Some(identity))
    }

    /// Checks a request in the router's own API. An error names the field and the reason. Returns `None` for a health
    /// check.
    fn check_messages_call(
        &mut self,
        conn: ConnId,
        head: &Head,
        body: &[u8],
    ) -> Result<Option<ActiveRequest>, Rejection> {
        if is_health_check(head)? {
            return Ok(None);
        }
        let tenant = self.tenant(head)?;
        check_content_type(head)?;
        let call = MessagesRequest::parse(body, &self.config.bounds.call)?;
        let class = self.class(&call, tenant)?;
        let key = idempotency_key(head)?;
        if self.is_draining() || self.stopping {
            return Err(Rejection::new(503, ErrorKind::Refused, "this router is draining"));
        }
        if self.requests.len() >= self.config.bounds.open_requests {
            return Err(Rejection::too_many_open());
        }
        let identity = key.map(|key| RequestIdentity { tenant, key });
        if let Some(identity) = &identity {
            self.identities.begin(self.now, identity)?;
        }
        let mut request = self.new_request(conn, call, class, tenant, identity.clone());
        if let Err(rejection) = self.reserve_budget(&mut request) {
            // Nothing ran, so the key may be used again.
            if let Some(identity) = &identity {
                self.identities.end(identity, None);
            }
            return Err(rejection);
        }
        Ok(Some(request))
    }

    /// Tenant whose API key the request carries; `None` if no tenants are configured.
    fn tenant(&self, head: &Head) -> Result<Option<usize>, Rejection> {
        if self.config.tenants.is_empty() {
            return Ok(None);
        }
        let bearer = head.header("authorization").and_then(|a| a.split_once(' '));
        let bearer =
            bearer.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
        let Some(key) = bearer.or(head.header("x-api-key")) else {
            let reason = "no API key: send `Authorization: Bearer KEY`";
            return Err(Rejection::new(401, ErrorKind::Unauthorized, reason));
        };
        match self.config.keys.owner(key) {
            Some(owner) => Ok(Some(owner)),
            None => Err(Rejection::new(401, ErrorKind::Unauthorized, "unknown API key")),
        }
    }

    /// Class that the request names, if the tenant's keys allow it.
    fn class(&self, call: &MessagesRequest, tenant: Option<usize>) -> Result<usize, RequestError> {
        let class = match &call.class {
            None => self.config.default_class,
            Some(name) => {
                let found = self.config.classes.iter().position(|c| c.name == *name);
                found.ok_or_else(|| RequestError::new("metadata.class", format!("unknown class `{name}`")))?
            }
        };
        let allowed = tenant.and_then(|t| self.config.tenants.get(t)).and_then(|t| t.classes.as_ref());
        if allowed.is_some_and(|a| !a.contains(&class)) {
            let reason = "this key does not allow the class";
            return Err(RequestError { status: 403, field: "metadata.class".into(), reason: reason.into() });
        }
        Ok(class)
    }

    fn new_request(
        &mut self,
        conn: ConnId,
        call: MessagesRequest,
        class: usize,
        tenant: Option<usize>,
        identity: Option<RequestIdentity>,
    ) -> ActiveRequest {
        // The time distinguishes ids of successive processes, the name ids of different routers.
        let id = format!("{}-{:x}-{:x}", self.config.name, self.now.0, self.next_request);
        self.next_request += 1;
        let longest = self.config.policy.classes.get(class).map(|c| c.deadline).unwrap_or_default();
        let timeout = call.deadline_ms.map_or(longest, |ms| Micros(ms.saturating_mul(1_000)).min(longest));
        let margin = self.config.timeouts.reply_margin.min(timeout.mul_f64(0.5));
        let spec = p::Request {
            id: id.as_str().into(),
            class: p::ClassId(class),
            tenant: tenant.map(p::TenantId),
            session: call.session.as_ref().map(|s| {
                let owner = tenant.map_or(String::new(), |t| t.to_string());
                p::SessionId(format!("{owner}/{s}").into())
            }),
            prefix: call.prefix.as_ref().map(|(hash, _)| hash.as_str().into()),
            prompt_tokens: call.prompt_tokens,
            max_output_tokens: call.max_tokens,
            deadline: self.now + (timeout - margin),
            resumed: call.resumed,
        };
        ActiveRequest::new(conn, spec, ClientCall::Messages(Box::new(call)), identity, self.now)
    }
}
