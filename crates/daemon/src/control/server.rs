//! The server side of the control socket: one thread that accepts connections and answers them in sequence.

use std::io::{ErrorKind, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

use chalkyard_router::shell::{AdminQuery, Handle, HandleError};
use chalkyard_state::LifecycleEvent;
use rustix::event::{poll, PollFd, PollFlags};
use serde_json::json;
use tracing::{info, warn};

use super::connection::read_request;
use super::hand_over::send_handover;
use super::socket_file::bind_private;
use super::{Call, IO_TIMEOUT};
use crate::reload::Reloader;
use crate::{logs, CommandError};

/// Delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a router that ends waits for its last answers and settlements to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The running control socket. Dropping it answers all connections that are pending, removes the socket file unless a
/// successor has taken the path over, and waits for the thread to end, at most [`CLOSE_TIMEOUT`].
///
/// The event loop must have ended by then, and the channel of the settlements must be closed.
pub struct Server {
    closing: Arc<AtomicBool>,
    /// The thread's poll returns when this end is closed.
    wake: Option<UnixStream>,
    /// Disconnected when the thread has ended.
    ended: Receiver<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.closing.store(true, Ordering::SeqCst);
        self.wake = None;
        if self.ended.recv_timeout(CLOSE_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            warn!(target: "control", "the router ends with an answer or a settlement unwritten");
        }
    }
}

/// Listens on the control socket. The socket of a dead router is replaced; the socket of a running router is replaced
/// only by its successor.
///
/// # Errors
/// The socket cannot be bound, or another router listens there.
pub fn serve(
    path: &Path,
    handle: Handle,
    reloader: Arc<Reloader>,
    successor: bool,
) -> Result<Server, CommandError> {
    let failed =
        |e: std::io::Error| CommandError::CouldNotRun(format!("control socket {}: {e}", path.display()));
    if !successor && UnixStream::connect(path).is_ok() {
        return Err(CommandError::CouldNotRun(format!(
            "control socket {}: another router answers there",
            path.display()
        )));
    }
    let (wake, woken) = UnixStream::pair().map_err(failed)?;
    let listener = bind_private(path).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let closing = Arc::new(AtomicBool::new(false));
    let (running, ended) = sync_channel::<()>(0);
    let acceptor = Acceptor {
        path: path.into(),
        listener,
        woken,
        closing: closing.clone(),
        handle,
        reloader,
        handed_over: false,
    };
    let accept = move || {
        let _running = running;
        acceptor.run();
    };
    std::thread::Builder::new().name("control".into()).spawn(accept).map_err(failed)?;
    Ok(Server { closing, wake: Some(wake), ended })
}

/// What the thread of the control socket owns.
struct Acceptor {
    path: PathBuf,
    listener: UnixListener,
    /// Closed by the other side when the server closes.
    woken: UnixStream,
    closing: Arc<AtomicBool>,
    handle: Handle,
    reloader: Arc<Reloader>,
    /// A successor has the router's place and binds the path.
    handed_over: bool,
}

impl Acceptor {
    /// Serves connections in sequence, each with a byte and time limit, until the server closes.
    fn run(mut self) {
        while !self.closing.load(Ordering::SeqCst) {
            self.wait();
            self.accept_pending();
        }
        // Nobody can connect any more; what is still pending gets its answer.
        if !self.handed_over {
            let _ = std::fs::remove_file(&self.path);
        }
        self.accept_pending();
    }

    /// Waits for a connection or for the server to close.
    fn wait(&self) {
        let mut sources =
            [PollFd::new(&self.listener, PollFlags::IN), PollFd::new(&self.woken, PollFlags::IN)];
        match poll(&mut sources, None) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => self.pause(&e.into()),
        }
    }

    fn accept_pending(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.serve_connection(&stream) {
                        warn!(target: "control", "{e}");
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return self.pause(&e),
            }
        }
    }

    fn pause(&self, error: &std::io::Error) {
        warn!(target: "control", "{error}");
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }

    fn serve_connection(&mut self, stream: &UnixStream) -> std::io::Result<()> {
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let line = read_request(stream, IO_TIMEOUT, &self.closing)?;
        let answer = match serde_json::from_str(&line) {
            Ok(Call::TakeOver {}) => match self.handle.hand_over(IO_TIMEOUT) {
                Some(handover) => {
                    self.handed_over = true;
                    info!(target: "control", "handing over to a successor");
                    return send_handover(stream, handover);
                }
                None => json!({"error": "this router cannot be taken over: it is not ready"}).to_string(),
            },
            Ok(call) => answer(call, &self.handle, &self.reloader),
            Err(e) => json!({"error": format!("not understood: {e}")}).to_string(),
        };
        let mut stream = stream;
        stream.write_all(answer.as_bytes())?;
        stream.write_all(b"\n")
    }
}

fn answer(call: Call, handle: &Handle, reloader: &Reloader) -> String {
    let or_error = |answer: Result<String, HandleError>| {
        answer.unwrap_or_else(|error| json!({"error": error.to_string()}).to_string())
    };
    let ask = |question| or_error(handle.query(question, IO_TIMEOUT));
    let notify = |event, what: &str| {
        info!(target: "control", "received command {what}");
        or_error(handle.notify_and_report(event, IO_TIMEOUT))
    };
    match call {
        Call::Status {} => ask(AdminQuery::Status),
        Call::Engines {} => ask(AdminQuery::Workers),
        Call::Requests {} => ask(AdminQuery::Requests),
        Call::Trace { id } => ask(AdminQuery::Trace(id)),
        Call::Drain {} => notify(LifecycleEvent::Drain, "drain"),
        Call::Undrain {} => notify(LifecycleEvent::Undrain, "undrain"),
        // The response lists the changes; the event loop applies all of them or none.
        Call::Reload {} => match reloader.preview() {
            Err(why) => json!({"error": format!("not reloaded, all stays as it was: {why}")}).to_string(),
            Ok(changes) => {
                let late = changes.iter().any(|c| !c.in_flight);
                if !late {
                    notify(LifecycleEvent::Reload, "reload");
                }
                json!({"reloaded": !late, "items": changes, "more": 0}).to_string()
            }
        },
        Call::TakeOver {} => json!({"error": "take-over is not available here"}).to_string(),
        Call::Stop {} => notify(LifecycleEvent::Terminate, "stop"),
        Call::LogLevel { level } => match logs::set_level(&level) {
            Ok(()) => json!({"level": level}).to_string(),
            Err(why) => json!({"error": why}).to_string(),
        },
    }
}
