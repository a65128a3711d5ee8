//! Stand-in clients: sessions with turns, deadlines, retries, early leaving, slow reading.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chalkyard_proto::{encode, sse, Decoder, Limits, Part, Side, Start};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Tape;
use crate::net::{Conn, Net};
use crate::record::{Answer, Class, Effect, Seen};
use crate::scenario::{BudgetSpec, Scenario};

/// How long a client waits past its deadline for what is then a broken rule, µs.
const PATIENCE: u64 = 1_000_000;
/// A begun stream without a further token for so long is given up, µs.
const SILENCE: u64 = 30_000_000;
/// The front layer goes on sending to a dead router for so long, µs.
const FRONT_NOTICE: u64 = 700_000;
/// A naive client comes again after this, µs.
const NAIVE: u64 = 1_000;
/// Idle connections that are kept to one router.
const IDLE: usize = 32;

/// A request of a client, over its tries.
#[derive(Debug, Clone)]
struct Wish {
    identity: String,
    session: String,
    class: usize,
    system: String,
    /// The conversation so far, ending with the user's turn.
    said: Vec<(bool, String)>,
    max_tokens: u64,
    stream: bool,
    tries: u32,
    turns_left: u32,
    prompt: u64,
    tenant: usize,
}

struct Try {
    no: u64,
    wish: Wish,
    router: usize,
    bytes: Vec<u8>,
    decoder: Decoder,
    reader: sse::Reader,
    status: u16,
    body: Vec<u8>,
    sent: bool,
    streams: bool,
    first: bool,
    tokens: u64,
    text: String,
    answered: bool,
    /// Of a stream: the answer that its last event said, which counts once the message is whole.
    said: Option<(Answer, bool)>,
    deadline: u64,
    leaves: Option<u64>,
    heard: u64,
}

enum Later {
    New,
    Again(Box<Wish>),
}

pub struct Clients {
    routers: Vec<(String, SocketAddr)>,
    /// Until when the front layer avoids a router: `u64::MAX` while it is down.
    avoid: Vec<Option<u64>>,
    tries: BTreeMap<Conn, Try>,
    idle: Vec<Vec<Conn>>,
    later: BTreeMap<(u64, u64), Later>,
    next: u64,
    classes: Vec<Class>,
    shares: Vec<f64>,
    rate: f64,
    until: u64,
    systems: Vec<String>,
    rng: ChaCha8Rng,
    pub burst: f64,
    pub hot: f64,
    pub long: f64,
    pub leaving: f64,
    pub slow: f64,
    /// Share of clients that come again at once when they are refused, whatever they are told.
    pub naive: f64,
    /// Tries of one request, the first one counted.
    most_tries: u32,
    /// A router that gets so many times what each other one gets.
    favourite: Option<(usize, f64)>,
    hot_system: String,
    budgets: Option<BudgetSpec>,
}

fn words(rng: &mut ChaCha8Rng, tokens: u64) -> String {
    (0..tokens).map(|_| format!("{:03} ", rng.random_range(0..1_000))).collect()
}

impl Clients {
    pub fn new(scenario: &Scenario, routers: Vec<(String, SocketAddr)>, mut rng: ChaCha8Rng) -> Self {
        let most = if scenario.budgets.is_some() { 30..60 } else { 200..900 };
        let systems = (0..6)
            .map(|_| {
                let n = rng.random_range(most.clone());
                words(&mut rng, n)
            })
            .collect();
        let hot_system = words(&mut rng, 2_500);
        let mut later = BTreeMap::new();
        later.insert((0, 0), Later::New);
        Self {
            avoid: routers.iter().map(|_| None).collect(),
            idle: routers.iter().map(|_| Vec::new()).collect(),
            routers,
            tries: BTreeMap::new(),
            later,
            next: 1,
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
            naive: scenario.naive,
            most_tries: scenario.tries,
            favourite: scenario.favourite,
            hot_system,
            budgets: scenario.budgets.clone(),
        }
    }

