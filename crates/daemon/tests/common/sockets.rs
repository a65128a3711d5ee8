//! What the system's table says of sockets, and ends and resets that have surely arrived.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use super::wait;

/// What the system's table of TCP sockets says of one.
struct SocketRow {
    state: u8,
    /// Bytes that the other side has not taken.
    unsent: u32,
    /// Bytes that have come and were not read.
    unread: u32,
}

/// The system's table of TCP sockets.
fn socket_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

fn socket_row(table: &str, local: SocketAddr, remote: SocketAddr) -> Option<SocketRow> {
    let hex = |at: SocketAddr| match at.ip() {
        std::net::IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from(ip).swap_bytes(), at.port()),
        std::net::IpAddr::V6(_) => panic!("IPv4 alone"),
    };
    let pair = format!(" {} {} ", hex(local), hex(remote));
    let row: Vec<&str> = table.lines().find(|l| l.contains(&pair))?.split_whitespace().collect();
    let (unsent, unread) = row[4].split_once(':').unwrap();
    let number = |text: &str| u32::from_str_radix(text, 16).unwrap();
    let state = u8::from_str_radix(row[3], 16).unwrap();
    Some(SocketRow { state, unsent: number(unsent), unread: number(unread) })
}

/// A socket's state, and the bytes that the other side has not taken.
fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<(u8, u32)> {
    socket_row(&socket_table(), local, remote).map(|row| (row.state, row.unsent))
}

/// Waits until all that was written to it is at the other machine's system.
pub fn arrived(s: &TcpStream) {
    // Ended by the other side meanwhile: nothing waits.
    let (Ok(local), Ok(remote)) = (s.local_addr(), s.peer_addr()) else { return };
    // No row: the connection has ended, and nothing waits any more.
    wait("bytes to arrive", || socket_state(local, remote).is_none_or(|(_, queue)| queue == 0).then_some(()));
}

/// Waits until the other process has read all that was written to it.
pub fn taken(s: &TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    wait("bytes to be read", || {
        let table = socket_table();
        let sent = socket_row(&table, local, remote).is_some_and(|row| row.unsent == 0);
        let read = socket_row(&table, remote, local).is_some_and(|row| row.unread == 0);
        (sent && read).then_some(())
    });
}

/// Bytes that have come at the other process and that it has not read.
pub fn unread_by_the_other(s: &TcpStream) -> u32 {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    socket_row(&socket_table(), remote, local).map_or(0, |row| row.unread)
}

/// Closes our side, and waits until the other has been told.
pub fn fin(s: &TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    s.shutdown(Shutdown::Write).unwrap();
    // FIN_WAIT2: the end was acknowledged; CLOSE, TIME_WAIT or no row: both sides have ended.
    wait("an end to arrive", || match socket_state(local, remote) {
        Some((5..=7, _)) | None => Some(()),
        Some(_) => None,
    });
}

/// Resets the connection, and waits until the other side has been told.
pub fn reset(s: TcpStream) {
    let (local, remote) = (s.local_addr().unwrap(), s.peer_addr().unwrap());
    socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO)).unwrap();
    drop(s);
    wait("a reset to arrive", || socket_state(remote, local).is_none().then_some(()));
}

/// Whether any connection to this address has been asked for and does not stand.
pub fn connecting_to(at: SocketAddr) -> bool {
    let port = format!(":{:04X}", at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    // SYN_SENT
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|r| r.len() > 4 && r[2].ends_with(&port) && r[3] == "02")
}

/// Bytes that one machine's system holds for the other of a connection.
pub fn unsent(local: SocketAddr, remote: SocketAddr) -> u32 {
    socket_state(local, remote).expect("an open connection").1
}
