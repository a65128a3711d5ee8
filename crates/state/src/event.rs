//! What the shell reports to the lifecycle, and what the lifecycle has it do.

use crate::stop::StopReason;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Time has passed.
    Tick,
    /// An endpoint list is known, possibly one from before the restart.
    EndpointsKnown,
    /// The router listens.
    Listening,
    /// The router can't listen.
    ListenFailed,
    /// A signal or an operator asks the process to end. A second request ends it without waiting for open requests.
    Terminate,
    /// An operator asks the router to accept no new requests.
    Drain,
    /// An operator asks the router to accept requests again.
    Undrain,
    /// The settings are to be read again.
    Reload,
    /// Another process has taken over the listening socket.
    ListenerHandedOver,
    /// No request is open, and all output is written.
    Idle,
    /// The event loop can't go on.
    EventLoopFailed,
}

/// What the shell has to do, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Start to listen.
    Listen,
    /// Notify the supervisor that the router is ready.
    NotifyReady,
    /// Notify the supervisor that the settings are read again; [`LifecycleAction::NotifyReady`] follows.
    NotifyReloading,
    /// Notify the supervisor that the router stops.
    NotifyStopping,
    /// Report the router as not ready, so that others stop sending, but accept what still arrives.
    EnterLameDuck,
    /// Accept no new connections and requests. Open requests go on.
    StopAccepting {
        /// It will not be undone: the listening socket may be closed.
        permanent: bool,
    },
    /// Accept connections and requests again.
    ResumeAccepting,
    /// Read the settings and apply them.
    ReloadSettings,
    /// Give every open request its final answer now, according to what is known of it.
    AnswerOpenRequests,
    /// End the process.
    Exit(StopReason),
}
