//! The settings that routers under rehearsal are given, held to the byte.

use super::*;
use crate::scenario::{base, budgets};

fn written(scenario: &Scenario) -> String {
    let hashes = ["aa".repeat(32), "bb".repeat(32), "cc".repeat(32)];
    let router = RouterSpec {
        name: "r2",
        listen: SocketAddr::from(([127, 0, 0, 1], 81)),
        discovery: SocketAddr::from(([127, 0, 0, 1], 82)),
        list_file: "/x/r2.list",
        key_hashes: &hashes,
        folder: Path::new("/x"),
    };
    settings(scenario, &router)
}

#[test]
fn routers_are_given_the_same_settings_as_ever() {
    let mut scenario = base("calm-day", 1, 20_000_000);
    assert_eq!(written(&scenario), include_str!("../tests/data/settings_small.xml"));
    scenario.configured_routers = Some(30);
    assert!(written(&scenario).contains("routers=\"30\""));
    let shared =
        [(Sharing::Leases, "leases"), (Sharing::Equal, "equal"), (Sharing::Unreserved, "unreserved")];
    for (sharing, name) in shared {
        let file = format!("{}/tests/data/settings_{name}.xml", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(written(&budgets(1, 20, sharing)), std::fs::read_to_string(file).unwrap_or_default());
    }
}
