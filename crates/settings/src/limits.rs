//! `<bounds>` and `<waits>`: how much is held, and for how long.

use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, Timeouts};

use crate::values::Span;
use crate::xml::{Element, Errors};

/// Reads `<bounds>`.
pub fn bounds(e: &mut Element<'_, '_>, errors: &mut Errors) -> Bounds {
    let mut b = Bounds::default();
    let mut size = |name: &'static str, default: usize, least: u64| {
        let n = e.or(name, default as u64, errors);
        if n < least {
            e.wrong(Some(name), format!("{name} must be at least {least}"), errors);
        }
        usize::try_from(n).unwrap_or(usize::MAX)
    };
    b.client.start_line_bytes = size("start-line-bytes", b.client.start_line_bytes, 64);
    b.client.head_bytes = size("head-bytes", b.client.head_bytes, 1_024);
    b.client.body_bytes = size("body-bytes", b.client.body_bytes as usize, 1_024) as u64;
    b.client.chunk_bytes = size("chunk-bytes", b.client.chunk_bytes as usize, 1_024) as u64;
    b.client.pipelined_bytes = size("pipelined-bytes", b.client.pipelined_bytes, 1_024);
    b.engine.head_bytes = b.client.head_bytes;
    b.event_bytes = size("event-bytes", b.event_bytes, 1_024);
    b.answer_bytes = size("answer-bytes", b.answer_bytes, 1_024);
    b.clients = size("clients", b.clients, 1);
    b.open = size("open", b.open, 1);
    b.engine_connections = size("engine-connections", b.engine_connections, 1);
    b.engine_idle = size("engine-idle", b.engine_idle, 0);
    b.client_buffer = size("client-buffer", b.client_buffer, 4_096);
    b.workers = size("workers", b.workers, 1);
    b.identities = size("identities", b.identities, 1);
    b.call.messages = size("messages", b.call.messages, 1);
    b.call.prompt_tokens = size("prompt-tokens", b.call.prompt_tokens as usize, 1) as u64;
    b.call.max_tokens = size("max-tokens", b.call.max_tokens as usize, 1) as u64;
    e.done(errors);
    b
}

/// Reads `<waits>`.
pub fn timeouts(e: &mut Element<'_, '_>, errors: &mut Errors) -> Timeouts {
    let mut w = Timeouts::default();
    let mut span = |name: &'static str, value: &mut Micros| {
        *value = e.or(name, Span(*value), errors).0;
        if *value < Micros(1_000) {
            e.wrong(Some(name), format!("{name} must be at least 1ms"), errors);
        }
    };
    span("head", &mut w.head);
    span("idle", &mut w.idle);
    span("engine-idle", &mut w.engine_idle);
    span("connect", &mut w.connect);
    span("stream", &mut w.stream);
    span("slow-client", &mut w.slow_client);
    span("register", &mut w.discovery);
    span("reply-margin", &mut w.reply_margin);
    span("identity", &mut w.identity);
    // One span for a client that has not asked and one that has; small calls are answered as fast as connections stand.
    (w.first, w.release) = (w.idle, w.connect);
    e.done(errors);
    w
}
