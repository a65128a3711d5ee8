//! Tests of `day`.
#![allow(clippy::unwrap_used)]
use super::*;

#[test]
fn a_bad_day_has_most_kinds_and_is_the_same_for_a_seed() {
    let (one, two, other) = (bad_day(1, 60), bad_day(1, 60), bad_day(2, 60));
    let kinds = KINDS.iter().filter(|(_, k)| one.faults.iter().any(|f| f.kind == *k)).count();
    let of_other_days = 9;
    assert_eq!(kinds, KINDS.len() - of_other_days);
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
    assert_ne!(format!("{:?}", one.faults), format!("{:?}", other.faults));
    let overlap =
        |f: &Fault| one.faults.iter().filter(|g| g.at < f.at + f.len && f.at < g.at + g.len).count() > 1;
    assert!(one.faults.iter().filter(|f| overlap(f)).count() > 15);
}

#[test]
fn a_bench_days_troubles_are_played_by_name() {
    let text = r#"{"site":"x","length":40000000,"servers":[1,2,3,4],"troubles":[
        {"kind":"slow","at":10000000,"len":5000000,"size":3.0,"on":[0,1]},
        {"kind":"burst","at":20000000,"len":5000000,"size":1.5}]}"#;
    let scenario = from_bench_file(text, 1, Some(20)).unwrap();
    let slow = scenario.faults.first().unwrap();
    assert_eq!((slow.kind, slow.at, slow.len, slow.on.len()), (Kind::Slow, 5_000_000, 2_500_000, 4));
    let wrong = text.replace("burst", "bust");
    assert!(from_bench_file(&wrong, 1, None).unwrap_err().contains("troubles[1].kind"));
    assert!(from_bench_file("{}", 1, None).unwrap_err().contains("site"));
}
