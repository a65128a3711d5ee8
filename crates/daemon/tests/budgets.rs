//! Budgets, bills and the settlement job as an operator meets them: processes, files, commands.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

use common::*;

const EXAMPLE: &str = include_str!("../../../deploy/budgets.xml");

/// The example with its files in a folder, and other places to listen and call.
fn at(folder: &Path, engine: std::net::SocketAddr, tokens: &str) -> PathBuf {
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::write(folder.join("state/lease.key"), "5a".repeat(32)).unwrap();
    let xml = EXAMPLE
        .replace("\"state/", &format!("\"{}/state/", folder.display()))
        .replace("127.0.0.1:8400", "127.0.0.1:0")
        .replace("127.0.0.1:8501", &engine.to_string())
        .replace("tokens=\"200000000\"", &format!("tokens=\"{tokens}\""))
        .replace("clock-error=\"250ms\"", "clock-error=\"50ms\"")
        .replace("epoch=\"1s\"", "epoch=\"100ms\"");
    let file = folder.join("r1.xml");
    std::fs::write(&file, xml).unwrap();
    file
}

fn budget(args: &[&str]) -> (i32, String) {
    let out = chalkyard(&[&["budget"], args].concat());
    (out.status.code().unwrap(), text(&out.stdout) + &text(&out.stderr))
}

#[test]
fn each_wrong_word_of_budgets_is_told_with_line_and_column() {
    let cases = [
        ("zone=\"Europe/Zurich\"", "zone=\"Europe/Zuerich\"", "zone=\"Europe/Zuerich\""),
        ("tenant=\"nord\" period=\"month\"", "tenant=\"nard\" period=\"month\"", "tenant=\"nard\""),
        ("class=\"help\" period", "class=\"halp\" period", "class=\"halp\""),
        ("period=\"hour\"", "period=\"week\"", "period=\"week\""),
        ("tokens=\"2000000\"", "tokens=\"0\"", "tokens=\"0\""),
        ("kept=\"0.1\"", "kept=\"0.1234\"", "kept=\"0.1234\""),
        ("marks=\"0.8 0.95\"", "marks=\"0.95 0.8\"", "marks=\"0.95 0.8\""),
        ("soft-class=\"later\"", "soft-class=\"sooner\"", "soft-class=\"sooner\""),
        ("soft=\"0.8\"", "soft=\"1.8\"", "soft=\"1.8\""),
        ("lease=\"10s\"", "lease=\"2s\"", "<settlement"),
        ("from=\"2026-01-01\"", "from=\"2026-02-30\"", "from=\"2026-02-30\""),
        (" key-file=\"state/lease.key\"", "", "grants="),
        ("ledger=\"state/r1\"", "", "<budgets"),
    ];
    let folder = folder("budget-settings");
    for (n, (from, to, place)) in cases.iter().enumerate() {
        assert!(EXAMPLE.contains(from), "{from}");
        let xml = EXAMPLE.replacen(from, to, 1);
        let file = folder.join(format!("{n}.xml"));
        std::fs::write(&file, &xml).unwrap();
        let out = chalkyard(&["check", file.to_str().unwrap()]);
        let at = xml.find(place).unwrap();
        let line = xml[..at].matches('\n').count() + 1;
        let told = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{to}");
        assert!(told.contains(&format!(":{line}:")), "{to}: {told}");
    }
    let other =
        EXAMPLE.replacen("deadline=\"20s\" effect=\"free\"", "deadline=\"20s\" effect=\"single-shot\"", 1);
    let file = folder.join("effect.xml");
    std::fs::write(&file, other).unwrap();
    let out = chalkyard(&["check", file.to_str().unwrap()]);
    assert!(text(&out.stderr).contains("has another effect"), "{}", text(&out.stderr));
}

fn ask_as(key: &str) -> Vec<u8> {
    let plain = text(&ask(true));
    plain.replacen("Host: a\r\n", &format!("Host: a\r\nAuthorization: Bearer {key}\r\n"), 1).into_bytes()
}

