#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use std::io::Write;
use std::sync::{Arc, Mutex};

use chalkyard_policy::{AttemptKind, LoadReport, RejectionReason};
use chalkyard_router::{
    AttemptRecord, Counters, CountsByCause, RequestOutcome, RequestRecord, Tally, Transition, TransitionKind,
};

use super::Log;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// What is logged, as [`super::start`] formats it, without the time.
fn logged(write: impl FnOnce(&Log)) -> String {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .without_time()
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || write(&Log { endpoint_list_file: None }));
    let bytes = lines.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

fn finished() -> RequestRecord {
    RequestRecord {
        id: "r1-1".into(),
        class: "help".into(),
        came_back: true,
        tenant: Some("nord".into()),
        identity: Some("k1".into()),
        session: Some("s1".into()),
        prefix: Some("p1".into()),
        ended: RequestOutcome::ClientGone,
        rejection_reason: Some(RejectionReason::MayHaveRun),
        phase: "waiting",
        list_age_us: Some(4),
        open: 5,
        reason: "not taken now".into(),
        attempts: vec![AttemptRecord {
            worker: "w1".into(),
            stage: "read",
            outcome: "parsed",
            kind: AttemptKind::Probe,
            sent_us: 1,
            took_us: 2,
            kept_tokens: 3,
            report: Some(LoadReport { queued_requests: Some(1.0), ..LoadReport::default() }),
        }],
        arrived_us: 6,
        first_token_us: Some(7),
        total_us: 8,
        estimated_tokens: 9,
        prompt_tokens: 10,
        kept_tokens: 11,
        output_tokens: 12,
    }
}

#[test]
fn a_finished_request_is_one_line_with_every_field() {
    assert_eq!(
        logged(|log| log.finished(&finished())),
        concat!(
            r#"{"level":"INFO","message":"finished","id":"r1-1","class":"help","came_back":true,"tenant":"nord","#,
            r#""identity":"k1","session":"s1","prefix":"p1","ended":"client_gone","why":"may_have_run","#,
            r#""phase":"waiting","list_age_us":4,"open":5,"reason":"not taken now","#,
            r#""attempts":"[{\"worker\":\"w1\",\"stage\":\"read\",\"outcome\":\"parsed\",\"care\":\"trial\",\"#,
            r#""sent_us\":1,\"took_us\":2,\"kept_tokens\":3,\"report\":{\"queued\":1.0,\"slots_used\":null,\"#,
            r#""kv_used\":null,\"waiting_tokens\":null}}]","arrived_us":6,"first_token_us":7,"total_us":8,"#,
            r#""estimated_tokens":9,"prompt_tokens":10,"kept_tokens":11,"output_tokens":12,"target":"request"}"#,
            "\n"
        )
    );
}

#[test]
fn a_finished_request_without_optional_fields_leaves_them_out() {
    let bare = RequestRecord {
        tenant: None,
        identity: None,
        session: None,
        prefix: None,
        rejection_reason: None,
        list_age_us: None,
        first_token_us: None,
        attempts: Vec::new(),
        ..finished()
    };
    assert_eq!(
        logged(|log| log.finished(&bare)),
        concat!(
            r#"{"level":"INFO","message":"finished","id":"r1-1","class":"help","came_back":true,"#,
            r#""ended":"client_gone","phase":"waiting","open":5,"reason":"not taken now","attempts":"[]","#,
            r#""arrived_us":6,"total_us":8,"estimated_tokens":9,"prompt_tokens":10,"kept_tokens":11,"#,
            r#""output_tokens":12,"target":"request"}"#,
            "\n"
        )
    );
}

#[test]
fn a_transition_is_one_line_with_every_field_that_is_known() {
    let transition = Transition {
        id: "r1-1".into(),
        change: TransitionKind::ReleasedDuringAttempt,
        cause: "held_time_up",
        attempt: Some(1),
        worker: Some("w1".into()),
        connection: Some(2),
        rested_us: Some(3),
        last_reply_us: Some(4),
        age_us: 5,
    };
    assert_eq!(
        logged(|log| log.transition(&transition)),
        concat!(
            r#"{"level":"INFO","message":"changed","id":"r1-1","change":"released_beside_attempt","#,
            r#""cause":"held_time_up","attempt":1,"worker":"w1","connection":2,"rested_us":3,"unheard_us":4,"#,
            r#""age_us":5,"target":"transition"}"#,
            "\n"
        )
    );
    let bare = Transition {
        attempt: None,
        worker: None,
        connection: None,
        rested_us: None,
        last_reply_us: None,
        ..transition
    };
    assert_eq!(
        logged(|log| log.transition(&bare)),
        concat!(
            r#"{"level":"INFO","message":"changed","id":"r1-1","change":"released_beside_attempt","#,
            r#""cause":"held_time_up","age_us":5,"target":"transition"}"#,
            "\n"
        )
    );
}

#[test]
fn counters_and_the_counts_of_a_second_are_json_in_a_line() {
    let counters = Counters {
        requests: 3,
        answers: CountsByCause::from([("served", 2)]),
        violations: CountsByCause::from([("held_overdue", 1)]),
        ..Counters::default()
    };
    assert_eq!(
        logged(|log| log.counters(&counters)),
        concat!(
            r#"{"level":"INFO","message":"since the start","violations":1,"counters":"{\"requests\":3,"#,
            r#"\"answers\":{\"served\":2},\"given_up\":{},\"reads\":{},\"pulls\":{},\"wholes\":{},"#,
            r#"\"releases\":{},\"denied\":{},\"violations\":{\"held_overdue\":1}}","target":"counters"}"#,
            "\n"
        )
    );
    let tally = Tally { second: 9, first: 1, ..Tally::default() };
    assert_eq!(
        logged(|log| log.tally(&tally)),
        concat!(
            r#"{"level":"INFO","message":"second","tally":"{\"second\":9,\"first\":1,\"pulls\":0,"#,
            r#"\"again_safe\":0,\"again_ran\":0,\"trials\":0,\"cold\":0,\"connects\":0,\"list_calls\":0,"#,
            r#"\"list_news\":0,\"releases\":0,\"unheard\":0,\"moved\":0,\"open\":0}","target":"tally"}"#,
            "\n"
        )
    );
}

#[test]
fn a_note_is_a_warning_that_says_what_it_is_about() {
    assert_eq!(
        logged(|log| log.note("list", "not taken: torn")),
        concat!(r#"{"level":"WARN","message":"not taken: torn","what":"list","target":"router"}"#, "\n")
    );
}
