//! The control socket of a running router, and its client for the operator commands.
//!
//! Each connection carries one request and one response, each a line of JSON. Only the owner of the socket file can connect.

mod client;
mod connection;
mod server;
mod socket_file;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::client::command;
pub use self::server::{check_unused, serve};
pub use self::socket_file::SocketFile;

/// Time limit for the event loop's reply, and for a peer to send its request.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to the control socket.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    Status {},
    Engines {},
    Requests {},
    Trace {
        id: String,
    },
    Drain {},
    Undrain {},
    Reload {},
    Stop {},
    TakeOver {
        /// Version of the hand-over protocol. Builds before the protocol had versions don't send it.
        #[serde(default)]
        version: u32,
    },
    LogLevel {
        level: String,
    },
}
