//! Fake clients: sessions with several turns, deadlines, retries, clients that leave early or read slowly.

mod attempt;
mod request;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use self::attempt::ClientAttempt;
use self::request::{words, ClientRequest};
use crate::network::{ConnectionId, Network};
use crate::record::{Answer, Class, Event, Recorder};
use crate::scenario::{BudgetSpec, Scenario};

/// How long a client waits past its deadline for what is then a broken rule, µs.
const PATIENCE: u64 = 1_000_000;
/// A begun stream without a further token for this long is given up, µs.
const STREAM_SILENCE: u64 = 30_000_000;
/// The clients' load balancer goes on sending to a dead router for this long, µs.
const BALANCER_DELAY: u64 = 700_000;
/// An impatient client tries again after this, µs.
const IMPATIENT_BACKOFF: u64 = 1_000;
/// Backoff after a connection that could not be begun, and after one that was refused, µs.
const CONNECT_ERROR_BACKOFF: u64 = 100_000;
const REFUSED_BACKOFF: u64 = 50_000;
/// A client that reads nothing leaves this long before its deadline, µs.
const SLOW_CLIENT_LEAVES: u64 = 200_000;
/// Idle connections to one router that are reused.
const IDLE_CONNECTIONS: usize = 32;
/// System prompts that requests share, and the tokens of the one that is requested more by the fault `hot_key`.
const SYSTEM_PROMPTS: usize = 6;
const HOT_SYSTEM_TOKENS: u64 = 2_500;

/// What a client will do later.
enum Scheduled {
    /// The next first request arrives.
    Arrival,
    /// A further turn, or another attempt.
    Request(Box<ClientRequest>),
}

/// All clients of a scenario, and the load balancer between them and the routers.
pub struct Clients {
    routers: Vec<(String, SocketAddr)>,
    /// Since when the load balancer avoids each router.
    avoided_from: Vec<Option<u64>>,
    attempts: BTreeMap<ConnectionId, ClientAttempt>,
    /// Idle connections by router.
    idle: Vec<Vec<ConnectionId>>,
    /// By time, then in the order of scheduling.
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    next_number: u64,
    classes: Vec<Class>,
    shares: Vec<f64>,
    rate: f64,
    until: u64,
    systems: Vec<String>,
    rng: ChaCha8Rng,
    /// Faults: a factor of the request rate; shares of requests with the hot system prompt, factor of long prompts,
    /// shares of clients that leave early and that read nothing.
    pub burst: f64,
    /// See `burst`.
    pub hot: f64,
    /// See `burst`.
    pub long: f64,
    /// See `burst`.
    pub leaving: f64,
    /// See `burst`.
    pub slow: f64,
    /// Share of clients that try again at once when they are rejected, whatever Retry-After says.
    impatient: f64,
    /// Attempts of one request, the first one counted.
    max_attempts: u32,
    /// A router that gets so many times the requests of each other one.
    favourite: Option<(usize, f64)>,
    hot_system: String,
    budgets: Option<BudgetSpec>,
}

impl Clients {
    /// The clients of a scenario.
    pub fn new(scenario: &Scenario, routers: Vec<(String, SocketAddr)>, mut rng: ChaCha8Rng) -> Self {
        let system_tokens = if scenario.budgets.is_some() { 30..60 } else { 200..900 };
        let draw_system = |_| {
            let tokens = rng.random_range(system_tokens.clone());
            words(&mut rng, tokens)
        };
        let systems = (0..SYSTEM_PROMPTS).map(draw_system).collect();
        let hot_system = words(&mut rng, HOT_SYSTEM_TOKENS);
        Self {
            avoided_from: routers.iter().map(|_| None).collect(),
            idle: routers.iter().map(|_| Vec::new()).collect(),
            routers,
            attempts: BTreeMap::new(),
            scheduled: BTreeMap::from([((0, 0), Scheduled::Arrival)]),
            next_number: 1,
            classes: scenario.classes.clone(),
            shares: scenario.shares.clone(),
            rate: scenario.rate,
            until: scenario.length,
            systems,
            rng,
            burst: 1.0,
            hot: 0.0,
            long: 0.0,
            leaving: 0.0,
            slow: 0.0,
            impatient: scenario.impatient,
            max_attempts: scenario.max_attempts,
            favourite: scenario.favourite,
            hot_system,
            budgets: scenario.budgets.clone(),
        }
    }

