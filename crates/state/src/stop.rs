//! The reasons why a router process stops, with their log names and exit codes.

use serde::Serialize;

/// The reason why the process stopped. The serialized names are part of the router's output and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// All open requests ended before the process stopped.
    Drained,
    /// The drain timed out; the requests still open were answered with a notice that the router is stopping.
    #[serde(rename = "drain_time_up")]
    DrainTimedOut,
    /// Termination was requested twice; open requests were answered with a notice that the router is stopping.
    #[serde(rename = "told")]
    TerminatedTwice,
    /// The listening socket could not be opened.
    #[serde(rename = "no_listening")]
    ListenFailed,
    /// The place of the predecessor could not be taken over.
    TakeOverFailed,
    /// The event loop failed.
    #[serde(rename = "broken")]
    EventLoopFailed,
}

impl StopReason {
    /// The name of the reason in the last log line of the process.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Drained => "Drained",
            Self::DrainTimedOut => "DrainTimeUp",
            Self::TerminatedTwice => "Told",
            Self::ListenFailed => "NoListening",
            Self::TakeOverFailed => "TakeOverFailed",
            Self::EventLoopFailed => "Broken",
        }
    }

    /// The process's exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Drained => 0,
            Self::ListenFailed | Self::TakeOverFailed | Self::EventLoopFailed => 1,
            Self::DrainTimedOut => 4,
            Self::TerminatedTwice => 5,
        }
    }
}
