//! Reads batches of events in the simulator's wire protocol from standard input, passes each event to the router
//! instance that it names, and writes the resulting actions to standard output. The decision module makes all
//! decisions.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use chalkyard_adapter::session::Session;

fn run() -> Result<(), String> {
    if std::env::args().len() > 1 {
        return Err("this program takes no arguments; it reads batches from standard input".into());
    }
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut session = Session::default();
    let mut line = String::new();
    for number in 1_u64.. {
        line.clear();
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = session.handle_line(&line).map_err(|e| format!("line {number}: {e}"))?;
        // The reply is serialized completely before any of it is written, so that an error never leaves part of a
        // reply.
        let mut text = serde_json::to_vec(&reply).map_err(|e| format!("line {number}: {e}"))?;
        text.push(b'\n');
        let written = output.write_all(&text).and_then(|()| output.flush());
        written.map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("chalkyard-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
