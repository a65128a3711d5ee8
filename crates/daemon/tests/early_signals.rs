//! Signals that come while a router still reads its settings: kept until its loop runs, never its end by default.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::{folder, settings, EXE};

/// A settings file that is at its end only once the test lets it be: a pipe.
struct PausedSettings {
    path: std::path::PathBuf,
    pipe: std::fs::File,
}

impl PausedSettings {
    fn new(name: &str) -> Self {
        let path = folder(name).join("settings.xml");
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        // Open to both ends: neither this test nor the router waits for the other to open it.
        let pipe = std::fs::OpenOptions::new().read(true).write(true).open(&path).unwrap();
        Self { path, pipe }
    }

    /// Writes all of it, and closes it.
    fn finish(mut self) {
        let text = settings("127.0.0.1:0".parse().unwrap(), "127.0.0.1:9".parse().unwrap(), "");
        self.pipe.write_all(text.as_bytes()).unwrap();
    }
}

fn start(pipe: &std::path::Path) -> Child {
    let mut command = Command::new(EXE);
    command.arg("run").arg(pipe).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command.spawn().unwrap()
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// Waits until the process has its settings open, whose end it then waits for.
fn wait_for_reading(child: &Child, settings: &PausedSettings) {
    let begun = Instant::now();
    let folder = format!("/proc/{}/fd", child.id());
    let is_open = || {
        let links = std::fs::read_dir(&folder).into_iter().flatten().flatten();
        links.filter_map(|fd| std::fs::read_link(fd.path()).ok()).any(|to| to == settings.path)
    };
    while !is_open() {
        assert!(begun.elapsed() < Duration::from_secs(10), "it does not open its settings");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_reload_signal_while_settings_are_read_does_not_end_the_process() {
    let settings = PausedSettings::new("early-hangup");
    let mut child = start(&settings.path);
    wait_for_reading(&child, &settings);
    signal(&child, "-HUP");
    settings.finish();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let (mut line, mut ready) = (String::new(), false);
    while !ready && log.read_line(&mut line).unwrap() > 0 {
        ready = line.contains("\"ready\"");
        line.clear();
    }
    signal(&child, "-KILL");
    let status = child.wait().unwrap();
    assert!(ready, "{status}");
}

#[test]
fn a_stop_signal_while_settings_are_read_is_obeyed_once_they_are() {
    let settings = PausedSettings::new("early-stop");
    let mut child = start(&settings.path);
    wait_for_reading(&child, &settings);
    signal(&child, "-TERM");
    settings.finish();
    let begun = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(begun.elapsed() < Duration::from_secs(10), "still running");
        std::thread::sleep(Duration::from_millis(10));
    };
    assert_eq!((status.code(), status.signal()), (Some(0), None), "it ended by its own will");
}
