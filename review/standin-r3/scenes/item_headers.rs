//! Items of batch jobs with a `Content-Length` among their headers, which isn't that of their body.

use std::sync::atomic::Ordering;
use std::thread::sleep;

use super::{HOST, configuration, ms, route, send_body};
use crate::fleet::{Front, FrontSettings};
use crate::http;
use crate::json;
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Length that the header of the second item states. Its body is empty.
const STATED_BYTES: usize = 100_000;
/// Body of the first item. Its header states 4 bytes.
const BODY: &str = "the whole question of the first item";
/// A request that no client sends as one: it lies within the body of another.
const HIDDEN: &str = "POST /note/hidden HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n";

pub fn play(stage: &Stage) -> Verdict {
    let store = Store::start();
    let engine = Work { events: 5, first: ms(5), gap: ms(5), event_bytes: 10 };
    let runner = Runner::start(&stage.record, "i-llm", "sketch-llm", 8, engine);
    runner.register(&store);
    let lots = r#","completionTargetMs":18000,"retentionS":60"#;
    let routes = [
        route("r-note", "/note/", "streaming", "sketch-llm", r#","resumable":true,"gapTargetMs":250"#),
        route("r-lot", "/lot/", "batch", "sketch-llm", lots),
    ];
    store.put("keyed.op", "config", Some(&configuration(1, &routes, &["sketch-llm"])));
    let mut front = Front::new(&stage.folder, &FrontSettings { name: "front-1", store: store.address, seeds: &[], memory_mb: 290 });
    front.start();
    if !front.wait_ready(ms(10_000)) {
        return Verdict::Unplayed("the instance isn't ready".to_owned());
    }
    sleep(ms(2_500));
    let mut broken = Vec::new();

    let length = stage.trouble.then_some(4);
    if !submit(stage, &front, "lot-1", &item("item-1", BODY, length)) || !is_done(stage, &front, "lot-1") {
        return Verdict::Unplayed("the first job wasn't done".to_owned());
    }
    let body = runner.bodies.lock().unwrap().get("item-1").cloned().unwrap_or_default();
    if body != BODY.as_bytes() {
        broken.push(format!("item-1 ran with the body {:?}", String::from_utf8_lossy(&body)));
    }

    runner.answers_early.store(true, Ordering::SeqCst);
    let length = stage.trouble.then_some(STATED_BYTES);
    if !submit(stage, &front, "lot-2", &item("item-2", "", length)) || !is_done(stage, &front, "lot-2") {
        return Verdict::Unplayed("the second job wasn't done".to_owned());
    }
    let body = "\r\n".repeat(STATED_BYTES) + HIDDEN;
    send_body(stage, &front, "note", "/note/1", body.as_bytes());
    if runner.runs.lock().unwrap().contains_key("hidden") {
        broken.push("request hidden ran, which no client sent".to_owned());
    }
    match broken.is_empty() {
        true => Verdict::Held("what ran was what clients sent".to_owned()),
        false => Verdict::Broken(format!("UNASKED: {}", broken.join("; "))),
    }
}

fn item(id: &str, body: &str, length: Option<usize>) -> String {
    let length = length.map_or(String::new(), |length| format!(r#","Content-Length":"{length}""#));
    let body = json::base64(body.as_bytes());
    format!(
        r#"{{"items":[{{"id":"{id}","path":"/lot/{id}","headers":{{"X-Model":"m","X-Token-Usage":"350,200"{length}}},"body":"{body}","tokens":550}}]}}"#
    )
}

fn submit(stage: &Stage, front: &Front, job: &str, body: &str) -> bool {
    let headers = [("Host", HOST), ("X-Request-Id", job), ("Content-Type", "application/json")];
    let answer = http::call(front.callers, "POST", "/lot/new", &headers, body.as_bytes(), ms(5_500));
    let status = answer.map_or(0, |answer| answer.status);
    stage.record.line(&format!("sent job={job} {body} status={status}"));
    status == 202
}

/// Waits for the only result of a job.
fn is_done(stage: &Stage, front: &Front, job: &str) -> bool {
    for _ in 0..40 {
        let target = format!("/-/lots/{job}?after=0");
        let answer = http::call(front.callers, "GET", &target, &[("Host", HOST)], b"", ms(3_000));
        if let Ok(answer) = answer
            && answer.text().contains("\"state\"")
        {
            stage.record.line(&format!("read job={job} {}", answer.text()));
            return true;
        }
        sleep(ms(250));
    }
    false
}
