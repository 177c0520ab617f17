//! A permit that was issued before its upstream said that it leaves.

use std::sync::Arc;

use amaranth_kernel::attempt_plan::FailureProof;
use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::attempt::{AttemptEnd, AttemptLimits, ForwardRequest, attempt};
use amaranth_serve::call::{AnswerMetadata, UpstreamCodec};
use amaranth_serve::upstream_pool::UpstreamPool;
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::PromptShape;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant, timeout};

const CODEC: UpstreamCodec = UpstreamCodec {
    write_metadata: |_, _| {},
    read_answer: |_, _| AnswerMetadata {
        request: None,
        not_run: false,
        wrong_upstream: false,
        leaving: false,
        load: None,
    },
    read_prompt: |_| PromptShape::default(),
};

#[tokio::test]
async fn requests_that_wait_with_a_permit_are_not_sent_to_an_upstream_that_has_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Arc::new(UpstreamPool::new("dc".parse().unwrap()));
    let upstream: UpstreamId = "u".parse().unwrap();
    let notice = UpstreamNotice {
        group: "group".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 8,
        leaving: false,
        started_ms: 5,
        sequence: 1,
    };
    pool.announce(upstream.clone(), notice);
    let waiting = pool
        .issue_permit(&"group".parse().unwrap(), &upstream, 0.0, true)
        .unwrap();
    let answered = pool
        .issue_permit(&"group".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    answered.record_leaving();
    let request = ForwardRequest {
        id: "r1".parse().unwrap(),
        method: Method::POST,
        path: PathAndQuery::from_static("/"),
        headers: HeaderMap::new(),
        caller: CallerIdentity::Unchecked,
        shared_parts: Vec::new(),
        work: None,
        body: Bytes::new(),
        may_return: false,
    };
    let limits = AttemptLimits {
        head_deadline: Instant::now() + Duration::from_secs(1),
        remaining: None,
        resume_after: None,
    };
    match attempt(&pool, &CODEC, waiting, &request, limits).await {
        AttemptEnd::Failed(failed) => assert_eq!(failed.proof, FailureProof::Unreachable),
        AttemptEnd::Answer(..) => panic!("the request was sent"),
    }
    let connected = timeout(Duration::from_millis(200), listener.accept()).await;
    assert!(connected.is_err(), "the upstream got a connection");
    assert!(
        pool.issue_permit(&"group".parse().unwrap(), &upstream, 0.0, false)
            .is_none()
    );
}
