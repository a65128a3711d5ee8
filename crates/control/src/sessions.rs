//! The sessions of routers that are connected to a control replica: what each router has learned, and what it is sent.

use std::collections::{BTreeMap, VecDeque};

use crate::digest::Digest;
use crate::history::{CatchUp, History};
use crate::message::Message;
use crate::revision::{Revision, RevisionNumber};
use crate::time::Micros;

/// Identifies one connection of a router. Ids are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Maximum number of routers that are connected to one replica.
pub const MAX_SESSIONS: usize = 4_096;
/// Rate limit for snapshots, so that the network is not saturated when all routers restart without a configuration.
const SNAPSHOTS_PER_WINDOW: usize = 4;
/// Length of the rate limit's sliding window, in µs.
const SNAPSHOT_WINDOW: Micros = 250_000;

/// A session was refused because the replica has [`MAX_SESSIONS`] open sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("session limit reached: {max} routers are connected", max = MAX_SESSIONS)]
pub struct SessionLimitError;

/// What a router has reported in a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// The newest number that the router has learned, including one that it could not apply.
    pub number: RevisionNumber,
    /// When the router first reported this number.
    pub since: Micros,
    /// The last revision that the router could not apply.
    pub rejected: Option<RejectedRevision>,
}

/// A revision that a router could not apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision's number.
    pub number: RevisionNumber,
    /// The error that the router reported.
    pub reason: Box<str>,
}

/// An outgoing message of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionMessage {
    /// The session to send the message in.
    pub session: SessionId,
    /// The message.
    pub message: Message,
}

/// The open sessions of one replica, and the queue of routers that wait for a snapshot.
#[derive(Debug, Clone, Default)]
pub struct SubscriberSessions {
    sessions: BTreeMap<SessionId, Session>,
    awaiting_snapshot: VecDeque<SessionId>,
    /// When each snapshot of the current window was sent, oldest first.
    snapshots_sent_at: VecDeque<Micros>,
}

impl SubscriberSessions {
    /// Opens a session for a router that has connected.
    ///
    /// # Errors
    /// The replica already has [`MAX_SESSIONS`] open sessions.
    pub fn open(&mut self, session: SessionId, now: Micros) -> Result<(), SessionLimitError> {
        if self.sessions.len() >= MAX_SESSIONS {
            return Err(SessionLimitError);
        }
        let new_session = Session { number: RevisionNumber(0), since: now, rejected: None };
        self.sessions.insert(session, new_session);
        Ok(())
    }

    /// Closes a session whose connection has ended.
    pub fn close(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        self.awaiting_snapshot.retain(|waiting| *waiting != session);
    }

    /// Iterates over all open sessions.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// Handles a message from a router: a heartbeat, or a report of a revision that it can't apply.
    pub fn receive(
        &mut self,
        session: SessionId,
        now: Micros,
        message: Message,
        history: &History,
        messages: &mut Vec<SessionMessage>,
    ) {
        let Some(reported) = self.sessions.get_mut(&session) else { return };
        match message {
            Message::Heartbeat { number, digest } => {
                if reported.number != number {
                    reported.number = number;
                    reported.since = now;
                }
                self.bring_up_to_date(session, number, digest, history, messages);
            }
            Message::CannotApply { number, reason } => {
                reported.rejected = Some(RejectedRevision { number, reason });
            }
            // Routers send no other messages, and have no vote.
            _ => {}
        }
    }

    fn bring_up_to_date(
        &mut self,
        session: SessionId,
        number: RevisionNumber,
        digest: Digest,
        history: &History,
        messages: &mut Vec<SessionMessage>,
    ) {
        match history.catch_up(number, digest) {
            CatchUp::Revisions(revisions) => {
                let send = |revision| SessionMessage { session, message: Message::Decided(revision) };
                messages.extend(revisions.into_iter().map(send));
            }
            // A router that is ahead of this replica gets no snapshot, since an older snapshot would revert it.
            CatchUp::Snapshot if number < history.number() => self.queue_snapshot(session),
            CatchUp::Snapshot | CatchUp::Current | CatchUp::Diverged => {}
        }
        let message = Message::Heartbeat { number: history.number(), digest: history.document().digest() };
        messages.push(SessionMessage { session, message });
    }

    fn queue_snapshot(&mut self, session: SessionId) {
        if !self.awaiting_snapshot.contains(&session) {
            self.awaiting_snapshot.push_back(session);
        }
    }

    /// Sends a decided revision to all routers. A router that misses earlier revisions then requests them.
    pub fn broadcast(&self, revision: &Revision, messages: &mut Vec<SessionMessage>) {
        let message = Message::Decided(revision.clone());
        let sessions = self.sessions.keys();
        messages
            .extend(sessions.map(|session| SessionMessage { session: *session, message: message.clone() }));
    }

    /// Sends snapshots to waiting routers, up to the limit of the current window.
    pub fn tick(&mut self, now: Micros, history: &History, messages: &mut Vec<SessionMessage>) {
        while self.snapshots_sent_at.front().is_some_and(|sent_at| sent_at + SNAPSHOT_WINDOW <= now) {
            self.snapshots_sent_at.pop_front();
        }
        while self.snapshots_sent_at.len() < SNAPSHOTS_PER_WINDOW {
            let Some(session) = self.awaiting_snapshot.pop_front() else { return };
            self.snapshots_sent_at.push_back(now);
            let message = Message::snapshot(history.number(), history.document());
            messages.push(SessionMessage { session, message });
        }
    }

    /// Returns when [`Self::tick`] has to be called next, if at all.
    pub fn next_due(&self) -> Option<Micros> {
        if self.awaiting_snapshot.is_empty() {
            return None;
        }
        Some(self.snapshots_sent_at.front().map_or(0, |sent_at| sent_at + SNAPSHOT_WINDOW))
    }
}
