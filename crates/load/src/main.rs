//! `chalkyard-load`: what a router carries, against a bare byte relay of ours on the same stand-ins in the
//! same run. Kept out of CI: its figures depend on the machine and are meant as ratios.
//!
//! Engines here answer at once with canned bytes, so that the router is what is measured. The router and
//! the relay run as processes pinned to one core, the engines to another; clients run on what is left.

mod budgets;
mod canned;
mod clients;
mod relay;
mod scale;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};

use clients::{Outcome, Plan, Style};

#[derive(Debug, Parser)]
#[command(version, about = "Load on a router and on a bare byte relay, as ratios in one run")]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Run the bare byte relay: bytes of each connection to one engine and back.
    Relay {
        /// Where clients connect.
        listen: SocketAddr,
        /// The engine.
        engine: SocketAddr,
    },
    /// Run the canned engines.
    Engines {
        /// Where they listen.
        listen: SocketAddr,
    },
    /// Measure what budgets cost: decisions, ledger, recovery, and a router with and without them.
    Budgets {
        /// The `chalkyard` program.
        #[arg(long, default_value = "target/release/chalkyard")]
        router: PathBuf,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=60))]
        seconds: u64,
        /// Connections of the closed loop.
        #[arg(long, default_value_t = 64)]
        connections: usize,
        /// Records to recover from.
        #[arg(long, default_value_t = 10_000_000, value_parser = clap::value_parser!(u64).range(1_000..=50_000_000))]
        records: u64,
    },
    /// Measure each role of a large fleet at parts of its size: slopes, and the part at which each budget breaks.
    Scale(scale::Arguments),
    /// One part of it at one size, in this process.
    #[command(hide = true)]
    ScaleOne(scale::OneArguments),
    /// Measure: requests and events a second, added time to first token, memory of open streams.
    Compare {
        /// The `chalkyard` program.
        #[arg(long, default_value = "target/release/chalkyard")]
        router: PathBuf,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=60))]
        seconds: u64,
        /// Connections of the closed loop.
        #[arg(long, default_value_t = 64)]
        connections: usize,
        /// Open streams of the memory measurement.
        #[arg(long, default_value_t = 10_000)]
        streams: usize,
    },
}

type Error = Box<dyn std::error::Error>;

/// Counts what is allocated: memory of a state is told in bytes that are the same every time.
#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// A process on one core, ended with its owner.
struct Pinned(Child);

