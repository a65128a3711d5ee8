//! The size that the program has to bear, and its parts.

/// A fleet of this size, or of a part of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Of the whole.
    pub fraction: f64,
    /// Routers.
    pub routers: usize,
    /// Workers.
    pub workers: usize,
    /// Tenants.
    pub tenants: usize,
    /// Changes of configuration a second.
    pub changes_per_s: f64,
}

/// Routers of the whole.
pub const ROUTERS: f64 = 340.0;
/// Workers of the whole.
pub const WORKERS: f64 = 880.0;
/// Tenants of the whole.
pub const TENANTS: f64 = 39_000.0;
/// Changes of configuration of the whole in a day.
pub const CHANGES_A_DAY: f64 = 3_200.0;
/// Requests a second that a router gets, at any part of the size: 8,600 over 340.
pub const REQUESTS_PER_S: f64 = 8_600.0 / ROUTERS;
/// Tokens of an answer: 3.5 million a second over 8,600 requests.
pub const ANSWER_TOKENS: u64 = 407;
/// Between two tokens of an answer, µs.
pub const TOKEN_US: u64 = 41_000;
/// Workers that read prompts, of all.
pub const READERS: f64 = 0.39;

/// What a router may spend for control.
pub mod budget {
    /// Bytes a second.
    pub const BYTES_PER_S: f64 = 7_000.0;
    /// Of a core.
    pub const CORE: f64 = 0.043;
    /// Bytes of memory.
    pub const MEMORY: f64 = 64e6;
    /// Until a change is in force everywhere, seconds.
    pub const IN_FORCE_S: f64 = 12.0;
}

const SECONDS_A_DAY: f64 = 86_400.0;

impl Size {
    /// A part of the whole; at least one router, two workers and a tenant.
    pub fn at(fraction: f64) -> Self {
        let part = |whole: f64, least: usize| ((whole * fraction).round() as usize).max(least);
        Self {
            fraction,
            routers: part(ROUTERS, 1),
            workers: part(WORKERS, 2),
            tenants: part(TENANTS, 1),
            changes_per_s: CHANGES_A_DAY * fraction / SECONDS_A_DAY,
        }
    }

    /// Workers that read prompts; the rest write answers.
    pub fn readers(&self) -> usize {
        ((self.workers as f64 * READERS).round() as usize).clamp(1, self.workers - 1)
    }
}
