//! The audit says "broken" for a doctored record of each rule, and "held" for the sound one.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use chalkyard_rehearsal::{audit, Report, Rules};

/// A sound day: a report read, pulled and served; a cold engine; a drained one; a refusal; a leaving.
const SOUND: &str = include_str!("sound.jsonl");

/// Try 3 of it, of a free class: when its client left, and until when it would have waited.
const LEFT: u64 = 2_500_000;
const DEADLINE: u64 = 6_000_000;

fn judged(text: &str) -> Report {
    match audit(text) {
        Ok(report) => report,
        Err(why) => panic!("{why}"),
    }
}

/// Which rules are broken.
fn broken(rules: &Rules) -> Vec<&'static str> {
    let all = [
        ("answered", rules.answered),
        ("effect", rules.effect),
        ("drain", rules.drain),
        ("cold", rules.cold),
        ("pinned", rules.pinned),
        ("gone", rules.gone),
        ("told", rules.propagated_timeout),
    ];
    all.iter().filter(|(_, r)| !r.passed).map(|(name, _)| *name).collect()
}

/// The record without lines that hold a text (none if empty) and with others put in, in order of time.
fn doctored(without: &str, with: &str) -> Vec<&'static str> {
    let mut lines: Vec<&str> = SOUND.lines().filter(|l| without.is_empty() || !l.contains(without)).collect();
    assert!(without.is_empty() || lines.len() < SOUND.lines().count(), "nothing was taken out");
    lines.extend(with.lines());
    let time = |l: &str| l[5..].split(',').next().unwrap().parse::<u64>().unwrap();
    lines.sort_by_key(|l| time(l));
    broken(&judged(&lines.join("\n")).rules)
}

fn arrive(t: u64, no: u64, engine: &str, router: &str, key: &str, class: &str) -> String {
    let end = t + 5_000;
    format!(
        r#"{{"t":{t},"k":"arrive","attempt":{no},"engine":"{engine}","router":"{router}","request":"x{no}","identity":"0/{key}","class":"{class}","stage":"whole"}}
{{"t":{end},"k":"end","attempt":{no},"how":"answered"}}"#
    )
}

#[test]
fn the_sound_record_holds_all_rules_and_each_was_checked() {
    let report = judged(SOUND);
    assert_eq!(report.broken, Vec::<String>::new());
    let r = report.rules;
    assert!(r.passed());
    assert_eq!([r.answered, r.effect, r.drain, r.cold, r.pinned].map(|r| r.checked), [4, 2, 8, 1, 1]);
    let a = report.answers;
    assert_eq!((report.requests, a.served, a.rejected, a.left), (4, 2, 1, 1));
    assert!((report.goodput - 3.0 / 6.0).abs() < 1e-9);
}

