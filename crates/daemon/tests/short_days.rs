//! What the short days of the standing test put together, at one router process on the platform with the order forced:
//! a reload and a drain, a watch that falls silent late, a kill behind an accept, requests in pieces, times that end.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

mod common;
#[path = "common/peers.rs"]
mod peers;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use common::{folder, read_until, text, EXE};
use peers::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Asks so many times, each on a connection of its own, and waits for each whole answer.
fn ask_times(router: &Router, name: &str, times: usize) {
    for n in 0..times {
        let mut client = router.connect();
        client.write_all(&ask(&format!("{name}-{n}"), "chat", 20)).unwrap();
        assert!(read_until(&mut client, "0\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
}

// ---- Lists.

/// The drain is in the first list that comes from the new address, or the first change behind it.
#[test]
fn a_drain_told_right_after_a_reload_is_kept() {
    for first_list in [true, false] {
        let (w1, w2) = (Worker::new(), Worker::new());
        let both_up = [member("m1", "both", w1.at, "up"), member("m2", "both", w2.at, "up")];
        let drains = [member("m1", "both", w1.at, "draining"), member("m2", "both", w2.at, "up")];
        let (old, new) = (Agent::new(&both_up), Agent::new(&both_up));
        let (w1, w2) = (w1.answer(|_| served()), w2.answer(|_| served()));
        let router = Router::start("reload-drain", &old, &Setting::default());
        old.heard();
        router.stop();
        router.write_config(&router.config_at(new.at));
        router.hang_up();
        if first_list {
            new.tell(&drains, None);
        }
        router.go_on();
        new.heard();
        if !first_list {
            new.tell(&drains, None);
            new.heard();
        }
        // What the old address says counts no more.
        old.tell(&both_up, None);
        ask_times(&router, "after", 20);
        assert_eq!((w1.calls().len(), w2.calls().len()), (0, 20), "in the first list: {first_list}");
    }
}

/// A watch that has been answered before falls silent, and what it misses comes back as a whole list: the worker that is
/// not in it has gone.
#[test]
fn a_list_that_falls_silent_late_and_comes_back_whole_is_followed() {
    let (w1, w2) = (Worker::new(), Worker::new());
    let agent = Agent::new(&[member("m1", "both", w1.at, "up")]);
    let (w1, w2) = (w1.answer(|_| served()), w2.answer(|_| served()));
    let router = Router::start("silent-late", &agent, &Setting::default());
    agent.heard();
    // The first watch has ended without news, the next is open.
    agent.call_after(agent.calls().len(), "after=");
    ask_times(&router, "before", 3);
    agent.silent(true);
    let silent = Instant::now();
    agent.tell(&[member("m2", "both", w2.at, "up")], None);
    std::thread::sleep(ms(20));
    agent.silent(false);
    agent.heard();
    assert!(silent.elapsed() < ms(6_000), "{:?}", silent.elapsed());
    ask_times(&router, "after", 20);
    assert_eq!((w1.calls().len(), w2.calls().len()), (3, 20));
}

// ---- Clients.

/// The process is killed with a client's whole request at its listening socket: nothing is made up as an answer, nothing
/// was sent on, and the next process serves at once at the same address.
#[test]
fn a_kill_right_after_an_accept_answers_nothing_and_the_next_process_serves() {
    let worker = Worker::new();
    let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
    let worker = worker.answer(|_| served());
    let setting = Setting::default();
    let mut router = Router::start("kill-accept", &agent, &setting);
    router.stop();
    let mut client = router.connect();
    client.write_all(&ask("killed", "once", 20)).unwrap();
    arrived(&client);
    router.kill_and_start_again(&setting);
    assert_eq!(rest(&mut client).0, "");
    ask_times(&router, "next", 3);
    assert_eq!((worker.attempts("killed").len(), worker.calls().len()), (0, 3));
}

/// The router has read each first piece before the second is written.
#[test]
fn a_request_in_two_pieces_is_served_whatever_byte_it_is_cut_at() {
    let worker = Worker::new();
    let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
    let worker = worker.answer(|_| served());
    let router = Router::start("pieces", &agent, &Setting::default());
    let mut client = router.connect();
    let length = ask("p000", "chat", 20).len();
    for cut in 1..length {
        let id = format!("p{cut:03}");
        let call = ask(&id, "chat", 20);
        client.write_all(&call[..cut]).unwrap();
        taken(&client);
        client.write_all(&call[cut..]).unwrap();
        let answer = read_until(&mut client, "0\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("hi"), "cut at {cut}: {answer}");
        assert_eq!(worker.attempts(&id).len(), 1, "cut at {cut}");
    }
    assert_eq!(worker.calls().len(), length - 1);
}

/// So many bytes in a row come one by one, the rest at once: a whole request has to come within its time.
#[test]
fn a_request_of_which_some_bytes_come_one_by_one_is_served() {
    const SINGLE: usize = 16;
    let worker = Worker::new();
    let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
    let worker = worker.answer(|_| served());
    let router = Router::start("bytes", &agent, &Setting::default());
    let mut client = router.connect();
    let length = ask("b000", "chat", 20).len();
    for from in (0..length - SINGLE).step_by(SINGLE) {
        let id = format!("b{from:03}");
        let call = ask(&id, "chat", 20);
        client.write_all(&call[..from]).unwrap();
        for byte in &call[from..from + SINGLE] {
            client.write_all(&[*byte]).unwrap();
            taken(&client);
        }
        client.write_all(&call[from + SINGLE..]).unwrap();
        assert!(read_until(&mut client, "0\r\n\r\n").starts_with("HTTP/1.1 200"), "from {from}");
        assert_eq!(worker.attempts(&id).len(), 1, "from {from}");
    }
}

// ---- Times.

/// Workers that hang, that can't be reached, that all drain, or that turn away: each client has its answer when its time is up.
#[test]
fn no_request_is_left_without_an_answer_when_its_time_is_up() {
    const TIME: Duration = ms(700);
    let (hanging, turning) = (Worker::new(), Worker::new());
    let (cut_off, _fill) = Worker::cut_off();
    let (hangs, cut) = (hanging.at, cut_off.at);
    let turning = turning.answer(|_| TURNED_AWAY.to_vec());
    let cases = [
        ("hangs", vec![member("m1", "both", hangs, "up")]),
        ("cut off", vec![member("m1", "both", cut, "up")]),
        ("drains", vec![member("m1", "both", hangs, "draining")]),
        ("turns away", vec![member("m1", "both", turning.at, "up")]),
        ("reads and no writer", vec![member("m1", "reads", hangs, "up")]),
        ("none", vec![]),
    ];
    for (case, list) in cases {
        let agent = Agent::new(&list);
        let router = Router::start("time-up", &agent, &Setting::default());
        for class in ["chat", "once"] {
            let mut client = router.connect();
            let asked = Instant::now();
            client.write_all(&ask_within(&format!("{case}-{class}").replace(' ', "-"), class, TIME)).unwrap();
            let (mut answer, mut buffer) = (String::new(), [0; 4096]);
            while !answer.contains("\r\n\r\n") {
                let n = client.read(&mut buffer).unwrap();
                assert!(n > 0, "{case}, {class}: ended without an answer");
                answer += &text(&buffer[..n]);
            }
            assert!(asked.elapsed() <= TIME + ms(50), "{case}, {class}: after {:?}", asked.elapsed());
            assert!(
                answer.starts_with("HTTP/1.1 5") || answer.starts_with("HTTP/1.1 429"),
                "{case}: {answer}"
            );
        }
    }
}

/// Its one worker turns all away for a while: while requests keep coming it is tried again and again, and used once it is well.
#[test]
fn a_router_whose_workers_turn_all_away_goes_on_trying() {
    const SICK: Duration = ms(7_000);
    let worker = Worker::new();
    let agent = Agent::new(&[member("m1", "both", worker.at, "up")]);
    let begun = Instant::now();
    let worker = worker.answer(move |_| if begun.elapsed() < SICK { TURNED_AWAY.to_vec() } else { served() });
    let router = Router::start("goes-on", &agent, &Setting::default());
    let mut clients = Vec::new();
    while begun.elapsed() < ms(14_000) {
        let mut client = router.connect();
        client.write_all(&ask_within(&format!("go-{}", clients.len()), "chat", ms(400))).unwrap();
        clients.push(client);
        std::thread::sleep(ms(100));
    }
    let mut tried: Vec<Instant> = worker.calls().iter().map(|call| call.at).collect();
    tried.push(Instant::now());
    let longest = tried.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(longest < ms(4_000), "no attempt for {longest:?}");
    assert!(worker.calls().iter().filter(|call| call.at - begun > SICK).count() > 10, "well, and left alone");
}

/// Each further attempt is told the time that is left to its client, by then.
#[test]
fn the_time_told_to_a_worker_is_at_most_what_is_left_to_the_client() {
    const TIME: Duration = ms(2_000);
    let workers = [Worker::new(), Worker::new()];
    let list: Vec<_> =
        workers.iter().enumerate().map(|(n, w)| member(&format!("m{n}"), "both", w.at, "up")).collect();
    let agent = Agent::new(&list);
    let workers = workers.map(|w| {
        w.answer(|_| {
            std::thread::sleep(ms(300));
            TURNED_AWAY.to_vec()
        })
    });
    let router = Router::start("time-left", &agent, &Setting::default());
    let mut client = router.connect();
    let asked = Instant::now();
    client.write_all(&ask_within("left", "chat", TIME)).unwrap();
    wait("two attempts", || {
        (workers.iter().map(|w| w.attempts("left").len()).sum::<usize>() >= 2).then_some(())
    });
    let mut attempts: Vec<_> = workers.iter().flat_map(|w| w.attempts("left")).collect();
    attempts.sort_by_key(|call| call.at);
    for (n, call) in attempts.iter().enumerate() {
        let told = call.timeout.expect("a told time");
        // The worker hears of it later than it was written: what is left by then is less, by the way there.
        let left = TIME.saturating_sub(call.at - asked) + ms(50);
        assert!(told <= left, "attempt {n}: told {told:?}, left {left:?}");
        assert!(told > left.saturating_sub(ms(200)), "attempt {n}: told {told:?} of {left:?}");
    }
}
