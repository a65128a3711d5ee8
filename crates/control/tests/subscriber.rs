//! The times at which a subscriber connects, sends heartbeats and fails over equal recorded ones: timeouts, backoff and jitter.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing, missing_docs)]

use chalkyard_control::*;

const RECORDED: &str = include_str!("data/subscriber_times.txt");

struct AppliesAll;

impl Apply for AppliesAll {
    fn apply(&mut self, _number: RevisionNumber, _delta: &Delta) -> Result<(), ApplyError> {
        Ok(())
    }

    fn apply_snapshot(&mut self, _number: RevisionNumber, _document: &Document) -> Result<(), ApplyError> {
        Ok(())
    }
}

fn label(action: &Action) -> String {
    match action {
        Action::Connect(replica) => format!("connect-{}", replica.0),
        Action::Send(Message::Heartbeat { number, .. }) => format!("heartbeat-{number}"),
        Action::Close => "close".into(),
        _ => "other".into(),
    }
}

/// Of the connections one in four is established, refused, unanswered, or answers three heartbeats and falls silent.
fn times(seed: u64) -> Vec<String> {
    let mut subscriber = Subscriber::new(RevisionNumber(0), Document::default(), 4, seed);
    let mut lines = Vec::new();
    let mut connects = 0;
    let mut answers = 0;
    let mut now = 0;
    for _ in 0..60 {
        now = subscriber.next_due().max(now);
        let mut inputs = vec![Input::Tick];
        while let Some(input) = inputs.pop() {
            let mut actions = Vec::new();
            subscriber.handle(now, input, &mut AppliesAll, &mut actions);
            for action in actions {
                lines.push(format!("{seed} {now} {}", label(&action)));
                match action {
                    Action::Connect(_) => {
                        connects += 1;
                        answers = if connects % 4 == 3 { 3 } else { 0 };
                        match connects % 4 {
                            0 | 3 => inputs.push(Input::Connected),
                            1 => inputs.push(Input::Disconnected),
                            _ => {}
                        }
                    }
                    Action::Send(_) if answers > 0 => {
                        answers -= 1;
                        let digest = Digest::default();
                        let answer = Message::Heartbeat { number: RevisionNumber(0), digest };
                        inputs.push(Input::Message(Box::new(answer)));
                    }
                    _ => {}
                }
            }
            now += 1_000;
        }
    }
    lines
}

#[test]
fn connection_attempts_and_heartbeats_come_at_the_recorded_times() {
    let recorded: Vec<&str> = RECORDED.lines().collect();
    let lines: Vec<String> = (1..=3).flat_map(times).collect();
    assert!(lines.len() > 180, "{}", lines.len());
    assert_eq!(lines, recorded);
}
