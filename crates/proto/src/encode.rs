//! Encodes messages as bytes.

use std::io::Write;

/// Initial capacity for the head of a message; most heads are shorter.
const HEAD_CAPACITY: usize = 256;

/// Appends a value with its control characters replaced. Otherwise a name that the peer chose, echoed in a header, could
/// end its line and inject another header.
fn push_text(out: &mut Vec<u8>, value: &str) {
    if !value.bytes().any(|b| b < b' ' || b == 0x7f) {
        return out.extend_from_slice(value.as_bytes());
    }
    out.extend(value.bytes().map(|b| if b < b' ' || b == 0x7f { b'_' } else { b }));
}

fn push_headers(out: &mut Vec<u8>, headers: &[(&str, &str)]) {
    for (name, value) in headers {
        push_text(out, name);
        out.extend_from_slice(b": ");
        push_text(out, value);
        out.extend_from_slice(b"\r\n");
    }
}

/// Encodes a request with its body, which may be empty.
pub fn request(method: &str, target: &str, host: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_CAPACITY + body.len());
    push_text(&mut out, method);
    out.push(b' ');
    push_text(&mut out, target);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    push_headers(&mut out, &[("host", host)]);
    push_headers(&mut out, fields);
    let _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
    out
}

/// Encodes a complete response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_CAPACITY + body.len());
    push_status_line(&mut out, status, keep_alive);
    push_headers(&mut out, fields);
    let _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
    out
}

/// Encodes the head of a chunked response.
pub fn chunked_head(status: u16, fields: &[(&str, &str)], keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_CAPACITY);
    push_status_line(&mut out, status, keep_alive);
    push_headers(&mut out, fields);
    out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    out
}

/// Appends one chunk. Empty data appends nothing, since an empty chunk would end the body.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if !data.is_empty() {
        let _ = write!(out, "{:x}\r\n", data.len());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
}

/// Last chunk of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Interim response to `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn push_status_line(out: &mut Vec<u8>, status: u16, keep_alive: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
