//! Router processes of the soak: configuration, start, signals, end and logs.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};

use serde_json::{json, Value};

use super::plan::SoakPlan;
use super::record::{Event, Record};
use crate::shim;

/// Limit of open file descriptors of a router.
const MAX_DESCRIPTORS: u32 = 256;
const PORT: u16 = 5_000;

/// One router, over all incarnations of its process.
pub struct RouterProcess {
    pub index: usize,
    pub at: SocketAddr,
    /// Whether clients open new connections to the router.
    pub open: AtomicBool,
    exe: PathBuf,
    config: PathBuf,
    shim_library: PathBuf,
    system_faults: String,
    record: Record,
    child: Mutex<Option<Child>>,
}

/// A loopback address derived from the process id and the index, so that no outgoing connection can have taken the port.
fn unique_loopback_address(index: usize) -> SocketAddr {
    let pid = std::process::id();
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8, last), PORT))
}

impl RouterProcess {
    /// Creates a router without starting its process.
    pub fn new(
        index: usize,
        plan: &SoakPlan,
        exe: &Path,
        folder: &Path,
        shim_library: &Path,
        record: Record,
    ) -> Self {
        Self {
            index,
            at: unique_loopback_address(index),
            open: AtomicBool::new(false),
            exe: exe.to_owned(),
            config: folder.join(format!("router-{index}.json")),
            shim_library: shim_library.to_owned(),
            system_faults: plan.system.get(index).cloned().unwrap_or_default(),
            record,
            child: Mutex::default(),
        }
    }

    /// Writes the configuration file of the router.
    pub fn configure(&self, plan: &SoakPlan, agent: SocketAddr, known: &Value) -> std::io::Result<()> {
        std::fs::write(&self.config, config(self.index, plan, self.at, agent, known).to_string())
    }

    /// Starts a process of the router and a thread that reads its log.
    pub fn start(&self) -> std::io::Result<()> {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$0\" platform")]).arg(&self.exe);
        if !self.system_faults.is_empty() {
            command.env(shim::PRELOAD, &self.shim_library).env(shim::FAULTS, &self.system_faults);
        }
        command.env("GW_CONFIG", &self.config).env_remove("CHALKYARD_LOG");
        let command = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        if let Some(log) = child.stderr.take() {
            let (record, router) = (self.record.clone(), self.index);
            std::thread::Builder::new().spawn(move || read_log(log, &record, router))?;
        }
        self.record.add(Event::RouterStarted { router: self.index });
        *self.child() = Some(child);
        Ok(())
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child().as_ref() {
            // A failure means that the process has just ended, which `is_running` detects.
            let _ = Command::new("kill").args([name, &child.id().to_string()]).stderr(Stdio::null()).status();
        }
    }

    /// Kills the process if it is still running, and records its end.
    pub fn end(&self) {
        let Some(mut child) = self.child().take() else { return };
        let code = match child.try_wait() {
            Ok(Some(status)) => Some(status.code().unwrap_or(-1)),
            _ => {
                let _ = child.kill();
                let _ = child.wait();
                None
            }
        };
        self.record.add(Event::RouterEnded { router: self.index, killed: code.is_none(), code });
    }

    /// Whether the process is running. Records the end of a process that has exited by itself.
    pub fn is_running(&self) -> bool {
        let mut child = self.child();
        let ended = child.as_mut().and_then(|c| c.try_wait().ok().flatten());
        if let Some(status) = ended {
            *child = None;
            let code = Some(status.code().unwrap_or(-1));
            self.record.add(Event::RouterEnded { router: self.index, killed: false, code });
        }
        child.is_some()
    }

    /// Records the descriptors and the resident memory of the process.
    pub fn record_size(&self) {
        let Some(id) = self.child().as_ref().map(Child::id) else { return };
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let memory_kb = line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
        self.record.add(Event::Size { router: self.index, descriptors, memory_kb });
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Records the lines of a router's log, and the violations that they report.
fn read_log(log: std::process::ChildStderr, record: &Record, router: usize) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let entry: Value = serde_json::from_str(&line).unwrap_or_default();
        if entry.get("change").is_some_and(|c| c == "violation") {
            record.add(Event::ViolationLine { router, line: line.clone() });
        }
        if let Some(count) = entry.get("violations").and_then(Value::as_u64) {
            record.add(Event::Violations { router, count });
        }
        record.add(Event::Logged { router, line });
    }
}

/// The configuration of a router.
pub(super) fn config(
    index: usize,
    plan: &SoakPlan,
    at: SocketAddr,
    agent: SocketAddr,
    known: &Value,
) -> Value {
    let secs = |ms: u64| ms as f64 / 1e3;
    let class = |(i, c): (usize, &super::plan::ClassPlan)| {
        json!({"name": format!("c{i}"), "goal_time_s": 1.0, "deadline_s": secs(c.deadline_ms), "repeat": c.repeat.name(),
               "group": "all", "dedup_window_s": secs(plan.window_ms), "stream": true})
    };
    let classes: Vec<Value> = plan.classes.iter().enumerate().map(class).collect();
    json!({
        "name": format!("n{index}"), "listen": at.to_string(), "discovery": agent.to_string(),
        "seed": format!("{:016x}", plan.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ index as u64),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": MAX_DESCRIPTORS},
        "known": known,
        "settings": {
            "balancers": plan.routers, "categories": classes, "dcs": ["hall"],
            "discovery": if plan.pushed { "push" } else { "ask" }, "kinds": ["reads", "writes"],
            "reporting": {"how": "inline", "fields": ["load_share"]},
            "family_info": {"kv_tokens": [1e6, 1e6], "release_s": secs(plan.release_ms), "resume": false,
                            "self_prefill": plan.self_prefill, "role_by_kind": ["read", "write"]},
            "limits": {"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after_s": 1.0,
                       "conn_idle_s": 30.0, "connect_timeout_s": secs(plan.connect_ms)},
            "rules": {"answer_slack_s": 0.05, "cold_from": 0.3, "cold_s": 4.0, "fall_multiple": 3.0, "fall_s": 2.0,
                      "must_ask_in_s": 10.0},
            "tenants": [{"name": "acme", "allowance_per_s": 1000.0}], "tick_s": 0.002, "weights": "off",
        },
    })
}
