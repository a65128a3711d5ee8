//! All decisions of chalkyard, its tables and its tuned values.
//!
//! Interface: `interface.rs` beside this file (ids, settings, events, outcomes, actions).
//! `Router::handle(now, event, &mut actions)` feeds a router. Order of reading: constants, what is
//! known, the ordinary path, verdicts, health, rule guards.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::*;
use crate::obligations::{
    proves_arrival, release_due, AnswerState, AttemptFacts, Denied, Obligations, Stage, Target,
};

// ---- Tuned values. Each is a plain ratio or count that should make sense on any site.

/// A remainder is short when the writer reads it in no more time than reads take us now, within these
/// shares of the tightest first-token aim: every stream of the writer waits for as long.
const LOCAL_LEAST: f64 = 0.13;
const LOCAL_MOST: f64 = 0.2;
/// ... up to the first while reads take over the second of that aim, pulls less than the third of reads.
const LOCAL_JAM: f64 = 1.0;
const READS_JAM: f64 = 0.5;
const WRITERS_IDLE: f64 = 0.2;
/// The source's default threshold, in tokens; ours is never lower.
const THRESHOLD_LEAST: u64 = 64;
/// Pace of a writer's own reading before any was seen, in tokens a second.
const FIRST_GUESS_PACE: f64 = 5_000.0;
/// A silent attempt is overdue after this multiple of what others take, and this share of its aim.
const OVERDUE_FACTOR: f64 = 4.0;
const OVERDUE_FLOOR: f64 = 0.4;
/// Weight of a new observation in every EWMA.
const GAIN: f64 = 0.1;
/// A failure closes this share of the gap between a worker's failing and 1, a success takes that share off;
/// from FAILING on it is benched, ever longer, first for TRIAL of our requests: two failures in a row do.
const FAIL_GAIN: f64 = 0.3;
const WELL_GAIN: f64 = 0.15;
const FAILING: f64 = 0.45;
const BENCH: Micros = Micros(1_000_000);
const BENCH_DOUBLINGS: u32 = 4;
const TRIAL: f64 = 8.0;
/// One that turned away is left alone for this span, doubled for each time in a row.
const FULL_WAIT: Micros = Micros(50_000);
const FULL_DOUBLINGS: u32 = 6;
/// ... by so many doublings at once if it reports so much room: its load is not why it turns away.
const IDLE_DOUBLINGS: u32 = 3;
const IDLE_ROOM: f64 = 0.5;
/// Share of the cold budget that is used; less by the second over the root of the number of routers.
const COLD_SHARE: f64 = 0.8;
const COLD_CHANCE: f64 = 0.7;
/// A request that finds no worker looks again after this span.
const RETRY_WAIT: Micros = Micros(40_000);
/// A writer of the preferred cell is taken until another has this much more room (share of memory;
/// without reports, in the unit of `roomiest`), one of the zone by half as much; of the cells with
/// writers to spare, one of another zone weighs so much.
const NEAR: f64 = 0.3;
const FAR: f64 = 0.25;
/// A mixed server pulls a state with so much more room than any writer: more than a near cell weighs.
const SPARE: f64 = 2.0 * NEAR;
/// So many more of our requests at both of a hashed pair than at the least busy widen the pair.
const WIDEN: u32 = 2;
/// ... and so does a beginning by its part of our other requests: to this multiple of that part of the
/// readers, judged over about this span, with so many imagined others for a start.
const HOT_WIDTH: f64 = 1.5;
const HOT_SPAN: Micros = Micros(20_000_000);
const HOT_LEAST: f64 = 5.0;
/// Each such share of a request's aim that our last read took counts as one of our reads out.
const SLOW: f64 = 0.25;
/// The share of mixed servers is raised, or by one of many routers lowered, by at most this factor.
const TILT: f64 = 3.0;
/// Without reports, a stream of ours that still waits at a writer counts as so many more.
const PENDING: f64 = 3.0;
/// A new request is refused when its forecast first token takes more than this multiple of the tightest
/// aim (beyond its tenant's share, the second), and more than so many wait, or one a worker and router.
const ADMIT: f64 = 1.0;
const ADMIT_OVER_SHARE: f64 = 0.4;
const FEW: usize = 4;
const FELT: f64 = 0.5;
/// One of more routers than this, with fewer requests than this in the tightest aim's time, goes by
/// their waits alone, and refuses the more the further they exceed this multiple.
const SELDOM: f64 = 4.0;
const SELDOM_FELT: f64 = 0.8;
/// A wait counts up to the first multiple of that aim, and from the second on without a first token.
const WAIT_CLIP: f64 = 2.0;
const MISSED: f64 = 1.5;
/// The rate of first tokens is taken over this span, and not judged before so many.
const RATE_SPAN: Micros = Micros(3_000_000);
const RATE_LEAST: f64 = 5.0;
/// After a failed call the list is asked for again after about this share of the longest span allowed.
const ASK_AGAIN: f64 = 0.1;
/// A tenant may save up this many seconds of its share.
const BUCKET_S: f64 = 2.0;
/// Bounds of the session table and of beginnings with a rate.
const HOMES_MOST: usize = 32_768;
const BEGINNINGS_MOST: usize = 4_096;

// ---- What is known.

/// An exponentially weighted mean.
#[derive(Debug, Clone, Copy, Default)]
struct Ewma(Option<f64>, Micros);

impl Ewma {
    fn add(&mut self, x: f64) {
        self.0 = Some(self.0.map_or(x, |m| m + GAIN * (x - m)));
    }

    /// The same, but old news fades with time where there is little of it.
    fn add_at(&mut self, now: Micros, x: f64) {
        let gain = 1.0 - fading(now - self.1, RATE_SPAN);
        self.0 = Some(self.0.map_or(x, |m| m + gain.max(GAIN) * (x - m)));
        self.1 = now;
    }
}

/// Events a second, older ones fading, and when the first came.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    count: f64,
    at: Micros,
    since: Option<Micros>,
}

impl Rate {
    fn fade(&self, now: Micros, span: Micros) -> f64 {
        self.count * fading(now - self.at, span)
    }

    fn add(&mut self, now: Micros, span: Micros, events: f64) {
        *self = Self { count: self.fade(now, span) + events, at: now, since: self.since.or(Some(now)) };
    }

    /// A router that has just started has seen only part of the span.
    fn per_s(&self, now: Micros, span: Micros) -> f64 {
        let span_s = span.as_secs_f64().max(1e-6);
        let age = self.since.map_or(0.0, |s| (now - s).as_secs_f64()) / span_s;
        self.fade(now, span) / (span_s * (1.0 - (-age).exp()).max(0.1))
    }
}

/// At most so many entries: when the newer half is full, the older goes, with what was not noted since.
#[derive(Debug, Clone, Default)]
struct Recent<K, V, const MOST: usize> {
    newer: BTreeMap<K, V>,
    older: BTreeMap<K, V>,
}

impl<K: Ord, V, const MOST: usize> Recent<K, V, MOST> {
    fn get(&self, key: &K) -> Option<&V> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }

    fn note(&mut self, key: K, value: V) {
        if self.newer.len() >= MOST / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, value);
    }
}

/// A worker and what this router has seen of it.
#[derive(Debug, Clone, Default)]
struct Server {
    info: Worker,
    /// When this life of it began: as told, but no later than it was told. What was sent before is not its.
    begun: Micros,
    /// From when it counts as cold: a stamp is another machine's wall clock, which may be wrong by an hour.
    cold_since: Micros,
    /// Our reads and writing attempts that are out, and those of the latter without a first token.
    reads: u32,
    read_tokens: u64,
    streams: u32,
    pending: u32,
    /// Our last read there, over its request's aim, and when it ended.
    took: (f64, Micros),
    /// Last report, and tokens of our streams sent since.
    report: Option<LoadReport>,
    since: f64,
    /// Our sends within the cold window, while it is cold; prompt tokens so far, by which notes age.
    sends: Vec<Micros>,
    poured: u64,
    /// Notes made up to this time are void: what a worker kept is lost with a restart.
    void_before: Micros,
    /// Health: share of failures, whether the last proved that nobody listens there, benches in a row,
    /// end of the bench, silent attempts past their time.
    failing: f64,
    down: bool,
    benches: u32,
    benched_until: Micros,
    overdue: u32,
    /// Refusals of a class in a row, and until when it is left alone for them: some turn away one class.
    full: BTreeMap<ClassId, (u32, Micros)>,
    /// When it last began an answer or ended a read or an answer, and the last sent of these.
    heard: Micros,
    answered: Micros,
    /// For how long attempts that ended since have waited there in vain.
    silent: Micros,
}

