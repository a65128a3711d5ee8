//! A recorded day with a line of every kind, written by an earlier version: it is read, and written again, byte for byte.
//! Recorded days are kept and audited later, so their names outlast the Rust names.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use std::collections::BTreeSet;
use std::fmt::Debug;

use chalkyard_rehearsal::record::{
    parse, text, Answer, AttemptEnd, Event, Line, ReleaseCause, RetrySafety, Stage,
};
use chalkyard_rehearsal::scenario::LinkScope;
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

const STORED: &str = include_str!("data/record_forms.jsonl");

#[test]
fn a_stored_record_is_read_and_written_again_as_it_was() {
    let lines = parse(STORED).unwrap();
    assert_eq!(lines.len(), STORED.lines().count());
    assert_eq!(text(&lines), STORED);
}

/// The names of an enum's variants in their order, as its deserializer tells them.
fn variant_names<T: DeserializeOwned + Debug>(from: Value) -> Vec<String> {
    let told = serde_json::from_value::<T>(from).unwrap_err().to_string();
    // "unknown variant `?`, expected one of `a`, `b`"
    told.split('`').skip(3).step_by(2).map(str::to_owned).collect()
}

/// The texts that stand under a name in lines of these kinds; all kinds, if none is named.
fn stored(kinds: &[&str], name: &str) -> BTreeSet<String> {
    let lines = STORED.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let of_kinds = lines.filter(|line| kinds.is_empty() || kinds.contains(&line["k"].as_str().unwrap()));
    of_kinds.filter_map(|line| line[name].as_str().map(str::to_owned)).collect()
}

#[test]
fn the_stored_record_holds_each_kind_and_each_value_that_there_is() {
    let all = |names: Vec<String>| names.into_iter().collect::<BTreeSet<String>>();
    assert_eq!(stored(&[], "k"), all(variant_names::<Line>(json!({"t": 0, "k": "?"}))));
    let kinds = "day engine start down told arrive run end work hold free ask first answer leave lost unreached connect \
                 listed use router fault";
    assert_eq!(variant_names::<Event>(json!({"k": "?"})), kinds.split_whitespace().collect::<Vec<_>>());
    assert_eq!(stored(&["arrive"], "stage"), all(variant_names::<Stage>(json!("?"))));
    assert_eq!(stored(&["end"], "how"), all(variant_names::<AttemptEnd>(json!("?"))));
    assert_eq!(stored(&["free"], "how"), all(variant_names::<ReleaseCause>(json!("?"))));
    assert_eq!(stored(&["answer"], "how"), all(variant_names::<Answer>(json!("?"))));
    assert_eq!(stored(&["fault"], "links"), all(variant_names::<LinkScope>(json!("?"))));
    assert_eq!(variant_names::<RetrySafety>(json!("?")), ["free", "guarded", "single_shot"]);
    assert_eq!(variant_names::<Stage>(json!("?")), ["read", "pull", "whole"]);
    assert_eq!(
        variant_names::<AttemptEnd>(json!("?")),
        ["answered", "refused", "no_state", "error", "closed", "down"]
    );
    assert_eq!(variant_names::<ReleaseCause>(json!("?")), ["pulled", "released", "expired", "down"]);
    assert_eq!(
        variant_names::<Answer>(json!("?")),
        ["served", "refused", "failed", "broken", "duplicate", "invalid"]
    );
    assert_eq!(variant_names::<LinkScope>(json!("?")), ["clients", "engines", "register", "all"]);
}