    /// So many requests of the first tenant at once, over all routers.
    pub fn volley(&mut self, n: usize, net: &mut dyn Net, tape: &mut Tape) {
        for i in 0..n {
            let wish = self.wish(0);
            let router = i % self.routers.len().max(1);
            self.ask_at(wish, router, net, tape);
        }
    }

    pub fn is_done(&self) -> bool {
        self.tries.is_empty() && self.later.is_empty()
    }

    /// The front layer learns of a router's end and return with some delay.
    pub fn router_is(&mut self, i: usize, up: bool, now: u64) {
        if let Some(avoid) = self.avoid.get_mut(i) {
            *avoid = (!up).then_some(now + FRONT_NOTICE);
        }
    }

    fn schedule(&mut self, at: u64, what: Later) {
        let n = self.next;
        self.next += 1;
        self.later.insert((at, n), what);
    }

    pub fn next_due(&self) -> u64 {
        let later = self.later.keys().next().map_or(u64::MAX, |(at, _)| *at);
        let limit = |t: &Try| {
            let last = if t.first { t.heard + SILENCE } else { t.deadline + PATIENCE };
            t.leaves.unwrap_or(u64::MAX).min(last)
        };
        self.tries.values().map(limit).min().unwrap_or(u64::MAX).min(later)
    }

    pub fn tick(&mut self, net: &mut dyn Net, tape: &mut Tape) {
        while let Some(((at, n), _)) = self.later.first_key_value().map(|(k, v)| (*k, v)) {
            if at > tape.now {
                break;
            }
            match self.later.remove(&(at, n)) {
                Some(Later::New) => self.arrive(at, net, tape),
                Some(Later::Again(wish)) => self.ask(*wish, net, tape),
                None => break,
            }
        }
        let now = tape.now;
        let over = |t: &Try| {
            let last = if t.first { t.heard + SILENCE } else { t.deadline + PATIENCE };
            t.leaves.is_some_and(|at| at <= now) || last <= now
        };
        let leaving: Vec<Conn> = self.tries.iter().filter(|(_, t)| over(t)).map(|(c, _)| *c).collect();
        for conn in leaving {
            if let Some(t) = self.tries.remove(&conn) {
                net.cut(conn);
                if t.sent && !t.answered {
                    tape.add(Seen::Leave { no: t.no });
                }
            }
        }
    }

    fn arrive(&mut self, at: u64, net: &mut dyn Net, tape: &mut Tape) {
        if at >= self.until {
            return;
        }
        let gap = -self.rng.random_range(1e-9..1.0_f64).ln() / (self.rate * self.burst) * 1e6;
        self.schedule(at + gap as u64 + 1, Later::New);
        let shares: Vec<f64> = self.budgets.iter().flat_map(|b| &b.tenants).map(|t| t.share).collect();
        let mut draw = self.rng.random_range(0.0..1.0);
        let tenant = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let wish = self.wish(tenant.unwrap_or(0));
        self.ask(wish, net, tape);
    }

    fn wish(&mut self, tenant: usize) -> Wish {
        let mut draw = self.rng.random_range(0.0..1.0);
        let mut class = 0;
        for (i, share) in self.shares.iter().enumerate() {
            class = i;
            draw -= share;
            if draw < 0.0 {
                break;
            }
        }
        let hot = self.rng.random_bool(self.hot.clamp(0.0, 1.0));
        let system = if hot {
            self.hot_system.clone()
        } else {
            let i = self.rng.random_range(0..self.systems.len());
            self.systems.get(i).cloned().unwrap_or_default()
        };
        let mut turn = self.rng.random_range(if self.budgets.is_some() { 20..90 } else { 100..900 });
        if self.long > 0.0 && self.rng.random_bool(0.03) {
            turn = (turn as f64 * self.long * 4.0) as u64;
        }
        let n = self.next;
        let text = words(&mut self.rng, turn);
        let max_tokens = self.rng.random_range(if self.budgets.is_some() { 20..80 } else { 40..200 });
        Wish {
            identity: format!("k{n}"),
            session: format!("s{n}"),
            class,
            system,
            said: vec![(true, text)],
            max_tokens,
            stream: self.rng.random_bool(0.85),
            tries: 0,
            turns_left: self.rng.random_range(0..3),
            prompt: 0,
            tenant,
        }
    }

