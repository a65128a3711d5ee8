//! The model of one engine, without sockets: slots, queue, KV memory, kept text, steps, cold start.

use std::collections::{BTreeMap, VecDeque};

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

impl Role {
    pub fn name(self) -> &'static str {
        match self {
            Self::Reader => "reader",
            Self::Writer => "writer",
            Self::Mixed => "mixed",
        }
    }
}

/// What kind of engine it is. Times in µs, text in tokens.
#[derive(Debug, Clone, Copy)]
pub struct Make {
    pub role: Role,
    pub slots: usize,
    pub queue: usize,
    pub memory: u64,
    pub read_per_s: f64,
    pub step_us: f64,
    /// Added to a step for each answer being written.
    pub per_answer_us: f64,
    /// Requests a second that it can do when warm, by which its cold budget is counted.
    pub capacity_per_s: f64,
}

/// Tokens whose text is kept or forgotten together.
pub const BLOCK: usize = 64;
/// Bytes in a token of the stand-ins: their own count, not the router's estimate.
pub const TOKEN_BYTES: usize = 4;

/// Work at an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its number, chosen by the caller.
    pub no: u64,
    pub prompt: u64,
    /// Hashes of the prompt's blocks, each with all before it.
    pub blocks: Vec<u64>,
    /// Tokens of the answer; none: only read.
    pub answer: Option<u64>,
    /// State comes from elsewhere: it is there at that time.
    pub arrives: Option<u64>,
}

#[derive(Debug)]
struct Running {
    work: Work,
    kept: u64,
    to_read: f64,
    written: u64,
}

/// What a step brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// The read is done, with so many tokens found kept.
    Read { no: u64, kept: u64 },
    /// Work has begun for good: its effect takes place.
    Began { no: u64, kept: u64 },
    /// One more token; true: the last.
    Token { no: u64, last: bool },
}

#[derive(Debug)]
pub struct Engine {
    pub make: Make,
    queue: VecDeque<Work>,
    running: Vec<Running>,
    /// State of ended reads, by request.
    held: BTreeMap<String, (u64, u64)>,
    /// Kept blocks and when they were last used.
    kept: BTreeMap<u64, u64>,
    clock: u64,
    pub started: u64,
    pub cold: bool,
    /// Faults: a divisor of its speed, and until when it stands still.
    pub slow: f64,
    pub paused_until: u64,
    pub hangs: bool,
    next_step: Option<u64>,
    /// Recent times to the end of a read or the first token, µs.
    pub latency: f64,
    waited: BTreeMap<u64, u64>,
}

