//! A router with a control socket and, if wanted, a ledger; what its clients and its bill say.
#![allow(dead_code, clippy::unwrap_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

use crate::common::*;

/// Asks for the router's health on a connection of its own; what failed.
pub fn health(at: std::net::SocketAddr) -> Result<(), String> {
    let once = || -> std::io::Result<String> {
        let mut s = TcpStream::connect(at)?;
        s.set_read_timeout(Some(Duration::from_secs(5)))?;
        s.write_all(b"GET /health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut told = String::new();
        s.read_to_string(&mut told)?;
        Ok(told)
    };
    match once() {
        Ok(told) if told.starts_with("HTTP/1.1 200") => Ok(()),
        Ok(told) => Err(told),
        Err(e) => Err(e.to_string()),
    }
}

pub fn with_ledger(name: &str) -> (Engine, PathBuf, PathBuf) {
    let (engine, dir) = (Engine::new(), folder(name));
    let extra = format!("control=\"{}\"", dir.join("r1.sock").display());
    let xml = settings("127.0.0.1:0".parse().unwrap(), engine.at(), &extra)
        .replace("drain=\"3s\"", "drain=\"20s\"");
    let budgets = format!("<budgets ledger=\"{}/ledger\"/>\n  <engines>", dir.display());
    let file = dir.join("r1.xml");
    std::fs::write(&file, xml.replacen("<engines>", &budgets, 1)).unwrap();
    (engine, dir, file)
}

pub fn endings(file: &std::path::Path) -> serde_json::Value {
    let month = jiff::Timestamp::now().in_tz("UTC").unwrap().strftime("%Y-%m").to_string();
    let out = chalkyard(&["bill", file.to_str().unwrap(), "--period", &month, "--format", "json"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let bill: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    serde_json::json!([bill["bill"]["endings"], bill["bill"]["open"]])
}

/// The old life's last settlements reach the ledger a little later.
pub fn wait_endings(file: &std::path::Path, expected: &serde_json::Value) {
    let start = std::time::Instant::now();
    while endings(file) != *expected {
        assert!(start.elapsed() < Duration::from_secs(5), "{}", endings(file));
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Settings of a router with a control socket; its engine is never called.
pub fn unused_engine(name: &str, ledger: bool) -> (PathBuf, PathBuf) {
    let (_, dir, file) = with_ledger(name);
    let xml = std::fs::read_to_string(&file).unwrap();
    if !ledger {
        let budgets = format!("<budgets ledger=\"{}/ledger\"/>", dir.display());
        std::fs::write(&file, xml.replacen(&budgets, "", 1)).unwrap();
    }
    (dir.join("r1.sock"), file)
}
