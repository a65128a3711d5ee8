//! Compatibility of what operators read: bills, compacted sums, standings and the settlement job's messages,
//! from ledgers, journals and adjustments that an earlier build wrote, equal the stored texts byte for byte.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::path::{Path, PathBuf};

use chalkyard_budget::{
    AccountCeiling, AccountKey, AccountPeriod, AdoptedLease, Calendar, Ending, Period, PeriodKind, Record,
    Reservation, Settled, SigningKey, Time, Units, Usage,
};
use chalkyard_ledger::{DirectoryVolume, Limits, Writer};
use common::*;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/budgets").join(name)
}

fn stored(name: &str) -> String {
    std::fs::read_to_string(data(name)).unwrap()
}

/// Files of one test: settings, key, journal with adjustments, and the ledgers named.
struct Site {
    dir: PathBuf,
    settings: String,
}

impl Site {
    fn new(name: &str, ledgers: &[&str]) -> Self {
        let dir = folder(name);
        let state = dir.join("state");
        for sub in ["journal/adjustments", "r1", "r2"] {
            std::fs::create_dir_all(state.join(sub)).unwrap();
        }
        std::fs::write(state.join("lease.key"), "5a".repeat(32)).unwrap();
        let copy = |from: &str, to: &str| std::fs::copy(data(from), state.join(to)).unwrap();
        copy("adjustments/000000000001.ledger", "journal/adjustments/000000000001.ledger");
        for ledger in ledgers {
            for entry in std::fs::read_dir(data(ledger)).unwrap() {
                let name = entry.unwrap().file_name().into_string().unwrap();
                copy(&format!("{ledger}/{name}"), &format!("{ledger}/{name}"));
            }
        }
        let settings = dir.join("r1.xml");
        std::fs::write(&settings, stored("settings.xml").replace("STATE", state.to_str().unwrap())).unwrap();
        Self { dir, settings: settings.to_str().unwrap().into() }
    }

    fn state(&self, name: &str) -> PathBuf {
        self.dir.join("state").join(name)
    }

    /// Exit code, standard output, standard error; the test's folder is printed as `DIR`.
    fn run(&self, args: &[&str]) -> (i32, String, String) {
        let args: Vec<&str> =
            args.iter().map(|a| if *a == "SETTINGS" { &self.settings } else { *a }).collect();
        let out = chalkyard(&args);
        let printed = |bytes: &[u8]| text(bytes).replace(self.dir.to_str().unwrap(), "DIR");
        (out.status.code().unwrap(), printed(&out.stdout), printed(&out.stderr))
    }
}

fn engines(name: &str) -> String {
    data(name).to_str().unwrap().into()
}

fn check_bill(name: &str, site: &Site, args: &[&str], expected_code: i32) {
    let bill = [&["bill", "SETTINGS", "--period"], args].concat();
    for (format, file) in [("text", format!("{name}.txt")), ("json", format!("{name}.json"))] {
        let (code, out, err) = site.run(&[&bill[..], &["--format", format]].concat());
        assert_eq!((code, err.as_str()), (expected_code, ""), "{file}");
        assert_eq!(out, stored(&file), "{file}");
    }
}

#[test]
fn bill_that_agrees_with_the_engines_is_printed_as_before() {
    let site = Site::new("stored-bill", &["r1", "r2"]);
    check_bill("bill", &site, &["2026-12", "--engines", &engines("engines.jsonl")], 0);
}

#[test]
fn bill_with_unexplained_tokens_is_printed_as_before_and_exits_with_3() {
    let site = Site::new("stored-bill-unexplained", &["r1", "r2"]);
    let files = [engines("engines.jsonl"), engines("engines-unexplained.jsonl")];
    check_bill("bill-unexplained", &site, &["2026-12", "--engines", &files[0], &files[1]], 3);
}

#[test]
fn bill_of_a_day_without_a_price_or_engines_is_printed_as_before() {
    let site = Site::new("stored-bill-day", &["r1", "r2"]);
    check_bill("bill-day", &site, &["2026-11-30"], 0);
}

