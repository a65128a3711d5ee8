//! Passes the listening socket and the last settlements from a router to its successor.

use std::io::{BufReader, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;

use chalkyard_router::shell::Handover;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::{json, Value};

use super::IO_TIMEOUT;
use crate::CommandError;

/// Sends the listening socket with one line, then a line for each settlement until this process ends.
pub fn send_handover(mut stream: &UnixStream, handover: Handover) -> std::io::Result<()> {
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
