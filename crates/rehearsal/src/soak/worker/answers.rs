//! How a simulated worker answers calls: prefills, decodes, releases, and fault answers during a fault.

use super::*;

impl Worker {
    pub(super) async fn answer(&self, exchange: &Exchange<'_>, message: &Message) -> io::Result<()> {
        let (method, target) = message.request();
        if method == "DELETE" {
            let id = target.rsplit('/').next().unwrap_or_default();
            lock(&self.states.reservations).remove(id);
            self.record.add(Event::Released { id: id.to_owned() });
            return self.send(exchange, b"HTTP/1.1 204 No Content\r\n\r\n").await;
        }
        if has_ended(exchange.stream) {
            // The router has abandoned the call.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let id = message.field("x-request-id").to_owned();
        let timeout = message.field("x-timeout");
        let timeout_us = timeout.strip_suffix('u').and_then(|t| t.parse().ok());
        let timeout_us =
            timeout_us.or(timeout.strip_suffix('m').and_then(|t| t.parse::<u64>().ok()).map(|m| m * 1_000));
        let after_hang = self.hung_recently();
        self.record.add(Event::Arrived {
            id: id.clone(),
            worker: self.index,
            role: self.role,
            timeout_us,
            after_hang,
        });
        let _guard = AttemptGuard { worker: self, id: id.clone() };
        let fault = *lock(&self.answer_fault);
        let fault = fault.filter(|_| self.draw(|rng| rng.random_bool(FAULT_PROBABILITY)));
        if let Some(how) = fault.filter(|how| *how != Answering::Broken) {
            return self.answer_faulty(exchange, &id, how).await;
        }
        let tokens = prompt_tokens(message);
        match self.role {
            WorkerRole::Reader => self.read_prompt(exchange, &id, tokens).await?,
            WorkerRole::Writer => self.write_answer(exchange, message, &id, tokens, fault).await?,
        }
        if exchange.control.mute.load(Ordering::SeqCst) {
            // The answer is never sent: the attempt stays in flight until the router abandons it.
            wait_for_close(exchange.stream).await;
        }
        Ok(())
    }

    async fn answer_faulty(&self, exchange: &Exchange<'_>, id: &str, how: Answering) -> io::Result<()> {
        let counts_as_run = self.role == WorkerRole::Writer && how != Answering::TurnedAway;
        if counts_as_run {
            self.run(id, Repeat::SingleShot);
        }
        match how {
            Answering::TurnedAway => self.send(exchange, TURNED_AWAY).await,
            Answering::Unmarked => self.send(exchange, UNMARKED).await,
            Answering::Spoilt => {
                self.send(exchange, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n").await?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Answering::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            Answering::Error | Answering::Broken => self.send(exchange, INTERNAL_ERROR).await,
        }
    }

    /// Waits for the processing time in ms, multiplied by the slowdown; fails if the router closes the connection.
    async fn work(&self, exchange: &Exchange<'_>, millis: u64) -> io::Result<()> {
        let span = Duration::from_millis(millis.saturating_mul(self.slowdown.load(Ordering::SeqCst)));
        tokio::select! {
            () = sleep(span) => {}
            () = wait_for_close(exchange.stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        self.wait_until_running().await;
        if has_ended(exchange.stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    async fn read_prompt(&self, exchange: &Exchange<'_>, id: &str, tokens: u64) -> io::Result<()> {
        self.work(exchange, 5 + tokens / PREFILL_TOKENS_PER_MS).await?;
        lock(&self.states.reservations).entry(id.to_owned()).or_default().insert(self.index);
        self.record.add(Event::Reserved { id: id.to_owned(), worker: self.index });
        self.send(exchange, PREFILL_ANSWER).await
    }

    /// Records the execution of a request; a repeat of a guarded request within the deduplication window is discarded.
    fn run(&self, id: &str, repeat: Repeat) {
        let now = self.record.now_us();
        let mut executions = lock(&self.states.executions);
        let first = executions.get(id).copied();
        let discards =
            repeat == Repeat::Guarded && first.is_some_and(|first| now < first + self.plan.window_ms * 1_000);
        if discards {
            return;
        }
        executions.entry(id.to_owned()).or_insert(now);
        self.record.add(Event::Ran { id: id.to_owned(), worker: self.index });
    }

    async fn write_answer(
        &self,
        exchange: &Exchange<'_>,
        message: &Message,
        id: &str,
        tokens: u64,
        fault: Option<Answering>,
    ) -> io::Result<()> {
        let pulled = lock(&self.states.reservations).remove(id).is_some();
        if pulled {
            self.record.add(Event::Fetched { id: id.to_owned() });
        } else if !self.plan.self_prefill {
            return self.send(exchange, NO_STATE).await;
        }
        let class = message.field("x-priority-class").strip_prefix('c').and_then(|c| c.parse::<usize>().ok());
        let repeat = class.and_then(|c| self.plan.classes.get(c)).map_or(Repeat::SingleShot, |c| c.repeat);
        self.run(id, repeat);
        let reading = if pulled { 0 } else { tokens / PREFILL_TOKENS_PER_MS };
        self.work(exchange, 10 + reading).await?;
        self.send(exchange, STREAM_HEAD).await?;
        let events = self.draw(|rng| rng.random_range(2..=6));
        for number in 0..events {
            if fault == Some(Answering::Broken) && number == events / 2 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.send(exchange, &chunk(STREAM_EVENT)).await?;
            self.work(exchange, 15).await?;
        }
        self.send(exchange, &[chunk(STREAM_TAIL), b"0\r\n\r\n".to_vec()].concat()).await?;
        // An answer on a mute connection was discarded and is not recorded as written.
        if !exchange.control.mute.load(Ordering::SeqCst) {
            self.record.add(Event::Written { id: id.to_owned(), worker: self.index });
        }
        Ok(())
    }
}

/// Waits until the other side has closed or reset the connection.
async fn wait_for_close(stream: &TcpStream) {
    while !has_ended(stream) {
        // Waiting for readiness would return at once while unread bytes are pending, so the state is polled.
        sleep(Duration::from_millis(3)).await;
    }
}

/// Whether the other side has closed or reset the connection; unread bytes hide a close.
fn has_ended(stream: &TcpStream) -> bool {
    let mut buffer = [std::mem::MaybeUninit::uninit(); 1];
    match socket2::SockRef::from(stream).peek(&mut buffer) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

fn prompt_tokens(message: &Message) -> u64 {
    let attributes = message.field("x-attrs");
    let length = attributes.split(',').find_map(|a| a.strip_prefix("prompt_len="));
    length.and_then(|l| l.parse().ok()).unwrap_or(0)
}

fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

const PREFILL_ANSWER: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
const NO_STATE: &[u8] = b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const UNMARKED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const INTERNAL_ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const STREAM_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const STREAM_TAIL: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":2,\
                    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
