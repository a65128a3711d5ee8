//! The control socket of a running router, and the commands that speak to it.
//!
//! One line of JSON in, one line of JSON out, and the connection ends. The socket can be used by its owner alone.

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

/// Longest question.
const LINE_BYTES: u64 = 64 * 1024;
/// Longest answer that a command reads.
const ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// How long the loop may take to answer, and a peer to ask.
const WAIT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What can be asked.
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

/// Removes the socket's file when the process ends by its own will.
pub struct Server {
    path: PathBuf,
    /// A successor has the path now.
    handed: Arc<AtomicBool>,
    /// Tells when all was said to the successor.
    said: Receiver<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        if self.handed.load(Ordering::SeqCst) {
            let _ = self.said.recv_timeout(WAIT);
        } else {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Binds the control socket so that it is never open to others, not for a moment: it is made in a folder that only its
/// owner can enter, then moved to its path.
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

/// Listens on the control socket. The socket of a dead router is replaced; that of a running one only by its
/// successor.
///
/// # Errors
/// The socket can't be bound, or another router answers there.
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
    let handed = Arc::new(AtomicBool::new(false));
    let (say, said) = sync_channel(1);
    let flag = handed.clone();
    let listen = move || answer_all(&listener, &handle, &reloader, &flag, &say);
    std::thread::Builder::new().name("control".into()).spawn(listen).map_err(failed)?;
    Ok(Server { path: path.into(), handed, said })
}

/// Answers one connection after the other, each bounded in bytes and time, until a successor has taken over.
fn answer_all(
    listener: &UnixListener,
    handle: &Handle,
    reloader: &Reloader,
    handed: &AtomicBool,
    say: &SyncSender<()>,
) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => {
                if let Err(e) = talk(&stream, handle, reloader, handed) {
                    warn!(target: "control", "{e}");
                }
                if handed.load(Ordering::SeqCst) {
                    let _ = say.try_send(());
                    return;
                }
            }
            Err(e) => {
                warn!(target: "control", "{e}");
                std::thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn talk(
    stream: &UnixStream,
    handle: &Handle,
    reloader: &Reloader,
    handed: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(WAIT))?;
    stream.set_write_timeout(Some(WAIT))?;
    let mut line = String::new();
    let patient = Patient { stream, until: Instant::now() + WAIT };
    BufReader::new(patient.take(LINE_BYTES)).read_line(&mut line)?;
    let answer = match serde_json::from_str(&line) {
        Ok(Call::TakeOver {}) => match handle.hand_over(WAIT) {
            Some(handover) => {
                handed.store(true, Ordering::SeqCst);
                info!(target: "control", "another process takes over");
                return give(stream, handover);
            }
            None => json!({"error": "this router has nothing to give: it is not ready"}).to_string(),
        },
        Ok(call) => answer(call, handle, reloader),
        Err(e) => json!({"error": format!("not understood: {e}")}).to_string(),
    };
    let mut stream = stream;
    stream.write_all(answer.as_bytes())?;
    stream.write_all(b"\n")
}

/// Reads until a time: a peer that says a byte now and then has no more of it than one that says nothing.
struct Patient<'a> {
    stream: &'a UnixStream,
    until: Instant,
}

impl Read for Patient<'_> {
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

/// Gives the listening socket with one line, then a line for each settlement until the life ends.
fn give(mut stream: &UnixStream, handover: Handover) -> std::io::Result<()> {
    let line = json!({"ledger": handover.settled.is_some()}).to_string() + "\n";
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds = [handover.listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(std::io::Error::other("no room for the listening socket"));
    }
    let sent = sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::empty())?;
    if sent != line.len() {
        return Err(std::io::Error::other("cut short"));
    }
    drop(handover.listener);
    for settled in handover.settled.into_iter().flatten() {
        stream.write_all((serde_json::to_string(&settled).unwrap_or_default() + "\n").as_bytes())?;
    }
    Ok(())
}

/// What a successor got.
pub struct Taken {
    /// The listening socket.
    pub listener: OwnedFd,
    /// What the life before settles; none where it kept no ledger.
    pub before: Option<BufReader<UnixStream>>,
}

