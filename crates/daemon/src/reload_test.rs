//! Tests of `reload`.
#![allow(clippy::unwrap_used)]
use super::*;

const OLD: &str = include_str!("../../../deploy/budgets.xml");

fn changed(from: &str, to: &str) -> Vec<(String, bool, u32)> {
    assert!(OLD.contains(from), "{from}");
    let new = OLD.replacen(from, to, 1);
    differences(OLD, &new).unwrap().into_iter().map(|c| (c.path, c.in_flight, c.line)).collect()
}

#[test]
fn what_can_be_taken_over_in_flight_and_what_needs_a_successor() {
    assert_eq!(differences(OLD, OLD).unwrap(), []);
    let line = |what: &str| OLD[..OLD.find(what).unwrap()].matches('\n').count() as u32 + 1;
    let one = |from: &str, to: &str, path: &str, in_flight: bool| {
        assert_eq!(changed(from, to), [(path.to_owned(), in_flight, line(from))], "{from} to {to}");
    };
    one("tokens=\"2000000\"", "tokens=\"9\"", "chalkyard/budgets/budget[nord help hour]", true);
    one("margin=\"0.1\"", "margin=\"0.2\"", "chalkyard/budgets", true);
    one("zone=\"Europe/Zurich\"", "zone=\"UTC\"", "chalkyard/budgets", false);
    one("sync=\"50ms\"", "sync=\"20ms\"", "chalkyard/budgets", false);
    one("ledger=\"state/r1\"", "ledger=\"state/r9\"", "chalkyard/budgets", false);
    one("aim=\"5s\"", "aim=\"6s\"", "chalkyard/classes/class[later]", false);
    one("routers=\"2\"", "routers=\"3\"", "chalkyard/router", false);
    one("epoch=\"1s\"", "epoch=\"2s\"", "chalkyard/budgets/settlement", true);
    let key = "<key hash=\"39fe13e0bf950340857a4fbd9be7c32c105ffc710546947de0573092bf6b5710\"/>";
    let gone = changed(key, "");
    assert!(
        gone.len() == 1 && gone.iter().all(|(path, live, _)| path.contains("/key[39fe") && *live),
        "{gone:?}"
    );
    let second = changed("</tenants>", "<tenant name=\"sued\"/></tenants>");
    assert!(
        second.iter().all(|(path, live, _)| path == "chalkyard/tenants/tenant[sued]" && !live),
        "{second:?}"
    );
    let without = changed(&format!("<tenant name=\"nord\">{key}</tenant>"), "");
    assert!(
        without.iter().all(|(path, live, _)| path == "chalkyard/tenants/tenant[nord]" && *live),
        "{without:?}"
    );
}
