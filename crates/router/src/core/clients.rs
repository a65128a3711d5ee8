//! Conversations with clients: requests taken, answers given, leaving noticed.

use chalkyard_api::client::{self, ErrorBody, ErrorKind, MessagesRequest, Refusal};
use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, Decoder, Head, Part, Side, Start};

use super::job::{Call, Job};
use super::record::{Ended, Finished};
use super::{ConnId, Core, Due, FinishedLine, Output};
use crate::dialect::Heard;
use crate::identity::{Identity, Repeat};
use crate::timers::Key;

#[derive(Debug)]
enum Phase {
    /// Between requests, or within a head.
    Head,
    Body(Box<Head>, Vec<u8>),
    Serving(p::RequestId),
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    decoder: Decoder,
    phase: Phase,
    timer: Option<Key>,
    /// Bytes given to the shell and not yet taken by the system, and since when none was.
    pending: u64,
    stuck_since: Micros,
    /// Closed after the answer being given: by its wish, or since what follows can't be trusted.
    last: bool,
    /// The connection's own error, answered after the present request.
    wrong: Option<chalkyard_proto::Error>,
    /// So much waits for it that nothing more is read from it.
    held_up: bool,
    /// It has had an answer: it may be closed between two requests, as it knows.
    used: bool,
    /// When it came, its last request ended, or its present one began.
    since: Micros,
}

impl Client {
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.decoder.is_idle()
    }

    pub fn wrote(&mut self, now: Micros, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
        self.stuck_since = now;
    }
}

fn error(kind: ErrorKind, reason: impl Into<String>) -> ErrorBody {
    ErrorBody { kind, reason: reason.into(), field: None, may_have_run: false, retry_after: None }
}

impl Core {
    pub(super) fn accepted(&mut self, conn: ConnId) {
        let full = self.clients.len() >= self.config.bounds.clients && !self.evict_client();
        if full || (self.draining && self.config.dialect.is_none()) {
            let why = if self.draining { "draining" } else { "too many connections" };
            let body = error(ErrorKind::Refused, why).json();
            self.count(|t| t.unheard += 1);
            self.out.push(Output::Write(conn, encode::response(503, &[JSON], &body, false)));
            self.out.push(Output::Close(conn));
            return;
        }
        let client = Client {
            decoder: Decoder::new(Side::Request, self.config.bounds.client),
            phase: Phase::Head,
            timer: None,
            pending: 0,
            stuck_since: self.now,
            last: false,
            wrong: None,
            held_up: false,
            used: false,
            since: self.now,
        };
        self.clients.insert(conn, client);
        self.arm_client(conn, self.config.waits.first);
    }

    /// Makes room for a client: of those that have no request open the one that has said nothing for longest goes,
    /// first of those that never asked. A usual client asks soon after it has come.
    fn evict_client(&mut self) -> bool {
        if !self.config.bounds.evict {
            return false;
        }
        let unserved = self.clients.iter().filter(|(_, c)| !matches!(c.phase, Phase::Serving(_)));
        let first = unserved.min_by_key(|(_, c)| (!c.is_idle(), c.used, c.since)).map(|(id, _)| *id);
        let Some(conn) = first else { return false };
        self.drop_client(conn);
        self.count(|t| t.unheard += 1);
        self.out.push(Output::Abort(conn));
        true
    }