impl Server {
    fn kv(&self) -> f64 {
        self.info.kv_tokens.map_or(f64::INFINITY, |t| t.max(1) as f64)
    }

    /// Room by the last report less our streams sent since, as a share of its memory; the other routers
    /// are taken to send as we do, or all would herd. One not heard from has the average room.
    fn room(&self, routers: u32, average: f64) -> f64 {
        let r = self.report.unwrap_or_default();
        let waiting = r.waiting_tokens.unwrap_or(0.0) + self.since * f64::from(routers);
        self.told().unwrap_or(average) - waiting / self.kv() - r.queued.unwrap_or(0.0) * 0.02
    }

    fn cold(&self, now: Micros, slow_start_duration: Micros) -> Option<Micros> {
        self.info.started.map(|_| now - self.cold_since).filter(|age| *age < slow_start_duration)
    }

    /// Counts an attempt that is out here.
    fn count(&mut self, stage: Stage, prompt: u64) {
        let (read, write) = (u32::from(stage == Stage::Prefill), u32::from(stage == Stage::Decode));
        (self.reads, self.streams, self.pending) =
            (self.reads + read, self.streams + write, self.pending + write);
        self.read_tokens = self.read_tokens.saturating_add(prompt * u64::from(read));
    }

    /// Room as last reported.
    fn told(&self) -> Option<f64> {
        let r = self.report.filter(|r| r.kv_used.is_some() || r.slots_used.is_some())?;
        Some(1.0 - r.kv_used.unwrap_or(0.0).max(r.slots_used.unwrap_or(0.0)))
    }
}

/// Where a session's text is kept.
#[derive(Debug, Clone, Default)]
struct Home {
    worker: WorkerId,
    kept: u64,
    noted: Micros,
    poured: u64,
}

/// The next step of a request: which worker, as what, and what it is thought to keep.
type Step = (WorkerId, Stage, Option<u64>);

/// How an attempt ended, after how long, with how much kept, and its worker's load.
type End = (Outcome, Micros, u64, Option<LoadReport>);

#[derive(Debug, Clone)]
struct Try {
    worker: WorkerId,
    facts: AttemptFacts,
    /// It pulls state that a reader holds.
    pulls: bool,
    /// When its silence becomes suspicious; none once it has answered or was counted.
    due: Option<Micros>,
    /// Of a read: when its state would be due if it had ended as reads do, and its answer was lost.
    doubted: Option<Micros>,
    overdue: bool,
    unreached: bool,
    /// Tokens that the table said the worker keeps (local reads only).
    predicted: Option<u64>,
}

/// A request from arrival to its last verdict.
#[derive(Debug, Clone)]
struct Job {
    req: Request,
    arrived: Micros,
    aim: Micros,
    tries: Vec<Try>,
    /// The reader with the read state, and since when that waits: from the read's end, or the last end of an attempt that a
    /// worker is proven to have got.
    held: Option<WorkerId>,
    held_since: Micros,
    /// Its state was released beside an open pull: what that waited for is released once more when it ends.
    released_beside: bool,
    streaming: bool,
    /// Its attempt is overdue at a worker that has said nothing since: it waits there, in no queue.
    stuck: bool,
    /// A final answer was given, or the client is gone.
    done: bool,
}

impl Job {
    fn open(&self) -> bool {
        self.tries.iter().any(|t| t.facts.open)
    }

    fn waits(&self) -> bool {
        !self.streaming && !self.done && !self.stuck
    }

    fn tried(&self, w: &WorkerId) -> bool {
        self.tries.iter().any(|t| t.worker == *w && !t.facts.open)
    }
}

/// What requests of all kinds took lately.
#[derive(Debug, Clone, Default)]
struct Seen {
    /// Time from arrival to the first token over the tightest aim; prompt tokens of a request; tokens a
    /// second of local reads.
    wait: Ewma,
    prompt: Ewma,
    local_pace: Ewma,
    /// Seconds of reads, of first tokens from a pulled state, of those of requests that were sent whole.
    read_s: Ewma,
    pull_s: Ewma,
    mixed_s: Ewma,
    /// First tokens, what we are asked, and of that what has a shared beginning, by beginning.
    firsts: Rate,
    asked: Rate,
    beginnings: Recent<PrefixId, Rate, BEGINNINGS_MOST>,
    /// What a warm worker of a role finishes for us, and what it is sent, over those there were at the
    /// time: the first to come back finds none beside it. Among many routers cold ones count too: were all
    /// cold, none would finish anything that counts, and all routers would leave them idle.
    finished: BTreeMap<Role, Rate>,
    given: BTreeMap<Role, Rate>,
}

/// The decision module of one router.
#[derive(Debug, Clone)]
pub struct Router {
    set: Settings,
    seed: u64,
    now: Micros,
    servers: BTreeMap<WorkerId, Server>,
    /// Discovery has told a list since the start: what is new from then on has come just now.
    has_fresh_list: bool,
    jobs: BTreeMap<RequestId, Job>,
    /// How many of these wait for a first token, and the sum of their arrivals: open streams are not walked.
    waiting: (usize, u128),
    homes: Recent<SessionId, Home, HOMES_MOST>,
    /// What each timer wakes: a request, or asking for the list again.
    timers: BTreeMap<TimerId, Option<RequestId>>,
    next_timer: u64,
    seen: Seen,
    /// Token buckets of the tenants: tokens left, last filled.
    buckets: Vec<(f64, Micros)>,
}

