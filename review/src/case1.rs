//! Case 1: a second answer behind a stream, some milliseconds late, on a connection that the router has used again.
#[path = "common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Share of the streams behind which a second answer comes, and how late.
const SHARE: f64 = 0.1;
const LATE_MS: (f64, f64) = (3.0, 9.0);
/// Requests a second over both routers, and for how long.
const RATE: f64 = 40.0;
const SECONDS: u64 = 80;

struct Second(Option<Mutex<Draw>>);

impl Trouble for Second {
    fn second_answer(&self) -> Option<Duration> {
        let mut draw = self.0.as_ref()?.lock().unwrap();
        let late = draw.between(LATE_MS.0, LATE_MS.1);
        (draw.share() < SHARE).then(|| Duration::from_secs_f64(late / 1e3))
    }
}

fn main() {
    let place = place();
    let record = Record::new();
    let draw = place.trouble.then(|| Mutex::new(Draw(7)));
    let fleet = Fleet::new(&record, Box::new(Second(draw)));
    let mut members = Vec::new();
    for (kind, role, count) in [("prefill", "read", 4), ("decode", "write", 4), ("mixed", "both", 3)] {
        for n in 0..count {
            let id = format!("{kind}-{n}");
            let at = fleet.worker(&id, role);
            members.push(Member { id, at, flavor: kind.into(), cell: n % 2, phase: "up".into(), up_since_ms: 0 });
        }
    }
    let agent = Agent::start("agent", "bern-dc1", members, &record);
    let site = Site {
        zone: "bern-dc1",
        routers: 2,
        classes: r#"[{"deadline_s":5.0,"dedup_window_s":5.0,"goal_time_s":1.0,"group":"all","late_worth":0.3,"name":"sim-help","points":1.0,"repeat":"free","stream":true},
{"deadline_s":15.0,"dedup_window_s":5.0,"goal_time_s":3.0,"group":"all","late_worth":0.3,"name":"report-submit","points":2.0,"repeat":"single_shot","stream":true}]"#,
        kinds: r#"["prefill","decode","mixed"]"#,
        roles: r#"["read","write","both"]"#,
        release_s: 1.0,
        resume: true,
        max_attempts: 4,
        drain_grace_s: 0.25,
        reports: true,
        tenants: r#"[{"name":"canton-nord","allowance_per_s":40.0,"fraction":0.93},{"name":"canton-sud","allowance_per_s":4.0,"fraction":0.07}]"#,
        rules: r#""cold_from":0.25,"cold_s":14.0,"fall_multiple":4.0,"fall_s":1.5,"must_ask_in_s":10.0"#,
    };
    let routers: Vec<Router> = (0..2)
        .map(|n| Router::start(&place.root, &place.temp, &format!("n{n}"), &agent, &site.json(), 11 + n))
        .collect();
    let pools: Vec<Mutex<Vec<BufReader<TcpStream>>>> = routers.iter().map(|_| Mutex::default()).collect();
    let pools = Arc::new(pools);
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut draw = Draw(3);
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let mut threads = Vec::new();
    while Instant::now() < until {
        thread::sleep(draw.wait(RATE));
        let n = (draw.next() % 2) as usize;
        let report = draw.share() < 0.18;
        let ask = Ask {
            id: format!("{:016x}", draw.next()),
            class: if report { "report-submit" } else { "sim-help" },
            tenant: "canton-nord",
            session: format!("{:016x}", draw.next()),
            timeout_ms: if report { 15_000 } else { 5_000 },
            prompt: draw.between(120.0, 2_000.0) as usize,
        };
        let (at, name) = (routers[n].at, routers[n].name.clone());
        let (pools, results, record) = (pools.clone(), results.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let answer = request(&pools[n], at, &ask);
            let foreign: Vec<String> =
                answer.ids().into_iter().filter(|id| *id != ask.id).map(str::to_owned).collect();
            record.say(format!(
                "client asked {name} as {} ({}): {} {} with {} pieces{}{}",
                ask.id,
                ask.class,
                answer.status,
                if answer.whole { "whole" } else { "not whole" },
                answer.pieces.len(),
                if answer.error.is_empty() { String::new() } else { format!(", {}", answer.error) },
                if foreign.is_empty() { String::new() } else { format!(", FOREIGN: pieces of {}", foreign.join(" ")) }
            ));
            results.lock().unwrap().push((answer.status, answer.whole, !foreign.is_empty()));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    drop(routers);
    let results = results.lock().unwrap();
    let served = results.iter().filter(|(status, whole, _)| *status == 200 && *whole).count();
    let foreign = results.iter().filter(|(.., foreign)| *foreign).count();
    let summary =
        format!("{} requests, {served} served whole, {foreign} got pieces of another request's answer", results.len());
    record.say(&summary);
    record.write(&place.case.join("record.txt"));
    println!("{summary}");
    if results.len() < 100 || served * 10 < results.len() * 8 {
        println!("too little was served for a judgement");
        end(&place, 2);
    }
    end(&place, i32::from(foreign > 0));
}

fn request(pool: &Mutex<Vec<BufReader<TcpStream>>>, at: SocketAddr, ask: &Ask) -> Answer {
    // A kept connection that the router has closed meanwhile: the request goes once more on a new one.
    for fresh in [false, true] {
        let kept = if fresh { None } else { pool.lock().unwrap().pop() };
        let is_kept = kept.is_some();
        let Some(mut connection) = kept.or_else(|| {
            let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
            Some(BufReader::new(stream))
        }) else {
            return Answer { error: "no connection".into(), ..Answer::default() };
        };
        let written = connection.get_mut().write_all(&ask.bytes());
        let answer = match written {
            Ok(()) => read_answer(&mut connection, |_| ()),
            Err(error) => Answer { error: error.to_string(), ..Answer::default() },
        };
        if answer.status == 0 && is_kept {
            continue;
        }
        if answer.whole && answer.keep {
            pool.lock().unwrap().push(connection);
        }
        return answer;
    }
    Answer { error: "twice closed".into(), ..Answer::default() }
}
