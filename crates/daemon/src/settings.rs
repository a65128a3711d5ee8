//! Settings: an XML file to a [`Config`], with every error's line and column. Schema: `deploy/chalkyard.xsd`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chalkyard_api::keys::KeyRing;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_router::{Bounds, ClassEntry, Config, KindEntry, TenantEntry, Waits};

use crate::budget_settings::{self, Budgets};
use crate::xml::{parse, Element, Errors, Value, Wrong};

/// The namespace of settings of this version.
pub const NAMESPACE: &str = "urn:chalkyard:settings:1";

/// A checked settings file.
#[derive(Debug)]
pub struct Settings {
    /// What the router is told.
    pub config: Config,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Several routers may listen there.
    pub shared_port: bool,
    /// Where the list of workers is kept for the next start.
    pub list_file: Option<PathBuf>,
    /// Engines that the file itself names, as a list for the router's start.
    pub engines: Option<String>,
    /// How long a drain waits for open requests.
    pub drain_for: Duration,
    /// The control socket.
    pub control: Option<PathBuf>,
    /// Token budgets, a ledger and bills.
    pub budgets: Option<Budgets>,
}

pub struct Text(pub String);
pub struct Span(pub Micros);
struct Share(f64);
struct Positive(f64);
pub struct Name(pub String);

impl Value for Text {
    fn read(text: &str) -> Result<Self, String> {
        Ok(Self(text.into()))
    }
}

impl Value for Name {
    fn read(text: &str) -> Result<Self, String> {
        let ok = chalkyard_api::client::is_name(text) && !text.contains(['/', ',', '<']);
        ok.then(|| Self(text.into()))
            .ok_or("must be 1 to 128 visible ASCII characters without / , < \"".into())
    }
}

impl Value for Span {
    fn read(text: &str) -> Result<Self, String> {
        let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit);
        let scale = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            _ => return Err("must be a time such as 250ms, 1.5s or 2min".into()),
        };
        let value: f64 =
            number.parse().map_err(|_| "must be a time such as 250ms, 1.5s or 2min".to_string())?;
        if !(0.0..=86_400e6).contains(&(value * scale)) {
            return Err("must be between 0 and one day".into());
        }
        Ok(Self(Micros((value * scale).round() as u64)))
    }
}

impl Value for Share {
    fn read(text: &str) -> Result<Self, String> {
        let value: Option<f64> = text.parse().ok();
        value.filter(|v| (0.0..=1.0).contains(v)).map(Self).ok_or("must be a number from 0 to 1".into())
    }
}

impl Value for Positive {
    fn read(text: &str) -> Result<Self, String> {
        let value: Option<f64> = text.parse().ok();
        let ok = value.filter(|v| v.is_finite() && *v > 0.0);
        ok.map(Self).ok_or("must be a number over 0".into())
    }
}

impl Value for u64 {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be a whole number".into())
    }
}

impl Value for bool {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be true or false".into())
    }
}

impl Value for SocketAddr {
    fn read(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| "must be an address such as 127.0.0.1:8080".into())
    }
}

macro_rules! words {
    ($name:ident: $type:ty { $($word:literal => $value:expr),+ $(,)? }) => {
        struct $name($type);
        impl Value for $name {
            fn read(text: &str) -> Result<Self, String> {
                match text {
                    $($word => Ok(Self($value)),)+
                    _ => Err(format!("must be one of {}", [$($word),+].join(", "))),
                }
            }
        }
    };
}

words!(RoleWord: p::Role { "reader" => p::Role::Reader, "writer" => p::Role::Writer, "mixed" => p::Role::Mixed });
words!(DiscoveryWord: p::Discovery { "push" => p::Discovery::Push, "ask" => p::Discovery::Ask });
words!(ReportsWord: p::Reports {
    "off" => p::Reports::Off, "in-answers" => p::Reports::InAnswers,
});
words!(GroupWord: p::Group { "all" => p::Group::All, "zone" => p::Group::Zone, "cell" => p::Group::Cell });

