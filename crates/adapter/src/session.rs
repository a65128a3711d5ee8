//! Runs batches: one router for each instance, nothing shared between them.

use std::collections::{BTreeMap, BTreeSet};

use chalkyard_policy::{Action, Event, Micros, RequestId, Router, TimerId};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{translate, wire};

struct Instance {
    router: Router,
    names: translate::NameIndex,
}

/// The living instances, and the kinds already complained about.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u64, Instance>,
    unknown: BTreeSet<String>,
}

fn read<'a, T: Deserialize<'a>>(kind: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("{kind}: {}", plain(&e)))
}

/// The message without serde's position, which counts from the start of a piece of a line.
fn plain(e: &serde_json::Error) -> String {
    let text = e.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

impl Session {
    /// Answers one line. The error names what is wrong with it; then nothing is to be written.
    pub fn line(&mut self, line: &str) -> Result<wire::Reply, String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| plain(&e))?;
        let now = Micros::from_secs_f64(batch.at_time_s);
        let mut orders = Vec::new();
        for raw in batch.happened {
            let head: wire::Head = read("event", raw)?;
            self.event(now, &head, raw, &mut orders)?;
        }
        Ok(wire::Reply { turn: batch.turn, orders })
    }

    fn event(
        &mut self,
        now: Micros,
        head: &wire::Head,
        raw: &RawValue,
        orders: &mut Vec<wire::Order>,
    ) -> Result<(), String> {
        match head.kind.as_str() {
            "Init" => return self.start_instance(head, raw),
            "Destroy" => {
                self.instances.remove(&head.who);
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = self.read_event(head, raw)? else { return Ok(()) };
        if let Some(instance) = self.instances.get_mut(&head.who) {
            let mut actions: Vec<Action> = Vec::new();
            instance.router.handle(now, event, &mut actions);
            orders
                .extend(actions.into_iter().map(|a| wire::Order { who: head.who, deed: translate::deed(a) }));
        }
        Ok(())
    }

    /// Starts an instance, in place of an older one of the same number.
    fn start_instance(&mut self, head: &wire::Head, raw: &RawValue) -> Result<(), String> {
        let kind = head.kind.as_str();
        let init: wire::Init = read(kind, raw)?;
        let (settings, names) = translate::settings(&init.params).map_err(|e| format!("{kind}: {e}"))?;
        let router = Router::new(settings, init.prng);
        self.instances.insert(head.who, Instance { router, names });
        Ok(())
    }

    /// The event for the decision module; none where the message says nothing to it.
    fn read_event(&mut self, head: &wire::Head, raw: &RawValue) -> Result<Option<Event>, String> {
        let kind = head.kind.as_str();
        let known = self.instances.get(&head.who);
        // Events for an instance that is not held are read all the same: a malformed one is said.
        let none = translate::NameIndex::default();
        let names = known.as_ref().map_or(&none, |i| &i.names);
        let living = known.is_some();
        let event = match kind {
            "Registry" => translate::registry(names, &read(kind, raw)?),
            "JobIn" => {
                let job: wire::JobIn = read(kind, raw)?;
                if !living {
                    return Ok(None);
                }
                translate::request(names, &job)
            }
            "Streaming" => Ok(translate::streaming(&read(kind, raw)?)),
            "Verdict" => translate::verdict(&read(kind, raw)?),
            "CancelledByClient" => {
                let gone: wire::CancelledByClient = read(kind, raw)?;
                Ok(Event::ClientGone(RequestId(gone.call.into())))
            }
            "TimeoutFired" => {
                let fired: wire::TimeoutFired = read(kind, raw)?;
                Ok(Event::Timer(TimerId(fired.name)))
            }
            // Answers to what this module never asks for.
            "AnswerAhead" | "Health" | "PeerData" => return Ok(None),
            other => {
                if self.unknown.insert(other.to_owned()) {
                    eprintln!("chalkyard-adapter: passed over: unknown message kind `{other}`");
                }
                return Ok(None);
            }
        };
        event.map(Some).map_err(|e| format!("{kind}: {e}"))
    }
}
