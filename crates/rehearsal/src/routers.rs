//! Routers under rehearsal: processes of their own, started and killed.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use std::sync::atomic::{AtomicU64, Ordering};

use socket2::{Domain, Socket, Type};

use crate::record::RetrySafety;
use crate::scenario::{Scenario, Sharing};

pub struct Routers {
    exe: PathBuf,
    folder: PathBuf,
    pub names: Vec<(String, SocketAddr)>,
    /// Keep the routers' addresses.
    _kept: Vec<Socket>,
    children: Vec<Option<Child>>,
    settlement: Option<Child>,
    /// Lives that were taken over from and end what they had taken.
    ending: Vec<(usize, Child)>,
    lives: u64,
}

/// An address kept for a router over its lives: bound here and never listened at, so that nobody else gets it, and
/// shared with the router.
fn keep_address() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

/// The key of the stand-in clients, and its hash under the salt of the settings below.
const SALT: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn settings(
    scenario: &Scenario,
    name: &str,
    listen: SocketAddr,
    register: SocketAddr,
    list: &str,
    key_hashes: &[String],
    folder: &Path,
) -> String {
    let f = &scenario.limits;
    let mut xml = format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="{name}" routers="{}" listen="{listen}" shared-port="true" register="{register}" list-file="{list}" drain="10s" control="{}/{name}.sock"/>
  <rules release="{}us" fall-multiple="{}" fall-after="{}us" cold-from="{}" cold-for="{}us"
         answer-slack="{}us" max-attempts="4" reports="in-answers" self-prefill="true"/>
  <waits stream="5s" slow-client="2s" register="5s"/>
  <zones><zone name="yard"/></zones>
  <kinds>
    <kind name="reader" role="reader" kv-tokens="200000"/>
    <kind name="writer" role="writer" kv-tokens="120000"/>
    <kind name="mixed" role="mixed" kv-tokens="160000"/>
  </kinds>
"#,
        scenario.told_routers.map_or(scenario.routers, |n| n as usize),
        folder.display(),
        f.release_us,
        f.fall_multiple,
        f.fall_us,
        f.cold_from,
        f.cold_us,
        f.slack_us
    );
    xml.push_str(&format!(
        "  <classes default=\"{}\">\n",
        scenario.classes.first().map_or("", |c| c.name.as_str())
    ));
    for c in &scenario.classes {
        let effect = match c.retry_safety {
            RetrySafety::Idempotent => "effect=\"free\"".to_owned(),
            RetrySafety::NonIdempotent => "effect=\"single-shot\"".to_owned(),
            RetrySafety::Deduplicated => {
                format!("effect=\"guarded\" group=\"cell\" dedup-window=\"{}us\"", c.deduplication_window_us)
            }
        };
        xml.push_str(&format!(
            "    <class name=\"{}\" aim=\"{}us\" aim-per-1000-tokens=\"{}us\" deadline=\"{}us\" {effect}/>\n",
            c.name, c.latency_objective_us, c.latency_objective_per_1000_us, c.deadline_us
        ));
    }
    xml.push_str("  </classes>\n");
    xml.push_str(&format!("  <tenants salt=\"{SALT}\">\n"));
    for ((tenant, _), hash) in keys(scenario).iter().zip(key_hashes) {
        xml.push_str(&format!("    <tenant name=\"{tenant}\"><key hash=\"{hash}\"/></tenant>\n"));
    }
    xml.push_str("  </tenants>\n");
    xml.push_str(&budgets(scenario, name, folder));
    xml.push_str("</chalkyard>\n");
    xml
}

/// Tenants and their keys.
fn keys(scenario: &Scenario) -> Vec<(&'static str, &'static str)> {
    match &scenario.budgets {
        Some(b) => b.tenants.iter().map(|t| (t.name, t.key)).collect(),
        None => vec![("yard", "rehearsal-key")],
    }
}

fn budgets(scenario: &Scenario, name: &str, folder: &Path) -> String {
    let Some(b) = &scenario.budgets else { return String::new() };
    let at = folder.display();
    let grants = match b.sharing {
        Sharing::Leases => format!("grants=\"{at}/journal/grants/{name}.grant\""),
        Sharing::Equal => "sharing=\"equal\"".into(),
        Sharing::Unreserved => "sharing=\"unreserved\"".into(),
    };
    let mut xml = format!(
        "  <budgets zone=\"Europe/Zurich\" ledger=\"{at}/{name}.ledger\" key-file=\"{at}/lease.key\" {grants} \
         margin=\"0.{:03}\" sync=\"20ms\">\n",
        b.margin
    );
    xml.push_str(&format!(
        "    <settlement journal=\"{at}/journal\" epoch=\"250ms\" lease=\"3s\" clock-error=\"100ms\">\n"
    ));
    for i in 1..=scenario.routers {
        xml.push_str(&format!("      <ledger router=\"r{i}\" folder=\"{at}/r{i}.ledger\"/>\n"));
    }
    xml.push_str("    </settlement>\n");
    for t in &b.tenants {
        if let Some(tokens) = t.tokens {
            let tenant = t.name;
            xml.push_str(&format!("    <budget tenant=\"{tenant}\" period=\"day\" tokens=\"{tokens}\"/>\n"));
        }
    }
    xml.push_str("  </budgets>\n");
    xml
}

