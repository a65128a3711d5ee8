//! `chalkyard replay`: replays the events of a decisions file and compares the actions of the decision module.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use chalkyard_policy::{Action, Event, Router};

use crate::run::{Decided, Started};
use crate::CommandError;

/// Replays a decisions file; exit code 3 if an action differs.
pub fn replay(file: &PathBuf) -> Result<ExitCode, CommandError> {
    let invalid =
        |line: usize, reason: String| CommandError::BadInput(format!("{}:{line}: {reason}", file.display()));
    let input = File::open(file).map_err(|e| invalid(0, e.to_string()))?;
    let mut router: Option<Router> = None;
    let (mut events, mut actions) = (0_u64, 0_u64);
    let mut lines = BufReader::new(input).lines().enumerate().peekable();
    while let Some((n, line)) = lines.next() {
        let line = line.map_err(|e| invalid(n + 1, e.to_string()))?;
        let Some(router) = &mut router else {
            let started: Started = serde_json::from_str(&line).map_err(|e| invalid(n + 1, e.to_string()))?;
            router = Some(Router::new(started.settings, started.seed));
            continue;
        };
        let decided: Decided<Event, Vec<Action>> = match serde_json::from_str(&line) {
            Ok(decided) => decided,
            // The last line of a killed router may be truncated.
            Err(e) if e.is_eof() && lines.peek().is_none() => break,
            Err(e) => return Err(invalid(n + 1, e.to_string())),
        };
        let mut actions_now = Vec::new();
        router.handle(decided.now, decided.event, &mut actions_now);
        if actions_now != decided.actions {
            println!("{}:{}: did {:?}, now does {actions_now:?}", file.display(), n + 1, decided.actions);
            return Ok(ExitCode::from(3));
        }
        events += 1;
        actions += actions_now.len() as u64;
    }
    if events == 0 {
        return Err(invalid(1, "no events".into()));
    }
    println!("{}: {events} events, {actions} actions, all the same", file.display());
    Ok(ExitCode::SUCCESS)
}
