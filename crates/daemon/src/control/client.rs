//! The client of the control socket: the operator commands and what they print.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;

use super::{Call, IO_TIMEOUT};
use crate::{CommandError, Format};

/// Longest response that a command reads, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Sends a request to a running router and returns its response.
fn ask(socket: &Path, call: &Call) -> Result<Value, CommandError> {
    let io_error =
        |e: std::io::Error| CommandError::CouldNotRun(format!("control socket {}: {e}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT * 3)).map_err(io_error)?;
    let line = serde_json::to_string(call).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(io_error)?;
    let mut answer = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut answer).map_err(io_error)?;
    serde_json::from_str(&answer).map_err(|e| CommandError::CouldNotRun(format!("{}: {e}", socket.display())))
}

/// Runs an operator command against a running router; with `watch`, repeats it at that interval in seconds until the
/// router is gone.
pub fn command(
    socket: &Path,
    call: &Call,
    format: Format,
    watch: Option<u64>,
) -> Result<ExitCode, CommandError> {
    loop {
        let answer = ask(socket, call)?;
        if let Some(why) = answer.get("error").and_then(Value::as_str) {
            return Err(CommandError::CouldNotRun(why.into()));
        }
        match format {
            Format::Json => println!("{answer}"),
            Format::Text => print!("{}", text(&answer)),
        }
        if answer.get("reloaded") == Some(&Value::Bool(false)) {
            return Err(CommandError::BadInput(
                "not reloaded: some of this needs a successor (run --take-over)".into(),
            ));
        }
        let Some(seconds) = watch else { return Ok(ExitCode::SUCCESS) };
        std::thread::sleep(Duration::from_secs(seconds));
        println!();
    }
}

/// Formats a response for people: one line per member, or one line per row of a list.
fn text(answer: &Value) -> String {
    let word = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    let row = |v: &Value| match v.as_object() {
        Some(object) => object.iter().map(|(k, v)| format!("{k} {}", word(v))).collect::<Vec<_>>().join(", "),
        None => word(v),
    };
    match (answer.get("items").and_then(Value::as_array), answer.as_object()) {
        (Some(items), _) => {
            let mut out: String = items.iter().map(|i| row(i) + "\n").collect();
            let more = answer.get("more").and_then(Value::as_u64).unwrap_or(0);
            if more > 0 {
                out.push_str(&format!("and {more} more\n"));
            } else if items.is_empty() {
                out.push_str("none\n");
            }
            out
        }
        (None, Some(object)) => object.iter().map(|(k, v)| format!("{k}: {}\n", word(v))).collect(),
        (None, None) => format!("{answer}\n"),
    }
}
