//! A worker's endpoint, the router's connections to it, and the task that each connection carries.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_policy as p;
use chalkyard_policy::obligations::Target;
use chalkyard_policy::Micros;
use chalkyard_proto::{sse, Decoder};

use super::attempt::ReplyState;
use super::ConnId;
use crate::timers::TimerKey;

/// Maximum time between the reuse of a connection and the loss of its call, with nothing read of the reply, at which
/// the loss shows that the worker had dropped the connection without closing it.
const STALE_LOSS_WINDOW: Micros = Micros(20_000);
/// Minimum idle time of a reused connection whose loss shows the same; a connection that was idle for less was lost
/// for another reason.
const STALE_MIN_IDLE: Micros = Micros(50_000);
/// Interval after which a learned idle timeout doubles, up to the configured one.
const LEARNED_TIMEOUT_DOUBLING: Micros = Micros(3_000_000);

/// Maximum idle time of a connection that may be reused: the configured time, or less if lost calls have shown that
/// workers close idle connections sooner. Each such loss may be a call that must not be repeated.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct IdleTimeout {
    learned: Option<LearnedTimeout>,
}

#[derive(Debug, Clone, Copy)]
struct LearnedTimeout {
    timeout: Micros,
    learned_at: Micros,
}

impl IdleTimeout {
    /// Current timeout.
    pub(super) fn current(&self, now: Micros, configured: Micros) -> Micros {
        let Some(learned) = self.learned else { return configured };
        let doublings = ((now - learned.learned_at).0 / LEARNED_TIMEOUT_DOUBLING.0).min(30);
        Micros(learned.timeout.0.saturating_mul(1 << doublings)).min(configured)
    }

    /// Learns from a call that was lost after `lost_after` on a connection that had been idle for `idle`.
    pub(super) fn learn(&mut self, now: Micros, configured: Micros, idle: Micros, lost_after: Micros) {
        if lost_after <= STALE_LOSS_WINDOW && idle >= STALE_MIN_IDLE {
            let timeout = self.current(now, configured).min(idle.mul_f64(0.5));
            self.learned = Some(LearnedTimeout { timeout, learned_at: now });
        }
    }
}

/// A worker's endpoint and the router's connections to it.
#[derive(Debug)]
pub(super) struct WorkerEndpoint {
    pub(super) address: SocketAddr,
    /// `Host` header of calls, which is the address.
    pub(super) host: Arc<str>,
    pub(super) role: p::Role,
    pub(super) zone: Option<p::ZoneId>,
    pub(super) cell: p::CellId,
    /// Whether the newest endpoint list contains the worker.
    pub(super) listed: bool,
    /// Whether the worker takes no new calls. An attempt whose call was not written yet is placed elsewhere.
    pub(super) draining: bool,
    /// Idle connections, the most recently used last: the worker is least likely to close that one.
    pub(super) idle: Vec<ConnId>,
    /// Number of connections, idle ones included.
    pub(super) open: usize,
    /// Time at which the head of the last reply arrived; 0 if there was none.
    pub(super) last_reply_at: Micros,
}

impl WorkerEndpoint {
    /// Worker as the obligations see it.
    pub(super) fn target(&self) -> Target {
        let lifecycle = match (self.listed, self.draining) {
            (false, _) => p::Lifecycle::Removed,
            (true, true) => p::Lifecycle::Draining,
            (true, false) => p::Lifecycle::Active,
        };
        Target { role: self.role, zone: self.zone, cell: self.cell, lifecycle }
    }
}

/// Id of a release, which may take several calls. Never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReleaseId(pub(super) u64);

/// Task that a connection carries.
#[derive(Debug)]
pub(super) enum Task {
    /// No task; the connection may be reused.
    Idle,
    /// An attempt, and the state of its reply.
    Attempt(p::RequestId, p::AttemptNo, ReplyState),
    /// A call that releases a reservation.
    Release(ReleaseId),
    /// No task any more, but the rest of a reply has to be read before the connection can be reused.
    DrainReply,
    /// The watch of the endpoint list.
    WatchEndpoints(Box<sse::Parser>),
    /// Successive polls of the endpoint list, and the body of the current answer so far.
    PollEndpoints(Vec<u8>),
}

/// Data to be written on a connection.
#[derive(Debug)]
pub(super) enum Payload {
    /// Encoded bytes.
    Bytes(Vec<u8>),
    /// Call of the attempt that the connection carries. It is encoded when it is written, because it names the time
    /// left.
    AttemptCall,
}

/// Reuse of an idle connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reuse {
    /// Time that the connection had been idle.
    pub(super) idle: Micros,
    /// Time of the reuse.
    pub(super) at: Micros,
}

/// A connection to a worker or to service discovery.
#[derive(Debug)]
pub(super) struct WorkerConnection {
    /// Worker of the connection; `None` for service discovery.
    pub(super) worker: Option<p::WorkerId>,
    pub(super) decoder: Decoder,
    pub(super) task: Task,
    /// Call to be written once the connection is established.
    pub(super) pending_call: Option<Payload>,
    /// Bytes of the current call that the operating system has accepted; 0 means that the call was not sent.
    pub(super) written: u64,
    /// Total bytes of the current call.
    pub(super) call_size: u64,
    /// Time at which the connection last became idle.
    pub(super) idle_since: Micros,
    /// Last reuse; `None` while the connection carries its first call.
    pub(super) reused: Option<Reuse>,
    /// Whether the worker closes the connection after the current reply.
    pub(super) close_after_reply: bool,
    pub(super) timer: Option<TimerKey>,
}

impl WorkerConnection {
    /// Creates the state of a connection that is about to be opened.
    pub(super) fn new(
        worker: Option<p::WorkerId>,
        decoder: Decoder,
        task: Task,
        call: Payload,
        timer: TimerKey,
    ) -> Self {
        Self {
            worker,
            decoder,
            task,
            pending_call: Some(call),
            written: 0,
            call_size: 0,
            idle_since: Micros(0),
            reused: None,
            close_after_reply: false,
            timer: Some(timer),
        }
    }

    /// Whether another call may follow: the reply was complete, nothing came after it, and the operating system has
    /// accepted the complete call.
    pub(super) fn is_reusable(&self) -> bool {
        self.decoder.is_idle() && !self.close_after_reply && self.written >= self.call_size
    }
}
