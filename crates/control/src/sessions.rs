//! A control replica towards routers: who is there, what each holds, and what is sent to it.

use std::collections::{BTreeMap, VecDeque};

use crate::digest::Digest;
use crate::history::{CatchUp, History};
use crate::messages::Message;
use crate::revision::{Number, Revision};
use crate::subscriber::Time;

/// A router's connection, by a number that is never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Routers that are connected at most; one more is turned away.
pub const MAX_SESSIONS: usize = 4_096;
/// Wholes that are on their way at once, and between two of them: a region that comes back with nothing is one burst.
const SNAPSHOTS_PER_WINDOW: usize = 4;
const SNAPSHOT_WINDOW: Time = 250_000;

/// What a router said last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// The number that it holds.
    pub number: Number,
    /// Since when.
    pub since: Time,
    /// The last number that it could not put in force, and why.
    pub held_back: Option<(Number, Box<str>)>,
}

/// All routers of one replica.
#[derive(Debug, Clone, Default)]
pub struct SubscriberSessions {
    sessions: BTreeMap<SessionId, Session>,
    /// Those that wait for a whole, and when the last ones were sent.
    awaiting_snapshot: VecDeque<SessionId>,
    snapshots_sent_at: VecDeque<Time>,
}

impl SubscriberSessions {
    /// A router has connected; false: there is no room.
    pub fn open(&mut self, session_id: SessionId, now: Time) -> bool {
        if self.sessions.len() >= MAX_SESSIONS {
            return false;
        }
        self.sessions.insert(session_id, Session { number: Number(0), since: now, held_back: None });
        true
    }

    /// Its connection has ended.
    pub fn close(&mut self, session_id: SessionId) {
        self.sessions.remove(&session_id);
        self.awaiting_snapshot.retain(|waiting| *waiting != session_id);
    }

    /// Routers that are connected, with what they said last.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(session_id, session)| (*session_id, session))
    }

    /// A router says what it holds, or that it can't put something in force.
    pub fn receive(
        &mut self,
        session_id: SessionId,
        now: Time,
        message: Message,
        history: &History,
        out: &mut Vec<(SessionId, Message)>,
    ) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        match message {
            Message::Holds { number, digest } => {
                if session.number != number {
                    (session.number, session.since) = (number, now);
                }
                self.bring_up_to_date(session_id, number, digest, history, out);
            }
            Message::CannotApply { number, why } => session.held_back = Some((number, why)),
            // Nothing else is a router's to say.
            _ => {}
        }
    }

    fn bring_up_to_date(
        &mut self,
        session_id: SessionId,
        number: Number,
        digest: Digest,
        history: &History,
        out: &mut Vec<(SessionId, Message)>,
    ) {
        match history.since(number, digest) {
            CatchUp::Revisions(revisions) => {
                out.extend(revisions.into_iter().map(|revision| (session_id, Message::Decided(revision))));
            }
            // One that is ahead of this replica gets no whole: it would go back.
            CatchUp::Whole if number < history.number() && !self.awaiting_snapshot.contains(&session_id) => {
                self.awaiting_snapshot.push_back(session_id);
            }
            CatchUp::Whole | CatchUp::Current | CatchUp::OtherHistory => {}
        }
        let (number, digest) = (history.number(), history.document().digest());
        out.push((session_id, Message::Holds { number, digest }));
    }

    /// A number was decided: all routers are told. Who is behind it asks for what is missing.
    pub fn broadcast(&self, revision: &Revision, out: &mut Vec<(SessionId, Message)>) {
        out.extend(self.sessions.keys().map(|session_id| (*session_id, Message::Decided(revision.clone()))));
    }

    /// Sends wholes to routers that wait for one, so many at most in each span.
    pub fn tick(&mut self, now: Time, history: &History, out: &mut Vec<(SessionId, Message)>) {
        while self.snapshots_sent_at.front().is_some_and(|at| at + SNAPSHOT_WINDOW <= now) {
            self.snapshots_sent_at.pop_front();
        }
        while self.snapshots_sent_at.len() < SNAPSHOTS_PER_WINDOW {
            let Some(session_id) = self.awaiting_snapshot.pop_front() else { return };
            self.snapshots_sent_at.push_back(now);
            out.push((session_id, Message::whole(history.number(), history.document())));
        }
    }

    /// When [`Self::tick`] is next needed, if at all.
    pub fn next_due(&self) -> Option<Time> {
        (!self.awaiting_snapshot.is_empty())
            .then(|| self.snapshots_sent_at.front().map_or(0, |at| at + SNAPSHOT_WINDOW))
    }
}