#[test]
fn answered_is_broken_by_a_missing_a_second_and_a_late_answer() {
    let (served, refused) = (r#""k":"answer","try":1"#, r#""k":"answer","try":2"#);
    assert_eq!(doctored(refused, ""), ["answered"]);
    let twice = r#"{"t":1400000,"k":"answer","try":1,"how":"failed","may_have_run":true,"tokens":0}"#;
    assert_eq!(doctored("", twice), ["answered"]);
    let late = r#"{"t":7300000,"k":"answer","try":2,"how":"refused","may_have_run":false,"tokens":0}"#;
    assert_eq!(doctored(refused, late), ["answered"]);
    let lost = r#"{"t":1400000,"k":"lost","try":1,"unreached":false}"#;
    assert_eq!(doctored(served, lost), ["answered"]);
    assert_eq!(doctored(refused, r#"{"t":8400000,"k":"leave","try":2}"#), ["answered"]);
    // The same loss is nobody's fault where the router was killed just then.
    let killed = format!("{}\n{lost}", r#"{"t":1390000,"k":"router","router":"r1","up":false}"#);
    assert_eq!(doctored(served, &killed), Vec::<&str>::new());
}

#[test]
fn a_lost_answer_is_excused_by_a_fault_of_the_clients_link_alone() {
    let served = r#""k":"answer","try":1"#;
    let lost = r#"{"t":1400000,"k":"lost","try":1,"unreached":false}"#;
    let with_fault = |links: &str| {
        let fault =
            format!(r#"{{"t":1390000,"k":"fault","name":"link_reset","on":"",{links}"begins":true}}"#);
        doctored(served, &format!("{fault}\n{lost}"))
    };
    assert_eq!(with_fault(r#""links":"clients","#), Vec::<&str>::new());
    assert_eq!(with_fault(""), Vec::<&str>::new(), "whose is not said");
    assert_eq!(with_fault(r#""links":"engines","#), ["answered"]);
    assert_eq!(with_fault(r#""links":"register","#), ["answered"]);
}

#[test]
fn gone_is_broken_by_an_attempt_over_100_ms_after_the_client_left_or_was_answered() {
    let after = |t: u64| doctored("", &arrive(t, 40, "write", "r1", "k3", "help"));
    assert_eq!(after(LEFT + 100_000), Vec::<&str>::new());
    assert_eq!(after(LEFT + 100_001), ["gone"]);
    // Another router's client is another client.
    let other = arrive(LEFT + 100_001, 40, "write", "r2", "k3", "help");
    let told = r#"{"t":0,"k":"told","router":"r2","engine":"write","state":"in","started":0}"#;
    assert_eq!(doctored("", &format!("{other}\n{told}")), Vec::<&str>::new());
    // The answer of try 4, a guarded one, came at 2.801 s; a read is no effect, and too late all the same.
    let read = arrive(2_920_000, 41, "read", "r1", "k4", "lookup").replace("whole", "read");
    assert_eq!(doctored("", &read), ["gone"]);
}

#[test]
fn told_is_broken_by_an_attempt_that_tells_over_150_ms_more_than_is_left() {
    const ARRIVED: u64 = 2_400_000;
    let told = |us: u64| {
        let with = format!(r#""stage":"whole","told_us":{us}"#);
        doctored("", &arrive(ARRIVED, 42, "write", "r1", "k3", "help").replace(r#""stage":"whole""#, &with))
    };
    assert_eq!(told(DEADLINE - ARRIVED + 150_000), Vec::<&str>::new());
    assert_eq!(told(DEADLINE - ARRIVED + 150_001), ["told"]);
}

#[test]
fn effect_is_broken_by_a_second_run_a_second_send_and_a_false_refusal() {
    let second_send = arrive(1_350_000, 20, "write", "r1", "k1", "report");
    assert_eq!(doctored("", &second_send), ["effect"]);
    let second_run = format!("{second_send}\n{}", r#"{"t":1352000,"k":"run","attempt":20}"#);
    assert_eq!(doctored("", &second_run), ["effect"]);
    let false_refusal =
        r#"{"t":1301000,"k":"answer","try":1,"how":"refused","may_have_run":false,"tokens":2}"#;
    assert_eq!(doctored(r#""k":"answer","try":1"#, false_refusal), ["effect"]);
    // Guarded: beyond the cell, or beyond the window.
    assert_eq!(doctored("", &arrive(2_710_000, 21, "far", "r1", "k4", "lookup")), ["effect"]);
    assert_eq!(doctored("", &arrive(2_710_000, 21, "write", "r1", "k4", "lookup")), Vec::<&str>::new());
    // Also long after its client had its answer.
    let past_its_window = arrive(5_750_000, 21, "write", "r1", "k4", "lookup");
    assert_eq!(doctored("", &past_its_window), ["effect", "gone"]);
}

#[test]
fn drain_is_broken_by_work_past_the_grace_and_for_an_engine_never_told_of() {
    let late = arrive(6_200_000, 30, "write", "r1", "k9", "help");
    assert_eq!(doctored("", &late), ["drain"]);
    assert_eq!(doctored("", &late.replace("r1", "r2")), ["drain"]);
    let back = r#"{"t":6100000,"k":"told","router":"r1","engine":"write","state":"in","started":0}"#;
    assert_eq!(doctored("", &format!("{late}\n{back}")), Vec::<&str>::new());
}

#[test]
fn cold_is_broken_by_a_burst_of_those_who_were_told() {
    let burst = |router: &str| {
        let one = |n: u64| arrive(4_200_000 + n * 1_000, 100 + n, "far", router, &format!("b{n}"), "help");
        (0..9).map(one).collect::<Vec<_>>().join("\n")
    };
    assert_eq!(doctored("", &burst("r1")), ["cold"]);
    // Those who were told only of its earlier life are not to blame.
    let told = r#"{"t":0,"k":"told","router":"r2","engine":"far","state":"in","started":0}"#;
    assert_eq!(doctored("", &format!("{}\n{told}", burst("r2"))), Vec::<&str>::new());
}

#[test]
fn pinned_is_broken_by_state_that_nobody_takes_or_lets_go() {
    let free = r#""k":"free""#;
    let expired = r#"{"t":7000000,"k":"free","engine":"read","request":"q1","how":"expired"}"#;
    assert_eq!(doctored(free, expired), ["pinned"]);
    assert_eq!(doctored(free, ""), ["pinned"]);
    let released = r#"{"t":2200000,"k":"free","engine":"read","request":"q1","how":"released"}"#;
    assert_eq!(doctored(free, released), Vec::<&str>::new(), "in time, counted from the last attempt");
    // Nobody sees an attempt at a dead writer, which starts the time again; once the router is told, there is none
    // (and what goes to that writer later breaks the drain rule in both).
    let late = r#"{"t":4900000,"k":"free","engine":"read","request":"q1","how":"released"}"#;
    assert_eq!(doctored(free, late), ["pinned"]);
    let dead = r#"{"t":1400000,"k":"down","engine":"write","fell":false}"#;
    let told = |t: u64| {
        format!(r#"{{"t":{t},"k":"told","router":"r1","engine":"write","state":"out","started":0}}"#)
    };
    assert_eq!(doctored(free, &format!("{late}\n{dead}\n{}", told(3_900_000))), ["drain"]);
    assert_eq!(doctored(free, &format!("{late}\n{dead}\n{}", told(1_500_000))), ["drain", "pinned"]);
}

#[test]
fn a_record_that_cannot_be_read_is_refused_with_its_line() {
    let wrong = |text: &str| audit(text).err().unwrap();
    assert!(wrong("").starts_with("1:"));
    assert!(wrong(&SOUND.replacen("\"k\":\"told\"", "\"k\":\"tole\"", 1)).starts_with("5:"));
    assert!(wrong(&format!("{SOUND}{}", r#"{"t":1,"k":"leave","try":1}"#)).contains("time goes back"));
    assert!(wrong(&format!("{SOUND}{}", r#"{"t":9000001,"k":"leave","try":99}"#)).contains("unknown try 99"));
    assert!(wrong(&format!("{SOUND}{}", r#"{"t":9000001,"k":"run","attempt":99}"#))
        .contains("unknown attempt 99"));
    assert!(wrong(SOUND.split_once('\n').unwrap().1).starts_with("1:"));
}