    /// Sends so many requests of the first tenant at once, over all routers.
    pub fn volley(&mut self, count: usize, net: &mut dyn Network, recorder: &mut Recorder) {
        for i in 0..count {
            let request = self.draw_request(0);
            let router = i % self.routers.len().max(1);
            self.send_to(request, router, net, recorder);
        }
    }

    /// Whether nothing is in flight or scheduled.
    pub fn is_done(&self) -> bool {
        self.attempts.is_empty() && self.scheduled.is_empty()
    }

    /// The load balancer learns of a router's end and return with some delay.
    pub fn router_is(&mut self, i: usize, up: bool, now: u64) {
        if let Some(avoided_from) = self.avoided_from.get_mut(i) {
            *avoided_from = (!up).then_some(now + BALANCER_DELAY);
        }
    }

    fn schedule(&mut self, at: u64, what: Scheduled) {
        let number = self.next_number();
        self.scheduled.insert((at, number), what);
    }

    fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// When [`Clients::tick`] is next needed, µs.
    pub fn next_due(&self) -> u64 {
        let scheduled = self.scheduled.keys().next().map_or(u64::MAX, |(at, _)| *at);
        let gives_up = self.attempts.values().map(ClientAttempt::gives_up_at).min();
        gives_up.unwrap_or(u64::MAX).min(scheduled)
    }

