//! State of a request from its arrival to the end of its last attempt.

use std::collections::BTreeMap;

use crate::endpoints::LoadReport;
use crate::events::{Outcome, Request};
use crate::ids::{AttemptNo, RequestId, WorkerId};
use crate::obligations::{AttemptFacts, Stage};
use crate::time::Micros;

/// Next step of a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Selected worker.
    pub worker: WorkerId,
    /// Task of the worker.
    pub stage: Stage,
    /// Tokens that the worker is predicted to have in its cache. Set for local prefills only.
    pub predicted_cached_tokens: Option<u64>,
}

impl Placement {
    /// Creates a prefill step. A decode worker pulls the resulting state afterwards.
    pub fn prefill(worker: WorkerId) -> Self {
        Self { worker, stage: Stage::Prefill, predicted_cached_tokens: None }
    }

    /// Creates a decode step for state prefilled elsewhere or for the whole prompt.
    pub fn decode(worker: WorkerId) -> Self {
        Self { worker, stage: Stage::Decode, predicted_cached_tokens: None }
    }

    /// Creates a decode step whose worker prefills the remainder of the prompt itself.
    pub fn local_prefill(worker: WorkerId, cached_tokens: u64) -> Self {
        Self { worker, stage: Stage::Decode, predicted_cached_tokens: Some(cached_tokens) }
    }
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Prompt tokens that the worker found in its cache.
    pub cached_tokens: u64,
    /// Load report of the worker.
    pub load_report: Option<LoadReport>,
}

/// Attempt of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Worker that received the attempt.
    pub worker: WorkerId,
    /// Properties that the obligations depend on.
    pub facts: AttemptFacts,
    /// Set if the attempt pulls state from a prefill worker.
    pub pulls_state: bool,
    /// Time at which a silent attempt becomes overdue. `None` after a response or a cancellation.
    pub overdue_at: Option<Micros>,
    /// Time at which a prefill is checked for having been overtaken: its state would be due for release if
    /// the prefill had taken the typical time and its response had been lost. `None` for other attempts.
    pub overtaken_check_at: Option<Micros>,
    /// Set while the attempt counts among the overdue attempts of its worker.
    pub overdue: bool,
    /// Set if the attempt ended without reaching its worker.
    pub worker_unreached: bool,
    /// Tokens that the worker was predicted to have in its cache. Set for local prefills only.
    pub predicted_cached_tokens: Option<u64>,
}

/// State of a request from its arrival to the end of its last attempt.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// Request as received.
    pub request: Request,
    /// Arrival time.
    pub arrived: Micros,
    /// Time to the first token below which the request earns its full priority weight.
    pub latency_objective: Micros,
    /// Attempts in the order of their sends.
    pub attempts: Vec<Attempt>,
    /// Prefill worker that holds the request's state.
    pub reserved_on: Option<WorkerId>,
    /// Start of the reservation time: the end of the prefill, or of the last attempt proven to have reached a
    /// worker.
    pub reserved_at: Micros,
    /// Set if the state was released while a pull was in flight. The release is repeated when the pull ends.
    pub released_during_attempt: bool,
    /// Set once the answer has started.
    pub streaming: bool,
    /// Set if the attempt is overdue on a worker that has not responded since the send. The request then
    /// waits on that worker and not in a queue.
    pub waits_on_silent_worker: bool,
    /// Set once a final answer was sent or the client disconnected.
    pub finished: bool,
}

impl RequestState {
    /// Creates the state of a request that has just arrived.
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

    /// Returns true if an attempt is in flight.
    pub fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.facts.open)
    }

    /// Returns true if the request waits for its first token, but not on a silent worker.
    pub fn awaits_first_token(&self) -> bool {
        !self.streaming && !self.finished && !self.waits_on_silent_worker
    }

    /// Returns true if an attempt on this worker has ended.
    pub fn has_attempted(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == *worker && !attempt.facts.open)
    }

    /// Returns the attempt with this number.
    pub fn attempt(&self, number: AttemptNo) -> Option<&Attempt> {
        self.attempts.get(number.0 as usize)
    }

    /// Clears the reservation after the state was pulled or lost.
    pub fn clear_reservation(&mut self) {
        self.reserved_on = None;
        self.released_during_attempt = false;
    }
}

/// Number of requests that wait for their first token, and the sum of their arrival times. The totals avoid
/// an iteration over all open streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitingRequests {
    /// Number of waiting requests.
    pub count: usize,
    /// Sum of the arrival times in microseconds.
    pub arrival_sum: u128,
}

impl WaitingRequests {
    /// Returns true if the mean arrival time is before `time`.
    pub fn mean_arrival_is_before(&self, time: Micros) -> bool {
        u128::from(time.0) * self.count as u128 > self.arrival_sum
    }
}

/// Active requests of a router. The table owns their state: a request being handled is removed and is put
/// back while an attempt or an answer is outstanding.
#[derive(Debug, Clone, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    waiting: WaitingRequests,
}

impl RequestTable {
    /// Removes a request and returns it.
    pub fn take(&mut self, id: &RequestId) -> Option<RequestState> {
        let request = self.requests.remove(id)?;
        if request.awaits_first_token() {
            self.waiting.count -= 1;
            self.waiting.arrival_sum -= u128::from(request.arrived.0);
        }
        Some(request)
    }

    /// Inserts a request, or puts it back.
    pub fn put(&mut self, request: RequestState) {
        if request.awaits_first_token() {
            self.waiting.count += 1;
            self.waiting.arrival_sum += u128::from(request.arrived.0);
        }
        self.requests.insert(request.request.id.clone(), request);
    }

    /// Returns all requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Returns the totals of the requests that wait for their first token.
    pub fn waiting(&self) -> WaitingRequests {
        self.waiting
    }
}