#[derive(Clone, Copy, PartialEq)]
enum EffectKind {
    Free,
    Guarded,
    SingleShot,
}

words!(EffectWord: EffectKind {
    "free" => EffectKind::Free, "guarded" => EffectKind::Guarded, "single-shot" => EffectKind::SingleShot,
});

fn unique(names: &[String], element: &Element<'_, '_>, name: &str, errors: &mut Errors) {
    if names.iter().any(|n| n == name) {
        element.wrong(Some("name"), format!("`{name}` is there twice"), errors);
    }
}

fn policy(
    router: &mut Element<'_, '_>,
    rules: &mut Option<Element<'_, '_>>,
    errors: &mut Errors,
) -> p::Settings {
    let routers = router.or("routers", 1_u64, errors);
    if !(1..=100_000).contains(&routers) {
        router.wrong(Some("routers"), "must be 1 to 100000", errors);
    }
    let mut settings = p::Settings {
        routers: routers as u32,
        classes: Vec::new(),
        tenants: Vec::new(),
        discovery: p::Discovery::Push,
        must_ask_in: Micros(10_000_000),
        self_prefill: true,
        resume: false,
        release: Micros(1_000_000),
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: Micros(2_000_000),
        fall_multiple: 3.0,
        fall_after: Micros(2_000_000),
        cold_from: 0.3,
        cold_for: Micros(10_000_000),
        answer_slack: Micros(100_000),
        tick: Micros(2_000),
        weighted: false,
        reports: p::Reports::InAnswers,
    };
    let Some(r) = rules else { return settings };
    let s = &mut settings;
    s.discovery = r.or("discovery", DiscoveryWord(s.discovery), errors).0;
    s.must_ask_in = r.or("must-ask-in", Span(s.must_ask_in), errors).0;
    s.self_prefill = r.or("self-prefill", s.self_prefill, errors);
    s.release = r.or("release", Span(s.release), errors).0;
    let attempts = r.or("max-attempts", u64::from(s.max_attempts), errors);
    if !(1..=100).contains(&attempts) {
        r.wrong(Some("max-attempts"), "max-attempts must be 1 to 100", errors);
    }
    s.max_attempts = attempts.clamp(1, 100) as u32;
    s.may_cancel = r.or("may-cancel", s.may_cancel, errors);
    s.max_retry_after = r.or("max-retry-after", Span(s.max_retry_after), errors).0;
    s.fall_multiple = r.or("fall-multiple", Positive(s.fall_multiple), errors).0;
    s.fall_after = r.or("fall-after", Span(s.fall_after), errors).0;
    s.cold_from = r.or("cold-from", Share(s.cold_from), errors).0;
    s.cold_for = r.or("cold-for", Span(s.cold_for), errors).0;
    s.answer_slack = r.or("answer-slack", Span(s.answer_slack), errors).0;
    s.weighted = r.or("weighted", s.weighted, errors);
    s.reports = r.or("reports", ReportsWord(s.reports), errors).0;
    let ms = |n: u64| Micros(n * 1_000);
    // A register that is down is asked again after a tenth of must-ask-in.
    let least = [("release", s.release, 10), ("fall-after", s.fall_after, 10), ("cold-for", s.cold_for, 10)];
    for (name, span, least) in least.into_iter().chain([("must-ask-in", s.must_ask_in, 1_000)]) {
        if span < ms(least) {
            r.wrong(Some(name), format!("{name} must be at least {least}ms"), errors);
        }
    }
    r.done(errors);
    settings
}

