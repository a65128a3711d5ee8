//! `<tenants>`: who may ask, under which keys, for which classes.

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_router::TenantConfig;

use crate::classes::Classes;
use crate::values::{Name, Positive, Text, UniqueNames};
use crate::xml::{Element, Errors};

/// The tenants by position, and their keys.
#[derive(Debug)]
pub struct Tenants {
    pub entries: Vec<TenantConfig>,
    pub policies: Vec<p::Tenant>,
    pub keys: KeyRing,
}

impl Default for Tenants {
    fn default() -> Self {
        Self { entries: Vec::new(), policies: Vec::new(), keys: KeyRing::new([0; 32]) }
    }
}

/// Reads `<tenants>`.
pub fn tenants(list: &mut Element<'_, '_>, classes: &Classes, errors: &mut Errors) -> Tenants {
    let keys = KeyRing::new(salt(list, errors));
    let (mut tenants, mut names) = (Tenants { keys, ..Tenants::default() }, UniqueNames::default());
    for mut element in list.children(&["tenant"], errors) {
        let name = element.must("name", Name("-".into()), errors).0;
        names.add(&name, &element, "name", errors);
        tenant(&mut element, name, classes, &mut tenants, errors);
    }
    list.done(errors);
    tenants
}

fn tenant(
    element: &mut Element<'_, '_>,
    name: String,
    classes: &Classes,
    tenants: &mut Tenants,
    errors: &mut Errors,
) {
    let allowance_per_s = element.maybe::<Positive>("allowance-per-s", errors).map(|a| a.0);
    let mut allowed = None;
    for mut child in element.children(&["key", "may"], errors) {
        if child.tag() == "key" {
            let hash = child.must("hash", Text(String::new()), errors).0;
            if let Err(why) = tenants.keys.add(&hash, tenants.entries.len()) {
                child.wrong(Some("hash"), format!("key hash: {why}"), errors);
            }
        } else {
            let class = child.must("class", Name("-".into()), errors).0;
            match classes.position(&class) {
                Some(class) => allowed.get_or_insert_with(Vec::new).push(class),
                None => child.wrong(Some("class"), format!("no <class name=\"{class}\">"), errors),
            }
        }
        child.done(errors);
    }
    element.done(errors);
    tenants.entries.push(TenantConfig { name, classes: allowed });
    tenants.policies.push(p::Tenant { allowance_per_s });
}

fn salt(e: &mut Element<'_, '_>, errors: &mut Errors) -> [u8; 32] {
    let text = e.must("salt", Text("0".repeat(64)), errors).0;
    let pair = |i: usize| text.get(i * 2..i * 2 + 2).and_then(|h| u8::from_str_radix(h, 16).ok());
    let bytes: Option<Vec<u8>> = (0..32).map(pair).collect();
    let bytes = bytes.filter(|_| text.len() == 64).and_then(|b| b.try_into().ok());
    bytes.unwrap_or_else(|| {
        e.wrong(Some("salt"), "salt must be 64 hexadecimal digits", errors);
        [0; 32]
    })
}
