//! The measurement of each part at one size, in a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chalkyard_policy::Micros;
use hdrhistogram::Histogram;

use super::figure::{Figure, Part, Value};
use super::fixture::{configuration, list_text, members};
use super::hollow::{Events, HollowRouter, EVENT_TOKENS};
use super::size::{Size, ANSWER_TOKENS, REQUESTS_PER_S};
use super::{configuration as files, leases, revisions};
use crate::{Error, ALLOCATOR};

/// Long enough for the first answers to have ended: streams open are as many as ever.
const FLEET_SPAN: Micros = Micros(22_000_000);
const MEGABYTE: f64 = 1e6;
const CHANGES: usize = 20;

/// Measures a part.
pub fn measure(part: Part, size: &Size, seed: u64, program: &Path) -> Result<Vec<Value>, Error> {
    match part {
        Part::Router => router(size, seed),
        Part::Worker => worker(size, seed),
        Part::Discovery => discovery(size, seed),
        Part::Leases => leases::measure(size, seed),
        Part::Configuration => files::measure(size),
        Part::Restart => restart(size, program),
        Part::Revisions => revisions::measure(size, seed),
        Part::Membership => Ok(membership(size)),
    }
}

fn micros(histogram: &Histogram<u64>) -> f64 {
    histogram.value_at_quantile(0.5) as f64 / 1e3
}

/// One router with its share of the requests, all events.
fn router(size: &Size, seed: u64) -> Result<Vec<Value>, Error> {
    let before = ALLOCATOR.allocated();
    let mut router = HollowRouter::new(size, 1, seed, Events::All)?;
    let idle = ALLOCATOR.allocated() - before;
    router.run(FLEET_SPAN);
    let used = ALLOCATOR.allocated() - before;
    let (clients, links) = router.connections();
    for n in 0..CHANGES {
        router.list_change(n * size.workers / CHANGES);
    }
    for _ in 0..CHANGES / 2 {
        router.whole_list();
    }
    let times = &router.times;
    let (request, parsed, event) = (micros(&times.request), micros(&times.parsed), micros(&times.event));
    let events_per_s = REQUESTS_PER_S * (ANSWER_TOKENS / EVENT_TOKENS) as f64;
    let core = (REQUESTS_PER_S * (request + parsed) + events_per_s * event) / 1e6;
    Ok(vec![
        Value::new(Figure::RouterMemory, used as f64 / MEGABYTE),
        Value::new(Figure::RouterIdleMemory, idle as f64 / MEGABYTE),
        Value::new(Figure::RequestTime, request),
        Value::new(Figure::ParsedTime, parsed),
        Value::new(Figure::EventTime, event),
        Value::new(Figure::ChangeTime, micros(&times.change)),
        Value::new(Figure::WholeListTime, micros(&times.whole_list)),
        Value::new(Figure::ServiceCore, core),
        Value::new(Figure::ClientConnections, clients as f64),
        Value::new(Figure::WorkerLinks, links as f64),
    ])
}

/// What all routers do to each worker, summed up over their own hollow ones: they share nothing.
#[derive(Default)]
struct Fleet {
    open: Vec<u64>,
    connects: u64,
    calls: u64,
    releases: u64,
    ages: Option<Histogram<u64>>,
}

impl Fleet {
    fn add(&mut self, router: &HollowRouter) -> Result<(), Error> {
        self.open.resize(router.workers.len(), 0);
        for (open, worker) in self.open.iter_mut().zip(&router.workers) {
            *open += worker.open;
            self.connects += worker.connects;
            self.calls += worker.calls;
            self.releases += worker.releases;
        }
        match &mut self.ages {
            Some(ages) => ages.add(&router.ages)?,
            None => self.ages = Some(router.ages.clone()),
        }
        Ok(())
    }
}

/// Plays every router of the size, as many at once as there are cores.
fn play_fleet(size: &Size, seed: u64) -> Result<Fleet, Error> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let play = |first: usize| -> Result<Vec<HollowRouter>, String> {
        let mut played = Vec::new();
        for name in (first..size.routers).step_by(threads) {
            let router = HollowRouter::new(size, name as u64, seed, Events::Ends);
            let mut router = router.map_err(|e| e.to_string())?;
            router.run(FLEET_SPAN);
            played.push(router);
        }
        Ok(played)
    };
    let mut fleet = Fleet::default();
    std::thread::scope(|scope| -> Result<(), Error> {
        let running: Vec<_> = (0..threads).map(|first| scope.spawn(move || play(first))).collect();
        for thread in running {
            for router in thread.join().map_err(|_| "a thread of hollow routers ended early")?? {
                fleet.add(&router)?;
            }
        }
        Ok(())
    })?;
    Ok(fleet)
}

