//! A worker's endpoint, the router's connections to it, and what each of these carries.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_policy as p;
use chalkyard_policy::obligations::Target;
use chalkyard_policy::Micros;
use chalkyard_proto::{sse, Decoder};

use super::attempt::ReplyState;
use super::ConnId;
use crate::timers::TimerKey;

/// A call that is lost this soon on a reused connection, with nothing read of its reply, met a connection that the worker
/// had given up without closing it.
const STALE_LOSS_WINDOW: Micros = Micros(20_000);
/// A connection that was idle for less was lost for another reason.
const STALE_MIN_IDLE: Micros = Micros(50_000);
/// A learned idle timeout doubles after each such span, up to the configured one.
const LEARNED_TIMEOUT_DOUBLING: Micros = Micros(3_000_000);

/// How long a connection may be idle and still be reused: as configured, or less where lost calls have shown that workers
/// close idle connections sooner. Each such loss may be a call that must not be repeated.
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
    /// The timeout as it stands.
    pub(super) fn current(&self, now: Micros, configured: Micros) -> Micros {
        let Some(learned) = self.learned else { return configured };
        let doublings = ((now - learned.learned_at).0 / LEARNED_TIMEOUT_DOUBLING.0).min(30);
        Micros(learned.timeout.0.saturating_mul(1 << doublings)).min(configured)
    }

    /// A call was lost so soon, on a connection that had been idle for so long.
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
    /// The address as the Host of calls.
    pub(super) host: Arc<str>,
    pub(super) role: p::Role,
    pub(super) zone: Option<p::ZoneId>,
    pub(super) cell: p::CellId,
    /// In the newest endpoint list.
    pub(super) listed: bool,
    /// Takes no new calls: an attempt whose call was not written yet is placed elsewhere.
    pub(super) draining: bool,
    /// Idle connections, the one used last at the end: it is the least likely to be closed by the worker.
    pub(super) idle: Vec<ConnId>,
    /// All connections, idle ones included.
    pub(super) open: usize,
    /// When the head of a reply came last; 0: never.
    pub(super) last_reply_at: Micros,
}

impl WorkerEndpoint {
    /// The worker as the rules on calls see it.
    pub(super) fn target(&self) -> Target {
        let lifecycle = match (self.listed, self.draining) {
            (false, _) => p::Lifecycle::Removed,
            (true, true) => p::Lifecycle::Draining,
            (true, false) => p::Lifecycle::Active,
        };
        Target { role: self.role, zone: self.zone, cell: self.cell, lifecycle }
    }
}

/// Identifies a release, which goes on over several calls. Never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReleaseId(pub(super) u64);

/// What a connection carries.
#[derive(Debug)]
pub(super) enum Task {
    /// Nothing: it may be reused.
    Idle,
    /// An attempt, and its reply so far.
    Attempt(p::RequestId, p::AttemptNo, ReplyState),
    /// A call that releases a reservation.
    Release(ReleaseId),
    /// Nothing any more, but the rest of a reply has to be read before the connection can be reused.
    DrainReply,
    /// The watch of the endpoint list.
    WatchEndpoints(Box<sse::Reader>),
    /// Polls of the endpoint list, one after the other; the present answer so far.
    PollEndpoints(Vec<u8>),
}

/// What is written on a connection.
#[derive(Debug)]
pub(super) enum Payload {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The call of the attempt that the connection carries. It is encoded as it is written, since it names the time left.
    AttemptCall,
}

/// How an idle connection was reused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reuse {
    /// For how long it had been idle.
    pub(super) idle: Micros,
    /// When it was reused.
    pub(super) at: Micros,
}

/// A connection to a worker or to service discovery.
#[derive(Debug)]
pub(super) struct WorkerConnection {
    /// None: service discovery.
    pub(super) worker: Option<p::WorkerId>,
    pub(super) decoder: Decoder,
    pub(super) task: Task,
    /// What is written once the connection stands.
    pub(super) pending_call: Option<Payload>,
    /// Bytes of the present call that the system has taken; 0 means that it was not sent.
    pub(super) written: u64,
    /// Bytes of the present call in all.
    pub(super) call_size: u64,
    /// When it last became idle.
    pub(super) idle_since: Micros,
    /// Its last reuse; none: it carries its first call.
    pub(super) reused: Option<Reuse>,
    /// The worker closes it after the present reply.
    pub(super) close_after_reply: bool,
    pub(super) timer: Option<TimerKey>,
}

impl WorkerConnection {
    /// A connection that is about to be opened.
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

    /// Whether another call may follow: the reply was complete, nothing came after it, and the system has taken the
    /// complete call.
    pub(super) fn is_reusable(&self) -> bool {
        self.decoder.is_idle() && !self.close_after_reply && self.written >= self.call_size
    }
}
