//! State of one client connection: the progress of its request and of its answer.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Head};

use super::received_body::ReceivedBody;
use crate::timers::TimerKey;

/// Phase of a client connection.
#[derive(Debug)]
pub(super) enum ClientPhase {
    /// The connection is idle, or the head of a request is being read.
    ReadingHead,
    /// The body of a request is being read.
    ReadingBody(Box<Head>, ReceivedBody),
    /// An accepted request is being served. Bytes that follow it wait in the decoder.
    Serving(p::RequestId),
}

/// A client connection.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) decoder: Decoder,
    pub(super) phase: ClientPhase,
    pub(super) timer: Option<TimerKey>,
    /// Bytes passed to the shell and not yet accepted by the operating system.
    pub(super) unsent_bytes: u64,
    /// Time since which the operating system has accepted none of the unsent bytes.
    pub(super) blocked_since: Micros,
    /// Whether the connection closes after the current answer, as the client requested or was told.
    pub(super) close_after_answer: bool,
    /// Whether the client was told that the connection closes after the current answer.
    pub(super) close_announced: bool,
    /// Whether reading is paused because too many bytes wait to be sent.
    pub(super) output_full: bool,
    /// Whether reading is paused because too many bytes wait behind the open request.
    pub(super) pipeline_full: bool,
    /// Whether reading is paused, for one of the reasons above.
    pub(super) paused: bool,
    /// Whether the connection is being closed unless unread bytes have arrived.
    pub(super) closing_if_quiet: bool,
    /// Whether the connection has carried an answer, so that its client knows that the connection may be closed
    /// between two requests.
    pub(super) has_been_answered: bool,
    /// Time at which the connection was accepted, its last request ended or its current request began.
    pub(super) phase_since: Micros,
    /// Arrival of the first byte behind the open request. The client's time for the next request runs from then.
    pub(super) next_request_since: Micros,
    /// Number of bytes, the last ones pushed to the decoder, that arrived too late for the requests that they complete to
    /// be served by a draining router.
    pub(super) late_bytes: usize,
    /// Time since which nothing was read. The bytes read next may have arrived as early.
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
            late_bytes: 0,
            unread_since: None,
        }
    }

    /// Whether no byte of a request has arrived.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, ClientPhase::ReadingHead) && self.decoder.is_idle()
    }

    /// Whether only a part of a request has arrived, and the rest is being read.
    pub(super) fn is_receiving(&self) -> bool {
        !matches!(self.phase, ClientPhase::Serving(_)) && !self.decoder.is_idle() && !self.output_full
    }

    /// Whether the last byte of the request that was just decoded arrived too late for it to be served.
    pub(super) fn has_late_request(&self) -> bool {
        self.decoder.buffered() < self.late_bytes
    }

    /// Prepares for the next request after an answer. If part of that request has arrived, its time runs from that
    /// arrival.
    pub(super) fn start_next_request(&mut self, now: Micros) {
        self.phase = ClientPhase::ReadingHead;
        self.has_been_answered = true;
        self.phase_since = if self.decoder.is_idle() { now } else { self.next_request_since };
    }

    /// Whether the connection may be closed to make room: none of its requests is complete.
    pub(super) fn is_evictable(&self) -> bool {
        !matches!(self.phase, ClientPhase::Serving(_)) && !self.output_full && !self.closing_if_quiet
    }

    /// Records that the operating system has accepted bytes for sending.
    pub(super) fn bytes_sent(&mut self, now: Micros, bytes: u64) {
        self.unsent_bytes = self.unsent_bytes.saturating_sub(bytes);
        self.blocked_since = now;
    }
}
