//! The connection between a router and its successor: messages as lines of JSON, of which the first carries descriptors.

use std::io::{self, BufRead, BufReader, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Most descriptors in one message: the listening socket, the token's channel and the ledger's lock.
const MAX_DESCRIPTORS: usize = 3;
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4_096;
/// How often a wait looks whether this router ends.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before reading again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest time for a peer to make room for a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a wait for a message ended with.
pub enum Received<T> {
    /// A message.
    Message(T),
    /// A line that is no message of the protocol.
    Unreadable,
    /// The peer has closed the connection or ended.
    Disconnected,
    /// No message came in time.
    TimedOut,
    /// This router ends.
    Closing,
}

/// A connection that carries messages.
pub struct MessageConnection {
    reader: BufReader<UnixStream>,
    /// The part of the next message that has arrived.
    partial: Vec<u8>,
}

impl MessageConnection {
    /// Creates a connection on a stream from which nothing was read beyond a message.
    pub fn new(stream: UnixStream) -> io::Result<Self> {
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(CLOSING_POLL_INTERVAL))?;
        Ok(Self { reader: BufReader::new(stream), partial: Vec::new() })
    }

    /// Sends a message.
    pub fn send(&self, message: &impl Serialize) -> io::Result<()> {
        self.reader.get_ref().write_all(&encode(message)?)
    }

    /// Sends a message with descriptors.
    pub fn send_with_descriptors(
        &self,
        message: &impl Serialize,
        descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<()> {
        let line = encode(message)?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
            return Err(io::Error::other("control message buffer is too small for the descriptors"));
        }
        let stream = self.reader.get_ref();
        let sent = sendmsg(stream, &[IoSlice::new(&line)], &mut control, SendFlags::empty())?;
        match sent == line.len() {
            true => Ok(()),
            false => Err(io::Error::other("short write of a message with descriptors")),
        }
    }

    /// Waits for a message until the timeout, or until `closing` is set.
    pub fn receive<T: DeserializeOwned>(&mut self, timeout: Duration, closing: &AtomicBool) -> Received<T> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.read_available() {
                Ok(true) => {
                    let line = std::mem::take(&mut self.partial);
                    return serde_json::from_slice(&line).map_or(Received::Unreadable, Received::Message);
                }
                Ok(false) if self.partial.len() > MAX_MESSAGE_BYTES => {
                    self.partial.clear();
                    return Received::Unreadable;
                }
                Ok(false) => return Received::Disconnected,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Received::Disconnected,
                // Nothing is known of the peer.
                Err(_) => std::thread::sleep(READ_RETRY_DELAY),
            }
            if closing.load(Ordering::SeqCst) {
                return Received::Closing;
            }
            if Instant::now() >= deadline {
                return Received::TimedOut;
            }
        }
    }

    /// Reads on in the next message. Returns true once it is complete, and false if it is too long or the peer has closed the
    /// connection.
    fn read_available(&mut self) -> io::Result<bool> {
        let room = (MAX_MESSAGE_BYTES + 1).saturating_sub(self.partial.len()) as u64;
        (&mut self.reader).take(room).read_until(b'\n', &mut self.partial)?;
        Ok(self.partial.last() == Some(&b'\n'))
    }

    /// Returns a reader of all that follows, without a timeout.
    pub fn into_reader(self) -> io::Result<BufReader<UnixStream>> {
        self.reader.get_ref().set_read_timeout(None)?;
        Ok(self.reader)
    }
}

fn encode(message: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(line)
}

/// Receives the first message on a stream: its line, and the descriptors in their order.
pub fn receive_with_descriptors(stream: &UnixStream) -> io::Result<(String, Vec<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    let got = recvmsg(stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    let line = String::from_utf8_lossy(buffer.get(..got.bytes).unwrap_or_default()).into_owned();
    Ok((line, descriptors))
}
