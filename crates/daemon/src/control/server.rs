//! The server side of the control socket: one thread that accepts connections and answers them in sequence.

use std::io::{self, ErrorKind, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use chalkyard_router::shell::{AdminQuery, Handle, HandleError};
use chalkyard_state::handover::HANDOVER_VERSION;
use chalkyard_state::LifecycleEvent;
use rustix::event::{poll, PollFd, PollFlags};
use serde_json::json;
use tracing::{info, warn};

use super::connection::read_request;
use super::{Call, SocketFile, IO_TIMEOUT};
use crate::handover::PredecessorSession;
use crate::reload::Reloader;
use crate::{logs, CommandError};

/// Delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a router that ends waits for its last answers and settlements to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The running control socket. Dropping it answers all connections that are pending, removes the socket file unless a
/// successor has its path, and waits for the threads to end, at most [`CLOSE_TIMEOUT`].
///
/// The event loop must have ended by then, and the channel of the settlements must be closed.
pub struct ControlServer {
    closing: Arc<AtomicBool>,
    /// The thread's poll returns when this end is closed.
    wake: Option<UnixStream>,
    /// Disconnected when the thread has ended.
    ended: Receiver<()>,
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.closing.store(true, Ordering::SeqCst);
        self.wake = None;
        if self.ended.recv_timeout(CLOSE_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            warn!(target: "control", "the router ends with an answer or a settlement unwritten");
        }
    }
}

/// Checks that no router listens at a path. The socket of a dead router may be replaced.
///
/// # Errors
/// A router listens there.
pub fn check_unused(path: &Path) -> Result<(), CommandError> {
    match UnixStream::connect(path) {
        Ok(_) => Err(CommandError::CouldNotRun(format!(
            "control socket {}: another router answers there",
            path.display()
        ))),
        Err(_) => Ok(()),
    }
}

/// Serves the control socket on a thread.
///
/// # Errors
/// The thread can't be started.
pub fn serve(
    socket_file: Arc<SocketFile>,
    listener: UnixListener,
    handle: Handle,
    reloader: Arc<Reloader>,
) -> io::Result<ControlServer> {
    let (wake, woken) = UnixStream::pair()?;
    listener.set_nonblocking(true)?;
    let closing = Arc::new(AtomicBool::new(false));
    let (running, ended) = sync_channel::<()>(0);
    let acceptor =
        Acceptor { socket_file, listener, woken, closing: closing.clone(), handle, reloader, session: None };
    let accept = move || {
        let _running = running;
        acceptor.run();
    };
    std::thread::Builder::new().name("control".into()).spawn(accept)?;
    Ok(ControlServer { closing, wake: Some(wake), ended })
}

/// What the thread of the control socket owns.
struct Acceptor {
    socket_file: Arc<SocketFile>,
    listener: UnixListener,
    /// Closed by the other side when the server closes.
    woken: UnixStream,
    closing: Arc<AtomicBool>,
    handle: Handle,
    reloader: Arc<Reloader>,
    /// The thread that talks to a successor; at most one at a time.
    session: Option<JoinHandle<()>>,
}

impl Acceptor {
    /// Serves connections in sequence, each with a byte and time limit, until the server closes.
    fn run(mut self) {
        while !self.closing.load(Ordering::SeqCst) {
            self.wait();
            self.accept_pending();
        }
        if let Some(session) = self.session.take() {
            let _ = session.join();
        }
        // Nobody can connect any more; what is still pending gets its answer.
        self.socket_file.remove();
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

    fn pause(&self, error: &io::Error) {
        warn!(target: "control", "{error}");
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }

    fn serve_connection(&mut self, stream: &UnixStream) -> io::Result<()> {
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let line = read_request(stream, IO_TIMEOUT, &self.closing)?;
        let answer = match serde_json::from_str(&line) {
            Ok(Call::TakeOver { version }) => match self.start_session(stream, version) {
                Ok(()) => return Ok(()),
                Err(error) => error_answer(&error),
            },
            Ok(call) => answer(call, &self.handle, &self.reloader),
            Err(e) => error_answer(&format!("not understood: {e}")),
        };
        let mut stream = stream;
        stream.write_all(answer.as_bytes())?;
        stream.write_all(b"\n")
    }

    /// Offers the router's place to a successor, on a thread of its own.
    fn start_session(&mut self, stream: &UnixStream, version: u32) -> Result<(), NotOffered> {
        if version != HANDOVER_VERSION {
            return Err(NotOffered::OtherVersion { version });
        }
        if self.session.as_ref().is_some_and(|session| !session.is_finished()) {
            return Err(NotOffered::InProgress);
        }
        let offer = self.handle.offer_handover(IO_TIMEOUT).map_err(|_| NotOffered::NotReady)?;
        let (handle, socket_file) = (self.handle.clone(), self.socket_file.clone());
        let session = PredecessorSession::offer(stream, &offer, handle, socket_file, self.closing.clone())?;
        let run = move || session.run();
        self.session = Some(std::thread::Builder::new().name("hand-over".into()).spawn(run)?);
        Ok(())
    }
}

/// Why a router does not offer its place to a successor.
#[derive(Debug, thiserror::Error)]
enum NotOffered {
    #[error("this router cannot be taken over: it is not ready")]
    NotReady,
    #[error("this router cannot be taken over: another successor is about to")]
    InProgress,
    #[error(
        "this router cannot be taken over: it speaks version {HANDOVER_VERSION} of the hand-over, and the successor \
         version {version}"
    )]
    OtherVersion { version: u32 },
    #[error("this router cannot be taken over: {0}")]
    Io(#[from] io::Error),
}

fn error_answer(error: &impl ToString) -> String {
    json!({"error": error.to_string()}).to_string()
}

fn answer(call: Call, handle: &Handle, reloader: &Reloader) -> String {
    let or_error = |answer: Result<String, HandleError>| answer.unwrap_or_else(|error| error_answer(&error));
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
        Call::TakeOver { .. } => json!({"error": "take-over is not available here"}).to_string(),
        Call::Stop {} => notify(LifecycleEvent::Terminate, "stop"),
        Call::LogLevel { level } => match logs::set_level(&level) {
            Ok(()) => json!({"level": level}).to_string(),
            Err(why) => json!({"error": why}).to_string(),
        },
    }
}