fn class(e: &mut Element<'_, '_>, errors: &mut Errors) -> (String, p::Class) {
    let name = e.must("name", Name("-".into()), errors).0;
    let deadline = e.must("deadline", Span(Micros(10_000_000)), errors).0;
    let aim = e.must("aim", Span(Micros(1_000_000)), errors).0;
    if aim >= deadline {
        e.wrong(Some("aim"), "the aim must be under the deadline", errors);
    }
    let effect = e.must("effect", EffectWord(EffectKind::SingleShot), errors).0;
    let group = e.maybe::<GroupWord>("group", errors).map(|g| g.0);
    let window = e.maybe::<Span>("dedup-window", errors).map(|s| s.0);
    if effect == EffectKind::Guarded && (group.is_none() || window.is_none()) {
        e.wrong(None, "a guarded class needs `group` and `dedup-window`", errors);
    }
    if effect != EffectKind::Guarded && (group.is_some() || window.is_some()) {
        e.wrong(None, "`group` and `dedup-window` are for guarded classes", errors);
    }
    let class = p::Class {
        aim,
        aim_per_1000_tokens: e.or("aim-per-1000-tokens", Span(Micros(0)), errors).0,
        deadline,
        effect: match effect {
            EffectKind::Free => p::Effect::Free,
            EffectKind::Guarded => p::Effect::Guarded(group.unwrap_or(p::Group::Cell)),
            EffectKind::SingleShot => p::Effect::SingleShot,
        },
        dedup_window: window.unwrap_or_default(),
    };
    e.done(errors);
    (name, class)
}

fn bounds(e: &mut Element<'_, '_>, errors: &mut Errors) -> Bounds {
    let mut b = Bounds::default();
    let mut size = |name: &'static str, default: usize, least: u64| {
        let n = e.or(name, default as u64, errors);
        if n < least {
            e.wrong(Some(name), format!("{name} must be at least {least}"), errors);
        }
        usize::try_from(n).unwrap_or(usize::MAX)
    };
    b.client.start_line_bytes = size("start-line-bytes", b.client.start_line_bytes, 64);
    b.client.head_bytes = size("head-bytes", b.client.head_bytes, 1_024);
    b.client.body_bytes = size("body-bytes", b.client.body_bytes as usize, 1_024) as u64;
    b.client.chunk_bytes = size("chunk-bytes", b.client.chunk_bytes as usize, 1_024) as u64;
    b.client.pipelined_bytes = size("pipelined-bytes", b.client.pipelined_bytes, 1_024);
    b.engine.head_bytes = b.client.head_bytes;
    b.event_bytes = size("event-bytes", b.event_bytes, 1_024);
    b.answer_bytes = size("answer-bytes", b.answer_bytes, 1_024);
    b.clients = size("clients", b.clients, 1);
    b.open = size("open", b.open, 1);
    b.engine_connections = size("engine-connections", b.engine_connections, 1);
    b.engine_idle = size("engine-idle", b.engine_idle, 0);
    b.client_buffer = size("client-buffer", b.client_buffer, 4_096);
    b.workers = size("workers", b.workers, 1);
    b.identities = size("identities", b.identities, 1);
    b.call.messages = size("messages", b.call.messages, 1);
    b.call.prompt_tokens = size("prompt-tokens", b.call.prompt_tokens as usize, 1) as u64;
    b.call.max_tokens = size("max-tokens", b.call.max_tokens as usize, 1) as u64;
    e.done(errors);
    b
}

fn waits(e: &mut Element<'_, '_>, errors: &mut Errors) -> Waits {
    let mut w = Waits::default();
    let mut span = |name: &'static str, value: &mut Micros| {
        *value = e.or(name, Span(*value), errors).0;
        if *value < Micros(1_000) {
            e.wrong(Some(name), format!("{name} must be at least 1ms"), errors);
        }
    };
    span("head", &mut w.head);
    span("idle", &mut w.idle);
    span("engine-idle", &mut w.engine_idle);
    span("connect", &mut w.connect);
    span("stream", &mut w.stream);
    span("slow-client", &mut w.slow_client);
    span("register", &mut w.register);
    span("reply-margin", &mut w.reply_margin);
    span("identity", &mut w.identity);
    // One span for a client that has not asked and one that has; small calls are answered as fast as connections stand.
    (w.first, w.release) = (w.idle, w.connect);
    e.done(errors);
    w
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