impl Engine {
    pub fn new(make: Make, now: u64, cold: bool) -> Self {
        Self {
            make,
            queue: VecDeque::new(),
            running: Vec::new(),
            held: BTreeMap::new(),
            kept: BTreeMap::new(),
            clock: 0,
            started: now,
            cold,
            slow: 1.0,
            paused_until: 0,
            hangs: false,
            next_step: None,
            latency: 0.0,
            waited: BTreeMap::new(),
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
        let running: u64 = self.running.iter().map(|r| r.work.prompt + r.written).sum();
        running + self.held.values().map(|(tokens, _)| tokens).sum::<u64>()
    }

    pub fn is_full(&self) -> bool {
        self.queue.len() >= self.make.queue
    }

    pub fn load(&self) -> (f64, f64, usize, usize, u64) {
        let slots = self.running.len() as f64 / self.make.slots.max(1) as f64;
        let memory = self.memory_used() as f64 / self.make.memory.max(1) as f64;
        let waiting = self.queue.iter().map(|w| w.prompt).sum::<u64>();
        (slots.min(1.0), memory.min(1.0), self.running.len() + self.held.len(), self.queue.len(), waiting)
    }

    /// Of what it can do, the part in use: a reader's time, the slots of one that writes.
    pub fn used(&self) -> f64 {
        match self.make.role {
            Role::Reader => f64::from(u8::from(!self.running.is_empty())),
            _ => self.running.len() as f64 / self.make.slots.max(1) as f64,
        }
    }

    pub fn take(&mut self, now: u64, work: Work) {
        self.waited.insert(work.no, now);
        self.queue.push_back(work);
        self.wake(now);
    }

    fn wake(&mut self, now: u64) {
        if self.next_step.is_none() {
            self.next_step = Some(now + self.make.step_us as u64);
        }
    }

    /// Drops work whose caller is gone.
    pub fn drop_work(&mut self, no: u64) {
        self.queue.retain(|w| w.no != no);
        self.running.retain(|r| r.work.no != no);
        self.waited.remove(&no);
    }

    pub fn hold(&mut self, request: &str, tokens: u64, now: u64) {
        self.held.insert(request.into(), (tokens, now));
    }

    pub fn free(&mut self, request: &str, now: u64) -> bool {
        self.wake(now);
        self.held.remove(request).is_some()
    }

    pub fn holds(&self, request: &str) -> Option<u64> {
        self.held.get(request).map(|(tokens, _)| *tokens)
    }

    /// Requests whose state has been held since before `since`.
    pub fn held_since(&self, since: u64) -> Vec<String> {
        self.held.iter().filter(|(_, (_, at))| *at < since).map(|(r, _)| r.clone()).collect()
    }

    pub fn forget_text(&mut self) {
        self.kept.clear();
    }

    pub fn next_due(&self) -> Option<u64> {
        self.next_step.map(|at| at.max(self.paused_until)).filter(|_| !self.hangs)
    }

    fn found(&mut self, blocks: &[u64]) -> u64 {
        self.clock += 1;
        let mut found = 0;
        for b in blocks {
            match self.kept.get_mut(b) {
                Some(used) => *used = self.clock,
                None => break,
            }
            found += BLOCK as u64;
        }
        found
    }

    fn keep(&mut self, blocks: &[u64]) {
        self.clock += 1;
        for b in blocks {
            self.kept.insert(*b, self.clock);
        }
        let most = (self.make.memory as usize / BLOCK).max(16);
        if self.kept.len() > most {
            // The older half goes at once, so that this is seldom done.
            let mut ages: Vec<u64> = self.kept.values().copied().collect();
            ages.sort_unstable();
            let cut = ages.get(ages.len() / 2).copied().unwrap_or(0);
            self.kept.retain(|_, used| *used > cut);
        }
    }

    /// One step, if it is due.
    pub fn step(&mut self, now: u64, warmth: f64) -> Vec<Progress> {
        let mut out = Vec::new();
        if self.next_due().is_none_or(|at| at > now) {
            return out;
        }
        self.admit(now, &mut out);
        let speed = (warmth / self.slow.max(0.01)).max(0.01);
        let writing = self.running.iter().filter(|r| r.to_read <= 0.0).count() as f64;
        let mut length = self.make.step_us + self.make.per_answer_us * writing;
        // A writer that reads by itself holds up its answers: one chunk a step, first come first.
        let chunk = self.make.read_per_s * 4.0 * self.make.step_us / 1e6;
        let mut budget = chunk;
        for r in self.running.iter_mut().filter(|r| r.to_read > 0.0) {
            let read = r.to_read.min(budget);
            budget -= read;
            r.to_read -= read;
        }
        length += (chunk - budget) / self.make.read_per_s * 1e6;
        let mut done = Vec::new();
        for r in self.running.iter_mut().filter(|r| r.to_read <= 0.0) {
            let no = r.work.no;
            match r.work.answer {
                None => {
                    out.push(Progress::Read { no, kept: r.kept });
                    done.push(no);
                }
                Some(answer) => {
                    r.written += 1;
                    let last = r.written >= answer;
                    out.push(Progress::Token { no, last });
                    if last {
                        done.push(no);
                    }
                }
            }
        }
        for r in self.running.iter().filter(|r| r.written <= 1 && r.to_read <= 0.0) {
            if let Some(since) = self.waited.remove(&r.work.no) {
                self.latency += 0.2 * ((now - since) as f64 - self.latency);
            }
        }
        let ended: Vec<Vec<u64>> = {
            let gone = self.running.iter().filter(|r| done.contains(&r.work.no));
            gone.map(|r| r.work.blocks.clone()).collect()
        };
        self.running.retain(|r| !done.contains(&r.work.no));
        for blocks in ended {
            self.keep(&blocks);
        }
        let busy = !self.running.is_empty() || !self.queue.is_empty();
        self.next_step = busy.then(|| now + (length / speed) as u64);
        out
    }

    fn admit(&mut self, now: u64, out: &mut Vec<Progress>) {
        while self.running.len() < self.make.slots {
            let room = self.make.memory.saturating_sub(self.memory_used());
            let ready = |w: &Work| w.arrives.is_none_or(|at| at <= now) && w.prompt <= room;
            let Some(at) = self.queue.iter().position(ready) else { return };
            let Some(work) = self.queue.remove(at) else { return };
            let kept =
                if work.arrives.is_some() { work.prompt } else { self.found(&work.blocks).min(work.prompt) };
            if work.answer.is_some() {
                out.push(Progress::Began { no: work.no, kept });
            }
            let to_read = (work.prompt - kept) as f64;
            self.running.push(Running { work, kept, to_read, written: 0 });
        }
    }
}

/// Hashes of a prompt's blocks: two prompts share as many as they have the same beginning.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let whole = prompt.as_bytes().chunks_exact(BLOCK * TOKEN_BYTES);
    whole
        .map(|block| {
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

#[cfg(test)]
#[path = "engine_test.rs"]
mod tests;
