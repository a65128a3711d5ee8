//! The answers that clients received and the events that the policy received, read back from a [`Harness`].

use chalkyard_policy as p;
use chalkyard_policy::Event;
use chalkyard_proto::{sse, Decoder, Limits, Part, Side, StartLine};
use chalkyard_router::ConnId;

use super::Harness;

impl Harness {
    /// All complete responses that a client has received: the status, and the events (name, data) or the body.
    pub fn answers(&self, conn: ConnId) -> Vec<(u16, Vec<(String, serde_json::Value)>)> {
        let mut decoder = Decoder::new(Side::Response, Limits { body_bytes: 1 << 30, ..Limits::default() });
        decoder.push(self.answers.get(&conn).map_or(&[][..], |b| b));
        let (mut out, mut status, mut is_stream, mut body) = (Vec::new(), 0, false, Vec::new());
        while let Some(part) = decoder.next_part().expect("clients receive well-formed answers") {
            match part {
                Part::Head(head) => {
                    let StartLine::Response { status: s } = head.start else { panic!() };
                    status = s;
                    is_stream = head.header("content-type") == Some("text/event-stream");
                }
                Part::Data(data) => body.extend(data),
                Part::End => {
                    let body = std::mem::take(&mut body);
                    let mut events = Vec::new();
                    if is_stream {
                        let mut parsed = Vec::new();
                        sse::Parser::new(1 << 20).push(&body, &mut parsed).unwrap();
                        for e in parsed {
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

    /// All bytes that a client has received.
    pub fn raw(&self, conn: ConnId) -> &[u8] {
        self.answers.get(&conn).map_or(&[], |b| b)
    }

    /// The only answer that a client has received; panics unless there is exactly one.
    pub fn answer(&self, conn: ConnId) -> (u16, Vec<(String, serde_json::Value)>) {
        let mut all = self.answers(conn);
        assert_eq!(all.len(), 1, "exactly one final answer");
        all.remove(0)
    }

    /// The status, type and `may_have_run` of the only answer, which must be an error.
    pub fn error(&self, conn: ConnId) -> (u16, String, bool) {
        let (status, body) = self.answer(conn);
        let error = &body[0].1["error"];
        (status, error["type"].as_str().unwrap().into(), error["may_have_run"].as_bool().unwrap())
    }

    /// Outcomes of attempts that the policy was notified of, in order.
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
