//! The program's help, and what its commands print of files alone: byte for byte.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use common::*;

const EXAMPLE: &str = include_str!("../../../deploy/example.xml");
const WITH_BUDGETS: &str = include_str!("../../../deploy/budgets.xml");

/// Compares with what was stored; what is printed now lies in the test's folder.
#[track_caller]
fn assert_stored(name: &str, printed: &str, stored: &str) {
    std::fs::write(folder(&format!("stored-{name}")).join("now.txt"), printed).unwrap();
    for (printed, stored) in printed.lines().zip(stored.lines()) {
        assert_eq!(printed, stored);
    }
    assert_eq!(printed, stored);
}

/// Each command, with those under it; their order is that of the help.
const COMMANDS: &[&[&str]] = &[
    &[],
    &["run"],
    &["platform"],
    &["check"],
    &["status"],
    &["engines"],
    &["requests"],
    &["trace"],
    &["drain"],
    &["undrain"],
    &["reload"],
    &["stop"],
    &["log-level"],
    &["hash-key"],
    &["replay"],
    &["rehearse"],
    &["settle"],
    &["budget"],
    &["budget", "show"],
    &["budget", "set"],
    &["budget", "grant"],
    &["budget", "adjust"],
    &["bill"],
    &["compact"],
    &["losses"],
    &["audit"],
];

#[test]
fn the_help_of_each_command_is_as_before() {
    let mut all = String::new();
    for command in COMMANDS {
        let out = chalkyard(&[command, &["--help"][..]].concat());
        assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""), "{command:?}");
        all += &format!(
            "$ chalkyard {}\n{}\n",
            [command, &["--help"][..]].concat().join(" "),
            text(&out.stdout)
        );
    }
    assert_stored("help", &all, include_str!("data/help.txt"));
}

#[test]
fn the_example_is_checked_with_a_summary() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.xml");
    let out = chalkyard(&["check", file]);
    assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""));
    assert_eq!(
        text(&out.stdout),
        format!("{file}: ok: router r1 at 127.0.0.1:8400, 2 classes, 1 tenants, 2 kinds\n")
    );
}

/// What is replaced in the example, and with what.
const WRONG: &[(&str, &str)] = &[
    ("release=\"1s\"", "release=\"1 s\""),
    ("release=\"1s\"", "relaese=\"1s\""),
    ("cold-from=\"0.3\"", "cold-from=\"1.3\""),
    ("max-attempts=\"4\"", "max-attempts=\"-4\""),
    ("max-attempts=\"4\"", "max-attempts=\"101\""),
    ("max-attempts=\"4\"", "must-ask-in=\"0s\""),
    ("self-prefill=\"true\"", "self-prefill=\"yes\""),
    ("reports=\"in-answers\"", "reports=\"loud\""),
    ("listen=\"127.0.0.1:8400\"", "listen=\"localhost\""),
    ("routers=\"1\"", "routers=\"0\""),
    ("name=\"r1\"", "name=\"\""),
    ("drain=\"20s\"", "drain=\"20\""),
    ("clients=\"20000\"", "clients=\"0\""),
    ("kind=\"reader\" zone=\"hall\"", "kind=\"reader\" zone=\"hell\""),
    ("kind=\"reader\" zone", "kind=\"reeder\" zone"),
    ("role=\"reader\"", "role=\"raeder\""),
    ("default=\"help\"", "default=\"halp\""),
    ("name=\"report\"", "name=\"help\""),
    ("aim=\"2s\"", "aim=\"9s\""),
    ("effect=\"single-shot\"", "effect=\"guarded\""),
    ("effect=\"single-shot\"", "effect=\"once\""),
    ("<may class=\"report\"/>", "<may class=\"reports\"/>"),
    ("<may class=\"report\"/>", "<might class=\"report\"/>"),
    ("id=\"write-2\"", "id=\"write-1\""),
    ("address=\"127.0.0.1:8503\"", "address=\"8503\""),
    ("salt=\"00", "salt=\"zz"),
    ("hash=\"39", "hash=\"zz"),
    ("allowance-per-s=\"20\"", "allowance-per-s=\"-1\""),
    ("</engines>", "</engine>"),
    ("urn:chalkyard:settings:1", "urn:chalkyard:settings:2"),
];