    /// The router that the front layer gives: any that it does not know to be dead.
    fn pick(&mut self, now: u64, tenant: usize) -> usize {
        let fit = |a: &Option<u64>| a.is_none_or(|known| known > now);
        let alive: Vec<usize> =
            self.avoid.iter().enumerate().filter(|(_, a)| fit(a)).map(|(i, _)| i).collect();
        let of_tenant = self.budgets.as_ref().map(|b| (tenant * 5 % self.routers.len().max(1), b.skew));
        if let Some((favourite, skew)) = self.favourite.or(of_tenant) {
            let others = (self.routers.len() - 1) as f64;
            if alive.contains(&favourite) && self.rng.random_bool(skew / (skew + others)) {
                return favourite;
            }
        }
        match alive.len() {
            0 => self.rng.random_range(0..self.routers.len()),
            n => alive.get(self.rng.random_range(0..n)).copied().unwrap_or(0),
        }
    }

    fn ask(&mut self, wish: Wish, net: &mut dyn Net, tape: &mut Tape) {
        let router = self.pick(tape.now, wish.tenant);
        self.ask_at(wish, router, net, tape);
    }

    fn ask_at(&mut self, mut wish: Wish, router: usize, net: &mut dyn Net, tape: &mut Tape) {
        let Some(class) = self.classes.get(wish.class) else { return };
        let share = self.rng.random_range(0.6..1.0);
        let wait = (class.deadline_us as f64 * share) as u64;
        let messages: Vec<serde_json::Value> = wish
            .said
            .iter()
            .map(|(user, text)| serde_json::json!({"role": if *user { "user" } else { "assistant" }, "content": text}))
            .collect();
        let body = serde_json::json!({
            "model": "yard-1", "system": wish.system, "messages": messages, "max_tokens": wish.max_tokens,
            "stream": wish.stream,
            "metadata": {"class": class.name, "session": wish.session, "deadline_ms": wait / 1_000, "retry": wish.tries > 0},
        });
        wish.tries += 1;
        wish.prompt = (wish.system.len() + wish.said.iter().map(|(_, t)| t.len()).sum::<usize>()) as u64 / 4;
        let key = format!("\"{}\"", wish.identity);
        let api_key =
            self.budgets.as_ref().and_then(|b| b.tenants.get(wish.tenant)).map_or("rehearsal-key", |t| t.key);
        let bearer = format!("Bearer {api_key}");
        let fields = [
            ("content-type", "application/json"),
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
        ];
        let bytes = encode::request("POST", "/v1/messages", "yard", &fields, body.to_string().as_bytes());
        let reused = self.idle.get_mut(router).and_then(Vec::pop);
        let address = self.routers.get(router).map(|r| r.1);
        let conn = match (reused, address) {
            (Some(conn), _) => Ok(conn),
            (None, Some(address)) => net.connect(address, router),
            _ => return,
        };
        let no = self.next;
        self.next += 1;
        let leaves = self.rng.random_bool(self.leaving.clamp(0.0, 1.0));
        let leaves = leaves.then(|| tape.now + self.rng.random_range(30_000..wait.max(30_001)));
        let mut t = Try {
            no,
            wish,
            router,
            bytes,
            decoder: Decoder::new(
                Side::Response,
                Limits { body_bytes: 64 * 1024 * 1024, ..Limits::default() },
            ),
            reader: sse::Reader::new(1024 * 1024),
            status: 0,
            body: Vec::new(),
            sent: false,
            streams: false,
            first: false,
            tokens: 0,
            text: String::new(),
            answered: false,
            said: None,
            deadline: tape.now + wait,
            leaves,
            heard: tape.now,
        };
        match conn {
            Ok(conn) if reused.is_some() => {
                self.send(&mut t, conn, net, tape);
                self.tries.insert(conn, t);
            }
            Ok(conn) => {
                self.tries.insert(conn, t);
            }
            Err(_) => self.again(t.wish, 100_000, tape.now),
        }
    }