/// Reads and checks a settings file.
pub fn read(text: &str) -> Result<Settings, Vec<Wrong>> {
    let document = parse(text).map_err(|w| vec![w])?;
    let mut errors = Errors::default();
    let e = &mut errors;
    let root = Element::new(document.root_element());
    let named = document.root_element().tag_name();
    if named.name() != "chalkyard" || named.namespace() != Some(NAMESPACE) {
        root.wrong(None, format!("the root must be <chalkyard xmlns=\"{NAMESPACE}\">"), e);
        return Err(errors.0);
    }
    root.done(e);
    const PARTS: [&str; 10] =
        ["router", "rules", "bounds", "waits", "zones", "kinds", "classes", "tenants", "budgets", "engines"];
    let mut parts: BTreeMap<&str, Element<'_, '_>> = BTreeMap::new();
    for child in root.children(&PARTS, e) {
        if let Some(second) = parts.insert(child.tag(), child) {
            second.wrong(None, format!("<{}> is there twice", second.tag()), e);
        }
    }
    for needed in ["router", "kinds", "classes"] {
        if !parts.contains_key(needed) {
            root.wrong(None, format!("<chalkyard> needs <{needed}>"), e);
        }
    }
    let Some(mut router) = parts.remove("router") else { return Err(errors.0) };
    let mut rules = parts.remove("rules");
    let mut policy = policy(&mut router, &mut rules, e);

    let mut zone_names = Vec::new();
    if let Some(zones) = parts.remove("zones") {
        for mut z in zones.children(&["zone"], e) {
            let name = z.must("name", Name("-".into()), e).0;
            unique(&zone_names, &z, &name, e);
            z.done(e);
            zone_names.push(name);
        }
        zones.done(e);
    }
    let zones: BTreeMap<String, p::ZoneId> =
        zone_names.iter().enumerate().map(|(i, z)| (z.clone(), p::ZoneId(i))).collect();

    let mut kinds = BTreeMap::new();
    if let Some(list) = parts.remove("kinds") {
        for mut k in list.children(&["kind"], e) {
            let name = k.must("name", Name("-".into()), e).0;
            let role = k.must("role", RoleWord(p::Role::Mixed), e).0;
            let kv_tokens = k.maybe::<u64>("kv-tokens", e);
            k.done(e);
            if kinds.insert(name.clone(), KindEntry { role, kv_tokens }).is_some() {
                k.wrong(Some("name"), format!("`{name}` is there twice"), e);
            }
        }
        list.done(e);
    }

    let (mut classes, mut default_class) = (Vec::new(), None);
    if let Some(mut list) = parts.remove("classes") {
        for mut c in list.children(&["class"], e) {
            let (name, class) = class(&mut c, e);
            let known: Vec<String> = classes.iter().map(|c: &ClassEntry| c.name.clone()).collect();
            unique(&known, &c, &name, e);
            classes.push(ClassEntry { name });
            policy.classes.push(class);
        }
        if classes.is_empty() {
            list.wrong(None, "<classes> needs at least one <class>", e);
        }
        let name = list.must("default", Name("-".into()), e).0;
        default_class = classes.iter().position(|c| c.name == name);
        if default_class.is_none() {
            list.wrong(Some("default"), format!("no <class name=\"{name}\">"), e);
        }
        list.done(e);
    }

    let (mut tenants, mut keys) = (Vec::new(), KeyRing::new([0; 32]));
    if let Some(mut list) = parts.remove("tenants") {
        keys = KeyRing::new(salt(&mut list, e));
        for mut t in list.children(&["tenant"], e) {
            let name = t.must("name", Name("-".into()), e).0;
            let known: Vec<String> = tenants.iter().map(|t: &TenantEntry| t.name.clone()).collect();
            unique(&known, &t, &name, e);
            let allowance = t.maybe::<Positive>("allowance-per-s", e).map(|a| a.0);
            let mut allowed = None;
            for mut child in t.children(&["key", "may"], e) {
                if child.tag() == "key" {
                    let hash = child.must("hash", Text(String::new()), e).0;
                    if let Err(why) = keys.add(&hash, tenants.len()) {
                        child.wrong(Some("hash"), format!("key hash: {why}"), e);
                    }
                } else {
                    let name = child.must("class", Name("-".into()), e).0;
                    match classes.iter().position(|c| c.name == name) {
                        Some(class) => allowed.get_or_insert_with(Vec::new).push(class),
                        None => child.wrong(Some("class"), format!("no <class name=\"{name}\">"), e),
                    }
                }
                child.done(e);
            }
            t.done(e);
            tenants.push(TenantEntry { name, classes: allowed });
            policy.tenants.push(p::Tenant { allowance_per_s: allowance });
        }
        list.done(e);
    }

    let budgets = parts.remove("budgets").map(|mut b| {
        let known = budget_settings::Known {
            tenants: tenants.iter().map(|t| t.name.as_str()).collect(),
            classes: classes.iter().map(|c| c.name.as_str()).zip(&policy.classes).collect(),
            routers: policy.routers,
        };
        budget_settings::read(&mut b, &known, e)
    });

    let mut engines = None;
    let register = router.maybe::<SocketAddr>("register", e);
    if let Some(list) = parts.remove("engines") {
        let mut workers: Vec<serde_json::Value> = Vec::new();
        for mut w in list.children(&["engine"], e) {
            let id = w.must("id", Name("-".into()), e).0;
            if workers.iter().any(|v| v.get("worker").and_then(|v| v.as_str()) == Some(&id)) {
                w.wrong(Some("id"), format!("`{id}` is there twice"), e);
            }
            let kind = w.must("kind", Name("-".into()), e).0;
            if !kinds.contains_key(&kind) {
                w.wrong(Some("kind"), format!("no <kind name=\"{kind}\">"), e);
            }
            let zone = w.maybe::<Name>("zone", e).map(|z| z.0);
            if zone.as_ref().is_some_and(|z| !zones.contains_key(z)) {
                w.wrong(Some("zone"), "no such <zone>", e);
            }
            let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
            workers.push(serde_json::json!({
                "worker": id, "kind": kind, "zone": zone, "state": "in",
                "address": w.must("address", nowhere, e).to_string(),
                "cell": w.or("cell", 0_u64, e), "weight": w.or("weight", Positive(1.0), e).0,
            }));
            w.done(e);
        }
        list.done(e);
        engines = Some(serde_json::json!({ "version": 0, "workers": workers }).to_string());
    }
    if register.is_none() && engines.is_none() {
        router.wrong(None, "engines must come from somewhere: `register` of <router>, or <engines>", e);
    }

    let settings = Settings {
        listen: router.must("listen", SocketAddr::from(([127, 0, 0, 1], 0)), e),
        shared_port: router.or("shared-port", false, e),
        list_file: router.maybe::<Text>("list-file", e).map(|t| t.0.into()),
        control: router.maybe::<Text>("control", e).map(|t| t.0.into()),
        drain_for: Duration::from_micros(router.or("drain", Span(Micros(20_000_000)), e).0 .0),
        engines,
        budgets,
        config: Config {
            name: router.must("name", Name("-".into()), e).0,
            policy,
            classes,
            default_class: default_class.unwrap_or(0),
            tenants,
            keys,
            zones,
            kinds,
            register,
            bounds: parts.remove("bounds").map_or_else(Bounds::default, |mut b| bounds(&mut b, e)),
            waits: parts.remove("waits").map_or_else(Waits::default, |mut w| waits(&mut w, e)),
            dialect: None,
        },
    };
    router.done(e);
    if errors.0.is_empty() {
        Ok(settings)
    } else {
        errors.0.sort_by_key(|w| (w.line, w.column));
        Err(errors.0)
    }
}
