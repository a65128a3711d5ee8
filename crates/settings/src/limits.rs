//! `<bounds>` and `<waits>`: size limits and timeouts.

use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, Timeouts};

use crate::values::TimeSpan;
use crate::xml::{Element, Errors};

/// Reads `<bounds>`.
pub fn bounds(element: &mut Element<'_, '_>, errors: &mut Errors) -> Bounds {
    let mut bounds = Bounds::default();
    let mut size = |name: &'static str, default: usize, least: u64| {
        let value = element.with_default(name, default as u64, errors);
        if value < least {
            element.report(Some(name), format!("{name} must be at least {least}"), errors);
        }
        usize::try_from(value).unwrap_or(usize::MAX)
    };
    bounds.client.start_line_bytes = size("start-line-bytes", bounds.client.start_line_bytes, 64);
    bounds.client.head_bytes = size("head-bytes", bounds.client.head_bytes, 1_024);
    bounds.client.body_bytes = size("body-bytes", bounds.client.body_bytes as usize, 1_024) as u64;
    bounds.client.chunk_bytes = size("chunk-bytes", bounds.client.chunk_bytes as usize, 1_024) as u64;
    bounds.client.pipelined_bytes = size("pipelined-bytes", bounds.client.pipelined_bytes, 1_024);
    bounds.worker.head_bytes = bounds.client.head_bytes;
    bounds.event_bytes = size("event-bytes", bounds.event_bytes, 1_024);
    bounds.answer_bytes = size("answer-bytes", bounds.answer_bytes, 1_024);
    bounds.clients = size("clients", bounds.clients, 1);
    bounds.open_requests = size("open", bounds.open_requests, 1);
    bounds.connections_per_worker = size("engine-connections", bounds.connections_per_worker, 1);
    bounds.idle_per_worker = size("engine-idle", bounds.idle_per_worker, 0);
    bounds.client_buffer = size("client-buffer", bounds.client_buffer, 4_096);
    bounds.workers = size("workers", bounds.workers, 1);
    bounds.identities = size("identities", bounds.identities, 1);
    bounds.call.messages = size("messages", bounds.call.messages, 1);
    bounds.call.prompt_tokens = size("prompt-tokens", bounds.call.prompt_tokens as usize, 1) as u64;
    bounds.call.max_tokens = size("max-tokens", bounds.call.max_tokens as usize, 1) as u64;
    element.finish(errors);
    bounds
}

/// Reads `<waits>`.
pub fn timeouts(element: &mut Element<'_, '_>, errors: &mut Errors) -> Timeouts {
    let mut timeouts = Timeouts::default();
    let mut span = |name: &'static str, value: &mut Micros| {
        *value = element.with_default(name, TimeSpan(*value), errors).0;
        if *value < Micros(1_000) {
            element.report(Some(name), format!("{name} must be at least 1ms"), errors);
        }
    };
    span("head", &mut timeouts.request);
    span("idle", &mut timeouts.idle);
    span("engine-idle", &mut timeouts.worker_idle);
    span("connect", &mut timeouts.connect);
    span("stream", &mut timeouts.stream);
    span("slow-client", &mut timeouts.slow_client);
    span("register", &mut timeouts.discovery);
    span("reply-margin", &mut timeouts.reply_margin);
    span("identity", &mut timeouts.identity);
    // A connection may stay idle as long before its first request as between requests.
    timeouts.first_request = timeouts.idle;
    // A drain leaves clients the usual time; requests that are unfinished at its end are rejected.
    timeouts.drain_receive = timeouts.request;
    // Release calls are small: engines answer them as quickly as they accept a connection.
    timeouts.release = timeouts.connect;
    element.finish(errors);
    timeouts
}
