//! The model of one inference engine, without sockets: slots, queue, KV memory, prefix cache, steps, cold start.

use std::collections::{BTreeMap, VecDeque};

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Prefill; `reader` in settings and records.
    Prefill,
    /// Decode; `writer` in settings and records.
    Decode,
    /// Both; `mixed` in settings and records.
    Combined,
}

impl Role {
    /// As settings and records name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill => "reader",
            Self::Decode => "writer",
            Self::Combined => "mixed",
        }
    }
}

/// The model of an engine. Times in µs, text in tokens.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    pub role: Role,
    pub slots: usize,
    pub queue: usize,
    pub memory: u64,
    pub prefill_per_s: f64,
    pub step_us: f64,
    /// Added to a step for each answer being generated.
    pub per_answer_us: f64,
    /// Requests a second that it can do when warm, by which its cold budget is counted.
    pub capacity_per_s: f64,
}

/// Tokens that are cached or evicted together.
pub const BLOCK: usize = 64;
/// Bytes in a token of the fake workers: their own count, not the router's estimate.
pub const TOKEN_BYTES: usize = 4;
/// Blocks that even the smallest engine can cache.
const MIN_CACHED_BLOCKS: usize = 16;
/// A prefill takes up to this many times a step's length at once.
const PREFILL_CHUNK_STEPS: f64 = 4.0;
/// Weight of the latest request in the average latency.
const LATENCY_GAIN: f64 = 0.2;
/// Slowest speed of an engine, as a share of its own.
const MIN_SPEED: f64 = 0.01;

/// Work at an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its number, chosen by the caller.
    pub id: u64,
    pub prompt: u64,
    /// Hashes of the prompt's blocks, each with all before it.
    pub blocks: Vec<u64>,
    /// Tokens of the answer; none: prefill only.
    pub answer: Option<u64>,
    /// KV state is fetched from elsewhere: it is there at that time.
    pub state_arrives: Option<u64>,
}

#[derive(Debug)]
struct Running {
    work: Work,
    cached: u64,
    prefill_left: f64,
    generated: u64,
}

/// What a step did.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// A prefill is done, with so many tokens found in the cache.
    PrefillDone { id: u64, cached: u64 },
    /// A request has begun for good: its effect takes place.
    Began { id: u64, cached: u64 },
    /// One more token; true: the last.
    Token { id: u64, last: bool },
}

/// How far an engine is in use.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Share of its slots.
    pub slots: f64,
    /// Share of its KV memory.
    pub memory: f64,
    pub in_flight: usize,
    pub queued: usize,
    pub waiting_tokens: u64,
}

/// KV state of a prefill that a decode has not fetched yet.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    tokens: u64,
    at: u64,
}

#[derive(Debug)]
pub struct Engine {
    pub model: EngineModel,
    queue: VecDeque<Work>,
    running: Vec<Running>,
    /// By request.
    reservations: BTreeMap<String, Reservation>,
    /// Cached blocks and when they were last used.
    cached_blocks: BTreeMap<u64, u64>,
    /// Counts uses of the cache.
    cache_clock: u64,
    pub started: u64,
    pub cold: bool,
    /// Faults: a divisor of its speed, and until when it stands still.
    pub slow: f64,
    pub paused_until: u64,
    pub hangs: bool,
    next_step: Option<u64>,
    /// Recent times to the end of a prefill or the first token, µs.
    pub latency: f64,
    enqueued_at: BTreeMap<u64, u64>,
}

impl Engine {
    pub fn new(model: EngineModel, now: u64, cold: bool) -> Self {
        Self {
            model,
            queue: VecDeque::new(),
            running: Vec::new(),
            reservations: BTreeMap::new(),
            cached_blocks: BTreeMap::new(),
            cache_clock: 0,
            started: now,
            cold,
            slow: 1.0,
            paused_until: 0,
            hangs: false,
            next_step: None,
            latency: 0.0,
            enqueued_at: BTreeMap::new(),
        }
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, now: u64, from: f64, cold_us: u64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / cold_us.max(1) as f64;
        (from + (1.0 - from) * age).min(1.0)
    }

