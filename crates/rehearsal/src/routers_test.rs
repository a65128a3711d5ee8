//! The settings that routers under rehearsal are given, held to the byte.

use super::*;
use crate::scenario::{base, budgets};

fn written(scenario: &Scenario) -> String {
    let (listen, register) = (SocketAddr::from(([127, 0, 0, 1], 81)), SocketAddr::from(([127, 0, 0, 1], 82)));
    let hashes = ["aa".repeat(32), "bb".repeat(32), "cc".repeat(32)];
    settings(scenario, "r2", listen, register, "/x/r2.list", &hashes, Path::new("/x"))
}

#[test]
fn routers_are_given_the_same_settings_as_ever() {
    let mut scenario = base("calm-day", 1, 20_000_000);
    assert_eq!(written(&scenario), include_str!("../tests/data/settings_small.xml"));
    scenario.told_routers = Some(30);
    assert!(written(&scenario).contains("routers=\"30\""));
    let shared =
        [(Sharing::Leases, "leases"), (Sharing::Equal, "equal"), (Sharing::Unreserved, "unreserved")];
    for (sharing, name) in shared {
        let file = format!("{}/tests/data/settings_{name}.xml", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(written(&budgets(1, 20, sharing)), std::fs::read_to_string(file).unwrap_or_default());
    }
}
