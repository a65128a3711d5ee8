//! Case 3: planned restarts while some clients write their requests slowly, at a site whose streams can't go on elsewhere.
#[path = "common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const CLIENTS: usize = 120;
/// One client in so many writes slowly: its request takes [`SLOW_PIECES`] times [`SLOW_PAUSE`].
const SLOW_ONE_IN: usize = 3;
const SLOW_PIECES: usize = 4;
const SLOW_PAUSE: Duration = Duration::from_millis(250);
/// Rounds of restarts of all three routers, one after the other.
const ROUNDS: usize = 3;
/// SIGKILL after SIGTERM: the page's 0.7 s and a longest deadline that counts as 3 s, and a little more.
const KILL_AFTER: Duration = Duration::from_millis(3_800);
/// A request that arrives later than this after SIGTERM is lost if SIGKILL finds it unanswered or under way.
const TAKEN_LATE_MS: u128 = 700;

struct Desks;

impl Trouble for Desks {
    /// 32 to 72 tokens for a quick query, 41 to 150 for a review, as the site's table says; four to an event.
    fn events(&self, id: &str) -> u32 {
        let draw = u32::from_str_radix(&id[id.len() - 4..], 16).unwrap();
        if id.starts_with('f') { 10 + draw % 28 } else { 8 + draw % 11 }
    }

    /// A token each 50 ms, the pace that the site wants.
    fn pace(&self, _worker: &str, _event: u32) -> Duration {
        ms(200)
    }
}

#[derive(Clone, Copy, Default)]
struct Restart {
    term: u128,
    kill: u128,
}

struct Front {
    /// Routers that get new connections, with a number of their life.
    open: Mutex<Vec<(bool, usize)>>,
    addresses: Vec<SocketAddr>,
    restarts: Mutex<Vec<(usize, Restart)>>,
    end: AtomicBool,
}

struct Outcome {
    router: usize,
    id: String,
    written: u128,
    ended: u128,
    complete: bool,
    what: String,
}

fn main() {
    let place = place();
    let record = Record::new();
    let fleet = Fleet::new(&record, Box::new(Desks));
    let mut members = Vec::new();
    for (kind, role, count) in [("prompt-box", "read", 4), ("answer-box", "write", 4), ("combined-box", "both", 3)] {
        for n in 0..count {
            let id = format!("{kind}-{n}");
            let at = fleet.worker(&id, role);
            members.push(Member { id, at, flavor: kind.into(), cell: n % 2, phase: "up".into(), up_since_ms: 0 });
        }
    }
    let agent = Agent::start("agent", "chaguanas-dc", members, &record);
    let site = Site {
        zone: "chaguanas-dc",
        routers: 3,
        classes: r#"[{"deadline_s":5.0,"dedup_window_s":5.0,"goal_time_s":1.2,"group":"all","late_worth":0.1,"name":"quick-query","points":1.0,"repeat":"free","stream":true},
{"deadline_s":10.0,"dedup_window_s":5.0,"goal_time_s":2.5,"group":"all","late_worth":0.1,"name":"report-review","points":3.0,"repeat":"free","stream":true}]"#,
        kinds: r#"["prompt-box","answer-box","combined-box"]"#,
        roles: r#"["read","write","both"]"#,
        release_s: 0.5,
        resume: false,
        max_attempts: 5,
        drain_grace_s: 1.0,
        reports: false,
        tenants: r#"[{"name":"caroni-desk","allowance_per_s":60.0,"fraction":1.0}]"#,
        rules: r#""cold_from":0.31,"cold_s":14.0,"fall_multiple":2.5,"fall_s":2.0,"must_ask_in_s":10.0"#,
    };
    let mut routers: Vec<Router> = (0..3)
        .map(|n| Router::start(&place.root, &place.temp, &format!("n{n}"), &agent, &site.json(), 21 + n))
        .collect();
    let front = Arc::new(Front {
        open: Mutex::new(vec![(true, 0); 3]),
        addresses: routers.iter().map(|r| r.at).collect(),
        restarts: Mutex::default(),
        end: AtomicBool::new(false),
    });
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (front, outcomes, record) = (front.clone(), outcomes.clone(), record.clone());
            let slow = place.trouble && n % SLOW_ONE_IN == 0;
            thread::spawn(move || client(n, slow, &front, &record, &outcomes))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for _ in 0..ROUNDS {
        for n in 0..routers.len() {
            let mut restart = Restart { term: record.now_ms(), kill: 0 };
            record.say(format!("n{n}: SIGTERM"));
            routers[n].signal("-TERM");
            let told = Instant::now();
            // New connections keep arriving for 0.2 to 0.4 s.
            thread::sleep(ms(300));
            front.open.lock().unwrap()[n].0 = false;
            let mut ended_itself = false;
            while told.elapsed() < KILL_AFTER && !ended_itself {
                ended_itself = routers[n].child.try_wait().unwrap().is_some();
                thread::sleep(ms(2));
            }
            restart.kill = record.now_ms();
            if ended_itself {
                record.say(format!("n{n}: ended by itself"));
            } else {
                record.say(format!("n{n}: SIGKILL"));
                let _ = routers[n].child.kill();
                let _ = routers[n].child.wait();
            }
            front.restarts.lock().unwrap().push((n, restart));
            routers[n].start_again();
            record.say(format!("n{n}: up again"));
            let mut open = front.open.lock().unwrap();
            open[n] = (true, open[n].1 + 1);
            drop(open);
            thread::sleep(ms(700));
        }
    }
    front.end.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(routers);
    let restarts = front.restarts.lock().unwrap().clone();
    let outcomes = outcomes.lock().unwrap();
    let mut lost = 0;
    let mut excused = 0;
    let forwarded: std::collections::BTreeSet<String> =
        fleet.arrivals.lock().unwrap().iter().map(|(_, _, id)| id.clone()).collect();
    for o in outcomes.iter().filter(|o| !o.complete) {
        let ours = restarts
            .iter()
            .find(|(n, r)| *n == o.router && o.written >= r.term && o.written < r.kill && o.ended + 20 >= r.kill)
            // One that crossed the end of a resting connection was not read.
            .filter(|_| forwarded.contains(&o.id));
        match ours {
            Some((_, r)) if o.written > r.term + TAKEN_LATE_MS => {
                lost += 1;
                record.say(format!(
                    "LOST: {} at n{}, taken {} ms after SIGTERM, {} {} ms after it",
                    o.id,
                    o.router,
                    o.written - r.term,
                    o.what,
                    o.ended - r.term
                ));
            }
            _ => excused += 1,
        }
    }
    let complete = outcomes.iter().filter(|o| o.complete).count();
    let summary = format!(
        "{} requests, {complete} answered to the end, {} restarts, {lost} lost, {excused} not answered to the end for which a page has an excuse",
        outcomes.len(),
        restarts.len()
    );
    record.say(&summary);
    record.write(&place.case.join("record.txt"));
    println!("{summary}");
    if outcomes.len() < 100 || complete * 2 < outcomes.len() {
        println!("too little was served for a judgement");
        end(&place, 2);
    }
    end(&place, i32::from(lost > 0));
}