    fn memory_used(&self) -> u64 {
        let running: u64 = self.running.iter().map(|r| r.work.prompt + r.generated).sum();
        running + self.reservations.values().map(|r| r.tokens).sum::<u64>()
    }

    pub fn is_full(&self) -> bool {
        self.queue.len() >= self.model.queue
    }

    pub fn load(&self) -> Load {
        let slots = self.running.len() as f64 / self.model.slots.max(1) as f64;
        let memory = self.memory_used() as f64 / self.model.memory.max(1) as f64;
        Load {
            slots: slots.min(1.0),
            memory: memory.min(1.0),
            in_flight: self.running.len() + self.reservations.len(),
            queued: self.queue.len(),
            waiting_tokens: self.queue.iter().map(|w| w.prompt).sum(),
        }
    }

    /// The part of its capacity in use: the time of a prefill engine, the slots of the others.
    pub fn used(&self) -> f64 {
        match self.model.role {
            Role::Prefill => f64::from(u8::from(!self.running.is_empty())),
            Role::Decode | Role::Combined => self.running.len() as f64 / self.model.slots.max(1) as f64,
        }
    }

    pub fn enqueue(&mut self, now: u64, work: Work) {
        self.enqueued_at.insert(work.id, now);
        self.queue.push_back(work);
        self.schedule_step(now);
    }

    fn schedule_step(&mut self, now: u64) {
        if self.next_step.is_none() {
            self.next_step = Some(now + self.model.step_us as u64);
        }
    }

    /// Drops work whose caller is gone.
    pub fn drop_work(&mut self, id: u64) {
        self.queue.retain(|w| w.id != id);
        self.running.retain(|r| r.work.id != id);
        self.enqueued_at.remove(&id);
    }

    pub fn reserve(&mut self, request: &str, tokens: u64, now: u64) {
        self.reservations.insert(request.into(), Reservation { tokens, at: now });
    }

    /// Releases a request's state; returns whether there was any.
    pub fn release(&mut self, request: &str, now: u64) -> bool {
        self.schedule_step(now);
        self.reservations.remove(request).is_some()
    }

    pub fn has_reserved(&self, request: &str) -> bool {
        self.reservations.contains_key(request)
    }

    /// Requests whose state was reserved before this time.
    pub fn reserved_before(&self, time: u64) -> Vec<String> {
        let before = self.reservations.iter().filter(|(_, reservation)| reservation.at < time);
        before.map(|(request, _)| request.clone()).collect()
    }

    pub fn flush_cache(&mut self) {
        self.cached_blocks.clear();
    }

    pub fn next_due(&self) -> Option<u64> {
        self.next_step.map(|at| at.max(self.paused_until)).filter(|_| !self.hangs)
    }

    /// Tokens of a prompt's beginning that are cached.
    fn cached_prefix(&mut self, blocks: &[u64]) -> u64 {
        self.cache_clock += 1;
        let mut cached = 0;
        for block in blocks {
            match self.cached_blocks.get_mut(block) {
                Some(used) => *used = self.cache_clock,
                None => break,
            }
            cached += BLOCK as u64;
        }
        cached
    }

    fn cache(&mut self, blocks: &[u64]) {
        self.cache_clock += 1;
        for block in blocks {
            self.cached_blocks.insert(*block, self.cache_clock);
        }
        let limit = (self.model.memory as usize / BLOCK).max(MIN_CACHED_BLOCKS);
        if self.cached_blocks.len() > limit {
            // The older half is evicted at once, so that this is rarely done.
            let mut ages: Vec<u64> = self.cached_blocks.values().copied().collect();
            ages.sort_unstable();
            let median = ages.get(ages.len() / 2).copied().unwrap_or(0);
            self.cached_blocks.retain(|_, used| *used > median);
        }
    }

