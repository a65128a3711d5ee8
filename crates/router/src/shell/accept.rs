//! Connections are accepted from the listening socket.

use std::io;
use std::time::{Duration, Instant};

use super::connection::ConnectionState;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Connections accepted at once before others have their turn.
pub(super) const ACCEPTS_A_TURN: usize = 64;
/// Without free file descriptors, no connection is accepted for this span.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The most other failures in one turn. One that lasts pauses as well, so that the loop does not spin.
const ACCEPT_FAILURES: u32 = 16;
/// EMFILE and ENFILE of accept(2): the process, or the system, has no descriptor left.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}

impl<S: Sink> Shell<S> {
    /// Accepts connections that wait; true: there may be more.
    pub(super) fn accept(&mut self) -> bool {
        self.accept_at = None;
        let mut failures = 0;
        for _ in 0..ACCEPTS_A_TURN {
            if !self.drop_finished_lingering(self.max_lingering) {
                self.accept_at = Some(Instant::now() + ACCEPT_PAUSE);
                return false;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = ConnId(self.next_client);
                    self.next_client += 2;
                    if self.add(id, stream, ConnectionState::Open).is_ok() {
                        self.feed(Input::Accepted(id));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // A failure of one connection alone, or gone at the next call: others wait behind it, and their time runs.
                Err(e) if !is_out_of_descriptors(&e) && failures < ACCEPT_FAILURES => failures += 1,
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
