//! Polls of a dialect's service discovery: successive calls, each answered once the list has changed.
//!
//! One poll at a time is current. A current poll that gets no answer in time becomes overdue, and another poll follows on a
//! new connection, so that a source that has recovered is found soon. Overdue polls stay open for a time: a source that is
//! slow, not silent, answers them, and each answer counts.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Part, StartLine};

use super::discovery::MAX_LIST_BYTES;
use super::worker_connection::{Payload, Task};
use super::{ConnId, Core, Output, TimerEvent};
use crate::dialect::{Endpoint, EndpointList};

/// Pause before service discovery is polled again after a failed or overdue poll, or after an answer without a change that
/// came within this time.
const POLL_PAUSE: Micros = Micros(100_000);
/// Time for which an overdue poll may still be answered. A change that the answer reports takes effect within 6 s.
const OVERDUE_TIMEOUT: Micros = Micros(5_000_000);
/// Minimum time between the sending of two overdue polls that are both kept open.
const OVERDUE_SPACING: Micros = Micros(700_000);
/// Maximum number of overdue polls.
const MAX_OVERDUE: usize = 8;

/// A poll that may still be answered.
#[derive(Debug, Clone, Copy)]
struct OverduePoll {
    conn: ConnId,
    sent_at: Micros,
}

/// State of the polls. [`DiscoveryState::connection`](super::discovery::DiscoveryState) is the current poll's connection.
#[derive(Debug, Default)]
pub(super) struct Polls {
    /// Time at which the current poll was sent.
    sent_at: Micros,
    /// Whether the current poll may wait for a change.
    is_long: bool,
    /// Whether the last poll has failed or is overdue, or the address has changed since. The next poll then does not wait
    /// for a change.
    needs_probe: bool,
    /// Overdue polls in the order in which they were sent; at most [`MAX_OVERDUE`].
    overdue: Vec<OverduePoll>,
    /// Time at which the newest list was read.
    read_at: Micros,
}

impl Polls {
    /// Whether the next poll does not wait for a change.
    pub(super) fn needs_probe(&self) -> bool {
        self.needs_probe
    }

    /// Adds an overdue poll, unless one that was sent shortly before it is open or there are too many.
    fn add_overdue(&mut self, poll: OverduePoll) -> bool {
        let is_close = self.overdue.iter().any(|o| poll.sent_at < o.sent_at + OVERDUE_SPACING);
        let is_kept = !is_close && self.overdue.len() < MAX_OVERDUE;
        if is_kept {
            self.overdue.push(poll);
        }
        is_kept
    }

    /// Removes an overdue poll, and returns when it was sent; `None` if the poll is not overdue.
    fn remove_overdue(&mut self, conn: ConnId) -> Option<Micros> {
        let at = self.overdue.iter().position(|o| o.conn == conn)?;
        Some(self.overdue.remove(at).sent_at)
    }

    /// Removes the overdue polls that were sent before `sent_at`, and returns their connections.
    fn remove_sent_before(&mut self, sent_at: Micros) -> Vec<ConnId> {
        let (older, rest) = std::mem::take(&mut self.overdue).into_iter().partition(|o| o.sent_at < sent_at);
        self.overdue = rest;
        older.iter().map(|o: &OverduePoll| o.conn).collect()
    }
}

/// An answer to a poll that was read completely.
struct PollAnswer {
    sent_at: Micros,
    /// Whether the poll was overdue.
    was_overdue: bool,
    close_after_reply: bool,
}

impl Core {
    /// Sends a poll on a new connection, unless there is a current poll.
    pub(super) fn poll_discovery(&mut self) {
        let Some(dialect) = self.config.dialect.clone() else { return };
        let Some(address) = self.config.discovery else { return };
        if self.discovery.connection.is_some() {
            return;
        }
        let polls = &mut self.discovery.polls;
        (polls.sent_at, polls.is_long) = (self.now, !polls.needs_probe);
        let call = dialect.list_call(self.discovery.version, polls.is_long, &address.to_string());
        self.update_tally(|t| t.list_calls += 1);
        let task = Task::PollEndpoints(Vec::new());
        self.discovery.connection = Some(self.open_connection(None, address, task, Payload::Bytes(call)));
    }