/// One life: a request is served, another is cut by kill -9. The next life knows what was spent, the bill what
/// it costs, and a changed engine's record is noticed.
#[test]
fn what_was_spent_survives_a_kill_and_the_bill_agrees() {
    let (engine, dir) = (Engine::new(), folder("budget-life"));
    let file = at(&dir, engine.at(), "60");
    // Alone, with the whole budget: no leases.
    let xml = std::fs::read_to_string(&file).unwrap();
    let grants = format!("grants=\"{}/state/journal/grants/r1.grant\"", dir.display());
    let alone = xml.replacen(&grants, "", 1).replacen("routers=\"2\"", "routers=\"1\"", 1);
    std::fs::write(&file, &alone).unwrap();
    let mut router = Running::start(&file, None, &[]);
    let mut client = router.connect();
    client.write_all(&ask_as("example-key")).unwrap();
    let mut answer = engine.begin();
    chunk(&mut answer, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":3}}\n\n");
    Engine::end(&mut answer);
    assert!(read_until(&mut client, "\r\n0\r\n\r\n").contains("message.closed"));
    let id = router.wait_log("finished")["id"].as_str().unwrap().to_owned();
    client.write_all(&ask_as("example-key")).unwrap();
    let _answer = engine.begin();
    read_until(&mut client, "message.delta");
    router.signal("-KILL");
    router.wait_end();
    // A second router may not write the same ledger.
    let router = Running::start(&file, None, &[]);
    let recovered = router.before.iter().find(|l| l.contains("recovered")).unwrap();
    assert!(recovered.contains("\"records\":4") && recovered.contains("\"open\":1"), "{recovered}");
    let second = chalkyard(&["run", file.to_str().unwrap()]);
    assert!(text(&second.stderr).contains("another process writes this ledger"), "{}", text(&second.stderr));
    // 9 + 4 * 3 tokens are spent of 60, and a request needs 8 * 1.1 + 4 * 5: one fits, the next does not.
    let mut open = router.connect();
    open.write_all(&ask_as("example-key")).unwrap();
    let _answer = engine.begin();
    read_until(&mut open, "message.delta");
    let mut refused = router.connect();
    refused.write_all(&ask_as("example-key")).unwrap();
    let told = read_until(&mut refused, "harm");
    assert!(told.starts_with("HTTP/1.1 429") && told.contains("retry-after: "), "{told}");
    drop(router);

    let engines = dir.join("engines.jsonl");
    let line = |request: &str, output: u64| {
        format!(
            "{{\"engine\":\"m1\",\"request\":\"{request}\",\"attempt\":0,\"work\":\"whole\",\"prompt\":9,\
             \"kept\":0,\"output\":{output},\"at\":1}}\n"
        )
    };
    std::fs::write(&engines, line(&id, 3)).unwrap();
    let month = now_month();
    let make = |file: &Path| {
        let args = ["bill", file.to_str().unwrap(), "--period", &month, "--format", "json", "--engines"];
        chalkyard(&[&args[..], &[engines.to_str().unwrap()]].concat())
    };
    let mut with_ledger = std::fs::read_to_string(&file).unwrap();
    with_ledger = with_ledger.replacen(
        &format!("<ledger router=\"r2\" folder=\"{}/state/r2\"/>", dir.display()),
        "",
        1,
    );
    std::fs::write(&file, with_ledger).unwrap();
    let out = make(&file);
    assert_eq!(out.status.code(), Some(0), "{}{}", text(&out.stdout), text(&out.stderr));
    let bill: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(bill["bill"]["lines"].as_array().unwrap().len(), 1);
    assert_eq!(bill["bill"]["lines"][0]["price_millionths"], 9 * 300 + 3 * 1_500);
    assert_eq!(bill["bill"]["endings"]["orphaned"], 1);
    std::fs::write(&engines, line(&id, 4)).unwrap();
    let out = make(&file);
    assert_eq!(out.status.code(), Some(3));
    std::fs::write(&engines, "{\"engine\":7}\n").unwrap();
    assert!(text(&make(&file).stderr).contains("engines.jsonl:1: "));
}

/// A single shot that a killed router had sent may have run: the next life says so, and does not run it again.
#[test]
fn a_repeat_after_a_kill_is_told_to_look_it_up() {
    let (engine, dir) = (Engine::new(), folder("repeat-after-kill"));
    let xml = settings("127.0.0.1:0".parse().unwrap(), engine.at(), "");
    let budgets = format!("<budgets ledger=\"{}/ledger\"/>\n  <engines>", dir.display());
    let file = dir.join("r1.xml");
    std::fs::write(&file, xml.replacen("<engines>", &budgets, 1)).unwrap();
    let ask = |key: &str| {
        let plain = text(&ask(true));
        plain.replacen("Host: a\r\n", &format!("Host: a\r\nIdempotency-Key: \"{key}\"\r\n"), 1).into_bytes()
    };
    let mut router = Running::start(&file, None, &[]);
    let mut client = router.connect();
    client.write_all(&ask("once")).unwrap();
    let _answer = engine.begin();
    read_until(&mut client, "message.delta");
    router.signal("-KILL");
    router.wait_end();
    for _ in 0..2 {
        // Over a second life as well.
        let mut router = Running::start(&file, None, &[]);
        let mut again = router.connect();
        again.write_all(&ask("once")).unwrap();
        let told = read_until(&mut again, "look it up");
        assert!(told.starts_with("HTTP/1.1 409") && told.contains("\"may_have_run\":true"), "{told}");
        router.signal("-KILL");
        router.wait_end();
    }
    let router = Running::start(&file, None, &[]);
    let mut other = router.connect();
    other.write_all(&ask("another")).unwrap();
    let mut answer = engine.begin();
    Engine::end(&mut answer);
    assert!(read_until(&mut other, "message.closed").contains("message.closed"));
}