impl Router {
    /// A router that knows nothing yet. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let buckets = settings.tenants.iter().map(|_| (f64::MAX, Micros(0))).collect();
        let (servers, jobs, homes, timers) = Default::default();
        let (now, next_timer, waiting, seen) = (Micros(0), 0, (0, 0), Seen::default());
        Self {
            set: settings,
            seed,
            now,
            servers,
            has_fresh_list: false,
            jobs,
            waiting,
            homes,
            timers,
            next_timer,
            seen,
            buckets,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Endpoints { update, workers } => self.apply_endpoints(update, workers, out),
            Event::Request(req) => self.request(req, out),
            Event::Streaming { id, attempt, elapsed } => self.streaming(&id, attempt, elapsed),
            Event::AttemptOutcome {
                id,
                attempt,
                outcome,
                elapsed,
                request_ended: over,
                cached_tokens: kept,
                report,
            } => {
                if let Some(mut job) = self.take(&id) {
                    self.verdict(&mut job, attempt, (outcome, elapsed, kept, report));
                    job.done |= over;
                    self.settle(job, out);
                }
            }
            Event::ClientGone(id) => {
                if let Some(mut job) = self.take(&id) {
                    self.missed(&job);
                    job.done = true;
                    self.settle(job, out);
                }
            }
            Event::Timer(timer) => match self.timers.remove(&timer) {
                Some(None) => out.push(Action::Subscribe),
                woken => {
                    if let Some(job) = woken.flatten().and_then(|id| self.take(&id)) {
                        self.settle(job, out);
                    }
                }
            },
        }
    }

    fn take(&mut self, id: &RequestId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        let waits = usize::from(job.waits());
        self.waiting = (self.waiting.0 - waits, self.waiting.1 - u128::from(job.arrived.0) * waits as u128);
        Some(job)
    }

    fn keep(&mut self, job: Job) {
        let waits = usize::from(job.waits());
        self.waiting = (self.waiting.0 + waits, self.waiting.1 + u128::from(job.arrived.0) * waits as u128);
        self.jobs.insert(job.req.id.clone(), job);
    }

    /// The list of workers. A worker that is not `In` gets nothing more from this moment on.
    fn apply_endpoints(&mut self, update: EndpointUpdate, workers: Vec<Worker>, out: &mut Vec<Action>) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::LastKnown) {
            let named: BTreeSet<WorkerId> = workers.iter().map(|w| w.id.clone()).collect();
            for s in self.servers.values_mut().filter(|s| !named.contains(&s.info.id)) {
                s.info.lifecycle = Lifecycle::Removed;
            }
        }
        for w in workers {
            match self.servers.get_mut(&w.id) {
                Some(s) if w.lifecycle == Lifecycle::Removed => s.info.lifecycle = Lifecycle::Removed,
                None if w.lifecycle == Lifecycle::Removed => {}
                Some(s) if s.info.started == w.started => s.info = w,
                _ => {
                    let begun = w.started.unwrap_or(self.now).min(self.now);
                    // Only what was there as this router began may be as old as its stamp says.
                    let cold_since = if self.has_fresh_list { self.now } else { begun };
                    let void_before = self.now;
                    let mut fresh = Server { begun, cold_since, void_before, info: w, ..Server::default() };
                    // Attempts since its start are out at this life, though we are told of it only now.
                    for job in self.jobs.values() {
                        let here =
                            |t: &&Try| t.facts.open && t.worker == fresh.info.id && t.facts.sent >= begun;
                        let Some(stage) = job.tries.iter().find(here).map(|t| t.facts.stage) else {
                            continue;
                        };
                        fresh.count(stage, job.req.prompt_tokens);
                        fresh.pending -= u32::from(job.streaming).min(fresh.pending);
                    }
                    self.servers.insert(fresh.info.id.clone(), fresh);
                }
            }
        }
        self.has_fresh_list |= matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Delta);
        // One off the list is forgotten once warm: until then what it was sent still presses on it.
        let (now, slow_start_duration) = (self.now, self.set.slow_start_duration);
        self.servers.retain(|_, s| {
            s.info.lifecycle != Lifecycle::Removed || s.cold(now, slow_start_duration).is_some()
        });
        // Where the list has to be asked for: at the start, and again some time after a call has failed. All
        // routers may have lost it at one moment, so each has a time of its own.
        let again = ASK_AGAIN * (0.5 + self.coin(self.next_timer.to_le_bytes(), "list"));
        match update {
            EndpointUpdate::LastKnown if self.set.discovery == Discovery::Poll => out.push(Action::Subscribe),
            EndpointUpdate::Failed => {
                self.set_timer(self.now + self.set.max_poll_interval.mul_f64(again), None, out)
            }
            _ => {}
        }
    }

    fn set_timer(&mut self, at: Micros, wakes: Option<RequestId>, out: &mut Vec<Action>) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, wakes);
        let after = (at - self.now).max(self.set.tick).max(Micros(1));
        out.push(Action::SetTimer { timer, after });
    }

    // ---- The ordinary path.

    fn request(&mut self, req: Request, out: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(req.class.0) else {
            return out.push(Action::Fail { id: req.id, reason: RejectionReason::UnknownClass });
        };
        let aim = class.latency_objective
            + class.latency_objective_per_1000_tokens.mul_f64(req.prompt_tokens as f64 / 1e3);
        let over_share = self.over_share(req.tenant);
        self.seen.prompt.add(req.prompt_tokens as f64);
        self.seen.asked.add(self.now, HOT_SPAN, 1.0);
        if let Some(p) = &req.prefix {
            let mut rate = self.seen.beginnings.get(p).copied().unwrap_or_default();
            rate.add(self.now, HOT_SPAN, 1.0);
            self.seen.beginnings.note(p.clone(), rate);
        }
        let (tries, held, now, [streaming, stuck, done]) = (Vec::new(), None, self.now, [false; 3]);
        let (held_since, released_beside) = (now, false);
        let job =
            Job { req, arrived: now, aim, tries, held, held_since, released_beside, streaming, stuck, done };
        let most = if over_share { ADMIT_OVER_SHARE } else { ADMIT };
        // A rise alone is no jam: first tokens are late, and those that wait have waited for half as long.
        let since = self.now - self.tightest().mul_f64(most * FELT);
        let felt = u128::from(since.0) * self.waiting.0 as u128 > self.waiting.1;
        let felt = felt && self.seen.wait.0.is_some_and(|w| w > most * FELT);
        // What its client will not wait for is not begun while first tokens are slow.
        let usual = self.seen.read_s.0.zip(self.seen.pull_s.0).map_or(0.0, |(r, p)| r + p);
        let slow = self.seen.wait.0.is_some_and(|w| w > ADMIT_OVER_SHARE);
        let doomed = slow && self.now + Micros::from_secs_f64(usual) > job.req.deadline;
        // One of many counts no queue: all refuse by how long first tokens take; workers tell of queues.
        let seldom = self.seldom();
        let late = if seldom { self.pressure() / most - SELDOM_FELT } else { 1.0 };
        let jam = seldom || (felt && self.forecast() > self.tightest().mul_f64(most));
        let jam = jam && self.coin(&*job.req.id.0, "") < late * self.queueing();
        // What has begun for its client and broke off is not given up for load: its worth is nearly earned.
        let reason = if seldom { RejectionReason::ObservedLatency } else { RejectionReason::ForecastLatency };
        match Some(reason)
            .filter(|_| jam)
            .or((doomed && self.local(&job).is_none()).then_some(RejectionReason::CannotMeetDeadline))
        {
            Some(reason) if !job.req.resumed => self.finish(job, reason, out),
            _ => self.settle(job, out),
        }
    }

    /// How long the next request is likely to wait for its first token, by Little's law, wherever the jam
    /// sits. A few that wait are never too many: a rate lags, and they keep a jam that has passed in sight.
    fn forecast(&self) -> Micros {
        let waiting = self.waiting.0;
        if waiting <= (self.servers.len() / self.set.routers.max(1) as usize).max(FEW) {
            return Micros(0);
        }
        let rate = self.seen.firsts.per_s(self.now, RATE_SPAN).max(RATE_LEAST / RATE_SPAN.as_secs_f64());
        Micros::from_secs_f64(waiting as f64 / rate)
    }

    /// Whether this is one of many routers, asked too seldom to count queues or to judge silence.
    fn seldom(&self) -> bool {
        let asked = self.seen.asked.per_s(self.now, HOT_SPAN) * self.tightest().as_secs_f64();
        asked < SELDOM && f64::from(self.set.routers) > SELDOM
    }

    /// Of the workers of a role that we heard from lately the part where requests wait, the largest of the
    /// roles: by its last few first tokens alone a router refuses though only some are slow.
    fn queueing(&self) -> f64 {
        let mut told: BTreeMap<Role, (f64, f64)> = BTreeMap::new();
        let lately = |s: &&Server| s.info.lifecycle == Lifecycle::Active && self.now - s.heard < HOT_SPAN;
        for s in self.servers.values().filter(lately) {
            let Some(queued) = s.report.and_then(|r| r.queued) else { continue };
            let (n, queues) = told.entry(s.info.role).or_default();
            (*n, *queues) = (*n + 1.0, *queues + f64::from(u8::from(queued >= 1.0)));
        }
        told.values().map(|(n, queues)| queues / n).reduce(f64::max).unwrap_or(1.0)
    }

    /// How long first tokens take over the tightest aim, of those that wait too; fading, lacking news.
    fn pressure(&self) -> f64 {
        let seen = self.seen.wait.0.unwrap_or(0.0) * fading(self.now - self.seen.wait.1, RATE_SPAN);
        let ages = self.jobs.values().filter(|j| j.waits()).map(|j| self.waited(j)).filter(|a| *a > seen);
        let (n, sum) = ages.fold((1.0, seen), |(n, sum), a| (n + 1.0, sum + a.min(WAIT_CLIP)));
        sum / n
    }

    fn waited(&self, job: &Job) -> f64 {
        (self.now - job.arrived).as_secs_f64() / self.tightest().as_secs_f64().max(1e-6)
    }

    /// What a writer reads by itself, in tokens a second, as local reads show it.
    fn pace(&self) -> f64 {
        self.seen.local_pace.0.unwrap_or(FIRST_GUESS_PACE).max(1.0)
    }

    fn tightest(&self) -> Micros {
        self.set.classes.iter().map(|c| c.latency_objective).min().unwrap_or_default()
    }

    /// Takes a request from its tenant's token bucket; tells whether it is beyond the share.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(i) = tenant.map(|t| t.0) else { return false };
        let rate = self.set.tenants.get(i).and_then(|t| t.allowance_per_s);
        let (Some(rate), Some((left, filled))) = (rate, self.buckets.get_mut(i)) else { return false };
        let rate = rate / f64::from(self.set.routers.max(1));
        *left = (*left + rate * (self.now - *filled).as_secs_f64()).min(rate * BUCKET_S + 1.0);
        *filled = self.now;
        let over = *left < 1.0;
        *left -= if over { 0.0 } else { 1.0 };
        over
    }

    /// Brings a request one step on, whatever woke it, and keeps it while anything is open.
    fn settle(&mut self, mut job: Job, out: &mut Vec<Action>) {
        self.mark_overdue(&mut job, out);
        let open = job.open();
        // Whatever is open: a pull that has not arrived takes nothing, and one that has keeps what it takes.
        let release = self.now >= self.release_at(&job) || (job.done && !open);
        if job.held.is_some() && release {
            out.push(Action::ReleaseReservation(job.req.id.clone()));
            job.held = None;
            job.released_beside = open;
        } else if !open && std::mem::take(&mut job.released_beside) {
            // A release frees nothing that an attempt waits for.
            out.push(Action::ReleaseReservation(job.req.id.clone()));
        }
        self.cancel_overtaken_reads(&mut job, out);
        if !open && !job.done {
            // In a jam that many routers share, repeating what may have run makes the jam.
            let spent =
                self.seldom() && job.tries.iter().any(|t| t.facts.may_have_run) && self.pressure() > FELT;
            if spent || self.now + self.set.tick + self.set.tick >= job.req.deadline {
                let reason = if spent { RejectionReason::Congested } else { self.barred(&job) };
                return self.finish(job, reason, out);
            }
            if let Some(step) = self.choose(&job) {
                self.send(&mut job, step, out);
            } else if let Some(denied) = self.obligations(&job).hopeless(self.now) {
                let reason = if denied == Denied::MayHaveRun {
                    RejectionReason::MayHaveRun
                } else {
                    RejectionReason::AttemptsExhausted
                };
                return self.finish(job, reason, out);
            }
        }
        if job.done && !job.open() {
            return;
        }
        self.wake(&job, out);
        self.keep(job);
    }

    /// A read whose reader has answered later ones, and for which its state would have been due by now, has a connection
    /// that fell silent: it may have ended long ago, and what it left has to be released. It is called back.
    fn cancel_overtaken_reads(&self, job: &mut Job, out: &mut Vec<Action>) {
        if job.done || !self.set.may_cancel {
            return;
        }
        let now = self.now;
        for (i, t) in job.tries.iter_mut().enumerate().filter(|(_, t)| t.facts.open) {
            if t.doubted.is_none_or(|at| at > now) {
                continue;
            }
            let overtaken = self.servers.get(&t.worker).is_some_and(|s| s.answered > t.facts.sent);
            // Seldomer each time: a later read is answered soon, or none is.
            let again = now + (now - t.facts.sent).max(self.set.tick);
            t.doubted = Some(again).filter(|_| !overtaken);
            if overtaken {
                out.push(Action::Cancel { id: job.req.id.clone(), attempt: AttemptNo(i as u32) });
                t.due = None;
            }
        }
    }

    fn release_at(&self, job: &Job) -> Micros {
        release_due(job.held_since, self.set.reservation_timeout)
    }

    fn wake(&mut self, job: &Job, out: &mut Vec<Action>) {
        let open = job.tries.iter().filter(|t| t.facts.open);
        let due = open.flat_map(|t| t.due.into_iter().chain(t.doubted)).min();
        let last_call = job.req.deadline - self.set.tick - self.set.tick;
        let held = job.held.as_ref().map(|_| self.release_at(job));
        let next = (self.now + RETRY_WAIT).min(last_call);
        let next = if job.open() { due } else { Some(next) };
        if let Some(at) = next.into_iter().chain(held).min() {
            self.set_timer(at, Some(job.req.id.clone()), out);
        }
    }

    fn choose(&self, job: &Job) -> Option<Step> {
        if let Some(reader) = &job.held {
            let w = self.roomiest(job, Some(reader))?;
            return Some((w, Stage::Decode, None));
        }
        if let Some((w, kept)) = self.local(job) {
            return Some((w, Stage::Decode, Some(kept)));
        }
        let (mixed, readers) = (self.hashable(job, Role::Combined), self.hashable(job, Role::Prefill));
        let writers = self.pool(job, |r| r == Role::Decode);
        if readers.is_empty() || (writers.is_empty() && mixed.is_empty()) || self.mixed_turn(job, &mixed) {
            if let Some(s) = self.hashed(job, &mixed) {
                return Some((s, Stage::Decode, None));
            }
        }
        if let Some(s) = self.hashed(job, &readers) {
            return Some((s, Stage::Prefill, None));
        }
        // No reader is left, not merely full: a writer reads, if it can.
        let left =
            |s: &Server| s.info.role == Role::Prefill && s.info.lifecycle == Lifecycle::Active && !s.down;
        let obligations = self.obligations(job);
        let left = |s: &Server| left(s) && self.may_run(&obligations, s) && self.cold_room(job, s);
        if !self.set.self_prefill || self.servers.values().any(left) {
            return None;
        }
        Some((self.roomiest(job, None)?, Stage::Decode, None))
    }

    /// A short remainder is read where it is written: at home, or, with a short prompt, at the roomiest.
    fn local(&self, job: &Job) -> Option<(WorkerId, u64)> {
        let tightest = self.tightest();
        let (read, pull) = (self.seen.read_s.0.unwrap_or(0.0), self.seen.pull_s.0.unwrap_or(0.0));
        // While readers jam and writers do not, as with half of the readers gone, these read more; where
        // they report nothing their streams would fall behind unseen.
        let idle = read > tightest.as_secs_f64() * READS_JAM && pull < read * WRITERS_IDLE;
        let idle = idle && self.set.load_reporting != LoadReporting::Off && self.seldom();
        let most = if idle { LOCAL_JAM } else { LOCAL_MOST };
        let (least, most) = (tightest.mul_f64(LOCAL_LEAST), tightest.mul_f64(most));
        let even = Micros::from_secs_f64(read - 2.0 * pull).clamp(least, most);
        let threshold = ((even.as_secs_f64() * self.pace()) as u64).max(THRESHOLD_LEAST);
        let home = job.req.session.as_ref().and_then(|s| self.homes.get(s)).and_then(|h| {
            let s = self.servers.get(&h.worker)?;
            // A note ages with what was poured over it: memory is finite and others pour as well.
            let poured = (s.poured - h.poured.min(s.poured)) as f64 * f64::from(self.set.routers);
            (h.noted > s.void_before && poured < s.kv()).then_some((s, h))
        });
        let Some((s, h)) = home else {
            let short = job.req.prompt_tokens < threshold && self.set.self_prefill;
            return short.then(|| self.roomiest(job, None)).flatten().map(|w| (w, 0));
        };
        let short = job.req.prompt_tokens.saturating_sub(h.kept) < threshold && !job.tried(&s.info.id);
        let can = short && (s.info.role == Role::Combined || self.set.self_prefill);
        let can = can && self.pool(job, |r| r != Role::Prefill).iter().any(|p| p.info.id == s.info.id);
        can.then(|| (s.info.id.clone(), h.kept.min(job.req.prompt_tokens)))
    }

    /// Mixed servers take their share: as many of our requests out on each as on the others, more where
    /// the way over a reader takes longer to the first token. Guards against few or slow readers and a
    /// jam of writers; harms where mixed servers answer early and write slowly, so it is bounded. A coin
    /// decides on the fraction; one of many routers starts with fewer, fewest for slow ones.
    fn mixed_turn(&self, job: &Job, mixed: &[&Server]) -> bool {
        let split = |s: &&Server| s.info.lifecycle == Lifecycle::Active && s.info.role != Role::Combined;
        let out: u32 = self.servers.values().filter(split).map(|s| s.reads + s.streams).sum();
        let n = self.servers.values().filter(split).count() as u32;
        let here: u32 = mixed.iter().map(|s| s.reads + s.streams).sum();
        let split = self.seen.read_s.0.zip(self.seen.pull_s.0).map(|(r, p)| r + p);
        let least = if self.seldom() { 1.0 / TILT } else { 1.0 };
        let ratio = split.zip(self.seen.mixed_s.0).map_or(least, |(s, m)| s / m.max(1e-6));
        let part = mixed.len() as f64 * ratio.clamp(least, TILT);
        let due = f64::from(here + out + 1) * part / (part + f64::from(n)).max(1e-6);
        f64::from(here) < due.floor() + f64::from(u8::from(self.coin(&*job.req.id.0, "") < due.fract()))
    }

    /// Rendezvous hashing of the shared beginning, else the session, over the pool: of the first two, the
    /// one with fewer of our requests out; of like ones, one by session, whose earlier prompts it keeps.
    fn hashed(&self, job: &Job, pool: &[&Server]) -> Option<WorkerId> {
        let session = job.req.session.as_ref().map_or(&job.req.id.0, |s| &s.0);
        let key = job.req.prefix.as_ref().map_or(session, |p| &p.0);
        let rank = |key: &str| {
            let salt = xxh3_64_with_seed(key.as_bytes(), 0);
            move |s: &Server| xxh3_64_with_seed(s.info.id.0.as_bytes(), salt)
        };
        let (by_key, by_session) = (rank(key), rank(session));
        let mut ranked = pool.to_vec();
        ranked.sort_by_cached_key(|s| std::cmp::Reverse(by_key(s)));
        // A very long prompt counts as as many reads as there are usual ones in it.
        let usual = self.seen.prompt.0.unwrap_or(1.0).max(1.0);
        // One of many routers has no reads out to tell a busy reader by, but how long its last one took.
        let seldom = self.seldom();
        let lately = |s: &Server| s.took.0 * fading(self.now - s.took.1, HOT_SPAN);
        let slow = |s: &Server| if seldom { (lately(s) / SLOW) as u32 } else { 0 };
        let load = |s: &Server| match s.info.role {
            Role::Combined => s.streams,
            _ => s.reads.max((s.read_tokens as f64 / usual) as u32) + slow(s),
        };
        // One of many routers knows nothing of a cold one: it is no better than the warm ones in the mean,
        // or all routers would turn to it once these are slow.
        let warm = pool.iter().filter(|s| seldom && !self.is_cold(s)).map(|s| load(s));
        let (n, sum) = warm.fold((0, 0), |(n, sum), l| (n + 1, sum + l));
        let load = |s: &Server| load(s).max(if self.is_cold(s) { sum / n.max(1) } else { 0 });
        let least = pool.iter().map(|s| load(s)).min().unwrap_or(0);
        // A shared beginning can be too hot for two, or one of them slow: the pair widens in the order of the
        // hash, to its part of our other requests or past those with too many of our reads out.
        let hot = job.req.prefix.as_ref().and_then(|p| self.seen.beginnings.get(p));
        let hot = hot.map_or(0.0, |r| r.fade(self.now, HOT_SPAN) - 1.0).max(0.0);
        let part = hot / (self.seen.asked.fade(self.now, HOT_SPAN) + HOT_LEAST);
        let width = ((part * HOT_WIDTH * pool.len() as f64).ceil() as usize).max(2);
        let pair = ranked.iter().take(width).min_by_key(|s| (load(s), by_session(s)));
        let open = |s: &&&Server| load(s) < least + WIDEN;
        pair.filter(open).or(ranked.iter().find(open)).map(|s| s.info.id.clone())
    }

    /// The worker with most room. A mixed server pulls a state where no writer may be used, or where it has
    /// more room than any writer by `SPARE`: writers' memory can be full while their slots are not.
    fn roomiest(&self, job: &Job, from: Option<&WorkerId>) -> Option<WorkerId> {
        let [writers, mixed] = [Role::Decode, Role::Combined].map(|role| self.pool(job, |r| r == role));
        let (pool, others) = if writers.is_empty() { (mixed, writers) } else { (writers, mixed) };
        let (mean, others_mean) = (mean_room(&pool), mean_room(&others).filter(|_| from.is_some()));
        // Without reports the unit is our streams; a difference under the root of others' tells nothing.
        let ours = pool.iter().map(|s| f64::from(s.streams)).sum::<f64>() / pool.len().max(1) as f64;
        let unknown = f64::from(self.set.routers.saturating_sub(1)) * ours;
        let unit = if mean.is_none() { 1.0 + NEAR * ours + unknown.sqrt() } else { 1.0 };
        let at = from.and_then(|r| self.servers.get(r)).map(|s| &s.info);
        let cell = at.and_then(|r| self.cell_for(job, r, &pool));
        pool.iter()
            .map(|s| (s, mean.unwrap_or_default(), 0.0))
            .chain(others.iter().filter_map(|s| Some((s, mean.and(others_mean)?, SPARE))))
            .map(|(s, mean_room, handicap)| {
                let weight = if self.set.weighted { s.info.weight.max(0.01) } else { 1.0 };
                let room = if mean.is_none() {
                    // One that has no first token yet tells of a queue there.
                    -(f64::from(s.streams) + f64::from(s.pending) * PENDING) / weight
                } else {
                    // One that has just started is known to be empty.
                    s.room(self.set.routers, if self.is_cold(s) { 1.0 } else { mean_room })
                };
                let near = match at {
                    Some(_) if cell == Some(s.info.cell) => NEAR,
                    Some(r) if r.zone == s.info.zone => NEAR / 2.0,
                    _ => 0.0,
                };
                (room + near * unit - handicap, self.coin(&*job.req.id.0, &s.info.id.0), *s)
            })
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, s)| s.info.id.clone())
    }

    /// The cell whose writers are preferred: the reader's, which spares the link that the whole cell shares.
    /// Where it has more of the readers than of the writers, these can take only their part: a coin sends
    /// the rest to cells with writers to spare, those of the reader's zone first.
    fn cell_for(&self, job: &Job, at: &Worker, pool: &[&Server]) -> Option<CellId> {
        let reads = |s: &&Server| s.info.role == Role::Prefill && s.info.lifecycle != Lifecycle::Removed;
        let mut cells: BTreeMap<CellId, (f64, f64)> = BTreeMap::new();
        self.servers.values().filter(reads).for_each(|s| cells.entry(s.info.cell).or_default().0 += 1.0);
        pool.iter().for_each(|s| cells.entry(s.info.cell).or_default().1 += 1.0);
        // Readers of a cell for each of its writers, over those of all.
        let usual = self.peers(Role::Prefill) / pool.len().max(1) as f64;
        let burden = |at: &CellId| cells.get(at).map_or(0.0, |(r, w)| r / w.max(1e-9) / usual);
        if self.coin(&*job.req.id.0, &at.id.0) * burden(&at.cell) < 1.0 {
            return Some(at.cell);
        }
        let zone = |s: &Server| if s.info.zone == at.zone { 1.0 } else { FAR };
        let spare = |s: &Server| (1.0 - burden(&s.info.cell)).max(0.0) * zone(s);
        // The largest of such powers of a coin falls to each as often as its exponent's inverse weighs.
        let lot = |s: &Server| self.coin(&*job.req.id.0, &s.info.id.0).powf(1.0 / spare(s));
        let lots = pool.iter().filter(|s| spare(s) > 0.0).map(|s| (lot(s), s.info.cell));
        lots.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, cell)| cell)
    }

    fn coin(&self, what: impl AsRef<[u8]>, w: &str) -> f64 {
        let hash = xxh3_64_with_seed(w.as_bytes(), self.seed ^ xxh3_64_with_seed(what.as_ref(), self.seed));
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The one place that sends.
    fn send(&mut self, job: &mut Job, (worker, stage, predicted): Step, out: &mut Vec<Action>) {
        let now = self.now;
        let (retry_safety, pace) = (self.retry_safety(job).0, self.pace());
        let must_end = self.obligations(job).must_end().filter(|_| stage == Stage::Decode);
        let Some(s) = self.servers.get(&worker) else { return };
        let (cold, trial, role) = (self.is_cold(s), s.failing >= FAILING || !self.fit(s), s.info.role);
        let part = if cold && f64::from(self.set.routers) <= SELDOM { 0.0 } else { 1.0 / self.peers(role) };
        self.seen.given.entry(role).or_default().add(now, self.set.slow_start_duration, part);
        let Some(s) = self.servers.get_mut(&worker) else { return };
        if cold {
            s.sends.retain(|t| *t + self.set.overload_window > now);
            s.sends.push(now);
        }
        s.poured = s.poured.saturating_add(job.req.prompt_tokens);
        s.count(stage, job.req.prompt_tokens);
        s.since += if stage == Stage::Decode { job.req.prompt_tokens as f64 } else { 0.0 };
        let usual = match stage {
            Stage::Prefill => self.seen.read_s,
            Stage::Decode if job.held.is_some() => self.seen.pull_s,
            Stage::Decode => self.seen.mixed_s,
        };
        // What lies before it, and itself, has to be read; what waited in vain is part of the silence.
        let reading = (s.read_tokens as f64 + job.req.prompt_tokens as f64) / pace;
        let usual = Micros::from_secs_f64(usual.0.unwrap_or(0.0) * OVERDUE_FACTOR);
        let patience = job.aim.mul_f64(OVERDUE_FLOOR).max(usual - s.silent) + Micros::from_secs_f64(reading);
        // Where nothing can be cancelled, a time-out has to be set beforehand.
        let again = stage == Stage::Prefill || retry_safety == RetrySafety::Idempotent;
        let timeout = Some(patience + patience).filter(|g| !self.set.may_cancel && again && g.0 > 0);
        let must_end = must_end.map(|at| (at - now).max(self.set.tick));
        let timeout = timeout.into_iter().chain(must_end).min();
        let (due, at) = (Some(now + patience), worker.clone());
        let facts = AttemptFacts::new(stage, now, target(s));
        let (pulls, overdue, unreached) = (job.held.is_some(), false, false);
        // From the time that reads take as a rule; their mean holds those that waited for a silent worker.
        let usual_read = Micros::from_secs_f64(self.seen.read_s.0.unwrap_or(0.0));
        let usual_read = usual_read.min(job.aim.mul_f64(OVERDUE_FLOOR));
        let doubted = release_due(now + usual_read, self.set.reservation_timeout);
        let doubted = Some(doubted).filter(|_| stage == Stage::Prefill);
        job.tries.push(Try { worker: at, facts, pulls, due, doubted, overdue, unreached, predicted });
        let kind = if cold { AttemptKind::SlowStart } else { AttemptKind::Normal };
        let kind = if trial { AttemptKind::Probe } else { kind };
        // While no connection comes up a state waits for nobody: half of its time is left for another writer.
        let left = job.held.as_ref().map(|_| (self.release_at(job) - now).mul_f64(0.5).max(self.set.tick));
        out.push(Action::Send { id: job.req.id.clone(), worker, timeout, connect_timeout: left, kind });
    }

    // ---- What comes back.

    fn streaming(&mut self, id: &RequestId, attempt: AttemptNo, elapsed: Micros) {
        let Some(mut job) = self.take(id) else { return };
        job.streaming = true;
        let (wait, took) = (self.waited(&job), elapsed.as_secs_f64());
        let hung = job.tries.get(attempt.0 as usize).is_some_and(|t| hung(&self.servers, t));
        let pulls = job.tries.get(attempt.0 as usize).is_some_and(|t| t.pulls);
        match job.tries.get(attempt.0 as usize).and_then(|t| t.predicted) {
            _ if hung => {}
            _ if pulls => self.seen.pull_s.add(took),
            Some(kept) => {
                let read = job.req.prompt_tokens.saturating_sub(kept) as f64;
                self.seen.local_pace.add(read / took.max(1e-3));
            }
            None => self.seen.mixed_s.add(took),
        }
        (job.held, job.released_beside) = (None, false);
        self.seen.firsts.add(self.now, RATE_SPAN, 1.0);
        self.seen.wait.add_at(self.now, wait.min(WAIT_CLIP));
        if let Some(t) = job.tries.get_mut(attempt.0 as usize) {
            t.due = None;
            if let Some(s) = life(&mut self.servers, t) {
                s.pending = s.pending.saturating_sub(1);
                s.answered = s.answered.max(t.facts.sent);
                s.full.remove(&job.req.class);
                s.overdue -= u32::from(std::mem::take(&mut t.overdue)).min(s.overdue);
                (s.heard, s.silent) = (self.now, Micros(0));
            }
        }
        self.keep(job);
    }

    /// Books the end of an attempt.
    fn verdict(&mut self, job: &mut Job, attempt: AttemptNo, (outcome, elapsed, kept, report): End) {
        let (bench, seldom) = (self.bench(), self.seldom());
        let (many, mut warm) = (f64::from(self.set.routers) > SELDOM, None);
        let Some(t) = job.tries.get_mut(attempt.0 as usize).filter(|t| t.facts.open) else { return };
        t.facts.end(outcome);
        t.due = None;
        let (now, hung) = (self.now, hung(&self.servers, t));
        t.unreached = matches!(outcome, Outcome::NoConnection | Outcome::NotSent);
        // What is not proven to have reached anybody was never out: the time for which the state is held runs on.
        job.held_since = if proves_arrival(outcome) || job.held.is_none() { now } else { job.held_since };
        if let Some(s) = life(&mut self.servers, t) {
            let (read, write) =
                (u32::from(t.facts.stage == Stage::Prefill), u32::from(t.facts.stage == Stage::Decode));
            s.reads = s.reads.saturating_sub(read);
            s.read_tokens = s.read_tokens.saturating_sub(job.req.prompt_tokens * u64::from(read));
            s.streams = s.streams.saturating_sub(write);
            s.pending = s.pending.saturating_sub(if job.streaming { 0 } else { write });
            let slow = std::mem::take(&mut t.overdue);
            s.overdue -= u32::from(slow).min(s.overdue);
            if let Some(r) = report {
                s.report = Some(r);
                s.since = 0.0;
            } else if t.facts.stage == Stage::Decode {
                s.since = (s.since - job.req.prompt_tokens as f64).max(0.0);
            }
            s.down = outcome == Outcome::NoConnection;
            if t.facts.stage == Stage::Prefill {
                s.took = (elapsed.as_secs_f64() / job.aim.as_secs_f64().max(1e-6), now);
            }
            if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && s.heard < t.facts.sent && !seldom
            {
                s.silent = s.silent + elapsed;
            }
            match outcome {
                Outcome::Rejected { no_state: false } => {
                    let queued = s.report.and_then(|r| r.queued).unwrap_or(0.0);
                    let idle = queued < 1.0 && s.told().is_some_and(|room| room > IDLE_ROOM);
                    let (refusals, until) = s.full.entry(job.req.class).or_default();
                    *until = now + Micros(FULL_WAIT.0 << *refusals);
                    *refusals = (*refusals + if idle { IDLE_DOUBLINGS } else { 1 }).min(FULL_DOUBLINGS);
                }
                Outcome::Served | Outcome::Prefilled => {
                    s.full.remove(&job.req.class);
                    s.failing *= 1.0 - WELL_GAIN;
                    s.benches = if s.failing < FAIL_GAIN / 2.0 { 0 } else { s.benches };
                    (s.heard, s.silent) = (now, Micros(0));
                    s.answered = s.answered.max(t.facts.sent);
                    warm =
                        (many || s.cold(now, self.set.slow_start_duration).is_none()).then_some(s.info.role);
                }
                // Where nothing good was heard lately one failure says enough: two may take minutes.
                Outcome::ServerError | Outcome::NoConnection | Outcome::ConnectionLost => {
                    let lately = s.heard + BENCH > now && !s.down;
                    strike(s, now, if lately { FAIL_GAIN } else { FAILING }, bench)
                }
                // Long silence weighs more; a client that gives up early says nothing of the worker.
                Outcome::TimedOut | Outcome::Cancelled
                    if (slow || elapsed >= job.aim) && !job.streaming && !job.done =>
                {
                    // One that has answered later ones did not hang: the connection did.
                    strike(s, now, if s.answered > t.facts.sent { FAIL_GAIN } else { 1.0 }, bench);
                }
                _ => {}
            }
            // The count corrects the note: far less kept than was told voids older notes there.
            let told = t.predicted.unwrap_or(0);
            if outcome == Outcome::Served && kept.saturating_mul(2) < told {
                s.void_before = s.void_before.max(t.facts.sent);
            }
            if let (Outcome::Served, Some(session)) = (outcome, &job.req.session) {
                let (worker, kept) = (t.worker.clone(), job.req.prompt_tokens);
                let home = Home { worker, kept, noted: now, poured: s.poured };
                self.homes.note(session.clone(), home);
            }
        }
        if let Some(role) = warm {
            let part = 1.0 / self.peers(role);
            self.seen.finished.entry(role).or_default().add(now, self.set.slow_start_duration, part);
        }
        match outcome {
            Outcome::Prefilled => {
                let (took, mean) = (elapsed.as_secs_f64(), self.seen.read_s.0);
                self.seen.read_s.add(mean.filter(|_| hung).unwrap_or(took));
                job.held = Some(t.worker.clone());
            }
            Outcome::Rejected { no_state: true } => (job.held, job.released_beside) = (None, false),
            _ => {}
        }
        // A whole answer that broke may be tried again, and has then not begun.
        (job.streaming, job.stuck) = (false, false);
    }

    fn bench(&self) -> Micros {
        let rate = self.seen.asked.per_s(self.now, HOT_SPAN).max(1e-3);
        Micros::from_secs_f64(TRIAL / rate).clamp(BENCH, Micros(BENCH.0 << BENCH_DOUBLINGS))
    }

    /// Counts attempts whose silence has lasted too long against their worker. One that has said
    /// nothing to anybody since is taken to hang: what can be repeated is called back from it; so is, after
    /// twice the time, what later ones have overtaken: its connection hangs.
    fn mark_overdue(&mut self, job: &mut Job, out: &mut Vec<Action>) {
        let free = self.retry_safety(job).0 == RetrySafety::Idempotent;
        let (now, id, done, seldom) = (self.now, &job.req.id, job.done, self.seldom());
        for (i, t) in job.tries.iter_mut().enumerate().filter(|(_, t)| t.facts.open) {
            if t.due.is_none_or(|d| d > now) {
                continue;
            }
            t.due = Some(now + (now - t.facts.sent).max(self.set.tick));
            let (mut heard, late) = (false, t.overdue);
            if let Some(s) = life(&mut self.servers, t) {
                s.overdue += u32::from(!std::mem::replace(&mut t.overdue, true));
                heard = s.heard > t.facts.sent && !(late && s.answered > t.facts.sent);
            }
            job.stuck = !heard;
            let again = t.facts.stage == Stage::Prefill || free;
            if !heard && !seldom && again && !done && self.set.may_cancel {
                out.push(Action::Cancel { id: id.clone(), attempt: AttemptNo(i as u32) });
                t.due = None;
            }
        }
    }

    /// A request without a first token counts as a long wait: a jam that clients leave would look short.
    fn missed(&mut self, job: &Job) {
        if job.waits() && !job.tries.is_empty() {
            self.seen.wait.add_at(self.now, self.waited(job).clamp(MISSED, WAIT_CLIP));
        }
    }

    /// Gives the final answer: a refusal where that is allowed, else a failure.
    fn finish(&mut self, mut job: Job, reason: RejectionReason, out: &mut Vec<Action>) {
        let id = job.req.id.clone();
        self.missed(&job);
        if job.held.take().is_some() {
            out.push(Action::ReleaseReservation(id.clone()));
        }
        job.done = true;
        if self.now + self.set.tick < job.req.deadline && self.obligations(&job).may_reject().is_ok() {
            // Until the queue that we see falls to what is admitted; one asked seldom goes by first tokens.
            let late = if self.seldom() { self.pressure() - SELDOM_FELT } else { 0.0 };
            let drained = self.forecast() - self.tightest().mul_f64(ADMIT / 2.0);
            let drained = drained.max(self.tightest().mul_f64(late));
            let retry_after = Some(drained.min(self.set.max_retry_after)).filter(|t| t.0 > 0);
            out.push(Action::Reject { id, retry_after, reason });
        } else {
            out.push(Action::Fail { id, reason });
        }
        if job.open() {
            self.keep(job);
        }
    }

    // ---- Health and the guards of the rules.

    /// Workers that may get the next attempt. Benched and silent ones are left out unless they are more than
    /// half: then the trouble is elsewhere. One where nobody listens stays out: it would eat every attempt.
    fn pool(&self, job: &Job, role: impl Fn(Role) -> bool) -> Vec<&Server> {
        self.some(job, role, |s| self.cold_room(job, s))
    }

    /// Those that a hash may fall on. One of many seldom has room for a cold one just when its hash falls on
    /// it: all would leave it idle. So a coin a request takes it in beside warm ones of its role, as often as
    /// it is warm, less by what these are sent in vain, and by half of the budget where most are cold.
    fn hashable(&self, job: &Job, role: Role) -> Vec<&Server> {
        let fade = |r: &Rate| r.fade(self.now, self.set.slow_start_duration);
        if self.seldom() {
            let listed = |s: &&Server| s.info.role == role && s.info.lifecycle == Lifecycle::Active;
            let peers = self.servers.values().filter(listed).map(|s| self.present(s));
            let (n, all) = peers.fold((0.0, 0.0), |(n, all), s| (n + 1.0, all + s));
            let most = (self.set.overload_multiple * COLD_SHARE / 2.0 * all / f64::max(n, 1.0)).min(1.0);
            // With one imagined that was finished: a router that has just begun knows of none.
            let of = |r: &BTreeMap<Role, Rate>| r.get(&role).map_or(0.0, fade) + 1.0 / self.peers(role);
            let part = most * (of(&self.seen.finished) / of(&self.seen.given)).min(1.0);
            let turn = |s: &Server| {
                self.coin(&*job.req.id.0, &s.info.id.0) < self.present(s) * part / self.long(job)
            };
            let room = |(sent, budget): (f64, f64)| sent < budget.floor().max(1.0);
            let turn = |s: &Server| !self.is_cold(s) || (room(self.cold_budget(job, s)) && turn(s));
            let some = self.some(job, |r| r == role, turn);
            if some.iter().any(|s| !self.is_cold(s)) {
                return some;
            }
        }
        self.pool(job, |r| r == role)
    }

    fn some(&self, job: &Job, role: impl Fn(Role) -> bool, room: impl Fn(&Server) -> bool) -> Vec<&Server> {
        let serves = |s: &&Server| s.info.lifecycle == Lifecycle::Active && role(s.info.role);
        let answers = |s: &&Server| !s.down || self.fit(s) || s.failing < FAILING;
        let all: Vec<&Server> = self.servers.values().filter(serves).filter(answers).collect();
        let fit: Vec<&Server> = all.iter().copied().filter(|s| self.fit(s)).collect();
        let judged = if fit.len() * 2 >= all.len() { fit } else { all };
        // One that turns away looks empty and is not sick: it is left alone for a moment, longer each time.
        let full = |s: &Server| s.full.get(&job.req.class).is_some_and(|(_, until)| self.now < *until);
        let obligations = self.obligations(job);
        let ready = |s: &&Server| !full(s) && self.may_run(&obligations, s) && room(s);
        let allowed: Vec<&Server> = judged.into_iter().filter(ready).collect();
        let fresh: Vec<&Server> = allowed.iter().copied().filter(|s| !job.tried(&s.info.id)).collect();
        // Where one could not be reached, the next may be behind the same cut: another zone's is tried first.
        let at = |t: &Try| self.servers.get(&t.worker).filter(|_| t.unreached).map(|a| a.info.zone);
        let cut = |s: &&Server| job.tries.iter().any(|t| at(t) == Some(s.info.zone));
        let near: Vec<&Server> = fresh.iter().copied().filter(|s| !cut(s)).collect();
        [near, fresh].into_iter().find(|f| !f.is_empty()).unwrap_or(allowed)
    }

    fn fit(&self, s: &Server) -> bool {
        let trial = s.failing < FAILING || s.reads + s.streams == 0;
        self.now >= s.benched_until && trial && s.overdue == 0
    }

    fn retry_safety(&self, job: &Job) -> (RetrySafety, Micros) {
        let class = self.set.classes.get(job.req.class.0);
        class.map_or((RetrySafety::NonIdempotent, Micros(0)), |c| (c.retry_safety, c.dedup_window))
    }

    /// What is owed for a request, as it stands.
    fn obligations(&self, job: &Job) -> Obligations {
        let (retry_safety, window) = self.retry_safety(job);
        Obligations {
            retry_safety,
            deduplication_window: window,
            deadline: job.req.deadline,
            max_attempts: self.set.max_attempts,
            attempts: job.tries.iter().map(|t| t.facts).collect(),
            answer: if job.done { AnswerState::Given } else { AnswerState::Owed },
            reserved_at: job.held.as_ref().map(|_| job.held_since),
        }
    }

    /// Whether a request may go to this worker now.
    fn may_run(&self, obligations: &Obligations, s: &Server) -> bool {
        obligations.may_send(self.now, &target(s)).is_ok()
    }

    /// What kept a request whose time is up from its next attempt.
    fn barred(&self, job: &Job) -> RejectionReason {
        let other = if job.held.is_some() { Role::Prefill } else { Role::Decode };
        let serves = |s: &&Server| s.info.lifecycle == Lifecycle::Active && s.info.role != other;
        let full = |s: &Server| s.full.get(&job.req.class).is_some_and(|(_, until)| self.now < *until);
        let at = |s: &Server| match (self.fit(s), full(s)) {
            (false, _) => RejectionReason::NoneHealthy,
            (true, true) => RejectionReason::AtCapacity,
            (true, false) => RejectionReason::WarmingUp,
        };
        let late = !job.tries.is_empty() && job.held_since == self.now;
        let best = self.servers.values().filter(serves).map(at).max().unwrap_or(RejectionReason::NoWorker);
        Some(RejectionReason::DeadlineExceeded).filter(|_| late).unwrap_or(best)
    }

    fn peers(&self, role: Role) -> f64 {
        let listed = |p: &&Server| p.info.role == role && p.info.lifecycle != Lifecycle::Removed;
        self.servers.values().filter(listed).count().max(1) as f64
    }

    /// Rule 4: our sends to a cold worker within the window stay under our part of its budget, by what the
    /// role's warm workers finish for us; what they are sent is in a jam many times more. Among many
    /// routers the part is under one request: a coin for each window gives it to as many as it bears.
    fn cold_room(&self, job: &Job, s: &Server) -> bool {
        if !self.is_cold(s) {
            return true;
        }
        let window = self.set.overload_window;
        let (sent, budget) = self.cold_budget(job, s);
        let turn = (self.now + window.mul_f64(self.coin("phase", &s.info.id.0))).0 / window.0.max(1);
        let coin = self.coin(turn.to_le_bytes(), &s.info.id.0);
        sent < budget.floor() + f64::from(u8::from(coin < budget.fract()))
    }

    fn is_cold(&self, s: &Server) -> bool {
        s.cold(self.now, self.set.slow_start_duration).is_some()
    }

    /// The share of its capacity that a worker has at least, by what is told.
    fn present(&self, s: &Server) -> f64 {
        let span = self.set.slow_start_duration.as_secs_f64().max(1e-6);
        let age = s.cold(self.now, self.set.slow_start_duration).map_or(span, |age| age.as_secs_f64());
        self.set.slow_start_initial_share + (1.0 - self.set.slow_start_initial_share) * age / span
    }

    /// How many usual prompts a long one weighs.
    fn long(&self, job: &Job) -> f64 {
        (job.req.prompt_tokens as f64 / self.seen.prompt.0.unwrap_or(1.0).max(1.0)).max(1.0)
    }

    /// What we sent it in this window, and our part of its budget.
    fn cold_budget(&self, job: &Job, s: &Server) -> (f64, f64) {
        let window = self.set.overload_window;
        let sent = s.sends.iter().filter(|t| **t + window > self.now).count();
        let rate = self
            .seen
            .finished
            .get(&s.info.role)
            .map_or(0.0, |r| r.per_s(self.now, self.set.slow_start_duration));
        let share = (1.0 - COLD_CHANCE / f64::from(self.set.routers.max(1)).sqrt()).min(COLD_SHARE);
        // Where nothing is known yet, all together try one a window. A long prompt weighs as many.
        let least = 1.0 / f64::from(self.set.routers.max(1));
        let per_s = self.set.overload_multiple * self.present(s) * share;
        (sent as f64, (rate * window.as_secs_f64() * per_s).max(least) / self.long(job))
    }
}