/// The same for the example with budgets.
const WRONG_BUDGETS: &[(&str, &str)] = &[
    ("zone=\"Europe/Zurich\"", "zone=\"Europe/Nowhere\""),
    ("key-file=\"state/lease.key\"", ""),
    ("margin=\"0.1\"", "margin=\"0.1234\""),
    ("sync=\"50ms\"", "sync=\"10us\""),
    ("sync=\"50ms\"", "segment-bytes=\"100\""),
    ("sync=\"50ms\"", "sharing=\"equal\""),
    ("sync=\"50ms\"", "sharing=\"unequal\""),
    ("ledger=\"state/r1\"", ""),
    ("kept=\"0.1\"", "kept=\"x\""),
    ("epoch=\"1s\"", "epoch=\"1ms\""),
    ("lease=\"10s\"", "lease=\"2s\""),
    ("router=\"r2\"", "router=\"r1\""),
    ("folder=\"state/r2\"", ""),
    ("tenant=\"nord\" period", "tenant=\"sued\" period"),
    ("period=\"month\"", "period=\"week\""),
    ("tokens=\"200000000\"", "tokens=\"0\""),
    ("tokens=\"200000000\"", "tokens=\"-1\""),
    ("soft=\"0.8\"", "soft=\"1.5\""),
    ("soft-class=\"later\"", "soft-class=\"sooner\""),
    ("soft-class=\"later\"", "soft-class=\"later\" soft-answer=\"5\""),
    ("soft-class=\"later\"", "soft-answer=\"0\""),
    ("deadline=\"20s\" effect=\"free\"", "deadline=\"20s\" effect=\"single-shot\""),
    ("marks=\"0.8 0.95\"", "marks=\"0.95 0.8\""),
    ("class=\"help\" period", "class=\"halp\" period"),
    ("class=\"help\" period=\"hour\"", "period=\"month\""),
    ("tokens-per-s=\"20000\"", "tokens-per-s=\"0\""),
    ("<rate tenant=\"nord\"", "<rate tenant=\"nord\" tokens-per-s=\"1\"/><rate tenant=\"nord\""),
    ("from=\"2026-01-01\"", "from=\"2026-13-01\""),
    ("currency=\"Rp\"", "currency=\"R p\""),
    ("<price ", "<price from=\"2026-02-01\" currency=\"Rp\" prompt=\"1\" kept=\"1\" output=\"1\"/><price "),
    ("<rate ", "<rebate "),
];

#[test]
fn each_error_of_the_settings_is_told_with_its_place_and_text() {
    let dir = folder("settings-errors");
    let file = dir.join("r1.xml");
    let mut all = String::new();
    let of =
        |base: &'static str, wrong: &'static [(&str, &str)]| wrong.iter().map(move |(f, t)| (base, f, t));
    for (base, from, to) in of(EXAMPLE, WRONG).chain(of(WITH_BUDGETS, WRONG_BUDGETS)) {
        assert!(base.contains(from), "{from}");
        std::fs::write(&file, base.replacen(from, to, 1)).unwrap();
        let out = chalkyard(&["check", file.to_str().unwrap()]);
        assert_eq!((out.status.code(), text(&out.stdout).as_str()), (Some(2), ""), "{to}");
        let told = text(&out.stderr).replace(&format!("{}/", dir.display()), "");
        all += &format!("{to}\n{told}\n");
    }
    assert_stored("settings", &all, include_str!("data/settings_errors.txt"));
}

#[test]
fn a_recorded_day_is_audited_for_people_and_as_json_as_before() {
    let record = concat!(env!("CARGO_MANIFEST_DIR"), "/../rehearsal/tests/sound.jsonl");
    for (format, stored) in
        [("text", include_str!("data/audit.txt")), ("json", include_str!("data/audit.json"))]
    {
        let out = chalkyard(&["audit", record, "--format", format]);
        assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""));
        assert_stored(&format!("audit-{format}"), &text(&out.stdout), stored);
    }
}

#[test]
fn a_command_that_cannot_run_says_why_and_ends_by_its_code() {
    let cases: [(&[&str], i32, &str); 6] = [
        (&["check", "/nowhere.xml"], 2, "/nowhere.xml: No such file or directory (os error 2)\n"),
        (&["replay", "/nowhere"], 2, "/nowhere:0: No such file or directory (os error 2)\n"),
        (&["losses", "/nowhere"], 2, "/nowhere:0: No such file or directory (os error 2)\n"),
        (&["audit", "/nowhere"], 2, "/nowhere: No such file or directory (os error 2)\n"),
        (&["platform", "/nowhere"], 2, "/nowhere: No such file or directory (os error 2)\n"),
        (
            &["rehearse", "bad-day", "--fed"],
            2,
            "--case, --seeds, --routers, --exe and --fed go with `rehearse overload`\n",
        ),
    ];
    for (args, code, told) in cases {
        let out = chalkyard(args);
        assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(code), told), "{args:?}");
    }
}
