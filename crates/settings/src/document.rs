//! The whole document. Elements are read after the elements that they refer to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, Config, Timeouts};

use crate::budgets::{self, Budgets};
use crate::classes::{classes, Classes};
use crate::fleet::{engines, kinds, zones, Kinds, Zones};
use crate::limits::{bounds, timeouts};
use crate::rules::policy;
use crate::tenants::{tenants, Tenants};
use crate::values::{Name, Text, TimeSpan};
use crate::xml::{parse, Element, Errors, SettingsError};

/// XML namespace of this version of the settings.
pub const NAMESPACE: &str = "urn:chalkyard:settings:1";

/// Top-level elements, each allowed once.
const SECTIONS: [&str; 10] =
    ["router", "rules", "bounds", "waits", "zones", "kinds", "classes", "tenants", "budgets", "engines"];
/// Required top-level elements.
const REQUIRED_SECTIONS: [&str; 3] = ["router", "kinds", "classes"];

/// A validated settings file.
#[derive(Debug)]
pub struct Settings {
    /// Configuration of the router.
    pub config: Config,
    /// Address on which client connections are accepted.
    pub listen: SocketAddr,
    /// Whether several routers may listen on this address.
    pub shared_port: bool,
    /// File that caches the endpoint list for the next start.
    pub endpoint_list_file: Option<PathBuf>,
    /// Static engines from `<engines>`, as an endpoint list.
    pub engines: Option<String>,
    /// How long a graceful shutdown waits for open requests to finish.
    pub drain_timeout: Duration,
    /// Path of the control socket.
    pub control: Option<PathBuf>,
    /// Token budgets and their ledger.
    pub budgets: Option<Budgets>,
}

type Sections<'a, 'i> = BTreeMap<&'a str, Element<'a, 'i>>;

/// Returns the top-level elements by tag; reports duplicate, unknown and missing ones.
fn sections<'a, 'i>(root: &Element<'a, 'i>, errors: &mut Errors) -> Sections<'a, 'i> {
    root.finish(errors);
    let mut sections = Sections::new();
    for child in root.children(&SECTIONS, errors) {
        if let Some(second) = sections.insert(child.tag(), child) {
            second.report(None, format!("duplicate element <{}>", second.tag()), errors);
        }
    }
    for needed in REQUIRED_SECTIONS {
        if !sections.contains_key(needed) {
            root.report(None, format!("<chalkyard> requires the element <{needed}>"), errors);
        }
    }
    sections
}

/// Settings of all top-level elements except `<router>`.
struct Shared {
    policy: p::Settings,
    zones: Zones,
    kinds: Kinds,
    classes: Classes,
    tenants: Tenants,
    budgets: Option<Budgets>,
    engines: Option<String>,
    bounds: Bounds,
    timeouts: Timeouts,
}

fn shared(sections: &mut Sections<'_, '_>, router: &mut Element<'_, '_>, errors: &mut Errors) -> Shared {
    let mut policy = policy(router, &mut sections.remove("rules"), errors);
    let zones = sections.remove("zones").map(|list| zones(&list, errors)).unwrap_or_default();
    let kinds = sections.remove("kinds").map(|list| kinds(&list, errors)).unwrap_or_default();
    let mut classes =
        sections.remove("classes").map(|mut list| classes(&mut list, errors)).unwrap_or_default();
    policy.classes = std::mem::take(&mut classes.policies);
    let tenants = sections.remove("tenants").map(|mut list| tenants(&mut list, &classes, errors));
    let mut tenants = tenants.unwrap_or_default();
    policy.tenants = std::mem::take(&mut tenants.policies);
    let budgets = sections.remove("budgets").map(|mut part| {
        let known = budgets::KnownNames {
            tenants: tenants.entries.iter().map(|t| t.name.as_str()).collect(),
            classes: classes.entries.iter().map(|c| c.name.as_str()).zip(&policy.classes).collect(),
            routers: policy.routers,
        };
        budgets::read(&mut part, &known, errors)
    });
    let engines = sections.remove("engines").map(|list| engines(&list, &zones, &kinds, errors));
    let bounds = sections.remove("bounds").map_or_else(Bounds::default, |mut part| bounds(&mut part, errors));
    let timeouts =
        sections.remove("waits").map_or_else(Timeouts::default, |mut part| timeouts(&mut part, errors));
    Shared { policy, zones, kinds, classes, tenants, budgets, engines, bounds, timeouts }
}

fn settings(router: &mut Element<'_, '_>, shared: Shared, errors: &mut Errors) -> Settings {
    let discovery = router.optional::<SocketAddr>("register", errors);
    if discovery.is_none() && shared.engines.is_none() {
        router.report(None, "no source of engines: set `register` of <router>, or add <engines>", errors);
    }
    let drain = router.with_default("drain", TimeSpan(Micros(20_000_000)), errors).0;
    let settings = Settings {
        listen: router.required("listen", SocketAddr::from(([127, 0, 0, 1], 0)), errors),
        shared_port: router.with_default("shared-port", false, errors),
        endpoint_list_file: router.optional::<Text>("list-file", errors).map(|t| t.0.into()),
        control: router.optional::<Text>("control", errors).map(|t| t.0.into()),
        drain_timeout: Duration::from_micros(drain.0),
        engines: shared.engines,
        budgets: shared.budgets,
        config: Config {
            name: router.required("name", Name("-".into()), errors).0,
            policy: shared.policy,
            classes: shared.classes.entries,
            default_class: shared.classes.default.unwrap_or(0),
            tenants: shared.tenants.entries,
            keys: shared.tenants.keys,
            zones: shared.zones,
            kinds: shared.kinds,
            discovery,
            bounds: shared.bounds,
            timeouts: shared.timeouts,
            dialect: None,
        },
    };
    router.finish(errors);
    settings
}

/// Parses and validates the text of a settings file.
///
/// # Errors
/// All errors of the file, in document order.
pub fn read(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let document = parse(text).map_err(|error| vec![error])?;
    let mut errors = Errors::default();
    let root = Element::new(document.root_element());
    let root_name = document.root_element().tag_name();
    if root_name.name() != "chalkyard" || root_name.namespace() != Some(NAMESPACE) {
        root.report(None, format!("the root element must be <chalkyard xmlns=\"{NAMESPACE}\">"), &mut errors);
        return Err(errors.0);
    }
    let mut sections = sections(&root, &mut errors);
    let Some(mut router) = sections.remove("router") else { return Err(errors.0) };
    let shared = shared(&mut sections, &mut router, &mut errors);
    let settings = settings(&mut router, shared, &mut errors);
    if errors.0.is_empty() {
        Ok(settings)
    } else {
        errors.0.sort_by_key(|error| (error.line, error.column));
        Err(errors.0)
    }
}
