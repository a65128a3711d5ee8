//! A caller gets what was made for it: a worker's second answer comes some milliseconds late.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::kit::{
    await_up, chat, chunk, connect, free_address, member, pause, platform_config, quiet_agent, serve, Reader,
    Stage, Verdict,
};

/// Requests that are sent one after the other.
const REQUESTS: u32 = 200;
/// Each so many answers come twice, the second time so many ms late.
const ONE_IN: u32 = 50;
const LATE_MS: u64 = 4;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (served, trouble, log) = (Arc::new(AtomicU32::new(0)), stage.trouble, record.clone());
    let worker = serve(move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(call) = reader.message() {
            let id = call.header("x-request-id").to_owned();
            if !call.start.starts_with("POST /v1/chat/completions ") {
                if stream.write_all(b"HTTP/1.1 204 X\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            log.line(format!("call   {id}"));
            pause(12);
            let answer = answer(&id);
            let n = served.fetch_add(1, Ordering::SeqCst);
            if stream.write_all(&answer).is_err() {
                return;
            }
            log.line(format!("run    {id}"));
            if trouble && n % ONE_IN == ONE_IN - 1 {
                pause(LATE_MS);
                log.line(format!("second answer for {id}"));
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        }
    })?;
    let members = member("w1", worker, "mixed", "up");
    let agent = quiet_agent(&members)?;
    let listen = free_address()?;
    let config = stage.write("config.json", &platform_config(listen, agent, &members))?;
    let config = config.to_string_lossy().into_owned();
    let mut router = stage.start("n1", &["platform"], &[("GW_CONFIG", &config)])?;
    await_up(listen)?;
    let (mut good, mut foreign, mut failed) = (0, 0, 0);
    let mut reader = Reader::new(connect(listen)?);
    for n in 0..REQUESTS {
        let id = format!("{:016x}", 0x51_0000 + u64::from(n));
        let bytes = chat(&id, "sim-help", 5_000, &format!("question {n}"));
        if reader.stream().write_all(&bytes).is_err() {
            reader = Reader::new(connect(listen)?);
            reader.stream().write_all(&bytes).map_err(|e| e.to_string())?;
        }
        let Ok(answer) = reader.message() else {
            record.line(format!("answer {id}: the connection has ended"));
            failed += 1;
            reader = Reader::new(connect(listen)?);
            continue;
        };
        let text = answer.text();
        let is_own = text.contains(&format!("for {id} "));
        match (answer.start.contains(" 200 "), is_own) {
            (true, true) => good += 1,
            (true, false) => {
                record.line(format!(
                    "answer {id}: 200 with foreign events: {}",
                    text.lines().next().unwrap_or("")
                ));
                foreign += 1;
            }
            (false, _) => {
                record.line(format!("answer {id}: {}", answer.start));
                failed += 1;
            }
        }
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    router.signal("TERM")?;
    let _ = router.await_end(Duration::from_secs(6));
    record.line(format!(
        "check  {good} served with their own events, {foreign} with another request's, {failed} failed"
    ));
    if good == 0 {
        return Err("nothing was served".into());
    }
    Ok(foreign == 0)
}

/// The whole stream of one request.
fn answer(id: &str) -> Vec<u8> {
    let mut bytes =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    bytes.extend(chunk(&format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"for {id} \"}},\"finish_reason\":\"stop\"}}]}}\n\n"
    )));
    bytes.extend(chunk(
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":200,\"completion_tokens\":1,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n",
    ));
    bytes.extend(chunk("data: [DONE]\n\n"));
    bytes.extend(b"0\r\n\r\n");
    bytes
}
