//! A failing day made as small as it can be and still fail.

use chalkyard_rehearsal::scenario::Scenario;

/// Takes faults away, one after the other and then again, as long as the scenario still fails; gives the scenario with the fewest
/// that were found, and how many scenarios were tried. Taking any one more away would have it pass.
pub fn shrink(scenario: &Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> (Scenario, u32) {
    let (mut least, mut tried) = (scenario.clone(), 0);
    // Large parts first, so that a scenario of many faults takes few attempts.
    let mut part = least.faults.len().div_ceil(2);
    while part > 0 {
        let mut at = 0;
        while at < least.faults.len() {
            let mut fewer = least.clone();
            fewer.faults.drain(at..(at + part).min(fewer.faults.len()));
            tried += 1;
            if fails(&fewer) {
                least = fewer;
            } else {
                at += part;
            }
        }
        // Once more at one, until nothing goes.
        part = match part {
            1 => 0,
            n => n.div_ceil(2),
        };
    }
    (least, tried)
}
