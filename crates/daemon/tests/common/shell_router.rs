//! A router's shell in a thread of the test, whose sink stands still where a test says so: what arrives meanwhile arrives
//! in the middle of a turn of the loop.

use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use chalkyard_platform::StartupConfig;
use chalkyard_router::shell::{Clock, Handle, ListenAddress, Shell, Sink};
use chalkyard_router::{Core, RequestRecord};
use chalkyard_state::{LifecycleEvent, LifecycleTimeouts};

use crate::peers::{ask, config, own_address, wait, Agent, Setting, PATIENCE};

/// Begins the ids of requests at whose end the loop stands still, with the time in ms behind it.
const STALL: &str = "stall-";

/// The id of a request that is turned away, and at whose end the loop stands still for so long.
pub fn stalling(millis: u64, number: usize) -> String {
    format!("{STALL}{millis}-{number}")
}

/// A call that is turned away at once, for its class.
pub fn turned_away_call(id: &str) -> Vec<u8> {
    ask(id, "no-such-class", 20)
}

struct StallingSink;

impl Sink for StallingSink {
    fn finished(&mut self, record: RequestRecord) {
        let stall = record.id.strip_prefix(STALL).and_then(|rest| rest.split('-').next()?.parse().ok());
        std::thread::sleep(Duration::from_millis(stall.unwrap_or(0)));
    }

    fn note(&mut self, _what: &str, _text: &str) {}

    fn store_endpoint_list(&mut self, _text: &str) {}
}

/// A router in a thread.
pub struct ShellRouter {
    pub at: SocketAddr,
    handle: Handle,
    thread: Option<JoinHandle<()>>,
}

impl ShellRouter {
    pub fn start(agent: &Agent, setting: &Setting) -> Self {
        let at = own_address();
        let started = StartupConfig::parse(&config(at, agent, setting).to_string()).unwrap();
        let clock = Clock::new();
        let core = Core::new(started.config, 7, clock.now());
        let timeouts =
            LifecycleTimeouts { endpoint_wait: 3_000_000, lame_duck: 0, drain: 5_000_000, flush: 200_000 };
        let address = ListenAddress::bind(at, false).unwrap();
        let mut shell = Shell::new(core, StallingSink, clock, address, timeouts).unwrap();
        shell.set_max_lingering(started.max_lingering);
        let (handle, known) = (shell.handle(), started.last_endpoint_list);
        let thread = std::thread::spawn(move || {
            shell.run(known.as_deref()).unwrap();
        });
        let router = Self { at, handle, thread: Some(thread) };
        wait("a router that listens", || TcpStream::connect(at).ok());
        router
    }

    pub fn connect(&self) -> TcpStream {
        let s = TcpStream::connect(self.at).unwrap();
        s.set_nodelay(true).unwrap();
        s.set_read_timeout(Some(PATIENCE)).unwrap();
        s
    }

    pub fn terminate(&self) {
        assert!(self.handle.notify(LifecycleEvent::Terminate));
    }
}

impl Drop for ShellRouter {
    fn drop(&mut self) {
        // Told twice, it ends at once.
        self.handle.notify(LifecycleEvent::Terminate);
        self.handle.notify(LifecycleEvent::Terminate);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