    fn send(&mut self, t: &mut Try, conn: Conn, net: &mut dyn Net, tape: &mut Tape) {
        t.sent = true;
        tape.add(Seen::Ask {
            no: t.no,
            identity: t.wish.identity.clone(),
            router: self.routers.get(t.router).map(|r| r.0.clone()).unwrap_or_default(),
            class: self.classes.get(t.wish.class).map(|c| c.name.clone()).unwrap_or_default(),
            tenant: self
                .budgets
                .as_ref()
                .and_then(|b| b.tenants.get(t.wish.tenant))
                .map_or_else(String::new, |t| t.name.into()),
            prompt: t.wish.prompt,
            deadline: t.deadline,
        });
        net.send(conn, &std::mem::take(&mut t.bytes));
        if self.slow > 0.0 && t.wish.stream && self.rng.random_bool(self.slow.clamp(0.0, 1.0)) {
            // Takes nothing for the rest of its life, and leaves some time later.
            net.make_deaf(conn);
            t.leaves = Some(t.deadline.saturating_sub(200_000));
        }
    }

    pub fn owns(&self, conn: Conn) -> bool {
        self.tries.contains_key(&conn)
    }

    pub fn connected(&mut self, conn: Conn, net: &mut dyn Net, tape: &mut Tape) {
        if let Some(mut t) = self.tries.remove(&conn) {
            self.send(&mut t, conn, net, tape);
            self.tries.insert(conn, t);
        }
    }

    pub fn gone(&mut self, conn: Conn, tape: &mut Tape) {
        for idle in &mut self.idle {
            idle.retain(|c| *c != conn);
        }
        let Some(t) = self.tries.remove(&conn) else { return };
        if !t.sent {
            // Not reached: nothing was asked of any router yet.
            let router = self.routers.get(t.router).map(|r| r.0.clone()).unwrap_or_default();
            tape.add(Seen::Unreached { router });
            return self.again(t.wish, 50_000, tape.now);
        }
        if !t.answered {
            tape.add(Seen::Lost { no: t.no });
            self.after(&t, Answer::Failed, tape.now);
        }
    }