impl Pinned {
    fn start(program: &PathBuf, args: &[&str], at: SocketAddr, core: &str) -> Result<Self, Error> {
        let mut command = Command::new("taskset");
        command.args(["-c", core]).arg(program).args(args).env("CHALKYARD_LOG", "off");
        let child = Self(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
        let start = Instant::now();
        while TcpStream::connect(at).is_err() {
            if start.elapsed() > Duration::from_secs(5) {
                return Err(format!("{} did not come up at {at}", program.display()).into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(child)
    }

    /// CPU so far in clock ticks (user, system), and resident memory in KiB.
    fn used(&self) -> Result<(u64, u64, u64), Error> {
        let folder = format!("/proc/{}", self.0.id());
        let stat = std::fs::read_to_string(format!("{folder}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let tick = |i: usize| fields.get(i).and_then(|f| f.parse().ok()).unwrap_or(0);
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        let rss =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")).and_then(|l| l.split_whitespace().next());
        Ok((tick(11), tick(12), rss.and_then(|r| r.parse().ok()).unwrap_or(0)))
    }
}

impl Drop for Pinned {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free() -> Result<SocketAddr, Error> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// A router's settings, with further parts.
fn settings(listen: SocketAddr, engine: SocketAddr, parts: &str) -> String {
    format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="{listen}"/>
  <rules self-prefill="false" reports="off"/>
  <bounds engine-connections="40000" engine-idle="1024" clients="40000" open="40000"/>
  <waits stream="60s" idle="2min" connect="2s"/>
  <kinds><kind name="reader" role="reader"/><kind name="writer" role="writer"/></kinds>
  <classes default="help"><class name="help" aim="20s" deadline="60s" effect="free"/></classes>
  {parts}
  <engines><engine id="read" kind="reader" address="{engine}"/><engine id="write" kind="writer" address="{engine}"/></engines>
</chalkyard>
"#
    )
}

fn line(name: &str, router: f64, relay: f64, unit: &str) {
    println!("{name}: router {router:.0}, relay {relay:.0} {unit}; ratio {:.2}", router / relay.max(1e-9));
}

fn compare(program: &PathBuf, seconds: u64, connections: usize, streams: usize) -> Result<(), Error> {
    let own = std::env::current_exe()?;
    let engine = free()?;
    let _engines = Pinned::start(&own, &["engines", &engine.to_string()], engine, "1")?;
    let folder = std::env::temp_dir().join(format!("chalkyard-load-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("r1.xml");
    let (router_at, relay_at) = (free()?, free()?);
    std::fs::write(&file, settings(router_at, engine, ""))?;
    let relay_args = ["relay".to_owned(), relay_at.to_string(), engine.to_string()];
    let relay_args: Vec<&str> = relay_args.iter().map(String::as_str).collect();
    let router_args = ["run", file.to_str().ok_or("path")?];
    let plan = |style, events, rate| Plan { style, events, rate, seconds, connections };
    let run = |style, events, rate| -> Result<(Outcome, (u64, u64, u64)), Error> {
        let (process, at) = match style {
            Style::Messages => (Pinned::start(program, &router_args, router_at, "0")?, router_at),
            _ => (Pinned::start(&own, &relay_args, relay_at, "0")?, relay_at),
        };
        let before = process.used()?;
        let outcome = clients::run(at, &plan(style, events, rate))?;
        let after = process.used()?;
        Ok((outcome, (after.0 - before.0, after.1 - before.1, after.2)))
    };
    println!(
        "connections {connections}, {seconds} s a measurement; router and relay on one core each by itself"
    );
    let (router, cpu) = run(Style::Messages, 2, None)?;
    let (relay, relay_cpu) = run(Style::TwoExchanges, 2, None)?;
    line(
        "two-stage requests a second",
        router.rate(),
        relay.rate(),
        "(relay: both exchanges of each request)",
    );
    let per = |ticks: u64, o: &Outcome| ticks as f64 * 10_000.0 / o.requests.max(1) as f64;
    println!(
        "CPU per two-stage request, µs: router user {:.1}, system {:.1}; relay user {:.1}, system {:.1}",
        per(cpu.0, &router),
        per(cpu.1, &router),
        per(relay_cpu.0, &relay),
        per(relay_cpu.1, &relay)
    );
    // Engines and clients can be what limits these: what the process itself could carry is told by its CPU.
    let (router_events, cpu) = run(Style::Messages, 200, None)?;
    let (relay_events, relay_cpu) = run(Style::OneExchange, 200, None)?;
    line(
        "events a second, as carried",
        router_events.events_rate(),
        relay_events.events_rate(),
        "(sent singly, 200 an answer)",
    );
    let a_cpu_second = |o: &Outcome, ticks: (u64, u64, u64)| {
        o.requests as f64 * 200.0 * 100.0 / (ticks.0 + ticks.1).max(1) as f64
    };
    line(
        "events a CPU second",
        a_cpu_second(&router_events, cpu),
        a_cpu_second(&relay_events, relay_cpu),
        "",
    );
    let half = router.rate() / 2.0;
    let (loaded, _) = run(Style::Messages, 2, Some(half))?;
    let direct = clients::run(engine, &plan(Style::TwoExchanges, 2, Some(half)))?;
    let (a, b) = (loaded.first_ms(), direct.first_ms());
    println!(
        "TTFT at {half:.0} requests a second, ms: router p50 {:.3} p99 {:.3}; direct p50 {:.3} p99 {:.3}; added p50 {:.3} p99 {:.3}",
        a.0, a.1, b.0, b.1, a.0 - b.0, a.1 - b.1
    );
    println!(
        "answered: {} and {}, not answered: {} and {}",
        loaded.requests, direct.requests, loaded.failed, direct.failed
    );
    let process = Pinned::start(program, &router_args, router_at, "0")?;
    let before = process.used()?.2;
    let open = clients::hold_open(router_at, streams)?;
    let after = process.used()?.2;
    println!(
        "memory: {} open streams, {before} -> {after} KiB, {:.1} KiB a stream",
        open.len(),
        after.saturating_sub(before) as f64 / open.len().max(1) as f64
    );
    drop(open);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Task::Engines { listen } => canned::run(listen).map_err(Error::from),
        Task::Relay { listen, engine } => relay::run(listen, engine).map_err(Error::from),
        Task::Budgets { router, seconds, connections, records } => {
            budgets::run(&router, seconds, connections, records)
        }
        Task::Scale(arguments) => scale::run(&arguments),
        Task::ScaleOne(arguments) => scale::one(&arguments),
        Task::Compare { router, seconds, connections, streams } => {
            compare(&router, seconds, connections, streams)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chalkyard-load: {e}");
            ExitCode::FAILURE
        }
    }
}
