//! Tests of the ready queue.
use mio::Token;

use super::{PeerKind, Readiness, ReadyQueue};

fn ready(token: usize, ended: bool) -> Readiness {
    Readiness { token: Token(token), readable: true, writable: false, ended }
}

#[test]
fn disconnected_clients_are_separate_and_other_sockets_alternate() {
    let mut queue = ReadyQueue::default();
    for n in 0..3 {
        queue.push(ready(n, false), PeerKind::Worker);
    }
    queue.push(ready(10, false), PeerKind::Client);
    queue.push(ready(11, true), PeerKind::Client);
    queue.push(ready(12, false), PeerKind::Client);
    queue.push(ready(13, true), PeerKind::Client);
    let disconnected: Vec<usize> =
        std::iter::from_fn(|| queue.next_disconnected()).map(|r| r.token.0).collect();
    assert_eq!(disconnected, [11, 13]);
    let others: Vec<usize> = std::iter::from_fn(|| queue.next()).map(|r| r.token.0).collect();
    assert_eq!(others, [10, 0, 12, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn a_worker_that_closes_is_not_a_disconnected_client() {
    let mut queue = ReadyQueue::default();
    queue.push(ready(1, true), PeerKind::Worker);
    assert_eq!(queue.next_disconnected(), None);
    assert!(!queue.is_empty());
    assert_eq!(queue.next(), Some(ready(1, true)));
}

/// Repeated events of a socket must not add entries, or the queue would grow while the event loop is busy.
#[test]
fn a_socket_has_one_entry_and_goes_first_once_its_client_has_disconnected() {
    let mut queue = ReadyQueue::default();
    for _ in 0..1_000 {
        for n in 0..10 {
            let peer = if n % 2 == 0 { PeerKind::Client } else { PeerKind::Worker };
            queue.push(ready(n, false), peer);
        }
    }
    assert_eq!(queue.len(), 10);
    let writable = Readiness { token: Token(4), readable: false, writable: true, ended: false };
    queue.push(writable, PeerKind::Client);
    queue.push(ready(4, true), PeerKind::Client);
    // A later event without the end flag does not clear it.
    queue.push(ready(4, false), PeerKind::Client);
    assert_eq!(queue.len(), 10);
    let disconnected = Readiness { writable: true, ..ready(4, true) };
    assert_eq!((queue.next_disconnected(), queue.next_disconnected()), (Some(disconnected), None));
    queue.forget(Token(0));
    let others: Vec<usize> = std::iter::from_fn(|| queue.next()).map(|r| r.token.0).collect();
    assert_eq!(others, [2, 1, 6, 3, 8, 5, 7, 9]);
    assert!(queue.is_empty());
}