#[test]
fn bill_from_a_damaged_ledger_names_the_damage_as_before() {
    let site = Site::new("stored-bill-damaged", &["r1", "r2"]);
    let file = site.state("r1/000000000001.ledger");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[60] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    check_bill("bill-damaged", &site, &["2026-12"], 0);
}

#[test]
fn bill_without_its_inputs_says_what_is_missing() {
    let site = Site::new("stored-bill-refused", &["r1"]);
    let none = (2, String::new());
    let (code, out, err) = site.run(&["bill", "SETTINGS", "--period", "2026-12"]);
    assert_eq!((code, out), none);
    assert_eq!(err, "DIR/state/r2: no ledger there\n");
    let (code, out, err) = site.run(&["bill", "SETTINGS", "--period", "2026-13"]);
    assert_eq!((code, out), none);
    assert_eq!(
        err,
        "--period: `2026-13` is no period: 2026-12 (month), 2026-12-01 (day) or 2026-12-01T14 (hour)\n"
    );
    let ledger = site.state("r1");
    let from = ["--ledger", ledger.to_str().unwrap()];
    let bill = |file: &str| {
        let args = [&["bill", "SETTINGS", "--period", "2026-12"], &from[..], &["--engines", file]].concat();
        site.run(&args)
    };
    let (code, out, err) = bill("/nowhere/engines.jsonl");
    assert_eq!((code, out), none);
    assert_eq!(err, "/nowhere/engines.jsonl: No such file or directory (os error 2)\n");
    let file = site.dir.join("bad.jsonl");
    std::fs::write(&file, "\n{\"engine\":\"m1\",\"more\":1}\n").unwrap();
    let (code, out, err) = bill(file.to_str().unwrap());
    assert_eq!((code, out), none);
    assert_eq!(
        err,
        "DIR/bad.jsonl:2: unknown field `more`, expected one of `engine`, `request`, `attempt`, `work`, \
         `prompt`, `kept`, `output`, `at` at line 1 column 21\n"
    );
    std::fs::write(&file, format!("{}\n", "x".repeat(70_000))).unwrap();
    assert_eq!(bill(file.to_str().unwrap()).2, "DIR/bad.jsonl:1: longer than 65536 bytes\n");
    std::fs::write(site.state("r1/000000000001.ledger"), "not a ledger, but longer than a head").unwrap();
    let (code, out, err) = site.run(&[&["bill", "SETTINGS", "--period", "2026-12"], &from[..]].concat());
    assert_eq!((code, out), none);
    assert_eq!(err, "DIR/state/r1: 000000000001.ledger: not a ledger's segment, or of another version\n");
}

#[test]
fn compacted_ledger_leaves_the_same_sums_and_bills_tell_of_them() {
    let site = Site::new("stored-compact", &["r1", "r2"]);
    let ledger = site.state("r1");
    let compact = ["compact", "SETTINGS", "--ledger", ledger.to_str().unwrap(), "--before"];
    let (code, out, err) = site.run(&[&compact[..], &["2026-11"]].concat());
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(
        out,
        "nothing to compact: no segment before 2026-11 with all its requests settled and a checkpoint after it\n"
    );
    let (code, out, err) = site.run(&[&compact[..], &["2026-12"]].concat());
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(out, "5 records of 1 segments became DIR/state/r1/sums-before-2026-12.json\n");
    let sums = std::fs::read_to_string(ledger.join("sums-before-2026-12.json")).unwrap();
    assert_eq!(sums, stored("sums-before-2026-12.json"));
    assert!(!ledger.join("000000000001.ledger").exists() && ledger.join("000000000002.ledger").exists());
    check_bill("bill-compacted", &site, &["2026-11-30"], 0);
    let (code, _, err) = site.run(&[&compact[..], &["2026-13"]].concat());
    assert_eq!((code, err.starts_with("--before: `2026-13` is no period: ")), (2, true), "{err}");
}

