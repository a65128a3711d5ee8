//! The settings files of the routers under rehearsal.

use std::net::SocketAddr;
use std::path::Path;

use crate::record::{Class, RetrySafety};
use crate::scenario::{BudgetSpec, Scenario, Sharing};

/// The salt under which clients' keys are hashed.
const SALT: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// What the settings of one router differ in.
pub(crate) struct RouterSpec<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The file in which the endpoint list is cached.
    pub list_file: &'a str,
    /// Hashes of the tenants' keys, in the order of [`tenant_keys`].
    pub key_hashes: &'a [String],
    pub folder: &'a Path,
}

/// Tenants and their keys.
pub(crate) fn tenant_keys(scenario: &Scenario) -> Vec<(&'static str, &'static str)> {
    match &scenario.budgets {
        Some(budgets) => budgets.tenants.iter().map(|t| (t.name, t.key)).collect(),
        None => vec![("yard", "rehearsal-key")],
    }
}

/// A router's settings as XML.
pub(crate) fn settings(scenario: &Scenario, router: &RouterSpec<'_>) -> String {
    let mut xml = head(scenario, router);
    let default = scenario.classes.first().map_or("", |class| class.name.as_str());
    xml.push_str(&format!("  <classes default=\"{default}\">\n"));
    xml.extend(scenario.classes.iter().map(class));
    xml.push_str("  </classes>\n");
    xml.push_str(&format!("  <tenants salt=\"{SALT}\">\n"));
    for ((tenant, _), hash) in tenant_keys(scenario).iter().zip(router.key_hashes) {
        xml.push_str(&format!("    <tenant name=\"{tenant}\"><key hash=\"{hash}\"/></tenant>\n"));
    }
    xml.push_str("  </tenants>\n");
    if let Some(budgets) = &scenario.budgets {
        xml.push_str(&budget_section(scenario.routers, budgets, router));
    }
    xml.push_str("</chalkyard>\n");
    xml
}

fn head(scenario: &Scenario, router: &RouterSpec<'_>) -> String {
    let limits = &scenario.limits;
    let RouterSpec { name, listen, discovery, list_file, folder, .. } = router;
    format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="{name}" routers="{}" listen="{listen}" shared-port="true" register="{discovery}" list-file="{list_file}" drain="10s" control="{}/{name}.sock"/>
  <rules release="{}us" fall-multiple="{}" fall-after="{}us" cold-from="{}" cold-for="{}us"
         answer-slack="{}us" max-attempts="4" reports="in-answers" self-prefill="true"/>
  <waits stream="5s" slow-client="2s" register="5s"/>
  <zones><zone name="yard"/></zones>
  <kinds>
    <kind name="reader" role="reader" kv-tokens="200000"/>
    <kind name="writer" role="writer" kv-tokens="120000"/>
    <kind name="mixed" role="mixed" kv-tokens="160000"/>
  </kinds>
"#,
        scenario.configured_routers.map_or(scenario.routers, |n| n as usize),
        folder.display(),
        limits.release_us,
        limits.fall_multiple,
        limits.fall_us,
        limits.cold_from,
        limits.cold_us,
        limits.slack_us
    )
}

fn class(class: &Class) -> String {
    let effect = match class.retry_safety {
        RetrySafety::Idempotent => "effect=\"free\"".to_owned(),
        RetrySafety::NonIdempotent => "effect=\"single-shot\"".to_owned(),
        RetrySafety::Deduplicated => {
            format!("effect=\"guarded\" group=\"cell\" dedup-window=\"{}us\"", class.deduplication_window_us)
        }
    };
    format!(
        "    <class name=\"{}\" aim=\"{}us\" aim-per-1000-tokens=\"{}us\" deadline=\"{}us\" {effect}/>\n",
        class.name, class.latency_objective_us, class.latency_objective_per_1000_us, class.deadline_us
    )
}

fn budget_section(routers: usize, budgets: &BudgetSpec, router: &RouterSpec<'_>) -> String {
    let name = router.name;
    let folder = router.folder.display();
    let grants = match budgets.sharing {
        Sharing::Leases => format!("grants=\"{folder}/journal/grants/{name}.grant\""),
        Sharing::Equal => "sharing=\"equal\"".into(),
        Sharing::Unreserved => "sharing=\"unreserved\"".into(),
    };
    let mut xml = format!(
        "  <budgets zone=\"Europe/Zurich\" ledger=\"{folder}/{name}.ledger\" key-file=\"{folder}/lease.key\" {grants} \
         margin=\"0.{:03}\" sync=\"20ms\">\n",
        budgets.margin
    );
    xml.push_str(&format!(
        "    <settlement journal=\"{folder}/journal\" epoch=\"250ms\" lease=\"3s\" clock-error=\"100ms\">\n"
    ));
    for i in 1..=routers {
        xml.push_str(&format!("      <ledger router=\"r{i}\" folder=\"{folder}/r{i}.ledger\"/>\n"));
    }
    xml.push_str("    </settlement>\n");
    for tenant in &budgets.tenants {
        if let Some(tokens) = tenant.tokens {
            let name = tenant.name;
            xml.push_str(&format!("    <budget tenant=\"{name}\" period=\"day\" tokens=\"{tokens}\"/>\n"));
        }
    }
    xml.push_str("  </budgets>\n");
    xml
}

#[cfg(test)]
#[path = "router_settings_test.rs"]
mod tests;
