//! Settings: what is wrong is told with its place, and nothing starts.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use common::*;

const EXAMPLE: &str = include_str!("../../../deploy/example.xml");

fn check(name: &str, xml: &str) -> (i32, String, String) {
    let file = folder("settings").with_file_name(format!("settings-{name}.xml"));
    std::fs::write(&file, xml).unwrap();
    let out = chalkyard(&["check", file.to_str().unwrap()]);
    (out.status.code().unwrap(), text(&out.stdout), text(&out.stderr))
}

fn place(xml: &str, what: &str) -> String {
    let at = xml.find(what).unwrap();
    let line = xml[..at].matches('\n').count() + 1;
    let column = at - xml[..at].rfind('\n').map_or(0, |n| n + 1) + 1;
    format!(":{line}:{column}:")
}

#[test]
fn the_example_is_right() {
    let (code, out, _) = check("right", EXAMPLE);
    assert_eq!(code, 0);
    assert!(out.contains("ok: router r1"));
}

#[test]
fn each_wrong_word_is_told_with_line_and_column() {
    // What is replaced, with what, and the place that the error must name.
    let cases = [
        ("release=\"1s\"", "release=\"1 s\"", "release=\"1 s\""),
        ("release=\"1s\"", "relaese=\"1s\"", "relaese"),
        ("cold-from=\"0.3\"", "cold-from=\"1.3\"", "cold-from"),
        ("max-attempts=\"4\"", "max-attempts=\"-4\"", "max-attempts"),
        ("self-prefill=\"true\"", "self-prefill=\"yes\"", "self-prefill"),
        ("listen=\"127.0.0.1:8400\"", "listen=\"localhost\"", "listen=\"localhost"),
        ("max-attempts=\"4\"", "max-attempts=\"0\"", "max-attempts"),
        ("max-attempts=\"4\"", "max-attempts=\"101\"", "max-attempts"),
        ("max-attempts=\"4\"", "must-ask-in=\"0s\"", "must-ask-in"),
        ("kind=\"reader\" zone=\"hall\"", "kind=\"reader\" zone=\"hell\"", "zone=\"hell\""),
        ("role=\"reader\"", "role=\"raeder\"", "role=\"raeder"),
        ("default=\"help\"", "default=\"halp\"", "default=\"halp"),
        ("name=\"report\"", "name=\"help\"", "name=\"help\" aim=\"2s\""),
        ("aim=\"2s\"", "aim=\"9s\"", "aim=\"9s"),
        ("effect=\"single-shot\"", "effect=\"guarded\"", "<class name=\"report\""),
        ("<may class=\"report\"/>", "<may class=\"reports\"/>", "class=\"reports\""),
        ("<may class=\"report\"/>", "<might class=\"report\"/>", "<might"),
        ("kind=\"reader\" zone", "kind=\"reeder\" zone", "kind=\"reeder\""),
        (
            "id=\"write-2\"",
            "id=\"write-1\"",
            "id=\"write-1\" kind=\"writer\" zone=\"hall\" cell=\"1\" address=\"127.0.0.1:8503\"",
        ),
        ("salt=\"00", "salt=\"zz", "salt=\"zz"),
        ("</engines>", "</engine>", "</engine>\n"),
    ];
    for (n, (from, to, at)) in cases.iter().enumerate() {
        assert!(EXAMPLE.contains(from), "{from}");
        let xml = EXAMPLE.replacen(from, to, 1);
        let (code, _, err) = check(&format!("case-{n}"), &xml);
        assert_eq!(code, 2, "{to}: {err}");
        assert!(err.contains(&place(&xml, at)), "{to}: {} not in {err}", place(&xml, at));
    }
}

#[test]
fn all_errors_are_told_at_once_and_a_file_that_is_no_settings_is_said_so() {
    let xml = EXAMPLE.replace("1s", "1x").replace("role=\"reader\"", "role=\"r\"").replace("250ms", "250x");
    let (_, _, err) = check("many", &xml);
    assert!(err.lines().count() >= 4, "{err}");
    let (code, _, err) = check("other", "<html/>");
    assert_eq!(code, 2);
    assert!(err.contains("urn:chalkyard:settings:1"));
    assert_eq!(chalkyard(&["check", "/nowhere.xml"]).status.code(), Some(2));
    assert_eq!(chalkyard(&["run", "/nowhere.xml"]).status.code(), Some(2));
    assert_eq!(chalkyard(&["dance"]).status.code(), Some(2));
}
