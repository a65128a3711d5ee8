//! Reload: computes the differences of two settings files and applies all of them or none.
//!
//! A running router applies the differences that it can take over in flight. If any difference needs a successor
//! (`run --take-over`), it is reported with line and column, and nothing is applied.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::SyncSender;
use std::sync::Mutex;

use chalkyard_router::shell::SinkEvent;
use chalkyard_router::RuntimeSettings;
use chalkyard_settings::xml::parse;
use chalkyard_settings::Settings;
use roxmltree::Node;
use serde::Serialize;
use tracing::{info, warn};

/// Largest settings file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// A difference between two settings files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the element, with the key attributes of each step.
    pub path: String,
    /// Line in the new file; for a removed element, the line of its parent.
    pub line: u32,
    /// Column in the new file.
    pub column: u32,
    /// Description of the difference.
    pub what: String,
    /// Whether a running router applies the difference; otherwise it needs a successor.
    pub in_flight: bool,
}

/// Attributes that identify an element among others with its tag.
const KEY_ATTRIBUTES: [&str; 8] = ["name", "id", "hash", "tenant", "class", "period", "from", "router"];

fn label(node: &Node<'_, '_>) -> String {
    let names: Vec<&str> = KEY_ATTRIBUTES.iter().filter_map(|n| node.attribute(*n)).collect();
    let tag = node.tag_name().name();
    // These elements occur once, so their attributes do not identify them.
    let single = matches!(tag, "chalkyard" | "router" | "budgets" | "settlement" | "weights");
    if names.is_empty() || single {
        tag.into()
    } else {
        format!("{tag}[{}]", names.join(" "))
    }
}

/// Returns whether a running router can apply a difference.
fn in_flight(path: &str, attribute: Option<&str>, added: bool) -> bool {
    let mut parts = path.split('/').skip(1);
    let (top, second, third) =
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    match (top, attribute) {
        ("waits", _) => true,
        // The table of identities cannot be resized.
        ("bounds", name) => name != Some("identities"),
        ("tenants", Some("salt")) if second.is_empty() => true,
        // The decision module's list of tenants is fixed at the start. Tenants may be removed, and keys and classes of
        // tenants may change.
        ("tenants", _) => {
            let part = third.starts_with("key") || third.starts_with("may");
            part || (attribute.is_none() && !added && second.starts_with("tenant"))
        }
        ("budgets", Some(name)) if second.is_empty() => name == "margin",
        // Elements below `<budgets>` are limits or concern the settlement job. An added or removed `<budgets>` element
        // changes how budgets are kept.
        ("budgets", _) => !second.is_empty(),
        _ => false,
    }
}

fn walk(old: &Node<'_, '_>, new: &Node<'_, '_>, path: &str, out: &mut Vec<Change>) {
    let mut report =
        |path: &str, at: std::ops::Range<usize>, attribute: Option<&str>, what: String, added: bool| {
            let pos = new.document().text_pos_at(at.start);
            let in_flight = in_flight(path, attribute, added);
            out.push(Change { path: path.into(), line: pos.row, column: pos.col, what, in_flight });
        };
    for a in new.attributes() {
        match old.attribute(a.name()) {
            Some(before) if before == a.value() => {}
            before => {
                let before = before.map_or("nothing".into(), |b| format!("\"{b}\""));
                let what = format!("{} is \"{}\", was {before}", a.name(), a.value());
                report(path, a.range(), Some(a.name()), what, false);
            }
        }
    }
    for a in old.attributes().filter(|a| new.attribute(a.name()).is_none()) {
        let what = format!("{} is gone, was \"{}\"", a.name(), a.value());
        report(path, new.range(), Some(a.name()), what, false);
    }
    let (was, is) = (children(old), children(new));
    for (key, node) in &is {
        if !was.contains_key(key) {
            report(&format!("{path}/{}", key.0), node.range(), None, "is new".into(), true);
        }
    }
    for key in was.keys().filter(|k| !is.contains_key(*k)) {
        report(&format!("{path}/{}", key.0), new.range(), None, "is gone".into(), false);
    }
    for (key, node) in &is {
        if let Some(before) = was.get(key) {
            walk(before, node, &format!("{path}/{}", key.0), out);
        }
    }
}

/// Returns the child elements by label and by index among the children with that label.
fn children<'a, 'i>(node: &Node<'a, 'i>) -> BTreeMap<(String, usize), Node<'a, 'i>> {
    let mut out = BTreeMap::new();
    for child in node.children().filter(Node::is_element) {
        let label = label(&child);
        let nth = out.range((label.clone(), 0)..=(label.clone(), usize::MAX)).count();
        out.insert((label, nth), child);
    }
    out
}

