//! Heads that are refused, and the text with which each is: clients of the platform know these.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

mod common;

use common::*;

/// Status and body of the answer to a request with these headers.
fn answer(fields: &[(&str, &str)]) -> (u16, String) {
    let mut y = yard();
    let client = y.client();
    y.bytes(client, &request(fields));
    let status = first_status(&y, client).expect("an answer");
    let raw = String::from_utf8(y.raw(client).to_vec()).unwrap();
    (status, raw.split_once("\r\n\r\n").unwrap().1.to_owned())
}

/// The usual headers with one of them changed; an empty value leaves it out.
fn with<'a>(name: &'a str, value: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut all = fields("a", "chat");
    let place = all.iter().position(|(n, _)| *n == name).unwrap();
    if value.is_empty() {
        all.remove(place);
    } else {
        all[place].1 = value;
    }
    all
}

#[test]
fn a_head_that_is_wrong_is_refused_with_its_header_and_text() {
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
    for (name, value, told) in cases {
        let (status, body) = answer(&with(name, value));
        assert_eq!((status, body.contains(told)), (400, true), "{name}: {value}: {body}");
    }
}

#[test]
fn a_header_that_comes_twice_is_refused() {
    for name in ["X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Attrs"] {
        let mut all = fields("a", "chat");
        let first = *all.iter().find(|(n, _)| *n == name).unwrap();
        all.push(first);
        let (status, body) = answer(&all);
        assert_eq!((status, body.contains(&format!("{name}: more than one"))), (400, true), "{body}");
    }
    for name in ["X-Retried", "Idempotency-Key"] {
        let mut all = fields("a", "chat");
        all.extend([(name, "again"), (name, "again")]);
        let (status, body) = answer(&all);
        assert_eq!((status, body.contains(&format!("{name}: more than one"))), (400, true), "{body}");
    }
    let mut all = fields("a", "chat");
    all.push(("Idempotency-Key", "a b"));
    let (status, body) = answer(&all);
    let told = "Idempotency-Key: not one word of at most 128 characters";
    assert_eq!((status, body.contains(told)), (400, true), "{body}");
}
