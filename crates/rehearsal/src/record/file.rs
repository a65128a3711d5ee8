//! A record as it is collected, written to a file and read back.

use std::path::Path;

use super::{Event, Line};
use crate::Error;

/// Collects the events of a scenario, with the time.
#[derive(Debug, Default)]
pub struct Recorder {
    /// What was recorded so far.
    pub lines: Vec<Line>,
    /// µs since the scenario began.
    pub now: u64,
}

impl Recorder {
    /// Records an event that happens now.
    pub fn add(&mut self, event: Event) {
        self.lines.push(Line { t: self.now, event });
    }
}

/// The record as text.
pub fn text(lines: &[Line]) -> String {
    let mut out = String::new();
    for line in lines {
        out.push_str(&serde_json::to_string(line).unwrap_or_default());
        out.push('\n');
    }
    out
}

/// Writes the record to a file.
pub fn write(file: &Path, lines: &[Line]) -> Result<(), Error> {
    std::fs::write(file, text(lines)).map_err(|e| Error::CouldNotRun(format!("{}: {e}", file.display())))
}

/// Reads a record; an error names its line.
pub fn parse(text: &str) -> Result<Vec<Line>, String> {
    let mut lines: Vec<Line> = Vec::new();
    for (i, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let line: Line = serde_json::from_str(line).map_err(|e| format!("{}: {e}", i + 1))?;
        if lines.last().is_some_and(|before| before.t > line.t) {
            return Err(format!("{}: time goes back", i + 1));
        }
        lines.push(line);
    }
    match lines.first().map(|l| &l.event) {
        Some(Event::Scenario { .. }) => Ok(lines),
        _ => Err("1: the first line must be the day".into()),
    }
}
