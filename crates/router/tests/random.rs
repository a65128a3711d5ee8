//! Random days for one core: whatever peers do, each request gets one answer in time, each attempt one
//! verdict, a single shot is sent at most once after it may have run, and nothing stays held.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use chalkyard_policy::{Action, Event};
use chalkyard_router::*;
use common::*;
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Ask { single: bool, stream: bool, long: bool },
    Answer { which: prop::sample::Index, how: u8 },
    LoseEngine { which: prop::sample::Index, taken: bool },
    LoseClient { which: prop::sample::Index, eof: bool },
    Refuse { port: u16, on: bool },
    Pass { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(|(single, stream, long)| Step::Ask { single, stream, long }),
        8 => (any::<prop::sample::Index>(), 0..8_u8).prop_map(|(which, how)| Step::Answer { which, how }),
        1 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, taken)| Step::LoseEngine { which, taken }),
        1 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, eof)| Step::LoseClient { which, eof }),
        1 => (1..4_u16, any::<bool>()).prop_map(|(port, on)| Step::Refuse { port, on }),
        4 => (0..800_u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

struct Asked {
    conn: ConnId,
    at: u64,
    left: bool,
}

fn answer(y: &mut Yard, call: &Call, how: u8) {
    let reads = call.port == 1;
    match how {
        0 => y.reply(call.conn, 429, "{}"),
        1 => y.reply(call.conn, 500, "{}"),
        2 => y.reply(call.conn, 409, r#"{"error":{"type":"no_state"}}"#),
        3 => y.bytes(call.conn, b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        _ if reads => y.parsed(call),
        4 => {
            y.begin_stream(call.conn);
            y.token(call.conn, "a");
            if !y.closed.contains(&call.conn) {
                y.input(Input::Eof(call.conn));
            }
        }
        5 => {
            // Begins and says no more.
            y.begin_stream(call.conn);
            y.token(call.conn, "a");
        }
        _ => {
            y.begin_stream(call.conn);
            y.token(call.conn, "a");
            y.token(call.conn, "b");
            y.end_stream(call.conn);
        }
    }
}

fn check_times(y: &Yard, asked: &[Asked]) {
    for a in asked.iter().filter(|a| !a.left) {
        let late = y.now.0 > a.at + 4_000_000 + 100_000;
        assert!(!late || !y.raw(a.conn).is_empty(), "no answer in time");
    }
}

fn play(steps: &[Step]) {
    let mut y = Yard::new(config(), &usual());
    let mut asked: Vec<Asked> = Vec::new();
    let mut calls: Vec<Call> = Vec::new();
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    let mut proven: BTreeSet<(String, ConnId)> = BTreeSet::new();
    let gather = |y: &mut Yard, calls: &mut Vec<Call>, sent: &mut BTreeMap<String, u32>| {
        for call in std::mem::take(&mut y.calls) {
            if call.target == "/v1/kv/release" {
                if !y.closed.contains(&call.conn) {
                    y.reply(call.conn, 200, "{}");
                }
                continue;
            }
            if call.port != 1 && call.header("x-class") == "report" {
                *sent.entry(call.header("x-request-id").to_owned()).or_default() += 1;
            }
            calls.push(call);
        }
    };
    for step in steps {
        match step {
            Step::Ask { single, stream, long } => {
                let conn = y.client();
                asked.push(Asked { conn, at: y.now.0, left: false });
                let class = if *single { "report" } else { "help" };
                y.ask_with(conn, class, None, *stream, if *long { 4_000 } else { 20 });
            }
            Step::Answer { which, how } if !calls.is_empty() => {
                let call = calls.remove(which.index(calls.len()));
                if !y.closed.contains(&call.conn) {
                    // What is turned away proves that it never ran, and may be sent again.
                    let turned = *how == 0 || (*how == 2 && !call.body["kv_transfer_params"].is_null());
                    if turned && call.port != 1 {
                        if let Some(n) = sent.get_mut(call.header("x-request-id")) {
                            *n -= 1;
                        }
                        proven.insert((call.header("x-request-id").to_owned(), call.conn));
                    }
                    answer(&mut y, &call, *how);
                }
            }
            Step::LoseEngine { which, taken } if !calls.is_empty() => {
                let call = calls.remove(which.index(calls.len()));
                if !y.closed.contains(&call.conn) {
                    y.closed.insert(call.conn);
                    if *taken {
                        y.input(Input::Lost(call.conn));
                    } else {
                        y.closed.remove(&call.conn);
                        y.input(Input::Eof(call.conn));
                    }
                }
            }
            Step::LoseClient { which, eof } if !asked.is_empty() => {
                let n = which.index(asked.len());
                let conn = asked[n].conn;
                if !y.closed.contains(&conn) {
                    asked[n].left = true;
                    if *eof {
                        y.input(Input::Eof(conn));
                    } else {
                        y.closed.insert(conn);
                        y.input(Input::Lost(conn));
                    }
                }
            }
            Step::Refuse { port, on } => {
                if *on {
                    y.refused_ports.insert(*port);
                } else {
                    y.refused_ports.remove(port);
                }
            }
            Step::Pass { millis } => y.advance(ms(*millis)),
            _ => {}
        }
        gather(&mut y, &mut calls, &mut sent);
        check_times(&y, &asked);
        for (id, n) in &sent {
            assert!(*n <= 1, "{id} was sent {n} times though it may have run");
        }
    }
    for _ in 0..40 {
        y.advance(ms(1_000));
        gather(&mut y, &mut calls, &mut sent);
        check_times(&y, &asked);
    }
    assert_eq!(y.core.open_requests(), 0, "nothing stays open or held");
    for a in asked.iter().filter(|a| !a.left) {
        assert_eq!(y.answers(a.conn).len(), 1, "exactly one final answer");
    }
    assert_eq!(y.finished.len(), asked.len());
    let heard = y.heard.lock().unwrap();
    let (mut sends, mut verdicts): (BTreeMap<String, u32>, BTreeSet<(String, u32)>) = Default::default();
    for (_, event, actions) in heard.iter() {
        if let Event::Verdict { id, attempt, .. } = event {
            assert!(verdicts.insert((id.0.to_string(), attempt.0)), "two verdicts for one attempt");
        }
        for a in actions {
            if let Action::Send { id, .. } = a {
                *sends.entry(id.0.to_string()).or_default() += 1;
            }
        }
    }
    assert_eq!(sends.values().sum::<u32>() as usize, verdicts.len(), "one verdict for each attempt");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]
    #[test]
    fn any_day_keeps_its_promises(steps in prop::collection::vec(step(), 1..60)) {
        play(&steps);
    }
}
