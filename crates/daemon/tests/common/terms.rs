//! What the tests of the stricter terms share: the recorded traffic, a router in a thread, troublesome clients.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

#[path = "answers.rs"]
mod answers;
#[path = "shell_router.rs"]
mod shell_router;
#[path = "traffic.rs"]
mod traffic;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

pub use self::answers::*;
pub use self::shell_router::*;
pub use self::traffic::*;
use super::peers::*;

/// A call whose body is padded to so many bytes.
pub fn ask_with_body(id: &str, class: &str, timeout: Duration, bytes: usize) -> Vec<u8> {
    let call = String::from_utf8(ask_within(id, class, timeout)).unwrap();
    let (head, body) = call.split_once("\r\n\r\n").unwrap();
    let padded = format!("{body}{}", " ".repeat(bytes - body.len()));
    let head = head.replace(&format!("Content-Length: {}", body.len()), &format!("Content-Length: {bytes}"));
    format!("{head}\r\n\r\n{padded}").into_bytes()
}

/// Whether the router has closed its side, with nothing left to read.
pub fn is_closed(s: &TcpStream) -> bool {
    s.set_nonblocking(true).unwrap();
    let read = s.peek(&mut [0]);
    s.set_nonblocking(false).unwrap();
    match read {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Floods of good and of bad calls, clients that say nothing, and one that asks on and takes no answer, until it is over.
pub fn troublesome_clients(at: SocketAddr, over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let flood = |bytes: Vec<u8>| {
        let over = over.clone();
        std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                if let Ok(mut s) = TcpStream::connect(at) {
                    s.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
                    // Closed by the router, or full: both are as they should be.
                    let _ = s.write_all(&bytes);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let silent = {
        let over = over.clone();
        std::thread::spawn(move || {
            let mut crowd = Vec::new();
            while !over.load(Ordering::SeqCst) {
                crowd.extend(TcpStream::connect(at));
                if crowd.len() > 300 {
                    crowd.remove(0);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let takes_nothing = {
        let over = over.clone();
        std::thread::spawn(move || {
            let mut s = TcpStream::connect(at).unwrap();
            s.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
            while !over.load(Ordering::SeqCst) {
                let _ = s.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
                std::thread::sleep(Duration::from_millis(1));
            }
        })
    };
    vec![
        flood(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(400)),
        flood(vec![0; 65_536]),
        silent,
        takes_nothing,
    ]
}
