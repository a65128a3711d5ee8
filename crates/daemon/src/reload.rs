//! Reload: the difference of two settings files, applied whole or not at all.
//!
//! What a running router can take over in flight is applied; what it can't is told with line and column, and
//! needs a successor (`run --take-over`). Then nothing is applied.

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

/// Bytes of a settings file that are read.
const FILE_BYTES: u64 = 64 * 1024 * 1024;

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Where, as elements and their names.
    pub path: String,
    /// Line in the new file; of what is gone, its parent's.
    pub line: u32,
    /// Column.
    pub column: u32,
    /// What differs.
    pub what: String,
    /// Applied in flight; otherwise it needs a successor.
    pub in_flight: bool,
}

/// Attributes by which elements of one tag are told apart.
const NAMES: [&str; 8] = ["name", "id", "hash", "tenant", "class", "period", "from", "router"];

fn label(node: &Node<'_, '_>) -> String {
    let names: Vec<&str> = NAMES.iter().filter_map(|n| node.attribute(*n)).collect();
    let tag = node.tag_name().name();
    // There is one of each of the parts; their attributes can change.
    let single = matches!(tag, "chalkyard" | "router" | "budgets" | "settlement" | "weights");
    if names.is_empty() || single {
        tag.into()
    } else {
        format!("{tag}[{}]", names.join(" "))
    }
}

/// Whether a running router can take a difference over.
fn in_flight(path: &str, attribute: Option<&str>, added: bool) -> bool {
    let mut parts = path.split('/').skip(1);
    let (top, second, third) =
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    match (top, attribute) {
        ("waits", _) => true,
        // The table of identities is as large as it was made.
        ("bounds", name) => name != Some("identities"),
        ("tenants", Some("salt")) if second.is_empty() => true,
        // The module knows the tenants of its start: one can go, and its keys and classes change.
        ("tenants", _) => {
            let part = third.starts_with("key") || third.starts_with("may");
            part || (attribute.is_none() && !added && second.starts_with("tenant"))
        }
        ("budgets", Some(name)) if second.is_empty() => name == "margin",
        // Of the settlement job alone; a whole part that comes or goes is another way of keeping budgets.
        ("budgets", _) => !second.is_empty(),
        _ => false,
    }
}

fn walk(old: &Node<'_, '_>, new: &Node<'_, '_>, path: &str, out: &mut Vec<Change>) {
    let mut tell =
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
                tell(path, a.range(), Some(a.name()), what, false);
            }
        }
    }
    for a in old.attributes().filter(|a| new.attribute(a.name()).is_none()) {
        let what = format!("{} is gone, was \"{}\"", a.name(), a.value());
        tell(path, new.range(), Some(a.name()), what, false);
    }
    let (was, is) = (children(old), children(new));
    for (key, node) in &is {
        if !was.contains_key(key) {
            tell(&format!("{path}/{}", key.0), node.range(), None, "is new".into(), true);
        }
    }
    for key in was.keys().filter(|k| !is.contains_key(*k)) {
        tell(&format!("{path}/{}", key.0), new.range(), None, "is gone".into(), false);
    }
    for (key, node) in &is {
        if let Some(before) = was.get(key) {
            walk(before, node, &format!("{path}/{}", key.0), out);
        }
    }
}

/// By label, and which of those with one label.
fn children<'a, 'i>(node: &Node<'a, 'i>) -> BTreeMap<(String, usize), Node<'a, 'i>> {
    let mut out = BTreeMap::new();
    for child in node.children().filter(Node::is_element) {
        let label = label(&child);
        let nth = out.range((label.clone(), 0)..=(label.clone(), usize::MAX)).count();
        out.insert((label, nth), child);
    }
    out
}

/// The differences of two files that both are settings.
pub fn differences(old: &str, new: &str) -> Result<Vec<Change>, String> {
    let (old, new) = (parse(old).map_err(|e| e.to_string())?, parse(new).map_err(|e| e.to_string())?);
    let mut out = Vec::new();
    walk(&old.root_element(), &new.root_element(), "chalkyard", &mut out);
    out.sort_by_key(|c| (c.line, c.column));
    Ok(out)
}

/// Reads a running router's settings again.
#[derive(Debug)]
pub struct Reloader {
    /// The settings.
    pub file: PathBuf,
    /// As they hold now.
    pub text: Mutex<String>,
    /// Tenants of the start, in the order in which the module knows them.
    pub tenants: Vec<String>,
    /// Where what changes is put for the loop.
    pub news: SyncSender<SinkEvent>,
}

impl Reloader {
    /// What a reload would change; an error: the file can't be read, or is wrong.
    pub fn look(&self) -> Result<Vec<Change>, String> {
        let held = self.text.lock().map_err(|_| "another reload failed".to_string())?;
        self.compare(&held).map(|(changes, ..)| changes)
    }

    fn compare(&self, held: &str) -> Result<(Vec<Change>, Settings, String), String> {
        let name = self.file.display();
        let bytes = crate::files::read_limited(&self.file, FILE_BYTES).map_err(|e| format!("{name}: {e}"))?;
        let text = String::from_utf8(bytes).map_err(|_| format!("{name}: not UTF-8"))?;
        let fresh = chalkyard_settings::read(&text).map_err(|wrong| {
            let lines: Vec<String> = wrong.iter().map(|w| format!("{name}:{w}")).collect();
            lines.join("; ")
        })?;
        Ok((differences(held, &text)?, fresh, text))
    }

    /// What the loop is told: tenants are those of the start, in their order, as the fresh settings have them.
    fn tuned(&self, fresh: &Settings) -> RuntimeSettings {
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

    /// Reloads: all that changed, or nothing. One after the other: the last one's file is the one that holds.
    pub fn reload(&self) {
        let Ok(mut held) = self.text.lock() else { return };
        let (changes, fresh, text) = match self.compare(&held) {
            Ok(looked) => looked,
            Err(why) => {
                warn!(target: "router", what = "reload", "not reloaded, all stays as it was: {why}");
                return;
            }
        };
        let late: Vec<&Change> = changes.iter().filter(|c| !c.in_flight).collect();
        for c in &late {
            let place = format!("{}:{}:{}", self.file.display(), c.line, c.column);
            warn!(target: "router", what = "reload", "not reloaded: {place}: {}: {}: needs a successor", c.path, c.what);
        }
        if !late.is_empty() {
            return;
        }
        let tuned = self.tuned(&fresh);
        let mut news = vec![SinkEvent::Reconfigure(Box::new(tuned))];
        news.extend(fresh.budgets.map(|b| SinkEvent::BudgetPlan(Box::new(b.plan))));
        for one in news {
            if self.news.send(one).is_err() {
                return;
            }
        }
        for c in &changes {
            info!(target: "router", what = "reload", "{}: {}", c.path, c.what);
        }
        info!(target: "router", what = "reload", changes = changes.len(), "reloaded");
        *held = text;
    }
}

#[cfg(test)]
#[path = "reload_test.rs"]
mod tests;
