//! The log: JSON lines on standard error. Level by `CHALKYARD_LOG` (default `info`).

use std::path::PathBuf;
use std::sync::OnceLock;

use chalkyard_router::{Counters, RequestRecord, Tally, Transition};
use tracing::{info, warn};
use tracing_subscriber::EnvFilter;

/// Environment variable with the log level or filter.
pub const LEVEL_VARIABLE: &str = "CHALKYARD_LOG";

/// Replaces the log filter of the running process.
type SetLevel = Box<dyn Fn(EnvFilter) -> Result<(), String> + Send + Sync>;
static LEVEL: OnceLock<SetLevel> = OnceLock::new();

/// Starts logging, at `level` unless the environment sets another one.
pub fn start(level: &str) {
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let lines = tracing_subscriber::fmt().json().flatten_event(true).with_current_span(false);
    let lines = lines.with_writer(std::io::stderr).with_env_filter(filter).with_filter_reloading();
    let handle = lines.reload_handle();
    let _ = LEVEL.set(Box::new(move |filter| handle.reload(filter).map_err(|e| e.to_string())));
    let _ = lines.try_init();
}

/// Changes the log level: `off`, `error`, `warn`, `info`, `debug`, `trace`, or a filter by target such
/// as `info,request=off`.
pub fn set_level(level: &str) -> Result<(), String> {
    let filter = EnvFilter::builder().parse(level).map_err(|e| format!("no level or filter: {e}"))?;
    LEVEL.get().map_or_else(|| Err("logging is not started in this process".into()), |set| set(filter))
}

/// Writes log lines, and caches the endpoint list in a file.
pub struct Log {
    /// File of the cached endpoint list.
    pub endpoint_list_file: Option<PathBuf>,
}

impl Log {
    pub fn finished(&self, r: &RequestRecord) {
        if !tracing::enabled!(target: "request", tracing::Level::INFO) {
            return;
        }
        let attempts = serde_json::to_string(&r.attempts).unwrap_or_default();
        let ended = serde_json::to_string(&r.ended).unwrap_or_default();
        let why = r.rejection_reason.and_then(|w| serde_json::to_string(&w).ok());
        info!(
            target: "request",
            id = r.id,
            class = r.class,
            came_back = r.came_back,
            tenant = r.tenant,
            identity = r.identity,
            session = r.session,
            prefix = r.prefix,
            ended = ended.trim_matches('"'),
            why = why.as_deref().map(|w| w.trim_matches('"')),
            phase = r.phase,
            list_age_us = r.list_age_us,
            open = r.open as u64,
            reason = r.reason,
            attempts,
            arrived_us = r.arrived_us,
            first_token_us = r.first_token_us,
            total_us = r.total_us,
            estimated_tokens = r.estimated_tokens,
            prompt_tokens = r.prompt_tokens,
            kept_tokens = r.kept_tokens,
            output_tokens = r.output_tokens,
            "finished"
        );
    }

    /// Logs an unusual state change of a request.
    pub fn transition(&self, t: &Transition) {
        if !tracing::enabled!(target: "transition", tracing::Level::INFO) {
            return;
        }
        let change = serde_json::to_string(&t.change).unwrap_or_default();
        info!(
            target: "transition",
            id = t.id,
            change = change.trim_matches('"'),
            cause = t.cause,
            attempt = t.attempt,
            worker = t.worker,
            connection = t.connection,
            rested_us = t.rested_us,
            unheard_us = t.last_reply_us,
            age_us = t.age_us,
            "changed"
        );
    }

    /// Logs the counters since the start, by cause.
    pub fn counters(&self, counters: &Counters) {
        if tracing::enabled!(target: "counters", tracing::Level::INFO) {
            let violations = counters.violation_count();
            let counters = serde_json::to_string(counters).unwrap_or_default();
            info!(target: "counters", violations, counters, "since the start");
        }
    }

    /// Logs the tally of one second; `losses` adds up these lines.
    pub fn tally(&self, t: &Tally) {
        if tracing::enabled!(target: "tally", tracing::Level::INFO) {
            info!(target: "tally", tally = serde_json::to_string(t).unwrap_or_default(), "second");
        }
    }

    pub fn note(&self, what: &str, text: &str) {
        warn!(target: "router", what, "{text}");
    }

    /// Stores the list by writing a new file and renaming it, so that a crash leaves the old list or the new one.
    pub fn store_endpoint_list(&self, text: &str) {
        let Some(file) = &self.endpoint_list_file else { return };
        let fresh = file.with_extension("new");
        if let Err(e) = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, file)) {
            warn!(target: "router", what = "list", "cannot store the endpoint list in {}: {e}", file.display());
        }
    }
}

#[cfg(test)]
#[path = "logs_test.rs"]
mod tests;
