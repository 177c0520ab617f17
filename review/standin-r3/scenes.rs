//! The scenes.

use std::time::Duration;

mod item_headers;
mod kept_connections;
mod stale_reply;

use crate::fleet::Front;
use crate::http::{self, Answer};
use crate::{Stage, Verdict};

/// Host of all routes.
pub const HOST: &str = "a.example";

pub fn play(name: &str, stage: &Stage) -> Verdict {
    match name {
        "stale-reply" => stale_reply::play(stage),
        "kept-connections" => kept_connections::play(stage),
        "item-headers" => item_headers::play(stage),
        other => Verdict::Unplayed(format!("no scene {other}")),
    }
}

pub fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A route as the operator writes it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"{service}","maxAttempts":2{more}}}"#
    )
}

/// A configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":200}}"#);
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Sends a request of a client and records it with its answer.
pub fn send(stage: &Stage, front: &Front, id: &str, path: &str) -> Option<Answer> {
    send_body(stage, front, id, path, b"question")
}

/// As [`send`], with a body.
pub fn send_body(stage: &Stage, front: &Front, id: &str, path: &str, body: &[u8]) -> Option<Answer> {
    stage.record.line(&format!("sent request={id} front={} path={path} body_bytes={}", front.name, body.len()));
    let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "5000")];
    let answer = http::call(front.callers, "POST", path, &headers, body, ms(6_000));
    match answer {
        Ok(answer) => {
            let signature = answer.headers.get("x-server-signature").cloned().unwrap_or_default();
            stage.record.line(&format!(
                "answered request={id} status={} signature={signature} body={:?}",
                answer.status,
                answer.text()
            ));
            Some(answer)
        }
        Err(e) => {
            stage.record.line(&format!("not answered request={id} why={e}"));
            None
        }
    }
}
