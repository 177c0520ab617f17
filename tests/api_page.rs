//! Runs the examples of docs/API.md against a fleet and checks its table of errors.

mod support;

use std::collections::BTreeMap;
use std::time::Instant;

use amaranth_wire::error::{ANSWER_TABLE, RanState};
use serde_json::Value;
use support::{TestFleet, WAIT_TIMEOUT};
use tokio::time::sleep;

const PAGE: &str = include_str!("../docs/API.md");
/// Wildcard: any value, or, as a key, any further keys.
const ANY: &str = "...";

/// An example request of the page and its answer.
#[derive(Debug, Default)]
struct PageExample {
    request: String,
    answer: String,
}

fn examples() -> Vec<PageExample> {
    let mut examples: Vec<PageExample> = Vec::new();
    let mut blocks = PAGE.split("```").skip(1).step_by(2);
    while let Some(block) = blocks.next() {
        let request = block.strip_prefix("http\n").expect("a request comes first");
        let answer = blocks.next().and_then(|block| block.strip_prefix("json\n"));
        examples.push(PageExample {
            request: request.to_owned(),
            answer: answer.expect("an answer follows").to_owned(),
        });
    }
    examples
}

/// Values captured from earlier answers, by placeholder name.
type PageNames = BTreeMap<String, String>;

fn fill(text: &str, names: &PageNames) -> String {
    let fill = |text: String, (name, value): (&String, &String)| {
        text.replace(&format!("{{{name}}}"), value)
    };
    names.iter().fold(text.to_owned(), fill)
}

async fn call(fleet: &TestFleet, request: &str) -> (u16, Value) {
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let mut lines = head.lines();
    let (method, path) = lines
        .next()
        .and_then(|line| line.split_once(' '))
        .expect("a call");
    let headers: Vec<(&'static str, &str)> = lines
        .map(|line| line.split_once(": ").expect("a header"))
        .map(|(name, value)| (&*name.to_owned().leak(), value))
        .collect();
    let multipart = head.contains("multipart/form-data");
    let body = match multipart {
        true => body.trim_end().replace('\n', "\r\n"),
        false => body.to_owned(),
    };
    fleet.call("entry-1", method, path, &headers, body).await
}

/// Whether an answer matches the page. Captures the values of placeholders such as `<id>`.
fn matches_page(page: &Value, answer: &Value, names: &mut PageNames) -> bool {
    match (page, answer) {
        (Value::String(any), _) if any == ANY => true,
        (Value::String(placeholder), Value::String(value)) if placeholder.starts_with('<') => {
            let name = placeholder.trim_matches(['<', '>']).to_owned();
            names.entry(name).or_insert_with(|| value.clone()) == value
        }
        (Value::Object(page), Value::Object(answer)) => {
            let open = page.contains_key(ANY);
            let known = |key: &String| open || page.contains_key(key);
            let mut keys = page.iter().filter(|(key, _)| *key != ANY);
            answer.keys().all(known)
                && keys.all(|(key, page)| {
                    answer
                        .get(key)
                        .is_some_and(|answer| matches_page(page, answer, names))
                })
        }
        (Value::Array(page), Value::Array(answer)) => {
            page.len() == answer.len()
                && page
                    .iter()
                    .zip(answer)
                    .all(|(page, answer)| matches_page(page, answer, names))
        }
        _ => page == answer,
    }
}

#[tokio::test]
async fn examples_return_the_documented_answers() {
    let fleet = TestFleet::start(1, 1).await;
    let examples = examples();
    assert!(examples.len() > 8, "{}", examples.len());
    let mut names = PageNames::new();
    for example in examples {
        let page: Value = serde_json::from_str(&fill(&example.answer, &names))
            .unwrap_or_else(|e| panic!("{e}: {}", example.answer));
        let request = fill(&example.request, &names);
        let start = Instant::now();
        // Repeats a query until the job has ended.
        loop {
            let (status, answer) = call(&fleet, &request).await;
            if matches_page(&page, &answer, &mut names) {
                break;
            }
            let again = request.starts_with("GET") && start.elapsed() < WAIT_TIMEOUT;
            assert!(
                again,
                "{request}\nanswered {status}: {answer:#}\nthe page says: {page:#}"
            );
            sleep(std::time::Duration::from_millis(50)).await;
        }
    }
}

#[test]
fn the_page_lists_every_error_kind() {
    for row in &ANSWER_TABLE {
        let ran = match row.ran {
            RanState::No => "no",
            RanState::Unknown => "unknown",
        };
        let again = if row.retryable { "yes" } else { "no" };
        let line = format!("| `{}` | {} | {ran} | {again} |", row.name, row.status);
        assert!(PAGE.lines().any(|page| page == line), "missing: {line}");
    }
}