/// A ledger of the present month with one open and one settled request, under a lease.
fn write_present_ledger(folder: &Path, month: Period) {
    let key = AccountKey { tenant: "nord".into(), class: None, kind: PeriodKind::Month };
    let place = AccountPeriod { class: None, kind: PeriodKind::Month, start: month.start };
    let at = month.start;
    let adopted = AdoptedLease {
        number: 7,
        at,
        until: month.end,
        ceilings: vec![AccountCeiling { key, period: month, ceiling: Units::tokens(5_000) }],
        demand: vec![],
    };
    let reserved = |id: &str| {
        Record::Reserved(Reservation {
            id: id.into(),
            tenant: "nord".into(),
            class: "help".into(),
            identity: None,
            at,
            amount: Units::tokens(600),
            account_periods: vec![place.clone()],
        })
    };
    let settled = Settled {
        id: "a".into(),
        at,
        ending: Ending::Served,
        usage: Usage { prompt: 200, cached: 0, output: 50 },
        cost: Units::tokens(400),
        prefill_attempt: None,
        answering_attempt: Some(0),
        may_have_run: true,
    };
    let records = [
        Record::Started(at),
        Record::Adopted(adopted),
        reserved("a"),
        reserved("b"),
        Record::Settled(settled),
    ];
    write_ledger(folder, &records);
}

fn write_ledger(folder: &Path, records: &[Record]) {
    let limits = Limits { reserve_bytes: 0, ..Limits::default() };
    let volume = DirectoryVolume::writer(folder).unwrap();
    let opened = Writer::open(volume, limits, |_: &Record| false, |_, _| {});
    let mut writer = opened.unwrap().writer;
    for record in records {
        writer.append(record).unwrap();
    }
    writer.flush().unwrap();
}

fn present(kind: PeriodKind) -> Period {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    Calendar::new("Europe/Zurich").unwrap().period(kind, Time(since.as_micros() as u64))
}

