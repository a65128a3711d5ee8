//! A client's whole request: checked, and made a job or answered before anything has run.

use chalkyard_api::client::{self, ErrorBody, ErrorKind, MessagesRequest, Refusal};
use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, Head, Start};

use super::client_answers::error;
use super::client_connection::Phase;
use super::job::{Call, Job};
use super::record::Finished;
use super::{ConnId, Core, Due, FinishedLine, Output};
use crate::dialect::Heard;
use crate::identity::{Identity, Repeat};

/// What a client is answered whose request is not taken: nothing of it has run.
#[derive(Debug)]
pub(super) struct Rejection {
    pub(super) status: u16,
    pub(super) body: ErrorBody,
}

impl Rejection {
    fn new(status: u16, kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self { status, body: error(kind, reason) }
    }
}

/// A field of the request is invalid.
impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        let body = ErrorBody { field: Some(refusal.field), ..error(ErrorKind::Invalid, refusal.reason) };
        Self { status: refusal.status, body }
    }
}

/// The request's identity is known already, or can't be remembered.
impl From<Repeat> for Rejection {
    fn from(repeat: Repeat) -> Self {
        let duplicate = |reason: &str| {
            let body = ErrorBody { may_have_run: true, ..error(ErrorKind::Duplicate, reason) };
            Self { status: 409, body }
        };
        match repeat {
            Repeat::Open => {
                duplicate("a request under this Idempotency-Key is open here; wait for its answer")
            }
            Repeat::Ran => duplicate("a request under this Idempotency-Key may have run; look it up"),
            Repeat::Full => Self::new(503, ErrorKind::Refused, "too many identities are remembered"),
        }
    }
}

