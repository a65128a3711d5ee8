//! Simulated discovery agents, one per router, and the worker list that they serve.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkyard_proto::Side;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use super::messages::Reader;
use super::plan::WorkerRole;
use super::record::{Event, Record};

/// The lifecycle phase of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The worker takes new work.
    Up,
    /// The worker finishes the work that it has.
    Draining,
    /// The worker is no longer listed.
    Removed,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

#[derive(Debug, Clone)]
struct Member {
    name: String,
    role: WorkerRole,
    at: SocketAddr,
    phase: Phase,
    up_since_ms: u64,
    revision: u64,
}

/// The list of workers.
#[derive(Debug, Clone)]
pub struct List {
    members: Arc<Mutex<Vec<Member>>>,
    revision: watch::Sender<u64>,
}

const FIRST_REVISION: u64 = 40;

impl List {
    /// Creates a list in which all workers are up and have been so for long.
    pub fn new(workers: &[(String, WorkerRole, SocketAddr)]) -> Self {
        let member = |(name, role, at): &(String, WorkerRole, SocketAddr)| Member {
            name: name.clone(),
            role: *role,
            at: *at,
            phase: Phase::Up,
            up_since_ms: 0,
            revision: FIRST_REVISION,
        };
        let members = workers.iter().map(member).collect();
        Self { members: Arc::new(Mutex::new(members)), revision: watch::Sender::new(FIRST_REVISION) }
    }

    /// Sets the phase of a worker; a worker that is set to `Up` has just started.
    pub fn change(&self, worker: usize, phase: Phase) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let next = *self.revision.borrow() + 1;
        if let Some(member) = members.get_mut(worker) {
            (member.phase, member.revision) = (phase, next);
            if phase == Phase::Up {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                member.up_since_ms = unix.as_millis() as u64;
            }
        }
        drop(members);
        self.revision.send_replace(next);
    }

    /// Returns the whole list, or the changes after a revision, and for each listed worker whether it takes work.
    pub fn entries(&self, after: Option<u64>) -> (Value, Vec<(usize, bool)>) {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = |m: &Member| match after {
            Some(after) => m.revision > after,
            None => m.phase != Phase::Removed,
        };
        let named: Vec<(usize, &Member)> = members.iter().enumerate().filter(|(_, m)| wanted(m)).collect();
        let entry = |m: &Member| {
            json!({"id": m.name, "host_port": m.at.to_string(), "locality": "hall", "cell": 1, "size": 1.0,
                   "flavor": if m.role == WorkerRole::Reader { "reads" } else { "writes" },
                   "phase": m.phase.name(), "up_since_ms": m.up_since_ms})
        };
        let entries: Vec<Value> = named.iter().map(|(_, m)| entry(m)).collect();
        let takes = named.iter().map(|(i, m)| (*i, m.phase == Phase::Up)).collect();
        let list =
            json!({"revision": *self.revision.borrow(), "complete": after.is_none(), "members": entries});
        (list, takes)
    }
}

/// The discovery agent of one router.
pub struct Agent {
    pub at: SocketAddr,
    router: usize,
    list: List,
    record: Record,
    silent: watch::Sender<u32>,
    /// The last notification for each worker: whether it takes work.
    notified: Mutex<BTreeMap<usize, bool>>,
}

impl Agent {
    /// Starts an agent that listens on an unused port.
    pub async fn start(router: usize, list: List, record: Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let silent = watch::Sender::new(0);
        let agent = Arc::new(Self { at, router, list, record, silent, notified: Mutex::default() });
        let shared = agent.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let agent = shared.clone();
                tokio::spawn(async move { agent.serve(stream).await });
            }
        });
        Ok(agent)
    }

    /// Stops or resumes answering; calls received while silent stay unanswered.
    pub fn silence(&self, silent: bool) {
        self.silent.send_modify(|n| *n = if silent { *n + 1 } else { n.saturating_sub(1) });
    }

    /// Records changes of the notifications that the router received.
    pub fn record_notification(&self, takes: &[(usize, bool)]) {
        let mut notified = self.notified.lock().unwrap_or_else(PoisonError::into_inner);
        for (worker, takes_work) in takes {
            if notified.insert(*worker, *takes_work) != Some(*takes_work) {
                let (router, worker, takes_work) = (self.router, *worker, *takes_work);
                self.record.add(Event::Notified { router, worker, takes_work });
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(Side::Request);
        loop {
            let message = loop {
                if let Some(message) = reader.next()? {
                    break message;
                }
                if !reader.fill(&stream).await? {
                    return Ok(());
                }
            };
            let (_, target) = message.request();
            let number = |name: &str| {
                let from = target.find(name)? + name.len();
                target.get(from..)?.split('&').next()?.parse::<u64>().ok()
            };
            let after = number("after=");
            let until = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or(0));
            if let Some(after) = after {
                let mut revision = self.list.revision.subscribe();
                tokio::select! {
                    _ = revision.wait_for(|now| *now > after) => {}
                    () = sleep_until(until) => {}
                }
            }
            if *self.silent.borrow() > 0 {
                std::future::pending::<()>().await;
            }
            let (list, takes) = self.list.entries(after);
            let body = list.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await?;
            self.record_notification(&takes);
        }
    }
}
