//! `<classes>`: request classes with their latency objectives and retry safety.

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_router::ClassConfig;

use crate::values::{EffectKind, EffectValue, GroupValue, Name, TimeSpan, UniqueNames};
use crate::xml::{Element, Errors};

/// The classes in file order, for the router and for the decision module.
#[derive(Debug, Default)]
pub struct Classes {
    pub entries: Vec<ClassConfig>,
    pub policies: Vec<p::Class>,
    /// Index of the class for requests that name no class.
    pub default: Option<usize>,
}

impl Classes {
    /// Returns the index of a class.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|c| c.name == name)
    }
}

/// Reads `<classes>`.
pub fn classes(list: &mut Element<'_, '_>, errors: &mut Errors) -> Classes {
    let (mut classes, mut names) = (Classes::default(), UniqueNames::default());
    for mut element in list.children(&["class"], errors) {
        let (name, class) = class(&mut element, errors);
        names.add(&name, &element, "name", errors);
        classes.entries.push(ClassConfig { name });
        classes.policies.push(class);
    }
    if classes.entries.is_empty() {
        list.report(None, "<classes> needs at least one <class>", errors);
    }
    let name = list.required("default", Name("-".into()), errors).0;
    classes.default = classes.position(&name);
    if classes.default.is_none() {
        list.report(Some("default"), format!("no <class name=\"{name}\">"), errors);
    }
    list.finish(errors);
    classes
}

fn class(element: &mut Element<'_, '_>, errors: &mut Errors) -> (String, p::Class) {
    let name = element.required("name", Name("-".into()), errors).0;
    let deadline = element.required("deadline", TimeSpan(Micros(10_000_000)), errors).0;
    let aim = element.required("aim", TimeSpan(Micros(1_000_000)), errors).0;
    if aim >= deadline {
        element.report(Some("aim"), "`aim` must be less than `deadline`", errors);
    }
    let effect = element.required("effect", EffectValue(EffectKind::NonIdempotent), errors).0;
    let group = element.optional::<GroupValue>("group", errors).map(|g| g.0);
    let window = element.optional::<TimeSpan>("dedup-window", errors).map(|s| s.0);
    if effect == EffectKind::Deduplicated && (group.is_none() || window.is_none()) {
        element.report(None, "effect=\"guarded\" requires `group` and `dedup-window`", errors);
    }
    if effect != EffectKind::Deduplicated && (group.is_some() || window.is_some()) {
        element.report(None, "`group` and `dedup-window` require effect=\"guarded\"", errors);
    }
    let class = p::Class {
        latency_objective: aim,
        latency_objective_per_1000_tokens: element
            .with_default("aim-per-1000-tokens", TimeSpan(Micros(0)), errors)
            .0,
        deadline,
        retry_safety: match effect {
            EffectKind::Idempotent => p::RetrySafety::Idempotent,
            EffectKind::Deduplicated => {
                p::RetrySafety::Deduplicated(group.unwrap_or(p::DeduplicationScope::Cell))
            }
            EffectKind::NonIdempotent => p::RetrySafety::NonIdempotent,
        },
        dedup_window: window.unwrap_or_default(),
    };
    element.finish(errors);
    (name, class)
}
