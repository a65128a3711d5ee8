//! Session affinity: which worker is likely to keep a session's text in its cache.

use crate::ids::{SessionId, WorkerId};
use crate::settings::Settings;
use crate::statistics::GenerationalCache;
use crate::time::Micros;
use crate::worker_state::{WorkerState, WorkerTable};

/// Sessions that are remembered, at most.
const SESSION_CAPACITY: usize = 32_768;

/// What is remembered of a session's last answer.
#[derive(Debug, Clone)]
pub struct CachedSession {
    /// The worker that answered.
    pub worker: WorkerId,
    /// Tokens of the prompt, which that worker had in its cache then.
    pub cached_tokens: u64,
    /// When the answer ended.
    pub recorded_at: Micros,
    /// Prompt tokens that this router had sent the worker by then.
    pub prompt_tokens_sent: u64,
}

impl CachedSession {
    /// Whether the worker is likely to keep it yet: it has not restarted, and less was sent there since than fits its
    /// memory. The other routers are taken to send as this one does.
    fn is_likely_cached(&self, worker: &WorkerState, settings: &Settings) -> bool {
        let sent_since = worker.prompt_tokens_sent - self.prompt_tokens_sent.min(worker.prompt_tokens_sent);
        let sent_by_all = sent_since as f64 * f64::from(settings.routers);
        self.recorded_at > worker.cache_lost_at && sent_by_all < worker.kv_capacity_tokens()
    }
}

/// The sessions that this router answered lately. Bounded; a restart loses it.
#[derive(Debug, Clone, Default)]
pub struct AffinityTable {
    sessions: GenerationalCache<SessionId, CachedSession, SESSION_CAPACITY>,
}

impl AffinityTable {
    /// Remembers where a session was answered.
    pub fn record(&mut self, session: SessionId, cached: CachedSession) {
        self.sessions.insert(session, cached);
    }

    /// The worker that is likely to keep a session's text, and what it keeps.
    pub fn find<'a>(
        &'a self,
        session: Option<&SessionId>,
        workers: &'a WorkerTable,
        settings: &Settings,
    ) -> Option<(&'a WorkerState, &'a CachedSession)> {
        let cached = self.sessions.get(session?)?;
        let worker = workers.get(&cached.worker)?;
        cached.is_likely_cached(worker, settings).then_some((worker, cached))
    }
}