/// One client: asks, reads its answer, thinks, asks again; keeps its connection.
fn client(n: usize, slow: bool, front: &Front, record: &Record, outcomes: &Mutex<Vec<Outcome>>) {
    let mut draw = Draw(1_000 + n as u64);
    let mut kept: Option<(usize, usize, BufReader<TcpStream>)> = None;
    let mut again: Option<String> = None;
    thread::sleep(Duration::from_secs_f64(draw.between(0.0, 4.0)));
    while !front.end.load(Ordering::SeqCst) {
        let review = draw.share() < 0.19;
        // One that crossed the end of a resting connection is sent once more on a new one.
        let id = again
            .take()
            .unwrap_or_else(|| format!("{}{:015x}", if review { 'f' } else { '0' }, draw.next() >> 4));
        let review = id.starts_with('f');
        let (router, life, mut connection, is_kept) = match kept.take() {
            Some((router, life, connection)) => (router, life, connection, true),
            None => {
                let open: Vec<(usize, usize)> = {
                    let open = front.open.lock().unwrap();
                    open.iter().enumerate().filter(|(_, o)| o.0).map(|(n, o)| (n, o.1)).collect()
                };
                let (router, life) = open[(draw.next() % open.len() as u64) as usize];
                let Ok(stream) = TcpStream::connect_timeout(&front.addresses[router], Duration::from_secs(1)) else {
                    thread::sleep(ms(100));
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                (router, life, BufReader::new(stream), false)
            }
        };
        let ask = Ask {
            id: id.clone(),
            class: if review { "report-review" } else { "quick-query" },
            tenant: "caroni-desk",
            session: format!("{:016x}", draw.next()),
            timeout_ms: if review { 10_000 } else { 5_000 },
            prompt: if review { 2_800 } else { 900 },
        };
        let bytes = ask.bytes();
        let pieces = if slow { SLOW_PIECES } else { 0 };
        let size = bytes.len() / (pieces + 1) + 1;
        let mut written = Ok(());
        for (k, piece) in bytes.chunks(size).enumerate() {
            if k > 0 {
                thread::sleep(SLOW_PAUSE);
            }
            written = written.and_then(|()| connection.get_mut().write_all(piece));
        }
        let at = record.now_ms();
        if written.is_err() {
            record.say(format!("client {n}: {id} could not be written to n{router}"));
            again = is_kept.then_some(id);
            continue;
        }
        let answer = read_answer(&mut connection, |_| ());
        if answer.status == 0 && is_kept && record.now_ms() < at + 50 {
            record.say(format!("client {n}: {id} crossed the end of its connection to n{router}"));
            again = Some(id);
            continue;
        }
        let ended = record.now_ms();
        let complete = answer.whole;
        let what = match (answer.status, complete) {
            (0, _) => format!("unanswered ({})", answer.error),
            (status, true) => format!("answered {status}"),
            (status, false) => format!("cut off after {} events of {status} ({})", answer.pieces.len(), answer.error),
        };
        record.say(format!(
            "client {n}{}: {id} at n{router}.{life}, last byte at {at}: {what}",
            if slow { " (slow)" } else { "" }
        ));
        let keep = complete && answer.keep;
        outcomes.lock().unwrap().push(Outcome { router, id, written: at, ended, complete, what });
        if keep {
            kept = Some((router, life, connection));
        }
        thread::sleep(Duration::from_secs_f64(draw.between(0.3, 1.5)));
    }
}
