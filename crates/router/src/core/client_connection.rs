//! One connection with a client: how far its request and its answer have come.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Head};

use crate::timers::TimerKey;

/// What a client's connection is doing.
#[derive(Debug)]
pub(super) enum ClientPhase {
    /// Nothing, or the head of a request is being read.
    ReadingHead,
    /// The body of a request is being read.
    ReadingBody(Box<Head>, Vec<u8>),
    /// A request has been accepted and not been answered. What follows waits in the decoder.
    Serving(p::RequestId),
}

/// A connection with a client.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) decoder: Decoder,
    pub(super) phase: ClientPhase,
    pub(super) timer: Option<TimerKey>,
    /// Bytes given to the shell and not yet taken by the system.
    pub(super) unsent_bytes: u64,
    /// Since when the system has taken none of them.
    pub(super) blocked_since: Micros,
    /// Closed after the present answer: by the client's wish, or as it was told.
    pub(super) close_after_answer: bool,
    /// The client was told that the connection ends with the present answer.
    pub(super) close_announced: bool,
    /// Too much waits to be sent: nothing more is read.
    pub(super) output_full: bool,
    /// Too much waits behind the open request: nothing more is read.
    pub(super) pipeline_full: bool,
    /// Nothing is read, for one of these reasons.
    pub(super) paused: bool,
    /// Closed, unless bytes have come that were not read yet.
    pub(super) closing_if_quiet: bool,
    /// It has had an answer: its client knows that it may be closed between two requests.
    pub(super) has_been_answered: bool,
    /// When it was accepted, its last request ended, or its present one began.
    pub(super) phase_since: Micros,
    /// When the first byte came of what waits behind its open request: the client's time runs from then.
    pub(super) next_request_since: Micros,
    /// Nothing was read from then on: what is read next may have come as early.
    pub(super) unread_since: Option<Micros>,
}

impl ClientConnection {
    pub(super) fn new(decoder: Decoder, now: Micros) -> Self {
        Self {
            decoder,
            phase: ClientPhase::ReadingHead,
            timer: None,
            unsent_bytes: 0,
            blocked_since: now,
            close_after_answer: false,
            close_announced: false,
            output_full: false,
            pipeline_full: false,
            paused: false,
            closing_if_quiet: false,
            has_been_answered: false,
            phase_since: now,
            next_request_since: now,
            unread_since: None,
        }
    }

    /// Whether no byte of a request has come.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, ClientPhase::ReadingHead) && self.decoder.is_idle()
    }

    /// Its request was answered: the time of the next one runs, if some of that has come.
    pub(super) fn start_next_request(&mut self, now: Micros) {
        self.phase = ClientPhase::ReadingHead;
        self.has_been_answered = true;
        self.phase_since = if self.decoder.is_idle() { now } else { self.next_request_since };
    }

    /// Whether it may be closed to make room: none of its requests is complete.
    pub(super) fn is_evictable(&self) -> bool {
        !matches!(self.phase, ClientPhase::Serving(_)) && !self.output_full && !self.closing_if_quiet
    }

    /// The system has taken bytes to be sent.
    pub(super) fn bytes_sent(&mut self, now: Micros, bytes: u64) {
        self.unsent_bytes = self.unsent_bytes.saturating_sub(bytes);
        self.blocked_since = now;
    }
}
