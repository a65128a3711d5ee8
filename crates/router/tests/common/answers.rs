//! What clients got and what the module heard, read back from a [`Harness`].

use chalkyard_policy as p;
use chalkyard_policy::Event;
use chalkyard_proto::{sse, Decoder, Limits, Part, Side, StartLine};
use chalkyard_router::ConnId;

use super::Harness;

impl Harness {
    /// All whole responses that a client has got: status, and events (name, data) or the body.
    pub fn answers(&self, conn: ConnId) -> Vec<(u16, Vec<(String, serde_json::Value)>)> {
        let mut d = Decoder::new(Side::Response, Limits { body_bytes: 1 << 30, ..Limits::default() });
        d.push(self.answers.get(&conn).map_or(&[][..], |b| b));
        let (mut out, mut status, mut streams, mut body) = (Vec::new(), 0, false, Vec::new());
        while let Some(part) = d.next_part().expect("clients get well-formed answers") {
            match part {
                Part::Head(head) => {
                    let StartLine::Response { status: s } = head.start else { panic!() };
                    status = s;
                    streams = head.header("content-type") == Some("text/event-stream");
                }
                Part::Data(data) => body.extend(data),
                Part::End => {
                    let body = std::mem::take(&mut body);
                    let mut events = Vec::new();
                    if streams {
                        let mut read = Vec::new();
                        sse::Parser::new(1 << 20).push(&body, &mut read).unwrap();
                        for e in read {
                            events.push((e.name, serde_json::from_str(&e.data).unwrap()));
                        }
                    } else {
                        events.push((String::new(), serde_json::from_slice(&body).unwrap_or_default()));
                    }
                    out.push((status, events));
                }
            }
        }
        out
    }

    /// All bytes that a client has got.
    pub fn raw(&self, conn: ConnId) -> &[u8] {
        self.answers.get(&conn).map_or(&[], |b| b)
    }

    /// The one answer that a client has got.
    pub fn answer(&self, conn: ConnId) -> (u16, Vec<(String, serde_json::Value)>) {
        let mut all = self.answers(conn);
        assert_eq!(all.len(), 1, "exactly one final answer");
        all.remove(0)
    }

    pub fn error(&self, conn: ConnId) -> (u16, String, bool) {
        let (status, body) = self.answer(conn);
        let error = &body[0].1["error"];
        (status, error["type"].as_str().unwrap().into(), error["may_have_run"].as_bool().unwrap())
    }

    pub fn outcomes(&self) -> Vec<p::Outcome> {
        let policy_events = self.policy_events.lock().unwrap();
        policy_events
            .iter()
            .filter_map(|(_, e, _)| match e {
                Event::AttemptOutcome { outcome, .. } => Some(*outcome),
                _ => None,
            })
            .collect()
    }
}
