//! Requests that come while an instance finishes its work in a planned stop.

mod support;

use std::time::Duration;

use amaranth_standin::token_text::complete_answer;
use support::{TestFleet, chat, streamed_text};
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
/// Longer than the notice period, in which work is still taken.
const AFTER_NOTICE: Duration = Duration::from_millis(2_800);
/// Tokens of a stream that lasts longer, at 20 ms a token.
const TOKENS: u32 = 250;

/// Path, headers and body.
type LateCall = (
    &'static str,
    &'static [(&'static str, &'static str)],
    String,
);

/// Guards against work that is taken until the last moment of a planned stop, and cut there: a refusal
/// that says that nothing ran can be repeated elsewhere.
#[tokio::test]
async fn work_that_comes_after_the_notice_period_is_refused_as_not_run() {
    let mut fleet = TestFleet::start_with(1, 2, &["--step", "20ms"], &[]).await;
    let body = chat("roof 1", TOKENS, true);
    let running = fleet.open("entry-1", CHAT, &[], body);
    let running = running.await.expect("an answer begins");
    fleet.entries["entry-1"].signal("TERM");
    sleep(AFTER_NOTICE).await;
    let calls: [LateCall; 3] = [
        (
            CHAT,
            &[("amaranth-repeatable", "false")],
            chat("late", 2, false),
        ),
        (CHAT, &[], chat("late", 2, true)),
        (
            "/v1/batches",
            &[("amaranth-tier", "lots")],
            "{\"custom_id\": \"a\"}".to_owned(),
        ),
    ];
    for (path, headers, body) in calls {
        let answer = fleet.post("entry-1", path, headers, body.clone()).await;
        let (status, error) = answer.expect("an answer");
        assert_eq!(status, 503, "{body}: {error}");
        assert_eq!(error["error"]["ran"], "no", "{body}: {error}");
    }
    let body = running.read_all().await.expect("the stream is not cut");
    let body = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(
        streamed_text(&body),
        (complete_answer("roof 1", TOKENS), true)
    );
    let mut entry = fleet.entries.remove("entry-1").expect("it was started");
    assert_eq!(entry.wait(), Some(0));
}