/// Whether a call asks for the router's health; an error if it is neither that nor a request to be served.
fn is_health_check(head: &Head) -> Result<bool, Rejection> {
    let Start::Request { method, target } = &head.start else {
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

fn idempotency_key(head: &Head) -> Result<Option<String>, Refusal> {
    if head.count("idempotency-key") > 1 {
        return Err(Refusal::new("Idempotency-Key", "more than one"));
    }
    head.header("idempotency-key").map(client::identity).transpose()
}

impl Core {
    /// Takes a whole request, or refuses it before anything has run.
    pub(super) fn begin(&mut self, conn: ConnId, head: &Head, body: Vec<u8>) {
        self.bodies = self.bodies.saturating_sub(body.len() as u64);
        let checked = match self.config.dialect.clone() {
            Some(dialect) => {
                let arrived = self.clients.get(&conn).map_or(self.now, |c| c.since);
                let heard = dialect.hear(arrived, head, body);
                self.check_heard(conn, heard)
            }
            None => self.check(conn, head, &body),
        };
        match checked {
            Ok(Some(job)) => self.take(conn, job),
            Ok(None) => {
                let keep = self.says_keep(conn);
                self.write_client(conn, encode::response(200, &[], b"ok\n", keep));
                self.answered(conn);
            }
            Err(Rejection { status, body }) => {
                let id = head.header(chalkyard_api::engine::REQUEST_ID).unwrap_or_default().to_owned();
                let turned = Finished::turned(id, self.now, body.reason.clone());
                self.out.push(Output::Finished(Box::new(FinishedLine(turned))));
                self.answer_error(conn, status, &body);
            }
        }
    }

    fn take(&mut self, conn: ConnId, mut job: Job) {
        let id = job.request.id.clone();
        let request = job.request.clone();
        if let Some(client) = self.clients.get_mut(&conn) {
            client.phase = Phase::Serving(id.clone());
            if let Some(key) = client.timer.take() {
                self.timers.cancel(key);
            }
        }
        self.counters.requests += 1;
        self.bodies += job.body_bytes();
        let last_call = job.request.deadline + self.config.policy.answer_slack;
        job.backstop = Some(self.timers.set(last_call, Due::Overdue(id.clone())));
        self.jobs.insert(id, job);
        self.events.push_back(Event::Request(request));
    }

    /// What a dialect heard, and what only the core knows: ids that are open, and bounds. None: a health check.
    fn check_heard(&mut self, conn: ConnId, heard: Heard) -> Result<Option<Job>, Rejection> {
        let (mut request, passed) = match heard {
            Heard::Ready if self.draining || self.left.is_some() => {
                return Err(Rejection::new(503, ErrorKind::Refused, "this router is stopping"))
            }
            Heard::Ready => return Ok(None),
            Heard::Wrong(status, why) => return Err(Rejection::new(status, ErrorKind::Invalid, why)),
            Heard::Call(request, passed) => (*request, passed),
        };
        if self.stopping {
            return Err(Rejection::new(503, ErrorKind::Refused, "this router is stopping"));
        }
        // What a leaving router takes has its answer before the process ends.
        if let Some((left, (_, until))) = self.left.zip(self.config.waits.leaving) {
            request.deadline = request.deadline.min(left + until);
        }
        if self.jobs.contains_key(&request.id) {
            let reason = "a request under this id is open here";
            return Err(Rejection::new(409, ErrorKind::Duplicate, reason));
        }
        if self.jobs.len() >= self.config.bounds.open {
            return Err(Rejection::new(503, ErrorKind::Refused, "too many open requests"));
        }
        Ok(Some(Job::new(conn, request, Call::Passed(passed), None, self.now)))
    }

    /// Checks a request; an error names the field and the reason. None: a health check.
    fn check(&mut self, conn: ConnId, head: &Head, body: &[u8]) -> Result<Option<Job>, Rejection> {
        if is_health_check(head)? {
            return Ok(None);
        }
        let tenant = self.tenant(head)?;
        check_content_type(head)?;
        let call = MessagesRequest::parse(body, &self.config.bounds.call)?;
        let class = self.class(&call, tenant)?;
        let key = idempotency_key(head)?;
        if self.draining || self.stopping {
            return Err(Rejection::new(503, ErrorKind::Refused, "this router is draining"));
        }
        if self.jobs.len() >= self.config.bounds.open {
            return Err(Rejection::new(503, ErrorKind::Refused, "too many open requests"));
        }
        let identity: Option<Identity> = key.map(|key| (tenant, key));
        if let Some(identity) = &identity {
            self.identities.begin(self.now, identity)?;
        }
        let mut job = self.job(conn, call, class, tenant, identity.clone());
        if let Err(rejection) = self.reserve(&mut job) {
            // Nothing ran: the identity may come again.
            if let Some(identity) = &identity {
                self.identities.end(identity, None);
            }
            return Err(rejection);
        }
        Ok(Some(job))
    }

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

    fn class(&self, call: &MessagesRequest, tenant: Option<usize>) -> Result<usize, Refusal> {
        let class = match &call.class {
            None => self.config.default_class,
            Some(name) => {
                let found = self.config.classes.iter().position(|c| c.name == *name);
                found.ok_or_else(|| Refusal::new("metadata.class", format!("unknown class `{name}`")))?
            }
        };
        let allowed = tenant.and_then(|t| self.config.tenants.get(t)).and_then(|t| t.classes.as_ref());
        if allowed.is_some_and(|a| !a.contains(&class)) {
            let reason = "this key does not allow the class";
            return Err(Refusal { status: 403, field: "metadata.class".into(), reason: reason.into() });
        }
        Ok(class)
    }

    fn job(
        &mut self,
        conn: ConnId,
        call: MessagesRequest,
        class: usize,
        tenant: Option<usize>,
        identity: Option<Identity>,
    ) -> Job {
        // The start time keeps ids apart over lives, the name over routers.
        let id = format!("{}-{:x}-{:x}", self.config.name, self.now.0, self.next_request);
        self.next_request += 1;
        let told = self.config.policy.classes.get(class).map(|c| c.deadline).unwrap_or_default();
        let asked = call.deadline_ms.map_or(told, |ms| Micros(ms.saturating_mul(1_000)).min(told));
        let request = p::Request {
            id: id.as_str().into(),
            class: p::ClassId(class),
            tenant: tenant.map(p::TenantId),
            session: call.session.as_ref().map(|s| {
                let owner = tenant.map_or(String::new(), |t| t.to_string());
                p::SessionId(format!("{owner}/{s}").into())
            }),
            prefix: call.prefix.as_ref().map(|(hash, _)| hash.as_str().into()),
            prompt_tokens: call.prompt_tokens,
            max_output: call.max_tokens,
            deadline: self.now + (asked - self.config.waits.reply_margin.min(asked.mul_f64(0.5))),
            resumed: call.came_back,
        };
        Job::new(conn, request, Call::Messages(Box::new(call)), identity, self.now)
    }
}
