//! The inputs of the lifecycle state machine and the actions that it requests from the router shell.

use crate::stop::StopReason;

/// An event that the router shell reports to the lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A timer expired; see [`crate::Lifecycle::next_due`].
    Tick,
    /// An endpoint list is available, either received or loaded from before the restart.
    EndpointsKnown,
    /// The listening socket is open.
    Listening,
    /// The listening socket can't be opened.
    ListenFailed,
    /// A signal or an operator requests termination. A second one terminates without waiting for open requests.
    Terminate,
    /// An operator requests that the router stop accepting requests.
    Drain,
    /// An operator requests that the router accept requests again.
    Undrain,
    /// A reload of the settings is requested.
    Reload,
    /// The place of the predecessor can't be taken over.
    TakeOverFailed,
    /// A successor is prepared and needs the ledger at rest.
    HandoverSuspended,
    /// The successor may take the place of this router.
    HandoverGranted,
    /// The successor has failed.
    HandoverWithdrawn,
    /// The successor serves.
    ListenerHandedOver,
    /// No request is open, and all output has been written.
    Idle,
    /// The event loop failed and can't continue.
    EventLoopFailed,
}

/// An action for the router shell. The shell performs actions in the order in which they are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Open the listening socket.
    Listen,
    /// Notify the supervisor that the router is ready.
    NotifyReady,
    /// Notify the supervisor of a settings reload; [`LifecycleAction::NotifyReady`] follows once it is done.
    NotifyReloading,
    /// Notify the supervisor that the router is stopping.
    NotifyStopping,
    /// Report the router as not ready, so that clients stop sending, but accept requests that still arrive.
    EnterLameDuck,
    /// Accept no new connections or requests. Open requests continue.
    StopAccepting {
        /// Whether accepting never resumes, so that the listening socket may be closed.
        permanent: bool,
    },
    /// Accept no connections, but keep the listening socket: pending ones wait there. Open connections continue.
    SuspendAccepting,
    /// Accept connections and requests again.
    ResumeAccepting,
    /// Read the settings and apply them.
    ReloadSettings,
    /// Give every open request its final answer now, according to its present state.
    AnswerOpenRequests,
    /// End the process.
    Exit(StopReason),
}