/// Returns the differences of two valid settings files, in the order of the new file.
pub fn differences(old: &str, new: &str) -> Result<Vec<Change>, String> {
    let (old, new) = (parse(old).map_err(|e| e.to_string())?, parse(new).map_err(|e| e.to_string())?);
    let mut out = Vec::new();
    walk(&old.root_element(), &new.root_element(), "chalkyard", &mut out);
    out.sort_by_key(|c| (c.line, c.column));
    Ok(out)
}

/// Reloads the settings of a running router.
#[derive(Debug)]
pub struct Reloader {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Text of the settings in force.
    pub text: Mutex<String>,
    /// Tenants at the start, in the order of the decision module.
    pub tenants: Vec<String>,
    /// Channel of events for the event loop.
    pub events: SyncSender<SinkEvent>,
}

impl Reloader {
    /// Returns the changes that a reload would make; an error if the file is unreadable or invalid.
    pub fn preview(&self) -> Result<Vec<Change>, String> {
        let current = self.text.lock().map_err(|_| "another reload failed".to_string())?;
        self.compare(&current).map(|(changes, ..)| changes)
    }

    fn compare(&self, current: &str) -> Result<(Vec<Change>, Settings, String), String> {
        let name = self.file.display();
        let bytes =
            crate::files::read_limited(&self.file, MAX_FILE_BYTES).map_err(|e| format!("{name}: {e}"))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{name}: not UTF-8"))?;
        let fresh = chalkyard_settings::read(&text).map_err(|wrong| {
            let lines: Vec<String> = wrong.iter().map(|w| format!("{name}:{w}")).collect();
            lines.join("; ")
        })?;
        Ok((differences(current, &text)?, fresh, text))
    }

    /// Returns the settings for the event loop. Tenants keep the order of the start and take their values from the fresh
    /// settings.
    fn runtime_settings(&self, fresh: &Settings) -> RuntimeSettings {
        let names = fresh.config.tenants.iter().enumerate().map(|(place, t)| (t.name.as_str(), place));
        let fresh_places: BTreeMap<&str, usize> = names.collect();
        let places: Vec<Option<usize>> =
            self.tenants.iter().map(|name| fresh_places.get(name.as_str()).copied()).collect();
        let placed = places.iter().enumerate().filter_map(|(own, fresh)| fresh.map(|fresh| (fresh, own)));
        let own_places: BTreeMap<usize, usize> = placed.collect();
        let classes = |place: &Option<usize>| fresh.config.tenants.get((*place)?)?.classes.clone();
        RuntimeSettings {
            keys: fresh.config.keys.remap_owners(|owner| own_places.get(&owner).copied()),
            classes: places.iter().map(classes).collect(),
            bounds: fresh.config.bounds,
            timeouts: fresh.config.timeouts,
        }
    }

    /// Applies all changes or none. Reloads are serialized by the lock, so the file that was read last is in force.
    pub fn reload(&self) {
        let Ok(mut current) = self.text.lock() else { return };
        let (changes, fresh, text) = match self.compare(&current) {
            Ok(compared) => compared,
            Err(why) => {
                warn!(target: "router", what = "reload", "settings not reloaded, the old ones stay in force: {why}");
                return;
            }
        };
        let rejected: Vec<&Change> = changes.iter().filter(|c| !c.in_flight).collect();
        for c in &rejected {
            let place = format!("{}:{}:{}", self.file.display(), c.line, c.column);
            warn!(target: "router", what = "reload", "not reloaded: {place}: {}: {}: needs a successor", c.path, c.what);
        }
        if !rejected.is_empty() {
            return;
        }
        let runtime_settings = self.runtime_settings(&fresh);
        let mut events = vec![SinkEvent::Reconfigure(Box::new(runtime_settings))];
        events.extend(fresh.budgets.map(|b| SinkEvent::BudgetPlan(Box::new(b.plan))));
        for one in events {
            if self.events.send(one).is_err() {
                return;
            }
        }
        for c in &changes {
            info!(target: "router", what = "reload", "{}: {}", c.path, c.what);
        }
        info!(target: "router", what = "reload", changes = changes.len(), "reloaded");
        *current = text;
    }
}

#[cfg(test)]
#[path = "reload_test.rs"]
mod tests;