/// Takes over from the router that answers at a control socket.
pub fn take_over(socket: &Path) -> Result<Taken, CommandError> {
    let wrong =
        |e: std::io::Error| CommandError::CouldNotRun(format!("taking over at {}: {e}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(wrong)?;
    stream.set_read_timeout(Some(WAIT * 3)).map_err(wrong)?;
    stream.write_all(b"{\"command\":\"take-over\"}\n").map_err(wrong)?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffer = [0; 4_096];
    let got = recvmsg(&stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC);
    let got = got.map_err(|e| wrong(e.into()))?;
    let mut listener = None;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            listener = fds.into_iter().next().or(listener);
        }
    }
    let line = String::from_utf8_lossy(buffer.get(..got.bytes).unwrap_or_default()).into_owned();
    // Settlements may follow in the same bytes.
    let (first, rest) = line.split_once('\n').unwrap_or((&line, ""));
    let said: Value = serde_json::from_str(first).map_err(|e| wrong(e.into()))?;
    let Some(listener) = listener else {
        let why = said.get("error").and_then(Value::as_str).unwrap_or("no listening socket came");
        return Err(CommandError::CouldNotRun(format!("taking over at {}: {why}", socket.display())));
    };
    if !rest.is_empty() {
        return Err(CommandError::CouldNotRun(format!(
            "taking over at {}: more came than was asked",
            socket.display()
        )));
    }
    stream.set_read_timeout(None).map_err(wrong)?;
    let before = (said.get("ledger") == Some(&Value::Bool(true))).then(|| BufReader::new(stream));
    Ok(Taken { listener, before })
}

fn answer(call: Call, handle: &Handle, reloader: &Reloader) -> String {
    let late = || json!({"error": "the router's loop did not answer in time"}).to_string();
    let ask = |question| handle.query(question, WAIT).unwrap_or_else(late);
    let tell = |event, what: &str| {
        info!(target: "control", "told to {what}");
        match handle.notify(event) {
            // What became of it, as the loop sees it.
            true => ask(AdminQuery::Status),
            false => late(),
        }
    };
    match call {
        Call::Status {} => ask(AdminQuery::Status),
        Call::Engines {} => ask(AdminQuery::Workers),
        Call::Requests {} => ask(AdminQuery::Requests),
        Call::Trace { id } => ask(AdminQuery::Trace(id)),
        Call::Drain {} => tell(LifecycleEvent::Drain, "drain"),
        Call::Undrain {} => tell(LifecycleEvent::Undrain, "undrain"),
        // What it changes is told at once; the loop takes it whole, or nothing of it.
        Call::Reload {} => match reloader.look() {
            Err(why) => json!({"error": format!("not reloaded, all stays as it was: {why}")}).to_string(),
            Ok(changes) => {
                let late = changes.iter().any(|c| !c.in_flight);
                if !late {
                    tell(LifecycleEvent::Reload, "reload");
                }
                json!({"reloaded": !late, "items": changes, "more": 0}).to_string()
            }
        },
        Call::TakeOver {} => json!({"error": "only a router takes over"}).to_string(),
        Call::Stop {} => tell(LifecycleEvent::Terminate, "stop"),
        Call::LogLevel { level } => match logs::set_level(&level) {
            Ok(()) => json!({"level": level}).to_string(),
            Err(why) => json!({"error": why}).to_string(),
        },
    }
}

/// Asks a running router.
pub fn ask(socket: &Path, call: &Call) -> Result<Value, CommandError> {
    let wrong =
        |e: std::io::Error| CommandError::CouldNotRun(format!("control socket {}: {e}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(wrong)?;
    stream.set_read_timeout(Some(WAIT * 3)).map_err(wrong)?;
    let line = serde_json::to_string(call).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(wrong)?;
    let mut answer = String::new();
    stream.take(ANSWER_BYTES).read_to_string(&mut answer).map_err(wrong)?;
    serde_json::from_str(&answer).map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", socket.display())))
}

/// One of the commands that speak to a running router; with `watch`, again after so many seconds, until it is gone.
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

/// An answer for a person: one line a member, a line a row for lists.
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
