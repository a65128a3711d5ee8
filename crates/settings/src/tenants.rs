//! `<tenants>`: tenants, their API keys and the classes that each may use.

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_router::TenantConfig;

use crate::classes::Classes;
use crate::values::{Name, PositiveNumber, Text, UniqueNames};
use crate::xml::{Element, Errors};

/// The tenants in file order, and their API keys.
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
        let name = element.required("name", Name("-".into()), errors).0;
        names.add(&name, &element, "name", errors);
        tenant(&mut element, name, classes, &mut tenants, errors);
    }
    list.finish(errors);
    tenants
}

fn tenant(
    element: &mut Element<'_, '_>,
    name: String,
    classes: &Classes,
    tenants: &mut Tenants,
    errors: &mut Errors,
) {
    let allowance_per_s = element.optional::<PositiveNumber>("allowance-per-s", errors).map(|a| a.0);
    let mut allowed = None;
    for mut child in element.children(&["key", "may"], errors) {
        if child.tag() == "key" {
            let hash = child.required("hash", Text(String::new()), errors).0;
            if let Err(error) = tenants.keys.add(&hash, tenants.entries.len()) {
                child.report(Some("hash"), format!("key hash: {error}"), errors);
            }
        } else {
            let class = child.required("class", Name("-".into()), errors).0;
            match classes.position(&class) {
                Some(class) => allowed.get_or_insert_with(Vec::new).push(class),
                None => child.report(Some("class"), format!("no <class name=\"{class}\">"), errors),
            }
        }
        child.finish(errors);
    }
    element.finish(errors);
    tenants.entries.push(TenantConfig { name, classes: allowed });
    tenants.policies.push(p::Tenant { allowance_per_s });
}

/// Reads the salt of the key hashes.
fn salt(element: &mut Element<'_, '_>, errors: &mut Errors) -> [u8; 32] {
    let text = element.required("salt", Text("0".repeat(64)), errors).0;
    parse_salt(&text).unwrap_or_else(|| {
        element.report(Some("salt"), "salt must be 64 hexadecimal digits", errors);
        [0; 32]
    })
}

fn parse_salt(text: &str) -> Option<[u8; 32]> {
    let pair = |i: usize| text.get(i * 2..i * 2 + 2).and_then(|hex| u8::from_str_radix(hex, 16).ok());
    let bytes: Option<Vec<u8>> = (0..32).map(pair).collect();
    bytes.filter(|_| text.len() == 64)?.try_into().ok()
}
