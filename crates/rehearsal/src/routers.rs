//! Routers under rehearsal: processes of their own, started and killed.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use std::sync::atomic::{AtomicU64, Ordering};

use socket2::{Domain, Socket, Type};

use crate::router_settings::{settings, tenant_keys, RouterSpec};
use crate::scenario::Scenario;

pub struct Routers {
    exe: PathBuf,
    folder: PathBuf,
    pub names: Vec<(String, SocketAddr)>,
    /// Keep the routers' addresses.
    _addresses: Vec<Socket>,
    children: Vec<Option<Child>>,
    settlement: Option<Child>,
    /// Processes that were replaced by successors and finish what they had accepted.
    draining: Vec<(usize, Child)>,
    incarnations: u64,
}

/// An address reserved for a router over its incarnations: bound here and never listened at, so that nobody else gets it, and
/// shared with the router.
fn reserve_address() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

impl Routers {
    pub fn new(scenario: &Scenario, exe: PathBuf, discovery: &[SocketAddr]) -> io::Result<Self> {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("chalkyard-{}-{}-{run}", std::process::id(), scenario.seed));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("lease.key"), "5a".repeat(32))?;
        let (mut names, mut addresses) = (Vec::new(), Vec::new());
        for i in 0..scenario.routers {
            let (socket, address) = reserve_address()?;
            names.push((format!("r{}", i + 1), address));
            addresses.push(socket);
        }
        let routers = Self {
            exe,
            folder,
            _addresses: addresses,
            children: names.iter().map(|_| None).collect(),
            names,
            settlement: None,
            draining: Vec::new(),
            incarnations: 0,
        };
        routers.write_settings(scenario, discovery)?;
        Ok(routers)
    }

    /// Writes the settings of all routers. Clients' keys are hashed by the program itself, which needs settings for that.
    fn write_settings(&self, scenario: &Scenario, discovery: &[SocketAddr]) -> io::Result<()> {
        let first = discovery.first().copied().ok_or(io::ErrorKind::InvalidInput)?;
        let keys = tenant_keys(scenario);
        let no_hashes: Vec<String> = (0..keys.len()).map(|i| format!("{i:064}")).collect();
        let mut spec = RouterSpec {
            name: "r0",
            listen: first,
            discovery: first,
            list_file: "none",
            key_hashes: &no_hashes,
            folder: &self.folder,
        };
        let without_hashes = settings(scenario, &spec);
        let mut hashes = Vec::with_capacity(keys.len());
        for (_, key) in keys {
            hashes.push(self.hash_key(&without_hashes, key)?);
        }
        spec.key_hashes = &hashes;
        for (i, (name, listen)) in self.names.iter().enumerate() {
            let list_file = self.folder.join(format!("{name}.list")).display().to_string();
            let discovery = discovery.get(i).copied().unwrap_or(first);
            let spec = RouterSpec { name, listen: *listen, discovery, list_file: &list_file, ..spec };
            std::fs::write(self.folder.join(format!("{name}.xml")), settings(scenario, &spec))?;
        }
        Ok(())
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
            self.draining.push((i, old));
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
        self.incarnations += 1;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.exe);
        command.arg("run").arg(self.folder.join(format!("{name}.xml"))).args(extra);
        command.arg("--seed").arg((seed.wrapping_mul(1_000) + self.incarnations).to_string());
        if std::env::var_os("CHALKYARD_KEEP").is_some() {
            command
                .arg("--decisions")
                .arg(self.folder.join(format!("{name}-{}.decisions", self.incarnations)));
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
        for (_, mut child) in std::mem::take(&mut self.draining) {
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
        self.draining.retain_mut(|(i, child)| match child.try_wait() {
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
