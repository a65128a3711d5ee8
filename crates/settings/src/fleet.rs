//! `<zones>`, `<kinds>` and `<engines>`: the engines to which requests are routed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_router::WorkerKind;

use crate::values::{Name, PositiveNumber, RoleValue, UniqueNames};
use crate::xml::{Element, Errors};

/// Zones by name.
pub type Zones = BTreeMap<String, p::ZoneId>;
/// Kinds of engines by name.
pub type Kinds = BTreeMap<String, WorkerKind>;

/// Reads `<zones>`.
pub fn zones(list: &Element<'_, '_>, errors: &mut Errors) -> Zones {
    let (mut zones, mut names) = (Zones::new(), UniqueNames::default());
    for (position, mut zone) in list.children(&["zone"], errors).into_iter().enumerate() {
        let name = zone.required("name", Name("-".into()), errors).0;
        names.add(&name, &zone, "name", errors);
        zone.finish(errors);
        zones.insert(name, p::ZoneId(position));
    }
    list.finish(errors);
    zones
}

/// Reads `<kinds>`.
pub fn kinds(list: &Element<'_, '_>, errors: &mut Errors) -> Kinds {
    let (mut kinds, mut names) = (Kinds::new(), UniqueNames::default());
    for mut kind in list.children(&["kind"], errors) {
        let name = kind.required("name", Name("-".into()), errors).0;
        let role = kind.required("role", RoleValue(p::Role::Combined), errors).0;
        let kv_tokens = kind.optional::<u64>("kv-tokens", errors);
        kind.finish(errors);
        names.add(&name, &kind, "name", errors);
        kinds.insert(name, WorkerKind { role, kv_tokens });
    }
    list.finish(errors);
    kinds
}

/// Reads `<engines>` into an endpoint list in the format of service discovery.
pub fn engines(list: &Element<'_, '_>, zones: &Zones, kinds: &Kinds, errors: &mut Errors) -> String {
    let (mut workers, mut ids) = (Vec::new(), UniqueNames::default());
    for mut engine in list.children(&["engine"], errors) {
        let id = engine.required("id", Name("-".into()), errors).0;
        ids.add(&id, &engine, "id", errors);
        workers.push(worker(&mut engine, id, zones, kinds, errors));
        engine.finish(errors);
    }
    list.finish(errors);
    serde_json::json!({ "version": 0, "workers": workers }).to_string()
}

fn worker(
    engine: &mut Element<'_, '_>,
    id: String,
    zones: &Zones,
    kinds: &Kinds,
    errors: &mut Errors,
) -> serde_json::Value {
    let kind = engine.required("kind", Name("-".into()), errors).0;
    if !kinds.contains_key(&kind) {
        engine.report(Some("kind"), format!("no <kind name=\"{kind}\">"), errors);
    }
    let zone = engine.optional::<Name>("zone", errors).map(|z| z.0);
    if zone.as_ref().is_some_and(|z| !zones.contains_key(z)) {
        engine.report(Some("zone"), "no such <zone>", errors);
    }
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    serde_json::json!({
        "worker": id, "kind": kind, "zone": zone, "state": "in",
        "address": engine.required("address", placeholder, errors).to_string(),
        "cell": engine.with_default("cell", 0_u64, errors), "weight": engine.with_default("weight", PositiveNumber(1.0), errors).0,
    })
}
