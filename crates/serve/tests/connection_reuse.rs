//! How long connections stay idle after an answer, by its headers.

use std::time::Duration;

use amaranth_serve::connection_pool::reuse_timeout;
use http::{HeaderMap, HeaderName, HeaderValue};

fn headers(lines: &[(&str, &str)]) -> HeaderMap {
    let lines = lines.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().unwrap();
        (name, HeaderValue::from_str(value).unwrap())
    });
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(name, value);
    }
    headers
}

#[test]
fn an_answer_that_announces_a_close_is_the_last_of_its_connection() {
    let cases: [&[(&str, &str)]; 7] = [
        &[("connection", "close")],
        &[("connection", "Close")],
        &[("connection", "close, x")],
        &[("connection", "x,close")],
        &[("connection", "keep-alive, close")],
        &[("connection", "x"), ("connection", "close")],
        &[("connection", "close, x"), ("keep-alive", "timeout=5")],
    ];
    for lines in cases {
        assert_eq!(reuse_timeout(&headers(lines)), None, "{lines:?}");
    }
}

#[test]
fn other_answers_leave_their_connection_open() {
    let cases: [&[(&str, &str)]; 4] = [
        &[],
        &[("connection", "keep-alive")],
        &[("connection", "x, closed")],
        &[("connection", "x"), ("keep-alive", "max=9, timeout=5")],
    ];
    for lines in cases {
        let idle_time = reuse_timeout(&headers(lines));
        assert!(
            idle_time.is_some_and(|time| time > Duration::ZERO),
            "{lines:?}"
        );
    }
}