fn chunk(s: &mut std::net::TcpStream, data: &str) {
    s.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).unwrap();
}

fn now_month() -> String {
    jiff::Timestamp::now().in_tz("Europe/Zurich").unwrap().strftime("%Y-%m").to_string()
}

#[test]
fn budgets_are_changed_by_hand_with_a_trail() {
    let dir = folder("budget-hand");
    let file = at(&dir, "127.0.0.1:9".parse().unwrap(), "1000");
    let f = file.to_str().unwrap();
    let which = ["--tenant", "nord", "--period", "month"];
    let who = ["--by", "ann", "--why", "exam week"];
    let (code, told) = budget(&[&["grant", f], &which[..], &["--tokens", "500"], &who].concat());
    assert_eq!((code, told.contains("adjustment 1 recorded")), (0, true), "{told}");
    assert_eq!(budget(&[&["set", f], &which[..], &["--tokens", "3000"], &who].concat()).0, 0);
    let bill = ["--tenant", "nord", "--class", "help", "--day", "2026-12-01", "--amount", "-250"];
    assert_eq!(budget(&[&["adjust", f], &bill[..], &who].concat()).0, 0);
    let (code, shown) = budget(&["show", f]);
    assert_eq!(code, 0, "{shown}");
    assert!(shown.contains("nord/*/month: 0 of 3500 spent"), "{shown}");
    assert!(
        shown.contains("adjustment 3") && shown.contains("ann") && shown.contains("exam week"),
        "{shown}"
    );
    let (_, json) = budget(&["show", f, "--format", "json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["adjustments"].as_array().unwrap().len(), 3);
    // Without a number, the settings hold again.
    assert_eq!(budget(&[&["set", f], &which[..], &who].concat()).0, 0);
    assert!(budget(&["show", f]).1.contains("nord/*/month: 0 of 1500 spent"));
    // What can't be is refused, and nothing is recorded.
    let wrong = ["--tenant", "sued", "--period", "month"];
    let (code, told) = budget(&[&["grant", f], &wrong[..], &["--tokens", "5"], &who].concat());
    assert!(code == 2 && told.contains("no budget sued/*/month"), "{told}");
    let (code, _) =
        budget(&[&["grant", f], &which[..], &["--tokens", "5", "--by", " ", "--why", "x"]].concat());
    assert_eq!(code, 2);
    let day = ["--tenant", "nord", "--class", "help", "--day", "2026-13-01", "--amount", "1"];
    assert_eq!(budget(&[&["adjust", f], &day[..], &who].concat()).0, 2);
    assert!(budget(&["show", f]).1.matches("adjustment ").count() == 4);
}

#[test]
fn two_settlement_jobs_share_one_journal() {
    let dir = folder("settle-twice");
    let file = at(&dir, "127.0.0.1:9".parse().unwrap(), "1000");
    let job = || {
        let mut c = Command::new(EXE);
        c.arg("settle").arg(&file).args(["--rounds", "12"]);
        c.stderr(std::process::Stdio::piped()).spawn().unwrap()
    };
    let jobs = [job(), job()];
    for child in jobs {
        let out = child.wait_with_output().unwrap();
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    }
    let mut rounds: Vec<String> = std::fs::read_dir(dir.join("state/journal"))
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .filter(|n| n.starts_with("round-"))
        .collect();
    rounds.sort();
    // Each number once, and no file of a loser is left.
    let expected: Vec<String> = (1..=rounds.len()).map(|n| format!("round-{n:012}")).collect();
    assert!(rounds == expected && rounds.len() >= 12, "{rounds:?}");
    assert!(dir.join("state/journal/grants/r2.grant").exists());
    // Another key's journal is not believed.
    std::fs::write(dir.join("state/lease.key"), "a5".repeat(32)).unwrap();
    let out = chalkyard(&["settle", file.to_str().unwrap(), "--rounds", "1"]);
    assert!(out.status.code() == Some(1) && text(&out.stderr).contains("the MAC does not fit"));
}

#[test]
fn a_short_day_of_budgets_holds() {
    let out = chalkyard(&["rehearse", "budgets", "--seed", "3", "--seconds", "8", "--format", "json"]);
    let report: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
    assert_eq!(out.status.code(), Some(0), "{report:#}{}", text(&out.stderr));
    assert_eq!(report["bill_difference_tokens"], 0);
    assert!(report["overrun_tokens"].as_u64().unwrap() <= report["bound_tokens"].as_u64().unwrap());
    assert!(
        report["billed_tokens"].as_u64().unwrap() > 10_000 && report["router_kills"].as_u64().unwrap() > 3
    );
    // The rehearsal can see overrun: without reservations there is some.
    assert!(report["unreserved"]["overrun_tokens"].as_u64().unwrap() > 0, "{report:#}");
}
