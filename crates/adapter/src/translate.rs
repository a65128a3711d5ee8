//! Translation between the messages of the wire and the types of the decision module, in both directions.

use std::collections::BTreeMap;

use chalkyard_policy as p;

use crate::wire;

/// The ids of the names in the settings, by which later messages refer to classes, tenants, zones and kinds of workers.
#[derive(Debug, Default, Clone)]
pub struct NameIndex {
    classes: BTreeMap<String, p::ClassId>,
    tenants: BTreeMap<String, p::TenantId>,
    zones: BTreeMap<String, p::ZoneId>,
    kinds: BTreeMap<String, (p::Role, Option<u64>)>,
}

impl NameIndex {
    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<p::ClassId> {
        self.classes.get(name).copied()
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<p::TenantId> {
        self.tenants.get(name).copied()
    }

    /// Whether the settings list any tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The zone with this name.
    pub fn zone(&self, name: &str) -> Option<p::ZoneId> {
        self.zones.get(name).copied()
    }

    /// The role of a worker of this kind and its KV cache capacity in tokens. A worker of an unknown kind is combined,
    /// with unknown capacity.
    pub fn worker_kind(&self, name: Option<&str>) -> (p::Role, Option<u64>) {
        name.and_then(|n| self.kinds.get(n)).copied().unwrap_or((p::Role::Combined, None))
    }
}

fn secs(s: f64) -> p::Micros {
    p::Micros::from_secs_f64(s)
}

fn tokens(t: f64) -> u64 {
    t as u64
}

/// Translates the settings. An unknown role or repeat value is an error that names its field.
pub fn settings(w: &wire::Params) -> Result<(p::Settings, NameIndex), String> {
    let names = NameIndex {
        classes: ids_by_name(w.categories.iter().map(|c| c.name.as_str()), p::ClassId),
        tenants: ids_by_name(w.tenants.iter().map(|t| t.name.as_str()), p::TenantId),
        zones: ids_by_name(w.dcs.iter().map(String::as_str), p::ZoneId),
        kinds: worker_kinds(w)?,
    };
    let classes = w.categories.iter().enumerate().map(|(i, c)| class(w, i, c)).collect::<Result<_, _>>()?;
    let settings = p::Settings {
        routers: w.balancers,
        classes,
        tenants: w.tenants.iter().map(|t| p::Tenant { allowance_per_s: t.allowance_per_s }).collect(),
        discovery: if w.discovery == "ask" { p::Discovery::Poll } else { p::Discovery::Push },
        max_poll_interval: secs(w.rules.must_ask_in_s),
        self_prefill: w.family_info.self_prefill,
        resume: w.family_info.resume,
        reservation_timeout: secs(w.family_info.release_s),
        max_attempts: w.limits.max_attempts,
        may_cancel: w.limits.cancel,
        max_retry_after: if w.limits.retry_after { secs(w.limits.max_retry_after_s) } else { p::Micros(0) },
        overload_multiple: w.rules.fall_multiple,
        overload_window: secs(w.rules.fall_s),
        slow_start_initial_share: w.rules.cold_from,
        slow_start_duration: secs(w.rules.cold_s),
        answer_slack: secs(w.rules.answer_slack_s),
        tick: secs(w.tick_s),
        weighted: !w.weights.is_empty() && w.weights != "off",
        load_reporting: match w.reporting.how.as_str() {
            "inline" => p::LoadReporting::InResponses,
            // Other modes report only in responses to probes, which this module never sends.
            _ => p::LoadReporting::Off,
        },
    };
    Ok((settings, names))
}

/// The id of each name, made from its position in the list.
fn ids_by_name<'a, T>(names: impl Iterator<Item = &'a str>, id: impl Fn(usize) -> T) -> BTreeMap<String, T> {
    names.enumerate().map(|(i, name)| (name.to_owned(), id(i))).collect()
}

/// The role of each kind of worker and its KV cache capacity in tokens.
fn worker_kinds(w: &wire::Params) -> Result<BTreeMap<String, (p::Role, Option<u64>)>, String> {
    let mut kinds = BTreeMap::new();
    for (i, kind) in w.kinds.iter().enumerate() {
        let role = match w.family_info.role_by_kind.get(i).map(String::as_str) {
            Some("read") => p::Role::Prefill,
            Some("write") => p::Role::Decode,
            Some("both") | None => p::Role::Combined,
            Some(other) => return Err(format!("field `role_by_kind`: unknown role `{other}`")),
        };
        let kv_tokens = w.family_info.kv_tokens.get(i).map(|t| tokens(*t));
        kinds.insert(kind.clone(), (role, kv_tokens));
    }
    Ok(kinds)
}

/// Translates the class at position `i`.
fn class(w: &wire::Params, i: usize, c: &wire::Category) -> Result<p::Class, String> {
    let scope = match c.group.as_str() {
        "zone" => p::DeduplicationScope::Zone,
        "cell" => p::DeduplicationScope::Cell,
        _ => p::DeduplicationScope::All,
    };
    let retry_safety = match c.repeat.as_str() {
        "free" => p::RetrySafety::Idempotent,
        "guarded" => p::RetrySafety::Deduplicated(scope),
        "single_shot" => p::RetrySafety::NonIdempotent,
        other => return Err(format!("field `repeat`: unknown value `{other}`")),
    };
    let objective_per_1000_us = w.family_info.aim_us_per_1000_prompt_tokens.get(i).copied().unwrap_or(0.0);
    Ok(p::Class {
        latency_objective: secs(c.goal_time_s),
        latency_objective_per_1000_tokens: secs(objective_per_1000_us / 1e6),
        deadline: secs(c.deadline_s),
        retry_safety,
        dedup_window: secs(c.dedup_window_s),
    })
}