#[test]
fn budget_show_prints_standings_and_adjustments_as_before() {
    let site = Site::new("stored-show", &[]);
    std::fs::copy(data("round-000000000007"), site.state("journal/round-000000000007")).unwrap();
    let (month, hour) = (present(PeriodKind::Month), present(PeriodKind::Hour));
    write_present_ledger(&site.state("r1"), month);
    let (code, out, err) = site.run(&["budget", "show", "SETTINGS"]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(out, stored("show.txt"));
    let (code, out, _) = site.run(&["budget", "show", "SETTINGS", "--format", "json"]);
    let expected = stored("show.json")
        .replace("MONTH", &month.start.0.to_string())
        .replace("HOUR", &hour.start.0.to_string());
    assert_eq!((code, out), (0, expected));
}

#[test]
fn budget_commands_refuse_with_the_same_texts() {
    let site = Site::new("stored-refusals", &["r1"]);
    let who = ["--by", "ann", "--why", "exam week"];
    let month = ["--tenant", "nord", "--period", "month"];
    let adjust = |class: &str, day: &str| {
        let what =
            ["adjust", "SETTINGS", "--tenant", "nord", "--class", class, "--day", day, "--amount", "1"];
        site.run(&[&["budget"], &what[..], &who].concat())
    };
    let cases = [
        (
            site.run(
                &[
                    &["budget", "grant", "SETTINGS", "--tenant", "ost", "--period", "day", "--tokens", "5"],
                    &who[..],
                ]
                .concat(),
            ),
            "no budget ost/*/day in the settings, which have: nord/*/month, nord/help/hour\n",
        ),
        (
            site.run(&[&["budget", "set", "SETTINGS"], &month[..], &["--tokens", "0"], &who].concat()),
            "--tokens must be at least 1\n",
        ),
        (
            site.run(
                &[
                    &["budget", "grant", "SETTINGS"],
                    &month[..],
                    &["--tokens", "5", "--by", "ann", "--why", " "],
                ]
                .concat(),
            ),
            "--why must be 1 to 1000 bytes of text\n",
        ),
        (adjust("none", "2026-12-01"), "no tenant `nord` or no class `none` in the settings\n"),
        (adjust("help", "2026-12"), "--day: `2026-12` is no day\n"),
        (
            adjust("help", "2026-13-01"),
            "--day: `2026-13-01` is no period: 2026-12 (month), 2026-12-01 (day) or 2026-12-01T14 (hour)\n",
        ),
    ];
    for ((code, out, err), expected) in cases {
        assert_eq!((code, out.as_str(), err.as_str()), (2, "", expected));
    }
    let (code, out, err) =
        site.run(&[&["budget", "grant", "SETTINGS"], &month[..], &["--tokens", "5"], &who].concat());
    assert_eq!((code, out.as_str(), err.as_str()), (0, "adjustment 8 recorded\n", ""));
    let file = site.state("journal/adjustments/000000000001.ledger");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[40] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let (code, out, err) = site.run(&["budget", "show", "SETTINGS"]);
    assert_eq!((code, out.as_str()), (1, ""));
    assert_eq!(
        err,
        "chalkyard: DIR/state/journal/adjustments: 000000000001.ledger: bytes 20..77 are damaged; records 1..2 are lost\n"
    );
}

/// The log's lines without their times.
fn log_lines(stderr: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for line in stderr.lines() {
        let Ok(mut fields) = serde_json::from_str::<serde_json::Value>(line) else {
            lines.push(line.into());
            continue;
        };
        fields.as_object_mut().unwrap().remove("timestamp");
        lines.push(fields.to_string());
    }
    lines
}

#[test]
fn settle_goes_on_from_a_stored_round_and_logs_as_before() {
    let site = Site::new("stored-settle", &["r1"]);
    std::fs::copy(data("round-000000000007"), site.state("journal/round-000000000007")).unwrap();
    std::fs::remove_dir(site.state("r2")).unwrap();
    let (code, out, err) = site.run(&["settle", "SETTINGS", "--rounds", "1"]);
    assert_eq!((code, out.as_str()), (0, ""));
    assert_eq!(
        log_lines(&err),
        [
            r#"{"level":"INFO","message":"ready","routers":2,"target":"settle"}"#,
            r#"{"level":"WARN","message":"its ledger can't be read: ledger: No such file or directory (os error 2)","router":"r2","target":"settle"}"#,
        ]
    );
    let key = SigningKey::new(&"5a".repeat(32)).unwrap();
    let round = key.open_round(&std::fs::read(site.state("journal/round-000000000008")).unwrap()).unwrap();
    let routers: Vec<&str> = round.grants.iter().map(|grant| &*grant.router).collect();
    assert_eq!((round.number, routers), (8, vec!["r1", "r2"]));
    for grant in &round.grants {
        let file = site.state(&format!("journal/grants/{}.grant", grant.router));
        assert_eq!(&key.open_grant(&std::fs::read(file).unwrap()).unwrap(), grant);
    }
}

#[test]
fn settle_refuses_a_journal_that_does_not_fit_with_the_same_texts() {
    let site = Site::new("stored-settle-refused", &["r1"]);
    let refused = || {
        let (code, out, err) = site.run(&["settle", "SETTINGS", "--rounds", "1"]);
        assert_eq!((code, out.as_str()), (1, ""));
        log_lines(&err).pop().unwrap()
    };
    let misnamed = site.state("journal/round-000000000009");
    std::fs::copy(data("round-000000000007"), &misnamed).unwrap();
    assert_eq!(refused(), "chalkyard: DIR/state/journal/round-000000000009: holds round 7");
    std::fs::write(&misnamed, "{}").unwrap();
    assert_eq!(refused(), "chalkyard: DIR/state/journal/round-000000000009: cut short: no line with a MAC");
    std::fs::remove_file(misnamed).unwrap();
    // The ledger shows lease 7, and this journal is empty.
    assert_eq!(
        refused(),
        "chalkyard: router r1 holds lease 7, this journal ends at 0: another settlement job keeps another \
         journal; stop one and join the journals"
    );
    std::fs::write(site.state("lease.key"), "5a").unwrap();
    let (code, _, err) = site.run(&["settle", "SETTINGS", "--rounds", "1"]);
    assert_eq!((code, err.as_str()), (2, "DIR/state/lease.key: must be 64 hexadecimal digits\n"));
    std::fs::remove_file(site.state("lease.key")).unwrap();
    let (code, _, err) = site.run(&["settle", "SETTINGS", "--rounds", "1"]);
    assert_eq!((code, err.as_str()), (2, "DIR/state/lease.key: No such file or directory (os error 2)\n"));
}