    /// Idle clients are closed; one that has just come is about to ask, and is heard first.
    pub(super) fn close_idle_clients(&mut self) {
        let idle: Vec<(ConnId, bool)> =
            self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, c)| (*id, c.used)).collect();
        for (conn, used) in idle {
            if used {
                self.drop_client(conn);
                self.out.push(Output::Close(conn));
            } else {
                self.arm_client(conn, self.config.waits.just_come);
            }
        }
    }

    fn arm_client(&mut self, conn: ConnId, wait: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if let Some(key) = client.timer.take() {
            self.timers.cancel(key);
        }
        client.timer = Some(self.timers.set(self.now + wait, Due::Client(conn)));
    }

    pub(super) fn drop_client(&mut self, conn: ConnId) -> Option<Client> {
        let client = self.clients.remove(&conn)?;
        if let Phase::Body(_, body) = &client.phase {
            self.bodies = self.bodies.saturating_sub(body.len() as u64);
        }
        if let Some(key) = client.timer {
            self.timers.cancel(key);
        }
        Some(client)
    }

    fn write_client(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            if client.pending == 0 {
                client.stuck_since = self.now;
            }
            client.pending += bytes.len() as u64;
            self.out.push(Output::Write(conn, bytes));
        }
    }

    pub(super) fn close_client(&mut self, conn: ConnId) {
        if self.drop_client(conn).is_some() {
            self.out.push(Output::Close(conn));
        }
    }

    pub(super) fn client_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.wrong.is_some() {
            return;
        }
        let fresh = client.decoder.is_idle() && matches!(client.phase, Phase::Head);
        client.decoder.push(bytes);
        if let Phase::Serving(_) = client.phase {
            if let Err(e) = client.decoder.check_pipelined() {
                client.wrong = Some(e);
                self.out.push(Output::Pause(conn));
            }
            return;
        }
        if fresh {
            client.since = self.now;
            // A client's first request has no longer than was left of its time.
            let left = client.timer.filter(|_| !client.used).map(|(due, _)| due - self.now);
            let wait = self.config.waits.head;
            self.arm_client(conn, left.map_or(wait, |left| left.min(wait)));
        }
        self.drive_client(conn);
    }

    /// Reads on until a request is whole or more bytes are needed.
    pub(super) fn drive_client(&mut self, conn: ConnId) {
        loop {
            let full = self.is_full(conn);
            let Some(client) = self.clients.get_mut(&conn) else { return };
            if matches!(client.phase, Phase::Serving(_)) {
                return;
            }
            // One that asks on and takes no answers is not heard until it does.
            if full {
                if !std::mem::replace(&mut client.held_up, true) && client.wrong.is_none() {
                    self.out.push(Output::Pause(conn));
                }
                return self.watch_slow(conn);
            }
            let part = match client.wrong {
                Some(e) => Err(e),
                None => client.decoder.next_part(),
            };
            match part {
                Ok(Some(Part::Head(head))) => {
                    let wants_continue = head.expects_continue;
                    client.phase = Phase::Body(head, Vec::new());
                    if wants_continue {
                        self.write_client(conn, encode::CONTINUE.to_vec());
                    }
                }
                Ok(Some(Part::Data(data))) => {
                    if let Phase::Body(_, body) = &mut client.phase {
                        self.bodies += data.len() as u64;
                        body.extend(data);
                    }
                    if self.bodies > self.config.bounds.bodies {
                        if let Phase::Body(_, body) = std::mem::replace(&mut client.phase, Phase::Head) {
                            self.bodies = self.bodies.saturating_sub(body.len() as u64);
                        }
                        self.note(
                            "bodies",
                            "more bytes of requests than may wait; one is turned away".into(),
                        );
                        self.answer_error(conn, 503, &error(ErrorKind::Refused, "too much to read at once"));
                        return self.close_client(conn);
                    }
                }
                Ok(Some(Part::End)) => {
                    if let Phase::Body(head, body) = std::mem::replace(&mut client.phase, Phase::Head) {
                        client.last |= !head.keep_alive;
                        self.begin(conn, &head, body);
                    }
                }
                Ok(None) => return,
                Err(e) => {
                    let body = error(ErrorKind::Invalid, e.reason.text()).json();
                    self.write_client(conn, encode::response(e.reason.status(), &[JSON], &body, false));
                    return self.close_client(conn);
                }
            }
        }
    }

    /// Takes a whole request, or refuses it before anything has run.
    fn begin(&mut self, conn: ConnId, head: &Head, body: Vec<u8>) {
        self.bodies = self.bodies.saturating_sub(body.len() as u64);
        let checked = match self.config.dialect.clone() {
            Some(dialect) => {
                let arrived = self.clients.get(&conn).map_or(self.now, |c| c.since);
                let heard = dialect.hear(arrived, head, body);
                self.check_heard(conn, heard)
            }
            None => self.check(conn, head, &body),
        };
        let (status, body) = match checked {
            Ok(job) => return self.take(conn, job),
            Err((status, body)) => (status, body),
        };
        if status == 200 {
            let keep = self.keeps(conn);
            self.write_client(conn, encode::response(200, &[], b"ok\n", keep));
            return self.answered(conn);
        }
        let id = head.header(chalkyard_api::engine::REQUEST_ID).unwrap_or_default().to_owned();
        let turned = Finished::turned(id, self.now, body.reason.clone());
        self.out.push(Output::Finished(Box::new(FinishedLine(turned))));
        self.answer_error(conn, status, &body);
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
        self.bodies += job.body_bytes();
        let last_call = job.request.deadline + self.config.policy.answer_slack;
        job.backstop = Some(self.timers.set(last_call, Due::Overdue(id.clone())));
        self.jobs.insert(id, job);
        self.events.push_back(Event::Request(request));
    }

    /// What a dialect heard, and what only the core knows: ids that are open, and bounds.
    fn check_heard(&mut self, conn: ConnId, heard: Heard) -> Result<Job, (u16, ErrorBody)> {
        let (mut request, passed) = match heard {
            Heard::Ready if self.draining || self.left.is_some() => {
                return Err((503, error(ErrorKind::Refused, "this router is stopping")))
            }
            Heard::Ready => return Err((200, error(ErrorKind::Invalid, ""))),
            Heard::Wrong(status, why) => return Err((status, error(ErrorKind::Invalid, why))),
            Heard::Call(request, passed) => (*request, passed),
        };
        // What a leaving router takes has its answer before the process ends.
        if let Some((left, (_, until))) = self.left.zip(self.config.waits.leaving) {
            request.deadline = request.deadline.min(left + until);
        }
        if self.jobs.contains_key(&request.id) {
            return Err((409, error(ErrorKind::Duplicate, "a request under this id is open here")));
        }
        if self.jobs.len() >= self.config.bounds.open {
            return Err((503, error(ErrorKind::Refused, "too many open requests")));
        }
        Ok(Job::new(conn, request, Call::Passed(passed), None, self.now))
    }

    /// Checks a request; an error names the field and the reason. Status 200 answers a health call.
    fn check(&mut self, conn: ConnId, head: &Head, body: &[u8]) -> Result<Job, (u16, ErrorBody)> {
        let no = |status: u16, kind: ErrorKind, why: &str| Err((status, error(kind, why)));
        let Start::Request { method, target } = &head.start else {
            return no(400, ErrorKind::Invalid, "not a request");
        };
        match (method.as_str(), target.as_str()) {
            ("POST", "/v1/messages") => {}
            ("GET", "/health") => return no(200, ErrorKind::Invalid, ""),
            (_, "/v1/messages") => return no(405, ErrorKind::Invalid, "only POST"),
            _ => return no(404, ErrorKind::Invalid, "no such call; try POST /v1/messages"),
        }
        let tenant = self.tenant(head)?;
        let json = head.header("content-type").unwrap_or("application/json");
        if !json.split(';').next().is_some_and(|t| t.trim().eq_ignore_ascii_case("application/json")) {
            return no(415, ErrorKind::Invalid, "content-type must be application/json");
        }
        let invalid = |r: Refusal| {
            (r.status, ErrorBody { field: Some(r.field), ..error(ErrorKind::Invalid, r.reason) })
        };
        let call = MessagesRequest::parse(body, &self.config.bounds.call).map_err(invalid)?;
        let class = self.class(&call, tenant).map_err(invalid)?;
        if head.count("idempotency-key") > 1 {
            return Err(invalid(Refusal::new("Idempotency-Key", "more than one")));
        }
        let identity = head.header("idempotency-key").map(client::identity).transpose().map_err(invalid)?;
        if self.draining {
            return no(503, ErrorKind::Refused, "this router is draining");
        }
        if self.jobs.len() >= self.config.bounds.open {
            return no(503, ErrorKind::Refused, "too many open requests");
        }
        let identity: Option<Identity> = identity.map(|key| (tenant, key));
        if let Some(i) = &identity {
            self.identities.begin(self.now, i).map_err(|repeat| match repeat {
                Repeat::Open => {
                    let why = "a request under this Idempotency-Key is open here; wait for its answer";
                    (409, ErrorBody { may_have_run: true, ..error(ErrorKind::Duplicate, why) })
                }
                Repeat::Ran => {
                    let why = "a request under this Idempotency-Key may have run; look it up";
                    (409, ErrorBody { may_have_run: true, ..error(ErrorKind::Duplicate, why) })
                }
                Repeat::Full => (503, error(ErrorKind::Refused, "too many identities are remembered")),
            })?;
        }
        let mut job = self.job(conn, call, class, tenant, identity.clone());
        if let Err(refusal) = self.reserve(&mut job) {
            // Nothing ran: the identity may come again.
            if let Some(i) = &identity {
                self.identities.end(i, None);
            }
            return Err(refusal);
        }
        Ok(job)
    }

    fn tenant(&self, head: &Head) -> Result<Option<usize>, (u16, ErrorBody)> {
        if self.config.tenants.is_empty() {
            return Ok(None);
        }
        let bearer = head.header("authorization").and_then(|a| a.split_once(' '));
        let bearer =
            bearer.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
        let key = bearer.or(head.header("x-api-key"));
        let missing = (401, error(ErrorKind::Unauthorized, "no API key: send `Authorization: Bearer KEY`"));
        let owner = self.config.keys.owner(key.ok_or(missing)?);
        owner.map(Some).ok_or((401, error(ErrorKind::Unauthorized, "unknown API key")))
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
            came_back: call.came_back,
        };
        Job::new(conn, request, Call::Messages(Box::new(call)), identity, self.now)
    }

    fn keeps(&self, conn: ConnId) -> bool {
        self.clients.get(&conn).is_some_and(|c| !c.last && c.wrong.is_none()) && !self.draining
    }

    pub(super) fn answer_error(&mut self, conn: ConnId, status: u16, body: &ErrorBody) {
        let keep = self.keeps(conn);
        // Decimal seconds where a dialect knows them, else whole ones.
        let decimal = self.config.dialect.is_some();
        let after =
            body.retry_after.map(|s| if decimal { format!("{s:.3}") } else { format!("{}", s.ceil()) });
        // Only what may be tried again without harm is worded so.
        let refused = body.kind == ErrorKind::Refused || !decimal;
        let status = if refused || !matches!(status, 429 | 503) { status } else { 500 };
        let mut fields = vec![JSON];
        if let Some(after) = &after {
            fields.push(("retry-after", after));
        }
        self.write_client(conn, encode::response(status, &fields, &body.json(), keep));
        self.answered(conn);
    }

    /// The present request has its answer: on to the next, or to the end.
    pub(super) fn answered(&mut self, conn: ConnId) {
        let keep = self.keeps(conn);
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.phase = Phase::Head;
        client.used = true;
        client.since = self.now;
        if !keep && client.wrong.is_none() {
            return self.close_client(conn);
        }
        let wait = if client.decoder.is_idle() { self.config.waits.idle } else { self.config.waits.head };
        self.arm_client(conn, wait);
        self.ready.push_back(conn);
    }

    /// Writes the head of a stream and its first event.
    pub(super) fn open_stream(&mut self, conn: ConnId, id: &p::RequestId, model: &str) {
        let fields =
            [("content-type", "text/event-stream"), ("cache-control", "no-store"), ("x-request-id", &*id.0)];
        let keep = self.keeps(conn);
        let mut bytes = encode::chunked_head(200, &fields, keep);
        push_event(&mut bytes, &client::Event::Opened { id: &id.0, model });
        self.write_client(conn, bytes);
    }

    pub(super) fn stream_event(&mut self, conn: ConnId, event: &client::Event<'_>) {
        let mut bytes = Vec::with_capacity(128);
        push_event(&mut bytes, event);
        self.write_client(conn, bytes);
    }

    /// The last event and the end of the response.
    pub(super) fn end_stream(&mut self, conn: ConnId, event: &client::Event<'_>) {
        let mut bytes = Vec::with_capacity(256);
        push_event(&mut bytes, event);
        bytes.extend_from_slice(encode::LAST_CHUNK);
        self.write_client(conn, bytes);
        self.answered(conn);
    }

    /// Bytes of a stream as they came, after a head if it begins.
    pub(super) fn pass_on(&mut self, conn: ConnId, first: bool, data: &[u8]) {
        let mut bytes = Vec::with_capacity(data.len() + 192);
        if first {
            let fields = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
            bytes = encode::chunked_head(200, &fields, self.keeps(conn));
        }
        encode::chunk(&mut bytes, data);
        self.write_client(conn, bytes);
    }

    /// The stream that was passed on has ended well.
    pub(super) fn end_passing(&mut self, conn: ConnId) {
        self.write_client(conn, encode::LAST_CHUNK.to_vec());
        self.answered(conn);
    }

    pub(super) fn whole_answer(&mut self, conn: ConnId, id: &p::RequestId, answer: &client::WholeAnswer<'_>) {
        let body = serde_json::to_vec(answer).unwrap_or_default();
        let keep = self.keeps(conn);
        self.write_client(conn, encode::response(200, &[JSON, ("x-request-id", &*id.0)], &body, keep));
        self.answered(conn);
    }

    /// Whether so much waits for this client that its engine should not be read.
    pub(super) fn is_full(&self, conn: ConnId) -> bool {
        self.clients.get(&conn).is_some_and(|c| c.pending > self.config.bounds.client_buffer as u64)
    }

    /// Bytes were taken: a paused engine may be read again.
    pub(super) fn client_drained(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let low = client.pending <= self.config.bounds.client_buffer as u64 / 2;
        if low && std::mem::take(&mut client.held_up) {
            if client.wrong.is_none() {
                self.out.push(Output::Resume(conn));
            }
            self.arm_client(conn, self.config.waits.head);
            return self.ready.push_back(conn);
        }
        if let (Phase::Serving(id), true) = (&client.phase, low) {
            let id = id.clone();
            self.resume_engine(&id);
        }
    }

    /// The client of a paused stream is watched.
    pub(super) fn watch_slow(&mut self, conn: ConnId) {
        self.arm_client(conn, self.config.waits.slow_client);
    }

    pub(super) fn client_due(&mut self, conn: ConnId) {
        let (wait, margin) = (self.config.waits.slow_client, self.is_full(conn));
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.timer = None;
        if client.held_up {
            if client.stuck_since + wait > self.now {
                return self.watch_slow(conn);
            }
            self.drop_client(conn);
            return self.out.push(Output::Abort(conn));
        }
        match &client.phase {
            Phase::Serving(id) => {
                let (id, stuck) = (id.clone(), client.stuck_since + wait <= self.now);
                if margin && stuck {
                    self.drop_client(conn);
                    self.out.push(Output::Abort(conn));
                    self.client_left(&id, Ended::ClientSlow);
                } else if margin {
                    self.watch_slow(conn);
                }
            }
            Phase::Head if client.decoder.is_idle() => {
                self.close_client(conn);
            }
            Phase::Head | Phase::Body(..) => {
                let body = error(ErrorKind::Invalid, "the request took too long to come").json();
                self.write_client(conn, encode::response(408, &[JSON], &body, false));
                self.close_client(conn);
            }
        }
    }

    /// A client that closes its side is taken to leave; should it still listen, it gets its one answer.
    pub(super) fn client_eof(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.last = true;
        if let Phase::Serving(id) = &client.phase {
            let id = id.clone();
            self.half_closed(&id);
            return self.close_client(conn);
        }
        client.decoder.close();
        // What a client has asked that takes no answers, and is not heard for it, has gone with it.
        if !client.is_idle() && !client.held_up {
            self.drive_client(conn);
        }
        // What was begun before the close has been answered above or is being served.
        let serving = self.clients.get(&conn).is_some_and(|c| matches!(c.phase, Phase::Serving(_)));
        if !serving {
            self.close_client(conn);
        }
    }

    pub(super) fn client_lost(&mut self, conn: ConnId) {
        let Some(client) = self.drop_client(conn) else { return };
        if let Phase::Serving(id) = client.phase {
            self.client_left(&id, Ended::ClientGone);
        }
    }
}

/// The content type of all answers that are not streams.
const JSON: (&str, &str) = ("content-type", "application/json");

fn push_event(bytes: &mut Vec<u8>, event: &client::Event<'_>) {
    let mut text = Vec::with_capacity(128);
    chalkyard_proto::sse::write(&mut text, event.name(), None, &event.json());
    encode::chunk(bytes, &text);
}
