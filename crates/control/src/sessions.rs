//! The routers that are connected to a control replica: what each has applied, and what is sent to it.

use std::collections::{BTreeMap, VecDeque};

use crate::digest::Digest;
use crate::history::{CatchUp, History};
use crate::message::Message;
use crate::revision::{Revision, RevisionNumber};
use crate::time::Micros;

/// One connection of a router. A value is never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Limit of the routers that are connected to one replica.
pub const MAX_SESSIONS: usize = 4_096;
/// Snapshots are sent a few at a time, so that routers that all restart without a configuration don't fill the network.
const SNAPSHOTS_PER_WINDOW: usize = 4;
const SNAPSHOT_WINDOW: Micros = 250_000;

/// No session is opened: the replica has [`MAX_SESSIONS`] of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{max} routers are connected, and no more are admitted", max = MAX_SESSIONS)]
pub struct SessionLimitError;

/// What a router has reported in its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// The newest number that it has.
    pub number: RevisionNumber,
    /// Since when it has reported this number.
    pub since: Micros,
    /// The last revision that it could not apply.
    pub rejected: Option<RejectedRevision>,
}

/// A revision that a router could not apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision's number.
    pub number: RevisionNumber,
    /// What the router says is wrong.
    pub reason: Box<str>,
}

/// A message to be sent in a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionMessage {
    /// The receiver.
    pub session: SessionId,
    /// The message.
    pub message: Message,
}

/// The sessions of one replica.
#[derive(Debug, Clone, Default)]
pub struct SubscriberSessions {
    sessions: BTreeMap<SessionId, Session>,
    awaiting_snapshot: VecDeque<SessionId>,
    /// When the snapshots of the current window were sent.
    snapshots_sent_at: VecDeque<Micros>,
}

impl SubscriberSessions {
    /// Opens a session for a router that has connected.
    ///
    /// # Errors
    /// There are [`MAX_SESSIONS`] sessions already.
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

    /// All open sessions.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// Handles a message of a router: what it has, or that it can't apply a revision.
    pub fn receive(
        &mut self,
        session: SessionId,
        now: Micros,
        message: Message,
        history: &History,
        out: &mut Vec<SessionMessage>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        match message {
            Message::Heartbeat { number, digest } => {
                if state.number != number {
                    state.number = number;
                    state.since = now;
                }
                self.bring_up_to_date(session, number, digest, history, out);
            }
            Message::CannotApply { number, reason } => {
                state.rejected = Some(RejectedRevision { number, reason });
            }
            // Routers send nothing else; a router has no vote.
            _ => {}
        }
    }

    fn bring_up_to_date(
        &mut self,
        session: SessionId,
        number: RevisionNumber,
        digest: Digest,
        history: &History,
        out: &mut Vec<SessionMessage>,
    ) {
        match history.catch_up(number, digest) {
            CatchUp::Revisions(revisions) => {
                let send = |revision| SessionMessage { session, message: Message::Decided(revision) };
                out.extend(revisions.into_iter().map(send));
            }
            // A router that is ahead of this replica gets no snapshot, which would take it back.
            CatchUp::Snapshot if number < history.number() => self.request_snapshot(session),
            CatchUp::Snapshot | CatchUp::Current | CatchUp::Diverged => {}
        }
        let message = Message::Heartbeat { number: history.number(), digest: history.document().digest() };
        out.push(SessionMessage { session, message });
    }

    fn request_snapshot(&mut self, session: SessionId) {
        if !self.awaiting_snapshot.contains(&session) {
            self.awaiting_snapshot.push_back(session);
        }
    }

    /// Sends a decided revision to all routers. One that is further behind then requests what it lacks.
    pub fn broadcast(&self, revision: &Revision, out: &mut Vec<SessionMessage>) {
        let message = Message::Decided(revision.clone());
        let sessions = self.sessions.keys();
        out.extend(sessions.map(|session| SessionMessage { session: *session, message: message.clone() }));
    }

    /// Sends snapshots to routers that wait for one, up to the limit of the current window.
    pub fn tick(&mut self, now: Micros, history: &History, out: &mut Vec<SessionMessage>) {
        while self.snapshots_sent_at.front().is_some_and(|sent_at| sent_at + SNAPSHOT_WINDOW <= now) {
            self.snapshots_sent_at.pop_front();
        }
        while self.snapshots_sent_at.len() < SNAPSHOTS_PER_WINDOW {
            let Some(session) = self.awaiting_snapshot.pop_front() else { return };
            self.snapshots_sent_at.push_back(now);
            let message = Message::snapshot(history.number(), history.document());
            out.push(SessionMessage { session, message });
        }
    }

    /// When [`Self::tick`] has to be called next, if at all.
    pub fn next_due(&self) -> Option<Micros> {
        if self.awaiting_snapshot.is_empty() {
            return None;
        }
        Some(self.snapshots_sent_at.front().map_or(0, |sent_at| sent_at + SNAPSHOT_WINDOW))
    }
}
