//! A short bad day end to end: routers as processes, the rules judged from the sockets.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use common::*;

#[test]
fn a_short_bad_day_holds_and_its_record_is_judged_alike() {
    let record = folder("bad-day").join("record.jsonl");
    let path = record.to_str().unwrap();
    let out = chalkyard(&[
        "rehearse",
        "bad-day",
        "--seed",
        "5",
        "--seconds",
        "15",
        "--record",
        path,
        "--format",
        "json",
    ]);
    assert_eq!(out.status.code(), Some(0), "{}{}", text(&out.stdout), text(&out.stderr));
    let report: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    for rule in ["answered", "effect", "drain", "cold", "pinned"] {
        assert!(report["rules"][rule]["checked"].as_u64().unwrap() > 0, "{rule} was never checked: {report}");
    }
    assert!(report["requests"].as_u64().unwrap() > 100 && report["goodput"].as_f64().unwrap() > 0.1);
    let again = chalkyard(&["audit", path, "--format", "json"]);
    let again: serde_json::Value = serde_json::from_slice(&again.stdout).unwrap();
    assert_eq!(again["rules"], report["rules"]);
    // One answer taken out of the real record breaks the first rule, and the exit code says so.
    let text = std::fs::read_to_string(&record).unwrap();
    let answer = text.lines().find(|l| l.contains("\"k\":\"answer\"")).unwrap();
    std::fs::write(&record, text.replacen(&format!("{answer}\n"), "", 1)).unwrap();
    assert_eq!(chalkyard(&["audit", path]).status.code(), Some(3));
    std::fs::write(&record, &text[text.find('\n').unwrap() + 1..]).unwrap();
    assert_eq!(chalkyard(&["audit", path]).status.code(), Some(2));
    assert_eq!(chalkyard(&["rehearse", "no-such-day"]).status.code(), Some(2));
}