    /// Sends what is due, and ends the attempts that their clients give up.
    pub fn tick(&mut self, net: &mut dyn Network, recorder: &mut Recorder) {
        while let Some(due) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= recorder.now) {
            let ((at, _), what) = due.remove_entry();
            match what {
                Scheduled::Arrival => self.arrive(at, net, recorder),
                Scheduled::Request(request) => self.send(*request, net, recorder),
            }
        }
        let now = recorder.now;
        let over = self.attempts.iter().filter(|(_, attempt)| attempt.gives_up_at() <= now);
        let over: Vec<ConnectionId> = over.map(|(conn, _)| *conn).collect();
        for conn in over {
            let Some(attempt) = self.attempts.remove(&conn) else { continue };
            net.close(conn);
            if attempt.sent && !attempt.answered {
                recorder.add(Event::ClientLeft { number: attempt.number });
            }
        }
    }

    /// A first request arrives, and the next one is scheduled.
    fn arrive(&mut self, at: u64, net: &mut dyn Network, recorder: &mut Recorder) {
        if at >= self.until {
            return;
        }
        let gap = -self.rng.random_range(1e-9..1.0_f64).ln() / (self.rate * self.burst) * 1e6;
        self.schedule(at + gap as u64 + 1, Scheduled::Arrival);
        let tenant = self.draw_tenant();
        let request = self.draw_request(tenant);
        self.send(request, net, recorder);
    }

    fn draw_tenant(&mut self) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0);
        let mut tenants = self.budgets.iter().flat_map(|b| &b.tenants);
        let drawn = tenants.position(|tenant| {
            draw -= tenant.share;
            draw < 0.0
        });
        drawn.unwrap_or(0)
    }

    /// The load balancer's choice: any router that it does not know to be down.
    fn choose_router(&mut self, now: u64, tenant: usize) -> usize {
        let is_available = |avoided_from: &Option<u64>| avoided_from.is_none_or(|from| from > now);
        let available: Vec<usize> = (0..)
            .zip(&self.avoided_from)
            .filter(|(_, avoided_from)| is_available(avoided_from))
            .map(|(i, _)| i)
            .collect();
        let of_tenant = self.budgets.as_ref().map(|b| (tenant * 5 % self.routers.len().max(1), b.skew));
        if let Some((favourite, skew)) = self.favourite.or(of_tenant) {
            let others = (self.routers.len() - 1) as f64;
            if available.contains(&favourite) && self.rng.random_bool(skew / (skew + others)) {
                return favourite;
            }
        }
        match available.len() {
            0 => self.rng.random_range(0..self.routers.len()),
            n => available.get(self.rng.random_range(0..n)).copied().unwrap_or(0),
        }
    }

    fn send(&mut self, request: ClientRequest, net: &mut dyn Network, recorder: &mut Recorder) {
        let router = self.choose_router(recorder.now, request.tenant);
        self.send_to(request, router, net, recorder);
    }

    fn send_to(
        &mut self,
        mut request: ClientRequest,
        router: usize,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let Some(class) = self.classes.get(request.class) else { return };
        let share = self.rng.random_range(0.6..1.0);
        let wait = (class.deadline_us as f64 * share) as u64;
        let bytes = request.encode(class, wait, self.api_key(request.tenant));
        request.begin_attempt();
        let reused = self.idle.get_mut(router).and_then(Vec::pop);
        let address = self.routers.get(router).map(|(_, address)| *address);
        let conn = match (reused, address) {
            (Some(conn), _) => Ok(conn),
            (None, Some(address)) => net.connect(address, router),
            (None, None) => return,
        };
        let now = recorder.now;
        let number = self.next_number();
        let mut attempt = ClientAttempt::new(number, request, router, bytes, now, now + wait);
        if self.rng.random_bool(self.leaving.clamp(0.0, 1.0)) {
            attempt.leaves = Some(now + self.rng.random_range(30_000..wait.max(30_001)));
        }
        match conn {
            Ok(conn) => {
                if reused.is_some() {
                    self.write(&mut attempt, conn, net, recorder);
                }
                self.attempts.insert(conn, attempt);
            }
            Err(_) => self.retry(attempt.request, CONNECT_ERROR_BACKOFF, now),
        }
    }

    /// Writes an attempt to its connection.
    fn write(
        &mut self,
        attempt: &mut ClientAttempt,
        conn: ConnectionId,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        attempt.sent = true;
        let request = &attempt.request;
        let class = self.classes.get(request.class);
        let tenant = self.budgets.as_ref().and_then(|b| b.tenants.get(request.tenant));
        recorder.add(Event::Request {
            number: attempt.number,
            identity: request.identity.clone(),
            router: self.router_name(attempt.router),
            class: class.map(|c| c.name.clone()).unwrap_or_default(),
            tenant: tenant.map_or_else(String::new, |t| t.name.into()),
            prompt: request.prompt,
            deadline: attempt.deadline,
        });
        net.send(conn, &std::mem::take(&mut attempt.bytes));
        if self.slow > 0.0 && attempt.request.stream && self.rng.random_bool(self.slow.clamp(0.0, 1.0)) {
            net.stop_reading(conn);
            attempt.leaves = Some(attempt.deadline.saturating_sub(SLOW_CLIENT_LEAVES));
        }
    }

    fn router_name(&self, router: usize) -> String {
        self.routers.get(router).map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Whether a connection is an attempt's.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.attempts.contains_key(&conn)
    }

    /// A connection is established: its attempt is written.
    pub fn connected(&mut self, conn: ConnectionId, net: &mut dyn Network, recorder: &mut Recorder) {
        if let Some(mut attempt) = self.attempts.remove(&conn) {
            self.write(&mut attempt, conn, net, recorder);
            self.attempts.insert(conn, attempt);
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, conn: ConnectionId, recorder: &mut Recorder) {
        self.forget_idle(conn);
        let Some(attempt) = self.attempts.remove(&conn) else { return };
        if !attempt.sent {
            recorder.add(Event::Unreachable { router: self.router_name(attempt.router) });
            return self.retry(attempt.request, REFUSED_BACKOFF, recorder.now);
        }
        if !attempt.answered {
            recorder.add(Event::ConnectionLost { number: attempt.number });
            self.follow_up(&attempt, Answer::Failed, recorder.now);
        }
    }

    fn forget_idle(&mut self, conn: ConnectionId) {
        for idle in &mut self.idle {
            idle.retain(|c| *c != conn);
        }
    }

    /// Another attempt after `wait` µs and a backoff, unless the request has had all its attempts.
    fn retry(&mut self, request: ClientRequest, wait: u64, now: u64) {
        if request.attempts < self.max_attempts {
            let wait = wait + self.rng.random_range(50_000..300_000);
            self.schedule(now + wait, Scheduled::Request(Box::new(request)));
        }
    }

    /// An impatient client's next attempt.
    fn retry_at_once(&mut self, attempt: &ClientAttempt, now: u64) {
        if attempt.request.attempts < self.max_attempts {
            let request = Box::new(attempt.request.clone());
            self.schedule(now + IMPATIENT_BACKOFF, Scheduled::Request(request));
        }
    }

    /// The text of a user's further turn.
    fn draw_turn(&mut self) -> String {
        let tokens = self.rng.random_range(30..200);
        words(&mut self.rng, tokens)
    }

    /// Schedules a further turn, once its user has read the answer before.
    fn schedule_turn(&mut self, request: ClientRequest, now: u64) {
        let think = self.rng.random_range(300_000..3_000_000);
        if now + think < self.until {
            self.schedule(now + think, Scheduled::Request(Box::new(request)));
        }
    }
}
