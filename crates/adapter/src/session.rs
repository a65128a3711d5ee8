//! Processes batches: one router for each instance, with no state shared between instances.

use std::collections::{BTreeMap, BTreeSet};

use chalkyard_policy::{Action, Event, Micros, RequestId, Router, TimerId};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{translate, wire};

struct Instance {
    router: Router,
    names: translate::NameIndex,
}

/// The current instances, and the unknown message kinds that have been reported.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u64, Instance>,
    reported_kinds: BTreeSet<String>,
}

fn parse<'a, T: Deserialize<'a>>(kind: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("{kind}: {}", error_text(&e)))
}

/// The error message without the position, which serde_json counts from the start of the fragment and not of the line.
fn error_text(e: &serde_json::Error) -> String {
    let text = e.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

impl Session {
    /// Processes one line, a batch, and returns the reply. The error says what is wrong with the line; no reply is
    /// written then.
    pub fn handle_line(&mut self, line: &str) -> Result<wire::Reply, String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| error_text(&e))?;
        let now = Micros::from_secs_f64(batch.at_time_s);
        let mut orders = Vec::new();
        for raw in batch.events {
            let header: wire::EventHeader = parse("event", raw)?;
            self.handle_event(now, &header, raw, &mut orders)?;
        }
        Ok(wire::Reply { turn: batch.turn, orders })
    }

    fn handle_event(
        &mut self,
        now: Micros,
        header: &wire::EventHeader,
        raw: &RawValue,
        orders: &mut Vec<wire::Order>,
    ) -> Result<(), String> {
        match header.kind.as_str() {
            "Init" => return self.start_instance(header, raw),
            "Destroy" => {
                self.instances.remove(&header.instance);
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = self.parse_event(header, raw)? else { return Ok(()) };
        if let Some(instance) = self.instances.get_mut(&header.instance) {
            let mut actions: Vec<Action> = Vec::new();
            instance.router.handle(now, event, &mut actions);
            orders.extend(
                actions
                    .into_iter()
                    .map(|a| wire::Order { instance: header.instance, action: translate::action(a) }),
            );
        }
        Ok(())
    }

    /// Starts an instance; replaces an existing one of the same number.
    fn start_instance(&mut self, header: &wire::EventHeader, raw: &RawValue) -> Result<(), String> {
        let kind = header.kind.as_str();
        let init: wire::Init = parse(kind, raw)?;
        let (settings, names) = translate::settings(&init.params).map_err(|e| format!("{kind}: {e}"))?;
        let router = Router::new(settings, init.seed);
        self.instances.insert(header.instance, Instance { router, names });
        Ok(())
    }

    /// The event for the decision module, or `None` for a message that it does not use.
    fn parse_event(&mut self, header: &wire::EventHeader, raw: &RawValue) -> Result<Option<Event>, String> {
        let kind = header.kind.as_str();
        let instance = self.instances.get(&header.instance);
        // Events for an unknown instance are parsed too, so that a malformed one is an error.
        let no_names = translate::NameIndex::default();
        let names = instance.as_ref().map_or(&no_names, |i| &i.names);
        let exists = instance.is_some();
        let event = match kind {
            "Registry" => translate::endpoints(names, &parse(kind, raw)?),
            "JobIn" => {
                let message: wire::JobIn = parse(kind, raw)?;
                if !exists {
                    return Ok(None);
                }
                translate::request(names, &message)
            }
            "Streaming" => Ok(translate::streaming(&parse(kind, raw)?)),
            "Verdict" => translate::attempt_outcome(&parse(kind, raw)?),
            "CancelledByClient" => {
                let message: wire::CancelledByClient = parse(kind, raw)?;
                Ok(Event::ClientGone(RequestId(message.call.into())))
            }
            "TimeoutFired" => {
                let message: wire::TimeoutFired = parse(kind, raw)?;
                Ok(Event::Timer(TimerId(message.name)))
            }
            // Responses to requests that this module never makes.
            "AnswerAhead" | "Health" | "PeerData" => return Ok(None),
            other => {
                if self.reported_kinds.insert(other.to_owned()) {
                    eprintln!("chalkyard-adapter: ignoring messages of unknown kind `{other}`");
                }
                return Ok(None);
            }
        };
        event.map(Some).map_err(|e| format!("{kind}: {e}"))
    }
}