impl Routers {
    pub fn new(scenario: &Scenario, exe: PathBuf, registers: &[SocketAddr]) -> io::Result<Self> {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("chalkyard-{}-{}-{run}", std::process::id(), scenario.seed));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("lease.key"), "5a".repeat(32))?;
        let (mut names, mut kept) = (Vec::new(), Vec::new());
        for i in 0..scenario.routers {
            let (socket, address) = keep_address()?;
            names.push((format!("r{}", i + 1), address));
            kept.push(socket);
        }
        let routers = Self {
            exe,
            folder,
            _kept: kept,
            children: names.iter().map(|_| None).collect(),
            names,
            settlement: None,
            ending: Vec::new(),
            lives: 0,
        };
        let first = registers.first().copied().ok_or(io::ErrorKind::InvalidInput)?;
        let none: Vec<String> = (0..keys(scenario).len()).map(|i| format!("{i:064}")).collect();
        let bare = settings(scenario, "r0", first, first, "none", &none, &routers.folder);
        let mut hashes = Vec::new();
        for (_, key) in keys(scenario) {
            hashes.push(routers.hash_key(&bare, key)?);
        }
        for (i, (name, listen)) in routers.names.iter().enumerate() {
            let register = registers.get(i).copied().unwrap_or(first);
            let list = routers.folder.join(format!("{name}.list"));
            let xml = settings(
                scenario,
                name,
                *listen,
                register,
                &list.display().to_string(),
                &hashes,
                &routers.folder,
            );
            std::fs::write(routers.folder.join(format!("{name}.xml")), xml)?;
        }
        Ok(routers)
    }

    /// The key's hash, by the program's own command, as an operator would make it.
    fn hash_key(&self, settings: &str, key: &str) -> io::Result<String> {
        let file = self.folder.join("hash.xml");
        std::fs::write(&file, settings)?;
        let mut child = Command::new(&self.exe)
            .arg("hash-key")
            .arg(&file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            io::Write::write_all(&mut stdin, format!("{key}\n").as_bytes())?;
        }
        let output = child.wait_with_output()?;
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    }

    pub fn start(&mut self, i: usize, seed: u64) -> io::Result<()> {
        self.begin(i, seed, &[])
    }

    /// Starts a successor that takes over.
    pub fn hand_over(&mut self, i: usize, seed: u64) -> io::Result<()> {
        if let Some(old) = self.children.get_mut(i).and_then(Option::take) {
            self.ending.push((i, old));
            return self.begin(i, seed, &["--take-over"]);
        }
        Ok(())
    }

    /// Sends a signal to a router by its process's id.
    pub fn signal(&self, i: usize, name: &str) -> io::Result<()> {
        if let Some(child) = self.children.get(i).and_then(Option::as_ref) {
            Command::new("kill").args([name, &child.id().to_string()]).status()?;
        }
        Ok(())
    }

    fn begin(&mut self, i: usize, seed: u64, extra: &[&str]) -> io::Result<()> {
        let Some((name, _)) = self.names.get(i) else { return Ok(()) };
        self.lives += 1;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.exe);
        command.arg("run").arg(self.folder.join(format!("{name}.xml"))).args(extra);
        command.arg("--seed").arg((seed.wrapping_mul(1_000) + self.lives).to_string());
        if std::env::var_os("CHALKYARD_KEEP").is_some() {
            command.arg("--decisions").arg(self.folder.join(format!("{name}-{}.decisions", self.lives)));
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        if let Some(place) = self.children.get_mut(i) {
            *place = Some(child);
        }
        Ok(())
    }

    /// The program's folder of this run: settings, ledgers, journal.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Whether this run has a settlement job, running or killed.
    pub fn settles(&self) -> bool {
        self.folder.join("settle.log").exists()
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        self.kill_settlement();
        for (_, mut child) in std::mem::take(&mut self.ending) {
            let _ = child.kill();
            let _ = child.wait();
        }
        for i in 0..self.children.len() {
            self.kill(i);
        }
    }

    pub fn start_settlement(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("settle.log"))?;
        let mut command = Command::new(&self.exe);
        command.arg("settle").arg(self.folder.join("r1.xml"));
        self.settlement = Some(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?);
        Ok(())
    }

    pub fn kill_settlement(&mut self) {
        if let Some(mut child) = self.settlement.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children.get_mut(i).and_then(Option::take) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Routers whose process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let mut failed = None;
        self.ending.retain_mut(|(i, child)| match child.try_wait() {
            Ok(None) => true,
            Ok(Some(status)) if status.success() => false,
            other => {
                failed = Some(format!("router r{} did not end well after its hand-over: {other:?}", *i + 1));
                false
            }
        });
        if failed.is_some() {
            return failed;
        }
        if let Some(status) = self.settlement.as_mut().and_then(|c| c.try_wait().ok().flatten()) {
            let log = self.folder.join("settle.log").display().to_string();
            return Some(format!("the settlement job ended by itself: {status}; its log: {log}"));
        }
        for (i, child) in self.children.iter_mut().enumerate() {
            if let Some(status) = child.as_mut().and_then(|c| c.try_wait().ok().flatten()) {
                let name = self.names.get(i).map_or("", |n| n.0.as_str());
                let log = self.folder.join(format!("{name}.log")).display().to_string();
                return Some(format!("router {name} ended by itself: {status}; its log: {log}"));
            }
        }
        None
    }

    /// Ends all; their files go unless something is to be looked into.
    pub fn finish(&mut self, keep: bool) {
        self.kill_settlement();
        for i in 0..self.children.len() {
            self.kill(i);
        }
        if keep || std::env::var_os("CHALKYARD_KEEP").is_some() {
            eprintln!("routers' settings and logs: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        self.stop();
    }
}

#[cfg(test)]
#[path = "routers_test.rs"]
mod tests;
