//! What the control socket answers, and what the commands that ask it print: every field, by name and form.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use common::*;
use serde_json::{json, Value};

struct Controlled {
    engine: Engine,
    router: Running,
    socket: PathBuf,
    file: PathBuf,
}

/// A running router with a control socket and one engine.
fn controlled(name: &str) -> Controlled {
    let (engine, dir) = (Engine::new(), folder(name));
    let socket = dir.join("r1.sock");
    let extra = format!("control=\"{}\"", socket.display());
    let file = dir.join("r1.xml");
    std::fs::write(&file, settings("127.0.0.1:0".parse().unwrap(), engine.at(), &extra)).unwrap();
    let router = Running::start(&file, None, &["--seed", "7"]);
    Controlled { engine, router, socket, file }
}

impl Controlled {
    /// One line in, one line out, as any program may ask.
    fn raw(&self, question: &str) -> String {
        let mut stream = UnixStream::connect(&self.socket).unwrap();
        stream.write_all(question.as_bytes()).unwrap();
        stream.write_all(b"\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn asked(&self, question: &str) -> Value {
        serde_json::from_str(&self.raw(question)).unwrap()
    }

    fn printed(&self, args: &[&str]) -> String {
        let out = chalkyard(&[args, &[self.socket.to_str().unwrap()]].concat());
        assert_eq!((out.status.code(), text(&out.stderr).as_str()), (Some(0), ""), "{args:?}");
        text(&out.stdout)
    }

    /// A stream that has begun.
    fn stream(&self) -> (TcpStream, TcpStream) {
        let mut client = self.router.connect();
        client.write_all(&ask(true)).unwrap();
        let answer = self.engine.begin();
        assert!(read_until(&mut client, "message.delta").contains("message.opened"));
        (client, answer)
    }
}

/// Names and forms: numbers as 0, and texts that differ from run to run by what they are.
fn shape(value: &Value, texts: &[(&str, &str)]) -> Value {
    match value {
        Value::Number(_) => json!(0),
        Value::Array(items) => items.iter().map(|item| shape(item, texts)).collect(),
        Value::Object(members) => {
            members.iter().map(|(name, member)| (name.clone(), shape(member, texts))).collect()
        }
        Value::String(text) => {
            json!(texts.iter().fold(text.clone(), |text, (from, to)| text.replace(from, to)))
        }
        Value::Bool(_) | Value::Null => value.clone(),
    }
}

#[test]
fn status_answers_with_counts_phase_address_and_what_was_done() {
    let c = controlled("answers-status");
    let (_client, _answer) = c.stream();
    let at = c.router.at.to_string();
    let status = c.asked(r#"{"command":"status"}"#);
    assert_eq!(
        shape(&status, &[(&at, "AT")]),
        json!({
            "open_requests": 0, "clients": 0, "engines": 0, "connections": 0, "draining": false, "has_list": true,
            "register": false, "identities": 0, "lease": null, "phase": "ready", "at": "AT", "sockets": 0,
            "since_start": {
                "requests": 0, "answers": {}, "given_up": {}, "reads": {}, "pulls": {}, "wholes": {}, "releases": {},
                "denied": {}, "violations": {},
            },
        })
    );
    assert_eq!(
        [
            &status["open_requests"],
            &status["engines"],
            &status["connections"],
            &status["since_start"]["requests"]
        ],
        [&json!(1), &json!(1), &json!(1), &json!(1)]
    );
}

#[test]
fn status_is_printed_a_line_a_field_for_people_and_as_json() {
    let c = controlled("answers-status-printed");
    let printed = c.printed(&["status"]);
    let none = r#"{"answers":{},"denied":{},"given_up":{},"pulls":{},"reads":{},"releases":{},"requests":0,"violations":{},"wholes":{}}"#;
    let fields: Vec<(&str, &str)> = printed.lines().map(|line| line.split_once(": ").unwrap()).collect();
    let at = c.router.at.to_string();
    assert_eq!(
        fields,
        [
            ("at", at.as_str()),
            ("clients", "0"),
            ("connections", "0"),
            ("draining", "false"),
            ("engines", "1"),
            ("has_list", "true"),
            ("identities", "0"),
            ("lease", "null"),
            ("open_requests", "0"),
            ("phase", "ready"),
            ("register", "false"),
            ("since_start", none),
            ("sockets", "0"),
        ]
    );
    let json = c.printed(&["status", "--format", "json"]);
    assert_eq!(serde_json::from_str::<Value>(&json).unwrap(), c.asked(r#"{"command":"status"}"#));
}

#[test]
fn engines_and_requests_are_lists_with_every_field() {
    let c = controlled("answers-lists");
    let (_client, _answer) = c.stream();
    let engine = c.engine.at().to_string();
    let texts = [(engine.as_str(), "ENGINE")];
    assert_eq!(
        shape(&c.asked(r#"{"command":"engines"}"#), &texts),
        json!({"more": 0, "items": [{
            "id": "m1", "address": "ENGINE", "role": "mixed", "listed": true, "connections": 0, "idle": 0,
            "attempts": 0,
        }]})
    );
    assert_eq!(
        c.printed(&["engines"]),
        format!("address {engine}, attempts 1, connections 1, id m1, idle 0, listed true, role mixed\n")
    );
    let requests = c.asked(r#"{"command":"requests"}"#);
    let id = requests["items"][0]["id"].as_str().unwrap().to_owned();
    let open = json!({
        "id": "ID", "class": "report", "tenant": null, "phase": "streaming", "age_us": 0, "left_us": 0,
        "prompt_tokens": 0, "pieces": 0, "may_have_run": true,
        "attempts": [{
            "worker": "m1", "stage": "whole", "outcome": "open", "care": "usual", "sent_us": 0, "took_us": 0,
            "kept_tokens": 0, "report": null,
        }],
    });
    assert_eq!(shape(&requests, &[(&id, "ID")]), json!({"more": 0, "items": [open]}));
    let traced = c.asked(&json!({"command": "trace", "id": id}).to_string());
    assert_eq!(shape(&traced, &[(&id, "ID")]), open);
}

#[test]
fn a_request_that_has_ended_is_traced_as_it_is_logged() {
    let mut c = controlled("answers-trace");
    let (mut client, mut answer) = c.stream();
    Engine::end(&mut answer);
    read_until(&mut client, "message.closed");
    let line = c.router.wait_log("\"finished\"");
    let id = line["id"].as_str().unwrap().to_owned();
    let traced = c.asked(&json!({"command": "trace", "id": id}).to_string());
    let shown = json!({
        "id": "ID", "class": "report", "came_back": false, "tenant": null, "identity": null, "session": traced["session"],
        "prefix": traced["prefix"], "ended": "served", "why": null, "phase": "streaming",
        "list_age_us": traced["list_age_us"], "open": 0, "reason": "",
        "attempts": [{
            "worker": "m1", "stage": "whole", "outcome": "served", "care": "usual", "sent_us": 0, "took_us": 0,
            "kept_tokens": 0, "report": null,
        }],
        "arrived_us": 0, "first_token_us": 0, "total_us": 0, "estimated_tokens": 0, "prompt_tokens": 0,
        "kept_tokens": 0, "output_tokens": 0,
    });
    assert_eq!(shape(&traced, &[(&id, "ID")]), shape(&shown, &[]));
    let mut logged: Vec<&str> = line.as_object().unwrap().keys().map(String::as_str).collect();
    logged.retain(|name| !["level", "message", "target", "timestamp"].contains(name));
    let mut traced: Vec<&str> = traced
        .as_object()
        .unwrap()
        .iter()
        .filter(|(_, value)| !value.is_null())
        .map(|(name, _)| name.as_str())
        .collect();
    logged.sort_unstable();
    traced.sort_unstable();
    assert_eq!(logged, traced);
}

#[test]
fn wishes_answer_with_the_status_that_follows() {
    let mut c = controlled("answers-wishes");
    let (mut client, mut answer) = c.stream();
    let keys = |value: &Value| value.as_object().unwrap().keys().cloned().collect::<Vec<_>>();
    let usual = keys(&c.asked(r#"{"command":"status"}"#));
    for (command, phase) in [("drain", "drained"), ("undrain", "ready"), ("stop", "ending")] {
        let told = c.asked(&json!({ "command": command }).to_string());
        assert_eq!((&told["phase"], keys(&told)), (&json!(phase), usual.clone()), "{command}");
    }
    Engine::end(&mut answer);
    assert!(read_until(&mut client, "message.closed").contains("message.closed"));
    drop(client);
    assert_eq!(c.router.wait_end().code(), Some(0));
    let stopped = c.router.wait_log("\"stopped\"");
    assert_eq!(
        (&stopped["target"], &stopped["left"], &stopped["code"], &stopped["reason"]),
        (&json!("router"), &json!(0), &json!(0), &json!("Drained"))
    );
}

#[test]
fn a_ready_line_names_router_seed_address_and_time() {
    let dir = folder("answers-ready");
    let file = dir.join("r1.xml");
    let engine = Engine::new();
    std::fs::write(&file, settings("127.0.0.1:0".parse().unwrap(), engine.at(), "")).unwrap();
    let mut child = std::process::Command::new(EXE)
        .args(["run", file.to_str().unwrap(), "--seed", "7"])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).unwrap();
    let ready: Value = serde_json::from_str(&line).unwrap();
    let _ = child.kill();
    let _ = child.wait();
    let names: Vec<&str> = ready.as_object().unwrap().keys().map(String::as_str).collect();
    assert_eq!(names, ["at", "level", "message", "name", "seed", "target", "timestamp", "took_us"]);
    assert_eq!(
        (&ready["level"], &ready["message"], &ready["name"], &ready["seed"], &ready["target"]),
        (&json!("INFO"), &json!("ready"), &json!("r1"), &json!(7), &json!("router"))
    );
}

#[test]
fn a_reload_answers_with_each_difference_and_its_place() {
    let c = controlled("answers-reload");
    let xml = std::fs::read_to_string(&c.file).unwrap();
    assert_eq!(c.asked(r#"{"command":"reload"}"#), json!({"reloaded": true, "items": [], "more": 0}));
    std::fs::write(&c.file, xml.replacen("aim=\"1s\"", "aim=\"2s\"", 1)).unwrap();
    assert_eq!(
        c.asked(r#"{"command":"reload"}"#),
        json!({"reloaded": false, "more": 0, "items": [{
            "path": "chalkyard/classes/class[report]", "line": 4, "column": 50, "what": "aim is \"2s\", was \"1s\"",
            "in_flight": false,
        }]})
    );
    let out = chalkyard(&["reload", c.socket.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert_eq!(
        text(&out.stdout),
        "column 50, in_flight false, line 4, path chalkyard/classes/class[report], what aim is \"2s\", was \"1s\"\n"
    );
    assert_eq!(text(&out.stderr), "not reloaded: some of this needs a successor (run --take-over)\n");
}

#[test]
fn what_cannot_be_answered_is_told_as_an_error() {
    let c = controlled("answers-errors");
    assert_eq!(c.asked(r#"{"command":"log-level","level":"warn"}"#), json!({"level": "warn"}));
    assert_eq!(
        c.asked(r#"{"command":"trace","id":"r1-0-0"}"#),
        json!({"error": "no request r1-0-0 is open or ended lately"})
    );
    assert_eq!(
        c.asked(r#"{"command":"fly"}"#),
        json!({"error": "not understood: unknown variant `fly`, expected one of `status`, `engines`, `requests`, \
                         `trace`, `drain`, `undrain`, `reload`, `stop`, `take-over`, `log-level` at line 1 column 16"})
    );
    let told = c.asked(r#"{"command":"log-level","level":"loud=very"}"#);
    assert!(told["error"].as_str().unwrap().starts_with("no level or filter: "), "{told}");
    let out = chalkyard(&["status", c.file.with_file_name("none.sock").to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(1));
    assert!(text(&out.stderr).starts_with("chalkyard: control socket "), "{}", text(&out.stderr));
}

#[test]
fn a_kept_list_that_cannot_be_read_is_noted_with_its_cause() {
    let dir = folder("answers-list");
    let (file, list) = (dir.join("r1.xml"), dir.join("list.json"));
    std::fs::write(&list, "{\"version\":1").unwrap();
    let engine = Engine::new();
    // Nothing listens at the port of the register.
    let register = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let extra = format!("register=\"{register}\" list-file=\"{}\"", list.display());
    let xml = settings("127.0.0.1:0".parse().unwrap(), engine.at(), &extra);
    let engines = xml.find("<engines>").unwrap()..xml.find("</engines>").unwrap() + "</engines>".len();
    std::fs::write(&file, xml.replace(&xml[engines], "")).unwrap();
    let router = Running::start(&file, None, &[]);
    let noted: Vec<Value> = router.before.iter().map(|l| serde_json::from_str(l).unwrap()).collect();
    let note = noted.iter().find(|l| l["what"] == "list").unwrap();
    assert_eq!((&note["level"], &note["target"]), (&json!("WARN"), &json!("router")));
    assert_eq!(
        note["message"],
        "cannot read the stored endpoint list, starting without it: Malformed(\"EOF while parsing an object at line 1 column 12\")"
    );
}
