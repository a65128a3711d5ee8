use mio::Token;

use super::{Readiness, ReadyQueue, Side};

fn ready(token: usize, ended: bool) -> Readiness {
    Readiness { token: Token(token), readable: true, writable: false, ended }
}

#[test]
fn clients_that_have_gone_are_apart_and_the_others_take_turns() {
    let mut queue = ReadyQueue::default();
    for n in 0..3 {
        queue.push(ready(n, false), Side::Worker);
    }
    queue.push(ready(10, false), Side::Client);
    queue.push(ready(11, true), Side::Client);
    queue.push(ready(12, false), Side::Client);
    queue.push(ready(13, true), Side::Client);
    let departures: Vec<usize> = std::iter::from_fn(|| queue.next_departure()).map(|r| r.token.0).collect();
    assert_eq!(departures, [11, 13]);
    let others: Vec<usize> = std::iter::from_fn(|| queue.next()).map(|r| r.token.0).collect();
    assert_eq!(others, [10, 0, 12, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn an_engine_that_ends_is_no_departure() {
    let mut queue = ReadyQueue::default();
    queue.push(ready(1, true), Side::Worker);
    assert_eq!(queue.next_departure(), None);
    assert!(!queue.is_empty());
    assert_eq!(queue.next(), Some(ready(1, true)));
}

/// However long the loop does not come to them, and however often they are told of.
#[test]
fn a_socket_has_one_entry_and_goes_first_once_its_client_has_gone() {
    let mut queue = ReadyQueue::default();
    for _ in 0..1_000 {
        for n in 0..10 {
            let side = if n % 2 == 0 { Side::Client } else { Side::Worker };
            queue.push(ready(n, false), side);
        }
    }
    assert_eq!(queue.len(), 10);
    let writable = Readiness { token: Token(4), readable: false, writable: true, ended: false };
    queue.push(writable, Side::Client);
    queue.push(ready(4, true), Side::Client);
    // Told once more without it, it has gone all the same.
    queue.push(ready(4, false), Side::Client);
    assert_eq!(queue.len(), 10);
    let gone = Readiness { writable: true, ..ready(4, true) };
    assert_eq!((queue.next_departure(), queue.next_departure()), (Some(gone), None));
    queue.forget(Token(0));
    let others: Vec<usize> = std::iter::from_fn(|| queue.next()).map(|r| r.token.0).collect();
    assert_eq!(others, [2, 1, 6, 3, 8, 5, 7, 9]);
    assert!(queue.is_empty());
}
