//! Readiness notifications to the supervisor: datagrams of `NAME=VALUE` lines to the socket in `NOTIFY_SOCKET`, as
//! `sd_notify(3)` documents it. Without the variable nothing is sent.

use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};

/// Sends a state to the supervisor. A failure is logged and has no other effect.
pub fn send(state: &str) {
    let Some(path) = std::env::var_os("NOTIFY_SOCKET") else { return };
    let text = path.to_string_lossy();
    let address = match text.strip_prefix('@') {
        Some(name) => SocketAddr::from_abstract_name(name),
        None => SocketAddr::from_pathname(&path),
    };
    let sent = address.and_then(|at| UnixDatagram::unbound()?.send_to_addr(state.as_bytes(), &at));
    if let Err(e) = sent {
        tracing::warn!(target: "router", "cannot notify the supervisor of `{}`: {e}", state.trim());
    }
}
