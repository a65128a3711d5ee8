//! Updates of the endpoint list. A worker that is not active receives no further attempts.

use std::collections::BTreeSet;

use crate::actions::Action;
use crate::endpoints::{EndpointUpdate, Lifecycle, Worker};
use crate::ids::WorkerId;
use crate::router::{Router, TimerPurpose};
use crate::settings::Discovery;
use crate::worker_state::WorkerState;

/// Share of the longest poll interval after which a failed poll is repeated.
const POLL_RETRY_SHARE: f64 = 0.1;
/// Lower bound of the random factor of the poll delay. Each router draws its own factor because all routers
/// may lose the list at the same time.
const POLL_RETRY_MIN_FACTOR: f64 = 0.5;

impl Router {
    /// Applies an update of the endpoint list.
    pub(crate) fn apply_endpoints(
        &mut self,
        update: EndpointUpdate,
        workers: Vec<Worker>,
        out: &mut Vec<Action>,
    ) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::LastKnown) {
            self.remove_unlisted(&workers);
        }
        for worker in workers {
            self.apply_endpoint(worker);
        }
        self.has_current_list |= matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Delta);
        self.purge_removed();
        self.poll_if_needed(update, out);
    }

    fn remove_unlisted(&mut self, listed: &[Worker]) {
        let listed: BTreeSet<&WorkerId> = listed.iter().map(|worker| &worker.id).collect();
        for worker in self.workers.values_mut().filter(|worker| !listed.contains(&worker.info.id)) {
            worker.info.lifecycle = Lifecycle::Removed;
        }
    }

    fn apply_endpoint(&mut self, info: Worker) {
        let known = self.workers.get_mut(&info.id);
        if info.lifecycle == Lifecycle::Removed {
            if let Some(worker) = known {
                worker.info.lifecycle = Lifecycle::Removed;
            }
            return;
        }
        match known {
            Some(worker) if worker.info.started == info.started => worker.info = info,
            _ => self.add_incarnation(info),
        }
    }

    /// Adds a worker that is new or has restarted.
    fn add_incarnation(&mut self, info: Worker) {
        let incarnation_start = info.started.unwrap_or(self.now).min(self.now);
        // Only workers listed when the router started may be as old as their start time indicates.
        let warming_since = if self.has_current_list { self.now } else { incarnation_start };
        let mut worker = WorkerState {
            incarnation_start,
            warming_since,
            cache_lost_at: self.now,
            info,
            ..WorkerState::default()
        };
        self.count_attempts_in_flight(&mut worker);
        self.workers.insert(worker.info.id.clone(), worker);
    }

    /// Counts attempts in flight that were sent after the start of this incarnation, although the router
    /// learns of the start only now.
    fn count_attempts_in_flight(&self, worker: &mut WorkerState) {
        for request in self.requests.iter() {
            let in_flight = request.attempts.iter().find(|attempt| {
                let is_here = attempt.worker == worker.info.id;
                attempt.facts.open && is_here && attempt.facts.sent >= worker.incarnation_start
            });
            let Some(attempt) = in_flight else { continue };
            worker.count_attempt(attempt.facts.stage, request.request.prompt_tokens);
            if request.streaming {
                worker.awaiting_first_token = worker.awaiting_first_token.saturating_sub(1);
            }
        }
    }

    /// Removes delisted workers once they would be warm. Until then the attempts sent to a worker still count
    /// against its slow-start budget.
    fn purge_removed(&mut self) {
        let now = self.now;
        let duration = self.settings.slow_start_duration;
        self.workers.retain(|_, worker| {
            worker.info.lifecycle != Lifecycle::Removed || worker.warming_age(now, duration).is_some()
        });
    }

    /// Polls the list at startup in poll mode, and schedules another poll after a poll has failed.
    fn poll_if_needed(&mut self, update: EndpointUpdate, out: &mut Vec<Action>) {
        match update {
            EndpointUpdate::LastKnown if self.settings.discovery == Discovery::Poll => {
                out.push(Action::Subscribe);
            }
            EndpointUpdate::Failed => {
                let draw = self.view().draw(self.next_timer.to_le_bytes(), "list");
                let share = POLL_RETRY_SHARE * (POLL_RETRY_MIN_FACTOR + draw);
                let at = self.now + self.settings.max_poll_interval.mul_f64(share);
                self.set_timer(at, TimerPurpose::PollEndpoints, out);
            }
            EndpointUpdate::LastKnown | EndpointUpdate::Snapshot | EndpointUpdate::Delta => {}
        }
    }
}
