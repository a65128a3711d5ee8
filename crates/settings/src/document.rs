//! The document as a whole: its elements are read in the order in which they refer to each other.

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

/// The namespace of settings of this version.
pub const NAMESPACE: &str = "urn:chalkyard:settings:1";

/// Top-level elements, each of which may be present once.
const PARTS: [&str; 10] =
    ["router", "rules", "bounds", "waits", "zones", "kinds", "classes", "tenants", "budgets", "engines"];
/// Top-level elements that must be present.
const REQUIRED_PARTS: [&str; 3] = ["router", "kinds", "classes"];

/// A checked settings file.
#[derive(Debug)]
pub struct Settings {
    /// Configuration of the router.
    pub config: Config,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Whether several routers may listen at this address.
    pub shared_port: bool,
    /// File in which the endpoint list is cached for the next start.
    pub endpoint_list_file: Option<PathBuf>,
    /// Engines named in the file itself, as an endpoint list.
    pub engines: Option<String>,
    /// How long a graceful shutdown waits for open requests.
    pub drain_timeout: Duration,
    /// Path of the control socket.
    pub control: Option<PathBuf>,
    /// Token budgets and their ledger.
    pub budgets: Option<Budgets>,
}

type Parts<'a, 'i> = BTreeMap<&'a str, Element<'a, 'i>>;

/// The top-level elements by their tags.
fn parts<'a, 'i>(root: &Element<'a, 'i>, errors: &mut Errors) -> Parts<'a, 'i> {
    root.finish(errors);
    let mut parts = Parts::new();
    for child in root.children(&PARTS, errors) {
        if let Some(second) = parts.insert(child.tag(), child) {
            second.report(None, format!("<{}> is there twice", second.tag()), errors);
        }
    }
    for needed in REQUIRED_PARTS {
        if !parts.contains_key(needed) {
            root.report(None, format!("<chalkyard> needs <{needed}>"), errors);
        }
    }
    parts
}

/// The settings of all top-level elements but `<router>`.
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

fn shared(parts: &mut Parts<'_, '_>, router: &mut Element<'_, '_>, errors: &mut Errors) -> Shared {
    let mut policy = policy(router, &mut parts.remove("rules"), errors);
    let zones = parts.remove("zones").map(|list| zones(&list, errors)).unwrap_or_default();
    let kinds = parts.remove("kinds").map(|list| kinds(&list, errors)).unwrap_or_default();
    let mut classes = parts.remove("classes").map(|mut list| classes(&mut list, errors)).unwrap_or_default();
    policy.classes = std::mem::take(&mut classes.policies);
    let tenants = parts.remove("tenants").map(|mut list| tenants(&mut list, &classes, errors));
    let mut tenants = tenants.unwrap_or_default();
    policy.tenants = std::mem::take(&mut tenants.policies);
    let budgets = parts.remove("budgets").map(|mut part| {
        let known = budgets::KnownNames {
            tenants: tenants.entries.iter().map(|t| t.name.as_str()).collect(),
            classes: classes.entries.iter().map(|c| c.name.as_str()).zip(&policy.classes).collect(),
            routers: policy.routers,
        };
        budgets::read(&mut part, &known, errors)
    });
    let engines = parts.remove("engines").map(|list| engines(&list, &zones, &kinds, errors));
    let bounds = parts.remove("bounds").map_or_else(Bounds::default, |mut part| bounds(&mut part, errors));
    let timeouts =
        parts.remove("waits").map_or_else(Timeouts::default, |mut part| timeouts(&mut part, errors));
    Shared { policy, zones, kinds, classes, tenants, budgets, engines, bounds, timeouts }
}

fn settings(router: &mut Element<'_, '_>, shared: Shared, errors: &mut Errors) -> Settings {
    let register = router.optional::<SocketAddr>("register", errors);
    if register.is_none() && shared.engines.is_none() {
        router.report(None, "engines must come from somewhere: `register` of <router>, or <engines>", errors);
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
            discovery: register,
            bounds: shared.bounds,
            timeouts: shared.timeouts,
            dialect: None,
        },
    };
    router.finish(errors);
    settings
}

/// Reads and checks a settings file.
///
/// # Errors
/// All errors of the file, in its order.
pub fn read(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let document = parse(text).map_err(|error| vec![error])?;
    let mut errors = Errors::default();
    let root = Element::new(document.root_element());
    let root_name = document.root_element().tag_name();
    if root_name.name() != "chalkyard" || root_name.namespace() != Some(NAMESPACE) {
        root.report(None, format!("the root must be <chalkyard xmlns=\"{NAMESPACE}\">"), &mut errors);
        return Err(errors.0);
    }
    let mut parts = parts(&root, &mut errors);
    let Some(mut router) = parts.remove("router") else { return Err(errors.0) };
    let shared = shared(&mut parts, &mut router, &mut errors);
    let settings = settings(&mut router, shared, &mut errors);
    if errors.0.is_empty() {
        Ok(settings)
    } else {
        errors.0.sort_by_key(|error| (error.line, error.column));
        Err(errors.0)
    }
}