fn worker(size: &Size, seed: u64) -> Result<Vec<Value>, Error> {
    let fleet = play_fleet(size, seed)?;
    let per = |sum: u64| sum as f64 / size.workers as f64;
    let per_s = |sum: u64| per(sum) / FLEET_SPAN.as_secs_f64();
    let most = fleet.open.iter().copied().max().unwrap_or(0);
    let age = fleet.ages.map_or(0.0, |ages| ages.value_at_quantile(0.5) as f64 / 1e6);
    Ok(vec![
        Value::new(Figure::WorkerConnections, per(fleet.open.iter().sum())),
        Value::new(Figure::WorkerConnectionsMost, most as f64),
        Value::new(Figure::WorkerConnects, per_s(fleet.connects)),
        Value::new(Figure::WorkerCalls, per_s(fleet.calls)),
        Value::new(Figure::WorkerReleases, per_s(fleet.releases)),
        Value::new(Figure::ReportAge, age),
    ])
}

fn discovery(size: &Size, seed: u64) -> Result<Vec<Value>, Error> {
    let mut router = HollowRouter::new(size, 1, seed, Events::Ends)?;
    router.run(FLEET_SPAN);
    let seconds = FLEET_SPAN.as_secs_f64();
    let list = list_text(1, true, &members(size)).len() as f64;
    Ok(vec![
        Value::new(Figure::DiscoveryBytes, router.discovery_bytes as f64 / seconds),
        Value::new(Figure::DiscoveryCalls, router.discovery_calls as f64 / seconds * size.routers as f64),
        Value::new(Figure::ListBytes, list),
        Value::new(Figure::ReturnBytes, list * size.routers as f64 / MEGABYTE),
    ])
}

/// A process that ends with its owner.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A real process: from its start to the moment at which it takes connections.
fn restart(size: &Size, program: &Path) -> Result<Vec<Value>, Error> {
    const STARTS: usize = 5;
    const MOST: Duration = Duration::from_secs(30);
    let folder = std::env::temp_dir().join(format!("chalkyard-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("config.json");
    let mut times = Vec::new();
    let mut resident = 0.0_f64;
    for _ in 0..STARTS {
        let listen: SocketAddr = crate::free()?;
        std::fs::write(&file, configuration(size, listen, crate::free()?).to_string())?;
        let start = Instant::now();
        let mut command = Command::new(program);
        command.arg("platform").env("GW_CONFIG", &file).stdin(Stdio::null());
        let process = Process(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
        while std::net::TcpStream::connect(listen).is_err() {
            if start.elapsed() > MOST {
                return Err("a router did not become ready".into());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
        resident = resident.max(resident_megabytes(process.0.id())?);
    }
    std::fs::remove_dir_all(&folder)?;
    times.sort_by(f64::total_cmp);
    let median = times.get(STARTS / 2).copied().unwrap_or_default();
    Ok(vec![Value::new(Figure::RestartTime, median), Value::new(Figure::RestartMemory, resident)])
}

fn resident_megabytes(process: u32) -> Result<f64, Error> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let field = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes: f64 = field.and_then(|l| l.split_whitespace().next()).unwrap_or("0").parse()?;
    Ok(kilobytes * 1_024.0 / MEGABYTE)
}

/// Not built: each member tells three others a second of itself and of as many changes as fit in one datagram.
fn membership(size: &Size) -> Vec<Value> {
    const TARGETS: f64 = 3.0;
    const DATAGRAM: f64 = 512.0;
    const ENTRY: f64 = 128.0;
    let others = (size.routers as f64 - 1.0).clamp(0.0, TARGETS);
    // What is sent and what comes.
    vec![
        Value::new(Figure::MembershipBytes, 2.0 * others * DATAGRAM),
        Value::new(Figure::MembershipState, size.routers as f64 * ENTRY / MEGABYTE),
    ]
}
