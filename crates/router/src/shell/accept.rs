//! Accepting connections from the listening socket.

use std::io;
use std::time::{Duration, Instant};

use super::connection::ConnectionState;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Maximum number of connections accepted before other sockets are handled.
pub(super) const MAX_CONSECUTIVE_ACCEPTS: usize = 64;
/// How long no connection is accepted after accepting failed, for example for want of a file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of other failures in one loop iteration. Beyond it, accepting pauses, so that a persistent failure does
/// not make the loop spin.
const MAX_ACCEPT_FAILURES: u32 = 16;
/// `EMFILE` and `ENFILE` of accept(2): the process or the system has no file descriptor left.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}

impl<S: Sink> Shell<S> {
    /// Accepts pending connections. Returns whether more may be pending.
    pub(super) fn accept(&mut self) -> bool {
        self.accept_at = None;
        let mut failures = 0;
        for _ in 0..MAX_CONSECUTIVE_ACCEPTS {
            if !self.drop_finished_lingering(self.max_lingering) {
                self.accept_at = Some(Instant::now() + ACCEPT_PAUSE);
                return false;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = ConnId(self.next_client);
                    self.next_client += 2;
                    if self.add_connection(id, stream, ConnectionState::Open).is_ok() {
                        self.handle_input(Input::Accepted(id));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // The failure concerns one connection, or may be transient. Others are pending, and their timeouts run.
                Err(e) if !is_out_of_descriptors(&e) && failures < MAX_ACCEPT_FAILURES => failures += 1,
                Err(e) => {
                    self.sink.note("accept", &format!("no connection can be taken for now: {e}"));
                    self.accept_at = Some(Instant::now() + ACCEPT_PAUSE);
                    return false;
                }
            }
        }
        self.accept_at = Some(Instant::now());
        true
    }
}
