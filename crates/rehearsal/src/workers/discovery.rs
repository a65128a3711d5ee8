//! Fake discovery: snapshots and watch events for the routers.

use std::net::SocketAddr;

use chalkyard_proto::{encode, sse, Head, StartLine};

use super::{router_of, EndpointChange, FakeWorkers};
use crate::network::{ConnectionId, Network};
use crate::record::{Event, Recorder};

impl FakeWorkers {
    /// An endpoint as a router is notified of it: each router may have an address of its own for an engine.
    fn entry(&self, i: usize, state: &str, started: u64, router: &str) -> serde_json::Value {
        let Some(worker) = self.workers.get(i) else { return serde_json::Value::Null };
        let place = router.trim_start_matches('r').parse::<usize>().unwrap_or(1).saturating_sub(1);
        let address = worker.addresses.get(place).or(worker.addresses.first());
        let address = address.map_or_else(String::new, SocketAddr::to_string);
        let started = if started > 0 { (self.epoch_us + started) / 1_000 } else { 0 };
        serde_json::json!({
            "worker": worker.id, "address": address, "zone": "yard", "cell": worker.cell,
            "kind": worker.engine.model.role.name(), "state": state, "started_unix_ms": started,
        })
    }

    fn notification(&self, router: &str, i: usize, state: &str, started: u64) -> Event {
        Event::Notified { router: router.into(), engine: self.id(i), state: state.into(), started }
    }

    pub(super) fn watch(
        &mut self,
        conn: ConnectionId,
        head: &Head,
        net: &mut dyn Network,
        recorder: &mut Recorder,
    ) {
        let router = router_of(head);
        recorder.add(Event::EndpointsRequested { router: router.clone() });
        let workers: Vec<serde_json::Value> = self
            .endpoints
            .iter()
            .map(|(i, (state, started))| self.entry(*i, state, *started, &router))
            .collect();
        let list = serde_json::json!({ "version": self.version, "workers": workers }).to_string();
        let streams = matches!(&head.start, StartLine::Request { target, .. } if target.contains("watch=1"));
        for (i, (state, started)) in &self.endpoints {
            recorder.add(self.notification(&router, *i, state, *started));
        }
        // What is not in the list is removed.
        for i in (0..self.workers.len()).filter(|i| !self.endpoints.contains_key(i)) {
            recorder.add(self.notification(&router, i, "out", 0));
        }
        if !streams {
            return net.send(
                conn,
                &encode::response(200, &[("content-type", "application/json")], list.as_bytes(), true),
            );
        }
        let mut bytes = encode::chunked_head(200, &[("content-type", "text/event-stream")], true);
        let mut event = Vec::new();
        sse::write(&mut event, "snapshot", Some(self.version), &list);
        encode::chunk(&mut bytes, &event);
        net.send(conn, &bytes);
        if let Some(watcher) = self.watchers.get_mut(&conn) {
            watcher.1 = Some(router);
        }
    }

    pub(super) fn publish(&mut self, change: EndpointChange, net: &mut dyn Network, recorder: &mut Recorder) {
        let EndpointChange { engine: i, state, started, .. } = change;
        if state == "out" {
            self.endpoints.remove(&i);
        } else {
            self.endpoints.insert(i, (state, started));
        }
        self.version += 1;
        for (conn, (_, router)) in &self.watchers {
            if let Some(router) = router {
                let entry = self.entry(i, state, started, router);
                let change = serde_json::json!({ "version": self.version, "workers": [entry] });
                let mut event = Vec::new();
                sse::write(&mut event, "change", Some(self.version), &change.to_string());
                let mut bytes = Vec::new();
                encode::chunk(&mut bytes, &event);
                net.send(*conn, &bytes);
                recorder.add(self.notification(router, i, state, started));
            }
        }
    }
}