/// Translates an update of the endpoint list.
pub fn endpoints(names: &NameIndex, w: &wire::Registry) -> Result<p::Event, String> {
    let update = match w.mode.as_str() {
        "snapshot" => p::EndpointUpdate::Snapshot,
        "disk" => p::EndpointUpdate::LastKnown,
        "diff" => p::EndpointUpdate::Delta,
        "error" => p::EndpointUpdate::Failed,
        other => return Err(format!("field `mode`: unknown value `{other}`")),
    };
    let mut workers = Vec::with_capacity(w.nodes_list.len());
    for n in &w.nodes_list {
        let (role, kv_tokens) = names.worker_kind(n.model.as_deref());
        workers.push(p::Worker {
            id: n.worker.as_str().into(),
            zone: n.az.as_ref().and_then(|z| names.zones.get(z)).copied(),
            cell: p::CellId(n.block),
            role,
            kv_tokens,
            lifecycle: match n.lifecycle.as_str() {
                "IN" => p::Lifecycle::Active,
                "LAME" => p::Lifecycle::Draining,
                "OUT" => p::Lifecycle::Removed,
                other => return Err(format!("field `lifecycle`: unknown value `{other}`")),
            },
            weight: n.heft.unwrap_or(1.0),
            started: Some(secs(n.last_start_s)).filter(|s| s.0 > 0),
        });
    }
    Ok(p::Event::Endpoints { update, workers })
}

/// Translates a new request.
pub fn request(names: &NameIndex, w: &wire::JobIn) -> Result<p::Event, String> {
    let class = names.classes.get(&w.qos).copied();
    let tenant = w.realm.as_ref().and_then(wire::Key::text);
    Ok(p::Event::Request(p::Request {
        id: w.call.as_str().into(),
        class: class.ok_or_else(|| format!("field `qos`: unknown class `{}`", w.qos))?,
        tenant: tenant.and_then(|t| names.tenants.get(t)).copied(),
        session: w.session_id.as_ref().and_then(wire::Key::text).map(Into::into),
        prefix: w.system_prompt.as_ref().and_then(wire::Key::text).map(Into::into),
        prompt_tokens: tokens(w.prompt_tokens),
        max_output_tokens: tokens(w.output_cap),
        deadline: secs(w.client_deadline_s),
        resumed: w.came_back,
    }))
}

/// Translates a load report.
pub fn load_report(s: &wire::LoadStats) -> p::LoadReport {
    p::LoadReport {
        queued_requests: s.queued_requests,
        slot_utilization: s.slot_utilization,
        kv_utilization: s.kv_utilization,
        waiting_tokens: s.waiting_kilotokens.map(|k| k * 1e3),
    }
}

/// Translates the start of a response stream.
pub fn streaming(w: &wire::Streaming) -> p::Event {
    p::Event::Streaming {
        id: w.call.as_str().into(),
        attempt: p::AttemptNo(w.send_no),
        elapsed: secs(w.elapsed_s),
    }
}

/// Translates the end of an attempt.
pub fn attempt_outcome(w: &wire::Verdict) -> Result<p::Event, String> {
    let outcome = match w.status.as_str() {
        "served" => p::Outcome::Served,
        "parsed" => p::Outcome::Prefilled,
        "server_error" => p::Outcome::ServerError,
        "turned_away" => p::Outcome::Rejected { no_state: w.detail == 1 },
        "no_answer" => p::Outcome::TimedOut,
        "no_connection" => p::Outcome::NoConnection,
        "connection_lost" => p::Outcome::ConnectionLost,
        "called_off" => p::Outcome::Cancelled,
        "not_sent" => p::Outcome::NotSent,
        other => return Err(format!("field `status`: unknown value `{other}`")),
    };
    Ok(p::Event::AttemptOutcome {
        id: w.call.as_str().into(),
        attempt: p::AttemptNo(w.send_no),
        outcome,
        elapsed: secs(w.elapsed_s),
        request_ended: w.over,
        cached_tokens: if matches!(outcome, p::Outcome::Served | p::Outcome::Prefilled) {
            w.detail
        } else {
            0
        },
        report: w.stats.as_ref().map(load_report),
    })
}

/// Translates an action to its message.
pub fn action(action: p::Action) -> wire::Action {
    let call = |id: p::RequestId| id.0.to_string();
    let name = |w: p::WorkerId| w.0.to_string();
    match action {
        p::Action::Send { id, worker, timeout, .. } => wire::Action::Send {
            call: call(id),
            worker: name(worker),
            give_up_after_s: timeout.map(p::Micros::as_secs_f64),
        },
        p::Action::Cancel { id, attempt } => wire::Action::Cancel { call: call(id), send_no: attempt.0 },
        p::Action::Reject { id, retry_after, .. } => {
            wire::Action::Decline { call: call(id), cool_down_s: retry_after.map(p::Micros::as_secs_f64) }
        }
        p::Action::Fail { id, .. } => wire::Action::DropRequest { call: call(id) },
        p::Action::Migrate(id) => wire::Action::Transfer { call: call(id) },
        p::Action::ReleaseReservation(id) => wire::Action::Unhold { call: call(id) },
        p::Action::SetTimer { timer, after } => {
            wire::Action::SetTimer { name: timer.0, in_s: after.as_secs_f64() }
        }
        p::Action::Subscribe => wire::Action::Tail { enable: true },
    }
}