    /// Closes the overdue polls, whose answers do not matter any more, and lets the next poll be a probe.
    pub(super) fn discard_polls(&mut self) {
        for poll in std::mem::take(&mut self.discovery.polls.overdue) {
            self.abort_connection(poll.conn);
        }
        self.discovery.polls.needs_probe = true;
    }

    /// Handles the timer of a poll: the current one becomes overdue, and an overdue one is given up.
    pub(super) fn poll_timed_out(&mut self, conn: ConnId) {
        if self.discovery.connection != Some(conn) {
            self.discovery.polls.remove_overdue(conn);
            return self.abort_connection(conn);
        }
        self.keep_overdue(conn);
        self.poll_again();
    }

    /// Handles the loss of a poll's connection. After an overdue poll another one was sent or is about to be.
    pub(super) fn poll_lost(&mut self, conn: ConnId) {
        self.discovery.polls.remove_overdue(conn);
        if self.discovery.connection == Some(conn) {
            self.poll_again();
        }
    }

    /// Polls again after a pause, by a call that does not wait for a change.
    fn poll_again(&mut self) {
        self.discovery.connection = None;
        self.discovery.polls.needs_probe = true;
        self.timers.set(self.now + POLL_PAUSE, TimerEvent::DiscoveryRetry);
    }

    /// Keeps the current poll open as an overdue one, or closes it if it cannot be kept.
    fn keep_overdue(&mut self, conn: ConnId) {
        let sent_at = self.discovery.polls.sent_at;
        if self.discovery.polls.add_overdue(OverduePoll { conn, sent_at }) {
            self.limit_discovery(conn, OVERDUE_TIMEOUT);
        } else {
            self.abort_connection(conn);
        }
    }

