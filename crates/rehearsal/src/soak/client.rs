//! Clients of the soak: they reuse connections, sometimes leave before the answer, and sometimes write a request in two
//! pieces.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chalkyard_proto::{Part, Side, StartLine};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::messages::Reader;
use super::plan::SoakPlan;
use super::process::RouterProcess;
use super::record::{Event, Record};

/// How long a client waits past its deadline before it closes the connection: any later answer is a violation anyway.
const WAIT_AFTER_DEADLINE: Duration = Duration::from_millis(1_500);
/// Longest duration of a stream.
const MAX_STREAM_DURATION: Duration = Duration::from_secs(12);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One client; state shared by all clients is behind `Arc`s.
pub struct Client {
    pub plan: Arc<SoakPlan>,
    pub routers: Vec<Arc<RouterProcess>>,
    pub record: Record,
    /// Number of the next request, counted over all clients.
    pub next: Arc<AtomicU64>,
    /// Index of the router preferred for 80 % of new connections.
    pub preferred_router: usize,
    pub rng: ChaCha8Rng,
}

/// A connection of one client; `used` once an answer was received on it.
struct Connection {
    stream: TcpStream,
    reader: Reader,
    router: usize,
    used: bool,
}

/// How the wait for an answer ended.
enum End {
    /// The answer was complete; the connection can be reused if `keep` is set.
    Complete { keep: bool },
    /// The router closed the connection or sent an invalid answer.
    Lost { begun: bool },
    /// The answer was not complete in time.
    TimedOut,
}

impl Client {
    /// Sends requests until the end of the scenario.
    pub async fn run(mut self) {
        let mut connection = None;
        let length = self.plan.length_ms * 1_000;
        while self.record.now_us() < length {
            connection = match self.reuse_or_connect(connection.take()).await {
                Some(open) => self.ask(open).await,
                None => {
                    sleep(Duration::from_millis(50)).await;
                    None
                }
            };
            let pause = self.rng.random_range(20..250);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Returns the open connection, in whatever state its router is, or a new one to a router that takes connections.
    async fn reuse_or_connect(&mut self, open: Option<Connection>) -> Option<Connection> {
        if open.is_some() {
            return open;
        }
        let takes = |r: &&Arc<RouterProcess>| r.open.load(Ordering::SeqCst);
        let uses_preferred = self.rng.random_bool(0.8);
        let preferred = self.routers.get(self.preferred_router).filter(takes).filter(|_| uses_preferred);
        let all: Vec<_> = self.routers.iter().filter(takes).collect();
        let router = preferred.or_else(|| all.choose(&mut self.rng).copied())?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(router.at)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, reader: Reader::new(Side::Response), router: router.index, used: false })
    }

    async fn ask(&mut self, mut connection: Connection) -> Option<Connection> {
        let (bytes, id, class) = self.request(connection.router);
        let plan = *self.plan.classes.get(class)?;
        if self.write(&mut connection.stream, &bytes).await.is_err() {
            return None;
        }
        let deadline = Duration::from_millis(plan.deadline_ms);
        self.record.add(Event::Asked {
            id: id.clone(),
            router: connection.router,
            class,
            repeat: plan.repeat,
            deadline_us: plan.deadline_ms * 1_000,
            first_on_connection: !connection.used,
        });
        let (leaves, share) = (self.rng.random_bool(0.06), self.rng.random_range(0.02..0.9));
        let leaves = leaves.then(|| deadline.mul_f64(share));
        if let Some(after) = leaves {
            return match timeout(after, self.answer(&mut connection, &id, deadline)).await {
                Ok(end) => self.next(connection, &id, end),
                Err(_) => {
                    drop(connection);
                    self.record.add(Event::ClientLeft { id });
                    None
                }
            };
        }
        let end = self.answer(&mut connection, &id, deadline).await;
        self.next(connection, &id, end)
    }

    fn next(&self, connection: Connection, id: &str, end: End) -> Option<Connection> {
        match end {
            End::Complete { keep } => {
                self.record.add(Event::AnswerEnded { id: id.to_owned() });
                keep.then_some(Connection { used: true, ..connection })
            }
            End::Lost { begun } => {
                self.record.add(Event::AnswerLost { id: id.to_owned(), begun });
                None
            }
            End::TimedOut => None,
        }
    }

    /// Draws a request; returns its bytes, its id and the index of its class.
    fn request(&mut self, router: usize) -> (Vec<u8>, String, usize) {
        let rng = &mut self.rng;
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let class = rng.random_range(0..self.plan.classes.len());
        let id = format!("q{router:02}-{number:06}");
        let tokens = if rng.random_bool(0.1) { 20 } else { rng.random_range(2_000..12_000) };
        let timeout = self.plan.classes.get(class).map_or(0, |c| c.deadline_ms);
        let body = r#"{"model":"chat","stream":true,"max_tokens":800,"messages":[]}"#;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Priority-Class: c{class}\r\n\
             X-Tenant-Id: acme\r\nX-Route-Key: {id}\r\nX-Timeout: {timeout}m\r\n\
             X-Attrs: prompt_len={tokens},max_out=800\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (head.into_bytes(), id, class)
    }

    /// Writes a request; one in ten is written in two pieces.
    async fn write(&mut self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        if self.rng.random_bool(0.1) {
            let cut = self.rng.random_range(1..bytes.len());
            let (first, second) = bytes.split_at(cut);
            stream.write_all(first).await?;
            sleep(Duration::from_millis(30)).await;
            return stream.write_all(second).await;
        }
        stream.write_all(bytes).await
    }

    async fn answer(&self, connection: &mut Connection, id: &str, deadline: Duration) -> End {
        let mut until = Instant::now() + deadline + WAIT_AFTER_DEADLINE;
        let (mut begun, mut keep) = (false, true);
        loop {
            match connection.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    begun = true;
                    keep = head.keep_alive;
                    if let StartLine::Response { status } = head.start {
                        self.record.add(Event::AnswerBegan { id: id.to_owned(), status });
                    }
                    until = Instant::now() + MAX_STREAM_DURATION;
                }
                Ok(Some(Part::Data(_))) => {}
                Ok(Some(Part::End)) => return End::Complete { keep },
                Err(_) => return End::Lost { begun },
                Ok(None) => {
                    let left = until.saturating_duration_since(Instant::now());
                    match timeout(left, connection.reader.fill(&connection.stream)).await {
                        Ok(Ok(true)) => {}
                        Ok(Ok(false) | Err(_)) => return End::Lost { begun },
                        Err(_) => return End::TimedOut,
                    }
                }
            }
        }
    }
}
