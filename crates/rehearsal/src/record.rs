//! The recorded traffic: JSON lines, one thing seen a line, in the order of time. Documented in
//! `docs/record.md`.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::scenario::LinkOf;
use crate::Error;

/// A line of the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// µs since the day began.
    pub t: u64,
    /// What was seen.
    #[serde(flatten)]
    pub seen: Seen,
}

/// How far a class may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Freely.
    Free,
    /// Within its cell and window, where repeats are discarded.
    Guarded,
    /// Never.
    SingleShot,
}

/// A class, as the day's routers are told it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name.
    pub name: String,
    /// How far it may be repeated.
    pub effect: Effect,
    /// Of guarded ones: how long repeats are discarded, µs.
    pub window_us: u64,
    /// First token wanted within, µs, and so much more for each 1,000 prompt tokens.
    pub aim_us: u64,
    /// See `aim_us`.
    pub aim_per_1000_us: u64,
    /// Time between tokens wanted, µs.
    pub token_aim_us: u64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Given up after, µs.
    pub deadline_us: u64,
}

/// The rules' figures, µs where no unit is named.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// A final answer may come so much after the client's time.
    pub slack_us: u64,
    /// Something held with no attempt out is taken or let go within.
    pub release_us: u64,
    /// Nothing new to a draining or gone worker after.
    pub grace_us: u64,
    /// A cold engine bears this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... in every window of this length.
    pub fall_us: u64,
    /// Its capacity at its start, as a share.
    pub cold_from: f64,
    /// Until it is warm.
    pub cold_us: u64,
    /// What sockets and a busy machine may add to any time above.
    pub noise_us: u64,
}

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Read and keep the state.
    Read,
    /// Pull state and write.
    Pull,
    /// Read and write.
    Whole,
}

/// How an attempt ended at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Answered to the end.
    Answered,
    /// Turned away; nothing ran.
    Refused,
    /// No state to pull; nothing ran.
    NoState,
    /// Answered with an error.
    Error,
    /// The router closed the connection.
    Closed,
    /// The engine broke the connection, or its process died.
    Down,
}

/// How held state went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Freed {
    /// A writer has it.
    Pulled,
    /// By a call to let go.
    Released,
    /// By the engine's own time-out.
    Expired,
    /// With the process.
    Down,
}

/// The final answer of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Whole.
    Served,
    /// Refused: nothing ran.
    Refused,
    /// Failed.
    Failed,
    /// A begun stream broke off.
    Broken,
    /// Told of another request under its identity.
    Duplicate,
    /// Not taken as a request.
    Invalid,
}

/// What can be seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "snake_case")]
pub enum Seen {
    /// The first line: the day.
    #[serde(rename = "day")]
    Scenario {
        /// Name.
        name: String,
        /// Seed.
        seed: u64,
        /// Routers, by name.
        routers: Vec<String>,
        /// Classes.
        classes: Vec<Class>,
        /// The rules' figures.
        figures: Figures,
    },
    /// An engine there is.
    Engine {
        /// Its id.
        engine: String,
        /// `reader`, `writer` or `mixed`.
        role: String,
        /// Its cell.
        cell: u64,
        /// Requests a second that it can do when warm.
        capacity_per_s: f64,
    },
    /// An engine's process has started; cold, unless it is the day's beginning.
    Start {
        /// Which.
        engine: String,
        /// Starts cold.
        cold: bool,
    },
    /// An engine's process is gone.
    Down {
        /// Which.
        engine: String,
        /// Pushed over while cold.
        fell: bool,
    },
    /// The register told a router of an engine.
    Told {
        /// Router.
        router: String,
        /// Engine.
        engine: String,
        /// `in`, `draining` or `out`.
        state: String,
        /// When the engine's process had started, as told, in the time of this record.
        started: u64,
    },
    /// A call for a request has arrived at an engine.
    Arrive {
        /// Number of the attempt.
        attempt: u64,
        /// Engine.
        engine: String,
        /// Router.
        router: String,
        /// The router's id of the request.
        request: String,
        /// The client's identity for it.
        identity: String,
        /// Class.
        class: String,
        /// What for.
        stage: Stage,
        /// How long the router says that it will wait, µs; none where it does not say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        told_us: Option<u64>,
    },
    /// The attempt has had its effect.
    Run {
        /// Number of the attempt.
        attempt: u64,
    },
    /// The attempt has ended at its engine.
    End {
        /// Number of the attempt.
        attempt: u64,
        /// How.
        how: End,
    },
    /// What an ended attempt did, by its engine's own count; none if it did nothing.
    Work {
        /// Number of the attempt.
        attempt: u64,
        /// Engine.
        engine: String,
        /// The router's id of the request.
        request: String,
        /// The router's number of the attempt.
        number: u32,
        /// What for.
        stage: Stage,
        /// Prompt tokens.
        prompt: u64,
        /// Of these, not read: kept or pulled.
        kept: u64,
        /// Tokens written.
        output: u64,
    },
    /// A reader holds state.
    Hold {
        /// Engine.
        engine: String,
        /// Request.
        request: String,
    },
    /// It does not any more.
    Free {
        /// Engine.
        engine: String,
        /// Request.
        request: String,
        /// How it went.
        how: Freed,
    },
    /// A client has sent a request whole.
    Ask {
        /// Number of the try.
        #[serde(rename = "try")]
        no: u64,
        /// Identity, the same for all tries of one request.
        identity: String,
        /// Router.
        router: String,
        /// Class.
        class: String,
        /// Whose; empty where a day has one tenant.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        tenant: String,
        /// Prompt tokens.
        prompt: u64,
        /// When this try is given up.
        deadline: u64,
    },
    /// The first token of an answer reached the client.
    First {
        /// Number of the try.
        #[serde(rename = "try")]
        no: u64,
    },
    /// A final answer reached the client. A second one for a try is a fault.
    Answer {
        /// Number of the try.
        #[serde(rename = "try")]
        no: u64,
        /// Which.
        how: Answer,
        /// What the answer says of it.
        may_have_run: bool,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// The client left.
    Leave {
        /// Number of the try.
        #[serde(rename = "try")]
        no: u64,
    },
    /// The connection ended without a final answer.
    Lost {
        /// Number of the try.
        #[serde(rename = "try")]
        no: u64,
    },
    /// A router could not be reached: the connection was refused, or ended before anything was sent on it.
    Unreached {
        /// Which.
        router: String,
    },
    /// A connection was taken at an engine.
    Connect {
        /// Which.
        engine: String,
    },
    /// The register was asked for the list.
    Listed {
        /// By which router.
        router: String,
    },
    /// How far the engines of a role were used in the second that ends.
    Use {
        /// `reader`, `writer` or `mixed`.
        role: String,
        /// Of what they can do now, cold ones less, the part in use: readers' time, writers' slots.
        used: f64,
    },
    /// A router's process was started or killed.
    Router {
        /// Which.
        router: String,
        /// Runs from now on.
        up: bool,
    },
    /// A fault begins or ends.
    Fault {
        /// Name.
        name: String,
        /// What it strikes.
        on: String,
        /// Of a fault of links: whose.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        links: Option<LinkOf>,
        /// Begins.
        begins: bool,
    },
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
    match lines.first().map(|l| &l.seen) {
        Some(Seen::Scenario { .. }) => Ok(lines),
        _ => Err("1: the first line must be the day".into()),
    }
}