/// What those of a pool that report have free in the mean; none where none reports.
fn mean_room(pool: &[&Server]) -> Option<f64> {
    let told: Vec<f64> = pool.iter().filter_map(|s| s.told()).collect();
    (!told.is_empty()).then(|| told.iter().sum::<f64>() / told.len() as f64)
}

fn target(s: &Server) -> Target {
    let Worker { role, zone, cell, lifecycle, .. } = s.info;
    Target { role, zone, cell, lifecycle }
}

fn fading(age: Micros, span: Micros) -> f64 {
    (-(age.as_secs_f64() / span.as_secs_f64().max(1e-6))).exp()
}

/// The life of a worker to which an attempt was sent; a later one has nothing of it.
fn life<'a>(servers: &'a mut BTreeMap<WorkerId, Server>, t: &Try) -> Option<&'a mut Server> {
    servers.get_mut(&t.worker).filter(|s| s.begun <= t.facts.sent)
}

/// It was overdue, and its worker said nothing meanwhile: how long it took is no sign of load.
fn hung(servers: &BTreeMap<WorkerId, Server>, t: &Try) -> bool {
    t.overdue && servers.get(&t.worker).is_some_and(|s| s.heard < t.facts.sent)
}

/// A failure; enough of them bench the worker, each time for longer.
fn strike(s: &mut Server, now: Micros, weight: f64, bench: Micros) {
    s.failing += (1.0 - s.failing) * weight;
    if s.failing >= FAILING && now >= s.benched_until {
        s.benched_until = now + Micros((bench.0 << s.benches).min(BENCH.0 << BENCH_DOUBLINGS));
        s.benches = (s.benches + 1).min(BENCH_DOUBLINGS);
    }
}
