//! Tests of rejected request heads and their error texts, which are part of the platform's protocol.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use common::*;

/// Returns status and body of the answer to a request with these headers.
fn answer(fields: &[(&str, &str)]) -> (u16, String) {
    let mut h = harness();
    let client = h.client();
    h.bytes(client, &request(fields));
    let status = first_status(&h, client).expect("an answer");
    let raw = String::from_utf8(h.raw(client).to_vec()).unwrap();
    (status, raw.split_once("\r\n\r\n").unwrap().1.to_owned())
}

/// Returns the default headers with the value of one changed; an empty value removes the header.
fn headers_with<'a>(name: &'a str, value: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut headers = default_headers("a", "chat");
    let position = headers.iter().position(|(n, _)| *n == name).unwrap();
    if value.is_empty() {
        headers.remove(position);
    } else {
        headers[position].1 = value;
    }
    headers
}

#[test]
fn invalid_head_is_rejected_with_header_and_text() {
    let long = "x".repeat(129);
    let cases: [(&str, &str, &str); 16] = [
        ("X-Request-ID", "", "X-Request-ID: missing"),
        ("X-Request-ID", "a b", "X-Request-ID: not one word of at most 128 characters"),
        ("X-Request-ID", &long, "X-Request-ID: not one word of at most 128 characters"),
        ("X-Request-ID", "a/b", "X-Request-ID: only letters, digits, `-`, `_` and `.`"),
        ("X-Priority-Class", "", "X-Priority-Class: missing"),
        ("X-Priority-Class", "chatter", "X-Priority-Class: no such class"),
        ("X-Tenant-Id", "", "X-Tenant-Id: missing"),
        ("X-Tenant-Id", "nobody", "X-Tenant-Id: no such tenant"),
        ("X-Route-Key", "a b", "X-Route-Key: not one word of at most 128 characters"),
        ("X-Timeout", "", "X-Timeout: missing"),
        ("X-Timeout", "4800", "X-Timeout: not a number with `m` or `u`"),
        ("X-Timeout", "+4m", "X-Timeout: not a number with `m` or `u`"),
        ("X-Attrs", "prompt_len", "X-Attrs: not name=value"),
        ("X-Attrs", "prompt_len=many", "X-Attrs: `prompt_len` is no number of tokens"),
        ("X-Attrs", "max_out=4294967297", "X-Attrs: `max_out` is no number of tokens"),
        ("X-Attrs", "prefix=a b", "X-Attrs: prefix: not one word of at most 128 characters"),
    ];
    for (name, value, text) in cases {
        let (status, body) = answer(&headers_with(name, value));
        assert_eq!((status, body.contains(text)), (400, true), "{name}: {value}: {body}");
    }
}

#[test]
fn repeated_header_is_rejected() {
    for name in ["X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Attrs"] {
        let mut headers = default_headers("a", "chat");
        let first = *headers.iter().find(|(n, _)| *n == name).unwrap();
        headers.push(first);
        let (status, body) = answer(&headers);
        assert_eq!((status, body.contains(&format!("{name}: more than one"))), (400, true), "{body}");
    }
    for name in ["X-Retried", "Idempotency-Key"] {
        let mut headers = default_headers("a", "chat");
        headers.extend([(name, "again"), (name, "again")]);
        let (status, body) = answer(&headers);
        assert_eq!((status, body.contains(&format!("{name}: more than one"))), (400, true), "{body}");
    }
    let mut headers = default_headers("a", "chat");
    headers.push(("Idempotency-Key", "a b"));
    let (status, body) = answer(&headers);
    let text = "Idempotency-Key: not one word of at most 128 characters";
    assert_eq!((status, body.contains(text)), (400, true), "{body}");
}
