//! Compares the times at which a subscriber connects, sends heartbeats and fails over with recorded ones, to detect changes of
//! timeouts, backoff and jitter.
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

fn action_label(action: &SubscriberAction) -> String {
    match action {
        SubscriberAction::Connect(replica) => format!("connect-{}", replica.0),
        SubscriberAction::Send(Message::Heartbeat { number, .. }) => format!("heartbeat-{number}"),
        SubscriberAction::Close => "close".into(),
        _ => "other".into(),
    }
}

/// Returns the actions of a subscriber with their times, in µs. Of four connections one is established, one refused, one
/// unanswered, and one answers three heartbeats and then stops responding.
fn timed_actions(seed: u64) -> Vec<String> {
    let mut subscriber = Subscriber::new(RevisionNumber(0), Document::default(), 4, seed);
    let mut lines = Vec::new();
    let mut connects = 0;
    let mut answers_left = 0;
    let mut now = 0;
    for _ in 0..60 {
        now = subscriber.next_due().max(now);
        let mut inputs = vec![SubscriberInput::Tick];
        while let Some(input) = inputs.pop() {
            let mut actions = Vec::new();
            subscriber.handle(now, input, &mut AppliesAll, &mut actions);
            for action in actions {
                lines.push(format!("{seed} {now} {}", action_label(&action)));
                match action {
                    SubscriberAction::Connect(_) => {
                        connects += 1;
                        answers_left = if connects % 4 == 3 { 3 } else { 0 };
                        match connects % 4 {
                            0 | 3 => inputs.push(SubscriberInput::Connected),
                            1 => inputs.push(SubscriberInput::Disconnected),
                            _ => {}
                        }
                    }
                    SubscriberAction::Send(_) if answers_left > 0 => {
                        answers_left -= 1;
                        let digest = Digest::default();
                        let answer = Message::Heartbeat { number: RevisionNumber(0), digest };
                        inputs.push(SubscriberInput::Message(Box::new(answer)));
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
fn connection_attempts_and_heartbeats_match_the_recorded_times() {
    let recorded: Vec<&str> = RECORDED.lines().collect();
    let lines: Vec<String> = (1..=3).flat_map(timed_actions).collect();
    assert!(lines.len() > 180, "{}", lines.len());
    assert_eq!(lines, recorded);
}
