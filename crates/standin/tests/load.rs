//! Tests of the load generator: checks of answers and limits of a run.

mod support;

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpClient};
use amaranth_net::route::handler;
use amaranth_standin::engine::EngineProfile;
use amaranth_standin::load_call::{CHAT_PATH, CallEnd, LoadCall, LoadTarget};
use amaranth_standin::load_report::LoadReport;
use amaranth_standin::load_run::{LoadPlan, LoadShape, run};
use amaranth_standin::token_text::token_at;
use support::{TEST_TIMEOUT, TestStandin};
use volo_http::server::Router;
use volo_http::server::route::post;

const PROMPT: &str = "roof 17";

fn event(token: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

/// Answers every call with the same text.
async fn serve(text: String) -> TestStandin {
    let state = Arc::new(text);
    let chat = handler(&state, |text, _| async move {
        Ok(answer::bytes(
            200,
            answer::EVENT_STREAM,
            text.as_str().to_owned(),
        ))
    });
    TestStandin::serve_router(Router::new().route(CHAT_PATH, post(chat))).await
}

#[tokio::test]
async fn report_counts_wrong_lost_and_doubled_tokens() {
    const DONE: &str = "data: [DONE]\n\n";
    let token = |index| event(&token_at(PROMPT, index));
    let right = [token(0), token(1), token(2)].concat();
    let cases = [
        (right.clone() + DONE, CallEnd::Complete, 3, 0, 0, 0),
        (right.clone(), CallEnd::Broken, 3, 0, 0, 0),
        (token(0) + &token(2) + DONE, CallEnd::Complete, 2, 0, 1, 0),
        (token(0) + DONE, CallEnd::Complete, 1, 0, 2, 0),
        (
            right.clone() + &token(1) + DONE,
            CallEnd::Complete,
            3,
            0,
            0,
            1,
        ),
        (
            right.clone() + &token(3) + DONE,
            CallEnd::Complete,
            3,
            1,
            0,
            0,
        ),
        (
            event(&token_at("other", 0)) + &right + DONE,
            CallEnd::Complete,
            3,
            1,
            0,
            0,
        ),
        (
            "data: nonsense\n\n".to_owned() + &right + DONE,
            CallEnd::Complete,
            3,
            1,
            0,
            0,
        ),
    ];
    let call = LoadCall {
        number: 0,
        prompt: PROMPT.to_owned(),
        tokens: 3,
        limits: CallLimits::new(TEST_TIMEOUT),
    };
    for (text, end, right, wrong, lost, doubled) in cases {
        let server = serve(text.clone()).await;
        let target = LoadTarget::new("fake", server.address, "sketch-llm");
        let report = call.run(&server.client, &target).await;
        let found = (
            report.end,
            report.tokens,
            report.wrong,
            report.lost,
            report.doubled,
        );
        assert_eq!(found, (end, right, wrong, lost, doubled), "{text}");
    }
}

#[tokio::test]
async fn refused_call_reports_error_kind() {
    let engine = TestStandin::engine(EngineProfile::default()).await;
    let target = LoadTarget::new("engine", engine.address, "other");
    let call = LoadCall {
        number: 0,
        prompt: PROMPT.to_owned(),
        tokens: 3,
        limits: CallLimits::new(TEST_TIMEOUT),
    };
    let client = HttpClient::new(Duration::from_secs(1));
    let refused = CallEnd::Refused {
        kind: "unknown_target".to_owned(),
        ran: "no".to_owned(),
    };
    assert_eq!(call.run(&client, &target).await.end, refused);
}

#[tokio::test]
async fn run_stops_at_its_call_limit() {
    let mut profile = EngineProfile::default();
    profile.speed.step = Duration::from_millis(1);
    let engine = TestStandin::engine(profile).await;
    for shape in [LoadShape::Closed(4), LoadShape::Open(400.0)] {
        let plan = LoadPlan {
            targets: vec![
                LoadTarget::new("a", engine.address, "sketch-llm"),
                LoadTarget::new("b", engine.address, "sketch-llm"),
            ],
            shape,
            tokens: 2,
            prompt_bytes: 64,
            time: TEST_TIMEOUT,
            turn: Duration::from_millis(50),
            calls: 150,
            monitored_process: Some(std::process::id()),
        };
        let before = engine.get("/engine/counts").await.1["requests"].as_u64();
        let report = LoadReport::new(&run(&plan).await);
        let after = engine.get("/engine/counts").await.1["requests"].as_u64();
        assert_eq!(after.zip(before).map(|(a, b)| a - b), Some(150));
        assert!(report.correct && report.added.is_some() && report.process.is_some());
        let tokens: u64 = report.targets.iter().map(|t| t.tokens).sum();
        let complete: u64 = report.targets.iter().map(|t| t.complete).sum();
        assert_eq!(tokens, complete * 2);
    }
}
