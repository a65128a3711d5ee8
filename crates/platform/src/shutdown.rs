//! Timetable of a planned restart.
//!
//! The platform sends SIGTERM, and SIGKILL once the longest deadline of the settings and a fixed delay have passed.
//! What a client has sent within the fixed delay may be cut off by SIGKILL; what it sends later must have its final answer
//! before.

use chalkyard_policy::Micros;
use chalkyard_router::MigrationWindow;

/// Time after SIGTERM within which a request may arrive and still be unanswered at SIGKILL. SIGKILL follows SIGTERM by
/// this delay and the longest deadline.
const UNANSWERED_ALLOWED: Micros = Micros(700_000);
/// Upper limit on the longest deadline that the platform waits for.
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// Time for which the platform may hold the process up, for example between SIGTERM and its handling.
const MAX_STALL: Micros = Micros(150_000);
/// Time after the lame-duck phase in which requests are still served. Connections that were accepted at its end have sent
/// their first request by then.
const DRAIN_GRACE: Micros = Micros(100_000);
/// Time before SIGKILL at which the last answers are given, for a stall and for the clients to read them.
const ANSWER_MARGIN: Micros = Micros(400_000);
/// Parts into which the time until the last answers is divided if streams may migrate.
const MIGRATION_PARTS: u64 = 11;
/// Number of these parts in which requests are accepted.
const LAME_DUCK_PARTS: u64 = 5;
/// Number of these parts before the first stream migrates.
const BEFORE_MIGRATION_PARTS: u64 = 6;

/// When a router that was told to terminate stops accepting requests, migrates its streams and rejects what is unfinished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShutdownSchedule {
    /// Time after SIGTERM in which connections and requests are accepted.
    pub lame_duck: Micros,
    /// Time after the lame-duck phase in which requests that are completed are still served.
    pub drain_grace: Micros,
    /// Time after the lame-duck phase in which requests that are completed are rejected with an answer of their own; those
    /// that are unfinished by then are rejected as they are.
    pub drain_receive: Micros,
    /// When streams migrate, counted from SIGTERM; `None` if they may not.
    pub migration: Option<MigrationWindow>,
}

impl ShutdownSchedule {
    /// Derives the schedule from the longest deadline of the settings. `may_migrate` tells whether clients request the rest
    /// of a broken stream.
    pub(crate) fn new(longest_deadline: Micros, may_migrate: bool) -> Self {
        let kill_after = UNANSWERED_ALLOWED + longest_deadline.min(MAX_COUNTED_DEADLINE);
        let answered_by = kill_after - ANSWER_MARGIN;
        let shortest_lame_duck = UNANSWERED_ALLOWED - MAX_STALL - DRAIN_GRACE;
        let parts = |count| Micros(answered_by.0 * count / MIGRATION_PARTS);
        let lame_duck =
            if may_migrate { shortest_lame_duck.max(parts(LAME_DUCK_PARTS)) } else { shortest_lame_duck };
        let window = MigrationWindow { from: parts(BEFORE_MIGRATION_PARTS), until: answered_by };
        Self {
            lame_duck,
            drain_grace: DRAIN_GRACE,
            drain_receive: answered_by - lame_duck,
            migration: may_migrate.then_some(window),
        }
    }
}
