//! A request from its arrival to the end of its last attempt.

use std::collections::BTreeMap;

use crate::endpoints::LoadReport;
use crate::events::{Outcome, Request};
use crate::ids::{AttemptNo, RequestId, WorkerId};
use crate::obligations::{AttemptFacts, Stage};
use crate::time::Micros;

/// The next step of a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// What it is to do.
    pub stage: Stage,
    /// For a local prefill: what the worker is thought to have in its cache.
    pub predicted_cached_tokens: Option<u64>,
}

impl Placement {
    /// A prefill, whose state a decode worker pulls afterwards.
    pub fn prefill(worker: WorkerId) -> Self {
        Self { worker, stage: Stage::Prefill, predicted_cached_tokens: None }
    }

    /// A decode, of state that was prefilled elsewhere or of the whole prompt.
    pub fn decode(worker: WorkerId) -> Self {
        Self { worker, stage: Stage::Decode, predicted_cached_tokens: None }
    }

    /// A decode whose worker prefills the remainder of the prompt itself.
    pub fn local_prefill(worker: WorkerId, cached_tokens: u64) -> Self {
        Self { worker, stage: Stage::Decode, predicted_cached_tokens: Some(cached_tokens) }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Prompt tokens that the worker found in its cache.
    pub cached_tokens: u64,
    /// The worker's load.
    pub load_report: Option<LoadReport>,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Where it was sent.
    pub worker: WorkerId,
    /// What the rules need to know of it.
    pub facts: AttemptFacts,
    /// It pulls state that a prefill worker holds.
    pub pulls_state: bool,
    /// When its silence becomes suspicious; none once it has been answered, or is cancelled.
    pub overdue_at: Option<Micros>,
    /// Of a prefill: when its state would be due for release, had it ended as prefills do and its answer been lost.
    pub overtaken_check_at: Option<Micros>,
    /// It counts among its worker's overdue attempts.
    pub overdue: bool,
    /// It ended without having reached its worker.
    pub worker_unreached: bool,
    /// Tokens that its worker was thought to have in its cache; of local prefills only.
    pub predicted_cached_tokens: Option<u64>,
}

/// A request from its arrival to the end of its last attempt.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived: Micros,
    /// Time to the first token that earns its full priority weight.
    pub latency_objective: Micros,
    /// Its attempts in order.
    pub attempts: Vec<Attempt>,
    /// The prefill worker that holds its state.
    pub reserved_on: Option<WorkerId>,
    /// Since when that state waits: the end of the prefill, or of the last attempt that is proven to have reached a worker.
    pub reserved_at: Micros,
    /// Its state was released while a pull was in flight: it is released once more when that ends.
    pub released_during_attempt: bool,
    /// Its answer has begun.
    pub streaming: bool,
    /// Its attempt is overdue at a worker that has not responded since: it waits there, in no queue.
    pub waits_on_silent_worker: bool,
    /// A final answer was given, or the client is gone.
    pub finished: bool,
}

impl RequestState {
    /// A request that has just arrived.
    pub fn new(request: Request, now: Micros, latency_objective: Micros) -> Self {
        Self {
            request,
            arrived: now,
            latency_objective,
            attempts: Vec::new(),
            reserved_on: None,
            reserved_at: now,
            released_during_attempt: false,
            streaming: false,
            waits_on_silent_worker: false,
            finished: false,
        }
    }

    /// Whether an attempt is in flight.
    pub fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.facts.open)
    }

    /// Whether it waits for its first token, other than on a silent worker.
    pub fn awaits_first_token(&self) -> bool {
        !self.streaming && !self.finished && !self.waits_on_silent_worker
    }

    /// Whether an attempt at this worker has ended.
    pub fn has_attempted(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == *worker && !attempt.facts.open)
    }

    /// The attempt of this number.
    pub fn attempt(&self, number: AttemptNo) -> Option<&Attempt> {
        self.attempts.get(number.0 as usize)
    }

    /// Forgets the state that was reserved for it: it was taken, or is gone.
    pub fn clear_reservation(&mut self) {
        self.reserved_on = None;
        self.released_during_attempt = false;
    }
}

/// How many requests wait for their first token, and the sum of their arrivals: open streams are not walked for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitingRequests {
    /// How many.
    pub count: usize,
    /// The sum of their arrivals, in microseconds.
    pub arrival_sum: u128,
}

impl WaitingRequests {
    /// Whether their mean arrival lies before this time.
    pub fn mean_arrival_is_before(&self, time: Micros) -> bool {
        u128::from(time.0) * self.count as u128 > self.arrival_sum
    }
}

/// The requests that a router has taken and not finished with. It owns their state: one that is being handled is taken
/// out, and put back while anything of it is open.
#[derive(Debug, Clone, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    waiting: WaitingRequests,
}

impl RequestTable {
    /// Takes a request out.
    pub fn take(&mut self, id: &RequestId) -> Option<RequestState> {
        let request = self.requests.remove(id)?;
        if request.awaits_first_token() {
            self.waiting.count -= 1;
            self.waiting.arrival_sum -= u128::from(request.arrived.0);
        }
        Some(request)
    }

    /// Puts a request in, or back.
    pub fn put(&mut self, request: RequestState) {
        if request.awaits_first_token() {
            self.waiting.count += 1;
            self.waiting.arrival_sum += u128::from(request.arrived.0);
        }
        self.requests.insert(request.request.id.clone(), request);
    }

    /// All of them, by id.
    pub fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Those that wait for their first token.
    pub fn waiting(&self) -> WaitingRequests {
        self.waiting
    }
}
