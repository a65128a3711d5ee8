//! One connection with a client: how far its request and its answer have come.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Head};

use crate::timers::Key;

#[derive(Debug)]
pub(super) enum Phase {
    /// Between requests, or within a head.
    Head,
    Body(Box<Head>, Vec<u8>),
    Serving(p::RequestId),
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) decoder: Decoder,
    pub(super) phase: Phase,
    pub(super) timer: Option<Key>,
    /// Bytes given to the shell and not yet taken by the system, and since when none was.
    pub(super) pending: u64,
    pub(super) stuck_since: Micros,
    /// Closed after the answer being given: by its wish, or as it was told.
    pub(super) last: bool,
    /// It was told that the connection ends with the answer being given.
    pub(super) told_last: bool,
    /// So much waits for it that nothing more is read from it.
    pub(super) held_up: bool,
    /// So much has come behind its open request that nothing more is read from it.
    pub(super) crowded: bool,
    /// Nothing is read from it, for one of these reasons.
    pub(super) paused: bool,
    /// It is closed unless it has said something that was not read yet.
    pub(super) closing: bool,
    /// It has had an answer: it may be closed between two requests, as it knows.
    pub(super) used: bool,
    /// When it came, its last request ended, or its present one began.
    pub(super) since: Micros,
    /// When the first byte came of what waits behind its open request: its client's time runs from then.
    pub(super) waiting_since: Micros,
    /// Nothing was read from then on: what is read next may have come as early.
    pub(super) unread_since: Option<Micros>,
}

impl Client {
    pub(super) fn new(decoder: Decoder, now: Micros) -> Self {
        Self {
            decoder,
            phase: Phase::Head,
            timer: None,
            pending: 0,
            stuck_since: now,
            last: false,
            told_last: false,
            held_up: false,
            crowded: false,
            paused: false,
            closing: false,
            used: false,
            since: now,
            waiting_since: now,
            unread_since: None,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.decoder.is_idle()
    }

    /// Its request has its answer: the time of the next one runs, if that is in hand.
    pub(super) fn next_request(&mut self, now: Micros) {
        self.phase = Phase::Head;
        self.used = true;
        self.since = if self.decoder.is_idle() { now } else { self.waiting_since };
    }

    /// Whether it may be closed for want of room: no whole request of its may be in hand.
    pub(super) fn is_dispensable(&self) -> bool {
        !matches!(self.phase, Phase::Serving(_)) && !self.held_up && !self.closing
    }

    pub(super) fn wrote(&mut self, now: Micros, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
        self.stuck_since = now;
    }
}
