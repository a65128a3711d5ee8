//! An engine, our connections to it, and what each of these carries.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_policy as p;
use chalkyard_policy::obligations::Target;
use chalkyard_policy::Micros;
use chalkyard_proto::Decoder;

use super::job::Reply;
use super::ConnId;
use crate::timers::Key;

/// A call that is lost this soon on a connection that had rested, with nothing heard of it, met a connection that the
/// engine had given up in silence.
const STALE_WITHIN: Micros = Micros(20_000);
/// One that had rested for less was lost for another reason.
const STALE_LEAST: Micros = Micros(50_000);
/// What was learnt of that is doubled so often, until it is as told again.
const STALE_DOUBLES: Micros = Micros(3_000_000);

/// How long a connection may rest and still be used again: as told, or as calls that were lost have taught. The told time
/// is the latest at which engines give a connection up, and each loss may be one that must not be sent again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct IdleTimeout(Option<(Micros, Micros)>);

impl IdleTimeout {
    pub(super) fn most(&self, now: Micros, told: Micros) -> Micros {
        let Some((most, learnt)) = self.0 else { return told };
        let doublings = ((now - learnt).0 / STALE_DOUBLES.0).min(30);
        Micros(most.0.saturating_mul(1 << doublings)).min(told)
    }

    /// A call was lost so soon, on a connection that had rested for so long.
    pub(super) fn lost(&mut self, now: Micros, told: Micros, rested: Micros, after: Micros) {
        if after <= STALE_WITHIN && rested >= STALE_LEAST {
            self.0 = Some((self.most(now, told).min(rested.mul_f64(0.5)), now));
        }
    }
}

/// An engine and our connections to it.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) address: SocketAddr,
    /// The address as the Host of calls.
    pub(super) host: Arc<str>,
    pub(super) role: p::Role,
    pub(super) zone: Option<p::ZoneId>,
    pub(super) cell: p::CellId,
    pub(super) listed: bool,
    /// Wants nothing new: what has not reached it yet is placed again.
    pub(super) leaving: bool,
    /// Last used last: the most recent one is the least likely to be closed by the engine.
    pub(super) idle: Vec<ConnId>,
    pub(super) open: usize,
    /// When it last began an answer.
    pub(super) heard: Micros,
}

impl Engine {
    /// As the rules on calls see it.
    pub(super) fn target(&self) -> Target {
        let lifecycle = match (self.listed, self.leaving) {
            (false, _) => p::Lifecycle::Removed,
            (true, true) => p::Lifecycle::Draining,
            (true, false) => p::Lifecycle::Active,
        };
        Target { role: self.role, zone: self.zone, cell: self.cell, lifecycle }
    }
}

/// One release: never given twice in a core's life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReleaseNo(pub(super) u64);

/// What a connection of ours is doing.
#[derive(Debug)]
pub(super) enum Task {
    /// Nothing; it may be used.
    Idle,
    /// Carries an attempt.
    Attempt(p::RequestId, p::AttemptNo, Reply),
    /// Carries a call to let go of what is held for a request.
    Release(ReleaseNo),
    /// Its attempt is over; the rest of the reply is read so that it can be used again.
    Rest,
    /// Watches the register.
    Watch(Box<chalkyard_proto::sse::Reader>),
    /// Asks for news of the list again and again; the answer so far.
    Poll(Vec<u8>),
}

/// What is written on a connection.
#[derive(Debug)]
pub(super) enum Payload {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The call of the attempt that the connection carries, made as it is written: what it tells of time is true then.
    AttemptCall,
}

/// A connection of ours.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) worker: Option<p::WorkerId>,
    pub(super) decoder: Decoder,
    pub(super) task: Task,
    /// What is to be written once it stands.
    pub(super) waiting: Option<Payload>,
    /// Bytes of the present call that the system has taken; none means that it was not sent.
    pub(super) wrote: u64,
    /// Bytes of the present call in all.
    pub(super) size: u64,
    /// When it last became idle; how long it had been when it was used again, and when that was.
    pub(super) parked: Micros,
    pub(super) rested: Option<(Micros, Micros)>,
    /// The engine closes after the present reply.
    pub(super) last: bool,
    pub(super) timer: Option<Key>,
}

impl Link {
    /// Whether another call may follow: the reply was whole and alone, and all of the call was taken by the system.
    pub(super) fn is_reusable(&self) -> bool {
        self.decoder.is_idle() && !self.last && self.wrote >= self.size
    }
}
