//! `chalkyard losses`: what it sums, and what it refuses to read.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod common;

use common::*;

const SERVED: &str = r#"{"level":"INFO","message":"finished","id":"a","class":"chat","came_back":false,"ended":"served","phase":"streaming","list_age_us":500000,"open":1,"reason":"","attempts":"[{\"worker\":\"r\",\"stage\":\"read\",\"outcome\":\"parsed\",\"care\":\"cold\",\"sent_us\":0,\"took_us\":1000}]","arrived_us":5000000,"first_token_us":40000,"total_us":90000,"target":"request"}"#;
const REFUSED: &str = r#"0.051 {"level":"INFO","message":"finished","id":"b","class":"chat","came_back":true,"ended":"refused","why":"pressure","phase":"waiting","open":3,"reason":"not taken now","attempts":"[]","arrived_us":6000000,"total_us":10,"target":"request"}"#;
const SECOND: &str = r#"{"level":"INFO","message":"second","tally":"{\"second\":6,\"first\":2,\"pulls\":1,\"again_safe\":0,\"again_ran\":0,\"trials\":1,\"cold\":1,\"connects\":4,\"list_calls\":1,\"list_news\":1,\"releases\":0,\"unheard\":0,\"moved\":0,\"open\":3}","target":"tally"}"#;
const OTHER: &str = r#"{"level":"INFO","message":"ready","target":"router"}"#;

fn losses(name: &str, logs: &[String]) -> (i32, String, String) {
    let files: Vec<String> = logs
        .iter()
        .enumerate()
        .map(|(i, log)| {
            let file = folder("losses").with_file_name(format!("losses-{name}-{i}.log"));
            std::fs::write(&file, log).unwrap();
            file.to_str().unwrap().to_owned()
        })
        .collect();
    let mut words = vec!["losses", "--format", "json"];
    words.extend(files.iter().map(String::as_str));
    let out = chalkyard(&words);
    (out.status.code().unwrap(), text(&out.stdout), text(&out.stderr))
}

#[test]
fn logs_of_two_routers_are_summed() {
    let first = format!("{OTHER}\n{SERVED}\n{SECOND}\n");
    let second = format!("{REFUSED}\n{SECOND}\n{SERVED}\n{{\"level\":\"INF");
    let (code, out, err) = losses("two", &[first, second]);
    assert_eq!((code, err.as_str()), (0, ""), "a last line that is cut is the end of a killed router");
    let sums: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&sums["requests"], &sums["routers"]), (&3.into(), &2.into()));
    let reasons = sums["by_reason"].as_array().unwrap();
    assert_eq!(reasons.iter().map(|r| r["count"].as_u64().unwrap()).sum::<u64>(), 3);
    let given_up = reasons.iter().find(|r| r["why"] == "pressure").unwrap();
    assert_eq!((&given_up["who"], &given_up["came_back"]), (&"module".into(), &true.into()));
    assert_eq!(
        (&sums["by_second"]["6"]["connects"], &sums["by_second"]["6"]["refused"]),
        (&8.into(), &1.into())
    );
    assert_eq!(sums["by_second"]["5"]["served"], 2);
    assert_eq!(
        (&sums["by_attempt"][0]["care"], &sums["by_attempt"][0]["count"]),
        (&"cold".into(), &2.into())
    );
}

#[test]
fn what_is_no_log_of_a_router_is_refused_with_its_place() {
    for (name, line) in [
        ("word", "hello".to_owned()),
        ("end", SERVED.replace("\"served\"", "\"eaten\"")),
        ("attempts", SERVED.replace("[{", "{")),
    ] {
        let (code, out, err) = losses(name, &[format!("{OTHER}\n{line}\n{SERVED}\n")]);
        assert_eq!((code, out.as_str()), (2, ""));
        assert!(err.contains(&format!("losses-{name}-0.log:2: ")), "{err}");
    }
    let (code, _, err) = losses("quiet", &[format!("{OTHER}\n")]);
    assert_eq!(code, 2);
    assert!(err.contains("CHALKYARD_LOG=info"), "{err}");
}
