//! Stand-ins and drivers of the cases of the second review. `standin CASE RECORD PROGRAM` plays one case and
//! writes its record to the file RECORD.

mod bill;
mod deaf;
mod drain;
mod kit;
mod twice;
mod vacant;

use std::path::PathBuf;
use std::time::Duration;

use kit::{Record, Stage, Verdict};

/// Longest time that a case may take.
const MOST: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, program] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD PROGRAM");
        std::process::exit(2);
    };
    let play: fn(&Stage) -> Verdict = match case.as_str() {
        "bill" => bill::play,
        "deaf" => deaf::play,
        "drain" => drain::play,
        "twice" => twice::play,
        "vacant" => vacant::play,
        other => {
            eprintln!("no case {other}");
            std::process::exit(2);
        }
    };
    let code = run(&PathBuf::from(record), &PathBuf::from(program), play);
    std::process::exit(code);
}

fn run(record_file: &std::path::Path, program: &std::path::Path, play: fn(&Stage) -> Verdict) -> i32 {
    let record = match Record::new(record_file) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", record_file.display());
            return 2;
        }
    };
    let folder = std::env::temp_dir().join(format!("chalkyard-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        return 2;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("begin  disruption: {trouble}"));
    let stage = Stage { record: record.clone(), folder: folder.clone(), program: program.into(), trouble };
    let (sender, receiver) = std::sync::mpsc::channel();
    // The case runs on a thread of its own, so that it can be given up; its processes end with it.
    std::thread::spawn(move || {
        let _ = sender.send(play(&stage));
    });
    let verdict =
        receiver.recv_timeout(MOST).unwrap_or_else(|_| Err("the case took too long or panicked".into()));
    let (code, text) = match verdict {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    kit::kill_all();
    record.line(format!("end    {text}"));
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    code
}
