//! Why a process ended.

use serde::Serialize;

/// Why the process ended. The serialized names are part of the router's output and stay as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// All open requests had ended.
    Drained,
    /// The drain timed out: open requests were answered that the router stops.
    #[serde(rename = "drain_time_up")]
    DrainTimedOut,
    /// Termination was requested twice: open requests were answered that the router stops.
    #[serde(rename = "told")]
    TerminatedTwice,
    /// The router could not listen.
    #[serde(rename = "no_listening")]
    ListenFailed,
    /// The event loop could not go on.
    #[serde(rename = "broken")]
    EventLoopFailed,
}

impl StopReason {
    /// The reason as the log line at the end of the process prints it.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Drained => "Drained",
            Self::DrainTimedOut => "DrainTimeUp",
            Self::TerminatedTwice => "Told",
            Self::ListenFailed => "NoListening",
            Self::EventLoopFailed => "Broken",
        }
    }

    /// The process's exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Drained => 0,
            Self::ListenFailed | Self::EventLoopFailed => 1,
            Self::DrainTimedOut => 4,
            Self::TerminatedTwice => 5,
        }
    }
}
