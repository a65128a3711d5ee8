//! The control socket of a running router, and its client for the operator commands.
//!
//! Each connection carries one request and one response, each a line of JSON. Only the owner of the socket file can connect.

use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_router::shell::{AdminQuery, Handle, Handover};
use chalkyard_state::LifecycleEvent;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tracing::{info, warn};

use crate::reload::Reloader;
use crate::{logs, CommandError, Format};

/// Longest request that the router reads, in bytes.
const MAX_REQUEST_BYTES: u64 = 64 * 1024;
/// Longest response that a command reads, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
/// Time limit for the event loop's reply, and for a peer to send its request.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request to the control socket.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    Status {},
    Engines {},
    Requests {},
    Trace { id: String },
    Drain {},
    Undrain {},
    Reload {},
    Stop {},
    TakeOver {},
    LogLevel { level: String },
}

/// The running control socket. Removes the socket file on drop, unless a successor has taken the path over.
pub struct Server {
    path: PathBuf,
    /// A successor has bound the path.
    handed_over: Arc<AtomicBool>,
    /// Signals that all settlements were sent to the successor.
    done: Receiver<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        if self.handed_over.load(Ordering::SeqCst) {
            let _ = self.done.recv_timeout(IO_TIMEOUT);
        } else {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Binds the control socket without a moment in which other users could connect: the socket is created in a directory
/// that only its owner can enter, and then renamed to its path.
fn bind_private(path: &Path) -> std::io::Result<UnixListener> {
    let folder = path.with_extension(format!("new-{}", std::process::id()));
    std::fs::create_dir(&folder)?;
    let bound = (|| {
        std::fs::set_permissions(&folder, PermissionsExt::from_mode(0o700))?;
        let inner = folder.join("s");
        let listener = UnixListener::bind(&inner)?;
        std::fs::set_permissions(&inner, PermissionsExt::from_mode(0o600))?;
        std::fs::rename(&inner, path)?;
        Ok(listener)
    })();
    let _ = std::fs::remove_dir(&folder);
    bound
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
    let listener = bind_private(path).map_err(failed)?;
    let handed_over = Arc::new(AtomicBool::new(false));
    let (notify_done, done) = sync_channel(1);
    let flag = handed_over.clone();
    let listen = move || accept_loop(&listener, &handle, &reloader, &flag, &notify_done);
    std::thread::Builder::new().name("control".into()).spawn(listen).map_err(failed)?;
    Ok(Server { path: path.into(), handed_over, done })
}

/// Serves connections in sequence, each with a byte and time limit, until a successor has taken over.
fn accept_loop(
    listener: &UnixListener,
    handle: &Handle,
    reloader: &Reloader,
    handed_over: &AtomicBool,
    notify_done: &SyncSender<()>,
) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => {
                if let Err(e) = serve_connection(&stream, handle, reloader, handed_over) {
                    warn!(target: "control", "{e}");
                }
                if handed_over.load(Ordering::SeqCst) {
                    let _ = notify_done.try_send(());
                    return;
                }
            }
            Err(e) => {
                warn!(target: "control", "{e}");
                std::thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

fn serve_connection(
    stream: &UnixStream,
    handle: &Handle,
    reloader: &Reloader,
    handed_over: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut line = String::new();
    let reader = DeadlineReader { stream, until: Instant::now() + IO_TIMEOUT };
    BufReader::new(reader.take(MAX_REQUEST_BYTES)).read_line(&mut line)?;
    let answer = match serde_json::from_str(&line) {
        Ok(Call::TakeOver {}) => match handle.hand_over(IO_TIMEOUT) {
            Some(handover) => {
                handed_over.store(true, Ordering::SeqCst);
                info!(target: "control", "handing over to a successor");
                return send_handover(stream, handover);
            }
            None => json!({"error": "this router cannot be taken over: it is not ready"}).to_string(),
        },
        Ok(call) => answer(call, handle, reloader),
        Err(e) => json!({"error": format!("not understood: {e}")}).to_string(),
    };
    let mut stream = stream;
    stream.write_all(answer.as_bytes())?;
    stream.write_all(b"\n")
}

/// Reads until a deadline, so that a peer that sends single bytes gets no more time than a silent one.
struct DeadlineReader<'a> {
    stream: &'a UnixStream,
    until: Instant,
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut stream = self.stream;
        stream.read(buffer)
    }
}

/// Sends the listening socket with one line, then a line for each settlement until this process ends.
fn send_handover(mut stream: &UnixStream, handover: Handover) -> std::io::Result<()> {
    let line = json!({"ledger": handover.settled.is_some()}).to_string() + "\n";
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds = [handover.listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(std::io::Error::other("control message buffer is too small for the listening socket"));
    }
    let sent = sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::empty())?;
    if sent != line.len() {
        return Err(std::io::Error::other("short write of the handover line"));
    }
    drop(handover.listener);
    for settled in handover.settled.into_iter().flatten() {
        stream.write_all((serde_json::to_string(&settled).unwrap_or_default() + "\n").as_bytes())?;
    }
    Ok(())
}