    /// Processes a part of the answer to a poll. Returns true to go on reading.
    pub(super) fn poll_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let held_bytes = self.list_bytes();
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Task::PollEndpoints(body) = &mut connection.task else { return false };
        match part {
            Part::Head(head) if head.start == (StartLine::Response { status: 200 }) => {
                // Service discovery answers again. The rest of a long list may take longer than its first bytes, so
                // the usual timeout applies.
                let was_probe = std::mem::take(&mut self.discovery.polls.needs_probe);
                if was_probe && self.discovery.connection == Some(conn) {
                    self.set_discovery_timer(conn);
                }
                true
            }
            Part::Data(data) if held_bytes + data.len() <= MAX_LIST_BYTES => {
                body.extend(data);
                true
            }
            Part::Head(_) | Part::Data(_) => self.close_discovery(conn),
            Part::End => {
                let body = std::mem::take(body);
                let close_after_reply = connection.close_after_reply;
                let overdue_since = self.discovery.polls.remove_overdue(conn);
                let answer = PollAnswer {
                    sent_at: overdue_since.unwrap_or(self.discovery.polls.sent_at),
                    was_overdue: overdue_since.is_some(),
                    close_after_reply,
                };
                self.poll_answered(conn, &body, &answer)
            }
        }
    }

    /// Number of bytes of lists that were received in part.
    fn list_bytes(&self) -> usize {
        let overdue = self.discovery.polls.overdue.iter().map(|o| o.conn);
        let body_bytes = |conn: ConnId| match self.connections.get(&conn).map(|c| &c.task) {
            Some(Task::PollEndpoints(body)) => body.len(),
            _ => 0,
        };
        overdue.chain(self.discovery.connection).map(body_bytes).sum()
    }

    /// Processes the complete answer to a poll. Returns true if the next poll was sent on the same connection.
    fn poll_answered(&mut self, conn: ConnId, body: &[u8], answer: &PollAnswer) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let list = match dialect.parse_list(body) {
            Ok(list) => list,
            Err(error) => {
                self.note("list", format!("endpoint list rejected: {error}"));
                return self.close_discovery(conn);
            }
        };
        // Polls that were sent earlier have nothing to tell beyond this answer and the next one.
        for older in self.discovery.polls.remove_sent_before(answer.sent_at) {
            self.abort_connection(older);
        }
        let has_news = self.apply_answer(list, answer.sent_at);
        if !has_news && self.was_answered_immediately(answer) {
            self.abort_connection(conn);
            self.discovery.connection = None;
            self.timers.set(self.now + POLL_PAUSE, TimerEvent::DiscoveryRetry);
            return false;
        }
        self.poll_next(conn, answer)
    }

    /// Whether a long poll was answered so early that to poll on would be a busy loop if the answer has no change.
    fn was_answered_immediately(&self, answer: &PollAnswer) -> bool {
        let is_long = self.discovery.polls.is_long && !answer.was_overdue;
        is_long && self.now < answer.sent_at + POLL_PAUSE
    }

    /// Sends the next long poll after an answer. Service discovery counts a pause as another watcher, so the poll follows
    /// immediately on the same connection, unless a newer long poll is open. Returns true if it does.
    fn poll_next(&mut self, conn: ConnId, answer: &PollAnswer) -> bool {
        let current = self.discovery.connection.filter(|current| *current != conn);
        let has_long_poll = current.is_some() && self.discovery.polls.is_long;
        if answer.close_after_reply || has_long_poll {
            self.abort_connection(conn);
            self.discovery.connection = current;
            self.watch_discovery();
            return false;
        }
        if let Some(current) = current {
            self.keep_overdue(current);
        }
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let host = self.config.discovery.map(|a| a.to_string()).unwrap_or_default();
        let call = dialect.list_call(self.discovery.version, true, &host);
        self.discovery.connection = Some(conn);
        (self.discovery.polls.sent_at, self.discovery.polls.is_long) = (self.now, true);
        self.update_tally(|t| t.list_calls += 1);
        self.outputs.push(Output::Write(conn, call));
        self.set_discovery_timer(conn);
        true
    }

    /// Applies the list of an answer to a poll that was sent at `sent_at`. Returns whether the list has a version that was
    /// not known.
    fn apply_answer(&mut self, list: EndpointList, sent_at: Micros) -> bool {
        let before = self.discovery.version;
        // The answers to several open polls may come in any order.
        let was_overtaken = sent_at < self.discovery.polls.read_at;
        if was_overtaken && before.is_some_and(|known| list.version <= known) {
            return false;
        }
        let (workers, update) = self.apply_list(list);
        if was_overtaken && before.is_none() {
            // The complete list was requested and is still to come.
            self.discovery.version = None;
        }
        self.discovery.polls.read_at = self.now;
        if update == p::EndpointUpdate::Snapshot || !workers.is_empty() {
            self.notify_policy(update, workers);
        }
        self.discovery.version != before
    }

    /// Applies a list that a dialect has read, and returns the update for the policy.
    fn apply_list(&mut self, list: EndpointList) -> (Vec<p::Worker>, p::EndpointUpdate) {
        for error in &list.invalid {
            self.note("list", format!("an invalid endpoint list entry is left out: {error}"));
        }
        self.discovery.has_list = true;
        // After an invalid entry the complete list is requested, once. Entries that are invalid again are left out.
        let request_complete_list = !list.invalid.is_empty() && self.discovery.version.is_some();
        self.discovery.version = (!request_complete_list).then_some(list.version);
        let update = if list.complete { p::EndpointUpdate::Snapshot } else { p::EndpointUpdate::Delta };
        let is_complete = list.complete;
        let endpoints = self.limit_workers(list);
        (self.apply_endpoints(endpoints, is_complete), update)
    }

    /// Entries of a list that are within its bound. New workers past the bound are left out; entries of known workers
    /// are kept, above all those that say that a worker drains.
    fn limit_workers(&mut self, list: EndpointList) -> Vec<Endpoint> {
        let known = if list.complete { 0 } else { self.workers.len() };
        let mut capacity = self.config.bounds.workers.saturating_sub(known);
        let named = list.endpoints.len();
        let mut fitting = Vec::new();
        for endpoint in list.endpoints {
            let worker = &endpoint.worker;
            let is_known = worker.lifecycle == p::Lifecycle::Removed || self.workers.contains_key(&worker.id);
            if is_known || capacity > 0 {
                capacity -= usize::from(!is_known);
                fitting.push(endpoint);
            }
        }
        if fitting.len() < named {
            self.note(
                "list",
                format!(
                    "the endpoint list is longer than its bound: {} workers are left out",
                    named - fitting.len()
                ),
            );
        }
        fitting
    }
}