    /// One step, if it is due.
    pub fn step(&mut self, now: u64, warmth: f64) -> Vec<Progress> {
        let mut progress = Vec::new();
        if self.next_due().is_none_or(|at| at > now) {
            return progress;
        }
        self.admit(now, &mut progress);
        let speed = (warmth / self.slow.max(MIN_SPEED)).max(MIN_SPEED);
        let generating = self.running.iter().filter(|r| r.prefill_left <= 0.0).count() as f64;
        let mut length = self.model.step_us + self.model.per_answer_us * generating;
        length += self.prefill_chunk() / self.model.prefill_per_s * 1e6;
        let done = self.generate(&mut progress);
        self.measure_latency(now);
        self.finish(&done);
        let busy = !self.running.is_empty() || !self.queue.is_empty();
        self.next_step = busy.then(|| now + (length / speed) as u64);
        progress
    }

    /// Prefills one chunk, first come first; returns its tokens. A decode engine that prefills holds up its answers.
    fn prefill_chunk(&mut self) -> f64 {
        let chunk = self.model.prefill_per_s * PREFILL_CHUNK_STEPS * self.model.step_us / 1e6;
        let mut budget = chunk;
        for running in self.running.iter_mut().filter(|r| r.prefill_left > 0.0) {
            let tokens = running.prefill_left.min(budget);
            budget -= tokens;
            running.prefill_left -= tokens;
        }
        chunk - budget
    }

    /// Generates a token of each answer whose prefill is done; returns the work that is done.
    fn generate(&mut self, progress: &mut Vec<Progress>) -> Vec<u64> {
        let mut done = Vec::new();
        for running in self.running.iter_mut().filter(|r| r.prefill_left <= 0.0) {
            let id = running.work.id;
            match running.work.answer {
                None => {
                    progress.push(Progress::PrefillDone { id, cached: running.cached });
                    done.push(id);
                }
                Some(answer) => {
                    running.generated += 1;
                    let last = running.generated >= answer;
                    progress.push(Progress::Token { id, last });
                    if last {
                        done.push(id);
                    }
                }
            }
        }
        done
    }

    /// Measures those whose prefill or first token has just ended.
    fn measure_latency(&mut self, now: u64) {
        for running in self.running.iter().filter(|r| r.generated <= 1 && r.prefill_left <= 0.0) {
            if let Some(since) = self.enqueued_at.remove(&running.work.id) {
                self.latency += LATENCY_GAIN * ((now - since) as f64 - self.latency);
            }
        }
    }

    fn finish(&mut self, done: &[u64]) {
        let is_done = |running: &Running| done.contains(&running.work.id);
        let prompts: Vec<Vec<u64>> =
            self.running.iter().filter(|r| is_done(r)).map(|r| r.work.blocks.clone()).collect();
        self.running.retain(|r| !is_done(r));
        for blocks in prompts {
            self.cache(&blocks);
        }
    }

    /// Begins queued work while there are slots and memory for it.
    fn admit(&mut self, now: u64, progress: &mut Vec<Progress>) {
        while self.running.len() < self.model.slots {
            let available = self.model.memory.saturating_sub(self.memory_used());
            let is_ready = |w: &Work| w.state_arrives.is_none_or(|at| at <= now) && w.prompt <= available;
            let Some(next) = self.queue.iter().position(is_ready) else { return };
            let Some(work) = self.queue.remove(next) else { return };
            let cached = match work.state_arrives {
                Some(_) => work.prompt,
                None => self.cached_prefix(&work.blocks).min(work.prompt),
            };
            if work.answer.is_some() {
                progress.push(Progress::Began { id: work.id, cached });
            }
            let prefill_left = (work.prompt - cached) as f64;
            self.running.push(Running { work, cached, prefill_left, generated: 0 });
        }
    }
}

/// Hashes of a prompt's blocks: two prompts share as many as they have the same prefix.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let complete = prompt.as_bytes().chunks_exact(BLOCK * TOKEN_BYTES);
    complete
        .map(|block| {
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

#[cfg(test)]
#[path = "engine_test.rs"]
mod tests;