/// What a successor received.
pub struct TakenOver {
    /// The listening socket.
    pub listener: OwnedFd,
    /// Settlements of the previous process; none if it has no ledger.
    pub before: Option<BufReader<UnixStream>>,
}

/// Takes over from the router that listens on a control socket.
pub fn take_over(socket: &Path) -> Result<TakenOver, CommandError> {
    let io_error =
        |e: std::io::Error| CommandError::CouldNotRun(format!("taking over at {}: {e}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT * 3)).map_err(io_error)?;
    stream.write_all(b"{\"command\":\"take-over\"}\n").map_err(io_error)?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffer = [0; 4_096];
    let got = recvmsg(&stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC);
    let got = got.map_err(|e| io_error(e.into()))?;
    let mut listener = None;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            listener = fds.into_iter().next().or(listener);
        }
    }
    let line = String::from_utf8_lossy(buffer.get(..got.bytes).unwrap_or_default()).into_owned();
    // Settlements could have arrived in the same read.
    let (first, rest) = line.split_once('\n').unwrap_or((&line, ""));
    let offer: Value = serde_json::from_str(first).map_err(|e| io_error(e.into()))?;
    let Some(listener) = listener else {
        let why = offer.get("error").and_then(Value::as_str).unwrap_or("no listening socket received");
        return Err(CommandError::CouldNotRun(format!("taking over at {}: {why}", socket.display())));
    };
    if !rest.is_empty() {
        return Err(CommandError::CouldNotRun(format!(
            "taking over at {}: unexpected data after the first line",
            socket.display()
        )));
    }
    stream.set_read_timeout(None).map_err(io_error)?;
    let before = (offer.get("ledger") == Some(&Value::Bool(true))).then(|| BufReader::new(stream));
    Ok(TakenOver { listener, before })
}

fn answer(call: Call, handle: &Handle, reloader: &Reloader) -> String {
    let late = || json!({"error": "the router's event loop did not reply in time"}).to_string();
    let ask = |question| handle.query(question, IO_TIMEOUT).unwrap_or_else(late);
    let notify = |event, what: &str| {
        info!(target: "control", "received command {what}");
        match handle.notify(event) {
            // The status after the event.
            true => ask(AdminQuery::Status),
            false => late(),
        }
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

/// Sends a request to a running router and returns its response.
pub fn ask(socket: &Path, call: &Call) -> Result<Value, CommandError> {
    let io_error =
        |e: std::io::Error| CommandError::CouldNotRun(format!("control socket {}: {e}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT * 3)).map_err(io_error)?;
    let line = serde_json::to_string(call).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(io_error)?;
    let mut answer = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut answer).map_err(io_error)?;
    serde_json::from_str(&answer).map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", socket.display())))
}

/// Runs an operator command against a running router; with `watch`, repeats it at that interval in seconds until the
/// router is gone.
pub fn command(
    socket: &Path,
    call: &Call,
    format: Format,
    watch: Option<u64>,
) -> Result<ExitCode, CommandError> {
    loop {
        let answer = ask(socket, call)?;
        if let Some(why) = answer.get("error").and_then(Value::as_str) {
            return Err(CommandError::CouldNotRun(why.into()));
        }
        match format {
            Format::Json => println!("{answer}"),
            Format::Text => print!("{}", text(&answer)),
        }
        if answer.get("reloaded") == Some(&Value::Bool(false)) {
            return Err(CommandError::BadInput(
                "not reloaded: some of this needs a successor (run --take-over)".into(),
            ));
        }
        let Some(seconds) = watch else { return Ok(ExitCode::SUCCESS) };
        std::thread::sleep(Duration::from_secs(seconds));
        println!();
    }
}

/// Formats a response for people: one line per member, or one line per row of a list.
fn text(answer: &Value) -> String {
    let word = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    let row = |v: &Value| match v.as_object() {
        Some(object) => object.iter().map(|(k, v)| format!("{k} {}", word(v))).collect::<Vec<_>>().join(", "),
        None => word(v),
    };
    match (answer.get("items").and_then(Value::as_array), answer.as_object()) {
        (Some(items), _) => {
            let mut out: String = items.iter().map(|i| row(i) + "\n").collect();
            let more = answer.get("more").and_then(Value::as_u64).unwrap_or(0);
            if more > 0 {
                out.push_str(&format!("and {more} more\n"));
            } else if items.is_empty() {
                out.push_str("none\n");
            }
            out
        }
        (None, Some(object)) => object.iter().map(|(k, v)| format!("{k}: {}\n", word(v))).collect(),
        (None, None) => format!("{answer}\n"),
    }
}
