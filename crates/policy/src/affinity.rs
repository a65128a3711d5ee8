//! Session affinity: the worker that probably has a session's text in its cache.

use crate::ids::{SessionId, WorkerId};
use crate::settings::Settings;
use crate::statistics::GenerationalCache;
use crate::time::Micros;
use crate::worker_state::{WorkerState, WorkerTable};

/// Maximum number of remembered sessions.
const SESSION_CAPACITY: usize = 32_768;

/// Record of a session's last answer.
#[derive(Debug, Clone)]
pub struct CachedSession {
    /// Worker that answered.
    pub worker: WorkerId,
    /// Prompt tokens in the worker's cache at the time of the answer.
    pub cached_tokens: u64,
    /// Time at which the answer ended.
    pub recorded_at: Micros,
    /// Value of [`WorkerState::prompt_tokens_sent`] at the time of the answer.
    pub prompt_tokens_sent: u64,
}

impl CachedSession {
    /// Returns true if the worker probably still has the session in its cache: the worker has not restarted,
    /// and the tokens sent to it since then fit in its memory. The estimate assumes that all routers send as
    /// many tokens as this router.
    fn is_likely_cached(&self, worker: &WorkerState, settings: &Settings) -> bool {
        let sent_since = worker.prompt_tokens_sent - self.prompt_tokens_sent.min(worker.prompt_tokens_sent);
        let sent_by_all = sent_since as f64 * f64::from(settings.routers);
        self.recorded_at > worker.cache_lost_at && sent_by_all < worker.kv_capacity_tokens()
    }
}

/// Sessions that this router answered recently. The table is bounded and is lost on restart.
#[derive(Debug, Clone, Default)]
pub struct AffinityTable {
    sessions: GenerationalCache<SessionId, CachedSession, SESSION_CAPACITY>,
}

impl AffinityTable {
    /// Records the worker that answered a session.
    pub fn record(&mut self, session: SessionId, cached: CachedSession) {
        self.sessions.insert(session, cached);
    }

    /// Returns the worker that probably has the session in its cache, with the session's record.
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
