//! A control machine towards routers: who is there, what each holds, and what is sent to it.

use std::collections::{BTreeMap, VecDeque};

use crate::digest::Digest;
use crate::history::{CatchUp, History};
use crate::messages::Message;
use crate::revision::{Number, Revision};
use crate::subscriber::Time;

/// A router's connection, by a number that is never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u64);

/// Routers that are connected at most; one more is turned away.
pub const ROUTERS: usize = 4_096;
/// Wholes that are on their way at once, and between two of them: a region that comes back with nothing is one burst.
const WHOLES: usize = 4;
const WHOLE_PAUSE: Time = 250_000;

/// What a router said last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The number that it holds.
    pub number: Number,
    /// Since when.
    pub since: Time,
    /// The last number that it could not put in force, and why.
    pub held_back: Option<(Number, Box<str>)>,
}

/// All routers of one machine.
#[derive(Debug, Clone, Default)]
pub struct Station {
    routers: BTreeMap<RouterId, Seen>,
    /// Those that wait for a whole, and when the last ones were sent.
    waiting: VecDeque<RouterId>,
    sent: VecDeque<Time>,
}

impl Station {
    /// A router has connected; false: there is no room.
    pub fn connected(&mut self, router: RouterId, now: Time) -> bool {
        if self.routers.len() >= ROUTERS {
            return false;
        }
        self.routers.insert(router, Seen { number: Number(0), since: now, held_back: None });
        true
    }

    /// Its connection has ended.
    pub fn lost(&mut self, router: RouterId) {
        self.routers.remove(&router);
        self.waiting.retain(|waiting| *waiting != router);
    }

    /// Routers that are connected, with what they said last.
    pub fn routers(&self) -> impl Iterator<Item = (RouterId, &Seen)> {
        self.routers.iter().map(|(router, seen)| (*router, seen))
    }

    /// A router says what it holds, or that it can't put something in force.
    pub fn heard(
        &mut self,
        router: RouterId,
        now: Time,
        message: Message,
        history: &History,
        out: &mut Vec<(RouterId, Message)>,
    ) {
        let Some(seen) = self.routers.get_mut(&router) else { return };
        match message {
            Message::Holds { number, digest } => {
                if seen.number != number {
                    (seen.number, seen.since) = (number, now);
                }
                self.bring_up_to_date(router, number, digest, history, out);
            }
            Message::CannotApply { number, why } => seen.held_back = Some((number, why)),
            // Nothing else is a router's to say.
            _ => {}
        }
    }

    fn bring_up_to_date(
        &mut self,
        router: RouterId,
        number: Number,
        digest: Digest,
        history: &History,
        out: &mut Vec<(RouterId, Message)>,
    ) {
        match history.since(number, digest) {
            CatchUp::Revisions(revisions) => {
                out.extend(revisions.into_iter().map(|revision| (router, Message::Decided(revision))));
            }
            // One that is ahead of this machine gets no whole: it would go back.
            CatchUp::Whole if number < history.number() && !self.waiting.contains(&router) => {
                self.waiting.push_back(router);
            }
            CatchUp::Whole | CatchUp::Current | CatchUp::OtherHistory => {}
        }
        let (number, digest) = (history.number(), history.document().digest());
        out.push((router, Message::Holds { number, digest }));
    }

    /// A number was decided: all routers are told. Who is behind it asks for what is missing.
    pub fn decided(&self, revision: &Revision, out: &mut Vec<(RouterId, Message)>) {
        out.extend(self.routers.keys().map(|router| (*router, Message::Decided(revision.clone()))));
    }

    /// Sends wholes to routers that wait for one, so many at most in each span.
    pub fn tick(&mut self, now: Time, history: &History, out: &mut Vec<(RouterId, Message)>) {
        while self.sent.front().is_some_and(|at| at + WHOLE_PAUSE <= now) {
            self.sent.pop_front();
        }
        while self.sent.len() < WHOLES {
            let Some(router) = self.waiting.pop_front() else { return };
            self.sent.push_back(now);
            out.push((router, Message::whole(history.number(), history.document())));
        }
    }

    /// When [`Self::tick`] is next needed, if at all.
    pub fn next_due(&self) -> Option<Time> {
        (!self.waiting.is_empty()).then(|| self.sent.front().map_or(0, |at| at + WHOLE_PAUSE))
    }
}