    pub fn bytes(&mut self, conn: Conn, bytes: &[u8], net: &mut dyn Net, tape: &mut Tape) {
        let Some(mut t) = self.tries.remove(&conn) else {
            // Nobody asked: a further answer on a connection that has had its own.
            for idle in &mut self.idle {
                idle.retain(|c| *c != conn);
            }
            return net.cut(conn);
        };
        t.decoder.push(bytes);
        t.heard = tape.now;
        loop {
            match t.decoder.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let Start::Response { status } = head.start {
                        t.status = status;
                    }
                    t.streams =
                        head.header("content-type").is_some_and(|c| c.starts_with("text/event-stream"));
                }
                Ok(Some(Part::Data(data))) if t.streams => self.stream(&mut t, &data, tape),
                Ok(Some(Part::Data(data))) => t.body.extend(data),
                Ok(Some(Part::End)) => {
                    self.answer(&mut t, tape);
                    let clean = t.decoder.is_idle();
                    let idle = self.idle.get_mut(t.router).filter(|i| clean && i.len() < IDLE);
                    match idle {
                        Some(idle) => idle.push(conn),
                        None => net.cut(conn),
                    }
                    return;
                }
                Ok(None) => break,
                Err(_) => {
                    net.cut(conn);
                    tape.add(Seen::Lost { no: t.no });
                    return self.after(&t, Answer::Failed, tape.now);
                }
            }
        }
        self.tries.insert(conn, t);
    }

    fn stream(&mut self, t: &mut Try, data: &[u8], tape: &mut Tape) {
        let mut events = Vec::new();
        let _ = t.reader.push(data, &mut events);
        for e in events {
            let json: serde_json::Value = serde_json::from_str(&e.data).unwrap_or_default();
            match e.name.as_str() {
                "message.opened" => {}
                "message.delta" => {
                    if !std::mem::replace(&mut t.first, true) {
                        tape.add(Seen::First { no: t.no });
                    }
                    t.tokens += 1;
                    t.text.push_str(json.get("text").and_then(|v| v.as_str()).unwrap_or(""));
                }
                "message.closed" => t.said = Some((Answer::Served, true)),
                "message.broken" => {
                    let ran = json.pointer("/error/may_have_run").and_then(|v| v.as_bool()).unwrap_or(true);
                    t.said = Some((Answer::Broken, ran));
                }
                // An event that nothing describes is a fault, seen as a second answer.
                _ => tape.add(Seen::Answer { no: t.no, how: Answer::Invalid, may_have_run: true, tokens: 0 }),
            }
        }
    }

    fn answer(&mut self, t: &mut Try, tape: &mut Tape) {
        t.answered = true;
        let json: serde_json::Value = serde_json::from_slice(&t.body).unwrap_or_default();
        let ran = json.pointer("/error/may_have_run").and_then(|v| v.as_bool()).unwrap_or(true);
        let (how, ran) = match (t.status, t.streams) {
            (200, true) => match t.said {
                Some(said) => said,
                // The message ended and no event said how.
                None => return tape.add(Seen::Lost { no: t.no }),
            },
            (200, false) => {
                t.text = json.get("content").and_then(|v| v.as_str()).unwrap_or("").to_owned();
                t.tokens = json.pointer("/usage/output_tokens").and_then(|v| v.as_u64()).unwrap_or(0);
                (Answer::Served, true)
            }
            (409, _) => (Answer::Duplicate, true),
            _ => match json.pointer("/error/type").and_then(|v| v.as_str()) {
                Some("refused") => (Answer::Refused, ran),
                Some("failed") => (Answer::Failed, ran),
                _ => (Answer::Invalid, ran),
            },
        };
        tape.add(Seen::Answer { no: t.no, how, may_have_run: ran, tokens: t.tokens });
        let wait = json.pointer("/error/retry_after").and_then(|v| v.as_f64()).unwrap_or(0.0);
        // A budget that is used up for the day is nothing to wait for.
        if how == Answer::Refused && tape.now as f64 + wait * 1e6 > self.until as f64 + 5e6 {
            return;
        }
        if how == Answer::Refused && self.rng.random_bool(self.naive.clamp(0.0, 1.0)) {
            if t.wish.tries < self.most_tries {
                self.schedule(tape.now + NAIVE, Later::Again(Box::new(t.wish.clone())));
            }
            return;
        }
        if how == Answer::Refused && wait > 0.0 && t.wish.tries < self.most_tries {
            return self.again(t.wish.clone(), (wait * 1e6) as u64, tape.now);
        }
        self.after(t, how, tape.now);
    }

    /// What a client does after an answer: its next turn, another try, or nothing.
    fn after(&mut self, t: &Try, how: Answer, now: u64) {
        let effect = self.classes.get(t.wish.class).map_or(Effect::SingleShot, |c| c.effect);
        match how {
            Answer::Served if t.wish.turns_left > 0 => {
                let mut wish = t.wish.clone();
                let n = self.next;
                wish.identity = format!("k{n}");
                wish.tries = 0;
                wish.turns_left -= 1;
                wish.said.push((false, t.text.clone()));
                let turn = self.rng.random_range(30..200);
                let text = words(&mut self.rng, turn);
                wish.said.push((true, text));
                let think = self.rng.random_range(300_000..3_000_000);
                if now + think < self.until {
                    self.schedule(now + think, Later::Again(Box::new(wish)));
                }
            }
            Answer::Refused => self.again(t.wish.clone(), 0, now),
            Answer::Failed | Answer::Broken if effect == Effect::Free => self.again(t.wish.clone(), 0, now),
            _ => {}
        }
    }

    fn again(&mut self, wish: Wish, wait: u64, now: u64) {
        if wish.tries < self.most_tries {
            let wait = wait + self.rng.random_range(50_000..300_000);
            self.schedule(now + wait, Later::Again(Box::new(wish)));
        }
    }
}
