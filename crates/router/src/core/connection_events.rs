//! What happens on connections to engines and the register: bytes, their end, their loss.

use chalkyard_policy::{Outcome, WorkerId};

use super::worker_connection::Task;
use super::{ConnId, Core, Output};

impl Core {
    pub(super) fn link_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        match &mut link.task {
            // Nobody asked: a second reply. What came first may be trusted, the connection may not.
            Task::Idle => {
                self.note("engine", "bytes that nobody asked for; connection closed".into());
                self.abort_link(conn);
            }
            // The same where a call was about to follow: what came before a byte of it was written is no answer to it.
            _ if link.wrote == 0 => {
                self.note("engine", "bytes ahead of any call; connection closed".into());
                self.out.push(Output::Abort(conn));
                self.link_lost(conn);
            }
            _ => {
                link.decoder.push(bytes);
                self.drive_link(conn);
            }
        }
    }

    pub(super) fn link_eof(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        if matches!(link.task, Task::Idle) {
            return self.abort_link(conn);
        }
        link.decoder.close();
        self.drive_link(conn);
        // If it still has a task, its answer will not come any more.
        if self.links.contains_key(&conn) {
            self.out.push(Output::Abort(conn));
            self.link_lost(conn);
        }
    }

    /// A reply that can't be read further: cut short, or malformed.
    pub(super) fn reply_wrong(&mut self, conn: ConnId, cut: bool) {
        if cut {
            self.out.push(Output::Abort(conn));
            return self.link_lost(conn);
        }
        let Some(link) = self.forget_link(conn) else { return };
        self.out.push(Output::Abort(conn));
        match link.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::ServerError, 0),
            other => self.task_lost(other, link.worker),
        }
    }

    /// A connection is gone. What it carried may have run if a byte of it was taken to be sent; in a dialect, whose
    /// engines begin with the last byte, if that was. Its idle siblings are as old: a dead engine's pool would eat
    /// an attempt each.
    pub(super) fn link_lost(&mut self, conn: ConnId) {
        let Some(link) = self.forget_link(conn) else { return };
        self.learn_idle_timeout(&link);
        if let Some(worker) = &link.worker {
            self.close_idle(worker);
        }
        let needed = if self.config.dialect.is_some() { link.size } else { 1 };
        let sent = link.waiting.is_none() && link.wrote >= needed;
        match link.task {
            // One kept from an earlier call that had ended before a byte of this one was written: the engine may close
            // what rests, and it tells nothing of whether anybody listens there. The attempt has not begun yet.
            Task::Attempt(id, no, _) if link.rested.is_some() && link.wrote == 0 => self.dial(&id, no),
            Task::Attempt(id, no, _) => {
                let outcome = if sent { Outcome::ConnectionLost } else { Outcome::NoConnection };
                self.end_attempt(&id, no, outcome, 0);
            }
            other => self.task_lost(other, link.worker),
        }
    }

    /// No connection could be begun for want of descriptors or ports of our own.
    pub(super) fn unconnected(&mut self, conn: ConnId) {
        let Some(link) = self.forget_link(conn) else { return };
        match link.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::NotSent, 0),
            other => self.task_lost(other, link.worker),
        }
    }

    pub(super) fn task_lost(&mut self, task: Task, worker: Option<WorkerId>) {
        match (task, worker) {
            (Task::Release(no), _) => self.release_failed(no),
            (Task::Watch(_) | Task::Poll(_), _) => self.register_lost(),
            _ => {}
        }
    }
}
